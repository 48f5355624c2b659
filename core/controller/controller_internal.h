/* Internal structures of the fleet controller. */
#ifndef MT_CONTROLLER_INTERNAL_H
#define MT_CONTROLLER_INTERNAL_H

#include "medlartrack/controller.h"

/* The highest number of machines needed within a short time window. */
struct mt_controller_recent_max
{
  unsigned machines;
  int64_t at;
};

/* The longest remaining time of a task, other than long-running ones, within a time window. */
struct mt_controller_longest_batch
{
  int64_t ms;
  int64_t at;
};

struct mt_controller_pool
{
  char *name;
  bool standby;
  bool reported; /* its scheduler has sent a report */
  int64_t reported_at;
  struct mt_scheduler_load load;

  struct mt_controller_longest_batch longest_batch;
  unsigned n_machines;  /* machines that work in the pool or are on their way to it */
  unsigned n_arriving;  /* of n_machines, those on their way to it */
  unsigned n_pinned;    /* of n_machines, those with long-running tasks, which can't leave */
  unsigned n_allocated; /* machines that the pool should have */
  int64_t short_since;  /* since when it has had fewer machines than mean_need; 0: it has enough */
  unsigned n_claimed;   /* of n_allocated, those for which other pools give up machines */
  struct mt_controller_recent_max mean_need; /* keeps its jobs within their objectives on average */
  struct mt_controller_recent_max burst_need; /* with a margin, since machines arrive late */
  unsigned n_home;                            /* machines whose home pool it is */
  unsigned n_sized;                           /* machines of the pool whose size is known */
  int64_t capacity_cpu; /* of the n_sized machines, in thousandths of a core */
  double peak_machines; /* highest recent need in machines, decaying */
  int64_t peak_at;
  int64_t surplus_since; /* since when it has had more machines than it needs; 0: it has not */
  unsigned n_forecast;   /* machines for a surge that is forecast; 0: none is */
  unsigned n_surge;      /* machines for the present surge, by its forecast height; 0: unknown */
  bool quiet_ahead;      /* a reserve for a surge is not worth its cost */
  bool gave_up_reserve;  /* ... or has not been, so that it has to come from the standby pool */
};

enum mt_controller_plan
{
  MT_PLAN_NONE,
  MT_PLAN_MAINTENANCE,
  MT_PLAN_MOVE,
};

struct mt_controller_machine
{
  char *id;
  char *rack;
  char *worker;
  struct mt_controller_pool *pool;
  struct mt_controller_pool *home; /* its home pool; NULL until known */
  bool home_stored;                /* the home pool is stored durably */
  bool up;
  bool listed;
  struct mt_resources resources;

  bool has_view; /* a scheduler has reported its worker: view and viewed_at are set */
  struct mt_worker_view view;
  int64_t viewed_at;

  enum mt_controller_plan plan;
  int64_t planned_at;
  int64_t cordoned_at; /* since when its scheduler has had it cordoned; 0: it has not */
  struct mt_controller_pool *destination;
  struct mt_controller_wave *wave;
  bool order_pending;
  bool outcome_unknown; /* an order of the plan got no answer, and may still be carried out */
  int64_t retry_at;
  int64_t ordered_at;          /* when its last order was carried out */
  bool is_moving;              /* that order was a move, and the machine is not yet up */
  int64_t ended_started_at_ms; /* incarnation of ended_worker as last reported; 0: unknown */
  char *ended_worker;       /* worker that its last order ended, if it was not carried out before */
  int64_t end_confirmed_at; /* when the list of machines confirmed the end of ended_worker; 0: not
                               yet */
  bool in_maintenance;
};

struct mt_controller_wave
{
  int64_t number;
  unsigned max_down;
  int64_t deadline;
  GHashTable *remaining; /* ids of machines whose maintenance has not begun */
  GHashTable *done;
};

struct mt_controller
{
  struct mt_controller_settings settings;
  GHashTable *pools;
  GHashTable *machines;
  GHashTable *by_worker; /* worker id to its machine; borrows both */
  GPtrArray *orderable;  /* machines whose plans could be ordered when they were last looked at */
  guint next_orderable;  /* index of the first one that was not taken since */
  GHashTable *waves;     /* number to struct mt_controller_wave */
  struct mt_forecast *forecast; /* NULL: none */
  double move_took_ms; /* measured from the plan of a move until the machine is up; 0: unknown */
  bool starved;        /* a pool has had fewer machines than its mean_need for too long */
  bool listed;
  int64_t first_listed_at;
  int64_t last_plan_at;
};

/* controller_waves.c */
/* Returns the expected time to drain the machine, in ms. */
int64_t mt_controller_drain_ms (const struct mt_controller *ctl,
                                const struct mt_controller_machine *m);
void mt_controller_plan_waves (struct mt_controller *ctl, int64_t now);
/* Returns whether the machine's maintenance for a wave has not begun. */
bool mt_controller_is_due (const struct mt_controller *ctl, const struct mt_controller_machine *m);
/* Returns whether the machine's maintenance, if it is due, is still in time when the machine begins
 * to drain at `until`. */
bool mt_controller_can_defer (const struct mt_controller *ctl,
                              const struct mt_controller_machine *m,
                              int64_t until);
/* controller_shares.c */
/* Updates the pool's need from its scheduler's last report. starved: whether any pool is
 * starved. */
void mt_controller_update_need (struct mt_controller_pool *p, bool starved, int64_t now);
/* Returns the time from the plan of a move until the machine is up in its new pool, in ms. */
int64_t mt_controller_move_ms (const struct mt_controller *ctl);
/* Updates n_forecast and quiet_ahead of the pool. */
void mt_controller_update_forecast (const struct mt_controller *ctl,
                                    struct mt_controller_pool *p,
                                    int64_t now);
/* Returns whether any pool is starved: for some time it has had fewer machines than mean_need. */
bool mt_controller_update_starved (struct mt_controller *ctl, int64_t now);
/* Sets n_allocated and n_claimed of each pool. machines: the number of machines of all pools. */
void mt_controller_allocate (struct mt_controller *ctl, unsigned machines);
/* Returns the capacity of the machines that the pool should have, in thousandths of a core. */
int64_t mt_controller_allocated_cpu (const struct mt_controller_pool *p);
/* Returns how many machines the pool keeps while no other pool needs them: all that belong to it
 * until its first surge has shown its need. */
unsigned mt_controller_idle_machines (const struct mt_controller_pool *p);
/* controller_moves.c */
/* Returns whether the machine may move to that pool: whether its maintenance, if it is due, is
 * still in time afterwards. */
bool mt_controller_may_move_to (const struct mt_controller *ctl,
                                const struct mt_controller_machine *m,
                                const struct mt_controller_pool *to,
                                int64_t now);
void mt_controller_plan_moves (struct mt_controller *ctl, int64_t now);
/* Returns whether the pool lacks machines for work that can still meet its objective; such a pool
 * gives up no machine. Overdue work does not count: other pools may need the machines for work that
 * can still meet its objective. */
bool mt_controller_pool_is_short (const struct mt_controller_pool *pool);
/* Returns whether any pool is short of machines. */
bool mt_controller_any_pool_short (const struct mt_controller *ctl);

#endif
