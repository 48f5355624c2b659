/* A leadership that one of many holds: a key of the platform's service, held under a lease that is
 * renewed while its holder lives. A lease only keeps rivals from working against each other: one
 * that was paused past it learns so late, and what it then writes has to be fenced by
 * compare-and-swap.
 *
 * Calls block on the store. One thread at a time. */
#ifndef MEDLARTRACK_LEASE_H
#define MEDLARTRACK_LEASE_H

#include "medlartrack/clock.h"
#include "medlartrack/store.h"

#define MT_LEASE_S 10 /* a holder that is silent for so long has lost it */

struct mt_lease;

/* holder: this process's name, written into the key. store and clock outlive the lease. */
struct mt_lease *mt_lease_create (const struct mt_store *store,
                                  const struct mt_clock *clock,
                                  const char *key,
                                  const char *holder);
/* Gives it back. */
void mt_lease_destroy (struct mt_lease *lease);

/* Renews or tries to take it when that is due, every 2 to 4 s; true while it is held. To be called
 * each second or so. */
bool mt_lease_step (struct mt_lease *lease);

#endif
