/* Settings of a daemon that runs a fleet of workers; read from JSON, checked whole. */
#ifndef MT_FLEET_SETTINGS_H
#define MT_FLEET_SETTINGS_H

#include "medlartrack/str.h"

#include <glib.h>

struct mt_fleet_bounds
{
  unsigned max_hold_ms;
  double remote_factor;
  double status_s;
  double grace_s;
  double move_s;
  double upkeep_s;
  unsigned stop_grace_ms;
  unsigned keys_stale_ms; /* keys unconfirmed for longer are refused; 0: never */
};

struct mt_fleet_settings
{
  struct mt_str name;         /* of this daemon, unique in the fleet */
  struct mt_str zone;         /* its data centre */
  struct mt_str listen;       /* IP:PORT for callers */
  struct mt_str ready_listen; /* IP:PORT for the balancer's readiness check */
  struct mt_str ip;           /* of this machine, for other daemons */
  unsigned peer_port;         /* for other daemons; 0 takes a free one */
  unsigned metrics_port;      /* 0 for none */
  struct mt_str store;        /* IP:PORT of the platform's store */
  struct mt_str machines;     /* IP:PORT of the platform's machines; empty for none */
  struct mt_str advisor;      /* IP:PORT; empty for none */
  double cores;     /* of this machine, for the daemon; leaders are had where there are most */
  double link_mbps; /* of this machine's link, in millions of bits a second; 0: not known */
  unsigned connections;
  unsigned idle_s;
  unsigned body_bytes;
  struct mt_fleet_bounds bounds;
};

/* NULL with an error that names the key, what was found, the range and the remedy. */
struct mt_fleet_settings *mt_fleet_settings_parse (struct mt_str json, GError **error);
void mt_fleet_settings_destroy (struct mt_fleet_settings *settings);
/* Whether the text is meant as these settings and not as those of medlartrack/settings.h. */
bool mt_fleet_settings_detect (struct mt_str json);

#endif
