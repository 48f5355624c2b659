/* The decisions of the hedge under named loads, on simulated time: no network, no clock. */
#include "medlartrack/hedge.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define CALLS           2000
#define CALL_EVERY_MS   5
#define TIMEOUT_MS      800
#define RETRY_MS        60
#define CONNECTIONS     4
#define NEVER           INT64_MAX
#define MAX_STALL_MS    300
#define CYCLE_TXNS      4
#define SEED            20261202
#define BURST_FROM_CALL 1000
#define BURST_CALLS     100

static const struct mt_hedge_settings settings = { .quantile_factor = 3,
                                                   .min_delay_ms = 30,
                                                   .max_delay_ms = 300,
                                                   .budget_share = 0.1,
                                                   .budget_burst = 10 };

struct load
{
  const char *name;
  double median_ms;
  double loss;                 /* share of the answers that are lost */
  bool mute_connection;        /* one of the connections answers no call */
  unsigned lost_from, lost_to; /* calls whose first and second copies are lost */
};

static const struct load normal = { .name = "13 ms median", .median_ms = 13 };
static const struct load slow = { .name = "60 times slower for all", .median_ms = 780 };
static const struct load lossy = { .name = "1 in 20 lost", .median_ms = 13, .loss = 0.05 };
static const struct load mute
    = { .name = "one connection mute", .median_ms = 13, .mute_connection = true };
static const struct load burst = { .name = "burst of losses",
                                   .median_ms = 13,
                                   .lost_from = BURST_FROM_CALL,
                                   .lost_to = BURST_FROM_CALL + BURST_CALLS };

struct call
{
  int64_t sent_at;
  int64_t first_answer_at;
  int64_t second_sent_at;
  int64_t second_answer_at;
  int64_t hedge_at;
  int64_t ended_at; /* 0: not ended */
  bool unanswered;
};

struct result
{
  unsigned hedged;
  unsigned unanswered;
  unsigned over_stall; /* calls that took longer than MAX_STALL_MS */
  struct mt_hedge_counts counts;
};

/* Draws an answer time with the load's median; a few are four times as long. */
static int64_t
draw_answer_at (GRand *rand, const struct load *load, unsigned i, unsigned connection, int64_t now)
{
  if (g_rand_double (rand) < load->loss || (load->mute_connection && connection == 0)
      || (i >= load->lost_from && i < load->lost_to))
    return NEVER;
  return now + (int64_t) (load->median_ms * (0.5 + g_rand_double (rand)))
         + (g_rand_double (rand) < 0.01 ? (int64_t) (3 * load->median_ms) : 0);
}

static void
end_call (struct mt_hedge *hedge, struct call *c, int64_t now, int64_t copy_sent_at, bool second)
{
  c->ended_at = now;
  mt_hedge_record (hedge, now - copy_sent_at);
  if (second)
    mt_hedge_count_answered_first (hedge);
}

static void
step_call (struct mt_hedge *hedge,
           GRand *rand,
           const struct load *load,
           struct call *c,
           unsigned i,
           int64_t now)
{
  if (c->first_answer_at <= now)
    end_call (hedge, c, now, c->sent_at, false);
  else if (c->second_answer_at <= now)
    end_call (hedge, c, now, c->second_sent_at, true);
  else if (now - c->sent_at >= TIMEOUT_MS)
    {
      c->ended_at = now;
      c->unanswered = true;
    }
  else if (now == c->hedge_at && mt_hedge_take (hedge, now))
    {
      c->second_sent_at = now;
      c->second_answer_at = draw_answer_at (rand, load, i, CONNECTIONS, now);
    }
}

static struct result
run_load (const struct load *load, bool hedged)
{
  struct mt_hedge *hedge = mt_hedge_create (&settings);
  GRand *rand = g_rand_new_with_seed (SEED);
  struct call *calls = g_new0 (struct call, CALLS);
  struct result r = { 0 };
  unsigned begun = 0;
  unsigned first_open = 0;

  for (int64_t now = 0; first_open < CALLS; now++)
    {
      if (begun < CALLS && now % CALL_EVERY_MS == 0)
        {
          calls[begun] = (struct call){
            .sent_at = now,
            .first_answer_at = draw_answer_at (rand, load, begun, begun % CONNECTIONS, now),
            .second_answer_at = NEVER,
            .hedge_at = hedged ? now + mt_hedge_delay_ms (hedge) : NEVER,
          };
          begun++;
        }
      for (unsigned i = first_open; i < begun; i++)
        if (calls[i].ended_at == 0)
          step_call (hedge, rand, load, &calls[i], i, now);
      while (first_open < begun && calls[first_open].ended_at != 0)
        first_open++;
    }
  for (unsigned i = 0; i < CALLS; i++)
    {
      r.unanswered += calls[i].unanswered;
      r.over_stall += calls[i].ended_at - calls[i].sent_at > MAX_STALL_MS;
    }
  r.counts = mt_hedge_counts (hedge);
  print_message ("%s, %s: %u unanswered, %u over %d ms, %u hedged, %u denied\n", load->name,
                 hedged ? "hedged" : "not hedged", r.unanswered, r.over_stall, MAX_STALL_MS,
                 (unsigned) r.counts.sent, (unsigned) r.counts.denied);
  mt_hedge_destroy (hedge);
  g_rand_free (rand);
  g_free (calls);
  return r;
}

static void
assert_within_budget (const struct result *r)
{
  assert_true (r->counts.sent
               <= (uint64_t) (settings.budget_share * CALLS) + settings.budget_burst);
}

/* Guards against second copies for calls that are merely a little slower than the median. */
static void
test_few_calls_are_hedged_under_normal_load (void **state)
{
  struct result r = run_load (&normal, true);

  assert_true (r.counts.sent <= CALLS / 100);
  assert_int_equal (r.unanswered, 0);
}

/* Guards against twice the load on a store that is slow for all callers. */
static void
test_slow_store_gets_a_tenth_more_calls (void **state)
{
  struct result r = run_load (&slow, true);

  assert_within_budget (&r);
  assert_true (r.counts.denied > 0);
}

/* Guards against calls that wait for a time-out because one answer in 20 is lost. */
static void
test_lost_answers_do_not_stall_calls (void **state)
{
  struct result before = run_load (&lossy, false);
  struct result after = run_load (&lossy, true);

  assert_true (before.over_stall > CALLS / 25);
  assert_true (after.over_stall < CALLS / 200);
  assert_within_budget (&after);
}

/* Guards against calls that wait for a time-out on a connection that answers none. A quarter of the
 * calls is more than the budget allows, so the connection has to be left as well. */
static void
test_mute_connection_uses_no_more_than_the_budget (void **state)
{
  struct result before = run_load (&mute, false);
  struct result after = run_load (&mute, true);

  assert_true (after.unanswered < before.unanswered);
  assert_within_budget (&after);
}

/* Guards against a budget that does not recover after a burst of losses has used it up, and against
 * second copies to a store that answers nobody. */
static void
test_budget_recovers_after_a_burst_of_losses (void **state)
{
  struct result r = run_load (&burst, true);

  assert_int_equal (r.unanswered, BURST_CALLS);
  assert_within_budget (&r);
  assert_true (r.counts.denied >= BURST_CALLS - settings.budget_burst - 5);
  assert_true (r.counts.sent >= settings.budget_burst);
}

/* Guards against a write cycle that starts nothing for 0.86 s (time-out 800 ms, retry after 60 ms)
 * because one of its transactions got no answer while the store answers all others in a few ms. */
static void
test_cycle_with_one_lost_answer_ends_within_the_bound (void **state)
{
  struct mt_hedge *hedge = mt_hedge_create (&settings);
  int64_t without = 0;
  int64_t with = 0;

  for (unsigned i = 0; i < 100; i++)
    mt_hedge_record (hedge, 4 + i % 8);
  for (unsigned i = 0; i < CYCLE_TXNS; i++)
    {
      bool lost = i == 1;
      int64_t took = 6;

      without = MAX (without, lost ? TIMEOUT_MS + RETRY_MS + took : took);
      if (lost)
        {
          int64_t delay = mt_hedge_delay_ms (hedge);

          assert_true (mt_hedge_take (hedge, delay));
          /* The second copy conflicts with the first; the cycle writes once more. */
          took = delay + took + RETRY_MS + took;
        }
      with = MAX (with, took);
    }
  assert_true (without > 860);
  assert_true (with < MAX_STALL_MS);
  mt_hedge_destroy (hedge);
}

/* Guards against a delay that follows single outliers or leaves its range. */
static void
test_delay_stays_in_its_range (void **state)
{
  struct mt_hedge *hedge = mt_hedge_create (&settings);

  assert_int_equal (mt_hedge_delay_ms (hedge), settings.max_delay_ms);
  assert_int_equal (mt_hedge_unresponsive_ms (hedge), 0);
  for (unsigned i = 0; i < 200; i++)
    mt_hedge_record (hedge, i % 40 == 0 ? 5000 : 2);
  assert_int_equal (mt_hedge_delay_ms (hedge), settings.min_delay_ms);
  assert_int_equal (mt_hedge_unresponsive_ms (hedge), settings.min_delay_ms);
  for (unsigned i = 0; i < 200; i++)
    mt_hedge_record (hedge, 20);
  assert_int_equal (mt_hedge_delay_ms (hedge), 60);
  for (unsigned i = 0; i < 200; i++)
    mt_hedge_record (hedge, 780);
  assert_int_equal (mt_hedge_delay_ms (hedge), settings.max_delay_ms);
  /* A store that is slow for all has no single unresponsive connection. */
  assert_int_equal (mt_hedge_unresponsive_ms (hedge), 0);
  mt_hedge_destroy (hedge);
}

/* Guards against "nothing was done" for a call of which a copy may have been carried out. */
static void
test_outcome_is_refused_only_if_no_copy_is_unknown (void **state)
{
  static const enum mt_hedge_end ends[] = { MT_HEDGE_DEFINITE, MT_HEDGE_REFUSED, MT_HEDGE_UNKNOWN };

  for (size_t a = 0; a < G_N_ELEMENTS (ends); a++)
    for (size_t b = 0; b < G_N_ELEMENTS (ends); b++)
      {
        struct mt_hedged_call call = { 0 };
        enum mt_hedge_end outcome = MT_HEDGE_UNKNOWN;
        enum mt_hedge_end expected = MT_HEDGE_REFUSED;
        bool first;
        bool second;

        mt_hedged_call_send_copy (&call);
        mt_hedged_call_send_copy (&call);
        first = mt_hedged_call_end_copy (&call, ends[a], &outcome);
        second = mt_hedged_call_end_copy (&call, ends[b], &outcome);
        if (ends[a] == MT_HEDGE_DEFINITE || ends[b] == MT_HEDGE_DEFINITE)
          expected = MT_HEDGE_DEFINITE;
        else if (ends[a] == MT_HEDGE_UNKNOWN || ends[b] == MT_HEDGE_UNKNOWN)
          expected = MT_HEDGE_UNKNOWN;
        assert_int_equal (first, ends[a] == MT_HEDGE_DEFINITE);
        assert_int_equal (second, ends[a] != MT_HEDGE_DEFINITE);
        assert_int_equal (outcome, expected);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_calls_are_hedged_under_normal_load),
    cmocka_unit_test (test_slow_store_gets_a_tenth_more_calls),
    cmocka_unit_test (test_lost_answers_do_not_stall_calls),
    cmocka_unit_test (test_mute_connection_uses_no_more_than_the_budget),
    cmocka_unit_test (test_budget_recovers_after_a_burst_of_losses),
    cmocka_unit_test (test_cycle_with_one_lost_answer_ends_within_the_bound),
    cmocka_unit_test (test_delay_stays_in_its_range),
    cmocka_unit_test (test_outcome_is_refused_only_if_no_copy_is_unknown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
