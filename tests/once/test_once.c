#include "fake_store.h"
#include "medlartrack/batch.h"
#include "medlartrack/error.h"
#include "medlartrack/once.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define KEEP_US    (60 * MT_SECOND)
#define EXPIRES_US (KEEP_US + 5 * MT_ONCE_MAX_CLOCK_SKEW_US)
#define BLOCK      100

struct fixture
{
  struct mt_clock_manual *manual;
  struct mt_clock clock; /* the manual one, with a wall clock that can jump */
  int64_t wall_ahead_us;
  struct fake_store *fake;
  struct mt_token_bucket pace;
  struct mt_once *a;
  struct mt_once *b;
};

static int64_t
read_now (void *ctx)
{
  return mt_clock_now (mt_clock_manual_clock (((struct fixture *) ctx)->manual));
}

static int64_t
read_wall (void *ctx)
{
  return read_now (ctx) + ((struct fixture *) ctx)->wall_ahead_us;
}

static const struct mt_clock_ops jumping_clock = {
  .name = "jumping",
  .description = "a paused clock whose wall time jumps",
  .now_us = read_now,
  .wall_us = read_wall,
};

static struct mt_once *
create_writer (struct fixture *f, uint64_t writer)
{
  struct mt_once_options options
      = { .clock = &f->clock, .writer = writer, .retention_us = KEEP_US, .write_limit = &f->pace };

  return mt_once_create (&options);
}

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (1000 * MT_SECOND);
  f->clock = (struct mt_clock){ .ops = &jumping_clock, .ctx = f };
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  f->pace = (struct mt_token_bucket){ .interval_us = 1, .burst = 1000 };
  f->a = create_writer (f, 1);
  f->b = create_writer (f, 2);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_once_destroy (f->a);
  mt_once_destroy (f->b);
  fake_store_destroy (f->fake);
  mt_clock_manual_destroy (f->manual);
  g_free (f);
  return 0;
}

static struct mt_once_request
make_ask (uint64_t key, uint64_t attempt)
{
  return (struct mt_once_request){ .key = { key, 1 },
                                   .attempt = { attempt, 1 },
                                   .holder_timeout_ms = 1000 };
}

static void
run (struct fixture *f, struct mt_once *once)
{
  struct mt_once_call call;
  int64_t wake_us;

  while (mt_once_next_call (once, &call, &wake_us))
    {
      mt_once_perform_call (fake_store_store (f->fake), &call);
      mt_once_handle_result (once, &call);
    }
}

static enum mt_once_result
take (struct fixture *f, struct mt_once *once, uint64_t key, uint64_t attempt)
{
  struct mt_once_request ask = make_ask (key, attempt);

  mt_once_request (once, &ask);
  run (f, once);
  mt_once_cancel (once, &ask);
  return ask.result;
}

/* Steps until the next call is a write, which is left unsent. */
static void
stop_before_write (struct fixture *f, struct mt_once *once, struct mt_once_call *call)
{
  int64_t wake_us;

  for (;;)
    {
      assert_true (mt_once_next_call (once, call, &wake_us));
      if (call->kind == MT_ONCE_CALL_WRITE)
        return;
      mt_once_perform_call (fake_store_store (f->fake), call);
      mt_once_handle_result (once, call);
    }
}

/* The caller sends its invoice to two daemons at once; both have read the same log and both write
 * the next batch. The slower write loses the compare-and-swap, reads the winner's batch, and its
 * caller is told that the request is running. */
static void
test_two_writers_race (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request ask = make_ask (7, 70);
  struct mt_once_call call;

  mt_once_request (f->a, &ask);
  stop_before_write (f, f->a, &call);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_perform_call (fake_store_store (f->fake), &call);
  mt_once_handle_result (f->a, &call);
  run (f, f->a);
  assert_int_equal (ask.result, MT_ONCE_RUNNING);
}

/* The claim is written and the answer to the write lost. The writer reads its batch back, knows it
 * by its id, and grants; a rival finds the key taken. */
static void
test_lost_answer_is_read_back (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request ask = make_ask (7, 70);

  mt_once_request (f->a, &ask);
  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE, 1, true);
  run (f, f->a);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run (f, f->a);
  assert_int_equal (ask.result, MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_RUNNING);
}

/* The write is held up on its way, the caller is refused as not run, and the write arrives after.
 * The claim that nobody uses is released, so that the caller's next try runs. */
static void
test_late_write_of_a_refused_claim_is_released (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request ask = make_ask (7, 70);

  mt_once_request (f->a, &ask);
  fake_store_fault_next (f->fake, FAKE_FAULT_LATE, 1, true);
  run (f, f->a);
  mt_once_cancel (f->a, &ask);
  assert_int_equal (ask.result, MT_ONCE_UNAVAILABLE);
  fake_store_deliver (f->fake);
  for (int i = 0; i < 3; i++)
    {
      mt_clock_manual_advance (f->manual, MT_SECOND);
      run (f, f->a);
    }
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_GRANTED);
}

/* The daemon is killed with the request in flight: its claim has no end. Another daemon tells the
 * caller "running" until the holder's deadline, then "lost"; it never runs the request again. */
static void
test_claim_of_a_dead_holder_stays (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (take (f, f->a, 7, 70), MT_ONCE_GRANTED);
  mt_once_destroy (f->a);
  f->a = create_writer (f, 3);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_RUNNING);
  mt_clock_manual_advance (f->manual, 2 * MT_SECOND);
  assert_int_equal (take (f, f->b, 7, 72), MT_ONCE_LOST);
  assert_int_equal (take (f, f->a, 7, 73), MT_ONCE_LOST);
}

static void
test_ends_are_told (void **state)
{
  struct fixture *f = *state;
  const uint64_t key[2] = { 7, 1 };
  const uint64_t attempt[2] = { 70, 1 };
  struct mt_once_request ask = make_ask (7, 72);

  take (f, f->a, 7, 70);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_DONE, 201);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run (f, f->a);
  mt_once_request (f->b, &ask);
  run (f, f->b);
  assert_int_equal (ask.result, MT_ONCE_DONE);
  assert_int_equal (ask.status, 201);
}

/* Writes batches until the first block is full. */
static void
fill (struct fixture *f, struct mt_once *once)
{
  for (uint64_t i = 0; fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK + 5; i++)
    assert_int_equal (take (f, once, 1000 + i, 1000 + i), MT_ONCE_GRANTED);
}

static void
fill_and_trim (struct fixture *f, struct mt_once *once)
{
  fill (f, once);
  mt_clock_manual_advance (f->manual, EXPIRES_US);
  run (f, once);
  assert_true (fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK);
}

/* A daemon is stopped (SIGSTOP) between planning its write and sending it. Meanwhile the number is
 * written by a rival, with the same key in it, kept its time, and trimmed. On waking, the write
 * creates the trimmed number again, and succeeds; no rival will ever read it. It grants nothing. */
static void
test_writer_paused_past_a_trim_is_refused (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request ask = make_ask (7, 70);
  struct mt_once_call call;

  mt_once_request (f->a, &ask);
  stop_before_write (f, f->a, &call);
  fill_and_trim (f, f->b);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_perform_call (fake_store_store (f->fake), &call);
  assert_int_equal (call.put, MT_STORE_DONE);
  mt_once_handle_result (f->a, &call);
  assert_int_equal (ask.result, MT_ONCE_UNAVAILABLE);
  assert_int_equal (take (f, f->a, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon was idle while the log grew and was trimmed past its view. The number that it would
 * write next is absent again; only the floor tells that it was there. */
static void
test_idle_view_is_checked_against_the_floor (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (take (f, f->a, 5, 50), MT_ONCE_GRANTED);
  fill_and_trim (f, f->b);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->a, 7, 70), MT_ONCE_RUNNING);
}

/* Two daemons trim at different times. The key's first claim is past keeping in the one's view and
 * still held in the other's, when the one claims it anew: both must remember the newer claim. */
static void
test_views_trimmed_at_different_times_agree (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (take (f, f->a, 7, 70), MT_ONCE_GRANTED);
  fill (f, f->a);
  assert_int_equal (take (f, f->b, 5, 50), MT_ONCE_GRANTED);
  fill_and_trim (f, f->a);
  assert_int_equal (take (f, f->a, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->b, 6, 60), MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->b, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon's wall clock jumps a day ahead. By it every claim is past keeping, but a rival whose
 * view lacks the newest batches may be about to write one of their numbers: they stay until no view
 * can be so old. */
static void
test_wall_clock_that_jumps_trims_nothing_new (void **state)
{
  struct fixture *f = *state;

  fill (f, f->b);
  f->wall_ahead_us = 24 * 3600 * MT_SECOND;
  assert_int_equal (take (f, f->a, 7, 70), MT_ONCE_GRANTED);
  assert_int_equal (fake_store_count (f->fake, MT_ONCE_PREFIX), BLOCK + 6);
  mt_clock_manual_advance (f->manual, 2 * MT_ONCE_MAX_VIEW_AGE_US + MT_SECOND);
  run (f, f->a);
  assert_true (fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK);
}

/* The holder's release is recorded twice, as when its first answer was lost, and in between the key
 * was claimed anew. The second release must not free it under the new holder. */
static void
test_release_frees_its_own_attempt_only (void **state)
{
  struct fixture *f = *state;
  const uint64_t key[2] = { 7, 1 };
  const uint64_t attempt[2] = { 70, 1 };

  take (f, f->a, 7, 70);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_RELEASED, 0);
  assert_int_equal (take (f, f->a, 7, 71), MT_ONCE_GRANTED);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_RELEASED, 0);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run (f, f->a);
  assert_int_equal (take (f, f->b, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon forwards its claim to the shard's owner, which is stopped (SIGSTOP) before it looks at
 * it. The daemon gives up, releases that attempt and claims the key by another, which did not run
 * either. The owner wakes and must not write the first claim: it would hold the key for nobody. */
static void
test_claim_after_its_release_is_not_written (void **state)
{
  struct fixture *f = *state;
  const struct mt_record released
      = { .kind = MT_RECORD_RELEASE, .key = { 7, 1 }, .attempt = { 70, 1 } };
  const uint64_t attempt[2] = { 71, 1 };
  struct mt_once_request ask = make_ask (7, 70);

  assert_int_equal (take (f, f->a, 5, 50), MT_ONCE_GRANTED);
  mt_once_request (f->a, &ask);
  mt_once_add_end (f->b, &released);
  assert_int_equal (take (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_end (f->b, released.key, attempt, MT_ONCE_END_RELEASED, 0);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run (f, f->b);
  run (f, f->a);
  assert_int_equal (ask.result, MT_ONCE_UNAVAILABLE);
  assert_int_equal (take (f, f->b, 7, 72), MT_ONCE_GRANTED);
}

/* While the log can't be read as a whole, nothing of the shard is granted. */
static void
test_gap_and_foreign_format_grant_nothing (void **state)
{
  struct fixture *f = *state;

  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000000", "not a batch");
  assert_int_equal (take (f, f->a, 7, 70), MT_ONCE_UNAVAILABLE);
  assert_non_null (mt_once_read_error (f->a));
  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000000", NULL);
  mt_clock_manual_advance (f->manual, 2 * MT_SECOND);
  assert_int_equal (take (f, f->a, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->a, 8, 80), MT_ONCE_GRANTED);
  assert_int_equal (take (f, f->a, 9, 90), MT_ONCE_GRANTED);
  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000001", NULL);
  assert_int_equal (take (f, f->b, 8, 81), MT_ONCE_UNAVAILABLE);
}

static void
test_many_claims_ride_in_one_write (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request asks[50];

  f->pace = (struct mt_token_bucket){ .interval_us = MT_SECOND, .burst = 1 };
  assert_int_equal (take (f, f->a, 999, 1), MT_ONCE_GRANTED);
  for (uint64_t i = 0; i < G_N_ELEMENTS (asks); i++)
    {
      asks[i] = make_ask (i, i + 100);
      mt_once_request (f->a, &asks[i]);
      run (f, f->a);
    }
  assert_int_equal (asks[0].result, MT_ONCE_PENDING);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run (f, f->a);
  assert_int_equal (asks[49].result, MT_ONCE_GRANTED);
  assert_int_equal (fake_store_writes (f->fake), 2);
}

static void
test_memory_is_bounded (void **state)
{
  struct fixture *f = *state;

  mt_once_set_free_capacity (f->a, 1);
  assert_int_equal (take (f, f->a, 1, 1), MT_ONCE_GRANTED);
  mt_once_set_free_capacity (f->a, 0);
  assert_int_equal (take (f, f->a, 2, 2), MT_ONCE_UNAVAILABLE);
  assert_int_equal (take (f, f->b, 2, 3), MT_ONCE_GRANTED);
}

static void
test_batches_are_bounded_and_checked (void **state)
{
  struct mt_batch batch;
  struct mt_batch copy;
  struct mt_record record = { .key = { 1, 2 }, .attempt = { 3, 4 }, .extra = 9, .kind = 1 };
  size_t len;
  g_autofree char *bytes = NULL;

  mt_batch_init (&batch);
  batch.wall_ms = 1234;
  g_array_append_val (batch.records, record);
  bytes = mt_batch_encode (&batch, &len);
  for (size_t cut = 0; cut <= len; cut++)
    {
      mt_batch_init (&copy);
      assert_int_equal (mt_batch_decode ((struct mt_str){ bytes, cut }, &copy, NULL), cut == len);
      mt_batch_clear (&copy);
    }
  bytes[1] = 2; /* another version */
  mt_batch_init (&copy);
  assert_false (mt_batch_decode ((struct mt_str){ bytes, len }, &copy, NULL));
  mt_batch_clear (&copy);
  mt_batch_clear (&batch);
}

static void
test_dated_keys_expire (void **state)
{
  int64_t date;
  int64_t hour = 3600 * MT_SECOND;

  assert_true (mt_once_key_date (MT_STR ("20261202T230500Z-4711"), &date));
  assert_true (date == 1796252700 * MT_SECOND);
  assert_false (mt_once_key_date (MT_STR ("20261302T230500Z-4711"), &date));
  assert_false (mt_once_key_date (MT_STR ("invoice-4711"), &date));
  assert_false (mt_once_date_expired (date, date + hour - 1, hour));
  assert_true (mt_once_date_expired (date, date + hour, hour));
  assert_true (mt_once_date_expired (date, date - MT_ONCE_MAX_CLOCK_SKEW_US - 1, hour));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_two_writers_race, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_answer_is_read_back, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_late_write_of_a_refused_claim_is_released, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_claim_of_a_dead_holder_stays, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_ends_are_told, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_writer_paused_past_a_trim_is_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_idle_view_is_checked_against_the_floor, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_views_trimmed_at_different_times_agree, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_wall_clock_that_jumps_trims_nothing_new, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_release_frees_its_own_attempt_only, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_claim_after_its_release_is_not_written, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_gap_and_foreign_format_grant_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_many_claims_ride_in_one_write, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_memory_is_bounded, set_up, tear_down),
    cmocka_unit_test (test_batches_are_bounded_and_checked),
    cmocka_unit_test (test_dated_keys_expire),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
