/* The fleet controller: decides for all pools together which machine is drained, maintained or
 * moved next. Does no I/O: the owner passes in the state of pools and machines and carries out the
 * orders. Not thread-safe. Times are milliseconds of a clock that counts suspension. */
#ifndef MEDLARTRACK_CONTROLLER_H
#define MEDLARTRACK_CONTROLLER_H

#include "medlartrack/forecast.h"
#include "medlartrack/scheduler.h"

#include <glib.h>

struct mt_controller;

struct mt_controller_settings
{
  int64_t move_ms;        /* time that a machine is down for a move */
  int64_t maintenance_ms; /* time that a machine is down for maintenance */
  int64_t stop_grace_ms;  /* longest time that a run goes on after it was ordered to stop */
  bool allow_moves;       /* machines may change pool */
  const struct mt_forecast_method *forecast; /* NULL: none */
  /* Value lost for one idle machine second, as a share of the value of one second of a full
   * machine's work. */
  double idle_cost;
};

/* Returns a controller without pools and machines; free it with mt_controller_destroy. */
struct mt_controller *mt_controller_create (const struct mt_controller_settings *settings);
void mt_controller_destroy (struct mt_controller *ctl);

/* ---- input ---- */

/* Adds the pool or updates it. The machines of a standby pool are off and cost nothing; machines
 * that no other pool needs are moved there. */
void mt_controller_set_pool (struct mt_controller *ctl, const char *name, bool standby);

/* A machine in the platform's list. */
struct mt_controller_machine_info
{
  const char *id;
  const char *pool;
  const char *rack;
  const char *worker; /* id of the worker that runs on it; NULL if none runs */
  bool up;
  bool in_maintenance; /* down for maintenance, whoever ordered it */
  struct mt_resources resources;
};

/* Replaces the list of machines; if it is not whole, machines that are absent stay. requested_at:
 * when the list was requested; rows of machines on which an order was carried out since then are
 * ignored. */
void mt_controller_update_machines (struct mt_controller *ctl,
                                    const struct mt_controller_machine_info *machines,
                                    size_t n,
                                    bool is_whole,
                                    int64_t requested_at,
                                    int64_t now);
/* Updates a pool's load and workers from the report of its scheduler. */
void mt_controller_update_pool (struct mt_controller *ctl,
                                const char *name,
                                const struct mt_scheduler_load *load,
                                const struct mt_worker_view *workers,
                                size_t n,
                                int64_t now);
/* Adds or updates a maintenance wave: the maintenance of its machines is to be done by deadline, at
 * most max_down machines down at a time. done: machines that are known to have had it. machines and
 * done are NULL-terminated; either may be NULL. */
void mt_controller_update_wave (struct mt_controller *ctl,
                                int64_t number,
                                char **machines,
                                char **done,
                                unsigned max_down,
                                int64_t deadline);

/* Sets a machine's home pool as an earlier controller stored it; call it before the first list of
 * machines. A machine without a stored home belongs to the pool in which it is first listed. */
void mt_controller_set_home (struct mt_controller *ctl, const char *machine, const char *pool);

/* ---- output ---- */

/* Updates the plan from which mt_controller_next_order takes its orders. */
void mt_controller_plan (struct mt_controller *ctl, int64_t now);
/* Returns the machines that are, or are about to be, outside their home pool: machine, home,
 * machine, home and so on, NULL-terminated; free with g_strfreev. NULL if all these homes are
 * stored. A move is ordered only once its machine's home is stored: otherwise the next controller
 * would take the machine's current pool for its home. */
char **mt_controller_unstored_homes (struct mt_controller *ctl);
/* To be called once the homes returned by mt_controller_unstored_homes are stored. */
void mt_controller_homes_stored (struct mt_controller *ctl, char **homes);

enum mt_controller_order_kind
{
  MT_CONTROLLER_MAINTENANCE,
  MT_CONTROLLER_MOVE,
};

/* The strings belong to the controller and stay valid until its state is next updated. */
struct mt_controller_order
{
  enum mt_controller_order_kind kind;
  const char *machine;
  const char *worker; /* incarnation that the order ends; NULL if none */
  const char *pool;   /* the machine's current pool */
  const char *to;     /* new pool, for a move */
  int64_t wave;
};

/* Updates the plan and gets the next order. Returns false if nothing is to be ordered now. The
 * result of each order has to be passed to mt_controller_handle_result. */
bool mt_controller_next_order (struct mt_controller *ctl,
                               int64_t now,
                               struct mt_controller_order *order);

enum mt_controller_order_result
{
  MT_CONTROLLER_ORDER_DONE,     /* carried out */
  MT_CONTROLLER_ORDER_RETRY,    /* not carried out; may succeed later */
  MT_CONTROLLER_ORDER_REJECTED, /* not carried out, and never will be */
  MT_CONTROLLER_ORDER_UNKNOWN,  /* may have been carried out, or may still be */
};

void mt_controller_handle_result (struct mt_controller *ctl,
                                  const char *machine,
                                  enum mt_controller_order_result result,
                                  int64_t now);

/* Directives for a pool's scheduler. The lists are NULL-terminated. */
struct mt_controller_directives
{
  char **cordon;                /* workers to drain now */
  char **ended_workers;         /* workers whose incarnation an order has ended */
  int64_t *ended_started_at_ms; /* ... that incarnation's start time; 0: unknown */
  char **maintenance_due;       /* workers to drain later, for maintenance */
  int64_t planned_cpu; /* capacity of the machines that the pool should have, in thousandths of a
                          core; 0 if unknown */
};

void mt_controller_directives_clear (struct mt_controller_directives *directives);
/* Returns the directives for a pool; clear them with mt_controller_directives_clear. */
struct mt_controller_directives
mt_controller_pool_directives (struct mt_controller *ctl, const char *pool, int64_t now);
/* Returns the forecast that the controller feeds, to be saved and loaded; NULL without a method. It
 * belongs to the controller. */
struct mt_forecast *mt_controller_forecast (struct mt_controller *ctl);
/* A pool's machines as of the last plan. A machine counts for one pool only. */
struct mt_controller_counts
{
  unsigned planned;  /* that the pool should have */
  unsigned present;  /* that work there */
  unsigned arriving; /* that are on their way there, or are drained for it elsewhere */
};

/* Returns false if the pool is unknown. */
bool mt_controller_count (const struct mt_controller *ctl,
                          const char *pool,
                          struct mt_controller_counts *out);
/* Returns whether a machine is down or to be drained, so that the list of machines will change. */
bool mt_controller_expects_changes (const struct mt_controller *ctl);
/* Returns whether a pool is short of machines or a machine is to be drained: only then are more
 * frequent reports of the pools worth their cost. */
bool mt_controller_needs_frequent_loads (const struct mt_controller *ctl);
/* Returns whether every machine of the wave that still exists has begun its maintenance. */
bool mt_controller_wave_done (const struct mt_controller *ctl, int64_t number);
/* Returns the wave's machines that have begun their maintenance, NULL-terminated; free with
 * g_strfreev. */
char **mt_controller_wave_progress (const struct mt_controller *ctl, int64_t number);

#endif
