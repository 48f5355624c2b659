#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static void
test_job_completes (void **state)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  assert_true (world_run_until_state (world, "aa", MT_JOB_ACTIVE, 200));
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 1500));
  assert_int_equal (world->n_starts, 4);
  world_destroy (world);
}

/* A start is sent only after its placement is stored: a successor that does not know of the run
 * would run the task a second time. While the store is down no task starts, and running tasks
 * keep their leases. */
static void
test_placement_is_stored_before_start (void **state)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world->store_down = true;
  world_run (world, 3000);
  assert_int_equal (world->n_starts, 0);
  world->store_down = false;
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 1500));
  world_destroy (world);
}

/* The caller cancels a job while its leader is dead. The successor reads the cancellation from
 * the queue before the job's progress. The runs that the progress lists must be stopped all the
 * same, or they never end. */
static void
test_job_cancelled_before_restore_is_stopped (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("aa", 3, 1000, 1000);
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  g_autofree char *record = NULL;

  world->run_ms = -1;
  spec->steps[0].long_running = true;
  world_add_worker (world, "r1");
  world_submit (world, spec);
  world_run (world, 500);
  assert_int_equal (world->n_starts, 3);
  record = g_strdup (g_hash_table_lookup (world->records, "aa"));
  g_hash_table_remove_all (world->records);
  world_take_over (world, none);
  spec = world_job ("aa", 3, 1000, 1000);
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  mt_scheduler_cancel (world->sched, "aa", world->now);
  mt_scheduler_restore (world->sched, "aa", record, 1, world->now);
  world_run (world, 1000);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 0);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_CANCELLED);
  world_destroy (world);
}

/* The caller cancels a job. Its leader stores the job as ended and dies before the stop orders
 * reach the workers. The successor reads the cancellation first and then the ended record with
 * its placements: both say that the job has ended, but its runs must still be stopped. */
static void
test_successor_stops_runs_of_a_job_recorded_as_cancelled (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("aa", 3, 1000, 1000);
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  g_autofree char *record = NULL;
  struct world_worker *w = world_add_worker (world, "r1");

  world->run_ms = -1;
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  world_run (world, 500);
  assert_int_equal (world->n_starts, 3);
  w->silent = true;
  mt_scheduler_cancel (world->sched, "aa", world->now);
  world_run (world, 100);
  record = g_strdup (g_hash_table_lookup (world->records, "aa"));
  assert_non_null (strstr (record, "\"s\":\"cancelled\""));
  g_hash_table_remove_all (world->records);
  w->silent = false;
  world_take_over (world, none);
  spec = world_job ("aa", 3, 1000, 1000);
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  mt_scheduler_cancel (world->sched, "aa", world->now);
  mt_scheduler_restore (world->sched, "aa", record, 1, world->now);
  world_run (world, 1000);
  for (guint i = 0; i < 3; i++)
    {
      g_autofree char *task = g_strdup_printf ("aa.0.0.%u", i);

      assert_int_equal (world_count_running (world, task), 0);
    }
  world_destroy (world);
}

/* Guards against tasks that run twice: a job's progress can't be read, and its tasks may run or be
 * done. Only this job is held back. */
static void
test_unreadable_record_holds_its_own_job_back (void **state)
{
  static const char *const records[]
      = { "",
          "[]",
          "{\"s\":\"active\"}",
          "{\"s\":\"odd\",\"b\":1,\"d\":{},\"t\":[]}",
          "{\"s\":\"active\",\"b\":1,\"d\":{\"0.7\":\"d\"},\"t\":[]}",
          "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,\"i-0\"]]}",
          "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,99,1,0,\"i-0\",7,\"\"]]}",
          "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1e99,0,\"i-0\",7,\"\"]]}",
          "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,[[[[]]]],7,\"\"]]}" };

  for (size_t i = 0; i < G_N_ELEMENTS (records); i++)
    {
      struct world *world = world_create ();

      world_add_worker (world, "r1");
      world_submit (world, world_job ("a", 2, 500, 1000));
      world_submit (world, world_job ("b", 2, 500, 1000));
      assert_false (mt_scheduler_restore (world->sched, "a", records[i], 1, world->now));
      world_run (world, 5000);
      assert_int_equal (world->n_starts, 2);
      assert_int_equal (mt_scheduler_job_state (world->sched, "b"), MT_JOB_COMPLETED);
      assert_true (mt_scheduler_cancel (world->sched, "a", world->now));
      assert_int_equal (mt_scheduler_job_state (world->sched, "a"), MT_JOB_CANCELLED);
      world_destroy (world);
    }
}

/* A checkpoint holds text in any language. The successor's start order must carry it unchanged,
 * or the worker can't resume from it and the task runs from the beginning. */
static void
test_checkpoint_text_survives_a_takeover (void **state)
{
  const char *stored
      = "{\"s\":\"queued\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,\"\",0,\"k\xc3\xa9sz \\\"7\\\"\"]],"
        "\"l\":{}}";
  struct world *world = world_create ();
  g_autofree char *record = NULL;

  world_submit (world, world_job ("aa", 1, 1000, 1000));
  assert_true (mt_scheduler_restore (world->sched, "aa", stored, 1, world->now));
  record = mt_scheduler_job_record (world->sched, "aa");
  assert_string_equal (record, stored);
  world_destroy (world);
}

/* One transaction gets no answer. Only its own jobs wait for the retry: guards against a cycle that
 * waits for all of its transactions, during which the pool's leader started nothing. */
static void
test_unanswered_transaction_delays_only_its_own_jobs (void **state)
{
  struct world *world = world_create ();
  unsigned n_started = 0;

  for (int i = 0; i < 4; i++)
    world_add_worker (world, "r1");
  world_run (world, 100);
  world->jobs_per_txn = 1;
  world->n_write_fates = 8;
  world->n_writes_sent = 0;
  world->write_fates[0] = (struct world_write_fate){ -1, 0 };
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 1, 1000, 1000));
    }
  world_run (world, 100);
  assert_int_equal (world->n_starts, 7);
  world->write_fates[0] = (struct world_write_fate){ 0, 0 };
  world_submit (world, world_job ("later", 1, 1000, 1000));
  world_run (world, 50);
  assert_int_equal (world->n_starts, 8);
  world->n_write_fates = 0;
  world_run (world, 1000);
  for (unsigned i = 0; i < world->n_workers; i++)
    n_started += world->workers[i].n_starts;
  assert_int_equal (n_started, 9);
  assert_int_equal (world->unstored_starts, 0);
  world_destroy (world);
}

/* A worker's second end is stored before its first. Acknowledging it would make the worker forget
 * the first one too: after a takeover nobody would know of it. */
static void
test_end_is_not_acknowledged_before_earlier_ones_are_stored (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  world->run_ms = 300;
  world_submit (world, world_job ("a0", 1, 1000, 300));
  world_submit (world, world_job ("a1", 1, 1000, 300));
  world_run (world, 200);
  assert_int_equal (w->n_starts, 2);
  world->jobs_per_txn = 1;
  world->n_write_fates = 2;
  world->n_writes_sent = 0;
  world->write_fates[0] = (struct world_write_fate){ -1, 0 };
  world_run (world, 400);
  assert_int_equal (w->ends->len, 2); /* a1 ended first, its transaction is lost */
  assert_string_equal (g_array_index (w->ends, struct world_end, 0).task, "a1.0.0.0");
  assert_int_equal (mt_scheduler_job_state (world->sched, "a0"), MT_JOB_COMPLETED);
  assert_int_not_equal (mt_scheduler_job_state (world->sched, "a1"), MT_JOB_COMPLETED);
  world->n_write_fates = 0;
  world_run (world, 2000);
  assert_int_equal (mt_scheduler_job_state (world->sched, "a1"), MT_JOB_COMPLETED);
  assert_int_equal (w->ends->len, 0);
  assert_int_equal (world->unstored_ends, 0);
  world_destroy (world);
}

/* The leader dies while tasks run. Its successor finds them by the stored placements, holds the
 * workers under its own token and lets the tasks run on: none is started again. */
static void
test_takeover_keeps_running_tasks (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world->run_ms = 3000;
  world_submit (world, world_job ("aa", 6, 1000, 3000));
  world_run (world, 1000);
  assert_int_equal (world->n_starts, 6);
  g_ptr_array_add (specs, world_job ("aa", 6, 1000, 3000));
  world_take_over (world, specs);
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 2500));
  assert_int_equal (world->n_starts, 6);
  world_destroy (world);
}

/* A worker has restarted, and the leader dies before the tasks that the restart ended are stored as
 * such. The successor reads their records before those of the tasks that run there now, and the
 * registry last. It must not take the present runs for ended ones: they would run twice. */
static void
test_records_of_an_earlier_incarnation_hide_no_runs (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();
  struct world_worker *w = world_add_worker (world, "r1");
  static const char stale[]
      = "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,\"i-0\",6,\"\"]]}";
  static const char present[]
      = "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,\"i-0\",7,\"\"]]}";

  world->run_ms = 3000;
  world_submit (world, world_job ("aa", 1, 1000, 3000));
  world_run (world, 200);
  assert_int_equal (w->n_starts, 1);
  mt_scheduler_destroy (world->sched);
  world->sched
      = mt_scheduler_create (&(struct mt_scheduler_settings){ .name = "pool", .lease_ms = 4500 });
  world->token++;
  mt_scheduler_submit (world->sched, world_job ("old", 1, 1000, 3000), world->now, world->now);
  mt_scheduler_submit (world->sched, world_job ("aa", 1, 1000, 3000), world->now, world->now);
  assert_true (mt_scheduler_restore (world->sched, "old", stale, 1, world->now));
  assert_true (mt_scheduler_restore (world->sched, "aa", present, 1, world->now));
  world_mark_leaving (world, w); /* updates the registry's entry */
  world_run (world, 200);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
  assert_int_equal (w->runs->len, 1);
  assert_int_equal (g_array_index (w->runs, struct world_run, 0).stops_at, 0);
  world_destroy (world);
}

/* A successor takes over while the only task runs on a worker that answers nobody; another worker
 * is free. */
static struct world *
take_over_with_silent_worker (bool unregistered)
{
  struct world *world = world_create ();
  struct world_worker *silent = world_add_worker (world, "r1");
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world->run_ms = 20000;
  world_submit (world, world_job ("aa", 1, 1000, 20000));
  world_run (world, 500);
  assert_int_equal (silent->n_starts, 1);
  silent->silent = true;
  silent->unregistered = unregistered;
  world_add_worker (world, "r2");
  g_ptr_array_add (specs, world_job ("aa", 1, 1000, 20000));
  world_take_over (world, specs);
  return world;
}

/* Guards against a successor that waits longer than any lease lasts for the tasks of a worker that
 * is gone: after each takeover they would wait anew beside free workers. */
static void
test_successor_places_tasks_of_a_lost_worker_after_the_longest_lease (void **state)
{
  struct world *world = take_over_with_silent_worker (true);

  world_run (world, MT_MAX_WORKER_LEASE_MS + MT_OUTAGE_EVIDENCE_MS);
  assert_int_equal (world->n_starts, 1);
  world_run (world, 800);
  assert_int_equal (world->n_starts, 2);
  world_destroy (world);
}

/* Guards against a task that its successor starts while the predecessor, cut off with the worker
 * right after a store outage, has just renewed the task's lease. */
static void
test_successor_allows_for_renewals_after_its_takeover (void **state)
{
  struct world *world = take_over_with_silent_worker (false);

  world_run (world, MT_OUTAGE_EVIDENCE_MS);
  world->workers[0].lease_end_ms = world->now + MT_MAX_WORKER_LEASE_MS;
  world_run (world, MT_MAX_WORKER_LEASE_MS + 1000);
  assert_int_equal (world->n_starts, 2);
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

static struct world *
create_with_zones (void)
{
  static const char *const zones[] = { "a", "b", "c", "d" };
  struct world *world = world_create ();

  for (unsigned i = 0; i < 8; i++)
    world_add_worker_in_zone (world, "r1", zones[i % 4]);
  world->run_ms = 5000;
  world_run (world, 200);
  return world;
}

/* Returns a bit for each zone of create_with_zones in which a task of the job runs. */
static unsigned
zones_of_job (const struct world *world, const char *id)
{
  g_autofree char *prefix = g_strconcat (id, ".", NULL);
  unsigned zones = 0;

  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint r = 0; r < world->workers[i].runs->len; r++)
      if (g_str_has_prefix (g_array_index (world->workers[i].runs, struct world_run, r).task,
                            prefix))
        zones |= 1U << (world->workers[i].zone[0] - 'a');
  return zones;
}

/* Guards against jobs that are spread over all zones: the loss of any zone makes each of them late.
 */
static void
test_tasks_of_a_job_share_a_zone (void **state)
{
  struct world *world = create_with_zones ();
  unsigned used = 0;

  for (unsigned i = 0; i < 16; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%u", i);
      unsigned zones;

      world_submit (world, world_job (id, 4, 500, 5000));
      world_run (world, 100);
      zones = zones_of_job (world, id);
      assert_int_equal (zones & (zones - 1), 0);
      used |= zones;
    }
  assert_int_equal (used, 0xf);
  world_destroy (world);
}

/* Guards against tasks that wait for their job's zone beside free workers of others. */
static void
test_job_larger_than_its_zone_runs_in_others_too (void **state)
{
  struct world *world = create_with_zones ();

  world_submit (world, world_job ("aa", 8, 16000, 5000));
  world_run (world, 200);
  assert_int_equal (world->n_starts, 8);
  assert_int_equal (zones_of_job (world, "aa"), 0xf);
  world_destroy (world);
}

/* A worker falls silent and its tasks run on. They must not start elsewhere before every lease
 * given to the worker has expired by the slowest clock, or a task would run twice. */
static void
test_silent_worker_keeps_its_tasks_until_its_lease_expires (void **state)
{
  struct world *world = world_create ();
  struct world_worker *silent = world_add_worker (world, "r1");

  world->run_ms = 20000;
  world_submit (world, world_job ("aa", 2, 1000, 20000));
  world_run (world, 500);
  assert_int_equal (silent->n_starts, 2);
  silent->silent = true;
  world_add_worker (world, "r1");
  world_run (world, 4000);
  assert_int_equal (world->n_starts, 2);
  world_run (world, 2000);
  assert_int_equal (world->n_starts, 4);
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

/* A start is executed but gets no answer. Its resources stay allocated and the next hold answer
 * lists the run: it goes on, and no second run is started. */
static void
test_unanswered_start_is_confirmed_by_the_next_hold (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->drops_all_answers = true;
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world_run (world, 100);
  w->drops_all_answers = false;
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 2000));
  assert_int_equal (world->n_starts, 1);
  world_destroy (world);
}

/* A start is lost on the way. A start may be repeated under its run number, so it is resent to
 * the same worker as soon as a hold answer lacks the run. Stopping the run first would take
 * three more calls, and would end a run that a delayed start has begun meanwhile. */
static void
test_lost_start_is_resent (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->starts_to_drop = 2;
  world_submit (world, world_job ("aa", 1, 1000, 500));
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (w->starts_to_drop, 0);
  assert_int_equal (w->last_run, 1);
  world_destroy (world);
}

/* A worker answers holds and loses every start. The task is not kept there for ever: after a few
 * starts it is stopped there and runs elsewhere. */
static void
test_task_leaves_a_worker_that_loses_every_start (void **state)
{
  struct world *world = world_create ();
  struct world_worker *faulty = world_add_worker (world, "r1");

  world_run (world, 100);
  faulty->starts_to_drop = 1000;
  world_submit (world, world_job ("aa", 1, 1000, 500));
  world_run (world, 300);
  world_add_worker (world, "r1");
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 6000));
  assert_int_equal (faulty->n_starts, 0);
  world_destroy (world);
}

/* A worker fails every run. The tasks continue elsewhere, each loses one attempt at most, and
 * the failing worker gets no work for a while. */
static void
test_worker_that_fails_every_run_costs_few_attempts (void **state)
{
  struct world *world = world_create ();
  struct world_worker *failing = world_add_worker (world, "r1");

  failing->fails_runs = true;
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 6, 500, 1000));
    }
  world_run (world, 4000);
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      assert_int_equal (mt_scheduler_job_state (world->sched, id), MT_JOB_COMPLETED);
    }
  assert_true (failing->n_starts < 30);
  world_destroy (world);
}

/* Guards against a task that never starts beside free resources: its worker has failed a run, and
 * runs two long-running tasks, which give no further outcome. */
static void
test_trial_of_a_worker_ends (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  struct mt_job_spec *lasting = world_job ("L", 2, 1000, 1000);

  lasting->steps[0].long_running = true;
  world_run (world, 200);
  world_submit (world, lasting);
  world_run (world, 500);
  w->fails_runs = true;
  world_submit (world, world_job ("a", 1, 1000, 500));
  world_run (world, 30);
  mt_scheduler_cancel (world->sched, "a", world->now);
  w->fails_runs = false;
  world_submit (world, world_job ("b", 1, 1000, 500));
  assert_true (world_run_until_state (world, "b", MT_JOB_COMPLETED, 9000));
  world_destroy (world);
}

/* Guards against a job that has nothing running for 3 s beside free resources, which counts as
 * lost: its last attempt waits for a worker that has completed a run, and no worker has. */
static void
test_last_attempt_does_not_wait_for_3_s (void **state)
{
  struct world *world = world_create ();
  int64_t idle_ms = 0;
  int64_t longest_ms = 0;

  for (int i = 0; i < 3; i++)
    world_add_worker (world, "r1")->fails_runs = true;
  world_run (world, 200);
  world_submit (world, world_job ("a", 1, 1000, 1000));
  for (int64_t ms = 0; ms < 8000; ms += 5)
    {
      world_run (world, 5);
      idle_ms = world_count_running (world, "a.0.0.0") > 0 ? 0 : idle_ms + 5;
      if (mt_scheduler_job_state (world->sched, "a") != MT_JOB_FAILED)
        longest_ms = MAX (longest_ms, idle_ms);
    }
  assert_int_equal (mt_scheduler_job_state (world->sched, "a"), MT_JOB_FAILED);
  assert_true (longest_ms < 3000);
  world_destroy (world);
}

/* Runs on a worker make no progress, though the worker lists them and answers. The caller would
 * wait for ever: the task is stopped and runs elsewhere. */
static void
test_stalled_task_runs_elsewhere (void **state)
{
  struct world *world = world_create ();
  struct world_worker *stalling = world_add_worker (world, "r1");

  stalling->stalls_runs = true;
  world_submit (world, world_job ("aa", 1, 1000, 800));
  world_run (world, 300);
  world_add_worker (world, "r1");
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 5000));
  world_destroy (world);
}

/* A worker's hold answers are lost for a while; it answers starts all the time. The known
 * progress of its tasks is outdated then and does not show a stall: the tasks run on. */
static void
test_lost_hold_answers_do_not_count_as_a_stall (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->run_ms = 5000;
  world_submit (world, world_job ("aa", 1, 100, 1000));
  world_run (world, 300);
  w->drops_hold_answers = true;
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%d", i);

      world_submit (world, world_job (id, 1, 100, 1000));
      world_run (world, 100);
    }
  assert_true (w->n_starts > 20);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Starts are queued when their worker is marked as leaving. Sent later, the tasks would begin on
 * a worker that is being drained and be lost with it: they run elsewhere. */
static void
test_queued_starts_are_not_sent_to_a_leaving_worker (void **state)
{
  struct world *world = world_create ();
  struct world_worker *leaving = world_add_worker (world, "r1");

  world_run (world, 100);
  world->leader_silent = true;
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  world_run (world, 100);
  world_mark_leaving (world, leaving);
  world->leader_silent = false;
  world_add_worker (world, "r1");
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (leaving->n_starts, 0);
  world_destroy (world);
}

/* A worker is marked as leaving while a placement on it is being written, before it is stored.
 * The start must not be sent there. */
static void
test_start_is_not_sent_if_its_worker_leaves_during_the_write (void **state)
{
  struct world *world = world_create ();
  struct world_worker *leaving = world_add_worker (world, "r1");
  const char *id = "aa";
  GPtrArray *ids;

  world_run (world, 100);
  world->store_down = true;
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  world_run (world, 100);
  ids = mt_scheduler_cycle_begin (world->sched, world->now, world->now);
  assert_non_null (ids);
  g_ptr_array_unref (ids);
  world_mark_leaving (world, leaving);
  mt_scheduler_jobs_stored (world->sched, &id, 1, world->now);
  world->store_down = false;
  world_add_worker (world, "r1");
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (leaving->n_starts, 0);
  world_destroy (world);
}

/* The pool's load has fallen and other pools need its machines. Small new jobs are placed on
 * workers that already run tasks: spread over all workers they would keep every machine in use,
 * and the pool whose callers wait would get none. */
static void
test_small_jobs_are_packed_on_few_workers (void **state)
{
  struct world *world = world_create ();
  unsigned n_busy = 0;

  for (int i = 0; i < 4; i++)
    world_add_worker (world, "r1");
  world_submit (world, world_job ("proof", 4, 1000, 300));
  assert_true (world_run_until_state (world, "proof", MT_JOB_COMPLETED, 1500));
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 2, 1000, 1000));
      world_run (world, 100);
    }
  assert_int_equal (world->n_starts, 4 + 8);
  for (unsigned i = 0; i < world->n_workers; i++)
    n_busy += world->workers[i].runs->len > 0;
  assert_int_equal (n_busy, 1);
  world_destroy (world);
}

/* Runs that are unconfirmed, stopping or active all count against the worker's resources; the
 * worker itself does not enforce its limit. */
static void
test_worker_is_never_overcommitted (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 6, 3000, 700));
    }
  for (int i = 0; i < 400; i++)
    {
      world_run (world, 20);
      if (i == 20)
        mt_scheduler_cancel (world->sched, "a0", world->now);
      assert_true (w->runs->len <= 5);
    }
  world_destroy (world);
}

/* Guards against sending a start to a worker that shrank after the task was placed on it. */
static void
test_start_is_not_sent_to_a_worker_that_shrank (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  const char *id = "aa";

  world->task_cpu = 4000;
  world_run (world, 200);
  world_submit (world, world_job ("aa", 4, 4000, 1000));
  g_ptr_array_unref (mt_scheduler_cycle_begin (world->sched, world->now, world->now));
  world_resize (world, w, 8000);
  mt_scheduler_jobs_stored (world->sched, &id, 1, world->now);
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 5000));
  assert_int_equal (world->overcommitting_starts, 0);
  world_destroy (world);
}

/* Guards against resending an unanswered start to a worker that has shrunk meanwhile. */
static void
test_lost_start_is_not_resent_to_a_worker_that_shrank (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->task_cpu = 8000;
  world_run (world, 200);
  w->starts_to_drop = 1;
  world_submit (world, world_job ("aa", 2, 8000, 1000));
  world_run (world, 20);
  world_resize (world, w, 8000);
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 6000));
  assert_int_equal (world->overcommitting_starts, 0);
  world_destroy (world);
}

/* Guards against a worker that stays unused after its resources have grown again. */
static void
test_worker_that_grew_is_used (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_resize (world, w, 0);
  world_submit (world, world_job ("aa", 4, 4000, 500));
  world_run (world, 1000);
  assert_int_equal (world->n_starts, 0);
  world_resize (world, w, 16000);
  world_run (world, 50);
  assert_int_equal (world->n_starts, 4);
  world_destroy (world);
}

/* A worker is partitioned, its lease expires and its task is started again elsewhere. Then the
 * worker returns and reports that the task completed in time. The second run uses resources
 * until it is stopped: reallocating them at once would overcommit its worker. */
static void
test_superseded_run_keeps_its_resources_until_it_ends (void **state)
{
  struct world *world = world_create ();
  struct world_worker *partitioned = world_add_worker (world, "r1");
  struct world_worker *other;

  world_submit (world, world_job ("aa", 1, 16000, 1000));
  world_run (world, 300);
  partitioned->silent = true;
  other = world_add_worker (world, "r1");
  world->run_ms = 20000;
  world_run (world, 5500);
  assert_int_equal (other->runs->len, 1);
  world_submit (world, world_job ("bb", 1, 16000, 1000));
  partitioned->unregistered = true;
  partitioned->silent = false;
  mt_scheduler_cordon (world->sched, partitioned->id, world->now + 60000, false);
  for (int i = 0; i < 200; i++)
    {
      world_run (world, 5);
      assert_true (other->runs->len <= 1);
    }
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_COMPLETED);
  assert_int_equal (world_count_running (world, "bb.0.0.0"), 1);
  world_destroy (world);
}

/* A successor reads the cancellation of a started job before the job's progress. Either one
 * takes the job off the count of pending jobs; removing it twice would show callers too low a
 * count. */
static void
test_cancelled_job_leaves_the_pending_count_once (void **state)
{
  struct world *world = world_create ();

  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world_submit (world, world_job ("bb", 1, 1000, 1000));
  mt_scheduler_cancel (world->sched, "aa", world->now);
  assert_true (mt_scheduler_restore (
      world->sched, "aa", "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[]}", 1, world->now));
  assert_int_equal (mt_scheduler_pending_jobs (world->sched, "route"), 1);
  world_destroy (world);
}

/* Three long-running tasks, each on its own worker; at most one may be unavailable. */
static struct mt_job_spec *
one_per_worker_job (void)
{
  struct mt_job_spec *spec = world_job ("aa", 3, 4000, 1000);

  spec->steps[0].long_running = true;
  spec->steps[0].max_unavailable = 1;
  spec->steps[0].max_per_worker = 1;
  return spec;
}

/* Long-running tasks on a worker that has fallen silent count as unavailable, though their end
 * is not reported. No other task of the step may be moved off its worker then: max_unavailable
 * is one. */
static void
test_long_running_task_is_not_moved_while_others_are_unavailable (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[3];

  world->run_ms = -1;
  for (int i = 0; i < 3; i++)
    w[i] = world_add_worker (world, "r1");
  world_submit (world, one_per_worker_job ());
  world_run (world, 500);
  assert_int_equal (world->n_starts, 3);
  world_add_worker (world, "r1");
  w[0]->silent = true;
  world_run (world, 500);
  mt_scheduler_cordon (world->sched, w[1]->id, world->now + 60000, true);
  world_run (world, 1000);
  assert_int_equal (w[1]->runs->len, 1);
  w[0]->silent = false;
  world_run (world, 1500);
  assert_int_equal (w[1]->runs->len, 0);
  world_destroy (world);
}

/* Two workers are to be drained at once. Each runs a long-running task of the same step that has
 * just started and is not yet known to be active. If the scheduler counted both as unavailable
 * already, it would stop both; by the time the orders arrive both are active, and it would make
 * two unavailable where one may be. */
static void
test_long_running_tasks_are_moved_one_at_a_time (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[3];

  world->run_ms = 60000; /* the reported progress is 0 to 2 percent */
  for (int i = 0; i < 3; i++)
    w[i] = world_add_worker (world, "r1");
  world_submit (world, one_per_worker_job ());
  world_run (world, 500);
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  for (int i = 0; i < 2; i++)
    mt_scheduler_cordon (world->sched, w[i]->id, world->now + 60000, true);
  for (int i = 0; i < 20; i++)
    {
      world_run (world, 10);
      assert_true (w[0]->runs->len + w[1]->runs->len >= 1);
    }
  world_destroy (world);
}

/* Runs that have not been asked to stop. */
static unsigned
count_active_runs (const struct world *world)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint r = 0; r < world->workers[i].runs->len; r++)
      n += g_array_index (world->workers[i].runs, struct world_run, r).stops_at == 0;
  return n;
}

/* Guards against a successor that counts a task as active which its predecessor has ordered to
 * stop, and moves another task beyond max_unavailable. */
static void
test_successor_counts_tasks_stopped_by_its_predecessor_as_unavailable (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world->run_ms = -1;
  world->stop_ms = 900;
  for (int i = 0; i < 3; i++)
    world_add_worker (world, "r1");
  world_submit (world, one_per_worker_job ());
  world_run (world, 2500);
  assert_int_equal (count_active_runs (world), 3);
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world_run (world, 500);
  mt_scheduler_cordon (world->sched, "i-0", world->now + 60000, true);
  world_run (world, 100);
  assert_int_equal (count_active_runs (world), 2);
  g_ptr_array_add (specs, one_per_worker_job ());
  world_take_over (world, specs);
  mt_scheduler_cordon (world->sched, "i-1", world->now + 60000, true);
  for (int i = 0; i < 1000; i++)
    {
      world_run (world, 5);
      assert_true (count_active_runs (world) >= 2);
    }
  assert_int_equal (world->workers[1].runs->len, 0);
  assert_int_equal (count_active_runs (world), 3);
  world_destroy (world);
}

static struct world_worker *
find_worker_of (struct world *world, const char *task)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint r = 0; r < world->workers[i].runs->len; r++)
      if (strcmp (g_array_index (world->workers[i].runs, struct world_run, r).task, task) == 0)
        return &world->workers[i];
  return NULL;
}

/* As above, but the worker falls silent after its first listing. Guards against a successor that
 * takes this listing, from before the stop took effect, to show that the task is still active. */
static void
test_successor_waits_for_a_listing_after_its_predecessors_stops (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();
  struct world_worker *stopped;

  world->run_ms = -1;
  world->startup_ms = 100;
  world->stop_ms = 200;
  world->max_unavailable = 1;
  for (int i = 0; i < 6; i++)
    world_add_worker (world, "r1");
  world_submit (world, one_per_worker_job ());
  world_run (world, 2500);
  stopped = find_worker_of (world, "aa.0.0.1");
  mt_scheduler_cordon (world->sched, stopped->id, world->now + 60000, true);
  while (count_active_runs (world) == 3)
    world_run (world, 5);
  g_ptr_array_add (specs, one_per_worker_job ());
  world_take_over (world, specs);
  world_run (world, 20);
  stopped->silent = true;
  mt_scheduler_cordon (world->sched, find_worker_of (world, "aa.0.0.0")->id, world->now + 60000,
                       true);
  world_run (world, 1200);
  assert_int_equal (world->excess_stops, 0);
  stopped->silent = false;
  world_run (world, 5000);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (count_active_runs (world), 3);
  world_destroy (world);
}

/* Six workers, and a long-running step of three tasks of which one may be unavailable. */
static struct world *
create_limited_world (void)
{
  struct world *world = world_create ();

  world->run_ms = -1;
  world->startup_ms = 100;
  world->max_unavailable = 1;
  for (int i = 0; i < 6; i++)
    world_add_worker (world, "r1");
  world_submit (world, one_per_worker_job ());
  return world;
}

/* A stop that moves a task is lost, and before it is resent a task on a leaving worker is moved
 * beyond max_unavailable. Guards against the resent stop, which would make a second task
 * unavailable. */
static void
test_lost_stop_is_not_resent_while_others_are_unavailable (void **state)
{
  struct world *world = create_limited_world ();
  struct world_worker *w;

  world_run (world, 1000);
  mt_scheduler_cordon (world->sched, find_worker_of (world, "aa.0.0.1")->id, world->now + 1200,
                       true);
  world_run (world, 120);
  w = find_worker_of (world, "aa.0.0.1");
  assert_non_null (w);
  w->silent = true;
  mt_scheduler_cordon (world->sched, w->id, world->now + 1200, true);
  world_mark_leaving (world, find_worker_of (world, "aa.0.0.0"));
  world_run (world, 1040);
  w->silent = false;
  world_run (world, 500);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (world_count_running (world, "aa.0.0.1"), 1);
  mt_scheduler_cordon (world->sched, w->id, world->now + 60000, true);
  world_run (world, 3000);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (w->runs->len, 0);
  assert_int_equal (world_count_running (world, "aa.0.0.1"), 1);
  world_destroy (world);
}

/* As above, but the worker falls silent before the run was in any of its listings. Guards against a
 * listing that was requested before the run began and is taken to show that the run is not there.
 */
static void
test_lost_stop_of_a_run_not_listed_yet_is_not_resent (void **state)
{
  struct world *world = create_limited_world ();
  struct world_worker *w;

  world_run (world, 900);
  w = find_worker_of (world, "aa.0.0.1");
  w->silent = true;
  world_run (world, 300);
  mt_scheduler_cordon (world->sched, w->id, world->now + 1200, true);
  world_run (world, 200);
  world_mark_leaving (world, find_worker_of (world, "aa.0.0.0"));
  world->startup_ms = 800;
  world_run (world, 1040);
  w->silent = false;
  w->drops_all_answers = true;
  world_run (world, 500);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (world_count_running (world, "aa.0.0.1"), 1);
  w->drops_all_answers = false;
  world_run (world, 3000);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (w->runs->len, 0);
  assert_int_equal (world_count_running (world, "aa.0.0.1"), 1);
  world_destroy (world);
}

/* As above, but the answers of the leaving worker are lost. Guards against a stop that counts as
 * lost, and not as a task that is unavailable, only because it was not answered. */
static void
test_lost_stop_is_not_resent_while_another_may_have_been_carried_out (void **state)
{
  struct world *world = create_limited_world ();
  struct world_worker *w;
  struct world_worker *leaving;

  world_run (world, 2500);
  w = find_worker_of (world, "aa.0.0.0");
  leaving = find_worker_of (world, "aa.0.0.1");
  w->silent = true;
  mt_scheduler_cordon (world->sched, w->id, world->now + 60000, true);
  world_run (world, 100);
  world_mark_leaving (world, leaving);
  leaving->drops_all_answers = true;
  world_run (world, 1040);
  w->silent = false;
  world_run (world, 500);
  assert_int_equal (world->excess_stops, 0);
  leaving->drops_all_answers = false;
  world_run (world, 5000);
  assert_int_equal (world->excess_stops, 0);
  assert_int_equal (w->runs->len, 0);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

static struct world_worker *
find_idle_worker (struct world *world)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    if (world->workers[i].runs->len == 0)
      return &world->workers[i];
  return NULL;
}

/* A start is carried out late, after it was given up and the stop that withdraws it was lost, while
 * another task of the step is unavailable. Guards against a resent stop that ends the late run. */
static void
test_lost_stop_of_a_start_carried_out_late_is_not_resent (void **state)
{
  struct world *world = create_limited_world ();
  struct world_worker *leaving;
  struct world_worker *rebooted;
  struct world_worker *late;

  world_run (world, 1000);
  leaving = find_worker_of (world, "aa.0.0.0");
  rebooted = find_worker_of (world, "aa.0.0.1");
  late = find_idle_worker (world);
  late->starts_to_drop = 4;
  for (unsigned i = 0; i < world->n_workers; i++)
    if (world->workers[i].runs->len == 0 && &world->workers[i] != late)
      world_mark_leaving (world, &world->workers[i]);
  world_mark_leaving (world, leaving);
  world_reboot (world, rebooted);
  world_run (world, 350);
  late->starts_to_drop = 0;
  late->order_delay_ms = 900;
  world_run (world, 550);
  world_crash (world, rebooted);
  world_run (world, 550);
  late->order_delay_ms = 0;
  late->drops_hold_answers = true;
  world_run (world, 500);
  assert_int_equal (world->excess_stops, 0);
  world_destroy (world);
}

static unsigned
count_workers_without_runs (const struct world *world)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_workers; i++)
    n += world->workers[i].runs->len == 0;
  return n;
}

/* A worker is drained in a surge: waiting jobs take all resources that become free. Guards against
 * a long-running task that fits nowhere and stays, so that the machine's maintenance is late. */
static void
test_long_running_task_leaves_a_drained_worker_in_a_surge (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("La", 1, 8000, 1000);

  spec->steps[0].long_running = true;
  spec->steps[0].max_unavailable = 1;
  for (int i = 0; i < 3; i++)
    world_add_worker (world, "r1");
  world_submit (world, spec);
  world_run (world, 300);
  for (int i = 0; i < 100; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%d", i);

      world_submit (world, world_job (id, 1, 3000, 1000));
      world_run (world, 25); /* the tasks end one by one */
    }
  mt_scheduler_cordon (world->sched, find_worker_of (world, "La.0.0.0")->id, world->now + 60000,
                       true);
  world_run (world, 3500);
  assert_int_equal (world_count_running (world, "La.0.0.0"), 1);
  assert_int_equal (count_workers_without_runs (world), 1);
  world_destroy (world);
}

/* Tasks that can no longer meet their objective run when resources are free, and request no
 * machines: they would take those that another pool needs to meet its objectives. */
static void
test_overdue_work_is_not_urgent (void **state)
{
  struct world *world = world_create ();
  struct mt_scheduler_load load;

  world_submit (world, world_job ("aa", 4, 1000, 1000));
  world_run (world, 100);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent, 4);
  world_run (world, 3000);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.waiting, 4);
  assert_int_equal (load.urgent, 0);
  assert_int_equal (load.demand_cpu, 0);
  world_add_worker (world, "r1");
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 2000));
  world_destroy (world);
}

/* A surge shows in the load as soon as its jobs arrive, while resources for all of them are
 * still free: machines that are requested only once tasks wait arrive two seconds later. */
static void
test_surge_shows_in_the_load_before_tasks_wait (void **state)
{
  struct world *world = world_create ();
  struct mt_scheduler_load load;

  for (int i = 0; i < 12; i++)
    world_add_worker (world, "r1");
  world_run (world, 200);
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 10, 1000, 1000));
      world_run (world, 50);
    }
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent, 0);
  assert_true (load.arriving_cpu > 80000);
  world_run (world, 4000);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_true (load.arriving_cpu < 1000);
  world_destroy (world);
}

/* The store is down for longer than a worker's lease. No task may start or stop, but running
 * tasks keep their leases: otherwise every run would be ended and its work repeated. */
static void
test_runs_survive_a_store_outage (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->run_ms = 12000;
  world_submit (world, world_job ("aa", 3, 1000, 12000));
  world_run (world, 500);
  world->store_down = world->holds_only = true;
  world_submit (world, world_job ("bb", 3, 1000, 1000));
  world_run (world, 8000);
  assert_int_equal (w->runs->len, 3);
  assert_int_equal (world->n_starts, 3);
  world->store_down = world->holds_only = false;
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 5000));
  world_destroy (world);
}

/* The only worker executes orders but their answers are lost; it answers holds. It is not
 * silent: the next job must be placed there at once, not after a silence timeout. */
static void
test_worker_with_lost_order_answers_still_gets_work (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->drops_order_answers = true;
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world_run (world, 30);
  assert_int_equal (w->n_starts, 1);
  world_submit (world, world_job ("bb", 1, 1000, 1000));
  world_run (world, 30);
  assert_int_equal (w->n_starts, 2);
  assert_true (world_run_until_state (world, "bb", MT_JOB_COMPLETED, 3000));
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

/* The registry lists a worker's new incarnation, then an answer arrives that the earlier
 * incarnation sent. It must not be taken for yet another incarnation, or the tasks of the new
 * one would be started again. */
static void
test_answer_of_an_earlier_incarnation_is_ignored (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  struct mt_worker_entry next = { .id = w->id,
                                  .started_at_ms = 8,
                                  .address = "127.0.0.1:1",
                                  .zone = "z",
                                  .resources = w->resources };
  struct mt_sent_order hold = { .kind = MT_ORDER_HOLD, .worker = w->id, .worker_started_at = 8 };
  struct mt_hold_report earlier = { .answer = MT_ANSWER_OK, .clock_ms = 1, .started_at_ms = 7 };

  world->run_ms = 5000;
  world_run (world, 100);
  mt_scheduler_update_worker (world->sched, &next, world->now);
  w->started_at_ms = 8;
  world_submit (world, world_job ("aa", 2, 1000, 5000));
  world_run (world, 500);
  assert_int_equal (w->runs->len, 2);
  hold.sent_at = world->now - 1;
  mt_scheduler_hold_answered (world->sched, &hold, &earlier, world->now);
  world_run (world, 1000);
  assert_int_equal (world->n_starts, 2);
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

/* Another pool needs a machine, and each worker runs tasks. Which worker is empty first depends
 * on the progress of its tasks, not on their number. */
static void
test_worker_view_predicts_when_batch_tasks_end (void **state)
{
  struct world *world = world_create ();
  struct mt_worker_view views[2];
  unsigned slower;

  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world->run_ms = 6000;
  world_submit (world, world_job ("aa", 1, 16000, 1000));
  world_run (world, 100);
  world->run_ms = 2000;
  world_submit (world, world_job ("bb", 2, 8000, 1000));
  world_run (world, 1500);
  assert_int_equal (mt_scheduler_workers (world->sched, world->now, views, 2), 2);
  slower = views[0].tasks == 1 ? 0 : 1;
  assert_true (views[1 - slower].batch_remaining_ms < 1200);
  assert_true (views[slower].batch_remaining_ms > 3000);
  world_destroy (world);
}

/* Another pool needs a worker whose last task is long and can resume elsewhere from its
 * checkpoint. Waiting for the task would delay the other pool's callers: it is moved. If another
 * task that can't be moved keeps the worker busy as long, stopping the first gains nothing. */
static void
test_checkpointing_task_is_moved_off_a_cordoned_worker (void **state)
{
  for (int other_task = 0; other_task < 2; other_task++)
    {
      struct world *world = world_create ();
      struct mt_job_spec *spec = world_job ("aa", 1, 9000, 5000);
      struct world_worker *first = world_add_worker (world, "r1");

      world->run_ms = 5000;
      spec->steps[0].checkpointing = true;
      world_submit (world, spec);
      if (other_task)
        world_submit (world, world_job ("bb", 1, 1000, 5000));
      world_run (world, 300);
      assert_int_equal (first->runs->len, 1 + other_task);
      world_add_worker (world, "r1");
      world_run (world, 1500);
      mt_scheduler_cordon (world->sched, first->id, world->now + 5000, true);
      world_run (world, 1000);
      assert_int_equal (first->runs->len, 2 * other_task);
      assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
      assert_int_equal (world->duplicate_starts, 0);
      world_destroy (world);
    }
}

/* A worker leaves and returns as a new incarnation while all others are full. Its former tasks
 * avoid it at first because it left; they must not wait for ever while it has free resources. */
static void
test_task_returns_to_the_only_worker_with_free_resources (void **state)
{
  struct world *world = world_create ();
  struct world_worker *first = world_add_worker (world, "r1");
  struct mt_job_spec *spec = world_job ("aa", 1, 9000, 1000);

  world->run_ms = -1;
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  world_run (world, 300);
  assert_int_equal (first->runs->len, 1);
  world_add_worker (world, "r1");
  spec = world_job ("bb", 1, 9000, 1000);
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  world_run (world, 300);
  world_reboot (world, first);
  world_run (world, 500);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 0);
  world_run (world, 1500);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Tasks arrive one by one and resources are free. Tasks not placed yet, for 25 ms at most, are
 * no shortage: counted as one, the pool would keep machines that others lack. */
static void
test_new_tasks_do_not_count_as_waiting_before_placement (void **state)
{
  struct world *world = world_create ();
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world_run (world, 100);
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.waiting, 0);
  world_submit (world, world_job ("bb", 20, 1000, 1000));
  world_run (world, 50);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.waiting, 8);
  assert_int_equal (load.urgent, 8);
  world_destroy (world);
}

/* The caller estimated 200 ms and the tasks take a second: by the estimate the job has missed
 * its objective when its second step starts. The objective is set from the observed time of the
 * first step, so the job can still meet it and keeps its place before a job that is really
 * overdue. */
static void
test_objective_follows_observed_step_times (void **state)
{
  struct world *world = world_create ();
  const unsigned counts[] = { 2, 2 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 1000;
  world_submit (world, world_two_step_job ("aa", counts, 8000, 200));
  world_run (world, 1300);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.used_cpu, 16000);
  assert_int_equal (load.urgent_used_cpu, 16000);
  world_run (world, 900);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent_used_cpu, load.used_cpu);
  world_destroy (world);
}

/* Two long-running tasks may not share a worker. There are two workers, one of which is to be
 * drained. Stopped with no other worker to run on, its task would be unavailable until one is
 * added: the task stays, and the load reports it as unplaceable. With a third worker it is
 * moved. */
static void
test_long_running_task_stays_until_another_worker_can_run_it (void **state)
{
  struct world *world = world_create ();
  struct world_worker *first = world_add_worker (world, "r1");
  struct mt_job_spec *spec = world_job ("aa", 2, 1000, 1000);
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = -1;
  spec->steps[0].long_running = true;
  spec->steps[0].max_per_worker = 1;
  spec->steps[0].max_unavailable = 1;
  world_submit (world, spec);
  world_run (world, 1500);
  assert_int_equal (first->runs->len, 1);
  mt_scheduler_cordon (world->sched, first->id, world->now + 20000, true);
  world_run (world, 3000);
  assert_int_equal (first->runs->len, 1);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.unplaceable, 1);
  world_add_worker (world, "r1");
  world_run (world, 2500);
  assert_int_equal (first->runs->len, 0);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.unplaceable, 0);
  world_destroy (world);
}

/* The first step of a job is nearly done and its next step is twice as wide: shortly the job
 * needs twice the CPU that it uses. The only step of another job is nearly done: it will need
 * none. The machines requested follow this prediction, so that none leaves the first job and
 * none stays for the second. */
static void
test_load_predicts_upcoming_cpu (void **state)
{
  struct world *world = world_create ();
  const unsigned counts[] = { 1, 2 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 2000;
  world_submit (world, world_two_step_job ("aa", counts, 3000, 2000));
  world_submit (world, world_job ("bb", 1, 5000, 2000));
  world_run (world, 300);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.upcoming_cpu, 8000);
  world_run (world, 1200);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.used_cpu, 8000);
  assert_int_equal (load.upcoming_cpu, 6000);
  world_destroy (world);
}

/* A worker's machine was moved away, and the controller that ordered the move died before it
 * reported that. When the cordon expires no task may be placed on the worker that is gone, or it
 * would wait there until its lease expires. */
static void
test_worker_gets_no_work_after_a_cordon_until_it_answers (void **state)
{
  struct world *world = world_create ();
  struct world_worker *removed = world_add_worker (world, "r1");

  world_run (world, 300);
  mt_scheduler_cordon (world->sched, removed->id, world->now + 500, true);
  removed->silent = true;
  world_run (world, 800);
  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 2, 1000, 1000));
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 2000));
  world_destroy (world);
}

/* A surge releases 300 starts at once on a leader whose link carries 30 bytes per ms: 10 s of
 * traffic. Sent at once they would delay the lease renewals queued behind them, and the leases
 * of long-running tasks would expire. The starts wait at the leader instead; each task runs
 * once, as fast as the link allows. */
static void
test_surge_on_a_slow_link_starts_each_task_once (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("L1", 10, 1000, 1000);

  world->link_bytes_per_ms = 30;
  for (unsigned i = 0; i < 40; i++)
    world_add_worker (world, "r1");
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  world_run (world, 1000);
  for (unsigned i = 0; i < 15; i++)
    {
      g_autofree char *id = g_strdup_printf ("%02u", i);

      world_submit (world, world_job (id, 20, 1000, 1000));
    }
  world_run (world, 20000);
  for (unsigned i = 0; i < 15; i++)
    {
      g_autofree char *id = g_strdup_printf ("%02u", i);

      assert_int_equal (mt_scheduler_job_state (world->sched, id), MT_JOB_COMPLETED);
    }
  assert_int_equal (world->n_starts, 10 + 300);
  assert_int_equal (world->duplicate_starts, 0);
  world_destroy (world);
}

/* For 8 s the leader's link is repeatedly delayed, and the answers of two of its three workers
 * are lost. Their tasks complete unreported, and their leases expire. A completed task must not
 * run again on the third worker: after delays of its own link the leader queries the workers
 * first. */
static void
test_silence_during_link_delays_reruns_no_completed_task (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[2];

  for (unsigned i = 0; i < 2; i++)
    w[i] = world_add_worker (world, "r1");
  world_run (world, 500);
  world_submit (world, world_job ("aa", 20, 1000, 1000));
  world_run (world, 300);
  assert_int_equal (w[0]->n_starts + w[1]->n_starts, 20);
  w[0]->drops_all_answers = w[1]->drops_all_answers = true;
  world_add_worker (world, "r1");
  for (unsigned i = 0; i < 16; i++)
    {
      mt_scheduler_set_link_delay (world->sched, 300, world->now);
      mt_scheduler_set_link_delay (world->sched, 0, world->now);
      world_run (world, 500);
    }
  w[0]->drops_all_answers = w[1]->drops_all_answers = false;
  world_run (world, 2000);
  assert_int_equal (world->n_starts, 20);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_COMPLETED);
  world_destroy (world);
}

/* Answers take 4.4 s to reach the leader, so the clock that they report is that old. Leases
 * computed from it would end 100 ms after they are given, long before the next renewal. */
static void
test_delayed_answers_do_not_shorten_leases (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  struct mt_job_spec *spec = world_job ("aa", 1, 1000, 1000);

  spec->steps[0].long_running = true;
  world->run_ms = -1;
  world_submit (world, spec);
  world_run (world, 2000);
  w->clock_lag_ms = 4400;
  world_run (world, 10000);
  assert_int_equal (world->n_starts, 1);
  assert_int_equal (world_count_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Two of three workers are announced for a later drain. A long-running task that is new or being
 * moved goes to the third worker, or it would be moved again when the next worker is drained. */
static void
test_long_running_task_avoids_workers_with_an_announced_drain (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("L1", 6, 1000, 1000);

  for (unsigned i = 0; i < 3; i++)
    world_add_worker (world, "r1");
  world_run (world, 200);
  for (unsigned i = 0; i < 2; i++)
    mt_scheduler_announce_drain (world->sched, world->workers[i].id, world->now + 5000);
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  world_run (world, 500);
  assert_int_equal (world->workers[2].n_starts, 6);
  world_destroy (world);
}

/* A pool of two workers has a minute of work. A caller whose job would end long after its result
 * is useful is refused and told when to retry. No job is refused if it runs before the overdue
 * ones, if the pool is about to have forty machines, or if nothing is known of the pool yet. */
static void
test_wait_estimate_refuses_jobs_that_would_end_too_late (void **state)
{
  struct world *world = world_create ();
  struct mt_wait_estimate estimate;

  estimate = mt_scheduler_estimate_wait (world->sched, "route", 1000, NULL, world->now);
  assert_int_equal (estimate.retry_after_ms, 0);
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world_run (world, 200);
  world_submit (world, world_job ("aa", 8, 4000, 1000));
  world_run (world, 100);
  estimate = mt_scheduler_estimate_wait (world->sched, "route", 1000, NULL, world->now);
  assert_int_equal (estimate.retry_after_ms, 0);
  for (unsigned i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);

      world_submit (world, world_job (id, 40, 4000, 1000));
    }
  world_run (world, 100);
  estimate = mt_scheduler_estimate_wait (world->sched, "route", 1000, NULL, world->now);
  assert_in_range (estimate.retry_after_ms, 15000, 30000);
  mt_scheduler_expect_capacity (world->sched, 40 * 16000, world->now + 1000);
  world_run (world, 100);
  estimate = mt_scheduler_estimate_wait (world->sched, "route", 1000, NULL, world->now);
  assert_int_equal (estimate.retry_after_ms, 0);
  world_run (world, 4000);
  estimate = mt_scheduler_estimate_wait (world->sched, "route", 1000, NULL, world->now);
  assert_int_equal (estimate.retry_after_ms, 0);
  world_destroy (world);
}

/* A surge of 600 tasks meets 40 idle workers and a link that carries 30 starts per second.
 * Placed at once, the tasks would occupy workers long before they start, and other pools would
 * lack the machines. No more tasks are placed than the link can start shortly, and the pool
 * requests no more resources than it keeps busy. */
static void
test_placement_is_limited_by_the_link_capacity (void **state)
{
  struct world *world = world_create ();
  struct mt_scheduler_load load;
  int64_t used_cpu = 0;

  world->link_bytes_per_ms = 30;
  for (unsigned i = 0; i < 40; i++)
    world_add_worker (world, "r1");
  world_run (world, 1000);
  for (unsigned i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("%02u", i);

      world_submit (world, world_job (id, 20, 1000, 1000));
    }
  world_run (world, 2000);
  mt_scheduler_load (world->sched, world->now, &load);
  used_cpu = load.used_cpu;
  assert_in_range (used_cpu, 10000, 200000);
  assert_in_range (load.demand_cpu + load.overdue_cpu, 1000, 2 * used_cpu);
  assert_int_equal (load.urgent, 0);
  world_run (world, 30000);
  assert_int_equal (world->n_starts, 600);
  world_destroy (world);
}

/* ---- quotas ---- */

static void
submit_for_workspace (struct world *world, const char *workspace, const char *id, unsigned count)
{
  struct mt_job_spec *spec = world_job (id, count, 2000, 500);

  spec->workspace = g_strdup (workspace);
  world_submit (world, spec);
}

/* Guards against a workspace that crowds out the others by submitting jobs far beyond its share. */
static void
test_flood_of_one_workspace_delays_no_other (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits limits = { .weight = 1, .pools = 1 };
  unsigned of_press = 0;

  world_add_worker (world, "r1");
  world->run_ms = 400;
  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  for (unsigned i = 0; i < 40; i++)
    {
      g_autofree char *id = g_strdup_printf ("y%02u", i);

      submit_for_workspace (world, "yard", id, 8);
    }
  world_run (world, 100);
  submit_for_workspace (world, "press", "bb", 8);
  world_run (world, 500);
  assert_int_equal (world->workers[0].runs->len, 8);
  for (guint i = 0; i < 8; i++)
    of_press += g_array_index (world->workers[0].runs, struct world_run, i).task[0] == 'b';
  assert_int_equal (of_press, 4);
  assert_true (world_run_until_state (world, "bb", MT_JOB_COMPLETED, 2500));
  assert_int_equal (mt_scheduler_job_state (world->sched, "y00"), MT_JOB_COMPLETED);
  assert_int_equal (mt_scheduler_job_state (world->sched, "y20"), MT_JOB_QUEUED);
  assert_true (world_run_until_state (world, "y39", MT_JOB_COMPLETED, 60000));
  world_destroy (world);
}

static int64_t
granted_cpu (const struct world *world)
{
  struct mt_account_view view;

  assert_int_equal (mt_scheduler_accounts (world->sched, &view, 1), 1);
  return view.granted.cpu;
}

/* Guards against an older, larger grant that arrives late and is used in addition to resources
 * that were already revoked. */
static void
test_older_grant_message_is_rejected (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits limits = { .quota = { .cpu = 8000 }, .pools = 2 };
  struct mt_grant less = { "yard", { .cpu = 1000 } };
  struct mt_grant more = { "yard", { .cpu = 8000 } };
  struct mt_grant_message newer = { .token = 3, .sequence = 5, .all = true, .grants = &less, 1 };
  struct mt_grant_message older = { .token = 3, .sequence = 4, .all = true, .grants = &more, 1 };
  struct mt_grant_message lower_token
      = { .token = 2, .sequence = 9, .all = true, .grants = &more, 1 };

  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  assert_true (mt_scheduler_apply_grants (world->sched, &newer, world->now));
  assert_false (mt_scheduler_apply_grants (world->sched, &older, world->now));
  assert_false (mt_scheduler_apply_grants (world->sched, &lower_token, world->now));
  assert_int_equal (granted_cpu (world), 1000);
  world_destroy (world);
}

/* Guards against pools that keep their grants of a quota that was lowered while they were
 * unreachable. */
static void
test_grant_shrinks_with_its_quota (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits limits = { .quota = { .cpu = 8000 }, .pools = 2 };
  struct mt_grant grant = { "yard", { .cpu = 6000 } };
  struct mt_grant_message message = { .token = 1, .sequence = 1, .all = true, .grants = &grant, 1 };

  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
  limits.quota.cpu = 4000;
  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  assert_int_equal (granted_cpu (world), 3000);
  limits.quota.cpu = 40000;
  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  assert_int_equal (granted_cpu (world), 3000);
  world_destroy (world);
}

/* Guards against a workspace that claims machines from others although its quota doesn't allow
 * it to use them. */
static void
test_quota_limits_only_its_own_workspace (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits limits = { .quota = { .cpu = 4000 }, .pools = 1 };
  struct mt_grant grant = { "yard", { .cpu = 4000 } };
  struct mt_grant_message message = { .token = 1, .sequence = 1, .grants = &grant, .n_grants = 1 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 500;
  mt_scheduler_set_workspace (world->sched, "yard", &limits);
  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
  submit_for_workspace (world, "yard", "aa", 10);
  world_run (world, 200);
  assert_int_equal (world->workers[0].runs->len, 2);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent, 0);
  assert_int_equal (load.waiting, 0);
  submit_for_workspace (world, "press", "bb", 6);
  world_run (world, 200);
  assert_int_equal (world->workers[0].runs->len, 8);
  assert_true (world_run_until_state (world, "aa", MT_JOB_COMPLETED, 10000));
  world_destroy (world);
}

static void
record_last_task_lost (void *ctx, const char *name, const char *detail)
{
  if (strcmp (name, "TASK_LOST") == 0)
    g_strlcpy (ctx, detail, 200);
}

/* Guards against a log that does not distinguish a task that crashes its worker from one that
 * was merely running there. */
static void
test_task_lost_event_gives_the_observed_time (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  char detail[200] = "";

  world->run_ms = 2000;
  mt_scheduler_set_event_callback (world->sched, record_last_task_lost, detail);
  world_submit (world, world_job ("aa", 1, 1000, 2000));
  world_run (world, 1500);
  world_crash (world, w);
  world_run (world, WORLD_DOWNTIME_MS + 500);
  assert_non_null (strstr (detail, "state=running"));
  assert_non_null (strstr (detail, "losses=1"));
  assert_null (strstr (detail, "seen_ms=0 "));
  world_add_crashing (world, "bb.0.0.0");
  world_submit (world, world_job ("bb", 1, 1000, 2000));
  world_run (world, WORLD_DOWNTIME_MS + 500);
  assert_non_null (strstr (detail, "id=bb"));
  assert_non_null (strstr (detail, "seen_ms=0 "));
  world_destroy (world);
}

/* Guards against a scheduled job whose times pass in a pool where nothing else happens. */
static void
test_scheduled_job_begins_in_an_idle_pool (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("aa", 1, 1000, 300);

  world->run_ms = 300;
  world_add_worker (world, "r1");
  world_run (world, 1000);
  spec->repeats = 3;
  spec->first_run_ms = world->now + 2500;
  spec->interval_ms = 1500;
  world_submit (world, spec);
  world_run (world, 2400);
  assert_int_equal (world->n_starts, 0);
  for (unsigned i = 1; i <= 3; i++)
    {
      world_run (world, 200);
      assert_int_equal (world->n_starts, i);
      world_run (world, 1300);
    }
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_COMPLETED);
  world_destroy (world);
}

/* Guards against a large job of tasks that need next to nothing: its thousands of tasks, all of
 * which each worker lists again and again, hold up those of other jobs. */
static void
test_tiny_tasks_leave_others_their_turn (void **state)
{
  struct world *world = world_create ();
  unsigned running = 0;

  world->run_ms = -1;
  for (unsigned i = 0; i < 2; i++)
    world_add_worker (world, "r1");
  world_submit (world, world_job ("large", 2000, 1, 1000));
  world_run (world, 3000);
  for (unsigned i = 0; i < 2; i++)
    running += world->workers[i].runs->len;
  assert_int_equal (running, 2 * 64);
  world_submit (world, world_job ("small", 4, 1, 1000));
  world_run (world, 200);
  assert_int_equal (world_count_running (world, "small.0.0.3"), 1);
  world_destroy (world);
}

/* Guards against thousands of tiny tasks that start together, and end together. */
static void
test_tiny_tasks_start_apart (void **state)
{
  struct world *world = world_create ();
  unsigned before = 0;

  world->run_ms = -1;
  for (unsigned i = 0; i < 4; i++)
    world_add_worker (world, "r1");
  world_submit (world, world_job ("large", 2000, 1, 1000));
  for (unsigned i = 0; i < 200; i++)
    {
      world_run (world, 5);
      assert_true (world->n_starts - before <= 4 * 4);
      before = world->n_starts;
    }
  assert_int_equal (world->n_starts, 4 * 64);
  world_destroy (world);
}

/* Guards against long-running tasks that wait because they are many: all of them have to run. */
static void
test_all_long_running_tasks_run (void **state)
{
  struct world *world = world_create ();
  struct mt_job_spec *spec = world_job ("large", 600, 1, 1000);

  spec->steps[0].long_running = true;
  world->run_ms = -1;
  for (unsigned i = 0; i < 2; i++)
    world_add_worker (world, "r1");
  world_submit (world, spec);
  world_run (world, 3000);
  assert_int_equal (world->workers[0].runs->len + world->workers[1].runs->len, 600);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_quota_limits_only_its_own_workspace),
    cmocka_unit_test (test_older_grant_message_is_rejected),
    cmocka_unit_test (test_flood_of_one_workspace_delays_no_other),
    cmocka_unit_test (test_grant_shrinks_with_its_quota),
    cmocka_unit_test (test_task_lost_event_gives_the_observed_time),
    cmocka_unit_test (test_job_completes),
    cmocka_unit_test (test_placement_is_stored_before_start),
    cmocka_unit_test (test_job_cancelled_before_restore_is_stopped),
    cmocka_unit_test (test_successor_stops_runs_of_a_job_recorded_as_cancelled),
    cmocka_unit_test (test_scheduled_job_begins_in_an_idle_pool),
    cmocka_unit_test (test_tiny_tasks_leave_others_their_turn),
    cmocka_unit_test (test_tiny_tasks_start_apart),
    cmocka_unit_test (test_all_long_running_tasks_run),
    cmocka_unit_test (test_unreadable_record_holds_its_own_job_back),
    cmocka_unit_test (test_checkpoint_text_survives_a_takeover),
    cmocka_unit_test (test_unanswered_transaction_delays_only_its_own_jobs),
    cmocka_unit_test (test_end_is_not_acknowledged_before_earlier_ones_are_stored),
    cmocka_unit_test (test_takeover_keeps_running_tasks),
    cmocka_unit_test (test_records_of_an_earlier_incarnation_hide_no_runs),
    cmocka_unit_test (test_successor_places_tasks_of_a_lost_worker_after_the_longest_lease),
    cmocka_unit_test (test_successor_allows_for_renewals_after_its_takeover),
    cmocka_unit_test (test_tasks_of_a_job_share_a_zone),
    cmocka_unit_test (test_job_larger_than_its_zone_runs_in_others_too),
    cmocka_unit_test (test_silent_worker_keeps_its_tasks_until_its_lease_expires),
    cmocka_unit_test (test_unanswered_start_is_confirmed_by_the_next_hold),
    cmocka_unit_test (test_surge_on_a_slow_link_starts_each_task_once),
    cmocka_unit_test (test_silence_during_link_delays_reruns_no_completed_task),
    cmocka_unit_test (test_delayed_answers_do_not_shorten_leases),
    cmocka_unit_test (test_long_running_task_avoids_workers_with_an_announced_drain),
    cmocka_unit_test (test_wait_estimate_refuses_jobs_that_would_end_too_late),
    cmocka_unit_test (test_placement_is_limited_by_the_link_capacity),
    cmocka_unit_test (test_lost_start_is_resent),
    cmocka_unit_test (test_task_leaves_a_worker_that_loses_every_start),
    cmocka_unit_test (test_worker_that_fails_every_run_costs_few_attempts),
    cmocka_unit_test (test_trial_of_a_worker_ends),
    cmocka_unit_test (test_last_attempt_does_not_wait_for_3_s),
    cmocka_unit_test (test_stalled_task_runs_elsewhere),
    cmocka_unit_test (test_lost_hold_answers_do_not_count_as_a_stall),
    cmocka_unit_test (test_queued_starts_are_not_sent_to_a_leaving_worker),
    cmocka_unit_test (test_start_is_not_sent_if_its_worker_leaves_during_the_write),
    cmocka_unit_test (test_small_jobs_are_packed_on_few_workers),
    cmocka_unit_test (test_worker_is_never_overcommitted),
    cmocka_unit_test (test_start_is_not_sent_to_a_worker_that_shrank),
    cmocka_unit_test (test_lost_start_is_not_resent_to_a_worker_that_shrank),
    cmocka_unit_test (test_worker_that_grew_is_used),
    cmocka_unit_test (test_answer_of_an_earlier_incarnation_is_ignored),
    cmocka_unit_test (test_worker_view_predicts_when_batch_tasks_end),
    cmocka_unit_test (test_checkpointing_task_is_moved_off_a_cordoned_worker),
    cmocka_unit_test (test_worker_with_lost_order_answers_still_gets_work),
    cmocka_unit_test (test_runs_survive_a_store_outage),
    cmocka_unit_test (test_surge_shows_in_the_load_before_tasks_wait),
    cmocka_unit_test (test_successor_counts_tasks_stopped_by_its_predecessor_as_unavailable),
    cmocka_unit_test (test_successor_waits_for_a_listing_after_its_predecessors_stops),
    cmocka_unit_test (test_lost_stop_is_not_resent_while_others_are_unavailable),
    cmocka_unit_test (test_lost_stop_is_not_resent_while_another_may_have_been_carried_out),
    cmocka_unit_test (test_lost_stop_of_a_start_carried_out_late_is_not_resent),
    cmocka_unit_test (test_lost_stop_of_a_run_not_listed_yet_is_not_resent),
    cmocka_unit_test (test_long_running_task_leaves_a_drained_worker_in_a_surge),
    cmocka_unit_test (test_overdue_work_is_not_urgent),
    cmocka_unit_test (test_long_running_tasks_are_moved_one_at_a_time),
    cmocka_unit_test (test_long_running_task_is_not_moved_while_others_are_unavailable),
    cmocka_unit_test (test_cancelled_job_leaves_the_pending_count_once),
    cmocka_unit_test (test_superseded_run_keeps_its_resources_until_it_ends),
    cmocka_unit_test (test_task_returns_to_the_only_worker_with_free_resources),
    cmocka_unit_test (test_new_tasks_do_not_count_as_waiting_before_placement),
    cmocka_unit_test (test_objective_follows_observed_step_times),
    cmocka_unit_test (test_long_running_task_stays_until_another_worker_can_run_it),
    cmocka_unit_test (test_load_predicts_upcoming_cpu),
    cmocka_unit_test (test_worker_gets_no_work_after_a_cordon_until_it_answers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
