/* Which daemon takes a free duty first. A pure function; any thread. */
#ifndef MEDLARTRACK_DUTY_RANK_H
#define MEDLARTRACK_DUTY_RANK_H

#include <stddef.h>

struct mt_duty_member
{
  const char *name;
  double cores;    /* of its machine, for the daemon */
  unsigned duties; /* that it has */
};

/* How many of the members come before the one at self: those with clearly more cores, then those
 * with fewer duties, then by a hash that differs by duty. All daemons with one view agree. */
unsigned
mt_duty_rank (const char *duty, const struct mt_duty_member *members, size_t n, size_t self);

#endif
