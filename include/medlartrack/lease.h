/* A leadership that one of many processes holds: a key in the platform's store, held under a lease
 * that its holder renews. The lease only keeps competing processes from working against each other:
 * a holder that was paused past the end of its lease notices that late, so its writes have to be
 * fenced by compare-and-swap.
 *
 * Calls block on the store. Use it from one thread at a time. */
#ifndef MEDLARTRACK_LEASE_H
#define MEDLARTRACK_LEASE_H

#include "medlartrack/clock.h"
#include "medlartrack/store.h"

#define MT_LEASE_S 10 /* a holder that does not renew it for this long has lost it */

struct mt_lease;

/* holder: this process's name, written into the key. store and clock must outlive the lease. */
struct mt_lease *mt_lease_create (const struct mt_store *store,
                                  const struct mt_clock *clock,
                                  const char *key,
                                  const char *holder);
/* Ends the lease, if it is held. */
void mt_lease_destroy (struct mt_lease *lease);

/* Renews or tries to acquire the lease, every 2 to 4 s; returns whether it is held. Call it about
 * once a second. */
bool mt_lease_step (struct mt_lease *lease);

#endif
