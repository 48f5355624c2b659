/* Asking a daemon for its state dump. */
#ifndef MT_PEER_CALL_H
#define MT_PEER_CALL_H

#include "commands.h"

/* The dump's text, malloced, or NULL with an error. */
char *mt_peer_call_dump (const char *address, GError **error);

#endif
