#include "http_check.h"

#include <glib.h>
#include <string.h>

bool
mt_http_is_token (struct mt_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (!g_ascii_isalnum (s.data[i])
        && (s.data[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", s.data[i]) == NULL))
      return false;
  return s.len > 0;
}

bool
mt_http_is_header_value (struct mt_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.data[i] != '\t' && g_ascii_iscntrl (s.data[i]))
      return false;
  return true;
}

bool
mt_http_is_request_target (struct mt_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (!g_ascii_isgraph (s.data[i]))
      return false;
  return s.len > 0 && s.data[0] == '/';
}
