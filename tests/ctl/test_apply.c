#include "commands.h"
#include "fake_store.h"
#include "medlartrack/tables.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define PUT_CALL 2 /* number of the call that writes: apply reads first */

/* An operator who runs apply, and an action that takes place during the run. */
struct operator
{
  struct fake_store *fake;
  struct mt_command_context context;
  char *path;
  char *out;
  size_t out_len;
  char *err;
  size_t err_len;
  unsigned calls;
  unsigned act_before_call; /* 0: never */
  bool act_at_pause;
  void (*act) (struct operator* op);
};

static void
before_call (void *ctx)
{
  struct operator* op = ctx;

  op->calls++;
  if (op->act != NULL && op->calls == op->act_before_call)
    op->act (op);
}

static void
at_pause (void *ctx, int64_t us)
{
  struct operator* op = ctx;
  bool act = op->act_at_pause;

  op->act_at_pause = false;
  if (act)
    op->act (op);
}

static void
operator_init (struct operator* op, struct fake_store *fake)
{
  *op = (struct operator){ .fake = fake };
  op->path = g_strdup ("/tmp/medlartrack-test-XXXXXX");
  close (g_mkstemp (op->path));
  op->context.store = fake_store_store (fake);
  op->context.pause = at_pause;
  op->context.pause_ctx = op;
}

static void operator_clear (struct operator* op)
{
  unlink (op->path);
  g_free (op->path);
  free (op->out);
  free (op->err);
}

/* Writes a tables file with one pool, based on the version; 0 leaves the version out. */
static void
write_tables_file (struct operator* op, unsigned version, const char *pool)
{
  g_autofree char *line
      = version > 0 ? g_strdup_printf ("\"version\":%u,", version) : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "{%s\"routes\":[],\"pools\":[{\"pool\":\"%s\",\"service\":\"s\"}]}", line, pool);

  assert_true (g_file_set_contents (op->path, text, -1, NULL));
}

static int run_apply (struct operator* op)
{
  int code;

  free (op->out);
  free (op->err);
  op->context.out = open_memstream (&op->out, &op->out_len);
  op->context.err = open_memstream (&op->err, &op->err_len);
  op->calls = 0;
  fake_store_set_call_hook (op->fake, before_call, op);
  code = mt_command_apply (&op->context, op->path);
  fake_store_set_call_hook (op->fake, NULL, NULL);
  fclose (op->context.out);
  fclose (op->context.err);
  return code;
}

static void
assert_contains (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    fail_msg ("\"%s\" is not in: %s", part, text);
}

static int
setup (void **state)
{
  struct operator* op = g_new0 (struct operator, 1);

  operator_init (op, fake_store_create (mt_clock_system ()));
  *state = op;
  return 0;
}

static int
teardown (void **state)
{
  struct operator* op = * state;

  fake_store_destroy (op->fake);
  operator_clear (op);
  g_free (op);
  return 0;
}

static void
apply_accepted (struct operator* op, unsigned version, const char *pool)
{
  write_tables_file (op, version, pool);
  assert_int_equal (run_apply (op), MT_EXIT_OK);
}

/* Guards against a script that applies the same file in a loop writing each time: only the first
 * run writes, each later one makes a single read. */
static void
test_apply_in_a_loop_writes_once (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  assert_contains (op->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (op->fake), 1);
  assert_int_equal (fake_store_reads (op->fake), 2);
  for (int i = 0; i < 10; i++)
    assert_int_equal (run_apply (op), MT_EXIT_OK);
  assert_contains (op->out, "\"unchanged\":true");
  assert_int_equal (fake_store_writes (op->fake), 1);
  assert_int_equal (fake_store_reads (op->fake), 12);
}

/* A file without a version does not show which version it is based on. Accepting it unchecked would
 * undo every edit made since it was copied. */
static void
test_apply_without_version_is_refused (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  write_tables_file (op, 0, "q");
  assert_int_equal (run_apply (op), MT_EXIT_REFUSED);
  assert_contains (op->err, "--onto VERSION");
  assert_int_equal (fake_store_writes (op->fake), 1);
  op->context.onto = "1";
  assert_int_equal (run_apply (op), MT_EXIT_OK);
  assert_contains (op->out, "\"accepted\":2");
}

/* Two operators edit version 1 and apply one after the other. The second gets a conflict with the
 * rows changed since version 1, and overwrites nothing. */
static void
test_apply_conflict_reports_changes_since_base (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  apply_accepted (op, 1, "q");
  write_tables_file (op, 1, "r");
  assert_int_equal (run_apply (op), MT_EXIT_CONFLICT);
  assert_contains (op->out, "\"changes_since\":[{\"version\":2");
  assert_contains (op->out, "\"row\":\"q\",\"change\":\"added\"");
  assert_int_equal (fake_store_writes (op->fake), 2);
}

static void other_applies (struct operator* op)
{
  struct operator other;

  operator_init (&other, op->fake);
  write_tables_file (&other, 1, "other");
  assert_int_equal (run_apply (&other), MT_EXIT_OK);
  operator_clear (&other);
}

/* Two operators read version 1 and the other one's write completes first: exactly one edit is
 * accepted, and the second operator gets a conflict. */
static void
test_apply_race_has_one_winner (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  write_tables_file (op, 1, "mine");
  op->act = other_applies;
  op->act_before_call = PUT_CALL;
  assert_int_equal (run_apply (op), MT_EXIT_CONFLICT);
  assert_contains (op->err, "version 2 was accepted");
  assert_contains (op->out, "\"row\":\"other\",\"change\":\"added\"");
}

/* The write takes effect but its response is lost: reading the id back shows that it was
 * accepted. */
static void
test_apply_lost_response_is_resolved_by_reading_back (void **state)
{
  struct operator* op = * state;

  fake_store_fault_next (op->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  apply_accepted (op, 0, "p");
  assert_contains (op->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (op->fake), 1);
}

static void other_applies_on_top (struct operator* op)
{
  struct operator other;

  operator_init (&other, op->fake);
  write_tables_file (&other, 2, "other");
  assert_int_equal (run_apply (&other), MT_EXIT_OK);
  operator_clear (&other);
}

/* The response is lost, and another edit is accepted on top before the write is read back: the id
 * of the tables is then another one, but their change log still holds the id of the first edit. */
static void
test_apply_finds_its_edit_in_the_change_log (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  write_tables_file (op, 1, "mine");
  fake_store_fault_next (op->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  op->act = other_applies_on_top;
  op->act_before_call = PUT_CALL + 1;
  assert_int_equal (run_apply (op), MT_EXIT_OK);
  assert_contains (op->out, "\"accepted\":2");
}

/* The write is lost before it reaches the store, and another operator's edit is accepted: reported
 * as a conflict with the rows of the other edit. */
static void
test_apply_lost_write_with_competing_edit_is_a_conflict (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  write_tables_file (op, 1, "mine");
  fake_store_fault_next (op->fake, FAKE_FAULT_LOSE_REQUEST, 1, true);
  op->act = other_applies;
  op->act_before_call = PUT_CALL + 1;
  assert_int_equal (run_apply (op), MT_EXIT_CONFLICT);
  assert_null (strstr (op->err, "unknown error"));
  assert_contains (op->out, "\"row\":\"other\"");
}

/* The write is delayed in the network for longer than apply reads back. It still arrives, so
 * reporting "conflict" or "not accepted" would be wrong. */
static void
test_apply_late_write_is_unknown (void **state)
{
  struct operator* op = * state;

  apply_accepted (op, 0, "p");
  write_tables_file (op, 1, "late");
  fake_store_fault_next (op->fake, FAKE_FAULT_DELAY, 1, true);
  assert_int_equal (run_apply (op), MT_EXIT_UNKNOWN);
  fake_store_deliver_delayed (op->fake);
  assert_int_equal (run_apply (op), MT_EXIT_OK);
  assert_contains (op->out, "\"accepted\":2");
  assert_contains (op->out, "\"unchanged\":true");
}

/* The store holds tables that an older release accepted and this one refuses, here for 16 slots:
 * only an operator who names their version may replace them. */
static void
test_apply_over_unreadable_tables_needs_their_version (void **state)
{
  struct operator* op = * state;

  fake_store_force (op->fake, MT_TABLES_KEY,
                    "{\"version\":6,\"routes\":[],\"pools\":[{\"pool\":\"p\",\"slots\":16}]}");
  write_tables_file (op, 6, "q");
  assert_int_equal (run_apply (op), MT_EXIT_REFUSED);
  assert_contains (op->err, "give --onto 6");
  op->context.onto = "5";
  assert_int_equal (run_apply (op), MT_EXIT_REFUSED);
  assert_int_equal (fake_store_writes (op->fake), 0);
  op->context.onto = "6";
  assert_int_equal (run_apply (op), MT_EXIT_OK);
  assert_contains (op->out, "\"accepted\":7");
}

static void
test_apply_during_an_outage (void **state)
{
  struct operator* op = * state;

  write_tables_file (op, 0, "p");
  fake_store_set_down (op->fake, true);
  assert_int_equal (run_apply (op), MT_EXIT_UNAVAILABLE);
  assert_contains (op->out, "\"kind\":\"unavailable\"");
}

static char *read_accepted_tables (struct operator* op)
{
  const struct mt_store *store = fake_store_store (op->fake);
  struct mt_store_value value;

  assert_true (store->ops->get (store->ctx, MT_TABLES_KEY, &value, NULL));
  g_free (value.key);
  return value.data;
}

/* The store is restored from an older backup. The operator's file is based on the newer version, so
 * apply detects the restore and writes nothing. */
static void
test_apply_detects_a_restored_store (void **state)
{
  struct operator* op = * state;
  g_autofree char *backup = NULL;

  apply_accepted (op, 0, "p");
  backup = read_accepted_tables (op);
  apply_accepted (op, 1, "q");
  fake_store_force (op->fake, MT_TABLES_KEY, backup);
  write_tables_file (op, 2, "r");
  assert_int_equal (run_apply (op), MT_EXIT_CONFLICT);
  assert_contains (op->err, "restored");
  assert_int_equal (fake_store_writes (op->fake), 2);
}

static char *newer_tables;

static void daemon_writes_back (struct operator* op)
{
  fake_store_force (op->fake, MT_TABLES_KEY, newer_tables);
}

/* The store is restored from an older backup and the operator edits the restored version. The store
 * accepts the write as version 2; daemons hold another version 2, and one of them writes it back.
 * apply must not report "accepted" for an edit that is in force nowhere. */
static void
test_apply_onto_a_restored_store_is_not_accepted (void **state)
{
  struct operator* op = * state;
  g_autofree char *backup = NULL;

  apply_accepted (op, 0, "p");
  backup = read_accepted_tables (op);
  apply_accepted (op, 1, "q");
  newer_tables = read_accepted_tables (op);
  fake_store_force (op->fake, MT_TABLES_KEY, backup);
  write_tables_file (op, 1, "r");
  op->act = daemon_writes_back;
  op->act_at_pause = true;
  assert_int_equal (run_apply (op), MT_EXIT_CONFLICT);
  assert_contains (op->err, "restored");
  assert_null (strstr (op->out, "accepted"));
  g_free (newer_tables);
}

int
main (void)
{
#define OPERATOR_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    OPERATOR_TEST (test_apply_in_a_loop_writes_once),
    OPERATOR_TEST (test_apply_without_version_is_refused),
    OPERATOR_TEST (test_apply_conflict_reports_changes_since_base),
    OPERATOR_TEST (test_apply_race_has_one_winner),
    OPERATOR_TEST (test_apply_lost_response_is_resolved_by_reading_back),
    OPERATOR_TEST (test_apply_finds_its_edit_in_the_change_log),
    OPERATOR_TEST (test_apply_lost_write_with_competing_edit_is_a_conflict),
    OPERATOR_TEST (test_apply_late_write_is_unknown),
    OPERATOR_TEST (test_apply_over_unreadable_tables_needs_their_version),
    OPERATOR_TEST (test_apply_during_an_outage),
    OPERATOR_TEST (test_apply_detects_a_restored_store),
    OPERATOR_TEST (test_apply_onto_a_restored_store_is_not_accepted),
  };

  return cmocka_run_group_tests_name ("apply", tests, NULL, NULL);
}
