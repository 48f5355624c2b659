/* A leadership that one of many processes holds: a key in the platform's store, held under a lease
 * that its holder renews. The lease only keeps competing processes from working against each other:
 * a holder that was paused past the end of its lease notices that late, so its writes have to be
 * fenced by compare-and-swap.
 *
 * Calls block on the store. Not thread-safe. */
#ifndef MEDLARTRACK_LEASE_H
#define MEDLARTRACK_LEASE_H

#include "medlartrack/clock.h"
#include "medlartrack/store.h"

#define MT_LEASE_S 10 /* a lease that is not renewed for this long is lost */

struct mt_lease;

/* Returns a lease that is not held yet; free it with mt_lease_destroy. holder: name of this
 * process, written as the key's value. store and clock must outlive the lease. */
struct mt_lease *mt_lease_create (const struct mt_store *store,
                                  const struct mt_clock *clock,
                                  const char *key,
                                  const char *holder);
/* Ends the lease if it is held, and frees it. */
void mt_lease_destroy (struct mt_lease *lease);

/* Renews the lease or tries to acquire it, every 2 to 4 s, and returns whether it is held. To be
 * called about once a second. */
bool mt_lease_step (struct mt_lease *lease);

#endif
