/* Workers and machines of the platform's stand-in, by the published protocol: runs under leases and
 * fencing tokens, ends that are listed until they are acknowledged, upkeep. One thread. */
#ifndef FLEET_WORKERS_H
#define FLEET_WORKERS_H

#include "fleet_store.h"

struct fleet_workers;

struct fleet_workers *fleet_workers_create (struct event_base *base,
                                            struct fleet_store *store,
                                            const char *pool,
                                            unsigned n,
                                            unsigned run_ms);
/* Moves and upkeep of machines. */
void fleet_workers_handle_machines (struct fleet_workers *all, struct mt_exchange *exchange);
/* {"started", "twice", "running", "lapsed", "down_most", "crashes", "overbooked"} */
json_t *fleet_workers_report (const struct fleet_workers *all);
/* From now on each worker has room for so many thousandths of a core; a task is taken to need 1000.
 */
void fleet_workers_resize (struct fleet_workers *all, int64_t cpu);
/* A share, in percent, of the orders is carried out and not answered. */
void fleet_workers_lose (struct fleet_workers *all, unsigned percent);

#endif
