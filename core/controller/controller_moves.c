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

#include <stdlib.h>
#include <string.h>

/* After it begins, a fleet controller gives no machine to the standby pool for so long: not all are
 * up yet, and none of the pools' surges is known. */
#define SETTLE_MS 5000
/* Ordered moves are expected to have arrived after this much more than they should take. */
#define LATE_MS 4000

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
  struct mt_controller_update_pool *p;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      p->have = p->base = p->sized = p->coming = p->pinned = 0;
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
      else if (m->pool != NULL && m->up && m->plan != MT_PLAN_UPKEEP)
        {
          m->pool->have += !(m->viewed && (m->view.silent || m->view.leaving));
          m->pool->pinned += m->viewed && m->view.long_running > 0;
        }
      if (m->home != NULL)
        m->home->base++;
      if (m->pool == NULL || m->room.cpu <= 0)
        continue;
      m->pool->sized++;
      m->pool->room_cpu += m->room.cpu;
    }
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
  if (a->view.batch_remaining_ms != b->view.batch_remaining_ms)
    return a->view.batch_remaining_ms < b->view.batch_remaining_ms;
  return a->view.tasks < b->view.tasks;
}

/* The emptiest of the pool that may go; NULL for none. */
static struct mt_controller_machine *
emptiest (const struct mt_controller *ctl, const struct mt_controller_update_pool *p)
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
           struct mt_controller_update_pool *from,
           struct mt_controller_update_pool *to,
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
redirect_move (struct mt_controller *ctl, struct mt_controller_update_pool *to)
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

static struct mt_controller_update_pool *
find_standby (const struct mt_controller *ctl)
{
  GHashTableIter it;
  struct mt_controller_update_pool *p;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (p->standby)
      return p;
  return NULL;
}

/* The pool with the most to spare. */
static struct mt_controller_update_pool *
richest (const struct mt_controller *ctl)
{
  GHashTableIter it;
  struct mt_controller_update_pool *p;
  struct mt_controller_update_pool *best = NULL;
  int most = 0;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      int spare = (int) p->have - (int) p->claimed;

      if (p->standby || spare <= most || emptiest (ctl, p) == NULL)
        continue;
      most = spare;
      best = p;
    }
  return best;
}

static void
fill_pool (struct mt_controller *ctl,
           struct mt_controller_update_pool *standby,
           struct mt_controller_update_pool *p,
           int64_t now)
{
  while (p->have < p->wanted)
    {
      struct mt_controller_update_pool *from;

      if (redirect_move (ctl, p) || (standby != NULL && plan_move (ctl, standby, p, now)))
        continue;
      /* From one pool's late work to another's a machine would only lose the time of its move. */
      from = p->have < p->claimed ? richest (ctl) : NULL;
      if (from == NULL || from == p || !plan_move (ctl, from, p, now))
        return;
    }
}

static void
release_spare (struct mt_controller *ctl,
               struct mt_controller_update_pool *standby,
               struct mt_controller_update_pool *p,
               int64_t now)
{
  if (p->have <= mt_controller_wanted_idle (p) || mt_controller_pool_is_short (p))
    {
      p->spare_since = 0;
      return;
    }
  if (p->spare_since == 0)
    p->spare_since = now;
  /* On its way to the standby pool a machine can't be had for a move's time, and the next pool
   * often surges as this one's surge ends. */
  if (now - p->spare_since < ctl->settings.move_ms)
    return;
  while (p->have > mt_controller_wanted_idle (p) && plan_move (ctl, p, standby, now))
    continue;
}

void
mt_controller_plan_moves (struct mt_controller *ctl, int64_t now)
{
  struct mt_controller_update_pool *standby = find_standby (ctl);
  GHashTableIter it;
  struct mt_controller_update_pool *p;
  unsigned machines = 0;

  tally (ctl, now);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      machines += p->have;
      if (!p->standby && p->seen)
        mt_controller_learn_need (p, ctl->starved, now);
    }
  ctl->starved = mt_controller_find_starved (ctl, now);
  mt_controller_deal (ctl, machines);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->seen && p->wanted > p->have)
      fill_pool (ctl, standby, p, now);
  if (standby == NULL || now - ctl->first_listed < SETTLE_MS)
    return;
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->seen)
      release_spare (ctl, standby, p, now);
}
