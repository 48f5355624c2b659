/* Calls refused for good only by a configuration that the store has confirmed: the front end with
 * an old copy, the adapter and the stand-in store in one process. No watch runs here. */
#include "adapter.h"
#include "fleet_store.h"
#include "frontend.h"
#include "journal.h"
#include "loop.h"

#include <event2/event.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define ID           "00000000000000a1"
#define ROUTE(name)  "{\"name\":\"" name "\",\"prefix\":\"/" name "/\",\"service\":\"quotes\"}"
#define SERVICES     "\"services\":[{\"name\":\"quotes\"}]"
#define ONE_ROUTE    "{\"version\":1,\"routes\":[" ROUTE ("r1") "]," SERVICES "}"
#define TWO_ROUTES   "{\"version\":2,\"routes\":[" ROUTE ("r1") "," ROUTE ("r2") "]," SERVICES "}"
#define OTHER_ROUTE  "{\"version\":2,\"routes\":[" ROUTE ("r2") "]," SERVICES "}"
#define NO_ROUTES    "{\"version\":2,\"routes\":[]," SERVICES "}"
#define KEYS(n, key) /* a configuration whose only workspace has this key */                       \
  "{\"version\":" n                                                                                \
  ",\"routes\":[" ROUTE ("r1") "]," SERVICES                                                       \
                               ",\"tenants\":[{\"name\":\"yard\",\"api-keys\":[\"" key "\"]}]}"
/* The front end refuses this method, but only on a path that has a route. */
#define METHOD_REFUSED 405
#define CALLERS        20

struct fixture
{
  struct event_base *base;
  struct fleet_store *store;
  struct mt_http_front *platform;
  struct mt_http_front *callers;
  struct mt_calls *calls;
  struct mt_adapter *adapter;
  struct mt_codec codec;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  struct mt_config_check *check;
  struct mt_frontend *frontend;
  struct mt_fleet_config *config;
  int64_t config_age_ms;
  bool store_answers;
  unsigned answers;
  int status;         /* of the last answer */
  unsigned not_found; /* answers with status 404 */
};

static void
on_platform_call (void *ctx, struct mt_exchange *exchange)
{
  fleet_store_handle (((struct fixture *) ctx)->store, exchange);
}

static void
on_caller (void *ctx, struct mt_exchange *exchange)
{
  mt_frontend_handle (((struct fixture *) ctx)->frontend, exchange);
}

static bool
store_answers (void *ctx)
{
  return ((struct fixture *) ctx)->store_answers;
}

static int64_t
config_age_ms (void *ctx)
{
  return ((struct fixture *) ctx)->config_age_ms;
}

static void
set_config (struct fixture *f, struct mt_str text)
{
  struct mt_fleet_config *old = f->config;

  f->config = f->codec.ops->parse_config (text, NULL);
  mt_frontend_set_config (f->frontend, f->config);
  mt_fleet_config_free (old);
}

static void
on_config (void *ctx, const struct mt_kv_item *item)
{
  set_config (ctx, item->value);
}

/* As of before the stored configuration was written. */
static int64_t
known_revision (void *ctx)
{
  return 1;
}

static struct mt_http_front *
listen_on (struct fixture *f, mt_http_front_handler handle)
{
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 64,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 65536,
                                           .handle = handle,
                                           .ctx = f };

  return mt_http_front_create (f->base, &options, NULL);
}

static void
create_frontend (struct fixture *f)
{
  struct mt_config_check_options check = { .kv = mt_adapter_kv (f->adapter),
                                           .key = f->codec.config_key,
                                           .revision = known_revision,
                                           .on_item = on_config,
                                           .ctx = f };
  struct mt_frontend_options options = { .kv = mt_adapter_kv (f->adapter),
                                         .codec = &f->codec,
                                         .journal = f->journal,
                                         .metrics = f->metrics,
                                         .store_answers = store_answers,
                                         .config_age_ms = config_age_ms,
                                         .config_apply_ms = 2000,
                                         .config_rollback_ms = 250,
                                         .ctx = f };

  f->check = mt_config_check_create (&check);
  options.config_check = f->check;
  f->frontend = mt_frontend_create (f->base, &options);
}

/* copy: the configuration that the front end has; stored: the one that the store has. */
static struct fixture *
create_fixture (const char *copy, const char *stored)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_adapter_settings settings = { .daemon = "d" };
  g_autofree char *address = NULL;

  signal (SIGPIPE, SIG_IGN);
  f->store_answers = true;
  f->base = event_base_new ();
  f->store = fleet_store_create (f->base);
  f->platform = listen_on (f, on_platform_call);
  f->callers = listen_on (f, on_caller);
  address = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (f->platform));
  settings.store = address;
  f->calls = mt_calls_create (f->base, NULL);
  f->adapter = mt_adapter_create (f->calls, &settings);
  f->codec = mt_adapter_codec ();
  f->journal = mt_journal_create (open ("/dev/null", O_WRONLY), "d");
  f->metrics = mt_metrics_create ();
  create_frontend (f);
  fleet_store_put (f->store, f->codec.config_key, stored);
  set_config (f, mt_str_from (copy));
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_frontend_close (f->frontend);
  mt_calls_destroy (f->calls);
  mt_http_front_destroy (f->callers);
  mt_frontend_destroy (f->frontend);
  mt_config_check_destroy (f->check);
  mt_adapter_destroy (f->adapter);
  mt_http_front_destroy (f->platform);
  fleet_store_destroy (f->store);
  mt_journal_destroy (f->journal);
  mt_metrics_destroy (f->metrics);
  mt_fleet_config_free (f->config);
  event_base_free (f->base);
  g_free (f);
}

static void
on_answer (void *ctx, const struct mt_call_answer *answer)
{
  struct fixture *f = ctx;

  f->answers++;
  f->status = answer->status;
  f->not_found += answer->status == 404;
}

static void
send_call (struct fixture *f, const char *path, const char *key)
{
  struct mt_call_header headers[] = { { f->codec.key_header, key }, { NULL, NULL } };
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (f->callers));
  struct mt_call call = { .address = address,
                          .kind = "caller",
                          .method = MT_CALL_POST, /* without an id: not a method of a queue */
                          .path = path,
                          .headers = key != NULL ? headers : NULL,
                          .timeout_ms = 20000,
                          .max_connections = CALLERS };

  mt_calls_send (f->calls, &call, on_answer, f);
}

static void
wait_for_answers (struct fixture *f, unsigned n)
{
  while (f->answers < n)
    event_base_loop (f->base, EVLOOP_ONCE);
}

/* Returns the status of the answer. */
static int
call (struct fixture *f, const char *path, const char *key)
{
  unsigned before = f->answers;

  send_call (f, path, key);
  wait_for_answers (f, before + 1);
  return f->status;
}

/* Guards against a caller who is told that an added route does not exist. */
static void
test_added_route_is_found_by_a_read (void **state)
{
  struct fixture *f = create_fixture (ONE_ROUTE, TWO_ROUTES);

  assert_int_equal (call (f, "/r2/", NULL), METHOD_REFUSED);
  assert_int_equal (call (f, "/r3/", NULL), 404);
  assert_int_equal (call (f, "/r2/not-an-id", NULL), 404);
  destroy_fixture (f);
}

/* Guards against a caller who is refused while the store withholds events: reads show the route. */
static void
test_added_route_is_found_while_events_are_withheld (void **state)
{
  struct fixture *f = create_fixture (ONE_ROUTE, TWO_ROUTES);

  fleet_store_set_mode (f->store, "mute");
  assert_int_equal (call (f, "/r2/", NULL), METHOD_REFUSED);
  destroy_fixture (f);
}

/* Guards against a refusal for good while the store does not say what is in force. */
static void
test_refusal_without_the_store_is_not_final (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_BUSY };
  struct fixture *f = create_fixture (ONE_ROUTE, TWO_ROUTES);

  fleet_store_fault_next (f->store, faults, 1);
  assert_int_equal (call (f, "/r2/", NULL), 503);
  f->store_answers = false;
  assert_int_equal (call (f, "/r2/", NULL), 503);
  assert_int_equal (fleet_store_calls (f->store), 1);
  assert_int_equal (call (f, "/r1/", NULL), METHOD_REFUSED);
  destroy_fixture (f);
}

/* Guards against a store that is flooded with reads by calls for unknown paths. */
static void
test_calls_for_unknown_paths_share_a_read (void **state)
{
  struct fixture *f = create_fixture (ONE_ROUTE, ONE_ROUTE);

  for (unsigned i = 0; i < CALLERS; i++)
    send_call (f, "/none/", NULL);
  wait_for_answers (f, CALLERS);
  assert_int_equal (f->status, 404);
  assert_int_equal (fleet_store_calls (f->store), 1);
  destroy_fixture (f);
}

/* Guards against a caller who is refused with a key that was added. */
static void
test_added_key_is_found_by_a_read (void **state)
{
  struct fixture *f = create_fixture (KEYS ("1", "old"), KEYS ("2", "new"));

  assert_int_equal (call (f, "/r1/", "new"), METHOD_REFUSED);
  assert_int_equal (call (f, "/r1/", "old"), 401);
  assert_int_equal (call (f, "/r1/", NULL), 401);
  destroy_fixture (f);
}

/* Guards against a removed route that is served while the daemon's watch is silent. */
static void
test_removed_route_is_not_served_by_a_stale_copy (void **state)
{
  struct fixture *f = create_fixture (ONE_ROUTE, NO_ROUTES);

  assert_int_equal (call (f, "/r1/", NULL), METHOD_REFUSED);
  f->config_age_ms = 1600;
  assert_int_equal (call (f, "/r1/", NULL), 404);
  destroy_fixture (f);
}

/* Guards against calls served by an old version for as long as the daemon fails to read a newer
 * one: the store answers, so that there may be a newer one. */
static void
test_copy_that_cannot_be_confirmed_is_not_served (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_BUSY, FLEET_FAULT_BUSY };
  struct fixture *f = create_fixture (ONE_ROUTE, NO_ROUTES);

  f->config_age_ms = 7800;
  fleet_store_fault_next (f->store, faults, G_N_ELEMENTS (faults));
  assert_int_equal (call (f, "/r1/", NULL), 503);
  f->store_answers = false;
  assert_int_equal (call (f, "/r1/", NULL), METHOD_REFUSED);
  destroy_fixture (f);
}

/* Guards against a removed route that is served while a call on an added one, which came before,
 * waits for a store that withholds events. */
static void
test_removed_route_is_not_served_beside_a_call_that_waits (void **state)
{
  struct fixture *f = create_fixture (ONE_ROUTE, OTHER_ROUTE);
  int64_t until = mt_loop_now () + 150;

  fleet_store_set_mode (f->store, "mute");
  send_call (f, "/r2/", NULL);
  while (mt_loop_now () < until)
    event_base_loop (f->base, EVLOOP_NONBLOCK);
  send_call (f, "/r1/", NULL);
  wait_for_answers (f, 2);
  assert_int_equal (f->not_found, 1);
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_added_route_is_found_by_a_read),
    cmocka_unit_test (test_added_route_is_found_while_events_are_withheld),
    cmocka_unit_test (test_refusal_without_the_store_is_not_final),
    cmocka_unit_test (test_calls_for_unknown_paths_share_a_read),
    cmocka_unit_test (test_added_key_is_found_by_a_read),
    cmocka_unit_test (test_removed_route_is_not_served_by_a_stale_copy),
    cmocka_unit_test (test_copy_that_cannot_be_confirmed_is_not_served),
    cmocka_unit_test (test_removed_route_is_not_served_beside_a_call_that_waits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
