#include "peer.h"
#include "pool_report.h"
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Guards against fields that are lost or swapped in a report: the fleet controller would then move
 * the wrong machine. */
static void
test_report_round_trip (void **state)
{
  struct world *world = world_create ();
  struct mt_pool_report report;
  struct mt_worker_view view;
  struct mt_scheduler_load load;
  g_autofree char *bytes = NULL;
  size_t len;

  world_add_worker (world, "r1");
  world->run_ms = 4000;
  world_submit (world, world_job ("aa", 3, 2000, 4000));
  world_run (world, 1500);
  mt_scheduler_cordon (world->sched, "i-0", world->now + 1000, false);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (mt_scheduler_workers (world->sched, world->now, &view, 1), 1);
  bytes = mt_pool_report_pack (world->sched, world->now, &len);
  assert_true (mt_pool_report_unpack ((struct mt_str){ bytes, len }, &report));
  assert_int_equal (report.n_workers, 1);
  assert_string_equal (report.workers[0].id, "i-0");
  assert_int_equal (report.workers[0].tasks, 3);
  assert_true (view.batch_remaining_ms > 1000);
  assert_int_equal (report.workers[0].batch_remaining_ms, view.batch_remaining_ms);
  assert_true (report.workers[0].cordoned);
  assert_false (report.workers[0].leaving);
  assert_int_equal (report.workers[0].used.cpu, 6000);
  assert_int_equal (report.workers[0].resources.mem, 32768);
  assert_memory_equal (&report.load, &load, sizeof load);
  mt_pool_report_clear (&report);
  world_destroy (world);
}

/* Guards against workers of a large pool that are left out of its report: the fleet controller
 * would never move their machines nor drain them for maintenance. */
static void
test_report_has_every_worker (void **state)
{
  const size_t n_workers = 3000;
  struct world *world = world_create ();
  struct mt_pool_report report;
  g_autofree char *bytes = NULL;
  size_t len;

  for (size_t i = 0; i < n_workers; i++)
    {
      g_autofree char *id = g_strdup_printf ("worker-%zu", i);
      struct mt_worker_entry entry
          = { .id = id, .address = "127.0.0.1:1", .zone = "a", .started_at_ms = 7 };

      mt_scheduler_update_worker (world->sched, &entry, world->now);
    }
  bytes = mt_pool_report_pack (world->sched, world->now, &len);
  assert_true (mt_pool_report_unpack ((struct mt_str){ bytes, len }, &report));
  assert_int_equal (report.n_workers, n_workers);
  assert_true (len < MT_PEER_MAX_FRAME_BYTES / 4);
  mt_pool_report_clear (&report);
  world_destroy (world);
}

/* Guards against a truncated report, or one from another version, that is accepted in part. */
static void
test_truncated_report_is_refused (void **state)
{
  struct world *world = world_create ();
  struct mt_pool_report report;
  g_autofree char *bytes = NULL;
  size_t len;

  world_add_worker (world, "r1");
  world_run (world, 200);
  bytes = mt_pool_report_pack (world->sched, world->now, &len);
  for (size_t cut = 0; cut < len; cut++)
    {
      assert_false (mt_pool_report_unpack ((struct mt_str){ bytes, cut }, &report));
      assert_int_equal (report.n_workers, 0);
    }
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_report_round_trip),
    cmocka_unit_test (test_report_has_every_worker),
    cmocka_unit_test (test_truncated_report_is_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
