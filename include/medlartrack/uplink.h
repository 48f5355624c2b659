/* Estimates the backlog of this machine's network link from the bytes sent and the link's capacity.
 * A daemon that sends more than its link carries sees its orders time out at healthy workers, sends
 * them again, and gets less through with each round. Does no I/O. Not thread-safe. Times are
 * milliseconds. */
#ifndef MEDLARTRACK_UPLINK_H
#define MEDLARTRACK_UPLINK_H

#include <stdint.h>

struct mt_uplink
{
  double bytes_per_ms; /* 0: capacity unknown; nothing counts as waiting */
  double backlog_bytes;
  uint64_t sent_bytes; /* sent_bytes of the last call */
  int64_t updated_ms;
};

/* Returns an estimate without backlog. mbps: link capacity in megabits per second; 0: unknown. */
struct mt_uplink mt_uplink_make (double mbps, int64_t now);
/* Returns how long data sent now waits before it leaves. sent_bytes: total sent so far. */
int64_t mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent_bytes, int64_t now);

#endif
