#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define N_WORKERS 8

struct losses
{
  const char *id;
  unsigned max_losses;
};

/* Keeps the highest losses=N of the job's TASK_LOST events: "id=ID ... losses=N". */
static void
record_losses (void *ctx, const char *name, const char *detail)
{
  struct losses *l = ctx;
  const char *at = strstr (detail, "losses=");
  unsigned n = 0;

  if (strcmp (name, "TASK_LOST") == 0 && strncmp (detail + strlen ("id="), l->id, 2) == 0
      && at != NULL && sscanf (at, "losses=%u", &n) == 1)
    l->max_losses = MAX (l->max_losses, n);
}

/* Guards against tasks that are lost when another task crashes their worker, and are placed with
 * the crashing task again each time. */
static void
test_tasks_lost_in_a_crash_are_lost_only_once (void **state)
{
  struct world *world = world_create ();
  struct losses losses = { "bb", 0 };

  for (unsigned i = 0; i < N_WORKERS; i++)
    world_add_worker (world, "r1");
  /* Tasks are packed on workers that have completed some. */
  world->run_ms = 200;
  world_submit (world, world_job ("ww", 16 * N_WORKERS, 1000, 200));
  assert_true (world_run_until_state (world, "ww", MT_JOB_COMPLETED, 2000));
  mt_scheduler_set_event_callback (world->sched, record_losses, &losses);
  world->run_ms = 1500;
  world_submit (world, world_job ("bb", 4, 1000, 1500));
  world_run (world, 100);
  world_add_crashing (world, "aa.0.0.0");
  world_submit (world, world_job ("aa", 6, 1000, 1000));
  world_run (world, 8 * WORLD_DOWNTIME_MS);
  assert_int_equal (mt_scheduler_job_state (world->sched, "bb"), MT_JOB_COMPLETED);
  assert_in_range (losses.max_losses, 0, 1);
  world_destroy (world);
}

#define N_LOAD_WORKERS 11
#define SURGE_MS       4000
#define PERIOD_MS      16000
#define LOAD_MS        48000
#define STEP_MS        5
/* One in this many jobs crashes its workers. */
#define JOBS_PER_CRASHING_JOB      50
#define JOBS_PER_CRASHING_JOB_MANY 14
#define N_LONG_RUNNING             10
#define MAX_STARTS                 5 /* three crashes and two more starts */
#define MAX_JOBS                   2000
#define N_SEEDS                    8
#define EARLY_CRASH_DELAY_MS       10
#define LATE_CRASH_DELAY_MS        750 /* of a run time of 800 ms */

struct load
{
  struct world *world;
  GRand *rand;
  int jobs_per_crashing_job;
  unsigned n_jobs;
  bool crashing[MAX_JOBS];
};

/* Submits 38 jobs per second in a surge, 3 per second between surges. */
static void
submit_at_random (struct load *load, int64_t at)
{
  double jobs_per_s = at % PERIOD_MS < SURGE_MS ? 38 : 3;
  unsigned n = load->n_jobs;
  char id[16];
  char task[32];

  if (n == MAX_JOBS || g_rand_double (load->rand) > jobs_per_s * STEP_MS / 1000)
    return;
  g_snprintf (id, sizeof id, "j%u", n);
  g_snprintf (task, sizeof task, "%s.0.0.0", id);
  load->crashing[n] = g_rand_int_range (load->rand, 0, load->jobs_per_crashing_job) == 0;
  if (load->crashing[n])
    world_add_crashing (load->world, task);
  world_submit (load->world,
                world_job (id, (unsigned) g_rand_int_range (load->rand, 1, 12), 880, 800));
  load->n_jobs++;
}

static struct load
create_load (uint32_t seed, int64_t crash_ms, int jobs_per_crashing_job)
{
  struct load load = { .world = world_create (),
                       .rand = g_rand_new_with_seed (seed),
                       .jobs_per_crashing_job = jobs_per_crashing_job };

  for (unsigned i = 0; i < N_LOAD_WORKERS; i++)
    world_add_worker (load.world, "r1");
  load.world->run_ms = 800;
  load.world->crash_delay_ms = crash_ms;
  return load;
}

static struct load
run_load (uint32_t seed, int64_t crash_ms)
{
  struct load load = create_load (seed, crash_ms, JOBS_PER_CRASHING_JOB);

  for (int64_t at = 0; at < LOAD_MS; at += STEP_MS)
    {
      submit_at_random (&load, at);
      world_run (load.world, STEP_MS);
    }
  world_run (load.world, 8 * WORLD_DOWNTIME_MS);
  return load;
}

static void
clear_load (struct load *load)
{
  g_rand_free (load->rand);
  world_destroy (load->world);
}

/* Jobs that crash their workers fail within the limit of starts. */
static void
check_crashing_jobs_fail (const struct load *load)
{
  for (unsigned i = 0; i < load->n_jobs; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);
      g_autofree char *task = g_strdup_printf ("%s.0.0.0", id);

      if (load->crashing[i])
        assert_int_equal (mt_scheduler_job_state (load->world->sched, id), MT_JOB_FAILED);
      assert_in_range (world_crashing_task_starts (load->world, task), 0, MAX_STARTS);
    }
  assert_int_equal (load->world->duplicate_starts, 0);
}

static void
check_other_jobs_complete (const struct load *load)
{
  for (unsigned i = 0; i < load->n_jobs; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);

      if (!load->crashing[i])
        assert_int_equal (mt_scheduler_job_state (load->world->sched, id), MT_JOB_COMPLETED);
    }
}

/* Guards against jobs that fail or never complete because other jobs crash their workers, in surges
 * beyond the pool's capacity. */
static void
test_other_jobs_complete_beside_crashing_ones_in_surges (void **state)
{
  for (uint32_t seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load load = run_load (seed, EARLY_CRASH_DELAY_MS);

      check_crashing_jobs_fail (&load);
      check_other_jobs_complete (&load);
      clear_load (&load);
    }
}

/* Guards against a limit that only holds for crashes right after a start: late in a run other tasks
 * look like the cause. */
static void
test_late_crashes_are_bounded_in_surges (void **state)
{
  for (uint32_t seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load load = run_load (seed, LATE_CRASH_DELAY_MS);

      check_crashing_jobs_fail (&load);
      clear_load (&load);
    }
}

/* Guards against giving up a long-running job whose tasks are lost with workers that other jobs
 * crash: all of its tasks would be stopped at once. */
static void
test_long_running_job_survives_many_crashes_of_others (void **state)
{
  for (uint32_t seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load load = create_load (seed, EARLY_CRASH_DELAY_MS, JOBS_PER_CRASHING_JOB_MANY);
      struct mt_job_spec *spec = world_job ("Lx", N_LONG_RUNNING, 880, 1000);

      spec->steps[0].long_running = true;
      spec->steps[0].max_unavailable = 1;
      world_submit (load.world, spec);
      world_run (load.world, 1000);
      for (int64_t at = 0; at < LOAD_MS; at += STEP_MS)
        {
          submit_at_random (&load, at);
          world_run (load.world, STEP_MS);
        }
      world_run (load.world, 8 * WORLD_DOWNTIME_MS);
      assert_int_equal (mt_scheduler_job_state (load.world->sched, "Lx"), MT_JOB_ACTIVE);
      check_crashing_jobs_fail (&load);
      clear_load (&load);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tasks_lost_in_a_crash_are_lost_only_once),
    cmocka_unit_test (test_other_jobs_complete_beside_crashing_ones_in_surges),
    cmocka_unit_test (test_late_crashes_are_bounded_in_surges),
    cmocka_unit_test (test_long_running_job_survives_many_crashes_of_others),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
