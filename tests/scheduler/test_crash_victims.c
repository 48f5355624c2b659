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
  mt_scheduler_set_event_callback (world->sched, note_losses, &losses);
  world->run_ms = 1500;
  world_submit (world, world_job ("bb", 4, 1000, 1500));
  world_run (world, 100);
  world_add_crashing (world, "aa.0.0.0");
  world_submit (world, world_job ("aa", 6, 1000, 1000));
  world_run (world, 8 * WORLD_DOWN_MS);
  assert_int_equal (mt_scheduler_job_state (world->sched, "bb"), MT_JOB_COMPLETED);
  assert_in_range (losses.most, 0, 1);
  world_destroy (world);
}

#define LOAD_WORKERS  11
#define SURGE_MS      4000
#define PERIOD_MS     16000
#define LOAD_MS       48000
#define STEP_MS       5
#define CRASH_SHARE   50 /* one job of so many takes its workers down */
#define MOST_STARTS   5  /* three crashes, and three more starts are too many */
#define MAX_JOBS      2000
#define SEEDS         8
#define CRASH_MS      10
#define LATE_CRASH_MS 750 /* of runs of 800 */

struct load
{
  struct world *world;
  GRand *rand;
  unsigned n_jobs;
  bool crashing[MAX_JOBS];
};

/* 38 jobs a second in a surge, 3 between. */
static void
submit_some (struct load *load, int64_t at)
{
  double a_second = at % PERIOD_MS < SURGE_MS ? 38 : 3;
  unsigned n = load->n_jobs;
  char id[16];
  char task[32];

  if (n == MAX_JOBS || g_rand_double (load->rand) > a_second * STEP_MS / 1000)
    return;
  g_snprintf (id, sizeof id, "j%u", n);
  g_snprintf (task, sizeof task, "%s.0.0.0", id);
  load->crashing[n] = g_rand_int_range (load->rand, 0, CRASH_SHARE) == 0;
  if (load->crashing[n])
    world_add_crashing (load->world, task);
  world_submit (load->world,
                world_job (id, (unsigned) g_rand_int_range (load->rand, 1, 12), 880, 800));
  load->n_jobs++;
}

static struct load
play_load (uint32_t seed, int64_t crash_ms)
{
  struct load load = { .world = world_create (), .rand = g_rand_new_with_seed (seed) };

  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    world_add_worker (load.world, "r1");
  load.world->run_ms = 800;
  load.world->crash_ms = crash_ms;
  for (int64_t at = 0; at < LOAD_MS; at += STEP_MS)
    {
      submit_some (&load, at);
      world_run (load.world, STEP_MS);
    }
  world_run (load.world, 8 * WORLD_DOWN_MS);
  return load;
}

static void
clear_load (struct load *load)
{
  g_rand_free (load->rand);
  world_destroy (load->world);
}

/* Those that take their workers down are given up in time. */
static void
check_crashing (const struct load *load)
{
  for (unsigned i = 0; i < load->n_jobs; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);
      g_autofree char *task = g_strdup_printf ("%s.0.0.0", id);

      if (load->crashing[i])
        assert_int_equal (mt_scheduler_job_state (load->world->sched, id), MT_JOB_FAILED);
      assert_in_range (world_crashes_by (load->world, task), 0, MOST_STARTS);
    }
  assert_int_equal (load->world->twice, 0);
}

/* All others are done. */
static void
check_others (const struct load *load)
{
  for (unsigned i = 0; i < load->n_jobs; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);

      if (!load->crashing[i])
        assert_int_equal (mt_scheduler_job_state (load->world->sched, id), MT_JOB_COMPLETED);
    }
}

/* Guards against jobs that are given up, or never done, beside those that take their workers down,
 * in surges to more than the pool holds. */
static void
test_jobs_are_done_beside_crashing_ones_in_surges (void **state)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct load load = play_load (seed, CRASH_MS);

      check_crashing (&load);
      check_others (&load);
      clear_load (&load);
    }
}

/* Guards against a bound that only holds for crashes right after a start: late in a run other tasks
 * look like the cause. */
static void
test_late_crashes_are_bounded_in_surges (void **state)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct load load = play_load (seed, LATE_CRASH_MS);

      check_crashing (&load);
      clear_load (&load);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tasks_lost_with_a_crash_are_lost_once),
    cmocka_unit_test (test_jobs_are_done_beside_crashing_ones_in_surges),
    cmocka_unit_test (test_late_crashes_are_bounded_in_surges),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
