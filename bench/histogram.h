/* A histogram of latencies, in the manner of an HDR histogram, for which Debian has no C library.
 * The width of a bucket is at most 1.6% of its values; the range is 1 us to one hour, in 16 KB. */
#ifndef MT_HISTOGRAM_H
#define MT_HISTOGRAM_H

#include <stdint.h>

#define MT_HISTOGRAM_SUB_BUCKETS 64 /* buckets for each power of two */
#define MT_HISTOGRAM_BUCKETS     (32 * MT_HISTOGRAM_SUB_BUCKETS)

struct mt_histogram
{
  uint64_t counts[MT_HISTOGRAM_BUCKETS];
  uint64_t n;
  int64_t max;
};

void mt_histogram_add (struct mt_histogram *histogram, int64_t value);
/* Adds the counts of other to histogram. */
void mt_histogram_merge (struct mt_histogram *histogram, const struct mt_histogram *other);
/* Returns the upper bound of the bucket that contains the quantile, or 0 if the histogram is empty.
 */
int64_t mt_histogram_quantile (const struct mt_histogram *histogram, double q);

#endif
