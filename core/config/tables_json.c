#include "fields.h"
#include "tables_internal.h"

#include <talloc.h>

static const char *const repeat_choices[] = { "safe", "never", NULL };

static const struct mt_field route_fields[] = {
  { "route", MT_FIELD_TEXT, offsetof (struct mt_route, name), .required = true },
  { "method", MT_FIELD_TEXT, offsetof (struct mt_route, method), .text = "*" },
  { "path", MT_FIELD_TEXT, offsetof (struct mt_route, path), .required = true },
  { "pool", MT_FIELD_TEXT, offsetof (struct mt_route, pool), .required = true },
  { "audience_header", MT_FIELD_TEXT, offsetof (struct mt_route, audience_header),
    .text = "X-Audience" },
  { "repeat", MT_FIELD_CHOICE, offsetof (struct mt_route, repeat), .required = true,
    .choices = repeat_choices },
  { "deadline_ms", MT_FIELD_COUNT, offsetof (struct mt_route, deadline_ms), .min = 1, .max = 600000,
    .fallback = 5000 },
  { "queue", MT_FIELD_COUNT, offsetof (struct mt_route, queue), .min = 0, .max = 100000,
    .fallback = 256 },
  { NULL },
};

static const struct mt_field pool_fields[] = {
  { "pool", MT_FIELD_TEXT, offsetof (struct mt_pool, name), .required = true },
  { "service", MT_FIELD_TEXT, offsetof (struct mt_pool, service), .required = true },
  { "spare", MT_FIELD_FLAG, offsetof (struct mt_pool, spare) },
  { "min_instances", MT_FIELD_COUNT, offsetof (struct mt_pool, min_instances), .max = 10000,
    .fallback = 1 },
  { "max_instances", MT_FIELD_COUNT, offsetof (struct mt_pool, max_instances), .max = 10000 },
  { "max_unavailable", MT_FIELD_COUNT, offsetof (struct mt_pool, max_unavailable), .min = 1,
    .max = 10000, .fallback = 1 },
  { "move_weight", MT_FIELD_WEIGHT, offsetof (struct mt_pool, move_weight), .max = 1e6,
    .fallback = 1 },
  { "buffer_weight", MT_FIELD_WEIGHT, offsetof (struct mt_pool, buffer_weight), .max = 1e6,
    .fallback = 1 },
  { NULL },
};

static const struct mt_field instance_fields[] = {
  { "name", MT_FIELD_TEXT, offsetof (struct mt_instance, name), .required = true },
  { "address", MT_FIELD_TEXT, offsetof (struct mt_instance, address), .required = true },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_instance, zone), .required = true },
  { "rack", MT_FIELD_TEXT, offsetof (struct mt_instance, rack), .required = true },
  { "slots", MT_FIELD_COUNT, offsetof (struct mt_instance, slots), .min = 1, .max = 1024,
    .fallback = 8 },
  { "connections", MT_FIELD_COUNT, offsetof (struct mt_instance, connections), .min = 1,
    .max = 65535, .fallback = 64 },
  { "leaving", MT_FIELD_FLAG, offsetof (struct mt_instance, leaving) },
  { NULL },
};

static const struct mt_field wave_fields[] = {
  { "id", MT_FIELD_TEXT, offsetof (struct mt_wave, id), .required = true },
  { "stopped", MT_FIELD_FLAG, offsetof (struct mt_wave, stopped) },
  { "drain_limit_s", MT_FIELD_COUNT, offsetof (struct mt_wave, drain_limit_s), .min = 1,
    .max = 86400, .fallback = 600 },
  { NULL },
};

static const struct mt_field document_fields[] = {
  { "id", MT_FIELD_TEXT, offsetof (struct mt_tables, id) },
  { NULL },
};

/* "table pools, row "x"": by the row's own name where it has one, by its number otherwise. */
static char *
describe_row (const char *table, const json_t *row, const char *key, size_t index)
{
  const char *name = json_string_value (json_object_get (row, key));

  if (name != NULL)
    return g_strdup_printf ("table %s, row \"%.60s\"", table, name);
  return g_strdup_printf ("table %s, row number %zu", table, index + 1);
}

static bool
read_instance (const void *owner,
               struct mt_instance *instance,
               const char *pool,
               const json_t *row,
               size_t index,
               GError **error)
{
  g_autofree char *table = g_strdup_printf ("pools, row \"%.60s\", instances", pool);
  g_autofree char *where = describe_row (table, row, "name", index);
  struct mt_field_place place = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, instance, row, instance_fields, NULL, place, error);
}

static bool
read_instances (const void *owner,
                struct mt_pool *pool,
                const json_t *rows,
                struct mt_field_place place,
                GError **error)
{
  if (rows == NULL)
    return true;
  if (!json_is_array (rows))
    return mt_fields_refuse (error, place, "instances", rows, "write a list of instances");
  pool->n_instances = json_array_size (rows);
  pool->instances = talloc_zero_array (owner, struct mt_instance, pool->n_instances);
  for (size_t i = 0; i < pool->n_instances; i++)
    if (!read_instance (owner, &pool->instances[i], pool->name.data, json_array_get (rows, i), i,
                        error))
      return false;
  return true;
}

static bool
read_wave (const void *owner,
           struct mt_wave *wave,
           const json_t *object,
           struct mt_field_place place,
           GError **error)
{
  g_autofree char *where = g_strdup_printf ("%s, wave", place.where);
  struct mt_field_place inner = { place.code, where };

  wave->id = MT_STR ("");
  if (object == NULL)
    return true;
  return mt_fields_read (owner, wave, object, wave_fields, NULL, inner, error);
}

static bool
read_pool (const void *owner, struct mt_pool *pool, const json_t *row, size_t index, GError **error)
{
  static const char *const nested[] = { "instances", "wave", NULL };
  g_autofree char *where = describe_row ("pools", row, "pool", index);
  struct mt_field_place place = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, pool, row, pool_fields, nested, place, error)
         && read_instances (owner, pool, json_object_get (row, "instances"), place, error)
         && read_wave (owner, &pool->wave, json_object_get (row, "wave"), place, error);
}

static bool
read_route (
    const void *owner, struct mt_route *route, const json_t *row, size_t index, GError **error)
{
  g_autofree char *where = describe_row ("routes", row, "route", index);
  struct mt_field_place place = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, route, row, route_fields, NULL, place, error);
}

static bool
read_routes (struct mt_tables *tables, const json_t *rows, GError **error)
{
  tables->n_routes = json_array_size (rows);
  tables->routes = talloc_zero_array (tables, struct mt_route, tables->n_routes);
  for (size_t i = 0; i < tables->n_routes; i++)
    if (!read_route (tables, &tables->routes[i], json_array_get (rows, i), i, error))
      return false;
  return true;
}

static bool
read_pools (struct mt_tables *tables, const json_t *rows, GError **error)
{
  tables->n_pools = json_array_size (rows);
  tables->pools = talloc_zero_array (tables, struct mt_pool, tables->n_pools);
  for (size_t i = 0; i < tables->n_pools; i++)
    if (!read_pool (tables, &tables->pools[i], json_array_get (rows, i), i, error))
      return false;
  return true;
}

static bool
read_version (struct mt_tables *tables,
              const json_t *version,
              struct mt_field_place place,
              GError **error)
{
  if (version != NULL && (!json_is_integer (version) || json_integer_value (version) < 0))
    return mt_fields_refuse (error, place, "version", version, "leave it as `show` printed it");
  tables->version = version != NULL ? (uint64_t) json_integer_value (version) : 0;
  return true;
}

static bool
read_document (struct mt_tables *tables,
               const json_t *root,
               struct mt_field_place place,
               GError **error)
{
  static const char *const nested[] = { "version", "routes", "pools", NULL };
  const json_t *routes = json_object_get (root, "routes");
  const json_t *pools = json_object_get (root, "pools");

  if (!mt_fields_read (tables, tables, root, document_fields, nested, place, error))
    return false;
  if (!json_is_array (routes))
    return mt_fields_refuse (error, place, "routes", routes, "write a list of rows");
  if (!json_is_array (pools))
    return mt_fields_refuse (error, place, "pools", pools, "write a list of rows");
  return read_version (tables, json_object_get (root, "version"), place, error)
         && read_routes (tables, routes, error) && read_pools (tables, pools, error);
}

bool
mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error)
{
  struct mt_field_place place = { MT_ERROR_TABLES, "tables" };
  json_t *root;
  bool ok;

  if (json.len > MT_TABLES_MAX_BYTES)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "tables: %zu bytes, the platform takes %d; shorten names or remove rows",
                   json.len, MT_TABLES_MAX_BYTES);
      return false;
    }
  root = mt_fields_load (json, place, error);
  if (root == NULL)
    return false;
  ok = read_document (tables, root, place, error);
  json_decref (root);
  return ok;
}

static json_t *
write_pool (const struct mt_pool *pool)
{
  json_t *out = mt_fields_write (pool, pool_fields);
  json_t *instances = json_array ();

  for (size_t i = 0; i < pool->n_instances; i++)
    json_array_append_new (instances, mt_fields_write (&pool->instances[i], instance_fields));
  json_object_set_new (out, "instances", instances);
  if (pool->wave.id.len > 0)
    json_object_set_new (out, "wave", mt_fields_write (&pool->wave, wave_fields));
  return out;
}

char *
mt_tables_format (const struct mt_tables *tables, uint64_t version, const char *id)
{
  json_t *routes = json_array ();
  json_t *pools = json_array ();
  json_t *root;
  char *text;
  char *copy;

  for (size_t i = 0; i < tables->n_routes; i++)
    json_array_append_new (routes, mt_fields_write (&tables->routes[i], route_fields));
  for (size_t i = 0; i < tables->n_pools; i++)
    json_array_append_new (pools, write_pool (&tables->pools[i]));
  root = json_pack ("{sI ss so so}", "version", (json_int_t) version, "id", id, "routes", routes,
                    "pools", pools);
  text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (6));
  json_decref (root);
  copy = g_strdup (text);
  free (text);
  return copy;
}
