#include "pool_keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static void
check_read (const char *text, const char *workspace)
{
  struct mt_pool_submission read;

  assert_true (mt_pool_submission_unpack (mt_str_from (text), &read));
  assert_string_equal (read.route, "quotes");
  assert_string_equal (read.workspace, workspace);
  assert_int_equal (read.accepted_ms, 1781923329000);
  assert_true (mt_str_equal (read.body, MT_STR ("{\"steps\":\n[]}")));
  mt_pool_submission_clear (&read);
}

static void
test_submission_is_read_as_it_was_written (void **state)
{
  struct mt_pool_submission written = { .route = (char *) "quotes",
                                        .workspace = (char *) "yard",
                                        .accepted_ms = 1781923329000,
                                        .body = MT_STR ("{\"steps\":\n[]}") };
  size_t len = 0;
  g_autofree char *value = mt_pool_submission_pack (&written, &len);

  assert_int_equal (strlen (value), len);
  check_read (value, "yard");
  check_read ("quotes\n1781923329000 \n{\"steps\":\n[]}", "");
}

/* Guards against jobs lost in a rolling upgrade: an older daemon's values name no workspace. */
static void
test_submission_of_an_older_daemon_is_nobodys (void **state)
{
  check_read ("quotes\n1781923329000\n{\"steps\":\n[]}", "");
}

static void
test_what_is_no_submission_is_refused (void **state)
{
  static const char *const texts[] = { "", "quotes", "quotes\n", "quotes\n178" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct mt_pool_submission read;

      assert_false (mt_pool_submission_unpack (mt_str_from (texts[i]), &read));
      mt_pool_submission_clear (&read);
    }
}

/* Guards against one workspace reading or cancelling another's jobs. */
static void
test_job_is_seen_by_its_own_workspace_only (void **state)
{
  assert_true (mt_pool_job_is_visible ("yard", "yard"));
  assert_false (mt_pool_job_is_visible ("yard", "press"));
  assert_false (mt_pool_job_is_visible ("yard", ""));
  assert_true (mt_pool_job_is_visible ("", "press"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_submission_is_read_as_it_was_written),
    cmocka_unit_test (test_submission_of_an_older_daemon_is_nobodys),
    cmocka_unit_test (test_what_is_no_submission_is_refused),
    cmocka_unit_test (test_job_is_seen_by_its_own_workspace_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
