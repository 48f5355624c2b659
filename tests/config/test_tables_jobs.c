#include "medlartrack/jobs.h"
#include "medlartrack/tables.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define INSTANCE "{\"name\":\"i%d\",\"address\":\"10.0.0.%d:80\",\"zone\":\"west\",\"rack\":\"r\"}"

static struct mt_tables *
parse (const char *teams, const char *jobs, GError **error)
{
  g_autofree char *text = g_strdup_printf (
      "{\"routes\":[],\"pools\":[{\"pool\":\"p\",\"service\":\"s\",\"instances\":[" INSTANCE
      "],\"teams\":[%s],\"jobs\":[%s]}]}",
      1, 1, teams, jobs);

  return mt_tables_parse (mt_str_from (text), error);
}

static void
assert_rejected (const char *teams, const char *jobs, const char *column)
{
  g_autoptr (GError) error = NULL;

  assert_null (parse (teams, jobs, &error));
  assert_non_null (strstr (error->message, column));
}

static void
test_job_rows_are_read_with_defaults (void **state)
{
  struct mt_tables *tables
      = parse ("{\"team\":\"t\",\"cpu_milli\":5000}",
               "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"west\",\"urgency\":\"urgent\"}", NULL);
  const struct mt_job_row *job;

  assert_non_null (tables);
  job = &tables->pools[0].jobs[0];
  assert_int_equal (job->urgency, MT_URGENCY_URGENT);
  assert_int_equal (job->cpu_milli, 1000);
  assert_false (job->may_run_twice);
  assert_int_equal (tables->pools[0].teams[0].cpu_milli, 5000);
  mt_tables_destroy (tables);
}

static void
test_invalid_job_rows_are_rejected (void **state)
{
  const char *team = "{\"team\":\"t\"}";

  assert_rejected (team, "{\"job\":\"j\",\"team\":\"other\",\"zone\":\"w\"}", "jobs.team");
  assert_rejected ("{\"team\":\"t\"},{\"team\":\"t\"}", "", "teams.team");
  assert_rejected (team,
                   "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\"},"
                   "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\"}",
                   "jobs.job");
  assert_rejected (team, "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\",\"urgency\":\"now\"}",
                   "urgency");
  assert_rejected (team, "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\",\"cpu_milli\":0}",
                   "cpu_milli");
}

/* Guards against a cancellation that is not treated as a change: `apply` would write nothing and
 * the job would keep running. */
static void
test_cancelled_job_is_a_change (void **state)
{
  const char *team = "{\"team\":\"t\"}";
  struct mt_tables *before = parse (team, "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\"}", NULL);
  struct mt_tables *after
      = parse (team, "{\"job\":\"j\",\"team\":\"t\",\"zone\":\"w\",\"cancelled\":true}", NULL);

  assert_false (mt_tables_same_rows (before, after));
  mt_tables_destroy (before);
  mt_tables_destroy (after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_rows_are_read_with_defaults),
    cmocka_unit_test (test_invalid_job_rows_are_rejected),
    cmocka_unit_test (test_cancelled_job_is_a_change),
  };

  return cmocka_run_group_tests_name ("tables of jobs", tests, NULL, NULL);
}
