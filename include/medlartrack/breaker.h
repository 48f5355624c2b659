/* Circuit breaker: a store that stops calling a service known to be down, so that no caller waits
 * for it. It probes the service at jittered times, so that daemons don't return to it all at once.
 * Shared by all users of the store. Any thread. */
#ifndef MEDLARTRACK_BREAKER_H
#define MEDLARTRACK_BREAKER_H

#include "medlartrack/clock.h"
#include "medlartrack/store.h"

struct mt_breaker;

struct mt_breaker_options
{
  const struct mt_clock *clock;
  const struct mt_store *inner; /* must outlive the breaker */
  unsigned failure_threshold;   /* failures in a row that open the breaker */
  int64_t min_pause_us;         /* shortest pause before a probe */
  int64_t max_pause_us;         /* longest pause before a probe */
  uint32_t seed;                /* for the jitter; different on each daemon */
};

/* Calls passed on by kind, calls refused while open, and the number of times it opened. */
struct mt_breaker_counts
{
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t refused;
  uint64_t opened;
};

/* Free the result with mt_breaker_destroy. */
struct mt_breaker *mt_breaker_create (const struct mt_breaker_options *options);
void mt_breaker_destroy (struct mt_breaker *breaker);
/* Returns the store to call instead of the inner one; valid as long as the breaker. While the
 * breaker is open, reads fail with MT_ERROR_UNAVAILABLE and writes return MT_STORE_FAILED, except
 * for one probe after each pause. */
const struct mt_store *mt_breaker_store (struct mt_breaker *breaker);
/* Returns whether the service is known to be down. */
bool mt_breaker_is_open (struct mt_breaker *breaker);
/* Returns the counts since the breaker was created. */
struct mt_breaker_counts mt_breaker_counts (struct mt_breaker *breaker);

#endif
