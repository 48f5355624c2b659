/* Decides when a call to a service is hedged: sent a second time before the first copy has timed
 * out. The delay follows the recent answer times. A budget keeps a service that is slow for all
 * callers from getting twice the load. Does no I/O. Not thread-safe. Times are milliseconds of a
 * monotonic clock. */
#ifndef MEDLARTRACK_HEDGE_H
#define MEDLARTRACK_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

struct mt_hedge;

struct mt_hedge_settings
{
  double quantile_factor; /* the delay is this multiple of the 95th percentile of answer times */
  int64_t min_delay_ms;
  int64_t max_delay_ms;
  double budget_share;   /* hedged calls per call, in the long run */
  unsigned budget_burst; /* hedged calls that may be made at once */
};

/* Free the result with mt_hedge_destroy. */
struct mt_hedge *mt_hedge_create (const struct mt_hedge_settings *settings);
void mt_hedge_destroy (struct mt_hedge *hedge);

/* Records the time to the answer of a call, which adds to the budget. */
void mt_hedge_record (struct mt_hedge *hedge, int64_t took_ms);
/* Returns the delay after which a call without an answer is hedged. */
int64_t mt_hedge_delay_ms (const struct mt_hedge *hedge);
/* Takes one hedged call from the budget. Returns false if the budget is used up. */
bool mt_hedge_take (struct mt_hedge *hedge, int64_t now);

#endif
