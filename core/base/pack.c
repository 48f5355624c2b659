#include "medlartrack/pack.h"

#include "medlartrack/error.h"

#include <limits.h>
#include <stdint.h>

#define FIRST_TABLE_CODE 0xc0 /* first code that is looked up in header_formats */
#define LAST_TABLE_CODE  0xdf

/* Format of the bytes after a code byte: a count of count_bytes bytes, then fixed_bytes bytes, then
 * either count bytes of payload or count times children objects. */
struct header_format
{
  unsigned char count_bytes;
  unsigned char fixed_bytes;
  unsigned char children;
  bool invalid;
};

static const struct header_format header_formats[LAST_TABLE_CODE - FIRST_TABLE_CODE + 1] = {
  { 0, 0, 0, false },  { 0, 0, 0, true },  { 0, 0, 0, false }, { 0, 0, 0, false }, /* nil, bool */
  { 1, 0, 0, false },  { 2, 0, 0, false }, { 4, 0, 0, false },                     /* bin */
  { 1, 1, 0, false },  { 2, 1, 0, false }, { 4, 1, 0, false },                     /* ext */
  { 0, 4, 0, false },  { 0, 8, 0, false },                                         /* float */
  { 0, 1, 0, false },  { 0, 2, 0, false }, { 0, 4, 0, false }, { 0, 8, 0, false }, /* uint */
  { 0, 1, 0, false },  { 0, 2, 0, false }, { 0, 4, 0, false }, { 0, 8, 0, false }, /* int */
  { 0, 2, 0, false },  { 0, 3, 0, false }, { 0, 5, 0, false }, { 0, 9, 0, false }, /* fixext */
  { 0, 17, 0, false }, { 1, 0, 0, false }, { 2, 0, 0, false }, { 4, 0, 0, false }, /* ext16, str */
  { 2, 0, 1, false },  { 4, 0, 1, false },                                         /* array */
  { 2, 0, 2, false },  { 4, 0, 2, false },                                         /* map */
};

struct reader
{
  const unsigned char *at;
  const unsigned char *end;
};

static size_t
remaining_bytes (const struct reader *reader)
{
  return (size_t) (reader->end - reader->at);
}

/* Skips one header and its payload; sets *children to the number of objects that must follow. */
static bool
skip_table_coded (struct reader *reader, unsigned char code, uint64_t *children)
{
  const struct header_format *format = &header_formats[code - FIRST_TABLE_CODE];
  uint64_t count = 0;

  if (format->invalid
      || remaining_bytes (reader) < (size_t) format->count_bytes + format->fixed_bytes)
    return false;
  for (unsigned i = 0; i < format->count_bytes; i++)
    count = count << 8 | *reader->at++;
  reader->at += format->fixed_bytes;
  *children = count * format->children;
  if (format->children > 0)
    return *children <= remaining_bytes (reader);
  if (count > remaining_bytes (reader))
    return false;
  reader->at += count;
  return true;
}

static bool
skip_header (struct reader *reader, uint64_t *children)
{
  unsigned char code;

  *children = 0;
  if (remaining_bytes (reader) == 0)
    return false;
  code = *reader->at++;
  if (code >= FIRST_TABLE_CODE && code <= LAST_TABLE_CODE)
    return skip_table_coded (reader, code, children);
  if (code < 0x80 || code > LAST_TABLE_CODE)
    return true;
  if (code < 0xa0) /* fixmap or fixarray */
    {
      *children = (uint64_t) (code & 0x0f) * (code < 0x90 ? 2 : 1);
      return *children <= remaining_bytes (reader);
    }
  if ((size_t) (code & 0x1f) > remaining_bytes (reader))
    return false;
  reader->at += code & 0x1f;
  return true;
}

static bool
set_unpack_error (GError **error, enum mt_error code, const char *why)
{
  g_set_error (error, MT_ERROR, code, "msgpack data %s; check that both sides run the same version",
               why);
  return false;
}

static bool
check_structure (struct mt_str bytes, GError **error)
{
  struct reader reader
      = { (const unsigned char *) bytes.data, (const unsigned char *) bytes.data + bytes.len };
  uint64_t open[MT_PACK_MAX_DEPTH] = { 1 }; /* remaining objects at each depth */
  unsigned depth = 0;
  unsigned objects = 0;

  for (;;)
    {
      uint64_t children;

      while (open[depth] == 0 && depth > 0)
        depth--;
      if (open[depth] == 0)
        break;
      open[depth]--;
      if (!skip_header (&reader, &children))
        return set_unpack_error (error, MT_ERROR_SYNTAX, "is truncated or malformed");
      if (++objects > MT_PACK_MAX_OBJECTS)
        return set_unpack_error (error, MT_ERROR_LIMIT, "has too many objects");
      if (children == 0)
        continue;
      if (++depth == MT_PACK_MAX_DEPTH)
        return set_unpack_error (error, MT_ERROR_LIMIT, "is nested too deeply");
      open[depth] = children;
    }
  if (reader.at != reader.end)
    return set_unpack_error (error, MT_ERROR_SYNTAX, "has trailing bytes");
  return true;
}

bool
mt_pack_read (struct mt_str bytes, msgpack_unpacked *out, GError **error)
{
  size_t offset = 0;

  if (!check_structure (bytes, error))
    return false;
  msgpack_unpacked_init (out);
  if (msgpack_unpack_next (out, bytes.data, bytes.len, &offset) == MSGPACK_UNPACK_SUCCESS)
    return true;
  msgpack_unpacked_destroy (out);
  return set_unpack_error (error, MT_ERROR_SYNTAX, "can't be read");
}

void
mt_pack_str (msgpack_packer *packer, struct mt_str s)
{
  msgpack_pack_str (packer, s.len);
  msgpack_pack_str_body (packer, s.data, s.len);
}

void
mt_pack_bin (msgpack_packer *packer, struct mt_str s)
{
  msgpack_pack_bin (packer, s.len);
  msgpack_pack_bin_body (packer, s.data, s.len);
}

bool
mt_pack_get_str (const msgpack_object *object, struct mt_str *out)
{
  if (object->type != MSGPACK_OBJECT_STR)
    return false;
  *out = (struct mt_str){ object->via.str.ptr, object->via.str.size };
  return true;
}

bool
mt_pack_get_bin (const msgpack_object *object, struct mt_str *out)
{
  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  *out = (struct mt_str){ object->via.bin.ptr, object->via.bin.size };
  return true;
}

bool
mt_pack_get_u64 (const msgpack_object *object, uint64_t max, uint64_t *out)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *out = object->via.u64;
  return true;
}

bool
mt_pack_get_unsigned (const msgpack_object *object, unsigned *out)
{
  uint64_t value;

  if (!mt_pack_get_u64 (object, UINT_MAX, &value))
    return false;
  *out = (unsigned) value;
  return true;
}

bool
mt_pack_get_bool (const msgpack_object *object, bool *out)
{
  if (object->type != MSGPACK_OBJECT_BOOLEAN)
    return false;
  *out = object->via.boolean;
  return true;
}

const msgpack_object *
mt_pack_get_array (const msgpack_object *object, size_t n)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != n)
    return NULL;
  return object->via.array.ptr;
}
