/* Latencies in buckets whose width grows with the value: 1.6% of it at most, from 1 us to an hour,
 * in a fixed 16 KB. Debian has no HDR histogram library for C; this is its nearest kin. */
#ifndef MT_HISTOGRAM_H
#define MT_HISTOGRAM_H

#include <stdint.h>

#define MT_HISTOGRAM_SUB_BUCKETS 64 /* buckets for each doubling */
#define MT_HISTOGRAM_BUCKETS     (32 * MT_HISTOGRAM_SUB_BUCKETS)

struct mt_histogram
{
  uint64_t counts[MT_HISTOGRAM_BUCKETS];
  uint64_t n;
  int64_t max;
};

void mt_histogram_add (struct mt_histogram *histogram, int64_t value);
/* Adds all of other to it. */
void mt_histogram_merge (struct mt_histogram *histogram, const struct mt_histogram *other);
/* The upper bound of the bucket that holds the quantile; 0 where nothing was added. */
int64_t mt_histogram_quantile (const struct mt_histogram *histogram, double q);

#endif
