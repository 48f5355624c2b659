#include "medlartrack/ejection.h"

#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_FAILURE_RATE         500 /* in thousandths */
#define WEIGHT                     8   /* one answer counts an eighth in the moving mean */
#define REINSTATE_PROBES           3   /* consecutive successful probes that reinstate a minion */
#define FIRST_EJECTION_US          (1 * MT_SECOND)
#define MAX_BACKOFF_EXPONENT       5

static bool
record_probe (struct mt_health *health, bool good)
{
  if (!good)
    return true;
  health->probe_successes++;
  if (health->probe_successes >= REINSTATE_PROBES)
    mt_health_reinstate (health);
  return false;
}

/* A minion that fails fast looks idle, and a policy that prefers idle minions would send it all
 * requests. If all minions fail alike the cause is elsewhere, and ejecting some would only reduce
 * capacity: a minion is ejected only if it fails more than twice as often as the others. */
bool
mt_health_record_answer (struct mt_health *health,
                         bool good,
                         unsigned others_failure_rate,
                         int64_t now_us)
{
  unsigned sample = good ? 0 : MT_HEALTH_MAX_FAILURE_RATE;

  health->failure_rate = (health->failure_rate * (WEIGHT - 1) + sample) / WEIGHT;
  health->consecutive_failures = good ? 0 : health->consecutive_failures + 1;
  if (!good)
    health->last_failure_us = now_us;
  if (health->ejected)
    return record_probe (health, good);
  if (health->consecutive_failures < EJECT_CONSECUTIVE_FAILURES
      && health->failure_rate < EJECT_FAILURE_RATE)
    return false;
  return !good && health->failure_rate > 2 * others_failure_rate;
}

void
mt_health_eject (struct mt_health *health, int64_t now_us)
{
  health->ejected = true;
  health->probe_successes = 0;
  health->probe_from_us = now_us + (FIRST_EJECTION_US << health->backoff_exponent);
  if (health->backoff_exponent < MAX_BACKOFF_EXPONENT)
    health->backoff_exponent++;
}

void
mt_health_reinstate (struct mt_health *health)
{
  *health = (struct mt_health){ .backoff_exponent
                                = health->backoff_exponent > 0 ? health->backoff_exponent - 1 : 0 };
}

enum mt_health_state
mt_health_state (const struct mt_health *health, int64_t now_us)
{
  if (!health->ejected)
    return MT_HEALTH_HEALTHY;
  return health->probe_from_us > now_us ? MT_HEALTH_EJECTED : MT_HEALTH_PROBING;
}
