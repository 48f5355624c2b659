/* Exchanges with an exact deadline. neon's timeouts are whole seconds, so a cached thread does the
 * exchange while the caller waits on a condition until its deadline, to the millisecond. An
 * exchange that is given up on goes on in its thread until neon ends it. Any thread may call. */
#ifndef MT_HTTP_EXCHANGE_H
#define MT_HTTP_EXCHANGE_H

#include "http_client.h"

struct mt_http_exchanges;

/* Called once for each call, in the exchange's thread, when it has really ended: in time, just
 * before the caller gets its answer; otherwise later than that. */
struct mt_http_completion
{
  void (*call) (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer);
  void *ctx;
};

/* client outlives it. threads: most at a time; memory: arena limit of one exchange. */
struct mt_http_exchanges *mt_http_exchanges_create (struct mt_http_client *client,
                                                    const struct mt_clock *clock,
                                                    unsigned threads,
                                                    size_t memory);
/* Waits for the exchanges that still run. */
void mt_http_exchanges_destroy (struct mt_http_exchanges *exchanges);
/* As mt_http_client_call, but back at the call's deadline: MT_HTTP_UNKNOWN with a MT_ERROR_TIMEOUT.
 * The call is copied. */
enum mt_http_outcome mt_http_exchanges_call (struct mt_http_exchanges *exchanges,
                                             const char *address,
                                             const struct mt_http_call *call,
                                             struct mt_http_completion ended,
                                             struct mt_arena *arena,
                                             struct mt_http_answer *answer,
                                             GError **error);

#endif
