/* An in-memory store for tests: the semantics of the platform's key-value service on an injected
 * clock, with faults set by the test or drawn from a seed. Thread-safe. A watch returns at once. */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "medlartrack/clock.h"
#include "medlartrack/store.h"

struct fake_store;

enum fake_fault
{
  FAKE_FAULT_NONE,
  FAKE_FAULT_FAIL,         /* reads fail; writes return FAILED and take no effect */
  FAKE_FAULT_LOSE_ANSWER,  /* writes take effect and return UNKNOWN; reads fail */
  FAKE_FAULT_LOSE_REQUEST, /* writes take no effect and return UNKNOWN; reads fail */
  FAKE_FAULT_DELAY, /* writes return UNKNOWN and take effect at fake_store_deliver_delayed; reads
                       fail */
  FAKE_FAULT_LAST,
};

struct fake_store *fake_store_create (const struct mt_clock *clock);
void fake_store_destroy (struct fake_store *fake);
const struct mt_store *fake_store_store (struct fake_store *fake);

/* While down, every call fails without effect. */
void fake_store_set_down (struct fake_store *fake, bool down);
/* Applies the fault to the next `times` calls, or only to writes among them. */
void fake_store_fault_next (struct fake_store *fake,
                            enum fake_fault fault,
                            unsigned times,
                            bool writes_only);
/* Applies a random fault to each call with this chance, drawn from the seed; 0 ends it. */
void fake_store_fault_by_seed (struct fake_store *fake, uint64_t seed, unsigned permille);
/* Applies the writes delayed by FAKE_FAULT_DELAY, in the order sent. */
void fake_store_deliver_delayed (struct fake_store *fake);
/* Sets a function that runs before each call, without the lock, so that a test can let a competing
 * writer act in between. */
void fake_store_set_call_hook (struct fake_store *fake, void (*hook) (void *ctx), void *ctx);

/* Overwrites the key without any check, as a restored backup does; NULL data removes it. */
void fake_store_force (struct fake_store *fake, const char *key, const char *data);
/* Number of calls so far; a watch counts as a read. */
uint64_t fake_store_reads (struct fake_store *fake);
uint64_t fake_store_writes (struct fake_store *fake);
/* Number of keys with the prefix. */
unsigned fake_store_count (struct fake_store *fake, const char *prefix);

#endif
