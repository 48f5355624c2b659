#include "report.h"

int
mt_command_show (const struct mt_command_context *context, const char *argument)
{
  g_autoptr (GError) error = NULL;
  struct mt_accepted accepted;
  g_autofree char *text = NULL;
  int code = MT_EXIT_OK;

  if (!mt_accepted_read (context->store, &accepted, &error))
    return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
  if (accepted.parse_error != NULL)
    code = mt_report_error (context, accepted.parse_error, MT_EXIT_REFUSED);
  else if (accepted.tables != NULL)
    text = mt_tables_format_pretty (accepted.tables);
  else
    text = g_strdup ("{\"routes\":[],\"pools\":[]}");
  if (text != NULL)
    fprintf (context->out, "%s\n", text);
  mt_accepted_clear (&accepted);
  return code;
}
