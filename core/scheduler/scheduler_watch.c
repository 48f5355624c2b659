/* Tasks that stand still, stops without an answer, and workers that fell silent for good. */
#include "scheduler_internal.h"

#define WATCH_MS 50 /* between two looks over everything */
/* A task whose progress has not moved for this many of its expected run times stands still; never
 * sooner than the least. Progress is read with each hold, once a second at the slowest. */
#define STILL_FACTOR   1.0
#define STILL_LEAST_MS 2200
/* A long-running task that is not at work after so long is started elsewhere. */
#define LONG_RUNNING_START_MS 6000
/* On a worker that leaves, long-running tasks go one after the other for so long, then all at once:
 * what is still there when it is gone has lost more. */
#define LEAVING_PATIENCE_MS 1000

/* A task that is to end within this is let run on a worker that is to be emptied: the way to
 * another costs 200 to 300 ms. */
#define MOVE_LEAST_MS 400

/* The caller learns nothing from a run that stands still: the task is stopped and runs elsewhere,
 * which costs what the run had done since its last checkpoint. */
static void
watch_progress (struct mt_scheduler *sched, struct mt_worker *w, struct mt_task *task, int64_t now)
{
  const struct mt_step *step = mt_task_step (task);
  double expected = mt_step_expected_ms (task->occ->job->route, step);
  int64_t bound = MAX (STILL_LEAST_MS, (int64_t) (STILL_FACTOR * expected));

  if (step->long_running)
    {
      if (task->percent == 100)
        return;
      bound = LONG_RUNNING_START_MS;
    }
  /* Only a listing tells of progress. While listings are lost and orders are answered, what is
   * known of it is old: a task that works on would be stopped, and its caller wait for another run.
   * The last one must have shown the task still for all of the bound but the wait for the next. */
  if (task->pace < 100 || now - task->moved < bound
      || w->listing_at - task->moved < bound - MT_HOLD_WAIT_MS)
    return;
  mt_task_log_event (sched, task, w, "TASK_STILL", "percent=%u for_ms=%" G_GINT64_FORMAT,
                     task->percent, now - task->moved);
  mt_worker_record_outcome (sched, w, false, now);
  task->shunned = w;
  mt_task_stop (sched, task, now);
}

static void
watch_task (struct mt_scheduler *sched, struct mt_worker *w, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_RUNNING && w->silent_since == 0)
    watch_progress (sched, w, task, now);
  else if (task->state == MT_TASK_STOPPING && !task->order_due && !task->order_sent
           && !task->stop_answered && now - task->since > MT_STOP_RETRY_MS)
    {
      task->since = now;
      task->order_due = true;
      g_queue_push_tail (&sched->stops, task);
    }
}

/* A worker that does not answer may have stopped working long ago. One that a predecessor has told
 * to stop a run lists it as at work until the stop takes effect. */
static bool
is_away (const struct mt_task *task, int64_t now)
{
  return task->state != MT_TASK_RUNNING || task->percent < 100 || task->worker->silent_since != 0
         || now < task->sure_from;
}

/* A long-running task on a worker that leaves, or is to be emptied, goes elsewhere while others of
 * its step are at work: no more than max_unavailable may be away at once. */
static void
move_long_running (struct mt_scheduler *sched,
                   struct mt_worker *w,
                   struct mt_task *task,
                   int64_t now)
{
  const struct mt_step *step = mt_task_step (task);
  struct mt_occurrence *occ = task->occ;
  unsigned away = 0;

  if (!step->long_running || task->state != MT_TASK_RUNNING)
    return;
  for (unsigned i = 0; i < step->count; i++)
    {
      const struct mt_task *other = &occ->tasks[occ->step_first[task->step] + i];

      away += other != task && is_away (other, now);
    }
  /* Stopped without a place to go to it would be away for as long as none comes. On a worker that
   * leaves it is lost anyway. */
  if (!w->leaving && !mt_task_can_run_elsewhere (sched, task, now))
    return;
  /* Also one that is not at work itself waits: what is known of it is up to a hold old. */
  if (away >= MAX (step->max_unavailable, 1U)
      && (!w->leaving || now - w->leaving_since < LEAVING_PATIENCE_MS))
    return;
  mt_task_log_event (sched, task, w, "TASK_MOVED", "away=%u", away);
  task->shunned = w;
  mt_task_stop (sched, task, now);
}

/* It goes on elsewhere from where it is stopped. */
static bool
may_be_moved (const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return step->checkpointing && !step->long_running && !step->gang && !step->speculative
         && task->state == MT_TASK_RUNNING;
}

/* What keeps the worker from being empty, whatever is moved. */
static int64_t
stay_ms (const struct mt_worker *w, int64_t now)
{
  int64_t most = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (!may_be_moved (l->data))
      most = MAX (most, mt_task_remaining_ms (l->data, now));
  return most;
}

/* A worker that is to be emptied is wanted elsewhere, or goes: a task that alone would keep it for
 * long is stopped, to go on where there is room. */
static void
move_checkpointed (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  int64_t bound = stay_ms (w, now) + MOVE_LEAST_MS;
  GList *next;

  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;
      int64_t left = mt_task_remaining_ms (task, now);

      next = l->next;
      if (!may_be_moved (task) || left < bound || !mt_task_can_run_elsewhere (sched, task, now))
        continue;
      mt_task_log_event (sched, task, w, "TASK_MOVED", "left_ms=%" G_GINT64_FORMAT, left);
      mt_task_stop (sched, task, now);
    }
}

static void
watch_worker (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  bool empties = w->leaving || (w->move_long_running && w->cordon_until > now);
  GList *next;

  if (w->cordon_until != 0 && w->cordon_until <= now)
    {
      w->cordon_until = 0;
      w->move_long_running = false;
      /* Whoever cordoned it may have had its machine moved and died before it could tell: the
       * worker takes work again once it has answered, or a task would wait there for the longest
       * lease. */
      w->held = false;
      w->next_hold = now;
      sched->changed = true;
    }
  if (w->shun_until != 0 && w->shun_until <= now)
    {
      w->shun_until = 0;
      sched->changed = true;
    }
  if (w->tasks.length == 0)
    return;
  /* A worker that does not answer, or is in no registry, may run on; its tasks are free once the
   * last lease given to it has run out on the slowest clock. Sooner, a task could run twice. Where
   * it is our own link that is late the worker may have done all of them, and have it to tell: they
   * are not free before it has been asked in time. */
  if ((w->silent_since != 0 || w->address == NULL) && now > w->lapse_by
      && !mt_scheduler_is_link_late (sched, now))
    {
      mt_worker_release_tasks (sched, w, false, now, "lease over");
      return;
    }
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;

      next = l->next;
      watch_task (sched, w, task, now);
      if (empties)
        move_long_running (sched, w, task, now);
    }
  if (empties)
    move_checkpointed (sched, w, now);
}

void
mt_scheduler_watch (struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_worker *w;

  if (now - sched->last_watch < WATCH_MS)
    return;
  sched->last_watch = now;
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    watch_worker (sched, w, now);
}
