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
test_submission_round_trip (void **state)
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

/* Guards against jobs lost in a rolling upgrade: values from an older daemon name no workspace. */
static void
test_submission_of_older_daemon_has_no_owner (void **state)
{
  check_read ("quotes\n1781923329000\n{\"steps\":\n[]}", "");
}

static void
test_invalid_submission_is_refused (void **state)
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
test_job_is_visible_to_its_owner_only (void **state)
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
    cmocka_unit_test (test_submission_round_trip),
    cmocka_unit_test (test_submission_of_older_daemon_has_no_owner),
    cmocka_unit_test (test_invalid_submission_is_refused),
    cmocka_unit_test (test_job_is_visible_to_its_owner_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
