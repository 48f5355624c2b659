/* Daemons that received the assignment document from this one. A planner waits for every daemon
 * that may hold a document, and finds them by the keys that they write to the platform. A daemon
 * that is partitioned from the platform can't write its key. So the daemon that sends it a document
 * writes the key in its place, and confirms no drain until then. Any thread may call. */
#ifndef MT_PROXIED_H
#define MT_PROXIED_H

#include "view.h"

#include "medlartrack/store.h"

struct mt_proxied;

/* views outlive the object. */
struct mt_proxied *mt_proxied_create (struct mt_view_holder *views, const char *zone);
void mt_proxied_destroy (struct mt_proxied *proxied);
/* Adds a daemon. Call before reading the document that it is sent. Returns false if it must not get
 * the document, because its name is no valid name of a daemon or too many keys are missing. */
bool mt_proxied_add (struct mt_proxied *proxied, struct mt_str name);
/* Writes the missing keys; those that can't be written stay missing. Blocks on the store. */
void mt_proxied_register (struct mt_proxied *proxied, const struct mt_store *store);
/* While a key is missing, calls visit with one request in flight for each instance that drains: as
 * load in the heartbeat this delays the drains. */
void mt_proxied_each_draining (struct mt_proxied *proxied,
                               void (*visit) (void *ctx, const char *instance, unsigned in_flight),
                               void *ctx);
/* Returns the number of daemons whose key is missing. */
unsigned mt_proxied_count (struct mt_proxied *proxied);

#endif
