#include "fake_store.h"
#include "medlartrack/acceptance.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static char *
text_of (uint64_t version, const char *id)
{
  return g_strdup_printf (
      "{\"version\":%" G_GUINT64_FORMAT ",\"id\":\"%s\",\"routes\":[],\"pools\":[]}", version, id);
}

static struct mt_tables *
tables_of (uint64_t version, const char *id)
{
  g_autofree char *text = text_of (version, id);

  return mt_tables_parse (mt_str_from (text), NULL);
}

struct case_
{
  uint64_t held, offered; /* versions; held 0: none held */
  const char *held_id, *offered_id;
  enum mt_acceptance verdict;
};

static void
test_acceptance_never_reverts (void **state)
{
  static const struct case_ cases[] = {
    { 0, 1, "-", "a", MT_ACCEPTANCE_NEWER },  { 5, 6, "a", "b", MT_ACCEPTANCE_NEWER },
    { 5, 5, "a", "a", MT_ACCEPTANCE_SAME },   { 5, 4, "a", "b", MT_ACCEPTANCE_OLDER },
    { 5, 5, "a", "b", MT_ACCEPTANCE_FORKED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct mt_tables *held
          = cases[i].held > 0 ? tables_of (cases[i].held, cases[i].held_id) : NULL;
      struct mt_tables *offered = tables_of (cases[i].offered, cases[i].offered_id);

      assert_int_equal (mt_acceptance_compare (held, offered), cases[i].verdict);
      mt_tables_destroy (held);
      mt_tables_destroy (offered);
    }
}

struct fixture
{
  struct fake_store *fake;
  unsigned calls;
  unsigned act_before;
  const char *put;
};

static void
before_call (void *ctx)
{
  struct fixture *fixture = ctx;

  if (++fixture->calls == fixture->act_before)
    fake_store_force (fixture->fake, MT_TABLES_KEY, fixture->put);
}

/* A daemon holds version 7 and the store has `before`. `put` is written before the daemon's call
 * number act_before. The store must have `after` in the end. */
static void
check_repair (const char *before,
              unsigned act_before,
              const char *put,
              enum mt_repair result,
              const char *after)
{
  struct fixture fixture = { fake_store_create (mt_clock_system ()), 0, act_before, put };
  const struct mt_store *store = fake_store_store (fixture.fake);
  struct mt_tables *held = tables_of (7, "held");
  struct mt_store_value value;

  if (before != NULL)
    fake_store_force (fixture.fake, MT_TABLES_KEY, before);
  fake_store_set_call_hook (fixture.fake, before_call, &fixture);
  assert_int_equal (mt_acceptance_repair (store, held, NULL), result);
  fake_store_set_call_hook (fixture.fake, NULL, NULL);
  assert_true (store->ops->get (store->ctx, MT_TABLES_KEY, &value, NULL));
  assert_non_null (strstr (value.data, after));
  mt_store_value_clear (&value);
  mt_tables_destroy (held);
  fake_store_destroy (fixture.fake);
}

/* Guards against reverted tables when the platform is restored from a backup or empty: daemons that
 * hold newer tables write them back, but only over a value that is still older at the time of the
 * write. */
static void
test_restored_store_is_repaired (void **state)
{
  g_autofree char *older = text_of (5, "older");
  g_autofree char *newer = text_of (8, "newer");
  g_autofree char *fork = text_of (7, "fork");

  check_repair (older, 0, NULL, MT_REPAIR_DONE, "\"held\"");
  check_repair (NULL, 0, NULL, MT_REPAIR_DONE, "\"held\"");
  /* The first read was stale: the second one shows that, and nothing is written. */
  check_repair (newer, 0, NULL, MT_REPAIR_NOT_NEEDED, "\"newer\"");
  check_repair (fork, 0, NULL, MT_REPAIR_NOT_NEEDED, "\"fork\"");
  check_repair ("not tables", 0, NULL, MT_REPAIR_NOT_NEEDED, "not tables");
  /* An edit is written between the second read and the write: it must be kept. */
  check_repair (older, 2, newer, MT_REPAIR_CONFLICT, "\"newer\"");
  check_repair (NULL, 2, newer, MT_REPAIR_CONFLICT, "\"newer\"");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_acceptance_never_reverts),
    cmocka_unit_test (test_restored_store_is_repaired),
  };

  return cmocka_run_group_tests_name ("acceptance", tests, NULL, NULL);
}
