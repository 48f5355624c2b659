/* Jobs handed in: stored first, then acknowledged, then told to the pool's leader. */
#include "frontend_internal.h"

#include "journal.h"
#include "loop.h"
#include "pool_keys.h"

#include <string.h>

/* A store that refuses is asked again after this: the refusal says that nothing was done. */
#define AGAIN_MS 80
/* Submissions of one transaction: an expectation and a put each. */
#define PER_TXN 15
/* Transactions of submissions on their way: what comes meanwhile goes into the next one. */
#define TXNS_AT_A_TIME 2U

/* The pool's leader answers from memory in a few ms. One that did not is not asked for a while:
 * each submission would wait for it. */
#define OUTLOOK_MS    250
#define NO_OUTLOOK_MS 1000

struct submit
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  char *pool;
  char *id;
  char *key; /* in the store */
  char *value;
  size_t value_len;
  int64_t began;
  int64_t again_ms; /* it is refused, and could be served so much later; 0 */
  bool unsettled;   /* a write of it had no answer */
};

struct txn
{
  struct mt_frontend *frontend;
  GPtrArray *submits;
  struct mt_timer *again;
  int64_t sent;
};

struct mt_admission *
mt_frontend_new_admission (void)
{
  static const struct mt_admission_settings settings = { .batch_size = PER_TXN,
                                                         .parallel_writes = TXNS_AT_A_TIME,
                                                         .max_wait_ms = MT_FRONTEND_SETTLE_MS };

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

/* The pool's leader learns of it at once; where it doesn't, its watch brings it later. */
static void
tell_leader (struct mt_frontend *frontend, const struct submit *s)
{
  struct mt_pool *local = frontend->options.local (frontend->options.ctx, s->pool);
  struct mt_str value = { s->value, s->value_len };
  struct mt_mesh_args args = { 3, { mt_str_from (s->pool), mt_str_from (s->key), value } };

  if (local != NULL)
    mt_pool_handle_submission (local, s->key, value, true);
  else
    mt_frontend_notify_leader (frontend, s->pool, MT_MESH_SUBMITTED, &args);
}

/* A true refusal, of which nothing is under way, says when its turn would come; a caller whose
 * outcome is unknown settles it by asking again soon. */
static unsigned
retry_after_s (const struct submit *s, unsigned status)
{
  const struct mt_frontend *frontend = s->frontend;

  if (s->again_ms > 0)
    return mt_frontend_retry_after_s (s->again_ms, g_random_double ());
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
  } ways[] = {
    { 200, MT_COUNT_ACCEPTED, "JOB_ACCEPTED" },
    { 504, MT_COUNT_OUTCOME_UNKNOWN, "JOB_UNSETTLED" },
    { 0, MT_COUNT_REFUSED, "JOB_REFUSED" },
  };
  size_t way = 0;
  int64_t took = mt_loop_now () - s->began;

  while (ways[way].status != 0 && ways[way].status != status)
    way++;
  mt_metrics_increment (s->frontend->options.metrics, ways[way].counter);
  mt_metrics_observe (s->frontend->options.metrics, MT_LATENCY_SUBMIT, took);
  mt_journal_log (s->frontend->options.journal, ways[way].event,
                  "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT, s->id, s->pool,
                  status, why, took);
  mt_frontend_answer (s->exchange, status, NULL, retry_after_s (s, status));
  s->frontend->busy--;
  free_submit (s);
}

static void
accept_submit (struct submit *s, const char *why)
{
  tell_leader (s->frontend, s);
  end_submit (s, 200, why);
}

/* The key is there: the same job handed in twice, or another one under its id. */
static void
settle_submit (struct submit *s, const struct mt_kv_item *item)
{
  struct mt_pool_submission mine;
  struct mt_pool_submission theirs;
  bool same;

  mt_pool_submission_unpack ((struct mt_str){ s->value, s->value_len }, &mine);
  same = mt_pool_submission_unpack (item->value, &theirs) && mt_str_equal (theirs.body, mine.body)
         && strcmp (theirs.route, mine.route) == 0
         && strcmp (theirs.workspace, mine.workspace) == 0;
  mt_pool_submission_clear (&theirs);
  mt_pool_submission_clear (&mine);
  if (same)
    accept_submit (s, "known already");
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
  mt_timer_destroy (t->again);
  g_free (t);
}

static void
end_txn (struct txn *t)
{
  struct mt_frontend *frontend = t->frontend;

  free_txn (t);
  send_submits (frontend);
}

/* A conflict that names none of the submissions: the store contradicts itself for the moment, and
 * asking at once again would have no end. */
static bool
names_none (const struct txn *t, const struct mt_kv_reply *reply)
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
conflict (struct txn *t, const struct mt_kv_reply *reply)
{
  for (guint i = 0; i < t->submits->len; i++)
    {
      struct submit *s = t->submits->pdata[i];
      const struct mt_kv_item *item = find_item (reply, s->key);

      if (item != NULL && item->revision > 0)
        settle_submit (s, item);
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

/* A write without an answer may be done later still, so the job is never said to be refused after
 * one: the same write is sent again, which is settled by its own condition. Once the store answers
 * nobody, waiting on helps no caller: each is told at once what is known. */
static void
try_again (struct txn *t, bool unsettled)
{
  int64_t now = mt_loop_now ();
  bool hopeless = !store_answers (t->frontend);

  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];

      s->unsettled |= unsettled;
      if (!hopeless && now - s->began < MT_FRONTEND_SETTLE_MS)
        {
          i++;
          continue;
        }
      end_submit (s, s->unsettled ? 504 : 503, "the store did not answer");
      g_ptr_array_remove_index (t->submits, i);
    }
  if (t->submits->len == 0)
    end_txn (t);
  else
    mt_timer_set (t->again, AGAIN_MS);
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
      if (names_none (t, reply))
        try_again (t, false);
      else
        conflict (t, reply);
      return;
    default:
      try_again (t, reply->status == MT_KV_UNKNOWN);
      return;
    }
}

static void
send_txn (void *ctx)
{
  struct txn *t = ctx;
  struct mt_kv_expect expects[PER_TXN];
  struct mt_kv_put puts[PER_TXN];
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
  mt_kv_write (&t->frontend->options.kv, &txn, MT_FRONTEND_TXN_MS, on_stored, t);
}

/* What came while others were on their way goes into one write. */
static void
send_submits (struct mt_frontend *frontend)
{
  while (!g_queue_is_empty (&frontend->submits) && frontend->txns < TXNS_AT_A_TIME)
    {
      struct txn *t = g_new0 (struct txn, 1);

      t->frontend = frontend;
      t->submits = g_ptr_array_new ();
      t->again = mt_timer_create (frontend->base, send_txn, t);
      frontend->txns++;
      while (t->submits->len < PER_TXN && !g_queue_is_empty (&frontend->submits))
        g_ptr_array_add (t->submits, g_queue_pop_head (&frontend->submits));
      send_txn (t);
    }
}

/* ---- outlook ---- */

static void
take_submit (struct submit *s)
{
  g_queue_push_tail (&s->frontend->submits, s);
  send_submits (s->frontend);
}

/* Nothing of it was sent, so the refusal is true. */
static void
settle_outlook (struct submit *s, int64_t again_ms)
{
  s->again_ms = again_ms;
  if (again_ms > 0)
    end_submit (s, 503, "it can't be done while it is of use, nothing was sent");
  else
    take_submit (s);
}

/* Without an answer nothing is known of the pool, and nobody is refused for it. */
static void
on_outlook (void *data, const struct mt_mesh_args *args)
{
  struct submit *s = data;
  unsigned long long again_ms = 0;

  if (args == NULL)
    s->frontend->no_outlook_until = mt_loop_now () + NO_OUTLOOK_MS;
  else if (args->n == 1)
    mt_str_to_u64 (args->at[0], &again_ms);
  settle_outlook (s, (int64_t) again_ms);
}

/* The pool's leader is asked before anything is stored: what it can't do is refused at once. */
static void
ask_outlook (struct submit *s, const char *route, int64_t chain_ms)
{
  struct mt_frontend *frontend = s->frontend;
  struct mt_pool *local = frontend->options.local (frontend->options.ctx, s->pool);
  const char *holder = mt_cluster_holder (frontend->options.cluster, s->pool);
  g_autofree char *chain = g_strdup_printf ("%" G_GINT64_FORMAT, chain_ms);
  struct mt_mesh_args args
      = { 3, { mt_str_from (s->pool), mt_str_from (route), mt_str_from (chain) } };

  if (local != NULL && mt_pool_is_loaded (local)
      && mt_cluster_lease_is_valid (frontend->options.cluster))
    settle_outlook (
        s, mt_scheduler_estimate_wait (mt_pool_scheduler (local), route, chain_ms, mt_loop_now ())
               .retry_after_ms);
  else if (local != NULL || holder == NULL || mt_loop_now () < frontend->no_outlook_until)
    take_submit (s);
  else
    mt_mesh_send (frontend->options.mesh, holder, MT_MESH_OUTLOOK, &args, OUTLOOK_MS, on_outlook,
                  s);
}

/* Of a job that is due later, or lasts, no outlook of now tells anything. */
static bool
has_outlook (const struct mt_job_spec *spec)
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
      = frontend->options.words->ops->parse_job (id, route->name, body, &error);
  struct submit *s;
  int64_t chain_ms;
  bool asks;

  if (spec == NULL)
    {
      mt_metrics_increment (frontend->options.metrics, MT_COUNT_REFUSED);
      mt_journal_log (frontend->options.journal, "JOB_REFUSED", "id=%s pool=%s status=400 why=%s",
                      id, route->pool, error->message);
      mt_exchange_answer (exchange, 400, "text/plain", mt_str_from (error->message), 0);
      return;
    }
  chain_ms = mt_job_spec_chain_ms (spec, 1.0);
  asks = has_outlook (spec);
  mt_job_spec_destroy (spec);
  s = g_new0 (struct submit, 1);
  s->frontend = frontend;
  s->exchange = exchange;
  s->pool = g_strdup (route->pool);
  s->id = g_strdup (id);
  s->key = mt_pool_job_key (route->pool, id);
  s->value = mt_pool_submission_pack (&submission, &s->value_len);
  s->began = mt_loop_now ();
  frontend->busy++;
  if (!store_answers (frontend))
    {
      end_submit (s, 503, "the store does not answer, nothing was sent");
      return;
    }
  if (!mt_admission_admits (frontend->admission, frontend->submits.length))
    {
      end_submit (s, 503, "more wait than can be stored in time, nothing was sent");
      return;
    }
  if (asks)
    ask_outlook (s, route->name, chain_ms);
  else
    take_submit (s);
}
