/* A token bucket: how many calls a second may be made. Not thread-safe: the owner holds a lock. */
#ifndef MEDLARTRACK_PACE_H
#define MEDLARTRACK_PACE_H

#include "medlartrack/clock.h"

#include <stdbool.h>

struct mt_pace
{
  int64_t interval_us; /* between two calls in the long run */
  unsigned burst;      /* calls that may be made at once after a pause */
  int64_t next_us;     /* when the bucket would be full again; 0 at first */
};

/* Takes a token if there is one. */
bool mt_pace_take (struct mt_pace *pace, int64_t now_us);
/* When the next token comes; not later than now where there is one. */
int64_t mt_pace_when (const struct mt_pace *pace, int64_t now_us);

#endif
