/* The workers that the platform lists, kept by a watch while this daemon leads anything. On the
 * loop's one thread. */
#ifndef MT_FLEET_ROSTER_H
#define MT_FLEET_ROSTER_H

#include "ports.h"

struct event_base;
struct mt_roster;

struct mt_roster_options
{
  struct mt_kv kv;
  const struct mt_codec *words;
  void (*seen) (void *ctx, const struct mt_registry_entry *entry);
  void (*gone) (void *ctx, const char *pool, const char *id);
  void *ctx;
};

struct mt_roster *mt_roster_create (struct event_base *base,
                                    const struct mt_roster_options *options);
void mt_roster_destroy (struct mt_roster *registry);
/* Tells of every worker of the pool again, for one that has just begun to lead it. */
void mt_roster_replay (struct mt_roster *registry, const char *pool);

#endif
