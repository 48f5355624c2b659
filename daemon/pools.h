/* The pools at run time: each has a dispatcher, the lock that guards it, and the threads that wait
 * in its queue. Any thread may call. */
#ifndef MT_POOLS_H
#define MT_POOLS_H

#include "medlartrack/dispatch.h"
#include "shares.h"
#include "view.h"

#include <jansson.h>

struct mt_pools;
struct mt_slot;

/* clock and views outlive the pools. */
struct mt_pools *
mt_pools_create (const struct mt_clock *clock, struct mt_view_holder *views, const char *zone);
/* Call when all slots are released. pools may be NULL. */
void mt_pools_destroy (struct mt_pools *pools);
/* Updates the dispatchers from the view in force. For mt_view_add_listener; ctx is the mt_pools. */
void mt_pools_refresh (void *ctx);

struct mt_slot_request
{
  const char *pool;
  uint64_t audience;
  int64_t deadline_us;
  unsigned queue_limit;
  const char *avoid; /* minion that failed the previous attempt, or NULL */
  bool is_retry;
};

enum mt_slot_result
{
  MT_SLOT_GRANTED,
  MT_SLOT_NO_POOL,
  MT_SLOT_NO_MINION,
  MT_SLOT_QUEUE_FULL,
  MT_SLOT_TOO_LATE,
  MT_SLOT_RETRY_BUDGET,
};

/* Blocks until the dispatcher grants a slot in the pool, which sets *out, or refuses it. A granted
 * slot is to be released with mt_slot_release. */
enum mt_slot_result mt_pools_acquire_slot (struct mt_pools *pools,
                                           const struct mt_slot_request *request,
                                           struct mt_slot **out);
/* Returns the minion's name; valid until the slot is released. */
const char *mt_slot_minion (const struct mt_slot *slot);
/* Returns the minion's IP:PORT; valid until the slot is released. */
const char *mt_slot_address (const struct mt_slot *slot);
/* Returns the epoch of the assignment record by which the minion serves the pool. */
uint64_t mt_slot_epoch (const struct mt_slot *slot);
/* Returns the maximum number of connections that this daemon may hold to the minion. */
unsigned mt_slot_max_connections (const struct mt_slot *slot);
/* Whether the slot was not granted at once. */
bool mt_slot_has_waited (const struct mt_slot *slot);
/* Marks the slot's minion as leaving. Call when the minion itself reports that it leaves. */
void mt_slot_set_leaving (struct mt_slot *slot);
/* Returns the slot to the pool and frees it. */
void mt_slot_release (struct mt_slot *slot, enum mt_dispatch_result result);

/* Returns the estimated time to serve the pool's current queue, in us; 0 for an unknown pool. */
int64_t mt_pools_backlog_us (struct mt_pools *pools, const char *name);

/* Sets this daemon's share and the requests that the other daemons have in flight. The pools use
 * shares until the next call. */
void mt_pools_set_shares (struct mt_pools *pools, struct mt_shares *shares);

/* Whether the minion reported that it leaves. mt_pools_rejoin resets this, once the control part
 * knows that the minion is back. */
bool mt_pools_is_leaving (struct mt_pools *pools, const char *name, const char *minion);
void mt_pools_rejoin (struct mt_pools *pools, const char *name, const char *minion);

/* Visits each pool with its requests waiting and in flight, and each minion with its requests in
 * flight, for the heartbeat. Visitors must not call the pools. */
struct mt_pools_visitor
{
  void (*pool) (void *ctx, const char *pool, unsigned waiting, unsigned in_flight);
  void (*minion) (void *ctx, const char *minion, unsigned in_flight);
  void *ctx;
};
void mt_pools_each (struct mt_pools *pools, const struct mt_pools_visitor *visitor);

/* Adds an object for each pool: its queue, slots and minions. */
void mt_pools_dump (struct mt_pools *pools, json_t *out);

#endif
