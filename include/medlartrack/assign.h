/* The assignment records of one data centre: which pool each instance serves, and since which
 * epoch.
 *
 * The whole document is one value of the platform, changed by compare-and-swap only. Transitions
 * are pure: they change a copy made by mt_assign_next, and stamp the record with that copy's
 * version as its epoch. A document isn't thread-safe while it is changed; once published it is
 * immutable. All strings in it live as long as it. */
#ifndef MEDLARTRACK_ASSIGN_H
#define MEDLARTRACK_ASSIGN_H

#include "medlartrack/membership.h"
#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_ASSIGN_PREFIX  "medlartrack/assign/"  /* followed by the data centre */
#define MT_PLANNER_PREFIX "medlartrack/planner/" /* the planner's lease, likewise */
#define MT_HOLDERS_PREFIX                                                                          \
  "medlartrack/holders/" /* ZONE/NAME/: daemons that may hold a document                           \
                          */

enum mt_assign_state
{
  MT_ASSIGN_SERVING,   /* gets work of its pool */
  MT_ASSIGN_DRAINING,  /* gets nothing new, ends what it has */
  MT_ASSIGN_REBOOTING, /* confirmed empty; the reboot of this epoch is ordered */
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

/* Where an instance stands in its pool's maintenance wave. */
enum mt_wave_state
{
  MT_WAVE_WAITING,
  MT_WAVE_DONE,
  MT_WAVE_SKIPPED,
};

/* Who said that an instance leaves; bits. */
enum mt_leave_cause
{
  MT_LEAVE_TABLES = 1,
  MT_LEAVE_PLATFORM = 2,
  MT_LEAVE_REFUSAL = 4,
};

struct mt_assign_record
{
  const char *instance;
  const char *home;   /* pool that the tables give it */
  const char *pool;   /* pool it serves, or served last */
  const char *target; /* pool it goes to after a drain for a move, or NULL */
  enum mt_assign_state state;
  enum mt_assign_goal goal;
  enum mt_wave_state wave_state;
  unsigned leave_causes;   /* enum mt_leave_cause bits */
  uint64_t boot_when_left; /* its boot when it left; only a later boot un-leaves it */
  uint64_t epoch;          /* version of the document that last changed pool or state */
  int64_t since_s;         /* wall time of that change */
};

struct mt_assign_wave
{
  const char *pool;
  const char *id;
};

struct mt_assign
{
  uint64_t version;                 /* grows by one with each write */
  const char *id;                   /* unique to the write: settles a lost answer by reading back */
  uint64_t tables_version;          /* that it was decided from */
  struct mt_assign_record *records; /* sorted by instance */
  size_t n_records;
  struct mt_assign_wave *waves; /* last wave begun in each pool */
  size_t n_waves;
};

struct mt_assign *mt_assign_create (void);
/* NULL with MT_ERROR_SYNTAX where it isn't a document. */
struct mt_assign *mt_assign_parse (struct mt_str json, GError **error);
void mt_assign_destroy (struct mt_assign *assign);
/* JSON text; g_free it. */
char *mt_assign_format (const struct mt_assign *assign);
/* A copy to change, one version on. */
struct mt_assign *mt_assign_next (const struct mt_assign *assign, const char *id);

struct mt_assign_record *mt_assign_find (const struct mt_assign *assign, const char *instance);
/* Whether the instance has work of the pool; assign may be NULL. */
bool mt_assign_serves (const struct mt_assign *assign, const char *instance, const char *pool);
const char *mt_assign_wave_id (const struct mt_assign *assign, const char *pool);

/* Transitions, on a document from mt_assign_next. */
struct mt_assign_record *
mt_assign_add (struct mt_assign *next, const char *instance, const char *pool, int64_t now_s);
void mt_assign_remove (struct mt_assign *next, const char *instance);
void mt_assign_set_home (struct mt_assign *next, struct mt_assign_record *record, const char *pool);
/* Begins a new wave in the pool: every mark of its instances is cleared. */
void mt_assign_begin_wave (struct mt_assign *next, const char *pool, const char *id);
void mt_assign_drain (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_assign_goal goal,
                      const char *target,
                      int64_t now_s);
/* Only where mt_assign_drain_confirmed holds, or for the pool that it drains from. */
void mt_assign_serve (struct mt_assign *next,
                      struct mt_assign_record *record,
                      const char *pool,
                      int64_t now_s);
/* Only where mt_assign_drain_confirmed holds. */
void mt_assign_reboot (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
void mt_assign_out (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s);
/* Notes a cause to leave and drains a serving instance at once. False where nothing changed. */
bool mt_assign_leave (struct mt_assign *next,
                      struct mt_assign_record *record,
                      enum mt_leave_cause cause,
                      uint64_t boot,
                      int64_t now_s);

/* What one daemon of the data centre last reported. */
struct mt_assign_member
{
  const char *name;
  bool gone;        /* the platform's list says that its instance is gone */
  uint64_t version; /* document in force there; 0: never heard */
  const struct mt_member_load *loads;
  size_t n_loads;
};

/* Whether no daemon can send, or has in flight, any work of the record's old pool. held_by, where
 * not NULL, gets the first daemon that stands against it. */
bool mt_assign_drain_confirmed (const struct mt_assign_record *record,
                                const struct mt_assign_member *members,
                                size_t n_members,
                                const char **held_by);

#endif
