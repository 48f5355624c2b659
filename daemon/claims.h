/* At-most-once execution across daemons: an idempotency key is claimed durably before its request
 * is sent to a minion. Any thread may call; mt_claims_acquire blocks until the claim is committed
 * or given up. */
#ifndef MT_CLAIMS_H
#define MT_CLAIMS_H

#include "medlartrack/breaker.h"
#include "medlartrack/clock.h"
#include "medlartrack/str.h"
#include "peers.h"

#include <jansson.h>
#include <stdint.h>

struct mt_claims;

enum mt_claim_result
{
  MT_CLAIM_GRANTED,     /* this attempt, and no other, may send the request */
  MT_CLAIM_RUNNING,     /* another attempt holds the key and has not ended */
  MT_CLAIM_DONE,        /* another attempt got a complete answer; claim->status is set */
  MT_CLAIM_LOST,        /* another attempt ended with an unknown outcome */
  MT_CLAIM_EXPIRED,     /* the key is older than claims are kept: unknown whether it ran */
  MT_CLAIM_UNAVAILABLE, /* could not be committed in time: not run by this attempt */
};

/* How an attempt that was granted ended. */
enum mt_claim_end
{
  MT_CLAIM_END_DONE,    /* complete answer, with its status */
  MT_CLAIM_END_NOT_RUN, /* never sent: the key can be claimed again */
  MT_CLAIM_END_LOST,    /* sent, outcome unknown */
};

struct mt_claim
{
  uint64_t key[2];     /* hash of scope and idempotency key */
  uint64_t attempt[2]; /* unique to this attempt */
  int status;          /* of the earlier answer, for MT_CLAIM_DONE */
};

struct mt_claims_options
{
  const struct mt_clock *clock;
  struct mt_breaker *breaker; /* in front of the platform's store; outlives the claims */
  struct mt_peers *peers;     /* outlive the claims; NULL: this daemon commits all claims */
  const char *name;           /* of this daemon among the peers */
};

/* Starts one thread for each shard, which commits that shard's claims. */
struct mt_claims *mt_claims_create (const struct mt_claims_options *options);
/* Call when no thread uses the claims any more. Tries to record the pending ends. */
void mt_claims_destroy (struct mt_claims *claims);

/* Claims the key, which is unique within scope; sets *claim. scope is the request's path, since
 * that is the same when the request is sent again. A name from the tables would not do: an operator
 * may rename it between the two. */
enum mt_claim_result mt_claims_acquire (struct mt_claims *claims,
                                        struct mt_str scope,
                                        struct mt_str key,
                                        int64_t deadline_us,
                                        struct mt_claim *claim);
/* Records the end of a granted claim; does not block. */
void mt_claims_end (struct mt_claims *claims,
                    const struct mt_claim *claim,
                    enum mt_claim_end end,
                    int status);

/* Handler for MT_PEER_CLAIM: commits a claim, or records ends of claims, for another daemon. ctx is
 * the mt_claims. */
char *mt_claims_serve (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len);

/* Adds the number of claims held, and the error of each shard that can't be read. */
void mt_claims_dump (struct mt_claims *claims, json_t *out);

#endif
