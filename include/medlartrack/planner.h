/* Decides what changes in a data centre's assignment document: sets it up from the tables, ends
 * drains, leads instances out that leave, runs maintenance waves within the budgets, and moves
 * capacity. Pure: everything it knows is in the input, everything it decides is in the next
 * document and the result. Whoever embeds it writes the document by compare-and-swap, and only then
 * orders the reboots. */
#ifndef MEDLARTRACK_PLANNER_H
#define MEDLARTRACK_PLANNER_H

#include "medlartrack/assign.h"
#include "medlartrack/capacity.h"
#include "medlartrack/tables.h"

/* One instance as the platform's lagging list has it. */
struct mt_planner_instance
{
  const char *name;
  bool down;      /* not live: failed, rebooting or gone */
  bool leaving;   /* the platform wants it out */
  uint64_t boot;  /* grows with each boot */
  uint64_t epoch; /* of the newest reboot order that it carried out */
};

struct mt_planner_input
{
  const struct mt_tables *tables;
  const char *zone;
  int64_t now_s; /* wall time: records outlive planners */
  const struct mt_assign_member *members;
  size_t n_members;
  const struct mt_planner_instance *instances; /* sorted by name */
  size_t n_instances;
  struct mt_capacity *capacity; /* NULL: no moves for capacity */
  const struct mt_capacity_demand *demands;
  size_t n_demands;
};

struct mt_planner_reboot
{
  char *instance;
  uint64_t epoch; /* fences the order: the platform refuses one that is not newer */
};

struct mt_planner_result
{
  bool changed;       /* the next document differs and wants writing */
  unsigned moves;     /* drains begun for a move */
  GArray *reboots;    /* struct mt_planner_reboot: to order once the document is written */
  GPtrArray *reports; /* texts for the operator: what is held up, by what, which edit helps */
};

struct mt_planner_result *mt_planner_result_create (void);
void mt_planner_result_destroy (struct mt_planner_result *result);

/* Changes next, a copy from mt_assign_next. Does nothing and reports where the tables are older
 * than those that the document was decided from. */
void mt_planner_step (const struct mt_planner_input *input,
                      struct mt_assign *next,
                      struct mt_planner_result *result);

/* Instances of a service that don't serve now, planned and unplanned, as its budget counts them. */
unsigned mt_planner_unavailable (const struct mt_planner_input *input,
                                 const struct mt_assign *assign,
                                 struct mt_str service);
/* The service's availability budget in each data centre. */
unsigned mt_planner_budget (const struct mt_tables *tables, struct mt_str service);

#endif
