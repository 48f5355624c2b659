/* Simulates one data centre under a deployment's load and one policy, on a manual clock. The
 * planner is that of the core; the platform, the daemons and the minions are simple models. */
#ifndef MT_MEASURE_SIM_H
#define MT_MEASURE_SIM_H

#include "fleet.h"
#include "medlartrack/capacity.h"

/* Totals of all data centres. */
struct sim_result
{
  double instance_s;        /* total time of all instances */
  double buffer_instance_s; /* the part of it held idle as a buffer */
  GArray *table_s;          /* of double: time until the last daemon has an edit of the tables */
  GArray *wave_s;           /* of double: duration of the wave of each data centre */
  GArray *wave_bound_s;     /* of double: shortest duration that the budget allowed */
  guint64 moves;
  guint64 asked;
  guint64 answered;
  guint64 refused;
  guint64 late;
  guint64 unknown; /* in flight on an instance that failed */
  /* Number of violations of each guarantee. */
  guint64 broken_one_pool;
  guint64 broken_at_most_once;
  guint64 broken_budget;
  guint64 broken_graceful; /* requests in flight on an instance that a plan rebooted */
};

void sim_result_init (struct sim_result *result);
void sim_result_clear (struct sim_result *result);
/* Simulates data centre number `zone` and adds its figures to the result. */
void sim_run (const struct fleet_deployment *deployment,
              unsigned zone,
              uint32_t seed,
              const struct mt_capacity_policy *policy,
              struct sim_result *result);

#endif
