/* Outgoing HTTP calls by the hundred on one thread: libevent's client over kept-alive connections.
 * All functions and callbacks on the loop's thread. Nothing is ever sent again by itself. */
#ifndef MT_HTTP_CALLS_H
#define MT_HTTP_CALLS_H

#include "medlartrack/str.h"

#include <stdbool.h>
#include <stdint.h>

struct event_base;
struct mt_calls;
struct mt_traffic;

enum mt_call_method
{
  MT_CALL_GET,
  MT_CALL_POST,
  MT_CALL_DELETE,
};

struct mt_call_header
{
  const char *name; /* NULL ends a list */
  const char *value;
};

struct mt_call
{
  const char *address; /* IP:PORT */
  const char *kind;    /* a constant: what the call counts as in the traffic */
  enum mt_call_method method;
  const char *path;
  struct mt_str body;                   /* JSON; empty for none */
  const struct mt_call_header *headers; /* NULL for none */
  int64_t timeout_ms; /* from now to the last byte; the connection is closed then */
  /* Calls of one address and lane share connections, at most `connections` of them; further ones
   * wait in turn, within their timeout. */
  unsigned lane;
  unsigned max_connections;
};

struct mt_call_answer
{
  int status; /* 0: no whole answer */
  bool sent;  /* without an answer: the far side may have acted on it */
  struct mt_str body;
};

/* The answer's memory is gone after the callback. */
typedef void (*mt_call_done) (void *ctx, const struct mt_call_answer *answer);

/* traffic: counts what is sent and received; NULL for nobody. */
struct mt_calls *mt_calls_create (struct event_base *base, struct mt_traffic *traffic);
/* Calls under way end without an answer, by their callbacks. */
void mt_calls_destroy (struct mt_calls *calls);
/* done is called later, exactly once, never from within. */
void
mt_calls_send (struct mt_calls *calls, const struct mt_call *call, mt_call_done done, void *ctx);
/* Closes the idle connections to an address that is not needed any more. */
void mt_calls_close_idle (struct mt_calls *calls, const char *address);
/* Connections opened so far. */
uint64_t mt_calls_connections_opened (const struct mt_calls *calls);

#endif
