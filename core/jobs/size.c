#include "medlartrack/jobs.h"

bool
mt_job_resources_fit (struct mt_job_resources need, struct mt_job_resources available)
{
  return need.cpu_milli <= available.cpu_milli && need.memory_mb <= available.memory_mb
         && need.accelerators <= available.accelerators;
}

struct mt_job_resources
mt_job_resources_add (struct mt_job_resources a, struct mt_job_resources b)
{
  struct mt_job_resources sum
      = { a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb, a.accelerators + b.accelerators };

  return sum;
}

static uint32_t
sub_saturating (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

struct mt_job_resources
mt_job_resources_sub (struct mt_job_resources a, struct mt_job_resources b)
{
  struct mt_job_resources rest
      = { sub_saturating (a.cpu_milli, b.cpu_milli), sub_saturating (a.memory_mb, b.memory_mb),
          sub_saturating (a.accelerators, b.accelerators) };

  return rest;
}
