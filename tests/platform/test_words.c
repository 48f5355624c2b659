#include "adapter.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Rows of a configuration that lack a required member are skipped, the valid ones are used. Guards
 * also against leaking the skipped rows, which the sanitizers report: a daemon reads about 1,400
 * versions a day. */
static void
test_incomplete_rows_are_skipped (void **state)
{
  const char *text
      = "{\"version\":7,\"routes\":["
        "{\"host\":\"h.example\",\"prefix\":\"/a/\",\"service\":\"s\"},"
        "{\"name\":\"one\",\"host\":\"h.example\",\"prefix\":\"/b/\",\"service\":\"s\"},"
        "{\"name\":\"two\",\"host\":\"h.example\",\"service\":\"s\"}],"
        "\"services\":[{\"standby\":true},{\"name\":\"s\"}]}";
  struct mt_codec codec = mt_adapter_codec ();
  g_autoptr (GError) error = NULL;
  struct mt_fleet_config *config = codec.ops->parse_config (mt_str_from (text), &error);

  assert_null (error);
  assert_non_null (config);
  assert_int_equal (config->version, 7);
  assert_int_equal (mt_route_table_size (config->routes), 1);
  assert_string_equal (mt_route_table_get (config->routes, "h.example", "/b/")->name, "one");
  assert_int_equal (config->n_pools, 1);
  assert_string_equal (config->pools[0].name, "s");
  assert_false (config->pools[0].standby);
  mt_fleet_config_free (config);
}

/* A malformed configuration is refused with an error that states the remedy; the one in force
 * stays.
 */
static void
test_malformed_configuration_error_states_the_remedy (void **state)
{
  static const char *const texts[] = { "",
                                       "{",
                                       "[]",
                                       "{\"version\":3}",
                                       "{\"version\":3,\"routes\":{},\"services\":[]}",
                                       "{\"routes\":[],\"services\":[]}" };
  struct mt_codec codec = mt_adapter_codec ();

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_null (codec.ops->parse_config (mt_str_from (texts[i]), &error));
      assert_non_null (error);
      assert_non_null (strstr (error->message, "send all of it"));
    }
}

#define ROUTES                                                                                     \
  "{\"version\":7,\"routes\":[{\"name\":\"one\",\"prefix\":\"/a/\",\"service\":\"s\"},"            \
  "{\"name\":\"two\",\"prefix\":\"/b/\",\"service\":\"s\",\"auth-exempt\":true}],"                 \
  "\"services\":[{\"name\":\"s\"}]"

static void
test_workspaces_are_parsed_with_keys_and_quotas (void **state)
{
  struct mt_codec codec = mt_adapter_codec ();
  struct mt_fleet_config *config = codec.ops->parse_config (
      MT_STR (ROUTES ",\"tenants\":[{\"name\":\"yard\",\"api-keys\":[\"k1\","
                     "\"k2\"],\"weight\":12,\"cap\":{\"cpu\":4000,"
                     "\"mem-mb\":512,\"gpu\":0}},{\"name\":\"press\"}]}"),
      NULL);
  const struct mt_workspace *yard;

  assert_non_null (config);
  assert_false (mt_route_table_get (config->routes, NULL, "/a/")->allow_anonymous);
  assert_true (mt_route_table_get (config->routes, NULL, "/b/")->allow_anonymous);
  yard = mt_workspaces_by_key (config->workspaces, "k2");
  assert_string_equal (yard->name, "yard");
  assert_int_equal (yard->weight, 12);
  assert_int_equal (yard->quota.cpu, 4000);
  assert_int_equal (yard->quota.mem, 512);
  assert_null (mt_workspaces_by_key (config->workspaces, "k3"));
  mt_fleet_config_free (config);
  config = codec.ops->parse_config (MT_STR (ROUTES "}"), NULL);
  assert_null (config->workspaces);
  mt_fleet_config_free (config);
}

/* Guards against attributing callers to the wrong workspace: a configuration with ambiguous
 * workspaces is refused as a whole, and the one in force stays. The error contains no key. */
static void
test_malformed_workspaces_are_refused (void **state)
{
  static const char *const rows[]
      = { "{}",
          "7",
          "{\"name\":\"a\"},{\"name\":\"a\"}",
          "{\"name\":\"a\",\"api-keys\":[\"secret\"]},{\"name\":\"b\",\"api-keys\":[\"secret\"]}",
          "{\"name\":\"a\",\"api-keys\":[5]}",
          "{\"name\":\"a\",\"cap\":{\"cpu\":-1}}",
          "{\"name\":\"a\",\"weight\":-3}" };
  struct mt_codec codec = mt_adapter_codec ();

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf (ROUTES ",\"tenants\":[%s]}", rows[i]);
      g_autoptr (GError) error = NULL;

      assert_null (codec.ops->parse_config (mt_str_from (text), &error));
      assert_non_null (strstr (error->message, "workspace"));
      assert_null (strstr (error->message, "secret"));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_workspaces_are_parsed_with_keys_and_quotas),
    cmocka_unit_test (test_malformed_workspaces_are_refused),
    cmocka_unit_test (test_incomplete_rows_are_skipped),
    cmocka_unit_test (test_malformed_configuration_error_states_the_remedy),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
