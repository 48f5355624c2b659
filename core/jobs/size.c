#include "medlartrack/jobs.h"

bool
mt_job_resources_fit (struct mt_job_resources need, struct mt_job_resources room)
{
  return need.cpu_milli <= room.cpu_milli && need.memory_mb <= room.memory_mb
         && need.accelerators <= room.accelerators;
}

struct mt_job_resources
mt_job_resources_add (struct mt_job_resources a, struct mt_job_resources b)
{
  struct mt_job_resources sum
      = { a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb, a.accelerators + b.accelerators };

  return sum;
}

static uint32_t
sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

struct mt_job_resources
mt_job_resources_sub (struct mt_job_resources a, struct mt_job_resources b)
{
  struct mt_job_resources rest = { sub (a.cpu_milli, b.cpu_milli), sub (a.memory_mb, b.memory_mb),
                                   sub (a.accelerators, b.accelerators) };

  return rest;
}
