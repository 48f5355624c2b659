/* What workers answer, and what follows from it for the tasks. */
#include "scheduler_internal.h"

#include <string.h>

/* A worker that gave no answer is asked again after this. */
#define SILENT_AGAIN_MS 250
/* A task whose run ended badly waits so long before it is placed again. */
#define AGAIN_MS 20
/* A worker that refused a start for want of health or room takes nothing for so long. */
#define REFUSED_MS 400
/* A start without an answer is sent again so often. Of the starts on a worker that loses every
 * second one, one in sixteen is still in doubt then. */
#define START_REPEATS 3
/* An end is listed so long after it, at the latest. */
#define STOP_LISTED_MS 100
/* Idle workers are asked so often, to read their clocks: 2% of it is the error of a lease. */
#define IDLE_HOLD_MS 15000

static struct mt_worker *
find_worker (const struct mt_scheduler *sched, const char *id)
{
  return g_hash_table_lookup (sched->workers, id);
}

static void
fence_off (struct mt_scheduler *sched, const char *worker)
{
  if (!sched->fenced_off)
    mt_scheduler_log_event (sched, "SCHEDULER_FENCED", "worker=%s", worker);
  sched->fenced_off = true;
}

bool
mt_scheduler_is_fenced (const struct mt_scheduler *sched)
{
  return sched->fenced_off;
}

static void
heard (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (w->silent_since != 0)
    {
      mt_scheduler_log_event (sched, "WORKER_BACK", "worker=%s silent_ms=%" G_GINT64_FORMAT, w->id,
                              now - w->silent_since);
      sched->changed = true;
    }
  w->heard = now;
  w->silent_since = 0;
  mt_worker_clear_settled (sched, w);
}

static void
unheard (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (w->silent_since != 0)
    return;
  w->silent_since = now;
  mt_worker_record_silence (w, now);
  mt_scheduler_log_event (sched, "WORKER_SILENT", "worker=%s tasks=%u", w->id, w->tasks.length);
}

/* One order without an answer, from a worker that answers others: it may be carried out late, and
 * so may more. The worker goes on taking work, and holds wait less long: each lost one delays the
 * news of all its ends. */
static void
order_unheard (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (now - w->heard > MT_SILENT_MS)
    unheard (sched, w, now);
  else
    sched->losses_at = now;
}

static void
begin_job (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  if (job->begun)
    return;
  mt_job_mark_begun (job);
  mt_scheduler_log_event (sched, "JOB_BEGUN", "id=%s route=%s waited_ms=%" G_GINT64_FORMAT,
                          job->spec->id, job->route->name, now - job->submitted);
}

static void
mark_running (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state != MT_TASK_ORDERED)
    return;
  mt_task_dequeue (sched, task);
  task->state = MT_TASK_RUNNING;
  task->since = task->began = now;
  task->moved = now;
  task->doubtful = false;
  /* Its worker may be down the next moment, and this daemon too: a successor has to know. */
  if (task->isolated)
    mt_job_mark_dirty (sched, task->occ->job);
  begin_job (sched, task->occ->job, now);
}

/* ---- ends ---- */

static void
learn (struct mt_task *task, struct mt_worker *w, int64_t now)
{
  struct mt_route *route = task->occ->job->route;
  const struct mt_step *step = mt_task_step (task);
  double took = (double) (now - task->since);
  double expected = mt_step_expected_ms (route, step);

  if (task->state != MT_TASK_RUNNING || took <= 0)
    return;
  /* On a worker that is known to be slow it tells of the worker. */
  if (w->slow < MT_SLOW_FACTOR)
    {
      task->occ->step_ms[task->step] = MAX (task->occ->step_ms[task->step], took);
      mt_occurrence_set_objective (task->occ);
    }
  if (expected > 0)
    w->slow += 0.15 * (took / expected - w->slow);
  /* A smoothing of 1/32 follows a change of load within a surge and forgets one odd job. */
  route->mean_ms += (route->mean_ms == 0 ? 1.0 : 1.0 / 32) * (took - route->mean_ms);
  route->estimate_ms += (route->estimate_ms == 0 ? 1.0 : 1.0 / 32)
                        * ((double) step->estimate_ms - route->estimate_ms);
}

static void
gang_done (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  struct mt_occurrence *occ = task->occ;
  unsigned first = occ->step_first[task->step];

  for (unsigned i = 0; i < mt_task_step (task)->count; i++)
    mt_task_finish (sched, &occ->tasks[first + i], now);
}

static void
task_done (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now)
{
  struct mt_job *job = task->occ->job;

  begin_job (sched, job, now);
  learn (task, w, now);
  mt_worker_record_outcome (sched, w, true, now);
  if (mt_task_step (task)->gang)
    gang_done (sched, task, now);
  else
    mt_task_finish (sched, task, now);
  mt_job_complete_if_done (sched, job, now);
}

/* One failed run of a gang counts once, for all its members. */
static unsigned
count_attempt (struct mt_task *task)
{
  struct mt_occurrence *occ = task->occ;
  const struct mt_step *step = mt_task_step (task);
  unsigned first = occ->step_first[task->step];

  if (!step->gang)
    return ++task->attempts;
  for (unsigned i = 0; i < step->count; i++)
    occ->tasks[first + i].attempts++;
  return task->attempts;
}

static void
task_failed (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now)
{
  struct mt_job *job = task->occ->job;
  const struct mt_step *step = mt_task_step (task);

  begin_job (sched, job, now);
  task->shunned = w;
  task->not_before = now + AGAIN_MS;
  mt_task_set_waiting (sched, task, now);
  if (step->long_running)
    return;
  mt_worker_record_outcome (sched, w, false, now);
  mt_task_log_event (sched, task, w, "TASK_FAILED", "attempts=%u of=%d", task->attempts + 1U,
                     job->route->terms.max_attempts);
  if ((int) count_attempt (task) >= job->route->terms.max_attempts)
    mt_job_end (sched, job, MT_JOB_FAILED, now);
}

static void
finish_elsewhere (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  mt_task_finish (sched, task, now);
  mt_job_complete_if_done (sched, task->occ->job, now);
}

static void
take_end (struct mt_scheduler *sched,
          struct mt_worker *w,
          const struct mt_end_row *end,
          int64_t now)
{
  struct mt_task *task = mt_scheduler_find_task (sched, end->task);
  bool current;

  if (task == NULL || task->state == MT_TASK_DONE)
    return;
  current = task->worker == w && task->run == end->run;
  mt_task_keep_checkpoint (task, end->checkpoint);
  /* Work that was done counts whichever run did it. Another run of it takes room until it has
   * ended, so the task is done only then: sooner, its worker would be overbooked. */
  if (end->kind == MT_END_DONE && !current)
    {
      task->done_elsewhere = true;
      if (task->worker != NULL)
        mt_task_stop (sched, task, now);
      else
        finish_elsewhere (sched, task, now);
      return;
    }
  if (!current)
    return;
  /* The worker is there to tell of it. */
  task->suspect &= end->kind != MT_END_DONE && end->kind != MT_END_FAILED;
  if (end->kind == MT_END_DONE)
    task_done (sched, task, w, now);
  else if (end->kind == MT_END_FAILED)
    task_failed (sched, task, w, now);
  else
    {
      if (end->kind == MT_END_GANG_INCOMPLETE || end->kind == MT_END_GANG_BROKEN)
        task->not_before = now + AGAIN_MS;
      mt_task_set_waiting (sched, task, now);
    }
}

static void
take_ends (struct mt_scheduler *sched,
           struct mt_worker *w,
           const struct mt_hold_report *report,
           int64_t now)
{
  for (size_t i = 0; i < report->n_ended; i++)
    {
      const struct mt_end_row *end = &report->ended[i];

      if (end->sequence <= w->seen_end)
        continue;
      take_end (sched, w, end, now);
      w->seen_end = end->sequence;
      sched->changed = true;
    }
}

/* ---- runs ---- */

static void
add_stray (struct mt_scheduler *sched, struct mt_worker *w, const struct mt_run_row *row)
{
  struct mt_stray *stray;

  for (GList *l = sched->strays.head; l != NULL; l = l->next)
    {
      stray = l->data;
      if (stray->worker == w && strcmp (stray->task, row->task) == 0)
        return;
    }
  stray = g_new0 (struct mt_stray, 1);
  *stray = (struct mt_stray){ w, g_strdup (row->task), row->run };
  g_queue_push_tail (&sched->strays, stray);
}

/* What a listing shows and no open job wants is stopped, whatever path left it there, and a stop
 * that was acknowledged and has not taken effect is sent again: a run that is forgotten once is
 * held with the others on its worker, and so never lapses. */
static void
stop_unwanted (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  if (task->occ->job->ended_at != 0)
    mt_task_stop (sched, task, now);
  if (task->state == MT_TASK_STOPPING && task->stop_answered
      && sent > task->answered + MT_STOP_RETRY_MS)
    task->stop_answered = false;
}

static void
take_run (struct mt_scheduler *sched,
          struct mt_worker *w,
          const struct mt_run_row *row,
          int64_t sent,
          int64_t now)
{
  struct mt_task *task = mt_scheduler_find_task (sched, row->task);

  if (task == NULL || task->worker != w || task->run != row->run)
    {
      w->strays++;
      add_stray (sched, w, row);
      return;
    }
  task->stamp = w->stamp;
  mt_task_keep_checkpoint (task, row->checkpoint);
  mark_running (sched, task, now);
  if (task->inherited)
    task->sure_from = now + sched->settings.stop_grace_ms + STOP_LISTED_MS;
  task->inherited = false;
  if (row->percent != task->percent)
    {
      task->percent = (uint8_t) MIN (row->percent, 100U);
      task->moved = now;
    }
  task->gauge = row->gauge;
  if (mt_task_step (task)->long_running)
    task->away_since = task->percent == 100 ? 0 : task->away_since != 0 ? task->away_since : now;
  stop_unwanted (sched, task, sent, now);
}

/* The worker's own list is believed over ours: what it may still begin is stopped by name. */
static void
stop_missed (
    struct mt_scheduler *sched, struct mt_task *task, const char *why, int64_t sent, int64_t now)
{
  mt_task_log_event (sched, task, task->worker, "TASK_MISSED",
                     "why=%s listing_age_ms=%" G_GINT64_FORMAT " since_ms=%" G_GINT64_FORMAT, why,
                     now - sent, now - task->since);
  task->shunned = task->worker;
  mt_task_stop (sched, task, now);
}

/* The start is lost, or comes late. Sent again under its run number it can't run twice: whichever
 * comes second finds the run there. Stopping instead would end a run that the late one has begun,
 * and a caller would wait for three more calls. A worker that leaves, or has shrunk, must start
 * nothing. */
static void
doubt_start (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  if (task->repeats < START_REPEATS && !task->worker->leaving
      && !mt_worker_is_overcommitted (task->worker))
    {
      if (sent <= task->since)
        return;
      task->repeats++;
      task->doubtful = false;
      task->order_due = true;
      g_queue_push_tail (&sched->starts, task);
    }
  else if (now - task->since > MT_UNCONFIRMED_START_MS)
    stop_missed (sched, task, "start unanswered", sent, now);
}

/* What the worker did not list though it should have. A listing counts only where it was asked for
 * after the worker had acknowledged the order: answers overtake each other. */
static void
miss_run (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  bool after = task->answered != 0 && sent > task->answered;

  switch (task->state)
    {
    case MT_TASK_ORDERED:
      /* The predecessor's orders are refused from our first hold on: it was never started. */
      if (task->inherited)
        mt_task_set_waiting (sched, task, now);
      else if (task->doubtful)
        doubt_start (sched, task, sent, now);
      return;
    case MT_TASK_RUNNING:
      if (after)
        stop_missed (sched, task, "not listed", sent, now);
      return;
    case MT_TASK_STOPPING:
      if (task->stop_answered && after)
        mt_task_set_waiting (sched, task, now);
      return;
    default:
      return;
    }
}

static void
take_runs (struct mt_scheduler *sched,
           struct mt_worker *w,
           const struct mt_hold_report *report,
           int64_t sent,
           int64_t now)
{
  GList *next;

  w->stamp++;
  w->strays = 0;
  for (size_t i = 0; i < report->n_running; i++)
    take_run (sched, w, &report->running[i], sent, now);
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;

      next = l->next;
      if (task->stamp != w->stamp)
        miss_run (sched, task, sent, now);
    }
}

void
mt_scheduler_hold_answered (struct mt_scheduler *sched,
                            const char *worker,
                            const struct mt_hold_report *report,
                            int64_t sent,
                            int64_t now)
{
  struct mt_worker *w = find_worker (sched, worker);

  if (w == NULL)
    return;
  w->hold_on_way = false;
  switch (report->answer)
    {
    case MT_ANSWER_OK:
      break;
    case MT_ANSWER_FENCED:
      fence_off (sched, worker);
      return;
    case MT_ANSWER_OTHER_INCARNATION:
      mt_scheduler_worker_ended (sched, worker, now, "another answers at its address");
      return;
    default:
      order_unheard (sched, w, now);
      w->next_hold = w->lost_holds++ == 0 ? now : now + SILENT_AGAIN_MS;
      return;
    }
  /* An answer that an earlier life had sent may arrive after the registry has told of the next one:
   * it says nothing of what runs now. */
  if (report->started_at_ms != 0 && report->started_at_ms < w->born)
    {
      w->next_hold = now;
      return;
    }
  if (report->started_at_ms != 0 && w->born != 0 && report->started_at_ms != w->born)
    {
      struct mt_worker_entry reborn = { .id = w->id,
                                        .started_at_ms = report->started_at_ms,
                                        .address = w->address,
                                        .zone = w->zone,
                                        .resources = w->room };

      mt_scheduler_update_worker (sched, &reborn, now);
    }
  else if (w->born == 0)
    w->born = report->started_at_ms;
  heard (sched, w, now);
  w->listing_at = now;
  w->lost_holds = 0;
  mt_worker_update_clock (w, report->clock_ms, now);
  if (!w->held)
    {
      w->held = true;
      sched->changed = true;
    }
  take_ends (sched, w, report, now);
  take_runs (sched, w, report, sent, now);
  mt_worker_adjust_pace (sched, w, now);
  w->next_hold = w->tasks.length > 0 || w->strays > 0 || w->seen_end > w->durable_end
                     ? now
                     : now + IDLE_HOLD_MS;
}

/* ---- orders ---- */

static void
start_refused (struct mt_scheduler *sched,
               struct mt_task *task,
               struct mt_worker *w,
               enum mt_answer answer,
               int64_t now)
{
  static const char *const why[] = {
    [MT_ANSWER_STALE_RUN] = "old run",    [MT_ANSWER_LEASE_EXPIRED] = "late",
    [MT_ANSWER_NO_RESOURCES] = "no room", [MT_ANSWER_NO_TICKET] = "no ticket",
    [MT_ANSWER_UNHEALTHY] = "unhealthy",  [MT_ANSWER_MALFORMED] = "unreadable",
  };

  if (answer == MT_ANSWER_NO_RESOURCES || answer == MT_ANSWER_UNHEALTHY
      || answer == MT_ANSWER_MALFORMED)
    w->shun_until = MAX (w->shun_until, now + REFUSED_MS);
  if (answer == MT_ANSWER_NO_TICKET)
    {
      char name[80];

      mt_task_step_name (task, name, sizeof name);
      g_hash_table_remove (sched->advices, name);
    }
  task->not_before = now + AGAIN_MS;
  mt_task_log_event (sched, task, w, "START_REFUSED", "why=%s", why[answer]);
  /* One sent before may still arrive, and find room: the task would run twice. */
  if (task->repeats > 0)
    mt_task_stop (sched, task, now);
  else
    mt_task_set_waiting (sched, task, now);
}

static void
start_answered (struct mt_scheduler *sched,
                struct mt_task *task,
                struct mt_worker *w,
                enum mt_answer answer,
                int64_t now)
{
  task->order_sent = false;
  if (task->state != MT_TASK_ORDERED && task->state != MT_TASK_RUNNING)
    return;
  switch (answer)
    {
    case MT_ANSWER_OK:
      mark_running (sched, task, now);
      task->answered = now;
      w->next_hold = MIN (w->next_hold, now);
      return;
    case MT_ANSWER_NONE:
      task->doubtful = true;
      task->since = now;
      w->next_hold = MIN (w->next_hold, now);
      return;
    default:
      if (task->state == MT_TASK_ORDERED)
        start_refused (sched, task, w, answer, now);
      return;
    }
}

void
mt_scheduler_order_answered (struct mt_scheduler *sched,
                             enum mt_order_kind kind,
                             const char *worker,
                             const char *name,
                             unsigned run,
                             enum mt_answer answer,
                             int64_t clock_ms,
                             int64_t now)
{
  struct mt_worker *w = find_worker (sched, worker);
  struct mt_task *task = mt_scheduler_find_task (sched, name);

  if (w == NULL)
    return;
  if (w->order_load > 0)
    w->order_load--;
  if (answer == MT_ANSWER_FENCED)
    {
      fence_off (sched, worker);
      return;
    }
  if (answer == MT_ANSWER_OTHER_INCARNATION)
    {
      mt_scheduler_worker_ended (sched, worker, now, "another answers at its address");
      return;
    }
  if (answer == MT_ANSWER_NONE)
    order_unheard (sched, w, now);
  else
    {
      heard (sched, w, now);
      mt_worker_update_clock (w, clock_ms, now);
    }
  if (task == NULL || task->worker != w || task->run != run)
    return;
  if (kind == MT_ORDER_START)
    start_answered (sched, task, w, answer, now);
  else if (kind == MT_ORDER_STOP && task->state == MT_TASK_STOPPING)
    {
      task->order_sent = false;
      task->stop_answered = answer == MT_ANSWER_OK;
      task->answered = answer == MT_ANSWER_OK ? now : 0;
      task->since = now;
      w->next_hold = MIN (w->next_hold, now);
    }
}
