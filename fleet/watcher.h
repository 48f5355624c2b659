/* Watches all keys under a prefix: lists them, then follows changes by watches. Recovers from
 * silent or broken watches, and from a store that has compacted its history: it then lists again
 * and reports keys that are gone. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_WATCHER_H
#define MT_FLEET_WATCHER_H

#include "ports.h"

struct event_base;
struct mt_journal;
struct mt_watcher;

struct mt_watcher_options
{
  const char *prefix;
  int64_t wait_ms; /* longest wait of one watch, after which a silent watch is noticed */
  /* Mean pause after a watch that brought changes, to gather more in the next call. Each pause is
   * between half and one and a half of it, so that the watches of many daemons spread. */
  int64_t pause_ms;
  struct mt_journal *journal; /* failed calls are logged there; NULL for none */
  /* Called for each key that was set or deleted, also for keys that a list finds gone; in the order
   * of revisions within one answer. */
  void (*on_item) (void *ctx, const struct mt_kv_item *item);
  /* Called after each complete list, also the first; may be NULL. */
  void (*on_listed) (void *ctx);
  /* Called after each answered watch and complete list: all changes from before the answer began
   * are delivered; may be NULL. */
  void (*on_current) (void *ctx);
  /* Continues after this revision of the store, up to which all is known, in place of a list; 0: it
   * is not. */
  int64_t after_revision;
  void *ctx;
};

/* Starts at once. The first list is retried until it succeeds. */
struct mt_watcher *mt_watcher_create (struct event_base *base,
                                      struct mt_kv kv,
                                      const struct mt_watcher_options *options);
/* May be called from its own callbacks. */
void mt_watcher_destroy (struct mt_watcher *watcher);
/* Changes pause_ms from the next watch on. */
void mt_watcher_set_pause (struct mt_watcher *watcher, int64_t pause_ms);
/* Returns the store's revision up to which all changes were delivered; 0 before the first list. */
int64_t mt_watcher_revision (const struct mt_watcher *watcher);
/* Returns when the last answer to this watcher began, by mt_loop_now; 0: never. */
int64_t mt_watcher_last_answer (const struct mt_watcher *watcher);

#endif
