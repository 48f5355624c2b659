#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static void
test_job_runs_to_its_end (void **state)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  assert_true (world_until (world, "aa", MT_JOB_ACTIVE, 200));
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 1500));
  assert_int_equal (world->started, 4);
  world_destroy (world);
}

/* A start is sent only once the placement is stored: a successor that did not know of it would run
 * the task a second time. While the store is down nothing new starts, and what runs is held. */
static void
test_nothing_starts_that_is_not_stored (void **state)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world->store_down = true;
  world_run (world, 3000);
  assert_int_equal (world->started, 0);
  world->store_down = false;
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 1500));
  world_destroy (world);
}

/* The caller cancels a job while its leader is dead. The successor learns of the cancelling from
 * the queue before it has read the job's progress; the tasks that the progress then tells of must
 * be stopped all the same, or they run on for ever. */
static void
test_cancelled_before_its_progress_was_read (void **state)
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
  assert_int_equal (world->started, 3);
  record = g_strdup (g_hash_table_lookup (world->records, "aa"));
  g_hash_table_remove_all (world->records);
  world_take_over (world, none);
  spec = world_job ("aa", 3, 1000, 1000);
  spec->steps[0].long_running = true;
  world_submit (world, spec);
  mt_scheduler_cancel (world->sched, "aa", world->now);
  mt_scheduler_restore (world->sched, "aa", record, 1, world->now);
  world_run (world, 1000);
  assert_int_equal (world_running (world, "aa.0.0.0"), 0);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_CANCELLED);
  world_destroy (world);
}

/* The caller cancels a job; its leader stores that the job has ended, and dies before the stops
 * have reached the workers. The successor reads the cancelling in the queue first and the ended
 * record with its placements after it: both tell of an ended job, and what runs must be stopped
 * still. */
static void
test_cancelled_job_with_an_ended_record_is_stopped_by_a_successor (void **state)
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
  assert_int_equal (world->started, 3);
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

      assert_int_equal (world_running (world, task), 0);
    }
  world_destroy (world);
}

/* A checkpoint holds text of any language. Its successor's start must carry the very text, or the
 * worker can't go on from there and the caller waits for a run from the beginning. */
static void
test_checkpoint_of_any_text_survives_a_takeover (void **state)
{
  const char *stored
      = "{\"s\":\"queued\",\"b\":1,\"d\":{},\"t\":[[0,0,0,1,0,\"\",0,\"k\xc3\xa9sz \\\"7\\\"\"]]}";
  struct world *world = world_create ();
  g_autofree char *record = NULL;

  world_submit (world, world_job ("aa", 1, 1000, 1000));
  assert_true (mt_scheduler_restore (world->sched, "aa", stored, 1, world->now));
  record = mt_scheduler_job_record (world->sched, "aa");
  assert_string_equal (record, stored);
  world_destroy (world);
}

/* The leader dies with tasks at work. Its successor finds them by the stored placements, holds the
 * workers under its own token, and lets them go on: none is started again. */
static void
test_takeover_goes_on_with_what_runs (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world->run_ms = 3000;
  world_submit (world, world_job ("aa", 6, 1000, 3000));
  world_run (world, 1000);
  assert_int_equal (world->started, 6);
  g_ptr_array_add (specs, world_job ("aa", 6, 1000, 3000));
  world_take_over (world, specs);
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 2500));
  assert_int_equal (world->started, 6);
  world_destroy (world);
}

/* A worker falls silent with tasks on it and runs on. They must not start elsewhere before every
 * lease given to it has run out on the slowest clock: sooner, one task would run twice. */
static void
test_silent_worker_keeps_its_tasks_until_the_lease_is_over (void **state)
{
  struct world *world = world_create ();
  struct world_worker *cut = world_add_worker (world, "r1");

  world->run_ms = 20000;
  world_submit (world, world_job ("aa", 2, 1000, 20000));
  world_run (world, 500);
  assert_int_equal (cut->starts, 2);
  cut->silent = true;
  world_add_worker (world, "r1");
  world_run (world, 4000);
  assert_int_equal (world->started, 2);
  world_run (world, 2000);
  assert_int_equal (world->started, 4);
  assert_int_equal (world->twice, 0);
  world_destroy (world);
}

/* A start gets no answer though it was carried out. The room stays taken, and the next listing
 * shows the run: it goes on, no second one is started. */
static void
test_unanswered_start_is_found_by_the_next_hold (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->mute = true;
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world_run (world, 100);
  w->mute = false;
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 2000));
  assert_int_equal (world->started, 1);
  world_destroy (world);
}

/* The caller waits for a task whose start was lost on the way. A start may be repeated under its
 * run number, so it is sent again to the same worker as soon as a listing lacks it; stopping it
 * first costs three more calls, and ends a run that a late start has begun meanwhile. */
static void
test_lost_start_is_sent_again (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->drops = 2;
  world_submit (world, world_job ("aa", 1, 1000, 500));
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (w->drops, 0);
  assert_int_equal (w->last_run, 1);
  world_destroy (world);
}

/* A worker answers holds and loses every start. The task is not held to it for ever: after a few
 * it is stopped there and runs elsewhere. */
static void
test_worker_that_loses_every_start_is_left (void **state)
{
  struct world *world = world_create ();
  struct world_worker *loses = world_add_worker (world, "r1");

  world_run (world, 100);
  loses->drops = 1000;
  world_submit (world, world_job ("aa", 1, 1000, 500));
  world_run (world, 300);
  world_add_worker (world, "r1");
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 6000));
  assert_int_equal (loses->starts, 0);
  world_destroy (world);
}

/* A worker fails all that it starts. The tasks go on elsewhere, one attempt each is spent at most,
 * and the sick worker gets nothing for a while. */
static void
test_sick_worker_costs_few_attempts (void **state)
{
  struct world *world = world_create ();
  struct world_worker *sick = world_add_worker (world, "r1");

  sick->sick = true;
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
  assert_true (sick->starts < 30);
  world_destroy (world);
}

/* All that a worker starts stands still, though it lists the runs and answers. The caller would
 * wait for ever: the task is stopped and runs elsewhere. */
static void
test_task_that_stands_still_runs_elsewhere (void **state)
{
  struct world *world = world_create ();
  struct world_worker *stalls = world_add_worker (world, "r1");

  stalls->stalls = true;
  world_submit (world, world_job ("aa", 1, 1000, 800));
  world_run (world, 300);
  world_add_worker (world, "r1");
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 5000));
  world_destroy (world);
}

/* A worker's listings are lost for a while; it answers starts all the time. What is known of the
 * progress of its tasks is old then, and says nothing of them standing still: they work on. */
static void
test_lost_listings_say_nothing_of_progress (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->run_ms = 5000;
  world_submit (world, world_job ("aa", 1, 100, 1000));
  world_run (world, 300);
  w->unlisted = true;
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%d", i);

      world_submit (world, world_job (id, 1, 100, 1000));
      world_run (world, 100);
    }
  assert_true (w->starts > 20);
  assert_int_equal (world_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Starts wait for their turn as their worker is said to leave. Sent later they would begin on a
 * worker that is being emptied, and be lost with it: they go elsewhere. */
static void
test_starts_that_wait_are_not_sent_to_a_leaving_worker (void **state)
{
  struct world *world = world_create ();
  struct world_worker *leaves = world_add_worker (world, "r1");

  world_run (world, 100);
  world->silent_leader = true;
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  world_run (world, 100);
  world_leave (world, leaves);
  world->silent_leader = false;
  world_add_worker (world, "r1");
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (leaves->starts, 0);
  world_destroy (world);
}

/* The same while the placing is being written: the worker is said to leave before it is stored. */
static void
test_placings_on_a_worker_that_leaves_meanwhile_are_not_sent (void **state)
{
  struct world *world = world_create ();
  struct world_worker *leaves = world_add_worker (world, "r1");
  GPtrArray *ids;

  world_run (world, 100);
  world->store_down = true;
  world_submit (world, world_job ("aa", 4, 1000, 1000));
  world_run (world, 100);
  ids = mt_scheduler_cycle_begin (world->sched, world->now, world->now);
  assert_non_null (ids);
  g_ptr_array_unref (ids);
  world_leave (world, leaves);
  mt_scheduler_cycle_done (world->sched, world->now);
  world->store_down = false;
  world_add_worker (world, "r1");
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 3000));
  assert_int_equal (leaves->starts, 0);
  world_destroy (world);
}

/* The pool's load has fallen and its machines are wanted elsewhere. Small jobs that come meanwhile
 * go where something runs already: spread over all workers, they would keep each of them from
 * going, and the pool whose callers wait would get no machine. */
static void
test_small_jobs_leave_workers_empty (void **state)
{
  struct world *world = world_create ();
  unsigned busy = 0;

  for (int i = 0; i < 4; i++)
    world_add_worker (world, "r1");
  world_submit (world, world_job ("proof", 4, 1000, 300));
  assert_true (world_until (world, "proof", MT_JOB_COMPLETED, 1500));
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("a%d", i);

      world_submit (world, world_job (id, 2, 1000, 1000));
      world_run (world, 100);
    }
  assert_int_equal (world->started, 4 + 8);
  for (unsigned i = 0; i < world->n_workers; i++)
    busy += world->workers[i].runs->len > 0;
  assert_int_equal (busy, 1);
  world_destroy (world);
}

/* Whatever is in doubt, stopping or at work counts against the worker's room, which does not guard
 * itself. */
static void
test_room_is_never_overbooked (void **state)
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

/* Guards against starts that were decided before a worker shrank and are sent after that. */
static void
test_nothing_is_sent_beyond_a_shrunk_room (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->task_cpu = 4000;
  world_run (world, 200);
  world_submit (world, world_job ("aa", 4, 4000, 1000));
  g_ptr_array_unref (mt_scheduler_cycle_begin (world->sched, world->now, world->now));
  world_resize (world, w, 8000);
  mt_scheduler_cycle_done (world->sched, world->now);
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 5000));
  assert_int_equal (world->overbooked, 0);
  world_destroy (world);
}

/* The same of a start that got no answer and is to be sent again. */
static void
test_lost_start_is_not_sent_again_to_a_shrunk_worker (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world->task_cpu = 8000;
  world_run (world, 200);
  w->drops = 1;
  world_submit (world, world_job ("aa", 2, 8000, 1000));
  world_run (world, 20);
  world_resize (world, w, 8000);
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 6000));
  assert_int_equal (world->overbooked, 0);
  world_destroy (world);
}

/* Guards against a worker that is left unused once its room has grown again. */
static void
test_grown_room_is_used (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_resize (world, w, 0);
  world_submit (world, world_job ("aa", 4, 4000, 500));
  world_run (world, 1000);
  assert_int_equal (world->started, 0);
  world_resize (world, w, 16000);
  world_run (world, 50);
  assert_int_equal (world->started, 4);
  world_destroy (world);
}

/* A worker is cut off, its lease runs out, its task is started again elsewhere; then it comes back
 * and lists that it had finished in time. The second run takes room until it is stopped: room that
 * was given away at once would overbook its worker. */
static void
test_second_run_keeps_its_room_until_it_has_ended (void **state)
{
  struct world *world = world_create ();
  struct world_worker *cut = world_add_worker (world, "r1");
  struct world_worker *other;

  world_submit (world, world_job ("aa", 1, 16000, 1000));
  world_run (world, 300);
  cut->silent = true;
  other = world_add_worker (world, "r1");
  world->run_ms = 20000;
  world_run (world, 5500);
  assert_int_equal (other->runs->len, 1);
  world_submit (world, world_job ("bb", 1, 16000, 1000));
  cut->gone = true;
  cut->silent = false;
  mt_scheduler_cordon (world->sched, cut->id, world->now + 60000, false);
  for (int i = 0; i < 200; i++)
    {
      world_run (world, 5);
      assert_true (other->runs->len <= 1);
    }
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_COMPLETED);
  assert_int_equal (world_running (world, "bb.0.0.0"), 1);
  world_destroy (world);
}

/* A successor meets the cancelling of a job that had begun before it reads the job's progress. The
 * job waits no longer either way; were it taken off the count of waiting jobs twice, callers would
 * be told of too few. */
static void
test_job_is_taken_off_the_waiting_ones_once (void **state)
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

/* Three long-running tasks, each on a worker of its own, one of which may be away. */
static struct mt_job_spec *
apart_job (void)
{
  struct mt_job_spec *spec = world_job ("aa", 3, 4000, 1000);

  spec->steps[0].long_running = true;
  spec->steps[0].max_unavailable = 1;
  spec->steps[0].max_per_worker = 1;
  return spec;
}

/* Two of a step's long-running tasks are on a worker that has fallen silent: they count as away,
 * though no end of them is listed. A third must not be moved off its worker then: its budget is
 * one. */
static void
test_no_long_running_task_is_moved_while_others_are_away (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[3];

  world->run_ms = -1;
  for (int i = 0; i < 3; i++)
    w[i] = world_add_worker (world, "r1");
  world_submit (world, apart_job ());
  world_run (world, 500);
  assert_int_equal (world->started, 3);
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

/* Two workers are to be emptied at once, each with one of a step's long-running tasks that has just
 * begun and is not known to be at work. Taking both for away already, the scheduler would stop
 * both; by the time that the orders arrive they are at work, and two are away by its doing where
 * one may be.
 */
static void
test_long_running_tasks_are_moved_one_after_the_other (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[3];

  world->run_ms = 60000; /* its progress is read as 0 to 2 percent */
  for (int i = 0; i < 3; i++)
    w[i] = world_add_worker (world, "r1");
  world_submit (world, apart_job ());
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

/* At work, and not told to stop. */
static unsigned
at_work (const struct world *world)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint r = 0; r < world->workers[i].runs->len; r++)
      n += g_array_index (world->workers[i].runs, struct world_run, r).stops == 0;
  return n;
}

/* Guards against a successor that takes a task for at work which its predecessor has told to stop,
 * and moves another beyond the step's budget. */
static void
test_successor_counts_what_its_predecessor_stops_as_away (void **state)
{
  struct world *world = world_create ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world->run_ms = -1;
  world->stop_ms = 900;
  for (int i = 0; i < 3; i++)
    world_add_worker (world, "r1");
  world_submit (world, apart_job ());
  world_run (world, 2500);
  assert_int_equal (at_work (world), 3);
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world_run (world, 500);
  mt_scheduler_cordon (world->sched, "i-0", world->now + 60000, true);
  world_run (world, 100);
  assert_int_equal (at_work (world), 2);
  g_ptr_array_add (specs, apart_job ());
  world_take_over (world, specs);
  mt_scheduler_cordon (world->sched, "i-1", world->now + 60000, true);
  for (int i = 0; i < 1000; i++)
    {
      world_run (world, 5);
      assert_true (at_work (world) >= 2);
    }
  assert_int_equal (world->workers[1].runs->len, 0);
  assert_int_equal (at_work (world), 3);
  world_destroy (world);
}

/* What can't be in time any more is run when there is room, and asks for no machines: it would hold
 * those that another pool needs to be in time. */
static void
test_late_work_is_not_urgent (void **state)
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
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 2000));
  world_destroy (world);
}

/* A surge shows in the load as soon as its jobs arrive, while there is still room for all of them:
 * machines that are sent for only when something waits come two seconds later. */
static void
test_surge_shows_before_anything_waits (void **state)
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

/* The store is out for longer than a worker's lease. Nothing may start or stop, but what runs is
 * held: else every task would lapse, and its caller would wait for it to be done again. */
static void
test_work_outlives_an_outage_of_the_store (void **state)
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
  assert_int_equal (world->started, 3);
  world->store_down = world->holds_only = false;
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 5000));
  world_destroy (world);
}

/* Orders to the only worker get no answer though it carries them out, and it answers holds. It is
 * not silent: the next job must go there at once, not after a silence. */
static void
test_lost_order_makes_no_silent_worker (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");

  world_run (world, 100);
  w->loses = true;
  world_submit (world, world_job ("aa", 1, 1000, 1000));
  world_run (world, 30);
  assert_int_equal (w->starts, 1);
  world_submit (world, world_job ("bb", 1, 1000, 1000));
  world_run (world, 30);
  assert_int_equal (w->starts, 2);
  assert_true (world_until (world, "bb", MT_JOB_COMPLETED, 3000));
  assert_int_equal (world->twice, 0);
  world_destroy (world);
}

/* The registry tells of a worker's next life; then an answer arrives that its earlier life had
 * sent. It must not pass for yet another life: the tasks that the new one runs would be started
 * again. */
static void
test_answer_of_an_earlier_life_is_passed_over (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  struct mt_worker_entry next = {
    .id = w->id, .started_at_ms = 8, .address = "127.0.0.1:1", .zone = "z", .resources = w->room
  };
  struct mt_hold_report late = { .answer = MT_ANSWER_OK, .clock_ms = 1, .started_at_ms = 7 };

  world->run_ms = 5000;
  world_run (world, 100);
  mt_scheduler_update_worker (world->sched, &next, world->now);
  w->born = 8;
  world_submit (world, world_job ("aa", 2, 1000, 5000));
  world_run (world, 500);
  assert_int_equal (w->runs->len, 2);
  mt_scheduler_hold_answered (world->sched, w->id, &late, world->now - 1, world->now);
  world_run (world, 1000);
  assert_int_equal (world->started, 2);
  assert_int_equal (world->twice, 0);
  world_destroy (world);
}

/* A machine is wanted in another pool, and each one here holds a task. Which of them is empty first
 * shows in the progress of its tasks, not in how many they are. */
static void
test_view_tells_when_a_worker_will_be_empty (void **state)
{
  struct world *world = world_create ();
  struct mt_worker_view views[2];
  unsigned late;

  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world->run_ms = 6000;
  world_submit (world, world_job ("aa", 1, 16000, 1000));
  world_run (world, 100);
  world->run_ms = 2000;
  world_submit (world, world_job ("bb", 2, 8000, 1000));
  world_run (world, 1500);
  assert_int_equal (mt_scheduler_workers (world->sched, world->now, views, 2), 2);
  late = views[0].tasks == 1 ? 0 : 1;
  assert_true (views[1 - late].batch_remaining_ms < 1200);
  assert_true (views[late].batch_remaining_ms > 3000);
  world_destroy (world);
}

/* A worker is wanted in another pool and has one long task left, which goes on elsewhere from its
 * checkpoint. It must not wait for the task: the other pool's callers would. Where another task
 * that can't go on elsewhere keeps the worker as long, stopping gains nothing. */
static void
test_long_task_with_checkpoints_is_moved_off (void **state)
{
  for (int with_other = 0; with_other < 2; with_other++)
    {
      struct world *world = world_create ();
      struct mt_job_spec *spec = world_job ("aa", 1, 9000, 5000);
      struct world_worker *first = world_add_worker (world, "r1");

      world->run_ms = 5000;
      spec->steps[0].checkpointing = true;
      world_submit (world, spec);
      if (with_other)
        world_submit (world, world_job ("bb", 1, 1000, 5000));
      world_run (world, 300);
      assert_int_equal (first->runs->len, 1 + with_other);
      world_add_worker (world, "r1");
      world_run (world, 1500);
      mt_scheduler_cordon (world->sched, first->id, world->now + 5000, true);
      world_run (world, 1000);
      assert_int_equal (first->runs->len, 2 * with_other);
      assert_int_equal (world_running (world, "aa.0.0.0"), 1);
      assert_int_equal (world->twice, 0);
      world_destroy (world);
    }
}

/* A worker leaves and comes back as a new life, while all others are full. Its former tasks avoid
 * it at first, since it left; they must not wait beside its room for ever. */
static void
test_task_returns_to_the_only_worker_with_room (void **state)
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
  assert_int_equal (world_running (world, "aa.0.0.0"), 0);
  world_run (world, 1500);
  assert_int_equal (world_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Tasks come one by one and room is plenty. What has not been placed yet, 25 ms at most, is no want
 * of room: counted as such, the pool would keep machines that others lack. */
static void
test_what_was_not_placed_yet_lacks_no_room (void **state)
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

/* The caller guessed 200 ms and the tasks take a second: by the guess the job has no chance from
 * the start of its second step. Its objective goes by what the first step took, so it can still be
 * in time and keeps its place before a job that is really late. */
static void
test_objective_goes_by_what_steps_take (void **state)
{
  struct world *world = world_create ();
  const unsigned counts[] = { 2, 2 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 1000;
  world_submit (world, world_two_steps ("aa", counts, 8000, 200));
  world_run (world, 1300);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.used_cpu, 16000);
  assert_int_equal (load.urgent_used_cpu, 16000);
  world_run (world, 900);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent_used_cpu, load.used_cpu);
  world_destroy (world);
}

/* Two tasks that last may not share a worker, and there are two workers, one of which is to be
 * emptied. Stopped without a place to go to its task would be away until one comes, and the caller
 * counts it: it stays, and the pool is told to lack a worker. With a third one it moves. */
static void
test_long_running_task_stays_until_it_has_a_place (void **state)
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

/* A job's first step is nearly done and the next one is twice as wide: a moment from now it needs
 * twice what it uses. Another job's only step is nearly done: it will need nothing. Machines follow
 * that, and neither leave the first job nor stay for the second. */
static void
test_load_tells_what_is_busy_soon (void **state)
{
  struct world *world = world_create ();
  const unsigned counts[] = { 1, 2 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 2000;
  world_submit (world, world_two_steps ("aa", counts, 3000, 2000));
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

/* A worker's machine was moved, and whoever ordered that died before it told. The cordon runs out;
 * nothing may be placed on what is gone, or the caller's task waits there for a lease to end. */
static void
test_worker_answers_before_it_takes_work_after_a_cordon (void **state)
{
  struct world *world = world_create ();
  struct world_worker *gone = world_add_worker (world, "r1");

  world_run (world, 300);
  mt_scheduler_cordon (world->sched, gone->id, world->now + 500, true);
  gone->silent = true;
  world_run (world, 800);
  world_add_worker (world, "r1");
  world_submit (world, world_job ("aa", 2, 1000, 1000));
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 2000));
  world_destroy (world);
}

/* A surge releases 300 starts at once at a leader whose link carries 30 bytes a millisecond:
 * 10 s of it. Sent at once they would push back the renewals of leases, which go out behind them,
 * and long-running tasks would lapse. They wait at the leader instead; each runs once, and as fast
 * as the link carries them. */
static void
test_surge_on_a_thin_link_starts_each_task_once (void **state)
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
  assert_int_equal (world->started, 10 + 300);
  assert_int_equal (world->twice, 0);
  world_destroy (world);
}

/* For 8 s the leader's link is late again and again, and two of its three workers are not heard.
 * They run on, end their tasks, and can't tell; their leases are over then. A task that ran to its
 * end must not run again on the third: where its own link was late the leader asks first. */
static void
test_silence_behind_a_late_link_frees_no_task (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w[2];

  for (unsigned i = 0; i < 2; i++)
    w[i] = world_add_worker (world, "r1");
  world_run (world, 500);
  world_submit (world, world_job ("aa", 20, 1000, 1000));
  world_run (world, 300);
  assert_int_equal (w[0]->starts + w[1]->starts, 20);
  w[0]->mute = w[1]->mute = true;
  world_add_worker (world, "r1");
  for (unsigned i = 0; i < 16; i++)
    {
      mt_scheduler_set_link_delay (world->sched, 300, world->now);
      mt_scheduler_set_link_delay (world->sched, 0, world->now);
      world_run (world, 500);
    }
  w[0]->mute = w[1]->mute = false;
  world_run (world, 2000);
  assert_int_equal (world->started, 20);
  assert_int_equal (mt_scheduler_job_state (world->sched, "aa"), MT_JOB_COMPLETED);
  world_destroy (world);
}

/* Answers take 4.4 s on their way to the leader, so the clock that they show is as old. Leases
 * reckoned from it would end 100 ms after they are given, long before the next renewal. */
static void
test_late_answers_shorten_no_lease (void **state)
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
  assert_int_equal (world->started, 1);
  assert_int_equal (world_running (world, "aa.0.0.0"), 1);
  world_destroy (world);
}

/* Two of three workers are to be emptied later. A long-running task that comes, or is moved, goes
 * to the third, or it would be moved once more, in the next one's time. */
static void
test_long_running_task_avoids_workers_that_are_due (void **state)
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
  assert_int_equal (world->workers[2].starts, 6);
  world_destroy (world);
}

/* A pool of two workers has work for a minute. A caller whose job would be done long after its
 * answer is of use is told so, and when to come back; a job that goes in before what is late
 * anyway, a pool that will have forty machines shortly, and one of which nothing is known yet,
 * refuse nobody. */
static void
test_outlook_refuses_what_is_hopeless (void **state)
{
  struct world *world = world_create ();
  struct mt_wait_estimate outlook;

  outlook = mt_scheduler_estimate_wait (world->sched, "route", 1000, world->now);
  assert_int_equal (outlook.retry_after_ms, 0);
  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world_run (world, 200);
  world_submit (world, world_job ("aa", 8, 4000, 1000));
  world_run (world, 100);
  outlook = mt_scheduler_estimate_wait (world->sched, "route", 1000, world->now);
  assert_int_equal (outlook.retry_after_ms, 0);
  for (unsigned i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);

      world_submit (world, world_job (id, 40, 4000, 1000));
    }
  world_run (world, 100);
  outlook = mt_scheduler_estimate_wait (world->sched, "route", 1000, world->now);
  assert_in_range (outlook.retry_after_ms, 15000, 30000);
  mt_scheduler_expect_capacity (world->sched, 40 * 16000, world->now + 1000);
  world_run (world, 100);
  outlook = mt_scheduler_estimate_wait (world->sched, "route", 1000, world->now);
  assert_int_equal (outlook.retry_after_ms, 0);
  world_run (world, 4000);
  outlook = mt_scheduler_estimate_wait (world->sched, "route", 1000, world->now);
  assert_int_equal (outlook.retry_after_ms, 0);
  world_destroy (world);
}

/* A surge of 600 tasks meets 40 idle workers and a link that carries 30 starts in a second. Were
 * all placed at once their workers would be full of tasks that are not there, and other pools lack
 * the machines: no more are placed than the link starts shortly, and the pool asks for no more room
 * than it keeps at work. */
static void
test_leader_with_a_full_link_takes_no_more_room_than_it_uses (void **state)
{
  struct world *world = world_create ();
  struct mt_scheduler_load load;
  int64_t used = 0;

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
  used = load.used_cpu;
  assert_in_range (used, 10000, 200000);
  assert_in_range (load.demand_cpu + load.overdue_cpu, 1000, 2 * used);
  assert_int_equal (load.urgent, 0);
  world_run (world, 30000);
  assert_int_equal (world->started, 600);
  world_destroy (world);
}

/* ---- quotas ---- */

static void
submit_of (struct world *world, const char *workspace, const char *id, unsigned count)
{
  struct mt_job_spec *spec = world_job (id, count, 2000, 500);

  spec->workspace = g_strdup (workspace);
  world_submit (world, spec);
}

/* Guards against a workspace that crowds out the others by sending far more than is its due. */
static void
test_jobs_beyond_a_rate_go_behind_the_rest (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits terms = { .rate = 4, .pools = 1 };

  world_add_worker (world, "r1");
  world->run_ms = 400;
  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  for (unsigned i = 0; i < 40; i++)
    {
      g_autofree char *id = g_strdup_printf ("y%02u", i);

      submit_of (world, "yard", id, 8);
    }
  world_run (world, 100);
  submit_of (world, "press", "bb", 8);
  assert_true (world_until (world, "bb", MT_JOB_COMPLETED, 3000));
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("y%02u", i);

      assert_int_equal (mt_scheduler_job_state (world->sched, id), MT_JOB_COMPLETED);
    }
  assert_int_equal (mt_scheduler_job_state (world->sched, "y20"), MT_JOB_QUEUED);
  assert_true (world_until (world, "y39", MT_JOB_COMPLETED, 60000));
  world_destroy (world);
}

static int64_t
granted_cpu (const struct world *world)
{
  struct mt_account_view view;

  assert_int_equal (mt_scheduler_accounts (world->sched, &view, 1), 1);
  return view.granted.cpu;
}

/* Guards against a larger grant of before that comes late and counts beside what was taken back. */
static void
test_older_message_on_quotas_is_not_taken (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits terms = { .quota = { .cpu = 8000 }, .pools = 2 };
  struct mt_grant less = { "yard", { .cpu = 1000 } };
  struct mt_grant more = { "yard", { .cpu = 8000 } };
  struct mt_grant_message newer = { .token = 3, .sequence = 5, .all = true, .grants = &less, 1 };
  struct mt_grant_message older = { .token = 3, .sequence = 4, .all = true, .grants = &more, 1 };
  struct mt_grant_message other = { .token = 2, .sequence = 9, .all = true, .grants = &more, 1 };

  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  assert_true (mt_scheduler_apply_grants (world->sched, &newer, world->now));
  assert_false (mt_scheduler_apply_grants (world->sched, &older, world->now));
  assert_false (mt_scheduler_apply_grants (world->sched, &other, world->now));
  assert_int_equal (granted_cpu (world), 1000);
  world_destroy (world);
}

/* Guards against pools that keep shares of a quota that was lowered while nobody reached them. */
static void
test_share_shrinks_with_its_quota (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits terms = { .quota = { .cpu = 8000 }, .pools = 2 };
  struct mt_grant grant = { "yard", { .cpu = 6000 } };
  struct mt_grant_message message = { .token = 1, .sequence = 1, .all = true, .grants = &grant, 1 };

  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
  terms.quota.cpu = 4000;
  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  assert_int_equal (granted_cpu (world), 3000);
  terms.quota.cpu = 40000;
  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  assert_int_equal (granted_cpu (world), 3000);
  world_destroy (world);
}

/* Guards against a workspace that takes machines from others which its quota lets it not use. */
static void
test_quota_bounds_a_workspace_and_nobody_else (void **state)
{
  struct world *world = world_create ();
  struct mt_workspace_limits terms = { .quota = { .cpu = 4000 }, .pools = 1 };
  struct mt_grant grant = { "yard", { .cpu = 4000 } };
  struct mt_grant_message message = { .token = 1, .sequence = 1, .grants = &grant, .n_grants = 1 };
  struct mt_scheduler_load load;

  world_add_worker (world, "r1");
  world->run_ms = 500;
  mt_scheduler_set_workspace (world->sched, "yard", &terms);
  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
  submit_of (world, "yard", "aa", 10);
  world_run (world, 200);
  assert_int_equal (world->workers[0].runs->len, 2);
  mt_scheduler_load (world->sched, world->now, &load);
  assert_int_equal (load.urgent, 0);
  assert_int_equal (load.waiting, 0);
  submit_of (world, "press", "bb", 6);
  world_run (world, 200);
  assert_int_equal (world->workers[0].runs->len, 8);
  assert_true (world_until (world, "aa", MT_JOB_COMPLETED, 10000));
  world_destroy (world);
}

static void
keep_last_loss (void *ctx, const char *name, const char *detail)
{
  if (strcmp (name, "TASK_LOST") == 0)
    g_strlcpy (ctx, detail, 200);
}

/* Guards against a log that can't tell a task that takes its worker down from one that was there.
 */
static void
test_lost_task_tells_how_long_it_was_seen (void **state)
{
  struct world *world = world_create ();
  struct world_worker *w = world_add_worker (world, "r1");
  char detail[200] = "";

  world->run_ms = 2000;
  mt_scheduler_set_event_callback (world->sched, keep_last_loss, detail);
  world_submit (world, world_job ("aa", 1, 1000, 2000));
  world_run (world, 1500);
  world_crash (world, w);
  world_run (world, WORLD_DOWN_MS + 500);
  assert_non_null (strstr (detail, "state=running"));
  assert_non_null (strstr (detail, "losses=1"));
  assert_null (strstr (detail, "seen_ms=0 "));
  world_add_crashing (world, "bb.0.0.0");
  world_submit (world, world_job ("bb", 1, 1000, 2000));
  world_run (world, WORLD_DOWN_MS + 500);
  assert_non_null (strstr (detail, "id=bb"));
  assert_non_null (strstr (detail, "seen_ms=0 "));
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_quota_bounds_a_workspace_and_nobody_else),
    cmocka_unit_test (test_older_message_on_quotas_is_not_taken),
    cmocka_unit_test (test_jobs_beyond_a_rate_go_behind_the_rest),
    cmocka_unit_test (test_share_shrinks_with_its_quota),
    cmocka_unit_test (test_lost_task_tells_how_long_it_was_seen),
    cmocka_unit_test (test_job_runs_to_its_end),
    cmocka_unit_test (test_nothing_starts_that_is_not_stored),
    cmocka_unit_test (test_cancelled_before_its_progress_was_read),
    cmocka_unit_test (test_cancelled_job_with_an_ended_record_is_stopped_by_a_successor),
    cmocka_unit_test (test_checkpoint_of_any_text_survives_a_takeover),
    cmocka_unit_test (test_takeover_goes_on_with_what_runs),
    cmocka_unit_test (test_silent_worker_keeps_its_tasks_until_the_lease_is_over),
    cmocka_unit_test (test_unanswered_start_is_found_by_the_next_hold),
    cmocka_unit_test (test_surge_on_a_thin_link_starts_each_task_once),
    cmocka_unit_test (test_silence_behind_a_late_link_frees_no_task),
    cmocka_unit_test (test_late_answers_shorten_no_lease),
    cmocka_unit_test (test_long_running_task_avoids_workers_that_are_due),
    cmocka_unit_test (test_outlook_refuses_what_is_hopeless),
    cmocka_unit_test (test_leader_with_a_full_link_takes_no_more_room_than_it_uses),
    cmocka_unit_test (test_lost_start_is_sent_again),
    cmocka_unit_test (test_worker_that_loses_every_start_is_left),
    cmocka_unit_test (test_sick_worker_costs_few_attempts),
    cmocka_unit_test (test_task_that_stands_still_runs_elsewhere),
    cmocka_unit_test (test_lost_listings_say_nothing_of_progress),
    cmocka_unit_test (test_starts_that_wait_are_not_sent_to_a_leaving_worker),
    cmocka_unit_test (test_placings_on_a_worker_that_leaves_meanwhile_are_not_sent),
    cmocka_unit_test (test_small_jobs_leave_workers_empty),
    cmocka_unit_test (test_room_is_never_overbooked),
    cmocka_unit_test (test_nothing_is_sent_beyond_a_shrunk_room),
    cmocka_unit_test (test_lost_start_is_not_sent_again_to_a_shrunk_worker),
    cmocka_unit_test (test_grown_room_is_used),
    cmocka_unit_test (test_answer_of_an_earlier_life_is_passed_over),
    cmocka_unit_test (test_view_tells_when_a_worker_will_be_empty),
    cmocka_unit_test (test_long_task_with_checkpoints_is_moved_off),
    cmocka_unit_test (test_lost_order_makes_no_silent_worker),
    cmocka_unit_test (test_work_outlives_an_outage_of_the_store),
    cmocka_unit_test (test_surge_shows_before_anything_waits),
    cmocka_unit_test (test_successor_counts_what_its_predecessor_stops_as_away),
    cmocka_unit_test (test_late_work_is_not_urgent),
    cmocka_unit_test (test_long_running_tasks_are_moved_one_after_the_other),
    cmocka_unit_test (test_no_long_running_task_is_moved_while_others_are_away),
    cmocka_unit_test (test_job_is_taken_off_the_waiting_ones_once),
    cmocka_unit_test (test_second_run_keeps_its_room_until_it_has_ended),
    cmocka_unit_test (test_task_returns_to_the_only_worker_with_room),
    cmocka_unit_test (test_what_was_not_placed_yet_lacks_no_room),
    cmocka_unit_test (test_objective_goes_by_what_steps_take),
    cmocka_unit_test (test_long_running_task_stays_until_it_has_a_place),
    cmocka_unit_test (test_load_tells_what_is_busy_soon),
    cmocka_unit_test (test_worker_answers_before_it_takes_work_after_a_cordon),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
