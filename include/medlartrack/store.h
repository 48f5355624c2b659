/* Interface to the platform's key-value service, as a table of callbacks. The daemon uses
 * net/platform.c, tests use a fake. Calls block. Any thread. */
#ifndef MEDLARTRACK_STORE_H
#define MEDLARTRACK_STORE_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

struct mt_store_value
{
  bool found;
  bool leased;    /* the key is held under a lease */
  bool unchanged; /* of a watch: not changed since the given index; the data may be missing */
  char *data;     /* NUL-terminated; freed by mt_store_value_clear */
  size_t len;
  uint64_t index; /* changes with every write of the key; the next write is conditional on it */
  char *key;      /* set by list only */
};

enum mt_store_write_result
{
  MT_STORE_DONE,     /* took effect */
  MT_STORE_CONFLICT, /* no effect: another write came first */
  MT_STORE_FAILED,   /* no effect: the service could not be reached */
  MT_STORE_UNKNOWN,  /* may have taken effect: read the key to find out */
};

struct mt_store_ops
{
  const char *name;
  const char *description;
  /* Reads a key; clear out with mt_store_value_clear. For a missing key, returns true with found
   * unset. Returns false with MT_ERROR_UNAVAILABLE if the service does not answer. */
  bool (*get) (void *ctx, const char *key, struct mt_store_value *out, GError **error);
  /* Watches a key. With index 0 returns at once; otherwise when the key's index differs from the
   * given one, or after wait_us with unchanged set. Counts as one call at the platform, plus a read
   * if something changed. */
  bool (*watch) (void *ctx,
                 const char *key,
                 uint64_t index,
                 int64_t wait_us,
                 struct mt_store_value *out,
                 GError **error);
  /* Reads all values under a prefix into a GPtrArray of struct mt_store_value, which frees its
   * elements. */
  bool (*list) (void *ctx, const char *prefix, GPtrArray **out, GError **error);
  /* Writes a key if its index is the given one; index 0: if it does not exist. */
  enum mt_store_write_result (*put) (
      void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error);
  /* Removes all keys under a prefix. */
  enum mt_store_write_result (*remove) (void *ctx, const char *prefix, GError **error);
  /* Creates a lease that expires ttl_s after its last renewal and sets *id; free it with g_free. */
  bool (*lease_grant) (void *ctx, unsigned ttl_s, char **id, GError **error);
  /* Renews a lease. Returns false with MT_ERROR_STALE if it has expired. */
  bool (*lease_renew) (void *ctx, const char *id, GError **error);
  /* Ends a lease before it expires. */
  void (*lease_end) (void *ctx, const char *id);
  /* Writes the key and holds it under the lease; returns MT_STORE_CONFLICT while another lease
   * holds it. When the lease expires, the key is free again and keeps its value. */
  enum mt_store_write_result (*acquire) (
      void *ctx, const char *key, struct mt_str value, const char *lease, GError **error);
};

struct mt_store
{
  const struct mt_store_ops *ops;
  void *ctx;
};

/* Frees what the value owns and zeroes it. */
void mt_store_value_clear (struct mt_store_value *value);
/* Free function for a GPtrArray of heap-allocated values. */
void mt_store_value_free (gpointer value);

#endif
