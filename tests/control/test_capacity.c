/* Tests of the capacity policies alone, with one pool that has demand and one spare pool. */
#include "medlartrack/capacity.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define SLOTS 8

struct scene
{
  struct mt_pool busy;
  struct mt_pool spare;
  struct mt_capacity *capacity;
  unsigned serving; /* instances of the busy pool */
  unsigned moves;
  int64_t now_s;
};

static void
begin (struct scene *scene, const char *policy, double move_weight, double buffer_weight)
{
  *scene = (struct scene){ .serving = 4 };
  scene->busy = (struct mt_pool){ .name = MT_STR ("busy"), .min_instances = 1 };
  scene->spare = (struct mt_pool){ .name = MT_STR ("spare"), .min_instances = 1, .spare = true };
  scene->busy.move_weight = scene->spare.move_weight = move_weight;
  scene->busy.buffer_weight = scene->spare.buffer_weight = buffer_weight;
  scene->capacity = mt_capacity_create (mt_capacity_policy_find (policy));
}

/* Reports the demand once a second; a decided move takes effect at once. */
static void
run_seconds (struct scene *scene, int64_t seconds, double demand)
{
  for (int64_t end = scene->now_s + seconds; scene->now_s < end;)
    {
      struct mt_capacity_pool pools[] = {
        { .row = &scene->busy, .serving = scene->serving, .home = 4, .demand_slots = demand },
        { .row = &scene->spare, .serving = 8 - scene->serving, .home = 4, .demand_slots = 0 },
      };
      const struct mt_capacity_pool *from;
      const struct mt_capacity_pool *to;

      for (int i = 0; i < 2; i++)
        {
          pools[i].slots = SLOTS;
          pools[i].min_serving = 1;
          pools[i].can_release = pools[i].serving > 1;
        }
      scene->now_s++;
      mt_capacity_observe (scene->capacity, pools, 2, scene->now_s);
      if (!mt_capacity_decide (scene->capacity, pools, 2, scene->now_s, &from, &to))
        continue;
      scene->moves++;
      scene->serving += to == &pools[0] ? 1 : -1;
    }
}

/* Once a minute, a surge of eight seconds to more than the pool holds. */
static void
surge (struct scene *scene, unsigned times)
{
  for (unsigned i = 0; i < times; i++)
    {
      run_seconds (scene, 52, 1);
      run_seconds (scene, 8, 40);
    }
}

static void
test_no_move_if_moves_cost_most (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  surge (&scene, 20);
  assert_int_equal (scene.moves, 0);
  mt_capacity_destroy (scene.capacity);
}

static void
test_no_move_for_a_surge_shorter_than_a_move (void **state)
{
  struct scene scene;

  begin (&scene, "default", 1, 400);
  for (int i = 0; i < 20; i++)
    {
      run_seconds (&scene, 58, 1);
      run_seconds (&scene, 2, 40);
    }
  assert_int_equal (scene.moves, 0);
  mt_capacity_destroy (scene.capacity);
}

static void
test_lasting_demand_moves_only_as_many_as_needed (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  run_seconds (&scene, 600, 36);
  assert_int_equal (scene.serving, 6);
  assert_int_equal (scene.moves, 2);
  mt_capacity_destroy (scene.capacity);
}

/* Guards against flapping: demand that varies around a pool size once a minute must not move
 * instances back and forth. */
static void
test_varying_demand_does_not_flap (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  for (int i = 0; i < 20; i++)
    {
      run_seconds (&scene, 60, 36);
      run_seconds (&scene, 60, 30);
    }
  assert_in_range (scene.moves, 1, 2);
  mt_capacity_destroy (scene.capacity);
}

static void
test_observed_surges_are_followed_if_idle_instances_cost_most (void **state)
{
  struct scene scene;

  begin (&scene, "default", 1, 400);
  surge (&scene, 5);
  run_seconds (&scene, 40, 1);
  assert_int_equal (scene.serving, 2);
  run_seconds (&scene, 8, 40);
  assert_int_equal (scene.serving, 5);
  mt_capacity_destroy (scene.capacity);
}

/* Guards against moves because of a single report with an absurd value. */
static void
test_absurd_report_moves_nothing (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  run_seconds (&scene, 100, 4);
  run_seconds (&scene, 1, 1e12);
  run_seconds (&scene, 1, INFINITY);
  run_seconds (&scene, 1, NAN);
  run_seconds (&scene, 100, 4);
  assert_int_equal (scene.moves, 0);
  mt_capacity_destroy (scene.capacity);
}

static void
test_greedy_follows_every_surge (void **state)
{
  struct scene scene;

  begin (&scene, "greedy", 10, 1);
  surge (&scene, 20);
  assert_in_range (scene.moves, 40, 400);
  mt_capacity_destroy (scene.capacity);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_move_if_moves_cost_most),
    cmocka_unit_test (test_no_move_for_a_surge_shorter_than_a_move),
    cmocka_unit_test (test_lasting_demand_moves_only_as_many_as_needed),
    cmocka_unit_test (test_varying_demand_does_not_flap),
    cmocka_unit_test (test_observed_surges_are_followed_if_idle_instances_cost_most),
    cmocka_unit_test (test_absurd_report_moves_nothing),
    cmocka_unit_test (test_greedy_follows_every_surge),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
