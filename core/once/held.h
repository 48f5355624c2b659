/* The claims in the part of the log that was read: maps each key to its holder. */
#ifndef MT_CLAIM_TABLE_H
#define MT_CLAIM_TABLE_H

#include "medlartrack/batch.h"

enum mt_claim_state
{
  MT_CLAIM_STATE_ACTIVE,
  MT_CLAIM_STATE_DONE,
  MT_CLAIM_STATE_LOST,
};

struct mt_claim_entry
{
  uint64_t key[2];
  uint64_t attempt[2];
  uint64_t seq;          /* batch of its last record */
  int64_t lost_after_ms; /* wall time after which a claim without an end counts as lost */
  uint16_t status;
  uint8_t state; /* enum mt_claim_state */
};

struct mt_claim_table;

struct mt_claim_table *mt_claim_table_create (void);
void mt_claim_table_destroy (struct mt_claim_table *table);
void mt_claim_table_clear (struct mt_claim_table *table);
/* Removes claims whose last record is in a batch below seq. */
void mt_claim_table_remove_below (struct mt_claim_table *table, uint64_t seq);
/* Applies one batch; called in the order of the log. */
void
mt_claim_table_apply (struct mt_claim_table *table, const struct mt_batch *batch, uint64_t seq);
/* Returns NULL if the key is free. */
const struct mt_claim_entry *mt_claim_table_find (const struct mt_claim_table *table,
                                                  const uint64_t key[2]);
/* Returns whether the attempt was released before its claim was seen. A claim that is still pending
 * must not be written after its release: it would block the key with no holder. */
bool mt_claim_table_has_released (const struct mt_claim_table *table, const uint64_t attempt[2]);
unsigned mt_claim_table_count (const struct mt_claim_table *table);

/* For hash tables keyed by a 128-bit id. */
guint mt_id_hash (gconstpointer id);
gboolean mt_id_equal (gconstpointer a, gconstpointer b);

#endif
