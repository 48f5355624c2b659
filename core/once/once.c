#include "once_internal.h"

#include <string.h>

#define RETRY_DELAY_US   (100 * MT_MS)
#define MAX_END_DELAY_US (500 * MT_MS) /* how long an end waits for claims to join its batch */
#define REFRESH_AGE_US   (MT_ONCE_MAX_VIEW_AGE_US / 2) /* leaves the other half for the write */

void
mt_once_settle (struct mt_once *once, struct mt_once_request *request, enum mt_once_result result)
{
  request->result = result;
  if (once->options.settled != NULL)
    once->options.settled (once->options.ctx, request);
}

void
mt_once_retry_later (struct mt_once *once)
{
  once->retry_us = mt_clock_now (once->options.clock) + RETRY_DELAY_US;
}

static void
format_batch_key (const struct mt_once *once, uint64_t seq, char *key)
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
      format_batch_key (once, once->next_seq, call->key);
      break;
    case MT_ONCE_CALL_WRITE:
      call->data = mt_batch_encode (&once->in_flight.batch, &call->len);
      format_batch_key (once, once->in_flight.seq, call->key);
      break;
    case MT_ONCE_CALL_READ_BATCH:
      format_batch_key (once, once->in_flight.seq, call->key);
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
next_call_in_flight (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  if (once->in_flight.read_back)
    return mt_once_start_call (once, call, MT_ONCE_CALL_READ_BATCH);
  return mt_once_take_token (once, wake_us) && mt_once_start_call (once, call, MT_ONCE_CALL_WRITE);
}

/* Returns whether recorded ends have to be written now, without waiting for a claim to be written
 * with them; else lowers *wake_us to that time. */
static bool
must_write_ends (struct mt_once *once, int64_t *wake_us)
{
  int64_t due = once->ends_since_us + MAX_END_DELAY_US;

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
  struct in_flight in_flight = { 0 };

  mt_once_plan_batch (once, &in_flight);
  if ((in_flight.requests->len > 0 || must_write_ends (once, wake_us))
      && mt_once_take_token (once, wake_us))
    {
      mt_once_start_write (once, &in_flight);
      return mt_once_start_call (once, call, MT_ONCE_CALL_WRITE);
    }
  mt_batch_clear (&in_flight.batch);
  g_ptr_array_unref (in_flight.requests);
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
  if (once->in_flight.active)
    return next_call_in_flight (once, call, wake_us);
  if (g_queue_is_empty (&once->requests) && !must_write_ends (once, wake_us))
    return mt_once_next_trim (once, call, wake_us);
  if (!once->loaded)
    return mt_once_start_call (once, call, MT_ONCE_CALL_LIST);
  if (once->probed_us != 0)
    return mt_once_start_call (once, call, MT_ONCE_CALL_READ_FLOOR);
  if (!mt_once_is_recent (once, once->view_confirmed_us, REFRESH_AGE_US))
    return mt_once_start_call (once, call, MT_ONCE_CALL_PROBE);
  if (next_write (once, call, wake_us))
    return true;
  if (once->needs_refresh)
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
      mt_once_handle_list (once, call);
      break;
    case MT_ONCE_CALL_PROBE:
      mt_once_handle_probe (once, call);
      break;
    case MT_ONCE_CALL_READ_FLOOR:
      mt_once_handle_floor (once, call);
      break;
    case MT_ONCE_CALL_WRITE:
      mt_once_handle_write (once, call);
      break;
    case MT_ONCE_CALL_READ_BATCH:
      mt_once_handle_read_batch (once, call);
      break;
    case MT_ONCE_CALL_RAISE_FLOOR:
      mt_once_handle_raise_floor (once, call);
      break;
    case MT_ONCE_CALL_TRIM:
      mt_once_handle_trim (once, call);
      break;
    }
  g_free (call->data);
  mt_store_value_clear (&call->value);
  g_clear_pointer (&call->list, g_ptr_array_unref);
}

void
mt_once_request (struct mt_once *once, struct mt_once_request *request)
{
  request->result = MT_ONCE_PENDING;
  request->status = 0;
  request->requested_us = mt_clock_now (once->options.clock);
  g_queue_push_tail (&once->requests, request);
}

void
mt_once_cancel (struct mt_once *once, struct mt_once_request *request)
{
  guint i;

  if (request->result != MT_ONCE_PENDING)
    return;
  request->result = MT_ONCE_UNAVAILABLE;
  if (g_queue_remove (&once->requests, request) || !once->in_flight.active)
    return;
  if (g_ptr_array_find (once->in_flight.requests, request, &i))
    once->in_flight.requests->pdata[i] = NULL;
}

void
mt_once_refuse_all (struct mt_once *once)
{
  struct mt_once_request *request;

  while ((request = g_queue_pop_head (&once->requests)) != NULL)
    mt_once_settle (once, request, MT_ONCE_UNAVAILABLE);
  for (guint i = 0; once->in_flight.active && i < once->in_flight.requests->len; i++)
    {
      request = once->in_flight.requests->pdata[i];
      once->in_flight.requests->pdata[i] = NULL;
      if (request != NULL)
        mt_once_settle (once, request, MT_ONCE_UNAVAILABLE);
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
    once->ends_since_us = mt_clock_now (once->options.clock);
  g_array_append_vals (once->ends, end, 1);
}

void
mt_once_set_free_capacity (struct mt_once *once, unsigned free_capacity)
{
  once->free_capacity = free_capacity;
}

unsigned
mt_once_claim_count (const struct mt_once *once)
{
  return mt_claim_table_count (once->claims);
}

bool
mt_once_has_work (const struct mt_once *once)
{
  return once->in_flight.active || once->ends->len > 0 || once->requests.length > 0;
}

const char *
mt_once_read_error (const struct mt_once *once)
{
  return once->read_error;
}

struct mt_once *
mt_once_create (const struct mt_once_options *options)
{
  struct mt_once *once = g_new0 (struct mt_once, 1);

  once->options = *options;
  once->free_capacity = UINT_MAX;
  g_snprintf (once->prefix, sizeof once->prefix, MT_ONCE_PREFIX "%03u/", options->shard);
  once->ends = g_array_new (FALSE, FALSE, sizeof (struct mt_record));
  once->claims = mt_claim_table_create ();
  return once;
}

void
mt_once_destroy (struct mt_once *once)
{
  if (once == NULL)
    return;
  mt_once_discard_view (once);
  if (once->in_flight.active)
    mt_once_clear_in_flight (once);
  g_queue_clear (&once->requests);
  g_array_unref (once->ends);
  mt_claim_table_destroy (once->claims);
  g_free (once->read_error);
  g_free (once);
}
