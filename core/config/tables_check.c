#include "medlartrack/error.h"
#include "tables_internal.h"

#include <string.h>

static bool
refuse (GError **error,
        const char *table,
        struct mt_str row,
        const char *column,
        struct mt_str found,
        const char *remedy)
{
  g_set_error (error, MT_ERROR, MT_ERROR_TABLES,
               "table %s, row \"%.*s\", column %s: found \"%.*s\"; %s", table, MT_STR_ARG (row),
               column, MT_STR_ARG (found), remedy);
  return false;
}

/* Remembers a name; false where it was seen before. */
static bool
claim_name (GHashTable *seen, struct mt_str name)
{
  return g_hash_table_add (seen, (gpointer) name.data);
}

static bool
check_routes (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_routes; i++)
    {
      const struct mt_route *route = &tables->routes[i];
      const struct mt_pool *pool = mt_tables_pool (tables, route->pool);

      if (!claim_name (seen, route->name))
        return refuse (error, "routes", route->name, "route", route->name,
                       "the name stands twice; rename one row");
      if (route->path.data[0] != '/')
        return refuse (error, "routes", route->name, "path", route->path, "start it with \"/\"");
      if (pool == NULL)
        return refuse (error, "routes", route->name, "pool", route->pool,
                       "the pools table has no such row; mend the name or add the pool");
      if (pool->n_instances == 0)
        return refuse (error, "routes", route->name, "pool", route->pool,
                       "that pool has no instances; give it some or point the route elsewhere");
    }
  return true;
}

static bool
check_instances (const struct mt_pool *pool,
                 GHashTable *names,
                 GHashTable *addresses,
                 GError **error)
{
  for (size_t i = 0; i < pool->n_instances; i++)
    {
      const struct mt_instance *instance = &pool->instances[i];

      if (!claim_name (names, instance->name))
        return refuse (error, "pools", pool->name, "instances.name", instance->name,
                       "an instance belongs to exactly one pool; remove it from the other row");
      if (!claim_name (addresses, instance->address))
        return refuse (error, "pools", pool->name, "instances.address", instance->address,
                       "two instances share it; mend one of them");
      if (strrchr (instance->address.data, ':') == NULL)
        return refuse (error, "pools", pool->name, "instances.address", instance->address,
                       "write IP:PORT");
    }
  return true;
}

static bool
check_pools (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) addresses = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];

      if (!claim_name (seen, pool->name))
        return refuse (error, "pools", pool->name, "pool", pool->name,
                       "the name stands twice; rename one row");
      if (!check_instances (pool, names, addresses, error))
        return false;
    }
  return true;
}

bool
mt_tables_check (const struct mt_tables *tables, GError **error)
{
  return check_pools (tables, error) && check_routes (tables, error);
}
