/* What waits to leave through this machine's link, reckoned from what was sent and from what the
 * link carries. A daemon that hands its link more than it carries finds its own orders overdue at
 * workers that are well, sends them again, and carries less with each round. Pure; one thread.
 * Times in milliseconds. */
#ifndef MEDLARTRACK_UPLINK_H
#define MEDLARTRACK_UPLINK_H

#include <stdint.h>

struct mt_uplink
{
  double bytes_per_ms;  /* 0: the link is not known, and nothing waits */
  double backlog_bytes; /* bytes */
  uint64_t sent_bytes;  /* bytes in all, as last told */
  int64_t updated_ms;
};

/* mbps: what the link carries, in millions of bits a second; 0 where it isn't known. */
struct mt_uplink mt_uplink_make (double mbps, int64_t now);
/* sent: bytes sent so far in all. How long what is sent now would wait before it leaves. */
int64_t mt_uplink_wait_ms (struct mt_uplink *uplink, uint64_t sent, int64_t now);

#endif
