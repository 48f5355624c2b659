/* Upkeep: each machine of a wave is down once, before the wave is due, `cap` at a time at most. The
 * emptiest go first, and while there is time, none of a pool that is short of room: the pools are
 * short by turns. */
#include "controller_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* From the decision to empty a worker until it is empty: its longest tasks, some 3 s. */
#define EMPTYING_MS 3000
/* A long-running task is at work elsewhere so long after it was stopped; the next of its step waits
 * for that. */
#define ROUND_MS 1200
/* So many times the time that the rest of a wave needs must be left for it to wait for a trough. */
#define SLACK_FACTOR 1.6
/* Up to this share of its processors in use, a worker counts as quiet. */
#define QUIET_SHARE 0.5
/* Against a share of processors in use: a pool that is short gives none while there is time. */
#define SHORT_COST 10
/* Machines that take long to empty go first while there is time, since they can't be hurried later;
 * in shares of processors in use for each round. */
#define ROUND_GAIN 0.1
/* What can't wait any more goes before all else. */
#define DUE_GAIN 100

struct candidate
{
  struct mt_controller_machine *machine;
  bool waits; /* there is time to wait for a better moment */
  double cost;
};

static int
compare (const void *left, const void *right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;

  return a->cost < b->cost ? -1 : a->cost > b->cost;
}

static unsigned
count_down (const struct mt_controller *ctl, const struct mt_controller_update_wave *w)
{
  GHashTableIter it;
  struct mt_controller_machine *m;
  unsigned n = 0;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    n += (m->plan == MT_PLAN_UPKEEP && m->wave == w) || m->in_upkeep;
  return n;
}

static double
share_used (const struct mt_worker_view *v)
{
  return v->resources.cpu > 0 ? (double) v->used.cpu / (double) v->resources.cpu : 1;
}

static bool
is_pinned (const struct mt_controller_machine *m)
{
  return m->viewed && m->view.long_running > 0;
}

/* What it costs the pool to do without this machine for a while; a machine that is off costs
 * nothing. */
static double
cost_of (const struct mt_controller_machine *m)
{
  if (m->pool->standby || m->worker == NULL)
    return -1;
  if (!m->viewed)
    return 50;
  return share_used (&m->view) - ROUND_GAIN * m->view.drain_rounds
         + (mt_controller_pool_is_short (m->pool) ? SHORT_COST : 0);
}

/* Long-running tasks take seconds to move, one after the other: their machines are begun with while
 * there is time, in a trough like the others. */
static bool
is_quiet (const struct mt_controller_machine *m)
{
  if (m->pool->standby || m->worker == NULL)
    return true;
  return m->viewed && !mt_controller_pool_is_short (m->pool)
         && share_used (&m->view) <= QUIET_SHARE;
}

int64_t
mt_controller_drain_ms (const struct mt_controller_machine *m)
{
  return EMPTYING_MS + (m->viewed ? (int64_t) m->view.drain_rounds * ROUND_MS : 0);
}

/* Long-running tasks go one after the other, of all machines of a pool together: so long it takes
 * until the last of the wave's machines there has none. */
static int64_t
pool_drain_ms (const struct mt_controller *ctl,
               const struct mt_controller_update_wave *w,
               const struct mt_controller_update_pool *p)
{
  GHashTableIter it;
  const char *id;
  int64_t sum = 0;

  g_hash_table_iter_init (&it, w->left);
  while (g_hash_table_iter_next (&it, (void **) &id, NULL))
    {
      const struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, id);

      if (m != NULL && m->pool == p && m->viewed)
        sum += (int64_t) m->view.drain_rounds * ROUND_MS;
    }
  return sum;
}

static bool
may_wait (const struct mt_controller *ctl,
          const struct mt_controller_update_wave *w,
          const struct mt_controller_machine *m,
          int64_t now)
{
  int64_t others = (g_hash_table_size (w->left) - 1) / w->cap;
  int64_t by_cap
      = others * (EMPTYING_MS + ctl->settings.maintenance_ms) + mt_controller_drain_ms (m);
  int64_t by_pool
      = is_pinned (m) ? EMPTYING_MS + pool_drain_ms (ctl, w, m->pool) : mt_controller_drain_ms (m);
  int64_t need = MAX (by_cap, by_pool) + ctl->settings.maintenance_ms;

  return (double) (w->due - now) > SLACK_FACTOR * (double) need;
}

/* How many may be down or emptied at once. While callers wait for machines a wave is spread over
 * the time that it has: as many as that takes, with some to spare, and not all that its cap allows.
 */
static unsigned
at_a_time (const struct mt_controller *ctl, const struct mt_controller_update_wave *w, int64_t now)
{
  double each = (double) (EMPTYING_MS + ctl->settings.maintenance_ms);
  double left = (double) MAX (w->due - now, 1);

  if (!mt_controller_is_short (ctl))
    return w->cap;
  return MIN (w->cap, (unsigned) ceil (SLACK_FACTOR * g_hash_table_size (w->left) * each / left));
}

/* One machine of the pool that moves its long-running tasks off keeps the budgets of most jobs in
 * use; more only as the time that is left asks for it. */
static unsigned
draining_at_a_time (const struct mt_controller *ctl,
                    const struct mt_controller_update_wave *w,
                    const struct mt_controller_update_pool *p,
                    int64_t now)
{
  double left = (double) MAX (w->due - now, 1);

  return (unsigned) MAX (ceil (SLACK_FACTOR * (double) pool_drain_ms (ctl, w, p) / left), 1);
}

static GArray *
find_candidates (struct mt_controller *ctl, const struct mt_controller_update_wave *w, int64_t now)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  GHashTableIter it;
  const char *id;

  g_hash_table_iter_init (&it, w->left);
  while (g_hash_table_iter_next (&it, (void **) &id, NULL))
    {
      struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, id);
      struct candidate c = { .machine = m };

      if (m == NULL || !m->up || m->plan == MT_PLAN_UPKEEP || m->sent)
        continue;
      c.waits = may_wait (ctl, w, m, now);
      if (c.waits && !is_quiet (m))
        continue;
      c.cost = cost_of (m) - (c.waits ? 0 : DUE_GAIN);
      g_array_append_val (out, c);
    }
  g_array_sort (out, compare);
  return out;
}

/* Machines of a pool that are away or about to be, and those of them that still have long-running
 * tasks to move off. */
struct away
{
  unsigned all;
  unsigned away;
  unsigned draining;
};

static struct away
away_of_pool (const struct mt_controller *ctl, const struct mt_controller_update_pool *p)
{
  GHashTableIter it;
  const struct mt_controller_machine *m;
  struct away out = { 0 };

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (m->pool != p)
        continue;
      out.all++;
      out.away += !m->up || m->plan != MT_PLAN_NONE;
      out.draining += m->plan == MT_PLAN_UPKEEP && is_pinned (m);
    }
  return out;
}

/* While it may wait, a pool gives up no more than a third of its machines at a time. Of those with
 * long-running tasks, whose tasks wait for each other wherever they are, the next begins as the one
 * before it is done: begun together all would be kept from other work for the time of all. */
static bool
may_begin (const struct mt_controller *ctl,
           const struct mt_controller_update_wave *w,
           const struct candidate *c,
           int64_t now)
{
  const struct mt_controller_machine *m = c->machine;
  struct away pool;

  if (m->pool->standby)
    return true;
  pool = away_of_pool (ctl, m->pool);
  if (is_pinned (m) && pool.draining >= draining_at_a_time (ctl, w, m->pool, now))
    return false;
  return !c->waits || 3 * (pool.away + 1) <= pool.all;
}

static void
plan_wave (struct mt_controller *ctl, struct mt_controller_update_wave *w, int64_t now)
{
  unsigned down = count_down (ctl, w);
  unsigned most = at_a_time (ctl, w, now);
  GArray *list;

  if (down >= most || g_hash_table_size (w->left) == 0)
    return;
  list = find_candidates (ctl, w, now);
  for (guint i = 0; i < list->len && down < most; i++)
    {
      const struct candidate *c = &g_array_index (list, struct candidate, i);
      struct mt_controller_machine *m = c->machine;

      if (!may_begin (ctl, w, c, now))
        continue;
      m->plan = MT_PLAN_UPKEEP;
      m->planned = now;
      m->wave = w;
      m->to = NULL;
      down++;
    }
  g_array_unref (list);
}

void
mt_controller_plan_waves (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_update_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    plan_wave (ctl, w, now);
}
