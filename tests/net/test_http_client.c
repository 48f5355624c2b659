#include "http_exchange.h"

#include "address.h"
#include "medlartrack/error.h"
#include "scripted.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define MAX_ANSWER_BYTES 1000

struct fixture
{
  struct mt_http_client *client;
  struct mt_http_exchanges *exchanges;
  struct scripted *minion;
  struct mt_arena *arena;
  struct mt_http_answer answer;
  GMutex lock; /* guards the fields below */
  GCond changed;
  unsigned completions;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->client = mt_http_client_create (mt_clock_system ());
  f->exchanges = mt_http_exchanges_create (f->client, mt_clock_system (), 4, 1000 * 1000);
  f->minion = scripted_create ();
  f->arena = mt_arena_create (0);
  g_mutex_init (&f->lock);
  g_cond_init (&f->changed);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_http_exchanges_destroy (f->exchanges);
  mt_http_client_destroy (f->client);
  scripted_destroy (f->minion);
  mt_arena_destroy (f->arena);
  g_free (f);
  return 0;
}

static struct mt_http_call
make_call (struct mt_str id, bool new_connection, int64_t timeout_us)
{
  return (struct mt_http_call){ .method = "POST",
                                .path = "/invoices",
                                .body = MT_STR ("x"),
                                .new_connection = new_connection,
                                .id = id,
                                .deadline_us = mt_clock_now (mt_clock_system ()) + timeout_us,
                                .max_answer_bytes = MAX_ANSWER_BYTES };
}

static enum mt_http_outcome
send_call (struct fixture *f, struct mt_str id, bool new_connection)
{
  struct mt_http_call call = make_call (id, new_connection, 20 * MT_SECOND);
  g_autoptr (GError) error = NULL;

  return mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena, &f->answer,
                              &error);
}

static void
assert_body (struct fixture *f, const char *body)
{
  assert_true (mt_str_equal (f->answer.body, mt_str_from (body)));
}

/* The answer to HEAD has the Content-Length of the answer to GET, but no body. */
static void
test_head_answer_keeps_content_length (void **state)
{
  struct fixture *f = *state;
  const enum script script = SCRIPT_HEAD;
  struct mt_http_call call = make_call (MT_STR ("a"), true, 20 * MT_SECOND);

  scripted_set_scripts (f->minion, &script, 1);
  call.method = "HEAD";
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  assert_int_equal (f->answer.content_length, 1234);
  assert_int_equal (f->answer.body.len, 0);
}

static void
test_refused_connection_is_not_sent (void **state)
{
  struct fixture *f = *state;

  scripted_shut_down (f->minion);
  assert_int_equal (send_call (f, MT_STR ("a"), false), MT_HTTP_NOT_SENT);
  assert_int_equal (send_call (f, MT_STR ("b"), true), MT_HTTP_NOT_SENT);
}

/* The minion's machine has vanished without a reset, so the connection is never established.
 * Nothing can have been sent, so the request may be retried elsewhere. Simulated by a full listen
 * backlog, where the kernel drops connection attempts. */
static void
test_connect_timeout_is_not_sent (void **state)
{
  struct fixture *f = *state;
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct mt_http_call call = make_call (MT_STR ("a"), true, 20 * MT_SECOND);
  g_autofree char *address = NULL;
  int filling[4];

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (listener, (struct sockaddr *) &addr, sizeof addr), 0);
  assert_int_equal (listen (listener, 0), 0);
  address = g_strdup_printf ("127.0.0.1:%u", mt_address_bound_port (listener));
  assert_true (mt_address_parse (address, &addr, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (filling); i++)
    {
      filling[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      if (connect (filling[i], (struct sockaddr *) &addr, sizeof addr) != 0)
        assert_int_equal (errno, EINPROGRESS);
    }
  assert_int_equal (mt_http_client_call (f->client, address, &call, f->arena, &f->answer, NULL),
                    MT_HTTP_NOT_SENT);
  for (size_t i = 0; i < G_N_ELEMENTS (filling); i++)
    close (filling[i]);
  close (listener);
}

/* The minion's process ends after one answer. The second request is written to the kept connection,
 * and may have been read, before neon fails to reconnect. The outcome must be "unknown": the
 * failure to connect proves nothing about the bytes written before. */
static void
test_failed_reconnect_is_unknown (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (send_call (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  scripted_shut_down (f->minion);
  assert_int_equal (send_call (f, MT_STR ("b"), false), MT_HTTP_UNKNOWN);
}

/* Guards against running a request twice: the minion reads the complete request, then closes. On a
 * kept connection neon sends it again, as the last lines show; a request that must not be repeated
 * is received only once, even if a kept connection is available. */
static void
test_request_on_new_connection_is_sent_once (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_COMPLETE, SCRIPT_CLOSE };

  scripted_set_scripts (f->minion, scripts, 2);
  assert_int_equal (send_call (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  assert_int_equal (send_call (f, MT_STR ("b"), true), MT_HTTP_UNKNOWN);
  assert_int_equal (scripted_requests (f->minion), 2);
  assert_int_equal (send_call (f, MT_STR ("c"), false), MT_HTTP_UNKNOWN);
  assert_int_equal (scripted_requests (f->minion), 4);
}

/* The caller gets no part of an invalid answer, and the next request gets its own complete one. */
static void
test_invalid_answers_are_unknown (void **state)
{
  struct fixture *f = *state;
  const enum script invalid[]
      = { SCRIPT_TRUNCATED, SCRIPT_WRONG_ID, SCRIPT_OVERSIZED, SCRIPT_CLOSE, SCRIPT_UNDELIMITED };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      const enum script scripts[] = { invalid[i], SCRIPT_COMPLETE };

      scripted_set_scripts (f->minion, scripts, 2);
      assert_int_equal (send_call (f, MT_STR ("a"), true), MT_HTTP_UNKNOWN);
      assert_int_equal (send_call (f, MT_STR ("b"), true), MT_HTTP_COMPLETE);
    }
  assert_true (mt_arena_used (f->arena) < 1000 * 1000);
}

/* The minion sends its answer twice. The second copy is waiting in the connection when the next
 * request is sent, and must not be taken for that request's answer. */
static void
test_duplicated_answer_is_not_reused (void **state)
{
  struct fixture *f = *state;
  const enum script with_id[] = { SCRIPT_DUPLICATE, SCRIPT_COMPLETE };
  const enum script without_id[] = { SCRIPT_DUPLICATE_WITHOUT_ID, SCRIPT_COMPLETE };

  scripted_set_scripts (f->minion, with_id, 2);
  assert_int_equal (send_call (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  assert_int_equal (send_call (f, MT_STR ("b"), false), MT_HTTP_UNKNOWN);
  /* The minion may still read b on the closed connection: b must not use the next scripts. */
  scripted_wait_for_connections (f->minion, 0);
  scripted_set_scripts (f->minion, without_id, 2);
  assert_int_equal (send_call (f, MT_STR ("c"), false), MT_HTTP_COMPLETE);
  assert_body (f, "ok c");
  assert_int_equal (send_call (f, MT_STR ("d"), false), MT_HTTP_COMPLETE);
  assert_body (f, "ok d");
}

/* With a limit of one connection to the minion, an idle one is kept. A request that needs a new
 * connection replaces it, so the minion never has two kept ones. */
static void
test_connections_are_limited (void **state)
{
  struct fixture *f = *state;
  struct mt_http_call call = make_call (MT_STR ("a"), false, 20 * MT_SECOND);

  call.max_connections = 1;
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  scripted_wait_for_connections (f->minion, 1);
  call.new_connection = true;
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  scripted_wait_for_connections (f->minion, 0);
}

static void
count_completion (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  struct fixture *f = ctx;

  g_mutex_lock (&f->lock);
  f->completions++;
  g_cond_signal (&f->changed);
  g_mutex_unlock (&f->lock);
}

static enum mt_http_outcome
exchange (struct fixture *f, struct mt_str id, int64_t timeout_us, GError **error)
{
  struct mt_http_call call = make_call (id, false, timeout_us);

  return mt_http_exchanges_call (f->exchanges, scripted_address (f->minion), &call,
                                 (struct mt_http_completion){ count_completion, f }, f->arena,
                                 &f->answer, error);
}

/* One route allows 1 s, another 20 s, and the minion takes 3 s. neon sets a connection's timeout
 * when opening it: the timeout of the first request must not cut off the second one. */
static void
test_short_deadline_does_not_limit_later_requests (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_COMPLETE, SCRIPT_SLOW };

  scripted_set_scripts (f->minion, scripts, 2);
  assert_int_equal (exchange (f, MT_STR ("a"), MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_int_equal (exchange (f, MT_STR ("b"), 20 * MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_int_equal (f->completions, 2);
}

/* The minion answers only after the caller got "unknown" at its deadline. The completion is called
 * when the late answer arrives, not before, and the next request does not get that answer. */
static void
test_late_answer_is_discarded (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_HELD, SCRIPT_COMPLETE };
  g_autoptr (GError) error = NULL;

  scripted_set_scripts (f->minion, scripts, 2);
  assert_int_equal (exchange (f, MT_STR ("a"), 200 * MT_MS, &error), MT_HTTP_UNKNOWN);
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_TIMEOUT));
  g_mutex_lock (&f->lock);
  assert_int_equal (f->completions, 0);
  g_mutex_unlock (&f->lock);
  assert_int_equal (exchange (f, MT_STR ("b"), 20 * MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_body (f, "ok b");
  scripted_release (f->minion);
  g_mutex_lock (&f->lock);
  while (f->completions < 2)
    g_cond_wait (&f->changed, &f->lock);
  g_mutex_unlock (&f->lock);
}

static gpointer
send_held_call (gpointer ctx)
{
  struct fixture *f = ctx;
  struct mt_http_call call = make_call (MT_STR ("held"), false, 20 * MT_SECOND);
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;

  assert_int_equal (
      mt_http_client_call (f->client, scripted_address (f->minion), &call, arena, &answer, NULL),
      MT_HTTP_COMPLETE);
  mt_arena_destroy (arena);
  return NULL;
}

/* Guards against one time-out for each idle connection, when all connections to a minion have
 * fallen silent together. */
static void
test_time_out_closes_idle_connections (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_HELD, SCRIPT_HELD, SCRIPT_SLOW };
  struct mt_http_call call = make_call (MT_STR ("a"), false, MT_SECOND);
  GThread *threads[2];

  scripted_set_scripts (f->minion, scripts, 3);
  for (unsigned i = 0; i < G_N_ELEMENTS (threads); i++)
    threads[i] = g_thread_new ("caller", send_held_call, f);
  scripted_wait_for_connections (f->minion, 2);
  scripted_release (f->minion);
  for (unsigned i = 0; i < G_N_ELEMENTS (threads); i++)
    g_thread_join (threads[i]);
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_UNKNOWN);
  scripted_wait_for_connections (f->minion, 0);
}

/* An answer that exceeds the request's memory limit gives a typed error, and leaks nothing. */
static void
test_answer_beyond_memory_limit_fails (void **state)
{
  struct fixture *f = *state;
  struct mt_arena *small = mt_arena_create (64);
  g_autoptr (GError) error = NULL;

  mt_arena_destroy (f->arena);
  f->arena = small;
  assert_int_equal (exchange (f, MT_STR ("a"), 20 * MT_SECOND, &error), MT_HTTP_UNKNOWN);
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_LIMIT));
  assert_int_equal (f->completions, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_refused_connection_is_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_head_answer_keeps_content_length, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_connect_timeout_is_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_failed_reconnect_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_request_on_new_connection_is_sent_once, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_invalid_answers_are_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_duplicated_answer_is_not_reused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_connections_are_limited, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_short_deadline_does_not_limit_later_requests, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_late_answer_is_discarded, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_time_out_closes_idle_connections, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_answer_beyond_memory_limit_fails, set_up, tear_down),
  };

  return cmocka_run_group_tests_name ("http-client", tests, NULL, NULL);
}
