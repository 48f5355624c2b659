#include "medlartrack/leader_rank.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* In a surge a leader on a small machine answers late, while large ones stand by: the large ones
 * come first, however many leaderships they have. */
static void
test_duties_go_where_most_cores_are (void **state)
{
  const struct mt_leader_candidate members[]
      = { { "a", 0.12, 0 }, { "b", 0.5, 3 }, { "c", 0.12, 0 }, { "d", 0.45, 1 } };

  assert_int_equal (mt_leader_rank ("pool", members, 4, 3), 0);
  assert_int_equal (mt_leader_rank ("pool", members, 4, 1), 1);
  assert_true (mt_leader_rank ("pool", members, 4, 0) >= 2);
  assert_true (mt_leader_rank ("pool", members, 4, 2) >= 2);
}

/* Machines of one size share the leaderships: who has fewer comes first, and among equals each
 * leadership has its own first, so that one machine does not get them all. */
static void
test_equal_machines_share_the_duties (void **state)
{
  struct mt_leader_candidate members[7];
  char names[7][8];
  unsigned firsts[7] = { 0 };
  unsigned most = 0;

  for (int i = 0; i < 7; i++)
    {
      snprintf (names[i], sizeof names[i], "edge-%d", i);
      members[i] = (struct mt_leader_candidate){ names[i], 0.25, 0 };
    }
  for (int d = 0; d < 100; d++)
    {
      g_autofree char *leadership = g_strdup_printf ("pool-%d", d);
      unsigned seen = 0;

      for (int i = 0; i < 7; i++)
        {
          unsigned rank = mt_leader_rank (leadership, members, 7, (size_t) i);

          assert_true (rank < 7);
          seen |= 1U << rank;
          firsts[i] += rank == 0;
        }
      assert_int_equal (seen, 127); /* each rank once */
    }
  for (int i = 0; i < 7; i++)
    most = MAX (most, firsts[i]);
  assert_true (most < 35);
  members[3].leaderships = 1;
  assert_int_equal (mt_leader_rank ("pool", members, 7, 3), 6);
}

/* An outage ends all leases while a pool's leader is away. The daemons join again one after the
 * other, and the first to do so sees no other: on a small machine it must not lead the pool that
 * surges because it was quick. What a daemon had before the outage it takes back at once. */
static void
test_who_joins_first_waits_for_the_others (void **state)
{
  struct mt_leader_candidacy turn = { .rank = 0, .free_since = 1000, .joined_at = 5000 };

  assert_false (mt_leader_may_acquire (&turn, 5100));
  assert_true (mt_leader_may_acquire (&turn, 5400));
  turn.rank = 2; /* the larger ones have shown up meanwhile */
  assert_false (mt_leader_may_acquire (&turn, 5400));
  assert_true (mt_leader_may_acquire (&turn, 5600));
  turn.was_leader = true;
  assert_true (mt_leader_may_acquire (&turn, 5000));
}

/* In calm a leader dies: the first in rank takes its pool at once, the next one a little later. */
static void
test_calm_takeover_waits_for_rank_only (void **state)
{
  struct mt_leader_candidacy turn = { .rank = 0, .free_since = 90000, .joined_at = 1000 };

  assert_true (mt_leader_may_acquire (&turn, 90000));
  turn.rank = 1;
  assert_false (mt_leader_may_acquire (&turn, 90100));
  assert_true (mt_leader_may_acquire (&turn, 90120));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_duties_go_where_most_cores_are),
    cmocka_unit_test (test_equal_machines_share_the_duties),
    cmocka_unit_test (test_who_joins_first_waits_for_the_others),
    cmocka_unit_test (test_calm_takeover_waits_for_rank_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
