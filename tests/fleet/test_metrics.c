#include "metrics.h"

#include "journal.h"
#include "traffic.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* Guards against rows of a pool that outlive the fleet's leadership, and against planned and
 * present machines taken for each other. */
static void
test_pool_machines_are_gauges_of_the_leader (void **state)
{
  struct mt_metrics *m = mt_metrics_create ();
  struct mt_traffic *traffic = mt_traffic_create ();
  struct mt_journal *journal = mt_journal_create (STDOUT_FILENO, "d1");
  g_autofree char *with = NULL;
  g_autofree char *without = NULL;

  mt_metrics_set_pool_machines (m, "b", 7, 5);
  mt_metrics_set_pool_machines (m, "a", 3, 4);
  mt_metrics_set_pool_machines (m, "a", 3, 2);
  with = mt_metrics_text (m, traffic, journal);
  assert_non_null (strstr (with, "medlartrack_pool_machines_planned{pool=\"a\"} 3\n"
                                 "medlartrack_pool_machines_planned{pool=\"b\"} 7\n"));
  assert_non_null (strstr (with, "medlartrack_pool_machines_present{pool=\"a\"} 2\n"
                                 "medlartrack_pool_machines_present{pool=\"b\"} 5\n"));
  mt_metrics_clear_pools (m);
  without = mt_metrics_text (m, traffic, journal);
  assert_null (strstr (without, "pool_machines"));
  mt_metrics_destroy (m);
  mt_traffic_destroy (traffic);
  mt_journal_destroy (journal);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pool_machines_are_gauges_of_the_leader),
  };

  return cmocka_run_group_tests_name ("fleet_metrics", tests, NULL, NULL);
}
