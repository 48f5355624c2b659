/* The jobs scenario of medlartrack-measure: runs the scheduler of core/jobs under a fleet's load,
 * with a manual clock and a simple model of the workers. Deterministic for a given seed, except for
 * the cost. */
#ifndef MT_JOBS_SCENARIO_H
#define MT_JOBS_SCENARIO_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct mt_jobs_scenario
{
  uint32_t seed;
  unsigned workers;
  unsigned teams;
  unsigned pools;
  unsigned seconds; /* of simulated time */
  bool cost;        /* also reports processor time and memory, which differ between runs */
};

/* Returns {"policies": {NAME: {...}}, "bound": {...}}, owned by the caller. */
json_t *mt_jobs_scenario_run (const struct mt_jobs_scenario *scenario);

#endif
