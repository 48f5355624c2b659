/* Single failures of moves and waves, each with the report to the operator. */
#include "world.h"

#include <csetjmp>
#include <cstdarg>
#include <cstddef>

extern "C"
{
#include <cmocka.h>
}

static const std::string WAVE_1 = tables_json (1, "w1", "", false, false);

static void
fault_free_round (World &world)
{
  for (size_t d = 0; d < world.daemons.size (); d++)
    world.daemon_round ((int) d);
  world.plan_round (world.planners[0]);
  world.check_one_pool ();
}

static const mt_assign_record *
record_of (const World &world, const char *name)
{
  return mt_assign_find (world.stored.get (), name);
}

static bool
reports_mention (const World &world, const std::string &text)
{
  for (const std::string &report : world.planners[0].operator_reports)
    if (report.find (text) != std::string::npos)
      return true;
  return false;
}

/* The operator moves a3 to pool b. Daemon d1 fetched the first document and was partitioned before
 * it reported any version; its requests still run on a3. Guards against taking its silence as
 * confirmation, which would let a3 serve a and b at once: the move must wait, and the report must
 * name d1. */
static void
test_silent_daemon_holds_a_move (void **state)
{
  World world ({ tables_json (1, "", "", false, false), tables_json (2, "", "", true, false) }, 2,
               1);

  world.plan_round (world.planners[0]);
  world.fetch (world.daemons[1]);
  world.daemons[1].partitioned = true;
  world.newest_tables = 2;
  for (int i = 0; i < 20; i++)
    {
      world.now_s++;
      fault_free_round (world);
    }
  assert_int_equal (record_of (world, "a3")->state, MT_ASSIGN_DRAINING);
  assert_true (reports_mention (world, "held by daemon d1"));
  world.daemons[1].partitioned = false;
  for (int i = 0; i < 20; i++)
    fault_free_round (world);
  assert_string_equal (record_of (world, "a3")->pool, "b");
  assert_int_equal (record_of (world, "a3")->state, MT_ASSIGN_SERVING);
}

/* A planner decides a1's reboot and freezes before it sends the order. The time limit passes.
 * Guards against a later planner that lets a1 serve again: the delayed order would interrupt a
 * request. */
static void
test_delayed_order_interrupts_no_request (void **state)
{
  World world ({ WAVE_1 }, 2, 2);
  Planner &frozen = world.planners[1];

  fault_free_round (world);
  while (record_of (world, "a1")->state != MT_ASSIGN_REBOOTING)
    {
      world.daemon_round (0);
      world.daemon_round (1);
      world.refresh (frozen);
      world.decide (frozen);
      world.write (frozen, false);
    }
  world.refresh (frozen);
  world.decide (frozen);
  world.planners[0].orders_lost = true;
  world.now_s += 100;
  for (int i = 0; i < 10; i++)
    {
      fault_free_round (world);
      world.start (0, "a1");
    }
  assert_int_equal (record_of (world, "a1")->wave_state, MT_WAVE_SKIPPED);
  assert_true (reports_mention (world, "instance a1 did not come back"));
  world.order (frozen);
  world.revive ("a1");
  world.update_list ();
  fault_free_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
}

/* A request on a1 never completes. After the time limit a1 must serve again, and the wave must skip
 * it and finish on the other instances. */
static void
test_wave_skips_instance_that_never_drains (void **state)
{
  World world ({ WAVE_1 }, 1, 1);

  fault_free_round (world);
  world.fetch (world.daemons[0]);
  world.plan_round (world.planners[0]);
  for (int i = 0; i < 100; i++)
    {
      if (record_of (world, "a1")->wave_state != MT_WAVE_SKIPPED && world.work.empty ())
        world.work.emplace ("a1", Work{ 0, "a" });
      for (const std::string &name : world.names)
        world.revive (name);
      world.update_list ();
      world.now_s += 5;
      fault_free_round (world);
    }
  assert_int_equal (record_of (world, "a1")->wave_state, MT_WAVE_SKIPPED);
  for (const std::string &name : world.names)
    if (name != "a1")
      assert_int_equal (record_of (world, name.c_str ())->wave_state, MT_WAVE_DONE);
}

/* A planner dies in the middle of a wave, between its write and its reboot order. Another one must
 * continue from the records, without rebooting an instance twice. */
static void
test_wave_continues_after_planner_died (void **state)
{
  World world ({ WAVE_1 }, 1, 8);

  for (int i = 0; i < 200; i++)
    {
      Planner &planner = world.planners[(size_t) i / 8 % 8];

      world.daemon_round (0);
      for (const std::string &name : world.names)
        world.revive (name);
      world.update_list ();
      world.refresh (planner);
      world.decide (planner);
      world.write (planner, i % 8 == 7);
      if (i % 8 != 7)
        world.order (planner);
    }
  for (const std::string &name : world.names)
    {
      assert_int_equal (record_of (world, name.c_str ())->wave_state, MT_WAVE_DONE);
      assert_int_equal (world.actual[name].boot, 2);
    }
}

/* The platform's list shows a1 as leaving, then, lagging, as live again; the operator's edit is
 * older still. Only a later boot may bring a1 back. */
static void
test_only_later_boot_brings_instance_back (void **state)
{
  World world ({ tables_json (1, "", "", false, false) }, 1, 1);

  fault_free_round (world);
  world.actual["a1"].leaving = true;
  world.update_list ();
  for (int i = 0; i < 4; i++)
    fault_free_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_OUT);
  world.actual["a1"].leaving = false;
  world.update_list ();
  for (int i = 0; i < 4; i++)
    fault_free_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_OUT);
  world.actual["a1"].boot++;
  world.update_list ();
  fault_free_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
}

/* An instance of pool a fails: the wave must take no other one of pool a meanwhile. A stop by an
 * edit of the tables completes what was begun and begins nothing more. */
static void
test_wave_stops_for_a_failure_and_on_request (void **state)
{
  World world ({ WAVE_1, tables_json (2, "w1", "", false, true) }, 1, 1);

  world.crash ("a2");
  world.update_list ();
  for (int i = 0; i < 5; i++)
    fault_free_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
  assert_int_equal (record_of (world, "b1")->state, MT_ASSIGN_REBOOTING);
  assert_true (reports_mention (world, "wave w1 of pool a waits"));
  world.newest_tables = 2;
  world.revive ("a2");
  world.revive ("b1");
  world.update_list ();
  for (int i = 0; i < 5; i++)
    fault_free_round (world);
  assert_int_equal (record_of (world, "b1")->wave_state, MT_WAVE_DONE);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
  assert_int_equal (record_of (world, "b2")->state, MT_ASSIGN_SERVING);
}

int
main ()
{
  const CMUnitTest tests[] = {
    cmocka_unit_test (test_silent_daemon_holds_a_move),
    cmocka_unit_test (test_delayed_order_interrupts_no_request),
    cmocka_unit_test (test_wave_skips_instance_that_never_drains),
    cmocka_unit_test (test_wave_continues_after_planner_died),
    cmocka_unit_test (test_only_later_boot_brings_instance_back),
    cmocka_unit_test (test_wave_stops_for_a_failure_and_on_request),
  };

  return cmocka_run_group_tests (tests, nullptr, nullptr);
}
