#include "report.h"

int
mt_command_diff (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct mt_accepted accepted;
  int code;
  struct mt_tables *wanted = mt_report_load (context, path, &code);

  if (wanted == NULL)
    return code;
  if (!mt_accepted_read (context->store, &accepted, &error))
    {
      mt_tables_destroy (wanted);
      return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
    }
  if (accepted.why_unreadable != NULL)
    code = mt_report_error (context, accepted.why_unreadable, MT_EXIT_REFUSED);
  else if (!mt_tables_check_change (accepted.tables, wanted, context->may_empty, &error))
    code = mt_report_error (context, error, MT_EXIT_REFUSED);
  else
    {
      uint64_t version = accepted.tables != NULL ? accepted.tables->version : 0;
      json_t *changes = mt_report_parse (mt_tables_diff (accepted.tables, wanted));

      mt_report_json (context, json_pack ("{sI sI so so}", "accepted", (json_int_t) version,
                                          "edited_from", (json_int_t) wanted->version, "changes",
                                          changes, "warnings", mt_report_warnings (wanted)));
      code = MT_EXIT_OK;
    }
  mt_accepted_clear (&accepted);
  mt_tables_destroy (wanted);
  return code;
}
