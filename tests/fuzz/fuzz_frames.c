/* Any payload is rejected with an error, or gives a frame that is unchanged after encoding and
 * decoding. */
#include "fuzz.h"

#include "frame.h"

#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  struct mt_frame frame;
  struct mt_frame back;
  g_autofree char *encoded = NULL;
  size_t payload = 0;
  size_t len = 0;

  if (!mt_frame_decode ((struct mt_str){ (const char *) data, size }, &frame, &error))
    {
      g_assert (error != NULL);
      return 0;
    }
  encoded = mt_frame_encode (frame.type, frame.sender, frame.body, &len);
  g_assert (encoded != NULL);
  g_assert (mt_frame_length (encoded, &payload, NULL));
  g_assert (payload == len - MT_FRAME_HEADER_BYTES);
  g_assert (
      mt_frame_decode ((struct mt_str){ encoded + MT_FRAME_HEADER_BYTES, payload }, &back, NULL));
  g_assert (back.type == frame.type);
  g_assert (mt_str_equal (back.sender, frame.sender) && mt_str_equal (back.body, frame.body));
  return 0;
}
