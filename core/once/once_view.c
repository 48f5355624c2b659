#include "once_internal.h"

#include "medlartrack/error.h"

#include <string.h>

#define FAULT_RETRY_US (1 * MT_SECOND)

bool
mt_once_is_fresh (const struct mt_once *once, int64_t since_us, int64_t within_us)
{
  return mt_clock_now (once->options.clock) - since_us < within_us;
}

void
mt_once_unload (struct mt_once *once)
{
  once->loaded = false;
  once->probed_us = 0;
  once->floor_read = false;
  mt_held_forget_all (once->held);
  g_queue_clear_full (&once->landed, g_free);
}

/* The log can't be read: nothing of the shard is granted until it can. */
void
mt_once_set_fault (struct mt_once *once, const char *why)
{
  g_free (once->fault);
  once->fault = g_strdup (why);
  mt_once_unload (once);
  once->retry_us = mt_clock_now (once->options.clock) + FAULT_RETRY_US;
  mt_once_refuse_all (once);
}

void
mt_once_apply (struct mt_once *once, const struct mt_batch *batch, uint64_t seq)
{
  struct landed *landed = g_new (struct landed, 1);

  landed->seq = seq;
  landed->wall_us = batch->wall_ms * MT_MS;
  landed->seen_us = mt_clock_now (once->options.clock);
  g_queue_push_tail (&once->landed, landed);
  mt_held_apply (once->held, batch, seq);
  once->next_seq = seq + 1;
  once->probed_us = 0;
}

bool
mt_once_learn (struct mt_once *once, const struct mt_store_value *value, uint64_t seq)
{
  g_autoptr (GError) error = NULL;
  struct mt_batch batch;
  bool ok;

  mt_batch_init (&batch);
  ok = mt_batch_decode ((struct mt_str){ value->data, value->len }, &batch, &error);
  if (ok)
    mt_once_apply (once, &batch, seq);
  else
    mt_once_set_fault (once, error->message);
  mt_batch_clear (&batch);
  return ok;
}

void
mt_once_raise_floor (struct mt_once *once, uint64_t floor)
{
  const struct landed *oldest;

  if (floor <= once->floor)
    return;
  once->floor = floor;
  mt_held_forget_below (once->held, floor);
  while ((oldest = g_queue_peek_head (&once->landed)) != NULL && oldest->seq < floor)
    g_free (g_queue_pop_head (&once->landed));
}

bool
mt_once_read_seq (const char *text, uint64_t *out)
{
  unsigned long long value;

  if (strlen (text) != MT_ONCE_SEQ_DIGITS || !mt_str_to_u64 (mt_str_from (text), &value))
    return false;
  *out = value;
  return true;
}

void
mt_once_absorb_probe (struct mt_once *once, const struct mt_once_call *call)
{
  if (!call->ok)
    mt_once_retry_later (once);
  else if (call->value.found)
    mt_once_learn (once, &call->value, once->next_seq);
  else
    once->probed_us = call->started_us;
}

/* That the next number is absent proves little: it may have been written and trimmed. The floor,
 * read after it, tells: it is raised before anything is removed. */
void
mt_once_absorb_floor (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  if (call->value.found && !mt_once_read_seq (call->value.data, &floor))
    {
      mt_once_set_fault (once, "the floor of the log of claims is not a number; restore it");
      return;
    }
  if (floor > once->next_seq)
    {
      mt_once_unload (once);
      return;
    }
  mt_once_raise_floor (once, floor);
  once->floor_index = call->value.index;
  once->floor_read = true;
  if (once->probed_us != 0)
    once->fresh_us = MAX (once->fresh_us, once->probed_us);
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
      return mt_once_read_seq (value->data, floor);
    }
  return true;
}

/* Learns the batches from the floor on, which must follow each other without a gap. */
static bool
learn_list (struct mt_once *once, const GPtrArray *list, uint64_t floor, bool floor_known)
{
  bool first = true;

  once->next_seq = floor;
  once->trim_from = floor;
  for (guint i = 0; i < list->len; i++)
    {
      const struct mt_store_value *value = list->pdata[i];
      uint64_t seq;

      if (!mt_once_read_seq (value->key + strlen (once->prefix), &seq))
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
          mt_once_set_fault (
              once, "the log of claims has a gap; the store lost writes, see docs/platform.md");
          return false;
        }
      if (!mt_once_learn (once, value, seq))
        return false;
    }
  return true;
}

void
mt_once_absorb_list (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;
  bool known = false;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  mt_once_unload (once);
  if (!find_listed_floor (once, call->list, &floor, &known))
    {
      mt_once_set_fault (once, "the floor of the log of claims is not a number; restore it");
      return;
    }
  once->floor = floor;
  if (!learn_list (once, call->list, floor, known))
    return;
  once->loaded = true;
  once->fresh_us = call->started_us;
  g_clear_pointer (&once->fault, g_free);
}
