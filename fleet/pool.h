/* Runs the scheduler of one pool: loads its jobs from the store, stores its decisions and sends its
 * orders. Exists while this daemon holds the pool's leadership. Not thread-safe: runs on the loop's
 * thread. */
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
  const struct mt_codec *codec;
  struct mt_cluster *cluster;
  struct mt_scheduler_settings sched; /* its name is ignored: the pool's name is used */
  /* Returns whether no daemon reaches the store, as far as this one can tell. */
  bool (*store_is_down) (void *ctx);
  /* Milliseconds that a message sent now waits before it leaves this machine. */
  int64_t (*link_wait_ms) (void *ctx);
  void *ctx;
  struct mt_journal *journal;
};

struct mt_pool *mt_pool_create (struct event_base *base, const struct mt_pool_options *options);
/* Calls in flight finish by themselves; the memory is freed after the last of them. */
void mt_pool_destroy (struct mt_pool *pool);

/* Returns whether all jobs that the store had at creation are loaded. */
bool mt_pool_is_loaded (const struct mt_pool *pool);
struct mt_scheduler *mt_pool_scheduler (struct mt_pool *pool);
int64_t mt_pool_token (const struct mt_pool *pool);
/* Returns the job's state as the workspace may see it: MT_JOB_UNKNOWN for a job of another
 * workspace. */
enum mt_job_state
mt_pool_state_for (const struct mt_pool *pool, const char *id, const char *workspace);
/* Runs a scheduling cycle if one is pending and sends orders. To be called after the scheduler's
 * state was changed from outside the pool. */
void mt_pool_wake (struct mt_pool *pool);

/* Adds a job that is already stored. key, value: as stored. fresh: it was submitted just now, and
 * did not come from the watch. */
void
mt_pool_handle_submission (struct mt_pool *pool, const char *key, struct mt_str value, bool fresh);
void mt_pool_handle_cancel (struct mt_pool *pool, const char *id);

#endif
