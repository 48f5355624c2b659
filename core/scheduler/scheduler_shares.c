/* Weighted shares of the workspaces in a pool, and the policies that place waiting tasks by them.
 *
 * 20 workspaces of very different size share the pools; one of them floods a pool with 7.5 times
 * its usual load while the pool's demand is five times its mean. Ordered by value alone, its many
 * short jobs would take every resource that tasks free. Thousands of tasks wait then, and placing
 * runs every 25 ms: the work here grows with workspaces plus waiting steps, not with their product.
 */
#include "scheduler_internal.h"

#include <string.h>

/* Halvings of the interval that is searched for the level of the filling: the result is exact to a
 * millionth of a task. */
#define LEVEL_HALVINGS 48
/* Rounding errors below this share of the capacity don't make a workspace pass its limit. */
#define ROUNDING 1e-9
/* Time over which the deficit policy averages the use. A surge lasts some seconds; over a longer
 * time, a workspace would still pay in one surge for its use in the last one. */
#define WINDOW_MS 3000
/* Shortest interval between two events of one workspace. */
#define LOG_INTERVAL_MS 1000

/* A workspace's claim to a part of the capacity. Amounts are fractions of the capacity. */
struct claim
{
  struct mt_account *account;
  double weight;
  double start; /* what counts as received before the filling */
  double need[MT_RESOURCE_KINDS];
  double dominant; /* the largest need */
  double given;    /* part of dominant, once settled */
  bool settled;
};

struct mt_account *
mt_job_account (struct mt_scheduler *sched, const struct mt_job *job)
{
  return job->account != NULL ? job->account : &sched->unowned;
}

bool
mt_shares_are_active (const struct mt_scheduler *sched)
{
  return sched->n_weighted > 0 && sched->settings.share_policy->set_limits != NULL;
}

static double
get_fraction (const struct mt_scheduler *sched, const struct mt_resources *resources, unsigned kind)
{
  int64_t capacity = mt_resources_get (&sched->share_capacity, kind);

  return capacity > 0 ? (double) mt_resources_get (resources, kind) / (double) capacity : 0;
}

static double
get_dominant_share (const struct mt_scheduler *sched, const struct mt_resources *resources)
{
  double share = 0;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    share = MAX (share, get_fraction (sched, resources, i));
  return share;
}

static double
get_weight (const struct mt_account *account)
{
  return (double) MAX (account->limits.weight, 1);
}

/* A figure that is not renewed expires: the pools that it covers, or the fleet's leader, may be
 * unreachable. */
static double
get_share_elsewhere (const struct mt_scheduler *sched,
                     const struct mt_account *account,
                     int64_t now)
{
  if (account->elsewhere_at == 0 || now - account->elsewhere_at >= MT_GRANT_LEASE_MS)
    return 0;
  return get_dominant_share (sched, &account->elsewhere);
}

/* ---- weighted max-min filling ---- */

static double
amount_at (const struct claim *claim, double level)
{
  if (claim->settled)
    return claim->given;
  return CLAMP (claim->weight * level - claim->start, 0, claim->dominant);
}

/* Returns a kind of resource of which the claims need more than there is at that level;
 * MT_RESOURCE_KINDS if there is none. */
static unsigned
find_exhausted (const GArray *claims, const double free_share[MT_RESOURCE_KINDS], double level)
{
  double sum[MT_RESOURCE_KINDS] = { 0 };

  for (guint i = 0; i < claims->len; i++)
    {
      const struct claim *claim = &g_array_index (claims, struct claim, i);
      double part = claim->dominant > 0 ? amount_at (claim, level) / claim->dominant : 0;

      for (unsigned k = 0; k < MT_RESOURCE_KINDS; k++)
        sum[k] += part * claim->need[k];
    }
  for (unsigned k = 0; k < MT_RESOURCE_KINDS; k++)
    if (sum[k] > free_share[k] + ROUNDING)
      return k;
  return MT_RESOURCE_KINDS;
}

static double
get_highest_level (const GArray *claims)
{
  double level = 0;

  for (guint i = 0; i < claims->len; i++)
    {
      const struct claim *claim = &g_array_index (claims, struct claim, i);

      level = MAX (level, (claim->dominant + claim->start) / claim->weight);
    }
  return level;
}

static void
settle (GArray *claims, unsigned kind, double level)
{
  for (guint i = 0; i < claims->len; i++)
    {
      struct claim *claim = &g_array_index (claims, struct claim, i);

      if (claim->settled || (kind < MT_RESOURCE_KINDS && claim->need[kind] <= 0))
        continue;
      claim->given = amount_at (claim, level);
      claim->settled = true;
    }
}

/* Raises all claims in proportion to their weights until one kind of resource is exhausted, settles
 * the claims that need it, and goes on with the others. */
static void
fill (GArray *claims, const double free_share[MT_RESOURCE_KINDS])
{
  double highest = get_highest_level (claims);

  for (unsigned round = 0; round <= MT_RESOURCE_KINDS; round++)
    {
      unsigned kind = find_exhausted (claims, free_share, highest);
      double low = 0;
      double high = highest;

      for (unsigned i = 0; kind < MT_RESOURCE_KINDS && i < LEVEL_HALVINGS; i++)
        {
          unsigned exhausted = find_exhausted (claims, free_share, (low + high) / 2);

          if (exhausted < MT_RESOURCE_KINDS)
            {
              kind = exhausted;
              high = (low + high) / 2;
            }
          else
            low = (low + high) / 2;
        }
      settle (claims, kind, kind < MT_RESOURCE_KINDS ? low : highest);
      if (kind == MT_RESOURCE_KINDS)
        return;
    }
}

/* ---- claims of the workspaces ---- */

typedef void (*account_callback) (struct mt_account *account, void *data);

static void
for_each_account (const struct mt_scheduler *sched, account_callback callback, void *data)
{
  GHashTableIter it;
  struct mt_account *account;

  g_hash_table_iter_init (&it, sched->accounts);
  while (g_hash_table_iter_next (&it, NULL, (void **) &account))
    callback (account, data);
  callback ((struct mt_account *) &sched->unowned, data);
}

struct claims
{
  const struct mt_scheduler *sched;
  int64_t now;
  GArray *rows;                    /* struct claim */
  const struct mt_account *except; /* left out; NULL: none */
};

static void
set_need (struct claim *claim, unsigned kind, double need)
{
  claim->need[kind] = need;
  claim->dominant = MAX (claim->dominant, need);
}

/* Claims what the workspace uses and waits for, as far as its quota allows. Its use in other pools
 * counts as received. */
static void
add_claim (struct mt_account *account, void *data)
{
  struct claims *claims = data;
  struct claim claim = { .account = account,
                         .weight = get_weight (account),
                         .start = get_share_elsewhere (claims->sched, account, claims->now) };

  if (account == claims->except)
    return;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    {
      int64_t used = mt_resources_get (&account->used, i);
      int64_t limit = mt_account_limit (claims->sched, account, i, claims->now);
      struct mt_resources wanted = { 0 };

      *mt_resources_field (&wanted, i)
          = MIN (used + mt_resources_get (&account->waiting, i), MAX (limit, used));
      set_need (&claim, i, get_fraction (claims->sched, &wanted, i));
    }
  if (claim.dominant > 0)
    g_array_append_val (claims->rows, claim);
}

/* Claims what the workspace waits for. Its average use in the last seconds counts as received. */
static void
add_waiting_claim (struct mt_account *account, void *data)
{
  struct claims *claims = data;
  struct claim claim
      = { .account = account, .weight = get_weight (account), .start = account->window_use };

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    {
      int64_t used = mt_resources_get (&account->used, i);
      int64_t limit = mt_account_limit (claims->sched, account, i, claims->now);
      struct mt_resources wanted = { 0 };

      *mt_resources_field (&wanted, i)
          = CLAMP (limit - used, 0, mt_resources_get (&account->waiting, i));
      set_need (&claim, i, get_fraction (claims->sched, &wanted, i));
    }
  if (claim.dominant > 0)
    g_array_append_val (claims->rows, claim);
}

static void
set_fair_shares (struct mt_scheduler *sched, int64_t now)
{
  const double free_share[MT_RESOURCE_KINDS] = { 1, 1, 1 };
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct claim));
  struct claims claims = { .sched = sched, .now = now, .rows = rows };

  for_each_account (sched, add_claim, &claims);
  fill (rows, free_share);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct claim *claim = &g_array_index (rows, struct claim, i);

      claim->account->fair = claim->given;
    }
}

/* ---- policies ---- */

static void
copy_fair_share (struct mt_account *account, void *data)
{
  account->limit = account->fair;
}

static void
set_floor_limits (struct mt_scheduler *sched, int64_t now)
{
  for_each_account (sched, copy_fair_share, NULL);
}

/* The workspace that has waited longest for its share goes first: where shares are smaller than one
 * task, each workspace gets a task in turn. */
static int
compare_waits (const struct mt_account *a, const struct mt_account *b)
{
  int64_t since_a = a->below_since > 0 ? a->below_since : INT64_MAX;
  int64_t since_b = b->below_since > 0 ? b->below_since : INT64_MAX;

  if (since_a != since_b)
    return since_a < since_b ? -1 : 1;
  return strcmp (a->name != NULL ? a->name : "", b->name != NULL ? b->name : "");
}

static void
start_at_use (struct mt_account *account, void *data)
{
  account->limit = get_dominant_share (data, &account->used);
}

static void
set_deficit_limits (struct mt_scheduler *sched, int64_t now)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct claim));
  struct claims claims = { .sched = sched, .now = now, .rows = rows };
  double free_share[MT_RESOURCE_KINDS] = { 1, 1, 1 };
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
      free_share[i] -= get_fraction (sched, &w->used, i);
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    free_share[i] = MAX (free_share[i], 0);
  for_each_account (sched, start_at_use, sched);
  for_each_account (sched, add_waiting_claim, &claims);
  fill (rows, free_share);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct claim *claim = &g_array_index (rows, struct claim, i);

      claim->account->limit += claim->given;
    }
}

static int
compare_window_use (const struct mt_account *a, const struct mt_account *b)
{
  double use_a = a->window_use / get_weight (a);
  double use_b = b->window_use / get_weight (b);

  if (use_a != use_b)
    return use_a < use_b ? -1 : 1;
  return compare_waits (a, b);
}

static const struct mt_share_policy policies[] = {
  { .name = "none", .description = "by value alone" },
  { .name = "floor",
    .description = "by value; workspaces below their fair share first, the others last",
    .set_limits = set_floor_limits,
    .compare = compare_waits },
  { .name = "deficit",
    .description = "workspaces with the least use by weight in the last seconds first",
    .set_limits = set_deficit_limits,
    .compare = compare_window_use,
    .by_workspace = true },
};

const struct mt_share_policy *
mt_share_policy_find (struct mt_str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (mt_str_equal (name, mt_str_from (policies[i].name)))
      return &policies[i];
  return NULL;
}

/* ---- placing ---- */

static void
forget_waiting (struct mt_account *account, void *data)
{
  account->waiting = (struct mt_resources){ 0 };
  account->unplaced = 0;
  account->fair = account->limit = 0;
  account->first_ready = account->last_ready = G_MAXUINT;
}

/* Tasks on workers that take no new work still use their workspaces' shares: what they use counts
 * as capacity. */
static void
measure_capacity (struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_worker *w;

  sched->share_capacity = (struct mt_resources){ 0 };
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      const struct mt_resources *counted
          = mt_worker_accepts_work (w, now) ? &w->resources : &w->used;

      for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
        *mt_resources_field (&sched->share_capacity, i) += mt_resources_get (counted, i);
    }
}

struct window
{
  const struct mt_scheduler *sched;
  int64_t now;
};

/* Moves the average towards the present use, by the share of the window that has passed. */
static void
update_window_use (struct mt_account *account, void *data)
{
  const struct window *window = data;
  double use = get_dominant_share (window->sched, &account->used)
               + get_share_elsewhere (window->sched, account, window->now);
  double passed = (double) (window->now - account->window_at) / WINDOW_MS;

  account->window_use += CLAMP (passed, 0, 1) * (use - account->window_use);
  account->window_at = window->now;
}

void
mt_shares_begin (struct mt_scheduler *sched, int64_t now)
{
  struct window window = { sched, now };

  measure_capacity (sched, now);
  for_each_account (sched, forget_waiting, NULL);
  for_each_account (sched, update_window_use, &window);
}

void
mt_shares_add_waiting (struct mt_account *account, const struct mt_step *step, unsigned n)
{
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    *mt_resources_field (&account->waiting, i) += (int64_t) n * mt_resources_get (&step->need, i);
}

void
mt_shares_set_limits (struct mt_scheduler *sched, int64_t now)
{
  set_fair_shares (sched, now);
  sched->settings.share_policy->set_limits (sched, now);
}

static void
add_waiting_account (struct mt_account *account, void *data)
{
  if (account->first_ready != G_MAXUINT)
    g_ptr_array_add (data, account);
}

static int
compare_accounts (const void *left, const void *right, void *policy)
{
  const struct mt_account *const *a = left;
  const struct mt_account *const *b = right;

  return ((const struct mt_share_policy *) policy)->compare (*a, *b);
}

GPtrArray *
mt_shares_order (struct mt_scheduler *sched)
{
  GPtrArray *accounts = g_ptr_array_new ();

  for_each_account (sched, add_waiting_account, accounts);
  g_ptr_array_sort_with_data (accounts, compare_accounts, (void *) sched->settings.share_policy);
  return accounts;
}

bool
mt_account_is_within_limit (const struct mt_scheduler *sched,
                            const struct mt_account *account,
                            const struct mt_step *step,
                            unsigned n)
{
  struct mt_resources used = account->used;

  if (step == NULL)
    return get_dominant_share (sched, &used) < account->limit - ROUNDING;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    *mt_resources_field (&used, i) += (int64_t) n * mt_resources_get (&step->need, i);
  return get_dominant_share (sched, &used) <= account->limit + ROUNDING;
}

static void
log_share (const struct mt_scheduler *sched, struct mt_account *account, int64_t now)
{
  bool is_below = account->below_since != 0;
  int64_t age_ms = account->elsewhere_at > 0 ? now - account->elsewhere_at : -1;
  bool is_valid = age_ms >= 0 && age_ms < MT_GRANT_LEASE_MS;

  if (is_below == account->logged_below
      || (account->logged_at != 0 && now - account->logged_at < LOG_INTERVAL_MS))
    return;
  account->logged_below = is_below;
  account->logged_at = now;
  mt_scheduler_log_event (
      (struct mt_scheduler *) sched, "SHARE_STATE",
      "workspace=%s state=%s weight=%.0f share=%.0f fair=%.0f used_cpu=%" G_GINT64_FORMAT
      " elsewhere_cpu=%" G_GINT64_FORMAT " elsewhere_age_ms=%" G_GINT64_FORMAT " waiting=%u",
      account->name != NULL ? account->name : "", is_below ? "waits" : "served",
      get_weight (account), 1000 * get_dominant_share (sched, &account->used), 1000 * account->fair,
      account->used.cpu, is_valid ? account->elsewhere.cpu : 0, is_valid ? age_ms : -1,
      account->unplaced);
}

static void
end_placing (struct mt_account *account, void *data)
{
  const struct window *window = data;
  double share = get_dominant_share (window->sched, &account->used);

  if (account->unplaced == 0 || share >= account->fair - ROUNDING)
    account->below_since = 0;
  else if (account->below_since == 0)
    account->below_since = window->now;
  log_share (window->sched, account, window->now);
}

void
mt_shares_end (struct mt_scheduler *sched, int64_t now)
{
  struct window window = { sched, now };

  for_each_account (sched, end_placing, &window);
}

/* ---- for other decisions ---- */

/* Claims the whole pool: of each resource that the workspace uses or waits for in the proportion in
 * which it does, or of processors and memory if it has no work. */
static void
add_unlimited_claim (const struct claims *claims, struct mt_account *account)
{
  struct claim claim = { .account = account,
                         .weight = get_weight (account),
                         .start = get_share_elsewhere (claims->sched, account, claims->now) };
  double share;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    set_need (&claim, i,
              get_fraction (claims->sched, &account->used, i)
                  + get_fraction (claims->sched, &account->waiting, i));
  share = claim.dominant;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    claim.need[i] = share > 0 ? claim.need[i] / share : i < 2;
  claim.dominant = 1;
  g_array_append_val (claims->rows, claim);
}

/* Returns the share that the quota allows in this pool. */
static double
get_quota_share (const struct mt_scheduler *sched, const struct mt_account *account, int64_t now)
{
  double share = 1;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    {
      int64_t limit = mt_account_limit (sched, account, i, now);
      struct mt_resources allowed = { 0 };

      *mt_resources_field (&allowed, i) = limit;
      if (limit < INT64_MAX && mt_resources_get (&sched->share_capacity, i) > 0)
        share = MIN (share, get_fraction (sched, &allowed, i));
    }
  return share;
}

double
mt_scheduler_fair_share (const struct mt_scheduler *sched, const char *workspace, int64_t now)
{
  const double free_share[MT_RESOURCE_KINDS] = { 1, 1, 1 };
  bool is_named = workspace != NULL && workspace[0] != '\0';
  const struct mt_account *known
      = is_named ? g_hash_table_lookup (sched->accounts, workspace) : &sched->unowned;
  struct mt_account unknown = { 0 };
  g_autoptr (GArray) rows = NULL;
  struct claims claims = { .sched = sched, .now = now, .except = known };

  if (!mt_shares_are_active (sched))
    return 1;
  rows = g_array_new (FALSE, FALSE, sizeof (struct claim));
  claims.rows = rows;
  for_each_account (sched, add_claim, &claims);
  add_unlimited_claim (&claims, known != NULL ? (struct mt_account *) known : &unknown);
  fill (rows, free_share);
  return MIN (g_array_index (rows, struct claim, rows->len - 1).given,
              get_quota_share (sched, known != NULL ? known : &unknown, now));
}

bool
mt_scheduler_is_above_share (const struct mt_scheduler *sched, const char *workspace, int64_t now)
{
  const struct mt_account *account;

  if (!mt_shares_are_active (sched))
    return false;
  account = workspace != NULL && workspace[0] != '\0'
                ? g_hash_table_lookup (sched->accounts, workspace)
                : &sched->unowned;
  return account != NULL
         && get_dominant_share (sched, &account->used)
                > mt_scheduler_fair_share (sched, workspace, now) + ROUNDING;
}
