#include "forms.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define MAX_PORT 65535

/* Control characters are refused: they could forge lines of a human-readable log. */
static bool
accepts_text (struct mt_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char) text.data[i] < ' ' || text.data[i] == 0x7f)
      return false;
  return g_utf8_validate (text.data, (gssize) text.len, NULL);
}

static bool
is_alnum_or (struct mt_str text, const char *others)
{
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isalnum (text.data[i]) && strchr (others, text.data[i]) == NULL)
      return false;
  return text.len > 0;
}

/* Names become part of a store key and so of a URL: a '/' or '?' in one would address another
 * key. */
static bool
accepts_name (struct mt_str text)
{
  return text.data[0] != '.' && is_alnum_or (text, "._-");
}

static bool
accepts_port (struct mt_str text, unsigned long long min)
{
  unsigned long long port = 0;

  /* "080" and "80" are the same port: with leading zeros two rows could share an address
   * unnoticed. */
  if (text.len > 1 && text.data[0] == '0')
    return false;
  return mt_str_to_u64 (text, &port) && port >= min && port <= MAX_PORT;
}

static bool
accepts_endpoint (struct mt_str text, unsigned long long min_port)
{
  const char *colon = memrchr (text.data, ':', text.len);
  char host[INET_ADDRSTRLEN];
  struct in_addr addr;
  size_t len;

  if (colon == NULL)
    return false;
  len = (size_t) (colon - text.data);
  if (len >= sizeof host)
    return false;
  memcpy (host, text.data, len);
  host[len] = '\0';
  return inet_pton (AF_INET, host, &addr) == 1
         && accepts_port ((struct mt_str){ colon + 1, text.len - len - 1 }, min_port);
}

static bool
accepts_address (struct mt_str text)
{
  return accepts_endpoint (text, 1);
}

static bool
accepts_listen (struct mt_str text)
{
  return accepts_endpoint (text, 0);
}

static bool
accepts_method (struct mt_str text)
{
  if (mt_str_equal (text, MT_STR ("*")))
    return true;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isupper (text.data[i]) && text.data[i] != '-')
      return false;
  return true;
}

static bool
accepts_header (struct mt_str text)
{
  return is_alnum_or (text, "!#$%&'*+-.^_`|~");
}

static bool
accepts_path (struct mt_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if (text.data[i] <= ' ' || text.data[i] >= 0x7f || strchr ("?#", text.data[i]) != NULL)
      return false;
  return text.data[0] == '/';
}

const struct mt_text_format mt_text_format_line
    = { "text", "write one line of UTF-8 without control characters", accepts_text };
const struct mt_text_format mt_text_format_name
    = { "name", "write letters, digits, \".\", \"_\" and \"-\", no \".\" first", accepts_name };
const struct mt_text_format mt_text_format_address
    = { "address", "write IP:PORT with a numeric IP, port 1 to 65535, such as 10.0.0.7:8080",
        accepts_address };
const struct mt_text_format mt_text_format_listen
    = { "listen", "write IP:PORT with a numeric IP, port 0 to 65535, such as 10.0.0.7:8080",
        accepts_listen };
const struct mt_text_format mt_text_format_method
    = { "method", "write a method in capitals, such as GET, or \"*\" for any", accepts_method };
const struct mt_text_format mt_text_format_header
    = { "header", "write the name of an HTTP header, such as X-Audience", accepts_header };
const struct mt_text_format mt_text_format_path
    = { "path", "start it with \"/\" and leave out blanks, \"?\" and \"#\"", accepts_path };
