#include "gate.h"

#include "journal.h"
#include "loop.h"
#include "pool_keys.h"

#include <stdlib.h>
#include <string.h>

/* The store's answer to a submission is waited for so long in all; then its outcome is unknown, and
 * the caller's retry under the same id settles it. A caller gives up after some 3 s. */
#define SETTLE_MS 1200
#define TXN_MS    600
/* A store that refuses is asked again after this: the refusal says that nothing was done. */
#define AGAIN_MS 80
/* Submissions of one transaction: an expectation and a put each. */
#define PER_TXN        15
#define TXNS_AT_A_TIME 2U
/* The pool's leader answers from memory; if it doesn't, the store knows. */
#define LEADER_MS 350
#define STORE_MS  700
#define ID_CHARS  16
/* When to come back: the store refuses for seconds at a time, a free duty is taken within two. */
#define RETRY_AFTER_S 1

struct mt_gate
{
  struct event_base *base;
  struct mt_gate_options options;
  const struct mt_fleet_config *config;
  GQueue submits; /* not in a transaction yet */
  unsigned txns;
  unsigned busy;
};

/* ---- answers ---- */

static void
answer (struct mt_exchange *exchange, unsigned status, const char *body, unsigned retry_after_s)
{
  mt_exchange_answer (exchange, status, "application/json",
                      mt_str_from (body != NULL ? body : "{}"), retry_after_s);
}

static void
answer_state (struct mt_gate *gate, struct mt_exchange *exchange, enum mt_job_state state)
{
  g_autofree char *body = gate->options.words->ops->job_state (state);

  answer (exchange, 200, body, 0);
}

/* ---- submissions ---- */

struct submit
{
  struct mt_gate *gate;
  struct mt_exchange *exchange;
  char *pool;
  char *id;
  char *key;
  char *value;
  size_t value_len;
  int64_t began;
  bool unsettled; /* a write of it had no answer */
};

struct txn
{
  struct mt_gate *gate;
  GPtrArray *submits;
  struct mt_timer *again;
};

static void send_submits (struct mt_gate *gate);

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

static void
on_noted (void *ctx, const struct mt_mesh_args *args)
{
}

/* The pool's leader learns of it at once; where it doesn't, its watch brings it later. */
static void
tell_leader (struct mt_gate *gate, const struct submit *s)
{
  struct mt_pool *local = gate->options.local (gate->options.ctx, s->pool);
  struct mt_str value = { s->value, s->value_len };
  const char *holder = mt_cluster_holder (gate->options.cluster, s->pool);
  struct mt_mesh_args args = { 3, { mt_str_from (s->pool), mt_str_from (s->key), value } };

  if (local != NULL)
    mt_pool_submitted (local, s->key, value, true);
  else if (holder != NULL)
    mt_mesh_send (gate->options.mesh, holder, MT_MESH_SUBMITTED, &args, LEADER_MS, on_noted, gate);
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
    { 504, MT_COUNT_UNSETTLED, "JOB_UNSETTLED" },
    { 0, MT_COUNT_REFUSED, "JOB_REFUSED" },
  };
  size_t way = 0;
  int64_t took = mt_loop_now () - s->began;

  while (ways[way].status != 0 && ways[way].status != status)
    way++;
  mt_metrics_count (s->gate->options.metrics, ways[way].counter);
  mt_metrics_took (s->gate->options.metrics, MT_LATENCY_SUBMIT, took);
  mt_journal_tell (s->gate->options.journal, ways[way].event,
                   "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT, s->id, s->pool,
                   status, why, took);
  answer (s->exchange, status, NULL, status == 503 || status == 504 ? RETRY_AFTER_S : 0);
  s->gate->busy--;
  free_submit (s);
}

static void
accept_submit (struct submit *s, const char *why)
{
  tell_leader (s->gate, s);
  end_submit (s, 200, why);
}

/* The key is there: the same job handed in twice, or another one under its id. */
static void
settle_submit (struct submit *s, const struct mt_kv_item *item)
{
  g_autofree char *route = NULL;
  g_autofree char *my_route = NULL;
  int64_t at, my_at;
  struct mt_str body, my_body;

  mt_pool_read_value ((struct mt_str){ s->value, s->value_len }, &my_route, &my_at, &my_body);
  if (mt_pool_read_value (item->value, &route, &at, &body) && mt_str_equal (body, my_body)
      && strcmp (route, my_route) == 0)
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
  t->gate->txns--;
  g_ptr_array_unref (t->submits);
  mt_timer_destroy (t->again);
  g_free (t);
}

static void
end_txn (struct txn *t)
{
  struct mt_gate *gate = t->gate;

  free_txn (t);
  send_submits (gate);
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
        g_queue_push_tail (&t->gate->submits, s);
    }
  end_txn (t);
}

static bool
store_answers (const struct mt_gate *gate)
{
  return gate->options.store_answers (gate->options.ctx);
}

/* A write without an answer may be done later still, so the job is never said to be refused after
 * one: the same write is sent again, which is settled by its own condition. Once the store answers
 * nobody, waiting on helps no caller: each is told at once what is known. */
static void
try_again (struct txn *t, bool unsettled)
{
  int64_t now = mt_loop_now ();
  bool hopeless = !store_answers (t->gate);

  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];

      s->unsettled |= unsettled;
      if (!hopeless && now - s->began < SETTLE_MS)
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

  switch (reply->status)
    {
    case MT_KV_OK:
      for (guint i = 0; i < t->submits->len; i++)
        accept_submit (t->submits->pdata[i], "stored");
      end_txn (t);
      return;
    case MT_KV_CONFLICT:
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
  t->gate->options.kv.ops->txn (t->gate->options.kv.ctx, &txn, TXN_MS, on_stored, t);
}

/* What came while others were on their way goes into one write. */
static void
send_submits (struct mt_gate *gate)
{
  while (!g_queue_is_empty (&gate->submits) && gate->txns < TXNS_AT_A_TIME)
    {
      struct txn *t = g_new0 (struct txn, 1);

      t->gate = gate;
      t->submits = g_ptr_array_new ();
      t->again = mt_timer_create (gate->base, send_txn, t);
      gate->txns++;
      while (t->submits->len < PER_TXN && !g_queue_is_empty (&gate->submits))
        g_ptr_array_add (t->submits, g_queue_pop_head (&gate->submits));
      send_txn (t);
    }
}

static void
submit (struct mt_gate *gate,
        struct mt_exchange *exchange,
        const struct mt_fleet_route *route,
        const char *id)
{
  g_autoptr (GError) error = NULL;
  struct mt_str body = mt_exchange_body (exchange);
  struct mt_job_spec *spec = gate->options.words->ops->job (id, route->name, body, &error);
  struct submit *s;

  if (spec == NULL)
    {
      mt_metrics_count (gate->options.metrics, MT_COUNT_REFUSED);
      mt_journal_tell (gate->options.journal, "JOB_REFUSED", "id=%s pool=%s status=400 why=%s", id,
                       route->pool, error->message);
      mt_exchange_answer (exchange, 400, "text/plain", mt_str_from (error->message), 0);
      return;
    }
  mt_job_spec_destroy (spec);
  s = g_new0 (struct submit, 1);
  s->gate = gate;
  s->exchange = exchange;
  s->pool = g_strdup (route->pool);
  s->id = g_strdup (id);
  s->key = mt_pool_job_key (route->pool, id);
  s->value = mt_pool_value (route->name, mt_loop_wall (), body, &s->value_len);
  s->began = mt_loop_now ();
  gate->busy++;
  if (!store_answers (gate))
    {
      end_submit (s, 503, "the store does not answer, nothing was sent");
      return;
    }
  g_queue_push_tail (&gate->submits, s);
  send_submits (gate);
}

/* ---- questions ---- */

struct question
{
  struct mt_gate *gate;
  struct mt_exchange *exchange;
  char *pool;
  char *id; /* of the job; NULL where the queue is asked for */
  char *route;
  int64_t began;
  enum mt_job_state open_state; /* unless it is cancelled */
};

static struct question *
new_question (struct mt_gate *gate,
              struct mt_exchange *exchange,
              const struct mt_fleet_route *route,
              const char *id)
{
  struct question *q = g_new0 (struct question, 1);

  *q = (struct question){ .gate = gate,
                          .exchange = exchange,
                          .pool = g_strdup (route->pool),
                          .id = g_strdup (id),
                          .route = g_strdup (route->name),
                          .began = mt_loop_now () };
  gate->busy++;
  return q;
}

static void
free_question (struct question *q)
{
  q->gate->busy--;
  mt_metrics_took (q->gate->options.metrics, MT_LATENCY_ASK, mt_loop_now () - q->began);
  g_free (q->pool);
  g_free (q->id);
  g_free (q->route);
  g_free (q);
}

static void
end_unanswered (struct question *q, unsigned status, const char *why)
{
  mt_metrics_count (q->gate->options.metrics, MT_COUNT_UNANSWERED);
  mt_journal_tell (q->gate->options.journal, "CALL_FAILED",
                   "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT,
                   q->id != NULL ? q->id : "-", q->pool, status, why, mt_loop_now () - q->began);
  answer (q->exchange, status, NULL, RETRY_AFTER_S);
  free_question (q);
}

static void
end_state (struct question *q, enum mt_job_state state)
{
  answer_state (q->gate, q->exchange, state);
  free_question (q);
}

static void
end_no_job (struct question *q)
{
  answer (q->exchange, 410, NULL, 0);
  free_question (q);
}

static void
on_cancel_key (void *data, const struct mt_kv_reply *reply)
{
  struct question *q = data;

  if (reply->status == MT_KV_OK)
    end_state (q, MT_JOB_CANCELLED);
  else if (reply->status == MT_KV_MISSING)
    end_state (q, q->open_state);
  else
    end_unanswered (q, 503, "the store did not answer");
}

static void
on_progress_key (void *data, const struct mt_kv_reply *reply)
{
  struct question *q = data;
  enum mt_job_state state = MT_JOB_QUEUED;
  g_autofree char *key = NULL;

  if (reply->status != MT_KV_OK && reply->status != MT_KV_MISSING)
    {
      end_unanswered (q, 503, "the store did not answer");
      return;
    }
  if (reply->status == MT_KV_OK && reply->n_items > 0)
    state = mt_pool_record_state (reply->items[0].value);
  if (state == MT_JOB_COMPLETED || state == MT_JOB_FAILED || state == MT_JOB_CANCELLED)
    {
      end_state (q, state);
      return;
    }
  q->open_state = state == MT_JOB_UNKNOWN ? MT_JOB_QUEUED : state;
  key = mt_pool_cancel_key (q->pool, q->id);
  q->gate->options.kv.ops->get (q->gate->options.kv.ctx, key, STORE_MS, on_cancel_key, q);
}

static void
on_job_key (void *data, const struct mt_kv_reply *reply)
{
  struct question *q = data;
  g_autofree char *key = NULL;

  if (reply->status == MT_KV_MISSING)
    {
      end_no_job (q);
      return;
    }
  if (reply->status != MT_KV_OK)
    {
      end_unanswered (q, 503, "the store did not answer");
      return;
    }
  key = mt_pool_progress_key (q->pool, q->id);
  q->gate->options.kv.ops->get (q->gate->options.kv.ctx, key, STORE_MS, on_progress_key, q);
}

/* Nobody leads the pool, or its leader doesn't know the job: only the store can say that a job does
 * not exist. */
static void
ask_store (struct question *q)
{
  g_autofree char *key = mt_pool_job_key (q->pool, q->id);

  mt_metrics_count (q->gate->options.metrics, MT_COUNT_ASKED_STORE);
  q->gate->options.kv.ops->get (q->gate->options.kv.ctx, key, STORE_MS, on_job_key, q);
}

static enum mt_job_state
read_state (struct mt_str text)
{
  for (int i = 0; i < MT_JOB_UNKNOWN; i++)
    if (mt_str_equal (text, mt_str_from (mt_job_state_names[i])))
      return (enum mt_job_state) i;
  return MT_JOB_UNKNOWN;
}

static void
on_leader_state (void *data, const struct mt_mesh_args *args)
{
  struct question *q = data;
  enum mt_job_state state
      = args != NULL && args->n == 1 ? read_state (args->at[0]) : MT_JOB_UNKNOWN;

  if (state == MT_JOB_UNKNOWN)
    {
      ask_store (q);
      return;
    }
  mt_metrics_count (q->gate->options.metrics, MT_COUNT_ASKED_LEADER);
  end_state (q, state);
}

static struct mt_pool *
loaded_pool (struct mt_gate *gate, const char *name)
{
  struct mt_pool *pool = gate->options.local (gate->options.ctx, name);

  return pool != NULL && mt_pool_is_loaded (pool) ? pool : NULL;
}

static void
ask_state (struct mt_gate *gate,
           struct mt_exchange *exchange,
           const struct mt_fleet_route *route,
           const char *id)
{
  struct mt_pool *local = loaded_pool (gate, route->pool);
  const char *holder = mt_cluster_holder (gate->options.cluster, route->pool);
  struct question *q = new_question (gate, exchange, route, id);
  struct mt_mesh_args args = { 2, { mt_str_from (q->pool), mt_str_from (q->id) } };
  enum mt_job_state state = MT_JOB_UNKNOWN;

  mt_metrics_count (gate->options.metrics, MT_COUNT_ASKED);
  /* A leader that may have been replaced unnoticed must not tell what is no longer true. */
  if (local != NULL && mt_cluster_is_sure (gate->options.cluster))
    state = mt_desk_state (mt_pool_desk (local), id);
  if (state != MT_JOB_UNKNOWN)
    end_state (q, state);
  else if (local == NULL && holder != NULL)
    mt_mesh_send (gate->options.mesh, holder, MT_MESH_STATE, &args, LEADER_MS, on_leader_state, q);
  else
    ask_store (q);
}

static void
on_leader_pending (void *data, const struct mt_mesh_args *args)
{
  struct question *q = data;
  g_autofree char *body = NULL;
  unsigned long long jobs = 0;

  if (args == NULL || args->n != 1 || !mt_str_to_u64 (args->at[0], &jobs))
    {
      end_unanswered (q, 503, "the pool's leader did not answer");
      return;
    }
  body = q->gate->options.words->ops->pending ((unsigned) jobs);
  answer (q->exchange, 200, body, 0);
  free_question (q);
}

static void
ask_pending (struct mt_gate *gate, struct mt_exchange *exchange, const struct mt_fleet_route *route)
{
  struct mt_pool *local = loaded_pool (gate, route->pool);
  const char *holder = mt_cluster_holder (gate->options.cluster, route->pool);
  struct question *q = new_question (gate, exchange, route, NULL);
  struct mt_mesh_args args = { 2, { mt_str_from (q->pool), mt_str_from (q->route) } };

  mt_metrics_count (gate->options.metrics, MT_COUNT_ASKED);
  if (local != NULL)
    {
      g_autofree char *body
          = gate->options.words->ops->pending (mt_desk_pending (mt_pool_desk (local), route->name));

      answer (exchange, 200, body, 0);
      free_question (q);
    }
  else if (holder != NULL)
    mt_mesh_send (gate->options.mesh, holder, MT_MESH_PENDING, &args, LEADER_MS, on_leader_pending,
                  q);
  else
    end_unanswered (q, 503, "nobody leads the pool");
}

/* ---- cancels ---- */

static void send_cancel (struct question *q);

static void
end_cancel (struct question *q)
{
  struct mt_gate *gate = q->gate;
  struct mt_pool *local = gate->options.local (gate->options.ctx, q->pool);
  const char *holder = mt_cluster_holder (gate->options.cluster, q->pool);
  struct mt_mesh_args args = { 2, { mt_str_from (q->pool), mt_str_from (q->id) } };

  if (local != NULL)
    mt_pool_cancelled (local, q->id);
  else if (holder != NULL)
    mt_mesh_send (gate->options.mesh, holder, MT_MESH_CANCELLED, &args, LEADER_MS, on_noted, gate);
  mt_metrics_count (gate->options.metrics, MT_COUNT_CANCELS);
  mt_journal_tell (gate->options.journal, "CANCEL_ACCEPTED",
                   "id=%s pool=%s took_ms=%" G_GINT64_FORMAT, q->id, q->pool,
                   mt_loop_now () - q->began);
  answer (q->exchange, 200, NULL, 0);
  free_question (q);
}

static bool
out_of_time (const struct question *q)
{
  return mt_loop_now () - q->began >= SETTLE_MS;
}

static void
on_cancel_stored (void *data, const struct mt_kv_reply *reply)
{
  struct question *q = data;

  if (reply->status == MT_KV_OK || reply->status == MT_KV_CONFLICT)
    end_cancel (q);
  else if (out_of_time (q))
    end_unanswered (q, 504, "the store did not answer");
  else
    send_cancel (q);
}

static void
send_cancel (struct question *q)
{
  g_autofree char *key = mt_pool_cancel_key (q->pool, q->id);
  struct mt_kv_expect expect = { key, 0 };
  struct mt_kv_put put = { .key = key, .value = MT_STR ("{}") };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  q->gate->options.kv.ops->txn (q->gate->options.kv.ctx, &txn, TXN_MS, on_cancel_stored, q);
}

static void
on_cancel_job (void *data, const struct mt_kv_reply *reply)
{
  struct question *q = data;

  if (reply->status == MT_KV_MISSING)
    end_no_job (q);
  else if (reply->status == MT_KV_OK)
    send_cancel (q);
  else
    end_unanswered (q, reply->status == MT_KV_REFUSED ? 503 : 504, "the store did not answer");
}

static void
cancel (struct mt_gate *gate,
        struct mt_exchange *exchange,
        const struct mt_fleet_route *route,
        const char *id)
{
  struct question *q = new_question (gate, exchange, route, id);
  g_autofree char *key = mt_pool_job_key (q->pool, q->id);

  gate->options.kv.ops->get (gate->options.kv.ctx, key, TXN_MS, on_cancel_job, q);
}

/* ---- routing ---- */

static bool
same_host (const char *header, const char *host)
{
  size_t len = header != NULL ? strcspn (header, ":") : 0;

  return host == NULL
         || (header != NULL && strlen (host) == len
             && g_ascii_strncasecmp (header, host, len) == 0);
}

static const struct mt_fleet_route *
find_route (const struct mt_gate *gate, const struct mt_exchange *exchange)
{
  const char *host = mt_exchange_header (exchange, "Host");
  const char *path = mt_exchange_path (exchange);
  const struct mt_fleet_route *best = NULL;

  for (size_t i = 0; i < gate->config->n_routes; i++)
    {
      const struct mt_fleet_route *route = &gate->config->routes[i];

      if (same_host (host, route->host) && g_str_has_prefix (path, route->prefix)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

static bool
is_id (const char *text)
{
  size_t n = 0;

  while (g_ascii_isxdigit (text[n]))
    n++;
  return n == ID_CHARS && text[n] == '\0';
}

void
mt_gate_handle (struct mt_gate *gate, struct mt_exchange *exchange)
{
  const char *method = mt_exchange_method (exchange);
  const struct mt_fleet_route *route;
  const char *rest;

  if (gate->config == NULL)
    {
      answer (exchange, 503, NULL, RETRY_AFTER_S);
      return;
    }
  route = find_route (gate, exchange);
  rest = route != NULL ? mt_exchange_path (exchange) + strlen (route->prefix) : NULL;
  if (route == NULL || (rest[0] != '\0' && !is_id (rest)))
    answer (exchange, 404, NULL, 0);
  else if (strcmp (method, "GET") == 0 && rest[0] == '\0')
    ask_pending (gate, exchange, route);
  else if (strcmp (method, "POST") == 0 && rest[0] != '\0')
    submit (gate, exchange, route, rest);
  else if (strcmp (method, "GET") == 0)
    ask_state (gate, exchange, route, rest);
  else if (strcmp (method, "DELETE") == 0 && rest[0] != '\0')
    cancel (gate, exchange, route, rest);
  else
    answer (exchange, 405, NULL, 0);
}

void
mt_gate_set_config (struct mt_gate *gate, const struct mt_fleet_config *config)
{
  gate->config = config;
}

unsigned
mt_gate_busy (const struct mt_gate *gate)
{
  return gate->busy;
}

struct mt_gate *
mt_gate_create (struct event_base *base, const struct mt_gate_options *options)
{
  struct mt_gate *gate = g_new0 (struct mt_gate, 1);

  gate->base = base;
  gate->options = *options;
  return gate;
}

void
mt_gate_destroy (struct mt_gate *gate)
{
  if (gate == NULL)
    return;
  g_queue_clear (&gate->submits);
  g_free (gate);
}
