#include "settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define REQUIRED                                                                                   \
  "\"name\":\"d\",\"zone\":\"z\",\"listen\":\"127.0.0.1:0\",\"ready_listen\":\"127.0.0.1:0\","     \
  "\"ip\":\"127.0.0.1\",\"peer_port\":0,\"store\":\"127.0.0.1:80\""

/* Guards against a fleet whose workspaces share in another way than the page says. */
static void
test_share_policy_is_floor_unless_set (void **state)
{
  struct mt_fleet_settings *settings = mt_fleet_settings_parse (MT_STR ("{" REQUIRED "}"), NULL);

  assert_true (mt_str_equal (settings->share_policy, MT_STR ("floor")));
  mt_fleet_settings_destroy (settings);
  settings = mt_fleet_settings_parse (MT_STR ("{" REQUIRED ",\"share_policy\":\"none\"}"), NULL);
  assert_true (mt_str_equal (settings->share_policy, MT_STR ("none")));
  mt_fleet_settings_destroy (settings);
}

/* Guards against a misspelt policy that is taken for the default. */
static void
test_unknown_share_policy_is_refused (void **state)
{
  g_autoptr (GError) error = NULL;

  assert_null (
      mt_fleet_settings_parse (MT_STR ("{" REQUIRED ",\"share_policy\":\"flor\"}"), &error));
  assert_non_null (strstr (error->message, "share_policy"));
  assert_non_null (strstr (error->message, "floor"));
}

/* Guards against deployments whose placing changes although they have not asked for it. */
static void
test_worker_speed_is_off_unless_set (void **state)
{
  struct mt_fleet_settings *settings = mt_fleet_settings_parse (MT_STR ("{" REQUIRED "}"), NULL);

  assert_false (settings->worker_speed);
  mt_fleet_settings_destroy (settings);
  settings = mt_fleet_settings_parse (MT_STR ("{" REQUIRED ",\"worker_speed\":true}"), NULL);
  assert_true (settings->worker_speed);
  mt_fleet_settings_destroy (settings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_share_policy_is_floor_unless_set),
    cmocka_unit_test (test_unknown_share_policy_is_refused),
    cmocka_unit_test (test_worker_speed_is_off_unless_set),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
