/* Sends claims to the daemon that owns their shard, which commits many of them in one write. Each
 * daemon determines the owner by itself, and two may disagree: ownership saves calls, and safety
 * does not depend on it. */
#ifndef MT_CLAIM_OWNER_H
#define MT_CLAIM_OWNER_H

#include "claims.h"
#include "medlartrack/batch.h"
#include "medlartrack/once.h"

/* Returns the name of the shard's owner, the live member with the highest hash of shard and name,
 * to be freed with g_free. NULL if that is this daemon or there are no peers. */
char *mt_claim_owner_find (struct mt_peers *peers, const char *self, unsigned shard);

enum mt_claim_send_result
{
  MT_CLAIM_SEND_ANSWERED,
  MT_CLAIM_SEND_FAILED,  /* not delivered */
  MT_CLAIM_SEND_UNKNOWN, /* the owner may have committed the claim */
};

/* Asks the owner to commit one claim; sets the request's result if the owner answered. Blocks. The
 * owner gives up before this daemon does. A third of the time until the claim's deadline remains
 * for this daemon to commit the claim itself. */
enum mt_claim_send_result mt_claim_owner_request (struct mt_peers *peers,
                                                  const char *owner,
                                                  const struct mt_clock *clock,
                                                  struct mt_once_request *request);
/* Sends the ends of claims (struct mt_record) to the owner. Blocks. Returns false if the owner did
 * not confirm them. */
bool mt_claim_owner_send_ends (struct mt_peers *peers,
                               const char *owner,
                               const struct mt_clock *clock,
                               const GArray *ends);

/* Returns the owner's reply, encoded, to be freed with free. */
char *mt_claim_owner_encode_reply (enum mt_once_result result, int status, size_t *len);

#endif
