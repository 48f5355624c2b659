/* Error codes of the domain MT_ERROR. Every message names what was found and the remedy. Any
 * thread. */
#ifndef MEDLARTRACK_ERROR_H
#define MEDLARTRACK_ERROR_H

#include <glib.h>

#define MT_ERROR (mt_error_quark ())

enum mt_error
{
  MT_ERROR_SYNTAX,      /* not valid JSON, msgpack or HTTP */
  MT_ERROR_SETTINGS,    /* invalid value of a settings key */
  MT_ERROR_TABLES,      /* a row of a table is invalid */
  MT_ERROR_CONFLICT,    /* a compare-and-swap failed because of another writer */
  MT_ERROR_UNAVAILABLE, /* nothing took effect: the peer refused or can't be reached */
  MT_ERROR_UNKNOWN,     /* the call may have taken effect; only a read can show */
  MT_ERROR_TIMEOUT,     /* the deadline has passed */
  MT_ERROR_LIMIT,       /* a limit is exceeded */
  MT_ERROR_STALE,       /* the state that the call was based on is out of date */
  MT_ERROR_USAGE,       /* invalid command line */
};

GQuark mt_error_quark (void);

#endif
