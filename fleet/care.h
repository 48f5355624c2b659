/* The steward at work: waves are read, machines listed, pools asked, orders given. Lives while this
 * daemon has the fleet's duty. On the loop's one thread. */
#ifndef MT_FLEET_CARE_H
#define MT_FLEET_CARE_H

#include "cluster.h"
#include "mesh.h"
#include "pool.h"

struct mt_care;

struct mt_care_options
{
  const char *duty;
  int64_t token;
  struct mt_kv kv;
  struct mt_machines machines;
  const struct mt_words *words;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  int64_t move_ms;
  int64_t upkeep_ms;
  /* The pool that this daemon leads; NULL for any other. */
  struct mt_pool *(*local) (void *ctx, const char *pool);
  void *ctx;
};

struct mt_care *mt_care_create (struct event_base *base, const struct mt_care_options *options);
void mt_care_destroy (struct mt_care *care);
void mt_care_set_config (struct mt_care *care, const struct mt_fleet_config *config);

/* The part of a pool's leader: empties what it is told to and reports. cordon and ended are worker
 * ids joined by commas; the bytes are g_freed by the caller. */
char *mt_care_serve (struct mt_pool *pool, struct mt_str cordon, struct mt_str ended, size_t *len);

#endif
