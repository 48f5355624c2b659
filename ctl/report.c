#include "report.h"

#include "medlartrack/error.h"

#include <string.h>

#define READ_CHUNK_BYTES 65536

static const char *
get_error_kind (const GError *error)
{
  static const char *const names[] = {
    [MT_ERROR_SYNTAX] = "syntax",
    [MT_ERROR_SETTINGS] = "settings",
    [MT_ERROR_TABLES] = "tables",
    [MT_ERROR_CONFLICT] = "conflict",
    [MT_ERROR_UNAVAILABLE] = "unavailable",
    [MT_ERROR_UNKNOWN] = "unknown",
    [MT_ERROR_TIMEOUT] = "timeout",
    [MT_ERROR_LIMIT] = "limit",
    [MT_ERROR_STALE] = "stale",
    [MT_ERROR_USAGE] = "usage",
  };

  if (error->domain != MT_ERROR || error->code < 0 || (size_t) error->code >= G_N_ELEMENTS (names))
    return "system";
  return names[error->code];
}

int
mt_report_error (const struct mt_command_context *context, const GError *error, int code)
{
  g_autofree char *message = g_utf8_make_valid (error->message, -1);

  fprintf (context->err, "medlartrackctl: %s\n", message);
  mt_report_json (context, json_pack ("{s{ss ss}}", "error", "kind", get_error_kind (error),
                                      "message", message));
  return code;
}

void
mt_report_json (const struct mt_command_context *context, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  fprintf (context->out, "%s\n", text);
  free (text);
  json_decref (root);
}

json_t *
mt_report_parse_json (char *text)
{
  json_t *root = text != NULL ? json_loads (text, 0, NULL) : NULL;

  g_free (text);
  return root != NULL ? root : json_null ();
}

json_t *
mt_report_warnings (const struct mt_tables *tables)
{
  g_autoptr (GPtrArray) warnings = mt_tables_warnings (tables);
  json_t *out = json_array ();

  for (guint i = 0; i < warnings->len; i++)
    json_array_append_new (out, json_string (warnings->pdata[i]));
  return out;
}

static bool
read_stdin (char **text, gsize *len)
{
  GString *all = g_string_new (NULL);
  char chunk[READ_CHUNK_BYTES];
  size_t n;

  /* Stops once the text exceeds the limit: the parser then refuses it for its length. */
  while (all->len <= MT_TABLES_MAX_BYTES && (n = fread (chunk, 1, sizeof chunk, stdin)) > 0)
    g_string_append_len (all, chunk, (gssize) n);
  *len = all->len;
  *text = g_string_free (all, FALSE);
  return ferror (stdin) == 0;
}

struct mt_tables *
mt_report_load_tables (const struct mt_command_context *context, const char *path, int *code)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize len = 0;
  struct mt_tables *tables;

  *code = MT_EXIT_USAGE;
  if (strcmp (path, "-") == 0)
    {
      if (!read_stdin (&text, &len))
        g_set_error_literal (&error, MT_ERROR, MT_ERROR_USAGE,
                             "standard input can't be read; give a file instead");
    }
  else
    g_file_get_contents (path, &text, &len, &error);
  if (error != NULL)
    {
      mt_report_error (context, error, *code);
      return NULL;
    }
  *code = MT_EXIT_REFUSED;
  tables = mt_tables_parse ((struct mt_str){ text, len }, &error);
  if (tables == NULL)
    mt_report_error (context, error, *code);
  return tables;
}

bool
mt_accepted_read (const struct mt_store *store, struct mt_accepted *accepted, GError **error)
{
  struct mt_store_value *value = &accepted->value;

  *accepted = (struct mt_accepted){ 0 };
  if (!store->ops->get (store->ctx, MT_TABLES_KEY, value, error))
    return false;
  if (value->found)
    accepted->tables
        = mt_tables_parse ((struct mt_str){ value->data, value->len }, &accepted->parse_error);
  return true;
}

void
mt_accepted_clear (struct mt_accepted *accepted)
{
  mt_store_value_clear (&accepted->value);
  mt_tables_destroy (accepted->tables);
  g_clear_error (&accepted->parse_error);
  accepted->tables = NULL;
}
