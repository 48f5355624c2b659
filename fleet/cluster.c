#include "cluster.h"

#include "loop.h"
#include "medlartrack/leader_rank.h"
#include "watcher.h"

#include <string.h>

#define CLUSTER_PREFIX    "medlartrack/cluster/"
#define MEMBER_PREFIX     CLUSTER_PREFIX "member/"
#define LEADERSHIP_PREFIX CLUSTER_PREFIX "leadership/"

/* A daemon that dies is replaced after this; renewed three times within it, so that one lost call
 * or a short stall costs nothing. */
#define LEASE_MS         1500
#define RENEW_MS         450
#define RENEW_TIMEOUT_MS 400
/* After a renewal without an answer: a lease that the store has paused, or ended, is known sooner.
 */
#define RENEW_AGAIN_MS 120
/* Renewals on their way at once; more would only wait behind a store that does not answer. */
#define MAX_RENEWALS 3U
/* The lease counts as over this much before it can be, for clocks that run apart. */
#define SURE_MARGIN_MS 150
/* A watch on daemons and leaderships waits so long; a change ends the wait. */
#define WATCH_MS 5000
/* How late a free leadership may be noticed beyond its rank. */
#define TICK_MS 60
/* Where many come first, the later ones step in together: a free leadership is not left for
 * seconds. */
#define MAX_RANK 8U
/* A write of membership without an answer is of no use later: half a lease. */
#define TXN_MS 700

struct leadership
{
  char *name;
  int64_t token;    /* ours; 0 */
  int64_t revision; /* of the key as last seen; 0: free */
  char *holder;     /* its address */
  int64_t free_since;
  bool trying;
  bool wanted;
};

struct member
{
  char *address;
  char *zone;
  double cores;
};

struct mt_cluster
{
  struct mt_kv kv;
  struct mt_cluster_options options;
  char *name;
  char *address;
  char *zone;
  double cores;
  struct mt_watcher *watcher;
  struct mt_timer *tick;
  GHashTable *members;     /* name to struct member */
  GHashTable *leaderships; /* name to struct leadership */
  bool listed;
  int64_t joined_at; /* when our own key was written last */

  int64_t lease;
  int64_t sure_until;
  int64_t renewed; /* when the last renewal was sent */
  int64_t renew_sent;
  unsigned renewing; /* renewals on their way */
  bool unanswered;   /* the last renewal */
  bool granting;
  bool joined;
  bool joining;

  bool leaving;
  void (*left) (void *ctx);
  void *left_ctx;
};

char *
mt_cluster_leader_key (const char *leadership)
{
  return g_strconcat (LEADERSHIP_PREFIX, leadership, NULL);
}

static void
free_leadership (void *data)
{
  struct leadership *d = data;

  g_free (d->holder);
  g_free (d->name);
  g_free (d);
}

static struct leadership *
get_leadership (struct mt_cluster *c, const char *name)
{
  struct leadership *d = g_hash_table_lookup (c->leaderships, name);

  if (d != NULL)
    return d;
  d = g_new0 (struct leadership, 1);
  d->name = g_strdup (name);
  d->free_since = mt_loop_now ();
  g_hash_table_insert (c->leaderships, d->name, d);
  return d;
}

static void
lose (struct mt_cluster *c, struct leadership *d, const char *why)
{
  if (d->token == 0)
    return;
  d->token = 0;
  c->options.lost (c->options.ctx, d->name, why);
}

static void
lose_all (struct mt_cluster *c, const char *why)
{
  GHashTableIter it;
  struct leadership *d;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &d))
    lose (c, d, why);
}

/* ---- view ---- */

static void
see_leadership (struct mt_cluster *c, const char *name, const struct mt_kv_item *item)
{
  struct leadership *d = get_leadership (c, name);

  if (item->deleted)
    {
      if (d->revision == 0 || (item->revision != 0 && item->revision < d->revision))
        return;
      d->revision = 0;
      d->free_since = mt_loop_now ();
      g_clear_pointer (&d->holder, g_free);
      lose (c, d, "key gone");
      return;
    }
  if (item->revision < d->revision)
    return;
  d->revision = item->revision;
  g_free (d->holder);
  d->holder = g_strndup (item->value.data, item->value.len);
  if (d->token != 0 && item->revision > d->token)
    lose (c, d, "taken by another");
}

static void
free_member (void *data)
{
  struct member *m = data;

  g_free (m->address);
  g_free (m->zone);
  g_free (m);
}

/* "IP:PORT ZONE CORES" */
static void
see_member (struct mt_cluster *c, const char *name, struct mt_str value)
{
  g_autofree char *text = g_strndup (value.data, value.len);
  g_auto (GStrv) words = g_strsplit (text, " ", 3);
  guint n = g_strv_length (words);
  struct member *m = g_new0 (struct member, 1);

  m->address = g_strdup (n > 0 ? words[0] : "");
  m->zone = g_strdup (n > 1 ? words[1] : "");
  m->cores = n > 2 ? g_ascii_strtod (words[2], NULL) : 0;
  g_hash_table_insert (c->members, g_strdup (name), m);
}

static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct mt_cluster *c = ctx;

  if (g_str_has_prefix (item->key, LEADERSHIP_PREFIX))
    see_leadership (c, item->key + strlen (LEADERSHIP_PREFIX), item);
  else if (!g_str_has_prefix (item->key, MEMBER_PREFIX))
    return;
  else if (item->deleted)
    g_hash_table_remove (c->members, item->key + strlen (MEMBER_PREFIX));
  else
    see_member (c, item->key + strlen (MEMBER_PREFIX), item->value);
}

static void
on_listed (void *ctx)
{
  ((struct mt_cluster *) ctx)->listed = true;
}

/* ---- lease ---- */

/* The keys under the lease went with it. Whoever had a leadership takes it again without waiting
 * for its rank: after an outage that ended all leases nobody else is ahead of it. */
static void
free_own_keys (struct mt_cluster *c)
{
  GHashTableIter it;
  struct leadership *d;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &d))
    {
      if (d->token == 0 || d->revision != d->token)
        continue;
      d->revision = 0;
      d->free_since = 0;
      g_clear_pointer (&d->holder, g_free);
    }
}

static void
drop_lease (struct mt_cluster *c, const char *why)
{
  free_own_keys (c);
  c->lease = 0;
  c->sure_until = 0;
  c->joined = false;
  lose_all (c, why);
}

struct renewal
{
  struct mt_cluster *cluster;
  int64_t lease;
  int64_t sent;
};

static void
on_kept (void *data, const struct mt_kv_reply *reply)
{
  struct renewal *r = data;
  struct mt_cluster *c = r->cluster;
  int64_t ttl = reply->ttl_ms > 0 ? reply->ttl_ms : LEASE_MS;

  c->renewing--;
  c->unanswered = reply->status != MT_KV_OK && reply->status != MT_KV_MISSING;
  if (c->lease == r->lease && reply->status == MT_KV_MISSING)
    drop_lease (c, "lease ended");
  else if (c->lease == r->lease && reply->status == MT_KV_OK)
    c->sure_until = MAX (c->sure_until, r->sent + ttl - SURE_MARGIN_MS);
  g_free (r);
}

/* While renewals get no answer a few are on their way at a time: that the store is back is known at
 * once, and not after the last one's time-out. */
static void
renew (struct mt_cluster *c, int64_t now)
{
  struct renewal *r;

  if (c->renewing >= (c->unanswered ? MAX_RENEWALS : 1U)
      || now - c->renew_sent < (c->unanswered ? RENEW_AGAIN_MS : RENEW_MS))
    return;
  r = g_new0 (struct renewal, 1);
  *r = (struct renewal){ c, c->lease, now };
  c->renewing++;
  c->renew_sent = now;
  c->kv.ops->renew (c->kv.ctx, c->lease, RENEW_TIMEOUT_MS, on_kept, r);
}

static void
on_granted (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  c->granting = false;
  if (reply->status != MT_KV_OK || reply->lease == 0)
    return;
  c->lease = reply->lease;
  c->sure_until = c->renew_sent + (reply->ttl_ms > 0 ? reply->ttl_ms : LEASE_MS) - SURE_MARGIN_MS;
}

static void
ask_lease (struct mt_cluster *c, int64_t now)
{
  if (c->granting || now - c->renew_sent < RENEW_AGAIN_MS)
    return;
  c->granting = true;
  c->renew_sent = now;
  c->kv.ops->grant (c->kv.ctx, LEASE_MS, on_granted, c);
}

/* ---- membership ---- */

static void
on_joined (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  c->joining = false;
  c->joined = reply->status == MT_KV_OK && c->lease != 0;
  if (c->joined)
    c->joined_at = mt_loop_now ();
  if (reply->status == MT_KV_MISSING)
    drop_lease (c, "lease ended");
}

static void
join (struct mt_cluster *c)
{
  g_autofree char *key = g_strconcat (MEMBER_PREFIX, c->name, NULL);
  g_autofree char *value = g_strdup_printf ("%s %s %g", c->address, c->zone, c->cores);
  struct mt_kv_put put = { .key = key, .value = mt_str_from (value), .lease = c->lease };
  struct mt_kv_txn txn = { .puts = &put, .n_puts = 1 };

  if (c->joining)
    return;
  c->joining = true;
  mt_kv_write (&c->kv, &txn, TXN_MS, on_joined, c);
}

/* ---- leaderships ---- */

static unsigned
held_by (struct mt_cluster *c, const char *address)
{
  GHashTableIter it;
  struct leadership *d;
  unsigned n = 0;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &d))
    n += d->wanted && g_strcmp0 (d->holder, address) == 0;
  return n;
}

static unsigned
rank (struct mt_cluster *c, const struct leadership *d)
{
  guint n = g_hash_table_size (c->members);
  struct mt_leader_candidate *members = g_new0 (struct mt_leader_candidate, n + 1);
  unsigned before;
  GHashTableIter it;
  const char *name;
  const struct member *m;
  size_t at = 0;
  size_t self = n; /* where this daemon's own key is not seen yet */

  g_hash_table_iter_init (&it, c->members);
  for (; g_hash_table_iter_next (&it, (void **) &name, (void **) &m); at++)
    {
      members[at] = (struct mt_leader_candidate){ name, m->cores, held_by (c, m->address) };
      if (strcmp (name, c->name) == 0)
        self = at;
    }
  members[n] = (struct mt_leader_candidate){ c->name, c->cores, held_by (c, c->address) };
  before = mt_leader_rank (d->name, members, self == n ? n + 1 : n, self);
  g_free (members);
  return MIN (before, MAX_RANK);
}

struct attempt
{
  struct mt_cluster *cluster;
  char *leadership;
  int64_t lease;
};

static struct attempt *
new_attempt (struct mt_cluster *c, struct leadership *d)
{
  struct attempt *a = g_new0 (struct attempt, 1);

  d->trying = true;
  *a = (struct attempt){ c, g_strdup (d->name), c->lease };
  return a;
}

/* Returns the leadership that it was about. */
static struct leadership *
end_attempt (struct attempt *a)
{
  struct leadership *d = get_leadership (a->cluster, a->leadership);

  d->trying = false;
  g_free (a->leadership);
  g_free (a);
  return d;
}

static void
on_tried (void *data, const struct mt_kv_reply *reply)
{
  struct attempt *a = data;
  struct mt_cluster *c = a->cluster;
  bool same_lease = c->lease == a->lease;
  struct leadership *d = end_attempt (a);

  if (reply->status == MT_KV_OK && same_lease && reply->revision >= d->revision)
    {
      d->token = d->revision = reply->revision;
      g_free (d->holder);
      d->holder = g_strdup (c->address);
      c->options.gained (c->options.ctx, d->name, d->token);
    }
  else if (reply->status == MT_KV_MISSING)
    drop_lease (c, "lease ended");
  else if (reply->status == MT_KV_CONFLICT)
    for (size_t i = 0; i < reply->n_items; i++)
      if (g_str_has_prefix (reply->items[i].key, LEADERSHIP_PREFIX) && reply->items[i].revision > 0)
        {
          see_leadership (c, d->name, &reply->items[i]);
          /* A write of ours whose answer was lost: the key is ours. */
          if (d->token == 0 && same_lease && g_strcmp0 (d->holder, c->address) == 0)
            {
              d->token = d->revision;
              c->options.gained (c->options.ctx, d->name, d->token);
            }
        }
}

static void
try_leadership (struct mt_cluster *c, struct leadership *d)
{
  g_autofree char *key = mt_cluster_leader_key (d->name);
  struct mt_kv_expect expect = { key, 0 };
  struct mt_kv_put put = { .key = key, .value = mt_str_from (c->address), .lease = c->lease };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  mt_kv_write (&c->kv, &txn, TXN_MS, on_tried, new_attempt (c, d));
}

static void
on_cleared (void *data, const struct mt_kv_reply *reply)
{
  end_attempt (data);
}

/* A key that names this daemon though it does not have the leadership is of its life before a
 * restart, or of a leadership that it gave up. Nobody else would take it before that lease is over.
 */
static void
clear_leadership (struct mt_cluster *c, struct leadership *d)
{
  g_autofree char *key = mt_cluster_leader_key (d->name);
  const char *remove = key;
  struct mt_kv_expect expect = { key, d->revision };
  struct mt_kv_txn txn = { &expect, 1, NULL, 0, &remove, 1 };

  mt_kv_write (&c->kv, &txn, TXN_MS, on_cleared, new_attempt (c, d));
}

static void
try_leaderships (struct mt_cluster *c, int64_t now)
{
  GHashTableIter it;
  struct leadership *d;

  if (!c->listed || !mt_cluster_lease_is_valid (c))
    return;
  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &d))
    {
      struct mt_leader_candidacy turn = { .was_leader = d->free_since == 0,
                                          .free_since = d->free_since,
                                          .joined_at = c->joined_at };

      if (!d->wanted || d->trying || d->token != 0)
        continue;
      if (g_strcmp0 (d->holder, c->address) == 0)
        clear_leadership (c, d);
      if (d->revision != 0)
        continue;
      turn.rank = rank (c, d);
      if (mt_leader_may_acquire (&turn, now))
        {
          try_leadership (c, d);
          return; /* one at a time, so that they spread by who has how many */
        }
    }
}

static void
on_tick (void *ctx)
{
  struct mt_cluster *c = ctx;
  int64_t now = mt_loop_now ();

  mt_timer_set (c->tick, TICK_MS);
  if (c->leaving)
    return;
  if (c->lease == 0)
    {
      ask_lease (c, now);
      return;
    }
  renew (c, now);
  if (!c->joined)
    join (c);
  else
    try_leaderships (c, now);
}

/* ---- public ---- */

struct mt_cluster *
mt_cluster_create (struct event_base *base,
                   struct mt_kv kv,
                   const struct mt_cluster_options *options)
{
  struct mt_cluster *c = g_new0 (struct mt_cluster, 1);
  struct mt_watcher_options watch = { .prefix = CLUSTER_PREFIX,
                                      .wait_ms = WATCH_MS,
                                      .on_item = on_item,
                                      .on_listed = on_listed,
                                      .ctx = c };

  c->kv = kv;
  c->options = *options;
  c->name = g_strdup (options->name);
  c->address = g_strdup (options->address);
  c->zone = g_strdup (options->zone);
  c->cores = options->cores;
  c->members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_member);
  c->leaderships = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_leadership);
  c->tick = mt_timer_create (base, on_tick, c);
  c->watcher = mt_watcher_create (base, kv, &watch);
  mt_timer_set (c->tick, 0);
  return c;
}

void
mt_cluster_destroy (struct mt_cluster *c)
{
  if (c == NULL)
    return;
  mt_watcher_destroy (c->watcher);
  mt_timer_destroy (c->tick);
  g_hash_table_unref (c->members);
  g_hash_table_unref (c->leaderships);
  g_free (c->name);
  g_free (c->address);
  g_free (c->zone);
  g_free (c);
}

void
mt_cluster_set_leaderships (struct mt_cluster *c, const char *const *names)
{
  GHashTableIter it;
  struct leadership *d;

  for (const char *const *name = names; *name != NULL; name++)
    get_leadership (c, *name);
  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &d))
    d->wanted = g_strv_contains (names, d->name);
}

const char *
mt_cluster_holder (const struct mt_cluster *c, const char *leadership)
{
  const struct leadership *d = g_hash_table_lookup (c->leaderships, leadership);

  return d != NULL ? d->holder : NULL;
}

int64_t
mt_cluster_token (const struct mt_cluster *c, const char *leadership)
{
  const struct leadership *d = g_hash_table_lookup (c->leaderships, leadership);

  return d != NULL ? d->token : 0;
}

bool
mt_cluster_lease_is_valid (const struct mt_cluster *c)
{
  return c->lease != 0 && mt_loop_now () < c->sure_until;
}

int64_t
mt_cluster_lease_invalid_ms (const struct mt_cluster *c)
{
  return c->lease != 0 ? MAX (mt_loop_now () - c->sure_until, 0) : INT64_MAX;
}

void
mt_cluster_drop_leadership (struct mt_cluster *c, const char *leadership, const char *why)
{
  struct leadership *d = g_hash_table_lookup (c->leaderships, leadership);

  if (d != NULL)
    lose (c, d, why);
}

char **
mt_cluster_peers (const struct mt_cluster *c)
{
  GPtrArray *out = g_ptr_array_new ();
  GHashTableIter it;
  const char *name;
  const struct member *m;

  g_hash_table_iter_init (&it, c->members);
  while (g_hash_table_iter_next (&it, (void **) &name, (void **) &m))
    if (strcmp (name, c->name) != 0)
      g_ptr_array_add (out, g_strdup (m->address));
  g_ptr_array_add (out, NULL);
  return (char **) g_ptr_array_free (out, FALSE);
}

bool
mt_cluster_can_confirm_outage (const struct mt_cluster *c, const char *address)
{
  GHashTableIter it;
  const struct member *m;
  bool elsewhere = false;
  bool any_elsewhere = false;

  g_hash_table_iter_init (&it, c->members);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      bool other = strcmp (m->zone, c->zone) != 0;

      any_elsewhere |= other;
      elsewhere |= other && strcmp (m->address, address) == 0;
    }
  return elsewhere || !any_elsewhere;
}

size_t
mt_cluster_size (const struct mt_cluster *c)
{
  return g_hash_table_size (c->members);
}

static void
on_ended (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  if (c->left != NULL)
    c->left (c->left_ctx);
}

void
mt_cluster_leave (struct mt_cluster *c, void (*done) (void *ctx), void *ctx)
{
  int64_t lease = c->lease;

  c->leaving = true;
  c->left = done;
  c->left_ctx = ctx;
  drop_lease (c, "this daemon stops");
  if (lease != 0)
    c->kv.ops->revoke (c->kv.ctx, lease, on_ended, c);
  else
    done (ctx);
}
