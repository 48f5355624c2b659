/* The fleet controller: which machine is emptied, kept up or moved next, over all pools together.
 * Without I/O: the owner feeds it what pools and machines look like and carries out what it wants.
 * One thread. Times are milliseconds of a clock that counts suspension. */
#ifndef MEDLARTRACK_CONTROLLER_H
#define MEDLARTRACK_CONTROLLER_H

#include "medlartrack/scheduler.h"

#include <glib.h>

struct mt_controller;

struct mt_controller_settings
{
  int64_t move_ms;        /* a machine is away so long for a move ... */
  int64_t maintenance_ms; /* ... and for its upkeep */
  bool allow_moves;       /* machines may change their pool */
};

struct mt_controller *mt_controller_create (const struct mt_controller_settings *settings);
void mt_controller_destroy (struct mt_controller *ctl);

/* ---- what the owner tells ---- */

/* A pool whose machines are off and cost nothing takes what is not needed elsewhere. */
void mt_controller_set_pool (struct mt_controller *ctl, const char *name, bool standby);

struct mt_controller_machine_info
{
  const char *id;
  const char *pool;
  const char *rack;
  const char *worker; /* its present life; NULL for none */
  bool up;
  bool in_maintenance; /* down for its upkeep, whoever ordered that */
  struct mt_resources resources;
};

/* All machines that there are. asked: when the list was asked for; orders given later are newer. */
void mt_controller_update_machines (struct mt_controller *ctl,
                                    const struct mt_controller_machine_info *machines,
                                    size_t n,
                                    int64_t asked,
                                    int64_t now);
/* What a pool's scheduler sees. */
void mt_controller_update_pool (struct mt_controller *ctl,
                                const char *name,
                                const struct mt_scheduler_load *load,
                                const struct mt_worker_view *workers,
                                size_t n,
                                int64_t now);
/* A wave that is to be done by due; done: machines that have had it, as far as it is known. */
void mt_controller_update_wave (struct mt_controller *ctl,
                                int64_t number,
                                char **machines,
                                char **done,
                                unsigned cap,
                                int64_t due);

/* Where a machine belongs, as a predecessor stored it; to be told before the first list. A machine
 * of which nothing is told belongs where it is first seen. */
void mt_controller_set_home (struct mt_controller *ctl, const char *machine, const char *pool);

/* ---- what it wants ---- */

/* Decides; mt_controller_next_order follows from it. */
void mt_controller_plan (struct mt_controller *ctl, int64_t now);
/* Machines that are, or are about to be, away from home, and their homes, by turns;
 * NULL-terminated, freed with g_strfreev. A move is ordered only once its machine's home is stored:
 * a successor would take the pool that it finds the machine in for its home. NULL where all is
 * stored. */
char **mt_controller_unstored_homes (struct mt_controller *ctl);
void mt_controller_homes_stored (struct mt_controller *ctl, char **homes);

enum mt_controller_order_kind
{
  MT_CONTROLLER_MAINTENANCE,
  MT_CONTROLLER_MOVE,
};

/* Borrows from the fleet controller until it is fed again. */
struct mt_controller_order
{
  enum mt_controller_order_kind kind;
  const char *machine;
  const char *worker; /* whose life it ends; NULL for none */
  const char *pool;   /* where it is */
  const char *to;     /* of a move */
  int64_t wave;
};

/* False where nothing is to be ordered now. Each order is to be answered. */
bool mt_controller_next_order (struct mt_controller *ctl,
                               int64_t now,
                               struct mt_controller_order *order);

enum mt_controller_order_result
{
  MT_CONTROLLER_ORDER_DONE,
  MT_CONTROLLER_ORDER_RETRY,
  MT_CONTROLLER_ORDER_REJECTED,
  MT_CONTROLLER_ORDER_UNKNOWN, /* it may have been done, or be done yet */
};

void mt_controller_handle_result (struct mt_controller *ctl,
                                  const char *machine,
                                  enum mt_controller_order_result answer,
                                  int64_t now);

/* What a pool's scheduler is to know; each NULL-terminated. */
struct mt_controller_directives
{
  char **cordon;          /* workers to be emptied */
  char **ended_workers;   /* workers whose life an order has ended */
  char **maintenance_due; /* workers to be emptied later, for upkeep */
  int64_t planned_cpu;    /* of the machines that the pool should have; 0 where that isn't known */
};

void mt_controller_directives_clear (struct mt_controller_directives *notes);
/* To be cleared by the caller. */
struct mt_controller_directives
mt_controller_pool_directives (struct mt_controller *ctl, const char *pool, int64_t now);
/* Something is on its way: the list of machines will change. */
bool mt_controller_expects_changes (const struct mt_controller *ctl);
/* A pool lacks room or a machine is being emptied: news from the pools is worth its price. */
bool mt_controller_needs_frequent_loads (const struct mt_controller *ctl);
/* All of its machines that stay have begun their upkeep. */
bool mt_controller_wave_done (const struct mt_controller *ctl, int64_t number);
/* Machines of the wave that have had it, NULL-terminated, freed with g_strfreev. */
char **mt_controller_wave_progress (const struct mt_controller *ctl, int64_t number);

#endif
