/* Replays store outages with callers that retry as they are told, without a network. */
#include "medlartrack/retry_plan.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#define MAX_RETRIES   4U
#define WRITES_PER_S  18.0
#define MEAN_PER_S    2 /* submissions to one daemon in a second, without surge */
#define STEP_MS       5
#define PRIORITIES    2
#define MAX_CALLERS   4096
#define DEADLINE_MS   3000
#define OBJECTIVE_MS  2500
#define MAX_OUTAGE_MS 12000
#define START_MS      100000

static const struct mt_retry_settings settings = { .writes_per_s = WRITES_PER_S,
                                                   .max_retries = MAX_RETRIES,
                                                   .longest_outage_ms = MAX_OUTAGE_MS,
                                                   .max_waiting = 256,
                                                   .max_wait_ms = 1200 };

struct caller
{
  int64_t first_at;
  int64_t next_at;
  int64_t stored_at; /* 0: not stored */
  int64_t useful_until;
  unsigned retries;
  int priority;
};

struct replay
{
  struct mt_retry_plan *plan;
  int64_t outage_ms;
  unsigned surge;    /* times the mean */
  bool alone;        /* as far as known, other daemons reach the store */
  int64_t useful_ms; /* of each job, from its first submission; 0: unknown */
  struct caller callers[MAX_CALLERS];
  unsigned n_callers;
  unsigned n_given_up;
  unsigned n_beyond_use;  /* sent beyond their time of use although a place before it was free */
  unsigned returned[120]; /* callers that returned in each second after the outage */
  int64_t began;
};

static struct replay *
create_replay (int64_t outage_ms, unsigned surge)
{
  struct replay *r = g_new0 (struct replay, 1);

  r->plan = mt_retry_plan_create (&settings);
  r->outage_ms = outage_ms;
  r->surge = surge;
  return r;
}

static void
destroy_replay (struct replay *r)
{
  mt_retry_plan_destroy (r->plan);
  g_free (r);
}

/* Teaches the plan outages of this length. */
static void
learn (struct replay *r, int64_t outage_ms)
{
  for (int i = 0; i < 3; i++)
    {
      int64_t at = START_MS - 60000 + i * 15000;

      mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, at);
      mt_retry_plan_store_back (r->plan, at + outage_ms);
    }
}

/* Number of callers that are to return in the 250 ms around the time. */
static unsigned
count_returning (const struct replay *r, int64_t at)
{
  unsigned n = 0;

  for (unsigned i = 0; i < r->n_callers; i++)
    n += r->callers[i].stored_at == 0 && r->callers[i].next_at / 250 == at / 250;
  return n;
}

/* A place is free if a second after the expected return and before the end of use has few
 * callers. */
static bool
has_useful_place (const struct replay *r, int64_t useful_until, int64_t now)
{
  int64_t back_at = now + mt_retry_plan_remaining_ms (r->plan, now);

  for (int64_t at = now + 1000; at <= useful_until; at += 1000)
    if (at >= back_at && count_returning (r, at) + 1 < (unsigned) (WRITES_PER_S * 0.8 / 4))
      return true;
  return false;
}

static void
call (struct replay *r, struct caller *c, int64_t now)
{
  struct mt_retry_request request
      = { .remaining_ms = DEADLINE_MS, .objective_ms = OBJECTIVE_MS, .priority = c->priority };
  unsigned after_s;

  if (now >= r->began + r->outage_ms)
    {
      c->stored_at = now;
      if (c->retries > 0)
        r->returned[MIN ((now - r->began - r->outage_ms) / 1000, 119)]++;
      return;
    }
  if (c->retries == MAX_RETRIES)
    {
      r->n_given_up++;
      c->next_at = -1;
      return;
    }
  request.useful_ms = c->useful_until > 0 ? MAX (c->useful_until - now, 1) : 0;
  c->next_at = 0;
  if (c->useful_until > 0 && has_useful_place (r, c->useful_until, now))
    {
      after_s = mt_retry_plan_retry_after_s (r->plan, &request, now);
      r->n_beyond_use += now + after_s * 1000 > c->useful_until;
    }
  else
    after_s = mt_retry_plan_retry_after_s (r->plan, &request, now);
  assert_true (after_s >= 1);
  c->retries++;
  c->next_at = now + after_s * 1000;
}

static void
submit (struct replay *r, int64_t now)
{
  struct caller *c = &r->callers[r->n_callers++];

  assert_true (r->n_callers < MAX_CALLERS);
  *c = (struct caller){ .first_at = now, .priority = (int) (r->n_callers % PRIORITIES) };
  c->useful_until = r->useful_ms > 0 ? now + r->useful_ms : 0;
  call (r, c, now);
}

/* The surge begins with the outage and lasts as long; 60 s later all callers have returned. */
static void
run (struct replay *r)
{
  int64_t end;
  int64_t due = 0; /* submissions, in thousandths */

  r->began = START_MS;
  end = r->began + r->outage_ms;
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, !r->alone, r->began);
  for (int64_t now = r->began; now < end + 60000; now += STEP_MS)
    {
      if (now == end)
        mt_retry_plan_store_back (r->plan, now);
      for (unsigned i = 0; i < r->n_callers; i++)
        if (r->callers[i].stored_at == 0 && r->callers[i].next_at > 0
            && r->callers[i].next_at <= now)
          call (r, &r->callers[i], now);
      due += now < end ? MEAN_PER_S * r->surge * STEP_MS : 0;
      for (; due >= 1000; due -= 1000)
        submit (r, now);
    }
}

static int64_t
mean_return_ms (const struct replay *r, int priority)
{
  int64_t sum = 0;
  unsigned n = 0;

  for (unsigned i = 0; i < r->n_callers; i++)
    if (r->callers[i].priority == priority)
      {
        sum += r->callers[i].stored_at - r->began;
        n++;
      }
  return sum / MAX (n, 1);
}

/* ---- tests ---- */

/* Guards against callers whose four retries end before the store is back: their jobs are lost. Past
 * outages may have been shorter or longer than this one. */
static void
test_no_caller_uses_up_its_retries_during_an_outage (void **state)
{
  static const int64_t past_ms[] = { 0, 1000, 3000, 6000, 12000 };

  for (size_t past = 0; past < G_N_ELEMENTS (past_ms); past++)
    for (int64_t outage_ms = 1000; outage_ms <= MAX_OUTAGE_MS; outage_ms += 1000)
      for (unsigned surge = 1; surge <= 10; surge++)
        {
          struct replay *r = create_replay (outage_ms, surge);

          if (past_ms[past] > 0)
            learn (r, past_ms[past]);
          run (r);
          assert_int_equal (r->n_given_up, 0);
          for (unsigned i = 0; i < r->n_callers; i++)
            assert_true (r->callers[i].stored_at > 0);
          destroy_replay (r);
        }
}

/* Guards against a second surge when the store is back: it would exceed what the store takes. */
static void
test_returning_callers_stay_within_the_rate_of_the_store (void **state)
{
  for (int64_t outage_ms = 1000; outage_ms <= MAX_OUTAGE_MS; outage_ms += 1000)
    for (unsigned surge = 1; surge <= 10; surge++)
      {
        struct replay *r = create_replay (outage_ms, surge);

        run (r);
        for (size_t s = 0; s < G_N_ELEMENTS (r->returned); s++)
          assert_true (r->returned[s] <= WRITES_PER_S);
        destroy_replay (r);
      }
}

/* Guards against urgent jobs that wait behind others when the store is back. */
static void
test_urgent_callers_return_first (void **state)
{
  for (unsigned surge = 3; surge <= 10; surge++)
    {
      struct replay *r = create_replay (6000, surge);

      learn (r, 6000);
      run (r);
      assert_true (mean_return_ms (r, 0) < mean_return_ms (r, 1));
      destroy_replay (r);
    }
}

/* Guards against jobs with much time that take the first places from those with little. */
static void
test_short_objectives_return_first (void **state)
{
  struct replay *r = create_replay (6000, 10);
  const struct mt_retry_request urgent
      = { .remaining_ms = DEADLINE_MS, .objective_ms = 1500, .priority = 1 };
  const struct mt_retry_request patient
      = { .remaining_ms = DEADLINE_MS, .objective_ms = 20000, .priority = 1 };
  unsigned patient_s;

  learn (r, 6000);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS);
  for (int i = 0; i < 60; i++)
    mt_retry_plan_retry_after_s (r->plan, &urgent, START_MS + 10 * i);
  patient_s = mt_retry_plan_retry_after_s (r->plan, &patient, START_MS + 600);
  assert_true (patient_s > mt_retry_plan_retry_after_s (r->plan, &urgent, START_MS + 600));
  destroy_replay (r);
}

/* Guards against callers that wait much longer than outages of this kind last, or come back long
 * before their end. */
static void
test_callers_return_when_past_outages_ended (void **state)
{
  struct replay *r = create_replay (6000, 1);
  const struct mt_retry_request request = { .remaining_ms = DEADLINE_MS };

  learn (r, 6000);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS), 6);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 2000), 4);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 5000), 1);
  mt_retry_plan_store_back (r->plan, START_MS + 6000);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 9000), 1);
  destroy_replay (r);
}

/* Guards against a retry that comes when nobody needs the job any more, although the store could
 * have served an earlier one. */
static void
test_no_caller_is_sent_beyond_its_time_of_use (void **state)
{
  for (int64_t outage_ms = 1000; outage_ms <= MAX_OUTAGE_MS; outage_ms += 1000)
    for (unsigned surge = 1; surge <= 10; surge++)
      for (int64_t useful_ms = 2000; useful_ms <= 16000; useful_ms += 2000)
        {
          struct replay *r = create_replay (outage_ms, surge);

          r->useful_ms = useful_ms;
          learn (r, outage_ms);
          run (r);
          assert_int_equal (r->n_beyond_use, 0);
          destroy_replay (r);
        }
}

#define DAEMONS 5

/* A caller that is answered by another daemon each time. */
struct wanderer
{
  int64_t next_at;
  unsigned retries;
  bool done;
};

/* Runs one outage of all daemons, which notice it at different times; some take it for a partition
 * of their own. past_ms: length of an earlier outage, which each daemon saw a little differently; 0
 * for none. Returns the number of callers that gave up. */
static unsigned
run_daemons (int64_t outage_ms, int64_t past_ms, unsigned surge, GRand *random)
{
  struct mt_retry_plan *plans[DAEMONS];
  int64_t noticed_at[DAEMONS];
  g_autofree struct wanderer *callers = g_new0 (struct wanderer, MAX_CALLERS);
  const struct mt_retry_request request
      = { .remaining_ms = DEADLINE_MS, .objective_ms = OBJECTIVE_MS };
  unsigned n = (unsigned) (MEAN_PER_S * DAEMONS * surge * outage_ms / 1000);
  unsigned given_up = 0;

  for (unsigned i = 0; i < DAEMONS; i++)
    {
      noticed_at[i] = START_MS + g_rand_int_range (random, 0, past_ms > 0 ? 400 : 600);
      plans[i] = mt_retry_plan_create (&settings);
      if (past_ms > 0)
        {
          mt_retry_plan_store_away (plans[i], MT_STORE_REFUSES, true, START_MS - 60000);
          mt_retry_plan_store_back (plans[i],
                                    START_MS - 60000 + past_ms + g_rand_int_range (random, 0, 200));
        }
      mt_retry_plan_store_away (plans[i], MT_STORE_REFUSES, g_rand_boolean (random), noticed_at[i]);
    }
  for (unsigned i = 0; i < n; i++)
    callers[i].next_at = START_MS + (int64_t) i * outage_ms / n;
  for (int64_t now = START_MS; now < START_MS + outage_ms; now += STEP_MS)
    for (unsigned i = 0; i < n; i++)
      {
        struct wanderer *c = &callers[i];
        unsigned daemon = (unsigned) g_rand_int_range (random, 0, DAEMONS);

        if (c->done || c->next_at > now || noticed_at[daemon] > now)
          continue;
        c->done = c->retries == MAX_RETRIES;
        given_up += c->done;
        c->retries++;
        if (!c->done)
          c->next_at = now + mt_retry_plan_retry_after_s (plans[daemon], &request, now) * 1000;
      }
  for (unsigned i = 0; i < DAEMONS; i++)
    mt_retry_plan_destroy (plans[i]);
  return given_up;
}

/* The balancer sends each retry to another daemon, none of which knows the caller's earlier ones.
 * Guards against schedules that hold only for callers that return to the same daemon. */
static void
test_retries_last_although_each_is_answered_by_another_daemon (void **state)
{
  GRand *random = g_rand_new_with_seed (20261202);

  for (int64_t past_ms = 0; past_ms <= MAX_OUTAGE_MS; past_ms += 3000)
    for (int64_t outage_ms = 1000; outage_ms <= MAX_OUTAGE_MS; outage_ms += 1000)
      for (unsigned surge = 1; surge <= 10; surge++)
        assert_int_equal (run_daemons (outage_ms, past_ms, surge, random), 0);
  g_rand_free (random);
}

/* All daemons have lost the store and none knows it, as in a fleet of one data centre. Guards
 * against callers that are sent to other daemons until they give up. */
static void
test_retries_last_although_the_outage_is_taken_for_a_partition (void **state)
{
  for (int64_t outage_ms = 1000; outage_ms <= MAX_OUTAGE_MS; outage_ms += 1000)
    for (unsigned surge = 1; surge <= 10; surge++)
      {
        struct replay *r = create_replay (outage_ms, surge);

        r->alone = true;
        run (r);
        assert_int_equal (r->n_given_up, 0);
        destroy_replay (r);
      }
}

/* A daemon that alone has lost the store: another one serves the caller. Guards against callers
 * that are sent away for the expected length of an outage of all daemons. */
static void
test_caller_of_a_partitioned_daemon_returns_soon (void **state)
{
  struct replay *r = create_replay (6000, 1);
  const struct mt_retry_request request = { .remaining_ms = DEADLINE_MS };

  learn (r, 6000);
  mt_retry_plan_store_away (r->plan, MT_STORE_NO_ANSWER, false, START_MS);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 100), 3);
  mt_retry_plan_store_away (r->plan, MT_STORE_NO_ANSWER, true, START_MS + 200);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 200), 6);
  destroy_replay (r);
}

/* A watch that was in flight is answered during the outage, and the store seems to be back for a
 * moment. Guards against a history of short outages that never were: callers would return at once
 * and use up their retries. */
static void
test_moment_of_answers_does_not_end_the_outage (void **state)
{
  struct replay *r = create_replay (1, 1);
  const struct mt_retry_request request = { .remaining_ms = DEADLINE_MS };

  learn (r, 6000);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS);
  mt_retry_plan_store_back (r->plan, START_MS + 50);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS + 500);
  assert_int_equal (mt_retry_plan_away_ms (r->plan, START_MS + 1000), 1000);
  assert_int_equal (mt_retry_plan_retry_after_s (r->plan, &request, START_MS + 1000), 5);
  mt_retry_plan_store_back (r->plan, START_MS + 6000);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS + 60000);
  assert_int_equal (mt_retry_plan_remaining_ms (r->plan, START_MS + 60000), 6000);
  destroy_replay (r);
}

/* Guards against submissions that are held although the store can't be back in time: the caller
 * would lose the time in which it could act on the refusal. */
static void
test_submission_waits_only_for_an_expected_return (void **state)
{
  struct replay *r = create_replay (1, 1);
  const struct mt_retry_request request = { .remaining_ms = DEADLINE_MS };
  const struct mt_retry_request impatient = { .remaining_ms = 300 };

  assert_true (mt_retry_plan_may_wait (r->plan, &request, 0, START_MS));
  learn (r, 2000);
  mt_retry_plan_store_away (r->plan, MT_STORE_REFUSES, true, START_MS);
  assert_int_equal (mt_retry_plan_remaining_ms (r->plan, START_MS), 2000);
  assert_false (mt_retry_plan_may_wait (r->plan, &request, 0, START_MS));
  assert_true (mt_retry_plan_may_wait (r->plan, &request, 0, START_MS + 1000));
  assert_false (mt_retry_plan_may_wait (r->plan, &impatient, 0, START_MS + 1000));
  assert_false (mt_retry_plan_may_wait (r->plan, &request, settings.max_waiting, START_MS + 1000));
  mt_retry_plan_store_back (r->plan, START_MS + 2000);
  assert_int_equal (mt_retry_plan_remaining_ms (r->plan, START_MS + 2000), 0);
  destroy_replay (r);
}

/* Guards against callers that are told a minute in each short outage after a single long one, for
 * instance of a partitioned daemon. */
static void
test_one_long_outage_does_not_stretch_later_retries (void **state)
{
  struct replay *r = create_replay (0, 1);
  const struct mt_retry_request request = { .remaining_ms = DEADLINE_MS, .useful_ms = 5000 };
  int64_t again_at = START_MS + 330000;

  mt_retry_plan_store_away (r->plan, MT_STORE_NO_ANSWER, true, START_MS);
  mt_retry_plan_store_back (r->plan, START_MS + 300000);
  mt_retry_plan_store_away (r->plan, MT_STORE_NO_ANSWER, true, again_at);
  assert_in_range (mt_retry_plan_retry_after_s (r->plan, &request, again_at), 1,
                   MAX_OUTAGE_MS / 1000);
  destroy_replay (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_caller_uses_up_its_retries_during_an_outage),
    cmocka_unit_test (test_returning_callers_stay_within_the_rate_of_the_store),
    cmocka_unit_test (test_urgent_callers_return_first),
    cmocka_unit_test (test_short_objectives_return_first),
    cmocka_unit_test (test_callers_return_when_past_outages_ended),
    cmocka_unit_test (test_no_caller_is_sent_beyond_its_time_of_use),
    cmocka_unit_test (test_retries_last_although_each_is_answered_by_another_daemon),
    cmocka_unit_test (test_retries_last_although_the_outage_is_taken_for_a_partition),
    cmocka_unit_test (test_caller_of_a_partitioned_daemon_returns_soon),
    cmocka_unit_test (test_moment_of_answers_does_not_end_the_outage),
    cmocka_unit_test (test_submission_waits_only_for_an_expected_return),
    cmocka_unit_test (test_one_long_outage_does_not_stretch_later_retries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
