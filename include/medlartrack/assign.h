/* The assignment document of one data centre: which pool each instance serves, and since which
 * epoch.
 *
 * The whole document is one value in the platform's store and is only changed by compare-and-swap.
 * Transitions do no I/O: they change a copy made by mt_assign_next and set the epoch of the changed
 * record to the version of that copy. A document isn't thread-safe while it is changed; once
 * published it is immutable. The document owns all strings in it. */
#ifndef MEDLARTRACK_ASSIGN_H
#define MEDLARTRACK_ASSIGN_H

#include "medlartrack/membership.h"
#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_ASSIGN_PREFIX  "medlartrack/assign/"  /* the document, by data centre */
#define MT_PLANNER_PREFIX "medlartrack/planner/" /* the planner's lease, by data centre */
#define MT_HOLDERS_PREFIX "medlartrack/holders/" /* ZONE/NAME/: daemon may hold a document */

enum mt_assign_state
{
  MT_ASSIGN_SERVING,   /* gets requests of its pool */
  MT_ASSIGN_DRAINING,  /* gets no new requests and completes those in flight */
  MT_ASSIGN_REBOOTING, /* confirmed empty; the reboot with this epoch is ordered */
  MT_ASSIGN_OUT,       /* confirmed empty; leaving or gone */
};

/* Why an instance drains. */
enum mt_assign_goal
{
  MT_GOAL_NONE, /* it does not drain */
  MT_GOAL_MOVE, /* to serve another pool */
  MT_GOAL_REBOOT,
  MT_GOAL_LEAVE,
};

/* State of an instance in its pool's maintenance wave. */
enum mt_wave_state
{
  MT_WAVE_WAITING,
  MT_WAVE_DONE,
  MT_WAVE_SKIPPED,
};

/* Who reported that an instance leaves; bits. */
enum mt_leave_cause
{
  MT_LEAVE_TABLES = 1,
  MT_LEAVE_PLATFORM = 2,
  MT_LEAVE_REFUSAL = 4,
};

struct mt_assign_record
{
  const char *instance;
  const char *home;   /* pool that it belongs to by the tables */
  const char *pool;   /* pool that it serves or served last */
  const char *target; /* pool that it moves to once drained, or NULL */
  enum mt_assign_state state;
  enum mt_assign_goal goal;
  enum mt_wave_state wave_state;
  unsigned leave_causes;   /* enum mt_leave_cause bits */
  uint64_t boot_when_left; /* its boot number when it left; only a later boot lets it return */
  uint64_t epoch;          /* version of the document in which pool or state last changed */
  int64_t since_s;         /* Unix time of that change */
};

struct mt_assign_wave
{
  const char *pool;
  const char *id;
};

struct mt_assign
{
  uint64_t version;                 /* incremented by each write */
  const char *id;                   /* unique to the write, to recognise it after a lost answer */
  uint64_t tables_version;          /* version of the tables from which it was decided */
  struct mt_assign_record *records; /* sorted by instance */
  size_t n_records;
  struct mt_assign_wave *waves; /* wave begun last in each pool */
  size_t n_waves;
};

/* Returns an empty document of version 0; free it with mt_assign_destroy. */
struct mt_assign *mt_assign_create (void);
/* Returns the parsed document; NULL with MT_ERROR_SYNTAX if json isn't valid. */
struct mt_assign *mt_assign_parse (struct mt_str json, GError **error);
void mt_assign_destroy (struct mt_assign *assign);
/* Returns the document as JSON text; free it with g_free. */
char *mt_assign_format (const struct mt_assign *assign);
/* Returns a copy with the next version, to be changed and written. id: unique to the write. */
struct mt_assign *mt_assign_next (const struct mt_assign *assign, const char *id);

/* Returns the instance's record, valid until records are added or removed; NULL if none. */
struct mt_assign_record *mt_assign_find (const struct mt_assign *assign, const char *instance);
/* Returns whether the instance serves the pool; false if assign is NULL. */
bool mt_assign_serves (const struct mt_assign *assign, const char *instance, const char *pool);
/* Returns the id of the wave begun last in the pool; "" if there was none. */
const char *mt_assign_wave_id (const struct mt_assign *assign, const char *pool);

/* ---- transitions, on a document from mt_assign_next; now_s: Unix time ---- */

/* Adds the record of a new instance, which serves its home pool. The record is valid until records
 * are added or removed. */
struct mt_assign_record *
mt_assign_add (struct mt_assign *next, const char *instance, const char *pool, int64_t now_s);
/* Removes the record of an instance, if there is one. */
void mt_assign_remove (struct mt_assign *next, const char *instance);
/* Sets the home pool; the instance then waits for that pool's wave. */
void mt_assign_set_home (struct mt_assign *next, struct mt_assign_record *record, const char *pool);
/* Begins a new wave in the pool: sets the wave state of its home instances to MT_WAVE_WAITING. */
void mt_assign_begin_wave (struct mt_assign *next, const char *pool, const char *id);
/* Begins a drain. target: pool to move to; NULL unless goal is MT_GOAL_MOVE. */
void mt_assign_drain (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_assign_goal goal,
                      const char *target,
                      int64_t now_s);
/* Lets the instance serve the pool. Requires that mt_assign_drain_confirmed is true, or that pool
 * is the one from which the instance drains. */
void mt_assign_serve (struct mt_assign *next,
                      struct mt_assign_record *record,
                      const char *pool,
                      int64_t now_s);
/* Mark the instance as rebooting, or as out. Both require mt_assign_drain_confirmed to be true. */
void mt_assign_reboot (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
void mt_assign_out (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
/* Adds a cause for the instance to leave; if it serves, its drain begins. boot: its current boot
 * number. Returns false if the cause was known already. */
bool mt_assign_leave (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_leave_cause cause,
                      uint64_t boot,
                      int64_t now_s);

/* Last report of one daemon of the data centre. */
struct mt_assign_member
{
  const char *name;
  bool gone;        /* the platform's list reports the daemon's instance as gone */
  uint64_t version; /* version of the document in force there; 0: never reported */
  const struct mt_member_load *loads;
  size_t n_loads;
};

/* Returns whether it is certain that no daemon sends, or has in flight, any requests of the
 * record's old pool. If not, *held_by is set to the first daemon that may; held_by may be NULL. */
bool mt_assign_drain_confirmed (const struct mt_assign_record *record,
                                const struct mt_assign_member *members,
                                size_t n_members,
                                const char **held_by);

#endif
