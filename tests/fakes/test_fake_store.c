#include "fake_store.h"

#include "medlartrack/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

struct fixture
{
  struct mt_clock_manual *manual;
  struct fake_store *fake;
  const struct mt_store *store;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (0);
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  f->store = fake_store_store (f->fake);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static enum mt_store_write_result
put (struct fixture *f, uint64_t index)
{
  return f->store->ops->put (f->store->ctx, "k", MT_STR ("v"), index, NULL);
}

static void
test_put_with_wrong_index_conflicts (void **state)
{
  struct fixture *f = *state;
  struct mt_store_value value;

  assert_int_equal (put (f, 7), MT_STORE_CONFLICT);
  assert_int_equal (put (f, 0), MT_STORE_DONE);
  assert_int_equal (put (f, 0), MT_STORE_CONFLICT);
  assert_true (f->store->ops->get (f->store->ctx, "k", &value, NULL));
  assert_int_equal (put (f, value.index), MT_STORE_DONE);
  mt_store_value_clear (&value);
}

/* Each write fault has its result, and takes effect or not, as fake_store.h says. */
static void
test_faults_take_effect_as_documented (void **state)
{
  struct fixture *f = *state;

  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_REQUEST, 1, true);
  assert_int_equal (put (f, 0), MT_STORE_UNKNOWN);
  assert_int_equal (fake_store_count (f->fake, ""), 0);
  fake_store_fault_next (f->fake, FAKE_FAULT_DELAY, 1, true);
  assert_int_equal (put (f, 0), MT_STORE_UNKNOWN);
  assert_int_equal (fake_store_count (f->fake, ""), 0);
  fake_store_deliver_delayed (f->fake);
  assert_int_equal (fake_store_count (f->fake, ""), 1);
  fake_store_force (f->fake, "k", NULL);
  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  assert_int_equal (put (f, 0), MT_STORE_UNKNOWN);
  assert_int_equal (fake_store_count (f->fake, ""), 1);
  fake_store_set_down (f->fake, true);
  assert_int_equal (put (f, 0), MT_STORE_FAILED);
}

/* A key is held until its lease expires; then another lease acquires it, and the first can't be
 * renewed. */
static void
test_expired_lease_releases_key (void **state)
{
  struct fixture *f = *state;
  const struct mt_store_ops *ops = f->store->ops;
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  g_autoptr (GError) error = NULL;

  assert_true (ops->lease_grant (f->store->ctx, 10, &a, NULL));
  assert_true (ops->lease_grant (f->store->ctx, 60, &b, NULL));
  assert_int_equal (ops->acquire (f->store->ctx, "l", MT_STR ("a"), a, NULL), MT_STORE_DONE);
  assert_int_equal (ops->acquire (f->store->ctx, "l", MT_STR ("b"), b, NULL), MT_STORE_CONFLICT);
  mt_clock_manual_advance (f->manual, 11 * MT_SECOND);
  assert_int_equal (ops->acquire (f->store->ctx, "l", MT_STR ("b"), b, NULL), MT_STORE_DONE);
  assert_false (ops->lease_renew (f->store->ctx, a, &error));
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_STALE));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_put_with_wrong_index_conflicts, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_faults_take_effect_as_documented, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_expired_lease_releases_key, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
