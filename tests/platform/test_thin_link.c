/* Configurations that take long to transfer: the adapter's store calls over a link of 10 Mbit/s. */
#include "config_check.h"
#include "loop.h"
#include "store_fixture.h"
#include "watcher.h"

#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LINK_BYTES_PER_S 1250000
#define KEY              "config"
#define WAIT_MS          1000
#define FAIL_AFTER_MS    30000
#define WORK_MS          2000
/* Some 10,000 routes: 2.2 s on the link. */
#define LARGE_BYTES 2100000U
/* Some 20,000 routes: 4.5 s. */
#define HUGE_BYTES 4200000U

struct fixture
{
  struct store_fixture s;
  struct mt_watcher *watcher;
  struct mt_config_check *check;
  size_t len; /* of the value last reported */
  unsigned checked;
  bool confirmed; /* by the last check */
};

static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct fixture *f = ctx;

  f->len = item->value.len;
}

static int64_t
revision (void *ctx)
{
  return mt_watcher_revision (((struct fixture *) ctx)->watcher);
}

static struct fixture *
create_fixture (void)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_watcher_options watch
      = { .prefix = KEY, .wait_ms = WAIT_MS, .on_item = on_item, .ctx = f };
  struct mt_config_check_options check
      = { .key = KEY, .revision = revision, .on_item = on_item, .ctx = f };

  store_fixture_init (&f->s, true);
  fleet_store_put (f->s.store, KEY, "small");
  f->watcher = mt_watcher_create (f->s.base, f->s.kv, &watch);
  check.kv = f->s.kv;
  f->check = mt_config_check_create (&check);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_watcher_destroy (f->watcher);
  store_fixture_clear (&f->s);
  mt_config_check_destroy (f->check);
  g_free (f);
}

static void
put (struct fixture *f, size_t len)
{
  g_autofree char *value = g_strnfill (len, 'r');

  fleet_store_put (f->s.store, KEY, value);
}

static void
wait_for_value (struct fixture *f, size_t len)
{
  int64_t limit = mt_loop_now () + FAIL_AFTER_MS;

  while (f->len != len && mt_loop_now () < limit)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  assert_int_equal (f->len, len);
}

/* Returns the bytes that are transferred for a value: in base64, beside some headers. */
static size_t
transfer_bytes (size_t len)
{
  return len / 3 * 4;
}

/* Limits the link once the first value has arrived. Returns the bytes received by then. */
static size_t
limit_link (struct fixture *f)
{
  wait_for_value (f, strlen ("small"));
  proxy_limit (f->s.proxy, LINK_BYTES_PER_S);
  return proxy_received (f->s.proxy);
}

/* Guards against a change that is never in force, because its transfer takes longer than a watch,
 * whose time-out discards what has arrived. */
static void
test_change_that_outlasts_a_watch_is_received (void **state)
{
  struct fixture *f = create_fixture ();
  size_t before = limit_link (f);

  put (f, LARGE_BYTES);
  wait_for_value (f, LARGE_BYTES);
  assert_true (proxy_received (f->s.proxy) - before < transfer_bytes (LARGE_BYTES) * 11 / 10);
  destroy_fixture (f);
}

/* Guards against a configuration that is never in force, because the client drops answers of more
 * than a few megabytes. */
static void
test_configuration_of_20000_routes_is_received (void **state)
{
  struct fixture *f = create_fixture ();

  put (f, HUGE_BYTES);
  wait_for_value (f, HUGE_BYTES);
  destroy_fixture (f);
}

/* Guards against a daemon that falls behind for good while versions follow each other faster than
 * one is transferred: of those that it missed it needs the newest only. */
static void
test_missed_versions_are_skipped (void **state)
{
  struct fixture *f = create_fixture ();
  size_t before = limit_link (f);

  put (f, LARGE_BYTES);
  while (proxy_received (f->s.proxy) - before < LARGE_BYTES)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  for (size_t i = 1; i <= 4; i++)
    put (f, LARGE_BYTES + i);
  wait_for_value (f, LARGE_BYTES + 4);
  assert_true (proxy_received (f->s.proxy) - before < transfer_bytes (LARGE_BYTES) * 5 / 2);
  destroy_fixture (f);
}

static void
on_checked (void *data, bool confirmed)
{
  struct fixture *f = data;

  f->checked++;
  f->confirmed = confirmed;
}

/* Guards against a daemon on a thin link that refuses every call for an unknown path with 503, as
 * it reads the whole configuration to learn that it has not changed. */
static void
test_unchanged_configuration_is_confirmed_without_a_transfer (void **state)
{
  struct fixture *f = create_fixture ();
  size_t before;

  put (f, LARGE_BYTES);
  wait_for_value (f, LARGE_BYTES);
  proxy_limit (f->s.proxy, LINK_BYTES_PER_S);
  before = proxy_received (f->s.proxy);
  mt_config_check_request (f->check, on_checked, f);
  while (f->checked == 0)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  assert_true (f->confirmed);
  assert_true (proxy_received (f->s.proxy) - before < 4096);
  destroy_fixture (f);
}

static void
on_reply (void *data, const struct mt_kv_reply *reply)
{
  struct fixture *f = data;

  f->checked++;
  f->confirmed = reply->status == MT_KV_OK;
}

static void
read_after_work (void *ctx)
{
  struct fixture *f = ctx;

  g_usleep (WORK_MS * 1000);
  f->s.kv.ops->watch (f->s.kv.ctx, KEY, 1, WORK_MS / 2, on_reply, f);
}

/* Guards against a call that ends without an answer because this daemon was busy before: it read a
 * large configuration, and the time-outs set then began with its reading. */
static void
test_time_out_begins_after_the_work_before_it (void **state)
{
  struct fixture *f = create_fixture ();
  struct mt_timer *timer = mt_timer_create (f->s.base, read_after_work, f);

  wait_for_value (f, strlen ("small"));
  mt_timer_set (timer, 0);
  while (f->checked == 0)
    event_base_loop (f->s.base, EVLOOP_ONCE);
  assert_true (f->confirmed);
  mt_timer_destroy (timer);
  destroy_fixture (f);
}

static void
hold_call (void *ctx, struct mt_exchange *exchange)
{
}

/* Guards against a process that ends by a fatal error of the server's library, as a call arrives
 * while it stops: the call was handed out and suspended after all others had been answered. */
static void
test_call_that_arrives_as_the_server_ends_is_refused (void **state)
{
  struct event_base *base = mt_loop_create ();
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 4,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 4096,
                                           .handle = hold_call };
  struct mt_http_front *front = mt_http_front_create (base, &options, NULL);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t) mt_http_front_port (front)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  char answer[16] = "";
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  for (int i = 0; i < 10; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  assert_int_equal (write (fd, request, sizeof request - 1), sizeof request - 1);
  mt_http_front_destroy (front);
  assert_true (read (fd, answer, 12) == 12);
  assert_memory_equal (answer, "HTTP/1.1 503", 12);
  close (fd);
  event_base_free (base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_that_outlasts_a_watch_is_received),
    cmocka_unit_test (test_configuration_of_20000_routes_is_received),
    cmocka_unit_test (test_missed_versions_are_skipped),
    cmocka_unit_test (test_call_that_arrives_as_the_server_ends_is_refused),
    cmocka_unit_test (test_time_out_begins_after_the_work_before_it),
    cmocka_unit_test (test_unchanged_configuration_is_confirmed_without_a_transfer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
