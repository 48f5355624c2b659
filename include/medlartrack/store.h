/* What the core needs of the platform's key-value service, as a table of callbacks. The daemon
 * plugs in net/platform.c, tests plug in a fake. Calls block; any thread may call. */
#ifndef MEDLARTRACK_STORE_H
#define MEDLARTRACK_STORE_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

struct mt_store_value
{
  bool found;
  bool leased;    /* a lease holds the key */
  bool unchanged; /* of a watch: as it was at the index given; the data may be left out */
  char *data;     /* NUL-terminated for convenience; g_free through mt_store_value_clear */
  size_t len;
  uint64_t index; /* changes with every write of the key; fences the next one */
  char *key;      /* set by list only */
};

enum mt_store_write_result
{
  MT_STORE_DONE,     /* took effect */
  MT_STORE_CONFLICT, /* did not: another write came first */
  MT_STORE_FAILED,   /* did not: the service could not be reached */
  MT_STORE_UNKNOWN,  /* may have taken effect: read back to know */
};

struct mt_store_ops
{
  const char *name;
  const char *description;
  /* False with MT_ERROR_UNAVAILABLE where the service does not answer; a missing key is true with
   * found unset. */
  bool (*get) (void *ctx, const char *key, struct mt_store_value *out, GError **error);
  /* A watch: with index 0 at once, else once the key's index differs from the one given, or after
   * wait_us with unchanged set. Counts as one call at the platform, and a read where something
   * changed. */
  bool (*watch) (void *ctx,
                 const char *key,
                 uint64_t index,
                 int64_t wait_us,
                 struct mt_store_value *out,
                 GError **error);
  /* Every value under a prefix: a GPtrArray of struct mt_store_value, freed by its own free func.
   */
  bool (*list) (void *ctx, const char *prefix, GPtrArray **out, GError **error);
  /* Compare-and-swap on the index; index 0: only where the key does not exist. */
  enum mt_store_write_result (*put) (
      void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error);
  /* Removes every key under the prefix. */
  enum mt_store_write_result (*remove) (void *ctx, const char *prefix, GError **error);
  /* A lease lives for ttl_s after each renewal; its id is g_freed by the caller. */
  bool (*lease_grant) (void *ctx, unsigned ttl_s, char **id, GError **error);
  /* False with MT_ERROR_STALE where the lease has lapsed. */
  bool (*lease_renew) (void *ctx, const char *id, GError **error);
  void (*lease_end) (void *ctx, const char *id);
  /* Writes the key and holds it under the lease; CONFLICT while another lease holds it. When the
   * lease lapses the key is free again, its value stays. */
  enum mt_store_write_result (*acquire) (
      void *ctx, const char *key, struct mt_str value, const char *lease, GError **error);
};

struct mt_store
{
  const struct mt_store_ops *ops;
  void *ctx;
};

void mt_store_value_clear (struct mt_store_value *value);
/* For a GPtrArray of values on the heap. */
void mt_store_value_free (gpointer value);

#endif
