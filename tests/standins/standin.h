/* What the two stand-in programs share: start-up, JSON answers, waiting to be ended. */
#ifndef STANDIN_H
#define STANDIN_H

#include "http_server.h"

#include <jansson.h>

/* Serves until SIGTERM; prints "port=N" on standard output once it listens. Returns an exit code.
 */
int
standin_serve (const char *address, void (*handle) (void *, struct mt_http_request *), void *ctx);
void standin_answer_json (struct mt_http_request *request, int status, json_t *body);
void standin_answer_text (struct mt_http_request *request, int status, const char *text);
/* The value of a query parameter, or NULL; g_free it. */
char *standin_query (const struct mt_http_request *request, const char *name);
bool standin_has_query (const struct mt_http_request *request, const char *name);
/* The path without its query; g_free it. */
char *standin_path (const struct mt_http_request *request);

#endif
