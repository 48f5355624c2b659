/* The HTTP server for callers, with a client on a plain socket. */
#include "http_front.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

struct server
{
  struct event_base *base;
  unsigned handled;
};

/* Leaves every request without an answer. */
static void
on_request (void *ctx, struct mt_exchange *exchange)
{
  struct server *server = ctx;

  server->handled++;
  event_base_loopbreak (server->base);
}

static int
send_request (unsigned port)
{
  static const char request[] = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t) port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (write (fd, request, strlen (request)), (ssize_t) strlen (request));
  return fd;
}

/* Guards against a server that ends and calls requests refused that its handler has taken: what
 * they asked for may be done. */
static void
test_request_under_way_at_the_end_is_not_called_refused (void **state)
{
  struct server server = { .base = event_base_new () };
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 4,
                                           .idle_timeout_s = 5,
                                           .max_body_bytes = 100,
                                           .kind = "test",
                                           .handle = on_request,
                                           .ctx = &server };
  struct mt_http_front *front = mt_http_front_create (server.base, &options, NULL);
  char reply[400] = "";
  int fd = send_request (mt_http_front_port (front));

  event_base_dispatch (server.base);
  assert_int_equal (server.handled, 1);
  mt_http_front_destroy (front);
  assert_true (read (fd, reply, sizeof reply - 1) > 0);
  assert_true (g_str_has_prefix (reply, "HTTP/1.1 504 "));
  close (fd);
  event_base_free (server.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_under_way_at_the_end_is_not_called_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
