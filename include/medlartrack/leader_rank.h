/* Which daemon takes a free leadership first. A pure function; any thread. */
#ifndef MEDLARTRACK_LEADER_RANK_H
#define MEDLARTRACK_LEADER_RANK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct mt_leader_candidate
{
  const char *name;
  double cores;         /* of its machine, for the daemon */
  unsigned leaderships; /* that it has */
};

/* How many of the members come before the one at self: those with clearly more cores, then those
 * with fewer leaderships, then by a hash that differs by leadership. All daemons with one view
 * agree. */
unsigned mt_leader_rank (const char *leadership,
                         const struct mt_leader_candidate *members,
                         size_t n,
                         size_t self);

struct mt_leader_candidacy
{
  bool was_leader;    /* it was this daemon's when all leases ended */
  unsigned rank;      /* of this daemon, as mt_leader_rank has it */
  int64_t free_since; /* milliseconds, as all of these */
  int64_t joined_at;  /* when this daemon's own key was written last */
};

/* Whether the daemon may take a free leadership. What it had it takes at once; else each rank waits
 * for those before it, and all wait after they have joined until the others have shown up: with a
 * table of members that is empty after an outage, each daemon would come first, and a small machine
 * would lead the pool that surges. */
bool mt_leader_may_acquire (const struct mt_leader_candidacy *turn, int64_t now);

#endif
