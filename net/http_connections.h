/* Tracks the callers' open connections and their phases, to disconnect callers that send or read
 * too slowly, and to let a graceful stop wait for requests in flight. Any thread may call. */
#ifndef MT_HTTP_CONNECTIONS_H
#define MT_HTTP_CONNECTIONS_H

#include "medlartrack/clock.h"

struct mt_http_connections;
struct mt_http_connection;

enum mt_http_phase
{
  MT_HTTP_PHASE_IDLE,      /* between requests */
  MT_HTTP_PHASE_RECEIVING, /* a request line was received */
  MT_HTTP_PHASE_HANDLING,
  MT_HTTP_PHASE_SENDING,
};

/* limit_us: time limit from one answer to the next complete request, and for sending an answer. */
struct mt_http_connections *mt_http_connections_create (const struct mt_clock *clock,
                                                        int64_t limit_us);
/* Call when all connections have been removed. */
void mt_http_connections_destroy (struct mt_http_connections *connections);

/* Adds an idle connection. The returned object is freed by mt_http_connections_remove. */
struct mt_http_connection *mt_http_connections_add (struct mt_http_connections *connections,
                                                    int fd);
/* Removes and frees the connection. Call before its descriptor is closed. */
void mt_http_connections_remove (struct mt_http_connections *connections,
                                 struct mt_http_connection *connection);
void mt_http_connections_set_phase (struct mt_http_connections *connections,
                                    struct mt_http_connection *connection,
                                    enum mt_http_phase phase);
/* Closes idle connections, from now on also those that become idle after their answer. */
void mt_http_connections_close_idle (struct mt_http_connections *connections);
/* Blocks until no connection is in flight. */
void mt_http_connections_wait_idle (struct mt_http_connections *connections);

#endif
