#include "once_internal.h"

#include <string.h>

#define ANSWER_FRESH_US (1 * MT_SECOND) /* bounds the reads that repeated requests cause */

static void
settle_taken (struct mt_once *once, struct mt_once_request *ask, const struct mt_held_claim *claim)
{
  ask->status = claim->status;
  if (claim->state == MT_HELD_DONE)
    mt_once_settle (once, ask, MT_ONCE_DONE);
  else if (claim->state == MT_HELD_LOST
           || mt_clock_wall (once->options.clock) / MT_MS > claim->silent_ms)
    mt_once_settle (once, ask, MT_ONCE_LOST);
  else
    mt_once_settle (once, ask, MT_ONCE_RUNNING);
}

static void
release (struct mt_once *once, const struct mt_record *claim)
{
  struct mt_record end = *claim;

  end.kind = MT_RECORD_RELEASE;
  end.extra = 0;
  mt_once_add_end (once, &end);
}

void
mt_once_clear_flight (struct mt_once *once)
{
  mt_batch_clear (&once->flight.batch);
  g_clear_pointer (&once->flight.asks, g_ptr_array_unref);
  once->flight = (struct flight){ 0 };
}

static const struct mt_record *
flight_record (const struct flight *flight, guint i)
{
  return &g_array_index (flight->batch.records, struct mt_record, i);
}

static void
return_ends (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  if (flight->n_ends == 0)
    return;
  if (once->ends->len == 0)
    once->ends_us = mt_clock_now (once->options.clock);
  g_array_prepend_vals (once->ends, flight->batch.records->data, flight->n_ends);
}

/* The batch did not take effect and never will: its asks and ends wait for the next one. */
static void
dissolve_flight (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  return_ends (once);
  for (guint i = flight->asks->len; i > 0; i--)
    if (flight->asks->pdata[i - 1] != NULL)
      g_queue_push_head (&once->asks, flight->asks->pdata[i - 1]);
  mt_once_clear_flight (once);
}

/* The claims are in the log. A claim whose asker gave up was refused as not run: it is released, so
 * that the caller can ask again. */
static void
grant_claims (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  for (guint i = 0; i < flight->asks->len; i++)
    {
      struct mt_once_request *ask = flight->asks->pdata[i];

      if (ask != NULL)
        mt_once_settle (once, ask, MT_ONCE_GRANTED);
      else
        release (once, flight_record (flight, flight->n_ends + i));
    }
}

/* The batch was written, but so long after its number was known to be free that the log may have
 * grown past it and been trimmed meanwhile: a paused writer would create a trimmed number again,
 * which no rival ever reads. Nothing of it counts; the log is read anew, and claims are released in
 * case that the batch did land in the log. */
static void
refuse_claims (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  return_ends (once);
  for (guint i = 0; i < flight->asks->len; i++)
    {
      struct mt_once_request *ask = flight->asks->pdata[i];

      if (ask != NULL)
        mt_once_settle (once, ask, MT_ONCE_UNAVAILABLE);
      release (once, flight_record (flight, flight->n_ends + i));
    }
  mt_once_unload (once);
}

static void
land_flight (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  if (mt_once_is_fresh (once, flight->fresh_us, MT_ONCE_MAX_VIEW_AGE_US))
    {
      mt_once_apply (once, &flight->batch, flight->seq);
      /* Nobody creates a number without having seen the one before: when the first write began, the
       * number after it did not exist. */
      once->fresh_us = MAX (once->fresh_us, flight->begun_us);
      grant_claims (once);
    }
  else
    refuse_claims (once);
  mt_once_clear_flight (once);
}

/* What the batch under construction says of a key, ends before claims. */
static const struct mt_record *
find_in_batch (GHashTable *overlay, const uint64_t key[2])
{
  return g_hash_table_lookup (overlay, key);
}

enum verdict
{
  VERDICT_CLAIM,
  VERDICT_WAIT, /* another ask of this batch claims the key */
  VERDICT_TAKEN,
  VERDICT_LATE, /* nobody waits for it any more */
  VERDICT_LOOK, /* taken when last looked, and perhaps released since */
};

/* Whether the view tells how things stood after the ask, or nearly: "running" and "lost" are not
 * told from an old view, since the holder may have released the key long ago. */
static bool
is_answerable (const struct mt_once *once, const struct mt_once_request *ask)
{
  return once->fresh_us >= ask->requested_us
         || mt_once_is_fresh (once, once->fresh_us, ANSWER_FRESH_US);
}

static enum verdict
judge (struct mt_once *once, GHashTable *overlay, const struct mt_once_request *ask)
{
  const struct mt_held_claim *claim = mt_held_find (once->held, ask->key);
  const struct mt_record *record = find_in_batch (overlay, ask->key);

  if (mt_held_is_released (once->held, ask->attempt)
      || (ask->claim_deadline_us != 0
          && ask->claim_deadline_us < mt_clock_now (once->options.clock)))
    return VERDICT_LATE;
  if (record != NULL && record->kind == MT_RECORD_CLAIM)
    return VERDICT_WAIT;
  if (claim == NULL)
    return VERDICT_CLAIM;
  if (record != NULL && mt_id_equal (record->attempt, claim->attempt))
    return VERDICT_CLAIM;
  if (claim->state == MT_HELD_CLAIMED && !is_answerable (once, ask))
    return VERDICT_LOOK;
  return VERDICT_TAKEN;
}

static void
plan_ends (struct mt_once *once, struct flight *flight, GHashTable *overlay)
{
  flight->n_ends = MIN (once->ends->len, MT_BATCH_MAX_RECORDS / 2);
  g_array_append_vals (flight->batch.records, once->ends->data, flight->n_ends);
  for (guint i = 0; i < flight->n_ends; i++)
    {
      struct mt_record *end = &g_array_index (once->ends, struct mt_record, i);

      if (end->kind == MT_RECORD_RELEASE)
        g_hash_table_replace (overlay, end->key, end);
    }
}

static struct mt_record *
make_claim (const struct mt_once_request *ask)
{
  struct mt_record *record = g_new0 (struct mt_record, 1);

  memcpy (record->key, ask->key, sizeof record->key);
  memcpy (record->attempt, ask->attempt, sizeof record->attempt);
  record->kind = MT_RECORD_CLAIM;
  record->extra = ask->holder_timeout_ms;
  return record;
}

/* Settles what the view can settle, and collects the rest. */
static void
plan_claims (struct mt_once *once, struct flight *flight, GHashTable *overlay)
{
  g_autoptr (GPtrArray) made = g_ptr_array_new_with_free_func (g_free);
  GList *at = once->asks.head;

  once->look = false;
  while (at != NULL && flight->batch.records->len < MT_BATCH_MAX_RECORDS)
    {
      GList *link = at;
      struct mt_once_request *ask = link->data;
      enum verdict verdict = judge (once, overlay, ask);
      struct mt_record *record;

      at = at->next;
      if (verdict == VERDICT_TAKEN)
        {
          g_queue_delete_link (&once->asks, link);
          settle_taken (once, ask, mt_held_find (once->held, ask->key));
        }
      else if (verdict == VERDICT_LOOK)
        once->look = true;
      else if (verdict == VERDICT_LATE
               || (verdict == VERDICT_CLAIM && flight->asks->len >= once->room))
        {
          g_queue_delete_link (&once->asks, link);
          mt_once_settle (once, ask, MT_ONCE_UNAVAILABLE);
        }
      else if (verdict == VERDICT_CLAIM)
        {
          record = make_claim (ask);
          g_ptr_array_add (made, record);
          g_hash_table_replace (overlay, record->key, record);
          g_array_append_vals (flight->batch.records, record, 1);
          g_ptr_array_add (flight->asks, ask);
        }
    }
  g_hash_table_remove_all (overlay);
}

void
mt_once_plan (struct mt_once *once, struct flight *flight)
{
  g_autoptr (GHashTable) overlay = g_hash_table_new (mt_id_hash, mt_id_equal);

  mt_batch_init (&flight->batch);
  flight->asks = g_ptr_array_new ();
  plan_ends (once, flight, overlay);
  plan_claims (once, flight, overlay);
}

/* The planned batch becomes the flight: what it holds leaves the queues. */
void
mt_once_launch (struct mt_once *once, struct flight *flight)
{
  g_array_remove_range (once->ends, 0, flight->n_ends);
  if (once->ends->len > 0)
    once->ends_us = mt_clock_now (once->options.clock);
  for (guint i = 0; i < flight->asks->len; i++)
    g_queue_remove (&once->asks, flight->asks->pdata[i]);
  flight->active = true;
  flight->seq = once->next_seq;
  flight->fresh_us = once->fresh_us;
  flight->begun_us = mt_clock_now (once->options.clock);
  flight->batch.id[0] = once->options.writer;
  flight->batch.id[1] = ((uint64_t) once->options.shard << 48) | ++once->next_batch;
  flight->batch.wall_ms = mt_clock_wall (once->options.clock) / MT_MS;
  once->flight = *flight;
}

void
mt_once_absorb_write (struct mt_once *once, const struct mt_once_call *call)
{
  struct flight *flight = &once->flight;

  switch (call->put)
    {
    case MT_STORE_DONE:
      land_flight (once);
      return;
    case MT_STORE_CONFLICT:
      flight->check = true;
      return;
    case MT_STORE_UNKNOWN:
      flight->in_doubt = true;
      flight->check = true;
      mt_once_retry_later (once);
      return;
    case MT_STORE_FAILED:
      break;
    }
  mt_once_retry_later (once);
  if (flight->in_doubt)
    flight->check = true;
  else
    dissolve_flight (once);
}

/* An answer to a write was lost, or the write lost its race: the batch's id tells whose it is.
 * Absence tells nothing of a write in doubt, which may still be on its way: the same batch is
 * written again, so that whichever arrives first counts and the other does nothing. */
void
mt_once_absorb_check (struct mt_once *once, const struct mt_once_call *call)
{
  struct flight *flight = &once->flight;
  uint64_t seq = flight->seq;
  struct mt_batch batch;
  bool ours;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  flight->check = false;
  if (!call->value.found)
    return;
  mt_batch_init (&batch);
  ours = mt_batch_decode ((struct mt_str){ call->value.data, call->value.len }, &batch, NULL)
         && mt_id_equal (batch.id, flight->batch.id);
  mt_batch_clear (&batch);
  if (ours)
    {
      land_flight (once);
      return;
    }
  dissolve_flight (once);
  mt_once_learn (once, &call->value, seq);
}
