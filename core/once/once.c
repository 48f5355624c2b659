#include "medlartrack/once.h"

#include "held.h"
#include "medlartrack/batch.h"
#include "medlartrack/error.h"

#include <stdio.h>
#include <string.h>

#define SEQ_DIGITS      12
#define BLOCK           100 /* batches trimmed by one call: two digits fewer in the prefix */
#define BLOCK_DIGITS    (SEQ_DIGITS - 2)
#define FLOOR_NAME      "floor"
#define RETRY_US        (100 * MT_MS)
#define FAULT_RETRY_US  (1 * MT_SECOND)
#define END_DELAY_US    (500 * MT_MS) /* an end waits so long for a claim's batch to ride in */
#define TRIM_EVERY_US   (60 * MT_SECOND)
#define ANSWER_FRESH_US (1 * MT_SECOND)        /* bounds the reads that repeated requests cause */
#define REFRESH_US      (MT_ONCE_FRESH_US / 2) /* leaves the other half for the write */
#define KEEP_MARGIN_US  (4 * MT_ONCE_SKEW_US)  /* see mt_once_date_expired */

/* A batch that was sent, until it is known whether it took effect. */
struct flight
{
  bool active;
  bool in_doubt; /* a write of it went unanswered */
  bool check;    /* read before writing again */
  uint64_t seq;
  struct mt_batch batch; /* the ends, then the claims */
  guint n_ends;
  GPtrArray *asks;  /* one for each claim; NULL where the asker gave up */
  int64_t fresh_us; /* when seq was known to be free */
  int64_t begun_us; /* of its first write */
};

/* A batch in the log, for trimming. */
struct landed
{
  uint64_t seq;
  int64_t wall_us; /* by its writer's clock */
  int64_t seen_us; /* by this process's clock */
};

struct mt_once
{
  struct mt_once_options options;
  char prefix[MT_ONCE_KEY_BYTES];
  unsigned room;       /* for claims in memory */
  uint64_t next_batch; /* of the writer's own ids */
  GQueue asks;         /* of struct mt_once_ask, not in the flight */
  GArray *ends;        /* of struct mt_record, not in the flight */
  int64_t ends_us;     /* since when ends wait */
  int64_t retry_us;    /* no call before */
  struct flight flight;
  /* The view of the log. */
  bool loaded;
  struct mt_held *held;
  GQueue landed;     /* of struct landed, oldest first */
  uint64_t next_seq; /* all batches below are read */
  int64_t fresh_us;  /* next_seq did not exist then, and was not trimmed */
  int64_t probed_us; /* next_seq was absent then, trimmed or not; 0: not probed */
  bool look;         /* asks wait for a fresher view */
  uint64_t floor;    /* batches below are trimmed, or will be */
  uint64_t floor_index;
  char *fault;
  /* Trimming. */
  int64_t trim_us; /* not before */
  bool floor_read; /* floor_index is current */
  uint64_t trim_from;
};

/* --- settling --- */

static void
settle (struct mt_once *once, struct mt_once_ask *ask, enum mt_once_result result)
{
  ask->result = result;
  if (once->options.settled != NULL)
    once->options.settled (once->options.ctx, ask);
}

static void
settle_taken (struct mt_once *once, struct mt_once_ask *ask, const struct mt_held_claim *claim)
{
  ask->status = claim->status;
  if (claim->state == MT_HELD_DONE)
    settle (once, ask, MT_ONCE_DONE);
  else if (claim->state == MT_HELD_LOST
           || mt_clock_wall (once->options.clock) / MT_MS > claim->silent_ms)
    settle (once, ask, MT_ONCE_LOST);
  else
    settle (once, ask, MT_ONCE_RUNNING);
}

static void
add_end (struct mt_once *once, const struct mt_record *end)
{
  if (once->ends->len == 0)
    once->ends_us = mt_clock_now (once->options.clock);
  g_array_append_vals (once->ends, end, 1);
}

static void
release (struct mt_once *once, const struct mt_record *claim)
{
  struct mt_record end = *claim;

  end.kind = MT_RECORD_RELEASE;
  end.extra = 0;
  add_end (once, &end);
}

/* --- the view of the log --- */

static void
unload (struct mt_once *once)
{
  once->loaded = false;
  once->probed_us = 0;
  once->floor_read = false;
  mt_held_forget_all (once->held);
  g_queue_clear_full (&once->landed, g_free);
}

/* The log can't be read: nothing of the shard is granted until it can. */
static void
set_fault (struct mt_once *once, const char *why)
{
  g_free (once->fault);
  once->fault = g_strdup (why);
  unload (once);
  once->retry_us = mt_clock_now (once->options.clock) + FAULT_RETRY_US;
  mt_once_refuse_all (once);
}

static void
apply_batch (struct mt_once *once, const struct mt_batch *batch, uint64_t seq)
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

static bool
learn (struct mt_once *once, const struct mt_store_value *value, uint64_t seq)
{
  g_autoptr (GError) error = NULL;
  struct mt_batch batch;
  bool ok;

  mt_batch_init (&batch);
  ok = mt_batch_decode ((struct mt_str){ value->data, value->len }, &batch, &error);
  if (ok)
    apply_batch (once, &batch, seq);
  else
    set_fault (once, error->message);
  mt_batch_clear (&batch);
  return ok;
}

static void
raise_floor (struct mt_once *once, uint64_t floor)
{
  const struct landed *oldest;

  if (floor <= once->floor)
    return;
  once->floor = floor;
  mt_held_forget_below (once->held, floor);
  while ((oldest = g_queue_peek_head (&once->landed)) != NULL && oldest->seq < floor)
    g_free (g_queue_pop_head (&once->landed));
}

static bool
read_seq (const char *text, uint64_t *out)
{
  unsigned long long value;

  if (strlen (text) != SEQ_DIGITS || !mt_str_to_u64 (mt_str_from (text), &value))
    return false;
  *out = value;
  return true;
}

/* --- the batch in flight --- */

static void
clear_flight (struct mt_once *once)
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
  clear_flight (once);
}

/* The claims are in the log. A claim whose asker gave up was refused as not run: it is released, so
 * that the caller can ask again. */
static void
grant_claims (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  for (guint i = 0; i < flight->asks->len; i++)
    {
      struct mt_once_ask *ask = flight->asks->pdata[i];

      if (ask != NULL)
        settle (once, ask, MT_ONCE_GRANTED);
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
      struct mt_once_ask *ask = flight->asks->pdata[i];

      if (ask != NULL)
        settle (once, ask, MT_ONCE_UNAVAILABLE);
      release (once, flight_record (flight, flight->n_ends + i));
    }
  unload (once);
}

static bool
is_fresh (const struct mt_once *once, int64_t since_us, int64_t within_us)
{
  return mt_clock_now (once->options.clock) - since_us < within_us;
}

static void
land_flight (struct mt_once *once)
{
  struct flight *flight = &once->flight;

  if (is_fresh (once, flight->fresh_us, MT_ONCE_FRESH_US))
    {
      apply_batch (once, &flight->batch, flight->seq);
      /* Nobody creates a number without having seen the one before: when the first write began, the
       * number after it did not exist. */
      once->fresh_us = MAX (once->fresh_us, flight->begun_us);
      grant_claims (once);
    }
  else
    refuse_claims (once);
  clear_flight (once);
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
is_answerable (const struct mt_once *once, const struct mt_once_ask *ask)
{
  return once->fresh_us >= ask->asked_us || is_fresh (once, once->fresh_us, ANSWER_FRESH_US);
}

static enum verdict
judge (struct mt_once *once, GHashTable *overlay, const struct mt_once_ask *ask)
{
  const struct mt_held_claim *claim = mt_held_find (once->held, ask->key);
  const struct mt_record *record = find_in_batch (overlay, ask->key);

  if (mt_held_is_released (once->held, ask->attempt)
      || (ask->until_us != 0 && ask->until_us < mt_clock_now (once->options.clock)))
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
make_claim (const struct mt_once_ask *ask)
{
  struct mt_record *record = g_new0 (struct mt_record, 1);

  memcpy (record->key, ask->key, sizeof record->key);
  memcpy (record->attempt, ask->attempt, sizeof record->attempt);
  record->kind = MT_RECORD_CLAIM;
  record->extra = ask->hold_ms;
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
      struct mt_once_ask *ask = link->data;
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
          settle (once, ask, MT_ONCE_UNAVAILABLE);
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

/* The planned batch becomes the flight: what it holds leaves the queues. */
static void
launch (struct mt_once *once, struct flight *flight)
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

/* --- what to do next --- */

static void
name_seq (const struct mt_once *once, uint64_t seq, char *key)
{
  g_snprintf (key, MT_ONCE_KEY_BYTES, "%s%0*" G_GUINT64_FORMAT, once->prefix, SEQ_DIGITS, seq);
}

static bool
start_call (struct mt_once *once, struct mt_once_call *call, enum mt_once_call_kind kind)
{
  *call = (struct mt_once_call){ .kind = kind };
  call->begun_us = mt_clock_now (once->options.clock);
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
    case MT_ONCE_CALL_CHECK:
      name_seq (once, once->flight.seq, call->key);
      break;
    case MT_ONCE_CALL_FLOOR:
    case MT_ONCE_CALL_RAISE:
      g_snprintf (call->key, sizeof call->key, "%s%s", once->prefix, FLOOR_NAME);
      break;
    case MT_ONCE_CALL_TRIM:
      g_snprintf (call->key, sizeof call->key, "%s%0*" G_GUINT64_FORMAT, once->prefix, BLOCK_DIGITS,
                  once->trim_from / BLOCK);
      break;
    }
  return true;
}

static bool
take_token (struct mt_once *once, int64_t *wake_us)
{
  int64_t now = mt_clock_now (once->options.clock);

  if (mt_pace_take (once->options.pace, now))
    return true;
  *wake_us = MIN (*wake_us, mt_pace_when (once->options.pace, now));
  return false;
}

static bool
next_of_flight (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  if (once->flight.check)
    return start_call (once, call, MT_ONCE_CALL_CHECK);
  return take_token (once, wake_us) && start_call (once, call, MT_ONCE_CALL_WRITE);
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
  g_autoptr (GHashTable) overlay = g_hash_table_new (mt_id_hash, mt_id_equal);
  struct flight flight = { 0 };

  mt_batch_init (&flight.batch);
  flight.asks = g_ptr_array_new ();
  plan_ends (once, &flight, overlay);
  plan_claims (once, &flight, overlay);
  if ((flight.asks->len > 0 || ends_are_due (once, wake_us)) && take_token (once, wake_us))
    {
      launch (once, &flight);
      return start_call (once, call, MT_ONCE_CALL_WRITE);
    }
  mt_batch_clear (&flight.batch);
  g_ptr_array_unref (flight.asks);
  return false;
}

/* The floor up to which all batches are past keeping, by their writers' clocks, and were seen by
 * this process for so long that no writer whose view lacks them can still be granted anything,
 * whatever the wall clocks say. */
static uint64_t
find_floor (const struct mt_once *once)
{
  int64_t now = mt_clock_now (once->options.clock);
  int64_t wall = mt_clock_wall (once->options.clock);
  uint64_t floor = once->floor;

  for (const GList *at = once->landed.head; at != NULL; at = at->next)
    {
      const struct landed *landed = at->data;

      if (landed->wall_us + once->options.keep_us + KEEP_MARGIN_US > wall
          || landed->seen_us + 2 * MT_ONCE_FRESH_US > now)
        break;
      floor = landed->seq + 1;
    }
  return floor / BLOCK * BLOCK;
}

static bool
next_trim (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
{
  int64_t now = mt_clock_now (once->options.clock);
  uint64_t floor;

  if (!once->loaded || once->trim_us > now)
    return false;
  if (once->trim_from + BLOCK <= once->floor)
    return take_token (once, wake_us) && start_call (once, call, MT_ONCE_CALL_TRIM);
  floor = find_floor (once);
  if (floor <= once->floor)
    {
      once->trim_us = now + TRIM_EVERY_US;
      return false;
    }
  if (!once->floor_read)
    return start_call (once, call, MT_ONCE_CALL_FLOOR);
  if (!take_token (once, wake_us))
    return false;
  start_call (once, call, MT_ONCE_CALL_RAISE);
  call->data = g_strdup_printf ("%0*" G_GUINT64_FORMAT, SEQ_DIGITS, floor);
  call->len = SEQ_DIGITS;
  call->index = once->floor_index;
  return true;
}

bool
mt_once_next (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us)
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
    return next_trim (once, call, wake_us);
  if (!once->loaded)
    return start_call (once, call, MT_ONCE_CALL_LIST);
  if (once->probed_us != 0)
    return start_call (once, call, MT_ONCE_CALL_FLOOR);
  if (!is_fresh (once, once->fresh_us, REFRESH_US))
    return start_call (once, call, MT_ONCE_CALL_PROBE);
  if (next_write (once, call, wake_us))
    return true;
  if (once->look)
    return start_call (once, call, MT_ONCE_CALL_PROBE);
  return next_trim (once, call, wake_us);
}

void
mt_once_perform (const struct mt_store *store, struct mt_once_call *call)
{
  struct mt_str data = { call->data, call->len };

  switch (call->kind)
    {
    case MT_ONCE_CALL_LIST:
      call->ok = store->ops->list (store->ctx, call->key, &call->list, NULL);
      break;
    case MT_ONCE_CALL_PROBE:
    case MT_ONCE_CALL_FLOOR:
    case MT_ONCE_CALL_CHECK:
      call->ok = store->ops->get (store->ctx, call->key, &call->value, NULL);
      break;
    case MT_ONCE_CALL_WRITE:
    case MT_ONCE_CALL_RAISE:
      call->put = store->ops->put (store->ctx, call->key, data, call->index, NULL);
      break;
    case MT_ONCE_CALL_TRIM:
      call->put = store->ops->remove (store->ctx, call->key, NULL);
      break;
    }
}

/* --- what came of it --- */

static void
retry_later (struct mt_once *once)
{
  once->retry_us = mt_clock_now (once->options.clock) + RETRY_US;
}

static void
absorb_probe (struct mt_once *once, const struct mt_once_call *call)
{
  if (!call->ok)
    retry_later (once);
  else if (call->value.found)
    learn (once, &call->value, once->next_seq);
  else
    once->probed_us = call->begun_us;
}

/* That the next number is absent proves little: it may have been written and trimmed. The floor,
 * read after it, tells: it is raised before anything is removed. */
static void
absorb_floor (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;

  if (!call->ok)
    {
      retry_later (once);
      return;
    }
  if (call->value.found && !read_seq (call->value.data, &floor))
    {
      set_fault (once, "the floor of the log of claims is not a number; restore it");
      return;
    }
  if (floor > once->next_seq)
    {
      unload (once);
      return;
    }
  raise_floor (once, floor);
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

      if (strcmp (value->key + strlen (once->prefix), FLOOR_NAME) != 0)
        continue;
      *known = true;
      return read_seq (value->data, floor);
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

      if (!read_seq (value->key + strlen (once->prefix), &seq))
        continue;
      if (seq < floor)
        {
          once->trim_from = MIN (once->trim_from, seq / BLOCK * BLOCK);
          continue;
        }
      if (first && !floor_known)
        once->next_seq = seq;
      first = false;
      if (seq != once->next_seq)
        {
          set_fault (once,
                     "the log of claims has a gap; the store lost writes, see docs/platform.md");
          return false;
        }
      if (!learn (once, value, seq))
        return false;
    }
  return true;
}

static void
absorb_list (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;
  bool known = false;

  if (!call->ok)
    {
      retry_later (once);
      return;
    }
  unload (once);
  if (!find_listed_floor (once, call->list, &floor, &known))
    {
      set_fault (once, "the floor of the log of claims is not a number; restore it");
      return;
    }
  once->floor = floor;
  if (!learn_list (once, call->list, floor, known))
    return;
  once->loaded = true;
  once->fresh_us = call->begun_us;
  g_clear_pointer (&once->fault, g_free);
}

static void
absorb_write (struct mt_once *once, const struct mt_once_call *call)
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
      retry_later (once);
      return;
    case MT_STORE_FAILED:
      break;
    }
  retry_later (once);
  if (flight->in_doubt)
    flight->check = true;
  else
    dissolve_flight (once);
}

/* An answer to a write was lost, or the write lost its race: the batch's id tells whose it is.
 * Absence tells nothing of a write in doubt, which may still be on its way: the same batch is
 * written again, so that whichever arrives first counts and the other does nothing. */
static void
absorb_check (struct mt_once *once, const struct mt_once_call *call)
{
  struct flight *flight = &once->flight;
  uint64_t seq = flight->seq;
  struct mt_batch batch;
  bool ours;

  if (!call->ok)
    {
      retry_later (once);
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
  learn (once, &call->value, seq);
}

static void
absorb_raise (struct mt_once *once, const struct mt_once_call *call)
{
  uint64_t floor = 0;

  once->floor_read = false;
  if (call->put == MT_STORE_DONE && read_seq (call->data, &floor))
    raise_floor (once, floor);
  else
    once->trim_us = mt_clock_now (once->options.clock) + TRIM_EVERY_US;
}

static void
absorb_trim (struct mt_once *once, const struct mt_once_call *call)
{
  if (call->put == MT_STORE_DONE)
    once->trim_from += BLOCK;
  else
    once->trim_us = mt_clock_now (once->options.clock) + TRIM_EVERY_US;
}

void
mt_once_absorb (struct mt_once *once, struct mt_once_call *call)
{
  switch (call->kind)
    {
    case MT_ONCE_CALL_LIST:
      absorb_list (once, call);
      break;
    case MT_ONCE_CALL_PROBE:
      absorb_probe (once, call);
      break;
    case MT_ONCE_CALL_FLOOR:
      absorb_floor (once, call);
      break;
    case MT_ONCE_CALL_WRITE:
      absorb_write (once, call);
      break;
    case MT_ONCE_CALL_CHECK:
      absorb_check (once, call);
      break;
    case MT_ONCE_CALL_RAISE:
      absorb_raise (once, call);
      break;
    case MT_ONCE_CALL_TRIM:
      absorb_trim (once, call);
      break;
    }
  g_free (call->data);
  mt_store_value_clear (&call->value);
  g_clear_pointer (&call->list, g_ptr_array_unref);
}

/* --- asks and ends --- */

void
mt_once_ask (struct mt_once *once, struct mt_once_ask *ask)
{
  ask->result = MT_ONCE_PENDING;
  ask->status = 0;
  ask->asked_us = mt_clock_now (once->options.clock);
  g_queue_push_tail (&once->asks, ask);
}

void
mt_once_cancel (struct mt_once *once, struct mt_once_ask *ask)
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
  struct mt_once_ask *ask;

  while ((ask = g_queue_pop_head (&once->asks)) != NULL)
    settle (once, ask, MT_ONCE_UNAVAILABLE);
  for (guint i = 0; once->flight.active && i < once->flight.asks->len; i++)
    {
      ask = once->flight.asks->pdata[i];
      once->flight.asks->pdata[i] = NULL;
      if (ask != NULL)
        settle (once, ask, MT_ONCE_UNAVAILABLE);
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
  add_end (once, &record);
}

void
mt_once_record (struct mt_once *once, const struct mt_record *end)
{
  add_end (once, end);
}

void
mt_once_set_room (struct mt_once *once, unsigned room)
{
  once->room = room;
}

unsigned
mt_once_held (const struct mt_once *once)
{
  return mt_held_count (once->held);
}

bool
mt_once_has_work (const struct mt_once *once)
{
  return once->flight.active || once->ends->len > 0 || once->asks.length > 0;
}

const char *
mt_once_fault (const struct mt_once *once)
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
  unload (once);
  if (once->flight.active)
    clear_flight (once);
  g_queue_clear (&once->asks);
  g_array_unref (once->ends);
  mt_held_destroy (once->held);
  g_free (once->fault);
  g_free (once);
}
