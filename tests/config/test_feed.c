#include "fake_store.h"
#include "feed.h"
#include "medlartrack/acceptance.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define POLL_US   1000
#define MAX_POLLS 20000 /* polls before a test fails */

/* A feed's thread may still access its store after the test has ended, so fixtures are never
 * freed. */
static GPtrArray *fixtures;

/* The fake store, with a watch that blocks until the value changes or the test releases it. */
struct fixture
{
  struct fake_store *fake;
  struct mt_store_ops ops;
  struct mt_store store;
  struct mt_view_holder *views;
  struct mt_feed *feed;
  gint released;
  gint waiting; /* watches that are blocked */
};

static bool
watch (void *ctx,
       const char *key,
       uint64_t index,
       int64_t wait_us,
       struct mt_store_value *out,
       GError **error)
{
  struct fixture *fixture = ctx;
  const struct mt_store *store = fake_store_store (fixture->fake);
  bool ok;

  g_atomic_int_inc (&fixture->waiting);
  for (;;)
    {
      ok = store->ops->get (store->ctx, key, out, error);
      if (!ok || out->index != index || g_atomic_int_get (&fixture->released))
        break;
      mt_store_value_clear (out);
      g_usleep (POLL_US);
    }
  g_atomic_int_add (&fixture->waiting, -1);
  return ok;
}

static bool
get (void *ctx, const char *key, struct mt_store_value *out, GError **error)
{
  const struct mt_store *store = fake_store_store (((struct fixture *) ctx)->fake);

  return store->ops->get (store->ctx, key, out, error);
}

static enum mt_store_write_result
put (void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error)
{
  const struct mt_store *store = fake_store_store (((struct fixture *) ctx)->fake);

  return store->ops->put (store->ctx, key, value, index, error);
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct mt_feed_options options = { .clock = mt_clock_system () };

  fixture->fake = fake_store_create (mt_clock_system ());
  fixture->ops
      = (struct mt_store_ops){ .name = "slow-watch", .get = get, .watch = watch, .put = put };
  fixture->store = (struct mt_store){ &fixture->ops, fixture };
  fixture->views = mt_view_holder_create (mt_clock_system ());
  options.views = fixture->views;
  options.store = &fixture->store;
  fixture->feed = mt_feed_create (&options);
  *state = fixture;
  return 0;
}

static void
wait_for_no_watch (struct fixture *fixture)
{
  for (int i = 0; i < MAX_POLLS && g_atomic_int_get (&fixture->waiting) > 0; i++)
    g_usleep (POLL_US);
  assert_int_equal (g_atomic_int_get (&fixture->waiting), 0);
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  if (fixture->feed != NULL)
    mt_feed_destroy (fixture->feed);
  g_atomic_int_set (&fixture->released, 1);
  wait_for_no_watch (fixture);
  mt_view_holder_destroy (fixture->views);
  g_ptr_array_add (fixtures, fixture);
  return 0;
}

static void
force (struct fixture *fixture, unsigned version, const char *id)
{
  g_autofree char *text
      = g_strdup_printf ("{\"version\":%u,\"id\":\"%s\",\"routes\":[],\"pools\":[]}", version, id);

  fake_store_force (fixture->fake, MT_TABLES_KEY, text);
}

static bool
store_has (struct fixture *fixture, const char *part)
{
  struct mt_store_value value;
  bool has;

  assert_true (get (fixture, MT_TABLES_KEY, &value, NULL));
  has = value.found && strstr (value.data, part) != NULL;
  mt_store_value_clear (&value);
  return has;
}

static void
wait_for_version (struct fixture *fixture, uint64_t version)
{
  for (int i = 0; i < MAX_POLLS && mt_view_version (fixture->views) != version; i++)
    g_usleep (POLL_US);
  assert_int_equal (mt_view_version (fixture->views), version);
}

static void
wait_for_stored (struct fixture *fixture, const char *part)
{
  for (int i = 0; i < MAX_POLLS && !store_has (fixture, part); i++)
    g_usleep (POLL_US);
  assert_true (store_has (fixture, part));
}

/* Waits until the feed has read the value forced last and then read again. */
static void
wait_until_seen (struct fixture *fixture)
{
  uint64_t reads = fake_store_reads (fixture->fake);

  for (int i = 0; i < MAX_POLLS && fake_store_reads (fixture->fake) < reads + 3; i++)
    g_usleep (POLL_US);
  assert_true (fake_store_reads (fixture->fake) >= reads + 3);
}

/* Guards against reverted tables when the platform's store is restored from a backup, and then
 * empty: the daemon keeps serving version 7 and writes it back both times. */
static void
test_feed_repairs_a_restored_store (void **state)
{
  struct fixture *fixture = *state;

  force (fixture, 7, "seven");
  wait_for_version (fixture, 7);
  force (fixture, 5, "five");
  wait_for_stored (fixture, "seven");
  fake_store_force (fixture->fake, MT_TABLES_KEY, NULL);
  wait_for_stored (fixture, "seven");
  assert_int_equal (mt_view_version (fixture->views), 7);
  force (fixture, 8, "eight");
  wait_for_version (fixture, 8);
}

/* Guards against accepting or overwriting another document that has the version in force. */
static void
test_feed_keeps_held_tables_on_a_fork (void **state)
{
  struct fixture *fixture = *state;
  const struct mt_tables *held;

  force (fixture, 7, "seven");
  wait_for_version (fixture, 7);
  force (fixture, 7, "other");
  wait_until_seen (fixture);
  assert_true (store_has (fixture, "other"));
  held = mt_view_begin (fixture->views);
  assert_string_equal (held->id.data, "seven");
  mt_view_end ();
  force (fixture, 8, "eight");
  wait_for_version (fixture, 8);
}

/* Guards against a stop that waits for a blocked watch: it must finish at once, and the watch's
 * later result must have no effect. */
static void
test_feed_stops_while_a_watch_waits (void **state)
{
  struct fixture *fixture = *state;

  force (fixture, 7, "seven");
  wait_for_version (fixture, 7);
  for (int i = 0; i < MAX_POLLS && g_atomic_int_get (&fixture->waiting) == 0; i++)
    g_usleep (POLL_US);
  assert_int_equal (g_atomic_int_get (&fixture->waiting), 1);
  mt_feed_destroy (fixture->feed);
  fixture->feed = NULL;
  assert_int_equal (g_atomic_int_get (&fixture->waiting), 1);
  force (fixture, 8, "eight");
  wait_for_no_watch (fixture);
  assert_int_equal (mt_view_version (fixture->views), 7);
}

/* The platform is down when the daemon starts, and then comes back with tables. */
static void
test_feed_accepts_tables_after_an_outage (void **state)
{
  struct fixture *fixture = *state;

  fake_store_set_down (fixture->fake, true);
  force (fixture, 3, "three");
  fake_store_set_down (fixture->fake, false);
  wait_for_version (fixture, 3);
}

int
main (void)
{
#define FEED_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    FEED_TEST (test_feed_repairs_a_restored_store),
    FEED_TEST (test_feed_keeps_held_tables_on_a_fork),
    FEED_TEST (test_feed_stops_while_a_watch_waits),
    FEED_TEST (test_feed_accepts_tables_after_an_outage),
  };

  fixtures = g_ptr_array_new ();
  return cmocka_run_group_tests_name ("feed", tests, NULL, NULL);
}
