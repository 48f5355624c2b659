/* The workers in the platform's registry, kept up to date by a watch while this daemon leads
 * anything. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_ROSTER_H
#define MT_FLEET_ROSTER_H

#include "ports.h"

struct event_base;
struct mt_roster;

struct mt_roster_options
{
  struct mt_kv kv;
  const struct mt_codec *codec;
  struct mt_journal *journal; /* NULL: nothing is logged */
  void (*on_seen) (void *ctx, const struct mt_registry_entry *entry);
  void (*on_gone) (void *ctx, const char *pool, const char *id);
  void *ctx;
};

struct mt_roster *mt_roster_create (struct event_base *base,
                                    const struct mt_roster_options *options);
void mt_roster_destroy (struct mt_roster *roster);
/* Calls on_seen for every worker of the pool again, for a pool that this daemon has just begun to
 * lead. */
void mt_roster_replay (struct mt_roster *roster, const char *pool);

#endif
