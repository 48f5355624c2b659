/* One daemon: owns all its parts, and starts and stops them in order. */
#ifndef MT_DAEMON_H
#define MT_DAEMON_H

#include "medlartrack/settings.h"

#include <glib.h>

struct mt_daemon;

/* Creates and starts the daemon. settings must outlive it. Returns NULL with an error if it can't
 * start. */
struct mt_daemon *mt_daemon_create (const struct mt_settings *settings, GError **error);
/* Stops gracefully: accepts no new connection, completes the requests in flight, then frees
 * everything. */
void mt_daemon_destroy (struct mt_daemon *daemon);
/* Returns the port for callers. */
unsigned mt_daemon_port (const struct mt_daemon *daemon);
/* Returns the port for other daemons and medlartrackctl. */
unsigned mt_daemon_peer_port (const struct mt_daemon *daemon);
/* Returns the state as JSON text, to be freed with g_free. */
char *mt_daemon_dump (struct mt_daemon *daemon);

#endif
