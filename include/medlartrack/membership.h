/* Who is there: the daemons that this one hears of, what each has in force and carries. Pure state,
 * fed with heartbeats; no I/O. Not thread-safe: the owner holds a lock around every call. */
#ifndef MEDLARTRACK_MEMBERSHIP_H
#define MEDLARTRACK_MEMBERSHIP_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

/* In flight on one minion, as one daemon reports it. */
struct mt_member_load
{
  char *minion;
  unsigned in_flight;
};

/* Waiting and in flight in one pool, as one daemon reports it. */
struct mt_member_demand
{
  char *pool;
  unsigned waiting;
  unsigned in_flight;
  unsigned rate_milli; /* requests a second, times 1000, a moving mean */
};

struct mt_member
{
  char *name;
  char *zone;
  char *address;        /* IP:PORT of its peer listener */
  uint64_t incarnation; /* a restart under the same name has a higher one */
  uint64_t heartbeat;   /* grows with each of its own heartbeats */
  int64_t heard_us;     /* when this daemon last saw it grow, on its own clock */
  bool leaving;         /* it stops gracefully */
  uint64_t tables_version;
  uint64_t assign_version; /* assignment document in force, 0 for none */
  /* Only from members of this daemon's own data centre; empty otherwise. */
  struct mt_member_load *loads;
  size_t n_loads;
  struct mt_member_demand *demands;
  size_t n_demands;
};

#endif
