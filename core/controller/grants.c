/* How a quota is shared by pools that surge in turn.
 *
 * The load: a workspace's jobs come to one pool for some seconds, then to the next. A fixed share
 * for each pool would leave most of the quota idle while its jobs wait; a pool that asked for each
 * task would wait for the answer. So each pool has a part, what it does not use goes to the pool
 * that lacks it, and what is left over is spread evenly. */
#include "medlartrack/grants.h"

#include <string.h>

/* A pool that has not answered for so long may have a new leader, who takes an even share in the
 * end: the others make room for it. */
#define MISSED_MS 1000
/* ... and for so long, it has fallen back to an even share by its own clock: longer than the lease
 * by what a message may be on its way. */
#define SILENT_MS (MT_GRANT_MS + 1000)
/* Where not all that is wanted can be had, another pool goes first after so long: a task that is
 * larger than an even share must have its turn. */
#define TURN_MS 4000

/* One pool's part of one workspace's quota. */
struct part
{
  struct mt_room used;
  struct mt_room waiting;
  struct mt_room unit;
  struct mt_room held; /* as far as the pool has confirmed */
  struct mt_room sent;
  uint64_t sent_number; /* of the message that said so; 0 for none */
  bool confirmed;       /* by its answer */
  bool told;            /* its present leader was told of its part */
};

struct pool
{
  char *name;
  uint64_t number; /* of the last message */
  bool heard;
  int64_t heard_at;
  struct part *parts; /* by workspace */
};

struct mt_grants
{
  int64_t token;
  int64_t created;
  char **names; /* of workspaces */
  struct mt_room *quotas;
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
      g_free (pools[i].parts);
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

static struct part *
find_part (const struct mt_grants *grants, const struct pool *pool, const char *workspace)
{
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    if (strcmp (grants->names[i], workspace) == 0)
      return &pool->parts[i];
  return NULL;
}

/* What is known of a pool's parts outlives a change of the configuration. */
static struct pool
take_pool (const struct mt_grants *old, const char *name, char *const *names, unsigned n)
{
  const struct pool *known = find_pool (old, name);
  struct pool out = { .name = g_strdup (name), .parts = g_new0 (struct part, n + 1) };

  if (known == NULL)
    return out;
  out.number = known->number;
  out.heard = known->heard;
  out.heard_at = known->heard_at;
  for (unsigned i = 0; i < n; i++)
    {
      const struct part *part = find_part (old, known, names[i]);

      if (part != NULL)
        out.parts[i] = *part;
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
  struct mt_room *quotas = g_new0 (struct mt_room, n + 1);
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

static const struct part *
part_at (const struct ledger *l, unsigned pool)
{
  return &l->grants->pools[pool].parts[l->workspace];
}

static int64_t
figure (const struct ledger *l, const struct mt_room *room)
{
  return mt_room_get (room, l->part);
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
  const struct part *part = part_at (l, pool);
  int64_t even = l->quota / l->n_pools;
  int64_t used = figure (l, &part->used);
  int64_t told = figure (l, &part->held);

  if (is_silent (l, pool, SILENT_MS))
    return MAX (used, even);
  if (!part->confirmed)
    told = MAX (told, figure (l, &part->sent));
  /* Whoever was not told of a part takes an even one in the end. */
  if (!part->told || is_silent (l, pool, MISSED_MS))
    told = MAX (told, even);
  return MAX (used, told);
}

static int64_t
wanted (const struct ledger *l, unsigned pool)
{
  const struct part *part = part_at (l, pool);

  return is_silent (l, pool, MISSED_MS) ? reserved (l, pool)
                                        : figure (l, &part->used) + figure (l, &part->waiting);
}

/* Where all wants can be met, each pool gets its own and an even part of the rest. */
static int64_t
generous_share (const struct ledger *l, unsigned pool, int64_t all_wanted)
{
  return wanted (l, pool) + (l->quota - all_wanted) / l->n_pools;
}

/* The quota is filled up evenly: nobody gets more than it wants, nor more than an even part of what
 * those leave who want less. */
static int64_t
fill_level (const struct ledger *l)
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

/* A task that is larger than an even part has its turn: the others leave room for it meanwhile. */
static int64_t
scarce_share (const struct ledger *l, unsigned pool)
{
  unsigned n = l->n_pools;
  unsigned turn = (unsigned) (l->now / TURN_MS) % n;
  int64_t unit = MIN (figure (l, &part_at (l, turn)->unit), l->quota);
  int64_t level = fill_level (l);

  if (n > 1 && unit > level)
    level = pool == turn ? unit : (l->quota - unit) / (n - 1);
  return MIN (wanted (l, pool), level);
}

/* What the pool should be told to have of this figure. Nothing is taken from a pool that has more
 * than its share while nobody lacks it. */
static int64_t
decide (const struct ledger *l, unsigned pool)
{
  unsigned n = l->n_pools;
  const struct part *part = part_at (l, pool);
  int64_t held = figure (l, part->confirmed ? &part->held : &part->sent);
  int64_t all_wanted = 0;
  int64_t others = 0;
  bool lacked = false;
  int64_t share;

  for (unsigned i = 0; i < n; i++)
    {
      all_wanted += wanted (l, i);
      lacked |= wanted (l, i) > reserved (l, i);
      others += i != pool ? reserved (l, i) : 0;
    }
  share = all_wanted <= l->quota ? generous_share (l, pool, all_wanted) : scarce_share (l, pool);
  if (share > held)
    return MAX (MIN (share, l->quota - others), held);
  return lacked || others + held > l->quota ? share : held;
}

static bool
decide_room (const struct mt_grants *grants,
             unsigned workspace,
             unsigned pool,
             int64_t now,
             struct mt_room *out)
{
  const struct part *part = &grants->pools[pool].parts[workspace];
  bool changed = false;

  *out = part->confirmed ? part->held : part->sent;
  for (unsigned i = 0; i < MT_ROOM_PARTS; i++)
    {
      struct ledger l = { .grants = grants,
                          .workspace = workspace,
                          .part = i,
                          .quota = mt_room_get (&grants->quotas[workspace], i),
                          .n_pools = MAX (grants->n_pools, 1U),
                          .now = now };

      if (l.quota == 0)
        continue;
      *mt_room_part (out, i) = decide (&l, pool);
      changed |= mt_room_get (out, i) != mt_room_get (&part->held, i)
                 || mt_room_get (out, i) != mt_room_get (&part->sent, i);
    }
  return changed;
}

/* A pool that was not heard of yet may have been told anything by the leader before this one: until
 * it has answered, or fallen back to an even share, nobody is told anything else. */
static bool
knows_all_pools (const struct mt_grants *grants, int64_t now)
{
  bool all = true;

  for (unsigned i = 0; i < grants->n_pools; i++)
    all &= grants->pools[i].heard;
  return all || now - grants->created >= SILENT_MS;
}

struct mt_grant_message
mt_grants_message (struct mt_grants *grants, const char *name, int64_t now)
{
  struct pool *pool = find_pool (grants, name);
  struct mt_grant_message out = { .token = grants->token };
  struct mt_grant *rows;

  if (pool == NULL)
    return out;
  out.number = ++pool->number;
  out.all = !pool->heard;
  rows = g_new0 (struct mt_grant, grants->n_workspaces + 1);
  out.grants = rows;
  if (!pool->heard || !knows_all_pools (grants, now))
    return out;
  for (unsigned i = 0; i < grants->n_workspaces; i++)
    {
      struct part *part = &pool->parts[i];
      struct mt_room room;

      if (!decide_room (grants, i, (unsigned) (pool - grants->pools), now, &room) && part->confirmed
          && part->told)
        continue;
      rows[out.n_grants++] = (struct mt_grant){ grants->names[i], room };
      /* What was said before and not confirmed may hold as well: the higher one counts until then.
       */
      for (unsigned k = 0; !part->confirmed && k < MT_ROOM_PARTS; k++)
        *mt_room_part (&part->held, k)
            = MAX (mt_room_get (&part->held, k), mt_room_get (&part->sent, k));
      part->sent = room;
      part->sent_number = out.number;
      part->confirmed = false;
    }
  return out;
}

static void
confirm (struct part *part, uint64_t number)
{
  if (part->sent_number == 0 || part->sent_number > number)
    return;
  part->held = part->sent;
  part->confirmed = true;
}

void
mt_grants_answered (struct mt_grants *grants,
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
      pool->parts[i].used = pool->parts[i].waiting = pool->parts[i].unit = (struct mt_room){ 0 };
      confirm (&pool->parts[i], number);
      pool->parts[i].told = true;
    }
  for (size_t i = 0; i < n; i++)
    {
      struct part *part = find_part (grants, pool, views[i].workspace);

      if (part == NULL)
        continue;
      part->used = views[i].used;
      part->waiting = views[i].waiting;
      part->unit = views[i].unit;
      part->told = views[i].told;
      if (part->sent_number <= number)
        {
          part->held = views[i].granted;
          part->confirmed = true;
        }
    }
}
