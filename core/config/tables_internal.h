/* Shared between the modules that read, check, compare and write tables. */
#ifndef MEDLARTRACK_TABLES_INTERNAL_H
#define MEDLARTRACK_TABLES_INTERNAL_H

#include "fields.h"
#include "medlartrack/tables.h"

#include <jansson.h>

/* Reads the JSON into tables, whose owner is the caller. */
bool mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error);
/* Checks what one row alone can't tell: names, references, budgets, sums. */
bool mt_tables_check (const struct mt_tables *tables, GError **error);

/* The columns of "routes", "pools", "instances", "teams", "jobs" or "wave". */
const struct mt_field *mt_tables_columns (const char *table);

/* The document as JSON, the change log left out. */
json_t *mt_tables_write (const struct mt_tables *tables, uint64_t version, const char *id);

/* The JSON as text by jansson's flags, g_malloced; frees root. */
char *mt_tables_take_text (json_t *root, size_t flags);

/* What a refused row is told. limit may be NULL. */
struct mt_refusal
{
  const char *table;
  struct mt_str row;
  const char *column;
  const char *value;
  const char *limit;
  const char *remedy;
};

/* Sets the error; always false. */
bool mt_tables_refuse (GError **error, const struct mt_refusal *refusal);

/* Instances of one pool or service in one data centre, by the tables. */
struct mt_zone_count
{
  unsigned staying;
  unsigned leaving;
};

/* Data centre -> struct mt_zone_count; frees its values, borrows its keys. */
GHashTable *mt_tables_count_new (void);
void mt_tables_count_add (GHashTable *counts, const struct mt_pool *pool);
/* Zeros where there is none. */
struct mt_zone_count mt_tables_count_get (GHashTable *counts, const char *zone);

/* The rules of tables_budget.c. */
bool mt_tables_check_spare (const struct mt_tables *tables, GError **error);
bool mt_tables_check_ranges (const struct mt_tables *tables, GError **error);
bool mt_tables_check_leaving (const struct mt_tables *tables, GError **error);
bool mt_tables_check_drains (const struct mt_tables *tables, GError **error);
bool mt_tables_check_fleet (const struct mt_tables *tables, GError **error);

/* The rules of tables_jobs.c. */
bool mt_tables_check_jobs (const struct mt_tables *tables, GError **error);
bool mt_tables_check_teams (const struct mt_tables *tables, GError **error);

#endif
