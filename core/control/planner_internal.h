/* State of one planner step, shared between the planner's files. */
#ifndef MEDLARTRACK_PLANNER_INTERNAL_H
#define MEDLARTRACK_PLANNER_INTERNAL_H

#include "medlartrack/planner.h"

/* Time limit of a drain if its pool declares no wave. */
#define DRAIN_LIMIT_S 600U

/* An instance of the tables and its pool. */
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
const struct mt_planner_instance *mt_planner_find_instance (const struct mt_planner_input *input,
                                                            const char *name);
bool mt_planner_instance_is_down (const struct mt_planner_input *input, const char *name);
const struct mt_pool *mt_planner_find_pool (const struct mt_plan *plan, const char *name);
/* Returns NULL if the tables have no such instance in the data centre. */
const struct mt_plan_row *mt_planner_find_row (const struct mt_plan *plan, const char *instance);
/* Returns how many instances serve the pool and are not known to be down. */
unsigned mt_planner_count_live (const struct mt_plan *plan, const char *pool);
bool mt_planner_may_drain (const struct mt_plan *plan, const char *pool_name);

void mt_planner_run_waves (struct mt_plan *plan);
void mt_planner_move_capacity (struct mt_plan *plan);

#endif
