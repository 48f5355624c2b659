/* Callers' requests: jobs submitted, asked for, cancelled and counted. A submission is answered
 * once the store has it; questions go to whoever leads the pool, or to the store where nobody does.
 * On the loop's one thread. */
#ifndef MT_FLEET_FRONTEND_H
#define MT_FLEET_FRONTEND_H

#include "cluster.h"
#include "http_front.h"
#include "mesh.h"
#include "metrics.h"
#include "pool.h"

struct mt_frontend;
struct mt_journal;

struct mt_frontend_options
{
  struct mt_kv kv;
  const struct mt_codec *words;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  /* The pool that this daemon leads; NULL for any other. */
  struct mt_pool *(*local) (void *ctx, const char *pool);
  /* Whether the store can be expected to answer. */
  bool (*store_answers) (void *ctx);
  /* How long ago the store last confirmed the configuration in force. */
  int64_t (*config_age_ms) (void *ctx);
  int64_t keys_stale_ms; /* callers with keys are refused beyond that age; 0: never */
  void *ctx;
};

struct mt_frontend *mt_frontend_create (struct event_base *base,
                                        const struct mt_frontend_options *options);
void mt_frontend_destroy (struct mt_frontend *frontend);
/* Borrowed until the next call; NULL for none. */
void mt_frontend_set_config (struct mt_frontend *frontend, const struct mt_fleet_config *config);
void mt_frontend_handle (struct mt_frontend *frontend, struct mt_exchange *exchange);
/* Submissions and questions under way. */
unsigned mt_frontend_in_flight (const struct mt_frontend *frontend);

#endif
