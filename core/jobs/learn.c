/* Declared resources are often far from the real usage, so estimates are learned from the reported
 * usage of jobs of the same kind. */
#include "internal.h"

#define MIN_SAMPLES 3
/* Added to the peak because the next run may use more than any run so far. */
#define HEADROOM_PERCENT 5
/* Each smaller sample lowers the peak by a sixteenth of the difference: a kind whose usage shrank
 * is followed after some dozens of runs, and one small run does not undo what a large one
 * taught. */
#define PEAK_DECAY_SHIFT 4

static uint32_t
with_headroom (uint32_t value)
{
  return (uint32_t) MIN ((uint64_t) value * (100 + HEADROOM_PERCENT) / 100, UINT32_MAX);
}

static uint32_t
update_peak (uint32_t peak, uint32_t seen)
{
  return seen >= peak ? seen : peak - ((peak - seen) >> PEAK_DECAY_SHIFT);
}

struct mt_job_resources
mt_job_kind_estimate (const struct mt_job_kind *kind, struct mt_job_resources declared)
{
  struct mt_job_resources resources = declared;

  if (kind->samples < MIN_SAMPLES)
    return resources;
  resources.cpu_milli = with_headroom (kind->peak.cpu_milli);
  resources.memory_mb = with_headroom (kind->peak.memory_mb);
  /* Accelerators are allocated whole: a job that has not used one yet still needs it. */
  return resources;
}

struct mt_job_resources
mt_job_kind_minimum (const struct mt_job_kind *kind, struct mt_job_resources declared)
{
  struct mt_job_resources resources = declared;

  if (kind->samples < MIN_SAMPLES)
    return resources;
  resources.cpu_milli = kind->peak.cpu_milli;
  resources.memory_mb = kind->peak.memory_mb;
  return resources;
}

void
mt_job_kind_record_usage (struct mt_job_kind *kind, struct mt_job_resources usage)
{
  kind->peak.cpu_milli = update_peak (kind->peak.cpu_milli, usage.cpu_milli);
  kind->peak.memory_mb = update_peak (kind->peak.memory_mb, usage.memory_mb);
  kind->samples++;
}
