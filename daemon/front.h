/* The request path: forwards a caller's request to a minion and sets exactly one answer. Runs in
 * the connection's thread. */
#ifndef MT_FRONT_H
#define MT_FRONT_H

#include "claims.h"
#include "counters.h"
#include "http_exchange.h"
#include "http_server.h"
#include "pools.h"

struct mt_front;

struct mt_front_options
{
  const struct mt_clock *clock;
  struct mt_view_holder *views;
  struct mt_pools *pools;
  struct mt_http_exchanges *exchanges;
  struct mt_claims *claims; /* for requests that may not be repeated */
  struct mt_counters *counters;
  size_t answer_bytes; /* limit of an answer's body */
};

/* The objects that the options name outlive the front. */
struct mt_front *mt_front_create (const struct mt_front_options *options);
void mt_front_destroy (struct mt_front *front);
/* Handles one request and sets its answer; blocks. For mt_http_server_options.handle; ctx is the
 * mt_front. */
void mt_front_handle (void *ctx, struct mt_http_request *request);

#endif
