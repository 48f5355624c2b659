#include "scheduler_internal.h"

#include <math.h>
#include <string.h>

/* Half-life of the outcomes recorded for a worker. */
#define OUTCOME_HALF_LIFE_MS 6000.0
/* A worker with at least this many recent failures, and more failures than successes, is avoided:
 * the failures are attributed to the worker and not to its tasks. */
#define MIN_UNHEALTHY_FAILURES 2.0
#define FIRST_AVOID_MS         1500
#define MAX_AVOID_MS           12000

struct mt_worker *
mt_scheduler_get_worker (struct mt_scheduler *sched, const char *id)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w != NULL)
    return w;
  w = g_new0 (struct mt_worker, 1);
  w->id = g_strdup (id);
  w->slowness = 1.0;
  g_hash_table_insert (sched->workers, w->id, w);
  g_ptr_array_add (sched->owned_workers, w);
  return w;
}

bool
mt_worker_has_label (const struct mt_worker *w, const char *label)
{
  if (label == NULL)
    return true;
  for (char **l = w->labels; l != NULL && *l != NULL; l++)
    if (strcmp (*l, label) == 0)
      return true;
  return false;
}

/* Withdraws a queued start. If it was never sent, the task can be placed elsewhere at once. If it
 * was to be resent, its run may have begun and is stopped. */
static void
withdraw_start (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state != MT_TASK_ORDERED || !task->order_queued)
    return;
  if (task->start_retries > 0)
    mt_task_stop (sched, task, now);
  else
    mt_task_set_waiting (sched, task, now);
}

/* Withdraws starts from a worker that leaves: a start sent now would be lost with the worker, and
 * the caller would wait for another one. */
static void
handle_leaving (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  GList *next;

  w->leaving = true;
  w->leaving_since = now;
  mt_scheduler_log_event (sched, "WORKER_LEAVING", "worker=%s tasks=%u", w->id, w->tasks.length);
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      next = l->next;
      withdraw_start (sched, l->data, now);
    }
}

/* Withdraws starts from a worker that has shrunk, the last placed first: the worker would carry
 * them out even without enough resources. */
static void
handle_shrinking (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  GList *before;

  mt_scheduler_log_event (sched, "WORKER_SHRUNK",
                          "worker=%s cpu=%" G_GINT64_FORMAT " used_cpu=%" G_GINT64_FORMAT
                          " mem=%" G_GINT64_FORMAT " used_mem=%" G_GINT64_FORMAT,
                          w->id, w->resources.cpu, w->used.cpu, w->resources.mem, w->used.mem);
  for (GList *l = w->tasks.tail; l != NULL && mt_worker_is_overcommitted (w); l = before)
    {
      before = l->prev;
      withdraw_start (sched, l->data, now);
    }
}

bool
mt_worker_is_overcommitted (const struct mt_worker *w)
{
  return w->used.cpu > w->resources.cpu || w->used.mem > w->resources.mem
         || w->used.gpu > w->resources.gpu;
}

static void
set_labels (struct mt_worker *w, const char *const *labels)
{
  static const char *const none[] = { NULL };

  if (labels == NULL)
    labels = none;
  if (w->labels != NULL && g_strv_equal ((const char *const *) w->labels, labels))
    return;
  g_strfreev (w->labels);
  w->labels = g_strdupv ((char **) labels);
}

void
mt_worker_apply_entry (struct mt_scheduler *sched,
                       struct mt_worker *w,
                       const struct mt_worker_entry *entry,
                       int64_t now)
{
  bool stays = w->leaving && !entry->leaving;
  bool resized;

  w->entry_is_former = false;
  if (!w->listed)
    w->listed_since = now;
  if (!w->listed || stays)
    mt_scheduler_log_event (sched, "WORKER_LISTED", "worker=%s zone=%s cpu=%" G_GINT64_FORMAT,
                            w->id, entry->zone, entry->resources.cpu);
  if (entry->leaving && !w->leaving)
    handle_leaving (sched, w, now);
  w->leaving = entry->leaving;
  w->listed = true;
  resized = memcmp (&w->resources, &entry->resources, sizeof w->resources) != 0;
  w->resources = entry->resources;
  if (resized && mt_worker_is_overcommitted (w))
    handle_shrinking (sched, w, now);
  if (g_strcmp0 (w->address, entry->address) != 0)
    {
      if (w->address != NULL)
        w->moved_at = now;
      g_free (w->address);
      w->address = g_strdup (entry->address);
    }
  w->zone = g_intern_string (entry->zone);
  set_labels (w, entry->labels);
  sched->changed = true;
}

void
mt_scheduler_update_worker (struct mt_scheduler *sched,
                            const struct mt_worker_entry *entry,
                            int64_t now)
{
  struct mt_worker *w = mt_scheduler_get_worker (sched, entry->id);

  if (mt_worker_is_claimed_by (w, entry))
    {
      mt_worker_set_claim (sched, w, entry, now);
      return;
    }
  /* While the worker is asked, an entry of the incarnation known so far decides nothing. */
  if (w->claim != NULL
      || (entry->started_at_ms != 0 && entry->started_at_ms == w->refuted_started_at)
      || !mt_worker_notice_incarnation (sched, w, entry->started_at_ms, 0, now) || w->ended)
    return;
  mt_worker_apply_entry (sched, w, entry, now);
}

void
mt_scheduler_worker_unlisted (struct mt_scheduler *sched, const char *id, int64_t now)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w == NULL || !w->listed)
    return;
  w->listed = false;
  w->listed_since = now;
  mt_worker_clear_claim (w);
  mt_worker_count_idle_loss (sched, w, now);
  mt_scheduler_log_event (sched, "WORKER_UNLISTED", "worker=%s tasks=%u silent=%d", id,
                          w->tasks.length, w->silent_since != 0);
}

void
mt_worker_end (struct mt_scheduler *sched, struct mt_worker *w, int64_t now, const char *proof)
{
  if (w->ended)
    return;
  mt_worker_release_tasks (sched, w, true, now, proof);
  mt_worker_forget_superseded (sched, w);
  w->ended = true;
  w->listed = false;
  mt_worker_forget_speed (w);
}

void
mt_scheduler_worker_ended (struct mt_scheduler *sched,
                           const char *id,
                           int64_t started_at_ms,
                           int64_t now,
                           const char *proof)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w != NULL && (started_at_ms == 0 || w->started_at == 0 || started_at_ms == w->started_at))
    mt_worker_end (sched, w, now, proof);
}

void
mt_scheduler_cordon (struct mt_scheduler *sched,
                     const char *id,
                     int64_t until,
                     bool move_long_running)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w == NULL)
    return;
  w->cordon_until = until;
  w->move_long_running = move_long_running;
}

void
mt_scheduler_announce_drain (struct mt_scheduler *sched, const char *id, int64_t until)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w != NULL)
    w->drain_announced_until = until;
}

static int64_t
age_or_unknown (int64_t at, int64_t now)
{
  return at != 0 ? now - at : -1;
}

static void
log_worker_lost (struct mt_scheduler *sched,
                 const struct mt_worker *w,
                 int64_t now,
                 const char *why)
{
  mt_scheduler_log_event (sched, "WORKER_LOST",
                          "worker=%s address=%s why=%s tasks=%u heard_age_ms=%" G_GINT64_FORMAT
                          " start_age_ms=%" G_GINT64_FORMAT " lease=%s",
                          w->id, w->address != NULL ? w->address : "", why, w->tasks.length,
                          age_or_unknown (w->answered_at, now),
                          age_or_unknown (w->start_sent_at, now),
                          w->lease_basis != NULL ? w->lease_basis : "none");
}

void
mt_worker_release_tasks (struct mt_scheduler *sched,
                         struct mt_worker *w,
                         bool incarnation_ended,
                         int64_t now,
                         const char *why)
{
  struct mt_crash crash = mt_worker_assess_crash (sched, w, incarnation_ended, now);
  g_autoptr (GPtrArray) tasks = g_ptr_array_sized_new (w->tasks.length);

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    g_ptr_array_add (tasks, l->data);
  mt_worker_release (sched, w, tasks, &crash, now, why);
}

void
mt_worker_release (struct mt_scheduler *sched,
                   struct mt_worker *w,
                   const GPtrArray *tasks,
                   const struct mt_crash *crash,
                   int64_t now,
                   const char *why)
{
  g_autoptr (GPtrArray) given_up = g_ptr_array_new ();
  bool is_idle = w->tasks.length == 0;

  if (tasks->len > 0)
    log_worker_lost (sched, w, now, why);
  for (guint i = 0; i < tasks->len; i++)
    {
      struct mt_task_loss loss = mt_task_assess_loss (sched, tasks->pdata[i], crash);

      mt_task_apply_loss (tasks->pdata[i], &loss);
      if (loss.gives_up)
        g_ptr_array_add (given_up, tasks->pdata[i]);
    }
  for (guint i = 0; i < tasks->len; i++)
    {
      struct mt_task *task = tasks->pdata[i];

      /* The end of another one's job may have released it. */
      if (task->worker != w)
        continue;
      mt_task_log_event (sched, task, w, "TASK_LOST",
                         "why=%s state=%s seen_ms=%" G_GINT64_FORMAT
                         " losses=%u suspect=%d evidence=%.1f",
                         why, mt_task_state_names[task->state], mt_task_observed_ms (task),
                         task->losses, task->suspect, task->evidence.total);
      task->avoided = w;
      mt_task_set_waiting (sched, task, now);
      task->not_before = now + mt_task_suspect_delay_ms (sched, task, now);
    }
  mt_worker_count_loss (sched, w, crash, is_idle);
  for (guint i = 0; i < given_up->len; i++)
    mt_task_give_up (sched, given_up->pdata[i], now);
}

bool
mt_worker_accepts_work (const struct mt_worker *w, int64_t now)
{
  return w->listed && w->confirmed && !w->entry_is_former && !mt_worker_may_have_restarted (w)
         && !w->leaving && !w->ended && w->silent_since == 0 && w->cordon_until <= now
         && w->avoid_until <= now && w->orphaned_runs == 0;
}

bool
mt_worker_fits (const struct mt_worker *w, const struct mt_step *step)
{
  if (!step->fill && w->used.cpu + step->need.cpu > w->resources.cpu)
    return false;
  if (w->used.mem + step->need.mem > w->resources.mem
      || w->used.gpu + step->need.gpu > w->resources.gpu)
    return false;
  return mt_worker_has_label (w, step->label);
}

unsigned
mt_worker_tasks_of_step (const struct mt_worker *w, const struct mt_occurrence *occ, unsigned step)
{
  unsigned n = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;

      n += task->occ == occ && task->step == step;
    }
  return n;
}

bool
mt_worker_can_run (const struct mt_worker *w, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return mt_worker_fits (w, step)
         && (step->max_per_worker == 0
             || mt_worker_tasks_of_step (w, task->occ, task->step) < step->max_per_worker);
}

bool
mt_task_can_run_elsewhere (const struct mt_scheduler *sched,
                           const struct mt_task *task,
                           int64_t now)
{
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (w != task->worker && mt_worker_accepts_work (w, now) && mt_worker_can_run (w, task))
      return true;
  return false;
}

double
mt_worker_recent_failures (const struct mt_worker *w, int64_t now)
{
  return w->failures * exp2 (-(double) (now - w->outcome_at) / OUTCOME_HALF_LIFE_MS);
}

/* A worker that fails tasks which others complete gets no work for a while, longer each time, and
 * then at first only MAX_TRIAL_TASKS. The outcomes of all jobs are combined: a job that can't
 * succeed fails on every worker. */
void
mt_worker_record_outcome (struct mt_scheduler *sched,
                          struct mt_worker *w,
                          bool succeeded,
                          int64_t now)
{
  double decay = exp2 (-(double) (now - w->outcome_at) / OUTCOME_HALF_LIFE_MS);

  w->failures = w->failures * decay + (succeeded ? 0 : 1);
  w->successes = w->successes * decay + (succeeded ? 1 : 0);
  w->outcome_at = now;
  if (succeeded)
    {
      w->avoid_count = 0;
      return;
    }
  if (w->failures < MIN_UNHEALTHY_FAILURES || w->failures <= w->successes || w->avoid_until > now)
    return;
  w->avoid_until = now + MIN (FIRST_AVOID_MS << MIN (w->avoid_count, 3U), MAX_AVOID_MS);
  w->avoid_count++;
  mt_scheduler_log_event (sched, "WORKER_SHUNNED",
                          "worker=%s fails=%.1f dones=%.1f for_ms=%" G_GINT64_FORMAT, w->id,
                          w->failures, w->successes, w->avoid_until - now);
}

/* ---- leases ---- */

/* Returns the lowest reading that the worker's clock may have now. */
static int64_t
min_clock_ms (const struct mt_worker *w, int64_t now)
{
  return w->clock_ms + (now - w->clock_at) * (1000 - MT_CLOCK_DRIFT_PER_MILLE) / 1000;
}

/* Takes a reading of the worker's clock, unless it is below the known lower bound: the answer was
 * then under way for long and the reading is old. Taken as current, it would shorten each lease by
 * the transit time, and the leases of runs behind a slow link would expire. */
void
mt_worker_update_clock (struct mt_worker *w, int64_t clock_ms, int64_t now)
{
  if (clock_ms < 0 || (w->clock_at != 0 && clock_ms < min_clock_ms (w, now)))
    return;
  w->clock_ms = clock_ms;
  w->clock_at = now;
}

bool
mt_worker_clock_is_continued (const struct mt_worker *w, int64_t clock_ms, int64_t sent_at)
{
  if (clock_ms < 0 || w->clock_at == 0)
    return true;
  if (sent_at > w->clock_at)
    return clock_ms >= min_clock_ms (w, sent_at);
  return clock_ms >= w->clock_ms - (w->clock_at - sent_at);
}

/* Returns the end of a lease granted now, on the worker's clock; 0 if the clock is unknown. It
 * counts from the clock's lowest possible reading, so that no lease is longer than intended. */
int64_t
mt_worker_lease_end (const struct mt_worker *w, int64_t now, int64_t lease_ms)
{
  return w->clock_at != 0 ? min_clock_ms (w, now) + lease_ms : 0;
}

/* Returns when a lease of lease_ms granted by now has ended on our clock, by the slowest clock. */
static int64_t
latest_end (int64_t lease_ms, int64_t now)
{
  return now + lease_ms * 1000 / (1000 - MT_CLOCK_DRIFT_PER_MILLE) + 100;
}

static void
extend_lease_end (struct mt_worker *w, int64_t lease_end, const char *basis)
{
  if (lease_end <= w->lease_end)
    return;
  w->lease_end = lease_end;
  w->lease_basis = basis;
}

/* Extends lease_end for a lease that is being sent, answered or not: an order without an answer may
 * have arrived. */
void
mt_worker_record_lease (struct mt_worker *w, int64_t lease_ms, const char *basis, int64_t now)
{
  w->asked_lease_end = MAX (w->asked_lease_end, latest_end (lease_ms, now));
  extend_lease_end (w, w->asked_lease_end, basis);
}

void
mt_worker_record_unproven_lease (const struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  mt_worker_record_lease (w, sched->settings.lease_ms, "order", now);
  extend_lease_end (w, latest_end (sched->settings.max_lease_ms, now),
                    "order without a recent answer");
  w->unproven_at = now;
}

/* An earlier order whose copy is carried out by a later incarnation is counted as that one is
 * noticed. */
void
mt_worker_prove_leases (struct mt_worker *w, int64_t sent_at)
{
  w->proven_at = MAX (w->proven_at, sent_at);
  if (w->unproven_at == 0 || sent_at < w->unproven_at)
    return;
  w->unproven_at = 0;
  w->lease_end = MAX (w->asked_lease_end, w->longest_lease_end);
  w->lease_basis = w->lease_end == w->asked_lease_end ? "order" : "restart";
}

void
mt_worker_forget_leases (struct mt_worker *w)
{
  w->lease_end = w->asked_lease_end = w->longest_lease_end = 0;
  w->unproven_at = 0;
}

void
mt_worker_record_longest_lease (const struct mt_scheduler *sched,
                                struct mt_worker *w,
                                int64_t wait_ms,
                                const char *basis,
                                int64_t now)
{
  int64_t lease_ms = wait_ms + sched->settings.max_lease_ms;

  w->longest_lease_end = MAX (w->longest_lease_end, latest_end (lease_ms, now));
  extend_lease_end (w, w->longest_lease_end, basis);
}

void
mt_worker_restore_longest_lease (struct mt_worker *w, int64_t lasts_ms, int64_t now)
{
  w->longest_lease_end = MAX (w->longest_lease_end, now + lasts_ms);
  extend_lease_end (w, w->longest_lease_end, "takeover after a restart");
}

int64_t
mt_worker_longest_lease_ms (const struct mt_worker *w, int64_t now)
{
  return w->longest_lease_end > latest_end (MT_SUCCESSOR_WAIT_MS, now) ? w->longest_lease_end - now
                                                                       : 0;
}

void
mt_worker_store_longest_lease (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (mt_worker_longest_lease_ms (w, now) == 0)
    return;
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;

      task->occ->job->records_leases = true;
      mt_task_mark_dirty (sched, task);
    }
}

/* Has the jobs of the worker's tasks stored again whose records may name its longest lease. */
static void
update_records (struct mt_scheduler *sched, const struct mt_worker *w)
{
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;

      if (task->occ->job->records_leases)
        mt_task_mark_dirty (sched, task);
    }
}

/* The lease leaves the records once a successor awaits the rest of it anyway: tasks may run on for
 * hours, and each later successor would await all of it. */
void
mt_worker_expire_longest_lease (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  bool is_long = mt_worker_longest_lease_ms (w, now) > 0;

  if (w->records_longest_lease && !is_long)
    update_records (sched, w);
  w->records_longest_lease = is_long;
  if (now > w->longest_lease_end)
    w->longest_lease_end = 0;
}

/* What was sent since the claim went to the present incarnation, whose clock is known. */
void
mt_worker_restore_leases_before_claim (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  w->lease_end = w->lease_end_before_claim;
  w->lease_basis = "before the claim";
  w->longest_lease_end = w->longest_end_before_claim;
  mt_worker_record_lease (w, sched->settings.lease_ms, "order", now);
  update_records (sched, w);
}
