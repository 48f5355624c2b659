/* At-most-once requests with real processes: two daemons, one minion that counts its runs, one
 * platform. */
#include "harness.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define BODY   "{\"order\":4711}"
#define LIMITS "{\"platform_ms\":300,\"stop_linger_ms\":0}"

static const char *build;

struct fixture
{
  struct harness *harness;
  struct process *platform;
  struct process *minion;
  struct process *daemons[2];
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->harness = harness_create (build);
  f->platform = harness_start_platform (f->harness);
  f->minion = harness_start_minion (f->harness, "m", 50);
  f->daemons[0] = harness_start_daemon (f->harness, "a", f->platform, LIMITS);
  f->daemons[1] = harness_start_daemon (f->harness, "b", f->platform, LIMITS);
  harness_apply_tables (f->harness, f->platform, f->minion, f->daemons, 2);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  harness_destroy (f->harness);
  g_free (f);
  return 0;
}

static void
set_fault (struct fixture *f, const struct process *process, const char *fault)
{
  assert_int_equal (harness_status (f->harness, process, "PUT", "/fault", NULL, fault), 200);
}

static struct async_request *
send_once_async (struct fixture *f, int daemon, const char *key)
{
  return harness_send_async (f->harness, f->daemons[daemon], "POST", "/once", key, BODY);
}

static int
send_once (struct fixture *f, int daemon, const char *key)
{
  return harness_status (f->harness, f->daemons[daemon], "POST", "/once", key, BODY);
}

static int
join_status (struct async_request *request)
{
  struct reply reply = harness_join (request);
  int status = reply.status;

  reply_clear (&reply);
  return status;
}

/* The caller sends one invoice to two daemons at once, twenty times. Each time one daemon runs
 * it; the other, which loses the race for the claim, answers 409. */
static void
test_same_invoice_at_two_daemons (void **state)
{
  struct fixture *f = *state;

  for (int i = 0; i < 20; i++)
    {
      g_autofree char *key = g_strdup_printf ("invoice-%d", i);
      struct async_request *a = send_once_async (f, 0, key);
      struct async_request *b = send_once_async (f, 1, key);
      int first = join_status (a);
      int second = join_status (b);

      assert_int_equal (first + second, 200 + 409);
      assert_int_equal (harness_count_runs (f->harness, f->minion, key), 1);
    }
}

static void
test_key_is_required (void **state)
{
  struct fixture *f = *state;

  int before = harness_count_runs (f->harness, f->minion, "(none)");

  assert_int_equal (send_once (f, 0, NULL), 400);
  assert_int_equal (harness_count_runs (f->harness, f->minion, "(none)"), before);
}

struct invoice
{
  struct fixture *f;
  const char *key;
};

static bool
has_run (void *ctx)
{
  struct invoice *invoice = ctx;

  return harness_count_runs (invoice->f->harness, invoice->f->minion, invoice->key) > 0;
}

static bool
outcome_is_unknown (void *ctx)
{
  struct invoice *invoice = ctx;
  struct reply reply = harness_send (invoice->f->harness, invoice->f->daemons[1], "POST", "/once",
                                     invoice->key, BODY);
  bool lost = reply.status == 504 && g_strcmp0 (reply.outcome, "unknown") == 0;

  assert_true (lost || reply.status == 409);
  reply_clear (&reply);
  return lost;
}

/* A daemon is killed while its minion processes an invoice: the connection of the caller breaks.
 * The caller retries at the other daemon, which finds the claim without an outcome: it answers
 * 409 until the deadline of the dead daemon has passed, then 504 "unknown". The invoice never
 * runs a second time. */
static void
test_daemon_killed_in_flight (void **state)
{
  struct fixture *f = *state;
  struct invoice invoice = { f, "invoice-killed" };
  struct async_request *request;

  set_fault (f, f->minion, "{\"mode\":\"none\",\"times\":1,\"delay_ms\":1000}");
  request = send_once_async (f, 0, invoice.key);
  assert_true (harness_wait (has_run, &invoice));
  harness_kill (f->daemons[0]);
  assert_int_equal (join_status (request), 0);
  assert_int_equal (send_once (f, 1, invoice.key), 409);
  assert_true (harness_wait (outcome_is_unknown, &invoice));
  assert_int_equal (harness_count_runs (f->harness, f->minion, invoice.key), 1);
}

static bool
completes (void *ctx)
{
  struct invoice *invoice = ctx;

  return send_once (invoice->f, 0, invoice->key) == 200;
}

/* The platform is down and no claim can be committed. Callers are refused at once with
 * "not-run", and repeatable requests are still served. Once the platform is up again, a request
 * with the same key runs. */
static void
test_platform_down (void **state)
{
  struct fixture *f = *state;
  struct invoice invoice = { f, "invoice-down" };
  struct reply reply;

  set_fault (f, f->platform, "{\"down\":true}");
  for (int i = 0; i < 4; i++)
    {
      reply = harness_send (f->harness, f->daemons[i % 2], "POST", "/once", invoice.key, BODY);
      assert_int_equal (reply.status, 503);
      assert_string_equal (reply.outcome, "not-run");
      reply_clear (&reply);
    }
  assert_int_equal (harness_status (f->harness, f->daemons[0], "GET", "/safe", NULL, NULL), 200);
  assert_int_equal (harness_count_runs (f->harness, f->minion, invoice.key), 0);
  set_fault (f, f->platform, "{}");
  assert_true (harness_wait (completes, &invoice));
  assert_int_equal (harness_count_runs (f->harness, f->minion, invoice.key), 1);
}

/* The platform executes each write and loses the answer. The daemon reads its batch back and
 * continues; the caller gets its answer, and at the other daemon its key is taken. */
static void
test_platform_loses_answers (void **state)
{
  struct fixture *f = *state;

  for (int i = 0; i < 5; i++)
    {
      g_autofree char *key = g_strdup_printf ("invoice-lost-%d", i);
      int status;

      set_fault (f, f->platform, "{\"lose_answers\":1}");
      status = send_once (f, 0, key);
      assert_true (status == 200 || status == 503);
      assert_true (harness_count_runs (f->harness, f->minion, key) == (status == 200));
      if (status == 200)
        assert_int_equal (send_once (f, 1, key), 409);
      assert_true (harness_count_runs (f->harness, f->minion, key) <= 1);
    }
}

/* The platform answers after the call timeout, so the outcome of every claim is unknown. Callers
 * are refused with "not-run". When the platform is fast again, no refused request has run, its
 * claims are found and released, and the next retry runs. */
static void
test_platform_slow (void **state)
{
  struct fixture *f = *state;
  struct invoice invoice = { f, "invoice-slow" };

  set_fault (f, f->platform, "{\"slow_ms\":3000}");
  assert_int_equal (send_once (f, 0, invoice.key), 503);
  assert_int_equal (send_once (f, 0, invoice.key), 503);
  assert_int_equal (harness_count_runs (f->harness, f->minion, invoice.key), 0);
  set_fault (f, f->platform, "{}");
  assert_true (harness_wait (completes, &invoice));
  assert_int_equal (harness_count_runs (f->harness, f->minion, invoice.key), 1);
}

static bool
is_settled (void *ctx)
{
  struct invoice *invoice = ctx;
  int status = send_once (invoice->f, 0, invoice->key);

  assert_true (status == 200 || status == 409 || status == 503);
  return status == 200 || (status == 409 && has_run (ctx));
}

/* One of two daemons is suspended (SIGSTOP) and owns the shards of half of the keys. The other
 * hands their claims to it, gets no reply, and either releases and commits them itself or
 * refuses the request with "not-run". The suspended daemon resumes while it still holds claims.
 * Each key runs once, and none stays blocked. */
static void
test_owner_suspended_and_resumed (void **state)
{
  struct fixture *f = *state;
  int statuses[16];

  harness_signal (f->daemons[1], SIGSTOP);
  for (int i = 0; i < 16; i++)
    {
      g_autofree char *key = g_strdup_printf ("invoice-stopped-%d", i);

      statuses[i] = send_once (f, 0, key);
      assert_true (statuses[i] == 200 || statuses[i] == 503);
      assert_int_equal (harness_count_runs (f->harness, f->minion, key), statuses[i] == 200);
    }
  harness_signal (f->daemons[1], SIGCONT);
  for (int i = 0; i < 16; i++)
    {
      g_autofree char *key = g_strdup_printf ("invoice-stopped-%d", i);
      struct invoice invoice = { f, key };

      assert_true (harness_wait (is_settled, &invoice));
      assert_int_equal (harness_count_runs (f->harness, f->minion, key), 1);
    }
}

static bool
is_serving (void *ctx)
{
  struct fixture *f = ctx;

  return harness_status (f->harness, f->daemons[1], "GET", "/safe", NULL, NULL) == 200;
}

static bool
is_recorded_as_answered (void *ctx)
{
  struct invoice *invoice = ctx;
  struct reply reply = harness_send (invoice->f->harness, invoice->f->daemons[1], "POST", "/once",
                                     invoice->key, BODY);
  bool answered = reply.body != NULL && strstr (reply.body, "was answered 200") != NULL;

  assert_int_equal (reply.status, 409);
  assert_string_equal (reply.outcome, "duplicate");
  reply_clear (&reply);
  return answered;
}

/* A daemon answers an invoice and receives SIGTERM at once, before the outcome is recorded. It
 * records the outcome on shutdown, or hands it over: a retry at the other daemon is answered
 * "running" for a moment at most, then that the invoice was answered, and never "unknown". */
static void
test_stopped_daemon_records_outcomes (void **state)
{
  struct fixture *f = *state;
  struct invoice invoice = { f, "invoice-stop" };

  assert_int_equal (send_once (f, 0, invoice.key), 200);
  assert_int_equal (harness_stop (f->daemons[0]), 0);
  assert_true (harness_wait (is_recorded_as_answered, &invoice));
}

/* The last daemon is stopped before the outcome of an invoice is recorded, with no other daemon
 * to hand it to: it records the outcome before it exits. The next daemon that starts answers
 * that the invoice was answered. */
static void
test_last_daemon_records_outcomes (void **state)
{
  struct fixture *f = *state;
  struct invoice invoice = { f, "invoice-last" };

  harness_kill (f->daemons[1]);
  assert_int_equal (send_once (f, 0, invoice.key), 200);
  assert_int_equal (harness_stop (f->daemons[0]), 0);
  f->daemons[1] = harness_start_daemon (f->harness, "c", f->platform, LIMITS);
  assert_true (harness_wait (is_serving, f));
  assert_true (harness_wait (is_recorded_as_answered, &invoice));
}

/* The minion accepts the invoice and closes the connection without an answer. The outcome is
 * unknown, and the invoice is never resent: not by neon, not by this daemon, not by the other. */
static void
test_minion_drops_the_answer (void **state)
{
  struct fixture *f = *state;

  set_fault (f, f->minion, "{\"mode\":\"drop\",\"times\":1}");
  assert_int_equal (send_once (f, 0, "invoice-dropped"), 504);
  assert_int_not_equal (send_once (f, 1, "invoice-dropped"), 200);
  assert_int_not_equal (send_once (f, 0, "invoice-dropped"), 200);
  assert_int_equal (harness_count_runs (f->harness, f->minion, "invoice-dropped"), 1);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_same_invoice_at_two_daemons, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_key_is_required, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_daemon_killed_in_flight, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_platform_down, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_platform_loses_answers, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_platform_slow, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_owner_suspended_and_resumed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_stopped_daemon_records_outcomes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_last_daemon_records_outcomes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_minion_drops_the_answer, set_up, tear_down),
  };

  build = argc > 1 ? argv[1] : "build";
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
