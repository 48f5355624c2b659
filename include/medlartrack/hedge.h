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

struct mt_hedge_counts
{
  uint64_t sent;
  uint64_t answered_first; /* calls whose second copy was answered before the first */
  uint64_t denied;         /* for lack of budget */
};

/* How one copy of a call ended. */
enum mt_hedge_end
{
  MT_HEDGE_DEFINITE, /* answered, with the outcome of the call */
  MT_HEDGE_REFUSED,  /* this copy was not carried out and will not be */
  MT_HEDGE_UNKNOWN,  /* not answered: it may be carried out, also later */
};

/* The copies of one call; starts zeroed. */
struct mt_hedged_call
{
  unsigned in_flight; /* copies sent and not ended */
  bool any_unknown;
  bool completed;
};

/* Free the result with mt_hedge_destroy. */
struct mt_hedge *mt_hedge_create (const struct mt_hedge_settings *settings);
void mt_hedge_destroy (struct mt_hedge *hedge);

/* Records the time to the answer of a call, which adds to the budget. */
void mt_hedge_record (struct mt_hedge *hedge, int64_t took_ms);
/* Returns the delay after which a call without an answer is hedged. */
int64_t mt_hedge_delay_ms (const struct mt_hedge *hedge);
/* Returns the wait after which a connection counts as unresponsive if other connections to the same
 * server are answered; 0 while the server is slow for all callers. */
int64_t mt_hedge_unresponsive_ms (const struct mt_hedge *hedge);
/* Takes one hedged call from the budget. Returns false if the budget is used up, or if no call has
 * been answered for the maximal delay since a call was hedged. */
bool mt_hedge_take (struct mt_hedge *hedge, int64_t now);
/* Counts a call whose second copy was answered first. */
void mt_hedge_count_answered_first (struct mt_hedge *hedge);
struct mt_hedge_counts mt_hedge_counts (const struct mt_hedge *hedge);

void mt_hedged_call_send_copy (struct mt_hedged_call *call);
/* Ends one copy. Returns true if this completes the call, with its outcome in *outcome: the first
 * definite answer; without one, once all copies have ended, MT_HEDGE_UNKNOWN if a copy may have
 * been carried out. */
bool mt_hedged_call_end_copy (struct mt_hedged_call *call,
                              enum mt_hedge_end end,
                              enum mt_hedge_end *outcome);

#endif
