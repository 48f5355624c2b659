/* Store calls for a daemon that the store turns away, by a neighbour that reaches it. On the loop's
 * one thread. */
#ifndef MT_FLEET_RELAY_H
#define MT_FLEET_RELAY_H

#include "adapter.h"
#include "cluster.h"
#include "mesh.h"

struct mt_relay;

/* Sets itself as the platform's relay. */
struct mt_relay *
mt_relay_create (struct mt_adapter *platform, struct mt_mesh *mesh, struct mt_cluster *cluster);
void mt_relay_destroy (struct mt_relay *relay);
/* The store turns away this daemon and one in another data centre, and no neighbour has reached it
 * of late: an outage. In a data centre that is cut off all say that they don't reach it, while a
 * leader elsewhere takes over. */
bool mt_relay_sees_outage (const struct mt_relay *relay);
/* A neighbour's call. */
void
mt_relay_serve (struct mt_relay *relay, struct mt_mesh_call *call, const struct mt_mesh_args *args);

#endif
