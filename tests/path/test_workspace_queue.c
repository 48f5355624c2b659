/* Decisions of the workspace queue under named loads. Items are pointers into an array of the
 * test. */
#include "medlartrack/workspace_queue.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define N_WORKSPACES 20
#define PLACES       400

struct item
{
  unsigned workspace;
  unsigned number;
  size_t cost;
};

struct load
{
  struct mt_workspace_queue *queue;
  GArray *owned;               /* struct item * */
  char names[N_WORKSPACES][8]; /* w0 to w19 */
  unsigned pushed[N_WORKSPACES];
  unsigned refused[N_WORKSPACES];
  unsigned evicted[N_WORKSPACES];
  unsigned served[N_WORKSPACES];
  size_t served_cost[N_WORKSPACES];
};

static struct load *
create_load (unsigned places)
{
  struct load *load = g_new0 (struct load, 1);

  load->queue = mt_workspace_queue_create (places);
  load->owned = g_array_new (FALSE, FALSE, sizeof (struct item *));
  for (unsigned i = 0; i < N_WORKSPACES; i++)
    g_snprintf (load->names[i], sizeof load->names[i], "w%u", i);
  return load;
}

static void
destroy_load (struct load *load)
{
  mt_workspace_queue_destroy (load->queue);
  for (guint i = 0; i < load->owned->len; i++)
    g_free (g_array_index (load->owned, struct item *, i));
  g_array_unref (load->owned);
  g_free (load);
}

/* Queues an item as the front end does; returns whether it was admitted. */
static bool
offer (struct load *load, unsigned workspace, size_t cost)
{
  const char *name = load->names[workspace];
  struct item *item;
  const struct item *evicted;

  if (!mt_workspace_queue_admits (load->queue, name))
    {
      load->refused[workspace]++;
      return false;
    }
  evicted = mt_workspace_queue_evict (load->queue, name);
  if (evicted != NULL)
    load->evicted[evicted->workspace]++;
  item = g_new0 (struct item, 1);
  *item = (struct item){ workspace, load->pushed[workspace]++, cost };
  g_array_append_val (load->owned, item);
  mt_workspace_queue_push (load->queue, name, cost, item);
  return true;
}

static const struct item *
serve (struct load *load)
{
  const struct item *item = mt_workspace_queue_pop (load->queue);

  if (item == NULL)
    return NULL;
  load->served[item->workspace]++;
  load->served_cost[item->workspace] += item->cost;
  return item;
}

/* Guards against a queue whose order changes for callers without workspaces. */
static void
test_one_workspace_alone_is_served_in_order_of_arrival (void **state)
{
  struct load *load = create_load (PLACES);
  static const size_t costs[] = { 5000, 1, 70, 900 };

  for (unsigned i = 0; i < PLACES; i++)
    assert_true (offer (load, 0, costs[i % G_N_ELEMENTS (costs)]));
  assert_false (offer (load, 0, 1));
  assert_true (mt_workspace_queue_share (load->queue, "w0") == 1);
  assert_int_equal (mt_workspace_queue_count_ahead (load->queue, "w0"), PLACES);
  for (unsigned i = 0; i < PLACES; i++)
    assert_int_equal (serve (load)->number, i);
  assert_null (serve (load));
  destroy_load (load);
}

/* Guards against a flood that delays or displaces the items of 19 other workspaces: w0 offers 20
 * items for each one that is served, the others one item each in 25 rounds, which the server could
 * serve alone. */
static void
test_one_flood_among_twenty_workspaces (void **state)
{
  struct load *load = create_load (PLACES);

  for (unsigned round = 0; round < 2500; round++)
    {
      for (unsigned i = 0; i < 20; i++)
        offer (load, 0, 100);
      for (unsigned w = 1; w < N_WORKSPACES; w++)
        if (round % 25 == w)
          assert_true (offer (load, w, 100));
      assert_non_null (serve (load));
      for (unsigned w = 1; w < N_WORKSPACES; w++)
        assert_in_range (mt_workspace_queue_length_of (load->queue, load->names[w]), 0, 1);
    }
  for (unsigned w = 1; w < N_WORKSPACES; w++)
    {
      assert_int_equal (load->refused[w] + load->evicted[w], 0);
      assert_in_range (load->served[w], 99, 100);
    }
  assert_true (load->refused[0] > 40000);
  assert_in_range (load->served[0], 600, 620);
  destroy_load (load);
}

/* Guards against two floods that together keep a third workspace out, or of which one takes the
 * other's places. */
static void
test_two_floods_share_the_places_equally (void **state)
{
  struct load *load = create_load (300);

  for (unsigned i = 0; i < 1000; i++)
    offer (load, 0, 100);
  assert_int_equal (mt_workspace_queue_length_of (load->queue, "w0"), 300);
  for (unsigned i = 0; i < 1000; i++)
    offer (load, 1, 100);
  assert_int_equal (mt_workspace_queue_length_of (load->queue, "w0"), 150);
  assert_int_equal (mt_workspace_queue_length_of (load->queue, "w1"), 150);
  for (unsigned i = 0; i < 1000; i++)
    offer (load, 2, 100);
  for (unsigned w = 0; w < 3; w++)
    assert_int_equal (mt_workspace_queue_length_of (load->queue, load->names[w]), 100);
  assert_int_equal (mt_workspace_queue_length (load->queue), 300);
  assert_false (mt_workspace_queue_admits (load->queue, "w0"));
  assert_true (mt_workspace_queue_admits (load->queue, "w3"));
  for (unsigned i = 0; i < 90; i++)
    serve (load);
  for (unsigned w = 0; w < 3; w++)
    assert_int_equal (load->served[w], 30);
  destroy_load (load);
}

/* Guards against weights that change the order but not the rate, or the rate but not the places. */
static void
test_weights_from_1_to_100 (void **state)
{
  struct load *load = create_load (1110);
  static const double weights[] = { 1, 10, 100 };

  for (unsigned w = 0; w < 3; w++)
    mt_workspace_queue_set_weight (load->queue, load->names[w], weights[w]);
  for (unsigned i = 0; i < 3000; i++)
    for (unsigned w = 0; w < 3; w++)
      offer (load, w, 100);
  for (unsigned w = 0; w < 3; w++)
    assert_in_range (mt_workspace_queue_length_of (load->queue, load->names[w]),
                     (unsigned) (10 * weights[w]) - 1, (unsigned) (10 * weights[w]) + 1);
  for (unsigned i = 0; i < 11100; i++)
    {
      serve (load);
      for (unsigned w = 0; w < 3; w++)
        offer (load, w, 100);
    }
  for (unsigned w = 0; w < 3; w++)
    assert_in_range (load->served[w], (unsigned) (100 * weights[w]) - 2,
                     (unsigned) (100 * weights[w]) + 2);
  destroy_load (load);
}

/* Guards against counting items instead of their cost: one workspace sends 64 KB, the other 200
 * bytes. */
static void
test_tiny_and_large_items_get_the_same_bytes (void **state)
{
  struct load *load = create_load (PLACES);

  for (unsigned i = 0; i < 20000; i++)
    {
      offer (load, 0, 65536);
      offer (load, 1, 200);
      serve (load);
    }
  assert_in_range (load->served_cost[0], load->served_cost[1] - 2 * 65536,
                   load->served_cost[1] + 2 * 65536);
  assert_true (load->served[1] > 300 * load->served[0]);
  destroy_load (load);
}

/* Guards against credit that a workspace saves up while it is idle: on its return it would be
 * served alone until its tag has caught up. */
static void
test_idle_workspace_saves_up_no_credit (void **state)
{
  struct load *load = create_load (PLACES);

  offer (load, 1, 100);
  for (unsigned i = 0; i < 1000; i++)
    {
      offer (load, 0, 100);
      offer (load, 0, 100);
      serve (load);
    }
  assert_int_equal (load->served[1], 1);
  for (unsigned i = 0; i < 100; i++)
    offer (load, 1, 100);
  load->served[0] = load->served[1] = 0;
  for (unsigned i = 0; i < 100; i++)
    serve (load);
  assert_in_range (load->served[0], 49, 51);
  assert_in_range (load->served[1], 49, 51);
  destroy_load (load);
}

/* Guards against the opposite: a workspace that never has two items queued gains a turn with each
 * return if its last finish tag is forgotten. */
static void
test_workspace_that_returns_at_once_gains_nothing (void **state)
{
  struct load *load = create_load (PLACES);

  for (unsigned i = 0; i < 300; i++)
    offer (load, 0, 100);
  for (unsigned i = 0; i < 200; i++)
    {
      if (mt_workspace_queue_length_of (load->queue, "w1") == 0)
        offer (load, 1, 1000);
      serve (load);
    }
  assert_in_range (load->served[1], 17, 20);
  destroy_load (load);
}

/* Guards against shares below one place: a workspace of low weight could queue nothing while the
 * places are full. */
static void
test_workspace_with_a_share_below_one_place_gets_one (void **state)
{
  struct load *load = create_load (10);

  mt_workspace_queue_set_weight (load->queue, "w0", 100);
  for (unsigned i = 0; i < 10; i++)
    offer (load, 0, 100);
  assert_true (offer (load, 1, 100));
  assert_false (offer (load, 1, 100));
  assert_int_equal (load->evicted[0], 1);
  assert_int_equal (mt_workspace_queue_length (load->queue), 10);
  destroy_load (load);
}

/* Guards against evicting where every workspace has one place: the items would only displace each
 * other. */
static void
test_more_workspaces_than_places (void **state)
{
  struct load *load = create_load (10);

  for (unsigned w = 0; w < N_WORKSPACES; w++)
    assert_int_equal (offer (load, w, 100), w < 10);
  for (unsigned w = 0; w < N_WORKSPACES; w++)
    assert_int_equal (load->evicted[w], 0);
  destroy_load (load);
}

/* Guards against a limit that applies while places are free, and against items that are lost when
 * there are fewer places. */
static void
test_number_of_places_changes (void **state)
{
  struct load *load = create_load (10);

  offer (load, 1, 100);
  for (unsigned i = 0; i < 9; i++)
    assert_true (offer (load, 0, 100));
  assert_false (offer (load, 0, 100));
  mt_workspace_queue_set_max_items (load->queue, 30);
  for (unsigned i = 0; i < 20; i++)
    assert_true (offer (load, 0, 100));
  mt_workspace_queue_set_max_items (load->queue, 2);
  assert_false (mt_workspace_queue_admits (load->queue, "w0"));
  assert_int_equal (mt_workspace_queue_length (load->queue), 30);
  for (unsigned i = 0; i < 30; i++)
    assert_non_null (serve (load));
  mt_workspace_queue_set_max_items (load->queue, 0);
  assert_true (mt_workspace_queue_admits (load->queue, "w0"));
  destroy_load (load);
}

static bool
is_older_than (const void *item, void *ctx)
{
  return ((const struct item *) item)->number < *(const unsigned *) ctx;
}

/* Guards against items that are held longer than in order of arrival without an answer, and against
 * answering those that nothing overtook. */
static void
test_overtaken_items_can_be_removed (void **state)
{
  struct load *load = create_load (PLACES);
  unsigned limit = 3;
  const struct item *item;

  for (unsigned i = 0; i < 10; i++)
    offer (load, 0, 100);
  assert_null (mt_workspace_queue_pop_overtaken (load->queue, is_older_than, &limit));
  serve (load);
  offer (load, 1, 100);
  assert_null (mt_workspace_queue_pop_overtaken (load->queue, is_older_than, &limit));
  assert_int_equal (serve (load)->workspace, 1);
  for (unsigned i = 1; i < limit; i++)
    {
      item = mt_workspace_queue_pop_overtaken (load->queue, is_older_than, &limit);
      assert_int_equal (item->number, i);
    }
  assert_null (mt_workspace_queue_pop_overtaken (load->queue, is_older_than, &limit));
  assert_int_equal (mt_workspace_queue_length (load->queue), 7);
  destroy_load (load);
}

/* Guards against a Retry-After that the others' flood lengthens: the items ahead follow from the
 * workspace's own backlog. */
static void
test_items_ahead_follow_from_the_own_backlog (void **state)
{
  struct load *load = create_load (PLACES);

  for (unsigned i = 0; i < 300; i++)
    offer (load, 0, 100);
  for (unsigned i = 0; i < 4; i++)
    offer (load, 1, 100);
  assert_int_equal (mt_workspace_queue_count_ahead (load->queue, "w0"), 304);
  assert_int_equal (mt_workspace_queue_count_ahead (load->queue, "w1"), 9);
  assert_int_equal (mt_workspace_queue_count_ahead (load->queue, "w2"), 2);
  mt_workspace_queue_set_weight (load->queue, "w1", 5);
  assert_int_equal (mt_workspace_queue_count_ahead (load->queue, "w1"), 5);
  destroy_load (load);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_workspace_alone_is_served_in_order_of_arrival),
    cmocka_unit_test (test_one_flood_among_twenty_workspaces),
    cmocka_unit_test (test_two_floods_share_the_places_equally),
    cmocka_unit_test (test_weights_from_1_to_100),
    cmocka_unit_test (test_tiny_and_large_items_get_the_same_bytes),
    cmocka_unit_test (test_idle_workspace_saves_up_no_credit),
    cmocka_unit_test (test_workspace_that_returns_at_once_gains_nothing),
    cmocka_unit_test (test_workspace_with_a_share_below_one_place_gets_one),
    cmocka_unit_test (test_more_workspaces_than_places),
    cmocka_unit_test (test_number_of_places_changes),
    cmocka_unit_test (test_overtaken_items_can_be_removed),
    cmocka_unit_test (test_items_ahead_follow_from_the_own_backlog),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
