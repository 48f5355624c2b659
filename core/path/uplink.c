#include "medlartrack/uplink.h"

#include <glib.h>

/* Of what the link carries, so much is left for bodies and headers once TCP/IP has had its own, at
 * some 400 bytes a message. */
#define PAYLOAD_SHARE  0.85
#define BITS_OF_A_BYTE 8

struct mt_uplink
mt_uplink_make (double mbps, int64_t now)
{
  return (struct mt_uplink){ .bytes_per_ms = PAYLOAD_SHARE * mbps * 1000 / BITS_OF_A_BYTE,
                             .updated_ms = now };
}

int64_t
mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent, int64_t now)
{
  double left = uplink->bytes_per_ms * (double) (now - uplink->updated_ms);

  if (uplink->bytes_per_ms <= 0)
    return 0;
  uplink->backlog_bytes
      = MAX (uplink->backlog_bytes - left, 0) + (double) (sent - uplink->sent_bytes);
  uplink->sent_bytes = sent;
  uplink->updated_ms = now;
  return (int64_t) (uplink->backlog_bytes / uplink->bytes_per_ms);
}
