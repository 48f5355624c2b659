/* `explain` names the cause of a job's failure or delay from logs alone. The log lines come from
 * docs/OPERATIONS.md, as daemons wrote them. */
#include "commands.h"

#include <glib.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static char *
explain_cause (const char *logs, const char *id, int *code)
{
  char *out = NULL;
  size_t len = 0;
  struct mt_command_context context = { .in = fmemopen ((void *) logs, strlen (logs), "r"),
                                        .out = open_memstream (&out, &len),
                                        .err = fopen ("/dev/null", "w") };
  json_t *root;
  char *cause;

  *code = mt_command_explain (&context, id);
  fclose (context.in);
  fclose (context.out);
  fclose (context.err);
  root = json_loads (out, 0, NULL);
  cause = g_strdup (json_string_value (json_object_get (root, "cause")));
  json_decref (root);
  free (out);
  return cause;
}

/* Returns the text of the first ``` block after the heading on the page. */
static char *
read_page_lines (const char *heading)
{
  g_autofree char *path
      = g_build_filename (g_getenv ("MT_SOURCE_ROOT"), "docs", "OPERATIONS.md", NULL);
  g_autofree char *page = NULL;
  const char *at;
  const char *end;

  assert_true (g_file_get_contents (path, &page, NULL, NULL));
  at = strstr (page, heading);
  assert_non_null (at);
  at = strstr (at, "```\n");
  assert_non_null (at);
  end = strstr (at + 4, "```");
  assert_non_null (end);
  return g_strndup (at + 4, (gsize) (end - at - 4));
}

static void
check_page_cause (const char *heading, const char *id, const char *expected)
{
  g_autofree char *lines = read_page_lines (heading);
  g_autofree char *cause = NULL;
  int code;

  cause = explain_cause (lines, id, &code);
  assert_int_equal (code, MT_EXIT_OK);
  assert_string_equal (cause, expected);
}

static void
test_refused_in_an_outage (void **state)
{
  check_page_cause ("## Refused", "00f6226332f5636d",
                    "refused, it never ran: the store does not answer, nothing was sent");
}

static void
test_accepted_but_late (void **state)
{
  check_page_cause (
      "## Accepted, but late", "f71564d94cf1ed4b",
      "completed 10342 ms after its acceptance; it waited 5995 ms for its first start "
      "behind 1040 waiting tasks of its pool, with 77900 of 80000 thousandths of a core "
      "used");
}

static void
test_run_again_after_its_worker_was_lost (void **state)
{
  check_page_cause ("## Accepted, its worker lost", "7cca71efe496b5df",
                    "completed 11269 ms after its acceptance; 2 of its tasks were lost with worker "
                    "i-2ee2a0921f (lease over) and run again");
}

static void
test_given_up_job_names_the_cause (void **state)
{
  check_page_cause (
      "## Accepted, and given up", "7cca71efe496b5e0",
      "failed 5425 ms after its acceptance; 2 of its tasks were lost with worker i-m1-1 "
      "(another answers at its address) and run again; given up, since the workers that "
      "started task 0.0 of it crashed, 2 in a row");
}

/* A start that the worker never confirmed is named as the cause of the delay. */
static void
test_start_without_an_answer_names_the_cause (void **state)
{
  const char *lines
      = "{\"at\":1.0,\"event\":8101,\"name\":\"JOB_ACCEPTED\",\"id\":\"00f6226332f5636d\"}\n"
        "{\"at\":2.0,\"event\":8208,\"name\":\"TASK_MISSED\",\"id\":\"00f6226332f5636d\"}\n";
  int code;
  g_autofree char *cause = explain_cause (lines, "00f6226332f5636d", &code);

  assert_int_equal (code, MT_EXIT_OK);
  assert_string_equal (cause,
                       "accepted, not started; 1 of its starts got no answer and were stopped, "
                       "since they might still run");
}

/* Guards against a caller whose key was revoked getting no reason for the refusal. */
static void
test_refused_caller_names_the_reason (void **state)
{
  const char *lines = "{\"at\":1.0,\"event\":8108,\"name\":\"CALLER_REFUSED\","
                      "\"id\":\"00f6226332f5636d\",\"status\":401,\"why\":\"unknown key\"}\n";
  int code;
  g_autofree char *cause = explain_cause (lines, "00f6226332f5636d", &code);

  assert_int_equal (code, MT_EXIT_OK);
  assert_string_equal (cause, "its caller was refused, nothing was stored: unknown key");
}

/* Guards against a refusal whose cause, the workspace's share, an operator can't see. */
static void
test_refused_because_of_the_share_names_both_shares (void **state)
{
  const char *lines
      = "{\"at\":1.0,\"event\":8102,\"name\":\"JOB_REFUSED\",\"id\":\"00f6226332f5636d\","
        "\"pool\":\"p\",\"status\":503,\"why\":\"its workspace has more than its share of the "
        "waiting "
        "submissions, nothing was sent\",\"took_ms\":0,\"workspace\":\"press\",\"cause\":\"share\","
        "\"share\":983,\"fair\":500}\n";
  int code;
  g_autofree char *cause = explain_cause (lines, "00f6226332f5636d", &code);

  assert_int_equal (code, MT_EXIT_OK);
  assert_string_equal (cause, "refused, it never ran: its workspace has more than its share of the "
                              "waiting submissions, nothing was sent; workspace press had 983 "
                              "thousandths, and its fair share was 500");
}

#define ACCEPTED_BY_PRESS                                                                          \
  "{\"at\":1.0,\"event\":8101,\"name\":\"JOB_ACCEPTED\",\"id\":\"00f6226332f5636d\","              \
  "\"pool\":\"p\",\"status\":200,\"workspace\":\"press\"}\n"
/* Of other workspaces, pools and times, and of this job's. */
#define SHARE_STATES                                                                               \
  "{\"at\":0.5,\"event\":8110,\"name\":\"SHARE_STATE\",\"pool\":\"p\",\"workspace\":\"press\","    \
  "\"share\":1,\"fair\":1,\"waiting\":900}\n"                                                      \
  "{\"at\":1.5,\"event\":8110,\"name\":\"SHARE_STATE\",\"pool\":\"p\",\"workspace\":\"yard\","     \
  "\"share\":2,\"fair\":2,\"waiting\":900}\n"                                                      \
  "{\"at\":1.5,\"event\":8110,\"name\":\"SHARE_STATE\",\"pool\":\"q\",\"workspace\":\"press\","    \
  "\"share\":3,\"fair\":3,\"waiting\":900}\n"                                                      \
  "{\"at\":2.0,\"event\":8110,\"name\":\"SHARE_STATE\",\"pool\":\"p\",\"workspace\":\"press\","    \
  "\"share\":620,\"fair\":50,\"waiting\":300}\n"                                                   \
  "{\"at\":3.0,\"event\":8110,\"name\":\"SHARE_STATE\",\"pool\":\"p\",\"workspace\":\"press\","    \
  "\"share\":40,\"fair\":50,\"waiting\":0}\n"

static void
check_cause_of_late_job (const char *lines, const char *expected)
{
  int code;
  g_autofree char *cause = explain_cause (lines, "00f6226332f5636d", &code);

  assert_int_equal (code, MT_EXIT_OK);
  assert_string_equal (cause, expected);
}

/* Guards against a late job whose cause, the shares of other workspaces, an operator can't see, and
 * against figures of another workspace, pool or time. */
static void
test_wait_for_the_share_is_named (void **state)
{
  check_cause_of_late_job (
      ACCEPTED_BY_PRESS SHARE_STATES
      "{\"at\":5.0,\"event\":8107,\"name\":\"JOB_ENDED\",\"id\":\"00f6226332f5636d\","
      "\"pool\":\"p\",\"state\":\"completed\",\"age_ms\":4000,\"share_wait_ms\":1700}\n",
      "completed 4000 ms after its acceptance; its tasks waited 1700 ms behind the shares of other "
      "workspaces, when workspace press had 620 thousandths of the pool, a fair share of 50 and "
      "300 "
      "tasks waiting");
  check_cause_of_late_job (
      ACCEPTED_BY_PRESS SHARE_STATES,
      "accepted, not started; its workspace waited for its share, when workspace "
      "press had 620 thousandths of the pool, a fair share of 50 and 300 tasks "
      "waiting");
}

/* Guards against blaming shares for a job that waited for none, or that has no workspace. */
static void
test_job_that_did_not_wait_for_a_share_names_none (void **state)
{
  check_cause_of_late_job (
      ACCEPTED_BY_PRESS SHARE_STATES
      "{\"at\":5.0,\"event\":8107,\"name\":\"JOB_ENDED\",\"id\":\"00f6226332f5636d\","
      "\"pool\":\"p\",\"state\":\"completed\",\"age_ms\":4000,\"share_wait_ms\":0}\n",
      "completed 4000 ms after its acceptance");
  check_cause_of_late_job (
      "{\"at\":1.0,\"event\":8101,\"name\":\"JOB_ACCEPTED\",\"id\":\"00f6226332f5636d\","
      "\"pool\":\"p\",\"status\":200}\n" SHARE_STATES,
      "accepted, not started");
}

/* A job that no log line mentions is an error; lines that are not events are skipped. */
static void
test_unknown_job_is_an_error (void **state)
{
  int code;
  g_autofree char *cause
      = explain_cause ("some collector's words\n{\"x\":1}\n{broken\n", "00f6226332f5636d", &code);

  assert_int_equal (code, MT_EXIT_REFUSED);
  assert_string_equal (cause, "no daemon's log records its acceptance");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refused_in_an_outage),
    cmocka_unit_test (test_accepted_but_late),
    cmocka_unit_test (test_given_up_job_names_the_cause),
    cmocka_unit_test (test_run_again_after_its_worker_was_lost),
    cmocka_unit_test (test_start_without_an_answer_names_the_cause),
    cmocka_unit_test (test_refused_caller_names_the_reason),
    cmocka_unit_test (test_refused_because_of_the_share_names_both_shares),
    cmocka_unit_test (test_wait_for_the_share_is_named),
    cmocka_unit_test (test_job_that_did_not_wait_for_a_share_names_none),
    cmocka_unit_test (test_unknown_job_is_an_error),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
