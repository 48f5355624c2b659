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

#define MAX_ANSWER 1000

struct fixture
{
  struct mt_http_client *client;
  struct mt_http_exchanges *exchanges;
  struct scripted *minion;
  struct mt_arena *arena;
  struct mt_http_answer answer;
  GMutex lock; /* guards all below */
  GCond changed;
  unsigned ended;
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
make_call (struct mt_str id, bool fresh, int64_t within_us)
{
  return (struct mt_http_call){ .method = "POST",
                                .path = "/invoices",
                                .body = MT_STR ("x"),
                                .new_connection = fresh,
                                .id = id,
                                .deadline_us = mt_clock_now (mt_clock_system ()) + within_us,
                                .max_answer_bytes = MAX_ANSWER };
}

static enum mt_http_outcome
ask (struct fixture *f, struct mt_str id, bool fresh)
{
  struct mt_http_call call = make_call (id, fresh, 20 * MT_SECOND);
  g_autoptr (GError) error = NULL;

  return mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena, &f->answer,
                              &error);
}

static void
assert_body (struct fixture *f, const char *body)
{
  assert_true (mt_str_equal (f->answer.body, mt_str_from (body)));
}

/* The answer to HEAD has the length of what GET would get, and no body. */
static void
test_head_keeps_the_length (void **state)
{
  struct fixture *f = *state;
  const enum script head = SCRIPT_HEAD;
  struct mt_http_call call = make_call (MT_STR ("a"), true, 20 * MT_SECOND);

  scripted_play (f->minion, &head, 1);
  call.method = "HEAD";
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  assert_int_equal (f->answer.content_length, 1234);
  assert_int_equal (f->answer.body.len, 0);
}

static void
test_nobody_listens_is_not_sent (void **state)
{
  struct fixture *f = *state;

  scripted_vanish (f->minion);
  assert_int_equal (ask (f, MT_STR ("a"), false), MT_HTTP_NOT_SENT);
  assert_int_equal (ask (f, MT_STR ("b"), true), MT_HTTP_NOT_SENT);
}

/* The minion's machine is gone without a word: the connection is never set up. Nothing can have
 * been sent, so the request may go elsewhere. A full backlog, in which the kernel drops what comes,
 * stands in for the machine. */
static void
test_silent_machine_is_not_sent (void **state)
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

/* The minion answers one request, then its process is gone. The second request is written into the
 * kept connection, which may have been read; neon then fails to connect again. The caller must hear
 * "unknown": the failure to connect proves nothing about the bytes written before. */
static void
test_failed_reconnect_is_unknown (void **state)
{
  struct fixture *f = *state;

  assert_int_equal (ask (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  scripted_vanish (f->minion);
  assert_int_equal (ask (f, MT_STR ("b"), false), MT_HTTP_UNKNOWN);
}

/* The worst moment: the minion has read the whole request, and closes. On a kept connection neon
 * sends it again by itself, as the last lines show; a request that may not be repeated is read
 * once, though a kept connection lies ready. */
static void
test_fresh_request_is_read_once (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_WHOLE, SCRIPT_CLOSE };

  scripted_play (f->minion, scripts, 2);
  assert_int_equal (ask (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  assert_int_equal (ask (f, MT_STR ("b"), true), MT_HTTP_UNKNOWN);
  assert_int_equal (scripted_requests (f->minion), 2);
  assert_int_equal (ask (f, MT_STR ("c"), false), MT_HTTP_UNKNOWN);
  assert_int_equal (scripted_requests (f->minion), 4);
}

/* The caller sees no part of a broken answer, and the next request gets its own whole one. */
static void
test_broken_answers_are_unknown (void **state)
{
  struct fixture *f = *state;
  const enum script broken[]
      = { SCRIPT_CUT, SCRIPT_CROSSED, SCRIPT_OVERSIZED, SCRIPT_CLOSE, SCRIPT_UNDELIMITED };

  for (size_t i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      const enum script scripts[] = { broken[i], SCRIPT_WHOLE };

      scripted_play (f->minion, scripts, 2);
      assert_int_equal (ask (f, MT_STR ("a"), true), MT_HTTP_UNKNOWN);
      assert_int_equal (ask (f, MT_STR ("b"), true), MT_HTTP_COMPLETE);
    }
  assert_true (mt_arena_used (f->arena) < 1000 * 1000);
}

/* The minion sends its answer twice. The second copy lies in the connection when the next request
 * goes out: that one must never be answered with it. */
static void
test_answer_sent_twice_meets_nobody (void **state)
{
  struct fixture *f = *state;
  const enum script with_id[] = { SCRIPT_TWICE, SCRIPT_WHOLE };
  const enum script bare[] = { SCRIPT_TWICE_BARE, SCRIPT_WHOLE };

  scripted_play (f->minion, with_id, 2);
  assert_int_equal (ask (f, MT_STR ("a"), false), MT_HTTP_COMPLETE);
  assert_int_equal (ask (f, MT_STR ("b"), false), MT_HTTP_UNKNOWN);
  /* The minion may still read b on the closed connection: the scripts to come are not for it. */
  scripted_wait_for_open (f->minion, 0);
  scripted_play (f->minion, bare, 2);
  assert_int_equal (ask (f, MT_STR ("c"), false), MT_HTTP_COMPLETE);
  assert_body (f, "ok c");
  assert_int_equal (ask (f, MT_STR ("d"), false), MT_HTTP_COMPLETE);
  assert_body (f, "ok d");
}

/* This daemon may hold one connection to the minion, and an idle one is kept. A request that needs
 * a fresh one takes its place: the minion never sees two kept. */
static void
test_connections_are_bounded (void **state)
{
  struct fixture *f = *state;
  struct mt_http_call call = make_call (MT_STR ("a"), false, 20 * MT_SECOND);

  call.max_connections = 1;
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  scripted_wait_for_open (f->minion, 1);
  call.new_connection = true;
  assert_int_equal (mt_http_client_call (f->client, scripted_address (f->minion), &call, f->arena,
                                         &f->answer, NULL),
                    MT_HTTP_COMPLETE);
  scripted_wait_for_open (f->minion, 0);
}

static void
count_end (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  struct fixture *f = ctx;

  g_mutex_lock (&f->lock);
  f->ended++;
  g_cond_signal (&f->changed);
  g_mutex_unlock (&f->lock);
}

static enum mt_http_outcome
exchange (struct fixture *f, struct mt_str id, int64_t within_us, GError **error)
{
  struct mt_http_call call = make_call (id, false, within_us);

  return mt_http_exchanges_call (f->exchanges, scripted_address (f->minion), &call,
                                 (struct mt_http_completion){ count_end, f }, f->arena, &f->answer,
                                 error);
}

/* One route allows a second, another twenty; the minion takes three. neon keeps a connection's
 * timeout as it was when it was opened: the second request must not be cut by the first one's. */
static void
test_short_deadline_cuts_no_later_request (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_WHOLE, SCRIPT_PATIENT };

  scripted_play (f->minion, scripts, 2);
  assert_int_equal (exchange (f, MT_STR ("a"), MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_int_equal (exchange (f, MT_STR ("b"), 20 * MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_int_equal (f->ended, 2);
}

/* The minion answers only after the caller was told "unknown" at its deadline. The slot is given
 * back when the late answer came, not before, and the next request does not meet that answer. */
static void
test_late_answer (void **state)
{
  struct fixture *f = *state;
  const enum script scripts[] = { SCRIPT_HELD, SCRIPT_WHOLE };
  g_autoptr (GError) error = NULL;

  scripted_play (f->minion, scripts, 2);
  assert_int_equal (exchange (f, MT_STR ("a"), 200 * MT_MS, &error), MT_HTTP_UNKNOWN);
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_TIMEOUT));
  g_mutex_lock (&f->lock);
  assert_int_equal (f->ended, 0);
  g_mutex_unlock (&f->lock);
  assert_int_equal (exchange (f, MT_STR ("b"), 20 * MT_SECOND, NULL), MT_HTTP_COMPLETE);
  assert_body (f, "ok b");
  scripted_release (f->minion);
  g_mutex_lock (&f->lock);
  while (f->ended < 2)
    g_cond_wait (&f->changed, &f->lock);
  g_mutex_unlock (&f->lock);
}

/* The request's memory can't hold the answer: the outcome is typed, nothing leaks. */
static void
test_answer_beyond_memory (void **state)
{
  struct fixture *f = *state;
  struct mt_arena *small = mt_arena_create (64);
  g_autoptr (GError) error = NULL;

  mt_arena_destroy (f->arena);
  f->arena = small;
  assert_int_equal (exchange (f, MT_STR ("a"), 20 * MT_SECOND, &error), MT_HTTP_UNKNOWN);
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_LIMIT));
  assert_int_equal (f->ended, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_nobody_listens_is_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_head_keeps_the_length, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_silent_machine_is_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_failed_reconnect_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_fresh_request_is_read_once, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_broken_answers_are_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_answer_sent_twice_meets_nobody, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_connections_are_bounded, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_short_deadline_cuts_no_later_request, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_late_answer, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_answer_beyond_memory, set_up, tear_down),
  };

  return cmocka_run_group_tests_name ("http-client", tests, NULL, NULL);
}
