/* The platform's key-value service by its published HTTP protocol: Consul's KV store and sessions
 * (/v1/kv, /v1/session). Implements mt_store over mt_http_client. Any thread may call. */
#ifndef MT_PLATFORM_H
#define MT_PLATFORM_H

#include "http_client.h"
#include "medlartrack/breaker.h"
#include "medlartrack/store.h"

struct mt_platform;

/* address is IP:PORT; call_us bounds each call that isn't a watch. The client outlives it. */
struct mt_platform *mt_platform_create (struct mt_http_client *client,
                                        const struct mt_clock *clock,
                                        const char *address,
                                        int64_t call_us);
void mt_platform_destroy (struct mt_platform *platform);
/* Both live as long as the platform. The store stands behind the breaker: while the service is
 * known to be down its calls fail at once. */
const struct mt_store *mt_platform_store (struct mt_platform *platform);
struct mt_breaker *mt_platform_breaker (struct mt_platform *platform);
/* Calls made so far, a watch counted as one. */
uint64_t mt_platform_calls (const struct mt_platform *platform);

#endif
