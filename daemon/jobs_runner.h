/* Places the jobs of a data centre: one thread that, while this daemon is the data centre's
 * planner, updates the scheduler state from the tables and the workers' reports, records each plan,
 * and then has the workers execute it. */
#ifndef MT_JOBS_RUNNER_H
#define MT_JOBS_RUNNER_H

#include "view.h"
#include "workers.h"

#include "medlartrack/store.h"

#include <jansson.h>

struct mt_jobs_runner;

struct mt_jobs_runner_callbacks
{
  const char *name;
  const char *description;
  /* Whether this daemon is the data centre's planner now. A wrong answer wastes rounds but breaks
   * no guarantee: the journal's compare-and-swap decides. */
  bool (*is_planner) (void *ctx);
  /* Returns the pool of the instance on this worker, to be freed with g_free, and sets *draining if
   * the instance no longer serves; NULL for none. An instance and the worker that it runs on have
   * the same name. */
  char *(*pool_of) (void *ctx, const char *worker, bool *draining);
};

struct mt_jobs_runner_options
{
  const struct mt_clock *clock;
  const struct mt_store *store;
  struct mt_view_holder *views;
  struct mt_workers *workers; /* used by the runner's thread only */
  const char *zone;
  const struct mt_jobs_runner_callbacks *callbacks;
  void *ctx;
};

/* Starts the thread. The objects that the options name outlive the runner. */
struct mt_jobs_runner *mt_jobs_runner_create (const struct mt_jobs_runner_options *options);
/* Stops the thread; afterwards the callbacks are not called any more. */
void mt_jobs_runner_stop (struct mt_jobs_runner *runner);
/* Call mt_jobs_runner_stop first. */
void mt_jobs_runner_destroy (struct mt_jobs_runner *runner);

/* Calls visit for each worker that has tasks in the scheduler state; for none if this daemon is not
 * the planner. Any thread; visit must not call the runner. */
void mt_jobs_runner_each_busy (struct mt_jobs_runner *runner,
                               void (*visit) (void *ctx, const char *worker, unsigned tasks),
                               void *ctx);
/* Returns {"planner": bool, "states": {state: count}, "reasons": {job: reason}}. Any thread. */
json_t *mt_jobs_runner_dump (struct mt_jobs_runner *runner);

#endif
