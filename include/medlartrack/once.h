/* At most once: the log of claims of one shard, kept in the platform's service.
 *
 * Each batch of claims is one key, medlartrack/claims/SHARD/SEQ, created by compare-and-swap where
 * it does not exist. Whoever loses the race reads the rival's batch, learns its claims and tries
 * the next number, so that the log is one order of batches that all writers agree on, whoever
 * believes to own the shard. A key belongs to the first attempt that claims it in that order.
 *
 * No I/O here: mt_once_next_call says which call to make, mt_once_perform_call makes it on a store
 * without touching the log, mt_once_handle_result takes its result. Not thread-safe but for
 * mt_once_perform_call: the owner holds a lock around the rest. */
#ifndef MEDLARTRACK_ONCE_H
#define MEDLARTRACK_ONCE_H

#include "medlartrack/batch.h"
#include "medlartrack/clock.h"
#include "medlartrack/pace.h"
#include "medlartrack/store.h"

#define MT_ONCE_PREFIX    "medlartrack/claims/"
#define MT_ONCE_KEY_BYTES 64

/* A view of the log older than this grants nothing. */
#define MT_ONCE_MAX_VIEW_AGE_US (30 * MT_SECOND)
/* Daemons' wall clocks agree within this. */
#define MT_ONCE_MAX_CLOCK_SKEW_US (300 * MT_SECOND)

struct mt_once;

enum mt_once_result
{
  MT_ONCE_PENDING,
  MT_ONCE_GRANTED,     /* this attempt alone holds the key */
  MT_ONCE_RUNNING,     /* another attempt holds it, its deadline has not passed */
  MT_ONCE_DONE,        /* another attempt got a whole answer, of this status */
  MT_ONCE_LOST,        /* another attempt ended, or fell silent, with an unknown outcome */
  MT_ONCE_UNAVAILABLE, /* not granted, and never will be */
};

/* One attempt's wish for a key; the asker owns it and keeps it until it is settled or cancelled. */
struct mt_once_request
{
  uint64_t key[2];
  uint64_t attempt[2];        /* never used for a second ask */
  unsigned holder_timeout_ms; /* silent for so long, the holder counts as lost */
  int64_t claim_deadline_us;  /* not claimed later than this; 0: no limit */
  enum mt_once_result result;
  int status;
  void *owner;
  int64_t requested_us; /* set by mt_once_request */
};

enum mt_once_end
{
  MT_ONCE_END_DONE,
  MT_ONCE_END_LOST,
  MT_ONCE_END_RELEASED, /* it did not run: the key is free again */
};

struct mt_once_options
{
  const struct mt_clock *clock;
  unsigned shard;
  uint64_t writer;                     /* random, unique to this run of the process */
  int64_t retention_us;                /* how long a claim is held at least */
  struct mt_token_bucket *write_limit; /* of writes, shared with the other shards */
  void (*settled) (void *ctx, struct mt_once_request *ask); /* inside next and absorb */
  void *ctx;
};

enum mt_once_call_kind
{
  MT_ONCE_CALL_LIST,        /* the whole shard */
  MT_ONCE_CALL_PROBE,       /* is the next batch there? */
  MT_ONCE_CALL_READ_FLOOR,  /* which batches are trimmed? */
  MT_ONCE_CALL_WRITE,       /* create the batch */
  MT_ONCE_CALL_READ_BATCH,  /* whose batch is it? */
  MT_ONCE_CALL_RAISE_FLOOR, /* raise the floor */
  MT_ONCE_CALL_TRIM,        /* remove batches below the floor */
};

/* One call of the store: what to do, and what came of it. */
struct mt_once_call
{
  enum mt_once_call_kind kind;
  char key[MT_ONCE_KEY_BYTES];
  char *data; /* to write */
  size_t len;
  uint64_t index;
  int64_t started_us;
  /* Set by mt_once_perform_call. */
  bool ok;
  enum mt_store_write_result put;
  struct mt_store_value value;
  GPtrArray *list;
};

struct mt_once *mt_once_create (const struct mt_once_options *options);
/* Asks still pending are forgotten. */
void mt_once_destroy (struct mt_once *once);

void mt_once_request (struct mt_once *once, struct mt_once_request *ask);
/* The asker gives up: the result is UNAVAILABLE from now on, and a claim that turns out to have
 * been committed is released in a later batch. */
void mt_once_cancel (struct mt_once *once, struct mt_once_request *ask);
/* Cancels and settles all pending asks, as when the service is known to be down. */
void mt_once_refuse_all (struct mt_once *once);
/* A granted attempt ended; recorded in a later batch. */
void mt_once_end (struct mt_once *once,
                  const uint64_t key[2],
                  const uint64_t attempt[2],
                  enum mt_once_end end,
                  int status);
/* The same for an end that is a record already. */
void mt_once_add_end (struct mt_once *once, const struct mt_record *end);

/* True: make this call, then absorb it; no second call meanwhile. False: nothing to do before
 * wake_us, which is INT64_MAX when only a new ask or end gives work. */
bool mt_once_next_call (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us);
void mt_once_perform_call (const struct mt_store *store, struct mt_once_call *call);
/* Clears the call. */
void mt_once_handle_result (struct mt_once *once, struct mt_once_call *call);

/* How many more claims may be held in memory; asks beyond it are refused. No limit at first. */
void mt_once_set_free_capacity (struct mt_once *once, unsigned room);
/* Claims held in memory. */
unsigned mt_once_claim_count (const struct mt_once *once);
/* Whether asks, ends or a batch in doubt are left. */
bool mt_once_has_work (const struct mt_once *once);
/* Why the log can't be read, or NULL. */
const char *mt_once_read_error (const struct mt_once *once);

/* Whether a key carries its own date, YYYYMMDDTHHMMSSZ-..., and which. */
bool mt_once_key_date (struct mt_str key, int64_t *wall_us);
/* Whether a dated key's claim could be trimmed already, or its date lies in the future. */
bool mt_once_date_expired (int64_t date_us, int64_t wall_us, int64_t keep_us);

#endif
