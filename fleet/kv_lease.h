/* A lease in the store that is kept by renewals. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_KV_LEASE_H
#define MT_FLEET_KV_LEASE_H

#include "ports.h"

struct mt_kv_lease;

struct mt_kv_lease_options
{
  struct mt_kv kv;
  void (*granted) (void *ctx);
  /* Called when the store no longer knows the lease, and by mt_kv_lease_drop. */
  void (*lost) (void *ctx, const char *why);
  void *ctx;
};

struct mt_kv_lease *mt_kv_lease_create (const struct mt_kv_lease_options *options);
void mt_kv_lease_destroy (struct mt_kv_lease *lease);

/* To be called often, several times within the duration, while the lease is wanted: requests it if
 * there is none, or renews it in time. ttl_ms: duration of a lease that is requested now. */
void mt_kv_lease_keep (struct mt_kv_lease *lease, int64_t ttl_ms, int64_t now);
/* Requests a lease in place of the present one, which stays in force until the new one is granted
 * and then expires by itself. */
void mt_kv_lease_replace (struct mt_kv_lease *lease, int64_t ttl_ms, int64_t now);
/* Forgets the lease and reports it as lost. It is not revoked. Does nothing if there is none. */
void mt_kv_lease_drop (struct mt_kv_lease *lease, const char *why);
/* Returns the lease's id in the store; 0 if there is none. */
int64_t mt_kv_lease_id (const struct mt_kv_lease *lease);
/* Returns the duration of the present lease in ms; 0 if there is none. */
int64_t mt_kv_lease_ttl (const struct mt_kv_lease *lease);
/* Returns the time until which the store keeps the lease, counted from when its last renewal was
 * sent, less a margin for clock drift; 0 if there is none. */
int64_t mt_kv_lease_valid_until (const struct mt_kv_lease *lease);

#endif
