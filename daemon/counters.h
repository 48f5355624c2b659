/* The daemon's own counters: named, monotonic, updated without a lock. */
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
  MT_COUNTER_REFUSED_QUEUE,   /* queue full */
  MT_COUNTER_REFUSED_LATE,    /* could not be answered in time */
  MT_COUNTER_REFUSED_BUDGET,  /* retry budget spent */
  MT_COUNTER_MINION_REFUSALS, /* a minion answered that it did not run a request */
  MT_COUNTER_CALLERS_GONE,    /* hung up while waiting for a slot */
  MT_COUNTER_LAST,
};

struct mt_counters
{
  uint64_t values[MT_COUNTER_LAST]; /* atomic */
};

void mt_counters_add (struct mt_counters *counters, enum mt_counter which, uint64_t n);
/* Adds each counter to the object under its name. */
void mt_counters_dump (const struct mt_counters *counters, json_t *out);

#endif
