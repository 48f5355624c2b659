#include "http_server.h"

#include "address.h"

#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define IDLE_TIMEOUT_S 1
#define MAX_BODY_BYTES 1000
#define WAIT_LIMIT_MS  (30 * 1000) /* limit of waits for events */

struct fixture
{
  struct mt_http_server *server;
  GMutex lock; /* guards the fields below */
  GCond changed;
  unsigned handled;
  bool hold;
  bool wait_for_abort;
  bool saw_abort;
  size_t large_body_bytes; /* size of the answer's body; 0: the body is "whole" */
};

/* Answers with headers that try to inject others, once hold is false. */
static void
handle (void *ctx, struct mt_http_request *request)
{
  static struct mt_http_header headers[] = { { MT_STR ("X-Good"), MT_STR ("1") },
                                             { MT_STR ("X-Bad"), MT_STR ("1\r\nX-Injected: 1") },
                                             { MT_STR ("X-Bad\r\nX-Injected"), MT_STR ("1") } };
  struct fixture *f = ctx;

  g_mutex_lock (&f->lock);
  f->handled++;
  g_cond_broadcast (&f->changed);
  while (f->hold)
    g_cond_wait (&f->changed, &f->lock);
  while (f->wait_for_abort && !mt_http_request_is_aborted (request))
    g_cond_wait_until (&f->changed, &f->lock, g_get_monotonic_time () + G_USEC_PER_SEC / 100);
  f->saw_abort = mt_http_request_is_aborted (request);
  g_cond_broadcast (&f->changed);
  g_mutex_unlock (&f->lock);
  request->answer = (struct mt_http_answer){
    .status = 200, .headers = headers, .n_headers = 3, .body = MT_STR ("whole")
  };
  if (mt_str_equal (request->method, MT_STR ("HEAD")))
    request->answer.content_length = 1234;
  if (f->large_body_bytes > 0)
    request->answer.body = (struct mt_str){ mt_arena_alloc (request->arena, f->large_body_bytes),
                                            f->large_body_bytes };
}

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_http_server_options options = {
    .address = "127.0.0.1:0",
    .max_connections = 16,
    .idle_timeout_s = IDLE_TIMEOUT_S,
    .max_body_bytes = MAX_BODY_BYTES,
    .max_request_memory_bytes = 100 * 1000 * 1000,
    .clock = mt_clock_system (),
    .handle = handle,
    .ctx = f,
  };

  g_mutex_init (&f->lock);
  g_cond_init (&f->changed);
  f->server = mt_http_server_create (&options, NULL);
  assert_non_null (f->server);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_http_server_destroy (f->server);
  g_free (f);
  return 0;
}

static int
connect_to_server (struct fixture *f)
{
  g_autofree char *text = g_strdup_printf ("127.0.0.1:%u", mt_http_server_port (f->server));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in addr;

  assert_true (mt_address_parse (text, &addr, NULL));
  assert_int_equal (connect (fd, (struct sockaddr *) &addr, sizeof addr), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

/* Receives until the server closes the connection, or until the text ends with a given `until`. */
static char *
receive (int fd, const char *until)
{
  GString *received = g_string_new (NULL);
  char chunk[4096];
  ssize_t n = 1;

  while (n > 0 && (until == NULL || !g_str_has_suffix (received->str, until)))
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };

      assert_int_equal (poll (&wait, 1, WAIT_LIMIT_MS), 1);
      n = recv (fd, chunk, sizeof chunk, 0);
      if (n > 0)
        g_string_append_len (received, chunk, n);
    }
  return g_string_free (received, FALSE);
}

static void
wait_for_handled (struct fixture *f, unsigned n)
{
  g_mutex_lock (&f->lock);
  while (f->handled < n)
    g_cond_wait (&f->changed, &f->lock);
  g_mutex_unlock (&f->lock);
}

static void
set_hold (struct fixture *f, bool hold)
{
  g_mutex_lock (&f->lock);
  f->hold = hold;
  g_cond_broadcast (&f->changed);
  g_mutex_unlock (&f->lock);
}

/* Each request is refused with a 4xx status and never reaches the handler. */
static void
test_malformed_requests_are_refused (void **state)
{
  struct fixture *f = *state;
  static const char *const requests[] = {
    "GET /\x01 HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET relative HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "G@T / HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: x\r\nX-A: a\rInjected: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: x\r\nX-A: \x01\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      g_autofree char *answer = NULL;
      int fd = connect_to_server (f);

      send_text (fd, requests[i]);
      shutdown (fd, SHUT_WR);
      answer = receive (fd, NULL);
      if (!g_str_has_prefix (answer, "HTTP/1.1 4"))
        fail_msg ("request %zu was answered: %s", i, answer);
      close (fd);
    }
  assert_int_equal (f->handled, 0);
}

static void
test_header_limits (void **state)
{
  struct fixture *f = *state;
  g_autofree char *long_value = g_strnfill (64 * 1024, 'x');
  g_autofree char *answer = NULL;
  g_autoptr (GString) many = g_string_new ("GET / HTTP/1.1\r\nHost: x\r\n");
  int fd = connect_to_server (f);

  for (int i = 0; i < 100; i++)
    g_string_append_printf (many, "X-%d: 1\r\n", i);
  g_string_append (many, "\r\n");
  send_text (fd, many->str);
  answer = receive (fd, NULL);
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 431"));
  close (fd);
  g_clear_pointer (&answer, g_free);
  fd = connect_to_server (f);
  send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");
  send (fd, long_value, strlen (long_value), MSG_NOSIGNAL);
  answer = receive (fd, NULL);
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 431"));
  close (fd);
  assert_int_equal (f->handled, 0);
}

/* Guards against header injection: headers of the handler's answer with line ends in name or value
 * are not sent. The caller has shut down its sending side, and is still answered. */
static void
test_half_closed_caller_gets_sanitized_answer (void **state)
{
  struct fixture *f = *state;
  g_autofree char *answer = NULL;
  int fd = connect_to_server (f);

  send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  shutdown (fd, SHUT_WR);
  answer = receive (fd, NULL);
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 200"));
  assert_true (g_str_has_suffix (answer, "whole"));
  assert_non_null (strstr (answer, "X-Good"));
  assert_null (strstr (answer, "X-Injected"));
  close (fd);
}

/* The caller sends single bytes at intervals, so that it is never idle for long. It is disconnected
 * before its request is complete, and the handler is not called. */
static void
test_slow_sender_is_disconnected (void **state)
{
  struct fixture *f = *state;
  int fd = connect_to_server (f);
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  ssize_t sent = 1;

  send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ");
  for (int i = 0; i < WAIT_LIMIT_MS / 100 && sent == 1 && poll (&wait, 1, 100) == 0; i++)
    sent = send (fd, "a", 1, MSG_NOSIGNAL);
  assert_true (sent != 1 || recv (fd, &(char){ 0 }, 1, 0) <= 0);
  assert_int_equal (f->handled, 0);
  close (fd);
}

/* The caller resets its connection while its request is being handled; the handler detects that. */
static void
test_aborted_request_is_detected (void **state)
{
  struct fixture *f = *state;
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  int fd = connect_to_server (f);

  f->wait_for_abort = true;
  send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  wait_for_handled (f, 1);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  g_mutex_lock (&f->lock);
  while (!f->saw_abort)
    g_cond_wait (&f->changed, &f->lock);
  g_mutex_unlock (&f->lock);
}

static void
test_head_answer_keeps_content_length (void **state)
{
  struct fixture *f = *state;
  g_autofree char *answer = NULL;
  int fd = connect_to_server (f);

  send_text (fd, "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n");
  shutdown (fd, SHUT_WR);
  answer = receive (fd, NULL);
  assert_non_null (strstr (answer, "Content-Length: 1234"));
  assert_true (g_str_has_suffix (answer, "\r\n\r\n"));
  close (fd);
}

/* The caller requests more than fits into the socket buffers and reads nothing. It is disconnected,
 * so that a graceful stop completes. */
static void
test_non_reading_caller_is_disconnected (void **state)
{
  struct fixture *f = *state;
  int fd = connect_to_server (f);

  f->large_body_bytes = 50UL * 1000 * 1000;
  send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  wait_for_handled (f, 1);
  mt_http_server_stop (f->server, 0);
  close (fd);
}

static gpointer
stop_server (gpointer data)
{
  struct fixture *f = data;

  mt_http_server_stop (f->server, MT_SECOND / 2);
  return NULL;
}

/* A request is in flight and a kept connection is idle when the stop begins. The request is
 * answered completely, however long it takes, with "Connection: close"; the idle connection is
 * closed. */
static void
test_stop_completes_requests_in_flight (void **state)
{
  struct fixture *f = *state;
  g_autofree char *first = NULL;
  g_autofree char *held = NULL;
  g_autofree char *rest = NULL;
  GThread *thread;
  int idle = connect_to_server (f);
  int in_flight = connect_to_server (f);

  send_text (idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  first = receive (idle, "whole");
  assert_true (g_str_has_suffix (first, "whole"));
  set_hold (f, true);
  send_text (in_flight, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  wait_for_handled (f, 2);
  thread = g_thread_new ("stop", stop_server, f);
  rest = receive (idle, NULL);
  assert_string_equal (rest, "");
  set_hold (f, false);
  held = receive (in_flight, NULL);
  assert_true (g_str_has_suffix (held, "whole"));
  assert_non_null (strstr (held, "Connection: close"));
  g_thread_join (thread);
  close (idle);
  close (in_flight);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_malformed_requests_are_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_header_limits, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_half_closed_caller_gets_sanitized_answer, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_slow_sender_is_disconnected, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_aborted_request_is_detected, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_head_answer_keeps_content_length, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_non_reading_caller_is_disconnected, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_stop_completes_requests_in_flight, set_up, tear_down),
  };

  return cmocka_run_group_tests_name ("http-server", tests, NULL, NULL);
}
