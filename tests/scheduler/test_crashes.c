#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define N_WORKERS 8
/* Maximum starts of one crashing task. */
#define MAX_CRASHES 3
#define SETTLE_MS   60000

/* A pool of N_WORKERS idle workers. */
static struct world *
create_with_workers (bool new_ids)
{
  struct world *world = world_create ();

  world->new_id_after_crash = new_ids;
  for (unsigned i = 0; i < N_WORKERS; i++)
    world_add_worker (world, "r1");
  world_run (world, 200);
  return world;
}

static void
submit_crashing (struct world *world, const char *id, unsigned count)
{
  g_autofree char *task = g_strdup_printf ("%s.0.0.0", id);

  world_add_crashing (world, task);
  world_submit (world, world_job (id, count, 1000, 1000));
}

static void
check_crashing_job_fails (bool new_ids)
{
  struct world *world = create_with_workers (new_ids);

  submit_crashing (world, "aa", 6);
  assert_true (world_run_until_state (world, "aa", MT_JOB_FAILED, SETTLE_MS));
  assert_in_range (world_crashing_task_starts (world, "aa.0.0.0"), 1, MAX_CRASHES);
  world_run (world, SETTLE_MS);
  assert_in_range (world_crashing_task_starts (world, "aa.0.0.0"), 1, MAX_CRASHES);
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

/* Guards against a task that crashes one worker after the other without end. Workers restart under
 * their own id. */
static void
test_task_that_crashes_its_workers_fails_its_job (void **state)
{
  check_crashing_job_fails (false);
}

/* Guards against the same failure when crashed machines return as workers with new ids. */
static void
test_task_that_crashes_workers_under_new_ids_fails_its_job (void **state)
{
  check_crashing_job_fails (true);
}

/* Guards against a crash count that each takeover resets. */
static void
test_crashes_are_counted_across_takeovers (void **state)
{
  struct world *world = create_with_workers (false);

  submit_crashing (world, "aa", 1);
  for (unsigned i = 0; i < 12 && mt_scheduler_job_state (world->sched, "aa") != MT_JOB_FAILED; i++)
    {
      g_autoptr (GPtrArray) specs = g_ptr_array_new ();

      world_run (world, WORLD_DOWNTIME_MS / 2);
      g_ptr_array_add (specs, world_job ("aa", 1, 1000, 1000));
      world_take_over (world, specs);
    }
  world_run (world, SETTLE_MS);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_FAILED);
  assert_in_range (world_crashing_task_starts (world, "aa.0.0.0"), 1, MAX_CRASHES);
  world_destroy (world);
}

/* Crashes a worker that runs `n` jobs of one task each, so that all are suspects once it has
 * restarted; another worker was up all the time. */
static struct world *
create_with_suspects (unsigned n)
{
  struct world *world = world_create ();
  struct world_worker *crashed = world_add_worker (world, "r1");

  world->run_ms = 3000;
  world_run (world, 200);
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%u", i);

      world_submit (world, world_job (id, 1, 1000, 3000));
    }
  world_run (world, 200);
  assert_int_equal (crashed->n_starts, n);
  world_add_worker (world, "r1");
  world_crash (world, crashed);
  return world;
}

/* Guards against a pool that asks for no machines while suspects wait for a worker each: by their
 * processors alone they fit on the workers that it has. */
static void
test_waiting_suspects_ask_for_workers_of_their_own (void **state)
{
  struct world *world = create_with_suspects (12);
  struct mt_scheduler_load load;

  world_run (world, WORLD_DOWNTIME_MS + 1300);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_true (load.overdue_cpu >= 3 * 16000);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_that_crashes_its_workers_fails_its_job),
    cmocka_unit_test (test_task_that_crashes_workers_under_new_ids_fails_its_job),
    cmocka_unit_test (test_crashes_are_counted_across_takeovers),
    cmocka_unit_test (test_waiting_suspects_ask_for_workers_of_their_own),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
