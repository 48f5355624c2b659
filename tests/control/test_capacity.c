/* The capacity policies on their own: one pool with demand, one spare. */
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
  unsigned serving; /* of the busy pool */
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

/* Each second a report; a decided move takes effect at once. */
static void
pass (struct scene *scene, int64_t seconds, double wanted)
{
  for (int64_t end = scene->now_s + seconds; scene->now_s < end;)
    {
      struct mt_capacity_pool pools[] = {
        { .row = &scene->busy, .serving = scene->serving, .home = 4, .demand_slots = wanted },
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

/* Surges of eight seconds, more than the pool holds, each minute. */
static void
surge (struct scene *scene, unsigned times)
{
  for (unsigned i = 0; i < times; i++)
    {
      pass (scene, 52, 1);
      pass (scene, 8, 40);
    }
}

static void
test_no_move_where_moves_weigh_most (void **state)
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
      pass (&scene, 58, 1);
      pass (&scene, 2, 40);
    }
  assert_int_equal (scene.moves, 0);
  mt_capacity_destroy (scene.capacity);
}

static void
test_lasting_demand_moves_just_enough (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  pass (&scene, 600, 36);
  assert_int_equal (scene.serving, 6);
  assert_int_equal (scene.moves, 2);
  mt_capacity_destroy (scene.capacity);
}

/* Hysteresis: demand that swings about a size once a minute moves nothing to and fro. */
static void
test_swings_do_not_flap (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  for (int i = 0; i < 20; i++)
    {
      pass (&scene, 60, 36);
      pass (&scene, 60, 30);
    }
  assert_in_range (scene.moves, 1, 2);
  mt_capacity_destroy (scene.capacity);
}

static void
test_learnt_surges_are_followed_where_buffer_weighs_most (void **state)
{
  struct scene scene;

  begin (&scene, "default", 1, 400);
  surge (&scene, 5);
  pass (&scene, 40, 1);
  assert_int_equal (scene.serving, 2);
  pass (&scene, 8, 40);
  assert_int_equal (scene.serving, 5);
  mt_capacity_destroy (scene.capacity);
}

/* One report in between that is nonsense. */
static void
test_a_lie_moves_nothing (void **state)
{
  struct scene scene;

  begin (&scene, "default", 10, 1);
  pass (&scene, 100, 4);
  pass (&scene, 1, 1e12);
  pass (&scene, 1, INFINITY);
  pass (&scene, 1, NAN);
  pass (&scene, 100, 4);
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
    cmocka_unit_test (test_no_move_where_moves_weigh_most),
    cmocka_unit_test (test_no_move_for_a_surge_shorter_than_a_move),
    cmocka_unit_test (test_lasting_demand_moves_just_enough),
    cmocka_unit_test (test_swings_do_not_flap),
    cmocka_unit_test (test_learnt_surges_are_followed_where_buffer_weighs_most),
    cmocka_unit_test (test_a_lie_moves_nothing),
    cmocka_unit_test (test_greedy_follows_every_surge),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
