/* The cluster against a store that answers at once. Watches and timers are the test's own. */
#include "cluster.h"
#include "loop.h"
#include "watcher.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define MEMBERS     "medlartrack/cluster/member/"
#define LEADERSHIPS "medlartrack/cluster/leadership/"
#define POOL        "quotes"
#define MAX_LEASES  16
/* Reads a second by which the members' watches may load the store, whatever their number: a
 * sixteenth of what the store of the largest deployment takes. */
#define MAX_WATCHES_PER_S 1000
/* Renewals a second of all members together: a tenth of the writes that it takes. */
#define MAX_RENEWALS_PER_S 320

struct watch
{
  struct mt_watcher_options options;
  int64_t pause_ms;
};

struct world
{
  struct mt_cluster *cluster;
  struct watch members;
  struct watch leaderships;
  void (*tick) (void *ctx);
  void *tick_ctx;
  int64_t now;
  int64_t revision;
  int64_t lease; /* id of the last lease that was granted */
  int64_t ttl_ms[MAX_LEASES];
  unsigned renewals;
  unsigned claims;
  unsigned gained;
  unsigned lost;
  int64_t ended_lease; /* which renewals report as gone */
  bool member_gone;    /* this daemon's key, until it is written again */
};

static struct world *world;

int64_t __wrap_mt_loop_now (void);
struct mt_timer *
__wrap_mt_timer_create (struct event_base *base, void (*callback) (void *ctx), void *ctx);
void __wrap_mt_timer_set (struct mt_timer *timer, int64_t ms);
void __wrap_mt_timer_destroy (struct mt_timer *timer);
struct mt_watcher *__wrap_mt_watcher_create (struct event_base *base,
                                             struct mt_kv kv,
                                             const struct mt_watcher_options *options);
void __wrap_mt_watcher_set_pause (struct mt_watcher *watcher, int64_t pause_ms);
void __wrap_mt_watcher_destroy (struct mt_watcher *watcher);

int64_t
__wrap_mt_loop_now (void)
{
  return world->now;
}

struct mt_timer *
__wrap_mt_timer_create (struct event_base *base, void (*callback) (void *ctx), void *ctx)
{
  world->tick = callback;
  world->tick_ctx = ctx;
  return (struct mt_timer *) &world->tick;
}

void
__wrap_mt_timer_set (struct mt_timer *timer, int64_t ms)
{
}

void
__wrap_mt_timer_destroy (struct mt_timer *timer)
{
}

struct mt_watcher *
__wrap_mt_watcher_create (struct event_base *base,
                          struct mt_kv kv,
                          const struct mt_watcher_options *options)
{
  struct watch *w = strcmp (options->prefix, MEMBERS) == 0 ? &world->members : &world->leaderships;

  w->options = *options;
  w->pause_ms = options->pause_ms;
  return (struct mt_watcher *) w;
}

void
__wrap_mt_watcher_set_pause (struct mt_watcher *watcher, int64_t pause_ms)
{
  ((struct watch *) watcher)->pause_ms = pause_ms;
}

void
__wrap_mt_watcher_destroy (struct mt_watcher *watcher)
{
}

static void
grant (void *ctx, int64_t ttl_ms, mt_kv_done done, void *data)
{
  assert_true (world->lease + 1 < MAX_LEASES);
  world->ttl_ms[++world->lease] = ttl_ms;
  done (data, &(struct mt_kv_reply){ .status = MT_KV_OK, .lease = world->lease, .ttl_ms = ttl_ms });
}

static void
renew (void *ctx, int64_t lease, int64_t timeout_ms, mt_kv_done done, void *data)
{
  world->renewals++;
  done (data,
        &(struct mt_kv_reply){ .status = lease == world->ended_lease ? MT_KV_MISSING : MT_KV_OK });
}

static void
txn (void *ctx, const struct mt_kv_txn *txn, int64_t timeout_ms, mt_kv_done done, void *data)
{
  for (size_t i = 0; i < txn->n_expects; i++)
    if (g_str_has_prefix (txn->expects[i].key, MEMBERS) && world->member_gone)
      {
        struct mt_kv_item item = { .key = txn->expects[i].key };

        done (data,
              &(struct mt_kv_reply){ .status = MT_KV_CONFLICT, .items = &item, .n_items = 1 });
        return;
      }
  world->member_gone &= txn->n_expects > 0;
  world->claims += txn->n_puts == 1 && g_str_has_prefix (txn->puts[0].key, LEADERSHIPS);
  done (data, &(struct mt_kv_reply){ .status = MT_KV_OK, .revision = ++world->revision });
}

static bool
is_direct (void *ctx)
{
  return true;
}

static void
on_gained (void *ctx, const char *leadership, int64_t token)
{
  world->gained++;
}

static void
on_lost (void *ctx, const char *leadership, const char *why)
{
  world->lost++;
}

static void
deliver (struct watch *w, const char *key, const char *value)
{
  struct mt_kv_item item = { .key = key,
                             .value = mt_str_from (value != NULL ? value : ""),
                             .revision = ++world->revision,
                             .deleted = value == NULL };

  w->options.on_item (w->options.ctx, &item);
}

static void
add_member (const char *name, const char *address)
{
  g_autofree char *key = g_strconcat (MEMBERS, name, NULL);
  g_autofree char *value = g_strdup_printf ("%s zone 1", address);

  deliver (&world->members, key, value);
}

static void
world_create (const char *name)
{
  static const struct mt_kv_ops ops
      = { .txn = txn, .grant = grant, .renew = renew, .is_direct = is_direct };
  const struct mt_cluster_options options = {
    .name = name, .address = name, .zone = "zone", .cores = 1, .gained = on_gained, .lost = on_lost
  };
  const char *const leaderships[] = { POOL, NULL };

  world = g_new0 (struct world, 1);
  world->now = 1000;
  world->cluster = mt_cluster_create (NULL, (struct mt_kv){ &ops, NULL }, &options);
  mt_cluster_set_leaderships (world->cluster, leaderships);
  world->leaderships.options.on_listed (world->leaderships.options.ctx);
  world->members.options.on_listed (world->members.options.ctx);
}

static void
world_destroy (void)
{
  mt_cluster_destroy (world->cluster);
  g_clear_pointer (&world, g_free);
}

static void
run (int64_t ms)
{
  for (int64_t end = world->now + ms; world->now < end; world->now += 20)
    world->tick (world->tick_ctx);
}

/* Guards against watches of the members that load the store with the square of their number while
 * all of them restart: after a loss of power 300 daemons served again after 8.5 s. */
static void
test_watches_of_members_are_bounded_for_all_together (void **state)
{
  static const unsigned sizes[] = { 7, 300, 1000, 3000 };

  world_create ("self");
  for (unsigned n = 0, i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      for (; n < sizes[i]; n++)
        {
          g_autofree char *name = g_strdup_printf ("m%u", n);

          add_member (name, name);
        }
      assert_true (world->members.pause_ms > 0);
      assert_true (n * 1000 <= MAX_WATCHES_PER_S * world->members.pause_ms);
    }
  assert_int_equal (world->leaderships.pause_ms, 0);
  world_destroy ();
}

/* Guards against a dead leader that delays its successor: it is listed as a member for longer than
 * its leadership stands, and would rank first for it again. */
static void
test_last_leader_does_not_rank_for_its_leadership (void **state)
{
  /* Some of these rank before "self", others after it. */
  for (unsigned i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("m%u", i);

      world_create ("self");
      add_member ("self", "self");
      add_member (name, name);
      deliver (&world->leaderships, LEADERSHIPS POOL, name);
      run (1000);
      assert_int_equal (world->claims, 0);
      deliver (&world->leaderships, LEADERSHIPS POOL, NULL);
      run (20);
      assert_int_equal (world->claims, 1);
      world_destroy ();
    }
}

/* Guards against renewals that load the store with the number of daemons: 2,700 daemons that renew
 * a short lease each would need twice the writes that it takes. */
static void
test_renewals_of_members_are_bounded_for_all_together (void **state)
{
  static const unsigned sizes[] = { 7, 300, 1000, 3000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      world_create ("self");
      deliver (&world->leaderships, LEADERSHIPS POOL, "m1");
      for (unsigned n = 0; n < sizes[i]; n++)
        {
          g_autofree char *name = g_strdup_printf ("m%u", n);

          add_member (name, name);
        }
      run (60000);
      world->renewals = 0;
      run (60000);
      assert_true (world->renewals > 0);
      assert_true (sizes[i] * world->renewals <= 60 * MAX_RENEWALS_PER_S);
      world_destroy ();
    }
}

/* Guards against a leadership under the long lease of a member: a crashed leader would be replaced
 * only when that lease has expired. */
static void
test_leaderships_have_a_short_lease_in_a_large_cluster (void **state)
{
  world_create ("self");
  for (unsigned n = 0; n < 1000; n++)
    {
      g_autofree char *name = g_strdup_printf ("m%u", n);

      add_member (name, name);
    }
  deliver (&world->leaderships, LEADERSHIPS POOL, "m1");
  run (60000);
  assert_true (world->ttl_ms[world->lease] > 5000);
  deliver (&world->leaderships, LEADERSHIPS POOL, NULL);
  run (1200);
  assert_int_equal (world->gained, 1);
  assert_int_equal (world->ttl_ms[world->lease], 1500);
  run (10000);
  assert_int_equal (world->lost, 0);
  world->ended_lease = world->lease;
  run (1000);
  assert_int_equal (world->lost, 1);
  world_destroy ();
}

/* Guards against weak daemons that lead after an outage that ended all leases: with the keys of all
 * members gone, each would be the first in rank and claim before the others are back. */
static void
test_daemon_whose_member_key_is_gone_joins_before_it_claims (void **state)
{
  world_create ("self");
  deliver (&world->leaderships, LEADERSHIPS POOL, "m1");
  run (2000);
  world->member_gone = true;
  deliver (&world->leaderships, LEADERSHIPS POOL, NULL);
  run (60);
  assert_false (world->member_gone);
  assert_int_equal (world->gained, 0);
  add_member ("m2", "m2"); /* joins meanwhile, with more cores */
  deliver (&world->leaderships, LEADERSHIPS POOL, "m2");
  run (5000);
  assert_int_equal (world->gained, 0);
  world_destroy ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_watches_of_members_are_bounded_for_all_together),
    cmocka_unit_test (test_renewals_of_members_are_bounded_for_all_together),
    cmocka_unit_test (test_leaderships_have_a_short_lease_in_a_large_cluster),
    cmocka_unit_test (test_daemon_whose_member_key_is_gone_joins_before_it_claims),
    cmocka_unit_test (test_last_leader_does_not_rank_for_its_leadership),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
