#include "medlartrack/pace.h"

/* The bucket is stored as the time at which it will be full: each token taken moves that time on by
 * one interval, and a token is available while it is less than `burst` intervals ahead. */
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
