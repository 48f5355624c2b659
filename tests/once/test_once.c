#include "fake_store.h"
#include "medlartrack/batch.h"
#include "medlartrack/error.h"
#include "medlartrack/once.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define RETENTION_US  (60 * MT_SECOND)
#define TRIM_AFTER_US (RETENTION_US + 5 * MT_ONCE_MAX_CLOCK_SKEW_US)
#define BLOCK         100

struct fixture
{
  struct mt_clock_manual *manual;
  struct mt_clock clock; /* the manual clock, with a wall time that can jump */
  int64_t wall_offset_us;
  struct fake_store *fake;
  struct mt_token_bucket bucket;
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
  return read_now (ctx) + ((struct fixture *) ctx)->wall_offset_us;
}

static const struct mt_clock_ops jumping_clock = {
  .name = "jumping",
  .description = "a manual clock whose wall time can jump",
  .now_us = read_now,
  .wall_us = read_wall,
};

static struct mt_once *
create_writer (struct fixture *f, uint64_t writer)
{
  struct mt_once_options options = {
    .clock = &f->clock, .writer = writer, .retention_us = RETENTION_US, .write_limit = &f->bucket
  };

  return mt_once_create (&options);
}

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->manual = mt_clock_manual_create (1000 * MT_SECOND);
  f->clock = (struct mt_clock){ .ops = &jumping_clock, .ctx = f };
  f->fake = fake_store_create (mt_clock_manual_clock (f->manual));
  f->bucket = (struct mt_token_bucket){ .interval_us = 1, .burst = 1000 };
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
make_request (uint64_t key, uint64_t attempt)
{
  return (struct mt_once_request){ .key = { key, 1 },
                                   .attempt = { attempt, 1 },
                                   .holder_timeout_ms = 1000 };
}

static void
run_calls (struct fixture *f, struct mt_once *once)
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
claim (struct fixture *f, struct mt_once *once, uint64_t key, uint64_t attempt)
{
  struct mt_once_request request = make_request (key, attempt);

  mt_once_request (once, &request);
  run_calls (f, once);
  mt_once_cancel (once, &request);
  return request.result;
}

/* Performs calls until the next one is a write, which is not performed. */
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

/* Two daemons get the same request; both have read the same log and both write the next batch. The
 * slower write loses the compare-and-swap: its daemon must read the other batch and answer
 * "running". */
static void
test_losing_writer_answers_running (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request request = make_request (7, 70);
  struct mt_once_call call;

  mt_once_request (f->a, &request);
  stop_before_write (f, f->a, &call);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_perform_call (fake_store_store (f->fake), &call);
  mt_once_handle_result (f->a, &call);
  run_calls (f, f->a);
  assert_int_equal (request.result, MT_ONCE_RUNNING);
}

/* The claim is written and the response to the write is lost. The writer must read the batch back,
 * recognise it by its id, and grant; another writer finds the key claimed. */
static void
test_write_with_lost_response_is_read_back (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request request = make_request (7, 70);

  mt_once_request (f->a, &request);
  fake_store_fault_next (f->fake, FAKE_FAULT_LOSE_ANSWER, 1, true);
  run_calls (f, f->a);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run_calls (f, f->a);
  assert_int_equal (request.result, MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_RUNNING);
}

/* A write is delayed, its request is refused as not run, and the write arrives after that. The
 * unused claim must be released, so that the next attempt can run. */
static void
test_late_write_of_refused_claim_is_released (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request request = make_request (7, 70);

  mt_once_request (f->a, &request);
  fake_store_fault_next (f->fake, FAKE_FAULT_DELAY, 1, true);
  run_calls (f, f->a);
  mt_once_cancel (f->a, &request);
  assert_int_equal (request.result, MT_ONCE_UNAVAILABLE);
  fake_store_deliver_delayed (f->fake);
  for (int i = 0; i < 3; i++)
    {
      mt_clock_manual_advance (f->manual, MT_SECOND);
      run_calls (f, f->a);
    }
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_GRANTED);
}

/* A daemon is killed with the request in flight: its claim has no end. Other daemons must answer
 * "running" until the holder's deadline, then "lost", and never run the request again. */
static void
test_claim_of_dead_holder_stays (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (claim (f, f->a, 7, 70), MT_ONCE_GRANTED);
  mt_once_destroy (f->a);
  f->a = create_writer (f, 3);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_RUNNING);
  mt_clock_manual_advance (f->manual, 2 * MT_SECOND);
  assert_int_equal (claim (f, f->b, 7, 72), MT_ONCE_LOST);
  assert_int_equal (claim (f, f->a, 7, 73), MT_ONCE_LOST);
}

static void
test_end_and_status_are_reported (void **state)
{
  struct fixture *f = *state;
  const uint64_t key[2] = { 7, 1 };
  const uint64_t attempt[2] = { 70, 1 };
  struct mt_once_request request = make_request (7, 72);

  claim (f, f->a, 7, 70);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_DONE, 201);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run_calls (f, f->a);
  mt_once_request (f->b, &request);
  run_calls (f, f->b);
  assert_int_equal (request.result, MT_ONCE_DONE);
  assert_int_equal (request.status, 201);
}

/* Writes batches until the first block is full. */
static void
fill_block (struct fixture *f, struct mt_once *once)
{
  for (uint64_t i = 0; fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK + 5; i++)
    assert_int_equal (claim (f, once, 1000 + i, 1000 + i), MT_ONCE_GRANTED);
}

static void
fill_and_trim_block (struct fixture *f, struct mt_once *once)
{
  fill_block (f, once);
  mt_clock_manual_advance (f->manual, TRIM_AFTER_US);
  run_calls (f, once);
  assert_true (fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK);
}

/* A daemon is stopped (SIGSTOP) between planning its write and sending it. Meanwhile another writer
 * writes the same number with a claim of the same key, and the batch is kept for its retention and
 * trimmed. After the stop, the write creates the trimmed number again and succeeds, but no other
 * writer will ever read it. It must not grant anything. */
static void
test_writer_paused_past_trim_is_refused (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request request = make_request (7, 70);
  struct mt_once_call call;

  mt_once_request (f->a, &request);
  stop_before_write (f, f->a, &call);
  fill_and_trim_block (f, f->b);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_perform_call (fake_store_store (f->fake), &call);
  assert_int_equal (call.put, MT_STORE_DONE);
  mt_once_handle_result (f->a, &call);
  assert_int_equal (request.result, MT_ONCE_UNAVAILABLE);
  assert_int_equal (claim (f, f->a, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon was idle while the log grew and was trimmed past its view. The next number in its view
 * is absent again; only the floor shows that the number was used. */
static void
test_idle_view_is_checked_against_floor (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (claim (f, f->a, 5, 50), MT_ONCE_GRANTED);
  fill_and_trim_block (f, f->b);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->a, 7, 70), MT_ONCE_RUNNING);
}

/* Two daemons trim at different times. The key's first claim is past its retention in one view and
 * still held in the other when the first daemon claims the key again: both views must keep the
 * newer claim. */
static void
test_views_trimmed_at_different_times_agree (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (claim (f, f->a, 7, 70), MT_ONCE_GRANTED);
  fill_block (f, f->a);
  assert_int_equal (claim (f, f->b, 5, 50), MT_ONCE_GRANTED);
  fill_and_trim_block (f, f->a);
  assert_int_equal (claim (f, f->a, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->b, 6, 60), MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->b, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon's wall clock jumps a day ahead, so that every claim looks past its retention. Another
 * writer whose view lacks the newest batches may be about to write one of their numbers: the
 * batches must stay until no view can be that old. */
static void
test_wall_clock_jump_trims_no_recent_batches (void **state)
{
  struct fixture *f = *state;

  fill_block (f, f->b);
  f->wall_offset_us = 24 * 3600 * MT_SECOND;
  assert_int_equal (claim (f, f->a, 7, 70), MT_ONCE_GRANTED);
  assert_int_equal (fake_store_count (f->fake, MT_ONCE_PREFIX), BLOCK + 6);
  mt_clock_manual_advance (f->manual, 2 * MT_ONCE_MAX_VIEW_AGE_US + MT_SECOND);
  run_calls (f, f->a);
  assert_true (fake_store_count (f->fake, MT_ONCE_PREFIX) < BLOCK);
}

/* A release is recorded twice, as after a lost response, and the key is claimed again in between.
 * The second release must not free the key for the new holder. */
static void
test_release_frees_only_its_own_attempt (void **state)
{
  struct fixture *f = *state;
  const uint64_t key[2] = { 7, 1 };
  const uint64_t attempt[2] = { 70, 1 };

  claim (f, f->a, 7, 70);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_RELEASED, 0);
  assert_int_equal (claim (f, f->a, 7, 71), MT_ONCE_GRANTED);
  mt_once_end (f->a, key, attempt, MT_ONCE_END_RELEASED, 0);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run_calls (f, f->a);
  assert_int_equal (claim (f, f->b, 7, 72), MT_ONCE_RUNNING);
}

/* A daemon forwards its claim to the shard's owner, which is stopped (SIGSTOP) before it handles
 * the request. The daemon gives up, releases that attempt and claims the key with another, which
 * did not run either. When the owner resumes it must not write the first claim: the claim would
 * block the key with no holder. */
static void
test_released_claim_is_not_written_later (void **state)
{
  struct fixture *f = *state;
  const struct mt_record released
      = { .kind = MT_RECORD_RELEASE, .key = { 7, 1 }, .attempt = { 70, 1 } };
  const uint64_t attempt[2] = { 71, 1 };
  struct mt_once_request request = make_request (7, 70);

  assert_int_equal (claim (f, f->a, 5, 50), MT_ONCE_GRANTED);
  mt_once_request (f->a, &request);
  mt_once_add_end (f->b, &released);
  assert_int_equal (claim (f, f->b, 7, 71), MT_ONCE_GRANTED);
  mt_once_end (f->b, released.key, attempt, MT_ONCE_END_RELEASED, 0);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run_calls (f, f->b);
  run_calls (f, f->a);
  assert_int_equal (request.result, MT_ONCE_UNAVAILABLE);
  assert_int_equal (claim (f, f->b, 7, 72), MT_ONCE_GRANTED);
}

/* While a batch of the log is missing or not readable, no claim of the shard may be granted. */
static void
test_unreadable_log_grants_nothing (void **state)
{
  struct fixture *f = *state;

  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000000", "not a batch");
  assert_int_equal (claim (f, f->a, 7, 70), MT_ONCE_UNAVAILABLE);
  assert_non_null (mt_once_read_error (f->a));
  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000000", NULL);
  mt_clock_manual_advance (f->manual, 2 * MT_SECOND);
  assert_int_equal (claim (f, f->a, 7, 71), MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->a, 8, 80), MT_ONCE_GRANTED);
  assert_int_equal (claim (f, f->a, 9, 90), MT_ONCE_GRANTED);
  fake_store_force (f->fake, MT_ONCE_PREFIX "000/000000000001", NULL);
  assert_int_equal (claim (f, f->b, 8, 81), MT_ONCE_UNAVAILABLE);
}

static void
test_many_claims_share_one_write (void **state)
{
  struct fixture *f = *state;
  struct mt_once_request requests[50];

  f->bucket = (struct mt_token_bucket){ .interval_us = MT_SECOND, .burst = 1 };
  assert_int_equal (claim (f, f->a, 999, 1), MT_ONCE_GRANTED);
  for (uint64_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      requests[i] = make_request (i, i + 100);
      mt_once_request (f->a, &requests[i]);
      run_calls (f, f->a);
    }
  assert_int_equal (requests[0].result, MT_ONCE_PENDING);
  mt_clock_manual_advance (f->manual, MT_SECOND);
  run_calls (f, f->a);
  assert_int_equal (requests[49].result, MT_ONCE_GRANTED);
  assert_int_equal (fake_store_writes (f->fake), 2);
}

static void
test_memory_is_bounded (void **state)
{
  struct fixture *f = *state;

  mt_once_set_free_capacity (f->a, 1);
  assert_int_equal (claim (f, f->a, 1, 1), MT_ONCE_GRANTED);
  mt_once_set_free_capacity (f->a, 0);
  assert_int_equal (claim (f, f->a, 2, 2), MT_ONCE_UNAVAILABLE);
  assert_int_equal (claim (f, f->b, 2, 3), MT_ONCE_GRANTED);
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
  bytes[1] = 2; /* an unknown format version */
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
    cmocka_unit_test_setup_teardown (test_losing_writer_answers_running, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_write_with_lost_response_is_read_back, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_late_write_of_refused_claim_is_released, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_claim_of_dead_holder_stays, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_end_and_status_are_reported, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_writer_paused_past_trim_is_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_idle_view_is_checked_against_floor, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_views_trimmed_at_different_times_agree, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_wall_clock_jump_trims_no_recent_batches, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_release_frees_only_its_own_attempt, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_released_claim_is_not_written_later, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_unreadable_log_grants_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_many_claims_share_one_write, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_memory_is_bounded, set_up, tear_down),
    cmocka_unit_test (test_batches_are_bounded_and_checked),
    cmocka_unit_test (test_dated_keys_expire),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
