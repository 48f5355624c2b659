/* The ways to choose among workers that have room. */
#include "medlartrack/jobs.h"

#define SAME_RACK_COST 0.05 /* of a worker's share, for each job of the kind in the rack */

static double
share_left (uint32_t room, uint32_t need, uint32_t size)
{
  return size > 0 ? (double) (room - need) / size : 0.0;
}

/* Tight fits keep large rooms free, racks are spread within a kind, accelerators are kept for those
 * who need them. */
static double
tight_cost (struct mt_job_resources size,
            struct mt_job_resources room,
            struct mt_job_resources need,
            unsigned beside)
{
  return share_left (room.cpu_milli, need.cpu_milli, size.cpu_milli)
         + share_left (room.memory_mb, need.memory_mb, size.memory_mb)
         + share_left (room.accelerators, need.accelerators, size.accelerators)
         + beside * SAME_RACK_COST;
}

static double
first_cost (struct mt_job_resources size,
            struct mt_job_resources room,
            struct mt_job_resources need,
            unsigned beside)
{
  return 0.0;
}

static const struct mt_placement_policy placements[] = {
  { .name = "tight",
    .description = "tightest fit, racks spread within a kind",
    .cost = tight_cost },
  { .name = "first", .description = "the first worker with room", .cost = first_cost },
  { .name = NULL },
};

const struct mt_placement_policy *
mt_placement_policies (void)
{
  return placements;
}
