/* This daemon's place among the live daemons of its data centre, and what they have in flight:
 * filled member by member, then read. Not thread-safe. */
#ifndef MT_SHARES_H
#define MT_SHARES_H

#include "medlartrack/membership.h"
#include "medlartrack/share.h"

struct mt_shares;

/* self: name of this daemon. */
struct mt_shares *mt_shares_create (const char *self);
void mt_shares_destroy (struct mt_shares *shares);
/* Takes in one live member; for mt_peers_each_alive, with the shares as ctx. */
void mt_shares_add_member (void *ctx, const struct mt_member *member);

struct mt_share mt_shares_own_share (const struct mt_shares *shares);
/* In flight on the minion by the others; for mt_dispatch_set_share, with the shares as ctx. */
unsigned mt_shares_in_flight_elsewhere (void *ctx, const char *minion);

#endif
