#include "once_internal.h"

#include <string.h>

#define MAX_ANSWER_VIEW_AGE_US (1 * MT_SECOND) /* bounds the reads that repeated requests cause */

static void
settle_claimed (struct mt_once *once,
                struct mt_once_request *request,
                const struct mt_claim_entry *claim)
{
  request->status = claim->status;
  if (claim->state == MT_CLAIM_STATE_DONE)
    mt_once_settle (once, request, MT_ONCE_DONE);
  else if (claim->state == MT_CLAIM_STATE_LOST
           || mt_clock_wall (once->options.clock) / MT_MS > claim->lost_after_ms)
    mt_once_settle (once, request, MT_ONCE_LOST);
  else
    mt_once_settle (once, request, MT_ONCE_RUNNING);
}

static void
queue_release (struct mt_once *once, const struct mt_record *claim)
{
  struct mt_record end = *claim;

  end.kind = MT_RECORD_RELEASE;
  end.extra = 0;
  mt_once_add_end (once, &end);
}

void
mt_once_clear_in_flight (struct mt_once *once)
{
  mt_batch_clear (&once->in_flight.batch);
  g_clear_pointer (&once->in_flight.requests, g_ptr_array_unref);
  once->in_flight = (struct in_flight){ 0 };
}

static const struct mt_record *
get_record_in_flight (const struct in_flight *in_flight, guint i)
{
  return &g_array_index (in_flight->batch.records, struct mt_record, i);
}

static void
requeue_ends (struct mt_once *once)
{
  struct in_flight *in_flight = &once->in_flight;

  if (in_flight->n_ends == 0)
    return;
  if (once->ends->len == 0)
    once->ends_since_us = mt_clock_now (once->options.clock);
  g_array_prepend_vals (once->ends, in_flight->batch.records->data, in_flight->n_ends);
}

/* The batch was not committed and never will be: its requests and ends return to their queues. */
static void
requeue_in_flight (struct mt_once *once)
{
  struct in_flight *in_flight = &once->in_flight;

  requeue_ends (once);
  for (guint i = in_flight->requests->len; i > 0; i--)
    if (in_flight->requests->pdata[i - 1] != NULL)
      g_queue_push_head (&once->requests, in_flight->requests->pdata[i - 1]);
  mt_once_clear_in_flight (once);
}

/* The claims are committed. A claim whose request was cancelled was refused as not run: it is
 * released, so that the caller can retry. */
static void
grant_claims (struct mt_once *once)
{
  struct in_flight *in_flight = &once->in_flight;

  for (guint i = 0; i < in_flight->requests->len; i++)
    {
      struct mt_once_request *request = in_flight->requests->pdata[i];

      if (request != NULL)
        mt_once_settle (once, request, MT_ONCE_GRANTED);
      else
        queue_release (once, get_record_in_flight (in_flight, in_flight->n_ends + i));
    }
}

/* The batch was written, but so long after its number was known to be free that the log may have
 * grown past that number and been trimmed meanwhile: a paused writer would create a trimmed number
 * again, which no other writer ever reads. The batch does not count: the log is read again, and the
 * claims are released in case the batch is in the log after all. */
static void
discard_claims (struct mt_once *once)
{
  struct in_flight *in_flight = &once->in_flight;

  requeue_ends (once);
  for (guint i = 0; i < in_flight->requests->len; i++)
    {
      struct mt_once_request *request = in_flight->requests->pdata[i];

      if (request != NULL)
        mt_once_settle (once, request, MT_ONCE_UNAVAILABLE);
      queue_release (once, get_record_in_flight (in_flight, in_flight->n_ends + i));
    }
  mt_once_discard_view (once);
}

static void
complete_in_flight (struct mt_once *once)
{
  struct in_flight *in_flight = &once->in_flight;

  if (mt_once_is_recent (once, in_flight->seq_free_us, MT_ONCE_MAX_VIEW_AGE_US))
    {
      mt_once_apply_batch (once, &in_flight->batch, in_flight->seq);
      /* A writer creates a number only after it has seen the previous one: when the first write
       * began, the number after this batch did not exist. */
      once->view_confirmed_us = MAX (once->view_confirmed_us, in_flight->started_us);
      grant_claims (once);
    }
  else
    discard_claims (once);
  mt_once_clear_in_flight (once);
}

/* The claim of a key in the batch under construction, or else its release. */
static const struct mt_record *
find_in_batch (GHashTable *records_by_key, const uint64_t key[2])
{
  return g_hash_table_lookup (records_by_key, key);
}

enum verdict
{
  VERDICT_CLAIM,
  VERDICT_WAIT, /* another request in this batch claims the key */
  VERDICT_TAKEN,
  VERDICT_EXPIRED,      /* released already, or past its deadline */
  VERDICT_REFRESH_VIEW, /* claimed in the view, but perhaps released since */
};

/* Returns whether the view is more recent than the request, or nearly so. RUNNING and LOST are not
 * reported from an older view, since the holder may have released the key long ago. */
static bool
is_answerable (const struct mt_once *once, const struct mt_once_request *request)
{
  return once->view_confirmed_us >= request->requested_us
         || mt_once_is_recent (once, once->view_confirmed_us, MAX_ANSWER_VIEW_AGE_US);
}

static enum verdict
judge_request (struct mt_once *once,
               GHashTable *records_by_key,
               const struct mt_once_request *request)
{
  const struct mt_claim_entry *claim = mt_claim_table_find (once->claims, request->key);
  const struct mt_record *record = find_in_batch (records_by_key, request->key);

  if (mt_claim_table_has_released (once->claims, request->attempt)
      || (request->claim_deadline_us != 0
          && request->claim_deadline_us < mt_clock_now (once->options.clock)))
    return VERDICT_EXPIRED;
  if (record != NULL && record->kind == MT_RECORD_CLAIM)
    return VERDICT_WAIT;
  if (claim == NULL)
    return VERDICT_CLAIM;
  if (record != NULL && mt_id_equal (record->attempt, claim->attempt))
    return VERDICT_CLAIM;
  if (claim->state == MT_CLAIM_STATE_ACTIVE && !is_answerable (once, request))
    return VERDICT_REFRESH_VIEW;
  return VERDICT_TAKEN;
}

static void
add_ends (struct mt_once *once, struct in_flight *in_flight, GHashTable *records_by_key)
{
  in_flight->n_ends = MIN (once->ends->len, MT_BATCH_MAX_RECORDS / 2);
  g_array_append_vals (in_flight->batch.records, once->ends->data, in_flight->n_ends);
  for (guint i = 0; i < in_flight->n_ends; i++)
    {
      struct mt_record *end = &g_array_index (once->ends, struct mt_record, i);

      if (end->kind == MT_RECORD_RELEASE)
        g_hash_table_replace (records_by_key, end->key, end);
    }
}

static struct mt_record *
make_claim (const struct mt_once_request *request)
{
  struct mt_record *record = g_new0 (struct mt_record, 1);

  memcpy (record->key, request->key, sizeof record->key);
  memcpy (record->attempt, request->attempt, sizeof record->attempt);
  record->kind = MT_RECORD_CLAIM;
  record->extra = request->holder_timeout_ms;
  return record;
}

/* Settles the requests that the view can answer and adds a claim for each of the others. */
static void
add_claims (struct mt_once *once, struct in_flight *in_flight, GHashTable *records_by_key)
{
  g_autoptr (GPtrArray) claims = g_ptr_array_new_with_free_func (g_free);
  GList *at = once->requests.head;

  once->needs_refresh = false;
  while (at != NULL && in_flight->batch.records->len < MT_BATCH_MAX_RECORDS)
    {
      GList *link = at;
      struct mt_once_request *request = link->data;
      enum verdict verdict = judge_request (once, records_by_key, request);
      struct mt_record *record;

      at = at->next;
      if (verdict == VERDICT_TAKEN)
        {
          g_queue_delete_link (&once->requests, link);
          settle_claimed (once, request, mt_claim_table_find (once->claims, request->key));
        }
      else if (verdict == VERDICT_REFRESH_VIEW)
        once->needs_refresh = true;
      else if (verdict == VERDICT_EXPIRED
               || (verdict == VERDICT_CLAIM && in_flight->requests->len >= once->free_capacity))
        {
          g_queue_delete_link (&once->requests, link);
          mt_once_settle (once, request, MT_ONCE_UNAVAILABLE);
        }
      else if (verdict == VERDICT_CLAIM)
        {
          record = make_claim (request);
          g_ptr_array_add (claims, record);
          g_hash_table_replace (records_by_key, record->key, record);
          g_array_append_vals (in_flight->batch.records, record, 1);
          g_ptr_array_add (in_flight->requests, request);
        }
    }
  g_hash_table_remove_all (records_by_key);
}

void
mt_once_plan_batch (struct mt_once *once, struct in_flight *in_flight)
{
  g_autoptr (GHashTable) records_by_key = g_hash_table_new (mt_id_hash, mt_id_equal);

  mt_batch_init (&in_flight->batch);
  in_flight->requests = g_ptr_array_new ();
  add_ends (once, in_flight, records_by_key);
  add_claims (once, in_flight, records_by_key);
}

/* Makes the planned batch the one in flight: its requests and ends leave the queues. */
void
mt_once_start_write (struct mt_once *once, struct in_flight *in_flight)
{
  g_array_remove_range (once->ends, 0, in_flight->n_ends);
  if (once->ends->len > 0)
    once->ends_since_us = mt_clock_now (once->options.clock);
  for (guint i = 0; i < in_flight->requests->len; i++)
    g_queue_remove (&once->requests, in_flight->requests->pdata[i]);
  in_flight->active = true;
  in_flight->seq = once->next_seq;
  in_flight->seq_free_us = once->view_confirmed_us;
  in_flight->started_us = mt_clock_now (once->options.clock);
  in_flight->batch.id[0] = once->options.writer;
  in_flight->batch.id[1] = ((uint64_t) once->options.shard << 48) | ++once->last_batch_number;
  in_flight->batch.wall_ms = mt_clock_wall (once->options.clock) / MT_MS;
  once->in_flight = *in_flight;
}

void
mt_once_handle_write (struct mt_once *once, const struct mt_once_call *call)
{
  struct in_flight *in_flight = &once->in_flight;

  switch (call->put)
    {
    case MT_STORE_DONE:
      complete_in_flight (once);
      return;
    case MT_STORE_CONFLICT:
      in_flight->read_back = true;
      return;
    case MT_STORE_UNKNOWN:
      in_flight->unconfirmed = true;
      in_flight->read_back = true;
      mt_once_retry_later (once);
      return;
    case MT_STORE_FAILED:
      break;
    }
  mt_once_retry_later (once);
  if (in_flight->unconfirmed)
    in_flight->read_back = true;
  else
    requeue_in_flight (once);
}

/* The response to a write was lost, or another writer won the race: the id in the stored batch
 * shows who wrote it. If no batch is stored, an unconfirmed write may still arrive: the same batch
 * is written again, so that whichever write arrives first counts and the other has no effect. */
void
mt_once_handle_read_batch (struct mt_once *once, const struct mt_once_call *call)
{
  struct in_flight *in_flight = &once->in_flight;
  uint64_t seq = in_flight->seq;
  struct mt_batch batch;
  bool ours;

  if (!call->ok)
    {
      mt_once_retry_later (once);
      return;
    }
  in_flight->read_back = false;
  if (!call->value.found)
    return;
  mt_batch_init (&batch);
  ours = mt_batch_decode ((struct mt_str){ call->value.data, call->value.len }, &batch, NULL)
         && mt_id_equal (batch.id, in_flight->batch.id);
  mt_batch_clear (&batch);
  if (ours)
    {
      complete_in_flight (once);
      return;
    }
  requeue_in_flight (once);
  mt_once_apply_value (once, &call->value, seq);
}
