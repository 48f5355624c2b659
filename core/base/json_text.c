#include "medlartrack/json_text.h"

void
mt_json_append_string (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (const char *c = text != NULL ? text : ""; *c != '\0'; c++)
    if (*c == '"' || *c == '\\')
      g_string_append_printf (out, "\\%c", *c);
    else if ((unsigned char) *c < 0x20)
      g_string_append_printf (out, "\\u%04x", (unsigned char) *c);
    else
      g_string_append_c (out, *c);
  g_string_append_c (out, '"');
}
