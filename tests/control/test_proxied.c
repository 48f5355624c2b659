#include "fake_store.h"
#include "proxied.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

struct fixture
{
  struct mt_clock_manual *manual;
  struct fake_store *fake;
  struct mt_view_holder *views;
  struct mt_proxied *proxied;
  unsigned held;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_assign *assign = mt_assign_create ();
  struct mt_assign *next = mt_assign_next (assign, "n");

  f->manual = mt_clock_manual_create (MT_SECOND);
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  f->views = mt_view_holder_create (mt_clock_manual_clock (f->manual));
  f->proxied = mt_proxied_create (f->views, "west");
  mt_assign_add (next, "serving", "p", 1);
  mt_assign_drain (next, mt_assign_add (next, "draining", "p", 1), MT_GOAL_MOVE, "q", 1);
  mt_view_offer_assign (f->views, next);
  mt_assign_destroy (assign);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_proxied_destroy (f->proxied);
  mt_view_holder_destroy (f->views);
  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static void
count_held (void *ctx, const char *instance, unsigned in_flight)
{
  struct fixture *f = ctx;

  assert_string_equal (instance, "draining");
  f->held += in_flight;
}

static unsigned
held (struct fixture *f)
{
  f->held = 0;
  mt_proxied_each_draining (f->proxied, count_held, f);
  return f->held;
}

/* A daemon partitioned from the platform gets the assignment from this one. The planner doesn't
 * know of it, and would move the draining instance while that daemon still sends it requests. So
 * this daemon must report the drain as held until it has written the other daemon's key, which the
 * planner then waits for. */
static void
test_forwarded_document_holds_drains_until_registered (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = fake_store_store (f->fake);

  assert_int_equal (held (f), 0);
  fake_store_set_down (f->fake, true);
  assert_true (mt_proxied_add (f->proxied, MT_STR ("cut-off")));
  mt_proxied_register (f->proxied, store);
  assert_int_equal (held (f), 1);
  fake_store_set_down (f->fake, false);
  mt_proxied_register (f->proxied, store);
  assert_int_equal (held (f), 0);
  assert_int_equal (fake_store_count (f->fake, MT_HOLDERS_PREFIX "west/cut-off/"), 1);
}

/* The write of the key or its answer is lost: the drain must stay held until a read shows the
 * key. */
static void
test_lost_write_keeps_holding (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = fake_store_store (f->fake);

  assert_true (mt_proxied_add (f->proxied, MT_STR ("cut-off")));
  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_REQUEST, 1, true);
  mt_proxied_register (f->proxied, store);
  assert_int_equal (held (f), 1);
  mt_proxied_register (f->proxied, store);
  assert_int_equal (held (f), 0);
}

static void
test_registered_daemon_costs_only_a_read (void **state)
{
  struct fixture *f = *state;
  uint64_t writes;

  fake_store_force (f->fake, MT_HOLDERS_PREFIX "west/known/", "{}");
  writes = fake_store_writes (f->fake);
  assert_true (mt_proxied_add (f->proxied, MT_STR ("known")));
  mt_proxied_register (f->proxied, fake_store_store (f->fake));
  assert_int_equal (mt_proxied_count (f->proxied), 0);
  assert_true (fake_store_writes (f->fake) == writes);
}

/* Guards against a frame with a forged sender that writes keys elsewhere in the store or fills the
 * memory. */
static void
test_forged_names_are_rejected (void **state)
{
  struct fixture *f = *state;

  assert_false (mt_proxied_add (f->proxied, MT_STR ("")));
  assert_false (mt_proxied_add (f->proxied, MT_STR ("../tables")));
  assert_false (mt_proxied_add (f->proxied, MT_STR ("a?cas=0")));
  for (unsigned i = 0; i < 300; i++)
    {
      g_autofree char *name = g_strdup_printf ("d%u", i);

      mt_proxied_add (f->proxied, mt_str_from (name));
    }
  assert_int_equal (mt_proxied_count (f->proxied), 256);
  assert_false (mt_proxied_add (f->proxied, MT_STR ("one-more")));
}

int
main (void)
{
#define PROXIED_TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    PROXIED_TEST (test_forwarded_document_holds_drains_until_registered),
    PROXIED_TEST (test_lost_write_keeps_holding),
    PROXIED_TEST (test_registered_daemon_costs_only_a_read),
    PROXIED_TEST (test_forged_names_are_rejected),
  };

  return cmocka_run_group_tests_name ("wards", tests, NULL, NULL);
}
