/* Claims sent to the daemon that owns their shard, which commits many in one write. Who owns a
 * shard is each daemon's own opinion: it saves calls, and safety never rests on it. */
#ifndef MT_CLAIM_OWNER_H
#define MT_CLAIM_OWNER_H

#include "claims.h"
#include "medlartrack/batch.h"
#include "medlartrack/once.h"

/* The live member with the highest hash of shard and name; NULL where that is this daemon, or where
 * there are no peers. g_free it. */
char *mt_claim_owner_find (struct mt_peers *peers, const char *self, unsigned shard);

enum mt_claim_send_result
{
  MT_CLAIM_SEND_ANSWERED,
  MT_CLAIM_SEND_FAILED,  /* not delivered */
  MT_CLAIM_SEND_UNKNOWN, /* perhaps claimed there */
};

/* Asks the owner for one claim; the ask's result is set where it answered. The owner gives up
 * before this daemon does, which keeps a third of the time to commit the claim itself. */
enum mt_claim_send_result mt_claim_owner_request (struct mt_peers *peers,
                                                  const char *owner,
                                                  const struct mt_clock *clock,
                                                  struct mt_once_request *ask);
/* Hands ends over; false where that is not certain. */
bool mt_claim_owner_send_ends (struct mt_peers *peers,
                               const char *owner,
                               const struct mt_clock *clock,
                               const GArray *ends);

/* The owner's side of a reply. malloced. */
char *mt_claim_owner_encode_reply (enum mt_once_result result, int status, size_t *len);

#endif
