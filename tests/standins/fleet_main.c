/* Simulates the platform in one process: a store, the workers of one pool, and their machines.
 * Arguments: number of workers (4), run time of a task in ms (300; 0: tasks never end), longest
 * lease of a worker in ms (6000), what its clock shows at first in ms (0). Prints the store's port
 * as "port=N". Besides the platform's calls the port accepts calls for tests:
 *
 *   POST /test/store?mode=up|busy|silent|...   see fleet_store_set_mode
 *   POST /test/limit?bytes=N                    see fleet_store_set_value_bytes
 *   POST /test/forget                           see fleet_store_compact
 *   POST /test/lose?percent=N                   see fleet_workers_lose_answers
 *   POST /test/late?percent=N&ms=M              see fleet_workers_delay_orders
 *   POST /test/restart?worker=I                 see fleet_workers_restart
 *   POST /test/crash?worker=I&ms=M              see fleet_workers_crash
 *   POST /test/cut?worker=I&ms=M                see fleet_workers_cut
 *   POST /test/resize?cpu=N                     see fleet_workers_resize
 *   POST /test/put?key=K                        the body is the value
 *   GET /test/get?key=K
 *   GET /test/report                            see fleet_workers_report
 */
#include "fleet_store.h"
#include "fleet_workers.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL "quotes"

struct platform
{
  struct event_base *base;
  struct fleet_store *store;
  struct fleet_workers *workers;
};

static void
handle_put (struct platform *p, struct mt_exchange *exchange)
{
  struct mt_str body = mt_exchange_body (exchange);
  g_autofree char *text = g_strndup (body.data, body.len);

  fleet_store_put (p->store, mt_exchange_query (exchange, "key"), text);
  fleet_answer (exchange, 200, json_object ());
}

static void
handle_get (struct platform *p, struct mt_exchange *exchange)
{
  g_autofree char *text = fleet_store_get (p->store, mt_exchange_query (exchange, "key"));

  mt_exchange_answer (exchange, text != NULL ? 200 : 404, "application/json",
                      mt_str_from (text != NULL ? text : "{}"), 0);
}

static int
number (const struct mt_exchange *exchange, const char *name)
{
  return atoi (mt_exchange_query (exchange, name));
}

static void
handle_test_call (struct platform *p, const char *action, struct mt_exchange *exchange)
{
  if (strcmp (action, "put") == 0)
    {
      handle_put (p, exchange);
      return;
    }
  if (strcmp (action, "get") == 0)
    {
      handle_get (p, exchange);
      return;
    }
  if (strcmp (action, "report") == 0)
    {
      fleet_answer (exchange, 200, fleet_workers_report (p->workers));
      return;
    }
  if (strcmp (action, "store") == 0)
    fleet_store_set_mode (p->store, mt_exchange_query (exchange, "mode"));
  else if (strcmp (action, "limit") == 0)
    fleet_store_set_value_bytes (p->store, (size_t) number (exchange, "bytes"));
  else if (strcmp (action, "forget") == 0)
    fleet_store_compact (p->store);
  else if (strcmp (action, "lose") == 0)
    fleet_workers_lose_answers (p->workers,
                                (unsigned) atoi (mt_exchange_query (exchange, "percent")));
  else if (strcmp (action, "late") == 0)
    fleet_workers_delay_orders (p->workers, (unsigned) number (exchange, "percent"),
                                number (exchange, "ms"));
  else if (strcmp (action, "restart") == 0)
    fleet_workers_restart (p->workers, (unsigned) number (exchange, "worker"));
  else if (strcmp (action, "crash") == 0)
    fleet_workers_crash (p->workers, (unsigned) number (exchange, "worker"),
                         number (exchange, "ms"));
  else if (strcmp (action, "cut") == 0)
    fleet_workers_cut (p->workers, (unsigned) number (exchange, "worker"), number (exchange, "ms"));
  else if (strcmp (action, "resize") == 0)
    fleet_workers_resize (p->workers, atoi (mt_exchange_query (exchange, "cpu")));
  fleet_answer (exchange, 200, json_object ());
}

static void
on_call (void *ctx, struct mt_exchange *exchange)
{
  struct platform *p = ctx;
  const char *path = mt_exchange_path (exchange);

  if (g_str_has_prefix (path, "/test/"))
    handle_test_call (p, path + strlen ("/test/"), exchange);
  else if (g_str_has_prefix (path, "/machine"))
    fleet_workers_handle_machines (p->workers, exchange);
  else
    fleet_store_handle (p->store, exchange);
}

/* Returns the argument, or the fallback if there are fewer. */
static unsigned
argument (int argc, char **argv, int at, unsigned fallback)
{
  return argc > at ? (unsigned) atoi (argv[at]) : fallback;
}

int
main (int argc, char **argv)
{
  struct fleet_workers_options workers = { .pool = POOL,
                                           .n = argument (argc, argv, 1, 4),
                                           .run_ms = argument (argc, argv, 2, 300),
                                           .max_hold_ms = argument (argc, argv, 3, 6000),
                                           .age_ms = argument (argc, argv, 4, 0) };
  struct platform p = { .base = event_base_new () };
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 512,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 1024 * 1024,
                                           .handle = on_call,
                                           .ctx = &p };
  struct mt_http_front *front = mt_http_front_create (p.base, &options, NULL);

  if (front == NULL)
    return 1;
  signal (SIGPIPE, SIG_IGN);
  p.store = fleet_store_create (p.base);
  p.workers = fleet_workers_create (p.base, p.store, &workers);
  printf ("port=%u\n", mt_http_front_port (front));
  fflush (stdout);
  event_base_dispatch (p.base);
  return 0;
}
