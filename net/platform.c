#include "platform.h"

#include "medlartrack/error.h"

#include <jansson.h>
#include <string.h>

#define MAX_VALUE_BYTES      (2UL * 1024 * 1024)  /* a value of 1 MB in base64, and its JSON */
#define MAX_LIST_BYTES       (32UL * 1024 * 1024) /* the largest shard of claims */
#define RECURSE              "?recurse"
#define BREAKER_FAILURES     3
#define BREAKER_MIN_PAUSE_US (250 * MT_MS)
#define BREAKER_MAX_PAUSE_US (5 * MT_SECOND)
#define WATCH_SLACK_US       (2 * MT_SECOND) /* a watch's timeout is its wait plus this */

struct mt_platform
{
  struct mt_http_client *client;
  const struct mt_clock *clock;
  char *address;
  int64_t call_us;
  struct mt_store direct; /* without the breaker */
  struct mt_breaker *breaker;
  GMutex lock;         /* guards watched */
  GHashTable *watched; /* key -> struct watch_state */
  guint64 calls;       /* atomic */
};

static enum mt_http_outcome
call_service (struct mt_platform *platform,
              const char *method,
              const char *path,
              struct mt_str body,
              int64_t timeout_us,
              struct mt_arena *arena,
              struct mt_http_answer *answer,
              GError **error)
{
  struct mt_http_call request = {
    .method = method,
    .path = path,
    .body = body,
    /* neon must not retry a write: the retry would conflict with the first attempt. */
    .new_connection = strcmp (method, "GET") != 0,
    .deadline_us = mt_clock_now (platform->clock) + timeout_us,
    .max_answer_bytes = strstr (path, RECURSE) != NULL ? MAX_LIST_BYTES : MAX_VALUE_BYTES,
  };

  __atomic_add_fetch (&platform->calls, 1, __ATOMIC_RELAXED);
  return mt_http_client_call (platform->client, platform->address, &request, arena, answer, error);
}

static void
set_status_error (GError **error, const struct mt_http_answer *answer, enum mt_error code)
{
  g_set_error (error, MT_ERROR, code, "the platform answered %d %.*s; see its log", answer->status,
               (int) MIN (answer->body.len, 200), answer->body.data);
}

static bool
parse_entry (const json_t *entry, struct mt_store_value *out)
{
  const char *key = json_string_value (json_object_get (entry, "Key"));
  const char *encoded = json_string_value (json_object_get (entry, "Value"));
  const json_t *index = json_object_get (entry, "ModifyIndex");

  if (key == NULL || !json_is_integer (index))
    return false;
  out->found = true;
  out->leased = json_is_string (json_object_get (entry, "Session"));
  out->key = g_strdup (key);
  out->index = (uint64_t) json_integer_value (index);
  if (encoded != NULL && encoded[0] != '\0')
    out->data = (char *) g_base64_decode (encoded, &out->len);
  out->data = g_realloc (out->data, out->len + 1);
  out->data[out->len] = '\0';
  return true;
}

static json_t *
parse_entries (const struct mt_http_answer *answer, GError **error)
{
  json_t *root = json_loadb (answer->body.data, answer->body.len, 0, NULL);

  if (json_is_array (root))
    return root;
  json_decref (root);
  set_status_error (error, answer, MT_ERROR_UNAVAILABLE);
  return NULL;
}

/* Checks that the answer is for the requested key: otherwise it belongs to another call, and its
 * value would be taken for this key's. */
static bool
check_key (const struct mt_store_value *value, const char *key, GError **error)
{
  if (strcmp (value->key, key) == 0)
    return true;
  g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
               "the platform answered for key %s when asked for %s; check for a proxy between "
               "daemon and platform",
               value->key, key);
  return false;
}

static bool
get_path (struct mt_platform *platform,
          const char *path,
          const char *key,
          int64_t timeout_us,
          struct mt_store_value *out,
          GError **error)
{
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  json_t *entries = NULL;
  bool ok = false;

  *out = (struct mt_store_value){ 0 };
  if (call_service (platform, "GET", path, MT_STR (""), timeout_us, arena, &answer, error)
      != MT_HTTP_COMPLETE)
    goto done;
  if (answer.status == 404)
    {
      ok = true;
      goto done;
    }
  if (answer.status != 200)
    {
      set_status_error (error, &answer, MT_ERROR_UNAVAILABLE);
      goto done;
    }
  entries = parse_entries (&answer, error);
  if (entries == NULL)
    goto done;
  if (!parse_entry (json_array_get (entries, 0), out))
    set_status_error (error, &answer, MT_ERROR_UNAVAILABLE);
  else
    ok = check_key (out, key, error);
  if (!ok)
    mt_store_value_clear (out);
done:
  json_decref (entries);
  mt_arena_destroy (arena);
  return ok;
}

static bool
store_get (void *ctx, const char *key, struct mt_store_value *out, GError **error)
{
  struct mt_platform *platform = ctx;
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s", key);

  return get_path (platform, path, key, platform->call_us, out, error);
}

/* Result of a key's last watch. The service watches all keys with that prefix, so the index at
 * which to wait may be higher than the key's own. */
struct watch_state
{
  uint64_t index;      /* of the key */
  uint64_t wait_index; /* at which the next watch waits */
};

static uint64_t
get_wait_index (struct mt_platform *platform, const char *key, uint64_t index)
{
  const struct watch_state *state;
  uint64_t at = index;

  g_mutex_lock (&platform->lock);
  state = g_hash_table_lookup (platform->watched, key);
  if (state != NULL && state->index == index)
    at = state->wait_index;
  g_mutex_unlock (&platform->lock);
  return at;
}

static void
record_watch (struct mt_platform *platform, const char *key, uint64_t index, uint64_t wait_index)
{
  struct watch_state *state = g_new (struct watch_state, 1);

  *state = (struct watch_state){ index, wait_index };
  g_mutex_lock (&platform->lock);
  g_hash_table_replace (platform->watched, g_strdup (key), state);
  g_mutex_unlock (&platform->lock);
}

/* Watches only the names of the keys: otherwise each watch that ends unchanged would return the
 * value, which with tables of 227 KB is three times the traffic allowed for control. */
static bool
watch_names (struct mt_platform *platform,
             const char *key,
             uint64_t at,
             int64_t wait_us,
             unsigned long long *wait_index,
             GError **error)
{
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s?keys&index=%" G_GUINT64_FORMAT "&wait=%lldms",
                                           key, at, (long long) (wait_us / MT_MS));
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  struct mt_str index = { NULL, 0 };
  bool ok = false;

  if (call_service (platform, "GET", path, MT_STR (""), wait_us + WATCH_SLACK_US, arena, &answer,
                    error)
      == MT_HTTP_COMPLETE)
    {
      if (answer.status == 200 || answer.status == 404)
        index = mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("X-Consul-Index"));
      ok = index.data != NULL && mt_str_to_u64 (index, wait_index);
      if (!ok)
        set_status_error (error, &answer, MT_ERROR_UNAVAILABLE);
    }
  mt_arena_destroy (arena);
  return ok;
}

static bool
store_watch (void *ctx,
             const char *key,
             uint64_t index,
             int64_t wait_us,
             struct mt_store_value *out,
             GError **error)
{
  struct mt_platform *platform = ctx;
  uint64_t at = get_wait_index (platform, key, index);
  unsigned long long wait_index = 0;

  *out = (struct mt_store_value){ 0 };
  /* In the protocol a watch at index 0 does not wait. */
  if (index == 0)
    return store_get (ctx, key, out, error);
  if (!watch_names (platform, key, at, wait_us, &wait_index, error))
    return false;
  if (wait_index == at)
    {
      out->found = true;
      out->unchanged = true;
      out->index = index;
      return true;
    }
  if (!store_get (ctx, key, out, error))
    return false;
  out->unchanged = out->found && out->index == index;
  record_watch (platform, key, out->index, wait_index);
  return true;
}

static bool
store_list (void *ctx, const char *prefix, GPtrArray **out, GError **error)
{
  struct mt_platform *platform = ctx;
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s" RECURSE, prefix);
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  json_t *entries = NULL;
  bool ok = false;

  *out = g_ptr_array_new_with_free_func (mt_store_value_free);
  if (call_service (platform, "GET", path, MT_STR (""), platform->call_us, arena, &answer, error)
      != MT_HTTP_COMPLETE)
    goto done;
  ok = answer.status == 404;
  if (ok)
    goto done;
  entries = parse_entries (&answer, error);
  ok = entries != NULL;
  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      struct mt_store_value *value = g_new0 (struct mt_store_value, 1);

      g_ptr_array_add (*out, value);
      ok = ok && parse_entry (json_array_get (entries, i), value)
           && g_str_has_prefix (value->key, prefix);
    }
done:
  json_decref (entries);
  mt_arena_destroy (arena);
  if (!ok)
    g_clear_pointer (out, g_ptr_array_unref);
  return ok;
}

/* The service answers a write with "true" or "false". After any other answer the result is unknown,
 * except that a 4xx status means failure. */
static enum mt_store_write_result
classify_write (const struct mt_http_answer *answer, GError **error)
{
  if (answer->status == 200 && mt_str_has_prefix (answer->body, MT_STR ("true")))
    return MT_STORE_DONE;
  if (answer->status == 200 && mt_str_has_prefix (answer->body, MT_STR ("false")))
    return MT_STORE_CONFLICT;
  set_status_error (error, answer, MT_ERROR_UNAVAILABLE);
  return answer->status >= 400 && answer->status < 500 ? MT_STORE_FAILED : MT_STORE_UNKNOWN;
}

static enum mt_store_write_result
write_path (struct mt_platform *platform,
            const char *method,
            const char *path,
            struct mt_str body,
            GError **error)
{
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  enum mt_store_write_result result = MT_STORE_UNKNOWN;

  switch (call_service (platform, method, path, body, platform->call_us, arena, &answer, error))
    {
    case MT_HTTP_NOT_SENT:
      result = MT_STORE_FAILED;
      break;
    case MT_HTTP_UNKNOWN:
      break;
    case MT_HTTP_COMPLETE:
      result = classify_write (&answer, error);
      break;
    }
  mt_arena_destroy (arena);
  return result;
}

static enum mt_store_write_result
store_put (void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error)
{
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s?cas=%" G_GUINT64_FORMAT, key, index);

  return write_path (ctx, "PUT", path, value, error);
}

static enum mt_store_write_result
store_remove (void *ctx, const char *prefix, GError **error)
{
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s" RECURSE, prefix);

  return write_path (ctx, "DELETE", path, MT_STR (""), error);
}

static bool
store_lease_grant (void *ctx, unsigned ttl_s, char **id, GError **error)
{
  struct mt_platform *platform = ctx;
  g_autofree char *body = g_strdup_printf ("{\"TTL\":\"%us\",\"Behavior\":\"release\"}", ttl_s);
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  json_t *root = NULL;
  bool ok = false;

  if (call_service (platform, "PUT", "/v1/session/create", mt_str_from (body), platform->call_us,
                    arena, &answer, error)
      == MT_HTTP_COMPLETE)
    {
      root = json_loadb (answer.body.data, answer.body.len, 0, NULL);
      *id = g_strdup (json_string_value (json_object_get (root, "ID")));
      ok = *id != NULL;
      if (!ok)
        set_status_error (error, &answer, MT_ERROR_UNAVAILABLE);
    }
  json_decref (root);
  mt_arena_destroy (arena);
  return ok;
}

static bool
store_lease_renew (void *ctx, const char *id, GError **error)
{
  struct mt_platform *platform = ctx;
  g_autofree char *path = g_strdup_printf ("/v1/session/renew/%s", id);
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  bool ok = false;

  if (call_service (platform, "PUT", path, MT_STR (""), platform->call_us, arena, &answer, error)
      == MT_HTTP_COMPLETE)
    {
      ok = answer.status == 200;
      if (!ok)
        set_status_error (error, &answer,
                          answer.status == 404 ? MT_ERROR_STALE : MT_ERROR_UNAVAILABLE);
    }
  mt_arena_destroy (arena);
  return ok;
}

static void
store_lease_end (void *ctx, const char *id)
{
  g_autofree char *path = g_strdup_printf ("/v1/session/destroy/%s", id);

  write_path (ctx, "PUT", path, MT_STR (""), NULL);
}

static enum mt_store_write_result
store_acquire (void *ctx, const char *key, struct mt_str value, const char *lease, GError **error)
{
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s?acquire=%s", key, lease);

  return write_path (ctx, "PUT", path, value, error);
}

static const struct mt_store_ops platform_ops = {
  .name = "platform",
  .description = "the platform's key-value service over HTTP",
  .get = store_get,
  .watch = store_watch,
  .list = store_list,
  .put = store_put,
  .remove = store_remove,
  .lease_grant = store_lease_grant,
  .lease_renew = store_lease_renew,
  .lease_end = store_lease_end,
  .acquire = store_acquire,
};

/* Each client of the service has its own randomly seeded breaker, so that clients don't return to
 * it at the same time. */
static struct mt_breaker *
create_breaker (struct mt_platform *platform)
{
  struct mt_breaker_options options = { .clock = platform->clock,
                                        .inner = &platform->direct,
                                        .failure_threshold = BREAKER_FAILURES,
                                        .min_pause_us = BREAKER_MIN_PAUSE_US,
                                        .max_pause_us = BREAKER_MAX_PAUSE_US,
                                        .seed = g_random_int () };

  return mt_breaker_create (&options);
}

struct mt_platform *
mt_platform_create (struct mt_http_client *client,
                    const struct mt_clock *clock,
                    const char *address,
                    int64_t call_us)
{
  struct mt_platform *platform = g_new0 (struct mt_platform, 1);

  platform->client = client;
  platform->clock = clock;
  platform->address = g_strdup (address);
  g_mutex_init (&platform->lock);
  platform->watched = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform->call_us = call_us;
  platform->direct.ops = &platform_ops;
  platform->direct.ctx = platform;
  platform->breaker = create_breaker (platform);
  return platform;
}

void
mt_platform_destroy (struct mt_platform *platform)
{
  if (platform == NULL)
    return;
  mt_breaker_destroy (platform->breaker);
  g_hash_table_unref (platform->watched);
  g_mutex_clear (&platform->lock);
  g_free (platform->address);
  g_free (platform);
}

const struct mt_store *
mt_platform_store (struct mt_platform *platform)
{
  return mt_breaker_store (platform->breaker);
}

struct mt_breaker *
mt_platform_breaker (struct mt_platform *platform)
{
  return platform->breaker;
}

uint64_t
mt_platform_calls (const struct mt_platform *platform)
{
  return __atomic_load_n (&platform->calls, __ATOMIC_RELAXED);
}
