#include "medlartrack/admission.h"

#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const struct mt_admission_settings settings
    = { .batch_size = 15, .parallel_writes = 2, .max_wait_ms = 1200 };

/* A fast store writes 30 submissions in 10 ms: a surge of thousands waits for less than
 * max_wait_ms, and no submission is refused. */
static void
test_surge_at_a_fast_store_is_admitted (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  assert_true (mt_admission_admits (admission, 0));
  for (int i = 0; i < 50; i++)
    mt_admission_record_batch (admission, 10);
  assert_true (mt_admission_admits (admission, 3000));
  assert_int_equal (mt_admission_wait_ms (admission, 3000), 1010);
  mt_admission_destroy (admission);
}

/* The store becomes slow in a surge. Submissions that can't be written within max_wait_ms are
 * refused on arrival, those ahead of them are not; a single slow write causes no refusal. */
static void
test_submissions_that_a_slow_store_can_not_write_in_time_are_refused (void **state)
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

/* The store has become slow and no submission waits: the next one must still be admitted, or it
 * would never be noticed that the store is fast again. */
static void
test_submission_is_admitted_if_none_waits (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  for (int i = 0; i < 20; i++)
    mt_admission_record_batch (admission, 5000);
  assert_true (mt_admission_admits (admission, 0));
  assert_false (mt_admission_admits (admission, 1));
  mt_admission_destroy (admission);
}

/* Refused callers are told to retry when the submissions ahead of them are stored, spread over
 * several seconds. */
static void
test_retry_times_are_spread (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  for (int i = 0; i < 20; i++)
    mt_admission_record_batch (admission, 400);
  assert_int_equal (mt_admission_retry_after_s (admission, 300, 0.0), 5);
  assert_int_equal (mt_admission_retry_after_s (admission, 300, 0.999), 9);
  assert_int_equal (mt_admission_retry_after_s (admission, 0, 0.0), 1);
  mt_admission_destroy (admission);
}

/* Guards against a number of places that admits one submission more or less than the estimate:
 * decisions without workspaces would change. */
static void
test_places_are_those_that_the_estimate_admits (void **state)
{
  struct mt_admission *admission = mt_admission_create (&settings);

  assert_true (mt_admission_places (admission) == UINT_MAX);
  for (int i = 0; i < 3000; i++)
    {
      unsigned places;

      mt_admission_record_batch (admission, 1 + (i * 7919) % (i % 50 < 25 ? 40 : 2500));
      places = mt_admission_places (admission);
      assert_true (mt_admission_admits (admission, places - 1));
      assert_false (mt_admission_admits (admission, places));
    }
  mt_admission_destroy (admission);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_surge_at_a_fast_store_is_admitted),
    cmocka_unit_test (test_submissions_that_a_slow_store_can_not_write_in_time_are_refused),
    cmocka_unit_test (test_submission_is_admitted_if_none_waits),
    cmocka_unit_test (test_retry_times_are_spread),
    cmocka_unit_test (test_places_are_those_that_the_estimate_admits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
