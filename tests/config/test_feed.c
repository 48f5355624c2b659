#include "fake_store.h"
#include "feed.h"
#include "medlartrack/acceptance.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define POLL_US  1000
#define PATIENCE 20000 /* polls before a test gives up */

/* A feed's thread may be just about to look at its store when a test is over: scenes stay. */
static GPtrArray *scenes;

/* The fake store with a watch that really waits, until the value changes or the test releases it.
 */
struct scene
{
  struct fake_store *fake;
  struct mt_store_ops ops;
  struct mt_store store;
  struct mt_view_holder *views;
  struct mt_feed *feed;
  gint released;
  gint waiting; /* watches under way */
};

static bool
watch (void *ctx,
       const char *key,
       uint64_t index,
       int64_t wait_us,
       struct mt_store_value *out,
       GError **error)
{
  struct scene *scene = ctx;
  const struct mt_store *store = fake_store_store (scene->fake);
  bool ok;

  g_atomic_int_inc (&scene->waiting);
  for (;;)
    {
      ok = store->ops->get (store->ctx, key, out, error);
      if (!ok || out->index != index || g_atomic_int_get (&scene->released))
        break;
      mt_store_value_clear (out);
      g_usleep (POLL_US);
    }
  g_atomic_int_add (&scene->waiting, -1);
  return ok;
}

static bool
get (void *ctx, const char *key, struct mt_store_value *out, GError **error)
{
  const struct mt_store *store = fake_store_store (((struct scene *) ctx)->fake);

  return store->ops->get (store->ctx, key, out, error);
}

static enum mt_store_write_result
put (void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error)
{
  const struct mt_store *store = fake_store_store (((struct scene *) ctx)->fake);

  return store->ops->put (store->ctx, key, value, index, error);
}

static int
setup (void **state)
{
  struct scene *scene = g_new0 (struct scene, 1);
  struct mt_feed_options options = { .clock = mt_clock_system () };

  scene->fake = fake_store_create (mt_clock_system ());
  scene->ops
      = (struct mt_store_ops){ .name = "slow-watch", .get = get, .watch = watch, .put = put };
  scene->store = (struct mt_store){ &scene->ops, scene };
  scene->views = mt_view_holder_create (mt_clock_system ());
  options.views = scene->views;
  options.store = &scene->store;
  scene->feed = mt_feed_create (&options);
  *state = scene;
  return 0;
}

static void
wait_for_no_watch (struct scene *scene)
{
  for (int i = 0; i < PATIENCE && g_atomic_int_get (&scene->waiting) > 0; i++)
    g_usleep (POLL_US);
  assert_int_equal (g_atomic_int_get (&scene->waiting), 0);
}

static int
teardown (void **state)
{
  struct scene *scene = *state;

  if (scene->feed != NULL)
    mt_feed_destroy (scene->feed);
  g_atomic_int_set (&scene->released, 1);
  wait_for_no_watch (scene);
  mt_view_holder_destroy (scene->views);
  g_ptr_array_add (scenes, scene);
  return 0;
}

static void
force (struct scene *scene, unsigned version, const char *id)
{
  g_autofree char *text
      = g_strdup_printf ("{\"version\":%u,\"id\":\"%s\",\"routes\":[],\"pools\":[]}", version, id);

  fake_store_force (scene->fake, MT_TABLES_KEY, text);
}

static bool
store_has (struct scene *scene, const char *part)
{
  struct mt_store_value value;
  bool has;

  assert_true (get (scene, MT_TABLES_KEY, &value, NULL));
  has = value.found && strstr (value.data, part) != NULL;
  mt_store_value_clear (&value);
  return has;
}

static void
wait_for_version (struct scene *scene, uint64_t version)
{
  for (int i = 0; i < PATIENCE && mt_view_version (scene->views) != version; i++)
    g_usleep (POLL_US);
  assert_int_equal (mt_view_version (scene->views), version);
}

static void
wait_for_stored (struct scene *scene, const char *part)
{
  for (int i = 0; i < PATIENCE && !store_has (scene, part); i++)
    g_usleep (POLL_US);
  assert_true (store_has (scene, part));
}

/* The value forced last has been through the feed: one read gave it, the next came after. */
static void
wait_until_seen (struct scene *scene)
{
  uint64_t reads = fake_store_reads (scene->fake);

  for (int i = 0; i < PATIENCE && fake_store_reads (scene->fake) < reads + 3; i++)
    g_usleep (POLL_US);
  assert_true (fake_store_reads (scene->fake) >= reads + 3);
}

/* The platform's store comes back from a backup, then empty: the daemon keeps serving version 7 and
 * puts it back both times. */
static void
test_feed_writes_a_restored_store_forward (void **state)
{
  struct scene *scene = *state;

  force (scene, 7, "seven");
  wait_for_version (scene, 7);
  force (scene, 5, "five");
  wait_for_stored (scene, "seven");
  fake_store_force (scene->fake, MT_TABLES_KEY, NULL);
  wait_for_stored (scene, "seven");
  assert_int_equal (mt_view_version (scene->views), 7);
  force (scene, 8, "eight");
  wait_for_version (scene, 8);
}

/* Another document turns up under the version in force: it is neither taken nor written over. */
static void
test_feed_keeps_what_it_holds_on_a_fork (void **state)
{
  struct scene *scene = *state;
  const struct mt_tables *held;

  force (scene, 7, "seven");
  wait_for_version (scene, 7);
  force (scene, 7, "other");
  wait_until_seen (scene);
  assert_true (store_has (scene, "other"));
  held = mt_view_begin (scene->views);
  assert_string_equal (held->id.data, "seven");
  mt_view_end ();
  force (scene, 8, "eight");
  wait_for_version (scene, 8);
}

/* SIGTERM comes while the daemon waits in a watch that won't end: the stop goes on at once, and
 * what the watch brings later touches nothing. */
static void
test_feed_stops_while_a_watch_waits (void **state)
{
  struct scene *scene = *state;

  force (scene, 7, "seven");
  wait_for_version (scene, 7);
  for (int i = 0; i < PATIENCE && g_atomic_int_get (&scene->waiting) == 0; i++)
    g_usleep (POLL_US);
  assert_int_equal (g_atomic_int_get (&scene->waiting), 1);
  mt_feed_destroy (scene->feed);
  scene->feed = NULL;
  assert_int_equal (g_atomic_int_get (&scene->waiting), 1);
  force (scene, 8, "eight");
  wait_for_no_watch (scene);
  assert_int_equal (mt_view_version (scene->views), 7);
}

/* The platform is down when the daemon starts and comes back with tables. */
static void
test_feed_takes_tables_after_an_outage (void **state)
{
  struct scene *scene = *state;

  fake_store_set_down (scene->fake, true);
  force (scene, 3, "three");
  fake_store_set_down (scene->fake, false);
  wait_for_version (scene, 3);
}

int
main (void)
{
#define FEED_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    FEED_TEST (test_feed_writes_a_restored_store_forward),
    FEED_TEST (test_feed_keeps_what_it_holds_on_a_fork),
    FEED_TEST (test_feed_stops_while_a_watch_waits),
    FEED_TEST (test_feed_takes_tables_after_an_outage),
  };

  scenes = g_ptr_array_new ();
  return cmocka_run_group_tests_name ("feed", tests, NULL, NULL);
}
