/* Daemons that got the assignment document from this one. A planner waits for every daemon that may
 * hold a document and learns of them from the keys that they write at the platform; one that is cut
 * off from it can't write its own. Whoever hands it a document writes the key in its place, and
 * until then confirms no drain. Any thread may call. */
#ifndef MT_PROXIED_H
#define MT_PROXIED_H

#include "view.h"

#include "medlartrack/store.h"

struct mt_proxied;

struct mt_proxied *mt_proxied_create (struct mt_view_holder *views, const char *zone);
void mt_proxied_destroy (struct mt_proxied *proxied);
/* Before the document is read that the daemon gets. False, and it must not get it, where its name
 * is no name of a daemon or too many are noted. */
bool mt_proxied_add (struct mt_proxied *proxied, struct mt_str name);
/* Writes the keys that are missing; those that can't be written stay noted. Blocks on the store. */
void mt_proxied_register (struct mt_proxied *proxied, const struct mt_store *store);
/* Calls visit with one request in flight for each instance that drains, while a key is missing:
 * what the heartbeat then tells holds the drains up. */
void mt_proxied_each_draining (struct mt_proxied *proxied,
                               void (*visit) (void *ctx, const char *instance, unsigned in_flight),
                               void *ctx);
unsigned mt_proxied_count (struct mt_proxied *proxied);

#endif
