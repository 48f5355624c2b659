/* The daemon's own counters: named, only growing, summed without a lock. */
#ifndef MT_COUNTERS_H
#define MT_COUNTERS_H

#include <jansson.h>
#include <stdint.h>

enum mt_counter
{
  MT_COUNTER_ASKED,
  MT_COUNTER_WHOLE,
  MT_COUNTER_NOT_RUN,
  MT_COUNTER_UNKNOWN,
  MT_COUNTER_DUPLICATE,
  MT_COUNTER_RETRIES,
  MT_COUNTER_LAST,
};

struct mt_counters
{
  uint64_t values[MT_COUNTER_LAST]; /* atomic */
};

void mt_counters_add (struct mt_counters *counters, enum mt_counter which, uint64_t n);
void mt_counters_dump (const struct mt_counters *counters, json_t *out);

#endif
