/* A minion whose answers are scripted by the test, including malformed and malicious ones. */
#ifndef MT_SCRIPTED_H
#define MT_SCRIPTED_H

#include <glib.h>

struct scripted;

enum script
{
  SCRIPT_COMPLETE,             /* 200 with the request's id, and the body "ok ID" */
  SCRIPT_HEAD,                 /* headers with a Content-Length of 1,234, without a body */
  SCRIPT_SPOOFED,              /* a complete answer with the daemon's own "not run" header */
  SCRIPT_TRUNCATED,            /* announces 100 bytes, sends 5, then closes */
  SCRIPT_WRONG_ID,             /* a complete answer with another request's id */
  SCRIPT_DUPLICATE,            /* the complete answer, sent twice */
  SCRIPT_DUPLICATE_WITHOUT_ID, /* the complete answer without an id, sent twice */
  SCRIPT_OVERSIZED,            /* a body that exceeds any limit */
  SCRIPT_CLOSE,                /* reads the request, then closes */
  SCRIPT_UNDELIMITED,          /* neither Content-Length nor chunks */
  SCRIPT_REFUSED,              /* 503, with the header that the request was not run */
  SCRIPT_LEAVING,              /* like SCRIPT_REFUSED, with the header that the minion is leaving */
  SCRIPT_SLOW,                 /* a complete answer after 3 s, unless the client closes before */
  SCRIPT_HELD,                 /* a complete answer once scripted_release was called */
};

struct scripted *scripted_create (void);
void scripted_destroy (struct scripted *scripted);
const char *scripted_address (const struct scripted *scripted);
/* Sets the scripts of the next requests, one each; the last one also applies to all later ones. */
void scripted_set_scripts (struct scripted *scripted, const enum script *scripts, size_t n);
void scripted_release (struct scripted *scripted);
/* Closes all connections and the listener. */
void scripted_shut_down (struct scripted *scripted);
/* Waits until exactly n connections are open. */
void scripted_wait_for_connections (struct scripted *scripted, unsigned n);
/* Number of requests received completely. */
unsigned scripted_requests (struct scripted *scripted);

#endif
