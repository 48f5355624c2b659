#include "fake_store.h"
#include "medlartrack/lease.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define KEY "medlartrack/planner/west"

struct fixture
{
  struct mt_clock_manual *manual;
  struct fake_store *fake;
  struct mt_lease *a;
  struct mt_lease *b;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  const struct mt_clock *clock;

  f->manual = mt_clock_manual_create (MT_SECOND);
  clock = mt_clock_manual_clock (f->manual);
  f->fake = fake_store_create (clock);
  f->a = mt_lease_create (fake_store_store (f->fake), clock, KEY, "a");
  f->b = mt_lease_create (fake_store_store (f->fake), clock, KEY, "b");
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_lease_destroy (f->a);
  mt_lease_destroy (f->b);
  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static void
pass (struct fixture *f, unsigned seconds)
{
  mt_clock_manual_advance (f->manual, seconds * MT_SECOND);
}

/* A standby looks on for a minute: the platform may write some tens of times a second for the whole
 * fleet, so it must not write at all. */
static void
test_standby_writes_nothing (void **state)
{
  struct fixture *f = *state;
  uint64_t writes;

  assert_true (mt_lease_step (f->a));
  writes = fake_store_writes (f->fake);
  for (int i = 0; i < 60; i++)
    {
      pass (f, 1);
      assert_false (mt_lease_step (f->b));
      if (i % 3 == 0)
        {
          uint64_t before = fake_store_writes (f->fake);

          assert_true (mt_lease_step (f->a));
          writes += fake_store_writes (f->fake) - before;
        }
    }
  assert_true (fake_store_writes (f->fake) == writes);
}

/* The holder is frozen past its lease and another takes over. When it wakes up it knows by its own
 * clock that the lease has lapsed, and does not take a new one beside the new holder's. */
static void
test_frozen_holder_stands_by (void **state)
{
  struct fixture *f = *state;

  assert_true (mt_lease_step (f->a));
  pass (f, 15);
  assert_true (mt_lease_step (f->b));
  assert_false (mt_lease_step (f->a));
  pass (f, 4);
  assert_true (mt_lease_step (f->b));
  assert_false (mt_lease_step (f->a));
}

/* The platform lost the lease, as when it was restarted, while its holder lives: the holder must
 * not go on under a new lease without holding the key, since another may. */
static void
test_lapsed_lease_is_taken_anew_by_one (void **state)
{
  struct fixture *f = *state;
  bool a;
  bool b;

  assert_true (mt_lease_step (f->a));
  for (int i = 0; i < 6; i++)
    {
      pass (f, 2);
      fake_store_fault_next (f->fake, FAKE_FAULT_FAIL, 1, false);
      mt_lease_step (f->a);
    }
  for (int i = 0; i < 10; i++)
    {
      pass (f, 2);
      a = mt_lease_step (f->a);
      b = mt_lease_step (f->b);
      assert_false (a && b);
    }
  assert_true (a || b);
}

/* The platform forgets the lease while its holder is well, as after a restart of the platform. The
 * holder hears of it at the next renewal: it must stand by, since the key is free for others from
 * then on. */
static void
test_forgotten_lease_ends_the_duty (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = fake_store_store (f->fake);

  assert_true (mt_lease_step (f->a));
  store->ops->lease_end (store->ctx, "lease-1");
  pass (f, 4);
  assert_false (mt_lease_step (f->a));
  assert_true (mt_lease_step (f->b));
}

/* The answer to a write is lost on the way to the lease: some steps later it is held all the same.
 */
static void
test_lost_answer_on_the_way (void **state)
{
  struct fixture *f = *state;

  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE, 1, true);
  mt_lease_step (f->a);
  for (int i = 0; i < 8; i++)
    {
      pass (f, 4);
      if (mt_lease_step (f->a))
        return;
    }
  fail ();
}

int
main (void)
{
#define LEASE_TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    LEASE_TEST (test_standby_writes_nothing),
    LEASE_TEST (test_frozen_holder_stands_by),
    LEASE_TEST (test_lapsed_lease_is_taken_anew_by_one),
    LEASE_TEST (test_forgotten_lease_ends_the_duty),
    LEASE_TEST (test_lost_answer_on_the_way),
  };

  return cmocka_run_group_tests_name ("lease", tests, NULL, NULL);
}
