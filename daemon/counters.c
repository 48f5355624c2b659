#include "counters.h"

static const char *const names[MT_COUNTER_LAST] = {
  [MT_COUNTER_ASKED] = "asked",
  [MT_COUNTER_WHOLE] = "whole",
  [MT_COUNTER_NOT_RUN] = "not_run",
  [MT_COUNTER_UNKNOWN] = "unknown",
  [MT_COUNTER_DUPLICATE] = "duplicate",
  [MT_COUNTER_RETRIES] = "retries",
  [MT_COUNTER_REFUSED_QUEUE] = "refused_queue_full",
  [MT_COUNTER_REFUSED_LATE] = "refused_too_late",
  [MT_COUNTER_REFUSED_BUDGET] = "refused_retry_budget",
  [MT_COUNTER_MINION_REFUSALS] = "minion_refusals",
  [MT_COUNTER_CALLERS_GONE] = "callers_gone",
};

void
mt_counters_add (struct mt_counters *counters, enum mt_counter which, uint64_t n)
{
  __atomic_add_fetch (&counters->values[which], n, __ATOMIC_RELAXED);
}

void
mt_counters_dump (const struct mt_counters *counters, json_t *out)
{
  for (int i = 0; i < MT_COUNTER_LAST; i++)
    json_object_set_new (
        out, names[i],
        json_integer ((json_int_t) __atomic_load_n (&counters->values[i], __ATOMIC_RELAXED)));
}
