/* This daemon's share among the live daemons of its data centre, and the requests that the others
 * have in flight. Filled member by member, then read. Not thread-safe. */
#ifndef MT_SHARES_H
#define MT_SHARES_H

#include "medlartrack/membership.h"
#include "medlartrack/share.h"

struct mt_shares;

/* self: name of this daemon. */
struct mt_shares *mt_shares_create (const char *self);
void mt_shares_destroy (struct mt_shares *shares);
/* Adds one live member. For mt_peers_each_alive; ctx is the mt_shares. */
void mt_shares_add_member (void *ctx, const struct mt_member *member);

/* Returns this daemon's share among the members added so far. */
struct mt_share mt_shares_own_share (const struct mt_shares *shares);
/* Returns the number of requests that the other daemons have in flight on the minion. For
 * mt_dispatch_set_share; ctx is the mt_shares. */
unsigned mt_shares_in_flight_elsewhere (void *ctx, const char *minion);

#endif
