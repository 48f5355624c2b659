/* The daemons of the cluster and the holders of its leaderships, kept as keys in the store: each
 * member under a lease of its own, and the leaderships of a daemon under another, shorter one. A
 * leadership belongs to the daemon that created its key; the key's revision
 * is the fencing token. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_CLUSTER_H
#define MT_FLEET_CLUSTER_H

#include "ports.h"

struct event_base;
struct mt_cluster;

struct mt_cluster_options
{
  const char *name;    /* this daemon's name */
  const char *address; /* IP:PORT for other daemons */
  const char *zone;
  double cores;     /* cores of this machine; leaderships prefer the daemons with the most */
  double link_mbps; /* bandwidth of its link; 0: unknown */
  /* May be called from within any other function of this header. token: the fencing token. */
  void (*gained) (void *ctx, const char *leadership, int64_t token);
  void (*lost) (void *ctx, const char *leadership, const char *why);
  void *ctx;
};

struct mt_cluster *mt_cluster_create (struct event_base *base,
                                      struct mt_kv kv,
                                      const struct mt_cluster_options *options);
void mt_cluster_destroy (struct mt_cluster *cluster);

/* Sets the leaderships that this daemon competes for. Does not drop one that is no longer named. */
void mt_cluster_set_leaderships (struct mt_cluster *cluster, const char *const *names);
/* Returns the address of the leadership's holder, as last seen; NULL if it is not known. Valid
 * until the next change. */
const char *mt_cluster_holder (const struct mt_cluster *cluster, const char *leadership);
/* Returns the fencing token of the leadership; 0 if this daemon does not hold it. */
int64_t mt_cluster_token (const struct mt_cluster *cluster, const char *leadership);
/* Returns the leadership's key in the store, for preconditions of writes; free it with g_free. */
char *mt_cluster_leader_key (const char *leadership);
/* Returns whether the lease of this daemon's leaderships is still valid by the local clock, counted
 * from when its last renewal was sent; false if it has none. */
bool mt_cluster_lease_is_valid (const struct mt_cluster *cluster);
/* Returns the milliseconds since that lease ceased to be valid: 0 while it is valid, INT64_MAX if
 * there is none. */
int64_t mt_cluster_lease_invalid_ms (const struct mt_cluster *cluster);
/* Drops the leadership locally: another daemon holds it or its key is gone. */
void
mt_cluster_drop_leadership (struct mt_cluster *cluster, const char *leadership, const char *why);
/* Returns the addresses of the other daemons, NULL-terminated; free them with g_strfreev. */
char **mt_cluster_peers (const struct mt_cluster *cluster);
/* Another daemon of the cluster, as last seen; valid during the call that passes it. */
struct mt_cluster_peer
{
  const char *address;
  double link_mbps; /* 0: unknown */
  bool same_zone;   /* in this daemon's data centre */
};

typedef void (*mt_cluster_peer_call) (void *ctx, const struct mt_cluster_peer *peer);

/* Calls with each other daemon, in no particular order. */
void
mt_cluster_for_each_peer (const struct mt_cluster *cluster, mt_cluster_peer_call call, void *ctx);
/* Returns whether the daemon at this address can confirm a store outage: it is in another data
 * centre, so that a partition of this one does not affect it, or there is no other data centre. */
bool mt_cluster_can_confirm_outage (const struct mt_cluster *cluster, const char *address);
size_t mt_cluster_size (const struct mt_cluster *cluster);
/* Revokes the leases, so that the others need not wait for them to expire. done is called once the
 * store has answered or the calls have failed. */
void mt_cluster_leave (struct mt_cluster *cluster, void (*done) (void *ctx), void *ctx);

#endif
