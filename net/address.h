/* Conversion between IP:PORT text and socket addresses. */
#ifndef MT_ADDRESS_H
#define MT_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Parses numeric IPv4 only: processes address each other by IP, host names are never resolved.
 * Errors: MT_ERROR_SETTINGS if text is malformed. */
bool mt_address_parse (const char *text, struct sockaddr_in *out, GError **error);
/* Returns the port to which a socket is bound; 0 on failure. */
unsigned mt_address_bound_port (int fd);

#endif
