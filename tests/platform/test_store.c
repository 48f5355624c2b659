#include "adapter.h"

#include <event2/event.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* No process listens on this address. */
#define NO_STORE "127.0.0.1:1"

struct fixture
{
  struct event_base *base;
  struct mt_calls *calls;
  struct mt_adapter *adapter;
  unsigned answers;
  unsigned relayed;
  char *path;
  int64_t timeout_ms;
};

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

  f->relayed++;
  g_free (f->path);
  f->path = g_strdup (path);
  f->timeout_ms = timeout_ms;
  done (data, 503, (struct mt_str){ "", 0 });
  return true;
}

static void
on_answer (void *data, const struct mt_kv_reply *reply)
{
  struct fixture *f = data;

  f->answers++;
  event_base_loopbreak (f->base);
}

static struct fixture *
create_fixture (void)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_adapter_settings settings = { .daemon = "d", .store = NO_STORE };

  f->base = event_base_new ();
  f->calls = mt_calls_create (f->base, NULL);
  f->adapter = mt_adapter_create (f->calls, &settings);
  mt_adapter_set_relay (f->adapter, relay, f);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_calls_destroy (f->calls);
  mt_adapter_destroy (f->adapter);
  event_base_free (f->base);
  g_free (f->path);
  g_free (f);
}

static void
fail_store_calls (struct fixture *f)
{
  struct mt_kv kv = mt_adapter_kv (f->adapter);

  while (mt_adapter_reaches_store (f->adapter))
    {
      mt_kv_read (&kv, "k", 1000, on_answer, f);
      event_base_dispatch (f->base);
    }
}

/* Guards against a daemon that misses a change of leader for seconds after the store is back,
 * because its watch waits at another daemon that was partitioned meanwhile. */
static void
test_forwarded_watch_has_a_short_wait (void **state)
{
  struct fixture *f = create_fixture ();
  struct mt_kv kv = mt_adapter_kv (f->adapter);

  fail_store_calls (f);
  kv.ops->watch (kv.ctx, "medlartrack/cluster/", 7, 5000, on_answer, f);
  assert_int_equal (f->relayed, 1);
  assert_non_null (strstr (f->path, "wait-ms=700"));
  assert_in_range (f->timeout_ms, 700, 1500);
  kv.ops->watch (kv.ctx, "op/config", 7, 300, on_answer, f);
  assert_non_null (strstr (f->path, "wait-ms=300"));
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_forwarded_watch_has_a_short_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
