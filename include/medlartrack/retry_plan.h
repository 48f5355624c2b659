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
  MT_STORE_FAILURES,
};

extern const char *const mt_store_failure_names[];

struct mt_retry_settings
{
  double writes_per_s;       /* submissions that this daemon may store per second after an outage */
  unsigned max_retries;      /* retries of a caller after which it gives up */
  int64_t longest_outage_ms; /* outage that retries must last for; past ones count no longer */
  unsigned max_waiting;      /* submissions that may wait for the store at a time */
  int64_t max_wait_ms;       /* longest wait of one submission */
};

/* A submission that can't be stored now. */
struct mt_retry_request
{
  int64_t remaining_ms; /* time for which the caller waits for this answer */
  int64_t useful_ms;    /* time within which it must be submitted to be of use; 0: unknown */
  int64_t objective_ms; /* of its job; 0: unknown */
  int priority;         /* of its route; 0 is first */
};

/* Free the result with mt_retry_plan_destroy. */
struct mt_retry_plan *mt_retry_plan_create (const struct mt_retry_settings *settings);
void mt_retry_plan_destroy (struct mt_retry_plan *plan);

/* To be called when the store has ceased to answer this daemon, and when the kind of failure or
 * `everywhere` has changed since. everywhere: as far as known no daemon reaches the store. */
void mt_retry_plan_store_away (struct mt_retry_plan *plan,
                               enum mt_store_failure failure,
                               bool everywhere,
                               int64_t now);
void mt_retry_plan_store_back (struct mt_retry_plan *plan, int64_t now);
/* Returns the time since the present outage began; 0 if there is none. */
int64_t mt_retry_plan_away_ms (const struct mt_retry_plan *plan, int64_t now);
/* Returns how long the present outage is expected to last from now; 0 if there is none. */
int64_t mt_retry_plan_remaining_ms (const struct mt_retry_plan *plan, int64_t now);
/* Returns whether the submission may wait for the store. waiting: submissions that wait already. */
bool mt_retry_plan_may_wait (const struct mt_retry_plan *plan,
                             const struct mt_retry_request *request,
                             unsigned waiting,
                             int64_t now);
/* Returns the Retry-After value of a refusal in whole seconds, at least 1, and reserves the
 * caller's place at that time. */
unsigned mt_retry_plan_retry_after_s (struct mt_retry_plan *plan,
                                      const struct mt_retry_request *request,
                                      int64_t now);

#endif
