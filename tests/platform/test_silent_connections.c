/* The adapter's store calls while open connections fall silent without a reset, against the
 * stand-in store behind a proxy in the same process. */
#include "store_fixture.h"
#include "watcher.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define IDLE_CONNECTIONS 3
#define SHORT_WAIT_MS    100
/* No process listens on this address. */
#define NO_STORE "127.0.0.1:1"

struct fixture
{
  struct store_fixture s;
  unsigned replies;
  mt_adapter_call_done relayed; /* a call through another daemon that is not answered; NULL: none */
  void *relayed_data;
  char *value; /* as last reported by the watcher */
};

/* The connection to the other daemon is silent, too. */
static bool
relay (void *ctx,
       const char *method,
       const char *path,
       struct mt_str body,
       int64_t timeout_ms,
       mt_adapter_call_done done,
       void *data)
{
  struct fixture *f = ctx;

  if (f->relayed != NULL)
    return false;
  f->relayed = done;
  f->relayed_data = data;
  return true;
}

static struct fixture *
create_fixture (bool hedge)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  store_fixture_init (&f->s, hedge);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  if (f->relayed != NULL)
    f->relayed (f->relayed_data, 0, (struct mt_str){ "", 0 });
  store_fixture_clear (&f->s);
  g_free (f->value);
  g_free (f);
}

static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct fixture *f = ctx;

  g_free (f->value);
  f->value = g_strndup (item->value.data, item->value.len);
}

static void
wait_for_value (struct fixture *f, const char *value)
{
  while (g_strcmp0 (f->value, value) != 0)
    event_base_loop (f->s.base, EVLOOP_ONCE);
}

static void
wait_for_watch (struct fixture *f)
{
  while (fleet_store_watches (f->s.store) == 0)
    event_base_loop (f->s.base, EVLOOP_ONCE);
}

static void
on_reply (void *data, const struct mt_kv_reply *reply)
{
  ((struct fixture *) data)->replies++;
}

static void
set_store (struct fixture *f, const char *address)
{
  struct mt_adapter_settings settings = { .store = address };

  mt_adapter_set_addresses (f->s.adapter, &settings);
}

/* Makes the adapter send its calls through another daemon. */
static void
fail_direct_calls (struct fixture *f)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", proxy_port (f->s.proxy));

  set_store (f, NO_STORE);
  while (mt_adapter_reaches_store (f->s.adapter))
    {
      unsigned before = f->replies;

      mt_kv_read (&f->s.kv, "k", 1000, on_reply, f);
      while (f->replies == before)
        event_base_loop (f->s.base, EVLOOP_ONCE);
    }
  set_store (f, address);
}

/* Opens connections as the watches of lost leaderships leave them. */
static void
leave_idle_connections (struct fixture *f)
{
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    f->s.kv.ops->watch (f->s.kv.ctx, "lost/", 1, SHORT_WAIT_MS, on_reply, f);
  while (f->replies < IDLE_CONNECTIONS)
    event_base_loop (f->s.base, EVLOOP_ONCE);
}

/* Guards against a change that is seen only after one time-out for each idle connection: all of
 * them have fallen silent with the one that was in use. */
static void
test_watch_avoids_idle_connections_after_a_time_out (void **state)
{
  struct fixture *f = create_fixture (false);
  struct mt_watcher_options options
      = { .prefix = "config", .wait_ms = SHORT_WAIT_MS, .on_item = on_item, .ctx = f };
  struct mt_watcher *watcher;

  fleet_store_put (f->s.store, "config", "1");
  leave_idle_connections (f);
  watcher = mt_watcher_create (f->s.base, f->s.kv, &options);
  wait_for_value (f, "1");
  fleet_store_put (f->s.store, "config", "2");
  wait_for_value (f, "2");
  wait_for_watch (f);
  assert_true (proxy_connections (f->s.proxy) >= IDLE_CONNECTIONS);
  proxy_silence (f->s.proxy);
  fleet_store_put (f->s.store, "config", "3");
  wait_for_value (f, "3");
  assert_int_equal (proxy_swallowed (f->s.proxy), 0);
  mt_watcher_destroy (watcher);
  destroy_fixture (f);
}

/* Guards against daemons that all stop calling the store and are turned away by each other, because
 * the store has cut their watches (it does so when it compacts its history). */
static void
test_unanswered_watches_do_not_show_an_unreachable_store (void **state)
{
  struct fixture *f = create_fixture (false);

  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    f->s.kv.ops->watch (f->s.kv.ctx, "k/", 1, SHORT_WAIT_MS, on_reply, f);
  while (fleet_store_watches (f->s.store) < IDLE_CONNECTIONS)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  proxy_silence (f->s.proxy);
  while (f->replies < IDLE_CONNECTIONS)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  assert_true (mt_adapter_reaches_store (f->s.adapter));
  destroy_fixture (f);
}

/* Guards against a change that is seen only after further time-outs, because the call that follows
 * a failed watch goes through a daemon to which the connection is silent, too. */
static void
test_failed_watch_is_retried_on_two_ways (void **state)
{
  struct fixture *f = create_fixture (true);
  struct mt_watcher_options options
      = { .prefix = "config", .wait_ms = SHORT_WAIT_MS, .on_item = on_item, .ctx = f };
  struct mt_watcher *watcher;

  fleet_store_put (f->s.store, "config", "1");
  watcher = mt_watcher_create (f->s.base, f->s.kv, &options);
  wait_for_value (f, "1");
  wait_for_watch (f);
  proxy_silence (f->s.proxy);
  fleet_store_put (f->s.store, "config", "2");
  fail_direct_calls (f);
  mt_adapter_set_relay (f->s.adapter, relay, f);
  wait_for_value (f, "2");
  mt_watcher_destroy (watcher);
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_watch_avoids_idle_connections_after_a_time_out),
    cmocka_unit_test (test_failed_watch_is_retried_on_two_ways),
    cmocka_unit_test (test_unanswered_watches_do_not_show_an_unreachable_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
