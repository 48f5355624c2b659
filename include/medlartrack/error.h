/* Typed errors. Every message names what was found and the remedy. */
#ifndef MEDLARTRACK_ERROR_H
#define MEDLARTRACK_ERROR_H

#include <glib.h>

#define MT_ERROR (mt_error_quark ())

enum mt_error
{
  MT_ERROR_SYNTAX,      /* not readable as JSON, msgpack or HTTP */
  MT_ERROR_SETTINGS,    /* a settings key has a wrong value */
  MT_ERROR_TABLES,      /* a row of a table is refused */
  MT_ERROR_CONFLICT,    /* a compare-and-swap lost against another writer */
  MT_ERROR_UNAVAILABLE, /* nothing took effect; the other side can't be reached or refused */
  MT_ERROR_UNKNOWN,     /* it may have taken effect; only a read can tell */
  MT_ERROR_TIMEOUT,     /* the deadline passed */
  MT_ERROR_LIMIT,       /* a stated limit is exceeded */
  MT_ERROR_STALE,       /* what it was decided from is no longer in force */
  MT_ERROR_USAGE,       /* the command line is wrong */
};

GQuark mt_error_quark (void);

#endif
