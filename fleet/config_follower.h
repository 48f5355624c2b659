/* Follows the configuration of a daemon with a wide link, which reads the store, in place of
 * reading it from the store: only changes cross the thin link. Prefers daemons of its data centre
 * and avoids those that failed. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_CONFIG_FOLLOWER_H
#define MT_FLEET_CONFIG_FOLLOWER_H

#include "cluster.h"
#include "config_check.h"
#include "mesh.h"

/* Daemons whose link has at least this bandwidth, or an unknown one, read the store and are
 * followed: they read 20,000 routes within half a second. */
#define MT_WIDE_LINK_MBPS 100.0

struct event_base;
struct mt_config_follower;
struct mt_journal;

struct mt_config_follower_options
{
  const char *name; /* of this daemon */
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_journal *journal;
  /* Returns whether another daemon is to be followed now. */
  bool (*wanted) (void *ctx);
  /* Returns the version in force; 0: none. */
  int64_t (*version) (void *ctx);
  /* Applies changes of the version in force, or all of another one; see config_delta.h. Returns
   * false if they can't be applied. */
  bool (*apply) (void *ctx, struct mt_str changes);
  void *ctx;
};

/* Starts at once. */
struct mt_config_follower *
mt_config_follower_create (struct event_base *base,
                           const struct mt_config_follower_options *options);
/* Call when the mesh has completed its calls. Checks in progress end without a confirmation. */
void mt_config_follower_destroy (struct mt_config_follower *follower);
/* Asks the daemon that is followed to check its configuration with the store, and waits until this
 * daemon has what it found. Returns false, without a call of done, if there is none to ask. */
bool
mt_config_follower_check (struct mt_config_follower *follower, mt_config_checked done, void *data);
/* Returns whether there has been a daemon to follow. */
bool mt_config_follower_has_source (const struct mt_config_follower *follower);
/* Returns when the store confirmed the version in force, as far as told, by mt_loop_now; 0: never.
 */
int64_t mt_config_follower_confirmed_at (const struct mt_config_follower *follower);
/* Returns the revision of the store then. */
int64_t mt_config_follower_revision (const struct mt_config_follower *follower);

#endif
