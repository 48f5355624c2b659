/* The pools at run time: one dispatch each, with the lock that guards it and the threads that wait
 * in its queue. Any thread may call. */
#ifndef MT_POOLS_H
#define MT_POOLS_H

#include "medlartrack/dispatch.h"
#include "view.h"

#include <jansson.h>

struct mt_pools;
struct mt_slot;

struct mt_pools *
mt_pools_create (const struct mt_clock *clock, struct mt_view_holder *views, const char *zone);
void mt_pools_destroy (struct mt_pools *pools);
/* Brings the dispatches up to the view in force; registered as a view listener. */
void mt_pools_refresh (void *ctx);

struct mt_slot_request
{
  const char *pool;
  uint64_t audience;
  int64_t deadline_us;
  unsigned queue_limit;
  const char *avoid;
};

enum mt_slot_result
{
  MT_SLOT_GRANTED,
  MT_SLOT_NO_POOL,
  MT_SLOT_QUEUE_FULL,
  MT_SLOT_EXPIRED,
};

/* Waits for a slot in the pool, until the deadline at most. */
enum mt_slot_result
mt_pools_take (struct mt_pools *pools, const struct mt_slot_request *request, struct mt_slot **out);
const char *mt_slot_minion (const struct mt_slot *slot);
const char *mt_slot_address (const struct mt_slot *slot);
/* Gives it back and frees it. */
void mt_slot_give_back (struct mt_slot *slot, enum mt_dispatch_result result);

/* Adds {"pool": {"waiting": n, "in_flight": n}} for each pool. */
void mt_pools_dump (struct mt_pools *pools, json_t *out);

#endif
