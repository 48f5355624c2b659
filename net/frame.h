/* Encodes and decodes frames, without I/O; peer.h describes the format. Any thread may call. */
#ifndef MT_FRAME_H
#define MT_FRAME_H

#include "medlartrack/str.h"

#include <glib.h>

#define MT_FRAME_HEADER_BYTES     4 /* size of the length field */
#define MT_FRAME_MAX_SENDER_BYTES 64

struct mt_frame
{
  unsigned type;
  struct mt_str sender; /* borrows from the payload */
  struct mt_str body;   /* borrows from the payload */
};

/* Returns header and payload in one block, to be freed with g_free; NULL if the frame would exceed
 * MT_PEER_MAX_FRAME_BYTES. */
char *mt_frame_encode (unsigned type, struct mt_str sender, struct mt_str body, size_t *len);
/* Reads the payload's length. Errors: MT_ERROR_LIMIT if it is 0 or the frame exceeds
 * MT_PEER_MAX_FRAME_BYTES. */
bool mt_frame_length (const char header[MT_FRAME_HEADER_BYTES], size_t *len, GError **error);
/* Decodes a payload, without the header. Errors: MT_ERROR_SYNTAX or MT_ERROR_LIMIT if it is
 * malformed. */
bool mt_frame_decode (struct mt_str payload, struct mt_frame *out, GError **error);

#endif
