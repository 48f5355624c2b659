/* Order in which daemons claim a free leadership. Pure functions; any thread. Times are
 * milliseconds of one clock. */
#ifndef MEDLARTRACK_LEADER_RANK_H
#define MEDLARTRACK_LEADER_RANK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct mt_leader_candidate
{
  const char *name;
  double cores;         /* cores of its machine that the daemon may use */
  unsigned leaderships; /* number of leaderships that it holds */
};

/* Returns the number of members that rank before members[self]: those with clearly more cores, then
 * those with fewer leaderships, then by a hash that differs by leadership. Daemons with the same
 * view of the members agree on the ranks. */
unsigned mt_leader_rank (const char *leadership,
                         const struct mt_leader_candidate *members,
                         size_t n,
                         size_t self);

/* One daemon's claim on a free leadership. */
struct mt_leader_candidacy
{
  bool was_leader;    /* this daemon held the leadership when all leases ended */
  unsigned rank;      /* of this daemon, from mt_leader_rank */
  int64_t free_since; /* when the leadership was seen to be free */
  int64_t joined_at;  /* when this daemon's member key was last written */
};

/* Returns whether the daemon may claim a free leadership. It may claim one that it held at once.
 * Otherwise each rank waits for those before it, and every daemon waits after joining until the
 * others have appeared: after an outage the member table is empty, so each daemon would rank first,
 * and a small machine could lead a pool in its surge. */
bool mt_leader_may_acquire (const struct mt_leader_candidacy *candidacy, int64_t now);

#endif
