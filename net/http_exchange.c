#include "http_exchange.h"

#include "medlartrack/error.h"

#include <errno.h>
#include <semaphore.h>
#include <time.h>

#define THREAD_IDLE_TIMEOUT_S 10 /* a thread idle for this time exits */

/* A thread of the pool. It waits on a semaphore instead of a condition: the thread that posts holds
 * no lock for which the woken thread would have to wait. */
struct worker
{
  struct exchange *exchange; /* set before the semaphore is posted */
  sem_t wake;
};

struct mt_http_exchanges
{
  struct mt_http_client *client;
  const struct mt_clock *clock;
  unsigned max_threads;
  size_t max_memory_bytes;
  GMutex lock; /* guards the fields below */
  /* Of struct worker, most recently used first: its cache is warm, and the others can time out and
   * exit. */
  GQueue idle;
  unsigned n_threads; /* idle and busy ones */
  bool stopping;
  GCond thread_ended;
};

enum exchange_state
{
  EXCHANGE_RUNNING,
  EXCHANGE_FINISHED,  /* before the deadline: the caller frees it */
  EXCHANGE_ABANDONED, /* after the deadline: the thread frees it */
};

struct exchange
{
  struct mt_http_exchanges *exchanges;
  struct mt_arena *arena; /* holds the copied call and the answer */
  const char *address;
  struct mt_http_call call;
  struct mt_http_completion completion;
  int state; /* enum exchange_state, atomic; the first change from EXCHANGE_RUNNING is final */
  sem_t finished;
  enum mt_http_outcome outcome;
  struct mt_http_answer answer;
  GError *error;
};

static void
free_exchange (struct exchange *exchange)
{
  sem_destroy (&exchange->finished);
  g_clear_error (&exchange->error);
  mt_arena_destroy (exchange->arena);
  g_free (exchange);
}

static bool
copy_headers (struct exchange *exchange, const struct mt_http_call *call)
{
  struct mt_http_header *headers
      = mt_arena_alloc (exchange->arena, (call->n_headers + 1) * sizeof *headers);

  if (headers == NULL)
    return false;
  for (size_t i = 0; i < call->n_headers; i++)
    {
      headers[i].name = mt_arena_dup (exchange->arena, call->headers[i].name);
      headers[i].value = mt_arena_dup (exchange->arena, call->headers[i].value);
      if (headers[i].name.data == NULL || headers[i].value.data == NULL)
        return false;
    }
  exchange->call.headers = headers;
  return true;
}

static bool
copy_call (struct exchange *exchange, const char *address, const struct mt_http_call *call)
{
  exchange->call = *call;
  exchange->address = mt_arena_dup (exchange->arena, mt_str_from (address)).data;
  exchange->call.method = mt_arena_dup (exchange->arena, mt_str_from (call->method)).data;
  exchange->call.path = mt_arena_dup (exchange->arena, mt_str_from (call->path)).data;
  exchange->call.body = mt_arena_dup (exchange->arena, call->body);
  exchange->call.id = mt_arena_dup (exchange->arena, call->id);
  return exchange->address != NULL && exchange->call.method != NULL && exchange->call.path != NULL
         && exchange->call.body.data != NULL && exchange->call.id.data != NULL
         && copy_headers (exchange, call);
}

static struct exchange *
create_exchange (struct mt_http_exchanges *exchanges,
                 const char *address,
                 const struct mt_http_call *call,
                 struct mt_http_completion completion)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  sem_init (&exchange->finished, 0, 0);
  exchange->exchanges = exchanges;
  exchange->completion = completion;
  exchange->arena = mt_arena_create (exchanges->max_memory_bytes);
  if (copy_call (exchange, address, call))
    return exchange;
  free_exchange (exchange);
  return NULL;
}

/* Sets the final state. Returns true if this thread was the first to end the exchange. */
static bool
end_exchange (struct exchange *exchange, enum exchange_state state)
{
  int running = EXCHANGE_RUNNING;

  return __atomic_compare_exchange_n (&exchange->state, &running, state, false, __ATOMIC_ACQ_REL,
                                      __ATOMIC_ACQUIRE);
}

static void
run_exchange (struct exchange *exchange)
{
  exchange->outcome
      = mt_http_client_call (exchange->exchanges->client, exchange->address, &exchange->call,
                             exchange->arena, &exchange->answer, &exchange->error);
  exchange->completion.call (exchange->completion.ctx, exchange->outcome, &exchange->answer);
  if (end_exchange (exchange, EXCHANGE_FINISHED))
    sem_post (&exchange->finished);
  else
    free_exchange (exchange);
}

/* Returns false if the semaphore was not posted within timeout_us. */
static bool
wait_timed (sem_t *sem, int64_t timeout_us)
{
  struct timespec deadline;
  int rc;

  clock_gettime (CLOCK_MONOTONIC, &deadline);
  deadline.tv_sec += timeout_us / MT_SECOND;
  deadline.tv_nsec += timeout_us % MT_SECOND * 1000;
  if (deadline.tv_nsec >= 1000000000)
    {
      deadline.tv_sec++;
      deadline.tv_nsec -= 1000000000;
    }
  do
    rc = sem_clockwait (sem, CLOCK_MONOTONIC, &deadline);
  while (rc != 0 && errno == EINTR);
  return rc == 0;
}

static void
wait_untimed (sem_t *sem)
{
  while (sem_wait (sem) != 0)
    ;
}

/* Returns true if the worker can exit; false if an exchange has just been assigned to it. */
static bool
remove_idle (struct mt_http_exchanges *exchanges, struct worker *worker)
{
  bool removed;

  g_mutex_lock (&exchanges->lock);
  removed = g_queue_remove (&exchanges->idle, worker);
  g_mutex_unlock (&exchanges->lock);
  return removed;
}

static bool
wait_for_exchange (struct mt_http_exchanges *exchanges, struct worker *worker)
{
  bool stopping;

  g_mutex_lock (&exchanges->lock);
  stopping = exchanges->stopping;
  if (!stopping)
    g_queue_push_head (&exchanges->idle, worker);
  g_mutex_unlock (&exchanges->lock);
  if (stopping)
    return false;
  if (!wait_timed (&worker->wake, THREAD_IDLE_TIMEOUT_S * MT_SECOND))
    {
      if (remove_idle (exchanges, worker))
        return false;
      wait_untimed (&worker->wake);
    }
  return worker->exchange != NULL;
}

static gpointer
run_worker (gpointer data)
{
  struct worker *worker = data;
  struct mt_http_exchanges *exchanges = worker->exchange->exchanges;

  do
    run_exchange (g_steal_pointer (&worker->exchange));
  while (wait_for_exchange (exchanges, worker));
  sem_destroy (&worker->wake);
  g_free (worker);
  g_mutex_lock (&exchanges->lock);
  exchanges->n_threads--;
  g_cond_signal (&exchanges->thread_ended);
  g_mutex_unlock (&exchanges->lock);
  return NULL;
}

/* The caller holds the lock. */
static bool
start_worker (struct mt_http_exchanges *exchanges, struct exchange *exchange)
{
  struct worker *worker;
  GThread *thread;

  if (exchanges->n_threads >= exchanges->max_threads)
    return false;
  worker = g_new0 (struct worker, 1);
  sem_init (&worker->wake, 0, 0);
  worker->exchange = exchange;
  thread = g_thread_try_new ("exchange", run_worker, worker, NULL);
  if (thread == NULL)
    {
      sem_destroy (&worker->wake);
      g_free (worker);
      return false;
    }
  g_thread_unref (thread);
  exchanges->n_threads++;
  return true;
}

static bool
start_exchange (struct mt_http_exchanges *exchanges, struct exchange *exchange)
{
  struct worker *worker;
  bool ok = true;

  g_mutex_lock (&exchanges->lock);
  worker = g_queue_pop_head (&exchanges->idle);
  if (worker == NULL)
    ok = start_worker (exchanges, exchange);
  g_mutex_unlock (&exchanges->lock);
  if (worker != NULL)
    {
      worker->exchange = exchange;
      sem_post (&worker->wake);
    }
  return ok;
}

/* Returns true if the exchange ended in time; otherwise its thread owns it from now on. */
static bool
wait_until_deadline (const struct mt_http_exchanges *exchanges, struct exchange *exchange)
{
  int64_t remaining_us = exchange->call.deadline_us - mt_clock_now (exchanges->clock);

  if (wait_timed (&exchange->finished, MAX (remaining_us, 0)))
    return true;
  if (end_exchange (exchange, EXCHANGE_ABANDONED))
    return false;
  wait_untimed (&exchange->finished);
  return true;
}

static enum mt_http_outcome
take_result (struct exchange *exchange,
             struct mt_arena *arena,
             struct mt_http_answer *answer,
             GError **error)
{
  enum mt_http_outcome outcome = exchange->outcome;

  if (outcome != MT_HTTP_COMPLETE)
    g_propagate_error (error, g_steal_pointer (&exchange->error));
  else if (mt_arena_adopt (arena, exchange->arena))
    {
      *answer = exchange->answer;
      exchange->arena = NULL;
    }
  else
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "the answer exceeds the memory limit of a request; lower limits.answer_bytes");
      outcome = MT_HTTP_UNKNOWN;
    }
  free_exchange (exchange);
  return outcome;
}

struct mt_http_exchanges *
mt_http_exchanges_create (struct mt_http_client *client,
                          const struct mt_clock *clock,
                          unsigned threads,
                          size_t max_memory_bytes)
{
  struct mt_http_exchanges *exchanges = g_new0 (struct mt_http_exchanges, 1);

  exchanges->client = client;
  exchanges->clock = clock;
  exchanges->max_threads = threads;
  exchanges->max_memory_bytes = max_memory_bytes;
  g_mutex_init (&exchanges->lock);
  g_cond_init (&exchanges->thread_ended);
  g_queue_init (&exchanges->idle);
  return exchanges;
}

void
mt_http_exchanges_destroy (struct mt_http_exchanges *exchanges)
{
  struct worker *worker;

  if (exchanges == NULL)
    return;
  g_mutex_lock (&exchanges->lock);
  exchanges->stopping = true;
  while ((worker = g_queue_pop_head (&exchanges->idle)) != NULL)
    sem_post (&worker->wake);
  while (exchanges->n_threads > 0)
    g_cond_wait (&exchanges->thread_ended, &exchanges->lock);
  g_mutex_unlock (&exchanges->lock);
  g_mutex_clear (&exchanges->lock);
  g_cond_clear (&exchanges->thread_ended);
  g_free (exchanges);
}

enum mt_http_outcome
mt_http_exchanges_call (struct mt_http_exchanges *exchanges,
                        const char *address,
                        const struct mt_http_call *call,
                        struct mt_http_completion completion,
                        struct mt_arena *arena,
                        struct mt_http_answer *answer,
                        GError **error)
{
  struct exchange *exchange = create_exchange (exchanges, address, call, completion);

  *answer = (struct mt_http_answer){ 0 };
  if (exchange == NULL || !start_exchange (exchanges, exchange))
    {
      if (exchange != NULL)
        free_exchange (exchange);
      completion.call (completion.ctx, MT_HTTP_NOT_SENT, answer);
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "no free memory or thread for the call; raise limits.connections");
      return MT_HTTP_NOT_SENT;
    }
  if (wait_until_deadline (exchanges, exchange))
    return take_result (exchange, arena, answer, error);
  g_set_error (error, MT_ERROR, MT_ERROR_TIMEOUT,
               "no answer by the deadline; see the minion's log or raise the route's deadline_ms");
  return MT_HTTP_UNKNOWN;
}
