#include "held.h"

struct mt_claim_table
{
  GHashTable *claims;   /* a set of struct mt_claim_entry, keyed by its first field */
  GHashTable *released; /* a set of struct released; few: releases normally follow claims */
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

struct mt_claim_table *
mt_claim_table_create (void)
{
  struct mt_claim_table *table = g_new0 (struct mt_claim_table, 1);

  table->claims = g_hash_table_new_full (mt_id_hash, mt_id_equal, g_free, NULL);
  table->released = g_hash_table_new_full (mt_id_hash, mt_id_equal, g_free, NULL);
  return table;
}

void
mt_claim_table_destroy (struct mt_claim_table *table)
{
  g_hash_table_destroy (table->claims);
  g_hash_table_destroy (table->released);
  g_free (table);
}

void
mt_claim_table_clear (struct mt_claim_table *table)
{
  g_hash_table_remove_all (table->claims);
  g_hash_table_remove_all (table->released);
}

static gboolean
is_below (gpointer key, gpointer value, gpointer seq)
{
  const struct mt_claim_entry *claim = key;

  return claim->seq < *(const uint64_t *) seq;
}

static gboolean
is_released_below (gpointer key, gpointer value, gpointer seq)
{
  const struct released *released = key;

  return released->seq < *(const uint64_t *) seq;
}

void
mt_claim_table_remove_below (struct mt_claim_table *table, uint64_t seq)
{
  g_hash_table_foreach_remove (table->claims, is_below, &seq);
  g_hash_table_foreach_remove (table->released, is_released_below, &seq);
}

static struct mt_claim_entry *
find (const struct mt_claim_table *table, const uint64_t key[2])
{
  return g_hash_table_lookup (table->claims, key);
}

static struct mt_claim_entry *
insert (struct mt_claim_table *table, const struct mt_record *record)
{
  struct mt_claim_entry *claim = g_new0 (struct mt_claim_entry, 1);

  claim->key[0] = record->key[0];
  claim->key[1] = record->key[1];
  claim->attempt[0] = record->attempt[0];
  claim->attempt[1] = record->attempt[1];
  g_hash_table_add (table->claims, claim);
  return claim;
}

/* If the claim is already trimmed, the end of its attempt takes its place. */
static void
apply_end (struct mt_claim_table *table,
           struct mt_claim_entry *claim,
           const struct mt_record *record,
           uint64_t seq)
{
  if (claim == NULL)
    claim = insert (table, record);
  claim->state = record->kind == MT_RECORD_DONE ? MT_CLAIM_STATE_DONE : MT_CLAIM_STATE_LOST;
  claim->status = (uint16_t) record->extra;
  claim->seq = seq;
}

/* A claim in the log was written from a complete view in which its key was free. If this view still
 * holds an older claim, that one is past its retention and was trimmed from the writer's view.
 * Keeping the older claim would lose the newer one as soon as this view is trimmed too, and grant
 * the key a second time. */
static void
apply_claim (struct mt_claim_table *table,
             struct mt_claim_entry *claim,
             const struct mt_record *record,
             int64_t wall_ms,
             uint64_t seq)
{
  if (claim != NULL)
    g_hash_table_remove (table->claims, claim);
  claim = insert (table, record);
  claim->lost_after_ms = wall_ms + record->extra;
  claim->seq = seq;
}

static void
apply_release (struct mt_claim_table *table,
               struct mt_claim_entry *claim,
               const struct mt_record *record,
               uint64_t seq)
{
  struct released *released;

  if (claim != NULL && mt_id_equal (claim->attempt, record->attempt))
    {
      g_hash_table_remove (table->claims, claim);
      return;
    }
  released = g_new (struct released, 1);
  released->attempt[0] = record->attempt[0];
  released->attempt[1] = record->attempt[1];
  released->seq = seq;
  g_hash_table_add (table->released, released);
}

static void
apply_record (struct mt_claim_table *table,
              const struct mt_record *record,
              int64_t wall_ms,
              uint64_t seq)
{
  struct mt_claim_entry *claim = find (table, record->key);

  /* An end applies only to the attempt that holds the key: a release that arrives after the key was
   * freed and claimed again must not remove the new holder's claim. */
  if (record->kind == MT_RECORD_CLAIM)
    apply_claim (table, claim, record, wall_ms, seq);
  else if (record->kind == MT_RECORD_RELEASE)
    apply_release (table, claim, record, seq);
  else if (claim == NULL || mt_id_equal (claim->attempt, record->attempt))
    apply_end (table, claim, record, seq);
}

void
mt_claim_table_apply (struct mt_claim_table *table, const struct mt_batch *batch, uint64_t seq)
{
  for (guint i = 0; i < batch->records->len; i++)
    apply_record (table, &g_array_index (batch->records, struct mt_record, i), batch->wall_ms, seq);
}

const struct mt_claim_entry *
mt_claim_table_find (const struct mt_claim_table *table, const uint64_t key[2])
{
  return find (table, key);
}

bool
mt_claim_table_has_released (const struct mt_claim_table *table, const uint64_t attempt[2])
{
  return g_hash_table_contains (table->released, attempt);
}

unsigned
mt_claim_table_count (const struct mt_claim_table *table)
{
  return g_hash_table_size (table->claims);
}
