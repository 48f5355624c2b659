/* The operators' two tables, routes and pools, accepted as one version.
 *
 * A mt_tables is immutable once parsed, so any thread may read it; whoever parsed it owns it and
 * frees it with mt_tables_destroy. All strings inside are NUL-terminated and live as long as it. */
#ifndef MEDLARTRACK_TABLES_H
#define MEDLARTRACK_TABLES_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

#define MT_TABLES_KEY       "medlartrack/tables"
#define MT_TABLES_MAX_BYTES (1000 * 1000) /* the platform's value limit is a megabyte */

enum mt_repeat
{
  MT_REPEAT_SAFE,  /* idempotent: may be sent again to another minion */
  MT_REPEAT_NEVER, /* runs at most once; the caller must send an idempotency key */
};

struct mt_route
{
  struct mt_str name;
  struct mt_str method;          /* "*" for any */
  struct mt_str path;            /* prefix, matched at a '/' boundary; the longest wins */
  struct mt_str pool;            /* names a row of the pools table */
  struct mt_str audience_header; /* whose value tells audiences apart; fairness is between them */
  enum mt_repeat repeat;
  unsigned deadline_ms;
  unsigned queue; /* most requests waiting per daemon */
};

struct mt_instance
{
  struct mt_str name;
  struct mt_str address; /* IP:PORT */
  struct mt_str zone;    /* data centre */
  struct mt_str rack;
  unsigned slots;
  unsigned connections;
  bool leaving; /* the operator wants it out */
};

struct mt_wave
{
  struct mt_str id;       /* empty: no wave is declared. A new id starts a new wave */
  bool stopped;           /* the operator holds it */
  unsigned drain_limit_s; /* an instance still draining after this is skipped and reported */
};

/* A team's quota in one data centre; idle quota is lent. */
struct mt_team_row
{
  struct mt_str team;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
};

struct mt_job_row
{
  struct mt_str job;  /* unique in both tables, and never used again */
  struct mt_str kind; /* jobs of one kind teach each other their sizes; empty: the pool's name */
  struct mt_str team;
  struct mt_str zone; /* data centre whose workers run it */
  unsigned cpu_milli; /* as declared */
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
  bool spare;             /* the reserve that other pools borrow from */
  unsigned min_instances; /* per data centre, never fewer serving by plan */
  unsigned max_instances; /* per data centre; 0: no limit */
  unsigned
      max_unavailable;  /* per data centre: the service's availability budget, unplanned included */
  double move_weight;   /* cost of one move */
  double buffer_weight; /* cost of one idle instance held for one hour */
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
  uint64_t version; /* grows by one with each accepted edit */
  struct mt_str id; /* unique for each write, to recognise one's own after a lost answer */
  struct mt_route *routes;
  size_t n_routes;
  struct mt_pool *pools;
  size_t n_pools;
  struct mt_str changes; /* JSON: what the last edits changed, row by row; empty for none */
};

/* Parses and checks the whole document; NULL with a MT_ERROR_SYNTAX or MT_ERROR_TABLES error that
 * names table, row, column, value, limit and remedy. */
struct mt_tables *mt_tables_parse (struct mt_str json, GError **error);
void mt_tables_destroy (struct mt_tables *tables);

/* The document as JSON text in canonical order, with this version and id written in; g_free it.
 * What parses formats and parses back equal. */
char *mt_tables_format (const struct mt_tables *tables, uint64_t version, const char *id);
/* The same for people to edit: indented, without the log of changes. */
char *mt_tables_format_pretty (const struct mt_tables *tables);
/* The document that follows the accepted one (NULL for none), the edit noted in its log. */
char *mt_tables_format_next (const struct mt_tables *accepted,
                             const struct mt_tables *wanted,
                             uint64_t version,
                             const char *id);

/* What is allowed and worth a word to the operator; an array of text that frees itself. */
GPtrArray *mt_tables_warnings (const struct mt_tables *tables);
/* What only the accepted tables (NULL for none) can tell: refuses to take the last instance of a
 * pool that a route needs from a data centre, unless that is named in may_empty (NULL-ended). */
bool mt_tables_check_change (const struct mt_tables *accepted,
                             const struct mt_tables *wanted,
                             const char *const *may_empty,
                             GError **error);
/* Row by row and column by column, as a JSON array; either side may be NULL. g_free it. */
char *mt_tables_diff (const struct mt_tables *before, const struct mt_tables *after);
/* Whether the rows are equal, in whatever order, version and id left aside. */
bool mt_tables_same_rows (const struct mt_tables *a, const struct mt_tables *b);
/* The edits after that version, as a JSON array; NULL where the log doesn't go back so far. */
char *mt_tables_changes_since (const struct mt_tables *accepted, uint64_t version);
/* Whether the accepted tables are the write with that id, or came after it. */
bool mt_tables_descends_from (const struct mt_tables *accepted, const char *id);

const struct mt_pool *mt_tables_find_pool (const struct mt_tables *tables, struct mt_str name);
/* The route for a request, or NULL. */
const struct mt_route *
mt_tables_match_route (const struct mt_tables *tables, struct mt_str method, struct mt_str path);

#endif
