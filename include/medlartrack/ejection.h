/* Health of one minion, judged by its answers: it is ejected when it fails much more often than the
 * other minions, and reinstated by probes. Pure state without I/O, initially all zero. Not
 * thread-safe. */
#ifndef MEDLARTRACK_EJECTION_H
#define MEDLARTRACK_EJECTION_H

#include "medlartrack/clock.h"

#include <stdbool.h>

#define MT_HEALTH_MAX_FAILURE_RATE 1000 /* in thousandths: every answer failed */

enum mt_health_state
{
  MT_HEALTH_HEALTHY,
  MT_HEALTH_EJECTED,
  MT_HEALTH_PROBING, /* gets one request at a time */
};

struct mt_health
{
  unsigned failure_rate; /* moving mean, in thousandths */
  unsigned consecutive_failures;
  unsigned probe_successes;  /* in the current probe phase */
  unsigned backoff_exponent; /* raised by each ejection, lowered by each reinstatement */
  int64_t last_failure_us;
  bool ejected;          /* stays set until enough probes succeed */
  int64_t probe_from_us; /* time at which probes start */
};

/* Records one answer. others_failure_rate: mean failure rate of the other minions, in thousandths.
 * Returns true if the minion should be ejected. The caller decides whether to call mt_health_eject,
 * since it knows how many minions are ejected already. */
bool mt_health_record_answer (struct mt_health *health,
                              bool good,
                              unsigned others_failure_rate,
                              int64_t now_us);
/* Ejects the minion; each further ejection lasts longer before probes start. */
void mt_health_eject (struct mt_health *health, int64_t now_us);
/* Ends the ejection and clears the recorded failures. */
void mt_health_reinstate (struct mt_health *health);
/* Returns the minion's state at now_us. */
enum mt_health_state mt_health_state (const struct mt_health *health, int64_t now_us);

#endif
