/* Replies of a pool's leader to wait estimates of other daemons, from a real scheduler. The pool,
 * its lease, the reply's way and the shares are replaced here (-Wl,--wrap). */
#include "neighbours.h"
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static struct
{
  struct world *world;
  bool is_loaded;
  bool lease_is_valid;
  size_t n; /* arguments of the last reply */
  char texts[MT_MESH_MAX_ARGS][32];
} leader;

bool __wrap_mt_pool_is_loaded (const struct mt_pool *pool);
struct mt_scheduler *__wrap_mt_pool_scheduler (struct mt_pool *pool);
bool __wrap_mt_cluster_lease_is_valid (const struct mt_cluster *cluster);
void __wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args);
int64_t __wrap_mt_loop_now (void);
double __wrap_mt_scheduler_fair_share (const struct mt_scheduler *sched,
                                       const char *workspace,
                                       int64_t now);
bool __wrap_mt_scheduler_is_above_share (const struct mt_scheduler *sched,
                                         const char *workspace,
                                         int64_t now);

bool
__wrap_mt_pool_is_loaded (const struct mt_pool *pool)
{
  return leader.is_loaded;
}

struct mt_scheduler *
__wrap_mt_pool_scheduler (struct mt_pool *pool)
{
  return leader.world->sched;
}

bool
__wrap_mt_cluster_lease_is_valid (const struct mt_cluster *cluster)
{
  return leader.lease_is_valid;
}

void
__wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  leader.n = args != NULL ? args->n : 0;
  for (size_t i = 0; i < leader.n; i++)
    g_snprintf (leader.texts[i], sizeof leader.texts[i], "%.*s", (int) args->at[i].len,
                args->at[i].data);
}

int64_t
__wrap_mt_loop_now (void)
{
  return leader.world->now;
}

double
__wrap_mt_scheduler_fair_share (const struct mt_scheduler *sched,
                                const char *workspace,
                                int64_t now)
{
  return 0.5;
}

bool
__wrap_mt_scheduler_is_above_share (const struct mt_scheduler *sched,
                                    const char *workspace,
                                    int64_t now)
{
  return g_str_equal (workspace, "press");
}

static struct mt_pool *
local_pool (void *ctx, const char *pool)
{
  return g_str_equal (pool, "pool") ? (void *) &leader : NULL;
}

/* A pool of two workers that has a minute of work, none of it of a workspace. */
static void
start_leader (void)
{
  leader.world = world_create ();
  leader.is_loaded = leader.lease_is_valid = true;
  world_add_worker (leader.world, "r1");
  world_add_worker (leader.world, "r1");
  world_run (leader.world, 200);
  for (unsigned i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);

      world_submit (leader.world, world_job (id, 40, 4000, 1000));
    }
  world_run (leader.world, 100);
}

static void
ask (const char *pool, const char *workspace)
{
  static const struct mt_peer_service service = { .local_pool = local_pool };
  struct mt_mesh_args args = { workspace != NULL ? 4 : 3,
                               { mt_str_from (pool), mt_str_from ("route"), mt_str_from ("1000"),
                                 mt_str_from (workspace != NULL ? workspace : "") } };

  leader.n = MT_MESH_MAX_ARGS;
  mt_peer_service_handle ((void *) &service, NULL, MT_MESH_WAIT_ESTIMATE, &args);
}

static int64_t
replied (size_t i)
{
  return g_ascii_strtoll (leader.texts[i], NULL, 10);
}

/* Guards against a workspace that doesn't reach the decision, or whose shares don't reach the
 * caller. */
static void
test_estimate_depends_on_the_workspace (void **state)
{
  start_leader ();
  ask ("pool", "yard");
  assert_int_equal (leader.n, 3);
  assert_int_equal (replied (0), 0);
  assert_int_equal (replied (2), 0);
  ask ("pool", "press");
  assert_int_equal (leader.n, 3);
  assert_in_range (replied (0), 15000, 30000);
  assert_int_equal (replied (1), 0);
  assert_int_equal (replied (2), 500);
  world_destroy (leader.world);
}

/* Guards against a front end of the older form that isn't answered: it would accept overdue work.
 */
static void
test_three_arguments_are_answered_as_before (void **state)
{
  start_leader ();
  ask ("pool", NULL);
  assert_int_equal (leader.n, 1);
  assert_in_range (replied (0), 15000, 30000);
  world_destroy (leader.world);
}

/* Guards against estimates of a daemon that may not lead the pool any more or doesn't know its jobs
 * yet. */
static void
test_leader_without_certain_state_gives_no_estimate (void **state)
{
  start_leader ();
  ask ("another pool", "yard");
  assert_int_equal (leader.n, 0);
  leader.is_loaded = false;
  ask ("pool", "yard");
  assert_int_equal (leader.n, 0);
  leader.is_loaded = true;
  leader.lease_is_valid = false;
  ask ("pool", NULL);
  assert_int_equal (leader.n, 0);
  world_destroy (leader.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_estimate_depends_on_the_workspace),
    cmocka_unit_test (test_three_arguments_are_answered_as_before),
    cmocka_unit_test (test_leader_without_certain_state_gives_no_estimate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
