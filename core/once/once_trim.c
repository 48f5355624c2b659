#include "once_internal.h"

#define TRIM_INTERVAL_US    (60 * MT_SECOND)
#define RETENTION_MARGIN_US (4 * MT_ONCE_MAX_CLOCK_SKEW_US) /* see mt_once_date_expired */

/* Returns the floor below which all batches are past their retention by their writers' clocks, and
 * were seen by this process at least two maximum view ages ago: no writer whose view lacks them can
 * still be granted a claim, whatever the wall clocks say. */
static uint64_t
find_floor (const struct mt_once *once)
{
  int64_t now = mt_clock_now (once->options.clock);
  int64_t wall = mt_clock_wall (once->options.clock);
  uint64_t floor = once->floor;

  for (const GList *at = once->committed.head; at != NULL; at = at->next)
    {
      const struct committed_batch *committed = at->data;

      if (committed->wall_us + once->options.retention_us + RETENTION_MARGIN_US > wall
          || committed->seen_us + 2 * MT_ONCE_MAX_VIEW_AGE_US > now)
        break;
      floor = committed->seq + 1;
    }
  return floor / MT_ONCE_BLOCK * MT_ONCE_BLOCK;
}

bool
mt_once_next_trim (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  int64_t now = mt_clock_now (once->options.clock);
  uint64_t floor;

  if (!once->loaded || once->next_trim_us > now)
    return false;
  if (once->trim_from + MT_ONCE_BLOCK <= once->floor)
    return mt_once_take_token (once, wake_us) && mt_once_start_call (once, call, MT_ONCE_CALL_TRIM);
  floor = find_floor (once);
  if (floor <= once->floor)
    {
      once->next_trim_us = now + TRIM_INTERVAL_US;
      return false;
    }
  if (!once->floor_index_valid)
    return mt_once_start_call (once, call, MT_ONCE_CALL_READ_FLOOR);
  if (!mt_once_take_token (once, wake_us))
    return false;
  mt_once_start_call (once, call, MT_ONCE_CALL_RAISE_FLOOR);
  call->data = g_strdup_printf ("%0*" G_GUINT64_FORMAT, MT_ONCE_SEQ_DIGITS, floor);
  call->len = MT_ONCE_SEQ_DIGITS;
  call->index = once->floor_index;
  return true;
}

void
mt_once_handle_raise_floor (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;

  once->floor_index_valid = false;
  if (call->put == MT_STORE_DONE && mt_once_parse_seq (call->data, &floor))
    mt_once_raise_floor (once, floor);
  else
    once->next_trim_us = mt_clock_now (once->options.clock) + TRIM_INTERVAL_US;
}

void
mt_once_handle_trim (struct mt_once *once, const struct mt_once_call *call)
{
  if (call->put == MT_STORE_DONE)
    once->trim_from += MT_ONCE_BLOCK;
  else
    once->next_trim_us = mt_clock_now (once->options.clock) + TRIM_INTERVAL_US;
}
