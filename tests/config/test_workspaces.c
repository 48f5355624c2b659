#include "medlartrack/workspaces.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const struct mt_resources no_limit;

static struct mt_workspaces *
two_workspaces (void)
{
  struct mt_workspaces *list = mt_workspaces_create ();

  assert_true (mt_workspaces_add (list, "yard", &(struct mt_resources){ .cpu = 4000 }, 12, NULL));
  assert_true (mt_workspaces_add_key (list, "key-of-the-yard", NULL));
  assert_true (mt_workspaces_add_key (list, "second-key-of-the-yard", NULL));
  assert_true (mt_workspaces_add (list, "press", &no_limit, 0, NULL));
  assert_true (mt_workspaces_add_key (list, "key-of-the-press", NULL));
  return list;
}

static void
test_key_finds_its_workspace (void **state)
{
  struct mt_workspaces *list = two_workspaces ();

  assert_int_equal (mt_workspaces_count (list), 2);
  assert_string_equal (mt_workspaces_by_key (list, "second-key-of-the-yard")->name, "yard");
  assert_string_equal (mt_workspaces_by_key (list, "key-of-the-press")->name, "press");
  assert_int_equal (mt_workspaces_at (list, 0)->quota.cpu, 4000);
  assert_int_equal (mt_workspaces_at (list, 0)->weight, 12);
  assert_int_equal (mt_workspaces_at (list, 0)->n_keys, 2);
  mt_workspaces_destroy (list);
}

/* Guards against admitting a caller whose key belongs to no workspace. */
static void
test_unknown_key_finds_no_workspace (void **state)
{
  struct mt_workspaces *list = two_workspaces ();
  g_autofree char *huge = g_strnfill (1000000, 'k');

  assert_null (mt_workspaces_by_key (list, NULL));
  assert_null (mt_workspaces_by_key (list, ""));
  assert_null (mt_workspaces_by_key (list, "yard"));
  assert_null (mt_workspaces_by_key (list, "key-of-the-yard "));
  assert_null (mt_workspaces_by_key (list, "key-of-the-yar"));
  assert_null (mt_workspaces_by_key (list, huge));
  mt_workspaces_destroy (list);
}

/* Guards against jobs charged to the wrong workspace, and against keys shown in errors. */
static void
test_key_of_two_workspaces_is_rejected_and_not_shown (void **state)
{
  struct mt_workspaces *list = two_workspaces ();
  g_autoptr (GError) error = NULL;

  assert_true (mt_workspaces_add_key (list, "key-of-the-press", NULL));
  assert_false (mt_workspaces_add_key (list, "key-of-the-yard", &error));
  assert_non_null (strstr (error->message, "\"press\""));
  assert_non_null (strstr (error->message, "\"yard\""));
  assert_null (strstr (error->message, "key-of-the-yard"));
  mt_workspaces_destroy (list);
}

static void
test_bad_rows_name_the_workspace_and_the_remedy (void **state)
{
  g_autofree char *huge = g_strnfill (1000000, 'k');
  const char *const names[] = { NULL, "", "two words", "line\nend", huge };
  struct mt_workspaces *list = two_workspaces ();

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_false (mt_workspaces_add (list, names[i], &no_limit, 0, &error));
      assert_non_null (strstr (error->message, "workspace 3"));
      assert_true (strlen (error->message) < 200);
    }
  assert_false (mt_workspaces_add (list, "yard", &no_limit, 0, NULL));
  assert_false (mt_workspaces_add (list, "x", &(struct mt_resources){ .mem = -1 }, 0, NULL));
  assert_false (mt_workspaces_add (list, "x", &no_limit, -1, NULL));
  assert_false (mt_workspaces_add_key (list, "", NULL));
  assert_false (mt_workspaces_add_key (list, NULL, NULL));
  assert_false (mt_workspaces_add_key (list, huge, NULL));
  assert_int_equal (mt_workspaces_count (list), 2);
  mt_workspaces_destroy (list);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_finds_its_workspace),
    cmocka_unit_test (test_unknown_key_finds_no_workspace),
    cmocka_unit_test (test_key_of_two_workspaces_is_rejected_and_not_shown),
    cmocka_unit_test (test_bad_rows_name_the_workspace_and_the_remedy),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
