#include "medlartrack/jobs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define GB 1024

struct fixture
{
  struct mt_clock_manual *manual;
  struct mt_jobs *jobs;
  GArray *actions;
};

static int
setup (void **state)
{
  struct mt_jobs_options options = mt_jobs_default_options ();
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (1000 * MT_SECOND);
  f->jobs = mt_jobs_create (mt_clock_manual_clock (f->manual), &options);
  f->actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  *state = f;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *f = *state;

  g_array_unref (f->actions);
  mt_jobs_destroy (f->jobs);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static void
add_worker (struct fixture *f, const char *name, uint32_t cpus)
{
  struct mt_worker_spec spec = { name, "rack", "pool", { cpus * 1000, 64 * GB, 0 }, 1 };

  mt_jobs_set_worker (f->jobs, &spec);
}

static void
submit (struct fixture *f, const char *name, enum mt_urgency urgency, uint32_t cpus, bool twice)
{
  struct mt_job_spec spec = { name, name, "team", "pool", { cpus * 1000, GB, 0 }, urgency, twice };

  assert_true (mt_jobs_submit (f->jobs, &spec));
}

static void
plan (struct fixture *f)
{
  g_array_set_size (f->actions, 0);
  mt_jobs_plan (f->jobs, f->actions);
}

/* Returns the last action of a kind for a job, or NULL. */
static const struct mt_job_action *
find_action (const struct fixture *f, enum mt_job_action_kind kind, const char *job)
{
  for (guint i = f->actions->len; i-- > 0;)
    {
      const struct mt_job_action *action = &g_array_index (f->actions, struct mt_job_action, i);

      if (action->kind == kind && strcmp (action->job, job) == 0)
        return action;
    }
  return NULL;
}

static void
report (struct fixture *f,
        const struct mt_job_action *action,
        enum mt_job_report_kind kind,
        struct mt_job_resources usage)
{
  struct mt_job_report r
      = { kind,          action->job, action->worker,
          action->epoch, usage,       mt_clock_now (mt_clock_manual_clock (f->manual)) };

  mt_jobs_report (f->jobs, &r);
}

static const struct mt_job_resources no_usage = { 0, 0, 0 };

/* Guards against two running copies of a job that may not run twice. A worker's lease expires while
 * it runs the job, but the worker is only paused. The job must not be started elsewhere until the
 * worker confirms the fence, after which it refuses the old epoch. */
static void
test_job_waits_for_fence_after_lease_expiry (void **state)
{
  struct fixture *f = *state;
  struct mt_job_action first;

  add_worker (f, "w1", 8);
  add_worker (f, "w2", 8);
  submit (f, "invoices", MT_URGENCY_NORMAL, 2, false);
  plan (f);
  first = *find_action (f, MT_JOB_START, "invoices");
  mt_jobs_worker_lease_lost (f->jobs, first.worker, 1);
  plan (f);
  assert_null (find_action (f, MT_JOB_START, "invoices"));
  assert_non_null (find_action (f, MT_JOB_FENCE, "invoices"));
  assert_int_equal (mt_jobs_state (f->jobs, "invoices"), MT_JOB_FENCING);
  report (f, &first, MT_REPORT_FENCED, no_usage);
  plan (f);
  assert_non_null (find_action (f, MT_JOB_START, "invoices"));
  assert_true (find_action (f, MT_JOB_START, "invoices")->epoch > first.epoch);
  assert_string_not_equal (find_action (f, MT_JOB_START, "invoices")->worker, first.worker);
}

/* Guards against a cancelled job that runs again because of a late report: the worker sends RUNNING
 * before it receives the stop. The stop must be repeated until confirmed. */
static void
test_late_report_does_not_resurrect_cancelled_job (void **state)
{
  struct fixture *f = *state;
  struct mt_job_action start;

  add_worker (f, "w1", 8);
  submit (f, "job", MT_URGENCY_NORMAL, 2, true);
  plan (f);
  start = *find_action (f, MT_JOB_START, "job");
  mt_jobs_cancel (f->jobs, "job");
  mt_jobs_cancel (f->jobs, "job");
  plan (f);
  assert_int_equal (f->actions->len, 1);
  assert_non_null (find_action (f, MT_JOB_STOP, "job"));
  report (f, &start, MT_REPORT_RUNNING, no_usage);
  assert_int_equal (mt_jobs_state (f->jobs, "job"), MT_JOB_STOPPING);
  report (f, &start, MT_REPORT_STOPPED, no_usage);
  assert_int_equal (mt_jobs_state (f->jobs, "job"), MT_JOB_CANCELLED);
  assert_int_equal (mt_jobs_worker_task_count (f->jobs, "w1"), 0);
  mt_clock_manual_advance (f->manual, 3600 * MT_SECOND);
  plan (f);
  assert_int_equal (f->actions->len, 0);
}

/* Guards against starting a job whose cancellation arrives before its submission. */
static void
test_cancel_before_submit_prevents_start (void **state)
{
  struct fixture *f = *state;
  struct mt_job_spec spec
      = { "job", "kind", "team", "pool", { 1000, GB, 0 }, MT_URGENCY_URGENT, true };

  add_worker (f, "w1", 8);
  mt_jobs_cancel (f->jobs, "job");
  assert_false (mt_jobs_submit (f->jobs, &spec));
  plan (f);
  assert_int_equal (f->actions->len, 0);
  assert_int_equal (mt_jobs_state (f->jobs, "job"), MT_JOB_CANCELLED);
}

static void
test_unschedulable_job_does_not_block_others (void **state)
{
  struct fixture *f = *state;

  add_worker (f, "w1", 8);
  submit (f, "giant", MT_URGENCY_URGENT, 9, true);
  submit (f, "small", MT_URGENCY_BACKGROUND, 1, true);
  plan (f);
  assert_int_equal (mt_jobs_state (f->jobs, "giant"), MT_JOB_UNSCHEDULABLE);
  assert_non_null (strstr (mt_jobs_reason (f->jobs, "giant"), "9000 thousandths"));
  assert_int_equal (mt_jobs_state (f->jobs, "small"), MT_JOB_RUNNING);
  add_worker (f, "w2", 16);
  plan (f);
  assert_int_equal (mt_jobs_state (f->jobs, "giant"), MT_JOB_RUNNING);
}

/* Guards against urgent jobs that wait for borrowed resources. One team's background jobs use the
 * whole fleet beyond their quota; an urgent job of another team, within its quota, must have one of
 * them checkpointed. */
static void
test_borrowed_resources_are_preempted_by_checkpoint (void **state)
{
  struct fixture *f = *state;
  struct mt_job_spec urgent
      = { "urgent", "urgent", "owner", "pool", { 4000, GB, 0 }, MT_URGENCY_URGENT, true };
  struct mt_job_action yielding;

  add_worker (f, "w1", 8);
  mt_jobs_set_quota (f->jobs, "owner", (struct mt_job_resources){ 8000, 64 * GB, 0 });
  submit (f, "b1", MT_URGENCY_BACKGROUND, 4, true);
  submit (f, "b2", MT_URGENCY_BACKGROUND, 4, true);
  plan (f);
  assert_int_equal (mt_jobs_team_borrowed (f->jobs, "team").cpu_milli, 8000);
  mt_jobs_submit (f->jobs, &urgent);
  plan (f);
  assert_int_equal (f->actions->len, 1);
  yielding = g_array_index (f->actions, struct mt_job_action, 0);
  assert_int_equal (yielding.kind, MT_JOB_CHECKPOINT);
  report (f, &yielding, MT_REPORT_CHECKPOINTED, no_usage);
  plan (f);
  assert_int_equal (mt_jobs_state (f->jobs, "urgent"), MT_JOB_RUNNING);
}

/* Guards against starvation. A stream of urgent jobs keeps the only worker full, and a background
 * job needs the whole worker. Once the job has waited for its age limit, the worker is reserved for
 * it, and it starts when the running jobs have ended. */
static void
test_aged_job_starts_under_urgent_load (void **state)
{
  struct fixture *f = *state;
  unsigned rounds = 0;

  add_worker (f, "w1", 8);
  mt_jobs_set_quota (f->jobs, "team", (struct mt_job_resources){ 8000, 64 * GB, 0 });
  submit (f, "weekly", MT_URGENCY_BACKGROUND, 8, false);
  for (; mt_jobs_state (f->jobs, "weekly") != MT_JOB_RUNNING && rounds < 500; rounds++)
    {
      g_autofree char *name = g_strdup_printf ("urgent-%u", rounds);

      submit (f, name, MT_URGENCY_URGENT, 3, true);
      if (rounds == 0)
        mt_jobs_drain_worker (f->jobs, "w1", true);
      plan (f);
      mt_jobs_drain_worker (f->jobs, "w1", false);
      for (guint i = 0; i < f->actions->len; i++)
        report (f, &g_array_index (f->actions, struct mt_job_action, i), MT_REPORT_RUNNING,
                no_usage);
      mt_clock_manual_advance (f->manual, 30 * MT_SECOND);
      if (rounds >= 1)
        {
          g_autofree char *old = g_strdup_printf ("urgent-%u", rounds - 1);
          struct mt_job_action done = { MT_JOB_START, old, "w1", 1, 1 };

          report (f, &done, MT_REPORT_DONE, no_usage);
        }
    }
  assert_int_equal (mt_jobs_state (f->jobs, "weekly"), MT_JOB_RUNNING);
  /* The age limit of 3,600 s is 120 rounds; then the running jobs have to end. */
  assert_true (rounds <= 130);
}

static void
run_failing_job (struct fixture *f, const char *job)
{
  const struct mt_job_action *start;

  submit (f, job, MT_URGENCY_NORMAL, 1, true);
  plan (f);
  start = find_action (f, MT_JOB_START, job);
  assert_non_null (start);
  report (f, start, MT_REPORT_FAILED, no_usage);
  mt_jobs_cancel (f->jobs, job);
}

/* Guards against a worker on which every job fails. After three different jobs it is quarantined,
 * then gets one job at a time, and is in normal use again after a success. */
static void
test_worker_that_fails_every_job_is_quarantined (void **state)
{
  struct fixture *f = *state;
  const struct mt_job_action *start;

  add_worker (f, "w1", 8);
  run_failing_job (f, "a");
  run_failing_job (f, "b");
  assert_false (mt_jobs_is_quarantined (f->jobs, "w1"));
  run_failing_job (f, "c");
  assert_true (mt_jobs_is_quarantined (f->jobs, "w1"));
  submit (f, "d", MT_URGENCY_NORMAL, 1, true);
  submit (f, "e", MT_URGENCY_NORMAL, 1, true);
  plan (f);
  assert_int_equal (f->actions->len, 0);
  mt_clock_manual_advance (f->manual, 301 * MT_SECOND);
  plan (f);
  assert_int_equal (f->actions->len, 1);
  start = find_action (f, MT_JOB_START, "d");
  assert_non_null (start);
  report (f, start, MT_REPORT_DONE, no_usage);
  plan (f);
  assert_non_null (find_action (f, MT_JOB_START, "e"));
}

/* Guards against good workers being quarantined because of a job that fails everywhere: its
 * failures are removed from the workers once the job is known to be poison. */
static void
test_poison_job_does_not_quarantine_good_workers (void **state)
{
  struct fixture *f = *state;

  add_worker (f, "w1", 8);
  add_worker (f, "w2", 8);
  add_worker (f, "w3", 8);
  for (int job = 0; job < 4; job++)
    {
      g_autofree char *name = g_strdup_printf ("bad-%d", job);

      submit (f, name, MT_URGENCY_NORMAL, 1, true);
      for (int i = 0; i < 3; i++)
        {
          plan (f);
          assert_non_null (find_action (f, MT_JOB_START, name));
          report (f, find_action (f, MT_JOB_START, name), MT_REPORT_FAILED, no_usage);
        }
      assert_int_equal (mt_jobs_state (f->jobs, name), MT_JOB_POISON);
    }
  assert_false (mt_jobs_is_quarantined (f->jobs, "w1"));
  assert_false (mt_jobs_is_quarantined (f->jobs, "w2"));
  assert_false (mt_jobs_is_quarantined (f->jobs, "w3"));
}

/* Guards against estimates that stay at the declared resources. Jobs declared at one processor use
 * six; after three such runs, two of them must not share a worker with eight. */
static void
test_learned_usage_replaces_declared_resources (void **state)
{
  struct fixture *f = *state;
  struct mt_job_resources seen = { 6000, 2 * GB, 0 };

  add_worker (f, "w1", 8);
  for (int i = 0; i < 5; i++)
    {
      g_autofree char *name = g_strdup_printf ("run-%d", i);
      struct mt_job_spec spec
          = { name, "kind", "team", "pool", { 1000, GB, 0 }, MT_URGENCY_NORMAL, true };

      mt_jobs_submit (f->jobs, &spec);
      if (i >= 3)
        continue;
      plan (f);
      mt_clock_manual_advance (f->manual, 60 * MT_SECOND);
      report (f, find_action (f, MT_JOB_START, name), MT_REPORT_DONE, seen);
    }
  plan (f);
  assert_int_equal (f->actions->len, 1);
  assert_int_equal (mt_jobs_worker_allocated (f->jobs, "w1").cpu_milli, 6300);
}

/* Guards against a worker that runs out of memory because two jobs use more than declared: one of
 * them is checkpointed in time, and the urgent one stays. */
static void
test_overcommitted_worker_is_relieved (void **state)
{
  struct fixture *f = *state;
  struct mt_job_resources seen = { 1000, 40 * GB, 0 };
  struct mt_job_action a;
  struct mt_job_action b;

  add_worker (f, "w1", 8);
  submit (f, "urgent", MT_URGENCY_URGENT, 1, true);
  submit (f, "normal", MT_URGENCY_NORMAL, 1, true);
  plan (f);
  a = *find_action (f, MT_JOB_START, "urgent");
  b = *find_action (f, MT_JOB_START, "normal");
  mt_clock_manual_advance (f->manual, 20 * MT_SECOND);
  report (f, &a, MT_REPORT_RUNNING, seen);
  report (f, &b, MT_REPORT_RUNNING, seen);
  plan (f);
  assert_non_null (find_action (f, MT_JOB_CHECKPOINT, "normal"));
  assert_null (find_action (f, MT_JOB_CHECKPOINT, "urgent"));
}

/* Guards against a start that was recorded but never sent because the planner died in between. Its
 * successor replays the record, gets no report of the job, and must fence the epoch. */
static void
test_new_planner_resumes_from_records (void **state)
{
  struct fixture *f = *state;
  struct mt_jobs_options options = mt_jobs_default_options ();
  g_autoptr (GString) batch = g_string_new (NULL);
  struct mt_jobs *former = f->jobs;

  add_worker (f, "w1", 8);
  submit (f, "job", MT_URGENCY_NORMAL, 2, false);
  mt_jobs_cancel (f->jobs, "early");
  plan (f);
  mt_jobs_take_changes (former, batch);
  mt_jobs_destroy (former);
  f->jobs = mt_jobs_create (mt_clock_manual_clock (f->manual), &options);
  add_worker (f, "w1", 8);
  submit (f, "job", MT_URGENCY_NORMAL, 2, false);
  assert_true (mt_jobs_replay (f->jobs, (struct mt_str){ batch->str, batch->len }, NULL));
  assert_int_equal (mt_jobs_state (f->jobs, "early"), MT_JOB_CANCELLED);
  assert_int_equal (mt_jobs_state (f->jobs, "job"), MT_JOB_RUNNING);
  plan (f);
  assert_int_equal (f->actions->len, 0);
  mt_clock_manual_advance (f->manual, 31 * MT_SECOND);
  plan (f);
  assert_non_null (find_action (f, MT_JOB_FENCE, "job"));
}

static void
test_replay_rejects_garbage (void **state)
{
  struct fixture *f = *state;
  g_autoptr (GError) error = NULL;

  assert_false (mt_jobs_replay (f->jobs, MT_STR ("\x92\x01\x91\x95garbage"), &error));
  assert_non_null (error);
}

/* The worker of a started job crashes and restarts without its tasks. */
static void
crash_worker_of (struct fixture *f, const struct mt_job_action *start)
{
  g_autofree char *worker = g_strdup (start->worker);
  uint64_t lease = start->lease;

  mt_clock_manual_advance (f->manual, 5 * MT_SECOND);
  mt_jobs_worker_lease_lost (f->jobs, worker, lease);
  mt_clock_manual_advance (f->manual, 5 * MT_SECOND);
  mt_jobs_worker_restarted (f->jobs, worker, lease + 1);
}

/* Plans, and reports all starts of the plan as running. */
static void
plan_and_report_running (struct fixture *f)
{
  plan (f);
  for (guint i = 0; i < f->actions->len; i++)
    {
      const struct mt_job_action *action = &g_array_index (f->actions, struct mt_job_action, i);

      if (action->kind == MT_JOB_START)
        report (f, action, MT_REPORT_RUNNING, no_usage);
    }
}

static void
add_workers (struct fixture *f, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("w%u", i);

      add_worker (f, name, 8);
    }
}

/* Guards against a job that crashes one worker after the other without end, along with the other
 * jobs on them. */
static void
test_job_that_crashes_its_workers_is_poison (void **state)
{
  struct fixture *f = *state;
  unsigned crashes = 0;

  add_workers (f, 6);
  submit (f, "crashing", MT_URGENCY_NORMAL, 1, false);
  submit (f, "good", MT_URGENCY_NORMAL, 1, false);
  for (unsigned i = 0; i < 20; i++)
    {
      const struct mt_job_action *start;

      plan_and_report_running (f);
      start = find_action (f, MT_JOB_START, "crashing");
      if (start != NULL)
        {
          crash_worker_of (f, start);
          crashes++;
        }
    }
  assert_int_equal (mt_jobs_state (f->jobs, "crashing"), MT_JOB_POISON);
  assert_in_range (crashes, 1, 3);
  assert_int_equal (mt_jobs_state (f->jobs, "good"), MT_JOB_RUNNING);
}

/* Guards against a suspect and the other jobs lost with it being restarted on the same worker. */
static void
test_jobs_lost_with_a_worker_restart_on_separate_workers (void **state)
{
  struct fixture *f = *state;
  struct mt_job_action first;
  struct mt_job_action second;

  add_workers (f, 4);
  submit (f, "crashing", MT_URGENCY_NORMAL, 1, false);
  submit (f, "good", MT_URGENCY_NORMAL, 1, false);
  plan_and_report_running (f);
  first = *find_action (f, MT_JOB_START, "crashing");
  second = *find_action (f, MT_JOB_START, "good");
  assert_string_equal (first.worker, second.worker);
  crash_worker_of (f, &first);
  plan_and_report_running (f);
  assert_string_not_equal (find_action (f, MT_JOB_START, "crashing")->worker,
                           find_action (f, MT_JOB_START, "good")->worker);
}

/* Guards against a suspect that waits for an empty worker forever while other jobs keep all workers
 * in use. */
static void
test_suspect_gets_a_worker_under_load (void **state)
{
  struct fixture *f = *state;
  struct mt_job_action first;
  unsigned n = 0;

  add_workers (f, 2);
  submit (f, "lost", MT_URGENCY_NORMAL, 1, false);
  plan_and_report_running (f);
  first = *find_action (f, MT_JOB_START, "lost");
  crash_worker_of (f, &first);
  for (unsigned i = 0; i < 200 && mt_jobs_state (f->jobs, "lost") != MT_JOB_RUNNING; i++)
    {
      for (unsigned k = 0; k < 20; k++)
        {
          g_autofree char *name = g_strdup_printf ("n%u", n++);

          submit (f, name, MT_URGENCY_NORMAL, 1, true);
        }
      plan_and_report_running (f);
      mt_clock_manual_advance (f->manual, 10 * MT_SECOND);
      for (guint k = 0; k < f->actions->len; k++)
        {
          struct mt_job_action done = g_array_index (f->actions, struct mt_job_action, k);

          if (done.kind == MT_JOB_START && strcmp (done.job, "lost") != 0)
            report (f, &done, MT_REPORT_DONE, no_usage);
        }
    }
  assert_int_equal (mt_jobs_state (f->jobs, "lost"), MT_JOB_RUNNING);
}

/* Guards against a crash count that starts again from zero when another planner takes over. */
static void
test_crashes_are_counted_across_planners (void **state)
{
  struct fixture *f = *state;
  struct mt_jobs_options options = mt_jobs_default_options ();
  g_autoptr (GString) batch = g_string_new (NULL);
  unsigned crashes = 0;

  add_workers (f, 6);
  submit (f, "crashing", MT_URGENCY_NORMAL, 1, false);
  for (unsigned i = 0; i < 8; i++)
    {
      const struct mt_job_action *start;

      plan_and_report_running (f);
      start = find_action (f, MT_JOB_START, "crashing");
      if (start != NULL)
        {
          crash_worker_of (f, start);
          crashes++;
        }
      g_string_truncate (batch, 0);
      mt_jobs_snapshot (f->jobs, batch);
      mt_jobs_destroy (f->jobs);
      f->jobs = mt_jobs_create (mt_clock_manual_clock (f->manual), &options);
      add_workers (f, 6);
      submit (f, "crashing", MT_URGENCY_NORMAL, 1, false);
      assert_true (mt_jobs_replay (f->jobs, (struct mt_str){ batch->str, batch->len }, NULL));
    }
  assert_int_equal (mt_jobs_state (f->jobs, "crashing"), MT_JOB_POISON);
  assert_in_range (crashes, 1, 3);
}

int
main (void)
{
#define JOB_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    JOB_TEST (test_job_waits_for_fence_after_lease_expiry),
    JOB_TEST (test_late_report_does_not_resurrect_cancelled_job),
    JOB_TEST (test_cancel_before_submit_prevents_start),
    JOB_TEST (test_unschedulable_job_does_not_block_others),
    JOB_TEST (test_borrowed_resources_are_preempted_by_checkpoint),
    JOB_TEST (test_aged_job_starts_under_urgent_load),
    JOB_TEST (test_worker_that_fails_every_job_is_quarantined),
    JOB_TEST (test_poison_job_does_not_quarantine_good_workers),
    JOB_TEST (test_learned_usage_replaces_declared_resources),
    JOB_TEST (test_overcommitted_worker_is_relieved),
    JOB_TEST (test_new_planner_resumes_from_records),
    JOB_TEST (test_replay_rejects_garbage),
    JOB_TEST (test_job_that_crashes_its_workers_is_poison),
    JOB_TEST (test_jobs_lost_with_a_worker_restart_on_separate_workers),
    JOB_TEST (test_suspect_gets_a_worker_under_load),
    JOB_TEST (test_crashes_are_counted_across_planners),
  };

  return cmocka_run_group_tests_name ("jobs", tests, NULL, NULL);
}
