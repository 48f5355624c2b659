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
  health->goods++;
  if (health->goods >= PROBES)
    mt_health_return (health);
  return false;
}

/* Fast errors make a minion look idle, and a policy that prefers the idle one would send it all
 * work. Where all minions fail alike the cause isn't theirs, and ejecting some would only take
 * capacity away: a minion has to be twice as bad as the others. */
bool
mt_health_note (struct mt_health *health, bool good, unsigned others_failing, int64_t now_us)
{
  unsigned sample = good ? 0 : MT_HEALTH_FULL;

  health->failing = (health->failing * (WEIGHT - 1) + sample) / WEIGHT;
  health->streak = good ? 0 : health->streak + 1;
  if (!good)
    health->failed_us = now_us;
  if (health->ejected)
    return note_probe (health, good);
  if (health->streak < STREAK && health->failing < SICK)
    return false;
  return !good && health->failing > 2 * others_failing;
}

void
mt_health_eject (struct mt_health *health, int64_t now_us)
{
  health->ejected = true;
  health->goods = 0;
  health->probe_us = now_us + (FIRST_OUT_US << health->times);
  if (health->times < MAX_DOUBLED)
    health->times++;
}

void
mt_health_return (struct mt_health *health)
{
  *health = (struct mt_health){ .times = health->times > 0 ? health->times - 1 : 0 };
}

enum mt_health_state
mt_health_state (const struct mt_health *health, int64_t now_us)
{
  if (!health->ejected)
    return MT_HEALTH_IN;
  return health->probe_us > now_us ? MT_HEALTH_EJECTED : MT_HEALTH_PROBED;
}
