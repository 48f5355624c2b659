/* Leases that a worker holds beyond those that its leader meant to grant. An order carries the end
 * of a lease on the clock of the incarnation that it was meant for; another one, whose clock has
 * started anew, grants its longest lease instead. */
#include "world.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define N_WORKERS    4
#define JOB_TASKS    11
#define TASK_CPU     4000
#define ENTRY_LAG_MS 200
/* Until the restarted worker has answered, and is registered and gets work. */
#define NOTICE_MS (ENTRY_LAG_MS + 100)
/* Longest time after which an unanswered order is carried out. */
#define LATE_ORDER_MS 12000
/* From a lease's end until its tasks run elsewhere. */
#define RESTART_MS 1500
/* Not late: the holds of four workers take 110 ms. */
#define SLOW_LINK_BYTES_PER_MS 8
#define DRIFT_MS               (WORLD_MAX_LEASE_MS / 10)

/* Longest leases that workers of different platforms grant. */
static const int64_t max_leases[] = { 4500, 6000, 10000, 15000, 60000 };

struct pool
{
  struct world *world;
  struct world_worker *restarted;
};

static struct pool
create_pool (int64_t max_lease_ms)
{
  struct pool pool = { .world = world_create () };

  world_set_max_lease (pool.world, max_lease_ms);
  for (unsigned i = 0; i < N_WORKERS; i++)
    world_add_worker (pool.world, "r1");
  pool.restarted = &pool.world->workers[0];
  /* The clocks of workers that have been up for longer than any late order. */
  world_run (pool.world, 90000);
  return pool;
}

static struct mt_job_spec *
spec (const char *id, unsigned count)
{
  struct mt_job_spec *job = world_job (id, count, TASK_CPU, 1000);

  job->steps[0].long_running = true;
  return job;
}

static void
take_over (struct pool *pool)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  g_ptr_array_add (specs, spec ("La", JOB_TASKS));
  if (g_hash_table_contains (pool->world->records, "Lb"))
    g_ptr_array_add (specs, spec ("Lb", 1));
  world_take_over (pool->world, specs);
}

/* Runs until every lease has ended and all that was lost runs again. */
static void
check_runs_once (struct pool *pool)
{
  world_run (pool->world, 2 * pool->world->max_lease_ms + MT_OUTAGE_EVIDENCE_MS + RESTART_MS);
  assert_int_equal (pool->world->duplicate_starts, 0);
  for (unsigned i = 0; i < JOB_TASKS; i++)
    {
      g_autofree char *task = g_strdup_printf ("La.0.0.%u", i);

      assert_int_equal (world_count_running (pool->world, task), 1);
    }
  world_destroy (pool->world);
}

/* The worker restarts, and carries out a start of a job that was meant for its former incarnation.
 * Once it has answered and is registered, it gets tasks of another. */
static struct pool
create_pool_with_restarted_worker (int64_t max_lease_ms)
{
  struct pool pool = create_pool (max_lease_ms);

  pool.restarted->entry_lag_ms = ENTRY_LAG_MS;
  world_reboot (pool.world, pool.restarted);
  world_submit (pool.world, spec ("Lb", 1));
  world_run (pool.world, NOTICE_MS);
  world_submit (pool.world, spec ("La", JOB_TASKS));
  world_run (pool.world, 100);
  assert_in_range (pool.restarted->runs->len, 1, 4);
  return pool;
}

/* Guards against a successor that starts a task again while the worker, which is cut off and has
 * restarted before, holds a lease longer than any that the former leader asked for. */
static void
test_successor_awaits_the_longest_lease_of_a_restarted_worker (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      pool.restarted->silent = true;
      take_over (&pool);
      check_runs_once (&pool);
    }
}

/* Guards against a leader that takes an answer for proof that the lease of a restarted worker is no
 * longer than asked for. */
static void
test_answer_does_not_shorten_the_lease_of_a_restarted_worker (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      world_run (pool.world, MAX (max_leases[i] - MT_SUCCESSOR_WAIT_MS, 0) + 200);
      for (unsigned lost = 0; lost < 2; lost++)
        {
          struct mt_job_spec *small = world_job (lost == 0 ? "c" : "d", N_WORKERS, 0, 1000);

          small->steps[0].max_per_worker = 1;
          pool.restarted->drops_order_answers = lost == 0;
          world_submit (pool.world, small);
          world_run (pool.world, 20);
        }
      pool.restarted->silent = true;
      check_runs_once (&pool);
    }
}

/* Guards against the same with two takeovers in a row, of which the second finds the records of the
 * first leader. */
static void
test_second_successor_awaits_the_longest_lease_of_a_restarted_worker (void **state)
{
  static const int64_t terms[] = { 5, 400, 2000, 4000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (terms); j++)
      {
        struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

        pool.restarted->silent = true;
        take_over (&pool);
        world_run (pool.world, terms[j]);
        take_over (&pool);
        check_runs_once (&pool);
      }
}

/* Guards against the same with a successor that reaches the worker once before it is cut off, and
 * then dies itself. */
static void
test_lease_outlives_a_leader_that_did_not_see_the_restart (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      take_over (&pool);
      world_run (pool.world, 300);
      pool.restarted->silent = true;
      take_over (&pool);
      check_runs_once (&pool);
    }
}

/* Guards against a task that runs twice because its record, from before the restart, was not
 * written again after the leader had noticed it: by the answer to its start, or by the clock in an
 * answer that doesn't name its incarnation. */
static void
test_noticed_restart_is_recorded_for_runs_placed_before (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (int names = 0; names < 2; names++)
      {
        struct pool pool = create_pool (max_leases[i]);

        pool.world->answers_name_incarnation = names != 0;
        pool.restarted->entry_lag_ms = 100000;
        world_reboot (pool.world, pool.restarted);
        world_submit (pool.world, spec ("La", JOB_TASKS));
        world_run (pool.world, 100);
        assert_in_range (pool.restarted->runs->len, 1, 4);
        pool.restarted->silent = true;
        take_over (&pool);
        check_runs_once (&pool);
      }
}

/* Guards against a successor that ignores the registry, where only the entry shows that the worker
 * has restarted: its leader died before it noticed. */
static void
test_successor_awaits_the_longest_lease_if_the_entry_shows_a_restart (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool (max_leases[i]);

      pool.restarted->entry_lag_ms = 100000;
      world_reboot (pool.world, pool.restarted);
      world_submit (pool.world, spec ("La", JOB_TASKS));
      world_run (pool.world, 5);
      assert_in_range (pool.restarted->runs->len, 1, 4);
      pool.restarted->silent = true;
      pool.restarted->entry.started_at_ms = pool.restarted->started_at_ms;
      take_over (&pool);
      check_runs_once (&pool);
    }
}

/* Guards against a leader that ends its wait by the former incarnation's lease, although the
 * registry shows that the worker has restarted. */
static void
test_leader_awaits_the_longest_lease_if_the_entry_shows_a_restart (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool (max_leases[i]);

      pool.restarted->entry_lag_ms = 20;
      pool.restarted->drops_all_answers = true;
      world_reboot (pool.world, pool.restarted);
      world_submit (pool.world, spec ("La", JOB_TASKS));
      world_run (pool.world, 15);
      assert_in_range (pool.restarted->runs->len, 1, 4);
      world_run (pool.world, 10);
      pool.restarted->silent = true;
      check_runs_once (&pool);
    }
}

static void
remove_leases (void *id, void *record, void *ctx)
{
  (void) id;
  (void) ctx;
  world_remove_leases (record);
}

/* Guards against records of a version that does not write which leases may be long: nothing in them
 * shows that there are none. */
static void
test_records_of_an_earlier_version_may_hide_a_restart (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      pool.restarted->silent = true;
      g_hash_table_foreach (pool.world->records, remove_leases, NULL);
      take_over (&pool);
      check_runs_once (&pool);
    }
}

/* Guards against jobs with nothing running beside free workers: the lease of a worker that has not
 * restarted lately is no longer than a leader asks for, whatever the worker would grant. */
static void
test_successor_waits_no_longer_for_a_worker_that_has_not_restarted (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (int restarts = 0; restarts < 2; restarts++)
      {
        struct pool pool = create_pool (max_leases[i]);

        if (restarts)
          {
            pool.restarted->entry_lag_ms = ENTRY_LAG_MS;
            world_reboot (pool.world, pool.restarted);
            world_run (pool.world, LATE_ORDER_MS + 2 * max_leases[i]);
          }
        world_submit (pool.world, spec ("La", JOB_TASKS));
        world_run (pool.world, 1000);
        assert_in_range (pool.restarted->runs->len, 1, 4);
        pool.restarted->silent = true;
        take_over (&pool);
        world_run (pool.world, MT_MAX_WORKER_LEASE_MS + MT_OUTAGE_EVIDENCE_MS
                                   + MT_EVIDENCE_TRANSIT_MS + DRIFT_MS);
        assert_in_range (pool.world->n_starts, JOB_TASKS + 1, JOB_TASKS + 4);
        assert_int_equal (pool.world->duplicate_starts, 0);
        world_destroy (pool.world);
      }
}

/* Guards against tasks that wait beside free workers for the longest lease of a worker that was
 * idle when they were started there, so that it might have restarted unseen, but has answered
 * since. */
static void
test_answer_proves_the_leases_of_an_idle_worker (void **state)
{
  static const int64_t terms[] = { 20, 300, 5000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (terms); j++)
      {
        struct pool pool = create_pool (max_leases[i]);

        world_run (pool.world, 8000);
        world_submit (pool.world, spec ("La", JOB_TASKS));
        world_run (pool.world, terms[j]);
        assert_in_range (pool.restarted->runs->len, 1, 4);
        pool.world->n_starts = 0;
        pool.restarted->silent = true;
        world_run (pool.world, MT_MAX_WORKER_LEASE_MS + RESTART_MS + DRIFT_MS);
        assert_in_range (pool.world->n_starts, 1, 4);
        assert_int_equal (pool.world->duplicate_starts, 0);
        world_destroy (pool.world);
      }
}

/* Guards against the same after the retry of a hold that was lost with the worker, while another
 * one's answers are lost, too, so that holds wait for a short time only. */
static void
test_retry_of_a_lost_hold_grants_no_longest_lease (void **state)
{
  for (int64_t cut_ms = 20; cut_ms <= 1220; cut_ms += 20)
    for (int takes_over = 0; takes_over < 2; takes_over++)
      {
        struct pool pool = create_pool (60000);
        struct world_worker *other = &pool.world->workers[3];

        world_submit (pool.world, spec ("La", JOB_TASKS));
        world_run (pool.world, 2000);
        pool.world->n_starts = 0;
        pool.world->link_bytes_per_ms = SLOW_LINK_BYTES_PER_MS;
        other->drops_all_answers = true;
        world_run (pool.world, 300);
        if (takes_over)
          take_over (&pool);
        world_run (pool.world, cut_ms);
        pool.restarted->silent = true;
        other->drops_all_answers = false;
        world_run (pool.world, MT_SUCCESSOR_WAIT_MS + RESTART_MS);
        assert_in_range (pool.world->n_starts, 1, 4);
        assert_int_equal (pool.world->duplicate_starts, 0);
        world_destroy (pool.world);
      }
}

/* Guards against a record that calls a lease long for ever: tasks that run for hours would wait for
 * it after each later takeover. */
static void
test_long_leases_leave_the_records_once_they_are_over (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      world_run (pool.world, 2 * max_leases[i] + LATE_ORDER_MS);
      pool.world->n_starts = 0;
      pool.restarted->silent = true;
      take_over (&pool);
      world_run (pool.world, MT_MAX_WORKER_LEASE_MS + MT_OUTAGE_EVIDENCE_MS + MT_EVIDENCE_TRANSIT_MS
                                 + DRIFT_MS);
      assert_in_range (pool.world->n_starts, 1, 4);
      assert_int_equal (pool.world->duplicate_starts, 0);
      world_destroy (pool.world);
    }
}

/* Guards against a successor that counts from the record of the restart, where the worker carried
 * out a late order after that and before its first answer to the new token. */
static void
test_successor_awaits_a_lease_granted_before_the_first_answer (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool (max_leases[i]);

      pool.restarted->entry_lag_ms = 100000;
      pool.restarted->order_delay_ms = 5900;
      world_submit (pool.world, spec ("La", JOB_TASKS));
      world_run (pool.world, 10);
      pool.restarted->order_delay_ms = 0;
      /* The hold with the new token is lost on its way. */
      pool.world->link_bytes_per_ms = 20;
      world_reboot (pool.world, pool.restarted);
      while (!pool.restarted->is_contacted)
        world_run (pool.world, 5);
      pool.restarted->silent = true;
      /* The record is written again as other tasks are lost, with the rest of the lease. */
      pool.world->downtime_ms = 4500;
      world_crash (pool.world, &pool.world->workers[1]);
      world_run (pool.world, 5960);
      pool.restarted->silent = false;
      world_run (pool.world, 300);
      assert_in_range (pool.restarted->runs->len, 1, 4);
      pool.restarted->silent = true;
      take_over (&pool);
      check_runs_once (&pool);
    }
}

/* Guards against a second successor that counts with the recorded rest of a lease, where the first
 * one saw the entry, gone since, of a later incarnation. */
static void
test_second_successor_awaits_the_lease_of_a_later_restart (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (int entries_first = 0; entries_first < 2; entries_first++)
      {
        struct pool pool = create_pool (max_leases[i]);
        struct world_worker *w = pool.restarted;

        pool.world->entries_first = entries_first != 0;
        w->entry_lag_ms = ENTRY_LAG_MS;
        world_reboot (pool.world, w);
        /* The rest of the lease that the record names is a little longer than a successor awaits
         * anyway. */
        world_run (pool.world, NOTICE_MS + MAX (max_leases[i] - MT_SUCCESSOR_WAIT_MS - 200, 0));
        w->order_delay_ms = 30;
        world_submit (pool.world, spec ("La", JOB_TASKS));
        world_run (pool.world, 10);
        w->entry_lag_ms = 100000;
        world_reboot (pool.world, w);
        w->silent = true;
        w->entry.started_at_ms = w->started_at_ms;
        pool.world->late_before_contact = true;
        world_run (pool.world, 40);
        assert_in_range (w->runs->len, 1, 4);
        take_over (&pool);
        world_run (pool.world, 100);
        w->unregistered = true;
        take_over (&pool);
        check_runs_once (&pool);
      }
}

/* Runs for as long as a successor or leader may wait for a lease that was asked for. */
static void
check_waits_no_longer (struct pool *pool, int64_t wait_ms)
{
  pool->world->n_starts = 0;
  world_run (pool->world, wait_ms + DRIFT_MS);
  assert_in_range (pool->world->n_starts, 1, 5);
  assert_int_equal (pool->world->duplicate_starts, 0);
  world_destroy (pool->world);
}

/* Guards against jobs with nothing running beside free workers: a record that still names the
 * longest lease when its rest is no longer than a successor awaits anyway. */
static void
test_successor_waits_no_longer_once_it_awaits_the_rest_anyway (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_restarted_worker (max_leases[i]);

      world_run (pool.world, MAX (max_leases[i] - MT_SUCCESSOR_WAIT_MS, 0) + 1000);
      pool.restarted->silent = true;
      take_over (&pool);
      check_waits_no_longer (&pool, MT_SUCCESSOR_WAIT_MS);
    }
}

/* Guards against jobs with nothing running beside free workers, after an entry named a restart that
 * the worker itself disproved. */
static void
test_refuted_entry_leaves_no_long_lease (void **state)
{
  static const char *const labels[] = { "a", "r1", NULL };

  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    for (int takes_over = 0; takes_over < 2; takes_over++)
      {
        struct pool pool = create_pool (max_leases[i]);
        struct mt_worker_entry entry = { .id = pool.restarted->id,
                                         .address = pool.restarted->entry.address,
                                         .started_at_ms = pool.restarted->started_at_ms + 5,
                                         .zone = "z",
                                         .labels = labels,
                                         .resources = pool.restarted->resources };

        world_submit (pool.world, spec ("La", JOB_TASKS));
        /* Until the lease of the first start, sent to an idle worker, is over in any case. */
        world_run (pool.world, 2 * max_leases[i]);
        mt_scheduler_update_worker (pool.world->sched, &entry, pool.world->now);
        world_run (pool.world, 500);
        pool.restarted->silent = true;
        if (takes_over)
          take_over (&pool);
        check_waits_no_longer (&pool, takes_over ? MT_SUCCESSOR_WAIT_MS
                                                 : MT_MAX_WORKER_LEASE_MS + RESTART_MS);
      }
}

/* The only worker restarts and shrinks, so that one of two tasks waits, and carries out a late copy
 * of that task's start. It lists this run; then another worker joins. order_delay_ms: of the stop.
 */
static struct pool
create_pool_with_superseded_run (int64_t max_lease_ms, int64_t order_delay_ms)
{
  struct pool pool = { .world = world_create () };
  struct world_delayed_order late = { .kind = MT_ORDER_START, .task = "La.0.0.0", .run = 1 };
  const struct world_run *kept;

  world_set_max_lease (pool.world, max_lease_ms);
  pool.restarted = late.worker = world_add_worker (pool.world, "r1");
  world_run (pool.world, 1000);
  world_submit (pool.world, spec ("La", 2));
  world_run (pool.world, 50);
  late.lease_end_ms = pool.world->now + MT_MAX_WORKER_LEASE_MS;
  world_reboot (pool.world, pool.restarted);
  world_resize (pool.world, pool.restarted, TASK_CPU);
  for (int i = 0; i < 20 && pool.restarted->runs->len == 0; i++)
    world_run (pool.world, 5);
  assert_int_equal (pool.restarted->runs->len, 1);
  kept = &g_array_index (pool.restarted->runs, struct world_run, 0);
  if (strcmp (kept->task, late.task) == 0)
    strcpy (late.task, "La.0.0.1");
  late.token = pool.restarted->highest_token;
  late.execute_at = pool.world->now;
  g_array_append_val (pool.world->delayed_orders, late);
  pool.restarted->order_delay_ms = order_delay_ms;
  world_run (pool.world, 1050);
  world_add_worker (pool.world, "r1");
  return pool;
}

static void
check_superseded_task_runs_once (struct pool *pool)
{
  world_run (pool->world, 2 * pool->world->max_lease_ms + MT_OUTAGE_EVIDENCE_MS + RESTART_MS);
  assert_int_equal (pool->world->duplicate_starts, 0);
  for (unsigned i = 0; i < 2; i++)
    {
      g_autofree char *task = g_strdup_printf ("La.0.0.%u", i);

      assert_int_equal (world_count_running (pool->world, task), 1);
    }
  world_destroy (pool->world);
}

/* Guards against a task that is started again while a superseded run of it, which a worker has
 * listed before it was cut off, goes on until the end of its lease. */
static void
test_superseded_run_is_awaited_until_its_lease_ends (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_superseded_run (max_leases[i], 100000);

      pool.restarted->silent = true;
      check_superseded_task_runs_once (&pool);
    }
}

/* Guards against the same with a takeover: the successor finds no worker that the task was started
 * on. */
static void
test_successor_awaits_a_superseded_run (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_superseded_run (max_leases[i], 100000);
      g_autoptr (GPtrArray) specs = g_ptr_array_new ();

      pool.restarted->silent = true;
      world_run (pool.world, 5);
      g_ptr_array_add (specs, spec ("La", 2));
      world_take_over (pool.world, specs);
      check_superseded_task_runs_once (&pool);
    }
}

/* Guards against a task that waits on after its superseded run has been stopped. */
static void
test_task_starts_once_its_superseded_run_is_stopped (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (max_leases); i++)
    {
      struct pool pool = create_pool_with_superseded_run (max_leases[i], 0);

      world_run (pool.world, 150);
      assert_int_equal (pool.world->duplicate_starts, 0);
      assert_int_equal (pool.restarted->runs->len, 1);
      assert_int_equal (pool.world->workers[1].runs->len, 1);
      world_destroy (pool.world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_successor_awaits_the_longest_lease_of_a_restarted_worker),
    cmocka_unit_test (test_answer_does_not_shorten_the_lease_of_a_restarted_worker),
    cmocka_unit_test (test_second_successor_awaits_the_longest_lease_of_a_restarted_worker),
    cmocka_unit_test (test_lease_outlives_a_leader_that_did_not_see_the_restart),
    cmocka_unit_test (test_noticed_restart_is_recorded_for_runs_placed_before),
    cmocka_unit_test (test_successor_awaits_the_longest_lease_if_the_entry_shows_a_restart),
    cmocka_unit_test (test_leader_awaits_the_longest_lease_if_the_entry_shows_a_restart),
    cmocka_unit_test (test_records_of_an_earlier_version_may_hide_a_restart),
    cmocka_unit_test (test_successor_waits_no_longer_for_a_worker_that_has_not_restarted),
    cmocka_unit_test (test_answer_proves_the_leases_of_an_idle_worker),
    cmocka_unit_test (test_retry_of_a_lost_hold_grants_no_longest_lease),
    cmocka_unit_test (test_long_leases_leave_the_records_once_they_are_over),
    cmocka_unit_test (test_successor_awaits_a_lease_granted_before_the_first_answer),
    cmocka_unit_test (test_second_successor_awaits_the_lease_of_a_later_restart),
    cmocka_unit_test (test_successor_waits_no_longer_once_it_awaits_the_rest_anyway),
    cmocka_unit_test (test_refuted_entry_leaves_no_long_lease),
    cmocka_unit_test (test_superseded_run_is_awaited_until_its_lease_ends),
    cmocka_unit_test (test_successor_awaits_a_superseded_run),
    cmocka_unit_test (test_task_starts_once_its_superseded_run_is_stopped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
