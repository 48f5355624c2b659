/* Fetches a daemon's state dump over the peer protocol. */
#ifndef MT_PEER_CALL_H
#define MT_PEER_CALL_H

#include "commands.h"

/* Returns the dump as text, to be freed with free; NULL with an error if the call failed. */
char *mt_peer_call_dump (const char *address, GError **error);

#endif
