/* Answers that the daemon itself gives to callers, and the headers reserved for it. Any thread may
 * call; memory comes from the request's arena. */
#ifndef MT_ANSWER_H
#define MT_ANSWER_H

#include "http_server.h"

/* An answer with an outcome, as documented in docs/callers.md. */
struct mt_answer_typed
{
  int status;
  const char *outcome;    /* static */
  const char *reason;     /* written into JSON as it is: must not need escapes */
  unsigned retry_after_s; /* 0: a retry does not help */
};

/* Sets the request's answer. id is the request's id, allocated in its arena. */
void mt_answer_typed (struct mt_http_request *request,
                      struct mt_str id,
                      const struct mt_answer_typed *typed);
/* Sets the answer of a request whose memory is used up, without allocating. not_run: the request
 * did not run; otherwise its outcome is unknown. */
void mt_answer_out_of_memory (struct mt_http_request *request, bool not_run);

/* Whether the header is reserved for what the daemon itself sends to callers and minions. Such
 * headers are not forwarded. */
bool mt_answer_is_own_header (struct mt_str name);
/* Removes the reserved headers from a minion's answer, except Medlartrack-Request-Id. */
void mt_answer_remove_own_headers (struct mt_http_answer *answer);

#endif
