/* Starts sent to workers that have not listed their runs lately, and so may have restarted. */
#include "world.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define N_WORKERS 4
#define JOB_TASKS 11

static struct mt_job_spec *
spec (void)
{
  struct mt_job_spec *job = world_job ("La", JOB_TASKS, 4000, 1000);

  job->steps[0].long_running = true;
  return job;
}

/* Guards against a successor that starts a task again while it runs on a worker that was idle and
 * restarted unnoticed: the leader counted with the longest lease, as it had no recent listing, but
 * the record does not tell. */
static void
test_successor_awaits_the_longest_lease_of_an_unlisted_worker (void **state)
{
  static const int64_t max_leases[] = { 4500, 6000, 10000, 15000, 60000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct world *world = world_create ();
      g_autoptr (GPtrArray) specs = g_ptr_array_new ();
      struct world_worker *w = &world->workers[0];

      world_set_max_lease (world, max_leases[i]);
      for (unsigned j = 0; j < N_WORKERS; j++)
        world_add_worker (world, "r1");
      world_run (world, 90000);
      w->entry_lag_ms = 100000;
      world_reboot (world, w);
      w->drops_all_answers = true;
      world_submit (world, spec ());
      world_run (world, 300);
      assert_in_range (w->runs->len, 1, 4);
      w->silent = true;
      g_ptr_array_add (specs, spec ());
      world_take_over (world, specs);
      world_run (world, 2 * max_leases[i]);
      assert_int_equal (world->duplicate_starts, 0);
      world_destroy (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_successor_awaits_the_longest_lease_of_an_unlisted_worker),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
