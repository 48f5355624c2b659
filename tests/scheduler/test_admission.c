#include "medlartrack/admission.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const struct mt_admission_settings settings
    = { .batch_size = 15, .parallel_writes = 2, .max_wait_ms = 1200 };

/* A calm store writes 30 submissions in 10 ms: a surge of thousands waits for less than the
 * patience, and nobody is refused. */
static void
test_surge_at_a_calm_store_is_admitted (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  assert_true (mt_admission_admits (admission, 0));
  for (int i = 0; i < 50; i++)
    mt_admission_record_batch (admission, 10);
  assert_true (mt_admission_admits (admission, 3000));
  assert_int_equal (mt_admission_wait_ms (admission, 3000), 1010);
  mt_admission_destroy (admission);
}

/* The store turns slow in a surge. Callers whose turn can't come within their patience are refused
 * as they come, those before them are not; one slow answer alone refuses nobody. */
static void
test_what_a_slow_store_can_not_take_is_refused_at_once (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  mt_admission_record_batch (admission, 10);
  mt_admission_record_batch (admission, 400);
  assert_true (mt_admission_admits (admission, 200));
  for (int i = 0; i < 20; i++)
    mt_admission_record_batch (admission, 400);
  assert_true (mt_admission_admits (admission, 60));
  assert_false (mt_admission_admits (admission, 100));
  mt_admission_destroy (admission);
}

/* A store that turned slow with one waiting at most: somebody must still try, or it would never be
 * noticed that it is fast again. */
static void
test_first_one_always_tries (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  for (int i = 0; i < 20; i++)
    mt_admission_record_batch (admission, 5000);
  assert_true (mt_admission_admits (admission, 0));
  assert_false (mt_admission_admits (admission, 1));
  mt_admission_destroy (admission);
}

/* Refused callers return when those before them are stored, and not all in one second. */
static void
test_returns_are_spread (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  for (int i = 0; i < 20; i++)
    mt_admission_record_batch (admission, 400);
  assert_int_equal (mt_admission_retry_after_s (admission, 300, 0.0), 5);
  assert_int_equal (mt_admission_retry_after_s (admission, 300, 0.999), 9);
  assert_int_equal (mt_admission_retry_after_s (admission, 0, 0.0), 1);
  mt_admission_destroy (admission);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_surge_at_a_calm_store_is_admitted),
    cmocka_unit_test (test_what_a_slow_store_can_not_take_is_refused_at_once),
    cmocka_unit_test (test_first_one_always_tries),
    cmocka_unit_test (test_returns_are_spread),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
