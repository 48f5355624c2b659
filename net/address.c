#include "address.h"

#include "medlartrack/error.h"
#include "medlartrack/str.h"

#include <arpa/inet.h>
#include <string.h>

bool
mt_address_parse (const char *text, struct sockaddr_in *out, GError **error)
{
  const char *colon = strrchr (text, ':');
  unsigned long long port = 0;
  char host[INET_ADDRSTRLEN];

  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (colon != NULL && (size_t) (colon - text) < sizeof host
      && mt_str_to_u64 (mt_str_from (colon + 1), &port) && port <= 65535)
    {
      g_strlcpy (host, text, (gsize) (colon - text) + 1);
      out->sin_port = htons ((uint16_t) port);
      if (inet_pton (AF_INET, host, &out->sin_addr) == 1)
        return true;
    }
  g_set_error (error, MT_ERROR, MT_ERROR_SETTINGS,
               "address \"%s\" is not valid; write IP:PORT with a numeric IP", text);
  return false;
}

unsigned
mt_address_bound_port (int fd)
{
  struct sockaddr_in addr = { 0 };
  socklen_t len = sizeof addr;

  if (getsockname (fd, (struct sockaddr *) &addr, &len) != 0)
    return 0;
  return ntohs (addr.sin_port);
}
