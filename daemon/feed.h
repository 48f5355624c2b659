/* Keeps the tables in force up to the platform's: one thread that waits in a watch, on a connection
 * of its own. Accepted tables never revert; a store restored to older ones is written forward. */
#ifndef MT_FEED_H
#define MT_FEED_H

#include "medlartrack/store.h"
#include "view.h"

struct mt_feed;

struct mt_feed_options
{
  const char *platform;    /* IP:PORT */
  int64_t call_timeout_us; /* bound on one call that isn't a watch */
  const struct mt_clock *clock;
  struct mt_view_holder *views;
  const struct mt_store *store; /* used in place of the platform, for tests; outlives the thread */
};

/* Starts the thread. */
struct mt_feed *mt_feed_create (const struct mt_feed_options *options);
/* Returns at once: from here on nothing is offered to the views. The watch at hand is given up; its
 * thread frees what it still uses when the watch ends, or ends with the process. */
void mt_feed_destroy (struct mt_feed *feed);
/* Calls of the platform so far, a watch counted as one. */
uint64_t mt_feed_calls (const struct mt_feed *feed);

#endif
