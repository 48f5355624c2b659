#include "held.h"

struct mt_held
{
  GHashTable *claims;   /* a set of struct mt_held_claim, keyed by its first field */
  GHashTable *released; /* a set of struct released; few, since releases follow claims */
};

struct released
{
  uint64_t attempt[2];
  uint64_t seq;
};

guint
mt_id_hash (gconstpointer id)
{
  return (guint) * (const uint64_t *) id; /* ids are hashes or random already */
}

gboolean
mt_id_equal (gconstpointer a, gconstpointer b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return x[0] == y[0] && x[1] == y[1];
}

struct mt_held *
mt_held_create (void)
{
  struct mt_held *held = g_new0 (struct mt_held, 1);

  held->claims = g_hash_table_new_full (mt_id_hash, mt_id_equal, g_free, NULL);
  held->released = g_hash_table_new_full (mt_id_hash, mt_id_equal, g_free, NULL);
  return held;
}

void
mt_held_destroy (struct mt_held *held)
{
  g_hash_table_destroy (held->claims);
  g_hash_table_destroy (held->released);
  g_free (held);
}

void
mt_held_forget_all (struct mt_held *held)
{
  g_hash_table_remove_all (held->claims);
  g_hash_table_remove_all (held->released);
}

static gboolean
is_below (gpointer key, gpointer value, gpointer seq)
{
  const struct mt_held_claim *claim = key;

  return claim->seq < *(const uint64_t *) seq;
}

static gboolean
is_released_below (gpointer key, gpointer value, gpointer seq)
{
  const struct released *released = key;

  return released->seq < *(const uint64_t *) seq;
}

void
mt_held_forget_below (struct mt_held *held, uint64_t seq)
{
  g_hash_table_foreach_remove (held->claims, is_below, &seq);
  g_hash_table_foreach_remove (held->released, is_released_below, &seq);
}

static struct mt_held_claim *
find (const struct mt_held *held, const uint64_t key[2])
{
  return g_hash_table_lookup (held->claims, key);
}

static struct mt_held_claim *
insert (struct mt_held *held, const struct mt_record *record)
{
  struct mt_held_claim *claim = g_new0 (struct mt_held_claim, 1);

  claim->key[0] = record->key[0];
  claim->key[1] = record->key[1];
  claim->attempt[0] = record->attempt[0];
  claim->attempt[1] = record->attempt[1];
  g_hash_table_add (held->claims, claim);
  return claim;
}

/* The end of an attempt whose claim is trimmed already stands for the claim. */
static void
apply_end (struct mt_held *held,
           struct mt_held_claim *claim,
           const struct mt_record *record,
           uint64_t seq)
{
  if (claim == NULL)
    claim = insert (held, record);
  claim->state = record->kind == MT_RECORD_DONE ? MT_HELD_DONE : MT_HELD_LOST;
  claim->status = (uint16_t) record->extra;
  claim->seq = seq;
}

/* A claim in the log always found its key free, in a complete view. Where this view still holds an
 * older claim, that one is past keeping and its writer's view had trimmed it already. Keeping the
 * older one instead would lose the newer as soon as this view is trimmed too, and grant the key a
 * second time. */
static void
apply_claim (struct mt_held *held,
             struct mt_held_claim *claim,
             const struct mt_record *record,
             int64_t wall_ms,
             uint64_t seq)
{
  if (claim != NULL)
    g_hash_table_remove (held->claims, claim);
  claim = insert (held, record);
  claim->silent_ms = wall_ms + record->extra;
  claim->seq = seq;
}

static void
apply_release (struct mt_held *held,
               struct mt_held_claim *claim,
               const struct mt_record *record,
               uint64_t seq)
{
  struct released *released;

  if (claim != NULL && mt_id_equal (claim->attempt, record->attempt))
    {
      g_hash_table_remove (held->claims, claim);
      return;
    }
  released = g_new (struct released, 1);
  released->attempt[0] = record->attempt[0];
  released->attempt[1] = record->attempt[1];
  released->seq = seq;
  g_hash_table_add (held->released, released);
}

static void
apply_record (struct mt_held *held, const struct mt_record *record, int64_t wall_ms, uint64_t seq)
{
  struct mt_held_claim *claim = find (held, record->key);

  /* An end counts for the attempt that holds the key only: a release that arrives after the key
   * was freed and claimed again must not free it under the new holder. */
  if (record->kind == MT_RECORD_CLAIM)
    apply_claim (held, claim, record, wall_ms, seq);
  else if (record->kind == MT_RECORD_RELEASE)
    apply_release (held, claim, record, seq);
  else if (claim == NULL || mt_id_equal (claim->attempt, record->attempt))
    apply_end (held, claim, record, seq);
}

void
mt_held_apply (struct mt_held *held, const struct mt_batch *batch, uint64_t seq)
{
  for (guint i = 0; i < batch->records->len; i++)
    apply_record (held, &g_array_index (batch->records, struct mt_record, i), batch->wall_ms, seq);
}

const struct mt_held_claim *
mt_held_find (const struct mt_held *held, const uint64_t key[2])
{
  return find (held, key);
}

bool
mt_held_is_released (const struct mt_held *held, const uint64_t attempt[2])
{
  return g_hash_table_contains (held->released, attempt);
}

unsigned
mt_held_count (const struct mt_held *held)
{
  return g_hash_table_size (held->claims);
}
