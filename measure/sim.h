/* One data centre driven through a deployment's load by one policy, on a paused clock: the core's
 * planner decides, small fakes stand for the platform, the daemons and the minions. */
#ifndef MT_MEASURE_SIM_H
#define MT_MEASURE_SIM_H

#include "fleet.h"
#include "medlartrack/capacity.h"

/* Sums over data centres. */
struct sim_result
{
  double instance_s;        /* all instances' time */
  double buffer_instance_s; /* of it, idle and held */
  GArray *table_s;          /* double: each edit's time to the last daemon */
  GArray *wave_s;           /* double: each data centre's wave, to its end */
  GArray *wave_bound_s;     /* double: what the budget allows at best, by hindsight */
  guint64 moves;
  guint64 asked;
  guint64 answered;
  guint64 refused;
  guint64 late;
  guint64 unknown; /* at work on an instance that failed */
  guint64 broken_one_pool;
  guint64 broken_at_most_once;
  guint64 broken_budget;
  guint64 broken_graceful; /* at work on an instance that was rebooted by plan */
};

void sim_result_init (struct sim_result *result);
void sim_result_clear (struct sim_result *result);
/* Adds what happens in data centre number zone to the result. */
void sim_run (const struct fleet_deployment *deployment,
              unsigned zone,
              uint32_t seed,
              const struct mt_capacity_policy *policy,
              struct sim_result *result);

#endif
