#include "report.h"

int
mt_command_diff (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct mt_accepted accepted;
  int code;
  struct mt_tables *proposed = mt_report_load_tables (context, path, &code);

  if (proposed == NULL)
    return code;
  if (!mt_accepted_read (context->store, &accepted, &error))
    {
      mt_tables_destroy (proposed);
      return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
    }
  if (accepted.parse_error != NULL)
    code = mt_report_error (context, accepted.parse_error, MT_EXIT_REFUSED);
  else if (!mt_tables_check_change (accepted.tables, proposed, context->may_empty, &error))
    code = mt_report_error (context, error, MT_EXIT_REFUSED);
  else
    {
      uint64_t version = accepted.tables != NULL ? accepted.tables->version : 0;
      json_t *changes = mt_report_parse_json (mt_tables_diff (accepted.tables, proposed));

      mt_report_json (context, json_pack ("{sI sI so so}", "accepted", (json_int_t) version,
                                          "edited_from", (json_int_t) proposed->version, "changes",
                                          changes, "warnings", mt_report_warnings (proposed)));
      code = MT_EXIT_OK;
    }
  mt_accepted_clear (&accepted);
  mt_tables_destroy (proposed);
  return code;
}
