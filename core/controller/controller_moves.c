/* Decides which machines change pool. The pools surge in turn, for some seconds each and beyond the
 * capacity of their machines, and are nearly idle in between. Moving a machine takes a third of the
 * duration of a surge. So a pool that is short gets machines at the first sign, from the standby
 * pool and from any pool that has more than it needs. Machines that no pool needs go to the standby
 * pool, where they cost nothing.
 *
 * Between its surges a pool keeps a share of its own machines: the next surge begins without
 * notice, and they have to carry it until others arrive. The share is small, since each machine
 * that idles in one pool is missing in the pool that surges at the time. */
#include "controller_internal.h"

#include <stdlib.h>
#include <string.h>

/* A new controller moves no machine to the standby pool for this time: not all machines are up yet,
 * and the needs of the pools in their surges are unknown. */
#define STARTUP_HOLD_MS 5000
/* A machine counts as arriving for this long beyond the expected duration of its move. */
#define ARRIVAL_GRACE_MS 4000
/* Shortest time for which a machine works in a pool that it moves to: a surge lasts some seconds.
 */
#define MIN_STAY_MS 3000

static bool
is_arriving (const struct mt_controller *ctl, const struct mt_controller_machine *m, int64_t now)
{
  return !m->up && m->ordered_at != 0
         && now < m->ordered_at + ctl->settings.move_ms + ARRIVAL_GRACE_MS;
}

/* Counts each pool's machines in one pass, including those on their way to the pool. */
static void
count_machines (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      p->n_machines = p->n_home = p->n_sized = p->n_arriving = p->n_pinned = 0;
      p->capacity_cpu = 0;
    }
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (m->plan == MT_PLAN_MOVE)
        {
          m->destination->n_machines++;
          m->destination->n_arriving++;
        }
      else if (m->pool != NULL && is_arriving (ctl, m, now))
        {
          m->pool->n_machines++;
          m->pool->n_arriving++;
        }
      else if (m->pool != NULL && m->up && m->plan != MT_PLAN_MAINTENANCE)
        {
          m->pool->n_machines += !(m->has_view && (m->view.silent || m->view.leaving));
          m->pool->n_pinned += m->has_view && m->view.long_running > 0;
        }
      if (m->home != NULL)
        m->home->n_home++;
      if (m->pool == NULL || m->resources.cpu <= 0)
        continue;
      m->pool->n_sized++;
      m->pool->capacity_cpu += m->resources.cpu;
    }
}

static bool
can_move (const struct mt_controller_machine *m)
{
  if (!m->up || m->plan != MT_PLAN_NONE || m->order_pending)
    return false;
  if (m->pool->standby)
    return true;
  return m->has_view && !m->view.silent && !m->view.leaving && m->view.long_running == 0;
}

/* One that is due for maintenance has it first, unless it can't begin now and there is time for it
 * afterwards: in a surging pool the machine would be busy until the wave is late, while in its
 * present pool it is or will soon be empty. A forecast moves more machines to the standby pool than
 * are moved there without it, so that they need time for the move, too. */
bool
mt_controller_may_move_to (const struct mt_controller *ctl,
                           const struct mt_controller_machine *m,
                           const struct mt_controller_pool *to,
                           int64_t now)
{
  if (!mt_controller_is_due (ctl, m))
    return true;
  if (!to->standby)
    return mt_controller_can_defer (ctl, m, now + ctl->settings.move_ms + MIN_STAY_MS);
  return ctl->forecast == NULL
         || mt_controller_can_defer (
             ctl, m, now + mt_controller_move_ms (ctl) + mt_controller_drain_ms (ctl, m));
}

/* Returns whether machine a is better to move than b: a machine that is off and needs no
 * maintenance, then the one expected to be empty first, then the one with fewer tasks. */
static bool
is_better_to_move (const struct mt_controller *ctl,
                   const struct mt_controller_machine *a,
                   const struct mt_controller_machine *b)
{
  if (a->pool->standby && mt_controller_is_due (ctl, a) != mt_controller_is_due (ctl, b))
    return mt_controller_is_due (ctl, b);
  if (a->view.batch_remaining_ms != b->view.batch_remaining_ms)
    return a->view.batch_remaining_ms < b->view.batch_remaining_ms;
  return a->view.tasks < b->view.tasks;
}

static int
compare_to_move (const void *left, const void *right, void *ctx)
{
  const struct mt_controller_machine *a = *(struct mt_controller_machine *const *) left;
  const struct mt_controller_machine *b = *(struct mt_controller_machine *const *) right;

  return is_better_to_move (ctx, b, a) - is_better_to_move (ctx, a, b);
}

/* Machines that one planning may move. They are collected when the first one is needed, and those
 * of a pool are sorted once: looking at every machine for each move would take the square of the
 * machines when a large pool releases most of its own. */
struct move_candidates
{
  const struct mt_controller *ctl;
  GHashTable *by_pool; /* struct mt_controller_pool to GPtrArray of machines; NULL: not collected */
  GHashTable *sorted;  /* the arrays that are sorted, best machine first */
  GPtrArray *releasing; /* machines that are being drained for the standby pool */
};

static void
add_candidate (struct move_candidates *candidates, struct mt_controller_machine *m)
{
  GPtrArray *list = g_hash_table_lookup (candidates->by_pool, m->pool);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (candidates->by_pool, m->pool, list);
    }
  g_ptr_array_add (list, m);
}

static void
collect_candidates (struct move_candidates *candidates)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  if (candidates->by_pool != NULL)
    return;
  candidates->by_pool
      = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify) g_ptr_array_unref);
  candidates->sorted = g_hash_table_new (NULL, NULL);
  candidates->releasing = g_ptr_array_new ();
  g_hash_table_iter_init (&it, candidates->ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (can_move (m))
      add_candidate (candidates, m);
    else if (m->plan == MT_PLAN_MOVE && !m->order_pending && m->destination->standby)
      g_ptr_array_add (candidates->releasing, m);
}

static GPtrArray *
sort_once (struct move_candidates *candidates, GPtrArray *list)
{
  if (list != NULL && g_hash_table_add (candidates->sorted, list))
    g_ptr_array_sort_with_data (list, compare_to_move, (void *) candidates->ctl);
  return list;
}

/* Returns the pool's machines that can move, best first; NULL if there are none. */
static GPtrArray *
movable_machines (struct move_candidates *candidates, const struct mt_controller_pool *p)
{
  collect_candidates (candidates);
  return sort_once (candidates, g_hash_table_lookup (candidates->by_pool, p));
}

/* Returns the machines that are being drained for the standby pool, best first. */
static GPtrArray *
releasing_machines (struct move_candidates *candidates)
{
  collect_candidates (candidates);
  return sort_once (candidates, candidates->releasing);
}

static void
clear_candidates (struct move_candidates *candidates)
{
  if (candidates->by_pool == NULL)
    return;
  g_hash_table_unref (candidates->by_pool);
  g_hash_table_unref (candidates->sorted);
  g_ptr_array_unref (candidates->releasing);
}

/* Returns the index of the machine of the list, best first, that is best moved to the pool; -1 if
 * there is none. */
static int
find_movable (const struct mt_controller *ctl,
              const GPtrArray *list,
              const struct mt_controller_pool *to,
              int64_t now)
{
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct mt_controller_machine *m = list->pdata[i];

      if (m->pool != to && mt_controller_may_move_to (ctl, m, to, now))
        return (int) i;
    }
  return -1;
}

static bool
plan_move (struct mt_controller *ctl,
           struct move_candidates *candidates,
           struct mt_controller_pool *from,
           struct mt_controller_pool *to,
           int64_t now)
{
  GPtrArray *list = movable_machines (candidates, from);
  int at = find_movable (ctl, list, to, now);
  struct mt_controller_machine *m;

  if (at < 0)
    return false;
  m = g_ptr_array_steal_index (list, (guint) at);
  m->plan = MT_PLAN_MOVE;
  m->planned_at = now;
  m->destination = to;
  m->wave = NULL;
  from->n_machines--;
  to->n_machines++;
  to->n_arriving++;
  return true;
}

/* Changes the destination of a machine that is being drained for the standby pool: by way of the
 * standby pool it would reach `to` only after two moves. Returns false if there is none. */
static bool
redirect_move (struct mt_controller *ctl,
               struct move_candidates *candidates,
               struct mt_controller_pool *to,
               int64_t now)
{
  GPtrArray *releasing = releasing_machines (candidates);
  int at = find_movable (ctl, releasing, to, now);
  struct mt_controller_machine *best;

  if (at < 0)
    return false;
  best = g_ptr_array_steal_index (releasing, (guint) at);
  best->destination->n_machines--;
  best->destination->n_arriving--;
  best->destination = to;
  to->n_machines++;
  to->n_arriving++;
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

/* Returns the pool with the largest surplus of which a machine can be moved; NULL if none. */
static struct mt_controller_pool *
find_largest_surplus (const struct mt_controller *ctl,
                      struct move_candidates *candidates,
                      const struct mt_controller_pool *to,
                      int64_t now)
{
  GHashTableIter it;
  struct mt_controller_pool *p;
  struct mt_controller_pool *best = NULL;
  int largest = 0;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      int surplus = (int) p->n_machines - (int) p->n_claimed;

      if (p->standby || surplus <= largest
          || find_movable (ctl, movable_machines (candidates, p), to, now) < 0)
        continue;
      largest = surplus;
      best = p;
    }
  return best;
}

static void
add_machines (struct mt_controller *ctl,
              struct move_candidates *candidates,
              struct mt_controller_pool *standby,
              struct mt_controller_pool *p,
              int64_t now)
{
  while (p->n_machines < p->n_allocated)
    {
      struct mt_controller_pool *from;

      if (redirect_move (ctl, candidates, p, now)
          || (standby != NULL && plan_move (ctl, candidates, standby, p, now)))
        continue;
      /* Takes no machine from another pool for overdue work: that pool may use it for overdue work
       * too, and only the time of the move would be lost. */
      from = p->n_machines < p->n_claimed ? find_largest_surplus (ctl, candidates, p, now) : NULL;
      if (from == NULL || from == p || !plan_move (ctl, candidates, from, p, now))
        return;
    }
}

static void
release_surplus (struct mt_controller *ctl,
                 struct move_candidates *candidates,
                 struct mt_controller_pool *standby,
                 struct mt_controller_pool *p,
                 int64_t now)
{
  if (p->n_machines <= mt_controller_idle_machines (p) || mt_controller_pool_is_short (p))
    {
      p->surplus_since = 0;
      return;
    }
  if (p->surplus_since == 0)
    p->surplus_since = now;
  /* Waits first: a machine that moves to the standby pool is unavailable for the time of the move,
   * and often the surge of another pool begins as this pool's surge ends. */
  if (now - p->surplus_since < ctl->settings.move_ms)
    return;
  while (p->n_machines > mt_controller_idle_machines (p)
         && plan_move (ctl, candidates, p, standby, now))
    continue;
}

void
mt_controller_plan_moves (struct mt_controller *ctl, int64_t now)
{
  struct mt_controller_pool *standby = find_standby (ctl);
  struct move_candidates candidates = { .ctl = ctl };
  GHashTableIter it;
  struct mt_controller_pool *p;
  unsigned machines = 0;

  count_machines (ctl, now);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    {
      machines += p->n_machines;
      if (!p->standby && p->reported)
        {
          mt_controller_update_forecast (ctl, p, now);
          mt_controller_update_need (p, ctl->starved, now);
        }
    }
  ctl->starved = mt_controller_update_starved (ctl, now);
  mt_controller_allocate (ctl, machines);
  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->reported && p->n_allocated > p->n_machines)
      add_machines (ctl, &candidates, standby, p, now);
  g_hash_table_iter_init (&it, ctl->pools);
  while (standby != NULL && now - ctl->first_listed_at >= STARTUP_HOLD_MS
         && g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (!p->standby && p->reported)
      release_surplus (ctl, &candidates, standby, p, now);
  clear_candidates (&candidates);
}
