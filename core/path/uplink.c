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
                             .at = now };
}

int64_t
mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent, int64_t now)
{
  double left = uplink->bytes_per_ms * (double) (now - uplink->at);

  if (uplink->bytes_per_ms <= 0)
    return 0;
  uplink->waiting = MAX (uplink->waiting - left, 0) + (double) (sent - uplink->sent);
  uplink->sent = sent;
  uplink->at = now;
  return (int64_t) (uplink->waiting / uplink->bytes_per_ms);
}
