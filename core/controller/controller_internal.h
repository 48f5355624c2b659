/* Internal structures of the fleet controller. */
#ifndef MT_CONTROLLER_INTERNAL_H
#define MT_CONTROLLER_INTERNAL_H

#include "medlartrack/controller.h"

/* The highest count of machines within a short time window. */
struct mt_controller_recent_max
{
  unsigned machines;
  int64_t at;
};

struct mt_controller_pool
{
  char *name;
  bool standby;
  bool reported; /* its scheduler has reported */
  int64_t reported_at;
  struct mt_scheduler_load load;

  unsigned n_machines;  /* machines that work in the pool or are on their way to it */
  unsigned n_arriving;  /* of n_machines, those on their way */
  unsigned n_pinned;    /* of n_machines, those that can't leave: they have long-running tasks */
  unsigned n_allocated; /* machines that it should have */
  int64_t short_since; /* since when it has had fewer machines than mean_need; 0 if it has enough */
  unsigned n_claimed;  /* of n_allocated, the machines that may be taken from other pools */
  struct mt_controller_recent_max mean_need;  /* to keep its jobs within objectives on average */
  struct mt_controller_recent_max burst_need; /* with a margin, since machines arrive late */
  unsigned n_home;                            /* machines whose home it is */
  unsigned n_sized;                           /* machines in it whose size is known */
  int64_t capacity_cpu;                       /* of these n_sized machines */
  double peak_machines;                       /* highest recent need in machines, decaying */
  int64_t peak_at;
  int64_t surplus_since; /* since when it has had more machines than it needs; 0 if it has not */
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
  struct mt_controller_pool *home; /* pool that it belongs to; NULL until known */
  bool home_stored;
  bool up;
  bool listed;
  struct mt_resources resources;

  bool has_view; /* the scheduler has reported its worker; see view */
  struct mt_worker_view view;
  int64_t viewed_at;

  enum mt_controller_plan plan;
  int64_t planned_at;
  int64_t cordoned_at; /* since when its scheduler has had it cordoned; 0 if it has not */
  struct mt_controller_pool *destination;
  struct mt_controller_wave *wave;
  bool order_pending;
  int64_t retry_at;
  int64_t ordered_at;       /* when its last order was carried out */
  char *ended_worker;       /* ended by its last order, unless that had been done before */
  int64_t end_confirmed_at; /* when the list of machines confirmed that; 0 until then */
  bool in_maintenance;
};

struct mt_controller_wave
{
  int64_t number;
  unsigned cap;
  int64_t due;
  GHashTable *remaining; /* ids of machines whose maintenance has not begun */
  GHashTable *done;
};

struct mt_controller
{
  struct mt_controller_settings settings;
  GHashTable *pools;
  GHashTable *machines;
  GHashTable *by_worker; /* worker id to its machine; borrows both */
  GHashTable *waves;     /* number to struct mt_controller_wave */
  bool starved;          /* a pool has had less than its mean_need for too long */
  bool listed;
  int64_t first_listed_at;
  int64_t last_plan_at;
};

/* controller_waves.c */
/* Returns how long it is expected to take to drain the machine. */
int64_t mt_controller_drain_ms (const struct mt_controller_machine *m);
void mt_controller_plan_waves (struct mt_controller *ctl, int64_t now);
/* controller_shares.c */
/* Updates the pool's need from its scheduler's last report. starved: whether any pool is
 * starved. */
void mt_controller_update_need (struct mt_controller_pool *p, bool starved, int64_t now);
/* Returns whether any pool is starved: has long had less than keeps its jobs within their
 * objectives. */
bool mt_controller_update_starved (struct mt_controller *ctl, int64_t now);
/* Distributes the machines: sets how many of them each pool should have. */
void mt_controller_allocate (struct mt_controller *ctl, unsigned machines);
/* Returns the capacity of the machines that the pool should have, in thousandths of a core. */
int64_t mt_controller_allocated_cpu (const struct mt_controller_pool *p);
/* Returns how many machines the pool keeps while no other pool wants them: all that belong to it,
 * until its first surge has shown what it needs. */
unsigned mt_controller_idle_machines (const struct mt_controller_pool *p);
/* controller_moves.c */
void mt_controller_plan_moves (struct mt_controller *ctl, int64_t now);
/* Whether the pool lacks machines for work that can still meet its objective; such a pool gives no
 * machine away. Overdue work does not count: it would hold machines that other pools need for work
 * that can still be on time. */
bool mt_controller_pool_is_short (const struct mt_controller_pool *pool);
/* Whether any pool is short. */
bool mt_controller_any_pool_short (const struct mt_controller *ctl);

#endif
