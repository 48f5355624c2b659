#include "cluster.h"

#include "kv_lease.h"
#include "loop.h"
#include "medlartrack/leader_rank.h"
#include "watcher.h"

#include <string.h>

#define CLUSTER_PREFIX    "medlartrack/cluster/"
#define MEMBER_PREFIX     CLUSTER_PREFIX "member/"
#define LEADERSHIP_PREFIX CLUSTER_PREFIX "leadership/"

/* Duration of the lease of leaderships. A crashed leader is replaced after this time. */
#define LEADER_LEASE_MS 1500
/* A daemon keeps that lease for this long after it last wanted or had a leadership. */
#define KEEP_LEADER_LEASE_MS 3000
/* Duration of the lease of a member, for each member and at least and at most: all renewals
 * together then stay under 300 writes a second, whatever the number of members. A member that has
 * crashed stays listed for as long. */
#define MEMBER_LEASE_MS_EACH 12
#define MIN_MEMBER_LEASE_MS  1500
#define MAX_MEMBER_LEASE_MS  40000
/* A member that joined while fewer were listed replaces its lease by one this much longer or more,
 * at a random time within REJOIN_MS_EACH for each member: each replacement is an event for all
 * others. */
#define MIN_LEASE_RATIO 2
#define REJOIN_MS_EACH  20
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
  double link_mbps;
};

struct mt_cluster
{
  struct mt_kv kv;
  struct mt_cluster_options options;
  char *name;
  char *address;
  char *zone;
  double cores;
  double link_mbps;
  struct mt_watcher *members_watch;
  struct mt_watcher *leaderships_watch;
  struct mt_timer *tick;
  GHashTable *members;     /* name -> struct member */
  GHashTable *leaderships; /* name -> struct leadership */
  bool members_listed;     /* the watch has read all keys once */
  bool leaderships_listed; /* ... */
  int64_t joined_at;       /* when this daemon last became a member */

  struct mt_kv_lease *membership; /* of the member's key */
  struct mt_kv_lease *leading;    /* of the keys of leaderships; only kept while it is of use */
  int64_t leading_until;          /* how long it is kept without a leadership */
  int64_t rejoin_at;       /* when a longer lease of the member is requested; 0: none is due */
  bool joined;             /* the member key was written under the current lease */
  int64_t joined_revision; /* of the member key then */
  bool join_in_flight;

  bool leaving;
  unsigned revocations_in_flight; /* of leases, as it leaves */
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

/* value: "IP:PORT ZONE CORES MBPS" */
static void
update_member (struct mt_cluster *c, const char *name, struct mt_str value)
{
  g_autofree char *text = g_strndup (value.data, value.len);
  g_auto (GStrv) words = g_strsplit (text, " ", 4);
  guint n = g_strv_length (words);
  struct member *m = g_new0 (struct member, 1);

  m->address = g_strdup (n > 0 ? words[0] : "");
  m->zone = g_strdup (n > 1 ? words[1] : "");
  m->cores = n > 2 ? g_ascii_strtod (words[2], NULL) : 0;
  m->link_mbps = n > 3 ? g_ascii_strtod (words[3], NULL) : 0;
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
on_leading_lost (void *ctx, const char *why)
{
  struct mt_cluster *c = ctx;

  clear_own_keys (c);
  drop_all_leaderships (c, why);
}

static void
on_membership_lost (void *ctx, const char *why)
{
  struct mt_cluster *c = ctx;

  c->joined = false;
  c->joined_at = 0;
}

static int64_t
member_lease_ms (const struct mt_cluster *c)
{
  return CLAMP ((int64_t) MEMBER_LEASE_MS_EACH * g_hash_table_size (c->members),
                MIN_MEMBER_LEASE_MS, MAX_MEMBER_LEASE_MS);
}

/* ---- membership ---- */

static void
on_membership_granted (void *ctx)
{
  struct mt_cluster *c = ctx;

  c->joined = false;
}

static void
on_joined (void *data, const struct mt_kv_reply *reply)
{
  struct mt_cluster *c = data;

  c->join_in_flight = false;
  c->joined = reply->status == MT_KV_OK && mt_kv_lease_id (c->membership) != 0;
  c->joined_revision = reply->revision;
  if (c->joined && c->joined_at == 0)
    c->joined_at = mt_loop_now ();
  if (reply->status == MT_KV_MISSING)
    mt_kv_lease_drop (c->membership, "the lease expired");
}

static char *
own_member_key (const struct mt_cluster *c)
{
  return g_strconcat (MEMBER_PREFIX, c->name, NULL);
}

static void
join_cluster (struct mt_cluster *c)
{
  g_autofree char *key = own_member_key (c);
  g_autofree char *value
      = g_strdup_printf ("%s %s %g %g", c->address, c->zone, c->cores, c->link_mbps);
  struct mt_kv_put put
      = { .key = key, .value = mt_str_from (value), .lease = mt_kv_lease_id (c->membership) };
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
  struct mt_leader_candidate *members
      = g_new0 (struct mt_leader_candidate, g_hash_table_size (c->members) + 1);
  unsigned before;
  GHashTableIter it;
  const char *name;
  const struct member *m;
  size_t n = 0;

  /* The last holder may be dead and still listed as a member. */
  g_hash_table_iter_init (&it, c->members);
  while (g_hash_table_iter_next (&it, (void **) &name, (void **) &m))
    if (strcmp (name, c->name) != 0 && g_strcmp0 (m->address, l->last_holder) != 0)
      members[n++] = (struct mt_leader_candidate){ name, m->cores, count_held_by (c, m->address) };
  members[n] = (struct mt_leader_candidate){ c->name, c->cores, count_held_by (c, c->address) };
  before = mt_leader_rank (l->name, members, n + 1, n);
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
  *call = (struct leadership_call){ c, g_strdup (l->name), mt_kv_lease_id (c->leading) };
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

/* lease: under which the claim was sent; 0 if it has ended. */
static void
handle_claim_conflict (struct mt_cluster *c,
                       struct leadership *l,
                       const struct mt_kv_item *item,
                       int64_t lease)
{
  if (g_str_has_prefix (item->key, MEMBER_PREFIX))
    {
      if (item->revision != c->joined_revision)
        mt_kv_lease_drop (c->membership, "the member's key is gone");
      return;
    }
  if (!g_str_has_prefix (item->key, LEADERSHIP_PREFIX) || item->revision == 0)
    return;
  update_leadership (c, l->name, item);
  /* An earlier write succeeded but its answer was lost: the key is this daemon's. A key under an
   * earlier lease is not: it ends with that lease, unnoticed. */
  if (l->token != 0 || lease == 0 || item->lease != lease || g_strcmp0 (l->holder, c->address) != 0)
    return;
  l->token = l->revision;
  c->options.gained (c->options.ctx, l->name, l->token);
}

static void
on_claimed (void *data, const struct mt_kv_reply *reply)
{
  struct leadership_call *call = data;
  struct mt_cluster *c = call->cluster;
  int64_t lease = mt_kv_lease_id (c->leading) == call->lease ? call->lease : 0;
  struct leadership *l = end_leadership_call (call);

  if (reply->status == MT_KV_OK && lease != 0 && reply->revision >= l->revision)
    {
      l->token = l->revision = reply->revision;
      g_free (l->holder);
      l->holder = g_strdup (c->address);
      c->options.gained (c->options.ctx, l->name, l->token);
    }
  else if (reply->status == MT_KV_MISSING)
    mt_kv_lease_drop (c->leading, "the lease expired");
  else if (reply->status == MT_KV_CONFLICT)
    for (size_t i = 0; i < reply->n_items; i++)
      handle_claim_conflict (c, l, &reply->items[i], lease);
}

/* A precondition is that this daemon is still a member. After an outage that ended all leases every
 * daemon would otherwise find itself the only member and claim at once, whatever its rank. */
static void
claim_leadership (struct mt_cluster *c, struct leadership *l)
{
  g_autofree char *key = mt_cluster_leader_key (l->name);
  g_autofree char *member_key = own_member_key (c);
  struct mt_kv_expect expects[] = { { key, 0 }, { member_key, c->joined_revision } };
  struct mt_kv_put put
      = { .key = key, .value = mt_str_from (c->address), .lease = mt_kv_lease_id (c->leading) };
  struct mt_kv_txn txn = { expects, G_N_ELEMENTS (expects), &put, 1, NULL, 0 };

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

  if (!c->members_listed || !c->leaderships_listed || !c->joined)
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
          c->leading_until = now + KEEP_LEADER_LEASE_MS;
          if (mt_cluster_lease_is_valid (c))
            claim_leadership (c, l);
          else
            mt_kv_lease_keep (c->leading, LEADER_LEASE_MS, now);
          /* At most one leadership per tick: own_rank() counts the leaderships that each member
           * holds, so the next tick's rank spreads them over the members. */
          return;
        }
    }
}

/* A granted lease is used at once: callers wait for the new leader. */
static void
on_leading_granted (void *ctx)
{
  claim_free_leaderships (ctx, mt_loop_now ());
}

static bool
needs_leader_lease (const struct mt_cluster *c, int64_t now)
{
  GHashTableIter it;
  const struct leadership *l;

  g_hash_table_iter_init (&it, c->leaderships);
  while (g_hash_table_iter_next (&it, NULL, (void **) &l))
    if (l->token != 0 || l->call_in_flight)
      return true;
  return now < c->leading_until;
}

/* Replaces the member's lease once the number of members asks for a much longer one. */
static void
lengthen_membership (struct mt_cluster *c, int64_t ttl_ms, int64_t now)
{
  if (!c->joined || ttl_ms < MIN_LEASE_RATIO * mt_kv_lease_ttl (c->membership))
    return;
  if (c->rejoin_at == 0)
    c->rejoin_at
        = now
          + g_random_int_range (0, REJOIN_MS_EACH * (gint32) g_hash_table_size (c->members) + 1);
  if (now < c->rejoin_at)
    return;
  c->rejoin_at = 0;
  mt_kv_lease_replace (c->membership, ttl_ms, now);
}

static void
keep_leases (struct mt_cluster *c, int64_t now)
{
  int64_t ttl_ms = member_lease_ms (c);

  lengthen_membership (c, ttl_ms, now);
  mt_kv_lease_keep (c->membership, ttl_ms, now);
  if (needs_leader_lease (c, now))
    mt_kv_lease_keep (c->leading, LEADER_LEASE_MS, now);
  else
    mt_kv_lease_drop (c->leading, "no leadership is held");
}

static void
on_tick (void *ctx)
{
  struct mt_cluster *c = ctx;
  int64_t now = mt_loop_now ();

  mt_timer_set (c->tick, TICK_MS);
  if (c->leaving)
    return;
  keep_leases (c, now);
  if (mt_kv_lease_id (c->membership) == 0)
    return;
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
  c->link_mbps = options->link_mbps;
  c->members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_member);
  c->leaderships = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_leadership);
  c->membership = mt_kv_lease_create (&(struct mt_kv_lease_options){
      .kv = kv, .granted = on_membership_granted, .lost = on_membership_lost, .ctx = c });
  c->leading = mt_kv_lease_create (&(struct mt_kv_lease_options){
      .kv = kv, .granted = on_leading_granted, .lost = on_leading_lost, .ctx = c });
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
  mt_kv_lease_destroy (c->membership);
  mt_kv_lease_destroy (c->leading);
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
  return mt_loop_now () < mt_kv_lease_valid_until (c->leading);
}

int64_t
mt_cluster_lease_invalid_ms (const struct mt_cluster *c)
{
  return mt_kv_lease_id (c->leading) != 0
             ? MAX (mt_loop_now () - mt_kv_lease_valid_until (c->leading), 0)
             : INT64_MAX;
}

void
mt_cluster_drop_leadership (struct mt_cluster *c, const char *leadership, const char *why)
{
  struct leadership *l = g_hash_table_lookup (c->leaderships, leadership);

  if (l != NULL)
    drop_leadership (c, l, why);
}

void
mt_cluster_for_each_peer (const struct mt_cluster *c, mt_cluster_peer_call call, void *ctx)
{
  GHashTableIter it;
  const char *name;
  const struct member *m;

  g_hash_table_iter_init (&it, c->members);
  while (g_hash_table_iter_next (&it, (void **) &name, (void **) &m))
    if (strcmp (name, c->name) != 0)
      call (ctx,
            &(struct mt_cluster_peer){ m->address, m->link_mbps, strcmp (m->zone, c->zone) == 0 });
}

static void
add_address (void *ctx, const struct mt_cluster_peer *peer)
{
  g_ptr_array_add (ctx, g_strdup (peer->address));
}

char **
mt_cluster_peers (const struct mt_cluster *c)
{
  GPtrArray *out = g_ptr_array_new ();

  mt_cluster_for_each_peer (c, add_address, out);
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

  if (--c->revocations_in_flight == 0 && c->leave_done != NULL)
    c->leave_done (c->leave_ctx);
}

void
mt_cluster_leave (struct mt_cluster *c, void (*done) (void *ctx), void *ctx)
{
  const int64_t leases[] = { mt_kv_lease_id (c->leading), mt_kv_lease_id (c->membership) };

  c->leaving = true;
  c->leave_done = done;
  c->leave_ctx = ctx;
  mt_kv_lease_drop (c->leading, "this daemon is stopping");
  mt_kv_lease_drop (c->membership, "this daemon is stopping");
  for (size_t i = 0; i < G_N_ELEMENTS (leases); i++)
    c->revocations_in_flight += leases[i] != 0;
  if (c->revocations_in_flight == 0)
    done (ctx);
  for (size_t i = 0; i < G_N_ELEMENTS (leases); i++)
    if (leases[i] != 0)
      c->kv.ops->revoke (c->kv.ctx, leases[i], on_revoked, c);
}
