/* Keeps the tables in force up to the platform's: one thread that waits in a watch. */
#ifndef MT_FEED_H
#define MT_FEED_H

#include "medlartrack/store.h"
#include "view.h"

struct mt_feed;

/* Starts the thread. */
struct mt_feed *mt_feed_create (const struct mt_store *store, struct mt_view_holder *views);
/* Waits for the watch at hand to end. */
void mt_feed_destroy (struct mt_feed *feed);

#endif
