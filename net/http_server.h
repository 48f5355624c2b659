/* HTTP towards callers, over libmicrohttpd: one thread for each connection. The handler runs in the
 * connection's thread once the whole request is there, so a slow sender holds no slot. */
#ifndef MT_HTTP_SERVER_H
#define MT_HTTP_SERVER_H

#include "http_client.h"

/* As an answer's status: the connection is closed without an answer. */
#define MT_HTTP_DROP 0

struct mt_http_request
{
  struct mt_arena *arena; /* freed after the answer is sent */
  struct mt_str method;
  struct mt_str path; /* with its query, as sent */
  struct mt_http_header *headers;
  size_t n_headers;
  struct mt_str body;
  struct mt_http_answer answer; /* the handler fills it; its memory lives in the arena */
  int fd;                       /* of the connection */
};

/* The caller has closed or reset its connection. One that only shut its sending side, as a caller
 * may that has said all, is not gone. */
bool mt_http_request_is_aborted (const struct mt_http_request *request);

struct mt_http_server_options
{
  const char *address;      /* IP:PORT; port 0 takes a free one */
  unsigned max_connections; /* most open at a time */
  unsigned idle_timeout_s;  /* a connection silent for so long is closed; one that takes twice as
                       long to  send a request or to read an answer is cut */
  size_t max_body_bytes;    /* longest request body; beyond it 413 */
  size_t max_request_memory_bytes; /* arena limit of one request */
  const struct mt_clock *clock;
  void (*handle) (void *ctx, struct mt_http_request *request);
  void *ctx;
};

struct mt_http_server;

struct mt_http_server *mt_http_server_create (const struct mt_http_server_options *options,
                                              GError **error);
unsigned mt_http_server_port (const struct mt_http_server *server);
/* Graceful: for the linger time new connections are still taken, for a balancer that has not yet
 * heard, and every answer says "Connection: close". Then the listener is closed, idle connections
 * are ended, and the call returns once the last answer in flight is sent. */
void mt_http_server_stop (struct mt_http_server *server, int64_t linger_us);
/* Ends all connections; stop it first. */
void mt_http_server_destroy (struct mt_http_server *server);

#endif
