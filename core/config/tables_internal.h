/* Shared by the modules that read, check, compare and write tables. */
#ifndef MEDLARTRACK_TABLES_INTERNAL_H
#define MEDLARTRACK_TABLES_INTERNAL_H

#include "fields.h"
#include "medlartrack/tables.h"

#include <jansson.h>

/* Reads the JSON document into tables, which the caller allocated with talloc. */
bool mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error);
/* Checks the conditions between rows: names, references, budgets and sums. */
bool mt_tables_check (const struct mt_tables *tables, GError **error);

/* Returns the columns of "routes", "pools", "instances", "teams", "jobs" or "wave"; NULL for
 * others. */
const struct mt_field *mt_tables_columns (const char *table);

/* Returns the document as JSON without the change log. */
json_t *mt_tables_to_json (const struct mt_tables *tables, uint64_t version, const char *id);

/* Formats root as text with jansson's flags and releases it; free the text with g_free. */
char *mt_tables_serialize (json_t *root, size_t flags);

/* Contents of the error for a refused row. limit may be NULL. */
struct mt_refusal
{
  const char *table;
  struct mt_str row;
  const char *column;
  const char *value;
  const char *limit;
  const char *remedy;
};

/* Sets the error; always returns false. */
bool mt_tables_refuse (GError **error, const struct mt_refusal *refusal);

/* Number of instances of a pool or service in one data centre, according to the tables. */
struct mt_zone_count
{
  unsigned staying;
  unsigned leaving;
};

/* Returns a hash table from data centre to struct mt_zone_count. It owns its values but not its
 * keys. */
GHashTable *mt_tables_count_new (void);
void mt_tables_count_add (GHashTable *counts, const struct mt_pool *pool);
/* Returns zeros for a data centre that is not in counts. */
struct mt_zone_count mt_tables_count_get (GHashTable *counts, const char *zone);

/* Rules in tables_budget.c. */
bool mt_tables_check_spare (const struct mt_tables *tables, GError **error);
bool mt_tables_check_ranges (const struct mt_tables *tables, GError **error);
bool mt_tables_check_leaving (const struct mt_tables *tables, GError **error);
bool mt_tables_check_drains (const struct mt_tables *tables, GError **error);
bool mt_tables_check_fleet (const struct mt_tables *tables, GError **error);

/* Rules in tables_jobs.c. */
bool mt_tables_check_jobs (const struct mt_tables *tables, GError **error);
bool mt_tables_check_teams (const struct mt_tables *tables, GError **error);

#endif
