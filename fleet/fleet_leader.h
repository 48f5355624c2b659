/* The fleet controller at work: waves are read, machines listed, pools asked, orders given. Lives
 * while this daemon has the fleet's leadership. On the loop's one thread. */
#ifndef MT_FLEET_LEADER_H
#define MT_FLEET_LEADER_H

#include "cluster.h"
#include "mesh.h"
#include "pool.h"

struct mt_fleet_leader;

struct mt_fleet_leader_options
{
  const char *leadership;
  int64_t token;
  struct mt_kv kv;
  struct mt_machines machines;
  const struct mt_codec *words;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  int64_t move_ms;
  int64_t upkeep_ms;
  /* The pool that this daemon leads; NULL for any other. */
  struct mt_pool *(*local) (void *ctx, const char *pool);
  void *ctx;
};

struct mt_fleet_leader *mt_fleet_leader_create (struct event_base *base,
                                                const struct mt_fleet_leader_options *options);
void mt_fleet_leader_destroy (struct mt_fleet_leader *leader);
void mt_fleet_leader_set_config (struct mt_fleet_leader *leader,
                                 const struct mt_fleet_config *config);

/* What a pool's leader is told: worker ids joined by commas. */
struct mt_pool_directives
{
  struct mt_str cordon; /* to be emptied */
  struct mt_str ended;  /* their machines were ordered away */
  struct mt_str due;    /* to be emptied later */
  struct mt_str room; /* a number: processors that the pool should have, in thousandths of a core */
  struct mt_str grants; /* its shares of quotas, as grants_wire.h packs them */
};

/* The part of a pool's leader: empties what it is told to and reports; the bytes are g_freed by the
 * caller. */
char *mt_pool_apply_directives (struct mt_pool *pool,
                                const struct mt_pool_directives *notes,
                                size_t *len);

#endif
