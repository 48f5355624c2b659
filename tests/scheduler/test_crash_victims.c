#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 8

struct losses
{
  const char *id;
  unsigned most;
};

/* "id=ID ... losses=N" */
static void
note_losses (void *ctx, const char *name, const char *detail)
{
  struct losses *l = ctx;
  const char *at = strstr (detail, "losses=");
  unsigned n = 0;

  if (strcmp (name, "TASK_LOST") == 0 && strncmp (detail + strlen ("id="), l->id, 2) == 0
      && at != NULL && sscanf (at, "losses=%u", &n) == 1)
    l->most = MAX (l->most, n);
}

/* Guards against tasks that are lost with one that crashes its worker, and go with it to the next
 * one each time. */
static void
test_tasks_lost_with_a_crash_are_lost_once (void **state)
{
  struct world *world = world_create ();
  struct losses losses = { "bb", 0 };

  for (unsigned i = 0; i < WORKERS; i++)
    world_add_worker (world, "r1");
  /* Work is packed on workers that have done some. */
  world->run_ms = 200;
  world_submit (world, world_job ("ww", 16 * WORKERS, 1000, 200));
  assert_true (world_until (world, "ww", MT_JOB_COMPLETED, 2000));
  mt_scheduler_on_told (world->sched, note_losses, &losses);
  world->run_ms = 1500;
  world_submit (world, world_job ("bb", 4, 1000, 1500));
  world_run (world, 100);
  world_add_crashing (world, "aa.0.0.0");
  world_submit (world, world_job ("aa", 6, 1000, 1000));
  world_run (world, 8 * WORLD_DOWN_MS);
  assert_int_equal (mt_scheduler_state (world->sched, "bb"), MT_JOB_COMPLETED);
  assert_in_range (losses.most, 0, 1);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tasks_lost_with_a_crash_are_lost_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
