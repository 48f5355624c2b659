#include "medlartrack/service_time.h"

#include <glib.h>

/* A single slow request at low load, when samples are few, must not distort the estimate for the
 * next load peak: a sample weighs a sixteenth, and counts as at most four times the mean. */
#define WEIGHT           16
#define CLAMP_FACTOR     4
#define DEVIATION_FACTOR 2

void
mt_service_time_add_sample (struct mt_service_time *service, int64_t sample_us)
{
  int64_t distance;

  if (service->mean_us == 0)
    {
      service->mean_us = MAX (sample_us, 1);
      return;
    }
  distance = MIN (sample_us, service->mean_us * CLAMP_FACTOR) - service->mean_us;
  service->mean_us = MAX (service->mean_us + distance / WEIGHT, 1);
  service->mean_deviation_us += (ABS (distance) - service->mean_deviation_us) / WEIGHT;
}

int64_t
mt_service_time_upper_estimate_us (const struct mt_service_time *service)
{
  return service->mean_us + DEVIATION_FACTOR * service->mean_deviation_us;
}
