#include "histogram.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The upper bound of each value's bucket is at most 1.6% above the value. */
static void
test_error_is_bounded (void **state)
{
  for (int64_t value = 1; value < 3600LL * 1000 * 1000; value += value / 7 + 1)
    {
      struct mt_histogram histogram = { 0 };
      int64_t median;

      mt_histogram_add (&histogram, value);
      mt_histogram_add (&histogram, INT64_MAX);
      median = mt_histogram_quantile (&histogram, 0.5);
      assert_true (median >= value && median <= value + value / 60);
    }
}

static void
test_quantiles_of_many (void **state)
{
  struct mt_histogram a = { 0 };
  struct mt_histogram b = { 0 };

  assert_int_equal (mt_histogram_quantile (&a, 0.5), 0);
  for (int i = 1; i <= 50; i++)
    {
      mt_histogram_add (&a, i);
      mt_histogram_add (&b, 50 + i);
    }
  mt_histogram_merge (&a, &b);
  assert_int_equal (mt_histogram_quantile (&a, 0.5), 50);
  assert_in_range (mt_histogram_quantile (&a, 0.99), 99, 100);
  assert_int_equal (mt_histogram_quantile (&a, 1.0), 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_error_is_bounded),
    cmocka_unit_test (test_quantiles_of_many),
  };

  return cmocka_run_group_tests_name ("histogram", tests, NULL, NULL);
}
