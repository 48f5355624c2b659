/* A daemon's settings, read once at start from a JSON file and checked whole. */
#ifndef MEDLARTRACK_SETTINGS_H
#define MEDLARTRACK_SETTINGS_H

#include "medlartrack/log.h"
#include "medlartrack/str.h"

struct mt_settings_limits
{
  unsigned connections;    /* callers' connections open at a time */
  unsigned idle_s;         /* a silent connection is closed after this */
  unsigned body_bytes;     /* longest request body */
  unsigned answer_bytes;   /* longest answer body */
  unsigned platform_ms;    /* bound on one call of the platform */
  unsigned stop_linger_ms; /* a stopping daemon still takes connections for so long */
};

struct mt_settings
{
  struct mt_str name;        /* of this daemon, unique in the fleet */
  struct mt_str zone;        /* its data centre */
  struct mt_str listen;      /* IP:PORT for callers */
  struct mt_str peer_listen; /* IP:PORT for other daemons and medlartrackctl */
  struct mt_str platform;    /* IP:PORT of the platform's service */
  struct mt_str workers;     /* IP:PORT of the platform's workers; empty: places no jobs */
  struct mt_str *peers; /* IP:PORT of some daemons, to find the rest when the platform is down */
  size_t n_peers;
  int log;       /* enum mt_log_format */
  int log_level; /* enum mt_log_level */
  struct mt_settings_limits limits;
};

/* NULL with an error that names the key, what was found, the range and the remedy. */
struct mt_settings *mt_settings_parse (struct mt_str json, GError **error);
void mt_settings_destroy (struct mt_settings *settings);

#endif
