/* Any text is rejected with an error, or gives tables that are unchanged after formatting and
 * parsing, and that can become the next version after the accepted one. */
#include "fuzz.h"

#include "medlartrack/acceptance.h"

#include <string.h>

static struct mt_tables *
reparse (char *text)
{
  struct mt_tables *tables = mt_tables_parse (mt_str_from (text), NULL);

  g_free (text);
  g_assert (tables != NULL);
  return tables;
}

static void
check_next_versions (const struct mt_tables *tables)
{
  struct mt_tables *first = reparse (mt_tables_format_next (NULL, tables, 1, "first"));
  struct mt_tables *next = reparse (mt_tables_format_next (tables, first, 2, "next"));
  g_autofree char *since = mt_tables_changes_since (next, 1);
  g_autoptr (GPtrArray) warnings = mt_tables_warnings (next);

  g_assert (warnings != NULL);
  g_assert (mt_tables_same_rows (first, next));
  g_assert (since != NULL);
  g_assert (mt_tables_descends_from (next, "next"));
  g_assert (mt_tables_check_change (tables, next, NULL, NULL));
  g_assert (mt_acceptance_compare (first, next) == MT_ACCEPTANCE_NEWER);
  g_assert (mt_acceptance_compare (next, first) == MT_ACCEPTANCE_OLDER);
  mt_tables_destroy (first);
  mt_tables_destroy (next);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse ((struct mt_str){ (const char *) data, size }, &error);
  struct mt_tables *back;
  struct mt_tables *printed;

  g_assert ((tables == NULL) == (error != NULL));
  if (tables == NULL)
    {
      g_assert (g_utf8_validate (error->message, -1, NULL));
      return 0;
    }
  back = reparse (mt_tables_format (tables, tables->version, tables->id.data));
  printed = reparse (mt_tables_format_pretty (tables));
  g_assert (mt_tables_same_rows (tables, back));
  g_assert (mt_tables_same_rows (tables, printed));
  g_assert (back->version == tables->version && mt_str_equal (back->id, tables->id));
  g_assert (mt_str_equal (back->changes, tables->changes));
  check_next_versions (tables);
  mt_tables_destroy (printed);
  mt_tables_destroy (back);
  mt_tables_destroy (tables);
  return 0;
}
