/* Pools whose load surges, their machines, and a fleet controller that moves them, on a simulated
 * clock. Work is a fluid: what the machines that are up can't serve waits, and is late after a
 * while. */
#ifndef SURGE_WORLD_H
#define SURGE_WORLD_H

#include "medlartrack/controller.h"

#define SURGE_POOLS         4
#define SURGE_POOL_MACHINES 12
#define SURGE_STANDBY       8
#define SURGE_MACHINES      (SURGE_POOLS * SURGE_POOL_MACHINES + SURGE_STANDBY)
#define SURGE_MACHINE_CPU   32000
#define SURGE_TICK_MS       150

/* Returns the pool's demand in thousandths of a core; ms: time since the start. */
typedef double (*surge_load) (void *ctx, unsigned pool, int64_t ms);

struct surge_options
{
  const struct mt_forecast_method *method; /* NULL: none */
  surge_load load;
  void *ctx;
  int64_t rack_gone_from; /* a quarter of the machines is down in this interval; 0: never */
  int64_t rack_gone_until;
  bool third_slow; /* a third of the machines does 1 / 1.6 of the work */
  int64_t wave_at; /* maintenance of every machine begins then; 0: none */
  int64_t wave_ms; /* time until its deadline */
  unsigned wave_cap;
};

struct surge_result
{
  double machine_s; /* of machines outside the standby pool */
  double unmet_s;   /* core seconds of work that was late, as seconds of a full surge */
  unsigned moves;
  guint64 digest; /* of all orders and their times */
};

struct surge_world;

struct surge_world *surge_world_create (const struct surge_options *options);
void surge_world_destroy (struct surge_world *world);
/* Runs for that time; may be called repeatedly. */
void surge_world_run (struct surge_world *world, int64_t ms);
/* Replaces the controller by one of the same method, as a takeover does; what the fleet's leader
 * stores is passed on. */
void surge_world_take_over (struct surge_world *world, bool with_forecast);
struct mt_controller *surge_world_controller (struct surge_world *world);
int64_t surge_world_now (const struct surge_world *world);
struct surge_result surge_world_result (const struct surge_world *world);

/* Faults that the world has seen; 0 in a correct run. */
struct surge_faults
{
  unsigned
      two_plans; /* a machine cordoned in two pools, or ordered while an order is carried out */
  unsigned late; /* machines of a wave that were not maintained by its deadline */
  unsigned moved_late;  /* machines moved though no time is left for their maintenance */
  unsigned wrong_total; /* plans of the pools that don't add up to the machines */
  unsigned not_empty;   /* orders for machines that run tasks */
};

struct surge_faults surge_world_faults (const struct surge_world *world);

#endif
