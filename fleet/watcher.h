/* A replica of all keys under a prefix, kept by a list and then watches. It outlives silent
 * watches, cut ones, and a store that has forgotten its history: then it lists again and tells what
 * is gone. On the loop's one thread. */
#ifndef MT_FLEET_WATCHER_H
#define MT_FLEET_WATCHER_H

#include "ports.h"

struct event_base;
struct mt_watcher;

struct mt_watcher_options
{
  const char *prefix;
  int64_t wait_ms;  /* of one watch: a silent one is noticed after it */
  int64_t pause_ms; /* between two watches that brought something: more come in one call then */
  /* Also for keys found gone; in the order of their revisions within one answer. */
  void (*on_item) (void *ctx, const struct mt_kv_item *item);
  /* After each whole list, the first one included; may be NULL. */
  void (*on_listed) (void *ctx);
  void *ctx;
};

/* Begins at once. The first list is repeated until it succeeds. */
struct mt_watcher *mt_watcher_create (struct event_base *base,
                                      struct mt_kv kv,
                                      const struct mt_watcher_options *options);
/* May be called from its own callbacks. */
void mt_watcher_destroy (struct mt_watcher *watcher);
/* When the store last answered it, by mt_loop_now; 0 for never. */
int64_t mt_watcher_last_answer (const struct mt_watcher *watcher);

#endif
