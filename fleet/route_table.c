#include "route_table.h"

#include <string.h>

/* Routes with prefixes of one length. */
struct length
{
  size_t bytes;
  unsigned routes;
};

struct mt_route_table
{
  GHashTable *routes; /* key of host and prefix -> struct mt_fleet_route */
  GArray *lengths;    /* of struct length, longest first */
};

void
mt_fleet_route_clear (struct mt_fleet_route *route)
{
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->pool);
  *route = (struct mt_fleet_route){ 0 };
}

struct mt_route_policy
mt_fleet_route_policy (const struct mt_fleet_route *route, int64_t version)
{
  struct mt_route_policy policy = route->terms;

  policy.version = version;
  policy.needs_tickets = route->requires_advice;
  return policy;
}

bool
mt_fleet_route_equal (const struct mt_fleet_route *a, const struct mt_fleet_route *b)
{
  return g_strcmp0 (a->name, b->name) == 0 && g_strcmp0 (a->host, b->host) == 0
         && g_strcmp0 (a->prefix, b->prefix) == 0 && g_strcmp0 (a->pool, b->pool) == 0
         && a->terms.priority == b->terms.priority && a->terms.max_attempts == b->terms.max_attempts
         && a->terms.stretch == b->terms.stretch && a->terms.objective_ms == b->terms.objective_ms
         && a->requires_advice == b->requires_advice && a->allow_anonymous == b->allow_anonymous;
}

/* Sets the key of a host, whose case does not matter, and a prefix. */
static void
set_key (GString *key, const char *host, size_t host_len, const char *prefix, size_t prefix_len)
{
  g_string_truncate (key, 0);
  for (size_t i = 0; i < host_len; i++)
    g_string_append_c (key, g_ascii_tolower (host[i]));
  g_string_append_c (key, '\n'); /* in no host */
  g_string_append_len (key, prefix, (gssize) prefix_len);
}

static void
set_whole_key (GString *key, const char *host, const char *prefix)
{
  set_key (key, host, host != NULL ? strlen (host) : 0, prefix, strlen (prefix));
}

static void
count_length (struct mt_route_table *table, size_t bytes, int change)
{
  guint i = 0;
  struct length added = { bytes, 1 };

  while (i < table->lengths->len && g_array_index (table->lengths, struct length, i).bytes > bytes)
    i++;
  if (i < table->lengths->len && g_array_index (table->lengths, struct length, i).bytes == bytes)
    {
      struct length *found = &g_array_index (table->lengths, struct length, i);

      found->routes += (unsigned) change;
      if (found->routes == 0)
        g_array_remove_index (table->lengths, i);
    }
  else
    g_array_insert_val (table->lengths, i, added);
}

static void
free_route (void *data)
{
  mt_fleet_route_clear (data);
  g_free (data);
}

struct mt_route_table *
mt_route_table_create (void)
{
  struct mt_route_table *table = g_new0 (struct mt_route_table, 1);

  table->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_route);
  table->lengths = g_array_new (FALSE, FALSE, sizeof (struct length));
  return table;
}

void
mt_route_table_destroy (struct mt_route_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->routes);
  g_array_unref (table->lengths);
  g_free (table);
}

size_t
mt_route_table_size (const struct mt_route_table *table)
{
  return g_hash_table_size (table->routes);
}

void
mt_route_table_set (struct mt_route_table *table, struct mt_fleet_route *route)
{
  GString *key = g_string_new (NULL);
  struct mt_fleet_route *copy = g_new (struct mt_fleet_route, 1);
  size_t bytes = strlen (route->prefix);

  set_whole_key (key, route->host, route->prefix);
  *copy = *route;
  *route = (struct mt_fleet_route){ 0 };
  if (g_hash_table_replace (table->routes, g_string_free (key, FALSE), copy))
    count_length (table, bytes, 1);
}

bool
mt_route_table_remove (struct mt_route_table *table, const char *host, const char *prefix)
{
  g_autoptr (GString) key = g_string_new (NULL);

  set_whole_key (key, host, prefix);
  if (!g_hash_table_remove (table->routes, key->str))
    return false;
  count_length (table, strlen (prefix), -1);
  return true;
}

const struct mt_fleet_route *
mt_route_table_get (const struct mt_route_table *table, const char *host, const char *prefix)
{
  g_autoptr (GString) key = g_string_new (NULL);

  set_whole_key (key, host, prefix);
  return g_hash_table_lookup (table->routes, key->str);
}

const struct mt_fleet_route *
mt_route_table_find (const struct mt_route_table *table, const char *host, const char *path)
{
  g_autoptr (GString) key = g_string_new (NULL);
  size_t host_len = host != NULL ? strcspn (host, ":") : 0;
  size_t path_len = strlen (path);

  for (guint i = 0; i < table->lengths->len; i++)
    {
      size_t bytes = g_array_index (table->lengths, struct length, i).bytes;
      const struct mt_fleet_route *route = NULL;

      if (bytes > path_len)
        continue;
      if (host_len > 0)
        {
          set_key (key, host, host_len, path, bytes);
          route = g_hash_table_lookup (table->routes, key->str);
        }
      if (route == NULL)
        {
          set_key (key, "", 0, path, bytes);
          route = g_hash_table_lookup (table->routes, key->str);
        }
      if (route != NULL)
        return route;
    }
  return NULL;
}

void
mt_route_table_for_each (const struct mt_route_table *table, mt_route_call call, void *ctx)
{
  GHashTableIter it;
  void *route;

  g_hash_table_iter_init (&it, table->routes);
  while (g_hash_table_iter_next (&it, NULL, &route))
    call (ctx, route);
}
