/* The claims that the log holds, as far as it was read: key -> who holds it. */
#ifndef MT_HELD_H
#define MT_HELD_H

#include "medlartrack/batch.h"

enum mt_held_state
{
  MT_HELD_CLAIMED,
  MT_HELD_DONE,
  MT_HELD_LOST,
};

struct mt_held_claim
{
  uint64_t key[2];
  uint64_t attempt[2];
  uint64_t seq;      /* of the batch with its last record */
  int64_t silent_ms; /* wall time after which a claim without an end counts as lost */
  uint16_t status;
  uint8_t state; /* enum mt_held_state */
};

struct mt_held;

struct mt_held *mt_held_create (void);
void mt_held_destroy (struct mt_held *held);
void mt_held_forget_all (struct mt_held *held);
/* Forgets claims whose last record is in a batch below seq. */
void mt_held_forget_below (struct mt_held *held, uint64_t seq);
/* Applies one batch; batches come in the order of the log. */
void mt_held_apply (struct mt_held *held, const struct mt_batch *batch, uint64_t seq);
/* NULL where the key is free. */
const struct mt_held_claim *mt_held_find (const struct mt_held *held, const uint64_t key[2]);
/* Whether the attempt was released before any claim of it was seen: a claim that is still on its
 * way must not be written after its release, where it would hold the key for nobody. */
bool mt_held_is_released (const struct mt_held *held, const uint64_t attempt[2]);
unsigned mt_held_count (const struct mt_held *held);

/* For hash tables keyed by a 128-bit id. */
guint mt_id_hash (gconstpointer id);
gboolean mt_id_equal (gconstpointer a, gconstpointer b);

#endif
