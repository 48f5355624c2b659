/* Checks for stalled tasks, unanswered stops and lost workers; moves off draining workers. */
#include "scheduler_internal.h"

#define CHECK_INTERVAL_MS 50 /* interval of the checks of all workers */
/* Longest time between two checks in which the workers count as observed. */
#define MAX_CHECK_GAP_MS 1000
/* A task has stalled when its progress has not changed for this multiple of its expected run time,
 * and for at least the minimum. Progress is read with each hold, at least once a second. */
#define STALL_FACTOR 1.0
#define MIN_STALL_MS 2200
/* A long-running task whose progress stays below 100% for this long is started elsewhere. */
#define MAX_LONG_RUNNING_START_MS 6000
/* On a leaving worker, long-running tasks are moved within max_unavailable for this time, then all
 * at once: a task that is still there when the worker is gone is unavailable for longer. */
#define LEAVING_MOVES_MS 1000

/* A worker is reserved for this long at a time: most tasks of a surge end within it. */
#define RESERVATION_MS 1500

/* A task that is expected to end within this time is not moved off a draining worker: a move costs
 * 200 to 300 ms. */
#define MIN_MOVE_REMAINING_MS 400
/* Time for stopping a run and starting it elsewhere from its checkpoint: the upper end of what
 * moves cost. */
#define MOVE_MS 300
/* Interval of moves off slow workers in a pool. The resources that a moved task is to use are taken
 * once its stop has taken effect, and would be counted for several tasks before. */
#define SLOW_MOVE_INTERVAL_MS 400
/* Tasks of a pool for which one check looks for faster workers: with a third of 350 workers slow, a
 * scan of all workers for each of their tasks would be half a million steps. */
#define MAX_SLOW_SCANS 8U
/* Least progress from which the remaining time of a task on a slow worker is known well enough. */
#define MIN_SLOW_MOVE_PERCENT 10U

/* Returns whether another member of the task's gang is being stopped: their stall is one event. */
static bool
is_gang_stopping (const struct mt_task *task)
{
  unsigned n;
  const struct mt_task *members = mt_task_get_members (task, &n);

  for (unsigned i = 0; i < n; i++)
    if (&members[i] != task && members[i].state == MT_TASK_STOPPING)
      return true;
  return false;
}

/* Stops a stalled task, so that it runs elsewhere: a stalled run gives its caller no result. The
 * work since its last checkpoint is lost. */
static void
stop_if_stalled (struct mt_scheduler *sched, struct mt_worker *w, struct mt_task *task, int64_t now)
{
  const struct mt_step *step = mt_task_step (task);
  double expected = mt_step_expected_ms (task->occ->job->route, step);
  int64_t bound = MAX (MIN_STALL_MS, (int64_t) (STALL_FACTOR * expected));

  if (step->long_running)
    {
      if (task->percent == 100)
        return;
      bound = MAX_LONG_RUNNING_START_MS;
    }
  /* Only listings report progress. If listings are lost while orders are answered, the last known
   * progress is out of date: a task that makes progress would be stopped, and its caller would wait
   * for another run. So the last listing must itself have shown no progress for the whole bound,
   * less MT_HOLD_WAIT_MS, the time until the next listing. */
  if (task->pace < 100 || now - task->progress_at < bound
      || w->listing_at - task->progress_at < bound - MT_HOLD_WAIT_MS)
    return;
  mt_task_log_event (sched, task, w, "TASK_STILL", "percent=%u for_ms=%" G_GINT64_FORMAT,
                     task->percent, now - task->progress_at);
  if (!is_gang_stopping (task))
    mt_worker_record_outcome (sched, w, false, now);
  task->avoided = w;
  mt_task_stop (sched, task, now);
}

/* Returns whether the long-running task may be unavailable. A worker that does not answer may have
 * stopped working long ago. A run that the previous leader has ordered to stop is listed as working
 * until the stop takes effect: only a later listing shows that it was not. */
static bool
is_unavailable (const struct mt_task *task)
{
  return task->state != MT_TASK_RUNNING || task->percent < 100 || task->worker->silent_since != 0
         || task->worker->listing_at < task->predecessor_stop_by;
}

/* Returns whether the stop without an answer was lost: the worker still listed the run when the
 * stop would have taken effect. */
static bool
is_stop_lost (const struct mt_scheduler *sched, const struct mt_task *task)
{
  const struct mt_worker *w = task->worker;

  return task->state == MT_TASK_STOPPING && !task->stop_acked && task->listing == w->listing
         && w->listing_requested_at
                > task->state_since + sched->settings.stop_grace_ms + MT_MAX_END_LISTING_MS;
}

/* Returns whether a listing shows that the run is not there. One requested before the run was known
 * to have begun does not tell; nor, for a start without an answer, which may be carried out late,
 * one requested before the stop was last sent. */
static bool
is_known_absent (const struct mt_worker *w, const struct mt_task *task)
{
  int64_t since = task->begun_at != 0 ? task->begun_at : task->state_since;

  return task->listing != w->listing && w->listing_requested_at > since;
}

/* Returns the number of other tasks of the step that may be unavailable. Of several tasks with lost
 * stops only those before this one count if may_stop_first is set, so that one of the stops is
 * resent and they do not all wait for each other. */
static unsigned
count_unavailable_others (const struct mt_scheduler *sched,
                          const struct mt_task *task,
                          bool may_stop_first)
{
  const struct mt_task *tasks = &task->occ->tasks[task->occ->step_first[task->step]];
  unsigned n = 0;

  for (unsigned i = 0; i < mt_task_step (task)->count; i++)
    {
      const struct mt_task *other = &tasks[i];
      bool yields = may_stop_first && other->index > task->index && is_stop_lost (sched, other);

      n += other != task && is_unavailable (other) && !yields;
    }
  return n;
}

/* Returns whether a stop without an answer must not be resent now. The run still works, and since
 * the stop was first sent other tasks of its step may have become unavailable: a leaving worker's
 * tasks are moved beyond max_unavailable. */
static bool
must_postpone_stop (const struct mt_scheduler *sched,
                    const struct mt_worker *w,
                    const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return step->long_running && !w->leaving && task->occ->job->ended_at == 0
         && !is_known_absent (w, task)
         && count_unavailable_others (sched, task, true) >= MAX (step->max_unavailable, 1U);
}

static void
check_task (struct mt_scheduler *sched, struct mt_worker *w, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_RUNNING && w->silent_since == 0)
    stop_if_stalled (sched, w, task, now);
  else if (task->state == MT_TASK_STOPPING && !task->order_queued && !task->order_in_flight
           && !task->stop_acked && now - task->state_since > MT_STOP_RETRY_MS
           && !must_postpone_stop (sched, w, task))
    {
      task->state_since = now;
      task->order_queued = true;
      g_queue_push_tail (&sched->stops, task);
    }
}

/* Returns whether the worker could run the task if it had no other than long-running tasks. */
static bool
could_run (const struct mt_worker *w, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  struct mt_resources used = { 0 };

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_step *other = mt_task_step (l->data);

      if (!other->long_running)
        continue;
      used.cpu += other->fill ? 0 : other->need.cpu;
      used.mem += other->need.mem;
      used.gpu += other->need.gpu;
    }
  return used.cpu + step->need.cpu <= w->resources.cpu
         && used.mem + step->need.mem <= w->resources.mem
         && used.gpu + step->need.gpu <= w->resources.gpu && mt_worker_has_label (w, step->label)
         && (step->max_per_worker == 0
             || mt_worker_tasks_of_step (w, task->occ, task->step) < step->max_per_worker);
}

/* Reserves a worker for a long-running task that no worker has resources for: in a surge every
 * resource that becomes free is taken by other tasks at once, and the drained worker would never
 * become empty. Takes the worker whose other tasks end first, one at a time for the whole pool. */
static void
reserve_worker (struct mt_scheduler *sched, const struct mt_task *task, int64_t now)
{
  struct mt_worker *best = NULL;
  GHashTableIter it;
  struct mt_worker *w;

  if (now < sched->long_running_only_until)
    return;
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (w != task->worker && mt_worker_accepts_work (w, now) && could_run (w, task)
        && w->drain_announced_until <= now
        && (best == NULL
            || mt_worker_batch_remaining_ms (w, now) < mt_worker_batch_remaining_ms (best, now)))
      best = w;
  if (best == NULL)
    return;
  sched->long_running_only_until = best->long_running_only_until = now + RESERVATION_MS;
  mt_task_log_event (sched, task, best, "WORKER_RESERVED", "for_ms=%d tasks=%u", RESERVATION_MS,
                     best->tasks.length);
}

/* Moves a long-running task off a worker that leaves or is drained, while enough other tasks of its
 * step are available: no more than max_unavailable may be unavailable at once. */
static void
move_long_running (struct mt_scheduler *sched,
                   struct mt_worker *w,
                   struct mt_task *task,
                   int64_t now)
{
  const struct mt_step *step = mt_task_step (task);
  unsigned unavailable;

  if (!step->long_running || task->state != MT_TASK_RUNNING)
    return;
  unavailable = count_unavailable_others (sched, task, false);
  /* Without another worker to run on, the stopped task would be unavailable until there is one. On
   * a leaving worker it is lost anyway. */
  if (!w->leaving && !mt_task_can_run_elsewhere (sched, task, now))
    {
      if (unavailable < MAX (step->max_unavailable, 1U))
        reserve_worker (sched, task, now);
      return;
    }
  /* This also holds for a task that seems unavailable itself: its known state may be as old as one
   * hold. */
  if (unavailable >= MAX (step->max_unavailable, 1U)
      && (!w->leaving || now - w->leaving_since < LEAVING_MOVES_MS))
    return;
  mt_task_log_event (sched, task, w, "TASK_MOVED", "away=%u", unavailable);
  task->avoided = w;
  mt_task_stop (sched, task, now);
}

/* Returns whether the task can be stopped and continue elsewhere from its checkpoint. */
static bool
is_movable (const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return step->checkpointing && !step->long_running && !step->gang && !step->speculative
         && task->state == MT_TASK_RUNNING;
}

/* Returns the time until the tasks that can't be moved have ended. */
static int64_t
unmovable_remaining_ms (const struct mt_worker *w, int64_t now)
{
  int64_t longest = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (!is_movable (l->data))
      longest = MAX (longest, mt_task_remaining_ms (l->data, now));
  return longest;
}

/* Stops tasks that alone would delay the drain of their worker, which is needed elsewhere or
 * leaves. They continue on workers with free resources. */
static void
move_checkpointed (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  int64_t bound = unmovable_remaining_ms (w, now) + MIN_MOVE_REMAINING_MS;
  GList *next;

  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;
      int64_t remaining_ms = mt_task_remaining_ms (task, now);

      next = l->next;
      if (!is_movable (task) || remaining_ms < bound
          || !mt_task_can_run_elsewhere (sched, task, now))
        continue;
      mt_task_log_event (sched, task, w, "TASK_MOVED", "left_ms=%" G_GINT64_FORMAT, remaining_ms);
      mt_task_stop (sched, task, now);
    }
}

/* Returns the least factor of the run time on other workers that can run the task in its rack;
 * G_MAXDOUBLE if there are none. */
static double
best_factor_elsewhere (const struct mt_scheduler *sched, const struct mt_task *task, int64_t now)
{
  const struct mt_route *route = task->occ->job->route;
  double best = G_MAXDOUBLE;
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (w != task->worker && mt_worker_accepts_work (w, now) && mt_worker_can_run (w, task)
        && mt_worker_has_label (w, mt_task_step (task)->rack) && w->long_running_only_until <= now
        && w->reserved_for == NULL)
      best = MIN (best, mt_worker_run_factor (w, route, 1));
  return best;
}

/* Returns whether waiting tasks lack resources: they would take those meant for a moved task. */
static bool
has_shortage (const struct mt_scheduler *sched)
{
  for (const GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && job->occurrences[k]->shortage_since != 0)
          return true;
    }
  return false;
}

/* Moves the task if the rest of it would take longer here than a restart from its checkpoint
 * elsewhere. Only first runs are moved, so a task is moved at most once: the progress of a run that
 * was continued doesn't show its speed. */
static bool
move_off_slow (struct mt_scheduler *sched, struct mt_worker *w, struct mt_task *task, int64_t now)
{
  double factor = mt_worker_run_factor (w, task->occ->job->route, 1);
  int64_t known = task->progress_at - task->state_since;
  int64_t here_ms;
  double elsewhere_ms;
  double whole_ms;

  if (factor <= MT_SLOW_FACTOR || !is_movable (task) || task->checkpoint == NULL || task->run > 1
      || task->pace < 100 || task->percent < MIN_SLOW_MOVE_PERCENT || known <= 0
      || task->occ->job->route->policy.needs_tickets)
    return false;
  here_ms = mt_task_remaining_ms (task, now);
  if (here_ms < MOVE_MS + MIN_MOVE_REMAINING_MS || sched->slow_scans_left == 0)
    return false;
  sched->slow_scans_left--;
  if (has_shortage (sched))
    {
      sched->slow_scans_left = 0;
      return false;
    }
  whole_ms = (double) known * 100 / task->percent / factor;
  elsewhere_ms = MOVE_MS
                 + best_factor_elsewhere (sched, task, now) * whole_ms
                       * (100 - task->checkpoint_percent) / 100;
  if ((double) here_ms < elsewhere_ms + MIN_MOVE_REMAINING_MS)
    return false;
  mt_task_log_event (sched, task, w, "TASK_MOVED",
                     "why=slow left_ms=%" G_GINT64_FORMAT " elsewhere_ms=%d percent=%u kept=%u",
                     here_ms, (int) elsewhere_ms, task->percent, task->checkpoint_percent);
  /* Otherwise the evidence against the worker would leave it with the tasks. */
  mt_worker_record_run (sched, w, task, (double) known * 100 / task->percent, now);
  task->avoided = w;
  mt_task_stop (sched, task, now);
  return true;
}

static void
move_one_off_slow (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (w->lost_capacity <= 0 || w->silent_since != 0
      || now - sched->slow_move_at < SLOW_MOVE_INTERVAL_MS)
    return;
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (move_off_slow (sched, w, l->data, now))
      {
        sched->slow_move_at = now;
        return;
      }
}

static void
check_worker (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  bool draining = w->leaving || (w->move_long_running && w->cordon_until > now);
  GList *next;

  if (w->cordon_until != 0 && w->cordon_until <= now)
    {
      w->cordon_until = 0;
      w->move_long_running = false;
      /* The fleet leader that cordoned the worker may have moved its machine and died before it
       * reported the move. So the worker accepts work again only after an answer; a task placed on
       * it could otherwise wait for the longest lease. */
      w->confirmed = false;
      w->next_hold_at = now;
      sched->changed = true;
    }
  if (w->avoid_until != 0 && w->avoid_until <= now)
    {
      w->avoid_until = 0;
      sched->changed = true;
    }
  mt_worker_expire_longest_lease (sched, w, now);
  if (now > w->lease_end && !mt_scheduler_is_link_late (sched, now))
    mt_worker_forget_superseded (sched, w);
  if (w->tasks.length == 0)
    return;
  /* A worker that does not answer, or is not registered, may still run its tasks. They are released
   * once its last lease has expired by the slowest possible clock; before that, a task could run
   * twice. While the owner's link is late they are not released: the worker may have completed them
   * without being able to report it. */
  if ((w->silent_since != 0 || w->address == NULL) && now > w->lease_end
      && !mt_scheduler_is_link_late (sched, now))
    {
      mt_worker_release_tasks (sched, w, false, now, "lease over");
      return;
    }
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;

      next = l->next;
      check_task (sched, w, task, now);
      if (draining)
        move_long_running (sched, w, task, now);
    }
  if (draining)
    move_checkpointed (sched, w, now);
  else
    move_one_off_slow (sched, w, now);
}

static void
update_loss_rate (struct mt_scheduler *sched, int64_t now)
{
  unsigned n[MT_LOSS_GROUPS] = { 0 };
  unsigned idle = 0;
  GHashTableIter it;
  const struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      if (!w->listed || w->ended || w->silent_since != 0)
        continue;
      n[MT_LOSS_WITHOUT_SUSPECT] += mt_worker_is_in_loss_group (w, MT_LOSS_WITHOUT_SUSPECT, now);
      if (!mt_worker_is_in_loss_group (w, MT_LOSS_WITHOUT_START, now))
        continue;
      idle += w->tasks.length == 0;
      n[MT_LOSS_WITHOUT_START] += w->tasks.length > 0;
    }
  mt_loss_rate_add_time (&sched->loss_rate, n, idle,
                         MIN (now - sched->last_check_at, MAX_CHECK_GAP_MS), now);
}

void
mt_scheduler_check_workers (struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_worker *w;

  if (now - sched->last_check_at < CHECK_INTERVAL_MS)
    return;
  update_loss_rate (sched, now);
  sched->last_check_at = now;
  mt_scheduler_update_speeds (sched, now);
  sched->slow_scans_left = MAX_SLOW_SCANS;
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    check_worker (sched, w, now);
}
