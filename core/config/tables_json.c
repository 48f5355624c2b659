#include "fields.h"
#include "tables_internal.h"

#include <string.h>
#include <talloc.h>

/* What the platform gives each minion; more, as in an example copied from elsewhere, would queue on
 * the minion unseen. */
#define PLATFORM_SLOTS       8
#define PLATFORM_CONNECTIONS 64

/* Beyond it the next version could not be written as a JSON number exactly. */
#define MAX_VERSION (1LL << 53)

static const char *const repeat_choices[] = { "safe", "never", NULL };

static const struct mt_field route_fields[] = {
  { "route", MT_FIELD_TEXT, offsetof (struct mt_route, name), .required = true },
  { "method", MT_FIELD_TEXT, offsetof (struct mt_route, method), .text = "*",
    .form = &mt_form_method },
  { "path", MT_FIELD_TEXT, offsetof (struct mt_route, path), .required = true,
    .form = &mt_form_path },
  { "pool", MT_FIELD_TEXT, offsetof (struct mt_route, pool), .required = true },
  { "audience_header", MT_FIELD_TEXT, offsetof (struct mt_route, audience_header),
    .text = "X-Audience", .form = &mt_form_header },
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
  { "address", MT_FIELD_TEXT, offsetof (struct mt_instance, address), .required = true,
    .form = &mt_form_address },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_instance, zone), .required = true,
    .form = &mt_form_name },
  { "rack", MT_FIELD_TEXT, offsetof (struct mt_instance, rack), .required = true },
  { "slots", MT_FIELD_COUNT, offsetof (struct mt_instance, slots), .min = 1, .max = PLATFORM_SLOTS,
    .fallback = PLATFORM_SLOTS },
  { "connections", MT_FIELD_COUNT, offsetof (struct mt_instance, connections), .min = 1,
    .max = PLATFORM_CONNECTIONS, .fallback = PLATFORM_CONNECTIONS },
  { "leaving", MT_FIELD_FLAG, offsetof (struct mt_instance, leaving) },
  { NULL },
};

static const struct mt_field wave_fields[] = {
  { "id", MT_FIELD_TEXT, offsetof (struct mt_wave, id), .required = true, .form = &mt_form_name },
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
  if (version != NULL
      && (!json_is_integer (version) || json_integer_value (version) < 0
          || json_integer_value (version) > MAX_VERSION))
    return mt_fields_refuse (error, place, "version", version, "leave it as `show` printed it");
  tables->version = version != NULL ? (uint64_t) json_integer_value (version) : 0;
  return true;
}

static bool
read_changes (struct mt_tables *tables,
              const json_t *changes,
              struct mt_field_place place,
              GError **error)
{
  char *text;

  tables->changes = MT_STR ("");
  if (changes == NULL)
    return true;
  if (!json_is_array (changes))
    return mt_fields_refuse (error, place, "changes", changes, "remove it, `apply` writes it");
  text = json_dumps (changes, JSON_COMPACT);
  tables->changes = mt_str_from (talloc_strdup (tables, text));
  free (text);
  return true;
}

static bool
read_document (struct mt_tables *tables,
               const json_t *root,
               struct mt_field_place place,
               GError **error)
{
  static const char *const nested[] = { "version", "routes", "pools", "changes", NULL };
  const json_t *routes = json_object_get (root, "routes");
  const json_t *pools = json_object_get (root, "pools");

  if (!mt_fields_read (tables, tables, root, document_fields, nested, place, error))
    return false;
  if (!json_is_array (routes))
    return mt_fields_refuse (error, place, "routes", routes, "write a list of rows");
  if (!json_is_array (pools))
    return mt_fields_refuse (error, place, "pools", pools, "write a list of rows");
  return read_version (tables, json_object_get (root, "version"), place, error)
         && read_changes (tables, json_object_get (root, "changes"), place, error)
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

json_t *
mt_tables_write (const struct mt_tables *tables, uint64_t version, const char *id)
{
  json_t *root = json_pack ("{sI}", "version", (json_int_t) version);
  json_t *routes = json_array ();
  json_t *pools = json_array ();

  /* Tables that were never accepted have no id; an empty one would be refused on reading. */
  if (id != NULL && id[0] != '\0')
    json_object_set_new (root, "id", json_string (id));
  for (size_t i = 0; i < tables->n_routes; i++)
    json_array_append_new (routes, mt_fields_write (&tables->routes[i], route_fields));
  for (size_t i = 0; i < tables->n_pools; i++)
    json_array_append_new (pools, write_pool (&tables->pools[i]));
  json_object_set_new (root, "routes", routes);
  json_object_set_new (root, "pools", pools);
  return root;
}

static char *
take_text (json_t *root, size_t flags)
{
  char *text = json_dumps (root, flags);
  char *copy = g_strdup (text);

  free (text);
  json_decref (root);
  return copy;
}

char *
mt_tables_format (const struct mt_tables *tables, uint64_t version, const char *id)
{
  json_t *root = mt_tables_write (tables, version, id);

  if (tables->changes.len > 0)
    json_object_set_new (root, "changes",
                         json_loadb (tables->changes.data, tables->changes.len, 0, NULL));
  return take_text (root, JSON_COMPACT);
}

/* 15 digits give back what a person typed ("0.1"); a weight that needs 17 gets them, since an edit
 * of a rounded one would show up as a change that nobody made. */
char *
mt_tables_print (const struct mt_tables *tables)
{
  json_t *root = mt_tables_write (tables, tables->version, tables->id.data);
  char *text = take_text (json_incref (root), JSON_INDENT (2) | JSON_REAL_PRECISION (15));
  json_t *back = json_loads (text, 0, NULL);

  if (!json_equal (root, back))
    {
      g_free (text);
      text = take_text (json_incref (root), JSON_INDENT (2));
    }
  json_decref (back);
  json_decref (root);
  return text;
}

const struct mt_field *
mt_tables_columns (const char *table)
{
  static const struct
  {
    const char *table;
    const struct mt_field *columns;
  } all[] = { { "routes", route_fields },
              { "pools", pool_fields },
              { "instances", instance_fields },
              { "wave", wave_fields } };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    if (strcmp (all[i].table, table) == 0)
      return all[i].columns;
  return NULL;
}
