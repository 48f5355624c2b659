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
struct desk
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
  void (*act) (struct desk *desk);
};

static void
before_call (void *ctx)
{
  struct desk *desk = ctx;

  desk->calls++;
  if (desk->act != NULL && desk->calls == desk->act_before_call)
    desk->act (desk);
}

static void
at_pause (void *ctx, int64_t us)
{
  struct desk *desk = ctx;
  bool act = desk->act_at_pause;

  desk->act_at_pause = false;
  if (act)
    desk->act (desk);
}

static void
desk_open (struct desk *desk, struct fake_store *fake)
{
  *desk = (struct desk){ .fake = fake };
  desk->path = g_strdup ("/tmp/medlartrack-test-XXXXXX");
  close (g_mkstemp (desk->path));
  desk->context.store = fake_store_store (fake);
  desk->context.pause = at_pause;
  desk->context.pause_ctx = desk;
}

static void
desk_close (struct desk *desk)
{
  unlink (desk->path);
  g_free (desk->path);
  free (desk->out);
  free (desk->err);
}

/* A file with one pool, edited from that version; 0 leaves the version out. */
static void
edit (struct desk *desk, unsigned version, const char *pool)
{
  g_autofree char *line
      = version > 0 ? g_strdup_printf ("\"version\":%u,", version) : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "{%s\"routes\":[],\"pools\":[{\"pool\":\"%s\",\"service\":\"s\"}]}", line, pool);

  assert_true (g_file_set_contents (desk->path, text, -1, NULL));
}

static int
apply (struct desk *desk)
{
  int code;

  free (desk->out);
  free (desk->err);
  desk->context.out = open_memstream (&desk->out, &desk->out_len);
  desk->context.err = open_memstream (&desk->err, &desk->err_len);
  desk->calls = 0;
  fake_store_before_call (desk->fake, before_call, desk);
  code = mt_command_apply (&desk->context, desk->path);
  fake_store_before_call (desk->fake, NULL, NULL);
  fclose (desk->context.out);
  fclose (desk->context.err);
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
  struct desk *desk = g_new0 (struct desk, 1);

  desk_open (desk, fake_store_create (mt_clock_system ()));
  *state = desk;
  return 0;
}

static int
teardown (void **state)
{
  struct desk *desk = *state;

  fake_store_destroy (desk->fake);
  desk_close (desk);
  g_free (desk);
  return 0;
}

static void
accept (struct desk *desk, unsigned version, const char *pool)
{
  edit (desk, version, pool);
  assert_int_equal (apply (desk), MT_EXIT_OK);
}

/* A script applies the same file in a loop: one write in all, then one read for each run. */
static void
test_apply_in_a_loop_writes_once (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  assert_told (desk->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (desk->fake), 1);
  assert_int_equal (fake_store_reads (desk->fake), 2);
  for (int i = 0; i < 10; i++)
    assert_int_equal (apply (desk), MT_EXIT_OK);
  assert_told (desk->out, "\"unchanged\":true");
  assert_int_equal (fake_store_writes (desk->fake), 1);
  assert_int_equal (fake_store_reads (desk->fake), 12);
}

/* A copied file says nothing about what it was edited from: taken blindly, it would undo every edit
 * made since it was copied. */
static void
test_apply_without_version_is_refused (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  edit (desk, 0, "q");
  assert_int_equal (apply (desk), MT_EXIT_REFUSED);
  assert_told (desk->err, "--onto VERSION");
  assert_int_equal (fake_store_writes (desk->fake), 1);
  desk->context.onto = "1";
  assert_int_equal (apply (desk), MT_EXIT_OK);
  assert_told (desk->out, "\"accepted\":2");
}

/* Two operators run `show` at version 1; one applies, then the other: he is told the rows that
 * changed since, and nothing is written over. */
static void
test_apply_tells_what_changed_since (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  accept (desk, 1, "q");
  edit (desk, 1, "r");
  assert_int_equal (apply (desk), MT_EXIT_CONFLICT);
  assert_told (desk->out, "\"changes_since\":[{\"version\":2");
  assert_told (desk->out, "\"row\":\"q\",\"change\":\"added\"");
  assert_int_equal (fake_store_writes (desk->fake), 2);
}

static void
rival_applies (struct desk *desk)
{
  struct desk rival;

  desk_open (&rival, desk->fake);
  edit (&rival, 1, "rival");
  assert_int_equal (apply (&rival), MT_EXIT_OK);
  desk_close (&rival);
}

/* Both read version 1, the rival's write lands first: exactly one wins, the other is told. */
static void
test_apply_race_has_one_winner (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  edit (desk, 1, "mine");
  desk->act = rival_applies;
  desk->act_before_call = PUT_CALL;
  assert_int_equal (apply (desk), MT_EXIT_CONFLICT);
  assert_told (desk->err, "version 2 was accepted");
  assert_told (desk->out, "\"row\":\"rival\",\"change\":\"added\"");
}

/* The write takes effect and its answer is lost: reading back the id settles it. */
static void
test_apply_settles_a_lost_answer (void **state)
{
  struct desk *desk = *state;

  fake_store_fault_next (desk->fake, FAKE_FAULT_LOSE, 1, true);
  accept (desk, 0, "p");
  assert_told (desk->out, "\"accepted\":1");
  assert_int_equal (fake_store_writes (desk->fake), 1);
}

static void
rival_applies_on_mine (struct desk *desk)
{
  struct desk rival;

  desk_open (&rival, desk->fake);
  edit (&rival, 2, "rival");
  assert_int_equal (apply (&rival), MT_EXIT_OK);
  desk_close (&rival);
}

/* The answer is lost, and before the operator's tool reads back, another edit is accepted on top:
 * the id is no longer the value's own, but its log of changes still has it. */
static void
test_apply_finds_its_edit_below_a_later_one (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  edit (desk, 1, "mine");
  fake_store_fault_next (desk->fake, FAKE_FAULT_LOSE, 1, true);
  desk->act = rival_applies_on_mine;
  desk->act_before_call = PUT_CALL + 1;
  assert_int_equal (apply (desk), MT_EXIT_OK);
  assert_told (desk->out, "\"accepted\":2");
}

/* The write is lost on its way and a rival's lands: told as a conflict, with the rival's rows. */
static void
test_apply_lost_write_and_rival_is_a_conflict (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  edit (desk, 1, "mine");
  fake_store_fault_next (desk->fake, FAKE_FAULT_DROP, 1, true);
  desk->act = rival_applies;
  desk->act_before_call = PUT_CALL + 1;
  assert_int_equal (apply (desk), MT_EXIT_CONFLICT);
  assert_null (strstr (desk->err, "unknown error"));
  assert_told (desk->out, "\"row\":\"rival\"");
}

/* The write is held up in the network for longer than the tool reads back: to say "conflict" or
 * "not accepted" would be wrong, since it arrives after all. */
static void
test_apply_late_write_is_unknown (void **state)
{
  struct desk *desk = *state;

  accept (desk, 0, "p");
  edit (desk, 1, "late");
  fake_store_fault_next (desk->fake, FAKE_FAULT_LATE, 1, true);
  assert_int_equal (apply (desk), MT_EXIT_UNKNOWN);
  fake_store_deliver (desk->fake);
  assert_int_equal (apply (desk), MT_EXIT_OK);
  assert_told (desk->out, "\"accepted\":2");
  assert_told (desk->out, "\"unchanged\":true");
}

/* The store holds tables that an older release took and this one refuses, here 16 slots: they are
 * replaced only by an operator who names their version. */
static void
test_apply_over_unreadable_tables_needs_their_version (void **state)
{
  struct desk *desk = *state;

  fake_store_force (desk->fake, MT_TABLES_KEY,
                    "{\"version\":6,\"routes\":[],\"pools\":[{\"pool\":\"p\",\"slots\":16}]}");
  edit (desk, 6, "q");
  assert_int_equal (apply (desk), MT_EXIT_REFUSED);
  assert_told (desk->err, "give --onto 6");
  desk->context.onto = "5";
  assert_int_equal (apply (desk), MT_EXIT_REFUSED);
  assert_int_equal (fake_store_writes (desk->fake), 0);
  desk->context.onto = "6";
  assert_int_equal (apply (desk), MT_EXIT_OK);
  assert_told (desk->out, "\"accepted\":7");
}

static void
test_apply_during_an_outage (void **state)
{
  struct desk *desk = *state;

  edit (desk, 0, "p");
  fake_store_set_down (desk->fake, true);
  assert_int_equal (apply (desk), MT_EXIT_UNAVAILABLE);
  assert_told (desk->out, "\"kind\":\"unavailable\"");
}

static char *
accepted_text (struct desk *desk)
{
  const struct mt_store *store = fake_store_store (desk->fake);
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
  struct desk *desk = *state;
  g_autofree char *backup = NULL;

  accept (desk, 0, "p");
  backup = accepted_text (desk);
  accept (desk, 1, "q");
  fake_store_force (desk->fake, MT_TABLES_KEY, backup);
  edit (desk, 2, "r");
  assert_int_equal (apply (desk), MT_EXIT_CONFLICT);
  assert_told (desk->err, "restored");
  assert_int_equal (fake_store_writes (desk->fake), 2);
}

static char *newer_text;

static void
daemon_repairs (struct desk *desk)
{
  fake_store_force (desk->fake, MT_TABLES_KEY, newer_text);
}

/* The same, but the operator edited what the restored store showed. His write is taken as version
 * 2, which daemons hold with other rows; a daemon puts its version 2 back. He must not read
 * "accepted" for an edit that is in force nowhere. */
static void
test_apply_onto_a_restored_store_is_not_accepted (void **state)
{
  struct desk *desk = *state;
  g_autofree char *backup = NULL;

  accept (desk, 0, "p");
  backup = accepted_text (desk);
  accept (desk, 1, "q");
  newer_text = accepted_text (desk);
  fake_store_force (desk->fake, MT_TABLES_KEY, backup);
  edit (desk, 1, "r");
  desk->act = daemon_repairs;
  desk->act_at_pause = true;
  assert_int_equal (apply (desk), MT_EXIT_CONFLICT);
  assert_told (desk->err, "restored");
  assert_null (strstr (desk->out, "accepted"));
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
