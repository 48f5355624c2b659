/* The store of the platform stand-in: keys with revisions, watches, transactions and leases, as in
 * the platform's published protocol, with faults on request. Single-threaded. */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include "http_front.h"

#include <jansson.h>

struct event_base;
struct fleet_store;

struct fleet_store *fleet_store_create (struct event_base *base);
/* Does not answer the calls held back: the server has to be destroyed before. */
void fleet_store_destroy (struct fleet_store *store);
void fleet_store_handle (struct fleet_store *store, struct mt_exchange *exchange);
/* Writes as an operator or a worker does, whatever the mode. A NULL value removes the key. */
void fleet_store_put (struct fleet_store *store, const char *key, const char *value);
/* Returns the value, to be freed with g_free, or NULL if the key does not exist. */
char *fleet_store_get (const struct fleet_store *store, const char *key);
/* Modes: "up", "busy" (every call gets 503), "silent" (no call is answered, nor does it take
 * effect), "lost" (writes take effect and are not answered), "slow" (writes take effect and are
 * answered after 700 ms), "mute" (watches are not answered, all other calls are). */
void fleet_store_set_mode (struct fleet_store *store, const char *mode);
/* Sets the length of the longest value that is accepted; longer ones get 400. */
void fleet_store_set_value_bytes (struct fleet_store *store, size_t bytes);
/* What happens to one read, poll (a watch that does not wait) or transaction. */
enum fleet_fault
{
  FLEET_FAULT_NONE,
  FLEET_FAULT_LOSE_ANSWER,  /* takes effect, not answered */
  FLEET_FAULT_LOSE_REQUEST, /* neither */
  FLEET_FAULT_BUSY,         /* answered with 503, no effect */
  FLEET_FAULT_LATE,         /* takes effect and is answered at fleet_store_release_late */
  FLEET_FAULTS,
};

/* Sets the faults of the next reads of a key, polls and transactions, one each; later ones have
 * none. */
void fleet_store_fault_next (struct fleet_store *store, const enum fleet_fault *faults, size_t n);
/* Carries out the calls held back by FLEET_FAULT_LATE, in the order of their arrival. */
void fleet_store_release_late (struct fleet_store *store);
/* Number of changes that put this value, on any key. */
unsigned fleet_store_count_puts (const struct fleet_store *store, const char *value);
/* Returns the key's revision; 0 if it does not exist. */
int64_t fleet_store_revision (const struct fleet_store *store, const char *key);
/* Returns the lease under which the key was written; 0 for none. */
int64_t fleet_store_lease (const struct fleet_store *store, const char *key);
/* Number of reads of a key, polls and transactions received. */
unsigned fleet_store_calls (const struct fleet_store *store);
/* Number of watches that wait for changes. */
unsigned fleet_store_watches (const struct fleet_store *store);
/* Compacts the history: answers all open watches with 410, and later ones that start before the
 * current revision. */
void fleet_store_compact (struct fleet_store *store);
/* Number of keys with the prefix. */
unsigned fleet_store_count (const struct fleet_store *store, const char *prefix);

/* Answers with JSON; takes ownership of the body. */
void fleet_answer (struct mt_exchange *exchange, unsigned status, json_t *body);

#endif
