/* Decides when a caller that was refused during a store outage should retry, and whether a
 * submission may wait for the store instead. Does no I/O. Not thread-safe. Times are milliseconds
 * of a monotonic clock. */
#ifndef MEDLARTRACK_RETRY_PLAN_H
#define MEDLARTRACK_RETRY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

struct mt_retry_plan;

enum mt_store_failure
{
  MT_STORE_REFUSES,   /* answers that nothing was done */
  MT_STORE_RESETS,    /* connections are refused or reset */
  MT_STORE_NO_ANSWER, /* calls time out */
};

struct mt_retry_settings
{
  double writes_per_s;  /* submissions that this daemon may store per second after an outage */
  unsigned max_retries; /* retries of a caller after which it gives up */
  unsigned max_waiting; /* submissions that may wait for the store at a time */
  int64_t max_wait_ms;  /* longest wait of one submission */
};

/* A submission that can't be stored now. */
struct mt_retry_request
{
  int64_t remaining_ms; /* time for which the caller waits for this answer */
  int64_t useful_ms;    /* time for which a result would still be of use; 0: unknown */
  int priority;         /* of its route; 0 is first */
};

/* Free the result with mt_retry_plan_destroy. */
struct mt_retry_plan *mt_retry_plan_create (const struct mt_retry_settings *settings);
void mt_retry_plan_destroy (struct mt_retry_plan *plan);

/* To be called when the store has ceased to answer this daemon, or the kind of failure has changed.
 * everywhere: no daemon reaches the store. */
void mt_retry_plan_store_away (struct mt_retry_plan *plan,
                               enum mt_store_failure failure,
                               bool everywhere,
                               int64_t now);
void mt_retry_plan_store_back (struct mt_retry_plan *plan, int64_t now);
/* Returns how long the present outage is expected to last from now; 0 if there is none. */
int64_t mt_retry_plan_remaining_ms (const struct mt_retry_plan *plan, int64_t now);
/* Returns whether the submission may wait for the store. waiting: submissions that wait already. */
bool mt_retry_plan_may_wait (const struct mt_retry_plan *plan,
                             const struct mt_retry_request *request,
                             unsigned waiting,
                             int64_t now);
/* Returns the Retry-After value of a refusal in whole seconds, at least 1, and counts the caller.
 * draw: random, 0 to 1. */
unsigned mt_retry_plan_retry_after_s (struct mt_retry_plan *plan,
                                      const struct mt_retry_request *request,
                                      double draw,
                                      int64_t now);

#endif
