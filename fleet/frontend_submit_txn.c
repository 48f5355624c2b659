/* Stores queued submissions in transactions: batches them, resolves conflicts, retries failed
 * writes and looks up unknown outcomes. */
#include "frontend_submit.h"

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
/* Reason of refusals. */
#define NOT_STORED "the store refused the write or was not reached"
/* Time-out of the look-up of an unanswered write. */
#define LOOKUP_TIMEOUT_MS 300
/* Shortest time-out of a call that finds out an outcome; the store answers in 4 to 13 ms. */
#define MIN_SETTLE_MS 30
/* Most transactions whose outcome is being found out besides those of MAX_TXNS_IN_FLIGHT: with
 * lost answers each takes up to 2.5 s. */
#define MAX_SETTLING 16U

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
    mt_submit_accept (s, "already stored");
  else
    mt_submit_end (s, 409, "another job has this id");
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

static void retry_txn (void *ctx);

static struct txn *
new_txn (struct mt_frontend *frontend)
{
  struct txn *t = g_new0 (struct txn, 1);

  t->frontend = frontend;
  t->submits = g_ptr_array_new ();
  t->retry_timer = mt_timer_create (frontend->base, retry_txn, t);
  frontend->txns++;
  return t;
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
  mt_submit_send_queued (frontend);
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
        mt_submit_push (s);
    }
  end_txn (t);
}

/* Returns the time by which a submission with an unknown outcome is answered. */
static int64_t
settle_by (const struct submit *s)
{
  return s->frontend->closing ? 0 : MIN (s->settle_by, s->frontend->answer_by);
}

/* Handles a failed transaction of submissions whose outcome may be unknown. Those with an unknown
 * outcome stay, until their callers' time is over; the others wait for the store or are refused. */
static void
keep_unsettled (struct txn *t)
{
  int64_t now = mt_loop_now ();
  bool store_is_down = !mt_submit_store_answers (t->frontend);

  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];
      bool keep = s->outcome_unknown ? now < settle_by (s)
                                     : !store_is_down && now < mt_submit_wait_until (s)
                                           && mt_frontend_may_write (t->frontend);

      if (keep)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (t->submits, i);
      if (s->outcome_unknown)
        mt_submit_end (s, 504, "the store did not answer");
      else
        mt_submit_wait_or_refuse (s, NOT_STORED);
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
  int64_t sent;
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

  mt_frontend_record_store (t->frontend, mt_loop_now () - lookup->sent,
                            reply->status != MT_KV_UNKNOWN);
  if (reply->status == MT_KV_OK && reply->n_items > 0 && reply->items[0].revision > 0)
    {
      g_ptr_array_remove (t->submits, lookup->submit);
      resolve_existing (lookup->submit, &reply->items[0]);
    }
  g_free (lookup);
  if (--t->lookups > 0)
    return;
  if (t->frontend->closing)
    keep_unsettled (t);
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
        longest_ms = MIN (longest_ms, settle_by (s) - now);
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
  int64_t timeout_ms
      = settle_timeout_ms (t, mt_frontend_store_timeout_ms (t->frontend, LOOKUP_TIMEOUT_MS));

  t->lookups = submits->len;
  for (guint i = 0; i < submits->len; i++)
    {
      struct lookup *lookup = g_new0 (struct lookup, 1);

      *lookup = (struct lookup){ t, submits->pdata[i], mt_loop_now () };
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
  if (unanswered && mt_submit_store_answers (t->frontend))
    look_up (t);
  else
    schedule_retry (t, RETRY_MS);
  mt_submit_send_queued (t->frontend);
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
  store_is_down = !mt_submit_store_answers (t->frontend);
  for (guint i = 0; i < t->submits->len;)
    {
      struct submit *s = t->submits->pdata[i];

      s->outcome_unknown |= outcome_unknown;
      if (!store_is_down && now - s->began < MT_FRONTEND_DEADLINE_MS
          && (s->outcome_unknown ? now < settle_by (s) : mt_frontend_may_write (t->frontend)))
        {
          i++;
          continue;
        }
      mt_submit_refuse (s, MT_REFUSAL_STORE, NOT_STORED);
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

static void send_txn (void *ctx);

/* The store does not accept one of the submissions. Which one shows when each is sent alone. */
static void
split_or_reject (struct txn *t)
{
  struct mt_frontend *frontend = t->frontend;

  if (t->submits->len == 1)
    {
      struct submit *s = t->submits->pdata[0];

      if (s->outcome_unknown)
        mt_submit_end (s, 504, "the store did not answer");
      else
        mt_submit_end (s, 413, "the store does not accept the job");
      end_txn (t);
      return;
    }
  keep_unsettled (t);
  for (guint i = 0; i < t->submits->len; i++)
    {
      struct txn *single = new_txn (frontend);

      g_ptr_array_add (single->submits, t->submits->pdata[i]);
      send_txn (single);
    }
  g_ptr_array_set_size (t->submits, 0);
  end_txn (t);
}

static void
on_stored (void *data, const struct mt_kv_reply *reply)
{
  struct txn *t = data;

  mt_frontend_record_store (t->frontend, mt_loop_now () - t->sent, reply->status != MT_KV_UNKNOWN);
  record_failure (t, reply->status);
  mt_admission_record_batch (t->frontend->admission, mt_loop_now () - t->sent);
  switch (reply->status)
    {
    case MT_KV_OK:
      resolve_repeated (t);
      for (guint i = 0; i < t->submits->len; i++)
        mt_submit_accept (t->submits->pdata[i], "stored");
      end_txn (t);
      return;
    case MT_KV_CONFLICT:
      if (names_no_submit (t, reply))
        retry_or_end (t, false);
      else
        handle_conflict (t, reply);
      return;
    case MT_KV_REJECTED:
      split_or_reject (t);
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
  t->timeout_ms = mt_frontend_store_timeout_ms (t->frontend, MT_FRONTEND_TXN_TIMEOUT_MS);
  if (t->frontend->store_wait != NULL && t->sent != 0)
    t->timeout_ms = settle_timeout_ms (t, t->timeout_ms);
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
    mt_submit_refuse (
        s, MT_REFUSAL_SHARE,
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
  if (t->frontend->store_wait != NULL && !mt_submit_store_answers (t->frontend))
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
      mt_submit_end (s, 504, "the store did not answer");
    else
      mt_submit_wait_or_refuse (s, "the store does not answer, nothing was sent");
}

void
mt_frontend_refuse_unsent (struct mt_frontend *frontend)
{
  g_autoptr (GPtrArray) sent = g_ptr_array_new ();
  struct submit *s;

  while ((s = mt_submit_queue_pop (frontend->submits)) != NULL)
    if (s->outcome_unknown && !frontend->closing)
      g_ptr_array_add (sent, s);
    else
      mt_submit_refuse_stopping (s);
  for (guint i = 0; i < sent->len; i++)
    mt_submit_push (sent->pdata[i]);
  mt_store_wait_clear (frontend->store_wait, mt_submit_refuse_stopping);
}

void
mt_frontend_end_failed_txns (struct mt_frontend *frontend)
{
  struct txn *t;

  while ((t = g_queue_pop_head (&frontend->failed_txns)) != NULL)
    {
      keep_unsettled (t);
      end_txn (t);
    }
}

/* Submissions that arrive while transactions are in flight share the next one. */
void
mt_submit_send_queued (struct mt_frontend *frontend)
{
  refuse_overdue (frontend);
  if (mt_submit_queue_length (frontend->submits) > 0 && !mt_frontend_may_write (frontend))
    mt_frontend_refuse_unsent (frontend);
  if (frontend->store_wait != NULL && mt_submit_queue_length (frontend->submits) > 0
      && !mt_submit_store_answers (frontend))
    hold_queued_submits (frontend);
  while (mt_submit_queue_length (frontend->submits) > 0 && frontend->txns < MAX_TXNS_IN_FLIGHT)
    {
      struct txn *t = new_txn (frontend);

      while (t->submits->len < SUBMITS_PER_TXN && mt_submit_queue_length (frontend->submits) > 0)
        g_ptr_array_add (t->submits, mt_submit_queue_pop (frontend->submits));
      send_txn (t);
    }
}

void
mt_frontend_drop_submits (struct mt_frontend *frontend)
{
  struct submit *s;
  struct txn *t;

  while ((s = mt_submit_queue_pop (frontend->submits)) != NULL)
    mt_submit_free (s);
  while ((t = g_queue_pop_head (&frontend->failed_txns)) != NULL)
    {
      g_ptr_array_foreach (t->submits, (GFunc) (void (*) (void)) mt_submit_free, NULL);
      free_txn (t);
    }
}
