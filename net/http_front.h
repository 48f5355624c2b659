/* HTTP towards callers on the loop's one thread: libmicrohttpd without threads of its own. A
 * request is handed over whole and answered when the owner is ready, in any order. All functions
 * and callbacks on the loop's thread. */
#ifndef MT_HTTP_FRONT_H
#define MT_HTTP_FRONT_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct event_base;
struct mt_http_front;
struct mt_traffic;

/* One request; lives from the handler's call to its answer. */
struct mt_exchange;

const char *mt_exchange_method (const struct mt_exchange *exchange);
const char *mt_exchange_path (const struct mt_exchange *exchange);
/* NULL where it has none. */
const char *mt_exchange_header (const struct mt_exchange *exchange, const char *name);
/* Of the query; NULL where it has none of that name. */
const char *mt_exchange_query (const struct mt_exchange *exchange, const char *name);
struct mt_str mt_exchange_body (const struct mt_exchange *exchange);
int64_t mt_exchange_started_ms (const struct mt_exchange *exchange);

/* body is copied. retry_after_s: 0 for none. Ends the exchange. */
void mt_exchange_answer (struct mt_exchange *exchange,
                         unsigned status,
                         const char *content_type,
                         struct mt_str body,
                         unsigned retry_after_s);

typedef void (*mt_http_front_handler) (void *ctx, struct mt_exchange *exchange);

struct mt_http_front_options
{
  const char *address; /* IP:PORT; port 0 takes a free one */
  unsigned max_connections;
  unsigned idle_timeout_s;
  size_t max_body_bytes;      /* longest request body; beyond it 413 */
  const char *kind;           /* a constant: what its requests count as in the traffic */
  struct mt_traffic *traffic; /* NULL for none */
  mt_http_front_handler handle;
  void *ctx;
};

struct mt_http_front *mt_http_front_create (struct event_base *base,
                                            const struct mt_http_front_options *options,
                                            GError **error);
unsigned mt_http_front_port (const struct mt_http_front *front);
/* Every answer from now on says "Connection: close". */
void mt_http_front_close_after_answers (struct mt_http_front *front);
/* Exchanges not answered yet, and answered ones not fully sent. */
unsigned mt_http_front_in_flight (const struct mt_http_front *front);
/* What is not answered yet is answered with 503. */
void mt_http_front_destroy (struct mt_http_front *front);

#endif
