/* A TCP proxy on loopback with the faults of a link. Its open connections can fall silent: nothing
 * passes them any more in either direction, and neither side is closed, while new connections work.
 * Its bandwidth can be limited. Runs on the loop's thread. */
#ifndef PROXY_H
#define PROXY_H

#include <stddef.h>

struct event_base;
struct proxy;

/* server: IP:PORT. */
struct proxy *proxy_create (struct event_base *base, const char *server);
void proxy_destroy (struct proxy *proxy);
unsigned proxy_port (const struct proxy *proxy);
/* Number of open connections. */
unsigned proxy_connections (const struct proxy *proxy);
/* Silences the connections that are open now. */
void proxy_silence (struct proxy *proxy);
/* Number of requests sent on silent connections so far. */
unsigned proxy_swallowed (const struct proxy *proxy);
/* Limits what all connections together receive from the server. */
void proxy_limit (struct proxy *proxy, unsigned bytes_per_s);
/* Bytes received from the server so far. */
size_t proxy_received (const struct proxy *proxy);

#endif
