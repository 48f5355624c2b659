/* Checks that the operators' pages document every column, settings key, option, command and exit
 * code of the code. */
#include "commands.h"
#include "settings_internal.h"
#include "tables_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static char *
read_page (const char *folder, const char *name)
{
  g_autofree char *path = g_build_filename (g_getenv ("MT_SOURCE_ROOT"), folder, name, NULL);
  char *text = NULL;

  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  return text;
}

static char *
describe_range (const struct mt_field *field)
{
  g_autofree char *choices = NULL;

  switch (field->kind)
    {
    case MT_FIELD_TEXT:
      return g_strdup (field->form != NULL ? field->form->name : "text");
    case MT_FIELD_COUNT:
      return g_strdup_printf ("whole number, %.10g to %.10g", field->min, field->max);
    case MT_FIELD_WEIGHT:
      return g_strdup_printf ("number, %.10g to %.10g", field->min, field->max);
    case MT_FIELD_FLAG:
      return g_strdup ("true or false");
    case MT_FIELD_CHOICE:
      choices = g_strjoinv (", ", (gchar **) field->choices);
      return g_strdup_printf ("one of %s", choices);
    }
  return NULL;
}

static char *
describe_default (const struct mt_field *field)
{
  if (field->required)
    return g_strdup ("required");
  switch (field->kind)
    {
    case MT_FIELD_TEXT:
      return g_strdup (field->text != NULL ? field->text : "none");
    case MT_FIELD_FLAG:
      return g_strdup ("false");
    case MT_FIELD_CHOICE:
      return g_strdup (field->choices[(int) field->fallback]);
    case MT_FIELD_COUNT:
    case MT_FIELD_WEIGHT:
      break;
    }
  return g_strdup_printf ("%.10g", field->fallback);
}

/* Returns the text under a heading, up to the next heading. */
static char *
find_section (const char *page, const char *heading)
{
  g_autofree char *line = g_strdup_printf ("\n### %s\n", heading);
  const char *start = strstr (page, line);
  const char *end;

  if (start == NULL)
    {
      fail_msg ("docs/operators.md lacks the heading \"%s\"", heading);
      return NULL;
    }
  start += strlen (line);
  end = strstr (start, "\n#");
  return end != NULL ? g_strndup (start, (gsize) (end - start) + 1) : g_strdup (start);
}

static unsigned
count_rows (const char *section)
{
  unsigned rows = 0;

  for (const char *at = section; (at = strstr (at, "\n| `")) != NULL; at++)
    rows++;
  return rows;
}

static void
check_table_section (const char *page, const char *heading, const struct mt_field *fields)
{
  g_autofree char *section = find_section (page, heading);
  unsigned expected = 0;

  for (; fields->name != NULL; fields++, expected++)
    {
      g_autofree char *range = describe_range (fields);
      g_autofree char *fallback = describe_default (fields);
      g_autofree char *row
          = g_strdup_printf ("\n| `%s` | %s | %s | ", fields->name, range, fallback);

      if (strstr (section, row) == NULL)
        fail_msg ("docs/operators.md, \"%s\", lacks:%s", heading, row);
    }
  assert_int_equal (count_rows (section), expected);
}

static void
test_operators_page_names_every_column (void **state)
{
  static const char *const tables[] = { "routes", "pools", "instances", "wave", "teams", "jobs" };
  g_autofree char *page = read_page ("docs", "operators.md");

  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    check_table_section (page, tables[i], mt_tables_columns (tables[i]));
  check_table_section (page, "settings", mt_settings_fields (NULL));
  check_table_section (page, "settings, limits", mt_settings_fields ("limits"));
}

/* Runs a program of the build. Returns its exit status; *out is its standard output. */
static int
run (char **out, const char *program, const char *argument, const char *value)
{
  const char *argv[] = { g_getenv (program), argument, value, NULL };
  g_autofree char *dropped = NULL;
  int status = 0;

  assert_true (g_spawn_sync (NULL, (gchar **) argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, out,
                             &dropped, &status, NULL));
  return WEXITSTATUS (status);
}

/* Checks that the man page names each "--option" of --help, with its dashes escaped for troff. */
static void
check_man_page (const char *program, const char *page_name)
{
  g_autofree char *help = NULL;
  g_autofree char *page = read_page ("man", page_name);
  g_autoptr (GRegex) regex = g_regex_new ("--([a-z-]+)", 0, 0, NULL);
  g_autoptr (GMatchInfo) match = NULL;
  unsigned options = 0;

  assert_int_equal (run (&help, program, "--help", NULL), 0);
  for (g_regex_match (regex, help, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL), options++)
    {
      g_autofree char *name = g_match_info_fetch (match, 1);
      g_auto (GStrv) words = g_strsplit (name, "-", -1);
      g_autofree char *escaped = g_strjoinv ("\\-", words);
      g_autofree char *option = g_strdup_printf ("\\-\\-%s", escaped);

      if (strstr (page, option) == NULL)
        fail_msg ("man/%s lacks %s", page_name, option);
    }
  assert_true (options >= 4);
}

static void
test_man_pages_name_every_option (void **state)
{
  check_man_page ("MT_DAEMON", "medlartrackd.8");
  check_man_page ("MT_CTL", "medlartrackctl.1");
}

static void
test_pages_name_every_command (void **state)
{
  g_autofree char *page = read_page ("docs", "operators.md");
  g_autofree char *man = read_page ("man", "medlartrackctl.1");

  for (const struct mt_command *c = mt_commands (); c->name != NULL; c++)
    {
      const char *gap = c->argument != NULL ? " " : "";
      const char *argument = c->argument != NULL ? c->argument : "";
      g_autofree char *row = g_strdup_printf ("\n| `%s%s%s` | ", c->name, gap, argument);
      g_autofree char *entry = g_strdup_printf ("\n.B %s\n", c->name);

      if (strstr (page, row) == NULL)
        fail_msg ("docs/operators.md lacks:%s", row);
      if (strstr (man, entry) == NULL)
        fail_msg ("man/medlartrackctl.1 lacks:%s", entry);
    }
}

/* Checks that the page lists every exit code, and that the codes that can be provoked without a
 * platform are the documented ones. */
static void
test_exit_codes_are_as_documented (void **state)
{
  g_autofree char *page = read_page ("docs", "operators.md");
  g_autofree char *path = g_strdup ("/tmp/medlartrack-pages-XXXXXX");

  for (int code = MT_EXIT_OK; code <= MT_EXIT_UNKNOWN; code++)
    {
      g_autofree char *row = g_strdup_printf ("\n| %d | ", code);

      assert_non_null (strstr (page, row));
    }
  close (g_mkstemp (path));
  assert_true (g_file_set_contents (path, "{\"routes\":[]}", -1, NULL));
  assert_int_equal (run (NULL, "MT_CTL", "check", path), MT_EXIT_REFUSED);
  assert_int_equal (run (NULL, "MT_DAEMON", "--check-settings", path), 2);
  unlink (path);
  assert_int_equal (run (NULL, "MT_CTL", "check", path), MT_EXIT_USAGE);
  assert_int_equal (run (NULL, "MT_CTL", "--platform=host:80", "show"), MT_EXIT_USAGE);
  assert_int_equal (run (NULL, "MT_CTL", "chekc", path), MT_EXIT_USAGE);
  assert_int_equal (run (NULL, "MT_DAEMON", "--settings", path), 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_operators_page_names_every_column),
    cmocka_unit_test (test_man_pages_name_every_option),
    cmocka_unit_test (test_pages_name_every_command),
    cmocka_unit_test (test_exit_codes_are_as_documented),
  };

  return cmocka_run_group_tests_name ("pages", tests, NULL, NULL);
}
