/* The configuration in force: read from the store or, on a thin link and while the store turns this
 * daemon away, followed from a daemon with a wide link; passed on to daemons that follow this one.
 * Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_CONFIG_SYNC_H
#define MT_FLEET_CONFIG_SYNC_H

#include "cluster.h"
#include "config_check.h"
#include "mesh.h"

struct event_base;
struct mt_config_sync;
struct mt_journal;

struct mt_config_sync_options
{
  const char *name; /* of this daemon */
  struct mt_kv kv;
  const struct mt_codec *codec;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  double link_mbps; /* of this machine's link; 0: unknown */
  /* Called with each new version in force. The one before it is no longer valid. */
  void (*on_changed) (void *ctx, const struct mt_fleet_config *config);
  void *ctx;
};

/* Starts at once. */
struct mt_config_sync *mt_config_sync_create (struct event_base *base,
                                              const struct mt_config_sync_options *options);
/* Call when the store's calls and the mesh's have been completed, before the mesh is destroyed. */
void mt_config_sync_destroy (struct mt_config_sync *sync);
/* Returns the configuration in force, valid until the next change; NULL before the first. */
const struct mt_fleet_config *mt_config_sync_config (const struct mt_config_sync *sync);
/* Milliseconds since the store confirmed the configuration in force or, before there is one, since
 * it last answered. */
int64_t mt_config_sync_age_ms (const struct mt_config_sync *sync);
struct mt_config_check *mt_config_sync_check (struct mt_config_sync *sync);
/* Answers a call of a daemon that follows the configuration of this one. */
void mt_config_sync_serve (struct mt_config_sync *sync,
                           struct mt_mesh_call *call,
                           const struct mt_mesh_args *args);

#endif
