/* Keeps the tables in force up to date with the platform's store: one thread that waits in a watch,
 * on a connection of its own. Accepted tables never revert: if the store was restored to older
 * tables, the newer ones are written back to it. */
#ifndef MT_FEED_H
#define MT_FEED_H

#include "medlartrack/store.h"
#include "view.h"

struct mt_feed;

struct mt_feed_options
{
  const char *platform;    /* IP:PORT */
  int64_t call_timeout_us; /* of one call that isn't a watch */
  const struct mt_clock *clock;
  struct mt_view_holder *views;
  const struct mt_store *store; /* replaces the platform in tests; outlives the thread */
};

/* Starts the thread. */
struct mt_feed *mt_feed_create (const struct mt_feed_options *options);
/* Returns at once; afterwards nothing is offered to the views. The pending watch is abandoned: the
 * thread frees its state when the watch ends, or ends with the process. */
void mt_feed_destroy (struct mt_feed *feed);
/* Returns the number of calls to the platform so far; a watch counts as one. */
uint64_t mt_feed_calls (const struct mt_feed *feed);

#endif
