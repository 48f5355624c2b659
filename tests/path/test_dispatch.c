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
set_minions (struct fixture *f, size_t n)
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
  set_minions (f, MINIONS);
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
submit (struct fixture *f, struct mt_ticket *ticket, uint64_t audience, int64_t within_us)
{
  *ticket = (struct mt_ticket){ .audience = audience };
  ticket->deadline_us = mt_clock_now (mt_clock_manual_clock (f->manual)) + within_us;
  return mt_dispatch_submit (f->dispatch, ticket, 1000);
}

static void
run_request (struct fixture *f, int64_t took_us, enum mt_dispatch_result result)
{
  struct mt_ticket ticket;

  assert_int_equal (submit (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
  mt_clock_manual_advance (f->manual, took_us);
  mt_dispatch_complete (f->dispatch, &ticket, result);
}

static struct mt_ticket *
fill_slots (struct fixture *f, unsigned n)
{
  struct mt_ticket *tickets = g_new0 (struct mt_ticket, n);

  for (unsigned i = 0; i < n; i++)
    assert_int_equal (submit (f, &tickets[i], 1, 10 * MT_SECOND), MT_ADMISSION_GRANTED);
  return tickets;
}

/* All slots are taken, requests take 100 ms and 32 are queued ahead: a slot comes free in about 100
 * ms, too late for the deadline. The request must be refused at once, not after waiting in vain. */
static void
test_refuses_request_that_would_miss_its_deadline (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket queued[MINIONS * SLOTS];
  struct mt_ticket ticket;

  run_request (f, 100 * MT_MS, MT_DISPATCH_SUCCESS);
  busy = fill_slots (f, MINIONS * SLOTS);
  assert_non_null (busy);
  for (size_t i = 0; i < G_N_ELEMENTS (queued); i++)
    assert_int_equal (submit (f, &queued[i], 1, MT_SECOND), MT_ADMISSION_QUEUED);
  assert_int_equal (submit (f, &ticket, 1, 120 * MT_MS), MT_ADMISSION_REFUSED);
  assert_int_equal (ticket.refusal, MT_REFUSAL_DEADLINE);
  assert_int_equal (submit (f, &ticket, 2, 120 * MT_MS), MT_ADMISSION_QUEUED);
}

/* Requests take 50 or 150 ms. A queued request with a deadline of 1 s and no slot after 900 ms
 * could meet its deadline only by luck: it must be expired before the deadline, so that the caller
 * hears of it and the slot goes to a request with time left. */
static void
test_expires_queued_request_before_its_deadline (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket queued;

  for (int i = 0; i < 100; i++)
    run_request (f, (i % 2 == 0 ? 50 : 150) * MT_MS, MT_DISPATCH_SUCCESS);
  busy = fill_slots (f, MINIONS * SLOTS);
  assert_non_null (busy);
  assert_int_equal (submit (f, &queued, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_clock_manual_advance (f->manual, 700 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (expired, 0);
  mt_clock_manual_advance (f->manual, 200 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (expired, 1);
  assert_int_equal (queued.refusal, MT_REFUSAL_DEADLINE);
}

/* The whole pool is drained while a request is queued. The requests in flight end later, but their
 * slots accept no new work: the queued request must be expired at once and not at its deadline. */
static void
test_drained_pool_expires_queued_requests_at_once (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = fill_slots (f, MINIONS * SLOTS);
  struct mt_ticket queued;
  struct mt_ticket refused;

  assert_non_null (busy);
  assert_int_equal (submit (f, &queued, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_dispatch_update (f->dispatch, NULL, 0);
  assert_int_equal (expired, 1);
  assert_int_equal (queued.refusal, MT_REFUSAL_NO_MINION);
  assert_int_equal (submit (f, &refused, 1, MT_SECOND), MT_ADMISSION_REFUSED);
  assert_int_equal (refused.refusal, MT_REFUSAL_NO_MINION);
}

/* At low load, one request is a straggler of 5 s; then a load peak begins. The straggler must not
 * raise the service time estimate so far that the first requests of the peak are refused. */
static void
test_straggler_at_low_load_refuses_no_later_requests (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = NULL;
  struct mt_ticket head[2 * MINIONS * SLOTS];

  for (int i = 0; i < 50; i++)
    run_request (f, 20 * MT_MS, MT_DISPATCH_SUCCESS);
  run_request (f, 5 * MT_SECOND, MT_DISPATCH_SUCCESS);
  mt_clock_manual_advance (f->manual, 600 * MT_SECOND);
  busy = fill_slots (f, MINIONS * SLOTS);
  assert_non_null (busy);
  for (size_t i = 0; i < G_N_ELEMENTS (head); i++)
    assert_int_equal (submit (f, &head[i], 1, 200 * MT_MS), MT_ADMISSION_QUEUED);
}

/* Sends n requests one by one, of which m2 fails its own in 10 us. Returns how many m2 got. */
static unsigned
run_with_failing_minion (struct fixture *f, int n)
{
  unsigned n_failed = 0;

  for (int i = 0; i < n; i++)
    {
      struct mt_ticket ticket;
      bool fails;

      assert_int_equal (submit (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
      fails = strcmp (ticket.minion, "m2") == 0;
      n_failed += fails ? 1 : 0;
      mt_clock_manual_advance (f->manual, fails ? 10 : MT_MS);
      mt_dispatch_complete (f->dispatch, &ticket,
                            fails ? MT_DISPATCH_SERVER_ERROR : MT_DISPATCH_SUCCESS);
    }
  return n_failed;
}

/* One minion fails every request at once and so always looks idle; the others work. It must get a
 * few requests, not most of the traffic. */
static void
test_fast_errors_attract_no_load (void **state)
{
  struct fixture *f = *state;
  g_autofree struct mt_ticket *busy = fill_slots (f, 8);

  assert_non_null (busy);
  assert_in_range (run_with_failing_minion (f, 4000), 1, 20);
}

/* With a policy that ignores the load, the failing minion must be ejected after five errors, get
 * single probes, and get all its slots back once it has recovered. */
static void
test_failing_minion_is_reinstated_by_probes (void **state)
{
  struct fixture *f = *state;

  mt_dispatch_destroy (f->dispatch);
  f->dispatch = mt_dispatch_create (mt_clock_manual_clock (f->manual), &counting,
                                    &mt_balance_round_robin, 1);
  set_minions (f, MINIONS);
  assert_in_range (run_with_failing_minion (f, 4000), 5, 10);
  assert_int_equal (mt_dispatch_ejected_count (f->dispatch), 1);
  mt_clock_manual_advance (f->manual, 60 * MT_SECOND);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m2"), 1);
  for (int i = 0; i < 200; i++)
    run_request (f, MT_MS, MT_DISPATCH_SUCCESS);
  assert_int_equal (mt_dispatch_ejected_count (f->dispatch), 0);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m2"), SLOTS);
}

/* All minions fail, one after the other, so that each looks worse than the rest. At least half must
 * stay in the pool. */
static void
test_ejects_at_most_half_the_pool (void **state)
{
  struct fixture *f = *state;

  for (int i = 0; i < 200; i++)
    run_request (f, MT_MS, MT_DISPATCH_NOT_SENT);
  assert_in_range (mt_dispatch_ejected_count (f->dispatch), 0, MINIONS / 2);
  assert_true (mt_dispatch_usable_slots (f->dispatch, NULL) > 0);
  set_minions (f, 1);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), SLOTS);
}

/* A minion refuses because another daemon's requests fill its slots. This daemon must send it
 * nothing for the refusal backoff and use no borrowed slots for the longer borrow backoff; the
 * queued request is granted by the tick. */
static void
test_refusal_pauses_the_minion (void **state)
{
  struct fixture *f = *state;
  struct mt_ticket first;
  struct mt_ticket second;

  set_minions (f, 1);
  mt_dispatch_set_share (f->dispatch, (struct mt_share){ 4, 0 }, NULL, NULL);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2 + 3);
  assert_int_equal (submit (f, &first, 1, MT_SECOND), MT_ADMISSION_GRANTED);
  mt_dispatch_complete (f->dispatch, &first, MT_DISPATCH_REFUSED);
  assert_int_equal (submit (f, &second, 1, MT_SECOND), MT_ADMISSION_QUEUED);
  mt_clock_manual_advance (f->manual, 20 * MT_MS);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (granted, 1);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  mt_dispatch_tick (f->dispatch);
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, NULL), 2 + 3);
}

/* A minion announces that it leaves. It must get no more requests, even if tables read later still
 * list it, until it is absent from them or rejoins. */
static void
test_leaving_minion_gets_no_requests (void **state)
{
  struct fixture *f = *state;

  mt_dispatch_set_leaving (f->dispatch, "m1");
  set_minions (f, MINIONS);
  assert_true (mt_dispatch_is_leaving (f->dispatch, "m1"));
  for (int i = 0; i < 100; i++)
    {
      struct mt_ticket ticket;

      assert_int_equal (submit (f, &ticket, 1, MT_SECOND), MT_ADMISSION_GRANTED);
      assert_string_not_equal (ticket.minion, "m1");
      mt_dispatch_complete (f->dispatch, &ticket, MT_DISPATCH_SUCCESS);
    }
  mt_dispatch_rejoin (f->dispatch, "m1");
  assert_int_equal (mt_dispatch_usable_slots (f->dispatch, "m1"), SLOTS);
}

/* All requests fail and each is retried. The retry budget must limit the load on the pool to 1.1
 * times the first attempts. */
static void
test_retries_are_limited_to_a_tenth (void **state)
{
  struct fixture *f = *state;
  unsigned retried = 0;

  for (int i = 0; i < 1000; i++)
    {
      struct mt_ticket ticket = { .audience = 1, .is_retry = true, .deadline_us = INT64_MAX };

      run_request (f, MT_MS, MT_DISPATCH_LOST);
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
    cmocka_unit_test_setup_teardown (test_refuses_request_that_would_miss_its_deadline, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_expires_queued_request_before_its_deadline, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_drained_pool_expires_queued_requests_at_once, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_straggler_at_low_load_refuses_no_later_requests, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_fast_errors_attract_no_load, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_failing_minion_is_reinstated_by_probes, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_ejects_at_most_half_the_pool, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refusal_pauses_the_minion, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_leaving_minion_gets_no_requests, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_retries_are_limited_to_a_tenth, set_up, tear_down),
    cmocka_unit_test (test_policies_have_names),
  };

  return cmocka_run_group_tests_name ("dispatch", tests, NULL, NULL);
}
