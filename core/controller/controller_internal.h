/* The fleet controller's structures, shared by its own files only. */
#ifndef MT_CONTROLLER_INTERNAL_H
#define MT_CONTROLLER_INTERNAL_H

#include "medlartrack/controller.h"

/* The highest count of the last moments. */
struct mt_controller_peak
{
  unsigned machines;
  int64_t at;
};

struct mt_controller_update_pool
{
  char *name;
  bool standby;
  bool seen; /* its scheduler has told of itself */
  int64_t told;
  struct mt_scheduler_load load;

  unsigned have;       /* machines that work in it or are on their way */
  unsigned coming;     /* of these, those on their way */
  unsigned pinned;     /* of these, those that can't go: they have long-running tasks */
  unsigned wanted;     /* its part of all machines */
  int64_t short_since; /* it has had less than keeps its jobs in time since; 0 */
  unsigned claimed;    /* of that, what it may take from other pools */
  struct mt_controller_peak timely; /* what keeps its jobs in time on average */
  struct mt_controller_peak hasty;  /* ... and more, since machines come late */
  unsigned base;                    /* machines that belong to it */
  unsigned sized;                   /* machines in it whose size is known */
  int64_t room_cpu;                 /* ... of all these */
  double peak;                      /* highest need of late, fading */
  int64_t learned_at;
  int64_t spare_since; /* it has had more than it wants since; 0 */
};

enum mt_controller_plan
{
  MT_PLAN_NONE,
  MT_PLAN_UPKEEP,
  MT_PLAN_MOVE,
};

struct mt_controller_machine
{
  char *id;
  char *rack;
  char *worker;
  struct mt_controller_update_pool *pool;
  struct mt_controller_update_pool *home; /* where it belongs; NULL until it is known */
  bool home_stored;
  bool up;
  bool listed;
  struct mt_resources room;

  bool viewed; /* the scheduler sees its worker, as follows */
  struct mt_worker_view view;
  int64_t viewed_at;

  enum mt_controller_plan plan;
  int64_t planned;
  int64_t cordoned; /* since when its scheduler has it cordoned; 0 */
  struct mt_controller_update_pool *to;
  struct mt_controller_update_wave *wave;
  bool sent;
  int64_t again_at;
  int64_t ordered;    /* when */
  char *ended_worker; /* the life that the order has ended, if it was not carried out before */
  int64_t ended_at;   /* when the list has proved that; 0 until then */
  bool in_upkeep;
};

struct mt_controller_update_wave
{
  int64_t number;
  unsigned cap;
  int64_t due;
  GHashTable *left; /* ids of machines that have not had it */
  GHashTable *done;
};

struct mt_controller
{
  struct mt_controller_settings settings;
  GHashTable *pools;
  GHashTable *machines;
  GHashTable *by_worker; /* present life to its machine; borrows both */
  GHashTable *waves;     /* number to struct mt_controller_update_wave */
  bool starved;          /* some pool has long lacked what keeps its jobs in time */
  bool listed;
  int64_t first_listed;
  int64_t last_plan;
};

/* controller_waves.c */
/* How long it is expected to take until the machine is empty. */
int64_t mt_controller_drain_ms (const struct mt_controller_machine *m);
void mt_controller_plan_waves (struct mt_controller *ctl, int64_t now);
/* controller_shares.c */
/* Reckons what the pool needs from what its scheduler told last. */
void mt_controller_learn_need (struct mt_controller_update_pool *p, bool starved, int64_t now);
/* Some pool has lacked for long what keeps its jobs in time. */
bool mt_controller_find_starved (struct mt_controller *ctl, int64_t now);
/* Sets what each pool should have of so many machines. */
void mt_controller_deal (struct mt_controller *ctl, unsigned machines);
/* Of the machines that it should have, in thousandths of a core. */
int64_t mt_controller_promised_cpu (const struct mt_controller_update_pool *p);
/* What it keeps while nobody else wants its machines: all that belongs to it, until its first surge
 * has shown what it needs. */
unsigned mt_controller_wanted_idle (const struct mt_controller_update_pool *p);
/* controller_moves.c */
void mt_controller_plan_moves (struct mt_controller *ctl, int64_t now);
/* A pool that lacks room for what can still be in time gives no machine away. Work that is late
 * anyway does not count: it would hold machines that others need to be in time. */
bool mt_controller_pool_is_short (const struct mt_controller_update_pool *pool);
/* Some pool is. */
bool mt_controller_is_short (const struct mt_controller *ctl);

#endif
