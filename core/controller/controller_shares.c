/* How many machines each pool should have, when all together may ask for more than there are.
 *
 * The load: pools surge by turns, each to more than it holds, and where the fleet is about full a
 * surge begins while the one before it still has work waiting. Whoever asked first would keep all
 * machines, and the next pool's callers would get nothing. So machines are dealt out in tiers.
 * While a pool is starved what is asked for in one is shared in proportion, and the next one gets
 * what is left; else each gets what it asks for as machines come free, since those at work in a
 * surge that ends are free sooner than they could be moved. */
#include "controller_internal.h"

#include <math.h>
#include <stdlib.h>

/* Machines arrive late and arrivals come in bunches: so much more than what keeps jobs in time on
 * average. */
#define HASTE 5.0
/* While a pool is starved haste goes by what arrives: a surge that is over needs none. */
#define STARVED_HASTE   2.5
#define ARRIVING_FACTOR 3.0
/* A pool that has lacked what keeps its jobs in time for so long is starved: one surge that follows
 * another gets its machines in less. */
#define STARVED_MS 1500
/* Processors in use at most, of those that there are, so that wide tasks still fit. */
#define FULL_SHARE 0.9
/* What is known to be busy shortly, and what arrives until then: by so much more on the whole. */
#define NEXT_STEP 1.4
/* Of what arrives, this share is expected to go on: short bunches look like surges. */
#define ARRIVING_SHARE 0.8
/* A pool keeps this share of the machines that its last surge needed. More stand idle in every pool
 * but the one that surges, just when it lacks them. */
#define KEEP_SHARE 0.1
/* ... and this share of the machines that belong to it: a surge begins without notice, and its
 * first machine comes after two seconds. */
#define BASE_SHARE 0.4
/* A pool has surged once it has used this share of what belongs to it. */
#define SURGED_SHARE 0.6
/* The memory of a surge halves in this time. */
#define PEAK_HALF_MS 60000.0
/* A pool's need counts at its highest of so long: arrivals come in bunches. */
#define HOLD_MS 800
/* Of a machine whose size isn't known yet, in thousandths of a core. */
#define UNSIZED_CPU 16000

/* Of one machine, on average. */
static double
machine_cpu (const struct mt_controller_update_pool *p)
{
  return p->sized > 0 ? (double) p->room_cpu / p->sized : UNSIZED_CPU;
}

static unsigned
machines_for (const struct mt_controller_update_pool *p, double cpu)
{
  return (unsigned) ceil (cpu / (FULL_SHARE * machine_cpu (p)));
}

/* Where nothing that can be in time waits, haste would keep machines that stand idle while the pool
 * that surges next goes short. */
static double
hasty_cpu (const struct mt_scheduler_load *load, bool starved)
{
  double hasty = HASTE * (double) load->demand_cpu;

  if (starved)
    hasty = CLAMP (ARRIVING_FACTOR * (double) load->arriving_cpu,
                   STARVED_HASTE * (double) load->demand_cpu, hasty);
  return load->urgent == 0 ? MIN (hasty, (double) load->upcoming_cpu * NEXT_STEP) : hasty;
}

static void
hold (struct mt_controller_peak *peak, unsigned now_needed, int64_t now)
{
  if (now_needed < peak->machines && now - peak->at <= HOLD_MS)
    return;
  peak->machines = now_needed;
  peak->at = now;
}

void
mt_controller_learn_need (struct mt_controller_update_pool *p, bool starved, int64_t now)
{
  double coming = ARRIVING_SHARE * (double) p->load.arriving_cpu;
  double kept = p->learned_at != 0 ? exp2 (-(double) (now - p->learned_at) / PEAK_HALF_MS) : 0;
  unsigned hasty = machines_for (p, MAX (hasty_cpu (&p->load, starved), coming));
  unsigned timely = machines_for (p, MAX ((double) p->load.demand_cpu, coming));

  hold (&p->hasty, hasty, now);
  hold (&p->timely, MIN (timely, hasty), now);
  /* What was at work, not what waited: a starved pool would remember more than all machines. */
  p->peak = MAX (p->peak * kept, (double) machines_for (p, (double) p->load.urgent_used_cpu));
  p->learned_at = now;
}

int64_t
mt_controller_promised_cpu (const struct mt_controller_update_pool *p)
{
  return (int64_t) (p->wanted * machine_cpu (p));
}

static unsigned
keep_of (const struct mt_controller_update_pool *p, double share)
{
  return MAX ((unsigned) ceil (MAX (KEEP_SHARE * p->peak, share * p->base)), 1U);
}

unsigned
mt_controller_wanted_idle (const struct mt_controller_update_pool *p)
{
  bool surged = p->peak >= SURGED_SHARE * p->base;

  return MAX (p->wanted, keep_of (p, surged ? BASE_SHARE : 1));
}

/* ---- tiers ---- */

/* Long-running tasks that may not share a worker wait for another worker, however empty those are
 * that there are: without one they stay away, or keep machines from their upkeep. */
static unsigned
ask_pinned (const struct mt_controller_update_pool *p)
{
  return MAX (p->load.unplaceable > 0 && p->coming == 0 ? p->have + 1 : p->pinned, 1U);
}

static unsigned
ask_timely (const struct mt_controller_update_pool *p)
{
  return p->timely.machines;
}

/* It keeps what it has, and takes nothing for it: a machine that idles there was at work elsewhere.
 */
static unsigned
ask_keep (const struct mt_controller_update_pool *p)
{
  return MIN (keep_of (p, BASE_SHARE), p->have);
}

static unsigned
ask_hasty (const struct mt_controller_update_pool *p)
{
  return p->hasty.machines;
}

static unsigned
ask_late (const struct mt_controller_update_pool *p)
{
  return p->hasty.machines + machines_for (p, (double) p->load.overdue_cpu);
}

static const struct tier
{
  const char *name;
  const char *description;
  unsigned (*ask) (
      const struct mt_controller_update_pool *p); /* machines in all, this tier included */
  bool late;                                      /* no reason to take machines from other pools */
} tiers[] = {
  { "pinned", "machines that can't go, or one more for what finds none", ask_pinned },
  { "keep", "what the next surge begins with", ask_keep },
  { "timely", "what keeps jobs in time on average", ask_timely },
  { "hasty", "more, since machines come late and arrivals in bunches", ask_hasty },
  { "late", "what was accepted and can't be in time any more", ask_late, .late = true },
};

static bool
takes_part (const struct mt_controller_update_pool *p)
{
  return !p->standby && p->seen;
}

static unsigned
asked_more (const struct tier *tier, const struct mt_controller_update_pool *p)
{
  unsigned asked = tier->ask (p);

  return asked > p->wanted ? asked - p->wanted : 0;
}

bool
mt_controller_find_starved (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_update_pool *p;
  bool starved = false;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      if (!takes_part (p) || p->have >= p->timely.machines)
        p->short_since = 0;
      else if (p->short_since == 0)
        p->short_since = now;
      starved |= p->short_since != 0 && now - p->short_since > STARVED_MS;
    }
  return starved;
}

/* While a pool is starved, in proportion to what each asks for; what is left of the rounding goes
 * on to the next pools. */
static unsigned
deal_tier (struct mt_controller *ctl, const struct tier *tier, unsigned left)
{
  GHashTableIter it;
  struct mt_controller_update_pool *p;
  unsigned asked = 0;
  unsigned dealt = 0;
  double due = 0;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    asked += takes_part (p) ? asked_more (tier, p) : 0;
  g_hash_table_iter_init (&it, ctl->pools);
  while (asked > 0 && g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      unsigned part;

      if (!takes_part (p))
        continue;
      due += asked_more (tier, p) * (ctl->starved ? MIN (1.0, (double) left / asked) : 1.0);
      part = (unsigned) floor (due + 0.5) - dealt;
      p->wanted += part;
      dealt += part;
    }
  return MIN (dealt, left);
}

void
mt_controller_deal (struct mt_controller *ctl, unsigned machines)
{
  GHashTableIter it;
  struct mt_controller_update_pool *p;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    p->wanted = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (tiers); i++)
    {
      machines -= deal_tier (ctl, &tiers[i], machines);
      g_hash_table_iter_init (&it, ctl->pools);
      while (!tiers[i].late && g_hash_table_iter_next (&it, NULL, (void **) &p))
        p->claimed = p->wanted;
    }
}
