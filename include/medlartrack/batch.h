/* One batch of the claim log, as msgpack: [version, id, wall ms, [[kind, key, attempt, extra]]].
 * Records take effect in their order. Daemons send each other claims in the same format, with the
 * remaining milliseconds in place of the wall time. */
#ifndef MEDLARTRACK_BATCH_H
#define MEDLARTRACK_BATCH_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_BATCH_MAX_RECORDS 4096
#define MT_BATCH_ID_BYTES    16

/* The numbers are part of the format and are never reused. */
enum mt_record_kind
{
  MT_RECORD_CLAIM = 1,   /* extra: milliseconds after which a claim without an end counts as lost */
  MT_RECORD_DONE = 2,    /* extra: response status */
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
  uint64_t id[2]; /* unique; lets the writer recognise its own batch after a lost response */
  int64_t wall_ms;
  GArray *records; /* of struct mt_record */
};

/* Makes the batch empty; clear it with mt_batch_clear. */
void mt_batch_init (struct mt_batch *batch);
void mt_batch_clear (struct mt_batch *batch);
/* Returns the encoded bytes and sets *len to their number; free them with g_free. */
char *mt_batch_encode (const struct mt_batch *batch, size_t *len);
/* Decodes into an initialised, empty batch. Returns false with MT_ERROR_SYNTAX if bytes are
 * invalid. */
bool mt_batch_decode (struct mt_str bytes, struct mt_batch *batch, GError **error);

#endif
