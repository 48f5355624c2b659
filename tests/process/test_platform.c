/* The client of the platform's service against the stand-in, and against a server that sends what
 * no service should. */
#include "harness.h"
#include "medlartrack/error.h"
#include "platform.h"
#include "scripted.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <jansson.h>

#define CALL_US (500 * MT_MS)
#define KEY     "medlartrack/test/a"

static const char *build;

struct fixture
{
  struct harness *harness;
  struct process *service;
  struct scripted *scripted;
  struct mt_http_client *client;
  struct mt_platform *platform; /* of the stand-in */
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  const struct mt_clock *clock = mt_clock_system ();
  g_autofree char *address = NULL;

  f->harness = harness_create (build);
  f->service = harness_start_platform (f->harness);
  f->scripted = scripted_create ();
  f->client = mt_http_client_create (clock);
  address = g_strdup_printf ("127.0.0.1:%u", f->service->port);
  f->platform = mt_platform_create (f->client, clock, address, CALL_US);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_platform_destroy (f->platform);
  mt_http_client_destroy (f->client);
  scripted_destroy (f->scripted);
  harness_destroy (f->harness);
  g_free (f);
  return 0;
}

static void
put_fault (struct fixture *f, const char *fault)
{
  assert_int_equal (harness_status (f->harness, f->service, "PUT", "/fault", NULL, fault), 200);
}

static enum mt_store_write_result
put (struct mt_platform *platform, const char *value, uint64_t index)
{
  const struct mt_store *store = mt_platform_store (platform);

  return store->ops->put (store->ctx, KEY, mt_str_from (value), index, NULL);
}

static bool
holds (struct mt_platform *platform, const char *value)
{
  const struct mt_store *store = mt_platform_store (platform);
  struct mt_store_value found;
  bool same = store->ops->get (store->ctx, KEY, &found, NULL) && found.found
              && g_strcmp0 (found.data, value) == 0;

  mt_store_value_clear (&found);
  return same;
}

static void
test_compare_and_swap (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = mt_platform_store (f->platform);
  g_autoptr (GPtrArray) list = NULL;

  assert_int_equal (put (f->platform, "x", 0), MT_STORE_DONE);
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_CONFLICT);
  assert_true (holds (f->platform, "x"));
  assert_true (store->ops->list (store->ctx, "medlartrack/test/", &list, NULL));
  assert_int_equal (list->len, 1);
  assert_int_equal (store->ops->remove (store->ctx, "medlartrack/test/", NULL), MT_STORE_DONE);
  assert_false (holds (f->platform, "x"));
}

/* The service takes the write and closes without an answer: the caller must not be told that it
 * failed, nor may the client send it again, which would lose against its own first try. */
static void
test_lost_answer_is_unknown (void **state)
{
  struct fixture *f = *state;

  put_fault (f, "{\"lose_answers\":1}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  assert_true (holds (f->platform, "x"));
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_CONFLICT);
}

/* Down, the service closes each connection unanswered; gone, none can be made. Only the second is
 * certain to have had no effect. */
static void
test_down_and_gone (void **state)
{
  struct fixture *f = *state;

  put_fault (f, "{\"down\":true}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  assert_false (holds (f->platform, "x"));
  put_fault (f, "{}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_DONE);
  harness_kill (f->service);
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_FAILED);
}

/* The answer comes after the bound on a call; the write may have taken effect, and here it has. */
static void
test_slow_is_unknown (void **state)
{
  struct fixture *f = *state;

  put_fault (f, "{\"slow_ms\":3000}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  put_fault (f, "{}");
}

/* A proxy in between answers in the service's place: with other text, cut, without end, or not at
 * all. None of it passes for a value or for a write's outcome. */
static void
test_foreign_answers_tell_nothing (void **state)
{
  static const enum script scripts[]
      = { SCRIPT_COMPLETE, SCRIPT_TRUNCATED, SCRIPT_CLOSE, SCRIPT_OVERSIZED, SCRIPT_UNDELIMITED };
  struct fixture *f = *state;

  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      /* A client of its own: the breaker of one would refuse the later calls by itself. */
      struct mt_platform *platform = mt_platform_create (f->client, mt_clock_system (),
                                                         scripted_address (f->scripted), CALL_US);
      const struct mt_store *store = mt_platform_store (platform);
      struct mt_store_value value;
      GPtrArray *list = NULL;
      char *lease = NULL;

      scripted_set_scripts (f->scripted, &scripts[i], 1);
      assert_int_equal (put (platform, "x", 0), MT_STORE_UNKNOWN);
      assert_false (store->ops->get (store->ctx, KEY, &value, NULL));
      assert_false (store->ops->lease_grant (store->ctx, 10, &lease, NULL));
      assert_true (mt_breaker_is_open (mt_platform_breaker (platform)));
      assert_null (lease);
      mt_platform_destroy (platform);
      platform = mt_platform_create (f->client, mt_clock_system (), scripted_address (f->scripted),
                                     CALL_US);
      store = mt_platform_store (platform);
      assert_false (store->ops->list (store->ctx, KEY, &list, NULL));
      assert_null (list);
      mt_platform_destroy (platform);
    }
}

/* A watch that ends unchanged brings no value, whatever its size; a key whose name begins with the
 * watched one changes, and the watch neither takes it for its own nor answers at once for ever.
 * Then the key itself changes, and the watch brings what it is now. */
static void
test_watch_brings_only_what_changed (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = mt_platform_store (f->platform);
  struct mt_store_value value;
  uint64_t index;

  assert_int_equal (store->ops->put (store->ctx, KEY, MT_STR ("one"), 0, NULL), MT_STORE_DONE);
  assert_true (store->ops->watch (store->ctx, KEY, 0, 50 * MT_MS, &value, NULL));
  assert_string_equal (value.data, "one");
  index = value.index;
  mt_store_value_clear (&value);
  assert_true (store->ops->watch (store->ctx, KEY, index, 50 * MT_MS, &value, NULL));
  assert_true (value.unchanged && value.index == index && value.data == NULL);
  assert_int_equal (store->ops->put (store->ctx, KEY "-beside", MT_STR ("x"), 0, NULL),
                    MT_STORE_DONE);
  assert_true (store->ops->watch (store->ctx, KEY, index, 50 * MT_MS, &value, NULL));
  assert_true (value.unchanged && value.index == index);
  mt_store_value_clear (&value);
  assert_true (store->ops->watch (store->ctx, KEY, index, 50 * MT_MS, &value, NULL));
  assert_true (value.unchanged && value.data == NULL);
  assert_int_equal (store->ops->put (store->ctx, KEY, MT_STR ("two"), index, NULL), MT_STORE_DONE);
  assert_true (store->ops->watch (store->ctx, KEY, index, 50 * MT_MS, &value, NULL));
  assert_string_equal (value.data, "two");
  assert_false (value.unchanged);
  mt_store_value_clear (&value);
}

static int
count_reads (struct fixture *f)
{
  struct reply reply = harness_send (f->harness, f->service, "GET", "/calls", NULL, "");
  json_t *root = json_loads (reply.body, 0, NULL);
  int reads = (int) json_integer_value (json_object_get (root, "reads"));

  json_decref (root);
  reply_clear (&reply);
  return reads;
}

/* A fleet is started before its first tables are applied: there is nothing to wait at in the
 * platform's service, and each watch answers at once. The daemon must pause in between, or it alone
 * would take ten times the reads that the service has. A slow machine makes fewer of them, not
 * more. */
static void
test_empty_store_is_asked_seldom (void **state)
{
  struct fixture *f = *state;
  int before;

  harness_start_daemon (f->harness, "a", f->service, NULL);
  before = count_reads (f);
  g_usleep (2 * G_USEC_PER_SEC);
  assert_true (count_reads (f) - before < 100);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_compare_and_swap, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_answer_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_down_and_gone, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_slow_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_empty_store_is_asked_seldom, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_watch_brings_only_what_changed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_foreign_answers_tell_nothing, set_up, tear_down),
  };

  build = argc > 1 ? argv[1] : "build";
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
