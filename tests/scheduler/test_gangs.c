#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define MEMBERS 4
#define GANG    "G4-1"
#define TASK    "G4-1.0.0.0"

static struct mt_job_spec *
make_gang (void)
{
  return world_gang (1, MEMBERS, 2000, 800);
}

/* A worker that all members fit on, and that fails all its runs. */
static struct world *
create_failing (void)
{
  struct world *world = world_create ();

  world->run_ms = 800;
  world->max_attempts = 3;
  world_add_worker (world, "r1")->fails_runs = true;
  world_run (world, 200);
  return world;
}

static void
run_until_failed (struct world *world, unsigned failures)
{
  for (int64_t ms = 0; ms < 10000 && world_count_failures (world, TASK) < failures; ms += 5)
    world_run (world, 5);
  assert_int_equal (world_count_failures (world, TASK), failures);
}

static void
take_over (struct world *world)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  g_ptr_array_add (specs, make_gang ());
  world_take_over (world, specs);
}

/* Guards against a job that is ended after one failed run: each member that reports it counts as an
 * attempt of all. */
static void
test_failed_run_counts_once_for_all_members (void **state)
{
  struct world *world = create_failing ();

  world_submit (world, make_gang ());
  run_until_failed (world, 1);
  world_run (world, 100);
  assert_int_equal (mt_scheduler_job_state (world->sched, GANG), MT_JOB_ACTIVE);
  run_until_failed (world, 2);
  world->workers[0].fails_runs = false;
  assert_true (world_run_until_state (world, GANG, MT_JOB_COMPLETED, 15000));
  world_destroy (world);
}

/* Guards against a gang that is started for ever. */
static void
test_gang_ends_after_its_attempts (void **state)
{
  struct world *world = create_failing ();

  world_submit (world, make_gang ());
  assert_true (world_run_until_state (world, GANG, MT_JOB_FAILED, 30000));
  world_run (world, 3000);
  assert_int_equal (world_count_failures (world, TASK), 3);
  assert_int_equal (world->starts_beyond_attempts, 0);
  world_destroy (world);
}

/* Guards against the same failed run counted by two leaders: the first one stored the first
 * member's end, and its successor reads the others'. */
static void
test_failed_run_counts_once_over_a_takeover (void **state)
{
  for (unsigned page = 1; page <= MEMBERS; page++)
    {
      struct world *world = create_failing ();

      world->max_listed_ends = page;
      world_submit (world, make_gang ());
      run_until_failed (world, 1);
      for (unsigned i = 0; i < 3; i++)
        {
          world_run (world, 10);
          take_over (world);
        }
      run_until_failed (world, 2);
      world->workers[0].fails_runs = false;
      take_over (world);
      assert_true (world_run_until_state (world, GANG, MT_JOB_COMPLETED, 20000));
      world_destroy (world);
    }
}

/* Guards against a worker that is avoided by the members of one run alone. */
static void
test_worker_is_blamed_once_for_a_failed_gang (void **state)
{
  struct world *world = create_failing ();

  world_submit (world, make_gang ());
  run_until_failed (world, 1);
  world->workers[0].fails_runs = false;
  world_run (world, 50);
  world_submit (world, world_job ("a", 1, 1000, 800));
  world_run (world, 300);
  assert_int_equal (world_count_running (world, "a.0.0.0"), 1);
  world_destroy (world);
}

/* Guards against a gang that never starts: its only worker has failed a run and gets two tasks at a
 * time, and each attempt to place the members restarts their wait. */
static void
test_gang_starts_on_a_worker_on_trial (void **state)
{
  struct world *world = create_failing ();

  world_submit (world, world_job ("a", 1, 1000, 800));
  world_run (world, 30);
  mt_scheduler_cancel (world->sched, "a", world->now);
  world->workers[0].fails_runs = false;
  world_submit (world, make_gang ());
  assert_true (world_run_until_state (world, GANG, MT_JOB_COMPLETED, 4000));
  world_destroy (world);
}

/* Guards against a write of the job's record for each attempt to place a gang. */
static void
test_waiting_gang_is_not_written (void **state)
{
  struct world *world = create_failing ();
  unsigned n_writes;

  world->workers[0].fails_runs = false;
  world->run_ms = -1;
  world_submit (world, world_job ("a", 6, 2000, 800));
  world_run (world, 500);
  n_writes = world->n_writes_sent;
  world_submit (world, make_gang ());
  world_run (world, 1500);
  assert_int_equal (world->n_writes_sent, n_writes);
  mt_scheduler_cancel (world->sched, "a", world->now);
  world->run_ms = 800;
  assert_true (world_run_until_state (world, GANG, MT_JOB_COMPLETED, 3000));
  world_destroy (world);
}

#define LARGE_GANG  "G100-1"
#define LARGE_COUNT 100
#define LARGE_CPU   500
/* At this rate all starts of the large gang take 1.7 s, less than its members wait. */
#define BYTES_PER_MS 60

/* Guards against a gang of which only some members are started: behind a full link the starts of
 * the others are withdrawn, and the gang never works. */
static void
test_gang_behind_a_full_link_starts_whole (void **state)
{
  struct world *world = world_create ();

  world->run_ms = 800;
  world->link_bytes_per_ms = BYTES_PER_MS;
  for (unsigned i = 0; i < 4; i++)
    world_add_worker (world, "r1");
  world_run (world, 500);
  world_submit (world, world_gang (1, LARGE_COUNT, LARGE_CPU, 800));
  assert_true (world_run_until_state (world, LARGE_GANG, MT_JOB_COMPLETED, 15000));
  assert_int_equal (world->n_starts, LARGE_COUNT);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failed_run_counts_once_for_all_members),
    cmocka_unit_test (test_gang_ends_after_its_attempts),
    cmocka_unit_test (test_gang_behind_a_full_link_starts_whole),
    cmocka_unit_test (test_failed_run_counts_once_over_a_takeover),
    cmocka_unit_test (test_gang_starts_on_a_worker_on_trial),
    cmocka_unit_test (test_waiting_gang_is_not_written),
    cmocka_unit_test (test_worker_is_blamed_once_for_a_failed_gang),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
