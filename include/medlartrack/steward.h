/* The steward: which machine is emptied, kept up or moved next, over all pools together. Without
 * I/O: the owner feeds it what pools and machines look like and carries out what it wants. One
 * thread. Times are milliseconds of a clock that counts suspension. */
#ifndef MEDLARTRACK_STEWARD_H
#define MEDLARTRACK_STEWARD_H

#include "medlartrack/desk.h"

#include <glib.h>

struct mt_steward;

struct mt_steward_settings
{
  int64_t move_ms;   /* a machine is away so long for a move ... */
  int64_t upkeep_ms; /* ... and for its upkeep */
  bool moves;        /* machines may change their pool */
};

struct mt_steward *mt_steward_create (const struct mt_steward_settings *settings);
void mt_steward_destroy (struct mt_steward *steward);

/* ---- what the owner tells ---- */

/* A pool whose machines are off and cost nothing takes what is not needed elsewhere. */
void mt_steward_set_pool (struct mt_steward *steward, const char *name, bool standby);

struct mt_steward_machine
{
  const char *id;
  const char *pool;
  const char *rack;
  const char *worker; /* its present life; NULL for none */
  bool up;
  bool in_upkeep; /* down for its upkeep, whoever ordered that */
  struct mt_room room;
};

/* All machines that there are. asked: when the list was asked for; orders given later are newer. */
void mt_steward_machines (struct mt_steward *steward,
                          const struct mt_steward_machine *machines,
                          size_t n,
                          int64_t asked,
                          int64_t now);
/* What a pool's desk sees. */
void mt_steward_pool (struct mt_steward *steward,
                      const char *name,
                      const struct mt_desk_load *load,
                      const struct mt_worker_view *workers,
                      size_t n,
                      int64_t now);
/* A wave that is to be done by due; done: machines that have had it, as far as it is known. */
void mt_steward_wave (struct mt_steward *steward,
                      int64_t number,
                      char **machines,
                      char **done,
                      unsigned cap,
                      int64_t due);

/* Where a machine belongs, as a predecessor stored it; to be told before the first list. A machine
 * of which nothing is told belongs where it is first seen. */
void mt_steward_home (struct mt_steward *steward, const char *machine, const char *pool);

/* ---- what it wants ---- */

/* Decides; mt_steward_next follows from it. */
void mt_steward_plan (struct mt_steward *steward, int64_t now);
/* Machines that are, or are about to be, away from home, and their homes, by turns;
 * NULL-terminated, freed with g_strfreev. A move is ordered only once its machine's home is stored:
 * a successor would take the pool that it finds the machine in for its home. NULL where all is
 * stored. */
char **mt_steward_homes (struct mt_steward *steward);
void mt_steward_homes_stored (struct mt_steward *steward, char **homes);

enum mt_steward_kind
{
  MT_STEWARD_UPKEEP,
  MT_STEWARD_MOVE,
};

/* Borrows from the steward until it is fed again. */
struct mt_steward_order
{
  enum mt_steward_kind kind;
  const char *machine;
  const char *worker; /* whose life it ends; NULL for none */
  const char *pool;   /* where it is */
  const char *to;     /* of a move */
  int64_t wave;
};

/* False where nothing is to be ordered now. Each order is to be answered. */
bool mt_steward_next (struct mt_steward *steward, int64_t now, struct mt_steward_order *order);

enum mt_steward_answer
{
  MT_STEWARD_DONE,
  MT_STEWARD_NOT_NOW,
  MT_STEWARD_NEVER,
  MT_STEWARD_UNKNOWN, /* it may have been done, or be done yet */
};

void mt_steward_answered (struct mt_steward *steward,
                          const char *machine,
                          enum mt_steward_answer answer,
                          int64_t now);

/* Workers of the pool that are to be emptied (cordon) and those whose life an order has ended
 * (ended); both NULL-terminated, freed with g_strfreev. */
void mt_steward_of_pool (
    struct mt_steward *steward, const char *pool, int64_t now, char ***cordon, char ***ended);
/* Something is on its way: the list of machines will change. */
bool mt_steward_is_busy (const struct mt_steward *steward);
/* All of its machines that stay have begun their upkeep. */
bool mt_steward_wave_done (const struct mt_steward *steward, int64_t number);
/* Machines of the wave that have had it, NULL-terminated, freed with g_strfreev. */
char **mt_steward_wave_progress (const struct mt_steward *steward, int64_t number);

#endif
