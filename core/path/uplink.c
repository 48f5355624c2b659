#include "medlartrack/uplink.h"

#include <glib.h>

/* Share of the link's capacity that remains for bodies and headers after TCP/IP overhead, at some
 * 400 bytes a message. */
#define PAYLOAD_FRACTION 0.85
#define BITS_PER_BYTE    8

struct mt_uplink
mt_uplink_make (double mbps, int64_t now)
{
  return (struct mt_uplink){ .bytes_per_ms = PAYLOAD_FRACTION * mbps * 1000 / BITS_PER_BYTE,
                             .updated_ms = now };
}

int64_t
mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent_bytes, int64_t now)
{
  double drained_bytes = uplink->bytes_per_ms * (double) (now - uplink->updated_ms);

  if (uplink->bytes_per_ms <= 0)
    return 0;
  uplink->backlog_bytes
      = MAX (uplink->backlog_bytes - drained_bytes, 0) + (double) (sent_bytes - uplink->sent_bytes);
  uplink->sent_bytes = sent_bytes;
  uplink->updated_ms = now;
  return (int64_t) (uplink->backlog_bytes / uplink->bytes_per_ms);
}
