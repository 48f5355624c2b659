/* Keeps this daemon's entry in the platform's service under a lease, and reads the entries of the
 * others. So daemons find each other that share no address in their settings. One thread; about
 * four calls a minute. */
#ifndef MT_REGISTRY_H
#define MT_REGISTRY_H

#include "medlartrack/store.h"
#include "peers.h"

#define MT_REGISTRY_PREFIX "medlartrack/members/"

struct mt_registry;

/* Starts the thread. store, clock and peers outlive the registry. */
struct mt_registry *mt_registry_create (const struct mt_store *store,
                                        const struct mt_clock *clock,
                                        struct mt_peers *peers,
                                        const char *name);
/* Whether the entry is held under a lease, as far as this daemon knows. Any thread. */
bool mt_registry_is_held (const struct mt_registry *registry);
/* Stops the thread, and removes the entry if the platform answers. */
void mt_registry_destroy (struct mt_registry *registry);

#endif
