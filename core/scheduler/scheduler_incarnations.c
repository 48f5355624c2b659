/* Incarnations of workers. A worker may restart under its id, and its registry entry shows it some
 * time after the new incarnation has begun to answer. Orders name the worker by its id, so an order
 * that was meant for one incarnation may be carried out by the next, seconds late: it would start a
 * run that has been started elsewhere since, or extend leases that count as expired.
 *
 * A new incarnation has seen no fencing token. Its first hold therefore carries a higher token than
 * all orders to the former ones: once it is answered, none of these has an effect any more, and the
 * listing decides about each run that may be in either incarnation. */
#include "scheduler_internal.h"

/* How much longer than its longest lease the tasks of an incarnation wait that never answers a hold
 * with its token. Late orders may come after that: waiting for all of them would leave the tasks of
 * a worker that is lost for good without a run for 18 s. */
#define UNCONFIRMED_WAIT_MS 2000

enum incarnation
{
  INCARNATION_PRESENT, /* the one known, or not reported */
  INCARNATION_FORMER,
  INCARNATION_NEXT,
};

static enum incarnation
compare_incarnation (const struct mt_worker *w, int64_t started_at, int64_t requested_at)
{
  if (started_at == 0 || w->started_at == 0 || started_at == w->started_at)
    return INCARNATION_PRESENT;
  /* The wall clock of a worker's machine may have been set back over the restart, and a former
   * incarnation answers nothing that is requested after it. */
  if ((started_at == w->former_started_at || started_at < w->started_at)
      && requested_at <= w->incarnation_since)
    return INCARNATION_FORMER;
  return INCARNATION_NEXT;
}

bool
mt_worker_is_addressed (const struct mt_worker *w, const struct mt_sent_order *order)
{
  return order->worker_started_at == 0 || order->worker_started_at == w->started_at;
}

void
mt_worker_set_incarnation (struct mt_worker *w, int64_t started_at, int64_t now)
{
  w->started_at = started_at;
  w->incarnation_since = now;
}

/* ---- fencing tokens ---- */

int64_t
mt_worker_use_token (struct mt_scheduler *sched, struct mt_worker *w, bool is_probe)
{
  if (w->token == 0)
    w->token = sched->token;
  w->token_in_use |= !is_probe;
  return w->token;
}

bool
mt_worker_is_fencing (const struct mt_worker *w, const struct mt_sent_order *order)
{
  return !w->awaits_token && order->token == w->token;
}

bool
mt_scheduler_needs_token (const struct mt_scheduler *sched)
{
  return sched->awaiting_token > 0;
}

static void
set_token (struct mt_worker *w, int64_t token)
{
  w->token = token;
  w->token_in_use = false;
}

/* Fences the orders sent to the worker so far, once there is a higher token. */
static void
replace_token (struct mt_scheduler *sched, struct mt_worker *w)
{
  if (!w->token_in_use || w->awaits_token)
    return;
  w->awaits_token = sched->token <= w->token;
  if (w->awaits_token)
    sched->awaiting_token++;
  else
    set_token (w, sched->token);
}

void
mt_scheduler_raise_token (struct mt_scheduler *sched, int64_t token)
{
  GHashTableIter it;
  struct mt_worker *w;

  if (token <= sched->token)
    return;
  sched->token = token;
  if (sched->awaiting_token == 0)
    return;
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (w->awaits_token && token > w->token)
      {
        set_token (w, token);
        w->awaits_token = false;
        sched->awaiting_token--;
      }
}

/* ---- entries that name a new incarnation ---- */

/* Has the worker looked at for probes: most are not, and orders are taken one by one. */
static void
mark_unsure (struct mt_scheduler *sched, struct mt_worker *w)
{
  if (w->is_unsure)
    return;
  w->is_unsure = true;
  g_queue_push_tail (&sched->unsure, w);
}

/* Other software writes to the registry, too. An entry is believed about a restart only once the
 * worker itself has answered so: otherwise all that it runs would be started elsewhere. */
void
mt_worker_set_claim (struct mt_scheduler *sched,
                     struct mt_worker *w,
                     const struct mt_worker_entry *entry,
                     int64_t now)
{
  struct mt_worker_entry *claim = g_new (struct mt_worker_entry, 1);

  *claim = *entry;
  claim->id = w->id;
  claim->address = g_strdup (entry->address);
  claim->zone = g_intern_string (entry->zone);
  claim->labels = (const char *const *) g_strdupv ((char **) entry->labels);
  if (w->claim == NULL || w->claim->started_at_ms != entry->started_at_ms)
    {
      if (w->claim == NULL)
        {
          w->lease_end_before_claim = w->lease_end;
          w->longest_end_before_claim = w->longest_lease_end;
        }
      mt_worker_record_longest_lease (sched, w, UNCONFIRMED_WAIT_MS, "restart in the entry", now);
      mt_worker_store_longest_lease (sched, w, now);
      w->claimed_at = now;
      w->next_probe_at = now;
      /* With a higher token, the first probe already fences the orders to the former incarnation.
       * Without one, the leases of one that goes on are renewed all the same. */
      if (sched->token > w->token)
        replace_token (sched, w);
    }
  mt_worker_clear_claim (w);
  w->claim = claim;
  mark_unsure (sched, w);
  sched->changed = true;
}

void
mt_worker_clear_claim (struct mt_worker *w)
{
  if (w->claim == NULL)
    return;
  g_free ((char *) w->claim->address);
  g_strfreev ((char **) w->claim->labels);
  g_clear_pointer (&w->claim, g_free);
}

/* A waiting hold may not return for a second, in which the leader may die and the worker be cut
 * off: a probe tells sooner. */
void
mt_worker_suspect_restart (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (w->clock_restarted_at != 0)
    return;
  w->clock_restarted_at = now;
  w->next_probe_at = now;
  mt_worker_record_longest_lease (sched, w, UNCONFIRMED_WAIT_MS, "restart of the clock", now);
  mt_worker_store_longest_lease (sched, w, now);
  mark_unsure (sched, w);
}

bool
mt_worker_may_have_restarted (const struct mt_worker *w)
{
  return w->claim != NULL || w->clock_restarted_at != 0;
}

bool
mt_worker_is_claimed_by (const struct mt_worker *w, const struct mt_worker_entry *entry)
{
  return !w->ended && compare_incarnation (w, entry->started_at_ms, 0) == INCARNATION_NEXT
         && entry->started_at_ms != w->refuted_started_at;
}

/* The present incarnation has answered after an entry named another. */
static void
refute_claim (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  mt_scheduler_log_event (sched, "ENTRY_REFUTED",
                          "worker=%s claimed_start=%" G_GINT64_FORMAT
                          " answered_start=%" G_GINT64_FORMAT " tasks=%u",
                          w->id, w->claim->started_at_ms, w->started_at, w->tasks.length);
  w->refuted_started_at = w->claim->started_at_ms;
  mt_worker_clear_claim (w);
  if (w->clock_restarted_at == 0)
    mt_worker_restore_leases_before_claim (sched, w, now);
  sched->changed = true;
}

/* ---- runs that may be in either incarnation ---- */

bool
mt_task_may_have_begun (const struct mt_task *task)
{
  return task->inherited || task->start_retries > 0 || task->state == MT_TASK_RUNNING
         || task->state == MT_TASK_STOPPING
         || (task->state == MT_TASK_ORDERED && !task->order_queued);
}

void
mt_task_begin_location (struct mt_scheduler *sched,
                        struct mt_task *task,
                        const struct mt_task_loss *loss,
                        int64_t now)
{
  /* One start counts as one loss, however often the worker restarts before it is located. */
  if (!task->unlocated)
    {
      task->unlocated = true;
      task->loss = *loss;
      task->worker->unlocated_tasks++;
    }
  task->incarnation = 0;
  task->begun_at = 0;
  task->percent = 0;
  task->stop_acked = false;
  if (mt_task_step (task)->long_running && task->unavailable_since == 0)
    task->unavailable_since = now;
  if (task->state == MT_TASK_RUNNING)
    {
      task->state = MT_TASK_ORDERED;
      task->state_since = now;
    }
  if (task->state == MT_TASK_ORDERED && task->order_queued)
    {
      /* A start that was to be resent is not sent to an incarnation that may not suit the task. */
      mt_task_dequeue (sched, task);
      task->unconfirmed = true;
    }
  if (task->state == MT_TASK_STOPPING && !task->order_queued && !task->order_in_flight)
    {
      task->acked_at = 0;
      task->order_queued = true;
      g_queue_push_tail (&sched->stops, task);
    }
}

void
mt_task_end_location (struct mt_task *task)
{
  if (!task->unlocated)
    return;
  task->unlocated = false;
  task->worker->unlocated_tasks--;
}

void
mt_task_locate (struct mt_task *task, int64_t incarnation)
{
  mt_task_end_location (task);
  task->incarnation = incarnation;
}

void
mt_task_lose_unlocated (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  struct mt_task_loss loss = task->loss;
  struct mt_worker *w = task->worker;

  mt_task_apply_loss (task, &loss);
  mt_task_log_event (sched, task, w, "TASK_LOST",
                     "why=not listed after restart state=%s seen_ms=%" G_GINT64_FORMAT
                     " losses=%u suspect=%d evidence=%.1f",
                     mt_task_state_names[loss.state], loss.observed_ms, task->losses, task->suspect,
                     task->evidence.total);
  task->avoided = w;
  mt_task_set_waiting (sched, task, now);
  task->not_before = now + mt_task_suspect_delay_ms (sched, task, now);
  if (loss.gives_up)
    mt_task_give_up (sched, task, now);
}

/* ---- restarts ---- */

/* Forgets the orphaned runs that the former incarnation listed. */
static void
forget_orphans (struct mt_scheduler *sched, struct mt_worker *w)
{
  GList *next;

  for (GList *l = sched->orphaned_runs.head; l != NULL; l = next)
    {
      struct mt_orphaned_run *orphan = l->data;

      next = l->next;
      if (orphan->worker != w)
        continue;
      g_queue_delete_link (&sched->orphaned_runs, l);
      g_free (orphan->task);
      g_free (orphan);
    }
  w->orphaned_runs = 0;
}

static void
reset_state (struct mt_worker *w)
{
  w->listed_since = w->incarnation_since;
  w->ended = w->leaving = false;
  w->confirmed = false;
  w->answer_lost = false;
  w->is_fresh = true;
  w->next_probe_at = 0;
  w->moved_at = 0;
  w->clock_at = w->clock_restarted_at = 0;
  w->start_sent_at = w->start_before_answer_at = 0;
  w->renewed_at = w->proven_at = 0;
  w->listing_at = w->listing_requested_at = w->listed_before_at = 0;
  w->applied_end = w->durable_end = 0;
  mt_worker_clear_ends (w);
  w->failures = w->successes = 0;
  w->slowness = 1.0;
  mt_worker_forget_speed (w);
  w->avoid_until = 0;
  w->avoid_count = 0;
  w->silent_since = w->answered_at = 0;
  w->lost_holds = 0;
  w->loss_counted = false;
  w->next_hold_at = 0;
}

void
mt_worker_begin_incarnation (struct mt_scheduler *sched,
                             struct mt_worker *w,
                             int64_t started_at,
                             int64_t now)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  struct mt_crash crash = mt_worker_assess_crash (sched, w, true, now);

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      struct mt_task_loss loss;

      /* Of any other task, a late copy of the start, or that of an earlier run, may still begin a
       * run in the present incarnation. */
      if (!mt_task_may_have_begun (l->data))
        {
          g_ptr_array_add (lost, l->data);
          continue;
        }
      loss = mt_task_assess_loss (sched, l->data, &crash);
      mt_task_begin_location (sched, l->data, &loss, now);
    }
  mt_worker_release (sched, w, lost, &crash, now, "reborn");
  mt_worker_forget_tickets (sched, w);
  forget_orphans (sched, w);
  mt_worker_forget_superseded (sched, w);
  w->former_started_at = w->started_at;
  mt_worker_set_incarnation (w, started_at, now);
  w->entry_is_former = true;
  reset_state (w);
  mark_unsure (sched, w);
  replace_token (sched, w);
  /* Until its first hold is answered it may carry out late orders, whose leases were given on the
   * former one's clock. These lie far ahead on its own, and it grants its longest lease instead. */
  mt_worker_forget_leases (w);
  mt_worker_record_longest_lease (sched, w, UNCONFIRMED_WAIT_MS, "restart", now);
  mt_worker_store_longest_lease (sched, w, now);
  if (w->claim != NULL && w->claim->started_at_ms == started_at)
    mt_worker_apply_entry (sched, w, w->claim, now);
  mt_worker_clear_claim (w);
}

bool
mt_worker_notice_incarnation (struct mt_scheduler *sched,
                              struct mt_worker *w,
                              int64_t started_at,
                              int64_t requested_at,
                              int64_t now)
{
  switch (compare_incarnation (w, started_at, requested_at))
    {
    case INCARNATION_FORMER:
      return false;
    case INCARNATION_NEXT:
      mt_worker_begin_incarnation (sched, w, started_at, now);
      return true;
    default:
      if (w->started_at == 0)
        mt_worker_set_incarnation (w, started_at, now);
      if (w->claim != NULL && started_at != 0 && requested_at > w->claimed_at)
        refute_claim (sched, w, now);
      return true;
    }
}
