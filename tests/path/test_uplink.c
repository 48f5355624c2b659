#include "medlartrack/uplink.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* 2 Mbit/s carry 212 bytes of messages per millisecond. */
static void
test_burst_waits_for_link_capacity (void **state)
{
  struct mt_uplink uplink = mt_uplink_make (2, 1000);

  assert_int_equal (mt_uplink_wait_ms (&uplink, 0, 1000), 0);
  assert_int_equal (mt_uplink_wait_ms (&uplink, 42500, 1000), 200);
  assert_int_equal (mt_uplink_wait_ms (&uplink, 42500, 1150), 50);
  assert_int_equal (mt_uplink_wait_ms (&uplink, 42500, 5000), 0);
}

/* Capacity that was not used while the link was idle must not be credited to a later burst. */
static void
test_idle_capacity_is_not_credited (void **state)
{
  struct mt_uplink uplink = mt_uplink_make (2, 0);

  assert_int_equal (mt_uplink_wait_ms (&uplink, 1000, 60000), 4);
  assert_int_equal (mt_uplink_wait_ms (&uplink, 1000 + 42500, 60010), 200);
}

static void
test_unknown_capacity_never_waits (void **state)
{
  struct mt_uplink uplink = mt_uplink_make (0, 0);

  assert_int_equal (mt_uplink_wait_ms (&uplink, 1000000000, 1), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_waits_for_link_capacity),
    cmocka_unit_test (test_idle_capacity_is_not_credited),
    cmocka_unit_test (test_unknown_capacity_never_waits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
