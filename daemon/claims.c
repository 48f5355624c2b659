#include "claims.h"

#include "claim_owner.h"
#include "medlartrack/log.h"

#include <string.h>

#include <xxhash.h>

/* Part of the format: a key's shard must be the same everywhere, for as long as claims are kept. */
#define SHARDS 16

#define KEEP_US        (3600 * MT_SECOND)
#define MAX_WAIT_US    (2 * MT_SECOND) /* for a claim to be committed */
#define HOLD_MS        2000            /* after its deadline a silent holder counts as lost */
#define IDLE_WAKE_US   (5 * MT_SECOND) /* trims are looked for this often */
#define PROBE_CHECK_US (1 * MT_SECOND)
#define PROBE_WAKE_US  (250 * MT_MS)   /* while the service is down */
#define ENDS_AT_ONCE   256             /* sent to an owner in one frame */
#define FLUSH_US       (1 * MT_SECOND) /* for ends still to be recorded at a stop */

/* The fleet's writes of claims stay below 20 a second: 1.25 for each shard. A quiet shard's claims
 * go at once, a busy one's share writes. */
#define WRITE_INTERVAL_US (800 * MT_MS)
#define WRITE_BURST       4
/* Of all shards together. 72 bytes a claim in batches of 10, 133 where each has a batch of its own
 * (bench/claims_memory): 22 to 40 MB of the daemon's 64. */
#define MAX_HELD 300000

struct shard
{
  struct mt_claims *claims;
  GThread *thread;
  GMutex lock; /* guards all below */
  GCond work;
  struct mt_once *once;
  struct mt_token_bucket pace;
  bool stopping;
  bool faulty; /* the fault was logged */
  guint held;  /* atomic: claims held, for the other shards to see */
};

struct mt_claims
{
  struct mt_claims_options options;
  uint64_t writer;  /* random: unique to this run of the process */
  guint64 attempts; /* atomic */
  guint64 sent;     /* atomic: claims that an owner answered */
  guint64 fallen;   /* atomic: claims committed here since the owner did not */
  struct shard shards[SHARDS];
  GAsyncQueue *ends; /* of struct mt_record, for owners elsewhere */
  GThread *end_sender;
};

/* In the queue of ends: the sender is to stop. */
static struct mt_record stop_mark;

struct waiter
{
  struct mt_once_request ask;
  GCond changed;
};

static void
wake_waiter (void *ctx, struct mt_once_request *ask)
{
  struct waiter *waiter = ask->owner;

  g_cond_signal (&waiter->changed);
}

static uint64_t
draw_random (void)
{
  return (uint64_t) g_random_int () << 32 | g_random_int ();
}

/* Waits on the condition until an instant of the injected clock. */
static bool
wait_until (struct mt_claims *claims, GCond *cond, GMutex *lock, int64_t until_us)
{
  int64_t left = until_us - mt_clock_now (claims->options.clock);

  return left > 0 && g_cond_wait_until (cond, lock, g_get_monotonic_time () + left);
}

static void
log_fault (struct shard *shard)
{
  const char *fault = mt_once_read_error (shard->once);

  if (fault != NULL && !shard->faulty)
    mt_log_event (MT_EVENT_CLAIMS_UNREADABLE, "why=%s", fault);
  shard->faulty = fault != NULL;
}

/* The limit is shared by all shards: how many a daemon owns depends on who else lives. */
static void
share_room (struct shard *shard)
{
  const struct shard *shards = shard->claims->shards;
  guint held = 0;

  __atomic_store_n (&shard->held, mt_once_claim_count (shard->once), __ATOMIC_RELAXED);
  for (unsigned i = 0; i < SHARDS; i++)
    held += __atomic_load_n (&shards[i].held, __ATOMIC_RELAXED);
  mt_once_set_free_capacity (shard->once, held < MAX_HELD ? MAX_HELD - held : 0);
}

/* One call, made without the lock so that asks can be added and given up meanwhile. */
static bool
step (struct shard *shard, int64_t *wake_us)
{
  struct mt_breaker *breaker = shard->claims->options.breaker;
  struct mt_once_call call;

  share_room (shard);
  if (!mt_once_next_call (shard->once, &call, wake_us))
    return false;
  g_mutex_unlock (&shard->lock);
  mt_once_perform_call (mt_breaker_store (breaker), &call);
  g_mutex_lock (&shard->lock);
  mt_once_handle_result (shard->once, &call);
  log_fault (shard);
  /* Nobody waits for a service that is known to be down. */
  if (mt_breaker_is_open (breaker))
    mt_once_refuse_all (shard->once);
  return true;
}

static bool
may_go_on (struct shard *shard, int64_t *flush_until_us)
{
  int64_t now = mt_clock_now (shard->claims->options.clock);

  if (!shard->stopping)
    {
      *flush_until_us = now + FLUSH_US;
      return true;
    }
  return mt_once_has_work (shard->once) && now < *flush_until_us
         && !mt_breaker_is_open (shard->claims->options.breaker);
}

/* While claims are refused without a call, only a call can tell that the service is back. One shard
 * makes it; the breaker lets it through at its own jittered times, and refuses it in between. */
static int64_t
probe (struct shard *shard, int64_t now_us)
{
  const struct mt_store *store = mt_breaker_store (shard->claims->options.breaker);
  struct mt_store_value value;

  if (shard != &shard->claims->shards[0])
    return now_us + IDLE_WAKE_US;
  if (!mt_breaker_is_open (shard->claims->options.breaker))
    return now_us + PROBE_CHECK_US;
  g_mutex_unlock (&shard->lock);
  store->ops->get (store->ctx, MT_ONCE_PREFIX "probe", &value, NULL);
  mt_store_value_clear (&value);
  g_mutex_lock (&shard->lock);
  return now_us + PROBE_WAKE_US;
}

static gpointer
run_shard (gpointer data)
{
  struct shard *shard = data;
  struct mt_claims *claims = shard->claims;
  int64_t flush_until_us = 0;

  g_mutex_lock (&shard->lock);
  while (may_go_on (shard, &flush_until_us))
    {
      int64_t wake_us;

      if (step (shard, &wake_us))
        continue;
      wake_us
          = MIN (wake_us, shard->stopping ? flush_until_us
                                          : probe (shard, mt_clock_now (claims->options.clock)));
      wait_until (claims, &shard->work, &shard->lock, wake_us);
    }
  g_mutex_unlock (&shard->lock);
  return NULL;
}

static void
start_shard (struct mt_claims *claims, unsigned number)
{
  struct shard *shard = &claims->shards[number];
  struct mt_once_options options = { .clock = claims->options.clock,
                                     .shard = number,
                                     .writer = claims->writer,
                                     .retention_us = KEEP_US,
                                     .write_limit = &shard->pace,
                                     .settled = wake_waiter };

  shard->claims = claims;
  shard->pace = (struct mt_token_bucket){ .interval_us = WRITE_INTERVAL_US, .burst = WRITE_BURST };
  shard->once = mt_once_create (&options);
  g_mutex_init (&shard->lock);
  g_cond_init (&shard->work);
  shard->thread = g_thread_new ("claims", run_shard, shard);
}

static void
stop_shard (struct shard *shard)
{
  g_mutex_lock (&shard->lock);
  shard->stopping = true;
  g_cond_signal (&shard->work);
  g_mutex_unlock (&shard->lock);
}

static void
free_shard (struct shard *shard)
{
  g_thread_join (shard->thread);
  mt_once_destroy (shard->once);
  g_cond_clear (&shard->work);
  g_mutex_clear (&shard->lock);
}

static unsigned
number_shard (const uint64_t key[2])
{
  return (unsigned) (key[0] % SHARDS);
}

/* Not a cryptographic hash: a caller who finds two keys with one hash gets one of them refused as a
 * duplicate, and never a second run. */
static void
hash_key (struct mt_str scope, struct mt_str key, uint64_t out[2])
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  XXH3_128bits_reset (state);
  XXH3_128bits_update (state, scope.data, scope.len);
  XXH3_128bits_update (state, "", 1);
  XXH3_128bits_update (state, key.data, key.len);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  out[0] = hash.low64;
  out[1] = hash.high64;
}

/* Commits the claim here, with this daemon's own writes. */
static void
ask_here (struct mt_claims *claims, struct mt_once_request *ask)
{
  struct shard *shard = &claims->shards[number_shard (ask->key)];
  struct waiter waiter = { .ask = *ask };

  ask->result = MT_ONCE_UNAVAILABLE;
  if (mt_breaker_is_open (claims->options.breaker))
    return;
  waiter.ask.owner = &waiter;
  g_cond_init (&waiter.changed);
  g_mutex_lock (&shard->lock);
  mt_once_request (shard->once, &waiter.ask);
  g_cond_signal (&shard->work);
  while (waiter.ask.result == MT_ONCE_PENDING
         && wait_until (claims, &waiter.changed, &shard->lock, ask->claim_deadline_us))
    ;
  mt_once_cancel (shard->once, &waiter.ask);
  g_mutex_unlock (&shard->lock);
  g_cond_clear (&waiter.changed);
  ask->result = waiter.ask.result;
  ask->status = waiter.ask.status;
}

static void
end_here (struct mt_claims *claims, const struct mt_record *record)
{
  struct shard *shard = &claims->shards[number_shard (record->key)];

  g_mutex_lock (&shard->lock);
  mt_once_add_end (shard->once, record);
  g_cond_signal (&shard->work);
  g_mutex_unlock (&shard->lock);
}

static void
start_attempt (struct mt_claims *claims, struct mt_once_request *ask)
{
  ask->attempt[0] = claims->writer;
  ask->attempt[1] = __atomic_add_fetch (&claims->attempts, 1, __ATOMIC_RELAXED);
}

/* Asks the shard's owner. False where this daemon has to commit the claim itself; that is then
 * another attempt, and where the first may have been claimed it is released before, in the same
 * batch or an earlier one, so that an owner which is slow to commit it frees or blocks nobody. */
static bool
ask_owner (struct mt_claims *claims, struct mt_once_request *ask)
{
  g_autofree char *owner
      = mt_claim_owner_find (claims->options.peers, claims->options.name, number_shard (ask->key));
  struct mt_record record = { .kind = MT_RECORD_RELEASE, .key = { ask->key[0], ask->key[1] } };
  enum mt_claim_send_result sent;

  if (owner == NULL)
    return false;
  sent = mt_claim_owner_request (claims->options.peers, owner, claims->options.clock, ask);
  if (sent == MT_CLAIM_SEND_ANSWERED && ask->result != MT_ONCE_UNAVAILABLE)
    {
      __atomic_add_fetch (&claims->sent, 1, __ATOMIC_RELAXED);
      return true;
    }
  __atomic_add_fetch (&claims->fallen, 1, __ATOMIC_RELAXED);
  memcpy (record.attempt, ask->attempt, sizeof record.attempt);
  if (sent == MT_CLAIM_SEND_UNKNOWN)
    end_here (claims, &record);
  start_attempt (claims, ask);
  return false;
}

static enum mt_claim_result
translate (enum mt_once_result result)
{
  switch (result)
    {
    case MT_ONCE_GRANTED:
      return MT_CLAIM_GRANTED;
    case MT_ONCE_RUNNING:
      return MT_CLAIM_RUNNING;
    case MT_ONCE_DONE:
      return MT_CLAIM_DONE;
    case MT_ONCE_LOST:
      return MT_CLAIM_LOST;
    case MT_ONCE_PENDING:
    case MT_ONCE_UNAVAILABLE:
      break;
    }
  return MT_CLAIM_UNAVAILABLE;
}

static bool
is_expired (struct mt_claims *claims, struct mt_str key)
{
  int64_t date_us;

  return mt_once_key_date (key, &date_us)
         && mt_once_date_expired (date_us, mt_clock_wall (claims->options.clock), KEEP_US);
}

enum mt_claim_result
mt_claims_acquire (struct mt_claims *claims,
                   struct mt_str scope,
                   struct mt_str key,
                   int64_t deadline_us,
                   struct mt_claim *claim)
{
  int64_t now = mt_clock_now (claims->options.clock);
  struct mt_once_request ask = { .claim_deadline_us = MIN (deadline_us, now + MAX_WAIT_US) };

  *claim = (struct mt_claim){ 0 };
  if (is_expired (claims, key))
    return MT_CLAIM_EXPIRED;
  if (deadline_us <= now)
    return MT_CLAIM_UNAVAILABLE;
  hash_key (scope, key, ask.key);
  ask.holder_timeout_ms = (unsigned) ((deadline_us - now) / MT_MS) + HOLD_MS;
  start_attempt (claims, &ask);
  if (!ask_owner (claims, &ask))
    ask_here (claims, &ask);
  memcpy (claim->key, ask.key, sizeof claim->key);
  memcpy (claim->attempt, ask.attempt, sizeof claim->attempt);
  claim->status = ask.status;
  return translate (ask.result);
}

void
mt_claims_end (struct mt_claims *claims,
               const struct mt_claim *claim,
               enum mt_claim_end end,
               int status)
{
  static const uint8_t kinds[] = {
    [MT_CLAIM_END_DONE] = MT_RECORD_DONE,
    [MT_CLAIM_END_NOT_RUN] = MT_RECORD_RELEASE,
    [MT_CLAIM_END_LOST] = MT_RECORD_LOST,
  };
  struct mt_record *record = g_new0 (struct mt_record, 1);

  memcpy (record->key, claim->key, sizeof record->key);
  memcpy (record->attempt, claim->attempt, sizeof record->attempt);
  record->kind = kinds[end];
  record->extra = end == MT_CLAIM_END_DONE ? (uint32_t) status : 0;
  g_async_queue_push (claims->ends, record);
}

/* The ends at hand, one at least, up to the stop mark. */
static bool
collect_ends (struct mt_claims *claims, GArray *ends)
{
  struct mt_record *record = g_async_queue_pop (claims->ends);

  g_array_set_size (ends, 0);
  while (record != NULL && record != &stop_mark)
    {
      g_array_append_vals (ends, record, 1);
      g_free (record);
      record = ends->len < ENDS_AT_ONCE ? g_async_queue_try_pop (claims->ends) : NULL;
    }
  return record != &stop_mark;
}

/* Takes the ends of one shard out and hands them to its owner, or records them here. */
static void
send_ends_of (struct mt_claims *claims, unsigned shard, GArray *ends)
{
  g_autoptr (GArray) chosen = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  g_autofree char *owner = NULL;

  for (guint i = ends->len; i > 0; i--)
    {
      struct mt_record *record = &g_array_index (ends, struct mt_record, i - 1);

      if (number_shard (record->key) != shard)
        continue;
      g_array_append_vals (chosen, record, 1);
      g_array_remove_index_fast (ends, i - 1);
    }
  owner = mt_claim_owner_find (claims->options.peers, claims->options.name, shard);
  if (owner != NULL
      && mt_claim_owner_send_ends (claims->options.peers, owner, claims->options.clock, chosen))
    return;
  for (guint i = 0; i < chosen->len; i++)
    end_here (claims, &g_array_index (chosen, struct mt_record, i));
}

static gpointer
run_end_sender (gpointer data)
{
  struct mt_claims *claims = data;
  g_autoptr (GArray) ends = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  bool go_on = true;

  while (go_on)
    {
      go_on = collect_ends (claims, ends);
      while (ends->len > 0)
        send_ends_of (claims, number_shard (g_array_index (ends, struct mt_record, 0).key), ends);
    }
  return NULL;
}

static void
serve_claim (struct mt_claims *claims,
             const struct mt_record *record,
             int64_t left_ms,
             struct mt_once_request *ask)
{
  int64_t left_us = MIN (left_ms * MT_MS, MAX_WAIT_US);

  memcpy (ask->key, record->key, sizeof ask->key);
  memcpy (ask->attempt, record->attempt, sizeof ask->attempt);
  ask->holder_timeout_ms = record->extra;
  ask->claim_deadline_us = mt_clock_now (claims->options.clock) + left_us;
  ask_here (claims, ask);
}

char *
mt_claims_serve (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  struct mt_claims *claims = ctx;
  struct mt_once_request ask = { .result = MT_ONCE_GRANTED };
  struct mt_batch batch;
  char *reply = NULL;

  mt_batch_init (&batch);
  if (!mt_batch_decode (body, &batch, NULL))
    goto done;
  for (guint i = 0; i < batch.records->len; i++)
    {
      const struct mt_record *record = &g_array_index (batch.records, struct mt_record, i);

      if (record->kind != MT_RECORD_CLAIM)
        end_here (claims, record);
      else if (batch.records->len == 1)
        serve_claim (claims, record, batch.wall_ms, &ask);
      else
        goto done; /* one claim to a frame: its reply has room for one result */
    }
  reply = mt_claim_owner_encode_reply (ask.result, ask.status, reply_len);
done:
  mt_batch_clear (&batch);
  return reply;
}

struct mt_claims *
mt_claims_create (const struct mt_claims_options *options)
{
  struct mt_claims *claims = g_new0 (struct mt_claims, 1);

  claims->options = *options;
  claims->writer = draw_random ();
  for (unsigned i = 0; i < SHARDS; i++)
    start_shard (claims, i);
  claims->ends = g_async_queue_new ();
  claims->end_sender = g_thread_new ("claim-ends", run_end_sender, claims);
  return claims;
}

void
mt_claims_destroy (struct mt_claims *claims)
{
  if (claims == NULL)
    return;
  g_async_queue_push (claims->ends, &stop_mark);
  g_thread_join (claims->end_sender);
  g_async_queue_unref (claims->ends);
  for (unsigned i = 0; i < SHARDS; i++)
    stop_shard (&claims->shards[i]);
  for (unsigned i = 0; i < SHARDS; i++)
    free_shard (&claims->shards[i]);
  g_free (claims);
}

static json_t *
load (const guint64 *counter)
{
  return json_integer ((json_int_t) __atomic_load_n (counter, __ATOMIC_RELAXED));
}

void
mt_claims_dump (struct mt_claims *claims, json_t *out)
{
  json_t *faults = json_array ();
  unsigned held = 0;

  for (unsigned i = 0; i < SHARDS; i++)
    {
      struct shard *shard = &claims->shards[i];

      g_mutex_lock (&shard->lock);
      held += mt_once_claim_count (shard->once);
      if (mt_once_read_error (shard->once) != NULL)
        json_array_append_new (faults, json_string (mt_once_read_error (shard->once)));
      g_mutex_unlock (&shard->lock);
    }
  json_object_set_new (out, "held", json_integer (held));
  json_object_set_new (out, "answered_by_owner", load (&claims->sent));
  json_object_set_new (out, "fallen_back", load (&claims->fallen));
  json_object_set_new (out, "faults", faults);
}
