#include "claims.h"

#include "medlartrack/log.h"
#include "medlartrack/once.h"

#include <xxhash.h>

/* Part of the format: a key's shard must be the same everywhere, for as long as claims are kept. */
#define SHARDS 16

#define KEEP_US        (3600 * MT_SECOND)
#define MAX_WAIT_US    (2 * MT_SECOND) /* for a claim to be committed */
#define HOLD_MS        2000            /* after its deadline a silent holder counts as lost */
#define IDLE_WAKE_US   (5 * MT_SECOND) /* trims are looked for this often */
#define PROBE_CHECK_US (1 * MT_SECOND)
#define PROBE_WAKE_US  (250 * MT_MS)   /* while the service is down */
#define FLUSH_US       (1 * MT_SECOND) /* for ends still to be recorded at a stop */

/* The fleet's writes of claims stay below 20 a second: 1.25 for each shard. A quiet shard's claims
 * go at once, a busy one's share writes. */
#define WRITE_INTERVAL_US (800 * MT_MS)
#define WRITE_BURST       4
/* 32,000 claims of about 100 bytes: 3 MB for each shard, 48 MB were one daemon to hold all. */
#define MAX_HELD 32000

struct shard
{
  struct mt_claims *claims;
  GThread *thread;
  GMutex lock; /* guards all below */
  GCond work;
  struct mt_once *once;
  struct mt_pace pace;
  bool stopping;
  bool faulty; /* the fault was logged */
};

struct mt_claims
{
  struct mt_claims_options options;
  uint64_t writer;  /* random: unique to this run of the process */
  guint64 attempts; /* atomic */
  struct shard shards[SHARDS];
};

struct waiter
{
  struct mt_once_ask ask;
  GCond changed;
};

static void
wake_waiter (void *ctx, struct mt_once_ask *ask)
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
  const char *fault = mt_once_fault (shard->once);

  if (fault != NULL && !shard->faulty)
    mt_log_event (MT_EVENT_CLAIMS_UNREADABLE, "why=%s", fault);
  shard->faulty = fault != NULL;
}

/* One call, made without the lock so that asks can be added and given up meanwhile. */
static bool
step (struct shard *shard, int64_t *wake_us)
{
  struct mt_breaker *breaker = shard->claims->options.breaker;
  struct mt_once_call call;

  if (!mt_once_next (shard->once, &call, wake_us))
    return false;
  g_mutex_unlock (&shard->lock);
  mt_once_perform (mt_breaker_store (breaker), &call);
  g_mutex_lock (&shard->lock);
  mt_once_absorb (shard->once, &call);
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
                                     .keep_us = KEEP_US,
                                     .max_held = MAX_HELD,
                                     .pace = &shard->pace,
                                     .settled = wake_waiter };

  shard->claims = claims;
  shard->pace = (struct mt_pace){ .interval_us = WRITE_INTERVAL_US, .burst = WRITE_BURST };
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

static struct shard *
find_shard (struct mt_claims *claims, const struct mt_claim *claim)
{
  return &claims->shards[claim->key[0] % SHARDS];
}

/* Not a cryptographic hash: a caller who finds two keys with one hash gets one of them refused as a
 * duplicate, and never a second run. */
static void
hash_key (struct mt_str route, struct mt_str key, uint64_t out[2])
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  XXH3_128bits_reset (state);
  XXH3_128bits_update (state, route.data, route.len);
  XXH3_128bits_update (state, "", 1);
  XXH3_128bits_update (state, key.data, key.len);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  out[0] = hash.low64;
  out[1] = hash.high64;
}

static void
wait_for_claim (struct shard *shard, struct waiter *waiter, int64_t until_us)
{
  g_mutex_lock (&shard->lock);
  mt_once_ask (shard->once, &waiter->ask);
  g_cond_signal (&shard->work);
  while (waiter->ask.result == MT_ONCE_PENDING
         && wait_until (shard->claims, &waiter->changed, &shard->lock, until_us))
    ;
  mt_once_cancel (shard->once, &waiter->ask);
  g_mutex_unlock (&shard->lock);
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
mt_claims_take (struct mt_claims *claims,
                struct mt_str route,
                struct mt_str key,
                int64_t deadline_us,
                struct mt_claim *claim)
{
  int64_t now = mt_clock_now (claims->options.clock);
  struct waiter waiter = { 0 };

  *claim = (struct mt_claim){ 0 };
  if (is_expired (claims, key))
    return MT_CLAIM_EXPIRED;
  if (deadline_us <= now || mt_breaker_is_open (claims->options.breaker))
    return MT_CLAIM_UNAVAILABLE;
  hash_key (route, key, claim->key);
  claim->attempt[0] = claims->writer;
  claim->attempt[1] = __atomic_add_fetch (&claims->attempts, 1, __ATOMIC_RELAXED);
  waiter.ask = (struct mt_once_ask){ .key = { claim->key[0], claim->key[1] },
                                     .attempt = { claim->attempt[0], claim->attempt[1] },
                                     .hold_ms = (unsigned) ((deadline_us - now) / MT_MS) + HOLD_MS,
                                     .owner = &waiter };
  g_cond_init (&waiter.changed);
  wait_for_claim (find_shard (claims, claim), &waiter, MIN (deadline_us, now + MAX_WAIT_US));
  g_cond_clear (&waiter.changed);
  claim->status = waiter.ask.status;
  return translate (waiter.ask.result);
}

void
mt_claims_end (struct mt_claims *claims,
               const struct mt_claim *claim,
               enum mt_claim_end end,
               int status)
{
  static const enum mt_once_end ends[] = {
    [MT_CLAIM_END_DONE] = MT_ONCE_END_DONE,
    [MT_CLAIM_END_NOT_RUN] = MT_ONCE_END_RELEASED,
    [MT_CLAIM_END_LOST] = MT_ONCE_END_LOST,
  };
  struct shard *shard = find_shard (claims, claim);

  g_mutex_lock (&shard->lock);
  mt_once_end (shard->once, claim->key, claim->attempt, ends[end], status);
  g_cond_signal (&shard->work);
  g_mutex_unlock (&shard->lock);
}

struct mt_claims *
mt_claims_create (const struct mt_claims_options *options)
{
  struct mt_claims *claims = g_new0 (struct mt_claims, 1);

  claims->options = *options;
  claims->writer = draw_random ();
  for (unsigned i = 0; i < SHARDS; i++)
    start_shard (claims, i);
  return claims;
}

void
mt_claims_destroy (struct mt_claims *claims)
{
  if (claims == NULL)
    return;
  for (unsigned i = 0; i < SHARDS; i++)
    stop_shard (&claims->shards[i]);
  for (unsigned i = 0; i < SHARDS; i++)
    free_shard (&claims->shards[i]);
  g_free (claims);
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
      held += mt_once_held (shard->once);
      if (mt_once_fault (shard->once) != NULL)
        json_array_append_new (faults, json_string (mt_once_fault (shard->once)));
      g_mutex_unlock (&shard->lock);
    }
  json_object_set_new (out, "held", json_integer (held));
  json_object_set_new (out, "faults", faults);
}
