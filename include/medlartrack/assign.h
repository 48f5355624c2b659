/* The assignment document of one data centre: records of which pool each instance serves, and since
 * which epoch.
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
#define MT_HOLDERS_PREFIX "medlartrack/holders/" /* ZONE/NAME/: may hold a document */

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
  MT_GOAL_NONE,
  MT_GOAL_MOVE,
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
  uint64_t epoch;          /* version of the document that last changed pool or state */
  int64_t since_s;         /* wall-clock time of that change */
};

struct mt_assign_wave
{
  const char *pool;
  const char *id;
};

struct mt_assign
{
  uint64_t version;                 /* incremented by each write */
  const char *id;                   /* unique to the write, to recognise it if its answer is lost */
  uint64_t tables_version;          /* version of the tables that it was decided from */
  struct mt_assign_record *records; /* sorted by instance */
  size_t n_records;
  struct mt_assign_wave *waves; /* last wave begun in each pool */
  size_t n_waves;
};

struct mt_assign *mt_assign_create (void);
/* NULL with MT_ERROR_SYNTAX if json isn't a valid document. */
struct mt_assign *mt_assign_parse (struct mt_str json, GError **error);
void mt_assign_destroy (struct mt_assign *assign);
/* Returns JSON text; free with g_free. */
char *mt_assign_format (const struct mt_assign *assign);
/* Returns a copy to change, with the next version. id: unique to the write. */
struct mt_assign *mt_assign_next (const struct mt_assign *assign, const char *id);

struct mt_assign_record *mt_assign_find (const struct mt_assign *assign, const char *instance);
/* Whether the instance serves the pool; assign may be NULL. */
bool mt_assign_serves (const struct mt_assign *assign, const char *instance, const char *pool);
const char *mt_assign_wave_id (const struct mt_assign *assign, const char *pool);

/* Transitions, on a document from mt_assign_next. */
struct mt_assign_record *
mt_assign_add (struct mt_assign *next, const char *instance, const char *pool, int64_t now_s);
void mt_assign_remove (struct mt_assign *next, const char *instance);
void mt_assign_set_home (struct mt_assign *next, struct mt_assign_record *record, const char *pool);
/* Begins a new wave in the pool: resets the wave state of all its instances. */
void mt_assign_begin_wave (struct mt_assign *next, const char *pool, const char *id);
void mt_assign_drain (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_assign_goal goal,
                      const char *target,
                      int64_t now_s);
/* Only if mt_assign_drain_confirmed holds, or for the pool that the instance drains from. */
void mt_assign_serve (struct mt_assign *next,
                      struct mt_assign_record *record,
                      const char *pool,
                      int64_t now_s);
/* Only if mt_assign_drain_confirmed holds. */
void mt_assign_reboot (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
void mt_assign_out (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
/* Adds a cause to leave and drains a serving instance at once. boot: the instance's current boot
 * number. False if nothing changed. */
bool mt_assign_leave (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_leave_cause cause,
                      uint64_t boot,
                      int64_t now_s);

/* What one daemon of the data centre last reported. */
struct mt_assign_member
{
  const char *name;
  bool gone;        /* the platform's list reports the daemon's instance as gone */
  uint64_t version; /* document in force there; 0: never reported */
  const struct mt_member_load *loads;
  size_t n_loads;
};

/* Whether no daemon can send, or has in flight, any requests of the record's old pool. If not, and
 * held_by is not NULL, it is set to the first daemon that may. */
bool mt_assign_drain_confirmed (const struct mt_assign_record *record,
                                const struct mt_assign_member *members,
                                size_t n_members,
                                const char **held_by);

#endif
