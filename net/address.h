/* IP:PORT texts to socket addresses. */
#ifndef MT_ADDRESS_H
#define MT_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* IPv4 numbers only: processes speak by IP number, names are never looked up. */
bool mt_address_parse (const char *text, struct sockaddr_in *out, GError **error);
/* The port that a bound socket got; 0 on failure. */
unsigned mt_address_bound_port (int fd);

#endif
