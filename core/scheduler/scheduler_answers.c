/* Answers of workers to holds and orders, and the resulting changes to tasks. */
#include "scheduler_internal.h"

#include <string.h>

/* Delay before the next hold to a worker that has not answered repeated holds. */
#define SILENT_HOLD_RETRY_MS 250
/* Delay before a task whose run ended badly is placed again. */
#define TASK_RETRY_MS 20
/* A worker that refused a start because of its health, lack of resources or a malformed order takes
 * no work for this long. */
#define REFUSAL_AVOID_MS 400
/* Times that a start without an answer is resent. On a worker that loses every second start, one in
 * sixteen is still unconfirmed after the last retry. */
#define MAX_START_RETRIES 3
/* Interval of holds to idle workers. Their answers give the worker's clock: leases are wrong by up
 * to 2% of the time since the last reading. */
#define IDLE_HOLD_INTERVAL_MS 15000

static struct mt_worker *
find_worker (const struct mt_scheduler *sched, const char *id)
{
  return g_hash_table_lookup (sched->workers, id);
}

static void
mark_fenced (struct mt_scheduler *sched, const char *worker)
{
  if (!sched->fenced)
    mt_scheduler_log_event (sched, "SCHEDULER_FENCED", "worker=%s", worker);
  sched->fenced = true;
}

bool
mt_scheduler_is_fenced (const struct mt_scheduler *sched)
{
  return sched->fenced;
}

static void
record_answer (struct mt_scheduler *sched, struct mt_worker *w, int64_t sent_at, int64_t now)
{
  if (w->silent_since != 0)
    {
      mt_scheduler_log_event (sched, "WORKER_BACK", "worker=%s silent_ms=%" G_GINT64_FORMAT, w->id,
                              now - w->silent_since);
      sched->changed = true;
    }
  w->answered_at = now;
  w->start_before_answer_at = w->start_sent_at;
  w->silent_since = 0;
  w->loss_counted = false;
  mt_worker_prove_leases (w, sent_at);
  mt_worker_clear_settled (sched, w);
}

static bool
is_without_answer (enum mt_answer answer)
{
  return answer == MT_ANSWER_NONE || answer == MT_ANSWER_OTHER_INCARNATION;
}

static void
mark_silent (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (w->silent_since != 0)
    return;
  w->silent_since = now;
  mt_worker_record_silence (w, now);
  mt_scheduler_log_event (sched, "WORKER_SILENT", "worker=%s tasks=%u", w->id, w->tasks.length);
}

/* Handles an order without an answer. If the worker has answered others recently, this order and
 * more may be carried out late: the worker goes on taking work, but holds wait a shorter time,
 * since each lost hold delays the report of all ends on its worker. */
static void
handle_no_answer (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  w->answer_lost = true;
  if (now - w->answered_at > MT_SILENT_MS)
    mark_silent (sched, w, now);
  else
    sched->order_lost_at = now;
}

static void
mark_job_begun (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  if (job->begun)
    return;
  mt_job_mark_begun (job);
  mt_scheduler_log_event (sched, "JOB_BEGUN", "id=%s route=%s waited_ms=%" G_GINT64_FORMAT,
                          job->spec->id, job->route->name, now - job->submitted_at);
}

static void
mark_running (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state != MT_TASK_ORDERED)
    return;
  mt_task_dequeue (sched, task);
  task->state = MT_TASK_RUNNING;
  task->state_since = task->begun_at = now;
  task->progress_at = now;
  task->unconfirmed = false;
  /* The worker and this daemon may both crash at any moment. The next leader has to know that the
   * suspect's run had begun. */
  if (task->isolated)
    mt_task_mark_dirty (sched, task);
  mark_job_begun (sched, task->occ->job, now);
}

/* ---- ends ---- */

static void
update_run_times (struct mt_scheduler *sched,
                  struct mt_task *task,
                  struct mt_worker *w,
                  int64_t now)
{
  struct mt_route *route = task->occ->job->route;
  const struct mt_step *step = mt_task_step (task);
  double run_ms = (double) (now - task->state_since);
  double expected = mt_step_expected_ms (route, step);

  if (task->state != MT_TASK_RUNNING || run_ms <= 0)
    return;
  /* On a slow worker the run time does not characterize the step. */
  if (mt_worker_run_factor (w, route, w->slowness) < MT_SLOW_FACTOR)
    {
      task->occ->step_ms[task->step] = MAX (task->occ->step_ms[task->step], run_ms);
      mt_occurrence_set_objective (task->occ);
    }
  if (expected > 0)
    w->slowness += 0.15 * (run_ms / expected - w->slowness);
  mt_worker_record_run (sched, w, task, run_ms, now);
  /* Demand is stated for workers of normal speed, as is the capacity of the slow ones. */
  run_ms /= MAX (mt_worker_run_factor (w, route, 1), 1);
  /* With a weight of 1/32 the mean follows a change of load within a surge, and one unusual job has
   * little effect on it. */
  route->mean_ms += (route->mean_ms == 0 ? 1.0 : 1.0 / 32) * (run_ms - route->mean_ms);
  route->estimate_ms += (route->estimate_ms == 0 ? 1.0 : 1.0 / 32)
                        * ((double) step->estimate_ms - route->estimate_ms);
}

/* Completes the task, of which a run is done, and all members of its gang, whichever of them
 * reports it. Tasks of which another run is active occupy resources until that run has ended. */
static void
finish_task (struct mt_scheduler *sched, struct mt_task *task, bool is_current, int64_t now)
{
  struct mt_job *job = task->occ->job;
  unsigned n;
  struct mt_task *members = mt_task_get_members (task, &n);

  for (unsigned i = 0; i < n; i++)
    if (!is_current && members[i].worker != NULL)
      {
        members[i].done_elsewhere = true;
        mt_task_stop (sched, &members[i], now);
      }
    else
      mt_task_finish (sched, &members[i], now);
  mt_job_complete_if_done (sched, job, now);
}

static void
handle_success (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now)
{
  mark_job_begun (sched, task->occ->job, now);
  update_run_times (sched, task, w, now);
  mt_worker_record_outcome (sched, w, true, now);
  finish_task (sched, task, true, now);
}

/* Returns whether a member of the task's gang has reported the failure of its present run; w: that
 * it had on this worker; NULL: on any. */
static bool
has_gang_failed (const struct mt_task *task, const struct mt_worker *w)
{
  unsigned n;
  const struct mt_task *members = mt_task_get_members (task, &n);

  for (unsigned i = 0; i < n; i++)
    if (members[i].failed_run == task->run && (w == NULL || members[i].avoided == w))
      return true;
  return false;
}

/* Counts a failed run as one attempt, however many members of a gang report it. */
static void
count_attempt (struct mt_task *task)
{
  unsigned n;
  struct mt_task *members = mt_task_get_members (task, &n);

  for (unsigned i = 0; i < n; i++)
    members[i].attempts += members[i].attempts < G_MAXUINT16;
}

static void
handle_failure (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now)
{
  struct mt_job *job = task->occ->job;
  const struct mt_step *step = mt_task_step (task);
  bool is_counted = step->gang && has_gang_failed (task, NULL);
  bool is_worker_counted = step->gang && has_gang_failed (task, w);

  mark_job_begun (sched, job, now);
  task->avoided = w;
  task->failed_run = step->gang ? task->run : 0;
  task->not_before = now + TASK_RETRY_MS;
  mt_task_set_waiting (sched, task, now);
  if (step->long_running)
    return;
  if (!is_worker_counted)
    mt_worker_record_outcome (sched, w, false, now);
  if (!is_counted)
    count_attempt (task);
  task->reported_attempts = task->attempts;
  if (is_counted)
    return;
  mt_task_log_event (sched, task, w, "TASK_FAILED", "attempts=%u of=%d", task->attempts,
                     job->route->policy.max_attempts);
  if (mt_task_is_out_of_attempts (task))
    mt_job_end (sched, job, MT_JOB_FAILED, now);
}

static void
apply_end (struct mt_scheduler *sched,
           struct mt_worker *w,
           const struct mt_end_row *end,
           int64_t now)
{
  struct mt_task *task = mt_scheduler_find_task (sched, end->task);
  bool current;

  mt_worker_end_superseded (sched, w, end->task, end->run);
  if (task == NULL || task->state == MT_TASK_DONE)
    return;
  current = task->worker == w && task->run == end->run;
  mt_task_set_checkpoint (task, end->checkpoint);
  /* A task that any of its runs completed is done. If another run of the task is active, the task
   * is set done only when that run has ended: it occupies resources until then, and the worker
   * would be overbooked. */
  if (end->kind == MT_END_DONE && !current)
    {
      finish_task (sched, task, false, now);
      return;
    }
  if (!current)
    return;
  /* The worker survived to report this end, so the task did not crash it. */
  if (end->kind == MT_END_DONE || end->kind == MT_END_FAILED)
    {
      task->suspect = false;
      mt_task_clear_evidence (task);
    }
  if (end->kind == MT_END_DONE)
    handle_success (sched, task, w, now);
  else if (end->kind == MT_END_FAILED)
    handle_failure (sched, task, w, now);
  else
    {
      if (end->kind == MT_END_GANG_INCOMPLETE || end->kind == MT_END_GANG_BROKEN)
        task->not_before = now + TASK_RETRY_MS;
      mt_task_set_waiting (sched, task, now);
    }
}

static void
apply_ends (struct mt_scheduler *sched,
            struct mt_worker *w,
            const struct mt_hold_report *report,
            int64_t now)
{
  for (size_t i = 0; i < report->n_ended; i++)
    {
      const struct mt_end_row *end = &report->ended[i];
      const struct mt_task *task;

      if (end->sequence <= w->applied_end)
        continue;
      apply_end (sched, w, end, now);
      task = mt_scheduler_find_task (sched, end->task);
      mt_worker_add_end (w, end->sequence, task != NULL ? task->occ->job : NULL);
      sched->changed = true;
    }
}

/* ---- runs ---- */

static void
add_orphan (struct mt_scheduler *sched, struct mt_worker *w, const struct mt_run_row *row)
{
  struct mt_orphaned_run *orphan;

  for (GList *l = sched->orphaned_runs.head; l != NULL; l = l->next)
    {
      orphan = l->data;
      if (orphan->worker == w && strcmp (orphan->task, row->task) == 0)
        return;
    }
  orphan = g_new0 (struct mt_orphaned_run, 1);
  *orphan = (struct mt_orphaned_run){ w, g_strdup (row->task), row->run };
  g_queue_push_tail (&sched->orphaned_runs, orphan);
}

/* Stops a listed run whose job has ended, whatever the cause, and resends a stop that was
 * acknowledged but has not taken effect. A run that the scheduler has once missed would otherwise
 * never end, since holds renew its lease with those of the worker's other runs. */
static void
stop_unwanted (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  if (task->occ->job->ended_at != 0)
    mt_task_stop (sched, task, now);
  if (task->state == MT_TASK_STOPPING && task->stop_acked
      && sent > task->acked_at + MT_STOP_RETRY_MS)
    task->stop_acked = false;
}

static void
apply_listed_run (struct mt_scheduler *sched,
                  struct mt_worker *w,
                  const struct mt_run_row *row,
                  int64_t sent,
                  int64_t now)
{
  struct mt_task *task = mt_scheduler_find_task (sched, row->task);

  if (task == NULL || task->worker != w || task->run != row->run)
    {
      w->orphaned_runs++;
      add_orphan (sched, w, row);
      if (task != NULL)
        mt_worker_note_superseded (sched, w, task, row, now);
      return;
    }
  task->listing = w->listing;
  mt_task_locate (task, w->started_at);
  /* Written since the last listing, so not before the progress known from it. */
  if (mt_task_set_checkpoint (task, row->checkpoint))
    task->checkpoint_percent = task->percent;
  mark_running (sched, task, now);
  if (task->inherited)
    task->predecessor_stop_by = now + sched->settings.stop_grace_ms + MT_MAX_END_LISTING_MS;
  task->inherited = false;
  if (row->percent != task->percent)
    {
      task->percent = (uint8_t) MIN (row->percent, 100U);
      task->progress_at = now;
    }
  task->gauge = row->gauge;
  if (mt_task_step (task)->long_running)
    task->unavailable_since = task->percent == 100           ? 0
                              : task->unavailable_since != 0 ? task->unavailable_since
                                                             : now;
  stop_unwanted (sched, task, sent, now);
}

/* Stops a task that the worker does not list: the listing takes precedence over the scheduler's
 * state. A stop is sent all the same, as the worker may still begin the run. */
static void
stop_unlisted (
    struct mt_scheduler *sched, struct mt_task *task, const char *why, int64_t sent, int64_t now)
{
  mt_task_log_event (sched, task, task->worker, "TASK_MISSED",
                     "why=%s listing_age_ms=%" G_GINT64_FORMAT " since_ms=%" G_GINT64_FORMAT, why,
                     now - sent, now - task->state_since);
  task->avoided = task->worker;
  mt_task_stop (sched, task, now);
}

/* Resends a start that was lost or is late. The task can't run twice under the same run number: the
 * second start to arrive finds the run there. A stop instead would end a run that the late start
 * has begun, and the caller would wait for three more calls. On a worker that is leaving or has
 * shrunk, which must not start anything, the start is stopped. */
static void
resend_or_stop_start (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  if (task->start_retries < MAX_START_RETRIES && !task->worker->leaving
      && !mt_worker_is_overcommitted (task->worker))
    {
      if (sent <= task->state_since)
        return;
      task->start_retries++;
      task->unconfirmed = false;
      task->order_queued = true;
      g_queue_push_tail (&sched->starts, task);
    }
  else if (now - task->state_since > MT_UNCONFIRMED_START_MS)
    stop_unlisted (sched, task, "start unanswered", sent, now);
}

/* Handles a task that the worker should have listed but did not, in a whole listing. It counts only
 * if it was requested after the worker had acknowledged the order, since answers can overtake each
 * other. */
static void
handle_unlisted (struct mt_scheduler *sched, struct mt_task *task, int64_t sent, int64_t now)
{
  bool requested_after_ack = task->acked_at != 0 && sent > task->acked_at;

  if (task->unlocated)
    {
      /* The answer to a start tells whether the former incarnation had the run. */
      if (task->state == MT_TASK_STOPPING || !task->order_in_flight)
        mt_task_lose_unlocated (sched, task, now);
      return;
    }
  switch (task->state)
    {
    case MT_TASK_ORDERED:
      /* Since this leader's first hold, the worker refuses the previous leader's orders: the run
       * has never started. */
      if (task->inherited)
        mt_task_set_waiting (sched, task, now);
      else if (task->unconfirmed)
        resend_or_stop_start (sched, task, sent, now);
      return;
    case MT_TASK_RUNNING:
      if (requested_after_ack)
        stop_unlisted (sched, task, "not listed", sent, now);
      return;
    case MT_TASK_STOPPING:
      if (task->stop_acked && requested_after_ack)
        mt_task_set_waiting (sched, task, now);
      return;
    default:
      return;
    }
}

static void
apply_listing (struct mt_scheduler *sched,
               struct mt_worker *w,
               const struct mt_hold_report *report,
               int64_t sent,
               int64_t now)
{
  GList *next;

  w->listing++;
  w->orphaned_runs = 0;
  for (size_t i = 0; i < report->n_running; i++)
    apply_listed_run (sched, w, &report->running[i], sent, now);
  if (!report->is_whole)
    return;
  mt_worker_end_unlisted_superseded (sched, w, sent);
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      struct mt_task *task = l->data;

      next = l->next;
      if (task->listing != w->listing)
        handle_unlisted (sched, task, sent, now);
    }
}

/* Handles an answer of another worker at the worker's address. Returns false if it proves nothing:
 * the order was sent to a former incarnation, or the worker has not answered since its entry named
 * this address, which may be another writer's. */
static bool
handle_other_answer (struct mt_scheduler *sched,
                     struct mt_worker *w,
                     const struct mt_sent_order *order,
                     int64_t now)
{
  if (!mt_worker_is_addressed (w, order) || (w->moved_at != 0 && w->answered_at <= w->moved_at))
    return false;
  mt_worker_end (sched, w, now, "another answers at its address");
  return true;
}

/* A probe without an answer is sent again; another worker at the claimed address disproves the
 * claim. */
static void
end_probe (struct mt_worker *w, enum mt_answer answer, int64_t now)
{
  w->probe_in_flight = false;
  w->next_probe_at = now + SILENT_HOLD_RETRY_MS;
  if (answer == MT_ANSWER_OTHER_INCARNATION)
    mt_worker_clear_claim (w);
}

/* Handles an answer to a hold with the worker's present token by one that was not confirmed: orders
 * with lower tokens are refused from now on. Those sent to a former incarnation, also by the
 * previous leader, may have been carried out before, and have the longest lease granted. */
static void
confirm_worker (struct mt_scheduler *sched, struct mt_worker *w, int64_t clock_ms, int64_t now)
{
  /* By what was stored as the restart was noticed, a successor waits until then. */
  int64_t stored_until = w->is_fresh ? w->longest_lease_end : 0;

  w->confirmed = true;
  sched->changed = true;
  /* The former leader has renewed its lease, and the next hold does. */
  w->renewed_at = now;
  /* Before this answer its leases could not be known. */
  if (w->is_fresh)
    mt_worker_forget_leases (w);
  if (w->is_fresh || clock_ms < MT_LATE_ORDER_MS + sched->settings.max_lease_ms)
    mt_worker_record_longest_lease (sched, w, 0, "first answer", now);
  if (w->longest_lease_end > stored_until)
    mt_worker_store_longest_lease (sched, w, now);
  w->is_fresh = false;
}

void
mt_scheduler_hold_answered (struct mt_scheduler *sched,
                            const struct mt_sent_order *order,
                            const struct mt_hold_report *report,
                            int64_t now)
{
  struct mt_worker *w = find_worker (sched, order->worker);

  if (w == NULL)
    return;
  if (order->is_probe)
    end_probe (w, report->answer, now);
  else
    w->hold_in_flight = false;
  if (order->is_probe && is_without_answer (report->answer))
    return;
  switch (report->answer)
    {
    case MT_ANSWER_OK:
      break;
    case MT_ANSWER_FENCED:
      if (mt_worker_is_fencing (w, order))
        mark_fenced (sched, w->id);
      w->next_hold_at = now;
      return;
    case MT_ANSWER_OTHER_INCARNATION:
      handle_other_answer (sched, w, order, now);
      return;
    default:
      w->lost_holds++;
      w->next_hold_at = w->lost_holds == 1 ? now : now + SILENT_HOLD_RETRY_MS;
      if (mt_worker_is_addressed (w, order))
        handle_no_answer (sched, w, now);
      return;
    }
  if (!mt_worker_notice_incarnation (sched, w, report->started_at_ms, order->sent_at, now))
    {
      w->next_hold_at = now;
      return;
    }
  if (order->sent_at >= w->clock_restarted_at)
    w->clock_restarted_at = 0;
  record_answer (sched, w, order->sent_at, now);
  if (!mt_worker_is_fencing (w, order))
    {
      w->next_hold_at = now;
      return;
    }
  if (w->hold_renews && !order->is_probe)
    w->renewed_at = MAX (w->renewed_at, order->sent_at);
  w->listed_before_at = w->listing_at;
  w->listing_at = now;
  w->listing_requested_at = order->sent_at;
  w->lost_holds = 0;
  w->answer_lost = false;
  mt_worker_update_clock (w, report->clock_ms, now);
  if (!w->confirmed)
    confirm_worker (sched, w, report->clock_ms, now);
  apply_ends (sched, w, report, now);
  apply_listing (sched, w, report, order->sent_at, now);
  mt_worker_adjust_pace (sched, w, now);
  w->next_hold_at = w->tasks.length > 0 || w->orphaned_runs > 0 || w->applied_end > w->durable_end
                        ? now
                        : now + IDLE_HOLD_INTERVAL_MS;
}

/* ---- orders ---- */

static void
handle_start_refusal (struct mt_scheduler *sched,
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
    w->avoid_until = MAX (w->avoid_until, now + REFUSAL_AVOID_MS);
  if (answer == MT_ANSWER_NO_TICKET)
    mt_step_tickets_forget (mt_task_step_tickets (sched, task), w);
  task->not_before = now + TASK_RETRY_MS;
  mt_task_log_event (sched, task, w, "START_REFUSED", "why=%s", why[answer]);
  /* After a retry, an earlier copy of the start may still arrive and be accepted, and the task
   * would run twice if it were placed elsewhere now. */
  if (task->start_retries > 0)
    mt_task_stop (sched, task, now);
  else
    mt_task_set_waiting (sched, task, now);
}

static void
handle_start_answer (struct mt_scheduler *sched,
                     struct mt_task *task,
                     struct mt_worker *w,
                     const struct mt_order_report *report,
                     int64_t now)
{
  task->order_in_flight = false;
  if (task->state != MT_TASK_ORDERED && task->state != MT_TASK_RUNNING)
    return;
  switch (report->answer)
    {
    case MT_ANSWER_OK:
      if (report->started_at_ms != 0)
        mt_task_locate (task, report->started_at_ms);
      if (!task->unlocated)
        mark_running (sched, task, now);
      task->acked_at = now;
      w->next_hold_at = MIN (w->next_hold_at, now);
      return;
    case MT_ANSWER_NONE:
    case MT_ANSWER_OTHER_INCARNATION:
      task->unconfirmed = true;
      task->state_since = now;
      w->next_hold_at = MIN (w->next_hold_at, now);
      return;
    default:
      if (task->state == MT_TASK_ORDERED)
        handle_start_refusal (sched, task, w, report->answer, now);
      return;
    }
}

/* Handles a former incarnation's answer to an order for the task. */
static void
handle_former_answer (struct mt_scheduler *sched,
                      struct mt_task *task,
                      const struct mt_sent_order *order,
                      enum mt_answer answer,
                      int64_t now)
{
  task->order_in_flight = false;
  if (order->kind != MT_ORDER_START || task->state != MT_TASK_ORDERED || !task->unlocated)
    return;
  /* An earlier copy of the start may still be carried out. */
  if (task->start_retries > 0)
    mt_task_stop (sched, task, now);
  else if (answer == MT_ANSWER_OK)
    mt_task_lose_unlocated (sched, task, now);
  else
    mt_task_set_waiting (sched, task, now);
}

/* Returns whether the answer is of the present incarnation. If it does not name one, it may be of
 * the incarnation that the order was sent to, or of a restarted worker. */
static bool
is_known_to_answer (const struct mt_worker *w,
                    const struct mt_sent_order *order,
                    const struct mt_order_report *report)
{
  return report->started_at_ms != 0
         || (mt_worker_is_addressed (w, order)
             && mt_worker_clock_is_continued (w, report->clock_ms, order->sent_at));
}

/* A stop that was sent to a former incarnation may not have reached the present one. */
static void
handle_stop_answer (struct mt_task *task,
                    struct mt_worker *w,
                    const struct mt_sent_order *order,
                    enum mt_answer answer,
                    int64_t now)
{
  task->order_in_flight = false;
  task->stop_acked = answer == MT_ANSWER_OK && mt_worker_is_addressed (w, order);
  task->acked_at = task->stop_acked ? now : 0;
  task->state_since = now;
  w->next_hold_at = MIN (w->next_hold_at, now);
}

void
mt_scheduler_order_answered (struct mt_scheduler *sched,
                             const struct mt_sent_order *order,
                             const struct mt_order_report *report,
                             int64_t now)
{
  struct mt_worker *w = find_worker (sched, order->worker);
  struct mt_task *task = mt_scheduler_find_task (sched, order->task);
  bool is_addressed;

  if (w == NULL)
    return;
  is_addressed = mt_worker_is_addressed (w, order);
  if (w->orders_in_flight > 0)
    w->orders_in_flight--;
  if (report->answer == MT_ANSWER_FENCED)
    {
      if (mt_worker_is_fencing (w, order))
        mark_fenced (sched, w->id);
      else if (task != NULL && task->worker == w && task->run == order->run)
        handle_former_answer (sched, task, order, report->answer, now);
      return;
    }
  if (report->answer == MT_ANSWER_OTHER_INCARNATION && handle_other_answer (sched, w, order, now))
    return;
  if (is_without_answer (report->answer))
    {
      if (is_addressed)
        handle_no_answer (sched, w, now);
    }
  else if (!mt_worker_notice_incarnation (sched, w, report->started_at_ms, order->sent_at, now))
    {
      if (task != NULL && task->worker == w && task->run == order->run)
        handle_former_answer (sched, task, order, report->answer, now);
      return;
    }
  else if (is_known_to_answer (w, order, report))
    {
      record_answer (sched, w, order->sent_at, now);
      mt_worker_update_clock (w, report->clock_ms, now);
      if (order->kind == MT_ORDER_START && report->answer == MT_ANSWER_OK)
        w->renewed_at = MAX (w->renewed_at, order->sent_at);
    }
  /* The next hold shows which incarnation it was. */
  else
    {
      w->answer_lost = true;
      if (is_addressed)
        mt_worker_suspect_restart (sched, w, now);
    }
  if (task == NULL || task->worker != w || task->run != order->run)
    return;
  if (order->kind == MT_ORDER_START)
    handle_start_answer (sched, task, w, report, now);
  else if (order->kind == MT_ORDER_STOP && task->state == MT_TASK_STOPPING)
    handle_stop_answer (task, w, order, report->answer, now);
}
