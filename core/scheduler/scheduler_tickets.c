/* Tickets. On a route that needs them, only some workers may run a step, and only the advice
 * service knows which; it answers for the workers that a request names. A request names those that
 * are not known yet, so each worker is named in turn, and the steps send their requests in the
 * order in which they came to need them. */
#include "scheduler_internal.h"

/* Most workers named in one request: the service takes longer the more there are. */
#define MAX_REQUEST_WORKERS 30U
/* Most requests in flight. The service handles the requests of a daemon one at a time and refuses
 * them once 32 wait. Further steps wait in sched->ticket_requests. */
#define MAX_REQUESTS_IN_FLIGHT 3U
/* Delay before the workers are looked through again after a request failed, or after it turned out
 * that there is nobody to ask for. */
#define RETRY_MS   200
#define RECHECK_MS 500
/* How long a ticket must still be valid when the task is placed: its start is first stored, then
 * sent. */
#define TICKET_MARGIN_MS 200

struct named_worker
{
  const struct mt_worker *worker;
  int64_t started_at;
};

static void
free_ticket (void *data)
{
  struct mt_ticket *ticket = data;

  g_free (ticket->text);
  g_free (ticket);
}

void
mt_step_tickets_free (void *data)
{
  struct mt_step_tickets *tickets = data;

  g_hash_table_unref (tickets->tickets);
  g_hash_table_unref (tickets->known);
  g_array_unref (tickets->named);
  g_free (tickets->step_name);
  g_free (tickets);
}

struct mt_step_tickets *
mt_task_step_tickets (const struct mt_scheduler *sched, const struct mt_task *task)
{
  char name[80];

  mt_task_step_name (task, name, sizeof name);
  return g_hash_table_lookup (sched->step_tickets, name);
}

const char *
mt_step_tickets_text (const struct mt_step_tickets *tickets, const struct mt_worker *w)
{
  const struct mt_ticket *ticket
      = tickets != NULL ? g_hash_table_lookup (tickets->tickets, w) : NULL;

  return ticket != NULL ? ticket->text : NULL;
}

bool
mt_step_tickets_has_valid (const struct mt_step_tickets *tickets,
                           const struct mt_worker *w,
                           int64_t now)
{
  const struct mt_ticket *ticket
      = tickets != NULL ? g_hash_table_lookup (tickets->tickets, w) : NULL;

  return ticket != NULL && ticket->until > now + TICKET_MARGIN_MS;
}

static struct mt_step_tickets *
create_step_tickets (struct mt_scheduler *sched, const struct mt_task *task)
{
  struct mt_step_tickets *tickets = g_new0 (struct mt_step_tickets, 1);
  char name[80];

  mt_task_step_name (task, name, sizeof name);
  tickets->step_name = g_strdup (name);
  tickets->job = task->occ->job;
  tickets->step = mt_task_step (task);
  tickets->tickets = g_hash_table_new_full (NULL, NULL, NULL, free_ticket);
  tickets->known = g_hash_table_new (NULL, NULL);
  tickets->named = g_array_new (FALSE, FALSE, sizeof (struct named_worker));
  tickets->link.data = tickets;
  g_hash_table_insert (sched->step_tickets, tickets->step_name, tickets);
  return tickets;
}

static void
schedule_placing (struct mt_scheduler *sched, int64_t at)
{
  if (sched->place_at == 0 || at < sched->place_at)
    sched->place_at = at;
}

void
mt_scheduler_request_tickets (struct mt_scheduler *sched, const struct mt_task *task, int64_t now)
{
  struct mt_step_tickets *tickets = mt_task_step_tickets (sched, task);

  if (tickets == NULL)
    tickets = create_step_tickets (sched, task);
  if (tickets->queued || tickets->in_flight)
    return;
  if (tickets->retry_at > now)
    {
      schedule_placing (sched, tickets->retry_at);
      return;
    }
  tickets->queued = true;
  g_queue_push_tail_link (&sched->ticket_requests, &tickets->link);
}

static void
dequeue (struct mt_scheduler *sched, struct mt_step_tickets *tickets)
{
  if (!tickets->queued)
    return;
  tickets->queued = false;
  g_queue_unlink (&sched->ticket_requests, &tickets->link);
}

/* ---- requests ---- */

enum rank
{
  RANK_FREE, /* has resources for a task of the step now */
  RANK_BUSY, /* will have them */
  RANKS,
};

static bool
needs_asking (const struct mt_step_tickets *tickets, const struct mt_worker *w, int64_t now)
{
  if (!g_hash_table_contains (tickets->known, w))
    return true;
  return g_hash_table_contains (tickets->tickets, w)
         && !mt_step_tickets_has_valid (tickets, w, now);
}

static bool
suits (const struct mt_worker *w, const struct mt_step *step)
{
  return step->need.cpu <= w->resources.cpu && step->need.mem <= w->resources.mem
         && step->need.gpu <= w->resources.gpu && mt_worker_has_label (w, step->label);
}

/* Names the workers to ask for, those with free resources first, beginning behind the last one that
 * was named. */
static void
name_workers (const struct mt_scheduler *sched, struct mt_step_tickets *tickets, int64_t now)
{
  guint n = sched->owned_workers->len;
  guint first = tickets->next_worker;

  g_array_set_size (tickets->named, 0);
  for (int rank = 0; rank < RANKS; rank++)
    for (guint i = 0; i < n && tickets->named->len < MAX_REQUEST_WORKERS; i++)
      {
        const struct mt_worker *w = sched->owned_workers->pdata[(first + i) % n];
        struct named_worker named = { w, w->started_at };

        if (!mt_worker_accepts_work (w, now) || !suits (w, tickets->step)
            || mt_worker_fits (w, tickets->step) != (rank == RANK_FREE)
            || !needs_asking (tickets, w, now))
          continue;
        g_array_append_val (tickets->named, named);
        tickets->next_worker = (first + i + 1) % n;
      }
}

static char **
copy_ids (const GArray *named)
{
  char **ids = g_new0 (char *, named->len + 1);

  for (guint i = 0; i < named->len; i++)
    ids[i] = g_strdup (g_array_index (named, struct named_worker, i).worker->id);
  return ids;
}

bool
mt_scheduler_next_ticket_request (struct mt_scheduler *sched, int64_t now, struct mt_order *order)
{
  while (sched->ticket_requests_in_flight < MAX_REQUESTS_IN_FLIGHT
         && !g_queue_is_empty (&sched->ticket_requests))
    {
      struct mt_step_tickets *tickets = g_queue_peek_head (&sched->ticket_requests);

      dequeue (sched, tickets);
      name_workers (sched, tickets, now);
      if (tickets->named->len == 0)
        {
          tickets->retry_at = now + RECHECK_MS;
          schedule_placing (sched, tickets->retry_at);
          continue;
        }
      tickets->in_flight = true;
      sched->ticket_requests_in_flight++;
      order->kind = MT_ORDER_REQUEST_TICKETS;
      order->workers = copy_ids (tickets->named);
      g_strlcpy (order->task, tickets->step_name, sizeof order->task);
      return true;
    }
  return false;
}

/* ---- answers ---- */

void
mt_scheduler_add_ticket (struct mt_scheduler *sched,
                         const char *step_name,
                         const char *worker,
                         const char *text,
                         int64_t until)
{
  struct mt_step_tickets *tickets = g_hash_table_lookup (sched->step_tickets, step_name);
  struct mt_worker *w = g_hash_table_lookup (sched->workers, worker);
  struct mt_ticket *ticket;

  if (tickets == NULL || w == NULL)
    return;
  /* A ticket is for the incarnation that was there when the service was asked. */
  for (guint i = 0; i < tickets->named->len; i++)
    {
      const struct named_worker *named = &g_array_index (tickets->named, struct named_worker, i);

      if (named->worker == w && named->started_at != w->started_at)
        return;
    }
  ticket = g_new0 (struct mt_ticket, 1);
  ticket->text = g_strdup (text);
  ticket->until = until;
  g_hash_table_insert (tickets->tickets, w, ticket);
}

void
mt_scheduler_tickets_answered (struct mt_scheduler *sched,
                               const char *step_name,
                               int64_t now,
                               bool ok)
{
  struct mt_step_tickets *tickets = g_hash_table_lookup (sched->step_tickets, step_name);

  if (sched->ticket_requests_in_flight > 0)
    sched->ticket_requests_in_flight--;
  if (tickets == NULL)
    return;
  tickets->in_flight = false;
  tickets->retry_at = ok ? now : now + RETRY_MS;
  for (guint i = 0; ok && i < tickets->named->len; i++)
    {
      const struct named_worker *named = &g_array_index (tickets->named, struct named_worker, i);

      if (named->started_at != named->worker->started_at)
        continue;
      g_hash_table_add (tickets->known, (void *) named->worker);
      if (!mt_step_tickets_has_valid (tickets, named->worker, now))
        g_hash_table_remove (tickets->tickets, named->worker);
    }
  sched->changed = true;
}

/* ---- forgetting ---- */

void
mt_step_tickets_forget (struct mt_step_tickets *tickets, const struct mt_worker *w)
{
  if (tickets == NULL)
    return;
  g_hash_table_remove (tickets->tickets, w);
  g_hash_table_remove (tickets->known, w);
  tickets->retry_at = 0;
}

void
mt_worker_forget_tickets (struct mt_scheduler *sched, const struct mt_worker *w)
{
  GHashTableIter it;
  struct mt_step_tickets *tickets;

  g_hash_table_iter_init (&it, sched->step_tickets);
  while (g_hash_table_iter_next (&it, NULL, (void **) &tickets))
    mt_step_tickets_forget (tickets, w);
}

void
mt_job_forget_tickets (struct mt_scheduler *sched, const struct mt_job *job)
{
  GHashTableIter it;
  struct mt_step_tickets *tickets;

  if (!job->route->policy.needs_tickets)
    return;
  g_hash_table_iter_init (&it, sched->step_tickets);
  while (g_hash_table_iter_next (&it, NULL, (void **) &tickets))
    {
      if (tickets->job != job)
        continue;
      dequeue (sched, tickets);
      g_hash_table_iter_remove (&it);
    }
}
