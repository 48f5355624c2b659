/* Membership: the daemons known to this one, the versions that each has in force and the load that
 * each reports. Pure state, updated by heartbeats; does no I/O. Not thread-safe: the owner holds a
 * lock around every call.
 *
 * Daemons gossip: each calls a few others in turn, sends the newest heartbeat that it knows of
 * every member, and gets back those that are newer at the other daemon. A member's state depends
 * only on when its heartbeat last grew, never on another daemon's opinion, and on a clock that does
 * not advance while this daemon is paused. */
#ifndef MEDLARTRACK_MEMBERSHIP_H
#define MEDLARTRACK_MEMBERSHIP_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

#define MT_MEMBERSHIP_HEARTBEAT_US      MT_SECOND /* interval of mt_membership_heartbeat calls */
#define MT_MEMBERSHIP_SUSPECT_US        (5 * MT_SECOND)  /* no heartbeat for this time: not alive */
#define MT_MEMBERSHIP_REMOVE_US         (30 * MT_SECOND) /* no heartbeat for this time: removed */
#define MT_MEMBERSHIP_MAX_MEMBERS       256              /* further members are not added */
#define MT_MEMBERSHIP_MAX_LOADS         4096 /* minions or pools in one member's report */
#define MT_MEMBERSHIP_MAX_MESSAGE_BYTES (256 * 1024)

/* Requests in flight on one minion, as reported by one daemon. */
struct mt_member_load
{
  char *minion;
  unsigned in_flight;
};

/* Requests waiting and in flight in one pool, as reported by one daemon. */
struct mt_member_demand
{
  char *pool;
  unsigned waiting;
  unsigned in_flight;
  unsigned rate_milli; /* requests per second, times 1000, a moving mean */
};

/* Whether this daemon can call another one directly. */
enum mt_reach
{
  MT_REACH_UNTRIED,
  MT_REACH_YES, /* the last call to the member was answered */
  MT_REACH_NO,  /* the last call failed, though heartbeats may arrive through others */
};

struct mt_member
{
  char *name;
  char *zone;
  char *address;             /* IP:PORT of its peer listener */
  uint64_t incarnation;      /* higher after a restart under the same name */
  uint64_t heartbeat;        /* number of its newest heartbeat known here */
  int64_t heartbeat_seen_us; /* when heartbeat last grew here, on the membership's own clock */
  int64_t heartbeat_age_us;  /* time since heartbeat_seen_us; updated before a member is returned or
                                visited */
  bool leaving;              /* stopping gracefully */
  enum mt_reach reach;
  uint64_t tables_version;
  uint64_t assign_version; /* version of the assignment document in force; 0: none */
  /* Only for members of this daemon's own data centre; empty otherwise. A minion or pool that is
   * not listed has no load. */
  uint64_t loads_assign_version; /* version of the document in force when the loads were read */
  struct mt_member_load *loads;
  size_t n_loads;
  struct mt_member_demand *demands;
  size_t n_demands;
};

enum mt_membership_event
{
  MT_MEMBER_JOINED,         /* new, back after removal, or restarted */
  MT_MEMBER_SUSPECTED,      /* no heartbeat for MT_MEMBERSHIP_SUSPECT_US */
  MT_MEMBER_RECOVERED,      /* was suspected, and its heartbeat grew again */
  MT_MEMBER_REMOVED,        /* no heartbeat for MT_MEMBERSHIP_REMOVE_US, or finished leaving */
  MT_MEMBER_LEAVING,        /* announced that it stops */
  MT_MEMBER_DUPLICATE_NAME, /* two processes send heartbeats under one name */
};

struct mt_membership_callbacks
{
  const char *name;
  const char *description;
  /* Called from within the membership's functions; member is valid only during the call. */
  void (*changed) (void *ctx, enum mt_membership_event event, const struct mt_member *member);
};

struct mt_membership_options
{
  const struct mt_clock *clock;
  const char *name; /* name, zone and address are copied */
  const char *zone;
  const char *address;
  uint64_t incarnation; /* for example the wall time at start, in microseconds */
  const struct mt_membership_callbacks *callbacks; /* NULL: none */
  void *ctx;
};

struct mt_membership;

/* clock and callbacks must outlive the result; free it with mt_membership_destroy. */
struct mt_membership *mt_membership_create (const struct mt_membership_options *options);
void mt_membership_destroy (struct mt_membership *membership);

/* Sets this daemon's versions, published with its next heartbeat. Versions never decrease. */
void
mt_membership_set_versions (struct mt_membership *membership, uint64_t tables, uint64_t assign);
/* Announces with the next heartbeats that this daemon stops. */
void mt_membership_set_leaving (struct mt_membership *membership);
/* Sets this daemon's load report. Entries that are not all zero are copied, the others left out.
 * Publishing is limited in bytes per second, see docs/membership.md; a changed assignment version
 * is published at once, since drains wait for it. */
void mt_membership_set_loads (struct mt_membership *membership,
                              const struct mt_member_load *loads,
                              size_t n_loads,
                              const struct mt_member_demand *demands,
                              size_t n_demands);
/* Advances this daemon's own heartbeat; suspects and removes silent members. */
void mt_membership_heartbeat (struct mt_membership *membership);

/* The three steps of one gossip exchange. Messages are freed with free.
 *
 * Returns the request to send to another daemon. */
char *mt_membership_make_request (struct mt_membership *membership, size_t *len);
/* Merges a request and returns a response with everything that is newer here; NULL with an error if
 * the request is invalid. */
char *mt_membership_handle_request (struct mt_membership *membership,
                                    struct mt_str request,
                                    size_t *len,
                                    GError **error);
/* Merges a response and sets *responder to the name of its sender, to be freed with g_free. Returns
 * false with an error if the response is invalid; it is then rejected as a whole. */
bool mt_membership_handle_response (struct mt_membership *membership,
                                    struct mt_str response,
                                    char **responder,
                                    GError **error);
/* Records the result of this daemon's own call to a member. */
void mt_membership_record_call (struct mt_membership *membership, const char *name, bool ok);

/* Stores up to count addresses to call next, each to be freed with g_free, and returns their
 * number. Members are picked in turn, so that each is called within members/count rounds.
 * Occasionally a removed member is picked as well, to find the other side of a network partition
 * that has healed. */
size_t mt_membership_pick_peers (struct mt_membership *membership, char **out, size_t count);

/* Return the member of that name (NULL if there is none) and this daemon's own entry; valid until
 * the next call that changes the membership. */
const struct mt_member *mt_membership_find (struct mt_membership *membership, const char *name);
const struct mt_member *mt_membership_self (struct mt_membership *membership);
/* Returns whether a heartbeat has arrived within MT_MEMBERSHIP_SUSPECT_US, also for members that
 * are leaving. This daemon itself is always alive. */
bool mt_membership_is_alive (const struct mt_member *member);
/* Calls visit for all members in the order of their names, including silent ones that are not yet
 * removed. */
void mt_membership_each (struct mt_membership *membership,
                         void (*visit) (void *ctx, const struct mt_member *member),
                         void *ctx);
/* Returns the number of members. */
size_t mt_membership_count (const struct mt_membership *membership);

#endif
