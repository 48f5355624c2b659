/* Allocation of a quota to pools that surge in turn.
 *
 * The load: a workspace's jobs come to one pool for some seconds, then to the next. A fixed share
 * for each pool would leave most of the quota idle while its jobs wait; a pool that asked for each
 * task would wait for the answer. So each pool has a granted share, what it does not use goes to
 * the pool that lacks it, and what is left over is spread evenly. */
#include "medlartrack/grants.h"

#include <string.h>

/* A pool that has not answered for so long may have a new leader, which takes an even share in the
 * end: the others make room for it. */
#define MISSED_MS 1000
/* ... and for so long, its grant has lapsed to an even share by its own clock: longer than the
 * lease by what a message may be on its way. */
#define SILENT_MS (MT_GRANT_LEASE_MS + 1000)
/* Where not all that is wanted can be had, another pool goes first after so long: a task that is
 * larger than an even share must run in the end. */
#define ROTATION_MS 4000

/* One pool's share of one workspace's quota. */
struct share
{
  struct mt_resources used;
  struct mt_resources waiting;
  struct mt_resources largest; /* task that waits */
  struct mt_resources acked;   /* granted, as far as the pool has acknowledged */
  struct mt_resources sent;
  uint64_t sent_number; /* of the message that granted it; 0 for none */
  bool is_acked;
  bool has_grant; /* the pool's present leader has received one */
};

struct pool
{
  char *name;
  uint64_t number; /* of the last message */
  bool heard;
  int64_t heard_at;
  struct share *shares; /* by workspace */
};

struct mt_grants
{
  int64_t token;
  int64_t created;
  char **names; /* of workspaces */
  struct mt_resources *quotas;
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
  g_strfreev (grants->names);
  g_free (grants->quotas);
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
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    if (strcmp (grants->names[i], workspace) == 0)
      return &pool->shares[i];
  return NULL;
}

/* What is known of a pool's shares outlives a change of the configuration. */
static struct pool
take_pool (const struct mt_grants *old, const char *name, char *const *names, unsigned n)
{
  const struct pool *known = find_pool (old, name);
  struct pool out = { .name = g_strdup (name), .shares = g_new0 (struct share, n + 1) };

  if (known == NULL)
    return out;
  out.number = known->number;
  out.heard = known->heard;
  out.heard_at = known->heard_at;
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

  for (unsigned i = 0; i < n; i++)
    {
      names[i] = g_strdup (mt_workspaces_at (workspaces, i)->name);
      quotas[i] = mt_workspaces_at (workspaces, i)->quota;
    }
  for (unsigned i = 0; i < n_pools; i++)
    next[i] = take_pool (grants, pools[i], names, n);
  free_pools (grants->pools, grants->n_pools);
  g_strfreev (grants->names);
  g_free (grants->quotas);
  grants->names = names;
  grants->quotas = quotas;
  grants->n_workspaces = n;
  grants->pools = next;
  grants->n_pools = n_pools;
}

/* ---- what each pool may have ---- */

/* One figure of one workspace's quota, as it stands in all pools. */
struct ledger
{
  const struct mt_grants *grants;
  unsigned workspace;
  unsigned part; /* of a room */
  int64_t quota;
  unsigned n_pools; /* at least one */
  int64_t now;
};

static const struct share *
share_at (const struct ledger *l, unsigned pool)
{
  return &l->grants->pools[pool].shares[l->workspace];
}

static int64_t
figure (const struct ledger *l, const struct mt_resources *room)
{
  return mt_resources_get (room, l->part);
}

static bool
is_silent (const struct ledger *l, unsigned pool, int64_t ms)
{
  const struct pool *p = &l->grants->pools[pool];

  return !p->heard || l->now - p->heard_at >= ms;
}

/* As much as the pool may be using, whatever was lost on the way. */
static int64_t
reserved (const struct ledger *l, unsigned pool)
{
  const struct share *share = share_at (l, pool);
  int64_t even = l->quota / l->n_pools;
  int64_t used = figure (l, &share->used);
  int64_t granted = figure (l, &share->acked);

  if (is_silent (l, pool, SILENT_MS))
    return MAX (used, even);
  if (!share->is_acked)
    granted = MAX (granted, figure (l, &share->sent));
  /* A leader without a grant takes an even share in the end. */
  if (!share->has_grant || is_silent (l, pool, MISSED_MS))
    granted = MAX (granted, even);
  return MAX (used, granted);
}

static int64_t
wanted (const struct ledger *l, unsigned pool)
{
  const struct share *share = share_at (l, pool);

  return is_silent (l, pool, MISSED_MS) ? reserved (l, pool)
                                        : figure (l, &share->used) + figure (l, &share->waiting);
}

/* Where all can have what they want, each pool gets that and an even part of the rest. */
static int64_t
surplus_share (const struct ledger *l, unsigned pool, int64_t all_wanted)
{
  return wanted (l, pool) + (l->quota - all_wanted) / l->n_pools;
}

/* Max-min fairness: nobody gets more than it wants, nor more than an even part of what those leave
 * who want less. */
static int64_t
fair_level (const struct ledger *l)
{
  unsigned n = l->n_pools;
  int64_t level = l->quota / n;

  for (unsigned round = 0; round < n; round++)
    {
      int64_t left = l->quota;
      unsigned above = 0;

      for (unsigned i = 0; i < n; i++)
        if (wanted (l, i) <= level)
          left -= wanted (l, i);
        else
          above++;
      level = above > 0 ? MAX (left / above, level) : level;
    }
  return level;
}

/* Pools whose next task is larger than the fair level go first by rotation; the others leave room
 * for it meanwhile. */
static int64_t
fair_share (const struct ledger *l, unsigned pool)
{
  unsigned n = l->n_pools;
  unsigned first = (unsigned) (l->now / ROTATION_MS) % n;
  int64_t largest = MIN (figure (l, &share_at (l, first)->largest), l->quota);
  int64_t level = fair_level (l);

  if (n > 1 && largest > level)
    level = pool == first ? largest : (l->quota - largest) / (n - 1);
  return MIN (wanted (l, pool), level);
}

/* What the pool is to be granted of this figure. Nothing is taken from a pool that has more than
 * its share while nobody lacks it. */
static int64_t
target_share (const struct ledger *l, unsigned pool)
{
  unsigned n = l->n_pools;
  const struct share *share = share_at (l, pool);
  int64_t granted = figure (l, share->is_acked ? &share->acked : &share->sent);
  int64_t all_wanted = 0;
  int64_t others = 0;
  bool lacked = false;
  int64_t target;

  for (unsigned i = 0; i < n; i++)
    {
      all_wanted += wanted (l, i);
      lacked |= wanted (l, i) > reserved (l, i);
      others += i != pool ? reserved (l, i) : 0;
    }
  target = all_wanted <= l->quota ? surplus_share (l, pool, all_wanted) : fair_share (l, pool);
  if (target > granted)
    return MAX (MIN (target, l->quota - others), granted);
  return lacked || others + granted > l->quota ? target : granted;
}

static bool
target_room (const struct mt_grants *grants,
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
      struct ledger l = { .grants = grants,
                          .workspace = workspace,
                          .part = i,
                          .quota = mt_resources_get (&grants->quotas[workspace], i),
                          .n_pools = MAX (grants->n_pools, 1U),
                          .now = now };

      if (l.quota == 0)
        continue;
      *mt_resources_field (out, i) = target_share (&l, pool);
      changed |= mt_resources_get (out, i) != mt_resources_get (&share->acked, i)
                 || mt_resources_get (out, i) != mt_resources_get (&share->sent, i);
    }
  return changed;
}

/* A pool that has not answered yet may have been granted anything by the leader before this one:
 * until it answers, or its grant has lapsed, no other grant changes. */
static bool
knows_all_pools (const struct mt_grants *grants, int64_t now)
{
  bool all = true;

  for (unsigned i = 0; i < grants->n_pools; i++)
    all &= grants->pools[i].heard;
  return all || now - grants->created >= SILENT_MS;
}

struct mt_grant_message
mt_grants_next_message (struct mt_grants *grants, const char *name, int64_t now)
{
  struct pool *pool = find_pool (grants, name);
  struct mt_grant_message out = { .token = grants->token };
  struct mt_grant *rows;

  if (pool == NULL)
    return out;
  out.sequence = ++pool->number;
  out.all = !pool->heard;
  rows = g_new0 (struct mt_grant, grants->n_workspaces + 1);
  out.grants = rows;
  if (!pool->heard || !knows_all_pools (grants, now))
    return out;
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      struct share *share = &pool->shares[i];
      struct mt_resources room;

      if (!target_room (grants, i, (unsigned) (pool - grants->pools), now, &room) && share->is_acked
          && share->has_grant)
        continue;
      rows[out.n_grants++] = (struct mt_grant){ grants->names[i], room };
      /* An earlier grant without an acknowledgement may be in force: the higher one counts. */
      for (unsigned k = 0; !share->is_acked && k < MT_RESOURCE_KINDS; k++)
        *mt_resources_field (&share->acked, k)
            = MAX (mt_resources_get (&share->acked, k), mt_resources_get (&share->sent, k));
      share->sent = room;
      share->sent_number = out.sequence;
      share->is_acked = false;
    }
  return out;
}

static void
acknowledge (struct share *share, uint64_t number)
{
  if (share->sent_number == 0 || share->sent_number > number)
    return;
  share->acked = share->sent;
  share->is_acked = true;
}

void
mt_grants_acknowledge (struct mt_grants *grants,
                       const char *name,
                       uint64_t number,
                       const struct mt_account_view *views,
                       size_t n,
                       int64_t now)
{
  struct pool *pool = find_pool (grants, name);

  if (pool == NULL)
    return;
  pool->heard = true;
  pool->heard_at = now;
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      pool->shares[i].used = pool->shares[i].waiting = pool->shares[i].largest
          = (struct mt_resources){ 0 };
      acknowledge (&pool->shares[i], number);
      pool->shares[i].has_grant = true;
    }
  for (size_t i = 0; i < n; i++)
    {
      struct share *share = find_share (grants, pool, views[i].workspace);

      if (share == NULL)
        continue;
      share->used = views[i].used;
      share->waiting = views[i].waiting;
      share->largest = views[i].largest_waiting;
      share->has_grant = views[i].has_grant;
      if (share->sent_number <= number)
        {
          share->acked = views[i].granted;
          share->is_acked = true;
        }
    }
}
