/* Policies that choose among the workers with enough free resources. */
#include "medlartrack/jobs.h"

#define SAME_RACK_COST 0.05 /* per job of the kind in the rack; 1.0: one resource all free */

static double
remaining_share (uint32_t available, uint32_t need, uint32_t capacity)
{
  return capacity > 0 ? (double) (available - need) / capacity : 0.0;
}

/* Prefers the tightest fit, which keeps large free capacity together and accelerators for jobs that
 * need them, and spreads jobs of one kind over racks. */
static double
best_fit_cost (struct mt_job_resources capacity,
               struct mt_job_resources available,
               struct mt_job_resources need,
               unsigned same_rack)
{
  return remaining_share (available.cpu_milli, need.cpu_milli, capacity.cpu_milli)
         + remaining_share (available.memory_mb, need.memory_mb, capacity.memory_mb)
         + remaining_share (available.accelerators, need.accelerators, capacity.accelerators)
         + same_rack * SAME_RACK_COST;
}

static double
first_fit_cost (struct mt_job_resources capacity,
                struct mt_job_resources available,
                struct mt_job_resources need,
                unsigned same_rack)
{
  return 0.0;
}

static const struct mt_placement_policy placements[] = {
  { .name = "tight",
    .description = "tightest fit, jobs of one kind spread over racks",
    .cost = best_fit_cost },
  { .name = "first",
    .description = "first worker with enough free resources",
    .cost = first_fit_cost },
  { .name = NULL },
};

const struct mt_placement_policy *
mt_placement_policies (void)
{
  return placements;
}
