/* The platform's key-value service by its published HTTP protocol: Consul's KV store and sessions
 * (/v1/kv, /v1/session). Implements mt_store over mt_http_client. Any thread may call. */
#ifndef MT_PLATFORM_H
#define MT_PLATFORM_H

#include "http_client.h"
#include "medlartrack/store.h"

struct mt_platform;

/* address is IP:PORT; call_us bounds each call that isn't a watch. The client outlives it. */
struct mt_platform *mt_platform_create (struct mt_http_client *client,
                                        const struct mt_clock *clock,
                                        const char *address,
                                        int64_t call_us);
void mt_platform_destroy (struct mt_platform *platform);
/* Lives as long as the platform. */
const struct mt_store *mt_platform_store (struct mt_platform *platform);
/* Calls made so far, a watch counted as one. */
uint64_t mt_platform_calls (const struct mt_platform *platform);

#endif
