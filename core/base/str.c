#include "medlartrack/str.h"

#include <limits.h>
#include <string.h>
#include <strings.h>

struct mt_str
mt_str_from (const char *cstr)
{
  struct mt_str s = { cstr, cstr != NULL ? strlen (cstr) : 0 };
  return s;
}

bool
mt_str_equal (struct mt_str a, struct mt_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
mt_str_equal_nocase (struct mt_str a, struct mt_str b)
{
  return a.len == b.len && (a.len == 0 || strncasecmp (a.data, b.data, a.len) == 0);
}

bool
mt_str_has_prefix (struct mt_str s, struct mt_str prefix)
{
  return s.len >= prefix.len && (prefix.len == 0 || memcmp (s.data, prefix.data, prefix.len) == 0);
}

bool
mt_str_to_u64 (struct mt_str s, unsigned long long *out)
{
  unsigned long long value = 0;

  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned digit = (unsigned char) s.data[i] - '0';

      if (digit > 9 || value > (ULLONG_MAX - digit) / 10)
        return false;
      value = value * 10 + digit;
    }
  *out = value;
  return true;
}
