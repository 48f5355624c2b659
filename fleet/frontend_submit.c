/* Submits jobs: stores them, acknowledges them and then notifies the pool's leader. */
#include "frontend_internal.h"

#include "journal.h"
#include "loop.h"
#include "pool_keys.h"

#include <string.h>

/* Delay before retrying a write that the store refused or did not answer. A refusal says that
 * nothing was done. */
#define RETRY_MS 80
/* Most submissions in one transaction; each takes a precondition and a put. */
#define SUBMITS_PER_TXN 15
/* Most transactions of submissions in flight; later submissions wait and share the next one. */
#define MAX_TXNS_IN_FLIGHT 2U

/* Time-out of a wait estimate: the pool's leader answers from memory in a few ms. After a time-out
 * no leader is asked for a while, because each submission would wait for it. */
#define ESTIMATE_TIMEOUT_MS 250
#define ESTIMATE_PAUSE_MS   1000

struct submit
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  char *pool;
  char *id;
  char *key; /* key in the store */
  char *value;
  size_t value_len;
  int64_t began;
  int64_t retry_ms;     /* of a refused job: delay after which it could be served; else 0 */
  bool outcome_unknown; /* a write of it had no answer, so it may be stored */
};

struct txn
{
  struct mt_frontend *frontend;
  GPtrArray *submits;
  struct mt_timer *retry_timer;
  int64_t sent;
};

struct mt_admission *
mt_frontend_new_admission (void)
{
  static const struct mt_admission_settings settings = { .batch_size = SUBMITS_PER_TXN,
                                                         .parallel_writes = MAX_TXNS_IN_FLIGHT,
                                                         .max_wait_ms = MT_FRONTEND_DEADLINE_MS };

  return mt_admission_create (&settings);
}

static void send_submits (struct mt_frontend *frontend);

static void
free_submit (void *data)
{
  struct submit *s = data;

  g_free (s->pool);
  g_free (s->id);
  g_free (s->key);
  g_free (s->value);
  g_free (s);
}

/* Notifies the pool's leader at once; if the message is lost, the leader's watch brings the job
 * later. */
static void
notify_leader (struct mt_frontend *frontend, const struct submit *s)
{
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, s->pool);
  struct mt_str value = { s->value, s->value_len };
  struct mt_mesh_args args = { 3, { mt_str_from (s->pool), mt_str_from (s->key), value } };

  if (local_pool != NULL)
    mt_pool_handle_submission (local_pool, s->key, value, true);
  else
    mt_frontend_notify_leader (frontend, s->pool, MT_MESH_SUBMITTED, &args);
}

/* A refusal without a write in flight gets the time when it could be served; a caller whose outcome
 * is unknown retries soon to find it out. */
static unsigned
retry_after_s (const struct submit *s, unsigned status)
{
  const struct mt_frontend *frontend = s->frontend;

  if (s->retry_ms > 0)
    return mt_frontend_retry_after_s (s->retry_ms, g_random_double ());
  if (status == 503)
    return mt_admission_retry_after_s (frontend->admission, frontend->submits.length,
                                       g_random_double ());
  return status == 504 ? MT_FRONTEND_RETRY_AFTER_S : 0;
}

static void
end_submit (struct submit *s, unsigned status, const char *why)
{
  static const struct
  {
    unsigned status;
    enum mt_counter counter;
    const char *event;
  } outcomes[] = {
    { 200, MT_COUNT_ACCEPTED, "JOB_ACCEPTED" },
    { 504, MT_COUNT_OUTCOME_UNKNOWN, "JOB_UNSETTLED" },
    { 0, MT_COUNT_REFUSED, "JOB_REFUSED" },
  };
  size_t outcome = 0;
  int64_t took = mt_loop_now () - s->began;

  while (outcomes[outcome].status != 0 && outcomes[outcome].status != status)
    outcome++;
  mt_metrics_increment (s->frontend->options.metrics, outcomes[outcome].counter);
  mt_metrics_observe (s->frontend->options.metrics, MT_LATENCY_SUBMIT, took);
  mt_journal_log (s->frontend->options.journal, outcomes[outcome].event,
                  "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT, s->id, s->pool,
                  status, why, took);
  mt_frontend_answer (s->exchange, status, NULL, retry_after_s (s, status));
  s->frontend->in_flight--;
  free_submit (s);
}

static void
accept_submit (struct submit *s, const char *why)
{
  notify_leader (s->frontend, s);
  end_submit (s, 200, why);
}

/* The key exists already: either the same job was submitted twice, or another job has this id. */
static void
resolve_existing (struct submit *s, const struct mt_kv_item *item)
{
  struct mt_pool_submission submitted;
  struct mt_pool_submission stored;
  bool same;

  mt_pool_submission_unpack ((struct mt_str){ s->value, s->value_len }, &submitted);
  same = mt_pool_submission_unpack (item->value, &stored)
         && mt_str_equal (stored.body, submitted.body)
         && strcmp (stored.route, submitted.route) == 0
         && strcmp (stored.workspace, submitted.workspace) == 0;
  mt_pool_submission_clear (&stored);
  mt_pool_submission_clear (&submitted);
  if (same)
    accept_submit (s, "already stored");
  else
    end_submit (s, 409, "another job has this id");
}

static const struct mt_kv_item *
find_item (const struct mt_kv_reply *reply, const char *key)
{
  for (size_t i = 0; i < reply->n_items; i++)
    if (strcmp (reply->items[i].key, key) == 0)
      return &reply->items[i];
  return NULL;
}

static void
free_txn (struct txn *t)
{
  t->frontend->txns--;
  g_ptr_array_unref (t->submits);
  mt_timer_destroy (t->retry_timer);
  g_free (t);
}

static void
end_txn (struct txn *t)
{
  struct mt_frontend *frontend = t->frontend;

  free_txn (t);
  send_submits (frontend);
}

/* Returns whether a conflict names none of the submissions. The store then contradicts itself for
 * the moment, and an immediate retry could loop for ever. */
static bool
names_no_submit (const struct txn *t, const struct mt_kv_reply *reply)
{
  for (guint i = 0; i < t->submits->len; i++)
    {
      const struct submit *s = t->submits->pdata[i];
      const struct mt_kv_item *item = find_item (reply, s->key);

      if (item != NULL && item->revision > 0)
        return false;
    }
  return true;
}

static void
handle_conflict (struct txn *t, const struct mt_kv_reply *reply)
{
  for (guint i = 0; i < t->submits->len; i++)
    {
      struct submit *s = t->submits->pdata[i];
      const struct mt_kv_item *item = find_item (reply, s->key);

      if (item != NULL && item->revision > 0)
        resolve_existing (s, item);
      else
        g_queue_push_tail (&t->frontend->submits, s);
    }
  end_txn (t);
}

static bool
store_answers (const struct mt_frontend *frontend)
{
  return frontend->options.store_answers (frontend->options.ctx);
}

/* A write without an answer may still be done later, so its job must not be reported as refused:
 * the same write is sent again, and its precondition settles the outcome. Once the store answers no
 * daemon, waiting does not help callers: each gets what is known at once. */
static void
retry_or_end (struct txn *t, bool outcome_unknown)
{
  int64_t now = mt_loop_now ();
  bool store_is_down = !store_answers (t->frontend);

  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];

      s->outcome_unknown |= outcome_unknown;
      if (!store_is_down && now - s->began < MT_FRONTEND_DEADLINE_MS)
        {
          i++;
          continue;
        }
      if (s->outcome_unknown)
        end_submit (s, 504, "the store did not answer");
      else
        end_submit (s, 503, "the store refused the write or was not reached");
      g_ptr_array_remove_index (t->submits, i);
    }
  if (t->submits->len == 0)
    end_txn (t);
  else
    mt_timer_set (t->retry_timer, RETRY_MS);
}

static void
on_stored (void *data, const struct mt_kv_reply *reply)
{
  struct txn *t = data;

  mt_admission_record_batch (t->frontend->admission, mt_loop_now () - t->sent);
  switch (reply->status)
    {
    case MT_KV_OK:
      for (guint i = 0; i < t->submits->len; i++)
        accept_submit (t->submits->pdata[i], "stored");
      end_txn (t);
      return;
    case MT_KV_CONFLICT:
      if (names_no_submit (t, reply))
        retry_or_end (t, false);
      else
        handle_conflict (t, reply);
      return;
    default:
      retry_or_end (t, reply->status == MT_KV_UNKNOWN);
      return;
    }
}

static void
send_txn (void *ctx)
{
  struct txn *t = ctx;
  struct mt_kv_expect expects[SUBMITS_PER_TXN];
  struct mt_kv_put puts[SUBMITS_PER_TXN];
  struct mt_kv_txn txn = {
    .expects = expects, .n_expects = t->submits->len, .puts = puts, .n_puts = t->submits->len
  };

  for (guint i = 0; i < t->submits->len; i++)
    {
      const struct submit *s = t->submits->pdata[i];

      expects[i] = (struct mt_kv_expect){ s->key, 0 };
      puts[i] = (struct mt_kv_put){ s->key, { s->value, s->value_len }, 0 };
    }
  t->sent = mt_loop_now ();
  mt_kv_write (&t->frontend->options.kv, &txn, MT_FRONTEND_TXN_TIMEOUT_MS, on_stored, t);
}

/* Submissions that arrive while transactions are in flight share the next one. */
static void
send_submits (struct mt_frontend *frontend)
{
  while (!g_queue_is_empty (&frontend->submits) && frontend->txns < MAX_TXNS_IN_FLIGHT)
    {
      struct txn *t = g_new0 (struct txn, 1);

      t->frontend = frontend;
      t->submits = g_ptr_array_new ();
      t->retry_timer = mt_timer_create (frontend->base, send_txn, t);
      frontend->txns++;
      while (t->submits->len < SUBMITS_PER_TXN && !g_queue_is_empty (&frontend->submits))
        g_ptr_array_add (t->submits, g_queue_pop_head (&frontend->submits));
      send_txn (t);
    }
}

/* ---- wait estimate ---- */

static void
enqueue_submit (struct submit *s)
{
  g_queue_push_tail (&s->frontend->submits, s);
  send_submits (s->frontend);
}

/* Nothing was written yet, so the job can be refused for certain. */
static void
apply_estimate (struct submit *s, int64_t retry_ms)
{
  s->retry_ms = retry_ms;
  if (retry_ms > 0)
    end_submit (s, 503, "the job cannot complete in time, nothing was sent");
  else
    enqueue_submit (s);
}

/* Without an answer the pool's state is unknown, and the job is not refused for it. */
static void
on_estimate (void *data, const struct mt_mesh_args *args)
{
  struct submit *s = data;
  unsigned long long retry_ms = 0;

  if (args == NULL)
    s->frontend->estimate_paused_until = mt_loop_now () + ESTIMATE_PAUSE_MS;
  else if (args->n == 1)
    mt_str_to_u64 (args->at[0], &retry_ms);
  apply_estimate (s, (int64_t) retry_ms);
}

/* Asks the pool's leader for a wait estimate before anything is stored: a job that cannot be done
 * in time is refused at once. chain_ms: duration of the job's longest chain of steps. */
static void
request_estimate (struct submit *s, const char *route, int64_t chain_ms)
{
  struct mt_frontend *frontend = s->frontend;
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, s->pool);
  const char *holder = mt_cluster_holder (frontend->options.cluster, s->pool);
  g_autofree char *chain = g_strdup_printf ("%" G_GINT64_FORMAT, chain_ms);
  struct mt_mesh_args args
      = { 3, { mt_str_from (s->pool), mt_str_from (route), mt_str_from (chain) } };

  if (local_pool != NULL && mt_pool_is_loaded (local_pool)
      && mt_cluster_lease_is_valid (frontend->options.cluster))
    apply_estimate (s, mt_scheduler_estimate_wait (mt_pool_scheduler (local_pool), route, chain_ms,
                                                   mt_loop_now ())
                           .retry_after_ms);
  else if (local_pool != NULL || holder == NULL || mt_loop_now () < frontend->estimate_paused_until)
    enqueue_submit (s);
  else
    mt_mesh_send (frontend->options.mesh, holder, MT_MESH_WAIT_ESTIMATE, &args, ESTIMATE_TIMEOUT_MS,
                  on_estimate, s);
}

/* Returns whether a wait estimate makes sense: not for a job that is scheduled for later or has a
 * long-running step. */
static bool
can_estimate (const struct mt_job_spec *spec)
{
  for (unsigned i = 0; i < spec->n_steps; i++)
    if (spec->steps[i].long_running)
      return false;
  return spec->repeats == 0;
}

void
mt_frontend_submit (struct mt_frontend *frontend,
                    struct mt_exchange *exchange,
                    const struct mt_fleet_route *route,
                    const char *id,
                    const char *workspace)
{
  g_autoptr (GError) error = NULL;
  struct mt_str body = mt_exchange_body (exchange);
  struct mt_pool_submission submission = { .route = route->name,
                                           .workspace = (char *) workspace,
                                           .accepted_ms = mt_loop_wall_ms (),
                                           .body = body };
  struct mt_job_spec *spec
      = frontend->options.codec->ops->parse_job (id, route->name, body, &error);
  struct submit *s;
  int64_t chain_ms;
  bool wants_estimate;

  if (spec == NULL)
    {
      mt_metrics_increment (frontend->options.metrics, MT_COUNT_REFUSED);
      mt_journal_log (frontend->options.journal, "JOB_REFUSED", "id=%s pool=%s status=400 why=%s",
                      id, route->pool, error->message);
      mt_exchange_answer (exchange, 400, "text/plain", mt_str_from (error->message), 0);
      return;
    }
  chain_ms = mt_job_spec_chain_ms (spec, 1.0);
  wants_estimate = can_estimate (spec);
  mt_job_spec_destroy (spec);
  s = g_new0 (struct submit, 1);
  s->frontend = frontend;
  s->exchange = exchange;
  s->pool = g_strdup (route->pool);
  s->id = g_strdup (id);
  s->key = mt_pool_job_key (route->pool, id);
  s->value = mt_pool_submission_pack (&submission, &s->value_len);
  s->began = mt_loop_now ();
  frontend->in_flight++;
  if (!store_answers (frontend))
    {
      end_submit (s, 503, "the store does not answer, nothing was sent");
      return;
    }
  if (!mt_admission_admits (frontend->admission, frontend->submits.length))
    {
      end_submit (s, 503, "too many submissions wait to be stored, nothing was sent");
      return;
    }
  if (wants_estimate)
    request_estimate (s, route->name, chain_ms);
  else
    enqueue_submit (s);
}
