/* Single failures of moves and waves, each with what the operator sees. */
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
calm_round (World &world)
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
  for (const std::string &report : world.planners[0].told)
    if (report.find (text) != std::string::npos)
      return true;
  return false;
}

/* The operator moves a3 to pool b. Daemon d1 took the first document and was cut off before anyone
 * heard of its versions; its requests still run on a3. To take its silence for consent would let a3
 * serve a and b at once: the move is held and the operator reads by whom. */
static void
test_silent_daemon_holds_a_move (void **state)
{
  World world ({ tables_json (1, "", "", false, false), tables_json (2, "", "", true, false) }, 2,
               1);

  world.plan_round (world.planners[0]);
  world.fetch (world.daemons[1]);
  world.daemons[1].cut = true;
  world.newest_tables = 2;
  for (int i = 0; i < 20; i++)
    {
      world.now_s++;
      calm_round (world);
    }
  assert_int_equal (record_of (world, "a3")->state, MT_ASSIGN_DRAINING);
  assert_true (reports_mention (world, "held by daemon d1"));
  world.daemons[1].cut = false;
  for (int i = 0; i < 20; i++)
    calm_round (world);
  assert_string_equal (record_of (world, "a3")->pool, "b");
  assert_int_equal (record_of (world, "a3")->state, MT_ASSIGN_SERVING);
}

/* A planner orders a1's reboot and freezes before the order leaves. The limit passes; whoever plans
 * next must not put a1 to work, or the late order would cut a request. */
static void
test_late_order_cuts_nothing (void **state)
{
  World world ({ WAVE_1 }, 2, 2);
  Planner &frozen = world.planners[1];

  calm_round (world);
  while (record_of (world, "a1")->state != MT_ASSIGN_REBOOTING)
    {
      world.daemon_round (0);
      world.daemon_round (1);
      world.hear (frozen);
      world.decide (frozen);
      world.write (frozen, false);
    }
  world.hear (frozen);
  world.decide (frozen);
  world.planners[0].deaf_platform = true;
  world.now_s += 100;
  for (int i = 0; i < 10; i++)
    {
      calm_round (world);
      world.start (0, "a1");
    }
  assert_int_equal (record_of (world, "a1")->wave_state, MT_WAVE_SKIPPED);
  assert_true (reports_mention (world, "instance a1 did not come back"));
  world.order (frozen);
  world.revive ("a1");
  world.relist ();
  calm_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
}

/* A request on a1 never ends. After the limit a1 serves on, the wave skips it and ends elsewhere.
 */
static void
test_wave_skips_one_that_never_drains (void **state)
{
  World world ({ WAVE_1 }, 1, 1);

  calm_round (world);
  world.fetch (world.daemons[0]);
  world.plan_round (world.planners[0]);
  for (int i = 0; i < 100; i++)
    {
      if (record_of (world, "a1")->wave_state != MT_WAVE_SKIPPED && world.work.empty ())
        world.work.emplace ("a1", Work{ 0, "a" });
      for (const std::string &name : world.names)
        world.revive (name);
      world.relist ();
      world.now_s += 5;
      calm_round (world);
    }
  assert_int_equal (record_of (world, "a1")->wave_state, MT_WAVE_SKIPPED);
  for (const std::string &name : world.names)
    if (name != "a1")
      assert_int_equal (record_of (world, name.c_str ())->wave_state, MT_WAVE_DONE);
}

/* A planner dies in the middle of a wave, after its write and before its order. Another one goes on
 * from the records; no instance is rebooted twice. */
static void
test_wave_goes_on_after_the_planner_died (void **state)
{
  World world ({ WAVE_1 }, 1, 8);

  for (int i = 0; i < 200; i++)
    {
      Planner &planner = world.planners[(size_t) i / 8 % 8];

      world.daemon_round (0);
      for (const std::string &name : world.names)
        world.revive (name);
      world.relist ();
      world.hear (planner);
      world.decide (planner);
      world.write (planner, i % 8 == 7);
      if (i % 8 != 7)
        world.order (planner);
    }
  for (const std::string &name : world.names)
    {
      assert_int_equal (record_of (world, name.c_str ())->wave_state, MT_WAVE_DONE);
      assert_int_equal (world.truth[name].boot, 2);
    }
}

/* The platform's list calls a1 leaving, then, lagging, live again; the operator's edit is older
 * still. Only a later boot brings it back. */
static void
test_nothing_older_un_leaves (void **state)
{
  World world ({ tables_json (1, "", "", false, false) }, 1, 1);

  calm_round (world);
  world.truth["a1"].leaving = true;
  world.relist ();
  for (int i = 0; i < 4; i++)
    calm_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_OUT);
  world.truth["a1"].leaving = false;
  world.relist ();
  for (int i = 0; i < 4; i++)
    calm_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_OUT);
  world.truth["a1"].boot++;
  world.relist ();
  calm_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
}

/* An instance of pool a fails unplanned: the wave takes no other one of a meanwhile. A stop by edit
 * ends what was begun and begins nothing. */
static void
test_wave_yields_to_a_failure_and_to_a_stop (void **state)
{
  World world ({ WAVE_1, tables_json (2, "w1", "", false, true) }, 1, 1);

  world.crash ("a2");
  world.relist ();
  for (int i = 0; i < 5; i++)
    calm_round (world);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
  assert_int_equal (record_of (world, "b1")->state, MT_ASSIGN_REBOOTING);
  assert_true (reports_mention (world, "wave w1 of pool a waits"));
  world.newest_tables = 2;
  world.revive ("a2");
  world.revive ("b1");
  world.relist ();
  for (int i = 0; i < 5; i++)
    calm_round (world);
  assert_int_equal (record_of (world, "b1")->wave_state, MT_WAVE_DONE);
  assert_int_equal (record_of (world, "a1")->state, MT_ASSIGN_SERVING);
  assert_int_equal (record_of (world, "b2")->state, MT_ASSIGN_SERVING);
}

int
main ()
{
  const CMUnitTest tests[] = {
    cmocka_unit_test (test_silent_daemon_holds_a_move),
    cmocka_unit_test (test_late_order_cuts_nothing),
    cmocka_unit_test (test_wave_skips_one_that_never_drains),
    cmocka_unit_test (test_wave_goes_on_after_the_planner_died),
    cmocka_unit_test (test_nothing_older_un_leaves),
    cmocka_unit_test (test_wave_yields_to_a_failure_and_to_a_stop),
  };

  return cmocka_run_group_tests (tests, nullptr, nullptr);
}
