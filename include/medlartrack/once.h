/* At-most-once execution: the claim log of one shard, kept in the platform's store.
 *
 * Each batch of claims is one key, medlartrack/claims/SHARD/SEQ, created by compare-and-swap only
 * if it does not exist. A writer that finds the number taken reads the other writer's batch,
 * applies its claims and tries the next number. So all writers agree on one order of batches,
 * whichever of them believes that it owns the shard. A key belongs to the first attempt that claims
 * it in that order.
 *
 * The log does no I/O: mt_once_next_call returns the call to make, mt_once_perform_call makes it on
 * a store without using the log, mt_once_handle_result processes its result. Not thread-safe except
 * mt_once_perform_call: the owner holds a lock around every other call. */
#ifndef MEDLARTRACK_ONCE_H
#define MEDLARTRACK_ONCE_H

#include "medlartrack/batch.h"
#include "medlartrack/clock.h"
#include "medlartrack/pace.h"
#include "medlartrack/store.h"

#define MT_ONCE_PREFIX    "medlartrack/claims/"
#define MT_ONCE_KEY_BYTES 64

/* No claim is granted from a view of the log older than this. */
#define MT_ONCE_MAX_VIEW_AGE_US (30 * MT_SECOND)
/* Maximum difference between two daemons' wall clocks. */
#define MT_ONCE_MAX_CLOCK_SKEW_US (300 * MT_SECOND)

struct mt_once;

enum mt_once_result
{
  MT_ONCE_PENDING,     /* not settled yet */
  MT_ONCE_GRANTED,     /* this attempt alone holds the key */
  MT_ONCE_RUNNING,     /* another attempt holds the key and its deadline has not passed */
  MT_ONCE_DONE,        /* another attempt got a complete response; see the request's status */
  MT_ONCE_LOST,        /* another attempt ended or timed out with an unknown outcome */
  MT_ONCE_UNAVAILABLE, /* not granted, and will not be granted later */
};

/* One attempt's request to claim a key. The caller owns it and keeps it until it is settled or
 * cancelled. */
struct mt_once_request
{
  uint64_t key[2];
  uint64_t attempt[2];        /* unique to this request */
  unsigned holder_timeout_ms; /* a claim without a recorded end counts as lost after this time */
  int64_t claim_deadline_us;  /* the key is not claimed after this time; 0: no limit */
  enum mt_once_result result;
  int status;           /* response status, with MT_ONCE_DONE */
  void *owner;          /* for the caller's use */
  int64_t requested_us; /* set by mt_once_request */
};

enum mt_once_end
{
  MT_ONCE_END_DONE,     /* it got a complete response */
  MT_ONCE_END_LOST,     /* its outcome is unknown */
  MT_ONCE_END_RELEASED, /* the attempt did not run: the key is free again */
};

struct mt_once_options
{
  const struct mt_clock *clock;
  unsigned shard;
  uint64_t writer;                     /* random, unique to this incarnation of the process */
  int64_t retention_us;                /* minimum time for which a claim is kept */
  struct mt_token_bucket *write_limit; /* rate limit of writes, shared by all shards */
  /* Reports the result of a request. Called from within mt_once_next_call, mt_once_handle_result
   * and mt_once_refuse_all. */
  void (*settled) (void *ctx, struct mt_once_request *request);
  void *ctx;
};

/* The floor of a shard is the number of its first batch that may still be needed: batches below it
 * are trimmed. */
enum mt_once_call_kind
{
  MT_ONCE_CALL_LIST,        /* read all batches of the shard and its floor */
  MT_ONCE_CALL_PROBE,       /* read the next batch, if it exists */
  MT_ONCE_CALL_READ_FLOOR,  /* read the floor */
  MT_ONCE_CALL_WRITE,       /* create a batch */
  MT_ONCE_CALL_READ_BATCH,  /* read a batch to find out who wrote it */
  MT_ONCE_CALL_RAISE_FLOOR, /* write a higher floor */
  MT_ONCE_CALL_TRIM,        /* remove batches below the floor */
};

/* One call of the store: its arguments and its result. */
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

/* Free the result with mt_once_destroy. clock and write_limit must outlive it. */
struct mt_once *mt_once_create (const struct mt_once_options *options);
/* Drops pending requests without settling them. */
void mt_once_destroy (struct mt_once *once);

/* Begins a request; `settled` is called with its result. */
void mt_once_request (struct mt_once *once, struct mt_once_request *request);
/* Cancels a request: its result becomes MT_ONCE_UNAVAILABLE, and if its claim turns out to be
 * committed, the claim is released in a later batch. */
void mt_once_cancel (struct mt_once *once, struct mt_once_request *request);
/* Settles all pending requests as MT_ONCE_UNAVAILABLE, for example when the store is known to be
 * down. */
void mt_once_refuse_all (struct mt_once *once);
/* Reports the end of a granted attempt; it is recorded in a later batch. */
void mt_once_end (struct mt_once *once,
                  const uint64_t key[2],
                  const uint64_t attempt[2],
                  enum mt_once_end end,
                  int status);
/* Like mt_once_end, for an end that is already a record. */
void mt_once_add_end (struct mt_once *once, const struct mt_record *end);

/* Returns true if a call is to be made: perform it and pass its result to mt_once_handle_result
 * before the next call of this function. Returns false if there is nothing to do before *wake_us,
 * which is INT64_MAX if only a new request or end gives work. */
bool mt_once_next_call (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us);
/* Makes the call and stores its result in it. Blocks on the store; any thread. */
void mt_once_perform_call (const struct mt_store *store, struct mt_once_call *call);
/* Processes the result of a performed call and clears the call. */
void mt_once_handle_result (struct mt_once *once, struct mt_once_call *call);

/* Sets how many more claims may be held in memory; requests beyond that are refused. Unlimited by
 * default. */
void mt_once_set_free_capacity (struct mt_once *once, unsigned free_capacity);
/* Returns the number of claims held in memory. */
unsigned mt_once_claim_count (const struct mt_once *once);
/* Returns whether requests, ends or an unconfirmed batch are pending. */
bool mt_once_has_work (const struct mt_once *once);
/* Returns the reason why the log cannot be read, valid until the next call; NULL if it can. */
const char *mt_once_read_error (const struct mt_once *once);

/* Returns whether the key starts with a date, YYYYMMDDTHHMMSSZ-..., and stores it in *wall_us. */
bool mt_once_key_date (struct mt_str key, int64_t *wall_us);
/* Returns whether the claim of a key with this date may already be trimmed, or the date is too far
 * in the future. */
bool mt_once_date_expired (int64_t date_us, int64_t wall_us, int64_t retention_us);

#endif
