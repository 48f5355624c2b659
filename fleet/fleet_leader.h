/* Runs the fleet controller: reads maintenance waves, lists machines, queries the pools' leaders
 * and sends orders to machines. Exists while this daemon holds the fleet's leadership. Not
 * thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_LEADER_H
#define MT_FLEET_LEADER_H

#include "cluster.h"
#include "medlartrack/controller.h"
#include "mesh.h"
#include "pool.h"

struct mt_fleet_leader;

struct mt_fleet_leader_options
{
  const char *leadership;
  int64_t token;
  struct mt_kv kv;
  struct mt_machines machines;
  const struct mt_codec *codec;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  int64_t move_ms;
  int64_t maintenance_ms;
  int64_t stop_grace_ms;
  const struct mt_forecast_method *forecast;
  double idle_cost; /* see mt_controller_settings */
  /* Returns the pool if this daemon leads it, else NULL. */
  struct mt_pool *(*local_pool) (void *ctx, const char *pool);
  void *ctx;
};

struct mt_fleet_leader *mt_fleet_leader_create (struct event_base *base,
                                                const struct mt_fleet_leader_options *options);
void mt_fleet_leader_destroy (struct mt_fleet_leader *leader);
void mt_fleet_leader_set_config (struct mt_fleet_leader *leader,
                                 const struct mt_fleet_config *config);

/* Calls each for every pool that is not on standby, with the numbers of machines that it should
 * have and that are up there. */
void mt_fleet_leader_for_each_pool (struct mt_fleet_leader *leader,
                                    void (*each) (void *ctx,
                                                  const char *pool,
                                                  const struct mt_controller_counts *counts),
                                    void *ctx);

/* Directives to a pool's leader. Worker ids are joined by commas. */
struct mt_pool_directives
{
  struct mt_str cordon;       /* workers to drain now */
  struct mt_str ended;        /* workers whose machines were ordered to move or into maintenance */
  struct mt_str drain_later;  /* workers to drain later */
  struct mt_str expected_cpu; /* planned processors in thousandths of a core, as decimal text */
  struct mt_str grants;       /* the pool's shares of quotas, as packed by grants_wire.h */
};

/* Called by the pool's leader: applies the directives and returns its packed report, or NULL if the
 * pool is not loaded or the grants are outdated. Free with g_free. */
char *mt_pool_apply_directives (struct mt_pool *pool,
                                const struct mt_pool_directives *directives,
                                size_t *len);

#endif
