#include "claims.h"

#include "claim_owner.h"
#include "medlartrack/log.h"

#include <string.h>

#include <xxhash.h>

/* Part of the stored format: all daemons must map a key to the same shard for as long as claims are
 * kept. */
#define SHARDS 16

#define RETENTION_US      (3600 * MT_SECOND)
#define MAX_WAIT_US       (2 * MT_SECOND) /* for a claim to be committed */
#define HOLDER_GRACE_MS   2000 /* from its deadline until a silent holder counts as lost */
#define IDLE_INTERVAL_US  (5 * MT_SECOND) /* between checks for claims to trim */
#define PROBE_CHECK_US    (1 * MT_SECOND) /* between checks whether the service is down */
#define PROBE_INTERVAL_US (250 * MT_MS)   /* between probes while the service is down */
#define MAX_ENDS_A_FRAME  256             /* sent to an owner */
#define FLUSH_TIMEOUT_US  (1 * MT_SECOND) /* for recording the pending ends at a stop */

/* Keeps the fleet's claim writes below 20 a second: 1.25 for each shard. Claims of a quiet shard
 * are written at once, those of a busy shard share writes. */
#define WRITE_INTERVAL_US (800 * MT_MS)
#define WRITE_BURST       4
/* Limit on the claims held in all shards together. A claim takes 72 bytes in batches of 10, and 133
 * bytes in a batch of its own (bench/claims_memory): 22 to 40 MB of the daemon's 64 MB. */
#define MAX_CLAIMS_HELD 300000

struct shard
{
  struct mt_claims *claims;
  GThread *thread;
  GMutex lock; /* guards all below */
  GCond wake;
  struct mt_once *once;
  struct mt_token_bucket write_limit;
  bool stopping;
  bool error_logged; /* the shard's read error was logged */
  guint held;        /* atomic: claims held; read by the other shards */
};

struct mt_claims
{
  struct mt_claims_options options;
  uint64_t writer;           /* random: unique to this run of the process */
  guint64 attempts;          /* atomic */
  guint64 answered_by_owner; /* atomic: claims that an owner answered */
  guint64 fallen_back; /* atomic: claims committed here because the owner did not commit them */
  struct shard shards[SHARDS];
  GAsyncQueue *ends; /* of struct mt_record, for owners elsewhere */
  GThread *end_sender;
};

/* Put into the queue of ends to stop the sender thread. */
static struct mt_record stop_mark;

struct waiter
{
  struct mt_once_request request;
  GCond changed;
};

static void
wake_waiter (void *ctx, struct mt_once_request *request)
{
  struct waiter *waiter = request->owner;

  g_cond_signal (&waiter->changed);
}

static uint64_t
draw_random (void)
{
  return (uint64_t) g_random_int () << 32 | g_random_int ();
}

/* Waits on the condition until a time of the injected clock; returns false once it has passed. */
static bool
wait_until (struct mt_claims *claims, GCond *cond, GMutex *lock, int64_t until_us)
{
  int64_t remaining_us = until_us - mt_clock_now (claims->options.clock);

  return remaining_us > 0 && g_cond_wait_until (cond, lock, g_get_monotonic_time () + remaining_us);
}

static void
log_read_error (struct shard *shard)
{
  const char *read_error = mt_once_read_error (shard->once);

  if (read_error != NULL && !shard->error_logged)
    mt_log_event (MT_EVENT_CLAIMS_UNREADABLE, "why=%s", read_error);
  shard->error_logged = read_error != NULL;
}

/* Sets the shard's free capacity. The limit is shared by all shards, because the number of shards
 * that a daemon owns depends on which other daemons are alive. */
static void
update_free_capacity (struct shard *shard)
{
  const struct shard *shards = shard->claims->shards;
  guint held = 0;

  __atomic_store_n (&shard->held, mt_once_claim_count (shard->once), __ATOMIC_RELAXED);
  for (unsigned i = 0; i < SHARDS; i++)
    held += __atomic_load_n (&shards[i].held, __ATOMIC_RELAXED);
  mt_once_set_free_capacity (shard->once, held < MAX_CLAIMS_HELD ? MAX_CLAIMS_HELD - held : 0);
}

/* Makes the next call to the store, without the lock so that requests can be added and cancelled
 * meanwhile. Returns false if there is no call to make before *wake_us. */
static bool
make_next_call (struct shard *shard, int64_t *wake_us)
{
  struct mt_breaker *breaker = shard->claims->options.breaker;
  struct mt_once_call call;

  update_free_capacity (shard);
  if (!mt_once_next_call (shard->once, &call, wake_us))
    return false;
  g_mutex_unlock (&shard->lock);
  mt_once_perform_call (mt_breaker_store (breaker), &call);
  g_mutex_lock (&shard->lock);
  mt_once_handle_result (shard->once, &call);
  log_read_error (shard);
  /* Requests don't wait for a service that is known to be down. */
  if (mt_breaker_is_open (breaker))
    mt_once_refuse_all (shard->once);
  return true;
}

static bool
should_continue (struct shard *shard, int64_t *flush_deadline_us)
{
  int64_t now = mt_clock_now (shard->claims->options.clock);

  if (!shard->stopping)
    {
      *flush_deadline_us = now + FLUSH_TIMEOUT_US;
      return true;
    }
  return mt_once_has_work (shard->once) && now < *flush_deadline_us
         && !mt_breaker_is_open (shard->claims->options.breaker);
}

/* Makes a call to detect that the service is back: while it is down, claims are refused without a
 * call. Only shard 0 probes. The breaker lets a probe through at its own jittered times, and
 * refuses it in between. Returns when to probe again. */
static int64_t
probe_service (struct shard *shard, int64_t now_us)
{
  const struct mt_store *store = mt_breaker_store (shard->claims->options.breaker);
  struct mt_store_value value;

  if (shard != &shard->claims->shards[0])
    return now_us + IDLE_INTERVAL_US;
  if (!mt_breaker_is_open (shard->claims->options.breaker))
    return now_us + PROBE_CHECK_US;
  g_mutex_unlock (&shard->lock);
  store->ops->get (store->ctx, MT_ONCE_PREFIX "probe", &value, NULL);
  mt_store_value_clear (&value);
  g_mutex_lock (&shard->lock);
  return now_us + PROBE_INTERVAL_US;
}

static gpointer
run_shard (gpointer data)
{
  struct shard *shard = data;
  struct mt_claims *claims = shard->claims;
  int64_t flush_deadline_us = 0;

  g_mutex_lock (&shard->lock);
  while (should_continue (shard, &flush_deadline_us))
    {
      int64_t wake_us;

      if (make_next_call (shard, &wake_us))
        continue;
      wake_us = MIN (wake_us, shard->stopping
                                  ? flush_deadline_us
                                  : probe_service (shard, mt_clock_now (claims->options.clock)));
      wait_until (claims, &shard->wake, &shard->lock, wake_us);
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
                                     .retention_us = RETENTION_US,
                                     .write_limit = &shard->write_limit,
                                     .settled = wake_waiter };

  shard->claims = claims;
  shard->write_limit
      = (struct mt_token_bucket){ .interval_us = WRITE_INTERVAL_US, .burst = WRITE_BURST };
  shard->once = mt_once_create (&options);
  g_mutex_init (&shard->lock);
  g_cond_init (&shard->wake);
  shard->thread = g_thread_new ("claims", run_shard, shard);
}

static void
stop_shard (struct shard *shard)
{
  g_mutex_lock (&shard->lock);
  shard->stopping = true;
  g_cond_signal (&shard->wake);
  g_mutex_unlock (&shard->lock);
}

static void
free_shard (struct shard *shard)
{
  g_thread_join (shard->thread);
  mt_once_destroy (shard->once);
  g_cond_clear (&shard->wake);
  g_mutex_clear (&shard->lock);
}

static unsigned
shard_of_key (const uint64_t key[2])
{
  return (unsigned) (key[0] % SHARDS);
}

/* The hash need not be cryptographic: a caller who finds two keys with the same hash gets one of
 * them refused as a duplicate, and never a second run. */
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

/* Commits the claim by this daemon's own writes. Blocks until the claim is resolved or its deadline
 * has passed. */
static void
claim_locally (struct mt_claims *claims, struct mt_once_request *request)
{
  struct shard *shard = &claims->shards[shard_of_key (request->key)];
  struct waiter waiter = { .request = *request };

  request->result = MT_ONCE_UNAVAILABLE;
  if (mt_breaker_is_open (claims->options.breaker))
    return;
  waiter.request.owner = &waiter;
  g_cond_init (&waiter.changed);
  g_mutex_lock (&shard->lock);
  mt_once_request (shard->once, &waiter.request);
  g_cond_signal (&shard->wake);
  while (waiter.request.result == MT_ONCE_PENDING
         && wait_until (claims, &waiter.changed, &shard->lock, request->claim_deadline_us))
    ;
  mt_once_cancel (shard->once, &waiter.request);
  g_mutex_unlock (&shard->lock);
  g_cond_clear (&waiter.changed);
  request->result = waiter.request.result;
  request->status = waiter.request.status;
}

static void
record_end_locally (struct mt_claims *claims, const struct mt_record *record)
{
  struct shard *shard = &claims->shards[shard_of_key (record->key)];

  g_mutex_lock (&shard->lock);
  mt_once_add_end (shard->once, record);
  g_cond_signal (&shard->wake);
  g_mutex_unlock (&shard->lock);
}

static void
start_attempt (struct mt_claims *claims, struct mt_once_request *request)
{
  request->attempt[0] = claims->writer;
  request->attempt[1] = __atomic_add_fetch (&claims->attempts, 1, __ATOMIC_RELAXED);
}

/* Asks the shard's owner to commit the claim. Returns false if this daemon has to commit it itself,
 * as a new attempt. If the owner may have committed the first attempt, the release of that attempt
 * is queued here, and written in the same batch as the new claim or an earlier one: a late commit
 * by the owner then neither frees the key nor blocks it. */
static bool
claim_at_owner (struct mt_claims *claims, struct mt_once_request *request)
{
  g_autofree char *owner = mt_claim_owner_find (claims->options.peers, claims->options.name,
                                                shard_of_key (request->key));
  struct mt_record record
      = { .kind = MT_RECORD_RELEASE, .key = { request->key[0], request->key[1] } };
  enum mt_claim_send_result sent;

  if (owner == NULL)
    return false;
  sent = mt_claim_owner_request (claims->options.peers, owner, claims->options.clock, request);
  if (sent == MT_CLAIM_SEND_ANSWERED && request->result != MT_ONCE_UNAVAILABLE)
    {
      __atomic_add_fetch (&claims->answered_by_owner, 1, __ATOMIC_RELAXED);
      return true;
    }
  __atomic_add_fetch (&claims->fallen_back, 1, __ATOMIC_RELAXED);
  memcpy (record.attempt, request->attempt, sizeof record.attempt);
  if (sent == MT_CLAIM_SEND_UNKNOWN)
    record_end_locally (claims, &record);
  start_attempt (claims, request);
  return false;
}

static enum mt_claim_result
to_claim_result (enum mt_once_result result)
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
is_key_expired (struct mt_claims *claims, struct mt_str key)
{
  int64_t date_us;

  return mt_once_key_date (key, &date_us)
         && mt_once_date_expired (date_us, mt_clock_wall (claims->options.clock), RETENTION_US);
}

enum mt_claim_result
mt_claims_acquire (struct mt_claims *claims,
                   struct mt_str scope,
                   struct mt_str key,
                   int64_t deadline_us,
                   struct mt_claim *claim)
{
  int64_t now = mt_clock_now (claims->options.clock);
  struct mt_once_request request = { .claim_deadline_us = MIN (deadline_us, now + MAX_WAIT_US) };

  *claim = (struct mt_claim){ 0 };
  if (is_key_expired (claims, key))
    return MT_CLAIM_EXPIRED;
  if (deadline_us <= now)
    return MT_CLAIM_UNAVAILABLE;
  hash_key (scope, key, request.key);
  request.holder_timeout_ms = (unsigned) ((deadline_us - now) / MT_MS) + HOLDER_GRACE_MS;
  start_attempt (claims, &request);
  if (!claim_at_owner (claims, &request))
    claim_locally (claims, &request);
  memcpy (claim->key, request.key, sizeof claim->key);
  memcpy (claim->attempt, request.attempt, sizeof claim->attempt);
  claim->status = request.status;
  return to_claim_result (request.result);
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

/* Waits for an end, then takes those queued, up to MAX_ENDS_A_FRAME or the stop mark. Returns false
 * at the stop mark. */
static bool
collect_ends (struct mt_claims *claims, GArray *ends)
{
  struct mt_record *record = g_async_queue_pop (claims->ends);

  g_array_set_size (ends, 0);
  while (record != NULL && record != &stop_mark)
    {
      g_array_append_vals (ends, record, 1);
      g_free (record);
      record = ends->len < MAX_ENDS_A_FRAME ? g_async_queue_try_pop (claims->ends) : NULL;
    }
  return record != &stop_mark;
}

/* Removes the ends of one shard from the array and sends them to the shard's owner. Records them
 * here if there is no other owner or it did not confirm them. */
static void
send_shard_ends (struct mt_claims *claims, unsigned shard, GArray *ends)
{
  g_autoptr (GArray) shard_ends = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  g_autofree char *owner = NULL;

  for (guint i = ends->len; i > 0; i--)
    {
      struct mt_record *record = &g_array_index (ends, struct mt_record, i - 1);

      if (shard_of_key (record->key) != shard)
        continue;
      g_array_append_vals (shard_ends, record, 1);
      g_array_remove_index_fast (ends, i - 1);
    }
  owner = mt_claim_owner_find (claims->options.peers, claims->options.name, shard);
  if (owner != NULL
      && mt_claim_owner_send_ends (claims->options.peers, owner, claims->options.clock, shard_ends))
    return;
  for (guint i = 0; i < shard_ends->len; i++)
    record_end_locally (claims, &g_array_index (shard_ends, struct mt_record, i));
}

static gpointer
run_end_sender (gpointer data)
{
  struct mt_claims *claims = data;
  g_autoptr (GArray) ends = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  bool running = true;

  while (running)
    {
      running = collect_ends (claims, ends);
      while (ends->len > 0)
        send_shard_ends (claims, shard_of_key (g_array_index (ends, struct mt_record, 0).key),
                         ends);
    }
  return NULL;
}

static void
serve_claim (struct mt_claims *claims,
             const struct mt_record *record,
             int64_t timeout_ms,
             struct mt_once_request *request)
{
  int64_t timeout_us = MIN (timeout_ms * MT_MS, MAX_WAIT_US);

  memcpy (request->key, record->key, sizeof request->key);
  memcpy (request->attempt, record->attempt, sizeof request->attempt);
  request->holder_timeout_ms = record->extra;
  request->claim_deadline_us = mt_clock_now (claims->options.clock) + timeout_us;
  claim_locally (claims, request);
}

char *
mt_claims_serve (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  struct mt_claims *claims = ctx;
  struct mt_once_request request = { .result = MT_ONCE_GRANTED };
  struct mt_batch batch;
  char *reply = NULL;

  mt_batch_init (&batch);
  if (!mt_batch_decode (body, &batch, NULL))
    goto done;
  for (guint i = 0; i < batch.records->len; i++)
    {
      const struct mt_record *record = &g_array_index (batch.records, struct mt_record, i);

      if (record->kind != MT_RECORD_CLAIM)
        record_end_locally (claims, record);
      else if (batch.records->len == 1)
        serve_claim (claims, record, batch.wall_ms, &request);
      else
        goto done; /* one claim per frame: the reply holds one result */
    }
  reply = mt_claim_owner_encode_reply (request.result, request.status, reply_len);
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
load_counter (const guint64 *counter)
{
  return json_integer ((json_int_t) __atomic_load_n (counter, __ATOMIC_RELAXED));
}

void
mt_claims_dump (struct mt_claims *claims, json_t *out)
{
  json_t *read_errors = json_array ();
  unsigned held = 0;

  for (unsigned i = 0; i < SHARDS; i++)
    {
      struct shard *shard = &claims->shards[i];

      g_mutex_lock (&shard->lock);
      held += mt_once_claim_count (shard->once);
      if (mt_once_read_error (shard->once) != NULL)
        json_array_append_new (read_errors, json_string (mt_once_read_error (shard->once)));
      g_mutex_unlock (&shard->lock);
    }
  json_object_set_new (out, "held", json_integer (held));
  json_object_set_new (out, "answered_by_owner", load_counter (&claims->answered_by_owner));
  json_object_set_new (out, "fallen_back", load_counter (&claims->fallen_back));
  json_object_set_new (out, "faults", read_errors);
}
