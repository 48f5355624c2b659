/* Shared between the parts of the planner: one step at work. */
#ifndef MEDLARTRACK_PLANNER_INTERNAL_H
#define MEDLARTRACK_PLANNER_INTERNAL_H

#include "medlartrack/planner.h"

/* A drain may last so long where its pool declares no wave. */
#define DRAIN_LIMIT_S 600U

/* Where the tables have an instance. */
struct mt_plan_row
{
  const struct mt_instance *instance;
  const struct mt_pool *pool;
};

struct mt_plan
{
  const struct mt_planner_input *input;
  struct mt_assign *next;
  struct mt_planner_result *result;
  GHashTable *pools; /* name -> const struct mt_pool */
  GHashTable *rows;  /* instance -> struct mt_plan_row, of the data centre */
};

void mt_planner_report (struct mt_plan *plan, const char *format, ...) G_GNUC_PRINTF (2, 3);
const struct mt_planner_instance *mt_planner_listed (const struct mt_planner_input *input,
                                                     const char *name);
bool mt_planner_is_down (const struct mt_planner_input *input, const char *name);
const struct mt_pool *mt_planner_pool (const struct mt_plan *plan, const char *name);
/* NULL where the tables have no such instance in the data centre. */
const struct mt_plan_row *mt_planner_row (const struct mt_plan *plan, const char *instance);
/* Serving and not known to be down. */
unsigned mt_planner_live (const struct mt_plan *plan, const char *pool);
bool mt_planner_may_drain (const struct mt_plan *plan, const char *pool_name);

void mt_planner_run_waves (struct mt_plan *plan);
void mt_planner_move_capacity (struct mt_plan *plan);

#endif
