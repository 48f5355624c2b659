/* Records of large jobs, whose tasks are in parts of their own. */
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define TASKS 300U
/* What a value in the store may have. */
#define VALUE_BYTES (1024 * 1024)
/* A key in the store has at most 200 bytes, of which "servers/" is one part. */
#define LONGEST_ID 192U

static struct world *
create_world_with_job (unsigned tasks)
{
  struct world *world = world_create ();

  world_submit (world, world_job ("aa", tasks, 1, 1000));
  return world;
}

static bool
has_name (const GPtrArray *names, const char *name)
{
  for (guint i = 0; names != NULL && i < names->len; i++)
    if (strcmp (names->pdata[i], name) == 0)
      return true;
  return false;
}

static void
restore (struct world *world, const char *name, const char *record)
{
  assert_true (mt_scheduler_restore (world->sched, name, record, 1, world->now));
}

/* Returns the text of a part of which only the marks and one row are given. */
static char *
format_part (unsigned tasks, unsigned n_done, const char *rows)
{
  g_autoptr (GString) marks = g_string_new (NULL);

  for (unsigned i = 0; i < tasks; i++)
    g_string_append_c (marks, i < n_done ? 'd' : '.');
  return g_strdup_printf ("{\"t\":[%s],\"w\":[[\"i-0\",7]],\"d\":\"%s\",\"l\":{}}", rows,
                          marks->str);
}

static void
restore_part (struct world *world, unsigned part, unsigned n_done, const char *rows)
{
  unsigned first = part * MT_RECORD_TASKS;
  g_autofree char *name = g_strdup_printf ("aa.0.%u", part);
  g_autofree char *text = format_part (MIN (TASKS - first, MT_RECORD_TASKS), n_done, rows);

  restore (world, name, text);
}

static GPtrArray *
begin_cycle (struct world *world)
{
  return mt_scheduler_cycle_begin (world->sched, world->now, world->now);
}

static void
store_records (struct world *world, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    mt_scheduler_set_job_revision (world->sched, names->pdata[i], 2);
  mt_scheduler_jobs_stored (world->sched, (const char *const *) names->pdata, names->len,
                            world->now);
}

static bool
record_has (struct world *world, const char *name, const char *text)
{
  g_autofree char *record = mt_scheduler_job_record (world->sched, name);

  return strstr (record, text) != NULL;
}

/* Appends a row with the longest id and checkpoint, in the characters that take most space. */
static void
append_longest_row (GString *rows, GString *leases, unsigned index)
{
  g_autofree char *fill = g_strnfill (LONGEST_ID, 'x');
  g_autoptr (GString) id = g_string_new (NULL);
  g_autoptr (GString) checkpoint = g_string_new (NULL);

  g_snprintf (fill, LONGEST_ID, "%u", index);
  for (unsigned i = 0; i < LONGEST_ID; i++)
    if (fill[i] != '\0' && i < strlen (fill))
      g_string_append_c (id, fill[i]);
    else
      g_string_append (id, "\\u0001");
  for (unsigned i = 0; i < 512; i++)
    g_string_append (checkpoint, "\\u0001");
  g_string_append_printf (rows,
                          "%s[0,0,%u,4294967295,65535,\"%s\",9007199254740991,\"%s\","
                          "255,255,1,1,2147483647,4294967295]",
                          index > 0 ? "," : "", index, id->str, checkpoint->str);
  g_string_append_printf (leases, "%s\"%s\":9000", index > 0 ? "," : "", id->str);
}

/* Guards against a record that the store does not accept: all workers have the longest ids, all
 * checkpoints are the longest that are stored, and all leases are named. */
static void
test_longest_record_fits_into_a_value (void **state)
{
  struct world *world = create_world_with_job (MT_RECORD_TASKS);
  g_autoptr (GString) rows = g_string_new (NULL);
  g_autoptr (GString) leases = g_string_new (NULL);
  g_autofree char *stored = NULL;
  g_autofree char *record = NULL;

  world_set_max_lease (world, 10000);
  world_submit (world, world_job ("aa", MT_RECORD_TASKS, 1, 1000));
  for (unsigned i = 0; i < MT_RECORD_TASKS; i++)
    append_longest_row (rows, leases, i);
  stored = g_strdup_printf ("{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[%s],\"l\":{%s}}", rows->str,
                            leases->str);
  restore (world, "aa", stored);
  g_ptr_array_unref (begin_cycle (world));
  record = mt_scheduler_job_record (world->sched, "aa");
  assert_in_range (strlen (record), VALUE_BYTES / 2, VALUE_BYTES);
  world_destroy (world);
}

/* Guards against a record that grows with its job, and against one that earlier versions would take
 * for that of a job without runs: they would start all of its tasks. */
static void
test_large_job_has_parts (void **state)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world->run_ms = -1;
  world_submit (world, world_job ("aa", TASKS, 1, 1000));
  world_run (world, 500);
  assert_string_equal (g_hash_table_lookup (world->records, "aa"),
                       "{\"s\":\"queued\",\"b\":1,\"p\":1}");
  assert_non_null (g_hash_table_lookup (world->records, "aa.0.0"));
  assert_int_equal (world->unstored_starts, 0);
  world_destroy (world);
}

/* Guards against a change that writes the whole progress of a large job. */
static void
test_change_writes_only_its_part (void **state)
{
  struct world *world = create_world_with_job (TASKS);
  struct mt_sent_order order = { .kind = MT_ORDER_HOLD, .worker = "i-0", .worker_started_at = 7 };
  struct mt_end_row end = { .sequence = 1, .task = "aa.0.0.130", .run = 1, .kind = MT_END_DONE };
  struct mt_hold_report report = {
    .answer = MT_ANSWER_OK, .clock_ms = 1000, .started_at_ms = 7, .ended = &end, .n_ended = 1
  };
  g_autoptr (GPtrArray) names = NULL;

  world_add_worker (world, "r1");
  restore (world, "aa", "{\"s\":\"active\",\"b\":1,\"p\":1}");
  restore_part (world, 0, MT_RECORD_TASKS, "");
  restore_part (world, 1, 0, "[2,1,0,0],[3,1,0,0]");
  restore_part (world, 2, TASKS - 2 * MT_RECORD_TASKS, "");
  mt_scheduler_end_restore (world->sched, world->now);
  order.worker_started_at = world->workers[0].started_at_ms;
  report.started_at_ms = order.worker_started_at;
  mt_scheduler_hold_answered (world->sched, &order, &report, world->now);
  names = begin_cycle (world);
  assert_true (has_name (names, "aa.0.1"));
  assert_int_equal (names->len, 1);
  world_destroy (world);
}

/* Guards against rows that are lost as the single record of an earlier version is replaced by
 * parts: it is written last. */
static void
test_record_of_an_earlier_version_is_replaced_last (void **state)
{
  struct world *world = create_world_with_job (TASKS);
  g_autoptr (GPtrArray) parts = NULL;
  g_autoptr (GPtrArray) head = NULL;

  restore (world, "aa",
           "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,130,3,1,\"i-0\",7,\"\"]],\"l\":{}}");
  mt_scheduler_end_restore (world->sched, world->now);
  parts = begin_cycle (world);
  assert_true (has_name (parts, "aa.0.1"));
  assert_false (has_name (parts, "aa"));
  assert_true (record_has (world, "aa.0.1", "[2,3,1,0]"));
  store_records (world, parts);
  assert_true (mt_scheduler_needs_cycle (world->sched, world->now));
  head = begin_cycle (world);
  assert_int_equal (head->len, 1);
  assert_true (has_name (head, "aa"));
  assert_false (record_has (world, "aa", "\"t\""));
  store_records (world, head);
  world_destroy (world);
}

/* Guards against tasks that run again because an earlier version led the pool for a while: it has
 * written a record without the parts' tasks, of which some are done and some run. */
static void
test_parts_count_beside_a_record_of_an_earlier_version (void **state)
{
  struct world *world = create_world_with_job (TASKS);
  g_autofree char *part = NULL;

  restore_part (world, 1, 2, "[2,5,0,0]");
  restore (world, "aa",
           "{\"s\":\"active\",\"b\":1,\"d\":{},\"t\":[[0,0,131,7,0,\"i-0\",7,\"\"]],\"l\":{}}");
  mt_scheduler_end_restore (world->sched, world->now);
  part = mt_scheduler_job_record (world->sched, "aa.0.1");
  assert_non_null (strstr (part, "[2,5,0,0],[3,7,0,0]"));
  assert_non_null (strstr (part, "\"d\":\"dd.."));
  world_destroy (world);
}

/* Guards against tasks that run twice because a part of their job's record can't be read. */
static void
test_unreadable_part_holds_its_job_back (void **state)
{
  static const char *const parts[] = { "",
                                       "{}",
                                       "{\"t\":[],\"w\":[],\"d\":\"dd\",\"l\":{}}",
                                       "{\"t\":[[0,1,0,3]],\"w\":[],\"d\":\"%s\",\"l\":{}}",
                                       "{\"t\":[[900,1,0,-1]],\"w\":[],\"d\":\"%s\",\"l\":{}}",
                                       "{\"t\":[[0]],\"w\":[],\"d\":\"%s\",\"l\":{}}" };
  g_autofree char *marks = g_strnfill (MT_RECORD_TASKS, '.');

  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      struct world *world = world_create ();
      g_auto (GStrv) around = g_strsplit (parts[i], "%s", 2);
      g_autofree char *text = g_strjoinv (marks, around);

      world_add_worker (world, "r1");
      world_submit (world, world_job ("aa", TASKS, 1, 1000));
      world_submit (world, world_job ("bb", 2, 500, 1000));
      restore (world, "aa", "{\"s\":\"active\",\"b\":1,\"p\":1}");
      restore (world, "aa.0.0", text);
      mt_scheduler_end_restore (world->sched, world->now);
      world_run (world, 5000);
      assert_int_equal (world->n_starts, 2);
      assert_int_equal (mt_scheduler_job_state (world->sched, "bb"), MT_JOB_COMPLETED);
      world_destroy (world);
    }
}

/* Guards against attempts that count twice, or not at all, because only some of a gang's parts were
 * stored: 2 of the attempts are stored with the member that reported them. */
static void
test_attempts_of_a_gang_are_those_reported_in_stored_parts (void **state)
{
  struct world *world = world_create ();

  world_submit (world, world_gang (TASKS, TASKS, 1, 1000));
  restore (world, "G300-300", "{\"s\":\"active\",\"b\":1,\"p\":1}");
  {
    g_autofree char *text = format_part (MT_RECORD_TASKS, 0, "[1,2,2,-1,\"\",0,0,0,0,0,2]");

    restore (world, "G300-300.0.0", text);
  }
  mt_scheduler_end_restore (world->sched, world->now);
  assert_true (record_has (world, "G300-300.0.0", "[1,2,2,-1,\"\",0,0,0,0,0,2]"));
  assert_true (record_has (world, "G300-300.0.1", "[0,0,0,-1]"));
  world_destroy (world);
}

/* Guards against keys of a large job that stay in the store after its end. */
static void
test_stored_parts_are_named_for_removal (void **state)
{
  struct world *world = create_world_with_job (TASKS);
  g_autoptr (GPtrArray) some = NULL;
  g_autoptr (GPtrArray) rest = NULL;

  restore_part (world, 0, 0, "");
  restore_part (world, 2, 0, "");
  mt_scheduler_end_restore (world->sched, world->now);
  some = mt_scheduler_stored_parts (world->sched, "aa", 1);
  assert_int_equal (some->len, 1);
  mt_scheduler_set_job_revision (world->sched, some->pdata[0], 0);
  rest = mt_scheduler_stored_parts (world->sched, "aa", 9);
  assert_int_equal (rest->len, 1);
  assert_string_equal (rest->pdata[0], "aa.0.2");
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_record_fits_into_a_value),
    cmocka_unit_test (test_large_job_has_parts),
    cmocka_unit_test (test_change_writes_only_its_part),
    cmocka_unit_test (test_record_of_an_earlier_version_is_replaced_last),
    cmocka_unit_test (test_parts_count_beside_a_record_of_an_earlier_version),
    cmocka_unit_test (test_unreadable_part_holds_its_job_back),
    cmocka_unit_test (test_attempts_of_a_gang_are_those_reported_in_stored_parts),
    cmocka_unit_test (test_stored_parts_are_named_for_removal),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
