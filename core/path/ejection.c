#include "medlartrack/ejection.h"

#define STREAK       5   /* failures in a row */
#define SICK         500 /* moving mean of failures */
#define WEIGHT       8   /* of the moving mean: one answer counts an eighth */
#define PROBES       3   /* that must go well in a row */
#define FIRST_OUT_US (1 * MT_SECOND)
#define MAX_DOUBLED  5

static bool
note_probe (struct mt_health *health, bool good)
{
  if (!good)
    return true;
  health->probe_successes++;
  if (health->probe_successes >= PROBES)
    mt_health_reinstate (health);
  return false;
}

/* Fast errors make a minion look idle, and a policy that prefers the idle one would send it all
 * work. Where all minions fail alike the cause isn't theirs, and ejecting some would only take
 * capacity away: a minion has to be twice as bad as the others. */
bool
mt_health_record_answer (struct mt_health *health,
                         bool good,
                         unsigned others_failing,
                         int64_t now_us)
{
  unsigned sample = good ? 0 : MT_HEALTH_MAX_FAILURE_RATE;

  health->failure_rate = (health->failure_rate * (WEIGHT - 1) + sample) / WEIGHT;
  health->consecutive_failures = good ? 0 : health->consecutive_failures + 1;
  if (!good)
    health->last_failure_us = now_us;
  if (health->ejected)
    return note_probe (health, good);
  if (health->consecutive_failures < STREAK && health->failure_rate < SICK)
    return false;
  return !good && health->failure_rate > 2 * others_failing;
}

void
mt_health_eject (struct mt_health *health, int64_t now_us)
{
  health->ejected = true;
  health->probe_successes = 0;
  health->probe_from_us = now_us + (FIRST_OUT_US << health->backoff_exponent);
  if (health->backoff_exponent < MAX_DOUBLED)
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
