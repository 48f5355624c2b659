#include "once_internal.h"

#include <string.h>

#define RETRY_US     (100 * MT_MS)
#define END_DELAY_US (500 * MT_MS) /* an end waits so long for a claim's batch to ride in */
#define REFRESH_US   (MT_ONCE_MAX_VIEW_AGE_US / 2) /* leaves the other half for the write */

void
mt_once_settle (struct mt_once *once, struct mt_once_request *ask, enum mt_once_result result)
{
  ask->result = result;
  if (once->options.settled != NULL)
    once->options.settled (once->options.ctx, ask);
}

void
mt_once_retry_later (struct mt_once *once)
{
  once->retry_us = mt_clock_now (once->options.clock) + RETRY_US;
}

static void
name_seq (const struct mt_once *once, uint64_t seq, char *key)
{
  g_snprintf (key, MT_ONCE_KEY_BYTES, "%s%0*" G_GUINT64_FORMAT, once->prefix, MT_ONCE_SEQ_DIGITS,
              seq);
}

bool
mt_once_start_call (struct mt_once *once, struct mt_once_call *call, enum mt_once_call_kind kind)
{
  *call = (struct mt_once_call){ .kind = kind };
  call->started_us = mt_clock_now (once->options.clock);
  switch (kind)
    {
    case MT_ONCE_CALL_LIST:
      g_strlcpy (call->key, once->prefix, sizeof call->key);
      break;
    case MT_ONCE_CALL_PROBE:
      name_seq (once, once->next_seq, call->key);
      break;
    case MT_ONCE_CALL_WRITE:
      call->data = mt_batch_encode (&once->flight.batch, &call->len);
      name_seq (once, once->flight.seq, call->key);
      break;
    case MT_ONCE_CALL_READ_BATCH:
      name_seq (once, once->flight.seq, call->key);
      break;
    case MT_ONCE_CALL_READ_FLOOR:
    case MT_ONCE_CALL_RAISE_FLOOR:
      g_snprintf (call->key, sizeof call->key, "%s%s", once->prefix, MT_ONCE_FLOOR_NAME);
      break;
    case MT_ONCE_CALL_TRIM:
      g_snprintf (call->key, sizeof call->key, "%s%0*" G_GUINT64_FORMAT, once->prefix,
                  MT_ONCE_BLOCK_DIGITS, once->trim_from / MT_ONCE_BLOCK);
      break;
    }
  return true;
}

bool
mt_once_take_token (struct mt_once *once, int64_t *wake_us)
{
  int64_t now = mt_clock_now (once->options.clock);

  if (mt_token_bucket_take (once->options.write_limit, now))
    return true;
  *wake_us = MIN (*wake_us, mt_token_bucket_next_token_us (once->options.write_limit, now));
  return false;
}

static bool
next_of_flight (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  if (once->flight.check)
    return mt_once_start_call (once, call, MT_ONCE_CALL_READ_BATCH);
  return mt_once_take_token (once, wake_us) && mt_once_start_call (once, call, MT_ONCE_CALL_WRITE);
}

static bool
ends_are_due (struct mt_once *once, int64_t *wake_us)
{
  int64_t due = once->ends_us + END_DELAY_US;

  if (once->ends->len == 0)
    return false;
  if (due <= mt_clock_now (once->options.clock))
    return true;
  *wake_us = MIN (*wake_us, due);
  return false;
}

static bool
next_write (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  struct flight flight = { 0 };

  mt_once_plan (once, &flight);
  if ((flight.asks->len > 0 || ends_are_due (once, wake_us)) && mt_once_take_token (once, wake_us))
    {
      mt_once_launch (once, &flight);
      return mt_once_start_call (once, call, MT_ONCE_CALL_WRITE);
    }
  mt_batch_clear (&flight.batch);
  g_ptr_array_unref (flight.asks);
  return false;
}

bool
mt_once_next_call (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  *wake_us = INT64_MAX;
  if (once->retry_us > mt_clock_now (once->options.clock))
    {
      if (mt_once_has_work (once))
        *wake_us = once->retry_us;
      return false;
    }
  if (once->flight.active)
    return next_of_flight (once, call, wake_us);
  if (g_queue_is_empty (&once->asks) && !ends_are_due (once, wake_us))
    return mt_once_next_trim (once, call, wake_us);
  if (!once->loaded)
    return mt_once_start_call (once, call, MT_ONCE_CALL_LIST);
  if (once->probed_us != 0)
    return mt_once_start_call (once, call, MT_ONCE_CALL_READ_FLOOR);
  if (!mt_once_is_fresh (once, once->fresh_us, REFRESH_US))
    return mt_once_start_call (once, call, MT_ONCE_CALL_PROBE);
  if (next_write (once, call, wake_us))
    return true;
  if (once->look)
    return mt_once_start_call (once, call, MT_ONCE_CALL_PROBE);
  return mt_once_next_trim (once, call, wake_us);
}

void
mt_once_perform_call (const struct mt_store *store, struct mt_once_call *call)
{
  struct mt_str data = { call->data, call->len };

  switch (call->kind)
    {
    case MT_ONCE_CALL_LIST:
      call->ok = store->ops->list (store->ctx, call->key, &call->list, NULL);
      break;
    case MT_ONCE_CALL_PROBE:
    case MT_ONCE_CALL_READ_FLOOR:
    case MT_ONCE_CALL_READ_BATCH:
      call->ok = store->ops->get (store->ctx, call->key, &call->value, NULL);
      break;
    case MT_ONCE_CALL_WRITE:
    case MT_ONCE_CALL_RAISE_FLOOR:
      call->put = store->ops->put (store->ctx, call->key, data, call->index, NULL);
      break;
    case MT_ONCE_CALL_TRIM:
      call->put = store->ops->remove (store->ctx, call->key, NULL);
      break;
    }
}

void
mt_once_handle_result (struct mt_once *once, struct mt_once_call *call)
{
  switch (call->kind)
    {
    case MT_ONCE_CALL_LIST:
      mt_once_absorb_list (once, call);
      break;
    case MT_ONCE_CALL_PROBE:
      mt_once_absorb_probe (once, call);
      break;
    case MT_ONCE_CALL_READ_FLOOR:
      mt_once_absorb_floor (once, call);
      break;
    case MT_ONCE_CALL_WRITE:
      mt_once_absorb_write (once, call);
      break;
    case MT_ONCE_CALL_READ_BATCH:
      mt_once_absorb_check (once, call);
      break;
    case MT_ONCE_CALL_RAISE_FLOOR:
      mt_once_absorb_raise (once, call);
      break;
    case MT_ONCE_CALL_TRIM:
      mt_once_absorb_trim (once, call);
      break;
    }
  g_free (call->data);
  mt_store_value_clear (&call->value);
  g_clear_pointer (&call->list, g_ptr_array_unref);
}

void
mt_once_request (struct mt_once *once, struct mt_once_request *ask)
{
  ask->result = MT_ONCE_PENDING;
  ask->status = 0;
  ask->requested_us = mt_clock_now (once->options.clock);
  g_queue_push_tail (&once->asks, ask);
}

void
mt_once_cancel (struct mt_once *once, struct mt_once_request *ask)
{
  guint i;

  if (ask->result != MT_ONCE_PENDING)
    return;
  ask->result = MT_ONCE_UNAVAILABLE;
  if (g_queue_remove (&once->asks, ask) || !once->flight.active)
    return;
  if (g_ptr_array_find (once->flight.asks, ask, &i))
    once->flight.asks->pdata[i] = NULL;
}

void
mt_once_refuse_all (struct mt_once *once)
{
  struct mt_once_request *ask;

  while ((ask = g_queue_pop_head (&once->asks)) != NULL)
    mt_once_settle (once, ask, MT_ONCE_UNAVAILABLE);
  for (guint i = 0; once->flight.active && i < once->flight.asks->len; i++)
    {
      ask = once->flight.asks->pdata[i];
      once->flight.asks->pdata[i] = NULL;
      if (ask != NULL)
        mt_once_settle (once, ask, MT_ONCE_UNAVAILABLE);
    }
}

void
mt_once_end (struct mt_once *once,
             const uint64_t key[2],
             const uint64_t attempt[2],
             enum mt_once_end end,
             int status)
{
  static const uint8_t kinds[] = {
    [MT_ONCE_END_DONE] = MT_RECORD_DONE,
    [MT_ONCE_END_LOST] = MT_RECORD_LOST,
    [MT_ONCE_END_RELEASED] = MT_RECORD_RELEASE,
  };
  struct mt_record record = { .kind = kinds[end], .extra = (uint32_t) status };

  memcpy (record.key, key, sizeof record.key);
  memcpy (record.attempt, attempt, sizeof record.attempt);
  mt_once_add_end (once, &record);
}

void
mt_once_add_end (struct mt_once *once, const struct mt_record *end)
{
  if (once->ends->len == 0)
    once->ends_us = mt_clock_now (once->options.clock);
  g_array_append_vals (once->ends, end, 1);
}

void
mt_once_set_free_capacity (struct mt_once *once, unsigned room)
{
  once->room = room;
}

unsigned
mt_once_claim_count (const struct mt_once *once)
{
  return mt_held_count (once->held);
}

bool
mt_once_has_work (const struct mt_once *once)
{
  return once->flight.active || once->ends->len > 0 || once->asks.length > 0;
}

const char *
mt_once_read_error (const struct mt_once *once)
{
  return once->fault;
}

struct mt_once *
mt_once_create (const struct mt_once_options *options)
{
  struct mt_once *once = g_new0 (struct mt_once, 1);

  once->options = *options;
  once->room = UINT_MAX;
  g_snprintf (once->prefix, sizeof once->prefix, MT_ONCE_PREFIX "%03u/", options->shard);
  once->ends = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  once->held = mt_held_create ();
  return once;
}

void
mt_once_destroy (struct mt_once *once)
{
  if (once == NULL)
    return;
  mt_once_unload (once);
  if (once->flight.active)
    mt_once_clear_flight (once);
  g_queue_clear (&once->asks);
  g_array_unref (once->ends);
  mt_held_destroy (once->held);
  g_free (once->fault);
  g_free (once);
}
