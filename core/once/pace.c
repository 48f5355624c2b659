#include "medlartrack/pace.h"

/* The bucket is kept as one instant: each token taken moves it on by an interval, and there is a
 * token while it lies less than the burst ahead. */
int64_t
mt_token_bucket_next_token_us (const struct mt_token_bucket *pace, int64_t now_us)
{
  int64_t full = pace->full_us > now_us ? pace->full_us : now_us;
  int64_t slack = (int64_t) (pace->burst - 1) * pace->interval_us;

  return full - slack > now_us ? full - slack : now_us;
}

bool
mt_token_bucket_take (struct mt_token_bucket *pace, int64_t now_us)
{
  if (mt_token_bucket_next_token_us (pace, now_us) > now_us)
    return false;
  pace->full_us = (pace->full_us > now_us ? pace->full_us : now_us) + pace->interval_us;
  return true;
}
