/* Which daemons there are and who has which leadership, by keys in the store under one lease a
 * daemon. A leadership is had by whoever created its key; the key's revision is the fencing token.
 * On the loop's one thread. */
#ifndef MT_FLEET_CLUSTER_H
#define MT_FLEET_CLUSTER_H

#include "ports.h"

struct event_base;
struct mt_cluster;

struct mt_cluster_options
{
  const char *name;    /* of this daemon */
  const char *address; /* IP:PORT for other daemons */
  const char *zone;
  double cores; /* of this machine: leaderships go where there are most */
  /* May be called from within any other function of this header. */
  void (*gained) (void *ctx, const char *leadership, int64_t token);
  void (*lost) (void *ctx, const char *leadership, const char *why);
  void *ctx;
};

struct mt_cluster *mt_cluster_create (struct event_base *base,
                                      struct mt_kv kv,
                                      const struct mt_cluster_options *options);
void mt_cluster_destroy (struct mt_cluster *cluster);

/* The leaderships that there are; those that are no longer named are given back. */
void mt_cluster_set_leaderships (struct mt_cluster *cluster, const char *const *names);
/* Address of who has it; NULL where nobody is known to. */
const char *mt_cluster_holder (const struct mt_cluster *cluster, const char *leadership);
/* 0 where this daemon does not have it. */
int64_t mt_cluster_token (const struct mt_cluster *cluster, const char *leadership);
/* The leadership's key, for the condition of a write. */
char *mt_cluster_leader_key (const char *leadership);
/* This daemon's lease has not run out by its own clock, counted from when its last renewal was
 * sent. */
bool mt_cluster_lease_is_valid (const struct mt_cluster *cluster);
/* How long that has not been so; a large number where it never was. */
int64_t mt_cluster_lease_invalid_ms (const struct mt_cluster *cluster);
/* Somebody else was seen to have it, or the key is gone. */
void
mt_cluster_drop_leadership (struct mt_cluster *cluster, const char *leadership, const char *why);
/* Addresses of the other daemons, NULL-terminated; free with g_strfreev. */
char **mt_cluster_peers (const struct mt_cluster *cluster);
/* What the daemon there sees would not be so just because this data centre is cut off: it is in
 * another one, or there is only one. */
bool mt_cluster_can_confirm_outage (const struct mt_cluster *cluster, const char *address);
size_t mt_cluster_size (const struct mt_cluster *cluster);
/* Gives everything back, so that others need not wait for the lease to run out; done is called
 * once the store has heard, or can't be told. */
void mt_cluster_leave (struct mt_cluster *cluster, void (*done) (void *ctx), void *ctx);

#endif
