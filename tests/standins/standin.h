/* Shared by the stand-in programs: start-up, answers, query parameters, shutdown. */
#ifndef STANDIN_H
#define STANDIN_H

#include "http_server.h"

#include <jansson.h>

/* Serves until SIGTERM or SIGINT, which end the process. Prints "port=N" on standard output once it
 * listens. Returns an exit code if it can't listen. */
int
standin_serve (const char *address, void (*handle) (void *, struct mt_http_request *), void *ctx);
void standin_answer_json (struct mt_http_request *request, int status, json_t *body);
void standin_answer_text (struct mt_http_request *request, int status, const char *text);
/* Returns the value of a query parameter, to be freed with g_free, or NULL. */
char *standin_query (const struct mt_http_request *request, const char *name);
bool standin_has_query (const struct mt_http_request *request, const char *name);
/* Returns the path without its query, to be freed with g_free. */
char *standin_path (const struct mt_http_request *request);

#endif
