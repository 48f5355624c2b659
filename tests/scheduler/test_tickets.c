/* Steps that only some workers may run, as an advice service tells. */
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Far more than one request names. */
#define N_WORKERS 400
#define TASK_CPU  880
#define TASK_MS   800

static struct world *
create_pool (unsigned n_workers, bool (*may_run) (const char *step, unsigned worker))
{
  struct world *world = world_create ();

  world->run_ms = TASK_MS;
  world_require_tickets (world, may_run);
  for (unsigned i = 0; i < n_workers; i++)
    world_add_worker (world, "r1");
  world_run (world, 300);
  return world;
}

/* Job "jN" may only run on worker N. */
static bool
is_worker_of_job (const char *step, unsigned worker)
{
  return strtoul (step + 1, NULL, 10) == worker;
}

static bool
any_worker (const char *step, unsigned worker)
{
  return true;
}

static bool
is_even (const char *step, unsigned worker)
{
  return worker % 2 == 0;
}

static void
submit_for_worker (struct world *world, unsigned worker)
{
  g_autofree char *id = g_strdup_printf ("j%u", worker);

  world_submit (world, world_job (id, 2, TASK_CPU, TASK_MS));
}

static void
check_completed (const struct world *world, unsigned worker)
{
  g_autofree char *id = g_strdup_printf ("j%u", worker);

  assert_int_equal (mt_scheduler_job_state (world->sched, id), MT_JOB_COMPLETED);
}

/* Guards against requests that name the same workers each time: a step that only another one may
 * run never starts. */
static void
test_step_starts_on_the_only_worker_that_may_run_it (void **state)
{
  struct world *world = create_pool (N_WORKERS, is_worker_of_job);

  for (unsigned i = 0; i < N_WORKERS; i += 57)
    submit_for_worker (world, i);
  submit_for_worker (world, N_WORKERS - 1);
  world_run (world, 6000);
  for (unsigned i = 0; i < N_WORKERS; i += 57)
    check_completed (world, i);
  check_completed (world, N_WORKERS - 1);
  assert_int_equal (world->ticket_refusals, 0);
  world_destroy (world);
}

/* Guards against steps that wait for good behind others that ask again and again: the service
 * handles one request at a time and refuses more than 32. */
static void
test_many_steps_that_ask_at_once_all_start (void **state)
{
  enum
  {
    STEPS = 120
  };
  struct world *world = create_pool (STEPS, is_worker_of_job);

  for (unsigned i = 0; i < STEPS; i++)
    submit_for_worker (world, i);
  world_run (world, 16000);
  for (unsigned i = 0; i < STEPS; i++)
    check_completed (world, i);
  world_destroy (world);
}

/* Guards against a request that fails and is repeated with the same workers before others are
 * named.
 */
static void
test_failed_requests_do_not_keep_workers_out (void **state)
{
  struct world *world = create_pool (N_WORKERS, is_worker_of_job);

  world->fails_advice_of = 2;
  submit_for_worker (world, N_WORKERS - 1);
  submit_for_worker (world, N_WORKERS / 2);
  world_run (world, 9000);
  check_completed (world, N_WORKERS - 1);
  check_completed (world, N_WORKERS / 2);
  world_destroy (world);
}

/* Guards against workers that are never asked for because they joined after all others were. */
static void
test_workers_that_join_later_are_asked_for (void **state)
{
  struct world *world = create_pool (40, is_worker_of_job);

  submit_for_worker (world, 44);
  world_run (world, 3000);
  for (unsigned i = 40; i < 45; i++)
    world_add_worker (world, "r1");
  world_run (world, 3000);
  check_completed (world, 44);
  world_destroy (world);
}

/* Guards against starts with a ticket of the worker's former incarnation, which are refused. */
static void
test_ticket_of_the_former_incarnation_is_not_used (void **state)
{
  struct world *world = create_pool (1, any_worker);
  struct world_worker *w = &world->workers[0];

  world->run_ms = -1;
  world_submit (world, world_job ("aa", 20, TASK_CPU, TASK_MS));
  world_run (world, 300);
  assert_in_range (w->runs->len, 1, 18);
  world->run_ms = TASK_MS;
  world_reboot (world, w);
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 15000));
  assert_int_equal (world->ticket_refusals, 0);
  world_destroy (world);
}

/* Guards against tickets that lapse while their step waits for resources and are not renewed. */
static void
test_lapsed_tickets_are_renewed (void **state)
{
  struct world *world = create_pool (60, is_even);

  world->run_ms = 10000;
  world_submit (world, world_job ("aa", 30, 16000, 10000));
  world_run (world, 1000);
  assert_int_equal (world->n_starts, 30);
  world->run_ms = TASK_MS;
  world_submit (world, world_job ("bb", 90, TASK_CPU, TASK_MS));
  assert_true (world_run_until_state (world, "bb", MT_JOB_COMPLETED, 15000));
  assert_int_equal (world->ticket_refusals, 0);
  world_destroy (world);
}

/* Guards against a step whose tickets are only requested once a worker has resources, which other
 * steps take meanwhile. */
static void
test_waiting_step_asks_while_all_workers_are_busy (void **state)
{
  struct world *world = create_pool (3, any_worker);

  world->run_ms = 2000;
  world_submit (world, world_job ("aa", 3, 16000, 2000));
  world_run (world, 500);
  world_submit (world, world_job ("bb", 3, 16000, 2000));
  world_run (world, 1000);
  assert_int_equal (world->n_starts, 3);
  world_run (world, 700);
  assert_int_equal (world->n_starts, 6);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_step_starts_on_the_only_worker_that_may_run_it),
    cmocka_unit_test (test_many_steps_that_ask_at_once_all_start),
    cmocka_unit_test (test_failed_requests_do_not_keep_workers_out),
    cmocka_unit_test (test_workers_that_join_later_are_asked_for),
    cmocka_unit_test (test_ticket_of_the_former_incarnation_is_not_used),
    cmocka_unit_test (test_lapsed_tickets_are_renewed),
    cmocka_unit_test (test_waiting_step_asks_while_all_workers_are_busy),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
