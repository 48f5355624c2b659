#include "medlartrack/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <jansson.h>

/* Installs the log writer, which GLib allows once per process, and captures standard error. */
static int saved_stderr;
static FILE *captured;

static int
setup (void **state)
{
  mt_log_setup (MT_LOG_JSON, MT_LOG_INFO, "d\n1");
  captured = tmpfile ();
  saved_stderr = dup (STDERR_FILENO);
  return dup2 (fileno (captured), STDERR_FILENO) < 0;
}

static int
teardown (void **state)
{
  dup2 (saved_stderr, STDERR_FILENO);
  close (saved_stderr);
  fclose (captured);
  return 0;
}

static json_t *
next_line (void)
{
  char line[8192];

  if (fgets (line, sizeof line, captured) == NULL)
    return NULL;
  return json_loads (line, JSON_REJECT_DUPLICATES, NULL);
}

/* Guards against lost or forged events when an event quotes arbitrary bytes from a caller: each
 * event must be one line of valid JSON. */
static void
test_log_lines_are_json_for_any_bytes (void **state)
{
  static const char *const details[]
      = { "plain",        "quote \" and \\", "line\nbreak\r", "\xff\xfe not utf-8",
          "cut \xe2\x82", "\x01\x1f" };
  g_autofree char *longest = g_strnfill (5000, 'x');
  const json_t *line;

  for (size_t i = 0; i < G_N_ELEMENTS (details); i++)
    mt_log_event (MT_EVENT_TABLES_REFUSED, "why=%s", details[i]);
  mt_log_event (MT_EVENT_TABLES_REFUSED, "why=%s", longest);
  mt_log_event (MT_EVENT_STOPPED, NULL);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_DEBUG, "MESSAGE", "%s", "below the level");
  rewind (captured);
  for (size_t i = 0; i < G_N_ELEMENTS (details) + 1; i++)
    {
      line = next_line ();
      assert_non_null (line);
      assert_string_equal (json_string_value (json_object_get (line, "event")), "4002");
      assert_true (g_str_has_prefix (json_string_value (json_object_get (line, "detail")), "why="));
      assert_string_equal (json_string_value (json_object_get (line, "process")), "d 1");
      json_decref ((json_t *) line);
    }
  line = next_line ();
  assert_string_equal (json_string_value (json_object_get (line, "event")), "1003");
  assert_string_equal (json_string_value (json_object_get (line, "level")), "info");
  json_decref ((json_t *) line);
  assert_null (next_line ());
}

static const char *
level_text (GLogLevelFlags level)
{
  if (level == G_LOG_LEVEL_CRITICAL)
    return "error";
  return level == G_LOG_LEVEL_WARNING ? "warning" : level == G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

/* docs/EVENTS.md must have one row for each event, with its name, level and text and an action for
 * the operator, and no rows for removed events. */
static void
test_events_page_matches_the_catalogue (void **state)
{
  g_autofree char *path = g_build_filename (g_getenv ("MT_SOURCE_ROOT"), "docs", "EVENTS.md", NULL);
  g_autofree char *page = NULL;
  unsigned rows = 0;
  unsigned events = 0;

  assert_true (g_file_get_contents (path, &page, NULL, NULL));
  for (const char *at = page; (at = strstr (at, "\n| ")) != NULL; at++)
    rows += g_ascii_isdigit (at[3]) ? 1 : 0;
  for (const struct mt_event_info *e = mt_event_catalogue (); e->id != 0; e++, events++)
    {
      g_autofree char *row = g_strdup_printf ("\n| %d | %s | %s | %s | ", e->id, e->name,
                                              level_text (e->level), e->text);
      const char *found = strstr (page, row);

      if (found == NULL || g_ascii_isspace (found[strlen (row)]) || found[strlen (row)] == '|')
        fail_msg ("docs/EVENTS.md lacks the row, or its advice:%s", row);
      for (const struct mt_event_info *other = e + 1; other->id != 0; other++)
        assert_int_not_equal (other->id, e->id);
    }
  assert_int_equal (rows, events);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_log_lines_are_json_for_any_bytes, setup, teardown),
    cmocka_unit_test (test_events_page_matches_the_catalogue),
  };

  return cmocka_run_group_tests_name ("log", tests, NULL, NULL);
}
