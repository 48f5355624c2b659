/* HTTP towards minions and the platform, over neon. Calls block the calling thread. A client owns
 * its kept connections; any thread may call. */
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
  bool new_connection;      /* on a connection that has carried nothing before, and closed after */
  struct mt_str id;         /* that the answer must echo as Medlartrack-Request-Id; empty: none */
  int64_t deadline_us;      /* on the client's clock */
  size_t max_answer_bytes;  /* most body bytes taken */
  unsigned max_connections; /* most to this address, idle ones included; 0: no limit */
};

struct mt_http_answer
{
  int status;
  struct mt_http_header *headers; /* end-to-end headers only */
  size_t n_headers;
  struct mt_str body;
  uint64_t content_length; /* of an answer to HEAD: the length that it announces */
};

enum mt_http_outcome
{
  MT_HTTP_COMPLETE, /* the answer came in full */
  MT_HTTP_NOT_SENT, /* no byte of the request left: the far side can't have run it */
  MT_HTTP_UNKNOWN,  /* something was sent and no whole answer came */
};

struct mt_http_client;

struct mt_http_client *mt_http_client_create (const struct mt_clock *clock);
void mt_http_client_destroy (struct mt_http_client *client);

/* address is IP:PORT. The answer's memory is the arena's. error tells more unless WHOLE. */
enum mt_http_outcome mt_http_client_call (struct mt_http_client *client,
                                          const char *address,
                                          const struct mt_http_call *call,
                                          struct mt_arena *arena,
                                          struct mt_http_answer *answer,
                                          GError **error);

/* The value of a header, found without regard to case; data is NULL where there is none. */
struct mt_str
mt_http_header_find (const struct mt_http_header *headers, size_t n, struct mt_str name);

#endif
