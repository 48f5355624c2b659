#include "peer_call.h"
#include "report.h"

#include <stdlib.h>

int
mt_command_dump (const struct mt_command_context *context, const char *address)
{
  g_autoptr (GError) error = NULL;
  char *text = mt_peer_call_dump (address, &error);

  if (text == NULL)
    return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
  fprintf (context->out, "%s\n", text);
  free (text);
  return MT_EXIT_OK;
}
