#include "medlartrack/capacity.h"

#include <math.h>
#include <string.h>

#define MEAN_S       60.0  /* time constant of the long mean */
#define PEAK_S       600.0 /* time constant of the peak's decay */
#define STRETCH_S    30    /* demand that lasts so long is no surge */
#define SURGE_FACTOR 2.0   /* above so many means a surge begins; below one mean it ends */
#define SURGE_SLOTS  2.0   /* and at least by so many slots, or noise would be one */
#define MOVE_S       3.0   /* from decision to service, with a heartbeat and two writes */
#define LEARN_SURGES 3     /* seen before a pool gives up what it holds for them */
#define HEADROOM     1.25
#define BASE_SHARE   0.25 /* of the peak, held at all times where surges are followed */
#define MOST_QUEUED  32   /* requests for each slot that the pool has: more is no true report */
#define SMOOTHING    0.3  /* of surge lengths and periods */
#define HOLD_MIN_S   4
#define HOLD_MAX_S   3600
#define HOUR_S       3600.0

struct track
{
  char *pool;
  struct mt_capacity_stats learnt;
  double stretch[STRETCH_S]; /* wanted, one for each second, a ring */
  unsigned n_stretch;
  int64_t last_s; /* 0: nothing learnt yet */
  int64_t surge_began_s;
  int64_t surplus_since_s; /* 0: none */
  unsigned want;
};

struct mt_capacity
{
  const struct mt_capacity_policy *policy;
  GPtrArray *tracks;
};

static unsigned
instances_for (double slots, unsigned each)
{
  return (unsigned) ceil (slots / MAX (each, 1));
}

static unsigned
clamp_to_row (unsigned want, const struct mt_capacity_pool *pool)
{
  if (pool->row->max_instances > 0)
    want = MIN (want, pool->row->max_instances);
  return MAX (want, pool->min_serving);
}

/* What waits is part of what is wanted, and piles up while a surge is more than the pool holds: it
 * is no measure of the surge. The table's own size is what the operator thought enough. */
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

/* Whether moving instances into each surge and out again costs less than holding them between:
 * two moves against one instance idle for the time between surges. A surge that ends before the
 * move does is never followed. */
static bool
follows_surges (const struct mt_capacity_pool *pool)
{
  const struct mt_capacity_stats *learnt = &pool->stats;

  if (learnt->surges < LEARN_SURGES || learnt->mean_surge_s <= MOVE_S)
    return false;
  return pool->row->buffer_weight * learnt->surge_interval_s / HOUR_S > 2 * pool->row->move_weight;
}

static unsigned
base_of (const struct mt_capacity_pool *pool)
{
  return MAX (instances_for (bounded_peak (pool) * BASE_SHARE, pool->slots),
              instances_for (pool->stats.sustained * HEADROOM, pool->slots));
}

static unsigned
decide_pool (const struct mt_capacity_pool *pool)
{
  unsigned base = base_of (pool);

  if (!follows_surges (pool))
    return MAX (pool->home, base);
  if (!pool->stats.surging)
    return base;
  /* One more than the table's size works off what piled up until the moves were done. */
  return MAX (base, MIN (instances_for (pool->demand_slots, pool->slots), pool->home + 1));
}

/* Surges come in turn, so one reserve serves all pools: as large as the greediest would borrow,
 * less what the pool of the last surge still has and passes on to the next. */
static unsigned
decide_reserve (const struct mt_capacity_pool *pools, size_t n)
{
  unsigned reserve = 0;
  unsigned lent = 0;

  for (size_t i = 0; i < n; i++)
    {
      const struct mt_capacity_pool *pool = &pools[i];
      unsigned base = MIN (base_of (pool), pool->desired_instances);
      unsigned peak = instances_for (bounded_peak (pool), pool->slots);

      if (pool->row->spare || !follows_surges (pool))
        continue;
      reserve = MAX (reserve, peak - MIN (peak, base));
      lent += pool->serving - MIN (pool->serving, base);
    }
  return reserve - MIN (reserve, lent);
}

static void
decide_default (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances = clamp_to_row (decide_pool (&pools[i]), &pools[i]);
  for (size_t i = 0; i < n; i++)
    if (pools[i].row->spare && follows_surges (&pools[i]))
      pools[i].desired_instances
          = clamp_to_row (pools[i].desired_instances + decide_reserve (pools, n), &pools[i]);
}

const struct mt_capacity_policy mt_capacity_policies[] = {
  { .name = "default",
    .description = "holds what the weights make cheaper: the tables' sizes, or a small base and a "
                   "shared reserve that follows learnt surges",
    .decide = decide_default,
    .moves = true,
    .delays_release = true },
  { .name = "static", .description = "keeps the tables' sizes", .decide = decide_static },
  { .name = "greedy",
    .description = "follows the demand of the moment, without regard to moves",
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
free_track (gpointer data)
{
  struct track *track = data;

  g_free (track->pool);
  g_free (track);
}

struct mt_capacity *
mt_capacity_create (const struct mt_capacity_policy *policy)
{
  struct mt_capacity *capacity = g_new0 (struct mt_capacity, 1);

  capacity->policy = policy;
  capacity->tracks = g_ptr_array_new_with_free_func (free_track);
  return capacity;
}

void
mt_capacity_destroy (struct mt_capacity *capacity)
{
  if (capacity == NULL)
    return;
  g_ptr_array_free (capacity->tracks, TRUE);
  g_free (capacity);
}

static struct track *
find_track (const struct mt_capacity *capacity, const char *pool)
{
  for (guint i = 0; i < capacity->tracks->len; i++)
    {
      struct track *track = capacity->tracks->pdata[i];

      if (strcmp (track->pool, pool) == 0)
        return track;
    }
  return NULL;
}

static struct track *
make_track (struct mt_capacity *capacity, const char *pool)
{
  struct track *track = find_track (capacity, pool);

  if (track != NULL)
    return track;
  track = g_new0 (struct track, 1);
  track->pool = g_strdup (pool);
  track->want = UINT_MAX;
  g_ptr_array_add (capacity->tracks, track);
  return track;
}

unsigned
mt_capacity_desired_instances (const struct mt_capacity *capacity, const char *pool)
{
  const struct track *track = find_track (capacity, pool);

  return track != NULL ? track->want : UINT_MAX;
}

static void
smooth (double *value, double sample)
{
  *value = *value == 0 ? sample : *value + SMOOTHING * (sample - *value);
}

static void
learn_surge (struct track *track, double wanted, int64_t now_s)
{
  struct mt_capacity_stats *learnt = &track->learnt;

  if (!learnt->surging && wanted > learnt->mean * SURGE_FACTOR + SURGE_SLOTS)
    {
      if (track->surge_began_s != 0)
        smooth (&learnt->surge_interval_s, (double) (now_s - track->surge_began_s));
      learnt->surging = true;
      learnt->surges++;
      track->surge_began_s = now_s;
    }
  else if (learnt->surging && wanted <= learnt->mean)
    {
      learnt->surging = false;
      smooth (&learnt->mean_surge_s, (double) (now_s - track->surge_began_s));
    }
}

static void
learn (struct track *track, double wanted, double most, int64_t now_s)
{
  struct mt_capacity_stats *learnt = &track->learnt;
  double passed = track->last_s == 0 ? 1 : (double) (now_s - track->last_s);

  if (passed <= 0)
    return;
  track->last_s = now_s;
  wanted = isfinite (wanted) ? CLAMP (wanted, 0, most) : learnt->mean;
  learn_surge (track, wanted, now_s);
  learnt->mean += (wanted - learnt->mean) * MIN (passed / MEAN_S, 1);
  learnt->peak = MAX (wanted, learnt->peak * exp (-passed / PEAK_S));
  track->stretch[track->n_stretch++ % STRETCH_S] = wanted;
  learnt->sustained = track->n_stretch < STRETCH_S ? 0 : wanted;
  for (unsigned i = 0; i < STRETCH_S; i++)
    learnt->sustained = MIN (learnt->sustained, track->stretch[i]);
}

void
mt_capacity_observe (struct mt_capacity *capacity,
                     const struct mt_capacity_pool *pools,
                     size_t n,
                     int64_t now_s)
{
  for (size_t i = 0; i < n; i++)
    {
      /* A report that lies without bound would stay in the mean for minutes. */
      double most = (double) (pools[i].home + 1) * pools[i].slots * MOST_QUEUED;

      learn (make_track (capacity, pools[i].row->name.data), pools[i].demand_slots, most, now_s);
    }
}

/* An instance too many is kept until keeping it has cost as much as the two moves that letting it
 * go and fetching it back would: at most twice the best that hindsight could have done. */
static int64_t
hold_s (const struct mt_pool *row)
{
  double hold = 2 * row->move_weight * HOUR_S / MAX (row->buffer_weight, 1e-6);

  return (int64_t) CLAMP (hold, HOLD_MIN_S, HOLD_MAX_S);
}

static void
note_surplus (struct mt_capacity *capacity, const struct mt_capacity_pool *pool, int64_t now_s)
{
  struct track *track = find_track (capacity, pool->row->name.data);

  track->want = pool->desired_instances;
  if (pool->serving <= pool->desired_instances)
    track->surplus_since_s = 0;
  else if (track->surplus_since_s == 0)
    track->surplus_since_s = now_s;
}

static bool
has_surplus (const struct mt_capacity *capacity, const struct mt_capacity_pool *pool)
{
  return pool->can_release && pool->serving > pool->desired_instances;
}

static bool
surplus_is_old (const struct mt_capacity *capacity,
                const struct mt_capacity_pool *pool,
                int64_t now_s)
{
  const struct track *track = find_track (capacity, pool->row->name.data);

  return !capacity->policy->delays_release || now_s - track->surplus_since_s >= hold_s (pool->row);
}

/* The spare gives down to its minimum; another pool only what it has too many. */
static bool
can_give (const struct mt_capacity *capacity, const struct mt_capacity_pool *pool)
{
  return pool->can_release && (pool->row->spare || has_surplus (capacity, pool));
}

static const struct mt_capacity_pool *
find_needy (const struct mt_capacity_pool *pools, size_t n)
{
  const struct mt_capacity_pool *best = NULL;
  unsigned most = 0;

  for (size_t i = 0; i < n; i++)
    {
      /* The spare gets its own back in time, but at once what its wave waits for. */
      unsigned wanted = pools[i].row->spare ? pools[i].min_serving : pools[i].desired_instances;
      unsigned missing = wanted > pools[i].serving ? wanted - pools[i].serving : 0;

      if (missing <= most)
        continue;
      most = missing;
      best = &pools[i];
    }
  return best;
}

/* What lies idle elsewhere goes first, so that the reserve need not be as large as two surges. */
static const struct mt_capacity_pool *
find_giver (const struct mt_capacity *capacity, const struct mt_capacity_pool *pools, size_t n)
{
  const struct mt_capacity_pool *spare = NULL;

  for (size_t i = 0; i < n; i++)
    {
      if (!can_give (capacity, &pools[i]))
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
find_returner (const struct mt_capacity *capacity,
               const struct mt_capacity_pool *pools,
               size_t n,
               int64_t now_s)
{
  for (size_t i = 0; i < n; i++)
    if (!pools[i].row->spare && has_surplus (capacity, &pools[i])
        && surplus_is_old (capacity, &pools[i], now_s))
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
    pools[i].stats = make_track (capacity, pools[i].row->name.data)->learnt;
  capacity->policy->decide (pools, n);
  for (size_t i = 0; i < n; i++)
    note_surplus (capacity, &pools[i], now_s);
  if (!capacity->policy->moves)
    return false;
  *to = find_needy (pools, n);
  *from = find_giver (capacity, pools, n);
  if (*to != NULL && *from != NULL && *from != *to)
    return true;
  *to = find_spare (pools, n);
  *from = find_returner (capacity, pools, n, now_s);
  return *to != NULL && *from != NULL;
}
