#include "medlartrack/batch.h"

#include "medlartrack/error.h"
#include "medlartrack/pack.h"

#include <string.h>

#define VERSION       1
#define BATCH_FIELDS  4
#define RECORD_FIELDS 4

void
mt_batch_init (struct mt_batch *batch)
{
  *batch = (struct mt_batch){ .records = g_array_new (FALSE, FALSE, sizeof (struct mt_record)) };
}

void
mt_batch_clear (struct mt_batch *batch)
{
  g_clear_pointer (&batch->records, g_array_unref);
}

static void
pack_id (msgpack_packer *packer, const uint64_t id[2])
{
  uint64_t bytes[2] = { GUINT64_TO_BE (id[0]), GUINT64_TO_BE (id[1]) };

  msgpack_pack_bin (packer, sizeof bytes);
  msgpack_pack_bin_body (packer, bytes, sizeof bytes);
}

char *
mt_batch_encode (const struct mt_batch *batch, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, BATCH_FIELDS);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_id (&packer, batch->id);
  msgpack_pack_int64 (&packer, batch->wall_ms);
  msgpack_pack_array (&packer, batch->records->len);
  for (guint i = 0; i < batch->records->len; i++)
    {
      const struct mt_record *record = &g_array_index (batch->records, struct mt_record, i);

      msgpack_pack_array (&packer, RECORD_FIELDS);
      msgpack_pack_uint8 (&packer, record->kind);
      pack_id (&packer, record->key);
      pack_id (&packer, record->attempt);
      msgpack_pack_uint32 (&packer, record->extra);
    }
  *len = buffer.size;
  copy = g_memdup2 (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

static bool
read_id (const msgpack_object *object, uint64_t out[2])
{
  if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != MT_BATCH_ID_BYTES)
    return false;
  memcpy (out, object->via.bin.ptr, MT_BATCH_ID_BYTES);
  out[0] = GUINT64_FROM_BE (out[0]);
  out[1] = GUINT64_FROM_BE (out[1]);
  return true;
}

static bool
read_record (const msgpack_object *object, struct mt_record *record)
{
  const msgpack_object *fields = object->via.array.ptr;
  uint64_t kind;
  uint64_t extra;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != RECORD_FIELDS)
    return false;
  if (!mt_pack_get_u64 (&fields[0], MT_RECORD_RELEASE, &kind) || kind < MT_RECORD_CLAIM
      || !read_id (&fields[1], record->key) || !read_id (&fields[2], record->attempt)
      || !mt_pack_get_u64 (&fields[3], UINT32_MAX, &extra))
    return false;
  record->kind = (uint8_t) kind;
  record->extra = (uint32_t) extra;
  return true;
}

static bool
read_batch (const msgpack_object *root, struct mt_batch *batch)
{
  const msgpack_object *fields = root->via.array.ptr;
  uint64_t version;
  uint64_t wall_ms;

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != BATCH_FIELDS)
    return false;
  if (!mt_pack_get_u64 (&fields[0], VERSION, &version) || version != VERSION
      || !read_id (&fields[1], batch->id)
      || !mt_pack_get_u64 (&fields[2], INT64_MAX / 1000, &wall_ms)
      || fields[3].type != MSGPACK_OBJECT_ARRAY || fields[3].via.array.size > MT_BATCH_MAX_RECORDS)
    return false;
  batch->wall_ms = (int64_t) wall_ms;
  g_array_set_size (batch->records, fields[3].via.array.size);
  for (uint32_t i = 0; i < fields[3].via.array.size; i++)
    if (!read_record (&fields[3].via.array.ptr[i],
                      &g_array_index (batch->records, struct mt_record, i)))
      return false;
  return true;
}

bool
mt_batch_decode (struct mt_str bytes, struct mt_batch *batch, GError **error)
{
  msgpack_unpacked unpacked;
  bool ok = mt_pack_read (bytes, &unpacked, NULL);

  if (ok)
    {
      ok = read_batch (&unpacked.data, batch);
      msgpack_unpacked_destroy (&unpacked);
    }
  if (!ok)
    g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                 "claim batch of %zu bytes is not in format %d; if a newer medlartrackd wrote "
                 "it, update this one",
                 bytes.len, VERSION);
  return ok;
}
