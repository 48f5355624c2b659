/* Decides what changes in a data centre's assignment document: sets it up from the tables,
 * completes drains, takes out instances that leave, runs maintenance waves within the budgets, and
 * moves instances between pools. Does no I/O: all that it decides from is in the input, all that it
 * decides is in the next document and the result. The caller writes the document by
 * compare-and-swap, and only then orders the reboots. Not thread-safe. */
#ifndef MEDLARTRACK_PLANNER_H
#define MEDLARTRACK_PLANNER_H

#include "medlartrack/assign.h"
#include "medlartrack/capacity.h"
#include "medlartrack/tables.h"

/* An instance in the platform's list, which lags. */
struct mt_planner_instance
{
  const char *name;
  bool down;      /* not live: failed, rebooting or gone */
  bool leaving;   /* the platform wants to remove it */
  uint64_t boot;  /* boot number, higher after each boot */
  uint64_t epoch; /* epoch of the newest reboot order that it carried out */
};

struct mt_planner_input
{
  const struct mt_tables *tables;
  const char *zone;
  int64_t now_s; /* Unix time, since records outlive planners */
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
  bool changed;       /* the next document differs and has to be written */
  unsigned moves;     /* drains begun for a move */
  GArray *reboots;    /* struct mt_planner_reboot: to order once the document is written */
  GPtrArray *reports; /* char *, for the operator: the delay, its cause and the edit that helps */
};

/* Free the result with mt_planner_result_destroy. */
struct mt_planner_result *mt_planner_result_create (void);
void mt_planner_result_destroy (struct mt_planner_result *result);

/* Decides the changes and makes them in next, a copy from mt_assign_next. If the tables are older
 * than those from which the document was decided, only reports this. */
void mt_planner_step (const struct mt_planner_input *input,
                      struct mt_assign *next,
                      struct mt_planner_result *result);

/* Returns the number of instances of the service that don't serve now, planned and unplanned, as
 * its budget counts them. */
unsigned mt_planner_unavailable (const struct mt_planner_input *input,
                                 const struct mt_assign *assign,
                                 struct mt_str service);
/* Returns the service's availability budget for each data centre; UINT_MAX if it has no pool. */
unsigned mt_planner_budget (const struct mt_tables *tables, struct mt_str service);

#endif
