/* A token bucket: how many calls a second may be made. Not thread-safe: the owner holds a lock. */
#ifndef MEDLARTRACK_PACE_H
#define MEDLARTRACK_PACE_H

#include "medlartrack/clock.h"

#include <stdbool.h>

struct mt_token_bucket
{
  int64_t interval_us; /* between two calls in the long run */
  unsigned burst;      /* calls that may be made at once after a pause */
  int64_t full_us;     /* when the bucket would be full again; 0 at first */
};

/* Takes a token if there is one. */
bool mt_token_bucket_take (struct mt_token_bucket *pace, int64_t now_us);
/* When the next token comes; not later than now where there is one. */
int64_t mt_token_bucket_next_token_us (const struct mt_token_bucket *pace, int64_t now_us);

#endif
