/* Connects pools and heartbeats: reports the pools' loads in this daemon's heartbeats, and gives
 * the loads that other daemons reported to the pools. */
#ifndef MT_HEARTBEAT_H
#define MT_HEARTBEAT_H

#include "jobs_part.h"
#include "peers.h"
#include "pools.h"
#include "proxied.h"

struct mt_heartbeat;

/* pools and settings outlive the heartbeat. */
struct mt_heartbeat *mt_heartbeat_create (struct mt_pools *pools,
                                          const struct mt_settings *settings);
/* Sets the jobs whose tasks count as load of draining instances; NULL: none. Call before the peers
 * start. */
void mt_heartbeat_set_jobs (struct mt_heartbeat *heartbeat, struct mt_jobs_part *jobs);
/* Sets the proxied daemons, which delay drains. Call before the peers start. */
void mt_heartbeat_set_proxied (struct mt_heartbeat *heartbeat, struct mt_proxied *proxied);
/* Call when neither peers nor pools are called any more, and before the pools are destroyed. */
void mt_heartbeat_destroy (struct mt_heartbeat *heartbeat);
/* Returns the callbacks for mt_peers_options; their ctx is the mt_heartbeat. */
const struct mt_peers_callbacks *mt_heartbeat_callbacks (void);

#endif
