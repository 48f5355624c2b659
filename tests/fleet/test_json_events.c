#include "json_events.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static void
on_value (void *ctx, const struct mt_json_event *event)
{
  static const char kinds[] = "{[sidt-";

  g_string_append_printf (ctx, "%u%c%.*s", event->depth, kinds[event->kind],
                          MT_STR_ARG (event->key));
  if (event->kind == MT_JSON_STRING)
    g_string_append_printf (ctx, "=%.*s", MT_STR_ARG (event->text));
  if (event->kind == MT_JSON_INTEGER || event->kind == MT_JSON_DOUBLE)
    g_string_append_printf (ctx, "=%" G_GINT64_FORMAT "/%g", event->integer, event->number);
  g_string_append_c (ctx, ' ');
}

static void
on_end (void *ctx, unsigned depth, size_t offset)
{
  g_string_append_printf (ctx, "%u@%zu ", depth, offset);
}

static bool
read_text (const char *text, GString *out)
{
  return mt_json_read (mt_str_from (text), &(struct mt_json_reader){ on_value, on_end, out });
}

static void
test_values_are_reported_with_keys_and_depths (void **state)
{
  g_autoptr (GString) out = g_string_new (NULL);

  assert_true (read_text ("{\"a\":[1,\"x\\/y\",{\"b\":2.5}],\"c\":true,\"d\":null} rest", out));
  assert_string_equal (out->str, "0{ 1[a 2i=1/1 2s=x/y 2{ 3db=2/2.5 2@24 1@25 1tc 1-d 0@44 ");
}

static void
test_other_texts_are_refused (void **state)
{
  static const char *const texts[] = { "", "[]", "1", "{", "{\"a\":}", "{\"a\":[1,}", "nonsense" };
  g_autoptr (GString) out = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_false (read_text (texts[i], out));
}

/* Guards against a text that exhausts the stack or the memory by its nesting. */
static void
test_deep_nesting_is_refused (void **state)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_autofree char *deep = g_strnfill (100000, '[');
  g_autofree char *text = g_strconcat ("{\"a\":", deep, NULL);

  assert_false (read_text (text, out));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_values_are_reported_with_keys_and_depths),
    cmocka_unit_test (test_other_texts_are_refused),
    cmocka_unit_test (test_deep_nesting_is_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
