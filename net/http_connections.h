/* The callers' open connections and what each is doing, for two ends: a caller that takes too long
 * to send or to read is cut, and a graceful stop knows what is in flight. Any thread may call. */
#ifndef MT_HTTP_CONNECTIONS_H
#define MT_HTTP_CONNECTIONS_H

#include "medlartrack/clock.h"

struct mt_http_connections;
struct mt_http_connection;

enum mt_http_phase
{
  MT_HTTP_PHASE_IDLE,      /* between requests */
  MT_HTTP_PHASE_RECEIVING, /* a request line has come */
  MT_HTTP_PHASE_HANDLING,
  MT_HTTP_PHASE_SENDING,
};

/* limit_us: most time from one answer to the next whole request, and for reading an answer. */
struct mt_http_connections *mt_http_connections_create (const struct mt_clock *clock,
                                                        int64_t limit_us);
/* Only once all are removed. */
void mt_http_connections_destroy (struct mt_http_connections *connections);

struct mt_http_connection *mt_http_connections_add (struct mt_http_connections *connections,
                                                    int fd);
/* Before its descriptor is closed. */
void mt_http_connections_remove (struct mt_http_connections *connections,
                                 struct mt_http_connection *connection);
void mt_http_connections_set_phase (struct mt_http_connections *connections,
                                    struct mt_http_connection *connection,
                                    enum mt_http_phase phase);
/* From now on idle connections are ended; those in flight end after their answer. */
void mt_http_connections_end_idle (struct mt_http_connections *connections);
/* Until no connection is in flight. */
void mt_http_connections_wait_idle (struct mt_http_connections *connections);

#endif
