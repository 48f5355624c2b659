/* Answers calls from other daemons: for pools that this one leads, for its configuration, and for
 * the store if this one reaches it. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_NEIGHBOURS_H
#define MT_FLEET_NEIGHBOURS_H

#include "cluster.h"
#include "config_sync.h"
#include "mesh.h"
#include "pool.h"
#include "relay.h"

/* Parts that answer the calls. Owned by its creator; must outlive the mesh. */
struct mt_peer_service
{
  struct mt_cluster *cluster;
  struct mt_relay *relay;
  struct mt_config_sync *config_sync;
  /* Returns the pool if this daemon leads it, else NULL. */
  struct mt_pool *(*local_pool) (void *ctx, const char *pool);
  void *ctx;
};

/* Call handler of a mesh; ctx is a struct mt_peer_service. */
void mt_peer_service_handle (void *ctx,
                             struct mt_mesh_call *call,
                             enum mt_mesh_method method,
                             const struct mt_mesh_args *args);

#endif
