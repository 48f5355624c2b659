#include "medlartrack/error.h"
#include "nearest.h"
#include "tables_internal.h"

#include <string.h>

#define LONGEST_VERSION (1ULL << 53)
#define LONGEST_ID      "01234567-89ab-cdef-0123-456789abcdef"

struct rule
{
  const char *name;
  const char *description;
  bool (*check) (const struct mt_tables *tables, GError **error);
};

bool
mt_tables_refuse (GError **error, const struct mt_refusal *refusal)
{
  g_set_error (error, MT_ERROR, MT_ERROR_TABLES,
               "table %s, row \"%.*s\", column %s: found \"%s\"%s%s; %s", refusal->table,
               MT_STR_ARG (refusal->row), refusal->column, refusal->value,
               refusal->limit != NULL ? ", limit " : "",
               refusal->limit != NULL ? refusal->limit : "", refusal->remedy);
  return false;
}

static bool
refuse_text (GError **error,
             const char *table,
             struct mt_str row,
             const char *column,
             struct mt_str found,
             const char *remedy)
{
  struct mt_refusal refusal = { table, row, column, found.data, NULL, remedy };

  return mt_tables_refuse (error, &refusal);
}

static bool
check_pool_names (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    if (!g_hash_table_add (seen, (gpointer) tables->pools[i].name.data))
      return refuse_text (error, "pools", tables->pools[i].name, "pool", tables->pools[i].name,
                          "the name is used twice; rename one row");
  return true;
}

/* Returns the pool that already owns the key, or makes pool its owner and returns NULL. */
static const struct mt_pool *
find_or_set_owner (GHashTable *owners, struct mt_str key, const struct mt_pool *pool)
{
  const struct mt_pool *owner = g_hash_table_lookup (owners, key.data);

  if (owner == NULL)
    g_hash_table_insert (owners, (gpointer) key.data, (gpointer) pool);
  return owner;
}

static bool
check_instance (const struct mt_pool *pool,
                const struct mt_instance *instance,
                GHashTable *names,
                GHashTable *addresses,
                GError **error)
{
  const struct mt_pool *owner = find_or_set_owner (names, instance->name, pool);
  g_autofree char *remedy = NULL;

  if (owner != NULL)
    {
      remedy = g_strdup_printf (
          "row \"%s\" lists it too, but an instance belongs to exactly one pool; remove one",
          owner->name.data);
      return refuse_text (error, "pools", pool->name, "instances.name", instance->name, remedy);
    }
  owner = find_or_set_owner (addresses, instance->address, pool);
  if (owner == NULL)
    return true;
  remedy = g_strdup_printf ("an instance of row \"%s\" has the same address; correct one of them",
                            owner->name.data);
  return refuse_text (error, "pools", pool->name, "instances.address", instance->address, remedy);
}

static bool
check_instance_names (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) addresses = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_instances; k++)
      if (!check_instance (&tables->pools[i], &tables->pools[i].instances[k], names, addresses,
                           error))
        return false;
  return true;
}

static bool
refuse_unknown_pool (const struct mt_tables *tables, const struct mt_route *route, GError **error)
{
  struct mt_suggestion nearest;
  g_autofree char *remedy = NULL;

  mt_suggestion_init (&nearest, route->pool);
  for (size_t i = 0; i < tables->n_pools; i++)
    mt_suggestion_try (&nearest, tables->pools[i].name);
  if (nearest.best.data != NULL)
    remedy = g_strdup_printf ("the pools table has no such row; did you mean \"%s\"?",
                              nearest.best.data);
  return refuse_text (error, "routes", route->name, "pool", route->pool,
                      remedy != NULL ? remedy
                                     : "the pools table has no such row; add it or name another");
}

static bool
has_staying_instance (const struct mt_pool *pool)
{
  for (size_t i = 0; i < pool->n_instances; i++)
    if (!pool->instances[i].leaving)
      return true;
  return false;
}

static bool
check_route_pools (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) pools = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    g_hash_table_insert (pools, (gpointer) tables->pools[i].name.data, &tables->pools[i]);
  for (size_t i = 0; i < tables->n_routes; i++)
    {
      const struct mt_route *route = &tables->routes[i];
      const struct mt_pool *pool = g_hash_table_lookup (pools, route->pool.data);

      if (pool == NULL)
        return refuse_unknown_pool (tables, route, error);
      if (!has_staying_instance (pool))
        return refuse_text (
            error, "routes", route->name, "pool", route->pool,
            "that pool has no instance that is not leaving; add one or point the route "
            "elsewhere");
    }
  return true;
}

/* "/quotes" and "/quotes/" count as equal: the second would shadow all paths below the first. */
static char *
route_key (const struct mt_route *route)
{
  size_t len = route->path.len;

  while (len > 1 && route->path.data[len - 1] == '/')
    len--;
  return g_strdup_printf ("%s %.*s", route->method.data, (int) len, route->path.data);
}

static bool
check_route_names (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < tables->n_routes; i++)
    {
      const struct mt_route *route = &tables->routes[i];
      char *key = route_key (route);
      const struct mt_route *existing = g_hash_table_lookup (keys, key);
      g_autofree char *remedy = NULL;

      g_hash_table_insert (keys, key, (gpointer) route);
      if (!g_hash_table_add (names, (gpointer) route->name.data))
        return refuse_text (error, "routes", route->name, "route", route->name,
                            "the name is used twice; rename one row");
      if (existing == NULL)
        continue;
      remedy = g_strdup_printf ("row \"%s\" has the same method and path, so one would shadow "
                                "the other; remove one",
                                existing->name.data);
      return refuse_text (error, "routes", route->name, "path", route->path, remedy);
    }
  return true;
}

/* Checks the size with all defaults written out, as on acceptance: a small file can become a large
 * value. */
static bool
check_size (const struct mt_tables *tables, GError **error)
{
  json_t *root = mt_tables_to_json (tables, LONGEST_VERSION, LONGEST_ID);
  size_t len = json_dumpb (root, NULL, 0, JSON_COMPACT);

  json_decref (root);
  if (len <= MT_TABLES_MAX_BYTES)
    return true;
  g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
               "tables: %zu bytes with their defaults, limit %d for one value of the platform; "
               "shorten names or remove rows",
               len, MT_TABLES_MAX_BYTES);
  return false;
}

static const struct rule rules[] = {
  { "pool-names", "no two pools share a name", check_pool_names },
  { "instance-names", "no two instances share a name or an address", check_instance_names },
  { "route-names", "no two routes share a name, or a method and path", check_route_names },
  { "route-pools", "a route names a pool that has instances", check_route_pools },
  { "spare", "at most one pool is the spare", mt_tables_check_spare },
  { "ranges", "min_instances and instances don't exceed max_instances", mt_tables_check_ranges },
  { "leaving", "instances leaving at once fit into the budget", mt_tables_check_leaving },
  { "drains", "a wave can drain at least one instance", mt_tables_check_drains },
  { "fleet", "the pools' min_instances fit into the data centre", mt_tables_check_fleet },
  { "teams", "a team has one quota", mt_tables_check_teams },
  { "jobs", "no two jobs share a name, each names a team", mt_tables_check_jobs },
  { "size", "the document fits into one value of the platform", check_size },
};

bool
mt_tables_check (const struct mt_tables *tables, GError **error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rules); i++)
    if (!rules[i].check (tables, error))
      return false;
  return true;
}
