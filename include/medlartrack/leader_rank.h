/* Which daemon takes a free leadership first. A pure function; any thread. */
#ifndef MEDLARTRACK_LEADER_RANK_H
#define MEDLARTRACK_LEADER_RANK_H

#include <stddef.h>

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

#endif
