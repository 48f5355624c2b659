/* Relays store calls through another daemon when the store does not serve this one. Not
 * thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_RELAY_H
#define MT_FLEET_RELAY_H

#include "adapter.h"
#include "cluster.h"
#include "mesh.h"

struct mt_relay;

/* Creates a relay and registers it with the platform. */
struct mt_relay *
mt_relay_create (struct mt_adapter *platform, struct mt_mesh *mesh, struct mt_cluster *cluster);
void mt_relay_destroy (struct mt_relay *relay);
/* Begins a stop: calls of other daemons that may not be answered until `serve_until`, in ms of the
 * loop's clock, are refused. */
void mt_relay_stop (struct mt_relay *relay, int64_t serve_until);
/* Returns whether there is a store outage: neither this daemon nor one in another data centre
 * reaches the store, and no relayed call reached it recently. Evidence from this data centre alone
 * does not count: in a network partition all daemons in it fail to reach the store while a leader
 * elsewhere takes over. */
bool mt_relay_sees_outage (const struct mt_relay *relay);
/* Answers a store call that another daemon relays through this one. */
void
mt_relay_serve (struct mt_relay *relay, struct mt_mesh_call *call, const struct mt_mesh_args *args);

#endif
