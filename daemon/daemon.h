/* One daemon: owns every part and starts and stops them in order. */
#ifndef MT_DAEMON_H
#define MT_DAEMON_H

#include "medlartrack/settings.h"

#include <glib.h>

struct mt_daemon;

/* settings outlive the daemon. */
struct mt_daemon *mt_daemon_create (const struct mt_settings *settings, GError **error);
/* Graceful: takes no new connection, ends what is in flight, then frees everything. */
void mt_daemon_destroy (struct mt_daemon *daemon);
unsigned mt_daemon_port (const struct mt_daemon *daemon);
/* For other daemons and medlartrackctl. */
unsigned mt_daemon_peer_port (const struct mt_daemon *daemon);
/* The state as JSON text; g_free it. */
char *mt_daemon_dump (struct mt_daemon *daemon);

#endif
