/* Allocation of the machines to the pools, whose needs together may exceed the fleet.
 *
 * The pools surge in turn, beyond the capacity of their machines. Where the fleet is nearly full, a
 * surge begins while the surge before it still has work waiting. If the first pool to ask kept all
 * machines, callers of the next pool would get nothing. So machines are allocated in tiers of need.
 * While a pool is starved, the machines of a tier are shared in proportion to the pools' needs, and
 * the next tier gets what remains. Otherwise each pool is allocated its whole need and gets
 * machines as they become free: the machines of a surge that is ending become free sooner than
 * others could be moved. */
#include "controller_internal.h"

#include <math.h>
#include <stdlib.h>

/* Need with a margin, as a multiple of the demand, which keeps jobs within their objectives on
 * average only: machines arrive late and jobs arrive in bursts. */
#define BURST_FACTOR 5.0
/* While a pool is starved, the need with a margin is this multiple of the arriving work, but at
 * least STARVED_BURST_FACTOR of the demand: a surge that is over needs no margin. */
#define STARVED_BURST_FACTOR 2.5
#define ARRIVING_FACTOR      3.0
/* A pool that has had fewer machines than its mean need for this long is starved. Where a surge
 * merely follows another one, its pool gets machines sooner. */
#define STARVED_MS 1500
/* Highest share of a machine's processors to be in use, so that wide tasks still fit. */
#define MAX_CPU_SHARE 0.9
/* Ratio of the upcoming load including jobs that arrive until then to that of the present jobs. */
#define UPCOMING_FACTOR 1.4
/* Share of the arriving work that is expected to last: short bursts look like surges. */
#define LASTING_SHARE 0.8
/* Share of the machines needed in its last surge that a pool keeps. More would stand idle in all
 * other pools while one pool surges and lacks them. */
#define PEAK_RESERVE_SHARE 0.1
/* Share of its home machines that a pool keeps: a surge begins without notice, and the first
 * machine from elsewhere arrives after two seconds. */
#define HOME_RESERVE_SHARE 0.4
/* A pool has surged once it has used this share of its home machines. */
#define SURGED_SHARE 0.6
/* Half-life of peak_machines. */
#define PEAK_HALF_LIFE_MS 60000.0
/* A pool's need is the highest within this time: jobs arrive in bursts. */
#define NEED_WINDOW_MS 800
/* Share of the time in which a pool of the designed load surges (6.5 s of 26 s): the probability of
 * a surge where a forecast of quiet is wrong. */
#define SURGE_TIME_SHARE 0.25
/* Need with a margin during a surge of known height, as a multiple of that height. More would be
 * idle; work that waits counts as demand, for which this is no limit. */
#define KNOWN_SURGE_FACTOR 1.15
/* Capacity assumed for a machine of unknown size, in thousandths of a core. */
#define DEFAULT_MACHINE_CPU 16000

/* Returns the mean capacity of the pool's machines, in thousandths of a core. */
static double
machine_cpu (const struct mt_controller_pool *p)
{
  return p->n_sized > 0 ? (double) p->capacity_cpu / p->n_sized : DEFAULT_MACHINE_CPU;
}

static unsigned
machines_for (const struct mt_controller_pool *p, double cpu)
{
  return (unsigned) ceil (cpu / (MAX_CPU_SHARE * machine_cpu (p)));
}

/* Returns the need with a margin, in thousandths of a core. The margin is limited if no work waits
 * that can still meet its objective: it would keep machines idle that the next surge lacks. */
static double
burst_cpu (const struct mt_scheduler_load *load, bool starved)
{
  double burst = BURST_FACTOR * (double) load->demand_cpu;

  if (starved)
    burst = CLAMP (ARRIVING_FACTOR * (double) load->arriving_cpu,
                   STARVED_BURST_FACTOR * (double) load->demand_cpu, burst);
  return load->urgent == 0 ? MIN (burst, (double) load->upcoming_cpu * UPCOMING_FACTOR) : burst;
}

static void
update_recent_max (struct mt_controller_recent_max *recent, unsigned machines_now, int64_t now)
{
  if (machines_now < recent->machines && now - recent->at <= NEED_WINDOW_MS)
    return;
  recent->machines = machines_now;
  recent->at = now;
}

void
mt_controller_update_need (struct mt_controller_pool *p, bool starved, int64_t now)
{
  double lasting = LASTING_SHARE * (double) p->load.arriving_cpu;
  double decay = p->peak_at != 0 ? exp2 (-(double) (now - p->peak_at) / PEAK_HALF_LIFE_MS) : 0;
  unsigned burst = machines_for (p, MAX (burst_cpu (&p->load, starved), lasting));
  unsigned mean = machines_for (p, MAX ((double) p->load.demand_cpu, lasting));

  if (p->n_surge > 0)
    {
      burst = MIN (burst, MAX (mean, (unsigned) ceil (KNOWN_SURGE_FACTOR * p->n_surge)));
      p->burst_need.machines = MIN (p->burst_need.machines, burst);
    }
  update_recent_max (&p->burst_need, burst, now);
  update_recent_max (&p->mean_need, MIN (mean, burst), now);
  /* Counts processors in use and no waiting work: for a starved pool the peak would otherwise
   * exceed all machines. */
  p->peak_machines
      = MAX (p->peak_machines * decay, (double) machines_for (p, (double) p->load.urgent_used_cpu));
  p->peak_at = now;
}

int64_t
mt_controller_allocated_cpu (const struct mt_controller_pool *p)
{
  return (int64_t) (p->n_allocated * machine_cpu (p));
}

int64_t
mt_controller_move_ms (const struct mt_controller *ctl)
{
  return ctl->move_took_ms > 0 ? (int64_t) ctl->move_took_ms : ctl->settings.move_ms;
}

static unsigned
machines_for_surge (const struct mt_controller *ctl,
                    const struct mt_controller_pool *p,
                    const struct mt_forecast_value *value)
{
  return value->surge && value->confidence > ctl->settings.idle_cost ? machines_for (p, value->cpu)
                                                                     : 0;
}

/* A machine is held for a time if the probability that it is needed then exceeds its cost in the
 * same unit, the work of a full machine. It is looked at for the time at which a machine that is
 * ordered now would arrive. A pool without a confirmed forecast is treated as with none: after a
 * single round, pools that gave up their reserve had hardly any machines at their second surge. */
void
mt_controller_update_forecast (const struct mt_controller *ctl,
                               struct mt_controller_pool *p,
                               int64_t now)
{
  struct mt_forecast_value value;

  p->n_surge = p->n_forecast = 0;
  p->quiet_ahead = false;
  if (ctl->forecast == NULL || !mt_forecast_is_confirmed (ctl->forecast, p->name))
    return;
  mt_forecast_expect (ctl->forecast, p->name, now, now, &value);
  p->n_surge = machines_for_surge (ctl, p, &value);
  mt_forecast_expect (ctl->forecast, p->name, now + mt_controller_move_ms (ctl), now, &value);
  p->n_forecast = machines_for_surge (ctl, p, &value);
  p->quiet_ahead = !value.surge
                   && SURGE_TIME_SHARE * (1 - value.confidence) < ctl->settings.idle_cost
                   && value.confidence > 0;
  p->gave_up_reserve |= p->quiet_ahead;
}

static unsigned
reserve_of (const struct mt_controller_pool *p, double share)
{
  return MAX ((unsigned) ceil (MAX (PEAK_RESERVE_SHARE * p->peak_machines, share * p->n_home)), 1U);
}

unsigned
mt_controller_idle_machines (const struct mt_controller_pool *p)
{
  bool surged = p->peak_machines >= SURGED_SHARE * p->n_home;

  if (p->quiet_ahead)
    return MAX (p->n_allocated, 1U);
  return MAX (p->n_allocated, reserve_of (p, surged ? HOME_RESERVE_SHARE : 1));
}

/* ---- tiers ---- */

/* Machines that can't leave the pool. One more is needed for long-running tasks that may not share
 * a worker, however empty the existing workers are: they would not run, or would keep their machine
 * from its maintenance. */
static unsigned
need_pinned (const struct mt_controller_pool *p)
{
  return MAX (p->load.unplaceable > 0 && p->n_arriving == 0 ? p->n_machines + 1 : p->n_pinned, 1U);
}

static unsigned
need_mean (const struct mt_controller_pool *p)
{
  return p->mean_need.machines;
}

/* The reserve is limited to the machines that the pool has: no other pool gives up a machine that
 * it uses for one to idle here. */
static unsigned
need_reserve (const struct mt_controller_pool *p)
{
  if (p->quiet_ahead)
    return 1;
  return MIN (reserve_of (p, HOME_RESERVE_SHARE), p->n_machines);
}

static unsigned
need_forecast (const struct mt_controller_pool *p)
{
  return p->n_forecast;
}

static unsigned
need_burst (const struct mt_controller_pool *p)
{
  return p->burst_need.machines;
}

/* The reserve that the pool gave up while it was quiet. */
static unsigned
need_lost_reserve (const struct mt_controller_pool *p)
{
  return p->gave_up_reserve && !p->quiet_ahead ? reserve_of (p, HOME_RESERVE_SHARE) : 0;
}

static unsigned
need_overdue (const struct mt_controller_pool *p)
{
  return p->burst_need.machines + machines_for (p, (double) p->load.overdue_cpu);
}

static const struct tier
{
  const char *name;
  const char *description;
  unsigned (*need) (
      const struct mt_controller_pool *p); /* machines needed for all tiers up to this one */
  bool overdue;                            /* takes no machines from other pools */
} tiers[] = {
  { "pinned", "machines that can't leave, or one more if a task fits on no worker", need_pinned },
  { "keep", "reserve for the start of the next surge", need_reserve },
  { "timely", "machines that keep jobs within their objectives on average", need_mean },
  { "forecast", "surge that is expected when a machine ordered now arrives", need_forecast },
  { "hasty", "margin for machines that arrive late and for bursts of jobs", need_burst },
  { "restore", "reserve that was given up in a pause", need_lost_reserve, .overdue = true },
  { "late", "accepted work that can't meet its objective any more", need_overdue, .overdue = true },
};

static bool
gets_machines (const struct mt_controller_pool *p)
{
  return !p->standby && p->reported;
}

static unsigned
additional_need (const struct tier *tier, const struct mt_controller_pool *p)
{
  unsigned requested = tier->need (p);

  return requested > p->n_allocated ? requested - p->n_allocated : 0;
}

bool
mt_controller_update_starved (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  bool starved = false;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      if (!gets_machines (p) || p->n_machines >= p->mean_need.machines)
        p->short_since = 0;
      else if (p->short_since == 0)
        p->short_since = now;
      starved |= p->short_since != 0 && now - p->short_since > STARVED_MS;
    }
  return starved;
}

/* Allocates the machines of one tier and returns their number, at most available. While a pool is
 * starved each pool gets a share in proportion to its need; remainders of the rounding carry over
 * to the next pools. */
static unsigned
allocate_tier (struct mt_controller *ctl, const struct tier *tier, unsigned available)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  unsigned requested = 0;
  unsigned allocated = 0;
  double cumulative_share = 0;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    requested += gets_machines (p) ? additional_need (tier, p) : 0;
  g_hash_table_iter_init (&it, ctl->pools);
  while (requested > 0 && g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      unsigned part;

      if (!gets_machines (p))
        continue;
      cumulative_share += additional_need (tier, p)
                          * (ctl->starved ? MIN (1.0, (double) available / requested) : 1.0);
      part = (unsigned) floor (cumulative_share + 0.5) - allocated;
      p->n_allocated += part;
      allocated += part;
    }
  return MIN (allocated, available);
}

void
mt_controller_allocate (struct mt_controller *ctl, unsigned machines)
{
  GHashTableIter it;
  struct mt_controller_pool *p;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    p->n_allocated = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (tiers); i++)
    {
      machines -= allocate_tier (ctl, &tiers[i], machines);
      g_hash_table_iter_init (&it, ctl->pools);
      while (!tiers[i].overdue && g_hash_table_iter_next (&it, NULL, (void **) &p))
        p->n_claimed = p->n_allocated;
    }
}
