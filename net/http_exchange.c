#include "http_exchange.h"

#include "medlartrack/error.h"

#include <errno.h>
#include <semaphore.h>
#include <time.h>

#define IDLE_S 10 /* a thread without work ends after this */

/* Semaphores and no conditions: a waker holds no lock that the woken thread would then wait for. */
struct worker
{
  struct job *job; /* handed over by the semaphore */
  sem_t wake;
};

struct mt_http_exchanges
{
  struct mt_http_client *client;
  const struct mt_clock *clock;
  unsigned limit;
  size_t memory;
  GMutex lock; /* guards all below */
  GQueue idle; /* of struct worker, the last used first: its cache is warm, the rest may end */
  unsigned n;  /* threads */
  bool stopping;
  GCond ended;
};

enum job_state
{
  JOB_RUNNING,
  JOB_FINISHED,  /* in time: the caller frees it */
  JOB_ABANDONED, /* given up on: the thread frees it */
};

struct job
{
  struct mt_http_exchanges *exchanges;
  struct mt_arena *arena; /* holds the copied call and the answer */
  const char *address;
  struct mt_http_call call;
  struct mt_http_completion ended;
  int state; /* enum job_state, atomic; whoever leaves JOB_RUNNING first decides */
  sem_t finished;
  enum mt_http_outcome outcome;
  struct mt_http_answer answer;
  GError *error;
};

static void
free_job (struct job *job)
{
  sem_destroy (&job->finished);
  g_clear_error (&job->error);
  mt_arena_destroy (job->arena);
  g_free (job);
}

static bool
copy_headers (struct job *job, const struct mt_http_call *call)
{
  struct mt_http_header *headers
      = mt_arena_alloc (job->arena, (call->n_headers + 1) * sizeof *headers);

  if (headers == NULL)
    return false;
  for (size_t i = 0; i < call->n_headers; i++)
    {
      headers[i].name = mt_arena_dup (job->arena, call->headers[i].name);
      headers[i].value = mt_arena_dup (job->arena, call->headers[i].value);
      if (headers[i].name.data == NULL || headers[i].value.data == NULL)
        return false;
    }
  job->call.headers = headers;
  return true;
}

static bool
copy_call (struct job *job, const char *address, const struct mt_http_call *call)
{
  job->call = *call;
  job->address = mt_arena_dup (job->arena, mt_str_from (address)).data;
  job->call.method = mt_arena_dup (job->arena, mt_str_from (call->method)).data;
  job->call.path = mt_arena_dup (job->arena, mt_str_from (call->path)).data;
  job->call.body = mt_arena_dup (job->arena, call->body);
  job->call.id = mt_arena_dup (job->arena, call->id);
  return job->address != NULL && job->call.method != NULL && job->call.path != NULL
         && job->call.body.data != NULL && job->call.id.data != NULL && copy_headers (job, call);
}

static struct job *
make_job (struct mt_http_exchanges *exchanges,
          const char *address,
          const struct mt_http_call *call,
          struct mt_http_completion ended)
{
  struct job *job = g_new0 (struct job, 1);

  sem_init (&job->finished, 0, 0);
  job->exchanges = exchanges;
  job->ended = ended;
  job->arena = mt_arena_create (exchanges->memory);
  if (copy_call (job, address, call))
    return job;
  free_job (job);
  return NULL;
}

/* True where this side was first to end the job. */
static bool
leave_running (struct job *job, enum job_state state)
{
  int running = JOB_RUNNING;

  return __atomic_compare_exchange_n (&job->state, &running, state, false, __ATOMIC_ACQ_REL,
                                      __ATOMIC_ACQUIRE);
}

static void
run_job (struct job *job)
{
  job->outcome = mt_http_client_call (job->exchanges->client, job->address, &job->call, job->arena,
                                      &job->answer, &job->error);
  job->ended.call (job->ended.ctx, job->outcome, &job->answer);
  if (leave_running (job, JOB_FINISHED))
    sem_post (&job->finished);
  else
    free_job (job);
}

/* False where none came for long. */
static bool
wait_for (sem_t *sem, int64_t for_us)
{
  struct timespec until;
  int rc;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += for_us / MT_SECOND;
  until.tv_nsec += for_us % MT_SECOND * 1000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  do
    rc = sem_clockwait (sem, CLOCK_MONOTONIC, &until);
  while (rc != 0 && errno == EINTR);
  return rc == 0;
}

static void
wait_surely (sem_t *sem)
{
  while (sem_wait (sem) != 0)
    ;
}

/* True where the thread is to end; false where a job was being handed over just now. */
static bool
leave_idle (struct mt_http_exchanges *exchanges, struct worker *worker)
{
  bool left;

  g_mutex_lock (&exchanges->lock);
  left = g_queue_remove (&exchanges->idle, worker);
  g_mutex_unlock (&exchanges->lock);
  return left;
}

static bool
wait_for_job (struct mt_http_exchanges *exchanges, struct worker *worker)
{
  bool stopping;

  g_mutex_lock (&exchanges->lock);
  stopping = exchanges->stopping;
  if (!stopping)
    g_queue_push_head (&exchanges->idle, worker);
  g_mutex_unlock (&exchanges->lock);
  if (stopping)
    return false;
  if (!wait_for (&worker->wake, IDLE_S * MT_SECOND))
    {
      if (leave_idle (exchanges, worker))
        return false;
      wait_surely (&worker->wake);
    }
  return worker->job != NULL;
}

static gpointer
run_worker (gpointer data)
{
  struct worker *worker = data;
  struct mt_http_exchanges *exchanges = worker->job->exchanges;

  do
    run_job (g_steal_pointer (&worker->job));
  while (wait_for_job (exchanges, worker));
  sem_destroy (&worker->wake);
  g_free (worker);
  g_mutex_lock (&exchanges->lock);
  exchanges->n--;
  g_cond_signal (&exchanges->ended);
  g_mutex_unlock (&exchanges->lock);
  return NULL;
}

/* The lock is held. */
static bool
start_worker (struct mt_http_exchanges *exchanges, struct job *job)
{
  struct worker *worker;
  GThread *thread;

  if (exchanges->n >= exchanges->limit)
    return false;
  worker = g_new0 (struct worker, 1);
  sem_init (&worker->wake, 0, 0);
  worker->job = job;
  thread = g_thread_try_new ("exchange", run_worker, worker, NULL);
  if (thread == NULL)
    {
      sem_destroy (&worker->wake);
      g_free (worker);
      return false;
    }
  g_thread_unref (thread);
  exchanges->n++;
  return true;
}

static bool
hand_over (struct mt_http_exchanges *exchanges, struct job *job)
{
  struct worker *worker;
  bool ok = true;

  g_mutex_lock (&exchanges->lock);
  worker = g_queue_pop_head (&exchanges->idle);
  if (worker == NULL)
    ok = start_worker (exchanges, job);
  g_mutex_unlock (&exchanges->lock);
  if (worker != NULL)
    {
      worker->job = job;
      sem_post (&worker->wake);
    }
  return ok;
}

/* True where it ended in time; otherwise the thread owns the job from now on. */
static bool
wait_until_deadline (const struct mt_http_exchanges *exchanges, struct job *job)
{
  int64_t left = job->call.deadline_us - mt_clock_now (exchanges->clock);

  if (wait_for (&job->finished, MAX (left, 0)))
    return true;
  if (leave_running (job, JOB_ABANDONED))
    return false;
  wait_surely (&job->finished);
  return true;
}

static enum mt_http_outcome
take_answer (struct job *job, struct mt_arena *arena, struct mt_http_answer *answer, GError **error)
{
  enum mt_http_outcome outcome = job->outcome;

  if (outcome != MT_HTTP_COMPLETE)
    g_propagate_error (error, g_steal_pointer (&job->error));
  else if (mt_arena_adopt (arena, job->arena))
    {
      *answer = job->answer;
      job->arena = NULL;
    }
  else
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "the answer passes the memory of a request; lower limits.answer_bytes");
      outcome = MT_HTTP_UNKNOWN;
    }
  free_job (job);
  return outcome;
}

struct mt_http_exchanges *
mt_http_exchanges_create (struct mt_http_client *client,
                          const struct mt_clock *clock,
                          unsigned threads,
                          size_t memory)
{
  struct mt_http_exchanges *exchanges = g_new0 (struct mt_http_exchanges, 1);

  exchanges->client = client;
  exchanges->clock = clock;
  exchanges->limit = threads;
  exchanges->memory = memory;
  g_mutex_init (&exchanges->lock);
  g_cond_init (&exchanges->ended);
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
  while (exchanges->n > 0)
    g_cond_wait (&exchanges->ended, &exchanges->lock);
  g_mutex_unlock (&exchanges->lock);
  g_mutex_clear (&exchanges->lock);
  g_cond_clear (&exchanges->ended);
  g_free (exchanges);
}

enum mt_http_outcome
mt_http_exchanges_call (struct mt_http_exchanges *exchanges,
                        const char *address,
                        const struct mt_http_call *call,
                        struct mt_http_completion ended,
                        struct mt_arena *arena,
                        struct mt_http_answer *answer,
                        GError **error)
{
  struct job *job = make_job (exchanges, address, call, ended);

  *answer = (struct mt_http_answer){ 0 };
  if (job == NULL || !hand_over (exchanges, job))
    {
      if (job != NULL)
        free_job (job);
      ended.call (ended.ctx, MT_HTTP_NOT_SENT, answer);
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "no memory or thread left for the exchange; raise limits.connections");
      return MT_HTTP_NOT_SENT;
    }
  if (wait_until_deadline (exchanges, job))
    return take_answer (job, arena, answer, error);
  g_set_error (error, MT_ERROR, MT_ERROR_TIMEOUT,
               "no answer by the deadline; see the minion's log or raise the route's deadline_ms");
  return MT_HTTP_UNKNOWN;
}
