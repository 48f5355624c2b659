#include "medlartrack/error.h"
#include "medlartrack/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define NEEDED                                                                                     \
  "\"name\":\"d1\",\"zone\":\"west\",\"listen\":\"127.0.0.1:0\",\"peer_listen\":\"127.0.0.1:0\","  \
  "\"platform\":\"127.0.0.1:8500\""
#define WITH(more) "{" NEEDED "," more "}"

struct bad_input
{
  const char *json;
  const char *expected[4]; /* key, value found, range and remedy */
};

static const struct bad_input bad_inputs[] = {
  { "", { "settings", "line 1", "fix the JSON" } },
  { "[]", { "settings", "write an object" } },
  { "{}", { "settings, name", "found nothing", "it is required" } },
  { WITH ("\"name\":\"d2\""), { "line 1", "duplicate" } },
  { WITH ("\"limit\":{}"), { "limit:", "no such key", "did you mean \"limits\"?" } },
  { WITH ("\"qqqqqqqqqqqqqqqq\":1"), { "qqqqqqqqqqqqqqqq", "found 1", "remove it" } },
  { WITH ("\"log\":\"xml\""), { "log", "\"xml\"", "one of \"human\", \"json\"" } },
  { WITH ("\"log_level\":\"loud\""), { "log_level", "\"loud\"", "\"debug\", \"info\"" } },
  { WITH ("\"log_level\":1"), { "log_level", "found 1" } },
  { WITH ("\"peers\":\"127.0.0.1:1\""), { "peers", "write a list" } },
  { WITH ("\"peers\":[7]"), { "peers", "found 7", "IP:PORT" } },
  { WITH ("\"peers\":[\"host:1\"]"), { "peers", "\"host:1\"", "numeric IP" } },
  { WITH ("\"peers\":[\"127.0.0.1:0\"]"), { "peers", "port 1 to 65535" } },
  { WITH ("\"peers\":[\"10.0.0.1:1\",\"10.0.0.1:1\"]"), { "peers", "10.0.0.1:1", "twice" } },
  { WITH ("\"limits\":7"), { "settings, limits", "found 7", "write an object" } },
  { WITH ("\"limits\":{\"connections\":0}"),
    { "limits, connections", "found 0", "from 1 to 20000" } },
  { WITH ("\"limits\":{\"connections\":1.5}"), { "connections", "found 1.5", "whole number" } },
  { WITH ("\"limits\":{\"idle_s\":\"30\"}"), { "idle_s", "\"30\"", "from 1 to 3600" } },
  { WITH ("\"limits\":{\"body_bytes\":-1}"), { "body_bytes", "found -1", "from 0 to 64000000" } },
  { WITH ("\"limits\":{\"platform_ms\":99999999999999999999}"), { "line 1", "fix the JSON" } },
  { WITH ("\"limits\":{\"conections\":7}"), { "conections", "did you mean \"connections\"?" } },
  { "{\"name\":\"d 1\",\"zone\":\"west\",\"listen\":\"127.0.0.1:0\"}",
    { "settings, name", "\"d 1\"", "letters, digits" } },
  { "{\"name\":\"d1\",\"zone\":\"we/st\",\"listen\":\"127.0.0.1:0\"}",
    { "settings, zone", "\"we/st\"", "letters, digits" } },
  { "{\"name\":\"d1\",\"zone\":\"west\",\"listen\":\"localhost:80\"}",
    { "settings, listen", "\"localhost:80\"", "numeric IP" } },
  { "{\"name\":\"d1\",\"zone\":\"west\",\"listen\":\"127.0.0.1:65536\"}",
    { "settings, listen", "65535" } },
  { "{\"name\":\"d1\",\"zone\":\"west\",\"listen\":\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:1\","
    "\"platform\":\"127.0.0.1:2\"}",
    { "peer_listen", "\"127.0.0.1:1\"", "listen has the same address" } },
  { "{\"name\":\"d1\",\"zone\":\"west\",\"listen\":\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:2\","
    "\"platform\":\"127.0.0.1:0\"}",
    { "settings, platform", "\"127.0.0.1:0\"", "port 1 to 65535" } },
  { "{\"name\":\"\",\"zone\":\"west\"}", { "settings, name", "1 to 200 bytes" } },
};

static void
test_bad_settings_are_rejected_with_their_key (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_inputs); i++)
    {
      g_autoptr (GError) error = NULL;
      struct mt_settings *settings = mt_settings_parse (mt_str_from (bad_inputs[i].json), &error);

      if (settings != NULL)
        fail_msg ("taken: %s", bad_inputs[i].json);
      for (size_t k = 0; k < 4 && bad_inputs[i].expected[k] != NULL; k++)
        if (strstr (error->message, bad_inputs[i].expected[k]) == NULL)
          fail_msg ("\"%s\" is not in: %s", bad_inputs[i].expected[k], error->message);
    }
}

static void
test_settings_have_defaults (void **state)
{
  struct mt_settings *settings
      = mt_settings_parse (MT_STR (WITH ("\"peers\":[\"10.0.0.1:7\",\"10.0.0.2:7\"]")), NULL);

  assert_non_null (settings);
  assert_int_equal (settings->log, MT_LOG_HUMAN);
  assert_int_equal (settings->log_level, MT_LOG_INFO);
  assert_int_equal (settings->limits.connections, 1024);
  assert_int_equal (settings->n_peers, 2);
  assert_string_equal (settings->peers[1].data, "10.0.0.2:7");
  mt_settings_destroy (settings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bad_settings_are_rejected_with_their_key),
    cmocka_unit_test (test_settings_have_defaults),
  };

  return cmocka_run_group_tests_name ("settings", tests, NULL, NULL);
}
