/* A stand-in for the platform's key-value service: compare-and-swap, leases and watches as in the
 * published HTTP protocol, and faults on request.
 *
 *   PUT /fault {"down": bool, "slow_ms": n, "lose_answers": n}
 *   PUT /instances {"name", "state": "live" | "leaving" | "down" | "gone", "reboot_ms": n}
 *   PUT /v1/instance/NAME/reboot?epoch=N
 *   GET /calls -> {"reads": n, "read_bytes": n, "writes": n, "dropped": n}; a waiting watch counts
 *       as one read; dropped counts calls received while the service was down
 *
 * The instances are published as the value of the key platform/instances. */
#include "platform_instances.h"
#include "standin.h"

#include <string.h>

#define MAX_VALUE_BYTES (1024 * 1024)
#define INSTANCES_KEY   "platform/instances"

struct entry
{
  char *value;
  size_t len;
  uint64_t index;
  char *session; /* id of the session that holds the key, or NULL */
};

struct session
{
  int64_t ttl_us;
  int64_t expires_us;
};

struct service
{
  GMutex lock; /* guards all below */
  GCond changed;
  GTree *entries;       /* key -> struct entry, in key order */
  GHashTable *sessions; /* id -> struct session */
  struct platform_instances *instances;
  uint64_t index;
  uint64_t next_session;
  uint64_t reads;
  uint64_t read_bytes; /* bodies of answers to reads */
  uint64_t writes;
  uint64_t dropped;
  bool down;
  unsigned slow_ms;
  unsigned lose_answers; /* number of next writes that take effect and are not answered */
};

static void
free_entry (gpointer data)
{
  struct entry *entry = data;

  g_free (entry->value);
  g_free (entry->session);
  g_free (entry);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static int64_t
now_us (void)
{
  return mt_clock_now (mt_clock_system ());
}

static gboolean
release_if_held (gpointer key, gpointer value, gpointer id)
{
  struct entry *entry = value;

  if (entry->session != NULL && strcmp (entry->session, id) == 0)
    g_clear_pointer (&entry->session, g_free);
  return FALSE;
}

static gboolean
remove_if_expired (gpointer id, gpointer value, gpointer data)
{
  struct service *service = data;
  const struct session *session = value;

  if (session->expires_us > now_us ())
    return FALSE;
  g_tree_foreach (service->entries, release_if_held, id);
  return TRUE;
}

static void
expire_sessions (struct service *service)
{
  g_hash_table_foreach_remove (service->sessions, remove_if_expired, service);
}

static json_t *
entry_to_json (const char *key, const struct entry *entry)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *) entry->value, entry->len);
  json_t *out = json_pack ("{ss ss sI sI}", "Key", key, "Value", encoded, "ModifyIndex",
                           (json_int_t) entry->index, "CreateIndex", (json_int_t) entry->index);

  if (entry->session != NULL)
    json_object_set_new (out, "Session", json_string (entry->session));
  return out;
}

struct walk
{
  const char *prefix;
  json_t *list;
  GPtrArray *keys;
};

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  struct walk *walk = data;

  if (!g_str_has_prefix (key, walk->prefix))
    return FALSE;
  if (walk->list != NULL)
    json_array_append_new (walk->list, entry_to_json (key, value));
  if (walk->keys != NULL)
    g_ptr_array_add (walk->keys, key);
  return FALSE;
}

struct newest
{
  const char *prefix;
  uint64_t index;
};

static gboolean
find_newest (gpointer key, gpointer value, gpointer data)
{
  struct newest *newest = data;

  if (g_str_has_prefix (key, newest->prefix))
    newest->index = MAX (newest->index, ((const struct entry *) value)->index);
  return FALSE;
}

/* The index that a watch compares: that of the key, or the highest of the keys with this prefix. */
static uint64_t
current_index (struct service *service, const char *key, bool by_prefix)
{
  const struct entry *entry = g_tree_lookup (service->entries, key);
  struct newest newest = { key, 0 };

  if (!by_prefix)
    return entry != NULL ? entry->index : 0;
  g_tree_foreach (service->entries, find_newest, &newest);
  return newest.index;
}

/* Waits until the index differs from the given one, or for `wait` ms. The lock is held. */
static void
wait_for_change (
    struct service *service, const char *key, bool by_prefix, const char *index, const char *wait)
{
  uint64_t known = g_ascii_strtoull (index, NULL, 10);
  int64_t until
      = g_get_monotonic_time () + (int64_t) (wait != NULL ? strtoll (wait, NULL, 10) : 0) * MT_MS;

  while (current_index (service, key, by_prefix) == known && !service->down
         && g_cond_wait_until (&service->changed, &service->lock, until))
    ;
}

static gboolean
collect_name (gpointer key, gpointer value, gpointer data)
{
  struct walk *walk = data;

  if (g_str_has_prefix (key, walk->prefix))
    json_array_append_new (walk->list, json_string (key));
  return FALSE;
}

static void
set_index_header (struct mt_http_request *request, uint64_t index)
{
  g_autofree char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, index);
  struct mt_http_header *header = mt_arena_alloc (request->arena, sizeof *header);

  header->name = MT_STR ("X-Consul-Index");
  header->value = mt_arena_dup (request->arena, mt_str_from (text));
  request->answer.headers = header;
  request->answer.n_headers = 1;
}

static void
handle_get (struct service *service, struct mt_http_request *request, const char *key)
{
  g_autofree char *index = standin_query (request, "index");
  g_autofree char *wait = standin_query (request, "wait");
  bool by_prefix = standin_has_query (request, "keys");
  struct walk walk = { key, json_array (), NULL };
  const struct entry *entry;

  service->reads++;
  /* In the published protocol an index of 0 does not wait. */
  if (index != NULL && strcmp (index, "0") != 0)
    wait_for_change (service, key, by_prefix, index, wait);
  if (service->down)
    {
      json_decref (walk.list);
      request->answer.status = MT_HTTP_DROP;
      return;
    }
  if (by_prefix)
    g_tree_foreach (service->entries, collect_name, &walk);
  else if (standin_has_query (request, "recurse"))
    g_tree_foreach (service->entries, collect, &walk);
  else if ((entry = g_tree_lookup (service->entries, key)) != NULL)
    json_array_append_new (walk.list, entry_to_json (key, entry));
  standin_answer_json (request, json_array_size (walk.list) > 0 ? 200 : 404, walk.list);
  set_index_header (request, current_index (service, key, by_prefix));
  service->read_bytes += request->answer.body.len;
}

static void
store_value (struct service *service, const char *key, struct mt_str value, const char *session)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->value = g_malloc (value.len + 1);
  memcpy (entry->value, value.len > 0 ? value.data : "", value.len);
  entry->len = value.len;
  entry->index = ++service->index;
  entry->session = g_strdup (session);
  g_tree_replace (service->entries, g_strdup (key), entry);
  g_cond_broadcast (&service->changed);
}

static bool
may_put (struct service *service, struct mt_http_request *request, const struct entry *entry)
{
  g_autofree char *cas = standin_query (request, "cas");
  g_autofree char *acquire = standin_query (request, "acquire");

  if (cas != NULL && g_ascii_strtoull (cas, NULL, 10) != (entry != NULL ? entry->index : 0))
    return false;
  if (acquire == NULL)
    return true;
  if (!g_hash_table_contains (service->sessions, acquire))
    return false;
  return entry == NULL || entry->session == NULL || strcmp (entry->session, acquire) == 0;
}

static void
handle_put (struct service *service, struct mt_http_request *request, const char *key)
{
  const struct entry *entry = g_tree_lookup (service->entries, key);
  g_autofree char *acquire = standin_query (request, "acquire");
  g_autofree char *held = g_strdup (entry != NULL ? entry->session : NULL);

  if (request->body.len > MAX_VALUE_BYTES)
    {
      standin_answer_text (request, 413, "value too large");
      return;
    }
  if (!may_put (service, request, entry))
    {
      standin_answer_text (request, 200, "false");
      return;
    }
  store_value (service, key, request->body, acquire != NULL ? acquire : held);
  standin_answer_text (request, 200, "true");
}

static void
handle_delete (struct service *service, struct mt_http_request *request, const char *key)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  struct walk walk = { key, NULL, keys };

  if (standin_has_query (request, "recurse"))
    g_tree_foreach (service->entries, collect, &walk);
  else
    g_ptr_array_add (keys, (gpointer) key);
  for (guint i = 0; i < keys->len; i++)
    g_tree_remove (service->entries, keys->pdata[i]);
  service->index++;
  g_cond_broadcast (&service->changed);
  standin_answer_text (request, 200, "true");
}

static void
create_session (struct service *service, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  const char *ttl = json_string_value (json_object_get (body, "TTL"));
  struct session *session = g_new0 (struct session, 1);
  char *id = g_strdup_printf ("session-%" G_GUINT64_FORMAT, ++service->next_session);

  session->ttl_us = (ttl != NULL ? strtoll (ttl, NULL, 10) : 10) * MT_SECOND;
  session->expires_us = now_us () + session->ttl_us;
  g_hash_table_insert (service->sessions, id, session);
  standin_answer_json (request, 200, json_pack ("{ss}", "ID", id));
  json_decref (body);
}

static void
handle_session (struct service *service, struct mt_http_request *request, const char *rest)
{
  struct session *session;

  service->writes++;
  if (strcmp (rest, "create") == 0)
    create_session (service, request);
  else if (g_str_has_prefix (rest, "renew/"))
    {
      session = g_hash_table_lookup (service->sessions, rest + strlen ("renew/"));
      if (session != NULL)
        session->expires_us = now_us () + session->ttl_us;
      standin_answer_text (request, session != NULL ? 200 : 404, "[]");
    }
  else if (g_str_has_prefix (rest, "destroy/"))
    {
      g_tree_foreach (service->entries, release_if_held, (gpointer) (rest + strlen ("destroy/")));
      g_hash_table_remove (service->sessions, rest + strlen ("destroy/"));
      standin_answer_text (request, 200, "true");
    }
  else
    standin_answer_text (request, 404, "unknown path");
}

static void
handle_fault (struct service *service, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);

  service->down = json_is_true (json_object_get (body, "down"));
  service->slow_ms = (unsigned) json_integer_value (json_object_get (body, "slow_ms"));
  service->lose_answers = (unsigned) json_integer_value (json_object_get (body, "lose_answers"));
  g_cond_broadcast (&service->changed);
  json_decref (body);
  standin_answer_text (request, 200, "true");
}

static void
handle_kv (struct service *service, struct mt_http_request *request, const char *key)
{
  if (mt_str_equal (request->method, MT_STR ("GET")))
    {
      handle_get (service, request, key);
      return;
    }
  service->writes++;
  if (mt_str_equal (request->method, MT_STR ("PUT")))
    handle_put (service, request, key);
  else
    handle_delete (service, request, key);
  if (service->lose_answers > 0)
    {
      service->lose_answers--;
      request->answer.status = MT_HTTP_DROP;
    }
}

/* Writes the list of instances, if it has changed, as the value of an ordinary key. */
static void
publish_instances (struct service *service)
{
  g_autofree char *text = platform_instances_text (service->instances, now_us ());
  const struct entry *entry = g_tree_lookup (service->entries, INSTANCES_KEY);

  if (text == NULL)
    return;
  if (entry == NULL || entry->len != strlen (text) || memcmp (entry->value, text, entry->len) != 0)
    store_value (service, INSTANCES_KEY, mt_str_from (text), NULL);
}

static void
handle_instances (struct service *service, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);

  platform_instances_set (service->instances, body, now_us ());
  json_decref (body);
  standin_answer_text (request, 200, "true");
}

static void
handle_reboot (struct service *service, struct mt_http_request *request, const char *rest)
{
  g_autofree char *epoch = standin_query (request, "epoch");
  g_autofree char *name = g_strndup (rest, strcspn (rest, "/"));

  service->writes++;
  if (epoch == NULL)
    standin_answer_text (request, 400, "epoch is required");
  else
    standin_answer_text (request, 200,
                         platform_instances_reboot (service->instances, name,
                                                    g_ascii_strtoull (epoch, NULL, 10), now_us ())
                             ? "true"
                             : "false");
}

static void
route (struct service *service, struct mt_http_request *request, const char *path)
{
  if (strcmp (path, "/fault") == 0)
    handle_fault (service, request);
  else if (strcmp (path, "/instances") == 0)
    handle_instances (service, request);
  else if (strcmp (path, "/calls") == 0)
    standin_answer_json (request, 200,
                         json_pack ("{sI sI sI sI}", "read_bytes", (json_int_t) service->read_bytes,
                                    "reads", (json_int_t) service->reads, "writes",
                                    (json_int_t) service->writes, "dropped",
                                    (json_int_t) service->dropped));
  else if (service->down)
    {
      service->dropped++;
      request->answer.status = MT_HTTP_DROP;
    }
  else if (g_str_has_prefix (path, "/v1/kv/"))
    handle_kv (service, request, path + strlen ("/v1/kv/"));
  else if (g_str_has_prefix (path, "/v1/instance/"))
    handle_reboot (service, request, path + strlen ("/v1/instance/"));
  else if (g_str_has_prefix (path, "/v1/session/"))
    handle_session (service, request, path + strlen ("/v1/session/"));
  else
    standin_answer_text (request, 404, "unknown path");
}

static void
handle (void *ctx, struct mt_http_request *request)
{
  struct service *service = ctx;
  g_autofree char *path = standin_path (request);
  unsigned slow_ms;

  g_mutex_lock (&service->lock);
  slow_ms = g_str_has_prefix (path, "/v1/") ? service->slow_ms : 0;
  g_mutex_unlock (&service->lock);
  g_usleep (slow_ms * 1000UL);
  g_mutex_lock (&service->lock);
  expire_sessions (service);
  publish_instances (service);
  route (service, request, path);
  g_mutex_unlock (&service->lock);
}

int
main (int argc, char **argv)
{
  struct service service = { 0 };

  g_mutex_init (&service.lock);
  g_cond_init (&service.changed);
  service.entries = g_tree_new_full (compare_keys, NULL, g_free, free_entry);
  service.instances = platform_instances_create ();
  service.sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return standin_serve (argc > 1 ? argv[1] : "127.0.0.1:0", handle, &service);
}
