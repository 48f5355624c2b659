#include "frame.h"
#include "medlartrack/error.h"
#include "peer.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define CALL_TIMEOUT_US (20 * MT_SECOND) /* much longer than any call that succeeds */

static char *
echo (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  char *reply = malloc (body.len + 1);

  memcpy (reply, body.data, body.len);
  *reply_len = body.len;
  return reply;
}

static char *
close_unanswered (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  g_atomic_int_inc ((gint *) ctx);
  return NULL;
}

struct fixture
{
  struct mt_peer_server *server;
  struct mt_peer_client *client;
  gint n_unanswered;
  char address[32];
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->server = mt_peer_server_create ("127.0.0.1:0", "server", NULL);
  mt_peer_server_set_handler (f->server, MT_PEER_HEARTBEAT, echo, NULL);
  mt_peer_server_set_handler (f->server, MT_PEER_CLAIM, close_unanswered, &f->n_unanswered);
  mt_peer_server_start (f->server);
  g_snprintf (f->address, sizeof f->address, "127.0.0.1:%u", mt_peer_server_port (f->server));
  f->client = mt_peer_client_create (mt_clock_system (), "client");
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_peer_client_destroy (f->client);
  mt_peer_server_destroy (f->server);
  g_free (f);
  return 0;
}

static bool
call (struct fixture *f, enum mt_peer_type type, struct mt_str body, GError **error)
{
  char *reply = NULL;
  size_t len = 0;
  bool ok = mt_peer_client_call (f->client, f->address, type, body,
                                 mt_clock_now (mt_clock_system ()) + CALL_TIMEOUT_US, &reply, &len,
                                 error);

  if (ok)
    assert_true (mt_str_equal (body, (struct mt_str){ reply, len }));
  free (reply);
  return ok;
}

static int
connect_raw (const struct fixture *f)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  addr.sin_port = htons ((uint16_t) mt_peer_server_port (f->server));
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (fd, (struct sockaddr *) &addr, sizeof addr), 0);
  return fd;
}

static void
test_call_is_answered_over_a_kept_connection (void **state)
{
  struct fixture *f = *state;
  g_autofree char *large = g_strnfill (1000 * 1000, 'x');

  for (int i = 0; i < 50; i++)
    assert_true (call (f, MT_PEER_HEARTBEAT, MT_STR ("hello"), NULL));
  assert_true (call (f, MT_PEER_HEARTBEAT, mt_str_from (large), NULL));
}

/* A call to an absent peer must fail as not delivered, and a call that the peer read before closing
 * the connection as unknown: the first may be retried elsewhere, the second must not. */
static void
test_not_delivered_differs_from_unknown (void **state)
{
  struct fixture *f = *state;
  g_autoptr (GError) unknown = NULL;
  g_autoptr (GError) absent = NULL;

  assert_false (call (f, MT_PEER_CLAIM, MT_STR ("claim"), &unknown));
  assert_true (g_error_matches (unknown, MT_ERROR, MT_ERROR_UNKNOWN));
  assert_int_equal (g_atomic_int_get (&f->n_unanswered), 1);
  mt_peer_server_destroy (g_steal_pointer (&f->server));
  assert_false (call (f, MT_PEER_CLAIM, MT_STR ("claim"), &absent));
  assert_true (g_error_matches (absent, MT_ERROR, MT_ERROR_UNAVAILABLE));
}

/* The connection of a peer that announces two gigabytes, speaks another protocol or sends malformed
 * data is closed at once, and other peers are still served. */
static void
test_malformed_frames_close_the_connection (void **state)
{
  static const char *const frames[] = {
    "\x7f\xff\xff\xff",                     /* two gigabytes */
    "GET / HTTP/1.1\r\n\r\n",               /* HTTP */
    "\x00\x00\x00\x05\xdd\xff\xff\xff\xff", /* an array of four thousand million */
    "\x00\x00\x00\x05\x94\x02\x01\xa0\xc4", /* protocol 2, truncated */
  };
  static const size_t lengths[] = { 4, 18, 9, 9 };
  struct fixture *f = *state;

  for (size_t i = 0; i < G_N_ELEMENTS (frames); i++)
    {
      int fd = connect_raw (f);
      char byte;

      assert_true (send (fd, frames[i], lengths[i], MSG_NOSIGNAL) > 0);
      assert_true (recv (fd, &byte, 1, 0) <= 0);
      close (fd);
      assert_true (call (f, MT_PEER_HEARTBEAT, MT_STR ("still here"), NULL));
    }
}

/* Silent connections beyond the limit don't block a legitimate peer: the oldest one is closed. */
static void
test_silent_connections_do_not_block_others (void **state)
{
  struct fixture *f = *state;
  int fds[600];

  for (size_t i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = connect_raw (f);
  assert_true (call (f, MT_PEER_HEARTBEAT, MT_STR ("room for me"), NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}

/* A peer of which the test plays the server. */
struct played_peer
{
  int listener;
  char address[32];
  struct mt_peer_client *client;
};

static bool
call_played (struct played_peer *p, int64_t timeout_us)
{
  char *reply = NULL;
  size_t len = 0;
  bool ok
      = mt_peer_client_call (p->client, p->address, MT_PEER_HEARTBEAT, MT_STR ("x"),
                             mt_clock_now (mt_clock_system ()) + timeout_us, &reply, &len, NULL);

  free (reply);
  return ok;
}

static gpointer
call_answered (gpointer ctx)
{
  assert_true (call_played (ctx, CALL_TIMEOUT_US));
  return NULL;
}

static void
open_played_peer (struct played_peer *p)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  p->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (bind (p->listener, (struct sockaddr *) &addr, sizeof addr), 0);
  assert_int_equal (listen (p->listener, 8), 0);
  assert_int_equal (getsockname (p->listener, (struct sockaddr *) &addr, &len), 0);
  g_snprintf (p->address, sizeof p->address, "127.0.0.1:%u", ntohs (addr.sin_port));
  p->client = mt_peer_client_create (mt_clock_system (), "client");
}

static void
answer_frame (int fd)
{
  size_t len = 0;
  g_autofree char *frame
      = mt_frame_encode (MT_PEER_HEARTBEAT, MT_STR ("server"), MT_STR ("x"), &len);
  char bytes[256];

  assert_true (recv (fd, bytes, sizeof bytes, 0) > 0);
  assert_int_equal (send (fd, frame, len, MSG_NOSIGNAL), len);
}

static void
assert_closed_by_client (int fd)
{
  const struct timeval limit = { CALL_TIMEOUT_US / MT_SECOND, 0 };
  char bytes[256];
  ssize_t n;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while ((n = recv (fd, bytes, sizeof bytes, 0)) > 0)
    ;
  assert_int_equal (n, 0);
  close (fd);
}

/* Guards against one time-out for each kept connection, when all connections to a daemon have
 * fallen silent together. */
static void
test_time_out_closes_kept_connections (void **state)
{
  struct played_peer p;
  GThread *threads[2];
  int fds[2];

  open_played_peer (&p);
  for (unsigned i = 0; i < G_N_ELEMENTS (threads); i++)
    threads[i] = g_thread_new ("caller", call_answered, &p);
  for (unsigned i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = accept (p.listener, NULL, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (fds); i++)
    answer_frame (fds[i]);
  for (unsigned i = 0; i < G_N_ELEMENTS (threads); i++)
    g_thread_join (threads[i]);
  assert_false (call_played (&p, 100 * MT_MS));
  for (unsigned i = 0; i < G_N_ELEMENTS (fds); i++)
    assert_closed_by_client (fds[i]);
  mt_peer_client_destroy (p.client);
  close (p.listener);
}

static void
expect_refused (struct mt_str payload, enum mt_error code)
{
  g_autoptr (GError) error = NULL;
  struct mt_frame frame;

  assert_false (mt_frame_decode (payload, &frame, &error));
  assert_true (g_error_matches (error, MT_ERROR, (gint) code));
}

static void
test_malformed_frames_give_typed_errors (void **state)
{
  char bomb[64];

  memset (bomb, 0x91, sizeof bomb); /* arrays in arrays */
  expect_refused ((struct mt_str){ bomb, sizeof bomb }, MT_ERROR_LIMIT);
  expect_refused (MT_STR ("\xdd\xff\xff\xff\xff"), MT_ERROR_SYNTAX);
  expect_refused (MT_STR ("\x94\x02\x01\xa1s\xc4\x00"), MT_ERROR_SYNTAX);      /* protocol 2 */
  expect_refused (MT_STR ("\x94\x01\x63\xa1s\xc4\x00"), MT_ERROR_SYNTAX);      /* type 99 */
  expect_refused (MT_STR ("\x94\x01\x01\x05\xc4\x01x"), MT_ERROR_SYNTAX);      /* sender 5 */
  expect_refused (MT_STR ("\x94\x01\x01\xa1s\xc4\x01x\x00"), MT_ERROR_SYNTAX); /* trailing */
  expect_refused (MT_STR ("\x93\x01\x01\xa1s"), MT_ERROR_SYNTAX);              /* three fields */
  expect_refused (MT_STR (""), MT_ERROR_SYNTAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_call_is_answered_over_a_kept_connection, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_not_delivered_differs_from_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_malformed_frames_close_the_connection, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_silent_connections_do_not_block_others, set_up,
                                     tear_down),
    cmocka_unit_test (test_time_out_closes_kept_connections),
    cmocka_unit_test (test_malformed_frames_give_typed_errors),
  };

  return cmocka_run_group_tests_name ("peer", tests, NULL, NULL);
}
