/* Speed of workers under named loads: which of them are called slow, and where new work goes. */
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static uint64_t
add_to_hash (uint64_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (unsigned char) *text) * 1099511628211U;
  return hash;
}

/* Returns a hash of all runs and load reports of 12 s with slow workers. */
static uint64_t
hash_decisions (struct world *world)
{
  uint64_t hash = 14695981039346656037U;
  unsigned random = 1;

  for (unsigned i = 0; i < 6; i++)
    world_add_worker (world, "r1")->run_time_factor = i < 2 ? 2 : i == 2 ? 10 : 1;
  world_run (world, 200);
  for (unsigned tick = 0; tick < 2400; tick++)
    {
      struct mt_scheduler_load load;
      char text[160];

      random = random * 1103515245U + 12345U;
      if (tick % 20 == 0)
        {
          snprintf (text, sizeof text, "j%u", tick);
          world_submit (world, world_job (text, 2 + (random >> 16) % 12, 1000 + 500 * (tick % 3),
                                          500 + (random >> 16) % 1500));
        }
      world_run (world, 5);
      for (unsigned i = 0; i < world->n_workers; i++)
        for (guint k = 0; k < world->workers[i].runs->len; k++)
          {
            const struct world_run *run
                = &g_array_index (world->workers[i].runs, struct world_run, k);

            snprintf (text, sizeof text, "%u %s %u;", i, run->task, run->run);
            hash = add_to_hash (hash, text);
          }
      mt_scheduler_load (world->sched, world->now, &load);
      snprintf (text, sizeof text, "%lld %lld %lld %lld;", (long long) load.capacity_cpu,
                (long long) load.used_cpu, (long long) load.demand_cpu,
                (long long) load.upcoming_cpu);
      hash = add_to_hash (hash, text);
    }
  return hash;
}

/* Guards against decisions that change in deployments that have not set worker_speed. The hash is
 * that of the decisions before the setting existed. */
static void
test_nothing_changes_without_the_setting (void **state)
{
  struct world *world = world_create ();
  uint64_t hash = hash_decisions (world);

  assert_true (hash == 15459660142518034925U);
  world_destroy (world);
}

/* ---- loads ---- */

#define HARD_PREFIX 'h'

/* Run times of tasks, as multiples of world.run_ms: 0.7 to 2.1, from the task's name. */
static double
task_factor (const char *task)
{
  uint64_t hash = add_to_hash (14695981039346656037U, task) >> 20;

  return (0.7 + 1.4 * (double) (hash % 1000) / 1000) * (task[0] == HARD_PREFIX ? 5 : 1);
}

/* ... of which 3% are seven times as long. */
static double
task_factor_with_long_ones (const char *task)
{
  uint64_t hash = add_to_hash (1469598103934665603U, task) >> 20;

  return task_factor (task) * (hash % 100 < 3 ? 7 : 1);
}

struct load
{
  struct world *world;
  unsigned n_jobs;
  unsigned random;
  int64_t interval_ms;   /* between jobs of four tasks of two cores */
  GString *events;       /* of WORKER_SLOW, a line each */
  bool checkpointing;    /* of the jobs' steps */
  unsigned n_moves;      /* off slow workers */
  int64_t longest_ms;    /* age of the job that took longest */
  unsigned n_slow_ended; /* ended jobs that had tasks on slow workers */
};

static void
record_event (void *ctx, const char *name, const char *detail)
{
  struct load *load = ctx;

  const char *age = strstr (detail, " age_ms=");

  load->n_moves += strcmp (name, "TASK_MOVED") == 0 && strstr (detail, "why=slow") != NULL;
  if (strcmp (name, "JOB_ENDED") == 0)
    load->longest_ms
        = MAX (load->longest_ms, g_ascii_strtoll (age + strlen (" age_ms="), NULL, 10));
  if (strcmp (name, "JOB_ENDED") == 0)
    load->n_slow_ended += strstr (detail, " slow_worker=i-") != NULL;
  if (strcmp (name, "WORKER_SLOW") == 0)
    g_string_append_printf (load->events, "%s;", detail);
}

static struct load
create_load (unsigned workers, unsigned seed, bool worker_speed)
{
  struct load load = { .world = world_create (),
                       .random = seed,
                       .interval_ms = 1200 / workers,
                       .events = g_string_new (NULL) };

  if (worker_speed)
    world_set_worker_speed (load.world);
  load.world->task_factor = task_factor;
  for (unsigned i = 0; i < workers; i++)
    world_add_worker (load.world, "r1");
  world_run (load.world, 200);
  return load;
}

static void
destroy_load (struct load *load)
{
  g_string_free (load->events, TRUE);
  world_destroy (load->world);
}

static void
submit_job (struct load *load, char prefix, int64_t estimate_ms)
{
  g_autofree char *id = g_strdup_printf ("%c%u", prefix, load->n_jobs++);
  struct mt_job_spec *spec = world_job (id, 4, 2000, estimate_ms);

  spec->steps[0].checkpointing = load->checkpointing;
  world_submit (load->world, spec);
}

/* Submits jobs whose estimates are half to twice the mean run time, whatever the real one is. */
static void
run_load (struct load *load, int64_t ms)
{
  int64_t until = load->world->now + ms;

  mt_scheduler_set_event_callback (load->world->sched, record_event, load);
  while (load->world->now < until)
    {
      load->random = load->random * 1103515245U + 12345U;
      submit_job (load, 'j', 700 + (load->random >> 16) % 2100);
      world_run (load->world, load->interval_ms);
    }
}

/* Submits as many tasks at once as all workers can run. */
static void
fill_all_workers (struct load *load)
{
  for (unsigned i = 0; i < 2 * load->world->n_workers; i++)
    submit_job (load, 'f', 1400);
}

/* Returns how often the worker was logged with the state. */
static unsigned
count_events (const struct load *load, const struct world_worker *w, const char *state)
{
  g_autofree char *start = g_strdup_printf ("worker=%s route=route state=%s ", w->id, state);
  unsigned n = 0;

  for (const char *at = load->events->str; (at = strstr (at, start)) != NULL; at++)
    n++;
  return n;
}

static unsigned
count_starts (const struct load *load, unsigned first, unsigned n)
{
  unsigned starts = 0;

  for (unsigned i = first; i < first + n; i++)
    starts += load->world->workers[i].n_starts;
  return starts;
}

static struct mt_scheduler_load
read_load (const struct load *load)
{
  struct mt_scheduler_load out;

  mt_scheduler_load (load->world->sched, load->world->now, &out);
  return out;
}

/* ---- tests ---- */

/* Nine workers, of which the first three run at half speed. */
static struct load
create_slow_third (unsigned seed, bool worker_speed)
{
  struct load load = create_load (9, seed, worker_speed);

  for (unsigned i = 0; i < 3; i++)
    load.world->workers[i].run_time_factor = 2;
  return load;
}

/* Guards against slow workers that get new work while others have free resources. */
static void
test_slow_third_gets_no_work_while_others_are_free (void **state)
{
  unsigned starts[2];

  for (unsigned with = 0; with < 2; with++)
    {
      struct load load = create_slow_third (1, with);

      run_load (&load, 20000);
      starts[with] = count_starts (&load, 0, 3);
      for (unsigned i = 0; with && i < 9; i++)
        assert_int_equal (count_events (&load, &load.world->workers[i], "slow") > 0, i < 3);
      run_load (&load, 20000);
      starts[with] = count_starts (&load, 0, 3) - starts[with];
      destroy_load (&load);
    }
  assert_true (starts[1] < starts[0]);
}

/* Guards against a load report that counts slow workers in full, so that the pool lacks machines
 * that it does not ask for. */
static void
test_load_counts_slow_workers_by_their_speed (void **state)
{

  for (unsigned with = 0; with < 2; with++)
    {
      struct load load = create_slow_third (1, with);
      struct mt_scheduler_load view;

      load.interval_ms = 112; /* 100 cores, more than the fast workers have */
      run_load (&load, 40000);
      view = read_load (&load);
      assert_true (view.used_cpu <= view.capacity_cpu);
      if (with)
        assert_in_range (view.capacity_cpu, 6 * 16000 + 3 * 6500, 6 * 16000 + 3 * 10500);
      else
        assert_int_equal (view.capacity_cpu, 9 * 16000);
      if (!with)
        assert_int_equal (load.events->len, 0);
      /* Guards against jobs on slow workers whose last event doesn't say so. */
      assert_int_equal (load.n_slow_ended > 0, with);
      destroy_load (&load);
    }
}

/* Guards against a worker that is found to be slow only when its runs end. */
static void
test_worker_ten_times_slower (void **state)
{
  struct load load = create_load (9, 2, true);
  unsigned before;

  load.world->workers[4].run_time_factor = 10;
  fill_all_workers (&load);
  run_load (&load, 5000);
  assert_int_equal (count_events (&load, &load.world->workers[4], "slow"), 1);
  before = count_starts (&load, 4, 1);
  run_load (&load, 10000);
  assert_true (count_starts (&load, 4, 1) - before <= 4);
  for (unsigned i = 0; i < 9; i++)
    assert_true (i == 4 || count_events (&load, &load.world->workers[i], "slow") == 0);
  destroy_load (&load);
}

/* Guards against workers called slow for single long tasks. */
static void
test_long_tasks_make_no_worker_slow (void **state)
{
  for (unsigned seed = 1; seed <= 8; seed++)
    {
      struct load load = create_load (12, seed, true);

      load.world->task_factor = task_factor_with_long_ones;
      load.n_jobs = 100000 * seed;
      run_load (&load, 60000);
      if (load.events->len > 0)
        assert_int_equal (load.events->len, 0);
      destroy_load (&load);
    }
}

/* Guards against workers called slow when a route becomes harder on all of them, and against a load
 * report that counts less capacity for it. */
static void
test_harder_route_makes_no_worker_slow (void **state)
{
  for (unsigned seed = 1; seed <= 8; seed++)
    {
      struct load load = create_load (9, seed, true);

      load.n_jobs = 100000 * seed;
      run_load (&load, 15000);
      load.world->run_ms *= 2;
      run_load (&load, 25000);
      if (load.events->len > 0)
        assert_int_equal (load.events->len, 0);
      assert_int_equal (read_load (&load).capacity_cpu, 9 * 16000);
      destroy_load (&load);
    }
}

/* Guards against a worker called slow because most tasks of one hard job run there. */
static void
test_hard_job_makes_no_worker_slow (void **state)
{
  struct load load = create_load (9, 3, true);

  run_load (&load, 10000);
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("%c%u", HARD_PREFIX, i);

      world_submit (load.world, world_job (id, 16, 1000, 1000));
      run_load (&load, 8000);
    }
  assert_int_equal (load.events->len, 0);
  destroy_load (&load);
}

/* Guards against a worker that stays without work after it has recovered. */
static void
test_recovered_worker_gets_work_again (void **state)
{
  struct load load = create_load (9, 4, true);
  struct world_worker *w = &load.world->workers[7];
  unsigned before;

  w->run_time_factor = 5;
  fill_all_workers (&load);
  run_load (&load, 8000);
  assert_true (count_events (&load, w, "slow") > 0);
  w->run_time_factor = 1;
  run_load (&load, 32000);
  assert_true (count_events (&load, w, "normal") + count_events (&load, w, "unknown")
               == count_events (&load, w, "slow"));
  assert_int_equal (read_load (&load).capacity_cpu, 9 * 16000);
  fill_all_workers (&load);
  before = count_starts (&load, 7, 1);
  run_load (&load, 10000);
  assert_true (count_starts (&load, 7, 1) > before);
  destroy_load (&load);
}

/* Guards against a judgement of a worker by its first tasks alone. */
static void
test_new_worker_is_not_slow (void **state)
{
  struct load load = create_load (8, 5, true);

  load.world->task_factor = task_factor_with_long_ones;
  run_load (&load, 10000);
  world_add_worker (load.world, "r1");
  load.interval_ms = load.interval_ms * 3 / 4;
  run_load (&load, 20000);
  assert_true (count_starts (&load, 8, 1) > 0);
  assert_int_equal (load.events->len, 0);
  destroy_load (&load);
}

/* Guards against a network partition taken for slowness: the ends of runs are reported late. */
static void
test_silent_worker_is_not_slow (void **state)
{
  struct load load = create_load (9, 6, true);
  struct world_worker *w = &load.world->workers[2];

  run_load (&load, 10000);
  for (unsigned i = 0; i < 5; i++)
    {
      w->drops_all_answers = true;
      run_load (&load, 2500);
      w->drops_all_answers = false;
      run_load (&load, 2000);
      w->drops_hold_answers = true;
      run_load (&load, 2500);
      w->drops_hold_answers = false;
      run_load (&load, 2000);
    }
  assert_int_equal (load.events->len, 0);
  destroy_load (&load);
}

/* Guards against estimates that a successor takes over without evidence of its own. */
static void
test_takeover_starts_without_estimates (void **state)
{
  struct load load = create_load (9, 7, true);
  g_autoptr (GPtrArray) none = g_ptr_array_new ();

  load.world->workers[1].run_time_factor = 5;
  fill_all_workers (&load);
  run_load (&load, 8000);
  assert_true (read_load (&load).capacity_cpu < 9 * 16000);
  world_take_over (load.world, none);
  load.n_jobs += 100000;
  run_load (&load, 1000);
  assert_int_equal (read_load (&load).capacity_cpu, 9 * 16000);
  destroy_load (&load);
}

/* A load of which one worker runs `factor` times longer, and whose tasks take about 4 s elsewhere.
 */
static struct load
run_with_slow_worker (double factor, bool checkpointing, int64_t interval_ms)
{
  struct load load = create_load (9, 8, true);

  load.checkpointing = checkpointing;
  load.world->checkpoint_percent = 2;
  load.world->workers[4].run_time_factor = factor;
  load.world->run_ms = 3000;
  load.interval_ms = interval_ms;
  fill_all_workers (&load);
  run_load (&load, 60000);
  return load;
}

/* Guards against jobs that wait for tasks on a slow worker although these could go on elsewhere,
 * and against two runs of a moved task. */
static void
test_tasks_with_checkpoint_leave_a_slow_worker (void **state)
{
  struct load moved = run_with_slow_worker (10, true, 800);
  struct load stays = run_with_slow_worker (10, false, 800);

  assert_true (moved.n_moves >= 4);
  assert_true (moved.n_moves <= moved.world->workers[4].n_starts);
  assert_int_equal (stays.n_moves, 0);
  assert_true (2 * moved.longest_ms < stays.longest_ms);
  assert_int_equal (moved.world->duplicate_starts, 0);
  assert_int_equal (moved.world->redundant_starts, 0);
  destroy_load (&moved);
  destroy_load (&stays);
}

/* Guards against moves that take longer than the rest of the run. */
static void
test_tasks_stay_where_a_move_gains_nothing (void **state)
{
  struct load load = create_load (9, 9, true);

  load.checkpointing = true;
  load.world->checkpoint_percent = 2;
  load.world->workers[4].run_time_factor = 1.7;
  load.world->run_ms = 450;
  for (unsigned i = 0; i < 20; i++)
    {
      fill_all_workers (&load);
      run_load (&load, 2500);
    }
  assert_int_equal (count_events (&load, &load.world->workers[4], "slow") > 0, true);
  assert_int_equal (load.n_moves, 0);
  destroy_load (&load);
}

/* Guards against moved tasks that wait behind others while their worker is used by others. */
static void
test_tasks_stay_in_a_full_pool (void **state)
{
  struct load load = run_with_slow_worker (5, true, 150);

  assert_int_equal (count_events (&load, &load.world->workers[4], "slow") > 0, true);
  assert_int_equal (load.n_moves, 0);
  destroy_load (&load);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_changes_without_the_setting),
    cmocka_unit_test (test_slow_third_gets_no_work_while_others_are_free),
    cmocka_unit_test (test_load_counts_slow_workers_by_their_speed),
    cmocka_unit_test (test_worker_ten_times_slower),
    cmocka_unit_test (test_long_tasks_make_no_worker_slow),
    cmocka_unit_test (test_harder_route_makes_no_worker_slow),
    cmocka_unit_test (test_hard_job_makes_no_worker_slow),
    cmocka_unit_test (test_recovered_worker_gets_work_again),
    cmocka_unit_test (test_new_worker_is_not_slow),
    cmocka_unit_test (test_silent_worker_is_not_slow),
    cmocka_unit_test (test_takeover_starts_without_estimates),
    cmocka_unit_test (test_tasks_with_checkpoint_leave_a_slow_worker),
    cmocka_unit_test (test_tasks_stay_where_a_move_gains_nothing),
    cmocka_unit_test (test_tasks_stay_in_a_full_pool),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
