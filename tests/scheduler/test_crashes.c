#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define WORKERS 8
/* Starts of one task that may take a worker down. */
#define MOST_CRASHES 3
#define LONG_MS      60000

/* Jobs are submitted in front of so many idle workers. */
static struct world *
create (bool new_ids)
{
  struct world *world = world_create ();

  world->new_ids = new_ids;
  for (unsigned i = 0; i < WORKERS; i++)
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
check_given_up (bool new_ids)
{
  struct world *world = create (new_ids);

  submit_crashing (world, "aa", 6);
  assert_true (world_until (world, "aa", MT_JOB_FAILED, LONG_MS));
  assert_in_range (world_crashes_by (world, "aa.0.0.0"), 1, MOST_CRASHES);
  world_run (world, LONG_MS);
  assert_in_range (world_crashes_by (world, "aa.0.0.0"), 1, MOST_CRASHES);
  assert_int_equal (world->twice, 0);
  world_destroy (world);
}

/* Guards against a task that takes down one worker after the other, without end: the worker is back
 * under its own name. */
static void
test_task_that_crashes_its_workers_is_given_up (void **state)
{
  check_given_up (false);
}

/* The same, where the machine is back as another worker. */
static void
test_task_that_crashes_workers_under_new_names_is_given_up (void **state)
{
  check_given_up (true);
}

/* Guards against a bound on crashes that each takeover begins anew. */
static void
test_crashes_are_counted_across_takeovers (void **state)
{
  struct world *world = create (false);

  submit_crashing (world, "aa", 1);
  for (unsigned i = 0; i < 12 && mt_scheduler_job_state (world->sched, "aa") != MT_JOB_FAILED; i++)
    {
      g_autoptr (GPtrArray) specs = g_ptr_array_new ();

      world_run (world, WORLD_DOWN_MS / 2);
      g_ptr_array_add (specs, world_job ("aa", 1, 1000, 1000));
      world_take_over (world, specs);
    }
  world_run (world, LONG_MS);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_FAILED);
  assert_in_range (world_crashes_by (world, "aa.0.0.0"), 1, MOST_CRASHES);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_that_crashes_its_workers_is_given_up),
    cmocka_unit_test (test_task_that_crashes_workers_under_new_names_is_given_up),
    cmocka_unit_test (test_crashes_are_counted_across_takeovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
