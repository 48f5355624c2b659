/* Handles callers' requests: submits, queries, cancels and counts jobs. A submission is answered
 * once it is stored. Queries go to the pool's leader, or to the store if there is none. Not
 * thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_FRONTEND_H
#define MT_FLEET_FRONTEND_H

#include "cluster.h"
#include "config_check.h"
#include "http_front.h"
#include "mesh.h"
#include "metrics.h"
#include "pool.h"

struct mt_frontend;
struct mt_journal;

struct mt_frontend_options
{
  struct mt_kv kv;
  const struct mt_codec *codec;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  /* Returns the pool if this daemon leads it, else NULL. */
  struct mt_pool *(*local_pool) (void *ctx, const char *pool);
  /* Returns whether the store is expected to answer. */
  bool (*store_answers) (void *ctx);
  /* Returns whether, as far as known, the store answers no daemon. */
  bool (*store_is_down) (void *ctx);
  bool store_wait; /* submissions wait for the store in an outage */
  /* Confirms the configuration before a call is refused for good. */
  struct mt_config_check *config_check;
  /* Milliseconds since the store last confirmed the current configuration. */
  int64_t (*config_age_ms) (void *ctx);
  /* Calls get 503 if the configuration is older, the store answers and does not confirm it. */
  int64_t config_apply_ms;
  /* A call is not answered by an older configuration than one that arrived so long before it. */
  int64_t config_rollback_ms;
  int64_t keys_stale_ms; /* callers with keys are refused if the configuration is older; 0: never */
  void *ctx;
};

struct mt_frontend *mt_frontend_create (struct event_base *base,
                                        const struct mt_frontend_options *options);
void mt_frontend_destroy (struct mt_frontend *frontend);
/* The configuration is borrowed until the next call; NULL for none. */
void mt_frontend_set_config (struct mt_frontend *frontend, const struct mt_fleet_config *config);
void mt_frontend_handle (struct mt_frontend *frontend, struct mt_exchange *exchange);
/* Begins a stop, after which the daemon answers its callers until `answer_by`, in ms of the loop's
 * clock. From now on no write is begun whose outcome may not be known by then: its caller is
 * refused at once. Calls under way are waited for. */
void mt_frontend_stop (struct mt_frontend *frontend, int64_t answer_by);
/* Refuses calls of which nothing was sent. The others are answered as their calls of the store and
 * of other daemons end, which may be done only afterwards; none is retried. */
void mt_frontend_close (struct mt_frontend *frontend);
/* Returns the number of submissions and queries in flight. */
unsigned mt_frontend_in_flight (const struct mt_frontend *frontend);

#endif
