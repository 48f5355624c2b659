/* One minion's health as its answers show it: ejected when it fails much more than the others, and
 * returned by probes. Not thread-safe. */
#ifndef MEDLARTRACK_EJECTION_H
#define MEDLARTRACK_EJECTION_H

#include "medlartrack/clock.h"

#include <stdbool.h>

#define MT_HEALTH_FULL 1000 /* every answer failed */

enum mt_health_state
{
  MT_HEALTH_IN,
  MT_HEALTH_EJECTED,
  MT_HEALTH_PROBED, /* gets one request at a time */
};

struct mt_health
{
  unsigned failing;  /* moving mean of failures, thousandths */
  unsigned streak;   /* failures in a row */
  unsigned goods;    /* of the probes now running */
  unsigned times;    /* ejected in a row */
  int64_t failed_us; /* the last failure */
  bool ejected;      /* until enough probes went well */
  int64_t probe_us;  /* from then on it is probed */
};

/* Takes an answer in. others_failing: mean of the other minions', thousandths. True where the
 * minion should be ejected: the caller decides, since it knows how many already are. */
bool mt_health_note (struct mt_health *health, bool good, unsigned others_failing, int64_t now_us);
void mt_health_eject (struct mt_health *health, int64_t now_us);
void mt_health_return (struct mt_health *health);
enum mt_health_state mt_health_state (const struct mt_health *health, int64_t now_us);

#endif
