#include "medlartrack/pace.h"

/* The bucket is kept as one instant: each token taken moves it on by an interval, and there is a
 * token while it lies less than the burst ahead. */
int64_t
mt_pace_when (const struct mt_pace *pace, int64_t now_us)
{
  int64_t full = pace->next_us > now_us ? pace->next_us : now_us;
  int64_t slack = (int64_t) (pace->burst - 1) * pace->interval_us;

  return full - slack > now_us ? full - slack : now_us;
}

bool
mt_pace_take (struct mt_pace *pace, int64_t now_us)
{
  if (mt_pace_when (pace, now_us) > now_us)
    return false;
  pace->next_us = (pace->next_us > now_us ? pace->next_us : now_us) + pace->interval_us;
  return true;
}
