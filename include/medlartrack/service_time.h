/* Estimates a pool's service time from completed requests. Initially all zero. Not thread-safe. */
#ifndef MEDLARTRACK_SERVICE_TIME_H
#define MEDLARTRACK_SERVICE_TIME_H

#include <stdint.h>

struct mt_service_time
{
  int64_t mean_us;           /* moving mean; 0 before the first sample */
  int64_t mean_deviation_us; /* moving mean of the absolute distance from mean_us */
};

/* Adds the service time of one request. */
void mt_service_time_add_sample (struct mt_service_time *service, int64_t sample_us);
/* Returns a time within which most requests are served. */
int64_t mt_service_time_upper_estimate_us (const struct mt_service_time *service);

#endif
