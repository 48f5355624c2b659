/* Declared sizes are far off: sizes are learned from what jobs of the same kind were seen to use.
 */
#include "internal.h"

#define ENOUGH_SAMPLES 3
/* Room for what the next run may use beyond the largest seen. */
#define HEADROOM_PERCENT 5
/* Each sample forgets a sixteenth of the distance to a smaller peak, so that a kind that shrank is
 * believed after some dozens of runs, and one small run does not undo what a large one taught. */
#define FORGET_SHIFT 4

static uint32_t
with_headroom (uint32_t value)
{
  return (uint32_t) MIN ((uint64_t) value * (100 + HEADROOM_PERCENT) / 100, UINT32_MAX);
}

static uint32_t
learn (uint32_t peak, uint32_t seen)
{
  return seen >= peak ? seen : peak - ((peak - seen) >> FORGET_SHIFT);
}

struct mt_job_resources
mt_job_kind_estimate (const struct mt_job_kind *kind, struct mt_job_resources declared)
{
  struct mt_job_resources size = declared;

  if (kind->samples < ENOUGH_SAMPLES)
    return size;
  size.cpu_milli = with_headroom (kind->peak.cpu_milli);
  size.memory_mb = with_headroom (kind->peak.memory_mb);
  /* Accelerators are given out whole: a job that did not use one yet still needs it. */
  return size;
}

struct mt_job_resources
mt_job_kind_minimum (const struct mt_job_kind *kind, struct mt_job_resources declared)
{
  struct mt_job_resources size = declared;

  if (kind->samples < ENOUGH_SAMPLES)
    return size;
  size.cpu_milli = kind->peak.cpu_milli;
  size.memory_mb = kind->peak.memory_mb;
  return size;
}

void
mt_job_kind_record_usage (struct mt_job_kind *kind, struct mt_job_resources usage)
{
  kind->peak.cpu_milli = learn (kind->peak.cpu_milli, usage.cpu_milli);
  kind->peak.memory_mb = learn (kind->peak.memory_mb, usage.memory_mb);
  kind->samples++;
}
