/* Settings of a daemon that runs a fleet of workers; parsed from JSON and validated as a whole. */
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
  unsigned apply_ms; /* a change of the configuration has to be in force after this time */
  /* calls that are sent so long after another one are not answered by an older configuration */
  unsigned rollback_ms;
  unsigned keys_stale_ms; /* callers' keys are refused if unconfirmed for longer; 0: never */
};

struct mt_fleet_settings
{
  struct mt_str name;         /* this daemon's name, unique in the fleet */
  struct mt_str zone;         /* data centre */
  struct mt_str listen;       /* IP:PORT for callers */
  struct mt_str ready_listen; /* IP:PORT for the balancer's readiness check */
  struct mt_str ip;           /* this machine's address for other daemons */
  unsigned peer_port;         /* for other daemons; 0: any free port */
  unsigned metrics_port;      /* 0 for none */
  struct mt_str store;        /* IP:PORT of the platform's store */
  struct mt_str machines;     /* IP:PORT of the platform's machines; empty for none */
  struct mt_str advisor;      /* IP:PORT; empty for none */
  double cores;     /* cores for the daemon; leaderships prefer the daemons with the most */
  double link_mbps; /* bandwidth of this machine's link, in Mbit/s; 0: unknown */
  unsigned connections;
  unsigned idle_s;
  unsigned body_bytes;
  bool store_wait;   /* submissions wait for the store in an outage, and retries are planned */
  bool second_tries; /* reads and transactions of the store are hedged */
  bool worker_speed; /* work is placed by the measured speed of the workers */
  struct mt_str share_policy; /* name of a policy by which workspaces share a pool */
  int forecast;               /* index of the method; see mt_forecast_method_at */
  double idle_cost; /* value lost for one idle machine second, as a share of a busy one's */
  struct mt_fleet_bounds bounds;
};

/* Returns NULL with an error that names the key, the value found, the range and the remedy. */
struct mt_fleet_settings *mt_fleet_settings_parse (struct mt_str json, GError **error);
void mt_fleet_settings_destroy (struct mt_fleet_settings *settings);
/* Returns whether the text looks like these settings, as opposed to those of
 * medlartrack/settings.h. */
bool mt_fleet_settings_detect (struct mt_str json);

#endif
