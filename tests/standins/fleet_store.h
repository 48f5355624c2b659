/* The store of the platform's stand-in: keys with revisions, watches, transactions, leases, by the
 * platform's published protocol. It takes faults on request. One thread. */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include "http_front.h"

#include <jansson.h>

struct event_base;
struct fleet_store;

struct fleet_store *fleet_store_create (struct event_base *base);
void fleet_store_handle (struct fleet_store *store, struct mt_exchange *exchange);
/* As the operator or a worker writes, past all faults. NULL removes. */
void fleet_store_put (struct fleet_store *store, const char *key, const char *value);
/* g_free it; NULL where there is none. */
char *fleet_store_get (const struct fleet_store *store, const char *key);
/* "up", "busy" (503), "silent" (no answer), "lost" (writes are done and not answered). */
void fleet_store_set_mode (struct fleet_store *store, const char *mode);
/* Watches are cut, and what came before now can't be watched from any more. */
void fleet_store_forget (struct fleet_store *store);
unsigned fleet_store_count (const struct fleet_store *store, const char *prefix);

/* Answers with JSON; takes the body over. */
void fleet_answer (struct mt_exchange *exchange, unsigned status, json_t *body);

#endif
