/* The store of the platform stand-in: keys with revisions, watches, transactions and leases, as in
 * the platform's published protocol, with faults on request. Single-threaded. */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include "http_front.h"

#include <jansson.h>

struct event_base;
struct fleet_store;

struct fleet_store *fleet_store_create (struct event_base *base);
void fleet_store_handle (struct fleet_store *store, struct mt_exchange *exchange);
/* Writes as an operator or a worker does, whatever the mode. A NULL value removes the key. */
void fleet_store_put (struct fleet_store *store, const char *key, const char *value);
/* Returns the value, to be freed with g_free, or NULL if the key does not exist. */
char *fleet_store_get (const struct fleet_store *store, const char *key);
/* Modes: "up", "busy" (every call gets 503), "silent" (no call is answered, nor does it take
 * effect), "lost" (writes take effect and are not answered), "slow" (writes take effect and are
 * answered after 700 ms). */
void fleet_store_set_mode (struct fleet_store *store, const char *mode);
/* Compacts the history: answers all open watches with 410, and later ones that start before the
 * current revision. */
void fleet_store_compact (struct fleet_store *store);
/* Number of keys with the prefix. */
unsigned fleet_store_count (const struct fleet_store *store, const char *prefix);

/* Answers with JSON; takes ownership of the body. */
void fleet_answer (struct mt_exchange *exchange, unsigned status, json_t *body);

#endif
