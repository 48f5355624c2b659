/* Token bucket that limits calls per second. Not thread-safe: the owner holds a lock around every
 * call. */
#ifndef MEDLARTRACK_PACE_H
#define MEDLARTRACK_PACE_H

#include "medlartrack/clock.h"

#include <stdbool.h>

struct mt_token_bucket
{
  int64_t interval_us; /* time per token */
  unsigned burst;      /* most calls that may be made at once after a pause */
  int64_t full_us;     /* when the bucket will be full again; 0 initially */
};

/* Takes a token if one is available; returns false otherwise. */
bool mt_token_bucket_take (struct mt_token_bucket *pace, int64_t now_us);
/* Returns the time of the next token; it is not later than now_us if one is available. */
int64_t mt_token_bucket_next_token_us (const struct mt_token_bucket *pace, int64_t now_us);

#endif
