/* One minion's health as its answers show it: ejected when it fails much more than the others, and
 * returned by probes. Not thread-safe. */
#ifndef MEDLARTRACK_EJECTION_H
#define MEDLARTRACK_EJECTION_H

#include "medlartrack/clock.h"

#include <stdbool.h>

#define MT_HEALTH_MAX_FAILURE_RATE 1000 /* every answer failed */

enum mt_health_state
{
  MT_HEALTH_HEALTHY,
  MT_HEALTH_EJECTED,
  MT_HEALTH_PROBING, /* gets one request at a time */
};

struct mt_health
{
  unsigned failure_rate;         /* moving mean of failures, thousandths */
  unsigned consecutive_failures; /* failures in a row */
  unsigned probe_successes;      /* of the probes now running */
  unsigned backoff_exponent;     /* ejected in a row */
  int64_t last_failure_us;       /* the last failure */
  bool ejected;                  /* until enough probes went well */
  int64_t probe_from_us;         /* from then on it is probed */
};

/* Takes an answer in. others_failing: mean of the other minions', thousandths. True where the
 * minion should be ejected: the caller decides, since it knows how many already are. */
bool mt_health_record_answer (struct mt_health *health,
                              bool good,
                              unsigned others_failing,
                              int64_t now_us);
void mt_health_eject (struct mt_health *health, int64_t now_us);
void mt_health_reinstate (struct mt_health *health);
enum mt_health_state mt_health_state (const struct mt_health *health, int64_t now_us);

#endif
