/* The fleet controller's structures, shared by its own files only. */
#ifndef MT_CONTROLLER_INTERNAL_H
#define MT_CONTROLLER_INTERNAL_H

#include "medlartrack/controller.h"

struct mt_controller_pool
{
  char *name;
  bool standby;
  bool seen; /* its scheduler has told of itself */
  int64_t told;
  struct mt_scheduler_load load;

  unsigned have;   /* machines that work in it or are on their way */
  unsigned coming; /* of these, those on their way */
  unsigned need;   /* for what it does and what waits */
  unsigned held;   /* its highest of the last moments */
  int64_t held_at;
  unsigned base;    /* machines that belong to it */
  unsigned sized;   /* machines in it whose size is known */
  int64_t room_cpu; /* ... of all these */
  double peak;      /* highest need of late, fading */
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
  struct mt_controller_pool *pool;
  struct mt_controller_pool *home; /* where it belongs; NULL until it is known */
  bool home_stored;
  bool up;
  bool listed;
  struct mt_room room;

  bool viewed; /* the scheduler sees its worker, as follows */
  struct mt_worker_view view;
  int64_t viewed_at;

  enum mt_controller_plan plan;
  int64_t planned;
  int64_t cordoned; /* since when its scheduler has it cordoned; 0 */
  struct mt_controller_pool *to;
  struct mt_controller_wave *wave;
  bool sent;
  int64_t again_at;
  int64_t ordered;    /* when */
  char *ended_worker; /* the life that the order has ended, if it was not carried out before */
  int64_t ended_at;   /* when the list has proved that; 0 until then */
  bool in_upkeep;
};

struct mt_controller_wave
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
  GHashTable *waves;     /* number to struct mt_controller_wave */
  bool listed;
  int64_t first_listed;
  int64_t last_plan;
};

/* controller_waves.c */
/* How long it is expected to take until the machine is empty. */
int64_t mt_controller_drain_ms (const struct mt_controller_machine *m);
void mt_controller_plan_waves (struct mt_controller *ctl, int64_t now);
/* controller_moves.c */
void mt_controller_plan_moves (struct mt_controller *ctl, int64_t now);
/* A pool that lacks room for what can still be in time gives no machine away. Work that is late
 * anyway does not count: it would hold machines that others need to be in time. */
bool mt_controller_pool_is_short (const struct mt_controller_pool *pool);

#endif
