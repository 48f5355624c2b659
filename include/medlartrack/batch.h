/* One batch of the log of claims as msgpack: [version, id, wall ms, [[kind, key, attempt, extra]]].
 * Records are in the order in which they take effect. Daemons send each other claims in the same
 * form, with the milliseconds that are left in place of the wall time. */
#ifndef MEDLARTRACK_BATCH_H
#define MEDLARTRACK_BATCH_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_BATCH_MAX_RECORDS 4096
#define MT_BATCH_ID_BYTES    16

/* Numbers are part of the format: never reused. */
enum mt_record_kind
{
  MT_RECORD_CLAIM = 1,   /* extra: milliseconds after which a silent holder counts as lost */
  MT_RECORD_DONE = 2,    /* extra: status of the answer */
  MT_RECORD_LOST = 3,    /* extra: 0 */
  MT_RECORD_RELEASE = 4, /* extra: 0 */
};

struct mt_record
{
  uint64_t key[2];
  uint64_t attempt[2];
  uint32_t extra;
  uint8_t kind;
};

struct mt_batch
{
  uint64_t id[2]; /* of its writer and unique, to know one's own after a lost answer */
  int64_t wall_ms;
  GArray *records; /* of struct mt_record */
};

void mt_batch_init (struct mt_batch *batch);
void mt_batch_clear (struct mt_batch *batch);
/* g_free it. */
char *mt_batch_encode (const struct mt_batch *batch, size_t *len);
/* Into an initialised, empty batch. MT_ERROR_SYNTAX or MT_ERROR_LIMIT. */
bool mt_batch_decode (struct mt_str bytes, struct mt_batch *batch, GError **error);

#endif
