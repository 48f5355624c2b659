/* The routes of a configuration, found by host and path in time that does not grow with their
 * number. A route is identified by its host and prefix. Not thread-safe. */
#ifndef MT_FLEET_ROUTE_TABLE_H
#define MT_FLEET_ROUTE_TABLE_H

#include "medlartrack/scheduler.h"

#include <glib.h>
#include <stdbool.h>

struct mt_fleet_route
{
  char *name;
  char *host; /* NULL: any */
  char *prefix;
  char *pool;
  struct mt_route_policy terms; /* without version and needs_tickets */
  bool requires_advice;         /* only workers named by the advisor may run its steps */
  bool allow_anonymous;         /* callers need no key */
};

/* Frees the fields, not the struct. */
void mt_fleet_route_clear (struct mt_fleet_route *route);
bool mt_fleet_route_equal (const struct mt_fleet_route *a, const struct mt_fleet_route *b);

/* Returns the policy of the route in a configuration of that version. */
struct mt_route_policy mt_fleet_route_policy (const struct mt_fleet_route *route, int64_t version);

struct mt_route_table;

typedef void (*mt_route_call) (void *ctx, const struct mt_fleet_route *route);

struct mt_route_table *mt_route_table_create (void);
void mt_route_table_destroy (struct mt_route_table *table);
size_t mt_route_table_size (const struct mt_route_table *table);
/* Adds a route or replaces the one with its host and prefix. Takes over the fields of route. */
void mt_route_table_set (struct mt_route_table *table, struct mt_fleet_route *route);
/* host: NULL for a route of any host. Returns false if there is no such route. */
bool mt_route_table_remove (struct mt_route_table *table, const char *host, const char *prefix);
/* Returns the route with exactly this host and prefix; NULL if there is none. */
const struct mt_fleet_route *
mt_route_table_get (const struct mt_route_table *table, const char *host, const char *prefix);
/* Returns the route with the longest prefix of the path, among those of the host and of any host;
 * of two with the same prefix that of the host. host: the header, with or without a port; NULL if
 * there is none. */
const struct mt_fleet_route *
mt_route_table_find (const struct mt_route_table *table, const char *host, const char *path);
/* Calls with each route, in no particular order. */
void mt_route_table_for_each (const struct mt_route_table *table, mt_route_call call, void *ctx);

#endif
