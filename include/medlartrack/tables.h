/* The operators' two tables, routes and pools, which are accepted together as one version.
 *
 * A struct mt_tables is immutable once parsed, so any thread may read it. The caller of
 * mt_tables_parse owns it and frees it with mt_tables_destroy. All strings in it are NUL-terminated
 * and live as long as it does. */
#ifndef MEDLARTRACK_TABLES_H
#define MEDLARTRACK_TABLES_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_TABLES_KEY       "medlartrack/tables"
#define MT_TABLES_MAX_BYTES (1000 * 1000) /* the platform limits a value to 1 MB */

enum mt_repeat
{
  MT_REPEAT_SAFE,  /* idempotent: may be sent again to another minion */
  MT_REPEAT_NEVER, /* runs at most once; the caller must send an idempotency key */
};

struct mt_route
{
  struct mt_str name;
  struct mt_str method;          /* "*" for any */
  struct mt_str path;            /* prefix, matched at a '/' boundary; the longest match wins */
  struct mt_str pool;            /* name of a row in the pools table */
  struct mt_str audience_header; /* header with the audience; fairness is between audiences */
  enum mt_repeat repeat;
  unsigned deadline_ms;
  unsigned queue; /* maximum number of waiting requests per daemon */
};

struct mt_instance
{
  struct mt_str name;
  struct mt_str address; /* IP:PORT */
  struct mt_str zone;    /* data centre */
  struct mt_str rack;
  unsigned slots;
  unsigned connections;
  bool leaving; /* the operator takes the instance out of the pool */
};

struct mt_wave
{
  struct mt_str id;       /* empty: no wave is declared; a new id starts a new wave */
  bool stopped;           /* the operator has paused the wave */
  unsigned drain_limit_s; /* an instance that drains longer is skipped and reported */
};

/* A team's quota in one data centre. Other teams may borrow what is idle. */
struct mt_team_row
{
  struct mt_str team;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
};

struct mt_job_row
{
  struct mt_str job;  /* unique across all pools, and never used again */
  struct mt_str kind; /* resource usage is learned per kind; empty: the pool's name */
  struct mt_str team;
  struct mt_str zone; /* data centre whose workers run the job */
  unsigned cpu_milli; /* declared resources, with the next two fields */
  unsigned memory_mb;
  unsigned accelerators;
  int urgency; /* enum mt_urgency */
  bool may_run_twice;
  bool cancelled;
};

struct mt_pool
{
  struct mt_str name;
  struct mt_str service;
  bool spare;               /* the reserve that other pools borrow instances from */
  unsigned min_instances;   /* per data centre: minimum that planned changes leave serving */
  unsigned max_instances;   /* per data centre; 0: no limit */
  unsigned max_unavailable; /* per data centre: the service's budget, unplanned outages included */
  double move_weight;       /* cost of moving one instance */
  double buffer_weight;     /* cost of holding one idle instance for one hour */
  struct mt_wave wave;
  struct mt_instance *instances;
  size_t n_instances;
  struct mt_team_row *teams;
  size_t n_teams;
  struct mt_job_row *jobs;
  size_t n_jobs;
};

struct mt_tables
{
  uint64_t version; /* increases by one with each accepted edit */
  struct mt_str id; /* unique for each write, to recognise one's own write after a lost answer */
  struct mt_route *routes;
  size_t n_routes;
  struct mt_pool *pools;
  size_t n_pools;
  struct mt_str changes; /* JSON: changes of the last edits, row by row; empty for none */
};

/* Parses and checks the whole document. Returns NULL with MT_ERROR_SYNTAX, MT_ERROR_LIMIT or
 * MT_ERROR_TABLES; messages of the last one name table, row, column, value, limit and remedy. */
struct mt_tables *mt_tables_parse (struct mt_str json, GError **error);
void mt_tables_destroy (struct mt_tables *tables);

/* Returns the document as JSON text in canonical order, with the given version and id; free it with
 * g_free. Parsing the text gives equal tables. */
char *mt_tables_format (const struct mt_tables *tables, uint64_t version, const char *id);
/* Like mt_tables_format, but indented for editing, with its own version and id and without the
 * change log. */
char *mt_tables_format_pretty (const struct mt_tables *tables);
/* Returns the document that succeeds the accepted tables (NULL for none), with this edit appended
 * to its change log; free it with g_free. */
char *mt_tables_format_next (const struct mt_tables *accepted,
                             const struct mt_tables *wanted,
                             uint64_t version,
                             const char *id);

/* Returns warnings for the operator about values that are allowed but questionable: an array of
 * strings, freed with g_ptr_array_unref. */
GPtrArray *mt_tables_warnings (const struct mt_tables *tables);
/* Checks a change against the accepted tables (NULL for none). Returns false with MT_ERROR_TABLES
 * if a pool that a route needs would lose its last instance in a data centre that is not listed in
 * may_empty (NULL-terminated; may be NULL). */
bool mt_tables_check_change (const struct mt_tables *accepted,
                             const struct mt_tables *wanted,
                             const char *const *may_empty,
                             GError **error);
/* Returns the differences by row and column as a JSON array; free it with g_free. Either argument
 * may be NULL. */
char *mt_tables_diff (const struct mt_tables *before, const struct mt_tables *after);
/* Returns whether the tables have equal rows, ignoring the order of the rows, version and id. */
bool mt_tables_same_rows (const struct mt_tables *a, const struct mt_tables *b);
/* Returns the edits after the given version as a JSON array, or NULL if the change log doesn't go
 * back that far; free it with g_free. */
char *mt_tables_changes_since (const struct mt_tables *accepted, uint64_t version);
/* Returns whether the accepted tables were written with this id, or have that write in their change
 * log. */
bool mt_tables_descends_from (const struct mt_tables *accepted, const char *id);

/* Returns the pool of that name; NULL if there is none. */
const struct mt_pool *mt_tables_find_pool (const struct mt_tables *tables, struct mt_str name);
/* Returns the route for a request; NULL if there is none. */
const struct mt_route *
mt_tables_match_route (const struct mt_tables *tables, struct mt_str method, struct mt_str path);

#endif
