/* Selection of the next order to send. */
#include "scheduler_internal.h"

/* Most orders in flight to one worker; more would only wait in its connections. */
#define MAX_ORDERS_PER_WORKER 4U
/* For LOST_ORDER_MS after an order was lost, holds wait at the worker only for SHORT_HOLD_WAIT_MS:
 * a hold that follows a lost one is then sent sooner, and so reports sooner. */
#define LOST_ORDER_MS      3000
#define SHORT_HOLD_WAIT_MS 200
/* A suspect is watched closely for this long after its start. */
#define SUSPECT_START_MS      400
#define SUSPECT_START_WAIT_MS 40
/* While ends can't be made durable, leases are renewed at this interval by holds that don't wait
 * for further ends. */
#define BLOCKED_HOLD_INTERVAL_MS 1000
/* Ends are collected for this long before a worker's next hold: under load one hold then reports
 * several. */
#define GATHER_ENDS_MS 15
/* ... and for a millisecond more for as many tasks of the worker, all of which each hold lists. */
#define GATHER_TASKS_PER_MS 16
/* The link is full when it delays outgoing messages by more than FULL_LINK_DELAY_MS, well below the
 * time in which the answer to an order is expected. It is late when the delay is above
 * LATE_LINK_DELAY_MS: answers to sent orders may then be overdue. */
#define FULL_LINK_DELAY_MS 60
#define LATE_LINK_DELAY_MS 200
/* After starts have waited for a full link, the link counts as the pool's bottleneck for this
 * long. */
#define LINK_BOUND_MS 1000
/* Longest time from sending a hold to its answer. */
#define MAX_HOLD_ROUND_TRIP_MS (MT_HOLD_WAIT_MS + 500)
/* On a slow link, ends are collected for this many link delays more: holds then use less of the
 * link and leave more of it to starts. */
#define GATHER_LINK_DELAYS 3
/* After a lost answer a lease is renewed at this part of it: a hold that takes as long again is in
 * time. */
#define RENEWALS_PER_LEASE 3

static void
address_order (struct mt_scheduler *sched, struct mt_worker *w, struct mt_order *order)
{
  order->token = mt_worker_use_token (sched, w, order->is_probe);
  order->worker = w->id;
  order->worker_started_at = w->started_at;
  order->address = w->address;
}

static void
init_order (struct mt_scheduler *sched, struct mt_task *task, struct mt_order *order, int64_t now)
{
  struct mt_worker *w = task->worker;

  mt_task_name (task, order->task, sizeof order->task);
  address_order (sched, w, order);
  order->run = task->run;
  order->payload = task->occ->job->spec->payload;
  order->checkpoint = task->checkpoint;
  order->lease_end_ms = mt_worker_lease_end (w, now, sched->settings.lease_ms);
  if (task->occ->job->route->policy.needs_tickets)
    order->ticket = mt_step_tickets_text (mt_task_step_tickets (sched, task), w);
}

/* Returns whether the worker has answered all orders since a recent listing. Otherwise it may have
 * restarted meanwhile. */
static bool
has_listed_lately (const struct mt_worker *w, int64_t now)
{
  return !w->answer_lost && w->listing_at != 0 && now - w->listing_at < MAX_HOLD_ROUND_TRIP_MS;
}

/* Returns whether the worker's present incarnation has answered all orders since a recent one. */
static bool
is_proven_lately (const struct mt_worker *w, int64_t now)
{
  return has_listed_lately (w, now)
         || (!w->answer_lost && w->proven_at != 0 && now - w->proven_at < MAX_HOLD_ROUND_TRIP_MS);
}

/* Records the longest lease that the worker may grant for an order sent now. The end of a lease is
 * a reading of the worker's clock; if the worker has restarted, its clock has, too, and the reading
 * lies beyond its longest lease. */
static void
record_granted_lease (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  if (mt_worker_may_have_restarted (w))
    mt_worker_record_longest_lease (sched, w, 0, "order after a restart", now);
  else if (is_proven_lately (w, now))
    mt_worker_record_lease (w, sched->settings.lease_ms, "order", now);
  else
    mt_worker_record_unproven_lease (sched, w, now);
}

/* Starts wait until a worker that may have restarted has told which incarnation answers: the next
 * one may not suit the task. */
static bool
may_send (const struct mt_worker *w, enum mt_order_kind kind)
{
  return w->orders_in_flight < MAX_ORDERS_PER_WORKER && w->address != NULL && !w->awaits_token
         && (kind != MT_ORDER_START || !mt_worker_may_have_restarted (w));
}

static struct mt_task *
pop_sendable_task (GQueue *queue, enum mt_order_kind kind)
{
  for (GList *l = queue->head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;

      if (!may_send (task->worker, kind))
        continue;
      g_queue_delete_link (queue, l);
      task->order_queued = false;
      task->order_in_flight = true;
      task->worker->orders_in_flight++;
      return task;
    }
  return NULL;
}

static bool
next_stop (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = pop_sendable_task (&sched->stops, MT_ORDER_STOP);

  if (task == NULL)
    return false;
  order->kind = MT_ORDER_STOP;
  init_order (sched, task, order, now);
  return true;
}

static bool
next_orphan_stop (struct mt_scheduler *sched, struct mt_order *order)
{
  struct mt_orphaned_run *orphan = g_queue_pop_head (&sched->orphaned_runs);

  if (orphan == NULL)
    return false;
  order->kind = MT_ORDER_STOP;
  address_order (sched, orphan->worker, order);
  order->run = orphan->run;
  g_strlcpy (order->task, orphan->task, sizeof order->task);
  orphan->worker->orders_in_flight++;
  mt_scheduler_log_event (sched, "RUN_STRAY", "task=%s run=%u worker=%s", orphan->task, orphan->run,
                          orphan->worker->id);
  g_free (orphan->task);
  g_free (orphan);
  return order->address != NULL;
}

static bool
next_start (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = pop_sendable_task (&sched->starts, MT_ORDER_START);

  if (task == NULL)
    return false;
  order->kind = MT_ORDER_START;
  init_order (sched, task, order, now);
  task->worker->start_sent_at = now;
  record_granted_lease (sched, task->worker, now);
  return true;
}

static bool
next_pace (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = g_queue_pop_head (&sched->pace_changes);

  if (task == NULL || task->state != MT_TASK_RUNNING || task->worker->awaits_token)
    return false;
  order->kind = MT_ORDER_PACE;
  init_order (sched, task, order, now);
  order->percent = task->pace;
  task->worker->orders_in_flight++;
  return true;
}

/* Returns whether a hold is to be sent to the worker now. A confirmed worker without tasks gets
 * none before next_hold_at. */
static bool
is_hold_due (const struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  int64_t gather_ms = MIN (GATHER_ENDS_MS + w->tasks.length / GATHER_TASKS_PER_MS
                               + GATHER_LINK_DELAYS * sched->link_delay_ms,
                           BLOCKED_HOLD_INTERVAL_MS);

  if (w->hold_in_flight || w->ended || w->address == NULL || w->awaits_token
      || now < w->next_hold_at)
    return false;
  if (!w->listed && w->tasks.length == 0)
    return false;
  mt_worker_update_durable_end (w);
  if (w->applied_end > w->durable_end)
    return now - w->hold_sent_at >= BLOCKED_HOLD_INTERVAL_MS;
  return now - w->hold_sent_at >= gather_ms;
}

/* Returns how long a hold waits at the worker for an end. The wait is short on a worker with an
 * isolated suspect, which takes no other job's tasks until the suspect has settled, and shorter
 * still while the suspect has just begun: the sooner after its start a worker is lost, the more
 * this tells. */
static int64_t
hold_wait_ms (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  bool losing_orders = sched->order_lost_at != 0 && now - sched->order_lost_at < LOST_ORDER_MS;

  /* The worker may have restarted. */
  if (w->lost_holds > 0)
    return 0;
  if (w->isolated_tasks > 0 && now - w->start_sent_at < SUSPECT_START_MS)
    return SUSPECT_START_WAIT_MS;
  return losing_orders || w->isolated_tasks > 0 || w->unlocated_tasks > 0 ? SHORT_HOLD_WAIT_MS
                                                                          : MT_HOLD_WAIT_MS;
}

/* Returns whether the worker is to be asked which incarnation answers, or what it runs, beside a
 * hold that may wait at its former incarnation until it times out. */
static bool
needs_probe (const struct mt_worker *w)
{
  return w->claim != NULL
         || ((w->is_fresh || w->clock_restarted_at != 0) && w->hold_in_flight
             && w->address != NULL);
}

/* Grants no lease and acknowledges nothing. */
static bool
next_probe (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  GList *next;

  for (GList *l = sched->unsure.head; l != NULL; l = next)
    {
      struct mt_worker *w = l->data;

      next = l->next;
      if (!mt_worker_may_have_restarted (w) && !w->is_fresh)
        {
          w->is_unsure = false;
          g_queue_delete_link (&sched->unsure, l);
          continue;
        }
      if (!needs_probe (w) || w->probe_in_flight || w->awaits_token || now < w->next_probe_at)
        continue;
      w->probe_in_flight = true;
      order->kind = MT_ORDER_HOLD;
      order->is_probe = true;
      address_order (sched, w, order);
      if (w->claim != NULL)
        order->address = w->claim->address;
      return true;
    }
  return false;
}

/* Returns whether a hold sent now renews the lease. Those to a silent worker don't: a hold without
 * an answer may have been carried out, and if each retry renewed the lease, the tasks of a
 * partitioned worker could never be known to have ended. If our own link is late they do, as
 * otherwise the leases and tasks of healthy workers would end. After a lost answer the worker may
 * have restarted, and the lease could be its longest: while the last lease is long enough for
 * another retry to renew it in time, the first one doesn't. */
static bool
renews_lease (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  if (w->silent_since != 0 && !mt_scheduler_is_link_late (sched, now))
    return false;
  return (w->silent_since == 0 && is_proven_lately (w, now))
         || now - w->renewed_at >= sched->settings.lease_ms / RENEWALS_PER_LEASE;
}

static bool
next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      bool blocked;

      if (!is_hold_due (sched, w, now))
        continue;
      blocked = w->applied_end > w->durable_end;
      w->hold_in_flight = true;
      w->hold_sent_at = now;
      order->kind = MT_ORDER_HOLD;
      address_order (sched, w, order);
      order->acked_end = has_listed_lately (w, now) ? w->durable_end : 0;
      order->wait_ms
          = w->tasks.length > 0 && w->confirmed && !blocked ? hold_wait_ms (sched, w, now) : 0;
      if (renews_lease (sched, w, now))
        order->lease_end_ms = mt_worker_lease_end (w, now, sched->settings.lease_ms);
      w->hold_renews = order->lease_end_ms != 0;
      if (w->hold_renews)
        record_granted_lease (sched, w, now);
      return true;
    }
  return false;
}

void
mt_scheduler_set_link_delay (struct mt_scheduler *sched, int64_t delay_ms, int64_t now)
{
  sched->link_delay_ms = delay_ms;
  if (delay_ms > FULL_LINK_DELAY_MS && !g_queue_is_empty (&sched->starts))
    sched->link_full_at = now;
  if (delay_ms > LATE_LINK_DELAY_MS)
    sched->link_late_at = now;
}

bool
mt_scheduler_is_link_late (const struct mt_scheduler *sched, int64_t now)
{
  return sched->link_late_at != 0 && now - sched->link_late_at < MAX_HOLD_ROUND_TRIP_MS;
}

bool
mt_scheduler_is_link_bound (const struct mt_scheduler *sched, int64_t now)
{
  return sched->link_full_at != 0 && now - sched->link_full_at < LINK_BOUND_MS;
}

/* Orders are sent in the order of the loss that their delay causes: stops, which free resources,
 * then holds, which renew leases, then starts. On a slow link the starts of a surge alone take
 * longer than the time-out of their answers. Lease renewals behind them would be late and would end
 * running tasks, while tasks whose starts wait here can still be placed elsewhere. */
bool
mt_scheduler_next_order (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  *order = (struct mt_order){ .link_delay_ms = sched->link_delay_ms };
  if (sched->fenced)
    return false;
  mt_scheduler_check_workers (sched, now);
  while (!g_queue_is_empty (&sched->orphaned_runs))
    if (next_orphan_stop (sched, order))
      return true;
  return next_probe (sched, now, order) || next_stop (sched, now, order)
         || next_hold (sched, now, order)
         || (sched->link_delay_ms <= FULL_LINK_DELAY_MS && next_start (sched, now, order))
         || next_pace (sched, now, order) || mt_scheduler_next_ticket_request (sched, now, order);
}

bool
mt_scheduler_next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  *order = (struct mt_order){ .link_delay_ms = sched->link_delay_ms };
  return !sched->fenced && next_hold (sched, now, order);
}

void
mt_order_clear (struct mt_order *order)
{
  g_strfreev (order->workers);
  order->workers = NULL;
}
