#include "fields.h"
#include "tables_internal.h"

#include <string.h>
#include <talloc.h>

/* Limits of the platform for each minion. Higher values, such as from a copied example, would queue
 * requests on the minion where no daemon sees them. */
#define PLATFORM_MAX_SLOTS       8
#define PLATFORM_MAX_CONNECTIONS 64

/* A larger version could not be written exactly as a JSON number. */
#define MAX_VERSION (1LL << 53)

static const char *const repeat_choices[] = { "safe", "never", NULL };

static const struct mt_field route_fields[] = {
  { "route", MT_FIELD_TEXT, offsetof (struct mt_route, name), .required = true },
  { "method", MT_FIELD_TEXT, offsetof (struct mt_route, method), .text = "*",
    .form = &mt_text_format_method },
  { "path", MT_FIELD_TEXT, offsetof (struct mt_route, path), .required = true,
    .form = &mt_text_format_path },
  { "pool", MT_FIELD_TEXT, offsetof (struct mt_route, pool), .required = true },
  { "audience_header", MT_FIELD_TEXT, offsetof (struct mt_route, audience_header),
    .text = "X-Audience", .form = &mt_text_format_header },
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
    .form = &mt_text_format_address },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_instance, zone), .required = true,
    .form = &mt_text_format_name },
  { "rack", MT_FIELD_TEXT, offsetof (struct mt_instance, rack), .required = true },
  { "slots", MT_FIELD_COUNT, offsetof (struct mt_instance, slots), .min = 1,
    .max = PLATFORM_MAX_SLOTS, .fallback = PLATFORM_MAX_SLOTS },
  { "connections", MT_FIELD_COUNT, offsetof (struct mt_instance, connections), .min = 1,
    .max = PLATFORM_MAX_CONNECTIONS, .fallback = PLATFORM_MAX_CONNECTIONS },
  { "leaving", MT_FIELD_FLAG, offsetof (struct mt_instance, leaving) },
  { NULL },
};

static const char *const urgency_choices[] = { "urgent", "normal", "background", NULL };

static const struct mt_field team_fields[] = {
  { "team", MT_FIELD_TEXT, offsetof (struct mt_team_row, team), .required = true,
    .form = &mt_text_format_name },
  { "cpu_milli", MT_FIELD_COUNT, offsetof (struct mt_team_row, cpu_milli), .max = 1e9 },
  { "memory_mb", MT_FIELD_COUNT, offsetof (struct mt_team_row, memory_mb), .max = 1e9 },
  { "accelerators", MT_FIELD_COUNT, offsetof (struct mt_team_row, accelerators), .max = 1e6 },
  { NULL },
};

static const struct mt_field job_fields[] = {
  { "job", MT_FIELD_TEXT, offsetof (struct mt_job_row, job), .required = true,
    .form = &mt_text_format_name },
  { "kind", MT_FIELD_TEXT, offsetof (struct mt_job_row, kind), .form = &mt_text_format_name },
  { "team", MT_FIELD_TEXT, offsetof (struct mt_job_row, team), .required = true,
    .form = &mt_text_format_name },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_job_row, zone), .required = true,
    .form = &mt_text_format_name },
  { "cpu_milli", MT_FIELD_COUNT, offsetof (struct mt_job_row, cpu_milli), .min = 1, .max = 1e6,
    .fallback = 1000 },
  { "memory_mb", MT_FIELD_COUNT, offsetof (struct mt_job_row, memory_mb), .min = 1, .max = 1e8,
    .fallback = 1024 },
  { "accelerators", MT_FIELD_COUNT, offsetof (struct mt_job_row, accelerators), .max = 1000 },
  { "urgency", MT_FIELD_CHOICE, offsetof (struct mt_job_row, urgency), .choices = urgency_choices,
    .fallback = 1 },
  { "may_run_twice", MT_FIELD_FLAG, offsetof (struct mt_job_row, may_run_twice) },
  { "cancelled", MT_FIELD_FLAG, offsetof (struct mt_job_row, cancelled) },
  { NULL },
};

static const struct mt_field wave_fields[] = {
  { "id", MT_FIELD_TEXT, offsetof (struct mt_wave, id), .required = true,
    .form = &mt_text_format_name },
  { "stopped", MT_FIELD_FLAG, offsetof (struct mt_wave, stopped) },
  { "drain_limit_s", MT_FIELD_COUNT, offsetof (struct mt_wave, drain_limit_s), .min = 1,
    .max = 86400, .fallback = 600 },
  { NULL },
};

static const struct mt_field document_fields[] = {
  { "id", MT_FIELD_TEXT, offsetof (struct mt_tables, id) },
  { NULL },
};

/* Returns "table pools, row "x"" if the row has a name, otherwise with the row's number. */
static char *
describe_row (const char *table, const json_t *row, const char *key, size_t index)
{
  const char *name = json_string_value (json_object_get (row, key));

  if (name != NULL)
    return g_strdup_printf ("table %s, row \"%.60s\"", table, name);
  return g_strdup_printf ("table %s, row number %zu", table, index + 1);
}

/* A list of rows nested in a row of the pools table. */
struct nested_table
{
  const char *name;
  const char *key; /* column with the name of a row */
  const struct mt_field *fields;
  size_t row_size;
  size_t rows;  /* offset of the array in struct mt_pool */
  size_t count; /* offset of the array's length in struct mt_pool */
};

static const struct nested_table nested_tables[] = {
  { "instances", "name", instance_fields, sizeof (struct mt_instance),
    offsetof (struct mt_pool, instances), offsetof (struct mt_pool, n_instances) },
  { "teams", "team", team_fields, sizeof (struct mt_team_row), offsetof (struct mt_pool, teams),
    offsetof (struct mt_pool, n_teams) },
  { "jobs", "job", job_fields, sizeof (struct mt_job_row), offsetof (struct mt_pool, jobs),
    offsetof (struct mt_pool, n_jobs) },
};

static bool
read_nested_row (const void *owner,
                 const struct nested_table *table,
                 void *out,
                 const char *pool,
                 const json_t *row,
                 size_t index,
                 GError **error)
{
  g_autofree char *parent = g_strdup_printf ("pools, row \"%.60s\", %s", pool, table->name);
  g_autofree char *where = describe_row (parent, row, table->key, index);
  struct mt_field_location location = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, out, row, table->fields, NULL, location, error);
}

static bool
read_nested_table (const void *owner,
                   struct mt_pool *pool,
                   const struct nested_table *table,
                   const json_t *rows,
                   struct mt_field_location location,
                   GError **error)
{
  size_t n = json_array_size (rows);
  char *array;

  if (rows == NULL)
    return true;
  if (!json_is_array (rows))
    return mt_fields_refuse (error, location, table->name, rows, "write a list of rows");
  array = talloc_zero_size (owner, n * table->row_size);
  *(void **) ((char *) pool + table->rows) = array;
  *(size_t *) ((char *) pool + table->count) = n;
  for (size_t i = 0; i < n; i++)
    if (!read_nested_row (owner, table, array + i * table->row_size, pool->name.data,
                          json_array_get (rows, i), i, error))
      return false;
  return true;
}

static bool
read_nested_tables (const void *owner,
                    struct mt_pool *pool,
                    const json_t *row,
                    struct mt_field_location location,
                    GError **error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (nested_tables); i++)
    if (!read_nested_table (owner, pool, &nested_tables[i],
                            json_object_get (row, nested_tables[i].name), location, error))
      return false;
  return true;
}

static bool
read_wave (const void *owner,
           struct mt_wave *wave,
           const json_t *object,
           struct mt_field_location location,
           GError **error)
{
  g_autofree char *where = g_strdup_printf ("%s, wave", location.where);
  struct mt_field_location wave_location = { location.code, where };

  wave->id = MT_STR ("");
  if (object == NULL)
    return true;
  return mt_fields_read (owner, wave, object, wave_fields, NULL, wave_location, error);
}

static bool
read_pool (const void *owner, struct mt_pool *pool, const json_t *row, size_t index, GError **error)
{
  static const char *const nested[] = { "instances", "teams", "jobs", "wave", NULL };
  g_autofree char *where = describe_row ("pools", row, "pool", index);
  struct mt_field_location location = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, pool, row, pool_fields, nested, location, error)
         && read_nested_tables (owner, pool, row, location, error)
         && read_wave (owner, &pool->wave, json_object_get (row, "wave"), location, error);
}

static bool
read_route (
    const void *owner, struct mt_route *route, const json_t *row, size_t index, GError **error)
{
  g_autofree char *where = describe_row ("routes", row, "route", index);
  struct mt_field_location location = { MT_ERROR_TABLES, where };

  return mt_fields_read (owner, route, row, route_fields, NULL, location, error);
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
              struct mt_field_location location,
              GError **error)
{
  if (version != NULL
      && (!json_is_integer (version) || json_integer_value (version) < 0
          || json_integer_value (version) > MAX_VERSION))
    return mt_fields_refuse (error, location, "version", version, "leave it as `show` printed it");
  tables->version = version != NULL ? (uint64_t) json_integer_value (version) : 0;
  return true;
}

static bool
read_changes (struct mt_tables *tables,
              const json_t *changes,
              struct mt_field_location location,
              GError **error)
{
  char *text;

  tables->changes = MT_STR ("");
  if (changes == NULL)
    return true;
  if (!json_is_array (changes))
    return mt_fields_refuse (error, location, "changes", changes, "remove it, `apply` writes it");
  text = json_dumps (changes, JSON_COMPACT);
  tables->changes = mt_str_from (talloc_strdup (tables, text));
  free (text);
  return true;
}

static bool
read_document (struct mt_tables *tables,
               const json_t *root,
               struct mt_field_location location,
               GError **error)
{
  static const char *const nested[] = { "version", "routes", "pools", "changes", NULL };
  const json_t *routes = json_object_get (root, "routes");
  const json_t *pools = json_object_get (root, "pools");

  if (!mt_fields_read (tables, tables, root, document_fields, nested, location, error))
    return false;
  if (!json_is_array (routes))
    return mt_fields_refuse (error, location, "routes", routes, "write a list of rows");
  if (!json_is_array (pools))
    return mt_fields_refuse (error, location, "pools", pools, "write a list of rows");
  return read_version (tables, json_object_get (root, "version"), location, error)
         && read_changes (tables, json_object_get (root, "changes"), location, error)
         && read_routes (tables, routes, error) && read_pools (tables, pools, error);
}

bool
mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error)
{
  struct mt_field_location location = { MT_ERROR_TABLES, "tables" };
  json_t *root;
  bool ok;

  if (json.len > MT_TABLES_MAX_BYTES)
    {
      g_set_error (
          error, MT_ERROR, MT_ERROR_LIMIT,
          "tables: %zu bytes, limit %d for one value of the platform; shorten names or remove rows",
          json.len, MT_TABLES_MAX_BYTES);
      return false;
    }
  root = mt_fields_load (json, location, error);
  if (root == NULL)
    return false;
  ok = read_document (tables, root, location, error);
  json_decref (root);
  return ok;
}

static json_t *
nested_table_to_json (const struct mt_pool *pool, const struct nested_table *table)
{
  const char *array = *(void *const *) ((const char *) pool + table->rows);
  size_t n = *(const size_t *) ((const char *) pool + table->count);
  json_t *rows = json_array ();

  for (size_t i = 0; i < n; i++)
    json_array_append_new (rows, mt_fields_write (array + i * table->row_size, table->fields));
  return rows;
}

static json_t *
pool_to_json (const struct mt_pool *pool)
{
  json_t *out = mt_fields_write (pool, pool_fields);

  json_object_set_new (out, "instances", nested_table_to_json (pool, &nested_tables[0]));
  for (size_t i = 1; i < G_N_ELEMENTS (nested_tables); i++)
    {
      json_t *rows = nested_table_to_json (pool, &nested_tables[i]);

      if (json_array_size (rows) > 0)
        json_object_set (out, nested_tables[i].name, rows);
      json_decref (rows);
    }
  if (pool->wave.id.len > 0)
    json_object_set_new (out, "wave", mt_fields_write (&pool->wave, wave_fields));
  return out;
}

json_t *
mt_tables_to_json (const struct mt_tables *tables, uint64_t version, const char *id)
{
  json_t *root = json_pack ("{sI}", "version", (json_int_t) version);
  json_t *routes = json_array ();
  json_t *pools = json_array ();

  /* Tables that were never accepted have no id, and reading an empty one back would fail. */
  if (id != NULL && id[0] != '\0')
    json_object_set_new (root, "id", json_string (id));
  for (size_t i = 0; i < tables->n_routes; i++)
    json_array_append_new (routes, mt_fields_write (&tables->routes[i], route_fields));
  for (size_t i = 0; i < tables->n_pools; i++)
    json_array_append_new (pools, pool_to_json (&tables->pools[i]));
  json_object_set_new (root, "routes", routes);
  json_object_set_new (root, "pools", pools);
  return root;
}

char *
mt_tables_serialize (json_t *root, size_t flags)
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
  json_t *root = mt_tables_to_json (tables, version, id);

  if (tables->changes.len > 0)
    json_object_set_new (root, "changes",
                         json_loadb (tables->changes.data, tables->changes.len, 0, NULL));
  return mt_tables_serialize (root, JSON_COMPACT);
}

/* 15 digits print a weight as it was typed ("0.1"). A weight that needs 17 digits gets them: a
 * rounded one would show up as a change that nobody made once the text is edited and applied. */
char *
mt_tables_format_pretty (const struct mt_tables *tables)
{
  json_t *root = mt_tables_to_json (tables, tables->version, tables->id.data);
  char *text = mt_tables_serialize (json_incref (root), JSON_INDENT (2) | JSON_REAL_PRECISION (15));
  json_t *back = json_loads (text, 0, NULL);

  if (!json_equal (root, back))
    {
      g_free (text);
      text = mt_tables_serialize (json_incref (root), JSON_INDENT (2));
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
  } all[]
      = { { "routes", route_fields }, { "pools", pool_fields }, { "instances", instance_fields },
          { "teams", team_fields },   { "jobs", job_fields },   { "wave", wave_fields } };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    if (strcmp (all[i].table, table) == 0)
      return all[i].columns;
  return NULL;
}
