/* The bytes of a frame, without I/O: see peer.h for the format. Pure functions, any thread. */
#ifndef MT_FRAME_H
#define MT_FRAME_H

#include "medlartrack/str.h"

#include <glib.h>

#define MT_FRAME_HEADER_BYTES     4 /* bytes of the length */
#define MT_FRAME_MAX_SENDER_BYTES 64

struct mt_frame
{
  unsigned type;
  struct mt_str sender; /* borrows from the payload */
  struct mt_str body;   /* likewise */
};

/* Head and payload in one g_malloced block, NULL where the frame would pass
 * MT_PEER_MAX_FRAME_BYTES. */
char *mt_frame_encode (unsigned type, struct mt_str sender, struct mt_str body, size_t *len);
/* The payload's length; false with MT_ERROR_LIMIT where it is 0 or passes MT_PEER_MAX_FRAME_BYTES.
 */
bool mt_frame_length (const char head[MT_FRAME_HEADER_BYTES], size_t *len, GError **error);
/* Reads a payload, head not included. MT_ERROR_SYNTAX or MT_ERROR_LIMIT where it is no frame. */
bool mt_frame_decode (struct mt_str payload, struct mt_frame *out, GError **error);

#endif
