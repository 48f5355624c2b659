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
advance_seconds (struct fixture *f, unsigned seconds)
{
  mt_clock_manual_advance (f->manual, seconds * MT_SECOND);
}

/* A standby watches for a minute. It must not write at all: the platform allows the whole fleet
 * only some tens of writes a second. */
static void
test_standby_writes_nothing (void **state)
{
  struct fixture *f = *state;
  uint64_t writes;

  assert_true (mt_lease_step (f->a));
  writes = fake_store_writes (f->fake);
  for (int i = 0; i < 60; i++)
    {
      advance_seconds (f, 1);
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

/* The holder is frozen past the end of its lease and another process takes over. When it resumes,
 * its own clock shows that the lease has expired: it must not acquire a new one beside the new
 * holder. */
static void
test_frozen_holder_stands_by (void **state)
{
  struct fixture *f = *state;

  assert_true (mt_lease_step (f->a));
  advance_seconds (f, 15);
  assert_true (mt_lease_step (f->b));
  assert_false (mt_lease_step (f->a));
  advance_seconds (f, 4);
  assert_true (mt_lease_step (f->b));
  assert_false (mt_lease_step (f->a));
}

/* The lease expires because all renewals fail, while its holder is alive. Guards against a holder
 * that continues under a new lease without holding the key, since another process may hold it. */
static void
test_expired_lease_is_reacquired_by_one_only (void **state)
{
  struct fixture *f = *state;
  bool a;
  bool b;

  assert_true (mt_lease_step (f->a));
  for (int i = 0; i < 6; i++)
    {
      advance_seconds (f, 2);
      fake_store_fault_next (f->fake, FAKE_FAULT_FAIL, 1, false);
      mt_lease_step (f->a);
    }
  for (int i = 0; i < 10; i++)
    {
      advance_seconds (f, 2);
      a = mt_lease_step (f->a);
      b = mt_lease_step (f->b);
      assert_false (a && b);
    }
  assert_true (a || b);
}

/* The platform loses the lease, for example in a restart, while its holder is well. The holder
 * notices at the next renewal and must stand by: from then on, others can acquire the key. */
static void
test_lease_lost_by_platform_ends_leadership (void **state)
{
  struct fixture *f = *state;
  const struct mt_store *store = fake_store_store (f->fake);

  assert_true (mt_lease_step (f->a));
  store->ops->lease_end (store->ctx, "lease-1");
  advance_seconds (f, 4);
  assert_false (mt_lease_step (f->a));
  assert_true (mt_lease_step (f->b));
}

/* The answer to a write is lost while the lease is acquired: some steps later it must be held
 * nevertheless. */
static void
test_lease_is_acquired_despite_lost_answer (void **state)
{
  struct fixture *f = *state;

  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  mt_lease_step (f->a);
  for (int i = 0; i < 8; i++)
    {
      advance_seconds (f, 4);
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
    LEASE_TEST (test_expired_lease_is_reacquired_by_one_only),
    LEASE_TEST (test_lease_lost_by_platform_ends_leadership),
    LEASE_TEST (test_lease_is_acquired_despite_lost_answer),
  };

  return cmocka_run_group_tests_name ("lease", tests, NULL, NULL);
}
