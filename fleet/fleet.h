/* The daemon of a fleet of workers: creates all its parts from the settings and runs until
 * stopped. */
#ifndef MT_FLEET_FLEET_H
#define MT_FLEET_FLEET_H

#include "settings.h"

struct mt_fleet;

struct mt_fleet *mt_fleet_create (const struct mt_fleet_settings *settings,
                                  const char *settings_path,
                                  GError **error);
/* Returns after a graceful stop by SIGTERM or SIGINT. SIGHUP reloads the settings, SIGUSR1 writes
 * the metrics to standard error. */
void mt_fleet_run (struct mt_fleet *fleet);
void mt_fleet_destroy (struct mt_fleet *fleet);

#endif
