#include "medlartrack/leader_rank.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* In a surge a leader on a small machine answers late while large machines are idle: machines with
 * more cores rank first, however many leaderships they have. */
static void
test_members_with_more_cores_rank_first (void **state)
{
  const struct mt_leader_candidate members[]
      = { { "a", 0.12, 0 }, { "b", 0.5, 3 }, { "c", 0.12, 0 }, { "d", 0.45, 1 } };

  assert_int_equal (mt_leader_rank ("pool", members, 4, 3), 0);
  assert_int_equal (mt_leader_rank ("pool", members, 4, 1), 1);
  assert_true (mt_leader_rank ("pool", members, 4, 0) >= 2);
  assert_true (mt_leader_rank ("pool", members, 4, 2) >= 2);
}

/* Machines of equal size share the leaderships: the one with fewer leaderships ranks first, and
 * equal ones rank in an order that differs by leadership, so that no machine gets them all. */
static void
test_equal_machines_share_leaderships (void **state)
{
  struct mt_leader_candidate members[7];
  char names[7][8];
  unsigned firsts[7] = { 0 };
  unsigned max_firsts = 0;

  for (int i = 0; i < 7; i++)
    {
      snprintf (names[i], sizeof names[i], "edge-%d", i);
      members[i] = (struct mt_leader_candidate){ names[i], 0.25, 0 };
    }
  for (int d = 0; d < 100; d++)
    {
      g_autofree char *leadership = g_strdup_printf ("pool-%d", d);
      unsigned seen_ranks = 0;

      for (int i = 0; i < 7; i++)
        {
          unsigned rank = mt_leader_rank (leadership, members, 7, (size_t) i);

          assert_true (rank < 7);
          seen_ranks |= 1U << rank;
          firsts[i] += rank == 0;
        }
      assert_int_equal (seen_ranks, 127); /* each rank once */
    }
  for (int i = 0; i < 7; i++)
    max_firsts = MAX (max_firsts, firsts[i]);
  assert_true (max_firsts < 35);
  members[3].leaderships = 1;
  assert_int_equal (mt_leader_rank ("pool", members, 7, 3), 6);
}

/* An outage ends all leases while a pool has no leader. The daemons rejoin one after the other, and
 * the first one sees no other members: if it runs on a small machine it must not lead a surging
 * pool just because it joined first. A daemon reacquires at once the leaderships that it had before
 * the outage. */
static void
test_new_member_waits_for_others_to_join (void **state)
{
  struct mt_leader_candidacy candidacy = { .rank = 0, .free_since = 1000, .joined_at = 5000 };

  assert_false (mt_leader_may_acquire (&candidacy, 5100));
  assert_true (mt_leader_may_acquire (&candidacy, 5400));
  candidacy.rank = 2; /* the larger machines have joined meanwhile */
  assert_false (mt_leader_may_acquire (&candidacy, 5400));
  assert_true (mt_leader_may_acquire (&candidacy, 5600));
  candidacy.was_leader = true;
  assert_true (mt_leader_may_acquire (&candidacy, 5000));
}

/* A leader dies without an outage: the first in rank acquires its pool at once, the next one after
 * a delay. */
static void
test_takeover_without_outage_waits_for_rank_only (void **state)
{
  struct mt_leader_candidacy candidacy = { .rank = 0, .free_since = 90000, .joined_at = 1000 };

  assert_true (mt_leader_may_acquire (&candidacy, 90000));
  candidacy.rank = 1;
  assert_false (mt_leader_may_acquire (&candidacy, 90100));
  assert_true (mt_leader_may_acquire (&candidacy, 90120));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_members_with_more_cores_rank_first),
    cmocka_unit_test (test_equal_machines_share_leaderships),
    cmocka_unit_test (test_new_member_waits_for_others_to_join),
    cmocka_unit_test (test_takeover_without_outage_waits_for_rank_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
