#include "address.h"
#include "frame.h"
#include "medlartrack/clock.h"
#include "medlartrack/error.h"
#include "peer.h"
#include "peer_traffic.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define MAX_CONNECTIONS      512
#define MAX_INCOMPLETE_BYTES (16UL * 1024 * 1024) /* of incomplete frames, on all connections */
#define LISTEN_BACKLOG       128
#define READ_CHUNK_BYTES     16384
#define IDLE_TIMEOUT_US      (60 * MT_SECOND) /* between frames */
#define FRAME_TIMEOUT_US     (5 * MT_SECOND)  /* between the first and the last byte of a frame */
#define WRITE_TIMEOUT_US     (5 * MT_SECOND)
#define SWEEP_INTERVAL_MS    500
#define QUICK_THREADS        4
#define SLOW_THREADS         32

struct connection
{
  int fd;
  GByteArray *input;
  int64_t since_us; /* time of the accept, the last reply or the current frame's first byte */
  struct mt_peer_server *server;
};

struct handler
{
  mt_peer_handler call;
  void *ctx;
};

struct mt_peer_server
{
  const struct mt_clock *clock;
  char *name;
  int listener;
  int wake_fd; /* eventfd: a connection was answered, or the server stops */
  struct handler handlers[MT_PEER_TYPES]; /* written before the threads start */
  GThread *thread;
  /* Handlers that may block, such as on the platform, run in a pool of their own, so that
   * heartbeats are answered even while all threads of that pool are blocked. */
  GThreadPool *quick_pool;
  GThreadPool *slow_pool;
  gint stopping;                  /* atomic */
  gint n_open;                    /* atomic: number of connections */
  struct mt_peer_traffic traffic; /* atomic */
  GMutex lock;
  GPtrArray *answered; /* guarded by lock: answered connections, to be read from again */
  /* The fields below are used only by the reading thread. */
  GPtrArray *reading;
  size_t incomplete_bytes;
};

static void
close_connection (struct connection *connection)
{
  g_atomic_int_add (&connection->server->n_open, -1);
  close (connection->fd);
  g_byte_array_unref (connection->input);
  g_free (connection);
}

static bool
write_all (const struct mt_clock *clock, int fd, const char *bytes, size_t len)
{
  int64_t deadline = mt_clock_now (clock) + WRITE_TIMEOUT_US;

  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL);
      struct pollfd poll_fd = { fd, POLLOUT, 0 };
      int64_t remaining_us = deadline - mt_clock_now (clock);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t) n;
          continue;
        }
      if (n < 0 && errno == EINTR)
        continue;
      if (errno != EAGAIN || remaining_us <= 0
          || poll (&poll_fd, 1, (int) (remaining_us / MT_MS) + 1) < 0)
        return false;
    }
  return true;
}

static bool
answer_frame (struct mt_peer_server *server, struct connection *connection)
{
  struct mt_str payload = { (const char *) connection->input->data + MT_FRAME_HEADER_BYTES,
                            connection->input->len - MT_FRAME_HEADER_BYTES };
  struct mt_frame frame;
  const struct handler *handler;
  char *reply;
  g_autofree char *bytes = NULL;
  size_t len = 0;

  if (!mt_frame_decode (payload, &frame, NULL))
    return false;
  handler = &server->handlers[frame.type];
  if (handler->call == NULL)
    return false;
  reply = handler->call (handler->ctx, frame.sender, frame.body, &len);
  if (reply == NULL)
    return false;
  bytes = mt_frame_encode (frame.type, mt_str_from (server->name), (struct mt_str){ reply, len },
                           &len);
  free (reply);
  if (bytes == NULL || !write_all (server->clock, connection->fd, bytes, len))
    return false;
  mt_peer_traffic_add (&server->traffic, connection->input->len, len);
  return true;
}

/* Runs in a pool thread, which owns the connection until it is answered. */
static void
run_handler (gpointer data, gpointer ctx)
{
  struct connection *connection = data;
  struct mt_peer_server *server = ctx;

  if (!answer_frame (server, connection))
    {
      close_connection (connection);
      return;
    }
  g_byte_array_set_size (connection->input, 0);
  connection->since_us = mt_clock_now (server->clock);
  g_mutex_lock (&server->lock);
  g_ptr_array_add (server->answered, connection);
  g_mutex_unlock (&server->lock);
  eventfd_write (server->wake_fd, 1);
}

static void
take_answered (struct mt_peer_server *server)
{
  eventfd_t ignored;

  eventfd_read (server->wake_fd, &ignored);
  g_mutex_lock (&server->lock);
  g_ptr_array_extend_and_steal (server->reading, server->answered);
  server->answered = g_ptr_array_new ();
  g_mutex_unlock (&server->lock);
}

/* Closes the connection number i of `reading`, which no pool thread owns. */
static void
drop_connection (struct mt_peer_server *server, guint i)
{
  struct connection *connection = g_ptr_array_remove_index_fast (server->reading, i);

  server->incomplete_bytes -= connection->input->len;
  close_connection (connection);
}

static void
drop_oldest (struct mt_peer_server *server)
{
  guint oldest = 0;

  for (guint i = 1; i < server->reading->len; i++)
    {
      const struct connection *a = server->reading->pdata[i];
      const struct connection *b = server->reading->pdata[oldest];

      if (a->since_us < b->since_us)
        oldest = i;
    }
  if (server->reading->len > 0)
    drop_connection (server, oldest);
}

static void
accept_connections (struct mt_peer_server *server)
{
  static const int on = 1;
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      struct connection *connection;

      /* A peer could block others by opening connections without sending anything. So the
       * connection that has been silent longest is closed; a legitimate owner reconnects. */
      if (g_atomic_int_get (&server->n_open) >= MAX_CONNECTIONS)
        drop_oldest (server);
      if (g_atomic_int_get (&server->n_open) >= MAX_CONNECTIONS)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = g_new0 (struct connection, 1);
      connection->fd = fd;
      connection->input = g_byte_array_new ();
      connection->since_us = mt_clock_now (server->clock);
      connection->server = server;
      g_atomic_int_inc (&server->n_open);
      g_ptr_array_add (server->reading, connection);
    }
}

/* Returns false if the connection is to be closed. Sets *complete once a frame is complete. */
static bool
read_chunk (struct mt_peer_server *server, struct connection *connection, bool *complete)
{
  unsigned char chunk[READ_CHUNK_BYTES];
  ssize_t n = recv (connection->fd, chunk, sizeof chunk, 0);
  size_t len;

  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0 || server->incomplete_bytes + (size_t) n > MAX_INCOMPLETE_BYTES)
    return false;
  if (connection->input->len == 0)
    connection->since_us = mt_clock_now (server->clock);
  g_byte_array_append (connection->input, chunk, (guint) n);
  server->incomplete_bytes += (size_t) n;
  if (connection->input->len < MT_FRAME_HEADER_BYTES)
    return true;
  if (!mt_frame_length ((const char *) connection->input->data, &len, NULL))
    return false;
  *complete = connection->input->len == MT_FRAME_HEADER_BYTES + len;
  /* No peer sends a second frame before the reply to the first. */
  return connection->input->len <= MT_FRAME_HEADER_BYTES + len;
}

static void
dispatch_frame (struct mt_peer_server *server, guint i)
{
  struct connection *connection = g_ptr_array_remove_index_fast (server->reading, i);
  struct mt_frame frame;
  struct mt_str payload = { (const char *) connection->input->data + MT_FRAME_HEADER_BYTES,
                            connection->input->len - MT_FRAME_HEADER_BYTES };

  server->incomplete_bytes -= connection->input->len;
  if (!mt_frame_decode (payload, &frame, NULL))
    {
      close_connection (connection);
      return;
    }
  g_thread_pool_push (frame.type == MT_PEER_CLAIM ? server->slow_pool : server->quick_pool,
                      connection, NULL);
}

/* Iterates backwards, since closing a connection moves the last one into its place. */
static void
read_connections (struct mt_peer_server *server, const struct pollfd *fds)
{
  for (guint i = server->reading->len; i-- > 0;)
    {
      bool complete = false;

      if (fds[i].revents == 0)
        continue;
      if (!read_chunk (server, server->reading->pdata[i], &complete))
        drop_connection (server, i);
      else if (complete)
        dispatch_frame (server, i);
    }
}

/* Closes the connections of peers that vanished without a reset or send too slowly. */
static void
drop_timed_out (struct mt_peer_server *server)
{
  int64_t now = mt_clock_now (server->clock);

  for (guint i = server->reading->len; i-- > 0;)
    {
      const struct connection *connection = server->reading->pdata[i];

      if (now - connection->since_us
          > (connection->input->len > 0 ? FRAME_TIMEOUT_US : IDLE_TIMEOUT_US))
        drop_connection (server, i);
    }
}

static gpointer
run_server (gpointer data)
{
  struct mt_peer_server *server = data;
  struct pollfd fds[MAX_CONNECTIONS + 2];
  int64_t last_sweep_us = mt_clock_now (server->clock);

  while (!g_atomic_int_get (&server->stopping))
    {
      guint n = server->reading->len;

      for (guint i = 0; i < n; i++)
        fds[i]
            = (struct pollfd){ ((struct connection *) server->reading->pdata[i])->fd, POLLIN, 0 };
      fds[n] = (struct pollfd){ server->listener, POLLIN, 0 };
      fds[n + 1] = (struct pollfd){ server->wake_fd, POLLIN, 0 };
      if (poll (fds, n + 2, SWEEP_INTERVAL_MS) > 0)
        {
          read_connections (server, fds);
          if (fds[n].revents != 0)
            accept_connections (server);
          if (fds[n + 1].revents != 0)
            take_answered (server);
        }
      if (mt_clock_now (server->clock) - last_sweep_us < SWEEP_INTERVAL_MS * MT_MS)
        continue;
      last_sweep_us = mt_clock_now (server->clock);
      drop_timed_out (server);
    }
  return NULL;
}

static int
open_listener (const char *address, GError **error)
{
  static const int on = 1;
  struct sockaddr_in addr;
  int fd;

  if (!mt_address_parse (address, &addr, error))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &addr, sizeof addr) == 0 && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
               "can't listen on %s: %s; free the port or change peer_listen", address,
               g_strerror (errno));
  close (fd);
  return -1;
}

struct mt_peer_server *
mt_peer_server_create (const char *address, const char *name, GError **error)
{
  int fd = open_listener (address, error);
  struct mt_peer_server *server;

  if (fd < 0)
    return NULL;
  server = g_new0 (struct mt_peer_server, 1);
  server->clock = mt_clock_system ();
  server->name = g_strdup (name);
  server->listener = fd;
  server->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  server->reading = g_ptr_array_new ();
  server->answered = g_ptr_array_new ();
  g_mutex_init (&server->lock);
  return server;
}

void
mt_peer_server_set_handler (struct mt_peer_server *server,
                            enum mt_peer_type type,
                            mt_peer_handler handler,
                            void *ctx)
{
  g_assert (server->thread == NULL);
  server->handlers[type] = (struct handler){ handler, ctx };
}

void
mt_peer_server_start (struct mt_peer_server *server)
{
  server->quick_pool = g_thread_pool_new (run_handler, server, QUICK_THREADS, FALSE, NULL);
  server->slow_pool = g_thread_pool_new (run_handler, server, SLOW_THREADS, FALSE, NULL);
  server->thread = g_thread_new ("peer-server", run_server, server);
}

unsigned
mt_peer_server_port (const struct mt_peer_server *server)
{
  return mt_address_bound_port (server->listener);
}

struct mt_peer_traffic
mt_peer_server_traffic (const struct mt_peer_server *server)
{
  return mt_peer_traffic_read (&server->traffic);
}

void
mt_peer_server_destroy (struct mt_peer_server *server)
{
  if (server == NULL)
    return;
  g_atomic_int_set (&server->stopping, 1);
  eventfd_write (server->wake_fd, 1);
  if (server->thread != NULL)
    {
      g_thread_join (server->thread);
      g_thread_pool_free (server->quick_pool, FALSE, TRUE);
      g_thread_pool_free (server->slow_pool, FALSE, TRUE);
    }
  take_answered (server);
  while (server->reading->len > 0)
    drop_connection (server, server->reading->len - 1);
  g_ptr_array_unref (server->reading);
  g_ptr_array_unref (server->answered);
  close (server->listener);
  close (server->wake_fd);
  g_mutex_clear (&server->lock);
  g_free (server->name);
  g_free (server);
}
