/* The platform client against the stand-in, and against a server that sends invalid answers. */
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

#define CALL_TIMEOUT_US (500 * MT_MS)
#define KEY             "medlartrack/test/a"

static const char *build;

struct fixture
{
  struct harness *harness;
  struct process *service;
  struct scripted *scripted;
  struct mt_http_client *client;
  struct mt_platform *platform; /* client of the stand-in */
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
  f->platform = mt_platform_create (f->client, clock, address, CALL_TIMEOUT_US);
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
set_fault (struct fixture *f, const char *fault)
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
has_value (struct mt_platform *platform, const char *value)
{
  const struct mt_store *store = mt_platform_store (platform);
  struct mt_store_value found;
  bool matches = store->ops->get (store->ctx, KEY, &found, NULL) && found.found
                 && g_strcmp0 (found.data, value) == 0;

  mt_store_value_clear (&found);
  return matches;
}

static void
test_compare_and_swap (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = mt_platform_store (f->platform);
  g_autoptr (GPtrArray) list = NULL;

  assert_int_equal (put (f->platform, "x", 0), MT_STORE_DONE);
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_CONFLICT);
  assert_true (has_value (f->platform, "x"));
  assert_true (store->ops->list (store->ctx, "medlartrack/test/", &list, NULL));
  assert_int_equal (list->len, 1);
  assert_int_equal (store->ops->remove (store->ctx, "medlartrack/test/", NULL), MT_STORE_DONE);
  assert_false (has_value (f->platform, "x"));
}

/* The service executes the write and closes without an answer. The caller must not be told that
 * the write failed, and the client must not resend it: the second try would conflict with the
 * first. */
static void
test_lost_answer_is_unknown (void **state)
{
  struct fixture *f = *state;

  set_fault (f, "{\"lose_answers\":1}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  assert_true (has_value (f->platform, "x"));
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_CONFLICT);
}

/* When the service is down it closes each connection without an answer; when it is gone no
 * connection can be made. Only in the second case is it certain that a write had no effect. */
static void
test_unanswered_and_refused_connections (void **state)
{
  struct fixture *f = *state;

  set_fault (f, "{\"down\":true}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  assert_false (has_value (f->platform, "x"));
  set_fault (f, "{}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_DONE);
  harness_kill (f->service);
  assert_int_equal (put (f->platform, "y", 0), MT_STORE_FAILED);
}

/* The answer arrives after the call timeout. The write may have taken effect, and here it has. */
static void
test_slow_answer_is_unknown (void **state)
{
  struct fixture *f = *state;

  set_fault (f, "{\"slow_ms\":3000}");
  assert_int_equal (put (f->platform, "x", 0), MT_STORE_UNKNOWN);
  set_fault (f, "{}");
}

/* A proxy answers in place of the service: with other text, truncated, without an end, or not at
 * all. No such answer may be taken for a value or for the outcome of a write. */
static void
test_invalid_answers_give_no_result (void **state)
{
  static const enum script scripts[]
      = { SCRIPT_COMPLETE, SCRIPT_TRUNCATED, SCRIPT_CLOSE, SCRIPT_OVERSIZED, SCRIPT_UNDELIMITED };
  struct fixture *f = *state;

  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      /* A separate client: the breaker of a shared one would refuse the later calls. */
      struct mt_platform *platform = mt_platform_create (
          f->client, mt_clock_system (), scripted_address (f->scripted), CALL_TIMEOUT_US);
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
                                     CALL_TIMEOUT_US);
      store = mt_platform_store (platform);
      assert_false (store->ops->list (store->ctx, KEY, &list, NULL));
      assert_null (list);
      mt_platform_destroy (platform);
    }
}

/* A watch that ends without a change returns no value, whatever its size. A change of another
 * key that starts with the watched key is not taken for a change of it, and does not make the
 * watch return at once for ever. After a change of the key itself the watch returns its current
 * value. */
static void
test_watch_returns_only_changes_of_its_key (void **state)
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

/* A fleet is started before its first tables are applied: there is no key to watch in the
 * platform, and each watch returns at once. The daemon must pause between watches, or it alone
 * would issue ten times the reads that the service handles. A slow machine makes fewer reads,
 * not more. */
static void
test_empty_store_is_polled_with_pauses (void **state)
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
    cmocka_unit_test_setup_teardown (test_unanswered_and_refused_connections, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_slow_answer_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_empty_store_is_polled_with_pauses, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_watch_returns_only_changes_of_its_key, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_invalid_answers_give_no_result, set_up, tear_down),
  };

  build = argc > 1 ? argv[1] : "build";
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
