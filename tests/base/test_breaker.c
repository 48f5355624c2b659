#include "fake_store.h"
#include "medlartrack/breaker.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define DAEMONS      100
#define MIN_PAUSE_US (250 * MT_MS)
#define MAX_PAUSE_US (5 * MT_SECOND)
#define STEP_US      (50 * MT_MS)

struct fixture
{
  struct mt_clock_manual *manual;
  struct fake_store *fake;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (MT_SECOND);
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static struct mt_breaker *
create_breaker (struct fixture *f, uint32_t seed)
{
  struct mt_breaker_options options = { .clock = mt_clock_manual_clock (f->manual),
                                        .inner = fake_store_store (f->fake),
                                        .failure_threshold = 3,
                                        .min_pause_us = MIN_PAUSE_US,
                                        .max_pause_us = MAX_PAUSE_US,
                                        .seed = seed };

  return mt_breaker_create (&options);
}

static bool
read_key (struct mt_breaker *breaker)
{
  const struct mt_store *store = mt_breaker_store (breaker);
  struct mt_store_value value;
  bool ok = store->ops->get (store->ctx, "k", &value, NULL);

  mt_store_value_clear (&value);
  return ok;
}

/* When the service goes down, three calls reach it and the rest are refused without a call, except
 * for one probe after each pause. The first answered probe lets all calls through again. */
static void
test_opens_probes_and_closes (void **state)
{
  struct fixture *f = *state;
  struct mt_breaker *breaker = create_breaker (f, 1);

  fake_store_set_down (f->fake, true);
  for (int i = 0; i < 20; i++)
    assert_false (read_key (breaker));
  assert_int_equal (fake_store_reads (f->fake), 3);
  mt_clock_manual_advance (f->manual, MAX_PAUSE_US);
  for (int i = 0; i < 20; i++)
    assert_false (read_key (breaker));
  assert_int_equal (fake_store_reads (f->fake), 4);
  fake_store_set_down (f->fake, false);
  mt_clock_manual_advance (f->manual, MAX_PAUSE_US);
  assert_true (read_key (breaker));
  assert_false (mt_breaker_is_open (breaker));
  assert_true (read_key (breaker));
  mt_breaker_destroy (breaker);
}

/* Guards against a breaker that opens because of a conflict, a missing key or an expired lease:
 * these are answers, so the service is up. */
static void
test_answers_keep_breaker_closed (void **state)
{
  struct fixture *f = *state;
  struct mt_breaker *breaker = create_breaker (f, 1);
  const struct mt_store *store = mt_breaker_store (breaker);

  for (int i = 0; i < 10; i++)
    {
      assert_int_equal (store->ops->put (store->ctx, "k", MT_STR ("v"), 99, NULL),
                        MT_STORE_CONFLICT);
      assert_false (store->ops->lease_renew (store->ctx, "none", NULL));
      assert_true (read_key (breaker));
    }
  assert_int_equal (mt_breaker_counts (breaker).writes, 20);
  assert_int_equal (mt_breaker_counts (breaker).refused, 0);
  mt_breaker_destroy (breaker);
}

/* Guards against a rush of calls when the service recovers. 100 daemons lose it at the same time
 * and it returns after a minute: their probes must be spread over the longest pause, with at most a
 * tenth of them in any step. */
static void
test_no_stampede_at_recovery (void **state)
{
  struct fixture *f = *state;
  struct mt_breaker *breakers[DAEMONS];
  uint64_t max_reads = 0;
  unsigned closed = 0;

  fake_store_set_down (f->fake, true);
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      breakers[i] = create_breaker (f, i);
      for (int n = 0; n < 3; n++)
        read_key (breakers[i]);
    }
  for (int64_t at = 0; at < 60 * MT_SECOND + MAX_PAUSE_US; at += STEP_US)
    {
      uint64_t before = fake_store_reads (f->fake);

      closed = 0;
      fake_store_set_down (f->fake, at < 60 * MT_SECOND);
      mt_clock_manual_advance (f->manual, STEP_US);
      for (unsigned i = 0; i < DAEMONS; i++)
        {
          if (mt_breaker_is_open (breakers[i]))
            read_key (breakers[i]);
          closed += !mt_breaker_is_open (breakers[i]);
        }
      if (at >= 10 * MT_SECOND)
        max_reads = MAX (max_reads, fake_store_reads (f->fake) - before);
    }
  assert_int_equal (closed, DAEMONS);
  assert_true (max_reads <= DAEMONS / 10);
  for (unsigned i = 0; i < DAEMONS; i++)
    mt_breaker_destroy (breakers[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_opens_probes_and_closes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_answers_keep_breaker_closed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_no_stampede_at_recovery, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
