/* HTTP server for callers, based on libmicrohttpd, with a thread per connection. The handler runs
 * in the connection's thread once the request is complete, so a slow sender holds no slot. */
#ifndef MT_HTTP_SERVER_H
#define MT_HTTP_SERVER_H

#include "http_client.h"

/* Status of an answer that closes the connection without answering. */
#define MT_HTTP_DROP 0

struct mt_http_request
{
  struct mt_arena *arena; /* freed after the answer is sent */
  struct mt_str method;
  struct mt_str path; /* with the query, as sent */
  struct mt_http_header *headers;
  size_t n_headers;
  struct mt_str body;
  struct mt_http_answer answer; /* set by the handler; its memory must be in the arena */
  int fd;                       /* of the connection */
};

/* Whether the caller has closed or reset its connection; false if it only shut down its sending
 * side, as a caller may after its request. */
bool mt_http_request_is_aborted (const struct mt_http_request *request);

struct mt_http_server_options
{
  const char *address;      /* IP:PORT; port 0 selects a free one */
  unsigned max_connections; /* limit of open connections */
  /* A connection idle for this time is closed, and one that takes twice this time to send a request
   * or to read an answer. */
  unsigned idle_timeout_s;
  size_t max_body_bytes;           /* a longer request body is answered with 413 */
  size_t max_request_memory_bytes; /* arena limit of one request */
  const struct mt_clock *clock;
  void (*handle) (void *ctx, struct mt_http_request *request);
  void *ctx;
};

struct mt_http_server;

/* Starts listening. Errors: MT_ERROR_SETTINGS if it can't listen on the address. */
struct mt_http_server *mt_http_server_create (const struct mt_http_server_options *options,
                                              GError **error);
unsigned mt_http_server_port (const struct mt_http_server *server);
/* Stops gracefully. For linger_us new connections are still accepted, for load balancers that have
 * not noticed yet; every answer has "Connection: close". Then closes the listener and idle
 * connections, and returns once the last answer in flight is sent. */
void mt_http_server_stop (struct mt_http_server *server, int64_t linger_us);
/* Closes all connections. Call mt_http_server_stop first. server may be NULL. */
void mt_http_server_destroy (struct mt_http_server *server);

#endif
