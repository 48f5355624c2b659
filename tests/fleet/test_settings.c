#include "settings.h"

#include "medlartrack/forecast.h"

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

#define WITH(more)                                                                                 \
  "{\"name\":\"d\",\"zone\":\"z\",\"listen\":\"127.0.0.1:1\",\"ready_listen\":\"127.0.0.1:2\","    \
  "\"ip\":\"127.0.0.1\",\"peer_port\":0,\"store\":\"127.0.0.1:3\"" more "}"

/* Guards against a forecast that is in use without having been asked for. */
static void
test_forecast_is_none_by_default (void **state)
{
  struct mt_fleet_settings *s = mt_fleet_settings_parse (MT_STR (WITH ("")), NULL);

  assert_non_null (s);
  assert_true (mt_forecast_method_is_none (mt_forecast_method_at ((size_t) s->forecast)));
  assert_true (s->idle_cost == 0.1);
  mt_fleet_settings_destroy (s);
}

/* Guards against a setting that selects another method than the one it names. */
static void
test_forecast_setting_selects_the_method_of_its_name (void **state)
{
  for (size_t i = 0; mt_forecast_method_at (i) != NULL; i++)
    {
      const char *name = mt_forecast_method_name (mt_forecast_method_at (i));
      g_autofree char *text = g_strdup_printf (WITH (",\"forecast\":\"%s\""), name);
      struct mt_fleet_settings *s = mt_fleet_settings_parse (mt_str_from (text), NULL);

      assert_non_null (s);
      assert_string_equal (mt_forecast_method_name (mt_forecast_method_at ((size_t) s->forecast)),
                           name);
      mt_fleet_settings_destroy (s);
    }
}

/* Guards against a mistyped method or cost that is taken for the default. */
static void
test_unknown_method_and_cost_are_rejected (void **state)
{
  static const char *const texts[] = { WITH (",\"forecast\":\"tides\""), WITH (",\"forecast\":1"),
                                       WITH (",\"idle_cost\":1.5"), WITH (",\"idle_cost\":-1") };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_null (mt_fleet_settings_parse (mt_str_from (texts[i]), &error));
      assert_non_null (strstr (error->message, i < 2 ? "forecast" : "idle_cost"));
    }
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
    cmocka_unit_test (test_forecast_is_none_by_default),
    cmocka_unit_test (test_forecast_setting_selects_the_method_of_its_name),
    cmocka_unit_test (test_unknown_method_and_cost_are_rejected),
    cmocka_unit_test (test_worker_speed_is_off_unless_set),
  };

  return cmocka_run_group_tests_name ("fleet_settings", tests, NULL, NULL);
}
