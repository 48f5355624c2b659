/* Submits jobs: stores them, acknowledges them and then notifies the pool's leader. */
#include "frontend_internal.h"

#include "estimate_wire.h"
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

/* Reasons of refusals. */
#define NOT_STORED "the store refused the write or was not reached"
#define TOO_MANY   "too many submissions wait to be stored, nothing was sent"
#define TOO_MANY_OF_WORKSPACE                                                                      \
  "its workspace has more than its share of the waiting submissions, nothing was sent"
/* Time for which a caller waits that does not say so, and the header in which it does. */
#define CALLER_WAIT_MS  3000
#define DEADLINE_HEADER "X-Medlartrack-Deadline-Ms"
/* Share of a caller's time after which it is answered; the rest is for the way there and back. */
#define ANSWER_SHARE (5.0 / 6)
/* Time-out of the look-up of an unanswered write. */
#define LOOKUP_TIMEOUT_MS 300
/* Shortest time-out of a call that finds out an outcome; the store answers in 4 to 13 ms. */
#define MIN_SETTLE_MS 30
/* Most transactions whose outcome is being found out besides those of MAX_TXNS_IN_FLIGHT: with
 * lost answers each takes up to 2.5 s. */
#define MAX_SETTLING 16U
/* A job earns something until this many times its objective. */
#define USEFUL_OBJECTIVES 3

struct submit
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  char *pool;
  char *id;
  char *workspace; /* of the caller; "" for none */
  char *route;
  char *key; /* key in the store */
  char *value;
  size_t value_len;
  int64_t chain_ms; /* duration of the job's longest chain of steps */
  bool wants_estimate;
  struct mt_retry_request request;
  int64_t began;
  int64_t settle_by; /* time by which an unknown outcome is answered */
  bool waited;       /* it has waited for the store's return */
  bool refused_by_store;
  int64_t retry_ms;     /* of a refused job: delay after which it could be served; else 0 */
  bool outcome_unknown; /* a write of it had no answer, so it may be stored */
  bool older_estimate;  /* the leader did not answer the estimate's form with a workspace */
  enum mt_refusal cause;
  struct mt_submit_share share; /* of a refusal because of the workspace's share */
};

struct txn
{
  struct mt_frontend *frontend;
  GPtrArray *submits;
  struct mt_timer *retry_timer;
  int64_t sent; /* when it was last sent; 0: not yet */
  int64_t timeout_ms;
  bool settling;
  unsigned lookups; /* look-ups in flight */
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
  g_free (s->route);
  g_free (s->id);
  g_free (s->workspace);
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
  if (status == 503 && s->refused_by_store && frontend->store_wait != NULL)
    return mt_store_wait_retry_after_s (frontend->store_wait, &s->request);
  if (status == 503)
    return mt_submit_queue_retry_after_s (frontend->submits, s->workspace, s->cause,
                                          g_random_double ());
  return status == 504 ? MT_FRONTEND_RETRY_AFTER_S : 0;
}

/* Returns the log fields of the workspace and of a refusal, each with a blank before it; free the
 * text with g_free. */
static char *
describe_submit (const struct submit *s, unsigned status, unsigned retry_s)
{
  const struct mt_frontend *frontend = s->frontend;
  GString *out = g_string_new (NULL);

  if (s->workspace[0] != '\0')
    g_string_append_printf (out, " workspace=%s", s->workspace);
  if (status == 503 && s->cause != MT_REFUSAL_NONE)
    g_string_append_printf (out, " cause=%s", mt_refusal_names[s->cause]);
  if (status == 503 && s->cause == MT_REFUSAL_SHARE)
    g_string_append_printf (out, " share=%u fair=%u", s->share.share, s->share.fair);
  if (status != 200 && status != 504 && frontend->store_wait != NULL)
    g_string_append_printf (out, " retry_s=%u away_ms=%" G_GINT64_FORMAT, retry_s,
                            mt_store_wait_away_ms (frontend->store_wait));
  return g_string_free (out, FALSE);
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
  struct mt_frontend *frontend = s->frontend;
  size_t outcome = 0;
  int64_t took = mt_loop_now () - s->began;
  unsigned retry_s = retry_after_s (s, status);
  g_autofree char *detail = describe_submit (s, status, retry_s);

  while (outcomes[outcome].status != 0 && outcomes[outcome].status != status)
    outcome++;
  mt_metrics_increment (frontend->options.metrics, outcomes[outcome].counter);
  if (status == 503)
    mt_metrics_count_refusal (frontend->options.metrics, s->cause);
  mt_metrics_observe (frontend->options.metrics, MT_LATENCY_SUBMIT, took);
  if (s->waited && (status == 200 || status == 503))
    mt_metrics_increment (frontend->options.metrics,
                          status == 200 ? MT_COUNT_WAITED_STORED : MT_COUNT_WAITED_REFUSED);
  mt_journal_log (frontend->options.journal, outcomes[outcome].event,
                  "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT "%s", s->id, s->pool,
                  status, why, took, detail);
  mt_frontend_answer (s->exchange, status, NULL, retry_s);
  frontend->in_flight--;
  free_submit (s);
}

/* Refuses a submission that no transaction holds any more. One that was in a transaction without
 * an answer may be stored all the same. */
static void
refuse_submit (struct submit *s, enum mt_refusal cause, const char *why)
{
  s->cause = cause;
  if (cause == MT_REFUSAL_SHARE && s->share.fair == 0)
    s->share = mt_submit_queue_share (s->frontend->submits, s->workspace);
  if (s->outcome_unknown)
    end_submit (s, 504, "the store did not answer");
  else
    end_submit (s, 503, why);
}

/* A submission that another workspace's displaces was never sent. */
static void
queue_submit (struct submit *s)
{
  struct submit *displaced
      = mt_submit_queue_push (s->frontend->submits, s->workspace, s->value_len, s->began, s);

  if (displaced != NULL)
    refuse_submit (displaced, MT_REFUSAL_SHARE, TOO_MANY_OF_WORKSPACE);
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

/* Returns the submission with the same key that precedes the i-th one in the transaction; NULL if
 * there is none. */
static const struct submit *
find_earlier (const struct txn *t, guint i)
{
  const struct submit *s = t->submits->pdata[i];

  for (guint k = 0; k < i; k++)
    if (strcmp (((const struct submit *) t->submits->pdata[k])->key, s->key) == 0)
      return t->submits->pdata[k];
  return NULL;
}

/* Of several submissions with one key only the first was written, so that no other overwrote it. */
static void
resolve_repeated (struct txn *t)
{
  for (guint i = t->submits->len; i > 1; i--)
    {
      struct submit *s = t->submits->pdata[i - 1];
      const struct submit *stored = find_earlier (t, i - 1);
      struct mt_kv_item item = { 0 };

      if (stored == NULL)
        continue;
      item.value = (struct mt_str){ stored->value, stored->value_len };
      g_ptr_array_remove_index (t->submits, i - 1);
      resolve_existing (s, &item);
    }
}

static void
free_txn (struct txn *t)
{
  if (t->settling)
    t->frontend->settling--;
  else
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
        queue_submit (s);
    }
  end_txn (t);
}

static bool
store_answers (const struct mt_frontend *frontend)
{
  return frontend->store_wait != NULL ? mt_store_wait_store_answers (frontend->store_wait)
                                      : frontend->options.store_answers (frontend->options.ctx);
}

/* ---- waiting for the store ---- */

static int64_t
wait_until (const struct submit *s)
{
  return MIN (s->began + MT_FRONTEND_DEADLINE_MS, s->settle_by);
}

/* Holds a submission of which nothing is stored until the store is back, or refuses it. */
static void
wait_or_refuse (struct submit *s, const char *why)
{
  s->refused_by_store = true;
  if (s->frontend->store_wait != NULL
      && mt_store_wait_add (s->frontend->store_wait, s, s->value_len, &s->request, wait_until (s)))
    s->waited = true;
  else
    refuse_submit (s, MT_REFUSAL_STORE, why);
}

static void
on_store_not_back (void *ctx, void *submit)
{
  refuse_submit (submit, MT_REFUSAL_STORE, "the store is not expected back in time");
}

/* ---- unknown outcomes ---- */

/* Handles a failed transaction of submissions whose outcome may be unknown. Those with an unknown
 * outcome stay, until their callers' time is over; the others wait for the store or are refused. */
static void
keep_unsettled (struct txn *t)
{
  int64_t now = mt_loop_now ();
  bool store_is_down = !store_answers (t->frontend);

  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];
      bool keep = s->outcome_unknown ? now < s->settle_by : !store_is_down && now < wait_until (s);

      if (keep)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (t->submits, i);
      if (s->outcome_unknown)
        end_submit (s, 504, "the store did not answer");
      else
        wait_or_refuse (s, NOT_STORED);
    }
}

static bool
has_unknown_outcome (const struct txn *t)
{
  for (guint i = 0; i < t->submits->len; i++)
    if (((const struct submit *) t->submits->pdata[i])->outcome_unknown)
      return true;
  return false;
}

/* Lets other transactions be sent while this one's outcome is being found out. */
static void
begin_settling (struct txn *t)
{
  if (t->settling || t->frontend->settling >= MAX_SETTLING || !has_unknown_outcome (t))
    return;
  t->settling = true;
  t->frontend->txns--;
  t->frontend->settling++;
}

struct lookup
{
  struct txn *txn;
  struct submit *submit;
};

static void
schedule_retry (struct txn *t, int64_t delay_ms)
{
  g_queue_push_tail (&t->frontend->failed_txns, t);
  mt_timer_set (t->retry_timer, delay_ms);
}

static void
on_looked_up (void *data, const struct mt_kv_reply *reply)
{
  struct lookup *lookup = data;
  struct txn *t = lookup->txn;

  if (reply->status == MT_KV_OK && reply->n_items > 0 && reply->items[0].revision > 0)
    {
      g_ptr_array_remove (t->submits, lookup->submit);
      resolve_existing (lookup->submit, &reply->items[0]);
    }
  g_free (lookup);
  if (--t->lookups > 0)
    return;
  if (t->submits->len == 0)
    end_txn (t);
  else
    schedule_retry (t, 0);
}

/* Returns the time-out of a call that finds out the transaction's outcome: at most longest_ms, and
 * no longer than until the first caller with an unknown outcome is to be answered. */
static int64_t
settle_timeout_ms (const struct txn *t, int64_t longest_ms)
{
  int64_t now = mt_loop_now ();

  for (guint i = 0; i < t->submits->len; i++)
    {
      const struct submit *s = t->submits->pdata[i];

      if (s->outcome_unknown)
        longest_ms = MIN (longest_ms, s->settle_by - now);
    }
  return MAX (longest_ms, MIN_SETTLE_MS);
}

/* Reads the keys of unanswered writes. A key that is missing proves nothing, as the write may still
 * be done: the same write follows, and its precondition settles the outcome. */
static void
look_up (struct txn *t)
{
  const struct mt_kv *kv = &t->frontend->options.kv;
  g_autoptr (GPtrArray) submits = g_ptr_array_copy (t->submits, NULL, NULL);
  int64_t timeout_ms = settle_timeout_ms (t, LOOKUP_TIMEOUT_MS);

  t->lookups = submits->len;
  for (guint i = 0; i < submits->len; i++)
    {
      struct lookup *lookup = g_new0 (struct lookup, 1);

      *lookup = (struct lookup){ t, submits->pdata[i] };
      mt_kv_read (kv, lookup->submit->key, timeout_ms, on_looked_up, lookup);
    }
}

static void
settle (struct txn *t, bool unanswered)
{
  for (guint i = 0; unanswered && i < t->submits->len; i++)
    ((struct submit *) t->submits->pdata[i])->outcome_unknown = true;
  keep_unsettled (t);
  if (t->submits->len == 0)
    {
      end_txn (t);
      return;
    }
  begin_settling (t);
  if (unanswered && store_answers (t->frontend))
    look_up (t);
  else
    schedule_retry (t, RETRY_MS);
  send_submits (t->frontend);
}

/* A write without an answer may still be done later, so its job must not be reported as refused:
 * the same write is sent again, and its precondition settles the outcome. Once the store answers no
 * daemon, waiting does not help callers: each gets what is known at once. */
static void
retry_or_end (struct txn *t, bool outcome_unknown)
{
  int64_t now = mt_loop_now ();
  bool store_is_down;

  if (t->frontend->store_wait != NULL)
    {
      settle (t, outcome_unknown);
      return;
    }
  store_is_down = !store_answers (t->frontend);
  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];

      s->outcome_unknown |= outcome_unknown;
      if (!store_is_down && now - s->began < MT_FRONTEND_DEADLINE_MS)
        {
          i++;
          continue;
        }
      refuse_submit (s, MT_REFUSAL_STORE, NOT_STORED);
      g_ptr_array_remove_index (t->submits, i);
    }
  if (t->submits->len == 0)
    end_txn (t);
  else
    schedule_retry (t, RETRY_MS);
}

/* A write that fails long before its time-out was not waited for: its connection failed. */
static void
record_failure (const struct txn *t, enum mt_kv_status status)
{
  bool timed_out = mt_loop_now () - t->sent >= t->timeout_ms / 2;

  if (t->frontend->store_wait != NULL && (status == MT_KV_REFUSED || status == MT_KV_UNKNOWN))
    mt_store_wait_record_failure (t->frontend->store_wait, status == MT_KV_REFUSED
                                                               ? MT_STORE_REFUSES
                                                           : timed_out ? MT_STORE_NO_ANSWER
                                                                       : MT_STORE_RESETS);
}

static void
on_stored (void *data, const struct mt_kv_reply *reply)
{
  struct txn *t = data;

  record_failure (t, reply->status);
  mt_admission_record_batch (t->frontend->admission, mt_loop_now () - t->sent);
  switch (reply->status)
    {
    case MT_KV_OK:
      resolve_repeated (t);
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
  struct mt_kv_txn txn = { .expects = expects, .puts = puts };
  size_t n = 0;

  for (guint i = 0; i < t->submits->len; i++)
    {
      const struct submit *s = t->submits->pdata[i];

      if (find_earlier (t, i) != NULL)
        continue;
      expects[n] = (struct mt_kv_expect){ s->key, 0 };
      puts[n++] = (struct mt_kv_put){ s->key, { s->value, s->value_len }, 0 };
    }
  txn.n_expects = txn.n_puts = n;
  t->timeout_ms = t->frontend->store_wait != NULL && t->sent != 0
                      ? settle_timeout_ms (t, MT_FRONTEND_TXN_TIMEOUT_MS)
                      : MT_FRONTEND_TXN_TIMEOUT_MS;
  t->sent = mt_loop_now ();
  mt_kv_write (&t->frontend->options.kv, &txn, t->timeout_ms, on_stored, t);
}

/* A submission that other workspaces' later ones were served before is not held longer than its
 * deadline. In order of arrival, admission keeps the wait within it. */
static void
refuse_overdue (struct mt_frontend *frontend)
{
  int64_t before = mt_loop_now () - MT_FRONTEND_DEADLINE_MS;
  struct submit *s;

  while ((s = mt_submit_queue_pop_overdue (frontend->submits, before)) != NULL)
    refuse_submit (s, MT_REFUSAL_SHARE,
                   "its workspace's share of the submissions did not reach it in time, nothing was "
                   "sent");
}

/* While the store does not answer, a retry would only add to its load when it is back. Callers
 * whose time passed during the look-ups are answered first. */
static void
retry_txn (void *ctx)
{
  struct txn *t = ctx;

  g_queue_remove (&t->frontend->failed_txns, t);
  if (t->frontend->store_wait != NULL && !store_answers (t->frontend))
    {
      settle (t, false);
      return;
    }
  if (t->frontend->store_wait != NULL)
    keep_unsettled (t);
  if (t->submits->len == 0)
    end_txn (t);
  else
    send_txn (t);
}

/* Nothing of the queued submissions is sent to a store that does not answer: their outcomes would
 * be unknown. */
static void
hold_queued_submits (struct mt_frontend *frontend)
{
  struct submit *s;

  while ((s = mt_submit_queue_pop (frontend->submits)) != NULL)
    if (s->outcome_unknown)
      end_submit (s, 504, "the store did not answer");
    else
      wait_or_refuse (s, "the store does not answer, nothing was sent");
}

/* Submissions that arrive while transactions are in flight share the next one. */
static void
send_submits (struct mt_frontend *frontend)
{
  refuse_overdue (frontend);
  if (frontend->store_wait != NULL && mt_submit_queue_length (frontend->submits) > 0
      && !store_answers (frontend))
    hold_queued_submits (frontend);
  while (mt_submit_queue_length (frontend->submits) > 0 && frontend->txns < MAX_TXNS_IN_FLIGHT)
    {
      struct txn *t = g_new0 (struct txn, 1);

      t->frontend = frontend;
      t->submits = g_ptr_array_new ();
      t->retry_timer = mt_timer_create (frontend->base, retry_txn, t);
      frontend->txns++;
      while (t->submits->len < SUBMITS_PER_TXN && mt_submit_queue_length (frontend->submits) > 0)
        g_ptr_array_add (t->submits, mt_submit_queue_pop (frontend->submits));
      send_txn (t);
    }
}

/* ---- wait estimate ---- */

/* Submissions that arrived while the estimate was under way may have taken the workspace's share of
 * the places since its admission. */
static void
enqueue_submit (struct submit *s)
{
  struct mt_frontend *frontend = s->frontend;

  if (mt_submit_queue_check (frontend->submits, s->workspace) == MT_REFUSAL_SHARE)
    {
      refuse_submit (s, MT_REFUSAL_SHARE, TOO_MANY_OF_WORKSPACE);
      return;
    }
  queue_submit (s);
  send_submits (frontend);
}

/* Nothing was written yet, so the job can be refused for certain. */
static void
apply_estimate (struct submit *s, const struct mt_wait_estimate *estimate)
{
  s->retry_ms = estimate->retry_after_ms;
  s->share = (struct mt_submit_share){ estimate->share, estimate->fair };
  if (s->retry_ms <= 0)
    enqueue_submit (s);
  else if (estimate->fair > 0)
    refuse_submit (
        s, MT_REFUSAL_SHARE,
        "the job cannot complete in time, since its workspace has more than its share of "
        "the pool, nothing was sent");
  else
    refuse_submit (s, MT_REFUSAL_WAIT, "the job cannot complete in time, nothing was sent");
}

static void request_estimate (struct submit *s);

/* Without an answer the pool's state is unknown, and the job is not refused for it. A leader that
 * doesn't know the form with a workspace replies with nothing; it is asked in the older form. */
static void
on_estimate (void *data, const struct mt_mesh_args *args)
{
  struct submit *s = data;
  struct mt_wait_estimate estimate = { 0 };

  if (args != NULL && args->n == 0 && s->workspace[0] != '\0' && !s->older_estimate)
    {
      s->older_estimate = true;
      request_estimate (s);
      return;
    }
  if (args == NULL)
    s->frontend->estimate_paused_until = mt_loop_now () + ESTIMATE_PAUSE_MS;
  else
    mt_estimate_reply_unpack (args, &estimate);
  apply_estimate (s, &estimate);
}

/* Asks the pool's leader for a wait estimate before anything is stored: a job that cannot be done
 * in time is refused at once. */
static void
request_estimate (struct submit *s)
{
  struct mt_frontend *frontend = s->frontend;
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, s->pool);
  const char *holder = mt_cluster_holder (frontend->options.cluster, s->pool);
  struct mt_wait_estimate estimate;
  struct mt_estimate_call call;

  if (local_pool != NULL && mt_pool_is_loaded (local_pool)
      && mt_cluster_lease_is_valid (frontend->options.cluster))
    {
      estimate = mt_scheduler_estimate_wait (mt_pool_scheduler (local_pool), s->route, s->chain_ms,
                                             s->workspace, mt_loop_now ());
      apply_estimate (s, &estimate);
    }
  else if (local_pool != NULL || holder == NULL || mt_loop_now () < frontend->estimate_paused_until)
    enqueue_submit (s);
  else
    {
      mt_estimate_call_pack (&call, s->pool, s->route, s->chain_ms,
                             s->older_estimate ? "" : s->workspace);
      mt_mesh_send (frontend->options.mesh, holder, MT_MESH_WAIT_ESTIMATE, &call.args,
                    ESTIMATE_TIMEOUT_MS, on_estimate, s);
    }
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

/* Stores the submission, or refuses it for want of time. */
static void
admit_submit (struct submit *s)
{
  enum mt_refusal cause = mt_submit_queue_check (s->frontend->submits, s->workspace);

  s->refused_by_store = false;
  if (cause != MT_REFUSAL_NONE)
    refuse_submit (s, cause, cause == MT_REFUSAL_SHARE ? TOO_MANY_OF_WORKSPACE : TOO_MANY);
  else if (s->wants_estimate)
    request_estimate (s);
  else
    enqueue_submit (s);
}

static void
on_store_back (void *ctx, void *submit)
{
  admit_submit (submit);
}

struct mt_store_wait *
mt_frontend_new_store_wait (struct mt_frontend *frontend)
{
  struct mt_store_wait_options options = { .journal = frontend->options.journal,
                                           .max_wait_ms = MT_FRONTEND_DEADLINE_MS,
                                           .store_answers = frontend->options.store_answers,
                                           .store_is_down = frontend->options.store_is_down,
                                           .release = on_store_back,
                                           .refuse = on_store_not_back,
                                           .ctx = frontend->options.ctx };

  return mt_store_wait_create (frontend->base, &options);
}

void
mt_frontend_drop_submit (void *submit)
{
  free_submit (submit);
}

void
mt_frontend_drop_submits (struct mt_frontend *frontend)
{
  struct submit *s;
  struct txn *t;

  while ((s = mt_submit_queue_pop (frontend->submits)) != NULL)
    free_submit (s);
  while ((t = g_queue_pop_head (&frontend->failed_txns)) != NULL)
    {
      g_ptr_array_foreach (t->submits, (GFunc) (void (*) (void)) free_submit, NULL);
      free_txn (t);
    }
}

/* Returns the time for which the caller waits for its answer. */
static int64_t
caller_wait_ms (const struct mt_exchange *exchange)
{
  const char *text = mt_exchange_header (exchange, DEADLINE_HEADER);
  unsigned long long ms = 0;

  return text != NULL && mt_str_to_u64 (mt_str_from (text), &ms) && ms <= 3600 * 1000
             ? (int64_t) ms
             : CALLER_WAIT_MS;
}

/* Jobs that are scheduled for later or run until they are stopped have no objective. */
static struct mt_retry_request
make_request (const struct submit *s, const struct mt_fleet_route *route)
{
  struct mt_retry_request request
      = { .remaining_ms = caller_wait_ms (s->exchange), .priority = route->terms.priority };

  if (!s->wants_estimate)
    return request;
  request.objective_ms
      = (int64_t) (route->terms.stretch * (double) s->chain_ms) + route->terms.objective_ms;
  request.useful_ms = MAX (USEFUL_OBJECTIVES * request.objective_ms - s->chain_ms, 0);
  return request;
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

  if (spec == NULL)
    {
      mt_metrics_increment (frontend->options.metrics, MT_COUNT_REFUSED);
      mt_journal_log (frontend->options.journal, "JOB_REFUSED", "id=%s pool=%s status=400 why=%s",
                      id, route->pool, error->message);
      mt_exchange_answer (exchange, 400, "text/plain", mt_str_from (error->message), 0);
      return;
    }
  s = g_new0 (struct submit, 1);
  s->chain_ms = mt_job_spec_chain_ms (spec, 1.0);
  s->wants_estimate = can_estimate (spec);
  mt_job_spec_destroy (spec);
  s->frontend = frontend;
  s->exchange = exchange;
  s->route = g_strdup (route->name);
  s->request = make_request (s, route);
  s->pool = g_strdup (route->pool);
  s->id = g_strdup (id);
  s->workspace = g_strdup (workspace);
  s->key = mt_pool_job_key (route->pool, id);
  s->value = mt_pool_submission_pack (&submission, &s->value_len);
  s->began = mt_loop_now ();
  s->settle_by = s->began + (int64_t) (ANSWER_SHARE * (double) s->request.remaining_ms);
  frontend->in_flight++;
  if (store_answers (frontend))
    admit_submit (s);
  else
    wait_or_refuse (s, "the store does not answer, nothing was sent");
}
