#include "once_internal.h"

#include "medlartrack/error.h"

#include <string.h>

#define READ_ERROR_RETRY_DELAY_US (1 * MT_SECOND)

bool
mt_once_is_recent (const struct mt_once *once, int64_t since_us, int64_t within_us)
{
  return mt_clock_now (once->options.clock) - since_us < within_us;
}

void
mt_once_discard_view (struct mt_once *once)
{
  once->loaded = false;
  once->probed_us = 0;
  once->floor_index_valid = false;
  mt_claim_table_clear (once->claims);
  g_queue_clear_full (&once->committed, g_free);
}

/* The log cannot be read: no claim of the shard is granted until it can. */
void
mt_once_set_read_error (struct mt_once *once, const char *why)
{
  g_free (once->read_error);
  once->read_error = g_strdup (why);
  mt_once_discard_view (once);
  once->retry_us = mt_clock_now (once->options.clock) + READ_ERROR_RETRY_DELAY_US;
  mt_once_refuse_all (once);
}

void
mt_once_apply_batch (struct mt_once *once, const struct mt_batch *batch, uint64_t seq)
{
  struct committed_batch *committed = g_new (struct committed_batch, 1);

  committed->seq = seq;
  committed->wall_us = batch->wall_ms * MT_MS;
  committed->seen_us = mt_clock_now (once->options.clock);
  g_queue_push_tail (&once->committed, committed);
  mt_claim_table_apply (once->claims, batch, seq);
  once->next_seq = seq + 1;
  once->probed_us = 0;
}

bool
mt_once_apply_value (struct mt_once *once, const struct mt_store_value *value, uint64_t seq)
{
  g_autoptr (GError) error = NULL;
  struct mt_batch batch;
  bool ok;

  mt_batch_init (&batch);
  ok = mt_batch_decode ((struct mt_str){ value->data, value->len }, &batch, &error);
  if (ok)
    mt_once_apply_batch (once, &batch, seq);
  else
    mt_once_set_read_error (once, error->message);
  mt_batch_clear (&batch);
  return ok;
}

void
mt_once_raise_floor (struct mt_once *once, uint64_t floor)
{
  const struct committed_batch *oldest;

  if (floor <= once->floor)
    return;
  once->floor = floor;
  mt_claim_table_remove_below (once->claims, floor);
  while ((oldest = g_queue_peek_head (&once->committed)) != NULL && oldest->seq < floor)
    g_free (g_queue_pop_head (&once->committed));
}

bool
mt_once_parse_seq (const char *text, uint64_t *out)
{
  unsigned long long value;

  if (strlen (text) != MT_ONCE_SEQ_DIGITS || !mt_str_to_u64 (mt_str_from (text), &value))
    return false;
  *out = value;
  return true;
}

void
mt_once_handle_probe (struct mt_once *once, const struct mt_once_call *call)
{
  if (!call->ok)
    mt_once_retry_later (once);
  else if (call->value.found)
    mt_once_apply_value (once, &call->value, once->next_seq);
  else
    once->probed_us = call->started_us;
}

/* If the next number is absent it may still have been written and trimmed. The floor, read after
 * the probe, shows this: it is raised before any batch is removed. */
void
mt_once_handle_floor (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  if (call->value.found && !mt_once_parse_seq (call->value.data, &floor))
    {
      mt_once_set_read_error (once, "the floor of the claim log is not a number; restore it");
      return;
    }
  if (floor > once->next_seq)
    {
      mt_once_discard_view (once);
      return;
    }
  mt_once_raise_floor (once, floor);
  once->floor_index = call->value.index;
  once->floor_index_valid = true;
  if (once->probed_us != 0)
    once->view_confirmed_us = MAX (once->view_confirmed_us, once->probed_us);
  once->probed_us = 0;
}

static bool
find_listed_floor (struct mt_once *once, const GPtrArray *list, uint64_t *floor, bool *known)
{
  for (guint i = 0; i < list->len; i++)
    {
      const struct mt_store_value *value = list->pdata[i];

      if (strcmp (value->key + strlen (once->prefix), MT_ONCE_FLOOR_NAME) != 0)
        continue;
      *known = true;
      return mt_once_parse_seq (value->data, floor);
    }
  return true;
}

/* Applies the batches from the floor on, whose numbers must have no gap. */
static bool
apply_list (struct mt_once *once, const GPtrArray *list, uint64_t floor, bool floor_known)
{
  bool first = true;

  once->next_seq = floor;
  once->trim_from = floor;
  for (guint i = 0; i < list->len; i++)
    {
      const struct mt_store_value *value = list->pdata[i];
      uint64_t seq;

      if (!mt_once_parse_seq (value->key + strlen (once->prefix), &seq))
        continue;
      if (seq < floor)
        {
          once->trim_from = MIN (once->trim_from, seq / MT_ONCE_BLOCK * MT_ONCE_BLOCK);
          continue;
        }
      if (first && !floor_known)
        once->next_seq = seq;
      first = false;
      if (seq != once->next_seq)
        {
          mt_once_set_read_error (
              once, "the claim log has a gap; the store lost writes, see docs/platform.md");
          return false;
        }
      if (!mt_once_apply_value (once, value, seq))
        return false;
    }
  return true;
}

void
mt_once_handle_list (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;
  bool known = false;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  mt_once_discard_view (once);
  if (!find_listed_floor (once, call->list, &floor, &known))
    {
      mt_once_set_read_error (once, "the floor of the claim log is not a number; restore it");
      return;
    }
  once->floor = floor;
  if (!apply_list (once, call->list, floor, known))
    return;
  once->loaded = true;
  once->view_confirmed_us = call->started_us;
  g_clear_pointer (&once->read_error, g_free);
}
