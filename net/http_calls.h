/* Client for hundreds of concurrent HTTP calls on one thread, with libevent over keep-alive
 * connections. All functions and callbacks run on the loop's thread. Calls are never retried. */
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
  const char *kind;    /* traffic counter of the call; a constant string */
  enum mt_call_method method;
  const char *path;
  struct mt_str body;                   /* JSON; empty if there is none */
  const struct mt_call_header *headers; /* NULL if there are none */
  /* Until the last byte of the answer, or with progress_ms until the first; then the connection is
   * closed, and so are idle ones to the address that have not answered lately. */
  int64_t timeout_ms;
  /* Once the answer has begun, the call goes on for as long as each interval of this length brings
   * some kilobytes of it: how long an answer takes depends on its size. 0: it does not. */
  int64_t progress_ms;
  void (*begun) (void *ctx); /* called when the answer begins; may be NULL */
  /* Calls with the same address and lane share at most max_connections connections. Further calls
   * are queued; their timeout includes the time in the queue. */
  unsigned lane;
  unsigned max_connections;
  /* After this time without an answer, while other calls to the address are answered, the
   * connection takes no further call and does not count towards max_connections; 0: never. */
  int64_t unresponsive_ms;
};

struct mt_call_answer
{
  int status; /* 0: no complete answer */
  bool sent;  /* bytes were given to a connected socket: the server may have acted on the call */
  size_t received; /* bytes of the answer that arrived, head included, also of an incomplete one */
  int64_t transfer_ms; /* from the answer's first byte to its last */
  struct mt_str body;
};

/* answer is valid only during the callback. */
typedef void (*mt_call_done) (void *ctx, const struct mt_call_answer *answer);

/* traffic: counters of what is sent and received; NULL for none. */
struct mt_calls *mt_calls_create (struct event_base *base, struct mt_traffic *traffic);
/* Completes the pending calls without an answer, by their callbacks. */
void mt_calls_destroy (struct mt_calls *calls);
struct event_base *mt_calls_base (const struct mt_calls *calls);
/* Starts or queues the call. done is called exactly once, never before the function has
 * returned. */
void
mt_calls_send (struct mt_calls *calls, const struct mt_call *call, mt_call_done done, void *ctx);
/* Closes the idle connections to an address. */
void mt_calls_close_idle (struct mt_calls *calls, const char *address);
/* Returns the number of connections opened so far. */
uint64_t mt_calls_connections_opened (const struct mt_calls *calls);

#endif
