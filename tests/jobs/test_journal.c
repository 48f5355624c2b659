#include "fake_store.h"
#include "medlartrack/jobs_journal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define BATCHES_TO_FILL_GENERATION 600 /* more than fit into one generation */

struct fixture
{
  struct mt_clock_manual *manual;
  struct fake_store *fake;
};

/* One planner: its scheduler state and its journal. */
struct planner
{
  struct mt_jobs *jobs;
  struct mt_jobs_journal *journal;
};

static int
setup (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (1000 * MT_SECOND);
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  *state = f;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *f = *state;

  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static struct mt_jobs *
create_jobs (const struct fixture *f)
{
  struct mt_jobs_options options = mt_jobs_default_options ();
  struct mt_jobs *jobs = mt_jobs_create (mt_clock_manual_clock (f->manual), &options);
  struct mt_worker_spec worker = { "w1", "rack", "pool", { 8000, 8000, 0 }, 1 };
  struct mt_job_spec job
      = { "job", "kind", "team", "pool", { 1000, 1000, 0 }, MT_URGENCY_NORMAL, false };

  mt_jobs_set_worker (jobs, &worker);
  mt_jobs_submit (jobs, &job);
  return jobs;
}

static struct planner
create_planner (const struct fixture *f, uint64_t writer)
{
  struct planner p
      = { create_jobs (f), mt_jobs_journal_create (fake_store_store (f->fake), "west", writer) };

  assert_true (mt_jobs_journal_load (p.journal, p.jobs, NULL));
  return p;
}

static void
destroy_planner (struct planner *p)
{
  mt_jobs_destroy (p->jobs);
  mt_jobs_journal_destroy (p->journal);
}

static enum mt_journal_result
plan_and_record (struct planner *p)
{
  g_autoptr (GArray) actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  g_autoptr (GString) batch = g_string_new (NULL);

  mt_jobs_plan (p->jobs, actions);
  mt_jobs_take_changes (p->jobs, batch);
  return mt_jobs_journal_append (p->journal, (struct mt_str){ batch->str, batch->len }, NULL);
}

/* Guards against two planners that both believe they hold the lease. The second one to record its
 * start gets a conflict and must not carry the start out; after loading again it finds the job
 * running. */
static void
test_conflicting_batch_stops_second_planner (void **state)
{
  struct fixture *f = *state;
  struct planner a = create_planner (f, 1);
  struct planner b = create_planner (f, 2);

  assert_int_equal (plan_and_record (&a), MT_JOURNAL_RECORDED);
  assert_int_equal (plan_and_record (&b), MT_JOURNAL_CONFLICT);
  destroy_planner (&b);
  b = create_planner (f, 2);
  assert_int_equal (mt_jobs_state (b.jobs, "job"), MT_JOB_RUNNING);
  destroy_planner (&a);
  destroy_planner (&b);
}

/* Guards against a recorded start that is not carried out because the store's answer was lost.
 * Reading the key back shows the writer's own batch; a second write would look like a conflict. */
static void
test_lost_answer_is_resolved_by_reading (void **state)
{
  struct fixture *f = *state;
  struct planner a = create_planner (f, 1);

  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  assert_int_equal (plan_and_record (&a), MT_JOURNAL_RECORDED);
  destroy_planner (&a);
}

/* Guards against a delayed write that takes effect after its planner gave it up and a successor has
 * recorded its own batch under the same key. */
static void
test_delayed_write_has_no_effect (void **state)
{
  struct fixture *f = *state;
  struct planner a = create_planner (f, 1);
  struct planner b;

  fake_store_fault_next (f->fake, FAKE_FAULT_DELAY, 1, true);
  assert_int_equal (plan_and_record (&a), MT_JOURNAL_FAILED);
  b = create_planner (f, 2);
  assert_int_equal (mt_jobs_state (b.jobs, "job"), MT_JOB_WAITING);
  assert_int_equal (plan_and_record (&b), MT_JOURNAL_RECORDED);
  fake_store_deliver_delayed (f->fake);
  destroy_planner (&b);
  b = create_planner (f, 2);
  assert_int_equal (mt_jobs_state (b.jobs, "job"), MT_JOB_RUNNING);
  destroy_planner (&a);
  destroy_planner (&b);
}

static void
fill_generation (struct planner *p)
{
  for (int i = 0; i < BATCHES_TO_FILL_GENERATION; i++)
    {
      g_autofree char *name = g_strdup_printf ("cancelled-%d", i);

      mt_jobs_cancel (p->jobs, name);
      assert_int_equal (plan_and_record (p), MT_JOURNAL_RECORDED);
    }
}

static void
test_compaction_keeps_the_state (void **state)
{
  struct fixture *f = *state;
  struct planner a = create_planner (f, 1);

  fill_generation (&a);
  assert_int_equal (mt_jobs_journal_compact (a.journal, a.jobs, NULL), MT_JOURNAL_RECORDED);
  assert_int_equal (fake_store_count (f->fake, MT_JOBS_JOURNAL_PREFIX), 1);
  destroy_planner (&a);
  a = create_planner (f, 3);
  assert_int_equal (mt_jobs_state (a.jobs, "job"), MT_JOB_RUNNING);
  assert_int_equal (mt_jobs_state (a.jobs, "cancelled-599"), MT_JOB_CANCELLED);
  destroy_planner (&a);
}

struct interruption
{
  const struct fixture *f;
  unsigned calls;
  struct planner planner;
};

/* Runs before the second call of a compaction, between the seal and the snapshot. */
static void
run_successor (void *ctx)
{
  struct interruption *in = ctx;

  if (++in->calls != 2)
    return;
  fake_store_set_call_hook (in->f->fake, NULL, NULL);
  in->planner = create_planner (in->f, 2);
  mt_jobs_cancel (in->planner.jobs, "job");
  assert_int_equal (plan_and_record (&in->planner), MT_JOURNAL_RECORDED);
}

/* Guards against a lost cancellation. A planner is paused between sealing its generation and
 * writing the snapshot, and its successor cancels a job meanwhile. The snapshot, which does not
 * contain the cancellation, must get a conflict. */
static void
test_paused_compaction_conflicts_with_successor (void **state)
{
  struct fixture *f = *state;
  struct planner a = create_planner (f, 1);
  struct interruption in = { .f = f };
  struct planner after;

  fill_generation (&a);
  fake_store_set_call_hook (f->fake, run_successor, &in);
  assert_int_equal (mt_jobs_journal_compact (a.journal, a.jobs, NULL), MT_JOURNAL_CONFLICT);
  after = create_planner (f, 3);
  assert_int_equal (mt_jobs_state (after.jobs, "job"), MT_JOB_STOPPING);
  destroy_planner (&a);
  destroy_planner (&in.planner);
  destroy_planner (&after);
}

int
main (void)
{
#define JOURNAL_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    JOURNAL_TEST (test_conflicting_batch_stops_second_planner),
    JOURNAL_TEST (test_lost_answer_is_resolved_by_reading),
    JOURNAL_TEST (test_delayed_write_has_no_effect),
    JOURNAL_TEST (test_compaction_keeps_the_state),
    JOURNAL_TEST (test_paused_compaction_conflicts_with_successor),
  };

  return cmocka_run_group_tests_name ("jobs journal", tests, NULL, NULL);
}
