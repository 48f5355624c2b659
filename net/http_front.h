/* HTTP server for callers on the loop's thread: libmicrohttpd without threads of its own. The
 * handler gets complete requests, which may be answered later and in any order. All functions and
 * callbacks run on the loop's thread. */
#ifndef MT_HTTP_FRONT_H
#define MT_HTTP_FRONT_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct event_base;
struct mt_http_front;
struct mt_traffic;

/* One request; valid from the handler's call until it is answered. */
struct mt_exchange;

const char *mt_exchange_method (const struct mt_exchange *exchange);
const char *mt_exchange_path (const struct mt_exchange *exchange);
/* Returns the value of a header; NULL if there is none of that name. */
const char *mt_exchange_header (const struct mt_exchange *exchange, const char *name);
/* Returns the value of a query argument; NULL if there is none of that name. */
const char *mt_exchange_query (const struct mt_exchange *exchange, const char *name);
struct mt_str mt_exchange_body (const struct mt_exchange *exchange);
/* Returns when the request began to arrive, in ms of the monotonic clock. */
int64_t mt_exchange_started_ms (const struct mt_exchange *exchange);

/* Answers the request, which ends the exchange. body is copied. retry_after_s: 0 for none. */
void mt_exchange_answer (struct mt_exchange *exchange,
                         unsigned status,
                         const char *content_type,
                         struct mt_str body,
                         unsigned retry_after_s);

typedef void (*mt_http_front_handler) (void *ctx, struct mt_exchange *exchange);

struct mt_http_front_options
{
  const char *address; /* IP:PORT; port 0 selects a free one */
  unsigned max_connections;
  unsigned idle_timeout_s;
  size_t max_body_bytes;      /* a longer request body is answered with 413 */
  const char *kind;           /* traffic counter of the requests; a constant string */
  struct mt_traffic *traffic; /* NULL for none */
  mt_http_front_handler handle;
  void *ctx;
};

/* Starts listening. Errors: MT_ERROR_SETTINGS if it can't listen on the address. */
struct mt_http_front *mt_http_front_create (struct event_base *base,
                                            const struct mt_http_front_options *options,
                                            GError **error);
unsigned mt_http_front_port (const struct mt_http_front *front);
/* Adds "Connection: close" to every answer from now on. */
void mt_http_front_close_after_answers (struct mt_http_front *front);
/* Returns the number of requests not answered yet, or whose answer is not fully sent. */
unsigned mt_http_front_in_flight (const struct mt_http_front *front);
/* Answers pending requests with 504, as it is not known what was done for them, and closes all
 * connections. Requests that still arrive are refused with 503. front may be NULL. */
void mt_http_front_destroy (struct mt_http_front *front);

#endif
