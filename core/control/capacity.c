#include "medlartrack/capacity.h"

#include <math.h>
#include <string.h>

#define MEAN_S                60.0  /* time constant of the moving mean */
#define PEAK_S                600.0 /* time constant of the peak's decay */
#define WINDOW_S              30    /* longest duration of a surge */
#define SURGE_FACTOR          2.0   /* a surge begins above mean times this and ends at the mean */
#define SURGE_SLOTS           2.0   /* added to the threshold, so that noise is no surge */
#define MOVE_S                3.0   /* duration of a move, including a heartbeat and two writes */
#define MIN_SURGES            3     /* surges observed before a pool releases instances */
#define HEADROOM              1.25
#define BASE_SHARE            0.25 /* share of the peak always held if surges are followed */
#define MAX_REQUESTS_PER_SLOT 32   /* of the pool; reports of more are wrong */
#define SMOOTHING             0.3  /* weight of a new sample of a surge's duration or interval */
#define MIN_HOLD_S            4
#define MAX_HOLD_S            3600
#define HOUR_S                3600.0

struct history
{
  char *pool;
  struct mt_capacity_stats stats;
  double window[WINDOW_S]; /* ring of the demand in slots, one entry a second */
  unsigned n_samples;
  int64_t updated_s; /* 0: no demand observed yet */
  int64_t surge_began_s;
  int64_t surplus_since_s; /* 0: none */
  unsigned desired_instances;
};

struct mt_capacity
{
  const struct mt_capacity_policy *policy;
  GPtrArray *histories;
};

static unsigned
instances_for (double slots, unsigned slots_each)
{
  return (unsigned) ceil (slots / MAX (slots_each, 1));
}

static unsigned
clamp_to_row (unsigned instances, const struct mt_capacity_pool *pool)
{
  if (pool->row->max_instances > 0)
    instances = MIN (instances, pool->row->max_instances);
  return MAX (instances, pool->min_serving);
}

/* Waiting requests are part of the demand and accumulate while a surge exceeds what the pool holds,
 * so the peak does not measure the surge. It is limited by the table's size of the pool, which the
 * operator considered sufficient. */
static double
bounded_peak (const struct mt_capacity_pool *pool)
{
  return MIN (pool->stats.peak, (double) pool->home * pool->slots * HEADROOM);
}

static void
decide_static (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances = MAX (pools[i].home, pools[i].serving);
}

static void
decide_greedy (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances
        = clamp_to_row (instances_for (pools[i].demand_slots, pools[i].slots), &pools[i]);
}

/* Returns whether moving instances in for each surge and out again costs less than keeping them in
 * between: two moves, compared with one instance idle from one surge to the next. A surge that ends
 * before a move could is never followed. */
static bool
follows_surges (const struct mt_capacity_pool *pool)
{
  const struct mt_capacity_stats *stats = &pool->stats;

  if (stats->surges < MIN_SURGES || stats->mean_surge_s <= MOVE_S)
    return false;
  return pool->row->buffer_weight * stats->surge_interval_s / HOUR_S > 2 * pool->row->move_weight;
}

static unsigned
base_instances (const struct mt_capacity_pool *pool)
{
  return MAX (instances_for (bounded_peak (pool) * BASE_SHARE, pool->slots),
              instances_for (pool->stats.sustained * HEADROOM, pool->slots));
}

static unsigned
decide_pool (const struct mt_capacity_pool *pool)
{
  unsigned base = base_instances (pool);

  if (!follows_surges (pool))
    return MAX (pool->home, base);
  if (!pool->stats.surging)
    return base;
  /* One instance more than the table's size: it serves what accumulated during the moves. */
  return MAX (base, MIN (instances_for (pool->demand_slots, pool->slots), pool->home + 1));
}

/* Returns the size of the reserve, which the pools share as they surge in turn: the largest need of
 * a pool beyond its base, minus the instances beyond their base that pools still have and will
 * release. */
static unsigned
reserve_instances (const struct mt_capacity_pool *pools, size_t n)
{
  unsigned reserve = 0;
  unsigned borrowed = 0;

  for (size_t i = 0; i < n; i++)
    {
      const struct mt_capacity_pool *pool = &pools[i];
      unsigned base = MIN (base_instances (pool), pool->desired_instances);
      unsigned peak = instances_for (bounded_peak (pool), pool->slots);

      if (pool->row->spare || !follows_surges (pool))
        continue;
      reserve = MAX (reserve, peak - MIN (peak, base));
      borrowed += pool->serving - MIN (pool->serving, base);
    }
  return reserve - MIN (reserve, borrowed);
}

static void
decide_default (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances = clamp_to_row (decide_pool (&pools[i]), &pools[i]);
  for (size_t i = 0; i < n; i++)
    if (pools[i].row->spare && follows_surges (&pools[i]))
      pools[i].desired_instances
          = clamp_to_row (pools[i].desired_instances + reserve_instances (pools, n), &pools[i]);
}

const struct mt_capacity_policy mt_capacity_policies[] = {
  { .name = "default",
    .description = "keeps the cheaper of two sizes by the weights: the tables' sizes, or a small "
                   "base and a shared reserve that follows observed surges",
    .decide = decide_default,
    .moves = true,
    .delays_release = true },
  { .name = "static",
    .description = "keeps each pool at its size in the tables",
    .decide = decide_static },
  { .name = "greedy",
    .description = "follows the current demand, without regard to moves",
    .decide = decide_greedy,
    .moves = true },
  { .name = NULL },
};

const struct mt_capacity_policy *
mt_capacity_policy_find (const char *name)
{
  for (const struct mt_capacity_policy *p = mt_capacity_policies; p->name != NULL; p++)
    if (strcmp (p->name, name) == 0)
      return p;
  return NULL;
}

static void
free_history (gpointer data)
{
  struct history *history = data;

  g_free (history->pool);
  g_free (history);
}

struct mt_capacity *
mt_capacity_create (const struct mt_capacity_policy *policy)
{
  struct mt_capacity *capacity = g_new0 (struct mt_capacity, 1);

  capacity->policy = policy;
  capacity->histories = g_ptr_array_new_with_free_func (free_history);
  return capacity;
}

void
mt_capacity_destroy (struct mt_capacity *capacity)
{
  if (capacity == NULL)
    return;
  g_ptr_array_free (capacity->histories, TRUE);
  g_free (capacity);
}

static struct history *
find_history (const struct mt_capacity *capacity, const char *pool)
{
  for (guint i = 0; i < capacity->histories->len; i++)
    {
      struct history *history = capacity->histories->pdata[i];

      if (strcmp (history->pool, pool) == 0)
        return history;
    }
  return NULL;
}

static struct history *
get_history (struct mt_capacity *capacity, const char *pool)
{
  struct history *history = find_history (capacity, pool);

  if (history != NULL)
    return history;
  history = g_new0 (struct history, 1);
  history->pool = g_strdup (pool);
  history->desired_instances = UINT_MAX;
  g_ptr_array_add (capacity->histories, history);
  return history;
}

unsigned
mt_capacity_desired_instances (const struct mt_capacity *capacity, const char *pool)
{
  const struct history *history = find_history (capacity, pool);

  return history != NULL ? history->desired_instances : UINT_MAX;
}

static void
update_mean (double *value, double sample)
{
  *value = *value == 0 ? sample : *value + SMOOTHING * (sample - *value);
}

static void
update_surge (struct history *history, double demand, int64_t now_s)
{
  struct mt_capacity_stats *stats = &history->stats;

  if (!stats->surging && demand > stats->mean * SURGE_FACTOR + SURGE_SLOTS)
    {
      if (history->surge_began_s != 0)
        update_mean (&stats->surge_interval_s, (double) (now_s - history->surge_began_s));
      stats->surging = true;
      stats->surges++;
      history->surge_began_s = now_s;
    }
  else if (stats->surging && demand <= stats->mean)
    {
      stats->surging = false;
      update_mean (&stats->mean_surge_s, (double) (now_s - history->surge_began_s));
    }
}

static void
add_sample (struct history *history, double demand, double max_demand, int64_t now_s)
{
  struct mt_capacity_stats *stats = &history->stats;
  double elapsed_s = history->updated_s == 0 ? 1 : (double) (now_s - history->updated_s);

  if (elapsed_s <= 0)
    return;
  history->updated_s = now_s;
  demand = isfinite (demand) ? CLAMP (demand, 0, max_demand) : stats->mean;
  update_surge (history, demand, now_s);
  stats->mean += (demand - stats->mean) * MIN (elapsed_s / MEAN_S, 1);
  stats->peak = MAX (demand, stats->peak * exp (-elapsed_s / PEAK_S));
  history->window[history->n_samples++ % WINDOW_S] = demand;
  stats->sustained = history->n_samples < WINDOW_S ? 0 : demand;
  for (unsigned i = 0; i < WINDOW_S; i++)
    stats->sustained = MIN (stats->sustained, history->window[i]);
}

void
mt_capacity_observe (struct mt_capacity *capacity,
                     const struct mt_capacity_pool *pools,
                     size_t n,
                     int64_t now_s)
{
  for (size_t i = 0; i < n; i++)
    {
      /* Without this limit, a wrong report would distort the mean for minutes. */
      double max_demand = (double) (pools[i].home + 1) * pools[i].slots * MAX_REQUESTS_PER_SLOT;

      add_sample (get_history (capacity, pools[i].row->name.data), pools[i].demand_slots,
                  max_demand, now_s);
    }
}

/* Returns how long a surplus instance is kept: until keeping it has cost as much as the two moves
 * to release it and to fetch it back. The cost is then at most twice that of the best decision in
 * hindsight. */
static int64_t
surplus_hold_s (const struct mt_pool *row)
{
  double hold_s = 2 * row->move_weight * HOUR_S / MAX (row->buffer_weight, 1e-6);

  return (int64_t) CLAMP (hold_s, MIN_HOLD_S, MAX_HOLD_S);
}

static void
update_surplus (struct mt_capacity *capacity, const struct mt_capacity_pool *pool, int64_t now_s)
{
  struct history *history = find_history (capacity, pool->row->name.data);

  history->desired_instances = pool->desired_instances;
  if (pool->serving <= pool->desired_instances)
    history->surplus_since_s = 0;
  else if (history->surplus_since_s == 0)
    history->surplus_since_s = now_s;
}

static bool
has_surplus (const struct mt_capacity *capacity, const struct mt_capacity_pool *pool)
{
  return pool->can_release && pool->serving > pool->desired_instances;
}

static bool
surplus_hold_is_over (const struct mt_capacity *capacity,
                      const struct mt_capacity_pool *pool,
                      int64_t now_s)
{
  const struct history *history = find_history (capacity, pool->row->name.data);

  return !capacity->policy->delays_release
         || now_s - history->surplus_since_s >= surplus_hold_s (pool->row);
}

/* Returns whether the pool can give up an instance: the spare pool down to its minimum, other pools
 * only their surplus. */
static bool
is_source (const struct mt_capacity *capacity, const struct mt_capacity_pool *pool)
{
  return pool->can_release && (pool->row->spare || has_surplus (capacity, pool));
}

static const struct mt_capacity_pool *
find_short_pool (const struct mt_capacity_pool *pools, size_t n)
{
  const struct mt_capacity_pool *best = NULL;
  unsigned largest = 0;

  for (size_t i = 0; i < n; i++)
    {
      /* The spare pool is short only below its minimum, which includes an instance that its wave
       * waits for. It gets the rest back as the other pools release their surplus. */
      unsigned needed = pools[i].row->spare ? pools[i].min_serving : pools[i].desired_instances;
      unsigned missing = needed > pools[i].serving ? needed - pools[i].serving : 0;

      if (missing <= largest)
        continue;
      largest = missing;
      best = &pools[i];
    }
  return best;
}

/* Returns the pool to take an instance from; NULL if there is none. Surplus instances of other
 * pools are taken before those of the spare pool, so that the reserve need not cover two surges. */
static const struct mt_capacity_pool *
find_source (const struct mt_capacity *capacity, const struct mt_capacity_pool *pools, size_t n)
{
  const struct mt_capacity_pool *spare = NULL;

  for (size_t i = 0; i < n; i++)
    {
      if (!is_source (capacity, &pools[i]))
        continue;
      if (!pools[i].row->spare)
        return &pools[i];
      spare = &pools[i];
    }
  return spare;
}

static const struct mt_capacity_pool *
find_spare (const struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (pools[i].row->spare)
      return &pools[i];
  return NULL;
}

static const struct mt_capacity_pool *
find_expired_surplus (const struct mt_capacity *capacity,
                      const struct mt_capacity_pool *pools,
                      size_t n,
                      int64_t now_s)
{
  for (size_t i = 0; i < n; i++)
    if (!pools[i].row->spare && has_surplus (capacity, &pools[i])
        && surplus_hold_is_over (capacity, &pools[i], now_s))
      return &pools[i];
  return NULL;
}

bool
mt_capacity_decide (struct mt_capacity *capacity,
                    struct mt_capacity_pool *pools,
                    size_t n,
                    int64_t now_s,
                    const struct mt_capacity_pool **from,
                    const struct mt_capacity_pool **to)
{
  for (size_t i = 0; i < n; i++)
    pools[i].stats = get_history (capacity, pools[i].row->name.data)->stats;
  capacity->policy->decide (pools, n);
  for (size_t i = 0; i < n; i++)
    update_surplus (capacity, &pools[i], now_s);
  if (!capacity->policy->moves)
    return false;
  *to = find_short_pool (pools, n);
  *from = find_source (capacity, pools, n);
  if (*to != NULL && *from != NULL && *from != *to)
    return true;
  *to = find_spare (pools, n);
  *from = find_expired_surplus (capacity, pools, n, now_s);
  return *to != NULL && *from != NULL;
}
