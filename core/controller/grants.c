/* Allocation of each workspace's quota to pools that surge in turn.
 *
 * A workspace's jobs arrive at one pool for some seconds, then at another one. Fixed shares would
 * leave most of the quota idle while jobs wait; if a pool asked for each task, the task would wait
 * for the answer. So each pool is granted a share. The part that a pool does not use goes to pools
 * that need it, and the rest is spread evenly. */
#include "medlartrack/grants.h"

#include <string.h>

/* A pool that has not answered for this long may have a new leader, which takes an even share: that
 * much is kept free for it. */
#define NO_ANSWER_MS 1000
/* After this time without an answer a pool's grant has expired, by the pool's own clock, and the
 * pool keeps an even share: the lease plus the time that a message may take. */
#define GRANT_EXPIRY_MS (MT_GRANT_LEASE_MS + 1000)
/* If demand exceeds the quota, precedence passes to the next pool after this time: a task that is
 * larger than an even share must run eventually. */
#define ROTATION_MS 4000
/* A use in other pools is sent again after this time, so that it does not expire in the pool ... */
#define RENEWAL_MS (MT_GRANT_LEASE_MS / 2)
/* ... and at once if a figure has changed by more than this part of it. With each change sent, 20
 * workspaces in five pools would take 17 KB/s of the 20 KB/s for control. */
#define CHANGE_DIVISOR 8

/* One pool's share of one workspace's quota. */
struct share
{
  struct mt_resources used;
  struct mt_resources waiting;
  struct mt_resources largest_waiting; /* largest need of a waiting task */
  struct mt_resources acked;           /* latest grant that the pool has acknowledged */
  struct mt_resources sent;            /* latest grant sent */
  uint64_t sent_sequence;              /* of the message that carried it; 0: none sent */
  bool is_acked;                       /* the pool has acknowledged `sent` */
  bool has_grant;                      /* the pool's current leader has received a grant */
  struct mt_resources elsewhere;       /* use in other pools, as last sent */
  uint64_t elsewhere_sequence;         /* of the message that carried it; 0: none sent */
  int64_t elsewhere_at;                /* when it was last sent */
  bool elsewhere_acked;                /* the pool has acknowledged it */
};

struct pool
{
  char *name;
  uint64_t sequence; /* of the last message */
  bool answered;
  int64_t answered_at;
  bool is_counted;      /* what it uses is included in the totals */
  struct share *shares; /* by index of the workspace */
};

struct mt_grants
{
  int64_t token;
  int64_t created;
  char **names;        /* of workspaces */
  GHashTable *indices; /* name of a workspace to its index plus 1 */
  struct mt_resources *quotas;
  struct mt_resources *totals;   /* used by each workspace in all pools that are counted */
  bool is_weighted;              /* a workspace has a weight */
  struct mt_use_elsewhere *uses; /* of the last message */
  unsigned n_workspaces;
  struct pool *pools;
  unsigned n_pools;
};

struct mt_grants *
mt_grants_create (int64_t token, int64_t now)
{
  struct mt_grants *grants = g_new0 (struct mt_grants, 1);

  grants->token = token;
  grants->created = now;
  grants->names = g_new0 (char *, 1);
  grants->indices = g_hash_table_new (g_str_hash, g_str_equal);
  return grants;
}

static void
free_pools (struct pool *pools, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_free (pools[i].name);
      g_free (pools[i].shares);
    }
  g_free (pools);
}

void
mt_grants_destroy (struct mt_grants *grants)
{
  if (grants == NULL)
    return;
  free_pools (grants->pools, grants->n_pools);
  g_hash_table_unref (grants->indices);
  g_strfreev (grants->names);
  g_free (grants->quotas);
  g_free (grants->totals);
  g_free (grants->uses);
  g_free (grants);
}

static struct pool *
find_pool (const struct mt_grants *grants, const char *name)
{
  for (unsigned i = 0; i < grants->n_pools; i++)
    if (strcmp (grants->pools[i].name, name) == 0)
      return &grants->pools[i];
  return NULL;
}

static struct share *
find_share (const struct mt_grants *grants, const struct pool *pool, const char *workspace)
{
  unsigned index = GPOINTER_TO_UINT (g_hash_table_lookup (grants->indices, workspace));

  return index > 0 ? &pool->shares[index - 1] : NULL;
}

/* ---- use in other pools ---- */

/* Adds what the pool uses to the totals; sign -1 subtracts it. */
static void
add_to_totals (struct mt_grants *grants, const struct pool *pool, int sign)
{
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    for (unsigned k = 0; k < MT_RESOURCE_KINDS; k++)
      *mt_resources_field (&grants->totals[i], k)
          += sign * mt_resources_get (&pool->shares[i].used, k);
}

static void
set_counted (struct mt_grants *grants, struct pool *pool, bool counted)
{
  if (pool->is_counted == counted)
    return;
  pool->is_counted = counted;
  add_to_totals (grants, pool, counted ? 1 : -1);
}

/* Leaves out pools that have not answered for as long as a pool counts a figure: what they use now
 * is not known. */
static void
leave_out_silent_pools (struct mt_grants *grants, int64_t now)
{
  for (unsigned i = 0; i < grants->n_pools; i++)
    if (now - grants->pools[i].answered_at >= MT_GRANT_LEASE_MS)
      set_counted (grants, &grants->pools[i], false);
}

static bool
is_used (const struct mt_resources *resources)
{
  return resources->cpu > 0 || resources->mem > 0 || resources->gpu > 0;
}

static bool
has_changed (const struct mt_resources *before, const struct mt_resources *after)
{
  bool changed = false;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    {
      int64_t a = mt_resources_get (before, i);
      int64_t b = mt_resources_get (after, i);

      changed |= CHANGE_DIVISOR * ABS (a - b) > MAX (a, b);
    }
  return changed;
}

static bool
needs_use_elsewhere (const struct share *share, const struct mt_resources *elsewhere, int64_t now)
{
  if (!is_used (&share->used) && !is_used (&share->waiting))
    return false;
  return !share->elsewhere_acked || now - share->elsewhere_at >= RENEWAL_MS
         || has_changed (&share->elsewhere, elsewhere);
}

/* Adds what each workspace that the pool works for uses in the other pools: figures that have
 * changed, that the pool has not acknowledged, or that it would soon stop counting. */
static void
add_uses_elsewhere (struct mt_grants *grants,
                    struct pool *pool,
                    struct mt_grant_message *out,
                    int64_t now)
{
  if (!grants->is_weighted)
    return;
  leave_out_silent_pools (grants, now);
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      struct share *share = &pool->shares[i];
      struct mt_resources elsewhere = grants->totals[i];

      for (unsigned k = 0; pool->is_counted && k < MT_RESOURCE_KINDS; k++)
        *mt_resources_field (&elsewhere, k) -= mt_resources_get (&share->used, k);
      if (!needs_use_elsewhere (share, &elsewhere, now))
        continue;
      share->elsewhere = elsewhere;
      share->elsewhere_sequence = out->sequence;
      share->elsewhere_at = now;
      share->elsewhere_acked = false;
      grants->uses[out->n_uses++] = (struct mt_use_elsewhere){ grants->names[i], elsewhere };
    }
  out->uses = grants->uses;
}

/* Returns the pool's state for a new configuration: copied from the old one for the workspaces that
 * exist in both. */
static struct pool
copy_pool (const struct mt_grants *old, const char *name, char *const *names, unsigned n)
{
  const struct pool *known = find_pool (old, name);
  struct pool out = { .name = g_strdup (name), .shares = g_new0 (struct share, n + 1) };

  if (known == NULL)
    return out;
  out.sequence = known->sequence;
  out.answered = known->answered;
  out.answered_at = known->answered_at;
  out.is_counted = known->is_counted;
  for (unsigned i = 0; i < n; i++)
    {
      const struct share *share = find_share (old, known, names[i]);

      if (share != NULL)
        out.shares[i] = *share;
    }
  return out;
}

void
mt_grants_configure (struct mt_grants *grants,
                     const char *const *pools,
                     const struct mt_workspaces *workspaces)
{
  unsigned n = workspaces != NULL ? mt_workspaces_count (workspaces) : 0;
  unsigned n_pools = g_strv_length ((char **) pools);
  char **names = g_new0 (char *, n + 1);
  struct mt_resources *quotas = g_new0 (struct mt_resources, n + 1);
  struct pool *next = g_new0 (struct pool, n_pools + 1);
  bool weighted = false;

  for (unsigned i = 0; i < n; i++)
    {
      names[i] = g_strdup (mt_workspaces_at (workspaces, i)->name);
      quotas[i] = mt_workspaces_at (workspaces, i)->quota;
      weighted |= mt_workspaces_at (workspaces, i)->weight > 0;
    }
  for (unsigned i = 0; i < n_pools; i++)
    next[i] = copy_pool (grants, pools[i], names, n);
  free_pools (grants->pools, grants->n_pools);
  g_strfreev (grants->names);
  g_free (grants->quotas);
  g_free (grants->totals);
  g_free (grants->uses);
  g_hash_table_remove_all (grants->indices);
  for (unsigned i = 0; i < n; i++)
    g_hash_table_insert (grants->indices, names[i], GUINT_TO_POINTER (i + 1));
  grants->totals = g_new0 (struct mt_resources, n + 1);
  grants->uses = g_new0 (struct mt_use_elsewhere, n + 1);
  grants->is_weighted = weighted;
  grants->names = names;
  grants->quotas = quotas;
  grants->n_workspaces = n;
  grants->pools = next;
  grants->n_pools = n_pools;
  for (unsigned i = 0; i < n_pools; i++)
    if (next[i].is_counted)
      add_to_totals (grants, &next[i], 1);
}

/* ---- the share of each pool ---- */

/* One kind of resource of one workspace's quota, across all pools. */
struct quota_view
{
  const struct mt_grants *grants;
  unsigned workspace;
  unsigned kind; /* index of the kind of resource */
  int64_t quota;
  unsigned n_pools; /* at least one */
  int64_t now;
};

static const struct share *
share_at (const struct quota_view *view, unsigned pool)
{
  return &view->grants->pools[pool].shares[view->workspace];
}

static int64_t
amount (const struct quota_view *view, const struct mt_resources *resources)
{
  return mt_resources_get (resources, view->kind);
}

static bool
is_silent (const struct quota_view *view, unsigned pool, int64_t ms)
{
  const struct pool *p = &view->grants->pools[pool];

  return !p->answered || view->now - p->answered_at >= ms;
}

/* Returns the most that the pool may be using, even if messages were lost. */
static int64_t
reserved (const struct quota_view *view, unsigned pool)
{
  const struct share *share = share_at (view, pool);
  int64_t even = view->quota / view->n_pools;
  int64_t used = amount (view, &share->used);
  int64_t granted = amount (view, &share->acked);

  if (is_silent (view, pool, GRANT_EXPIRY_MS))
    return MAX (used, even);
  if (!share->is_acked)
    granted = MAX (granted, amount (view, &share->sent));
  /* A leader of the pool without a grant takes an even share after some time. */
  if (!share->has_grant || is_silent (view, pool, NO_ANSWER_MS))
    granted = MAX (granted, even);
  return MAX (used, granted);
}

static int64_t
demand (const struct quota_view *view, unsigned pool)
{
  const struct share *share = share_at (view, pool);

  return is_silent (view, pool, NO_ANSWER_MS)
             ? reserved (view, pool)
             : amount (view, &share->used) + amount (view, &share->waiting);
}

/* Returns the pool's share if the quota covers all demand: its demand and an even part of the rest
 * of the quota. */
static int64_t
surplus_share (const struct quota_view *view, unsigned pool, int64_t total_demand)
{
  return demand (view, pool) + (view->quota - total_demand) / view->n_pools;
}

/* Returns the level of max-min fairness: the most that a pool gets if the quota does not cover all
 * demand. Pools with a lower demand get their demand, the others even parts of the rest. */
static int64_t
fair_level (const struct quota_view *view)
{
  unsigned n = view->n_pools;
  int64_t level = view->quota / n;

  for (unsigned round = 0; round < n; round++)
    {
      int64_t remaining = view->quota;
      unsigned above = 0;

      for (unsigned i = 0; i < n; i++)
        if (demand (view, i) <= level)
          remaining -= demand (view, i);
        else
          above++;
      level = above > 0 ? MAX (remaining / above, level) : level;
    }
  return level;
}

/* Returns the pool's share if the quota does not cover all demand. Pools take turns in going first:
 * if the largest waiting task of the first pool needs more than the fair level, the others share
 * what it leaves. */
static int64_t
fair_share (const struct quota_view *view, unsigned pool)
{
  unsigned n = view->n_pools;
  unsigned first = (unsigned) (view->now / ROTATION_MS) % n;
  int64_t largest = MIN (amount (view, &share_at (view, first)->largest_waiting), view->quota);
  int64_t level = fair_level (view);

  if (n > 1 && largest > level)
    level = pool == first ? largest : (view->quota - largest) / (n - 1);
  return MIN (demand (view, pool), level);
}

/* Returns what the pool should be granted of this resource. A pool that has more than its share
 * keeps it while no other pool lacks it. */
static int64_t
target_share (const struct quota_view *view, unsigned pool)
{
  unsigned n = view->n_pools;
  const struct share *share = share_at (view, pool);
  int64_t granted = amount (view, share->is_acked ? &share->acked : &share->sent);
  int64_t total_demand = 0;
  int64_t others = 0;
  bool shortage = false;
  int64_t target;

  for (unsigned i = 0; i < n; i++)
    {
      total_demand += demand (view, i);
      shortage |= demand (view, i) > reserved (view, i);
      others += i != pool ? reserved (view, i) : 0;
    }
  target = total_demand <= view->quota ? surplus_share (view, pool, total_demand)
                                       : fair_share (view, pool);
  if (target > granted)
    return MAX (MIN (target, view->quota - others), granted);
  return shortage || others + granted > view->quota ? target : granted;
}

static bool
target_resources (const struct mt_grants *grants,
                  unsigned workspace,
                  unsigned pool,
                  int64_t now,
                  struct mt_resources *out)
{
  const struct share *share = &grants->pools[pool].shares[workspace];
  bool changed = false;

  *out = share->is_acked ? share->acked : share->sent;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    {
      struct quota_view view = { .grants = grants,
                                 .workspace = workspace,
                                 .kind = i,
                                 .quota = mt_resources_get (&grants->quotas[workspace], i),
                                 .n_pools = MAX (grants->n_pools, 1U),
                                 .now = now };

      if (view.quota == 0)
        continue;
      *mt_resources_field (out, i) = target_share (&view, pool);
      changed |= mt_resources_get (out, i) != mt_resources_get (&share->acked, i)
                 || mt_resources_get (out, i) != mt_resources_get (&share->sent, i);
    }
  return changed;
}

/* Returns whether grants may change: each pool has answered, or its grant by the previous leader,
 * which may be any share, has expired. */
static bool
all_pools_answered (const struct mt_grants *grants, int64_t now)
{
  bool all = true;

  for (unsigned i = 0; i < grants->n_pools; i++)
    all &= grants->pools[i].answered;
  return all || now - grants->created >= GRANT_EXPIRY_MS;
}

struct mt_grant_message
mt_grants_next_message (struct mt_grants *grants, const char *name, int64_t now)
{
  struct pool *pool = find_pool (grants, name);
  struct mt_grant_message out = { .token = grants->token };
  struct mt_grant *rows;

  if (pool == NULL)
    return out;
  out.sequence = ++pool->sequence;
  out.all = !pool->answered;
  rows = g_new0 (struct mt_grant, grants->n_workspaces + 1);
  out.grants = rows;
  if (pool->answered)
    add_uses_elsewhere (grants, pool, &out, now);
  if (!pool->answered || !all_pools_answered (grants, now))
    return out;
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      struct share *share = &pool->shares[i];
      struct mt_resources resources;

      if (!target_resources (grants, i, (unsigned) (pool - grants->pools), now, &resources)
          && share->is_acked && share->has_grant)
        continue;
      rows[out.n_grants++] = (struct mt_grant){ grants->names[i], resources };
      /* An earlier grant that was not acknowledged may be in force: counts the higher one. */
      for (unsigned k = 0; !share->is_acked && k < MT_RESOURCE_KINDS; k++)
        *mt_resources_field (&share->acked, k)
            = MAX (mt_resources_get (&share->acked, k), mt_resources_get (&share->sent, k));
      share->sent = resources;
      share->sent_sequence = out.sequence;
      share->is_acked = false;
    }
  return out;
}

static void
acknowledge (struct share *share, uint64_t sequence)
{
  if (share->sent_sequence == 0 || share->sent_sequence > sequence)
    return;
  share->acked = share->sent;
  share->is_acked = true;
}

void
mt_grants_acknowledge (struct mt_grants *grants,
                       const char *name,
                       uint64_t sequence,
                       const struct mt_account_view *views,
                       size_t n,
                       int64_t now)
{
  struct pool *pool = find_pool (grants, name);

  if (pool == NULL)
    return;
  set_counted (grants, pool, false);
  pool->answered = true;
  pool->answered_at = now;
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      pool->shares[i].used = pool->shares[i].waiting = pool->shares[i].largest_waiting
          = (struct mt_resources){ 0 };
      acknowledge (&pool->shares[i], sequence);
      if (pool->shares[i].elsewhere_sequence <= sequence)
        pool->shares[i].elsewhere_acked = pool->shares[i].elsewhere_sequence > 0;
      pool->shares[i].has_grant = true;
    }
  for (size_t i = 0; i < n; i++)
    {
      struct share *share = find_share (grants, pool, views[i].workspace);

      if (share == NULL)
        continue;
      share->used = views[i].used;
      share->waiting = views[i].waiting;
      share->largest_waiting = views[i].largest_waiting;
      share->has_grant = views[i].has_grant;
      /* A new leader of the pool has no figures either. */
      share->elsewhere_acked &= views[i].has_grant;
      if (share->sent_sequence <= sequence)
        {
          share->acked = views[i].granted;
          share->is_acked = true;
        }
    }
  set_counted (grants, pool, true);
}
