#include "tables_internal.h"

#include <talloc.h>

struct mt_tables *
mt_tables_parse (struct mt_str json, GError **error)
{
  struct mt_tables *tables = talloc_zero (NULL, struct mt_tables);

  if (mt_tables_read (tables, json, error) && mt_tables_check (tables, error))
    return tables;
  talloc_free (tables);
  return NULL;
}

void
mt_tables_destroy (struct mt_tables *tables)
{
  talloc_free (tables);
}

const struct mt_pool *
mt_tables_find_pool (const struct mt_tables *tables, struct mt_str name)
{
  for (size_t i = 0; i < tables->n_pools; i++)
    if (mt_str_equal (tables->pools[i].name, name))
      return &tables->pools[i];
  return NULL;
}

static bool
path_matches (struct mt_str prefix, struct mt_str path)
{
  if (!mt_str_has_prefix (path, prefix))
    return false;
  /* "/quotes" must not match "/quotes-old". */
  return path.len == prefix.len || prefix.data[prefix.len - 1] == '/'
         || path.data[prefix.len] == '/' || path.data[prefix.len] == '?';
}

static bool
method_matches (struct mt_str wanted, struct mt_str method)
{
  return mt_str_equal (wanted, MT_STR ("*")) || mt_str_equal (wanted, method);
}

const struct mt_route *
mt_tables_match_route (const struct mt_tables *tables, struct mt_str method, struct mt_str path)
{
  const struct mt_route *best = NULL;

  for (size_t i = 0; i < tables->n_routes; i++)
    {
      const struct mt_route *route = &tables->routes[i];

      if (!method_matches (route->method, method) || !path_matches (route->path, path))
        continue;
      if (best == NULL || route->path.len > best->path.len
          || (route->path.len == best->path.len && best->method.data[0] == '*'))
        best = route;
    }
  return best;
}
