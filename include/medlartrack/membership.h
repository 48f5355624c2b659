/* Who is there: the daemons that this one hears of, what each has in force and carries. Pure state,
 * fed with heartbeats; no I/O. Not thread-safe: the owner holds a lock around every call.
 *
 * Each daemon gossips: it asks a few others in turn, telling the newest heartbeat that it has of
 * everyone, and gets back what is newer. A member is judged by when its heartbeat last grew, never
 * by another's opinion, and by a clock that stands still while this daemon itself was paused. */
#ifndef MEDLARTRACK_MEMBERSHIP_H
#define MEDLARTRACK_MEMBERSHIP_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

#define MT_MEMBERSHIP_HEARTBEAT_US                                                                 \
  MT_SECOND /* the owner calls mt_membership_heartbeat this often */
#define MT_MEMBERSHIP_SUSPECT_US        (5 * MT_SECOND)  /* silent this long: not alive */
#define MT_MEMBERSHIP_REMOVE_US         (30 * MT_SECOND) /* silent this long: forgotten */
#define MT_MEMBERSHIP_MAX_MEMBERS       256              /* members; more are not taken in */
#define MT_MEMBERSHIP_MAX_LOADS         4096         /* minions or pools in one member's report */
#define MT_MEMBERSHIP_MAX_MESSAGE_BYTES (256 * 1024) /* bytes of one heartbeat message */

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

/* Whether this daemon itself gets through to another. */
enum mt_reach
{
  MT_REACH_UNTRIED,
  MT_REACH_YES, /* its last call was answered */
  MT_REACH_NO,  /* its last call was not, though the member may be heard of through others */
};

struct mt_member
{
  char *name;
  char *zone;
  char *address;             /* IP:PORT of its peer listener */
  uint64_t incarnation;      /* a restart under the same name has a higher one */
  uint64_t heartbeat;        /* grows with each of its own heartbeats */
  int64_t heartbeat_seen_us; /* when this daemon last saw it grow, on the membership's own clock */
  int64_t heartbeat_age_us;  /* since then; up to date in what a visitor or a search gets */
  bool leaving;              /* it stops gracefully */
  enum mt_reach reach;
  uint64_t tables_version;
  uint64_t assign_version; /* assignment document in force, 0 for none */
  /* Only from members of this daemon's own data centre; empty otherwise. A minion or pool that is
   * not listed had nothing. */
  uint64_t loads_assign_version; /* the assignment in force when the loads were taken */
  struct mt_member_load *loads;
  size_t n_loads;
  struct mt_member_demand *demands;
  size_t n_demands;
};

enum mt_membership_event
{
  MT_MEMBER_JOINED,         /* first heard of, heard of again after removal, or restarted */
  MT_MEMBER_SUSPECTED,      /* silent for the suspicion time */
  MT_MEMBER_RECOVERED,      /* suspected, and its heartbeat grew again */
  MT_MEMBER_REMOVED,        /* silent for the removal time, or done leaving */
  MT_MEMBER_LEAVING,        /* told that it stops */
  MT_MEMBER_DUPLICATE_NAME, /* two processes beat under one name */
};

struct mt_membership_callbacks
{
  const char *name;
  const char *description;
  /* Called inside the membership's own calls; the pointer is not kept. */
  void (*changed) (void *ctx, enum mt_membership_event event, const struct mt_member *member);
};

struct mt_membership_options
{
  const struct mt_clock *clock;
  const char *name; /* copied, as the next two */
  const char *zone;
  const char *address;
  uint64_t incarnation;                            /* wall time at start in microseconds serves */
  const struct mt_membership_callbacks *callbacks; /* or NULL */
  void *ctx;
};

struct mt_membership;

struct mt_membership *mt_membership_create (const struct mt_membership_options *options);
void mt_membership_destroy (struct mt_membership *membership);

/* This daemon's own news, told with its next heartbeat. Versions never go down. */
void
mt_membership_set_versions (struct mt_membership *membership, uint64_t tables, uint64_t assign);
void mt_membership_set_leaving (struct mt_membership *membership);
/* Copies what is not zero. What is published is bounded in bytes a second, see docs/membership.md;
 * a changed assignment version is published at once, since drains wait for it. */
void mt_membership_set_loads (struct mt_membership *membership,
                              const struct mt_member_load *loads,
                              size_t n_loads,
                              const struct mt_member_demand *demands,
                              size_t n_demands);
/* One heartbeat of this daemon's own; judges the others' silence. */
void mt_membership_heartbeat (struct mt_membership *membership);

/* The three steps of one exchange. Each result is malloced, the caller frees it. */
char *mt_membership_make_request (struct mt_membership *membership, size_t *len);
/* Takes what the ask tells and answers what is newer here; NULL with an error for a bad ask. */
char *mt_membership_handle_request (struct mt_membership *membership,
                                    struct mt_str ask,
                                    size_t *len,
                                    GError **error);
/* Takes an answer; nothing of a bad one is taken. *from is the g_freed name of who answered. */
bool mt_membership_handle_response (struct mt_membership *membership,
                                    struct mt_str answer,
                                    char **from,
                                    GError **error);
/* How a call of this daemon's own to the member ended. */
void mt_membership_record_call (struct mt_membership *membership, const char *name, bool ok);

/* Addresses to ask next, each g_freed: the members in turn, so that each is called within
 * members/count rounds; now and then also one that was removed, to find the other side of a cut
 * that has healed. Returns how many. */
size_t mt_membership_pick_peers (struct mt_membership *membership, char **out, size_t count);

/* The member, or NULL; valid until the next call that changes the membership. */
const struct mt_member *mt_membership_find (struct mt_membership *membership, const char *name);
const struct mt_member *mt_membership_self (struct mt_membership *membership);
/* Heard of within the suspicion time, one that is leaving included; this daemon itself always is.
 */
bool mt_membership_is_alive (const struct mt_member *member);
/* All members, dead ones that are not yet removed included, in the order of their names. */
void mt_membership_each (struct mt_membership *membership,
                         void (*visit) (void *ctx, const struct mt_member *member),
                         void *ctx);
size_t mt_membership_count (const struct mt_membership *membership);

#endif
