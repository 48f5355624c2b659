#include "medlartrack/error.h"
#include "medlartrack/tables.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define INSTANCE(name, port, zone, more)                                                           \
  "{\"name\":\"" name "\",\"address\":\"10.0.0.1:" port "\",\"zone\":\"" zone                      \
  "\",\"rack\":\"r1\"" more "}"
#define POOL(name, more, instances)                                                                \
  "{\"pool\":\"" name "\",\"service\":\"" name "\"" more ",\"instances\":[" instances "]}"
#define ROUTE(name, path, pool, more)                                                              \
  "{\"route\":\"" name "\",\"path\":\"" path "\",\"pool\":\"" pool "\",\"repeat\":\"safe\"" more "}"
#define TABLES(routes, pools) "{\"routes\":[" routes "],\"pools\":[" pools "]}"
#define THREE                                                                                      \
  INSTANCE ("a", "1", "west", "")                                                                  \
  "," INSTANCE ("b", "2", "west", "") "," INSTANCE ("c", "3", "west", "")
#define LEAVES ",\"leaving\":true"

struct bad_input
{
  const char *json;
  const char *expected[5]; /* texts that the error message must contain */
};

/* Guards against accepting mistakes of an edit by hand: the whole document must be rejected, with
 * the row, column, value and remedy in the error. */
static const struct bad_input bad_inputs[] = {
  { TABLES (ROUTE ("r", "/", "quots", ""), POOL ("quotes", "", THREE)),
    { "table routes", "row \"r\"", "column pool", "\"quots\"", "did you mean \"quotes\"?" } },
  { TABLES (ROUTE ("r", "/", "zzz", ""), POOL ("quotes", "", THREE)), { "\"zzz\"", "add it" } },
  { TABLES ("", POOL ("p", "", THREE) "," POOL ("p", "", "")), { "row \"p\"", "is used twice" } },
  { TABLES (ROUTE ("r", "/a", "p", "") "," ROUTE ("r", "/b", "p", ""), POOL ("p", "", THREE)),
    { "table routes", "row \"r\"", "is used twice" } },
  { TABLES ("", POOL ("p", "", THREE) "," POOL ("q", "", INSTANCE ("a", "9", "west", ""))),
    { "row \"q\"", "instances.name", "\"a\"", "row \"p\" lists it too", "exactly one pool" } },
  { TABLES ("", POOL ("p", "", THREE) "," POOL ("q", "", INSTANCE ("z", "1", "west", ""))),
    { "instances.address", "\"10.0.0.1:1\"", "row \"p\"" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "080", "west", ""))), { "address", "IP:PORT" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "70000", "west", ""))), { "address", "65535" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "0", "west", ""))), { "address", "1 to 65535" } },
  { TABLES ("",
            "{\"pool\":\"p\",\"service\":\"s\",\"instances\":[{\"name\":\"a\",\"address\":"
            "\"host.example:80\",\"zone\":\"w\",\"rack\":\"r\"}]}"),
    { "row \"a\"", "address", "\"host.example:80\"", "numeric IP" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "1", "we/st", ""))), { "zone", "letters, digits" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "1", "west", ",\"slots\":16"))),
    { "row \"a\"", "slots", "16", "from 1 to 8" } },
  { TABLES ("", POOL ("p", "", INSTANCE ("a", "1", "west", ",\"connections\":65"))),
    { "connections", "65", "from 1 to 64" } },
  { TABLES ("", POOL ("p", ",\"max_unavailabel\":2", THREE)),
    { "max_unavailabel", "did you mean \"max_unavailable\"?" } },
  { "{\"routes\":[],\"pools\":[],\"pools\":[]}", { "line 1", "duplicate" } },
  { "{\"routes\":[],\"pools\":[{\"pool\":\"p\",\"pool\":\"q\"}]}", { "duplicate" } },
  { TABLES (ROUTE ("r", "/a", "p", "") "," ROUTE ("s", "/a/", "p", ""), POOL ("p", "", THREE)),
    { "row \"s\"", "column path", "row \"r\"", "shadow" } },
  { TABLES (ROUTE ("r", "/a", "p", ",\"method\":\"get\""), POOL ("p", "", THREE)),
    { "method", "\"get\"", "capitals" } },
  { TABLES (ROUTE ("r", "a", "p", ""), POOL ("p", "", THREE)), { "path", "start it with" } },
  { TABLES (ROUTE ("r", "/a?b", "p", ""), POOL ("p", "", THREE)), { "path", "leave out" } },
  { TABLES (ROUTE ("r", "/a", "p", ",\"audience_header\":\"X Y\""), POOL ("p", "", THREE)),
    { "audience_header", "name of an HTTP header" } },
  { TABLES (ROUTE ("r", "/a", "p", ""), POOL ("p", "", "")),
    { "no instance that is not leaving" } },
  { TABLES (ROUTE ("r", "/a", "p", ""),
            POOL ("p", ",\"min_instances\":0", INSTANCE ("a", "1", "west", LEAVES))),
    { "no instance that is not leaving" } },
  { TABLES ("", POOL ("p", ",\"spare\":true", THREE) "," POOL ("q", ",\"spare\":true", "")),
    { "row \"q\"", "column spare", "limit 1 spare pool", "row \"p\"" } },
  { TABLES ("", POOL ("p", ",\"min_instances\":3,\"max_instances\":2", THREE)),
    { "min_instances", "\"3\"", "limit 2", "raise max_instances" } },
  { TABLES ("", POOL ("p", ",\"max_instances\":2", THREE)), { "instances", "\"3\"", "limit 2" } },
  { TABLES ("", POOL ("p", ",\"min_instances\":4", THREE)),
    { "min_instances", "\"4\"", "limit 3", "data centre \"west\"", "add instances" } },
  { TABLES ("", POOL ("p", ",\"min_instances\":3,\"wave\":{\"id\":\"w\"}", THREE)),
    { "min_instances", "\"3\"", "limit 2", "no drain could begin" } },
  { TABLES ("",
            POOL ("p",
                  "",
                  INSTANCE ("a", "1", "west", LEAVES) "," INSTANCE (
                      "b", "2", "west", LEAVES) "," INSTANCE ("c", "3", "west", ""))),
    { "instances.leaving", "\"2\"", "limit 1", "let fewer leave" } },
  { TABLES ("",
            POOL ("p",
                  ",\"min_instances\":3",
                  INSTANCE ("a", "1", "west", LEAVES) "," INSTANCE (
                      "b", "2", "west", "") "," INSTANCE ("c", "3", "west", ""))),
    { "min_instances", "\"3\"", "limit 2", "keep more of them" } },
  { TABLES ("",
            POOL ("p", ",\"min_instances\":2", INSTANCE ("a", "1", "west", "")) "," POOL (
                "q",
                ",\"min_instances\":2",
                INSTANCE ("b", "2", "west", "")) "," POOL ("s",
                                                           ",\"spare\":true,\"min_instances\":0",
                                                           INSTANCE ("c", "3", "west", ""))),
    { "row \"q\"", "min_instances", "\"4\"", "limit 3", "sum" } },
  { "{\"routes\":[],\"pools\":[{\"pool\":\"p\",\"service\":\"s\"},{\"pool\":\"q\",\"service\":"
    "\"s\",\"max_unavailable\":2}]}",
    { "row \"q\"", "max_unavailable", "limit 1", "one budget" } },
  { TABLES ("", POOL ("p", ",\"move_weight\":-1", "")), { "move_weight", "-1", "from 0" } },
  { "{\"version\":9223372036854775807,\"routes\":[],\"pools\":[]}", { "version" } },
  { TABLES ("", POOL ("p\\n", "", "")), { "control characters" } },
};

static void
test_bad_tables_are_rejected_with_their_location (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_inputs); i++)
    {
      g_autoptr (GError) error = NULL;
      struct mt_tables *tables = mt_tables_parse (mt_str_from (bad_inputs[i].json), &error);

      if (tables != NULL)
        fail_msg ("taken: %s", bad_inputs[i].json);
      for (size_t k = 0; k < 5 && bad_inputs[i].expected[k] != NULL; k++)
        if (strstr (error->message, bad_inputs[i].expected[k]) == NULL)
          fail_msg ("\"%s\" is not in: %s", bad_inputs[i].expected[k], error->message);
    }
}

static struct mt_tables *
parse (const char *json)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse (mt_str_from (json), &error);

  if (tables == NULL)
    fail_msg ("%s", error->message);
  return tables;
}

/* Guards against accepting a document that the platform can't store: 900 KB without defaults become
 * more than 1 MB with them. */
static void
test_size_limit_includes_defaults (void **state)
{
  g_autoptr (GString) json = g_string_new ("{\"routes\":[],\"pools\":[{\"pool\":\"p\",\"service\":"
                                           "\"s\",\"max_unavailable\":10000,\"instances\":[");
  g_autoptr (GError) error = NULL;

  for (unsigned i = 0; json->len < 900000; i++)
    g_string_append_printf (json,
                            "%s{\"name\":\"%u\",\"address\":\"10.0.%u.%u:1\",\"zone\":\"z\","
                            "\"rack\":\"r\"}",
                            i > 0 ? "," : "", i, i / 250, i % 250);
  g_string_append (json, "]}]}");
  assert_null (mt_tables_parse ((struct mt_str){ json->str, json->len }, &error));
  assert_int_equal (error->code, MT_ERROR_LIMIT);
  assert_non_null (strstr (error->message, "limit 1000000"));
}

/* min_instances above a pool's own number of instances is met by instances of the spare pool. */
static void
test_spare_instances_count_for_min_instances (void **state)
{
  struct mt_tables *tables = parse (TABLES (
      "", POOL ("p", ",\"min_instances\":3,\"wave\":{\"id\":\"w\"}", THREE) "," POOL (
              "s", ",\"spare\":true,\"min_instances\":0", INSTANCE ("d", "4", "west", ""))));
  g_autoptr (GPtrArray) warnings = mt_tables_warnings (tables);

  assert_int_equal (warnings->len, 1);
  assert_non_null (strstr (warnings->pdata[0], "rack west/r1 has 3 instances"));
  mt_tables_destroy (tables);
}

/* Guards against an edit that removes the last instance of a pool from one data centre while others
 * have some: each table is valid, but all callers in that data centre would be refused. */
static void
test_change_may_not_empty_a_data_centre (void **state)
{
  static const char *const east[] = { "east", NULL };
  struct mt_tables *before = parse (TABLES (
      ROUTE ("r", "/", "p", ""), POOL ("p", "", THREE "," INSTANCE ("e", "5", "east", ""))));
  struct mt_tables *after = parse (TABLES (ROUTE ("r", "/", "p", ""), POOL ("p", "", THREE)));
  g_autoptr (GError) error = NULL;

  assert_false (mt_tables_check_change (before, after, NULL, &error));
  assert_non_null (strstr (error->message, "data centre \"east\""));
  assert_non_null (strstr (error->message, "--empty east"));
  assert_true (mt_tables_check_change (before, after, east, NULL));
  assert_true (mt_tables_check_change (after, before, NULL, NULL));
  assert_true (mt_tables_check_change (NULL, after, NULL, NULL));
  mt_tables_destroy (before);
  mt_tables_destroy (after);
}

static void
test_diff_names_row_and_column (void **state)
{
  struct mt_tables *before = parse (TABLES (ROUTE ("r", "/", "p", ""), POOL ("p", "", THREE)));
  struct mt_tables *after = parse (
      TABLES (ROUTE ("r", "/x", "p", ""), POOL ("p", "", INSTANCE ("a", "1", "west", "")) "," POOL (
                                              "q", "", INSTANCE ("b", "2", "west", ""))));
  g_autofree char *diff = mt_tables_diff (before, after);
  g_autofree char *none = mt_tables_diff (before, before);

  assert_string_equal (none, "[]");
  assert_non_null (strstr (diff, "{\"table\":\"routes\",\"row\":\"r\",\"change\":\"changed\","
                                 "\"columns\":{\"path\":{\"from\":\"/\",\"to\":\"/x\"}}}"));
  assert_non_null (strstr (diff, "\"row\":\"q\",\"change\":\"added\""));
  assert_non_null (strstr (diff, "\"row\":\"b\",\"change\":\"changed\",\"columns\":{\"pool\":{"
                                 "\"from\":\"p\",\"to\":\"q\"}}"));
  assert_non_null (strstr (diff, "\"row\":\"c\",\"change\":\"removed\""));
  mt_tables_destroy (before);
  mt_tables_destroy (after);
}

/* Each accepted edit is recorded in the document, so that a later operator can be shown the changes
 * since the version that their edit started from, without another call to the platform. */
static void
test_change_log_has_edits_since_a_version (void **state)
{
  struct mt_tables *now = parse (TABLES ("", POOL ("p0", "", "")));
  g_autofree char *since = NULL;
  g_autofree char *lost = NULL;

  for (unsigned i = 1; i <= 20; i++)
    {
      g_autofree char *json = g_strdup_printf (TABLES ("", POOL ("p%u", "", "")), i, i);
      g_autofree char *id = g_strdup_printf ("id-%u", i);
      struct mt_tables *wanted = parse (json);
      g_autofree char *text = mt_tables_format_next (now, wanted, i, id);

      mt_tables_destroy (wanted);
      mt_tables_destroy (now);
      now = parse (text);
    }
  since = mt_tables_changes_since (now, 18);
  lost = mt_tables_changes_since (now, 3);
  assert_non_null (strstr (since, "\"id\":\"id-19\""));
  assert_non_null (strstr (since, "\"row\":\"p20\",\"change\":\"added\""));
  assert_null (strstr (since, "id-18"));
  assert_null (lost);
  assert_true (mt_tables_descends_from (now, "id-17"));
  assert_false (mt_tables_descends_from (now, "id-2"));
  mt_tables_destroy (now);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bad_tables_are_rejected_with_their_location),
    cmocka_unit_test (test_size_limit_includes_defaults),
    cmocka_unit_test (test_spare_instances_count_for_min_instances),
    cmocka_unit_test (test_change_may_not_empty_a_data_centre),
    cmocka_unit_test (test_diff_names_row_and_column),
    cmocka_unit_test (test_change_log_has_edits_since_a_version),
  };

  return cmocka_run_group_tests_name ("tables", tests, NULL, NULL);
}
