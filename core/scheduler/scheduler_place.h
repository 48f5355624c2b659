/* Declarations shared by the files that order, choose and place: scheduler_ready.c,
 * scheduler_candidates.c, scheduler_reserve.c and scheduler_place.c. Used from the owner's thread
 * only. */
#ifndef MT_SCHEDULER_PLACE_H
#define MT_SCHEDULER_PLACE_H

#include "scheduler_internal.h"

/* How long a task avoids the worker on which its last run ended badly, or which left. Within this
 * time other workers could have taken the task: in a surge tasks end every few ms. After it the
 * worker may be the only one with free resources, and the task would wait in vain. */
#define AVOID_MS 1000
/* Longest time that a task waits with its last attempt for a worker proved to be healthy. A job
 * that has nothing running for 3 s beside free resources counts as lost. */
#define LAST_ATTEMPT_WAIT_MS 2000

/* The waiting tasks of one step of an occurrence. */
struct ready_step
{
  struct mt_occurrence *occ;
  unsigned step;
  int class; /* lower is placed first */
  int priority;
  double rank; /* within class and priority, lower is placed first */
  bool failed; /* a task of it found no worker in this placing */
  guint next;  /* next step of the same workspace in this order, as index; G_MAXUINT: none */
};

enum
{
  CLASS_LONG_RUNNING,
  CLASS_TIMELY,
  CLASS_OVERDUE,
  CLASS_HOPELESS,
};

/* Which tasks are placed, by the limits of their workspaces. Long-running tasks and suspects are
 * placed whatever the limits are. */
enum share_pass
{
  PASS_ALL,
  PASS_WITHIN_LIMIT, /* only tasks with which the workspace stays within its limit */
  PASS_BELOW_LIMIT,  /* as long as the workspace is below its limit: one task may exceed it */
};

/* A need that no worker met; equal or larger ones are skipped. */
struct unplaceable
{
  struct mt_resources need;
  bool is_set;
};

struct placement
{
  struct mt_scheduler *sched;
  int64_t now;
  GPtrArray *workers;
  GPtrArray *zones;           /* of the workers, interned */
  const struct mt_job *job;   /* whose preferred zone is known; NULL: none */
  const char *preferred_zone; /* of that job */
  double mean_slowness;
  enum share_pass pass;
  struct unplaceable unplaceable;          /* of all tasks ... */
  struct unplaceable reserved_unplaceable; /* ... except those for which workers are reserved */
  unsigned placed;
  unsigned tiny_placed; /* ... of these, tiny tasks */
  unsigned max_placed;  /* limit on placed */
};

/* scheduler_ready.c */

/* Adds the waiting steps of the open jobs to an array of struct ready_step, in order. Jobs with a
 * record being written are left out. */
void
mt_scheduler_collect_ready_steps (struct mt_scheduler *sched, GArray *ready_steps, int64_t now);

/* scheduler_candidates.c */

/* Returns the worker with the lowest cost for the task; NULL if none can take it now. */
struct mt_worker *mt_placement_choose_worker (struct placement *placement,
                                              const struct mt_task *task);
/* Returns whether the task has one attempt left and still waits for a worker proved healthy. */
bool mt_placement_is_last_attempt (const struct placement *placement, const struct mt_task *task);
/* Returns whether a need no larger than the step's has found no worker in this placing. */
bool mt_placement_is_unplaceable (const struct placement *placement, const struct mt_task *task);
/* Records that the task found no worker, if only resources can be the reason. */
void mt_placement_record_unplaceable (struct placement *placement, const struct mt_task *task);

/* scheduler_reserve.c */

void mt_scheduler_release_reservation (struct mt_scheduler *sched);
/* Ends a reservation whose workspace has its share, or whose time is over. */
void mt_placement_check_reservation (const struct placement *placement, const GPtrArray *accounts);
/* Reserves workers for the workspace that has waited longest for its share, if there is one and no
 * reservation stands. */
void mt_placement_reserve_workers (struct placement *placement,
                                   GArray *ready_steps,
                                   const GPtrArray *accounts);

/* scheduler_place.c */

/* Makes sure that placing runs at that time. */
void mt_placement_schedule_placing (const struct placement *placement, int64_t at);
bool mt_placement_is_over_quota (const struct placement *placement, const struct ready_step *ready);

#endif
