/* Jobs with real processes: two daemons, workers that run tasks and count their copies, one
 * platform. */
#include "harness.h"

#include <jansson.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define N_JOBS       6
#define JOBS_LOADED  7001
#define JOBS_DROPPED 7002

static const char *build;

struct fixture
{
  struct harness *harness;
  struct process *platform;
  struct process *workers;
  struct process *daemons[2];
};

static struct fixture *
create_fixture (const char *task_ms)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  const char *args[] = { "127.0.0.1:0", "west", "3", task_ms, NULL };
  g_autofree char *settings = NULL;

  f->harness = harness_create (build);
  f->platform = harness_start_platform (f->harness);
  f->workers = harness_start (f->harness, "tests/standins/medlartrack-standin-workers", args);
  settings = g_strdup_printf ("\"workers\":\"127.0.0.1:%u\",\"limits\":{\"platform_ms\":300}",
                              f->workers->port);
  f->daemons[0] = harness_start_daemon_with_settings (f->harness, "a", f->platform, settings);
  f->daemons[1] = harness_start_daemon_with_settings (f->harness, "b", f->platform, settings);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  harness_destroy (f->harness);
  g_free (f);
}

/* Writes tables with three workers and N_JOBS jobs that may not run twice; jobs from index
 * cancelled_from on are cancelled. */
static void
put_jobs (struct fixture *f, unsigned version, unsigned cancelled_from)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_printf (text,
                   "{\"version\":%u,\"id\":\"t%u\",\"routes\":[],\"pools\":[{\"pool\":\"p\","
                   "\"service\":\"s\",\"min_instances\":0,\"max_unavailable\":2,"
                   "\"teams\":[{\"team\":\"t\",\"cpu_milli\":48000,\"memory_mb\":98304}],"
                   "\"instances\":[",
                   version, version);
  for (unsigned i = 0; i < 3; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"worker-%u\",\"address\":\"127.0.0.1:%u\","
                            "\"zone\":\"west\",\"rack\":\"r\"}",
                            i > 0 ? "," : "", i, i + 1);
  g_string_append (text, "],\"jobs\":[");
  for (unsigned i = 0; i < N_JOBS; i++)
    g_string_append_printf (text,
                            "%s{\"job\":\"j%u\",\"team\":\"t\",\"zone\":\"west\","
                            "\"cancelled\":%s}",
                            i > 0 ? "," : "", i, i >= cancelled_from ? "true" : "false");
  g_string_append (text, "]}]}");
  harness_put_tables (f->harness, f->platform, text->str);
}

static int
read_count (struct fixture *f, const char *table, unsigned job)
{
  struct reply reply = harness_send (f->harness, f->workers, "GET", "/tasks", NULL, "");
  json_t *root = json_loads (reply.body != NULL ? reply.body : "", 0, NULL);
  g_autofree char *name = g_strdup_printf ("j%u", job);
  int n = (int) json_integer_value (json_object_get (json_object_get (root, table), name));

  json_decref (root);
  reply_clear (&reply);
  return n;
}

static bool
all_jobs_are_done (void *ctx)
{
  for (unsigned i = 0; i < N_JOBS; i++)
    if (read_count (ctx, "done", i) == 0)
      return false;
  return true;
}

static bool
all_jobs_have_started (void *ctx)
{
  for (unsigned i = 0; i < N_JOBS; i++)
    if (read_count (ctx, "starts", i) == 0)
      return false;
  return true;
}

static bool
any_daemon_has_planned (void *ctx)
{
  struct fixture *f = ctx;

  return harness_has_logged (f->daemons[0], JOBS_LOADED)
         || harness_has_logged (f->daemons[1], JOBS_LOADED);
}

static bool
both_daemons_have_planned (void *ctx)
{
  struct fixture *f = ctx;

  return harness_has_logged (f->daemons[0], JOBS_LOADED)
         && harness_has_logged (f->daemons[1], JOBS_LOADED);
}

static void
set_fault (struct fixture *f, const char *fault)
{
  assert_int_equal (harness_status (f->harness, f->workers, "PUT", "/fault", NULL, fault), 200);
}

static struct process *
wait_for_planner (struct fixture *f)
{
  assert_true (harness_wait (any_daemon_has_planned, f));
  return f->daemons[harness_has_logged (f->daemons[0], JOBS_LOADED) ? 0 : 1];
}

static void
assert_one_copy (struct fixture *f)
{
  for (unsigned i = 0; i < N_JOBS; i++)
    assert_int_equal (read_count (f, "most_copies", i), 1);
}

/* The planner is killed while the jobs run. The workers continue; the other daemon takes over
 * from the journal, learns of the running tasks from their reports, and starts none of them a
 * second time. */
static void
test_jobs_survive_killed_planner (void **state)
{
  struct fixture *f = create_fixture ("2000");

  put_jobs (f, 1, N_JOBS);
  assert_true (harness_wait (all_jobs_have_started, f));
  harness_kill (wait_for_planner (f));
  assert_true (harness_wait (both_daemons_have_planned, f));
  assert_true (harness_wait (all_jobs_are_done, f));
  assert_one_copy (f);
  for (unsigned i = 0; i < N_JOBS; i++)
    assert_int_equal (read_count (f, "starts", i), 1);
  destroy_fixture (f);
}

static bool
has_dropped_job_state (void *ctx)
{
  return harness_has_logged (ctx, JOBS_DROPPED);
}

/* The planner is frozen beyond its lease, and its successor cancels the jobs after an edit. When
 * the planner resumes, its next write conflicts with the successor's batch in the journal: it
 * drops its job state, and no cancelled job is started. */
static void
test_paused_planner_drops_its_job_state (void **state)
{
  struct fixture *f = create_fixture ("60000");
  struct process *planner;

  put_jobs (f, 1, N_JOBS);
  assert_true (harness_wait (all_jobs_have_started, f));
  planner = wait_for_planner (f);
  harness_signal (planner, SIGSTOP);
  assert_true (harness_wait (both_daemons_have_planned, f));
  put_jobs (f, 2, 0);
  harness_signal (planner, SIGCONT);
  assert_true (harness_wait (has_dropped_job_state, planner));
  assert_one_copy (f);
  for (unsigned i = 0; i < N_JOBS; i++)
    assert_int_equal (read_count (f, "starts", i), 1);
  destroy_fixture (f);
}

static bool
no_task_runs (void *ctx)
{
  for (unsigned i = 0; i < N_JOBS; i++)
    if (read_count (ctx, "running", i) != 0)
      return false;
  return true;
}

/* One edit cancels all jobs: each running task is stopped, and none is restarted. */
static void
test_cancelled_jobs_are_stopped (void **state)
{
  struct fixture *f = create_fixture ("60000");

  put_jobs (f, 1, N_JOBS);
  assert_true (harness_wait (all_jobs_have_started, f));
  put_jobs (f, 2, 0);
  assert_true (harness_wait (no_task_runs, f));
  for (unsigned i = 0; i < N_JOBS; i++)
    assert_int_equal (read_count (f, "starts", i), 1);
  destroy_fixture (f);
}

static char *
worker_of_first_job (struct fixture *f)
{
  struct reply reply = harness_send (f->harness, f->workers, "GET", "/tasks", NULL, "");
  json_t *root = json_loads (reply.body, 0, NULL);
  char *worker
      = g_strdup (json_string_value (json_object_get (json_object_get (root, "on"), "j0")));

  json_decref (root);
  reply_clear (&reply);
  return worker;
}

static bool
dump_shows_fencing (void *ctx)
{
  const struct process *planner = ctx;
  g_autofree char *text = NULL;

  harness_signal (planner, SIGUSR1);
  return g_file_get_contents (planner->log_path, &text, NULL, NULL)
         && strstr (text, "\"fencing\"") != NULL;
}

static bool
first_job_was_restarted (void *ctx)
{
  return read_count (ctx, "starts", 0) == 2;
}

/* A worker's lease expires while its tasks run on, as in a partition; the other two workers have
 * free resources. Its jobs wait in state fencing and get no second copy. They start again only
 * after the worker has restarted, which proves that the old tasks have ended. */
static void
test_worker_with_expired_lease_is_fenced_before_restart (void **state)
{
  struct fixture *f = create_fixture ("60000");
  g_autofree char *worker = NULL;
  g_autofree char *lapse_fault = NULL;
  g_autofree char *restart_fault = NULL;

  put_jobs (f, 1, N_JOBS);
  assert_true (harness_wait (all_jobs_have_started, f));
  worker = worker_of_first_job (f);
  lapse_fault = g_strdup_printf ("{\"lapse\":\"%s\"}", worker);
  restart_fault = g_strdup_printf ("{\"restart\":\"%s\"}", worker);
  set_fault (f, lapse_fault);
  assert_true (harness_wait (dump_shows_fencing, wait_for_planner (f)));
  assert_one_copy (f);
  assert_int_equal (read_count (f, "starts", 0), 1);
  set_fault (f, restart_fault);
  assert_true (harness_wait (first_job_was_restarted, f));
  assert_one_copy (f);
  destroy_fixture (f);
}

/* The answers to the first orders are lost after the workers accepted them. The daemon learns of
 * the running tasks from the reports of the workers, and starts none a second time. */
static void
test_lost_order_answers_start_no_task_twice (void **state)
{
  struct fixture *f = create_fixture ("500");

  set_fault (f, "{\"lose_posts\":2}");
  put_jobs (f, 1, N_JOBS);
  assert_true (harness_wait (all_jobs_are_done, f));
  for (unsigned i = 0; i < N_JOBS; i++)
    assert_int_equal (read_count (f, "starts", i), 1);
  destroy_fixture (f);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_survive_killed_planner),
    cmocka_unit_test (test_paused_planner_drops_its_job_state),
    cmocka_unit_test (test_cancelled_jobs_are_stopped),
    cmocka_unit_test (test_worker_with_expired_lease_is_fenced_before_restart),
    cmocka_unit_test (test_lost_order_answers_start_no_task_twice),
  };

  if (argc != 2)
    return 2;
  build = argv[1];
  return cmocka_run_group_tests_name ("jobs by processes", tests, NULL, NULL);
}
