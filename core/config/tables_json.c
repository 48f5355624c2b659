#include "medlartrack/error.h"
#include "tables_internal.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Where a value stands, for messages. */
struct place
{
  const char *table;
  const char *row;
};

/* One column of a row: how its JSON member is read into the struct. */
enum column_kind
{
  COLUMN_TEXT,
  COLUMN_COUNT,
  COLUMN_WEIGHT,
  COLUMN_FLAG,
  COLUMN_REPEAT,
};

struct column
{
  const char *name;
  enum column_kind kind;
  size_t offset;
  bool required;
  double min, max;  /* for counts and weights */
  double fallback;  /* for counts, weights and flags */
  const char *text; /* fallback for texts */
};

#define MAX_NAME_BYTES 200

static const struct column route_columns[] = {
  { "route", COLUMN_TEXT, offsetof (struct mt_route, name), .required = true },
  { "method", COLUMN_TEXT, offsetof (struct mt_route, method), .text = "*" },
  { "path", COLUMN_TEXT, offsetof (struct mt_route, path), .required = true },
  { "pool", COLUMN_TEXT, offsetof (struct mt_route, pool), .required = true },
  { "audience_header", COLUMN_TEXT, offsetof (struct mt_route, audience_header),
    .text = "X-Audience" },
  { "repeat", COLUMN_REPEAT, offsetof (struct mt_route, repeat), .required = true },
  { "deadline_ms", COLUMN_COUNT, offsetof (struct mt_route, deadline_ms), .min = 1, .max = 600000,
    .fallback = 5000 },
  { "queue", COLUMN_COUNT, offsetof (struct mt_route, queue), .min = 0, .max = 100000,
    .fallback = 256 },
  { NULL },
};

static const struct column pool_columns[] = {
  { "pool", COLUMN_TEXT, offsetof (struct mt_pool, name), .required = true },
  { "service", COLUMN_TEXT, offsetof (struct mt_pool, service), .required = true },
  { "spare", COLUMN_FLAG, offsetof (struct mt_pool, spare) },
  { "min_instances", COLUMN_COUNT, offsetof (struct mt_pool, min_instances), .max = 10000,
    .fallback = 1 },
  { "max_instances", COLUMN_COUNT, offsetof (struct mt_pool, max_instances), .max = 10000 },
  { "max_unavailable", COLUMN_COUNT, offsetof (struct mt_pool, max_unavailable), .min = 1,
    .max = 10000, .fallback = 1 },
  { "move_weight", COLUMN_WEIGHT, offsetof (struct mt_pool, move_weight), .max = 1e6,
    .fallback = 1 },
  { "buffer_weight", COLUMN_WEIGHT, offsetof (struct mt_pool, buffer_weight), .max = 1e6,
    .fallback = 1 },
  { NULL },
};

static const struct column instance_columns[] = {
  { "name", COLUMN_TEXT, offsetof (struct mt_instance, name), .required = true },
  { "address", COLUMN_TEXT, offsetof (struct mt_instance, address), .required = true },
  { "zone", COLUMN_TEXT, offsetof (struct mt_instance, zone), .required = true },
  { "rack", COLUMN_TEXT, offsetof (struct mt_instance, rack), .required = true },
  { "slots", COLUMN_COUNT, offsetof (struct mt_instance, slots), .min = 1, .max = 1024,
    .fallback = 8 },
  { "connections", COLUMN_COUNT, offsetof (struct mt_instance, connections), .min = 1, .max = 65535,
    .fallback = 64 },
  { "leaving", COLUMN_FLAG, offsetof (struct mt_instance, leaving) },
  { NULL },
};

static const struct column wave_columns[] = {
  { "id", COLUMN_TEXT, offsetof (struct mt_wave, id), .required = true },
  { "stopped", COLUMN_FLAG, offsetof (struct mt_wave, stopped) },
  { "drain_limit_s", COLUMN_COUNT, offsetof (struct mt_wave, drain_limit_s), .min = 1, .max = 86400,
    .fallback = 600 },
  { NULL },
};

static bool
refuse (GError **error, struct place at, const char *column, const char *found, const char *remedy)
{
  g_set_error (error, MT_ERROR, MT_ERROR_TABLES, "table %s, row %s, column %s: found %s; %s",
               at.table, at.row, column, found, remedy);
  return false;
}

static bool
refuse_value (
    GError **error, struct place at, const char *column, const json_t *value, const char *remedy)
{
  char *found = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  g_autofree char *shown = g_strndup (found != NULL ? found : "?", 80);

  free (found);
  return refuse (error, at, column, shown, remedy);
}

static struct mt_str
copy_text (const void *owner, const char *data, size_t len)
{
  struct mt_str s = { talloc_strndup (owner, data, len), len };

  return s;
}

static bool
read_text (const void *owner,
           const json_t *value,
           const struct column *column,
           struct place at,
           struct mt_str *out,
           GError **error)
{
  if (value == NULL)
    {
      *out = mt_str_from (column->text != NULL ? column->text : "");
      return true;
    }
  if (!json_is_string (value) || json_string_length (value) == 0
      || json_string_length (value) > MAX_NAME_BYTES)
    return refuse_value (error, at, column->name, value, "write a text of 1 to 200 bytes");
  if (strlen (json_string_value (value)) != json_string_length (value))
    return refuse_value (error, at, column->name, value, "remove the NUL byte");
  *out = copy_text (owner, json_string_value (value), json_string_length (value));
  return true;
}

static bool
read_number (
    const json_t *value, const struct column *column, struct place at, double *out, GError **error)
{
  bool whole = column->kind == COLUMN_COUNT;
  g_autofree char *remedy = NULL;

  *out = column->fallback;
  if (value == NULL)
    return true;
  *out = json_number_value (value);
  if ((whole ? json_is_integer (value) : json_is_number (value)) && *out >= column->min
      && *out <= column->max)
    return true;
  remedy = g_strdup_printf ("write a %s from %g to %g", whole ? "whole number" : "number",
                            column->min, column->max);
  return refuse_value (error, at, column->name, value, remedy);
}

static bool
read_repeat (const json_t *value, struct place at, enum mt_repeat *out, GError **error)
{
  const char *text = json_string_value (value);

  if (text != NULL && strcmp (text, "safe") == 0)
    *out = MT_REPEAT_SAFE;
  else if (text != NULL && strcmp (text, "never") == 0)
    *out = MT_REPEAT_NEVER;
  else
    return refuse_value (error, at, "repeat", value, "write \"safe\" or \"never\"");
  return true;
}

static bool
read_column (const void *owner,
             void *row,
             const json_t *value,
             const struct column *column,
             struct place at,
             GError **error)
{
  void *field = (char *) row + column->offset;
  double number;

  if (value == NULL && column->required)
    return refuse (error, at, column->name, "nothing", "this column is required");
  switch (column->kind)
    {
    case COLUMN_TEXT:
      return read_text (owner, value, column, at, field, error);
    case COLUMN_COUNT:
      if (!read_number (value, column, at, &number, error))
        return false;
      *(unsigned *) field = (unsigned) number;
      return true;
    case COLUMN_WEIGHT:
      return read_number (value, column, at, field, error);
    case COLUMN_FLAG:
      if (value != NULL && !json_is_boolean (value))
        return refuse_value (error, at, column->name, value, "write true or false");
      *(bool *) field = json_is_true (value);
      return true;
    case COLUMN_REPEAT:
      return read_repeat (value, at, field, error);
    }
  return false;
}

static bool
known_column (const struct column *columns, const char *const *extra, const char *name)
{
  for (; columns->name != NULL; columns++)
    if (strcmp (columns->name, name) == 0)
      return true;
  for (; extra != NULL && *extra != NULL; extra++)
    if (strcmp (*extra, name) == 0)
      return true;
  return false;
}

static bool
read_row (const void *owner,
          void *row,
          const json_t *json,
          const struct column *columns,
          const char *const *extra,
          struct place at,
          GError **error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (json))
    return refuse_value (error, at, "(whole row)", json, "write an object of columns");
  json_object_foreach ((json_t *) json, name, value) if (
      !known_column (columns, extra,
                     name)) return refuse_value (error, at, name, value,
                                                 "no such column; remove it or mend its name");
  for (const struct column *c = columns; c->name != NULL; c++)
    if (!read_column (owner, row, json_object_get (json, c->name), c, at, error))
      return false;
  return true;
}

/* The row's own name where it has one, its number otherwise. */
static char *
row_label (const json_t *row, const char *key, size_t index)
{
  const char *name = json_string_value (json_object_get (row, key));

  return name != NULL ? g_strdup_printf ("\"%.60s\"", name)
                      : g_strdup_printf ("number %zu", index + 1);
}

static bool
read_instances (const void *owner, struct mt_pool *pool, const json_t *rows, GError **error)
{
  struct place whole = { "pools", pool->name.data };

  if (!json_is_array (rows))
    return refuse_value (error, whole, "instances", rows, "write a list of instances");
  pool->n_instances = json_array_size (rows);
  pool->instances = talloc_zero_array (owner, struct mt_instance, pool->n_instances);
  for (size_t i = 0; i < pool->n_instances; i++)
    {
      const json_t *row = json_array_get (rows, i);
      g_autofree char *inner = row_label (row, "name", i);
      g_autofree char *label = g_strdup_printf ("\"%s\", instance %s", pool->name.data, inner);
      struct place at = { "pools", label };

      if (!read_row (owner, &pool->instances[i], row, instance_columns, NULL, at, error))
        return false;
    }
  return true;
}

static bool
read_pool (const void *owner, struct mt_pool *pool, const json_t *row, size_t index, GError **error)
{
  static const char *const extra[] = { "instances", "wave", NULL };
  g_autofree char *label = row_label (row, "pool", index);
  struct place at = { "pools", label };
  const json_t *instances;
  const json_t *wave;

  if (!read_row (owner, pool, row, pool_columns, extra, at, error))
    return false;
  instances = json_object_get (row, "instances");
  if (instances != NULL && !read_instances (owner, pool, instances, error))
    return false;
  wave = json_object_get (row, "wave");
  if (wave == NULL)
    {
      pool->wave.id = MT_STR ("");
      return true;
    }
  return read_row (owner, &pool->wave, wave, wave_columns, NULL, at, error);
}

static bool
read_routes (struct mt_tables *tables, const json_t *rows, GError **error)
{
  tables->n_routes = json_array_size (rows);
  tables->routes = talloc_zero_array (tables, struct mt_route, tables->n_routes);
  for (size_t i = 0; i < tables->n_routes; i++)
    {
      const json_t *row = json_array_get (rows, i);
      g_autofree char *label = row_label (row, "route", i);
      struct place at = { "routes", label };

      if (!read_row (tables, &tables->routes[i], row, route_columns, NULL, at, error))
        return false;
    }
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
read_document (struct mt_tables *tables, const json_t *root, GError **error)
{
  static const struct column columns[] = {
    { "id", COLUMN_TEXT, offsetof (struct mt_tables, id), .text = "" },
    { NULL },
  };
  static const char *const extra[] = { "version", "routes", "pools", NULL };
  struct place at = { "(document)", "(whole)" };
  const json_t *routes = json_object_get (root, "routes");
  const json_t *pools = json_object_get (root, "pools");
  const json_t *version = json_object_get (root, "version");

  if (!read_row (tables, tables, root, columns, extra, at, error))
    return false;
  if (!json_is_array (routes))
    return refuse (error, at, "routes", "no list", "write the routes table as a list of rows");
  if (!json_is_array (pools))
    return refuse (error, at, "pools", "no list", "write the pools table as a list of rows");
  if (version != NULL && (!json_is_integer (version) || json_integer_value (version) < 0))
    return refuse_value (error, at, "version", version, "leave it as `show` printed it");
  tables->version = version != NULL ? (uint64_t) json_integer_value (version) : 0;
  return read_routes (tables, routes, error) && read_pools (tables, pools, error);
}

bool
mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error)
{
  json_error_t where;
  json_t *root;
  bool ok;

  if (json.len > MT_TABLES_MAX_BYTES)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "tables: %zu bytes, the platform takes %d; shorten names or remove rows",
                   json.len, MT_TABLES_MAX_BYTES);
      return false;
    }
  root = json_loadb (json.data, json.len, JSON_REJECT_DUPLICATES, &where);
  if (root == NULL)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "tables: line %d, column %d: %s; mend the JSON there", where.line, where.column,
                   where.text);
      return false;
    }
  ok = read_document (tables, root, error);
  json_decref (root);
  return ok;
}

static json_t *
format_row (const void *row, const struct column *columns)
{
  json_t *out = json_object ();

  for (const struct column *c = columns; c->name != NULL; c++)
    {
      const void *field = (const char *) row + c->offset;
      const struct mt_str *text = field;
      json_t *value = NULL;

      switch (c->kind)
        {
        case COLUMN_TEXT:
          value = json_stringn (text->data, text->len);
          break;
        case COLUMN_COUNT:
          value = json_integer (*(const unsigned *) field);
          break;
        case COLUMN_WEIGHT:
          value = json_real (*(const double *) field);
          break;
        case COLUMN_FLAG:
          value = json_boolean (*(const bool *) field);
          break;
        case COLUMN_REPEAT:
          value
              = json_string (*(const enum mt_repeat *) field == MT_REPEAT_SAFE ? "safe" : "never");
          break;
        }
      json_object_set_new (out, c->name, value);
    }
  return out;
}

static json_t *
format_pool (const struct mt_pool *pool)
{
  json_t *out = format_row (pool, pool_columns);
  json_t *instances = json_array ();

  for (size_t i = 0; i < pool->n_instances; i++)
    json_array_append_new (instances, format_row (&pool->instances[i], instance_columns));
  json_object_set_new (out, "instances", instances);
  if (pool->wave.id.len > 0)
    json_object_set_new (out, "wave", format_row (&pool->wave, wave_columns));
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
    json_array_append_new (routes, format_row (&tables->routes[i], route_columns));
  for (size_t i = 0; i < tables->n_pools; i++)
    json_array_append_new (pools, format_pool (&tables->pools[i]));
  root = json_pack ("{sI ss so so}", "version", (json_int_t) version, "id", id, "routes", routes,
                    "pools", pools);
  text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (6));
  json_decref (root);
  copy = g_strdup (text);
  free (text);
  return copy;
}
