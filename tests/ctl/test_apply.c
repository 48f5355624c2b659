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

#define PUT_CALL 2 /* apply reads first, then writes */

/* One operator at his terminal, and what happens while his command runs. */
struct sched
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
  void (*act) (struct sched *sched);
};

static void
before_call (void *ctx)
{
  struct sched *sched = ctx;

  sched->calls++;
  if (sched->act != NULL && sched->calls == sched->act_before_call)
    sched->act (sched);
}

static void
at_pause (void *ctx, int64_t us)
{
  struct sched *sched = ctx;
  bool act = sched->act_at_pause;

  sched->act_at_pause = false;
  if (act)
    sched->act (sched);
}

static void
desk_open (struct sched *sched, struct fake_store *fake)
{
  *sched = (struct sched){ .fake = fake };
  sched->path = g_strdup ("/tmp/medlartrack-test-XXXXXX");
  close (g_mkstemp (sched->path));
  sched->context.store = fake_store_store (fake);
  sched->context.pause = at_pause;
  sched->context.pause_ctx = sched;
}

static void
desk_close (struct sched *sched)
{
  unlink (sched->path);
  g_free (sched->path);
  free (sched->out);
  free (sched->err);
}

/* A file with one pool, edited from that version; 0 leaves the version out. */
static void
edit (struct sched *sched, unsigned version, const char *pool)
{
  g_autofree char *line
      = version > 0 ? g_strdup_printf ("\"version\":%u,", version) : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "{%s\"routes\":[],\"pools\":[{\"pool\":\"%s\",\"service\":\"s\"}]}", line, pool);

  assert_true (g_file_set_contents (sched->path, text, -1, NULL));
}

static int
apply (struct sched *sched)
{
  int code;

  free (sched->out);
  free (sched->err);
  sched->context.out = open_memstream (&sched->out, &sched->out_len);
  sched->context.err = open_memstream (&sched->err, &sched->err_len);
  sched->calls = 0;
  fake_store_set_call_hook (sched->fake, before_call, sched);
  code = mt_command_apply (&sched->context, sched->path);
  fake_store_set_call_hook (sched->fake, NULL, NULL);
  fclose (sched->context.out);
  fclose (sched->context.err);
  return code;
}

static void
assert_told (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    fail_msg ("\"%s\" is not in: %s", part, text);
}

static int
setup (void **state)
{
  struct sched *sched = g_new0 (struct sched, 1);

  desk_open (sched, fake_store_create (mt_clock_system ()));
  *state = sched;
  return 0;
}

static int
teardown (void **state)
{
  struct sched *sched = *state;

  fake_store_destroy (sched->fake);
  desk_close (sched);
  g_free (sched);
  return 0;
}

static void
accept (struct sched *sched, unsigned version, const char *pool)
{
  edit (sched, version, pool);
  assert_int_equal (apply (sched), MT_EXIT_OK);
}

/* A script applies the same file in a loop: one write in all, then one read for each run. */
static void
test_apply_in_a_loop_writes_once (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  assert_told (sched->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (sched->fake), 1);
  assert_int_equal (fake_store_reads (sched->fake), 2);
  for (int i = 0; i < 10; i++)
    assert_int_equal (apply (sched), MT_EXIT_OK);
  assert_told (sched->out, "\"unchanged\":true");
  assert_int_equal (fake_store_writes (sched->fake), 1);
  assert_int_equal (fake_store_reads (sched->fake), 12);
}

/* A copied file says nothing about what it was edited from: taken blindly, it would undo every edit
 * made since it was copied. */
static void
test_apply_without_version_is_refused (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  edit (sched, 0, "q");
  assert_int_equal (apply (sched), MT_EXIT_REFUSED);
  assert_told (sched->err, "--onto VERSION");
  assert_int_equal (fake_store_writes (sched->fake), 1);
  sched->context.onto = "1";
  assert_int_equal (apply (sched), MT_EXIT_OK);
  assert_told (sched->out, "\"accepted\":2");
}

/* Two operators run `show` at version 1; one applies, then the other: he is told the rows that
 * changed since, and nothing is written over. */
static void
test_apply_tells_what_changed_since (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  accept (sched, 1, "q");
  edit (sched, 1, "r");
  assert_int_equal (apply (sched), MT_EXIT_CONFLICT);
  assert_told (sched->out, "\"changes_since\":[{\"version\":2");
  assert_told (sched->out, "\"row\":\"q\",\"change\":\"added\"");
  assert_int_equal (fake_store_writes (sched->fake), 2);
}

static void
rival_applies (struct sched *sched)
{
  struct sched rival;

  desk_open (&rival, sched->fake);
  edit (&rival, 1, "rival");
  assert_int_equal (apply (&rival), MT_EXIT_OK);
  desk_close (&rival);
}

/* Both read version 1, the rival's write lands first: exactly one wins, the other is told. */
static void
test_apply_race_has_one_winner (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  edit (sched, 1, "mine");
  sched->act = rival_applies;
  sched->act_before_call = PUT_CALL;
  assert_int_equal (apply (sched), MT_EXIT_CONFLICT);
  assert_told (sched->err, "version 2 was accepted");
  assert_told (sched->out, "\"row\":\"rival\",\"change\":\"added\"");
}

/* The write takes effect and its answer is lost: reading back the id settles it. */
static void
test_apply_settles_a_lost_answer (void **state)
{
  struct sched *sched = *state;

  fake_store_fault_next (sched->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  accept (sched, 0, "p");
  assert_told (sched->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (sched->fake), 1);
}

static void
rival_applies_on_mine (struct sched *sched)
{
  struct sched rival;

  desk_open (&rival, sched->fake);
  edit (&rival, 2, "rival");
  assert_int_equal (apply (&rival), MT_EXIT_OK);
  desk_close (&rival);
}

/* The answer is lost, and before the operator's tool reads back, another edit is accepted on top:
 * the id is no longer the value's own, but its log of changes still has it. */
static void
test_apply_finds_its_edit_below_a_later_one (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  edit (sched, 1, "mine");
  fake_store_fault_next (sched->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  sched->act = rival_applies_on_mine;
  sched->act_before_call = PUT_CALL + 1;
  assert_int_equal (apply (sched), MT_EXIT_OK);
  assert_told (sched->out, "\"accepted\":2");
}

/* The write is lost on its way and a rival's lands: told as a conflict, with the rival's rows. */
static void
test_apply_lost_write_and_rival_is_a_conflict (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  edit (sched, 1, "mine");
  fake_store_fault_next (sched->fake, FAKE_FAULT_LOSE_REQUEST, 1, true);
  sched->act = rival_applies;
  sched->act_before_call = PUT_CALL + 1;
  assert_int_equal (apply (sched), MT_EXIT_CONFLICT);
  assert_null (strstr (sched->err, "unknown error"));
  assert_told (sched->out, "\"row\":\"rival\"");
}

/* The write is held up in the network for longer than the tool reads back: to say "conflict" or
 * "not accepted" would be wrong, since it arrives after all. */
static void
test_apply_late_write_is_unknown (void **state)
{
  struct sched *sched = *state;

  accept (sched, 0, "p");
  edit (sched, 1, "late");
  fake_store_fault_next (sched->fake, FAKE_FAULT_DELAY, 1, true);
  assert_int_equal (apply (sched), MT_EXIT_UNKNOWN);
  fake_store_deliver_delayed (sched->fake);
  assert_int_equal (apply (sched), MT_EXIT_OK);
  assert_told (sched->out, "\"accepted\":2");
  assert_told (sched->out, "\"unchanged\":true");
}

/* The store holds tables that an older release took and this one refuses, here 16 slots: they are
 * replaced only by an operator who names their version. */
static void
test_apply_over_unreadable_tables_needs_their_version (void **state)
{
  struct sched *sched = *state;

  fake_store_force (sched->fake, MT_TABLES_KEY,
                    "{\"version\":6,\"routes\":[],\"pools\":[{\"pool\":\"p\",\"slots\":16}]}");
  edit (sched, 6, "q");
  assert_int_equal (apply (sched), MT_EXIT_REFUSED);
  assert_told (sched->err, "give --onto 6");
  sched->context.onto = "5";
  assert_int_equal (apply (sched), MT_EXIT_REFUSED);
  assert_int_equal (fake_store_writes (sched->fake), 0);
  sched->context.onto = "6";
  assert_int_equal (apply (sched), MT_EXIT_OK);
  assert_told (sched->out, "\"accepted\":7");
}

static void
test_apply_during_an_outage (void **state)
{
  struct sched *sched = *state;

  edit (sched, 0, "p");
  fake_store_set_down (sched->fake, true);
  assert_int_equal (apply (sched), MT_EXIT_UNAVAILABLE);
  assert_told (sched->out, "\"kind\":\"unavailable\"");
}

static char *
accepted_text (struct sched *sched)
{
  const struct mt_store *store = fake_store_store (sched->fake);
  struct mt_store_value value;

  assert_true (store->ops->get (store->ctx, MT_TABLES_KEY, &value, NULL));
  g_free (value.key);
  return value.data;
}

/* The store comes back from an older backup. The operator's file was edited from the newer version,
 * so the tool can see it and writes nothing. */
static void
test_apply_sees_a_restored_store (void **state)
{
  struct sched *sched = *state;
  g_autofree char *backup = NULL;

  accept (sched, 0, "p");
  backup = accepted_text (sched);
  accept (sched, 1, "q");
  fake_store_force (sched->fake, MT_TABLES_KEY, backup);
  edit (sched, 2, "r");
  assert_int_equal (apply (sched), MT_EXIT_CONFLICT);
  assert_told (sched->err, "restored");
  assert_int_equal (fake_store_writes (sched->fake), 2);
}

static char *newer_text;

static void
daemon_repairs (struct sched *sched)
{
  fake_store_force (sched->fake, MT_TABLES_KEY, newer_text);
}

/* The same, but the operator edited what the restored store showed. His write is taken as version
 * 2, which daemons hold with other rows; a daemon puts its version 2 back. He must not read
 * "accepted" for an edit that is in force nowhere. */
static void
test_apply_onto_a_restored_store_is_not_accepted (void **state)
{
  struct sched *sched = *state;
  g_autofree char *backup = NULL;

  accept (sched, 0, "p");
  backup = accepted_text (sched);
  accept (sched, 1, "q");
  newer_text = accepted_text (sched);
  fake_store_force (sched->fake, MT_TABLES_KEY, backup);
  edit (sched, 1, "r");
  sched->act = daemon_repairs;
  sched->act_at_pause = true;
  assert_int_equal (apply (sched), MT_EXIT_CONFLICT);
  assert_told (sched->err, "restored");
  assert_null (strstr (sched->out, "accepted"));
  g_free (newer_text);
}

int
main (void)
{
#define DESK_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    DESK_TEST (test_apply_in_a_loop_writes_once),
    DESK_TEST (test_apply_without_version_is_refused),
    DESK_TEST (test_apply_tells_what_changed_since),
    DESK_TEST (test_apply_race_has_one_winner),
    DESK_TEST (test_apply_settles_a_lost_answer),
    DESK_TEST (test_apply_finds_its_edit_below_a_later_one),
    DESK_TEST (test_apply_lost_write_and_rival_is_a_conflict),
    DESK_TEST (test_apply_late_write_is_unknown),
    DESK_TEST (test_apply_over_unreadable_tables_needs_their_version),
    DESK_TEST (test_apply_during_an_outage),
    DESK_TEST (test_apply_sees_a_restored_store),
    DESK_TEST (test_apply_onto_a_restored_store_is_not_accepted),
  };

  return cmocka_run_group_tests_name ("apply", tests, NULL, NULL);
}
