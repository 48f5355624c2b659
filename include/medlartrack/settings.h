/* A daemon's settings, read once at start from a JSON file. Invalid settings are rejected as a
 * whole. Immutable once parsed; any thread may read them. */
#ifndef MEDLARTRACK_SETTINGS_H
#define MEDLARTRACK_SETTINGS_H

#include "medlartrack/log.h"
#include "medlartrack/str.h"

struct mt_settings_limits
{
  unsigned connections;    /* maximum number of open connections from callers */
  unsigned idle_s;         /* idle time after which a connection is closed */
  unsigned body_bytes;     /* maximum size of a request body */
  unsigned answer_bytes;   /* maximum size of an answer body */
  unsigned platform_ms;    /* time-out of one call to the platform */
  unsigned stop_linger_ms; /* time for which a stopping daemon still accepts connections */
};

struct mt_settings
{
  struct mt_str name;        /* of this daemon; unique in the fleet */
  struct mt_str zone;        /* the daemon's data centre */
  struct mt_str listen;      /* IP:PORT for callers */
  struct mt_str peer_listen; /* IP:PORT for other daemons and medlartrackctl */
  struct mt_str platform;    /* IP:PORT of the platform's service */
  struct mt_str workers; /* IP:PORT of the platform's workers; empty: this daemon places no jobs */
  struct mt_str *peers; /* IP:PORT of some daemons, to find the others while the platform is down */
  size_t n_peers;
  int log;       /* enum mt_log_format */
  int log_level; /* enum mt_log_level */
  struct mt_settings_limits limits;
};

/* Returns the settings; free them with mt_settings_destroy. NULL with an error that names the key,
 * the value found, the range and the remedy. */
struct mt_settings *mt_settings_parse (struct mt_str json, GError **error);
void mt_settings_destroy (struct mt_settings *settings);

#endif
