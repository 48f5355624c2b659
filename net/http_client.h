/* HTTP client for minions and the platform, based on neon. Calls block the calling thread. A client
 * owns its keep-alive connections. Any thread may call. */
#ifndef MT_HTTP_CLIENT_H
#define MT_HTTP_CLIENT_H

#include "medlartrack/arena.h"
#include "medlartrack/clock.h"

#include <glib.h>

struct mt_http_header
{
  struct mt_str name;
  struct mt_str value;
};

struct mt_http_call
{
  const char *method;
  const char *path;
  const struct mt_http_header *headers; /* data NUL-terminated */
  size_t n_headers;
  struct mt_str body;
  bool new_connection; /* open a connection for this call only */
  struct mt_str id; /* sent as Medlartrack-Request-Id, which the answer must echo; empty for none */
  int64_t deadline_us;      /* by the client's clock */
  size_t max_answer_bytes;  /* limit of the answer's body */
  unsigned max_connections; /* limit for this address, idle connections included; 0: no limit */
};

struct mt_http_answer
{
  int status;
  struct mt_http_header *headers; /* end-to-end headers only */
  size_t n_headers;
  struct mt_str body;
  uint64_t content_length; /* of an answer to HEAD: its Content-Length */
};

enum mt_http_outcome
{
  MT_HTTP_COMPLETE, /* the complete answer was received */
  MT_HTTP_NOT_SENT, /* no byte of the request was sent: the server cannot have run it */
  MT_HTTP_UNKNOWN, /* some of the request may have been sent, but no complete answer was received */
};

struct mt_http_client;

struct mt_http_client *mt_http_client_create (const struct mt_clock *clock);
/* Call when no call is in progress. Closes the connections. client may be NULL. */
void mt_http_client_destroy (struct mt_http_client *client);

/* Makes one call to address, which is IP:PORT. The answer is allocated in the arena. error is set
 * unless the outcome is MT_HTTP_COMPLETE. */
enum mt_http_outcome mt_http_client_call (struct mt_http_client *client,
                                          const char *address,
                                          const struct mt_http_call *call,
                                          struct mt_arena *arena,
                                          struct mt_http_answer *answer,
                                          GError **error);

/* Returns the value of a header, whose name is compared without regard to case; data is NULL if
 * there is none. */
struct mt_str
mt_http_header_find (const struct mt_http_header *headers, size_t n, struct mt_str name);

#endif
