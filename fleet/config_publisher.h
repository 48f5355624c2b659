/* Passes the configuration on to the daemons that follow this one: changes between versions, or all
 * of one, in parts. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_CONFIG_PUBLISHER_H
#define MT_FLEET_CONFIG_PUBLISHER_H

#include "config_check.h"
#include "mesh.h"

struct event_base;
struct mt_config_publisher;

struct mt_config_publisher_options
{
  struct mt_config_check *check;
  /* Milliseconds since the store confirmed the newest version. */
  int64_t (*age_ms) (void *ctx);
  /* Revision of the store then. */
  int64_t (*revision) (void *ctx);
  void *ctx;
};

struct mt_config_publisher *
mt_config_publisher_create (struct event_base *base,
                            const struct mt_config_publisher_options *options);
/* Answers the calls that wait, without a part. */
void mt_config_publisher_destroy (struct mt_config_publisher *publisher);
/* Sets the configuration to pass on, which is borrowed until the next call. before: the one that it
 * replaces, still valid; NULL for none. Calls that wait are answered once the answer of the store
 * that brought it has been noted as its confirmation. */
void mt_config_publisher_set (struct mt_config_publisher *publisher,
                              const struct mt_fleet_config *before,
                              const struct mt_fleet_config *config);
/* The store has confirmed the configuration: answers the calls that wait. */
void mt_config_publisher_confirmed (struct mt_config_publisher *publisher);
/* Answers a call of a daemon that follows this one, now or later. */
void mt_config_publisher_serve (struct mt_config_publisher *publisher,
                                struct mt_mesh_call *call,
                                const struct mt_mesh_args *args);

#endif
