/* Workers and machines of the platform stand-in, as in the published protocol: runs under leases
 * and fencing tokens, ends of runs that are reported until acknowledged, and maintenance.
 * Single-threaded.
 */
#ifndef FLEET_WORKERS_H
#define FLEET_WORKERS_H

#include "fleet_store.h"

struct fleet_workers;

struct fleet_workers_options
{
  const char *pool;
  unsigned n;           /* workers, each on a machine of its own */
  unsigned run_ms;      /* duration of a task; 0: until it is stopped */
  unsigned max_hold_ms; /* longest lease that a worker grants */
  unsigned age_ms;      /* what the workers' clocks show at first; an incarnation's begins at 0 */
};

struct fleet_workers *fleet_workers_create (struct event_base *base,
                                            struct fleet_store *store,
                                            const struct fleet_workers_options *options);
/* Handles the calls that list machines and order their maintenance. */
void fleet_workers_handle_machines (struct fleet_workers *fleet, struct mt_exchange *exchange);
/* {"cut_off", "late", "started", "twice", "running", "lapsed", "down_most", "crashes",
 * "overbooked"}; cut_off: runs on workers that are cut off */
json_t *fleet_workers_report (const struct fleet_workers *fleet);
/* Sets the capacity of each worker in thousandths of a core. A task counts as 1000. */
void fleet_workers_resize (struct fleet_workers *fleet, int64_t cpu);
/* This percentage of the starts, stops and pace calls is carried out and not answered in time. */
void fleet_workers_lose_answers (struct fleet_workers *fleet, unsigned percent);

/* This percentage of all orders, holds included, gets no answer and is carried out ms later, even
 * if its worker has restarted by then and has been sent a hold. */
void fleet_workers_delay_orders (struct fleet_workers *fleet, unsigned percent, int64_t ms);
/* The worker starts again under its id, without its runs. */
void fleet_workers_restart (struct fleet_workers *fleet, unsigned worker);
/* The worker receives nothing for ms, and its runs go on. */
void fleet_workers_cut (struct fleet_workers *fleet, unsigned worker, int64_t ms);
/* The worker crashes as soon as it has answered a hold, and is back under its id ms later. The
 * calls that it is sent in between reach the new incarnation and count as late. */
void fleet_workers_crash (struct fleet_workers *fleet, unsigned worker, int64_t ms);

#endif
