#include "histogram.h"

#include <math.h>

#define SUB_BITS 6

static unsigned
find_bucket (int64_t value)
{
  uint64_t v = value > 0 ? (uint64_t) value : 0;
  unsigned shift;
  unsigned i;

  if (v < MT_HISTOGRAM_SUB)
    return (unsigned) v;
  shift = 63U - (unsigned) __builtin_clzll (v) - SUB_BITS;
  i = (shift + 1) * MT_HISTOGRAM_SUB + (unsigned) ((v >> shift) - MT_HISTOGRAM_SUB);
  return i < MT_HISTOGRAM_BUCKETS ? i : MT_HISTOGRAM_BUCKETS - 1;
}

static int64_t
upper_bound (unsigned bucket)
{
  unsigned shift;

  if (bucket < MT_HISTOGRAM_SUB)
    return bucket;
  shift = bucket / MT_HISTOGRAM_SUB - 1;
  return ((int64_t) (bucket % MT_HISTOGRAM_SUB + MT_HISTOGRAM_SUB + 1) << shift) - 1;
}

void
mt_histogram_add (struct mt_histogram *histogram, int64_t value)
{
  histogram->counts[find_bucket (value)]++;
  histogram->n++;
  if (value > histogram->most)
    histogram->most = value;
}

void
mt_histogram_merge (struct mt_histogram *histogram, const struct mt_histogram *other)
{
  for (unsigned i = 0; i < MT_HISTOGRAM_BUCKETS; i++)
    histogram->counts[i] += other->counts[i];
  histogram->n += other->n;
  if (other->most > histogram->most)
    histogram->most = other->most;
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
        return upper_bound (i) < histogram->most ? upper_bound (i) : histogram->most;
    }
  return 0;
}
