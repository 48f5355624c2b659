/* This daemon among the others: sends heartbeats, keeps the membership, spreads tables, and carries
 * calls between daemons. Any thread may call. */
#ifndef MT_PEERS_H
#define MT_PEERS_H

#include "medlartrack/membership.h"
#include "peer.h"

struct mt_peers;

/* Calls visit for each member that is alive now, this daemon included, under the membership's lock:
 * visit must not block or keep the pointer. zone NULL: all data centres. */
void mt_peers_each (struct mt_peers *peers,
                    const char *zone,
                    void (*visit) (void *ctx, const struct mt_member *member),
                    void *ctx);
/* Of live members in this daemon's data centre, itself included; at least 1. */
unsigned mt_peers_count_here (struct mt_peers *peers);
/* Whether the member is known and was heard of within the suspicion time. */
bool mt_peers_is_alive (struct mt_peers *peers, const char *name);
/* Calls a member by name; errors as mt_peer_client_call, MT_ERROR_UNAVAILABLE for an unknown one.
 */
bool mt_peers_call (struct mt_peers *peers,
                    const char *name,
                    enum mt_peer_type type,
                    struct mt_str body,
                    int64_t deadline_us,
                    char **reply,
                    size_t *reply_len,
                    GError **error);

#endif
