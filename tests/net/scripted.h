/* A minion that answers byte by byte as a test scripts it: what no well-behaved server would send.
 */
#ifndef MT_SCRIPTED_H
#define MT_SCRIPTED_H

#include <glib.h>

struct scripted;

enum script
{
  SCRIPT_WHOLE,       /* 200 with the request's id and its body "ok N", N counting requests */
  SCRIPT_HEAD,        /* headers that announce 1,234 bytes, and no body */
  SCRIPT_SPOOFED,     /* a whole answer that says "not run" in the daemon's words */
  SCRIPT_CUT,         /* announces 100 bytes, sends 5, closes */
  SCRIPT_CROSSED,     /* another request's id */
  SCRIPT_TWICE,       /* the whole answer two times */
  SCRIPT_TWICE_BARE,  /* the same without an id */
  SCRIPT_OVERSIZED,   /* a body that does not end */
  SCRIPT_CLOSE,       /* reads the request, then closes */
  SCRIPT_UNDELIMITED, /* neither length nor chunks */
  SCRIPT_REFUSED,     /* 503, says that it did not run */
  SCRIPT_LEAVING,     /* the same, and that it leaves */
  SCRIPT_PATIENT,     /* answers whole after 3 s, unless the other side hangs up before */
  SCRIPT_HELD,        /* answers whole once scripted_release was called */
};

struct scripted *scripted_create (void);
void scripted_destroy (struct scripted *scripted);
const char *scripted_address (const struct scripted *scripted);
/* For the next requests, one script each; the last one stays. */
void scripted_play (struct scripted *scripted, const enum script *scripts, size_t n);
void scripted_release (struct scripted *scripted);
/* Closes all connections and the listener. */
void scripted_vanish (struct scripted *scripted);
/* Waits until so many connections are open. */
void scripted_wait_for_open (struct scripted *scripted, unsigned n);
/* Requests read in full. */
unsigned scripted_requests (struct scripted *scripted);

#endif
