/* What is to be sent next. */
#include "scheduler_internal.h"

/* Orders on their way to one worker at most; more would only wait in its connections. */
#define ORDERS_PER_WORKER 4U
/* While orders get lost, for so long after the last one, a hold waits less: what a lost one would
 * have told comes that much sooner. */
#define LOSSES_MS     3000
#define SHORT_WAIT_MS 200
/* While ends can't be made durable, leases are renewed at this pace without waiting for more. */
#define BLOCKED_HOLD_MS 1000
/* Ends are gathered for this long before a worker is asked again: under load a hold then brings
 * several, and costs one call. */
#define GATHER_MS 15
/* A link is full when what is sent now waits for so long: well under the time in which the answer
 * to an order is expected. It is late when answers to what was sent may be overdue. */
#define FULL_LINK_MS 60
#define LATE_LINK_MS 200
/* Starts that waited for a full link say for so long that the link bounds what gets done. */
#define FULL_LINK_LASTS_MS 1000
/* A hold has its whole wait and its answer in this. */
#define FAIR_HOLD_MS (MT_HOLD_WAIT_MS + 500)
/* While the link is slow ends are gathered for so many of its waits more: holds then take less of
 * it, and starts get through. */
#define GATHER_WAITS 3
/* Workers named in one call for advice. */
#define ADVISED_WORKERS 30U

static void
fill_task (const struct mt_scheduler *sched,
           struct mt_task *task,
           struct mt_order *order,
           int64_t now)
{
  struct mt_worker *w = task->worker;
  const struct mt_step_tickets *advice = mt_task_step_tickets (sched, task);
  const struct mt_ticket *ticket = NULL;

  mt_task_name (task, order->task, sizeof order->task);
  order->worker = w->id;
  order->address = w->address;
  order->run = task->run;
  order->payload = task->occ->job->spec->payload;
  order->checkpoint = task->checkpoint;
  order->lease_end_ms = mt_worker_lease_end (w, now, sched->settings.lease_ms);
  if (advice != NULL)
    ticket = g_hash_table_lookup (advice->tickets, w->id);
  order->ticket = ticket != NULL ? ticket->text : NULL;
}

static struct mt_task *
take_task (GQueue *queue)
{
  for (GList *l = queue->head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;

      if (task->worker->order_load >= ORDERS_PER_WORKER || task->worker->address == NULL)
        continue;
      g_queue_delete_link (queue, l);
      task->order_due = false;
      task->order_sent = true;
      task->worker->order_load++;
      return task;
    }
  return NULL;
}

static bool
next_stop (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = take_task (&sched->stops);

  if (task == NULL)
    return false;
  order->kind = MT_ORDER_STOP;
  fill_task (sched, task, order, now);
  return true;
}

static bool
next_stray (struct mt_scheduler *sched, struct mt_order *order)
{
  struct mt_stray *stray = g_queue_pop_head (&sched->strays);

  if (stray == NULL)
    return false;
  order->kind = MT_ORDER_STOP;
  order->worker = stray->worker->id;
  order->address = stray->worker->address;
  order->run = stray->run;
  g_strlcpy (order->task, stray->task, sizeof order->task);
  stray->worker->order_load++;
  mt_scheduler_log_event (sched, "RUN_STRAY", "task=%s run=%u worker=%s", stray->task, stray->run,
                          stray->worker->id);
  g_free (stray->task);
  g_free (stray);
  return order->address != NULL;
}

static bool
next_start (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = take_task (&sched->starts);

  if (task == NULL)
    return false;
  order->kind = MT_ORDER_START;
  fill_task (sched, task, order, now);
  task->worker->start_sent = now;
  mt_worker_record_lease (task->worker, sched->settings.lease_ms, now);
  return true;
}

static bool
next_pace (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  struct mt_task *task = g_queue_pop_head (&sched->paces);

  if (task == NULL || task->state != MT_TASK_RUNNING)
    return false;
  order->kind = MT_ORDER_PACE;
  fill_task (sched, task, order, now);
  order->percent = task->pace;
  task->worker->order_load++;
  return true;
}

/* A worker that has nothing and was held under our token needs no calls. */
static bool
hold_due (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  int64_t gather = MIN (GATHER_MS + GATHER_WAITS * sched->link_ms, BLOCKED_HOLD_MS);

  if (w->hold_on_way || w->ended || w->address == NULL || now < w->next_hold)
    return false;
  if (!w->listed && w->tasks.length == 0)
    return false;
  if (w->seen_end > w->durable_end)
    return now - w->hold_sent >= BLOCKED_HOLD_MS;
  return now - w->hold_sent >= gather;
}

/* A worker with a suspect takes nothing else until that has settled. */
static int64_t
hold_wait (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  bool losses = sched->losses_at != 0 && now - sched->losses_at < LOSSES_MS;

  return losses || w->isolated > 0 ? SHORT_WAIT_MS : MT_HOLD_WAIT_MS;
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

      if (!hold_due (sched, w, now))
        continue;
      blocked = w->seen_end > w->durable_end;
      w->hold_on_way = true;
      w->hold_sent = now;
      order->kind = MT_ORDER_HOLD;
      order->worker = w->id;
      order->address = w->address;
      order->acked_end = w->durable_end;
      order->wait_ms = w->tasks.length > 0 && w->held && !blocked ? hold_wait (sched, w, now) : 0;
      /* A hold without an answer may have been carried out. Were the lease renewed with each try,
       * a cut-off worker's tasks would never be known to be over. Where it is our own link that is
       * late, the tasks of workers that are well would lapse instead. */
      if (w->silent_since == 0 || mt_scheduler_is_link_late (sched, now))
        {
          order->lease_end_ms = mt_worker_lease_end (w, now, sched->settings.lease_ms);
          mt_worker_record_lease (w, sched->settings.lease_ms, now);
        }
      return true;
    }
  return false;
}

static bool
next_advice (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  GHashTableIter it;
  struct mt_step_tickets *advice;
  GPtrArray *names;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->advices);
  do
    if (!g_hash_table_iter_next (&it, NULL, (void **) &advice))
      return false;
  while (!advice->asked || advice->on_way || advice->again_at > now);
  advice->asked = false;
  advice->on_way = true;
  names = g_ptr_array_new ();
  g_hash_table_iter_init (&it, sched->workers);
  while (names->len < ADVISED_WORKERS && g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (mt_worker_accepts_work (w, now))
      g_ptr_array_add (names, g_strdup (w->id));
  g_ptr_array_add (names, NULL);
  order->kind = MT_ORDER_REQUEST_TICKETS;
  order->workers = (char **) g_ptr_array_free (names, FALSE);
  g_strlcpy (order->task, advice->step_name, sizeof order->task);
  return true;
}

void
mt_scheduler_set_link_delay (struct mt_scheduler *sched, int64_t wait_ms, int64_t now)
{
  sched->link_ms = wait_ms;
  if (wait_ms > FULL_LINK_MS && !g_queue_is_empty (&sched->starts))
    sched->link_full_at = now;
  if (wait_ms > LATE_LINK_MS)
    sched->link_late_at = now;
}

bool
mt_scheduler_is_link_late (const struct mt_scheduler *sched, int64_t now)
{
  return sched->link_late_at != 0 && now - sched->link_late_at < FAIR_HOLD_MS;
}

bool
mt_scheduler_is_link_bound (const struct mt_scheduler *sched, int64_t now)
{
  return sched->link_full_at != 0 && now - sched->link_full_at < FULL_LINK_LASTS_MS;
}

/* In the order of what is lost if it comes late: room that is to be freed, leases, then starts. A
 * surge's starts alone fill a thin link for longer than their answers are waited for; renewals
 * would go out too late behind them, and tasks that run would lapse. What waits here can still be
 * placed elsewhere. */
bool
mt_scheduler_next_order (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  *order = (struct mt_order){ .link_delay_ms = sched->link_ms };
  if (sched->fenced_off)
    return false;
  mt_scheduler_watch (sched, now);
  while (!g_queue_is_empty (&sched->strays))
    if (next_stray (sched, order))
      return true;
  return next_stop (sched, now, order) || next_hold (sched, now, order)
         || (sched->link_ms <= FULL_LINK_MS && next_start (sched, now, order))
         || next_pace (sched, now, order) || next_advice (sched, now, order);
}

bool
mt_scheduler_next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  *order = (struct mt_order){ .link_delay_ms = sched->link_ms };
  return !sched->fenced_off && next_hold (sched, now, order);
}

void
mt_order_clear (struct mt_order *order)
{
  g_strfreev (order->workers);
  order->workers = NULL;
}

void
mt_scheduler_add_ticket (struct mt_scheduler *sched,
                         const char *step_name,
                         const char *worker,
                         const char *text,
                         int64_t until)
{
  struct mt_step_tickets *advice = g_hash_table_lookup (sched->advices, step_name);
  struct mt_ticket *ticket;

  if (advice == NULL)
    return;
  ticket = g_new0 (struct mt_ticket, 1);
  ticket->text = g_strdup (text);
  ticket->until = until;
  g_hash_table_insert (advice->tickets, g_strdup (worker), ticket);
}

void
mt_scheduler_tickets_answered (struct mt_scheduler *sched,
                               const char *step_name,
                               int64_t now,
                               bool ok)
{
  struct mt_step_tickets *advice = g_hash_table_lookup (sched->advices, step_name);

  if (advice == NULL)
    return;
  advice->on_way = false;
  advice->again_at = now + (ok ? 500 : 200);
  sched->changed = true;
}
