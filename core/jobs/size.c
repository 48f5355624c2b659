#include "medlartrack/jobs.h"

bool
mt_size_fits (struct mt_size need, struct mt_size room)
{
  return need.cpu_milli <= room.cpu_milli && need.memory_mb <= room.memory_mb
         && need.accelerators <= room.accelerators;
}

struct mt_size
mt_size_add (struct mt_size a, struct mt_size b)
{
  struct mt_size sum
      = { a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb, a.accelerators + b.accelerators };

  return sum;
}

static uint32_t
sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

struct mt_size
mt_size_sub (struct mt_size a, struct mt_size b)
{
  struct mt_size rest = { sub (a.cpu_milli, b.cpu_milli), sub (a.memory_mb, b.memory_mb),
                          sub (a.accelerators, b.accelerators) };

  return rest;
}
