#include "histogram.h"

#include <math.h>

#define SUB_BUCKET_BITS 6

static unsigned
find_bucket (int64_t value)
{
  uint64_t v = value > 0 ? (uint64_t) value : 0;
  unsigned shift;
  unsigned i;

  if (v < MT_HISTOGRAM_SUB_BUCKETS)
    return (unsigned) v;
  shift = 63U - (unsigned) __builtin_clzll (v) - SUB_BUCKET_BITS;
  i = (shift + 1) * MT_HISTOGRAM_SUB_BUCKETS + (unsigned) ((v >> shift) - MT_HISTOGRAM_SUB_BUCKETS);
  return i < MT_HISTOGRAM_BUCKETS ? i : MT_HISTOGRAM_BUCKETS - 1;
}

static int64_t
bucket_upper_bound (unsigned bucket)
{
  unsigned shift;

  if (bucket < MT_HISTOGRAM_SUB_BUCKETS)
    return bucket;
  shift = bucket / MT_HISTOGRAM_SUB_BUCKETS - 1;
  return ((int64_t) (bucket % MT_HISTOGRAM_SUB_BUCKETS + MT_HISTOGRAM_SUB_BUCKETS + 1) << shift)
         - 1;
}

void
mt_histogram_add (struct mt_histogram *histogram, int64_t value)
{
  histogram->counts[find_bucket (value)]++;
  histogram->n++;
  if (value > histogram->max)
    histogram->max = value;
}

void
mt_histogram_merge (struct mt_histogram *histogram, const struct mt_histogram *other)
{
  for (unsigned i = 0; i < MT_HISTOGRAM_BUCKETS; i++)
    histogram->counts[i] += other->counts[i];
  histogram->n += other->n;
  if (other->max > histogram->max)
    histogram->max = other->max;
}

int64_t
mt_histogram_quantile (const struct mt_histogram *histogram, double q)
{
  uint64_t wanted = (uint64_t) ceil (q * (double) histogram->n);
  uint64_t seen = 0;

  for (unsigned i = 0; i < MT_HISTOGRAM_BUCKETS && histogram->n > 0; i++)
    {
      seen += histogram->counts[i];
      if (seen >= wanted && seen > 0)
        return bucket_upper_bound (i) < histogram->max ? bucket_upper_bound (i) : histogram->max;
    }
  return 0;
}
