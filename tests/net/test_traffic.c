#include "traffic.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
test_kinds_are_counted_separately (void **state)
{
  struct mt_traffic *traffic = mt_traffic_create ();
  char other_start[] = "start";
  const struct mt_traffic_row *rows;

  mt_traffic_add_sent (traffic, "start", 400);
  mt_traffic_add_sent (traffic, other_start, 100);
  mt_traffic_add_received (traffic, "hold", 900);
  assert_int_equal (mt_traffic_rows (traffic, &rows), 2);
  assert_string_equal (rows[0].kind, "start");
  assert_int_equal (rows[0].sent, 2);
  assert_int_equal (rows[0].bytes_out, 500);
  assert_int_equal (rows[0].received, 0);
  assert_int_equal (rows[1].received, 1);
  assert_int_equal (rows[1].bytes_in, 900);
  assert_int_equal (mt_traffic_total (traffic).bytes_out, 500);
  assert_int_equal (mt_traffic_total (traffic).bytes_in, 900);
  mt_traffic_destroy (traffic);
}

static void
test_null_traffic_or_kind_counts_nothing (void **state)
{
  struct mt_traffic *traffic = mt_traffic_create ();
  const struct mt_traffic_row *rows;

  mt_traffic_add_sent (NULL, "start", 1);
  mt_traffic_add_received (traffic, NULL, 1);
  assert_int_equal (mt_traffic_rows (traffic, &rows), 0);
  mt_traffic_destroy (traffic);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kinds_are_counted_separately),
    cmocka_unit_test (test_null_traffic_or_kind_counts_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
