#include "medlartrack/error.h"
#include "tables_internal.h"

#include <string.h>
#include <talloc.h>

#define MAX_LOG_ENTRIES     16          /* edits kept in the change log */
#define MAX_LOG_BYTES       (32 * 1024) /* maximum size of the whole change log */
#define MAX_LOG_ENTRY_BYTES (8 * 1024)  /* of a larger edit, only the number of rows is kept */

/* Adds one flat object for each instance to rows, under the instance's name. */
static void
add_instance_rows (json_t *rows, const struct mt_pool *pool)
{
  for (size_t i = 0; i < pool->n_instances; i++)
    {
      json_t *row = mt_fields_write (&pool->instances[i], mt_tables_columns ("instances"));

      json_object_set_new (row, "pool", json_string (pool->name.data));
      json_object_set_new (rows, pool->instances[i].name.data, row);
    }
}

static json_t *
instance_rows (const struct mt_tables *tables)
{
  json_t *rows = json_object ();

  for (size_t i = 0; tables != NULL && i < tables->n_pools; i++)
    add_instance_rows (rows, &tables->pools[i]);
  return rows;
}

static json_t *
job_rows (const struct mt_tables *tables)
{
  json_t *rows = json_object ();

  for (size_t i = 0; tables != NULL && i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_jobs; k++)
      {
        const struct mt_job_row *job = &tables->pools[i].jobs[k];
        json_t *row = mt_fields_write (job, mt_tables_columns ("jobs"));

        json_object_set_new (row, "pool", json_string (tables->pools[i].name.data));
        json_object_set_new (rows, job->job.data, row);
      }
  return rows;
}

static json_t *
team_rows (const struct mt_tables *tables)
{
  json_t *rows = json_object ();

  for (size_t i = 0; tables != NULL && i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_teams; k++)
      json_object_set_new (
          rows, tables->pools[i].teams[k].team.data,
          mt_fields_write (&tables->pools[i].teams[k], mt_tables_columns ("teams")));
  return rows;
}

static json_t *
pool_rows (const struct mt_tables *tables)
{
  json_t *rows = json_object ();

  for (size_t i = 0; tables != NULL && i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];
      json_t *row = mt_fields_write (pool, mt_tables_columns ("pools"));

      if (pool->wave.id.len > 0)
        json_object_set_new (row, "wave",
                             mt_fields_write (&pool->wave, mt_tables_columns ("wave")));
      json_object_set_new (rows, pool->name.data, row);
    }
  return rows;
}

static json_t *
route_rows (const struct mt_tables *tables)
{
  json_t *rows = json_object ();

  for (size_t i = 0; tables != NULL && i < tables->n_routes; i++)
    json_object_set_new (rows, tables->routes[i].name.data,
                         mt_fields_write (&tables->routes[i], mt_tables_columns ("routes")));
  return rows;
}

static void
add_column_change (json_t *columns, const char *name, json_t *before, json_t *after)
{
  json_t *change = json_object ();

  if (before != NULL)
    json_object_set (change, "from", before);
  if (after != NULL)
    json_object_set (change, "to", after);
  json_object_set_new (columns, name, change);
}

/* Returns the columns that differ between two rows, each with its old and new value. */
static json_t *
compare_columns (json_t *before, json_t *after)
{
  json_t *columns = json_object ();
  const char *name;
  json_t *value;

  json_object_foreach (before, name, value)
  {
    if (!json_equal (value, json_object_get (after, name)))
      add_column_change (columns, name, value, json_object_get (after, name));
  }
  json_object_foreach (after, name, value)
  {
    if (json_object_get (before, name) == NULL)
      add_column_change (columns, name, NULL, value);
  }
  return columns;
}

static void
add_row_change (
    json_t *out, const char *table, const char *row, const char *change, json_t *columns)
{
  json_array_append_new (out, json_pack ("{ss ss ss so}", "table", table, "row", row, "change",
                                         change, "columns", columns));
}

/* Takes ownership of before and after. */
static void
compare_table (json_t *out, const char *table, json_t *before, json_t *after)
{
  const char *name;
  json_t *row;

  json_object_foreach (before, name, row)
  {
    json_t *now = json_object_get (after, name);
    json_t *columns = now != NULL ? compare_columns (row, now) : json_object ();

    if (now == NULL)
      add_row_change (out, table, name, "removed", columns);
    else if (json_object_size (columns) > 0)
      add_row_change (out, table, name, "changed", columns);
    else
      json_decref (columns);
  }
  json_object_foreach (after, name, row)
  {
    if (json_object_get (before, name) == NULL)
      add_row_change (out, table, name, "added", compare_columns (NULL, row));
  }
  json_decref (before);
  json_decref (after);
}

static json_t *
compare (const struct mt_tables *before, const struct mt_tables *after)
{
  json_t *out = json_array ();

  compare_table (out, "routes", route_rows (before), route_rows (after));
  compare_table (out, "pools", pool_rows (before), pool_rows (after));
  compare_table (out, "pools.instances", instance_rows (before), instance_rows (after));
  compare_table (out, "pools.teams", team_rows (before), team_rows (after));
  compare_table (out, "pools.jobs", job_rows (before), job_rows (after));
  return out;
}

char *
mt_tables_diff (const struct mt_tables *before, const struct mt_tables *after)
{
  return mt_tables_serialize (compare (before, after), JSON_COMPACT);
}

bool
mt_tables_same_rows (const struct mt_tables *a, const struct mt_tables *b)
{
  json_t *changes = compare (a, b);
  bool same = json_array_size (changes) == 0;

  json_decref (changes);
  return same;
}

/* Returns the change log of the tables; empty if there is none or it can't be parsed. */
static json_t *
parse_change_log (const struct mt_tables *tables)
{
  json_t *log = NULL;

  if (tables != NULL && tables->changes.len > 0)
    log = json_loadb (tables->changes.data, tables->changes.len, 0, NULL);
  return log != NULL ? log : json_array ();
}

static json_t *
new_log_entry (const struct mt_tables *before,
               const struct mt_tables *after,
               uint64_t version,
               const char *id)
{
  json_t *rows = compare (before, after);
  json_t *entry = json_pack ("{sI ss sI}", "version", (json_int_t) version, "id", id, "count",
                             (json_int_t) json_array_size (rows));

  if (json_dumpb (rows, NULL, 0, JSON_COMPACT) <= MAX_LOG_ENTRY_BYTES)
    json_object_set (entry, "rows", rows);
  json_decref (rows);
  return entry;
}

static bool
fits_limits (const json_t *root, const json_t *log)
{
  return json_array_size (log) <= MAX_LOG_ENTRIES
         && json_dumpb (log, NULL, 0, JSON_COMPACT) <= MAX_LOG_BYTES
         && json_dumpb (root, NULL, 0, JSON_COMPACT) <= MT_TABLES_MAX_BYTES;
}

char *
mt_tables_format_next (const struct mt_tables *accepted,
                       const struct mt_tables *wanted,
                       uint64_t version,
                       const char *id)
{
  json_t *root = mt_tables_to_json (wanted, version, id);
  json_t *log = parse_change_log (accepted);

  json_array_append_new (log, new_log_entry (accepted, wanted, version, id));
  json_object_set_new (root, "changes", log);
  while (json_array_size (log) > 0 && !fits_limits (root, log))
    json_array_remove (log, 0);
  return mt_tables_serialize (root, JSON_COMPACT);
}

char *
mt_tables_changes_since (const struct mt_tables *accepted, uint64_t version)
{
  json_t *log = parse_change_log (accepted);
  json_t *out = json_array ();
  uint64_t expected = version + 1;
  json_t *entry;
  size_t i;

  json_array_foreach (log, i, entry)
  {
    uint64_t entry_version = (uint64_t) json_integer_value (json_object_get (entry, "version"));

    if (entry_version <= version)
      continue;
    if (entry_version == expected)
      expected++;
    json_array_append (out, entry);
  }
  json_decref (log);
  if (expected == accepted->version + 1)
    return mt_tables_serialize (out, JSON_COMPACT);
  json_decref (out);
  return NULL;
}

bool
mt_tables_descends_from (const struct mt_tables *accepted, const char *id)
{
  json_t *log = parse_change_log (accepted);
  bool found = strcmp (accepted->id.data, id) == 0;
  json_t *entry;
  size_t i;

  json_array_foreach (log, i, entry)
  {
    const char *entry_id = json_string_value (json_object_get (entry, "id"));

    found = found || (entry_id != NULL && strcmp (entry_id, id) == 0);
  }
  json_decref (log);
  return found;
}

static bool
refuse_emptied_zone (const struct mt_route *route, const char *zone, GError **error)
{
  g_autofree char *remedy = g_strdup_printf (
      "the route would have no instance left in data centre \"%s\"; keep one there, or "
      "give `--empty %s` if that data centre is to have none",
      zone, zone);
  struct mt_refusal refusal
      = { "routes", route->name, "pool", route->pool.data, "1 instance", remedy };

  return mt_tables_refuse (error, &refusal);
}

bool
mt_tables_check_change (const struct mt_tables *accepted,
                        const struct mt_tables *wanted,
                        const char *const *may_empty,
                        GError **error)
{
  for (size_t i = 0; accepted != NULL && i < wanted->n_routes; i++)
    {
      const struct mt_route *route = &wanted->routes[i];
      const struct mt_pool *accepted_pool = mt_tables_find_pool (accepted, route->pool);
      const struct mt_pool *wanted_pool = mt_tables_find_pool (wanted, route->pool);
      g_autoptr (GHashTable) before = mt_tables_count_new ();
      g_autoptr (GHashTable) after = mt_tables_count_new ();
      GHashTableIter iter;
      gpointer zone;
      gpointer count;

      if (accepted_pool == NULL)
        continue;
      mt_tables_count_add (before, accepted_pool);
      mt_tables_count_add (after, wanted_pool);
      g_hash_table_iter_init (&iter, before);
      while (g_hash_table_iter_next (&iter, &zone, &count))
        if (((struct mt_zone_count *) count)->staying > 0
            && mt_tables_count_get (after, zone).staying == 0
            && (may_empty == NULL || !g_strv_contains (may_empty, zone)))
          return refuse_emptied_zone (route, zone, error);
    }
  return true;
}
