/* Calls of other daemons: for pools that this one leads, and for the store that it reaches. On the
 * loop's one thread. */
#ifndef MT_FLEET_NEIGHBOURS_H
#define MT_FLEET_NEIGHBOURS_H

#include "cluster.h"
#include "mesh.h"
#include "pool.h"
#include "relay.h"

/* What they are answered from; belongs to whoever made it, and outlives the mesh. */
struct mt_peer_service
{
  struct mt_cluster *cluster;
  struct mt_relay *relay;
  /* The pool that this daemon leads; NULL for any other. */
  struct mt_pool *(*local) (void *ctx, const char *pool);
  void *ctx;
};

/* A mesh's handler, with a struct mt_peer_service. */
void mt_peer_service_handle (void *ctx,
                             struct mt_mesh_call *call,
                             enum mt_mesh_method method,
                             const struct mt_mesh_args *args);

#endif
