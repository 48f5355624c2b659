/* At most once across daemons: a key is claimed durably before its request is sent to a minion.
 * Any thread may call; take blocks until the claim is committed or given up. */
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
  MT_CLAIM_DONE,        /* another attempt got a whole answer; its status is told */
  MT_CLAIM_LOST,        /* another attempt ended with an unknown outcome */
  MT_CLAIM_EXPIRED,     /* the key is older than claims are kept: can't tell */
  MT_CLAIM_UNAVAILABLE, /* could not be committed in time: not run by this attempt */
};

/* How an attempt that was granted ended. */
enum mt_claim_end
{
  MT_CLAIM_END_DONE,    /* whole answer, with its status */
  MT_CLAIM_END_NOT_RUN, /* never sent: the key is free again */
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
  struct mt_breaker *breaker; /* before the platform's store; outlives the claims */
  struct mt_peers *peers;     /* likewise; NULL: all claims are committed here */
  const char *name;           /* of this daemon among them */
};

/* Starts one thread for each shard, which commits that shard's claims. */
struct mt_claims *mt_claims_create (const struct mt_claims_options *options);
/* Once nobody takes claims any more. Tries to record the ends that wait. */
void mt_claims_destroy (struct mt_claims *claims);

/* scope is what keys are told apart within: the request's own path, which is the same when it is
 * sent again. A name from the tables would not do: an operator may rename it in between. */
enum mt_claim_result mt_claims_acquire (struct mt_claims *claims,
                                        struct mt_str scope,
                                        struct mt_str key,
                                        int64_t deadline_us,
                                        struct mt_claim *claim);
/* Records the end of a granted claim; does not wait. */
void mt_claims_end (struct mt_claims *claims,
                    const struct mt_claim *claim,
                    enum mt_claim_end end,
                    int status);

/* For mt_peer_server_handle with MT_PEER_CLAIM: commits what another daemon asks for. */
char *mt_claims_serve (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len);

/* Adds how many claims are held, and each shard that can't be read. */
void mt_claims_dump (struct mt_claims *claims, json_t *out);

#endif
