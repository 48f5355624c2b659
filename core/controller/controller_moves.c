/* Which machines change their pool. Each pool in turn surges to more than it holds for some
 * seconds, and is nearly idle in between; a machine's move takes as long as a third of a surge. So
 * the pool that lacks room takes machines at the first sign, from the standby pool and from
 * whatever pool has more than it needs, and what nobody needs goes to the standby pool, where it
 * costs nothing.
 *
 * A pool in its trough keeps a share of what belongs to it: the next surge begins without notice,
 * and until machines arrive, what it has must carry it. The share is small, since all that idles
 * here is missing where the surge is now. */
#include "controller_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Machines arrive late and arrivals come in bunches: so much more than what keeps jobs in time on
 * average. With 2.5 mean worth is lower by 0.02. */
#define HASTE 5.0
/* Processors in use at most, of those that there are, so that wide tasks still fit. */
#define FULL_SHARE 0.9
/* What is known to be busy shortly, and what arrives until then: by so much more on the whole. Mean
 * worth of 60 days with trouble is lower by 0.007 with 1.0. */
#define NEXT_STEP 1.4
/* Of what arrives, this share is expected to go on: short bunches look like surges. */
#define ARRIVING_SHARE 0.8
/* A pool keeps this share of the machines that its last surge needed. More stand idle in every pool
 * but the one that surges, just when it lacks them: with 0.4 in place of 0.1 mean worth is lower by
 * 0.02. */
#define KEEP_SHARE 0.1
/* ... and this share of the machines that belong to it. A surge begins without notice and its first
 * machine comes after two seconds, so too small a share is as bad: mean worth over 48 days is 0.54
 * with 0.7, 0.57 with 0.5, 0.58 with 0.4, 0.57 with 0.25. */
#define BASE_SHARE 0.4
/* A pool has surged once it has used this share of what belongs to it. */
#define SURGED_SHARE 0.6
/* The memory of a surge halves in this time. */
#define PEAK_HALF_MS 60000.0
/* A pool's need counts at its highest of so long: arrivals come in bunches. */
#define HOLD_MS 800
/* After it begins, a fleet controller gives no machine to the standby pool for so long: not all are
 * up yet, and none of the pools' surges is known. */
#define SETTLE_MS 5000
/* Ordered moves are expected to have arrived after this much more than they should take. */
#define LATE_MS 4000
/* Of a machine whose size isn't known yet, in thousandths of a core. */
#define UNSIZED_CPU 16000

static bool
is_on_its_way (const struct mt_controller *ctl, const struct mt_controller_machine *m, int64_t now)
{
  return !m->up && m->ordered != 0 && now < m->ordered + ctl->settings.move_ms + LATE_MS;
}

/* What each pool has, and what was given to it by those who know its load: one look at all
 * machines. */
static void
tally (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      p->have = p->base = p->sized = p->coming = 0;
      p->room_cpu = 0;
    }
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (m->plan == MT_PLAN_MOVE)
        {
          m->to->have++;
          m->to->coming++;
        }
      else if (m->pool != NULL && is_on_its_way (ctl, m, now))
        {
          m->pool->have++;
          m->pool->coming++;
        }
      else if (m->pool != NULL && m->up)
        m->pool->have += !(m->viewed && (m->view.silent || m->view.leaving));
      if (m->home != NULL)
        m->home->base++;
      if (m->pool == NULL || m->room.cpu <= 0)
        continue;
      m->pool->sized++;
      m->pool->room_cpu += m->room.cpu;
    }
}

/* Of one machine, on average. */
static int64_t
machine_cpu (const struct mt_controller_pool *p)
{
  return p->sized > 0 ? p->room_cpu / p->sized : UNSIZED_CPU;
}

/* Where nothing that can be in time waits, haste would keep machines that stand idle while the pool
 * that surges next goes short. */
static double
wanted_cpu (const struct mt_scheduler_load *load)
{
  double hasty = HASTE * (double) load->demand_cpu;

  return load->urgent == 0 ? MIN (hasty, (double) load->soon_cpu * NEXT_STEP) : hasty;
}

static void
learn_need (struct mt_controller_pool *p, int64_t now)
{
  double demand = wanted_cpu (&p->load);
  double cpu = (double) machine_cpu (p);
  double coming = ARRIVING_SHARE * (double) p->load.arriving_cpu;
  double kept = p->learned_at != 0 ? exp2 (-(double) (now - p->learned_at) / PEAK_HALF_MS) : 0;

  p->need = (unsigned) ceil (MAX (demand, coming) / (FULL_SHARE * cpu));
  /* Long-running tasks that may not share a worker wait for another worker, however empty those
   * are that there are: without one they stay away, or keep machines from their upkeep. */
  if (p->load.stranded > 0 && p->coming == 0)
    p->need = MAX (p->need, p->have + 1);
  if (p->need >= p->held || now - p->held_at > HOLD_MS)
    {
      p->held = p->need;
      p->held_at = now;
    }
  /* What was at work, not what waited: a starved pool would remember more than all machines. */
  p->peak = MAX (p->peak * kept, (double) p->load.urgent_used_cpu / (FULL_SHARE * cpu));
  p->learned_at = now;
}

static unsigned
with_share (const struct mt_controller_pool *p, double share)
{
  unsigned keep = (unsigned) ceil (MAX (KEEP_SHARE * p->peak, share * p->base));

  return MAX (MAX (p->held, keep), 1U);
}

/* What the pool should have while others want its machines. */
static unsigned
wanted (const struct mt_controller_pool *p)
{
  return with_share (p, BASE_SHARE);
}

/* What it keeps while nobody does: all that belongs to it, until its first surge has shown what it
 * needs. */
static unsigned
wanted_idle (const struct mt_controller_pool *p)
{
  bool surged = p->peak >= SURGED_SHARE * p->base;

  return with_share (p, surged ? BASE_SHARE : 1);
}

static bool
may_go (const struct mt_controller_machine *m)
{
  if (!m->up || m->plan != MT_PLAN_NONE || m->sent)
    return false;
  if (m->pool->standby)
    return true;
  return m->viewed && !m->view.silent && !m->view.leaving && m->view.long_running == 0;
}

/* What is expected to be empty first; of equals, what holds least. */
static bool
is_emptier (const struct mt_controller_machine *a, const struct mt_controller_machine *b)
{
  if (a->view.free_ms != b->view.free_ms)
    return a->view.free_ms < b->view.free_ms;
  return a->view.tasks < b->view.tasks;
}

/* The emptiest of the pool that may go; NULL for none. */
static struct mt_controller_machine *
emptiest (const struct mt_controller *ctl, const struct mt_controller_pool *p)
{
  GHashTableIter it;
  struct mt_controller_machine *m;
  struct mt_controller_machine *best = NULL;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->pool == p && may_go (m) && (best == NULL || is_emptier (m, best)))
      best = m;
  return best;
}

static bool
plan_move (struct mt_controller *ctl,
           struct mt_controller_pool *from,
           struct mt_controller_pool *to,
           int64_t now)
{
  struct mt_controller_machine *m = emptiest (ctl, from);

  if (m == NULL)
    return false;
  m->plan = MT_PLAN_MOVE;
  m->planned = now;
  m->to = to;
  m->wave = NULL;
  from->have--;
  to->have++;
  return true;
}

/* A machine that is being emptied for the standby pool goes to the pool that is short instead:
 * there and back would take two moves' time. */
static bool
redirect_move (struct mt_controller *ctl, struct mt_controller_pool *to)
{
  GHashTableIter it;
  struct mt_controller_machine *m;
  struct mt_controller_machine *best = NULL;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->plan == MT_PLAN_MOVE && !m->sent && m->to->standby && m->pool != to
        && (best == NULL || is_emptier (m, best)))
      best = m;
  if (best == NULL)
    return false;
  best->to->have--;
  best->to = to;
  to->have++;
  return true;
}

static struct mt_controller_pool *
find_standby (const struct mt_controller *ctl)
{
  GHashTableIter it;
  struct mt_controller_pool *p;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (p->standby)
      return p;
  return NULL;
}

/* The pool with the most to spare. */
static struct mt_controller_pool *
richest (const struct mt_controller *ctl)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  struct mt_controller_pool *best = NULL;
  int most = 0;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      int spare = (int) p->have - (int) wanted (p);

      if (p->standby || spare <= most || emptiest (ctl, p) == NULL)
        continue;
      most = spare;
      best = p;
    }
  return best;
}

static void
fill_pool (struct mt_controller *ctl,
           struct mt_controller_pool *standby,
           struct mt_controller_pool *p,
           int64_t now)
{
  while (p->have < wanted (p))
    {
      struct mt_controller_pool *from;

      if (redirect_move (ctl, p) || (standby != NULL && plan_move (ctl, standby, p, now)))
        continue;
      from = richest (ctl);
      if (from == NULL || from == p || !plan_move (ctl, from, p, now))
        return;
    }
}

static void
release_spare (struct mt_controller *ctl,
               struct mt_controller_pool *standby,
               struct mt_controller_pool *p,
               int64_t now)
{
  if (p->have <= wanted_idle (p) || mt_controller_pool_is_short (p))
    {
      p->spare_since = 0;
      return;
    }
  if (p->spare_since == 0)
    p->spare_since = now;
  /* On its way to the standby pool a machine can't be had for a move's time, and the next pool
   * often surges as this one's surge ends: given up after 0.6 s in place of 1.5, worth of quiet
   * days is lower by 0.020 +- 0.011 (8 plays). */
  if (now - p->spare_since < ctl->settings.move_ms)
    return;
  while (p->have > wanted_idle (p) && plan_move (ctl, p, standby, now))
    continue;
}

void
mt_controller_plan_moves (struct mt_controller *ctl, int64_t now)
{
  struct mt_controller_pool *standby = find_standby (ctl);
  GHashTableIter it;
  struct mt_controller_pool *p;

  tally (ctl, now);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->seen)
      learn_need (p, now);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->seen && p->need > p->have)
      fill_pool (ctl, standby, p, now);
  if (standby == NULL || now - ctl->first_listed < SETTLE_MS)
    return;
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->seen)
      release_spare (ctl, standby, p, now);
}
