/* Scheduler state: creation, lookup, job queues, workers, teams and queries. */
#include "internal.h"

#include <string.h>

static const struct mt_jobs_options default_options = {
  .age_limit_us = { 60 * MT_SECOND, 600 * MT_SECOND, 3600 * MT_SECOND },
  .start_timeout_us = 30 * MT_SECOND,
  .request_retry_us = 10 * MT_SECOND,
  .usage_delay_us = 15 * MT_SECOND,
  .quarantine_us = 300 * MT_SECOND,
  .quarantine_threshold = 3,
  .poison_threshold = 3,
  .crash_window_us = 60 * MT_SECOND,
  .max_starts = 1000,
};

static const char *const state_names[] = {
  [MT_JOB_UNKNOWN] = "unknown",     [MT_JOB_WAITING] = "waiting",
  [MT_JOB_RUNNING] = "running",     [MT_JOB_CHECKPOINTING] = "checkpointing",
  [MT_JOB_FENCING] = "fencing",     [MT_JOB_STOPPING] = "stopping",
  [MT_JOB_DONE] = "done",           [MT_JOB_CANCELLED] = "cancelled",
  [MT_JOB_UNSCHEDULABLE] = "never", [MT_JOB_POISON] = "bad",
};

struct mt_jobs_options
mt_jobs_default_options (void)
{
  struct mt_jobs_options options = default_options;

  options.placement = mt_placement_policies ();
  return options;
}

const char *
mt_job_state_name (enum mt_job_state state)
{
  return state_names[state];
}

static void
free_job (gpointer data)
{
  struct mt_job *job = data;

  g_free (job->name);
  g_free (job->pool);
  g_free (job->reason);
  g_ptr_array_unref (job->failed_on);
  g_free (job);
}

static void
free_worker (gpointer data)
{
  struct mt_worker *worker = data;

  g_free (worker->name);
  g_free (worker->rack);
  g_free (worker->pool);
  g_ptr_array_unref (worker->tasks);
  g_ptr_array_unref (worker->failures);
  g_free (worker);
}

static void
free_team (gpointer data)
{
  struct mt_team *team = data;

  g_free (team->name);
  g_ptr_array_unref (team->tasks);
  g_free (team);
}

static void
free_kind (gpointer data)
{
  struct mt_job_kind *kind = data;

  g_free (kind->name);
  g_hash_table_unref (kind->running_per_rack);
  g_free (kind);
}

static void
free_pool (gpointer data)
{
  struct mt_pool_workers *pool = data;

  g_free (pool->name);
  g_ptr_array_unref (pool->workers);
  g_free (pool);
}

static void
clear_orphan (gpointer data)
{
  struct mt_orphan *orphan = data;

  g_free (orphan->job);
  g_free (orphan->worker);
}

struct mt_jobs *
mt_jobs_create (const struct mt_clock *clock, const struct mt_jobs_options *options)
{
  struct mt_jobs *jobs = g_new0 (struct mt_jobs, 1);

  jobs->clock = clock;
  jobs->options = *options;
  jobs->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  jobs->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_worker);
  jobs->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_team);
  jobs->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kind);
  jobs->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  jobs->tombstones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < MT_URGENCY_COUNT; i++)
    g_queue_init (&jobs->waiting[i]);
  g_queue_init (&jobs->unconfirmed);
  jobs->end_requests = g_ptr_array_new ();
  jobs->changes = g_ptr_array_new ();
  jobs->new_tombstones = g_ptr_array_new ();
  jobs->overcommitted = g_ptr_array_new ();
  jobs->orphans = g_array_new (FALSE, TRUE, sizeof (struct mt_orphan));
  g_array_set_clear_func (jobs->orphans, clear_orphan);
  return jobs;
}

void
mt_jobs_destroy (struct mt_jobs *jobs)
{
  if (jobs == NULL)
    return;
  for (int i = 0; i < MT_URGENCY_COUNT; i++)
    g_queue_clear (&jobs->waiting[i]);
  g_queue_clear (&jobs->unconfirmed);
  g_ptr_array_unref (jobs->end_requests);
  g_ptr_array_unref (jobs->changes);
  g_ptr_array_unref (jobs->new_tombstones);
  g_ptr_array_unref (jobs->overcommitted);
  g_array_unref (jobs->orphans);
  g_hash_table_unref (jobs->jobs);
  g_hash_table_unref (jobs->workers);
  g_hash_table_unref (jobs->teams);
  g_hash_table_unref (jobs->kinds);
  g_hash_table_unref (jobs->pools);
  g_hash_table_unref (jobs->tombstones);
  g_free (jobs);
}

struct mt_worker *
mt_jobs_find_worker (const struct mt_jobs *jobs, const char *name)
{
  return g_hash_table_lookup (jobs->workers, name);
}

struct mt_job *
mt_jobs_find (const struct mt_jobs *jobs, const char *name)
{
  return g_hash_table_lookup (jobs->jobs, name);
}

static struct mt_team *
get_or_create_team (struct mt_jobs *jobs, const char *name)
{
  struct mt_team *team = g_hash_table_lookup (jobs->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct mt_team, 1);
  team->name = g_strdup (name);
  team->tasks = g_ptr_array_new ();
  g_hash_table_insert (jobs->teams, team->name, team);
  return team;
}

static struct mt_job_kind *
get_or_create_kind (struct mt_jobs *jobs, const char *name)
{
  struct mt_job_kind *kind = g_hash_table_lookup (jobs->kinds, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (struct mt_job_kind, 1);
  kind->name = g_strdup (name);
  kind->running_per_rack = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (jobs->kinds, kind->name, kind);
  return kind;
}

static struct mt_pool_workers *
get_or_create_pool (struct mt_jobs *jobs, const char *name)
{
  struct mt_pool_workers *pool = g_hash_table_lookup (jobs->pools, name);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct mt_pool_workers, 1);
  pool->name = g_strdup (name);
  pool->workers = g_ptr_array_new ();
  g_hash_table_insert (jobs->pools, pool->name, pool);
  return pool;
}

void
mt_jobs_set_state (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state)
{
  job->state = state;
  if (!job->changed)
    g_ptr_array_add (jobs->changes, job);
  job->changed = true;
}

static gint
compare_age (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct mt_job *x = a;
  const struct mt_job *y = b;

  return (x->waiting_since_us > y->waiting_since_us) - (x->waiting_since_us < y->waiting_since_us);
}

void
mt_jobs_enqueue (struct mt_jobs *jobs, struct mt_job *job)
{
  GQueue *queue = &jobs->waiting[job->aged ? MT_URGENCY_URGENT : job->urgency];
  const struct mt_job *tail = g_queue_peek_tail (queue);

  /* A new job is nearly always the youngest; a sorted insert would walk the whole queue. */
  if (tail == NULL || compare_age (tail, job, NULL) <= 0)
    g_queue_push_tail (queue, job);
  else
    g_queue_insert_sorted (queue, job, compare_age, NULL);
}

static void
adjust_rack_count (struct mt_job *job, int by)
{
  GHashTable *racks = job->kind->running_per_rack;
  int count = GPOINTER_TO_INT (g_hash_table_lookup (racks, job->worker->rack)) + by;

  if (count > 0)
    g_hash_table_insert (racks, g_strdup (job->worker->rack), GINT_TO_POINTER (count));
  else
    g_hash_table_remove (racks, job->worker->rack);
}

void
mt_jobs_allocate (struct mt_job *job, struct mt_worker *worker, struct mt_job_resources resources)
{
  job->worker = worker;
  job->lease = worker->lease;
  job->allocated = resources;
  job->used = (struct mt_job_resources){ 0, 0, 0 };
  job->throttled = false;
  worker->allocated = mt_job_resources_add (worker->allocated, resources);
  g_ptr_array_add (worker->tasks, job);
  mt_team_allocate (job, resources);
  adjust_rack_count (job, 1);
}

void
mt_jobs_release (struct mt_job *job)
{
  struct mt_worker *worker = job->worker;

  if (worker == NULL)
    return;
  adjust_rack_count (job, -1);
  mt_team_release (job);
  worker->allocated = mt_job_resources_sub (worker->allocated, job->allocated);
  g_ptr_array_remove_fast (worker->tasks, job);
  job->worker = NULL;
  job->allocated = (struct mt_job_resources){ 0, 0, 0 };
}

void
mt_jobs_request_end (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state)
{
  mt_jobs_set_state (jobs, job, state);
  job->requested_us = 0;
  if (!g_ptr_array_find (jobs->end_requests, job, NULL))
    g_ptr_array_add (jobs->end_requests, job);
}

static void
untrack_requests (struct mt_jobs *jobs, struct mt_job *job)
{
  g_ptr_array_remove_fast (jobs->end_requests, job);
  if (!job->confirmed)
    g_queue_remove (&jobs->unconfirmed, job);
}

void
mt_jobs_finish (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state)
{
  untrack_requests (jobs, job);
  mt_jobs_release (job);
  mt_jobs_set_state (jobs, job, state);
}

void
mt_jobs_requeue (struct mt_jobs *jobs, struct mt_job *job)
{
  /* A cancelled job is not queued again, whichever report ended its task. */
  if (job->state == MT_JOB_STOPPING)
    {
      mt_jobs_finish (jobs, job, MT_JOB_CANCELLED);
      return;
    }
  mt_jobs_finish (jobs, job, MT_JOB_WAITING);
  mt_jobs_enqueue (jobs, job);
}

static void
checkpoint_worker_tasks (struct mt_jobs *jobs, struct mt_worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct mt_job *job = worker->tasks->pdata[i];

      if (job->state == MT_JOB_RUNNING)
        mt_jobs_request_end (jobs, job, MT_JOB_CHECKPOINTING);
    }
}

static void
set_worker_pool (struct mt_jobs *jobs, struct mt_worker *worker, const char *pool)
{
  if (worker->pool != NULL)
    g_ptr_array_remove_fast (get_or_create_pool (jobs, worker->pool)->workers, worker);
  g_free (worker->pool);
  worker->pool = g_strdup (pool);
  g_ptr_array_add (get_or_create_pool (jobs, pool)->workers, worker);
}

static struct mt_worker *
add_worker (struct mt_jobs *jobs, const struct mt_worker_spec *spec)
{
  struct mt_worker *worker = g_new0 (struct mt_worker, 1);

  worker->name = g_strdup (spec->name);
  worker->rack = g_strdup (spec->rack);
  worker->lease = spec->lease;
  worker->tasks = g_ptr_array_new ();
  worker->failures = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (jobs->workers, worker->name, worker);
  return worker;
}

static void
move_worker (struct mt_jobs *jobs, struct mt_worker *worker, const char *pool)
{
  if (worker->pool != NULL && strcmp (worker->pool, pool) == 0)
    return;
  jobs->generation++;
  checkpoint_worker_tasks (jobs, worker);
  set_worker_pool (jobs, worker, pool);
}

void
mt_jobs_set_worker (struct mt_jobs *jobs, const struct mt_worker_spec *spec)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, spec->name);

  if (worker == NULL)
    worker = add_worker (jobs, spec);
  if (memcmp (&worker->capacity, &spec->capacity, sizeof worker->capacity) != 0)
    jobs->generation++;
  worker->capacity = spec->capacity;
  move_worker (jobs, worker, spec->pool);
}

void
mt_jobs_move_worker (struct mt_jobs *jobs, const char *name, const char *pool)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  if (worker != NULL)
    move_worker (jobs, worker, pool);
}

const char *
mt_jobs_worker_pool (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  return worker != NULL ? worker->pool : NULL;
}

GPtrArray *
mt_jobs_worker_names (const struct mt_jobs *jobs)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, jobs->workers);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  return names;
}

void
mt_jobs_drain_worker (struct mt_jobs *jobs, const char *name, bool draining)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  if (worker == NULL)
    return;
  worker->draining = draining;
  if (draining)
    checkpoint_worker_tasks (jobs, worker);
}

void
mt_jobs_foreach_busy_worker (const struct mt_jobs *jobs,
                             void (*visit) (void *ctx, const char *worker, unsigned tasks),
                             void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mt_worker *worker = value;

      if (worker->tasks->len > 0)
        visit (ctx, worker->name, worker->tasks->len);
    }
}

unsigned
mt_jobs_worker_task_count (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  return worker != NULL ? worker->tasks->len : 0;
}

void
mt_jobs_set_quota (struct mt_jobs *jobs, const char *name, struct mt_job_resources quota)
{
  get_or_create_team (jobs, name)->quota = quota;
}

bool
mt_jobs_submit (struct mt_jobs *jobs, const struct mt_job_spec *spec)
{
  struct mt_job *job;

  if (mt_jobs_find (jobs, spec->name) != NULL
      || g_hash_table_contains (jobs->tombstones, spec->name))
    return false;
  job = g_new0 (struct mt_job, 1);
  job->name = g_strdup (spec->name);
  job->kind = get_or_create_kind (jobs, spec->kind);
  job->team = get_or_create_team (jobs, spec->team);
  job->pool = g_strdup (spec->pool);
  job->declared = spec->declared;
  job->urgency = spec->urgency;
  job->may_run_twice = spec->may_run_twice;
  job->state = MT_JOB_WAITING;
  job->waiting_since_us = mt_clock_now (jobs->clock);
  job->failed_on = g_ptr_array_new ();
  g_hash_table_insert (jobs->jobs, job->name, job);
  mt_jobs_enqueue (jobs, job);
  return true;
}

static bool
has_ended (const struct mt_job *job)
{
  return job->state == MT_JOB_DONE || job->state == MT_JOB_CANCELLED
         || job->state == MT_JOB_UNSCHEDULABLE || job->state == MT_JOB_POISON;
}

static void
remove_tombstone (struct mt_jobs *jobs, const char *name)
{
  for (guint i = jobs->new_tombstones->len; i-- > 0;)
    if (strcmp (jobs->new_tombstones->pdata[i], name) == 0)
      g_ptr_array_remove_index_fast (jobs->new_tombstones, i);
  g_hash_table_remove (jobs->tombstones, name);
}

bool
mt_jobs_remove (struct mt_jobs *jobs, const char *name)
{
  struct mt_job *job = mt_jobs_find (jobs, name);
  GHashTableIter iter;
  gpointer worker;

  if (job == NULL)
    {
      remove_tombstone (jobs, name);
      return true;
    }
  if (!has_ended (job))
    return false;
  g_ptr_array_remove_fast (jobs->changes, job);
  g_hash_table_iter_init (&iter, jobs->workers);
  while (g_hash_table_iter_next (&iter, NULL, &worker))
    if (((struct mt_worker *) worker)->reserved_for == job)
      ((struct mt_worker *) worker)->reserved_for = NULL;
  g_hash_table_remove (jobs->jobs, name);
  return true;
}

void
mt_jobs_foreach_job (
    const struct mt_jobs *jobs,
    void (*visit) (void *ctx, const char *name, enum mt_job_state state, const char *reason),
    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mt_job *job = value;

      visit (ctx, job->name, job->state, job->reason);
    }
}

enum mt_job_state
mt_jobs_state (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_job *job = mt_jobs_find (jobs, name);

  if (job != NULL)
    return job->state;
  return g_hash_table_contains (jobs->tombstones, name) ? MT_JOB_CANCELLED : MT_JOB_UNKNOWN;
}

const char *
mt_jobs_reason (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_job *job = mt_jobs_find (jobs, name);

  return job != NULL ? job->reason : NULL;
}

bool
mt_jobs_is_quarantined (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  return worker != NULL && worker->quarantined_until_us > mt_clock_now (jobs->clock);
}

struct mt_job_resources
mt_jobs_team_allocated (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_team *team = g_hash_table_lookup (jobs->teams, name);

  return team != NULL ? team->in_use : (struct mt_job_resources){ 0, 0, 0 };
}

struct mt_job_resources
mt_jobs_team_borrowed (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_team *team = g_hash_table_lookup (jobs->teams, name);

  return team != NULL ? team->borrowed : (struct mt_job_resources){ 0, 0, 0 };
}

struct mt_job_resources
mt_jobs_worker_allocated (const struct mt_jobs *jobs, const char *name)
{
  const struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  return worker != NULL ? worker->allocated : (struct mt_job_resources){ 0, 0, 0 };
}
