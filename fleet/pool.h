/* One pool's scheduler at work: loads its jobs from the store, makes what it decides durable, and
 * sends its orders. Lives while this daemon has the pool's leadership. On the loop's one thread. */
#ifndef MT_FLEET_POOL_H
#define MT_FLEET_POOL_H

#include "cluster.h"
#include "ports.h"

struct event_base;
struct mt_pool;
struct mt_journal;

struct mt_pool_options
{
  const char *name;
  int64_t token;
  struct mt_kv kv;
  struct mt_workers workers;
  const struct mt_codec *words;
  struct mt_cluster *cluster;
  struct mt_scheduler_settings sched; /* its name is the pool's */
  /* Nobody reaches the store, as far as this daemon can learn. */
  bool (*store_is_out) (void *ctx);
  /* How long what is sent now waits before it leaves this machine. */
  int64_t (*link_wait_ms) (void *ctx);
  void *ctx;
  struct mt_journal *journal;
};

struct mt_pool *mt_pool_create (struct event_base *base, const struct mt_pool_options *options);
/* Calls under way are left to end by themselves. */
void mt_pool_destroy (struct mt_pool *pool);

/* All jobs of the time before are known. */
bool mt_pool_is_loaded (const struct mt_pool *pool);
struct mt_scheduler *mt_pool_scheduler (struct mt_pool *pool);
int64_t mt_pool_token (const struct mt_pool *pool);
/* The job's state as the workspace may see it: another's job is unknown to it. */
enum mt_job_state
mt_pool_state_for (const struct mt_pool *pool, const char *id, const char *workspace);
/* Does what has become due; to be called after the scheduler was fed from elsewhere. */
void mt_pool_wake (struct mt_pool *pool);

/* key: of the job in the store; value: as it is stored. The job is durable. */
void
mt_pool_handle_submission (struct mt_pool *pool, const char *key, struct mt_str value, bool fresh);
void mt_pool_handle_cancel (struct mt_pool *pool, const char *id);

#endif
