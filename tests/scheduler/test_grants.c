#include "medlartrack/grants.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define QUOTA    16000
#define ROUND_MS 100

static const char *const pools[] = { "a", "b", "c", "d", NULL };

/* Pools that apply their grants at once. */
struct fixture
{
  struct mt_grants *grants;
  int64_t now;
  struct mt_account_view views[4];
  bool silent[4];
  bool answers_lost[4]; /* it gets its messages, its answers are lost */
};

static void
configure (struct fixture *f, int64_t quota)
{
  struct mt_workspaces *list = mt_workspaces_create ();

  assert_true (mt_workspaces_add (list, "yard", &(struct mt_resources){ .cpu = quota }, 0, NULL));
  mt_grants_configure (f->grants, pools, list);
  mt_workspaces_destroy (list);
}

static struct fixture *
create_fixture (void)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->now = 1000;
  f->grants = mt_grants_create (1, f->now);
  for (unsigned i = 0; i < 4; i++)
    f->views[i].workspace = "yard";
  configure (f, QUOTA);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_grants_destroy (f->grants);
  g_free (f);
}

static void
exchange_messages (struct fixture *f, unsigned i)
{
  struct mt_grant_message message = mt_grants_next_message (f->grants, pools[i], f->now);

  if (!f->silent[i] && message.n_grants > 0)
    {
      f->views[i].granted = message.grants[0].resources;
      f->views[i].has_grant = true;
    }
  if (!f->silent[i] && !f->answers_lost[i])
    mt_grants_acknowledge (f->grants, pools[i], message.sequence, &f->views[i], 1, f->now);
  g_free ((struct mt_grant *) message.grants);
}

static void
run_round (struct fixture *f)
{
  for (unsigned i = 0; i < 4; i++)
    exchange_messages (f, i);
  f->now += ROUND_MS;
}

static void
run_rounds (struct fixture *f, unsigned n)
{
  while (n-- > 0)
    run_round (f);
}

static void
test_unused_quota_is_spread_evenly (void **state)
{
  struct fixture *f = create_fixture ();

  run_rounds (f, 5);
  for (unsigned i = 0; i < 4; i++)
    assert_int_equal (f->views[i].granted.cpu, QUOTA / 4);
  destroy_fixture (f);
}

/* Guards against a quota that is idle in three pools while a workspace's surge waits in the
 * fourth. */
static void
test_surge_gets_unused_shares (void **state)
{
  struct fixture *f = create_fixture ();

  run_rounds (f, 5);
  f->views[2].waiting.cpu = 4 * (int64_t) QUOTA;
  run_rounds (f, 3);
  assert_int_equal (f->views[2].granted.cpu, QUOTA);
  f->views[2].waiting.cpu = 0;
  f->views[2].used.cpu = QUOTA;
  f->views[0].waiting.cpu = 4000;
  run_rounds (f, 3);
  assert_true (f->views[0].granted.cpu + QUOTA <= QUOTA + 4000);
  f->views[2].used.cpu = 8000;
  run_rounds (f, 3);
  assert_true (f->views[0].granted.cpu >= 4000);
  assert_true (f->views[0].granted.cpu + MAX (f->views[2].granted.cpu, 8000) <= QUOTA);
  destroy_fixture (f);
}

/* Guards against a partitioned pool that uses a share granted to other pools meanwhile. */
static void
test_silent_pool_keeps_its_share (void **state)
{
  struct fixture *f = create_fixture ();

  f->views[1].waiting.cpu = 4 * (int64_t) QUOTA;
  run_rounds (f, 5);
  assert_int_equal (f->views[1].granted.cpu, QUOTA);
  f->silent[1] = true;
  f->views[0].waiting.cpu = 4000;
  run_rounds (f, MT_GRANT_LEASE_MS / ROUND_MS);
  assert_int_equal (f->views[0].granted.cpu, 0);
  run_rounds (f, 2 * MT_GRANT_LEASE_MS / ROUND_MS);
  assert_true (f->views[0].granted.cpu >= 4000);
  assert_true (f->views[0].granted.cpu <= QUOTA - QUOTA / 4);
  destroy_fixture (f);
}

/* Guards against counting a share as not granted because its acknowledgement was lost. */
static void
test_unacknowledged_grant_counts (void **state)
{
  struct fixture *f = create_fixture ();

  f->views[1].waiting.cpu = 4 * (int64_t) QUOTA;
  run_round (f);
  run_round (f);
  f->answers_lost[1] = true;
  exchange_messages (f, 1);
  assert_int_equal (f->views[1].granted.cpu, QUOTA);
  f->views[0].waiting.cpu = 4 * (int64_t) QUOTA;
  for (unsigned i = 0; i < 8; i++)
    {
      exchange_messages (f, 0);
      assert_int_equal (f->views[0].granted.cpu, 0);
    }
  destroy_fixture (f);
}

/* Guards against a new leader that grants shares which pools still hold from its predecessor. */
static void
test_new_leader_waits_for_every_pool (void **state)
{
  struct fixture *f = create_fixture ();

  f->views[1].waiting.cpu = 4 * (int64_t) QUOTA;
  run_rounds (f, 5);
  mt_grants_destroy (f->grants);
  f->grants = mt_grants_create (2, f->now);
  configure (f, QUOTA);
  f->silent[1] = true;
  f->views[0].waiting.cpu = 4000;
  run_rounds (f, MT_GRANT_LEASE_MS / ROUND_MS);
  assert_int_equal (f->views[0].granted.cpu, 0);
  f->silent[1] = false;
  run_rounds (f, 4);
  assert_true (f->views[0].granted.cpu >= 4000);
  destroy_fixture (f);
}

/* Guards against shares that stay above a lowered quota. */
static void
test_lowered_quota_is_revoked (void **state)
{
  struct fixture *f = create_fixture ();
  int64_t sum = 0;

  f->views[1].waiting.cpu = 4 * (int64_t) QUOTA;
  run_rounds (f, 5);
  configure (f, QUOTA / 8);
  run_rounds (f, 5);
  for (unsigned i = 0; i < 4; i++)
    sum += f->views[i].granted.cpu;
  assert_true (sum <= QUOTA / 8);
  destroy_fixture (f);
}

/* Guards against a task larger than an even share that waits forever. */
static void
test_large_task_is_granted_eventually (void **state)
{
  struct fixture *f = create_fixture ();
  bool had[4] = { false };

  for (unsigned i = 0; i < 4; i++)
    {
      f->views[i].waiting.cpu = 2 * 9000;
      f->views[i].largest_waiting.cpu = 9000;
    }
  for (unsigned round = 0; round < 400; round++)
    {
      run_round (f);
      for (unsigned i = 0; i < 4; i++)
        had[i] |= f->views[i].granted.cpu >= 9000;
    }
  for (unsigned i = 0; i < 4; i++)
    assert_true (had[i]);
  destroy_fixture (f);
}

/* ---- use in other pools ---- */

static void
configure_weights (struct fixture *f)
{
  struct mt_workspaces *list = mt_workspaces_create ();

  assert_true (mt_workspaces_add (list, "press", &(struct mt_resources){ 0 }, 0, NULL));
  assert_true (mt_workspaces_add (list, "yard", &(struct mt_resources){ 0 }, 3, NULL));
  mt_grants_configure (f->grants, pools, list);
  mt_workspaces_destroy (list);
}

/* Returns the figure for "yard" in the pool's next message, which is acknowledged if the pool
 * answers; -1: it carries none. */
static int64_t
exchange_use (struct fixture *f, unsigned i)
{
  struct mt_grant_message message = mt_grants_next_message (f->grants, pools[i], f->now);
  int64_t cpu = -1;

  for (size_t k = 0; k < message.n_uses; k++)
    {
      assert_string_equal (message.uses[k].workspace, "yard");
      cpu = message.uses[k].resources.cpu;
    }
  if (!f->silent[i] && !f->answers_lost[i])
    mt_grants_acknowledge (f->grants, pools[i], message.sequence, &f->views[i], 1, f->now);
  g_free ((struct mt_grant *) message.grants);
  return cpu;
}

static struct fixture *
create_weighted_fixture (void)
{
  struct fixture *f = create_fixture ();

  configure_weights (f);
  f->views[0].used.cpu = 3000;
  f->views[1].used.cpu = 2000;
  f->views[2].waiting.cpu = 1000;
  for (unsigned i = 0; i < 4; i++)
    f->views[i].has_grant = true;
  for (unsigned i = 0; i < 4; i++)
    exchange_use (f, i);
  f->now += ROUND_MS;
  return f;
}

/* Guards against a workspace that counts as small in each of the pools that it floods. */
static void
test_pools_learn_the_use_in_other_pools (void **state)
{
  struct fixture *f = create_weighted_fixture ();

  assert_int_equal (exchange_use (f, 0), 2000);
  assert_int_equal (exchange_use (f, 1), 3000);
  assert_int_equal (exchange_use (f, 2), 5000);
  assert_int_equal (exchange_use (f, 3), -1);
  f->now += ROUND_MS;
  assert_int_equal (exchange_use (f, 2), -1);
  f->views[1].used.cpu = 0;
  exchange_use (f, 1);
  assert_int_equal (exchange_use (f, 2), 3000);
  destroy_fixture (f);
}

/* Guards against a figure that expires in the pool, or stays old there, because a message or its
 * answer was lost. */
static void
test_use_in_other_pools_is_sent_until_acknowledged (void **state)
{
  struct fixture *f = create_weighted_fixture ();

  f->answers_lost[2] = true;
  for (unsigned i = 0; i < 3; i++)
    assert_int_equal (exchange_use (f, 2), 5000);
  f->answers_lost[2] = false;
  assert_int_equal (exchange_use (f, 2), 5000);
  assert_int_equal (exchange_use (f, 2), -1);
  f->views[1].used.cpu = 2500;
  exchange_use (f, 1);
  assert_int_equal (exchange_use (f, 2), -1);
  f->now += MT_GRANT_LEASE_MS / 2;
  assert_int_equal (exchange_use (f, 2), 5500);
  destroy_fixture (f);
}

/* Guards against a new leader of a pool that waits for the figures until they are renewed. */
static void
test_new_leader_of_a_pool_gets_the_use_at_once (void **state)
{
  struct fixture *f = create_weighted_fixture ();

  exchange_use (f, 2);
  f->views[2].has_grant = false;
  assert_int_equal (exchange_use (f, 2), -1);
  assert_int_equal (exchange_use (f, 2), 5000);
  destroy_fixture (f);
}

/* Guards against a share that stays small because a pool that is gone once used much. */
static void
test_use_of_a_silent_pool_expires (void **state)
{
  struct fixture *f = create_weighted_fixture ();

  f->now += MT_GRANT_LEASE_MS - 2 * ROUND_MS;
  exchange_use (f, 1);
  f->now += 2 * ROUND_MS;
  assert_int_equal (exchange_use (f, 2), 2000);
  exchange_use (f, 0);
  assert_int_equal (exchange_use (f, 2), 5000);
  destroy_fixture (f);
}

/* Guards against figures that are lost or counted twice when the configuration changes, and when
 * another leader begins. */
static void
test_use_survives_configurations_and_leaders (void **state)
{
  struct fixture *f = create_weighted_fixture ();

  configure_weights (f);
  assert_int_equal (exchange_use (f, 2), 5000);
  mt_grants_destroy (f->grants);
  f->grants = mt_grants_create (2, f->now);
  configure_weights (f);
  for (unsigned i = 0; i < 3; i++)
    exchange_use (f, i);
  assert_int_equal (exchange_use (f, 2), 5000);
  assert_int_equal (exchange_use (f, 0), 2000);
  destroy_fixture (f);
}

/* Guards against messages that daemons of the previous release refuse, where nothing is shared by
 * weight. */
static void
test_without_weights_no_use_is_sent (void **state)
{
  struct fixture *f = create_fixture ();

  f->views[0].used.cpu = 3000;
  f->views[1].used.cpu = 2000;
  for (unsigned round = 0; round < 3; round++)
    for (unsigned i = 0; i < 4; i++)
      assert_int_equal (exchange_use (f, i), -1);
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pools_learn_the_use_in_other_pools),
    cmocka_unit_test (test_use_in_other_pools_is_sent_until_acknowledged),
    cmocka_unit_test (test_new_leader_of_a_pool_gets_the_use_at_once),
    cmocka_unit_test (test_use_of_a_silent_pool_expires),
    cmocka_unit_test (test_use_survives_configurations_and_leaders),
    cmocka_unit_test (test_without_weights_no_use_is_sent),
    cmocka_unit_test (test_unused_quota_is_spread_evenly),
    cmocka_unit_test (test_surge_gets_unused_shares),
    cmocka_unit_test (test_silent_pool_keeps_its_share),
    cmocka_unit_test (test_unacknowledged_grant_counts),
    cmocka_unit_test (test_new_leader_waits_for_every_pool),
    cmocka_unit_test (test_lowered_quota_is_revoked),
    cmocka_unit_test (test_large_task_is_granted_eventually),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
