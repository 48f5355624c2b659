#include "medlartrack/dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define MINIONS 4
#define SLOTS   8

struct fixture
{
  struct mt_clock_manual *manual;
  struct mt_dispatch *dispatch;
  struct mt_instance instances[MINIONS];
  char names[MINIONS][8];
};

static unsigned granted;
static unsigned expired;

static void
on_granted (struct mt_ticket *ticket)
{
  granted++;
}

static void
on_expired (struct mt_ticket *ticket)
{
  expired++;
}

static const struct mt_dispatch_callbacks counting = {
  .name = "counting",
  .description = "counts calls",
  .granted = on_granted,
  .expired = on_expired,
};

static void
put_minions (struct fixture *f, size_t n)
{
  const struct mt_instance *list[MINIONS];

  for (size_t i = 0; i < n; i++)
    {
      snprintf (f->names[i], sizeof f->names[i], "m%zu", i);
      f->instances[i] = (struct mt_instance){ .name = mt_str_from (f->names[i]),
                                              .address = MT_STR ("127.0.0.1:9"),
                                              .slots = SLOTS };
      list[i] = &f->instances[i];
    }
  mt_dispatch_update (f->dispatch, list, n);
}

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  granted = 0;
  expired = 0;
  f->manual = mt_clock_manual_create (1);
  f->dispatch = mt_dispatch_create (mt_clock_manual_clock (f->manual), &counting, NULL, 20261202);
  put_minions (f, MINIONS);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_dispatch_destroy (f->dispatch);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static enum mt_dispatch_admission
ask (struct fixture *f, struct mt_ticket *ticket, uint64_t audience, int64_t within_us)
{
  *ticket = (struct mt_ticket){ .audience = audience };
  ticket->deadline_us = mt_clock_now (mt_clock_manual_clock (f->manual)) + within_us;
  return mt_dispatch_submit (f->dispatch, ticket, 1000);
}

static void
run (struct fixture *f, int64_t took_us, enum mt_dispatch_result result)
{
  struct mt_ticket ticket;

  assert_int_equal (ask (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
  mt_clock_manual_advance (f->manual, took_us);
  mt_dispatch_complete (f->dispatch, &ticket, result);
}

static struct mt_ticket *
fill (struct fixture *f, unsigned n)
{
  struct mt_ticket *tickets = g_new0 (struct mt_ticket, n);

  for (unsigned i = 0; i < n; i++)
    assert_int_equal (ask (f, &tickets[i], 1, 10 * MT_SECOND), MT_ADMISSION_GRANTED);
  return tickets;
}

/* The caller asks while every slot is taken and work takes 100 ms: 32 are ahead of it, so its slot
 * comes in about 100 ms, past its deadline. It is refused now, not after waiting in vain. */
static void
test_refuses_at_once_what_would_be_late (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket waiting[MINIONS * SLOTS];
  struct mt_ticket late;

  run (f, 100 * MT_MS, MT_DISPATCH_SUCCESS);
  busy = fill (f, MINIONS * SLOTS);
  assert_non_null (busy);
  for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    assert_int_equal (ask (f, &waiting[i], 1, MT_SECOND), MT_ADMISSION_QUEUED);
  assert_int_equal (ask (f, &late, 1, 120 * MT_MS), MT_ADMISSION_REFUSED);
  assert_int_equal (late.refusal, MT_REFUSAL_DEADLINE);
  assert_int_equal (ask (f, &late, 2, 120 * MT_MS), MT_ADMISSION_QUEUED);
}

/* Work takes 50 or 150 ms. A waiter of 1 s deadline that has no slot after 900 ms could be answered
 * in time only by luck: its caller hears so before the deadline, and the slot goes to one with
 * time. */
static void
test_gives_up_while_the_caller_still_listens (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket waiting;

  for (int i = 0; i < 100; i++)
    run (f, (i % 2 == 0 ? 50 : 150) * MT_MS, MT_DISPATCH_SUCCESS);
  busy = fill (f, MINIONS * SLOTS);
  assert_non_null (busy);
  assert_int_equal (ask (f, &waiting, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_clock_manual_advance (f->manual, 700 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (expired, 0);
  mt_clock_manual_advance (f->manual, 200 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (expired, 1);
  assert_int_equal (waiting.refusal, MT_REFUSAL_DEADLINE);
}

/* The operator drains the whole pool while a caller waits for a slot. Those in flight end later,
 * but their slots take nothing new: the caller is told at once and not at its deadline. */
static void
test_waiters_of_a_drained_pool_are_told_at_once (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = fill (f, MINIONS * SLOTS);
  struct mt_ticket waiting;
  struct mt_ticket late;

  assert_non_null (busy);
  assert_int_equal (ask (f, &waiting, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_dispatch_update (f->dispatch, NULL, 0);
  assert_int_equal (expired, 1);
  assert_int_equal (waiting.refusal, MT_REFUSAL_NO_MINION);
  assert_int_equal (ask (f, &late, 1, MT_SECOND), MT_ADMISSION_REFUSED);
  assert_int_equal (late.refusal, MT_REFUSAL_NO_MINION);
}

/* A trough: one request in a while, one of them a straggler of 5 s. Then a surge's head arrives.
 * The caller sees its request queued: the straggler has not spoilt the estimate. */
static void
test_straggler_in_trough_costs_no_surge_head (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket head[2 * MINIONS * SLOTS];

  for (int i = 0; i < 50; i++)
    run (f, 20 * MT_MS, MT_DISPATCH_SUCCESS);
  run (f, 5 * MT_SECOND, MT_DISPATCH_SUCCESS);
  mt_clock_manual_advance (f->manual, 600 * MT_SECOND);
  busy = fill (f, MINIONS * SLOTS);
  assert_non_null (busy);
  for (size_t i = 0; i < G_N_ELEMENTS (head); i++)
    assert_int_equal (ask (f, &head[i], 1, 200 * MT_MS), MT_ADMISSION_QUEUED);
}

/* Sends n requests one by one, m2 failing in 10 us; how many it got. */
static unsigned
run_with_sick_minion (struct fixture *f, int n)
{
  unsigned on_sick = 0;

  for (int i = 0; i < n; i++)
    {
      struct mt_ticket ticket;
      bool sick;

      assert_int_equal (ask (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
      sick = strcmp (ticket.minion, "m2") == 0;
      on_sick += sick ? 1 : 0;
      mt_clock_manual_advance (f->manual, sick ? 10 : MT_MS);
      mt_dispatch_complete (f->dispatch, &ticket,
                            sick ? MT_DISPATCH_SERVER_ERROR : MT_DISPATCH_SUCCESS);
    }
  return on_sick;
}

/* One minion answers everything at once with errors and so always looks idle; the others work. The
 * callers see a few errors, not most of the traffic. */
static void
test_fast_errors_attract_no_load (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = fill (f, 8);

  assert_non_null (busy);
  assert_in_range (run_with_sick_minion (f, 4000), 1, 20);
}

/* Under a policy that looks at no load the sick minion is ejected after five errors, gets single
 * probes, and has all its slots again once it is well. */
static void
test_sick_minion_returns_by_probes (void **state)
{
  struct fixture *f = *state;

  mt_dispatch_destroy (f->dispatch);
  f->dispatch = mt_dispatch_create (mt_clock_manual_clock (f->manual), &counting,
                                    &mt_balance_round_robin, 1);
  put_minions (f, MINIONS);
  assert_in_range (run_with_sick_minion (f, 4000), 5, 10);
  assert_int_equal (mt_dispatch_ejected_count (f->dispatch), 1);
  mt_clock_manual_advance (f->manual, 60 * MT_SECOND);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m2"), 1);
  for (int i = 0; i < 200; i++)
    run (f, MT_MS, MT_DISPATCH_SUCCESS);
  assert_int_equal (mt_dispatch_ejected_count (f->dispatch), 0);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m2"), SLOTS);
}

/* Every minion goes bad, one after the other, so that each looks worse than the rest. Half stay in:
 * callers still reach a minion. */
static void
test_never_ejects_the_pool (void **state)
{
  struct fixture *f = *state;

  for (int i = 0; i < 200; i++)
    run (f, MT_MS, MT_DISPATCH_NOT_SENT);
  assert_in_range (mt_dispatch_ejected_count (f->dispatch), 0, MINIONS / 2);
  assert_true (mt_dispatch_usable_slots (f->dispatch, NULL) > 0);
  put_minions (f, 1);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), SLOTS);
}

/* A minion refuses: another daemon's requests fill it. This daemon leaves it alone for a moment and
 * what it had borrowed for longer; the waiter goes on by the tick. */
static void
test_refusal_rests_the_minion (void **state)
{
  struct fixture *f = *state;
  struct mt_ticket first;
  struct mt_ticket second;

  put_minions (f, 1);
  mt_dispatch_set_share (f->dispatch, (struct mt_share){ 4, 0 }, NULL, NULL);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2 + 3);
  assert_int_equal (ask (f, &first, 1, MT_SECOND), MT_ADMISSION_GRANTED);
  mt_dispatch_complete (f->dispatch, &first, MT_DISPATCH_REFUSED);
  assert_int_equal (ask (f, &second, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_clock_manual_advance (f->manual, 20 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (granted, 1);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2 + 3);
}

/* A minion says that it leaves. It gets nothing more, whatever the tables that are read later say,
 * until it is gone from them or told back. */
static void
test_leaving_minion_gets_nothing (void **state)
{
  struct fixture *f = *state;

  mt_dispatch_set_leaving (f->dispatch, "m1");
  put_minions (f, MINIONS);
  assert_true (mt_dispatch_is_leaving (f->dispatch, "m1"));
  for (int i = 0; i < 100; i++)
    {
      struct mt_ticket ticket;

      assert_int_equal (ask (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
      assert_string_not_equal (ticket.minion, "m1");
      mt_dispatch_complete (f->dispatch, &ticket, MT_DISPATCH_SUCCESS);
    }
  mt_dispatch_rejoin (f->dispatch, "m1");
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m1"), SLOTS);
}

/* Everything fails and every failed request is tried again. The retries end after the budget: the
 * load on the pool is 1.1 times the callers', not a multiple. */
static void
test_retries_are_a_tenth (void **state)
{
  struct fixture *f = *state;
  unsigned retried = 0;

  for (int i = 0; i < 1000; i++)
    {
      struct mt_ticket ticket = { .audience = 1, .is_retry = true, .deadline_us = INT64_MAX };

      run (f, MT_MS, MT_DISPATCH_LOST);
      if (mt_dispatch_submit (f->dispatch, &ticket, 10) == MT_ADMISSION_GRANTED)
        {
          retried++;
          mt_dispatch_complete (f->dispatch, &ticket, MT_DISPATCH_LOST);
        }
      else
        assert_int_equal (ticket.refusal, MT_REFUSAL_RETRY_BUDGET);
    }
  assert_in_range (retried, 100, 111);
}

static void
test_policies_have_names (void **state)
{
  assert_ptr_equal (mt_balance_find ("two-choices"), &mt_balance_two_choices);
  assert_null (mt_balance_find ("random"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_refuses_at_once_what_would_be_late, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_gives_up_while_the_caller_still_listens, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_waiters_of_a_drained_pool_are_told_at_once, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_straggler_in_trough_costs_no_surge_head, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_fast_errors_attract_no_load, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_sick_minion_returns_by_probes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_never_ejects_the_pool, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refusal_rests_the_minion, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_leaving_minion_gets_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_retries_are_a_tenth, set_up, tear_down),
    cmocka_unit_test (test_policies_have_names),
  };

  return cmocka_run_group_tests_name ("dispatch", tests, NULL, NULL);
}
