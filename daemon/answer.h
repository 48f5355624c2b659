/* Answers of the daemon's own, and the headers that are its own. Any thread may call; the memory is
 * the request's. */
#ifndef MT_ANSWER_H
#define MT_ANSWER_H

#include "http_server.h"

/* As in docs/callers.md. */
struct mt_answer_typed
{
  int status;
  const char *outcome; /* static */
  const char *reason;
  unsigned retry_after_s; /* 0: coming back does not help */
};

/* id: of the request, in its arena. */
void mt_answer_typed (struct mt_http_request *request,
                      struct mt_str id,
                      const struct mt_answer_typed *typed);
/* The request's memory is used up: the caller still gets an answer with a type. */
void mt_answer_out_of_memory (struct mt_http_request *request, bool not_run);

/* A header by which the daemon speaks to callers and minions; it is not passed on for others. */
bool mt_answer_is_own_header (struct mt_str name);
void mt_answer_remove_own_headers (struct mt_http_answer *answer);

#endif
