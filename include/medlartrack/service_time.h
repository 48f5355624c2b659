/* Estimates a pool's service time from completed requests. Not thread-safe. */
#ifndef MEDLARTRACK_SERVICE_TIME_H
#define MEDLARTRACK_SERVICE_TIME_H

#include <stdint.h>

struct mt_service_time
{
  int64_t mean_us;           /* moving mean; 0 before the first sample */
  int64_t mean_deviation_us; /* moving mean of the absolute distance from mean_us */
};

void mt_service_time_add_sample (struct mt_service_time *service, int64_t sample_us);
/* Most requests are served within this time. */
int64_t mt_service_time_upper_estimate_us (const struct mt_service_time *service);

#endif
