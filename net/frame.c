#include "frame.h"

#include "medlartrack/error.h"
#include "medlartrack/pack.h"
#include "peer.h"

#include <arpa/inet.h>
#include <string.h>

char *
mt_frame_encode (unsigned type, struct mt_str sender, struct mt_str body, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint32_t header = 0;
  char *bytes = NULL;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (&buffer, (const char *) &header, sizeof header);
  msgpack_pack_array (&packer, 4);
  msgpack_pack_unsigned_int (&packer, MT_PEER_PROTOCOL);
  msgpack_pack_unsigned_int (&packer, type);
  mt_pack_str (&packer, sender);
  mt_pack_bin (&packer, body);
  if (buffer.size <= MT_PEER_MAX_FRAME_BYTES)
    {
      header = htonl ((uint32_t) (buffer.size - MT_FRAME_HEADER_BYTES));
      memcpy (buffer.data, &header, sizeof header);
      *len = buffer.size;
      bytes = g_memdup2 (buffer.data, buffer.size);
    }
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

bool
mt_frame_length (const char header[MT_FRAME_HEADER_BYTES], size_t *len, GError **error)
{
  uint32_t value;

  memcpy (&value, header, sizeof value);
  *len = ntohl (value);
  if (*len > 0 && *len <= MT_PEER_MAX_FRAME_BYTES - MT_FRAME_HEADER_BYTES)
    return true;
  g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
               "frame of %zu bytes, the limit is %d; check that a daemon is at the other end", *len,
               MT_PEER_MAX_FRAME_BYTES);
  return false;
}

static bool
parse_fields (const msgpack_object *root, struct mt_frame *out, GError **error)
{
  const msgpack_object *fields = mt_pack_get_array (root, 4);
  uint64_t protocol;
  uint64_t type;

  if (fields != NULL && mt_pack_get_u64 (&fields[0], UINT32_MAX, &protocol)
      && protocol != MT_PEER_PROTOCOL)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "frame of protocol %" G_GUINT64_FORMAT ", this is %d; update the older daemon",
                   protocol, MT_PEER_PROTOCOL);
      return false;
    }
  if (fields != NULL && fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && mt_pack_get_u64 (&fields[1], MT_PEER_TYPES - 1, &type) && type > 0
      && mt_pack_get_str (&fields[2], &out->sender) && out->sender.len <= MT_FRAME_MAX_SENDER_BYTES
      && mt_pack_get_bin (&fields[3], &out->body))
    {
      out->type = (unsigned) type;
      return true;
    }
  g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
               "frame is not [protocol, type, sender, body]; check that a daemon sent it");
  return false;
}

bool
mt_frame_decode (struct mt_str payload, struct mt_frame *out, GError **error)
{
  msgpack_unpacked unpacked;
  bool ok;

  *out = (struct mt_frame){ 0 };
  if (!mt_pack_read (payload, &unpacked, error))
    return false;
  ok = parse_fields (&unpacked.data, out, error);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
