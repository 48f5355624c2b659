/* Estimates the backlog of this machine's network link from the bytes sent and the link's capacity.
 * A daemon that sends more than its link carries sees its orders time out at healthy workers, sends
 * them again, and gets less through with each round. Pure functions; single-threaded. Times in
 * milliseconds. */
#ifndef MEDLARTRACK_UPLINK_H
#define MEDLARTRACK_UPLINK_H

#include <stdint.h>

struct mt_uplink
{
  double bytes_per_ms; /* 0: capacity unknown, nothing waits */
  double backlog_bytes;
  uint64_t sent_bytes; /* total at the last call */
  int64_t updated_ms;
};

/* mbps: link capacity in megabits per second; 0 if unknown. */
struct mt_uplink mt_uplink_make (double mbps, int64_t now);
/* sent_bytes: total sent so far. Returns how long data sent now waits before it leaves. */
int64_t mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent_bytes, int64_t now);

#endif
