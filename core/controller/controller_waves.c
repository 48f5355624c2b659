/* Maintenance waves: each machine of a wave is down once before the wave's deadline, at most
 * max_down machines at a time. The least used machines go first. While there is time, no machine is
 * taken from a pool that is short of machines: the pools are short in turn, so there is a better
 * moment. */
#include "controller_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time to drain a worker: its longest tasks take some 3 s. */
#define DRAIN_MS 3000
/* Time from stopping a long-running task until it runs elsewhere; the next task of its step waits
 * for that. */
#define DRAIN_ROUND_MS 1200
/* A wave waits for low load only while the time until its deadline exceeds the time that the rest
 * of the wave needs by this factor. */
#define SLACK_FACTOR 1.6
/* A worker with at most this share of its processors in use has low load. */
#define LOW_LOAD_SHARE 0.5
/* Added to the cost of a machine, which is the share of its processors in use: a pool that is short
 * gives up no machine while there is time. */
#define SHORT_POOL_COST 10
/* Subtracted from the cost of a machine for each round of draining: machines that take long to
 * drain go first while there is time, since their drain can't be sped up later. */
#define DRAIN_ROUND_BONUS 0.1
/* Subtracted from the cost of machines that can't wait any longer, which go before all others. */
#define MUST_BEGIN_BONUS 100

struct candidate
{
  struct mt_controller_machine *machine;
  bool can_wait; /* there is time to wait for a better moment */
  double cost;
};

static int
compare_cost (const void *left, const void *right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;

  return a->cost < b->cost ? -1 : a->cost > b->cost;
}

static unsigned
count_machines_down (const struct mt_controller *ctl, const struct mt_controller_wave *w)
{
  GHashTableIter it;
  struct mt_controller_machine *m;
  unsigned n = 0;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    n += (m->plan == MT_PLAN_MAINTENANCE && m->wave == w) || m->in_maintenance;
  return n;
}

static double
cpu_share_used (const struct mt_worker_view *v)
{
  return v->resources.cpu > 0 ? (double) v->used.cpu / (double) v->resources.cpu : 1;
}

static bool
is_pinned (const struct mt_controller_machine *m)
{
  return m->has_view && m->view.long_running > 0;
}

/* Returns the cost for the pool of losing this machine for a while; it is lowest for a machine that
 * is off. */
static double
cost_of (const struct mt_controller_machine *m)
{
  if (m->pool->standby || m->worker == NULL)
    return -1;
  if (!m->has_view)
    return 50;
  return cpu_share_used (&m->view) - DRAIN_ROUND_BONUS * m->view.drain_rounds
         + (mt_controller_pool_is_short (m->pool) ? SHORT_POOL_COST : 0);
}

/* Returns whether the machine's load is low enough to drain it now. This is also required of
 * machines with long-running tasks, though they begin early: the tasks take seconds to move, one
 * after the other. */
static bool
has_low_load (const struct mt_controller_machine *m)
{
  if (m->pool->standby || m->worker == NULL)
    return true;
  return m->has_view && !mt_controller_pool_is_short (m->pool)
         && cpu_share_used (&m->view) <= LOW_LOAD_SHARE;
}

int64_t
mt_controller_drain_ms (const struct mt_controller_machine *m)
{
  return DRAIN_MS + (m->has_view ? (int64_t) m->view.drain_rounds * DRAIN_ROUND_MS : 0);
}

/* Returns the time until none of the wave's machines in the pool has a long-running task any more:
 * these tasks move one after the other, across all machines of the pool. */
static int64_t
pool_drain_ms (const struct mt_controller *ctl,
               const struct mt_controller_wave *w,
               const struct mt_controller_pool *p)
{
  GHashTableIter it;
  const char *id;
  int64_t sum = 0;

  g_hash_table_iter_init (&it, w->remaining);
  while (g_hash_table_iter_next (&it, (void **) &id, NULL))
    {
      const struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, id);

      if (m != NULL && m->pool == p && m->has_view)
        sum += (int64_t) m->view.drain_rounds * DRAIN_ROUND_MS;
    }
  return sum;
}

static bool
can_wait (const struct mt_controller *ctl,
          const struct mt_controller_wave *w,
          const struct mt_controller_machine *m,
          int64_t now)
{
  int64_t others = (g_hash_table_size (w->remaining) - 1) / w->max_down;
  int64_t by_cap = others * (DRAIN_MS + ctl->settings.maintenance_ms) + mt_controller_drain_ms (m);
  int64_t by_pool
      = is_pinned (m) ? DRAIN_MS + pool_drain_ms (ctl, w, m->pool) : mt_controller_drain_ms (m);
  int64_t needed_ms = MAX (by_cap, by_pool) + ctl->settings.maintenance_ms;

  return (double) (w->deadline - now) > SLACK_FACTOR * (double) needed_ms;
}

bool
mt_controller_has_time_to_move (const struct mt_controller *ctl,
                                const struct mt_controller_machine *m,
                                int64_t now)
{
  int64_t arrives_at = now + mt_controller_move_ms (ctl) + mt_controller_drain_ms (m);
  GHashTableIter it;
  const struct mt_controller_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (g_hash_table_contains (w->remaining, m->id) && !can_wait (ctl, w, m, arrives_at))
      return false;
  return true;
}

/* Returns how many machines may be down or draining at once. While a pool is short of machines, the
 * wave is spread over the time until its deadline: the number is what this takes, with a margin,
 * instead of max_down. */
static unsigned
max_down_at_once (const struct mt_controller *ctl, const struct mt_controller_wave *w, int64_t now)
{
  double per_machine_ms = (double) (DRAIN_MS + ctl->settings.maintenance_ms);
  double remaining_ms = (double) MAX (w->deadline - now, 1);

  if (!mt_controller_any_pool_short (ctl))
    return w->max_down;
  return MIN (w->max_down, (unsigned) ceil (SLACK_FACTOR * g_hash_table_size (w->remaining)
                                            * per_machine_ms / remaining_ms));
}

/* Returns how many machines of the pool may move their long-running tasks at once. A single machine
 * already uses up the disruption budgets of most jobs; more are allowed only if the remaining time
 * requires it. */
static unsigned
max_drains_at_once (const struct mt_controller *ctl,
                    const struct mt_controller_wave *w,
                    const struct mt_controller_pool *p,
                    int64_t now)
{
  double remaining_ms = (double) MAX (w->deadline - now, 1);

  return (unsigned) MAX (ceil (SLACK_FACTOR * (double) pool_drain_ms (ctl, w, p) / remaining_ms),
                         1);
}

static GArray *
find_candidates (struct mt_controller *ctl, const struct mt_controller_wave *w, int64_t now)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  GHashTableIter it;
  const char *id;

  g_hash_table_iter_init (&it, w->remaining);
  while (g_hash_table_iter_next (&it, (void **) &id, NULL))
    {
      struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, id);
      struct candidate c = { .machine = m };

      if (m == NULL || !m->up || m->plan == MT_PLAN_MAINTENANCE || m->order_pending)
        continue;
      c.can_wait = can_wait (ctl, w, m, now);
      if (c.can_wait && !has_low_load (m))
        continue;
      c.cost = cost_of (m) - (c.can_wait ? 0 : MUST_BEGIN_BONUS);
      g_array_append_val (out, c);
    }
  g_array_sort (out, compare_cost);
  return out;
}

/* Numbers of a pool's machines: all, those down or planned to be, and those planned for maintenance
 * that still have long-running tasks to move. */
struct pool_counts
{
  unsigned total;
  unsigned down;
  unsigned draining;
};

static struct pool_counts
count_pool_machines (const struct mt_controller *ctl, const struct mt_controller_pool *p)
{
  GHashTableIter it;
  const struct mt_controller_machine *m;
  struct pool_counts out = { 0 };

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (m->pool != p)
        continue;
      out.total++;
      out.down += !m->up || m->plan != MT_PLAN_NONE;
      out.draining += m->plan == MT_PLAN_MAINTENANCE && is_pinned (m);
    }
  return out;
}

/* Returns whether the machine may begin now. While it can wait, its pool gives up no more than a
 * third of its machines at a time. Long-running tasks move one after the other across all machines,
 * so a machine that has some begins only when the machine before it is done: if all began together,
 * all would be kept from other work until the last one is empty. */
static bool
can_begin (const struct mt_controller *ctl,
           const struct mt_controller_wave *w,
           const struct candidate *c,
           int64_t now)
{
  const struct mt_controller_machine *m = c->machine;
  struct pool_counts pool;

  if (m->pool->standby)
    return true;
  pool = count_pool_machines (ctl, m->pool);
  if (is_pinned (m) && pool.draining >= max_drains_at_once (ctl, w, m->pool, now))
    return false;
  return !c->can_wait || 3 * (pool.down + 1) <= pool.total;
}

static void
plan_wave (struct mt_controller *ctl, struct mt_controller_wave *w, int64_t now)
{
  unsigned down = count_machines_down (ctl, w);
  unsigned max_down = max_down_at_once (ctl, w, now);
  GArray *list;

  if (down >= max_down || g_hash_table_size (w->remaining) == 0)
    return;
  list = find_candidates (ctl, w, now);
  for (guint i = 0; i < list->len && down < max_down; i++)
    {
      const struct candidate *c = &g_array_index (list, struct candidate, i);
      struct mt_controller_machine *m = c->machine;

      if (!can_begin (ctl, w, c, now))
        continue;
      m->plan = MT_PLAN_MAINTENANCE;
      m->planned_at = now;
      m->wave = w;
      m->destination = NULL;
      down++;
    }
  g_array_unref (list);
}

void
mt_controller_plan_waves (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    plan_wave (ctl, w, now);
}
