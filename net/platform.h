/* Client of the platform's key-value service, which has the HTTP protocol of Consul's KV store and
 * sessions (/v1/kv, /v1/session). Implements mt_store over mt_http_client. Any thread may call. */
#ifndef MT_PLATFORM_H
#define MT_PLATFORM_H

#include "http_client.h"
#include "medlartrack/breaker.h"
#include "medlartrack/store.h"

struct mt_platform;

/* address is IP:PORT. call_us: time limit of each call except watches. client must outlive the
 * platform. */
struct mt_platform *mt_platform_create (struct mt_http_client *client,
                                        const struct mt_clock *clock,
                                        const char *address,
                                        int64_t call_us);
void mt_platform_destroy (struct mt_platform *platform);
/* Returns the store; owned by the platform. Its calls go through the breaker: while the service is
 * known to be down they fail at once. */
const struct mt_store *mt_platform_store (struct mt_platform *platform);
/* Returns the breaker in front of the store; owned by the platform. */
struct mt_breaker *mt_platform_breaker (struct mt_platform *platform);
/* Returns the number of calls made so far; a watch counts as one. */
uint64_t mt_platform_calls (const struct mt_platform *platform);

#endif
