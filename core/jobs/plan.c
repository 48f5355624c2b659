/* One planning round: confirmations that are owed, relief, ageing, then placement by urgency. */
#include "internal.h"

/* Sizes that found no worker in this round: whatever is larger in the same pool won't either. */
struct hopeless
{
  const char *pool;
  struct mt_job_resources size;
};

struct round
{
  struct mt_jobs *jobs;
  GArray *actions;
  GArray *hopeless;
  unsigned starts;
  int64_t now;
};

static void
append (struct round *round, enum mt_job_action_kind kind, const struct mt_job *job)
{
  struct mt_job_action action
      = { kind, job->name, job->worker->name, job->epoch, job->lease, job->taken };

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

/* Stops come before checkpoints and fences: cancellations arrive in waves and free room. */
static void
ask_for (struct round *round, bool stops)
{
  struct mt_jobs *jobs = round->jobs;

  for (guint i = 0; i < jobs->asking->len; i++)
    {
      struct mt_job *job = jobs->asking->pdata[i];

      if ((job->state == MT_JOB_STOPPING) != stops)
        continue;
      if (job->asked_us != 0 && round->now - job->asked_us < jobs->options.request_retry_us)
        continue;
      job->asked_us = round->now;
      append (round, action_for (job->state), job);
    }
}

static void
stop_strays (struct round *round)
{
  GArray *strays = round->jobs->strays;

  for (guint i = 0; i < strays->len; i++)
    {
      const struct mt_stray *stray = &g_array_index (strays, struct mt_stray, i);
      const struct mt_worker *worker = mt_jobs_find_worker (round->jobs, stray->worker);
      struct mt_job_action action
          = { MT_JOB_STOP,  g_intern_string (stray->job),       g_intern_string (stray->worker),
              stray->epoch, worker != NULL ? worker->lease : 0, { 0, 0, 0 } };

      g_array_append_val (round->actions, action);
    }
  g_array_set_size (strays, 0);
}

/* A start that nobody confirms may have been lost on its way, or its answer was. */
static void
give_up_unreported (struct round *round)
{
  struct mt_jobs *jobs = round->jobs;
  struct mt_job *job;

  while ((job = g_queue_peek_head (&jobs->unreported)) != NULL
         && round->now - job->started_us >= jobs->options.start_timeout_us)
    {
      g_queue_pop_head (&jobs->unreported);
      job->reported = true;
      if (job->state == MT_JOB_RUNNING)
        mt_jobs_request_end (jobs, job, MT_JOB_FENCING);
    }
}

static void
promote_aged (struct round *round, enum mt_urgency urgency)
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
mark_aged_urgent (struct round *round)
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

/* What the job would take of this worker: its estimate, cut to the worker where only the headroom
 * does not fit. False where even the floor does not. */
static bool
need_on (const struct mt_job *job, const struct mt_worker *worker, struct mt_job_resources *need)
{
  struct mt_job_resources estimate = mt_job_kind_estimate (job->kind, job->declared);

  if (!mt_job_resources_fit (mt_job_kind_minimum (job->kind, job->declared), worker->size))
    return false;
  need->cpu_milli = MIN (estimate.cpu_milli, worker->size.cpu_milli);
  need->memory_mb = MIN (estimate.memory_mb, worker->size.memory_mb);
  need->accelerators = estimate.accelerators;
  return true;
}

static GPtrArray *
workers_of (const struct mt_jobs *jobs, const char *pool)
{
  const struct mt_pool_workers *found = g_hash_table_lookup (jobs->pools, pool);

  return found != NULL ? found->workers : NULL;
}

static bool
may_start_on (struct mt_jobs *jobs, const struct mt_job *job, struct mt_worker *worker)
{
  /* A hold ends with its job's wait, however that ended. */
  if (worker->held_for != NULL && worker->held_for->state != MT_JOB_WAITING)
    worker->held_for = NULL;
  return mt_worker_accepts_tasks (jobs, worker)
         && (worker->held_for == NULL || worker->held_for == job)
         && !g_ptr_array_find (job->failed_on, worker, NULL);
}

static unsigned
running_beside (const struct mt_job *job, const struct mt_worker *worker)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (job->kind->per_rack, worker->rack));
}

static struct mt_worker *
find_room (struct mt_jobs *jobs, const struct mt_job *job, struct mt_job_resources *need)
{
  GPtrArray *workers = workers_of (jobs, job->pool);
  struct mt_worker *best = NULL;
  double best_cost = 0;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];
      struct mt_job_resources room = mt_job_resources_sub (worker->size, worker->taken);
      struct mt_job_resources wanted;
      double cost;

      if (!need_on (job, worker, &wanted) || !mt_job_resources_fit (wanted, room)
          || !may_start_on (jobs, job, worker) || (job->suspect && worker->tasks->len > 0))
        continue;
      cost = jobs->options.placement->cost (worker->size, room, wanted,
                                            running_beside (job, worker));
      if (best != NULL && cost >= best_cost)
        continue;
      best = worker;
      best_cost = cost;
      *need = wanted;
    }
  return best;
}

static void
release_hold (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_of (jobs, job->pool);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];

      if (worker->held_for == job)
        worker->held_for = NULL;
    }
}

static void
start (struct round *round,
       struct mt_job *job,
       struct mt_worker *worker,
       struct mt_job_resources need)
{
  struct mt_jobs *jobs = round->jobs;

  release_hold (jobs, job);
  mt_jobs_allocate (job, worker, need);
  job->epoch++;
  job->started_us = round->now;
  job->reported = false;
  g_queue_push_tail (&jobs->unreported, job);
  mt_jobs_set_state (jobs, job, MT_JOB_RUNNING);
  append (round, MT_JOB_START, job);
  round->starts++;
}

/* Whether a running task has to yield to a waiting urgent one, whose team is within its quota. What
 * is aged is never taken back: that is what bounds the time until a background job ends. */
static bool
must_yield (const struct mt_job *task, const struct mt_job *to)
{
  if (task->state != MT_JOB_RUNNING || task->aged)
    return false;
  return task->urgency > MT_URGENCY_URGENT || (task->borrowed && task->team != to->team);
}

/* The room there would be once all that must yield has, and how many tasks that are. */
static unsigned
room_after_yield (const struct mt_worker *worker,
                  const struct mt_job *job,
                  struct mt_job_resources *room)
{
  unsigned yielding = 0;

  *room = mt_job_resources_sub (worker->size, worker->taken);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct mt_job *task = worker->tasks->pdata[i];

      /* Those that yield already count as room, but not as a cost. */
      if (task->state != MT_JOB_CHECKPOINTING && !must_yield (task, job))
        continue;
      *room = mt_job_resources_add (*room, task->taken);
      yielding += task->state == MT_JOB_RUNNING;
    }
  return yielding;
}

static struct mt_worker *
find_yielding (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_of (jobs, job->pool);
  struct mt_worker *best = NULL;
  unsigned best_cost = 0;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];
      struct mt_job_resources room;
      struct mt_job_resources need;
      unsigned cost = room_after_yield (worker, job, &room);

      if (!need_on (job, worker, &need) || !mt_job_resources_fit (need, room)
          || !may_start_on (jobs, job, worker))
        continue;
      if (best != NULL && cost >= best_cost)
        continue;
      best = worker;
      best_cost = cost;
    }
  return best;
}

/* Asks tasks to yield, the least urgent first, until the job would fit. */
static void
take_back (struct mt_jobs *jobs, struct mt_job *job, struct mt_worker *worker)
{
  struct mt_job_resources room = mt_job_resources_sub (worker->size, worker->taken);
  struct mt_job_resources need;

  if (!need_on (job, worker, &need))
    return;
  worker->held_for = job;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct mt_job *task = worker->tasks->pdata[i];

      if (task->state == MT_JOB_CHECKPOINTING)
        room = mt_job_resources_add (room, task->taken);
    }
  for (int urgency = MT_URGENCY_BACKGROUND; urgency >= MT_URGENCY_URGENT; urgency--)
    for (guint i = 0; i < worker->tasks->len && !mt_job_resources_fit (need, room); i++)
      {
        struct mt_job *task = worker->tasks->pdata[i];

        if ((int) task->urgency != urgency || !must_yield (task, job))
          continue;
        room = mt_job_resources_add (room, task->taken);
        mt_jobs_request_end (jobs, task, MT_JOB_CHECKPOINTING);
      }
}

static bool
holds_a_worker (struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_of (jobs, job->pool);

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      const struct mt_worker *worker = workers->pdata[i];

      if (worker->held_for == job && !worker->lost && !worker->draining)
        return true;
    }
  return false;
}

/* Keeps the worker that will have room soonest for a job that has waited too long: else a stream of
 * small urgent jobs would take each bit of room as it comes free, and the large one never starts.
 */
static void
hold_for_aged (struct mt_jobs *jobs, struct mt_job *job)
{
  GPtrArray *workers = workers_of (jobs, job->pool);
  struct mt_worker *best = NULL;
  struct mt_job_resources need;

  for (guint i = 0; workers != NULL && i < workers->len; i++)
    {
      struct mt_worker *worker = workers->pdata[i];

      if (!need_on (job, worker, &need) || !may_start_on (jobs, job, worker))
        continue;
      if (best == NULL || worker->tasks->len < best->tasks->len)
        best = worker;
    }
  if (best != NULL)
    best->held_for = job;
}

static bool
fits_somewhere (const struct mt_jobs *jobs, const struct mt_job *job)
{
  GPtrArray *workers = workers_of (jobs, job->pool);
  struct mt_job_resources need;

  /* A pool without workers may get some: that is no judgement on the job. */
  if (workers == NULL || workers->len == 0)
    return true;
  for (guint i = 0; i < workers->len; i++)
    if (need_on (job, workers->pdata[i], &need))
      return true;
  return false;
}

static void
give_up_on (struct mt_jobs *jobs, struct mt_job *job)
{
  struct mt_job_resources need = mt_job_kind_minimum (job->kind, job->declared);

  g_free (job->reason);
  job->reason = g_strdup_printf ("needs %u thousandths of a processor, %u MB and %u accelerators; "
                                 "no worker of pool %s has that",
                                 need.cpu_milli, need.memory_mb, need.accelerators, job->pool);
  job->never_at = jobs->generation;
  release_hold (jobs, job);
  mt_jobs_set_state (jobs, job, MT_JOB_UNSCHEDULABLE);
}

static bool
is_hopeless (const struct round *round, const struct mt_job *job)
{
  struct mt_job_resources size = mt_job_kind_estimate (job->kind, job->declared);

  for (guint i = 0; i < round->hopeless->len; i++)
    {
      const struct hopeless *h = &g_array_index (round->hopeless, struct hopeless, i);

      if (g_str_equal (h->pool, job->pool) && mt_job_resources_fit (h->size, size))
        return true;
    }
  return false;
}

static void
note_hopeless (struct round *round, const struct mt_job *job)
{
  struct hopeless h = { job->pool, mt_job_kind_estimate (job->kind, job->declared) };

  /* What failed elsewhere or waits for a held worker says nothing of other jobs. */
  if (job->failed_on->len == 0)
    g_array_append_val (round->hopeless, h);
}

/* True where the job has left the queue. */
static bool
try_place (struct round *round, struct mt_job *job, bool urgent)
{
  struct mt_jobs *jobs = round->jobs;
  struct mt_job_resources need;
  struct mt_worker *worker;

  if (!job->aged && !urgent && is_hopeless (round, job))
    return false;
  worker = find_room (jobs, job, &need);
  if (worker != NULL)
    {
      start (round, job, worker, need);
      return true;
    }
  if (!fits_somewhere (jobs, job))
    {
      give_up_on (jobs, job);
      return true;
    }
  note_hopeless (round, job);
  if (!urgent || holds_a_worker (jobs, job))
    return false;
  if (mt_team_within_quota (job->team, mt_job_kind_estimate (job->kind, job->declared))
      && (worker = find_yielding (jobs, job)) != NULL)
    take_back (jobs, job, worker);
  else if (job->aged)
    hold_for_aged (jobs, job);
  return false;
}

static void
place_queue (struct round *round, enum mt_urgency urgency)
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

/* The fleet changed: jobs that nobody had room for are judged anew. */
static void
reconsider_never (struct mt_jobs *jobs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mt_job *job = value;

      if (job->state != MT_JOB_UNSCHEDULABLE || job->never_at == jobs->generation)
        continue;
      job->never_at = jobs->generation;
      if (!fits_somewhere (jobs, job))
        continue;
      g_clear_pointer (&job->reason, g_free);
      mt_jobs_set_state (jobs, job, MT_JOB_WAITING);
      mt_jobs_enqueue (jobs, job);
    }
}

void
mt_jobs_plan (struct mt_jobs *jobs, GArray *actions)
{
  struct round round = { .jobs = jobs, .actions = actions, .now = mt_clock_now (jobs->clock) };

  round.hopeless = g_array_new (FALSE, FALSE, sizeof (struct hopeless));
  ask_for (&round, true);
  stop_strays (&round);
  give_up_unreported (&round);
  mt_jobs_relieve_overcommitted (jobs, actions);
  mt_teams_update_borrowed (jobs);
  if (jobs->judged_at != jobs->generation)
    reconsider_never (jobs);
  jobs->judged_at = jobs->generation;
  promote_aged (&round, MT_URGENCY_NORMAL);
  promote_aged (&round, MT_URGENCY_BACKGROUND);
  mark_aged_urgent (&round);
  for (int urgency = 0; urgency < MT_URGENCY_COUNT; urgency++)
    {
      place_queue (&round, (enum mt_urgency) urgency);
      g_array_set_size (round.hopeless, 0);
    }
  ask_for (&round, false);
  g_array_unref (round.hopeless);
}
