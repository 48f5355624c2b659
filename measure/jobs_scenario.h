/* The jobs scenario of medlartrack-measure: the book of core/jobs under a fleet's load, with a
 * paused clock and a few lines in place of the workers. Deterministic from its seed, but for the
 * cost. */
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
  bool cost;        /* adds processor time and memory, which differ from run to run */
};

/* One object: {"policies": {NAME: {...}}, "bound": {...}}. */
json_t *mt_jobs_scenario_run (const struct mt_jobs_scenario *scenario);

#endif
