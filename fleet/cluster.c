#include "cluster.h"

#include "loop.h"
#include "medlartrack/leader_rank.h"
#include "watcher.h"

#include <string.h>

#define CLUSTER_PREFIX    "medlartrack/cluster/"
#define MEMBER_PREFIX     CLUSTER_PREFIX "member/"
#define LEADERSHIP_PREFIX CLUSTER_PREFIX "leadership/"

/* A crashed daemon is replaced after this time. The lease is renewed three times within it, so that
 * one lost call or a short stall does no harm. */
#define LEASE_MS          1500
#define RENEW_INTERVAL_MS 450
#define RENEW_TIMEOUT_MS  400
/* Interval of renewals while they are unanswered. A shorter one shows sooner that the store is back
 * or has ended the lease. */
#define RENEW_RETRY_MS 120
/* Renewals in flight at once; more would only queue behind a store that does not answer. */
#define MAX_RENEWALS_IN_FLIGHT 3U
/* The lease counts as expired this long before its end, to allow for clock drift. */
#define LEASE_MARGIN_MS 150
/* Longest wait of the watches on members and on leaderships; a change ends the wait. */
#define WATCH_WAIT_MS 5000
/* Pause after a watch that brought changes of members, for each member. Every daemon watches every
 * member: without a pause that grows with them, the watches that end while many daemons restart
 * would grow with the square of the members and keep the store from anything else. */
#define MEMBERS_PAUSE_MS_EACH 2
/* Interval of the periodic check: a free leadership is claimed at most this long after this
 * daemon's turn by rank. */
#define TICK_MS 60
/* Highest rank. In a large cluster all daemons beyond it claim at the same time: a leadership must
 * not stay free for seconds. */
#define MAX_RANK 8U
/* Time-out of writes to the store, half a lease: a membership write that takes longer is of no
 * use. */
#define TXN_TIMEOUT_MS 700

struct leadership
{
  char *name;
  int64_t token;      /* fencing token while this daemon holds it, else 0 */
  int64_t revision;   /* of the key as last seen; 0 if the leadership is free */
  char *holder;       /* address of the holder */
  char *last_holder;  /* of the holder that lost it last; NULL: unknown */
  int64_t free_since; /* 0: this daemon held it until its own lease ended */
  bool call_in_flight;
  bool configured; /* named in the last mt_cluster_set_leaderships */
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
  struct mt_watcher *members_watch;
  struct mt_watcher *leaderships_watch;
  struct mt_timer *tick;
  GHashTable *members;     /* name -> struct member */
  GHashTable *leaderships; /* name -> struct leadership */
  bool members_listed;     /* the watch has read all keys once */
  bool leaderships_listed; /* ... */
  int64_t joined_at;       /* when this daemon's member key was last written */

  int64_t lease;
  int64_t lease_valid_until;
  int64_t renew_sent_at; /* when the last grant or renewal was requested */
  unsigned renewals_in_flight;
  bool last_renewal_unanswered;
  bool grant_in_flight;
  bool joined; /* the member key was written under the current lease */
  bool join_in_flight;

  bool leaving;
  void (*leave_done) (void *ctx);
  void *leave_ctx;
};

char *
mt_cluster_leader_key (const char *leadership)
{
  return g_strconcat (LEADERSHIP_PREFIX, leadership, NULL);
}

static void
free_leadership (void *data)
{
  struct leadership *l = data;

  g_free (l->holder);
  g_free (l->last_holder);
  g_free (l->name);
  g_free (l);
}

static struct leadership *
get_leadership (struct mt_cluster *c, const char *name)
{
  struct leadership *l = g_hash_table_lookup (c->leaderships, name);

  if (l != NULL)
    return l;
  l = g_new0 (struct leadership, 1);
  l->name = g_strdup (name);
  l->free_since = mt_loop_now ();
  g_hash_table_insert (c->leaderships, l->name, l);
  return l;
}

static void
drop_leadership (struct mt_cluster *c, struct leadership *l, const char *why)
{
  if (l->token == 0)
    return;
  l->token = 0;
  c->options.lost (c->options.ctx, l->name, why);
}

static void
drop_all_leaderships (struct mt_cluster *c, const char *why)
{
  GHashTableIter it;
  struct leadership *l;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    drop_leadership (c, l, why);
}

/* ---- state of the cluster ---- */

static void
update_leadership (struct mt_cluster *c, const char *name, const struct mt_kv_item *item)
{
  struct leadership *l = get_leadership (c, name);

  if (item->deleted)
    {
      if (l->revision == 0 || (item->revision != 0 && item->revision < l->revision))
        return;
      l->revision = 0;
      l->free_since = mt_loop_now ();
      g_free (l->last_holder);
      l->last_holder = g_steal_pointer (&l->holder);
      drop_leadership (c, l, "the leadership key was deleted");
      return;
    }
  if (item->revision < l->revision)
    return;
  l->revision = item->revision;
  g_free (l->holder);
  l->holder = g_strndup (item->value.data, item->value.len);
  if (l->token != 0 && item->revision > l->token)
    drop_leadership (c, l, "another daemon claimed the leadership");
}

static void
free_member (void *data)
{
  struct member *m = data;

  g_free (m->address);
  g_free (m->zone);
  g_free (m);
}

/* value: "IP:PORT ZONE CORES" */
static void
update_member (struct mt_cluster *c, const char *name, struct mt_str value)
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
on_member (void *ctx, const struct mt_kv_item *item)
{
  struct mt_cluster *c = ctx;
  const char *name = item->key + strlen (MEMBER_PREFIX);

  if (item->deleted)
    g_hash_table_remove (c->members, name);
  else
    update_member (c, name, item->value);
  mt_watcher_set_pause (c->members_watch, MEMBERS_PAUSE_MS_EACH * g_hash_table_size (c->members));
}

static void
on_members_listed (void *ctx)
{
  ((struct mt_cluster *) ctx)->members_listed = true;
}

static void
on_leadership (void *ctx, const struct mt_kv_item *item)
{
  update_leadership (ctx, item->key + strlen (LEADERSHIP_PREFIX), item);
}

static void
on_leaderships_listed (void *ctx)
{
  ((struct mt_cluster *) ctx)->leaderships_listed = true;
}

/* ---- lease ---- */

/* Marks the leaderships held under an ended lease as free, since their keys are deleted with the
 * lease. This daemon claims them again without waiting for its rank: after an outage that ended all
 * leases no other daemon has precedence. */
static void
clear_own_keys (struct mt_cluster *c)
{
  GHashTableIter it;
  struct leadership *l;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    {
      if (l->token == 0 || l->revision != l->token)
        continue;
      l->revision = 0;
      l->free_since = 0;
      g_clear_pointer (&l->holder, g_free);
    }
}

static void
drop_lease (struct mt_cluster *c, const char *why)
{
  clear_own_keys (c);
  c->lease = 0;
  c->lease_valid_until = 0;
  c->joined = false;
  drop_all_leaderships (c, why);
}

struct renewal
{
  struct mt_cluster *cluster;
  int64_t lease;
  int64_t sent;
};

static void
on_renewed (void *data, const struct mt_kv_reply *reply)
{
  struct renewal *r = data;
  struct mt_cluster *c = r->cluster;
  int64_t ttl = reply->ttl_ms > 0 ? reply->ttl_ms : LEASE_MS;

  c->renewals_in_flight--;
  c->last_renewal_unanswered = reply->status != MT_KV_OK && reply->status != MT_KV_MISSING;
  if (c->lease == r->lease && reply->status == MT_KV_MISSING)
    drop_lease (c, "the lease expired");
  else if (c->lease == r->lease && reply->status == MT_KV_OK)
    c->lease_valid_until = MAX (c->lease_valid_until, r->sent + ttl - LEASE_MARGIN_MS);
  g_free (r);
}

/* While renewals are unanswered, several are in flight at a time: the daemon then notices at once
 * that the store is back, and not only after the time-out of the last renewal. */
static void
renew_lease (struct mt_cluster *c, int64_t now)
{
  struct renewal *r;

  if (c->renewals_in_flight >= (c->last_renewal_unanswered ? MAX_RENEWALS_IN_FLIGHT : 1U)
      || now - c->renew_sent_at < (c->last_renewal_unanswered ? RENEW_RETRY_MS : RENEW_INTERVAL_MS))
    return;
  r = g_new0 (struct renewal, 1);
  *r = (struct renewal){ c, c->lease, now };
  c->renewals_in_flight++;
  c->renew_sent_at = now;
  c->kv.ops->renew (c->kv.ctx, c->lease, RENEW_TIMEOUT_MS, on_renewed, r);
}

static void
on_granted (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  c->grant_in_flight = false;
  if (reply->status != MT_KV_OK || reply->lease == 0)
    return;
  c->lease = reply->lease;
  c->lease_valid_until
      = c->renew_sent_at + (reply->ttl_ms > 0 ? reply->ttl_ms : LEASE_MS) - LEASE_MARGIN_MS;
}

static void
request_lease (struct mt_cluster *c, int64_t now)
{
  if (c->grant_in_flight || now - c->renew_sent_at < RENEW_RETRY_MS)
    return;
  c->grant_in_flight = true;
  c->renew_sent_at = now;
  c->kv.ops->grant (c->kv.ctx, LEASE_MS, on_granted, c);
}

/* ---- membership ---- */

static void
on_joined (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  c->join_in_flight = false;
  c->joined = reply->status == MT_KV_OK && c->lease != 0;
  if (c->joined)
    c->joined_at = mt_loop_now ();
  if (reply->status == MT_KV_MISSING)
    drop_lease (c, "the lease expired");
}

static void
join_cluster (struct mt_cluster *c)
{
  g_autofree char *key = g_strconcat (MEMBER_PREFIX, c->name, NULL);
  g_autofree char *value = g_strdup_printf ("%s %s %g", c->address, c->zone, c->cores);
  struct mt_kv_put put = { .key = key, .value = mt_str_from (value), .lease = c->lease };
  struct mt_kv_txn txn = { .puts = &put, .n_puts = 1 };

  if (c->join_in_flight)
    return;
  c->join_in_flight = true;
  mt_kv_write (&c->kv, &txn, TXN_TIMEOUT_MS, on_joined, c);
}

/* ---- leaderships ---- */

static unsigned
count_held_by (struct mt_cluster *c, const char *address)
{
  GHashTableIter it;
  struct leadership *l;
  unsigned n = 0;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    n += l->configured && g_strcmp0 (l->holder, address) == 0;
  return n;
}

static unsigned
own_rank (struct mt_cluster *c, const struct leadership *l)
{
  guint n = g_hash_table_size (c->members);
  struct mt_leader_candidate *members = g_new0 (struct mt_leader_candidate, n + 1);
  unsigned before;
  GHashTableIter it;
  const char *name;
  const struct member *m;
  size_t at = 0;
  size_t self = n; /* unless this daemon's own key is found */

  /* The last holder may be dead and still listed as a member. */
  g_hash_table_iter_init (&it, c->members);
  while (g_hash_table_iter_next (&it, (void **) &name, (void **) &m))
    {
      if (g_strcmp0 (m->address, l->last_holder) == 0 && strcmp (name, c->name) != 0)
        continue;
      members[at] = (struct mt_leader_candidate){ name, m->cores, count_held_by (c, m->address) };
      if (strcmp (name, c->name) == 0)
        self = at;
      at++;
    }
  if (self == n)
    {
      self = at;
      members[at++]
          = (struct mt_leader_candidate){ c->name, c->cores, count_held_by (c, c->address) };
    }
  before = mt_leader_rank (l->name, members, at, self);
  g_free (members);
  return MIN (before, MAX_RANK);
}

/* A write of a leadership key in flight. */
struct leadership_call
{
  struct mt_cluster *cluster;
  char *leadership;
  int64_t lease;
};

static struct leadership_call *
begin_leadership_call (struct mt_cluster *c, struct leadership *l)
{
  struct leadership_call *call = g_new0 (struct leadership_call, 1);

  l->call_in_flight = true;
  *call = (struct leadership_call){ c, g_strdup (l->name), c->lease };
  return call;
}

/* Frees the call and returns its leadership. */
static struct leadership *
end_leadership_call (struct leadership_call *call)
{
  struct leadership *l = get_leadership (call->cluster, call->leadership);

  l->call_in_flight = false;
  g_free (call->leadership);
  g_free (call);
  return l;
}

static void
on_claimed (void *data, const struct mt_kv_reply *reply)
{
  struct leadership_call *call = data;
  struct mt_cluster *c = call->cluster;
  bool same_lease = c->lease == call->lease;
  struct leadership *l = end_leadership_call (call);

  if (reply->status == MT_KV_OK && same_lease && reply->revision >= l->revision)
    {
      l->token = l->revision = reply->revision;
      g_free (l->holder);
      l->holder = g_strdup (c->address);
      c->options.gained (c->options.ctx, l->name, l->token);
    }
  else if (reply->status == MT_KV_MISSING)
    drop_lease (c, "the lease expired");
  else if (reply->status == MT_KV_CONFLICT)
    for (size_t i = 0; i < reply->n_items; i++)
      if (g_str_has_prefix (reply->items[i].key, LEADERSHIP_PREFIX) && reply->items[i].revision > 0)
        {
          update_leadership (c, l->name, &reply->items[i]);
          /* An earlier write succeeded but its answer was lost: the key is this daemon's. A key
           * under an earlier lease is not: it ends with that lease, unnoticed. */
          if (l->token == 0 && same_lease && reply->items[i].lease == c->lease
              && g_strcmp0 (l->holder, c->address) == 0)
            {
              l->token = l->revision;
              c->options.gained (c->options.ctx, l->name, l->token);
            }
        }
}

static void
claim_leadership (struct mt_cluster *c, struct leadership *l)
{
  g_autofree char *key = mt_cluster_leader_key (l->name);
  struct mt_kv_expect expect = { key, 0 };
  struct mt_kv_put put = { .key = key, .value = mt_str_from (c->address), .lease = c->lease };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  mt_kv_write (&c->kv, &txn, TXN_TIMEOUT_MS, on_claimed, begin_leadership_call (c, l));
}

static void
on_stale_key_deleted (void *data, const struct mt_kv_reply *reply)
{
  end_leadership_call (data);
}

/* Deletes a key that names this daemon although it does not hold the leadership: the key is from
 * before a restart, or the leadership was dropped. Otherwise no daemon could claim the leadership
 * before the key's lease expires. */
static void
delete_stale_key (struct mt_cluster *c, struct leadership *l)
{
  g_autofree char *key = mt_cluster_leader_key (l->name);
  const char *remove = key;
  struct mt_kv_expect expect = { key, l->revision };
  struct mt_kv_txn txn = { &expect, 1, NULL, 0, &remove, 1 };

  mt_kv_write (&c->kv, &txn, TXN_TIMEOUT_MS, on_stale_key_deleted, begin_leadership_call (c, l));
}

static void
claim_free_leaderships (struct mt_cluster *c, int64_t now)
{
  GHashTableIter it;
  struct leadership *l;

  if (!c->members_listed || !c->leaderships_listed || !mt_cluster_lease_is_valid (c))
    return;
  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    {
      struct mt_leader_candidacy candidacy = { .was_leader = l->free_since == 0,
                                               .free_since = l->free_since,
                                               .joined_at = c->joined_at };

      if (!l->configured || l->call_in_flight || l->token != 0)
        continue;
      if (g_strcmp0 (l->holder, c->address) == 0)
        delete_stale_key (c, l);
      if (l->revision != 0)
        continue;
      candidacy.rank = own_rank (c, l);
      if (mt_leader_may_acquire (&candidacy, now))
        {
          claim_leadership (c, l);
          /* At most one leadership per tick: own_rank() counts the leaderships that each member
           * holds, so the next tick's rank spreads them over the members. */
          return;
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
      request_lease (c, now);
      return;
    }
  renew_lease (c, now);
  if (!c->joined)
    join_cluster (c);
  else
    claim_free_leaderships (c, now);
}

/* ---- public ---- */

struct mt_cluster *
mt_cluster_create (struct event_base *base,
                   struct mt_kv kv,
                   const struct mt_cluster_options *options)
{
  struct mt_cluster *c = g_new0 (struct mt_cluster, 1);
  struct mt_watcher_options members = { .prefix = MEMBER_PREFIX,
                                        .wait_ms = WATCH_WAIT_MS,
                                        .on_item = on_member,
                                        .on_listed = on_members_listed,
                                        .ctx = c };
  struct mt_watcher_options leaderships = { .prefix = LEADERSHIP_PREFIX,
                                            .wait_ms = WATCH_WAIT_MS,
                                            .on_item = on_leadership,
                                            .on_listed = on_leaderships_listed,
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
  c->members_watch = mt_watcher_create (base, kv, &members);
  c->leaderships_watch = mt_watcher_create (base, kv, &leaderships);
  mt_timer_set (c->tick, 0);
  return c;
}

void
mt_cluster_destroy (struct mt_cluster *c)
{
  if (c == NULL)
    return;
  mt_watcher_destroy (c->members_watch);
  mt_watcher_destroy (c->leaderships_watch);
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
  struct leadership *l;

  for (const char *const *name = names; *name != NULL; name++)
    get_leadership (c, *name);
  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    l->configured = g_strv_contains (names, l->name);
}

const char *
mt_cluster_holder (const struct mt_cluster *c, const char *leadership)
{
  const struct leadership *l = g_hash_table_lookup (c->leaderships, leadership);

  return l != NULL ? l->holder : NULL;
}

int64_t
mt_cluster_token (const struct mt_cluster *c, const char *leadership)
{
  const struct leadership *l = g_hash_table_lookup (c->leaderships, leadership);

  return l != NULL ? l->token : 0;
}

bool
mt_cluster_lease_is_valid (const struct mt_cluster *c)
{
  return c->lease != 0 && mt_loop_now () < c->lease_valid_until;
}

int64_t
mt_cluster_lease_invalid_ms (const struct mt_cluster *c)
{
  return c->lease != 0 ? MAX (mt_loop_now () - c->lease_valid_until, 0) : INT64_MAX;
}

void
mt_cluster_drop_leadership (struct mt_cluster *c, const char *leadership, const char *why)
{
  struct leadership *l = g_hash_table_lookup (c->leaderships, leadership);

  if (l != NULL)
    drop_leadership (c, l, why);
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
on_revoked (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  if (c->leave_done != NULL)
    c->leave_done (c->leave_ctx);
}

void
mt_cluster_leave (struct mt_cluster *c, void (*done) (void *ctx), void *ctx)
{
  int64_t lease = c->lease;

  c->leaving = true;
  c->leave_done = done;
  c->leave_ctx = ctx;
  drop_lease (c, "this daemon is stopping");
  if (lease != 0)
    c->kv.ops->revoke (c->kv.ctx, lease, on_revoked, c);
  else
    done (ctx);
}
