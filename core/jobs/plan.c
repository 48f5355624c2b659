/* One planning round: repeats unconfirmed requests, relieves overcommitted workers, ages waiting
 * jobs, then places jobs by urgency. */
#include "internal.h"

/* An estimate that fitted no worker in this round; larger ones in the same pool won't either. */
struct unplaceable
{
  const char *pool;
  struct mt_job_resources resources;
};

struct plan_round
{
  struct mt_jobs *jobs;
  GArray *actions;
  GArray *unplaceable;
  unsigned starts;
  int64_t now;
};

static void
append_action (struct plan_round *round, enum mt_job_action_kind kind, const struct mt_job *job)
{
  struct mt_job_action action
      = { kind, job->name, job->worker->name, job->epoch, job->lease, job->allocated };

  g_array_append_val (round->actions, action);
}

static enum mt_job_action_kind
action_for (enum mt_job_state state)
{
  switch (state)
    {
    case MT_JOB_STOPPING:
      return MT_JOB_STOP;
    case MT_JOB_FENCING:
      return MT_JOB_FENCE;
    default:
      return MT_JOB_CHECKPOINT;
    }
}

/* Stops are sent before checkpoints and fences: cancellations come in bursts and free resources. */
static void
append_end_requests (struct plan_round *round, bool stops)
{
  struct mt_jobs *jobs = round->jobs;

  for (guint i = 0; i < jobs->end_requests->len; i++)
    {
      struct mt_job *job = jobs->end_requests->pdata[i];

      if ((job->state == MT_JOB_STOPPING) != stops)
        continue;
      if (job->requested_us != 0 && round->now - job->requested_us < jobs->options.request_retry_us)
        continue;
      job->requested_us = round->now;
      append_action (round, action_for (job->state), job);
    }
}

static void
stop_orphans (struct plan_round *round)
{
  GArray *orphans = round->jobs->orphans;

  for (guint i = 0; i < orphans->len; i++)
    {
      const struct mt_orphan *orphan = &g_array_index (orphans, struct mt_orphan, i);
      const struct mt_worker *worker = mt_jobs_find_worker (round->jobs, orphan->worker);
      struct mt_job_action action
          = { MT_JOB_STOP,   g_intern_string (orphan->job),      g_intern_string (orphan->worker),
              orphan->epoch, worker != NULL ? worker->lease : 0, { 0, 0, 0 } };

      g_array_append_val (round->actions, action);
    }
  g_array_set_size (orphans, 0);
}

/* The start action of an unreported job, or the worker's answer, may have been lost. */
static void
fence_unconfirmed_starts (struct plan_round *round)
{
  struct mt_jobs *jobs = round->jobs;
  struct mt_job *job;

  while ((job = g_queue_peek_head (&jobs->unconfirmed)) != NULL
         && round->now - job->started_us >= jobs->options.start_timeout_us)
    {
      g_queue_pop_head (&jobs->unconfirmed);
      job->confirmed = true;
      if (job->state == MT_JOB_RUNNING)
        mt_jobs_request_end (jobs, job, MT_JOB_FENCING);
    }
}

static void
promote_aged (struct plan_round *round, enum mt_urgency urgency)
{
  struct mt_jobs *jobs = round->jobs;
  GQueue *queue = &jobs->waiting[urgency];
  struct mt_job *job;

  while ((job = g_queue_peek_head (queue)) != NULL
         && round->now - job->waiting_since_us >= jobs->options.age_limit_us[urgency])
    {
      g_queue_pop_head (queue);
      job->aged = true;
      mt_jobs_enqueue (jobs, job);
    }
}

static void
mark_aged_urgent (struct plan_round *round)
{
  struct mt_jobs *jobs = round->jobs;

  for (GList *l = jobs->waiting[MT_URGENCY_URGENT].head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      if (round->now - job->waiting_since_us < jobs->options.age_limit_us[MT_URGENCY_URGENT])
        return;
      job->aged = true;
    }
}

/* Sets need to the resources that the job would use on the worker: its estimate, capped at the
 * worker's capacity if only the headroom does not fit. Returns false if even the minimum does not
 * fit. */
static bool
resources_needed_on (const struct mt_job *job,
                     const struct mt_worker *worker,
                     struct mt_job_resources *need)
{
  struct mt_job_resources estimate = mt_job_kind_estimate (job->kind, job->declared);

  if (!mt_job_resources_fit (mt_job_kind_minimum (job->kind, job->declared), worker->capacity))
    return false;
  need->cpu_milli = MIN (estimate.cpu_milli, worker->capacity.cpu_milli);
  need->memory_mb = MIN (estimate.memory_mb, worker->capacity.memory_mb);
  need->accelerators = estimate.accelerators;
  return true;
}

static GPtrArray *
workers_in_pool (const struct mt_jobs *jobs, const char *pool)
{
  const struct mt_pool_workers *found = g_hash_table_lookup (jobs->pools, pool);

  return found != NULL ? found->workers : NULL;
}

static bool
may_start_on (struct mt_jobs *jobs, const struct mt_job *job, struct mt_worker *worker)
{
  /* A reservation ends when its job stops waiting, for whatever reason. */
  if (worker->reserved_for != NULL && worker->reserved_for->state != MT_JOB_WAITING)
    worker->reserved_for = NULL;
  return mt_worker_accepts_tasks (jobs, worker)
         && (worker->reserved_for == NULL || worker->reserved_for == job)
         && !g_ptr_array_find (job->failed_on, worker, NULL);
}

static unsigned
running_in_rack (const struct mt_job *job, const struct mt_worker *worker)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (job->kind->running_per_rack, worker->rack));
}

static struct mt_worker *
pick_worker (struct mt_jobs *jobs, const struct mt_job *job, struct mt_job_resources *need)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);
  struct mt_worker *best = NULL;
  double best_cost = 0;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];
      struct mt_job_resources available
          = mt_job_resources_sub (worker->capacity, worker->allocated);
      struct mt_job_resources wanted;
      double cost;

      if (!resources_needed_on (job, worker, &wanted) || !mt_job_resources_fit (wanted, available)
          || !may_start_on (jobs, job, worker) || (job->suspect && worker->tasks->len > 0))
        continue;
      cost = jobs->options.placement->cost (worker->capacity, available, wanted,
                                            running_in_rack (job, worker));
      if (best != NULL && cost >= best_cost)
        continue;
      best = worker;
      best_cost = cost;
      *need = wanted;
    }
  return best;
}

static void
release_reservation (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];

      if (worker->reserved_for == job)
        worker->reserved_for = NULL;
    }
}

static void
start_job (struct plan_round *round,
           struct mt_job *job,
           struct mt_worker *worker,
           struct mt_job_resources need)
{
  struct mt_jobs *jobs = round->jobs;

  release_reservation (jobs, job);
  mt_jobs_allocate (job, worker, need);
  job->epoch++;
  job->started_us = round->now;
  job->confirmed = false;
  g_queue_push_tail (&jobs->unconfirmed, job);
  mt_jobs_set_state (jobs, job, MT_JOB_RUNNING);
  append_action (round, MT_JOB_START, job);
  round->starts++;
}

/* Returns whether a running task may be preempted for a waiting urgent job whose team is within its
 * quota. Aged tasks are never preempted: this bounds the time until a background job ends. */
static bool
is_preemptible (const struct mt_job *task, const struct mt_job *to)
{
  if (task->state != MT_JOB_RUNNING || task->aged)
    return false;
  return task->urgency > MT_URGENCY_URGENT || (task->borrowed && task->team != to->team);
}

/* Sets available to the worker's free resources once all preemptible tasks have ended; returns how
 * many would have to be preempted. */
static unsigned
available_after_preemption (const struct mt_worker *worker,
                            const struct mt_job *job,
                            struct mt_job_resources *available)
{
  unsigned preempted = 0;

  *available = mt_job_resources_sub (worker->capacity, worker->allocated);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct mt_job *task = worker->tasks->pdata[i];

      /* Tasks already checkpointing free their resources, but don't count as preempted. */
      if (task->state != MT_JOB_CHECKPOINTING && !is_preemptible (task, job))
        continue;
      *available = mt_job_resources_add (*available, task->allocated);
      preempted += task->state == MT_JOB_RUNNING;
    }
  return preempted;
}

static struct mt_worker *
pick_worker_to_preempt (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);
  struct mt_worker *best = NULL;
  unsigned best_cost = 0;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];
      struct mt_job_resources available;
      struct mt_job_resources need;
      unsigned cost = available_after_preemption (worker, job, &available);

      if (!resources_needed_on (job, worker, &need) || !mt_job_resources_fit (need, available)
          || !may_start_on (jobs, job, worker))
        continue;
      if (best != NULL && cost >= best_cost)
        continue;
      best = worker;
      best_cost = cost;
    }
  return best;
}

/* Requests checkpoints, least urgent tasks first, until the job would fit. */
static void
preempt_tasks (struct mt_jobs *jobs, struct mt_job *job, struct mt_worker *worker)
{
  struct mt_job_resources available = mt_job_resources_sub (worker->capacity, worker->allocated);
  struct mt_job_resources need;

  if (!resources_needed_on (job, worker, &need))
    return;
  worker->reserved_for = job;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct mt_job *task = worker->tasks->pdata[i];

      if (task->state == MT_JOB_CHECKPOINTING)
        available = mt_job_resources_add (available, task->allocated);
    }
  for (int urgency = MT_URGENCY_BACKGROUND; urgency >= MT_URGENCY_URGENT; urgency--)
    for (guint i = 0; i < worker->tasks->len && !mt_job_resources_fit (need, available); i++)
      {
        struct mt_job *task = worker->tasks->pdata[i];

        if ((int) task->urgency != urgency || !is_preemptible (task, job))
          continue;
        available = mt_job_resources_add (available, task->allocated);
        mt_jobs_request_end (jobs, task, MT_JOB_CHECKPOINTING);
      }
}

static bool
has_reserved_worker (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      const struct mt_worker *worker = workers->pdata[i];

      if (worker->reserved_for == job && !worker->lease_lost && !worker->draining)
        return true;
    }
  return false;
}

/* Reserves a worker for an aged job: the fitting one with the fewest tasks. Otherwise a stream of
 * small urgent jobs would take all resources as they become free, and a large job would never
 * start. */
static void
reserve_worker (struct mt_jobs *jobs, struct mt_job *job)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);
  struct mt_worker *best = NULL;
  struct mt_job_resources need;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];

      if (!resources_needed_on (job, worker, &need) || !may_start_on (jobs, job, worker))
        continue;
      if (best == NULL || worker->tasks->len < best->tasks->len)
        best = worker;
    }
  if (best != NULL)
    best->reserved_for = job;
}

static bool
fits_any_worker (const struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_in_pool (jobs, job->pool);
  struct mt_job_resources need;

  /* An empty pool may still get workers, so it says nothing about the job. */
  if (workers == NULL || workers->len == 0)
    return true;
  for (guint i = 0; i < workers->len; i++)
    if (resources_needed_on (job, workers->pdata[i], &need))
      return true;
  return false;
}

static void
mark_unschedulable (struct mt_jobs *jobs, struct mt_job *job)
{
  struct mt_job_resources need = mt_job_kind_minimum (job->kind, job->declared);

  g_free (job->reason);
  job->reason = g_strdup_printf ("needs %u thousandths of a processor, %u MB and %u accelerators; "
                                 "no worker of pool %s has that",
                                 need.cpu_milli, need.memory_mb, need.accelerators, job->pool);
  job->checked_generation = jobs->generation;
  release_reservation (jobs, job);
  mt_jobs_set_state (jobs, job, MT_JOB_UNSCHEDULABLE);
}

static bool
is_unplaceable (const struct plan_round *round, const struct mt_job *job)
{
  struct mt_job_resources resources = mt_job_kind_estimate (job->kind, job->declared);

  for (guint i = 0; i < round->unplaceable->len; i++)
    {
      const struct unplaceable *h = &g_array_index (round->unplaceable, struct unplaceable, i);

      if (g_str_equal (h->pool, job->pool) && mt_job_resources_fit (h->resources, resources))
        return true;
    }
  return false;
}

static void
record_unplaceable (struct plan_round *round, const struct mt_job *job)
{
  struct unplaceable h = { job->pool, mt_job_kind_estimate (job->kind, job->declared) };

  /* A job is barred from workers that it failed on, so it says nothing about other jobs. */
  if (job->failed_on->len == 0)
    g_array_append_val (round->unplaceable, h);
}

/* Returns true if the job must leave the queue. */
static bool
try_place (struct plan_round *round, struct mt_job *job, bool urgent)
{
  struct mt_jobs *jobs = round->jobs;
  struct mt_job_resources need;
  struct mt_worker *worker;

  if (!job->aged && !urgent && is_unplaceable (round, job))
    return false;
  worker = pick_worker (jobs, job, &need);
  if (worker != NULL)
    {
      start_job (round, job, worker, need);
      return true;
    }
  if (!fits_any_worker (jobs, job))
    {
      mark_unschedulable (jobs, job);
      return true;
    }
  record_unplaceable (round, job);
  if (!urgent || has_reserved_worker (jobs, job))
    return false;
  if (mt_team_within_quota (job->team, mt_job_kind_estimate (job->kind, job->declared))
      && (worker = pick_worker_to_preempt (jobs, job)) != NULL)
    preempt_tasks (jobs, job, worker);
  else if (job->aged)
    reserve_worker (jobs, job);
  return false;
}

static void
place_queue (struct plan_round *round, enum mt_urgency urgency)
{
  GQueue *queue = &round->jobs->waiting[urgency];
  GList *link = queue->head;

  while (link != NULL && round->starts < round->jobs->options.max_starts)
    {
      GList *next = link->next;

      if (try_place (round, link->data, urgency == MT_URGENCY_URGENT))
        g_queue_delete_link (queue, link);
      link = next;
    }
}

/* Checks unschedulable jobs again after workers were added or changed. */
static void
recheck_unschedulable (struct mt_jobs *jobs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mt_job *job = value;

      if (job->state != MT_JOB_UNSCHEDULABLE || job->checked_generation == jobs->generation)
        continue;
      job->checked_generation = jobs->generation;
      if (!fits_any_worker (jobs, job))
        continue;
      g_clear_pointer (&job->reason, g_free);
      mt_jobs_set_state (jobs, job, MT_JOB_WAITING);
      mt_jobs_enqueue (jobs, job);
    }
}

void
mt_jobs_plan (struct mt_jobs *jobs, GArray *actions)
{
  struct plan_round round = { .jobs = jobs, .actions = actions, .now = mt_clock_now (jobs->clock) };

  round.unplaceable = g_array_new (FALSE, FALSE, sizeof (struct unplaceable));
  append_end_requests (&round, true);
  stop_orphans (&round);
  fence_unconfirmed_starts (&round);
  mt_jobs_relieve_overcommitted (jobs, actions);
  mt_teams_update_borrowed (jobs);
  if (jobs->checked_at_generation != jobs->generation)
    recheck_unschedulable (jobs);
  jobs->checked_at_generation = jobs->generation;
  promote_aged (&round, MT_URGENCY_NORMAL);
  promote_aged (&round, MT_URGENCY_BACKGROUND);
  mark_aged_urgent (&round);
  for (int urgency = 0; urgency < MT_URGENCY_COUNT; urgency++)
    {
      place_queue (&round, (enum mt_urgency) urgency);
      g_array_set_size (round.unplaceable, 0);
    }
  append_end_requests (&round, false);
  g_array_unref (round.unplaceable);
}
