#include "store_wait.h"

#include "journal.h"
#include "loop.h"

#include <event2/event.h>
#include <fcntl.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#define MAX_WAIT_MS 60000 /* longer than any wait here: other limits decide */

/* A front end whose store the test takes away. */
struct fixture
{
  struct event_base *base;
  struct mt_journal *journal;
  int fd;
  struct mt_store_wait *wait;
  bool answers;
  unsigned released;
  unsigned refused;
  unsigned dropped;
};

static bool
store_answers (void *ctx)
{
  return ((struct fixture *) ctx)->answers;
}

static bool
store_is_down (void *ctx)
{
  return true;
}

static void
on_release (void *ctx, void *submission)
{
  ((struct fixture *) ctx)->released++;
}

static void
on_refuse (void *ctx, void *submission)
{
  ((struct fixture *) ctx)->refused++;
}

static void
on_drop (void *submission)
{
  ((struct fixture *) submission)->dropped++;
}

static struct fixture *
create_fixture (void)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_store_wait_options options = { .max_wait_ms = MAX_WAIT_MS,
                                           .store_answers = store_answers,
                                           .store_is_down = store_is_down,
                                           .release = on_release,
                                           .refuse = on_refuse,
                                           .ctx = f };

  f->base = event_base_new ();
  f->fd = open ("/dev/null", O_WRONLY);
  f->journal = options.journal = mt_journal_create (f->fd, "d1");
  f->wait = mt_store_wait_create (f->base, &options);
  assert_false (mt_store_wait_store_answers (f->wait));
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_store_wait_destroy (f->wait, on_drop);
  mt_journal_destroy (f->journal);
  close (f->fd);
  event_base_free (f->base);
  g_free (f);
}

static bool
add (struct fixture *f, size_t bytes, int64_t wait_ms)
{
  struct mt_retry_request request = { .remaining_ms = wait_ms };

  return mt_store_wait_add (f->wait, f, bytes, &request, mt_loop_now () + wait_ms);
}

static void
run_until (struct fixture *f, const unsigned *count, unsigned expected)
{
  while (*count < expected)
    event_base_loop (f->base, EVLOOP_ONCE);
}

/* Guards against callers that are refused although the store is back within their time. */
static void
test_submission_is_released_when_the_store_is_back (void **state)
{
  struct fixture *f = create_fixture ();

  assert_true (add (f, 100, MAX_WAIT_MS));
  event_base_loop (f->base, EVLOOP_ONCE);
  assert_int_equal (f->released + f->refused, 0);
  f->answers = true;
  run_until (f, &f->released, 1);
  assert_int_equal (f->refused, 0);
  assert_int_equal (mt_store_wait_away_ms (f->wait), 0);
  destroy_fixture (f);
}

/* Guards against submissions that are held although the outage is expected to outlast their time,
 * which is known at once or once the outage is longer than expected. */
static void
test_submission_is_refused_once_its_time_is_too_short (void **state)
{
  struct fixture *f = create_fixture ();

  assert_false (add (f, 100, 300));
  assert_true (add (f, 100, 2300));
  assert_true (add (f, 100, MAX_WAIT_MS));
  run_until (f, &f->refused, 1);
  assert_int_equal (f->released, 0);
  f->answers = true;
  run_until (f, &f->released, 1);
  assert_int_equal (f->refused, 1);
  destroy_fixture (f);
}

/* Guards against a daemon that runs out of memory for waiting submissions. */
static void
test_waiting_submissions_are_limited (void **state)
{
  struct fixture *f = create_fixture ();

  for (unsigned i = 0; i < 256; i++)
    assert_true (add (f, 100, MAX_WAIT_MS));
  assert_false (add (f, 100, MAX_WAIT_MS));
  f->answers = true;
  run_until (f, &f->released, 256);
  f->answers = false;
  assert_false (mt_store_wait_store_answers (f->wait));
  assert_true (add (f, 1024 * 1024 - 100, MAX_WAIT_MS));
  assert_false (add (f, 200, MAX_WAIT_MS));
  assert_true (add (f, 100, MAX_WAIT_MS));
  mt_store_wait_destroy (f->wait, on_drop);
  f->wait = NULL;
  assert_int_equal (f->dropped, 2);
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_submission_is_released_when_the_store_is_back),
    cmocka_unit_test (test_submission_is_refused_once_its_time_is_too_short),
    cmocka_unit_test (test_waiting_submissions_are_limited),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
