/* HTTP calls with exact deadlines. neon's timeouts are whole seconds, so a pooled thread does the
 * exchange while the caller waits on a semaphore until its deadline, to the millisecond. An
 * abandoned exchange continues in its thread until neon ends it. Any thread may call. */
#ifndef MT_HTTP_EXCHANGE_H
#define MT_HTTP_EXCHANGE_H

#include "http_client.h"

struct mt_http_exchanges;

/* Called once per call when the exchange has ended: in its thread, just before the caller gets the
 * answer, or after the deadline if it was abandoned; in the caller's thread if it was never
 * started. */
struct mt_http_completion
{
  void (*call) (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer);
  void *ctx;
};

/* client must outlive the exchanges. threads: limit of concurrent exchanges. max_memory_bytes:
 * arena limit of one exchange. */
struct mt_http_exchanges *mt_http_exchanges_create (struct mt_http_client *client,
                                                    const struct mt_clock *clock,
                                                    unsigned threads,
                                                    size_t max_memory_bytes);
/* Waits for the exchanges that are still running. */
void mt_http_exchanges_destroy (struct mt_http_exchanges *exchanges);
/* Like mt_http_client_call, but returns by the call's deadline. If the exchange is not finished by
 * then, returns MT_HTTP_UNKNOWN with MT_ERROR_TIMEOUT. The call is copied. */
enum mt_http_outcome mt_http_exchanges_call (struct mt_http_exchanges *exchanges,
                                             const char *address,
                                             const struct mt_http_call *call,
                                             struct mt_http_completion completion,
                                             struct mt_arena *arena,
                                             struct mt_http_answer *answer,
                                             GError **error);

#endif
