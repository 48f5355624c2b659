/* This daemon's part of the control plane: keeps the data centre's assignment document in force
 * and, while it holds the planner's lease, plans. Runs two threads; serving never waits for either.
 */
#ifndef MT_CONTROL_H
#define MT_CONTROL_H

#include "medlartrack/capacity.h"
#include "medlartrack/membership.h"
#include "medlartrack/store.h"
#include "pools.h"
#include "proxied.h"

struct mt_control;

struct mt_control_options
{
  const struct mt_clock *clock;
  const char *name; /* of this daemon */
  const char *zone;
  const char *platform;    /* IP:PORT */
  int64_t call_timeout_us; /* of one call to the platform */
  struct mt_view_holder *views;
  struct mt_pools *pools;
  /* Calls visit for each live daemon of the data centre, this one included. */
  void (*each_member) (void *members,
                       const char *zone,
                       void (*visit) (void *visit_ctx, const struct mt_member *member),
                       void *visit_ctx);
  void *members;
  const struct mt_capacity_policy *policy;
  struct mt_proxied *proxied; /* daemons whose keys this daemon writes */
};

/* Adds a listener to the views and starts the threads. Call before any other thread offers to the
 * views. */
struct mt_control *mt_control_create (const struct mt_control_options *options);
/* Releases the lease and stops planning. Afterwards the objects that the options name may be
 * freed. */
void mt_control_destroy (struct mt_control *control);
/* Whether this daemon holds the planner's lease, as far as it knows. Any thread. */
bool mt_control_is_planner (struct mt_control *control);
/* Returns the number of calls to the platform so far. Any thread. */
uint64_t mt_control_calls (const struct mt_control *control);
/* Adds the state of the control plane, for operators. Any thread. */
void mt_control_dump (struct mt_control *control, json_t *out);

#endif
