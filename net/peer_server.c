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

#define MAX_CONNECTIONS   512
#define MAX_PENDING_BYTES (16UL * 1024 * 1024) /* of frames that have not come in full */
#define BACKLOG           128
#define READ_CHUNK        16384
#define IDLE_US           (60 * MT_SECOND) /* between frames */
#define FRAME_US          (5 * MT_SECOND)  /* from a frame's first byte to its last */
#define WRITE_US          (5 * MT_SECOND)
#define SWEEP_MS          500
#define QUICK_THREADS     4
#define SLOW_THREADS      32

struct connection
{
  int fd;
  GByteArray *in;
  int64_t since_us; /* accepted, last reply, or the first byte of the frame at hand */
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
  int wake;                               /* eventfd: a connection came back, or stop */
  struct handler handlers[MT_PEER_TYPES]; /* written before the threads start */
  GThread *thread;
  /* A handler may wait, as for the platform: such ones have threads of their own, so that
   * heartbeats are answered while all of them wait. */
  GThreadPool *quick;
  GThreadPool *slow;
  gint stopping;                  /* atomic */
  gint open;                      /* atomic: connections in all */
  struct mt_peer_traffic traffic; /* atomic */
  GMutex lock;
  GPtrArray *returned; /* guarded by lock: answered, to be read from again */
  /* The reading thread's own. */
  GPtrArray *reading;
  size_t pending_bytes;
};

static void
close_connection (struct connection *connection)
{
  g_atomic_int_add (&connection->server->open, -1);
  close (connection->fd);
  g_byte_array_unref (connection->in);
  g_free (connection);
}

static bool
write_whole (const struct mt_clock *clock, int fd, const char *bytes, size_t len)
{
  int64_t deadline = mt_clock_now (clock) + WRITE_US;

  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL);
      struct pollfd poller = { fd, POLLOUT, 0 };
      int64_t left = deadline - mt_clock_now (clock);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t) n;
          continue;
        }
      if (n < 0 && errno == EINTR)
        continue;
      if (errno != EAGAIN || left <= 0 || poll (&poller, 1, (int) (left / MT_MS) + 1) < 0)
        return false;
    }
  return true;
}

static bool
answer (struct mt_peer_server *server, struct connection *connection)
{
  struct mt_str payload = { (const char *) connection->in->data + MT_FRAME_HEADER_BYTES,
                            connection->in->len - MT_FRAME_HEADER_BYTES };
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
  if (bytes == NULL || !write_whole (server->clock, connection->fd, bytes, len))
    return false;
  mt_peer_traffic_add (&server->traffic, connection->in->len, len);
  return true;
}

/* In a worker thread, which owns the connection meanwhile. */
static void
work (gpointer data, gpointer ctx)
{
  struct connection *connection = data;
  struct mt_peer_server *server = ctx;

  if (!answer (server, connection))
    {
      close_connection (connection);
      return;
    }
  g_byte_array_set_size (connection->in, 0);
  connection->since_us = mt_clock_now (server->clock);
  g_mutex_lock (&server->lock);
  g_ptr_array_add (server->returned, connection);
  g_mutex_unlock (&server->lock);
  eventfd_write (server->wake, 1);
}

static void
take_returned (struct mt_peer_server *server)
{
  eventfd_t ignored;

  eventfd_read (server->wake, &ignored);
  g_mutex_lock (&server->lock);
  g_ptr_array_extend_and_steal (server->reading, server->returned);
  server->returned = g_ptr_array_new ();
  g_mutex_unlock (&server->lock);
}

/* Drops a connection that no worker has. */
static void
drop (struct mt_peer_server *server, guint i)
{
  struct connection *connection = g_ptr_array_remove_index_fast (server->reading, i);

  server->pending_bytes -= connection->in->len;
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
    drop (server, oldest);
}

static void
accept_all (struct mt_peer_server *server)
{
  static const int on = 1;
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      struct connection *connection;

      /* A peer that opens connections and says nothing would shut the others out: the one that has
       * been silent longest makes room, and its owner, if honest, connects again. */
      if (g_atomic_int_get (&server->open) >= MAX_CONNECTIONS)
        drop_oldest (server);
      if (g_atomic_int_get (&server->open) >= MAX_CONNECTIONS)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = g_new0 (struct connection, 1);
      connection->fd = fd;
      connection->in = g_byte_array_new ();
      connection->since_us = mt_clock_now (server->clock);
      connection->server = server;
      g_atomic_int_inc (&server->open);
      g_ptr_array_add (server->reading, connection);
    }
}

/* False where the connection is to be closed. *whole is set once a frame has come in full. */
static bool
read_some (struct mt_peer_server *server, struct connection *connection, bool *whole)
{
  unsigned char chunk[READ_CHUNK];
  ssize_t n = recv (connection->fd, chunk, sizeof chunk, 0);
  size_t len;

  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0 || server->pending_bytes + (size_t) n > MAX_PENDING_BYTES)
    return false;
  if (connection->in->len == 0)
    connection->since_us = mt_clock_now (server->clock);
  g_byte_array_append (connection->in, chunk, (guint) n);
  server->pending_bytes += (size_t) n;
  if (connection->in->len < MT_FRAME_HEADER_BYTES)
    return true;
  if (!mt_frame_length ((const char *) connection->in->data, &len, NULL))
    return false;
  *whole = connection->in->len == MT_FRAME_HEADER_BYTES + len;
  /* Nobody sends a second frame before the reply to the first. */
  return connection->in->len <= MT_FRAME_HEADER_BYTES + len;
}

static void
hand_over (struct mt_peer_server *server, guint i)
{
  struct connection *connection = g_ptr_array_remove_index_fast (server->reading, i);
  struct mt_frame frame;
  struct mt_str payload = { (const char *) connection->in->data + MT_FRAME_HEADER_BYTES,
                            connection->in->len - MT_FRAME_HEADER_BYTES };

  server->pending_bytes -= connection->in->len;
  if (!mt_frame_decode (payload, &frame, NULL))
    {
      close_connection (connection);
      return;
    }
  g_thread_pool_push (frame.type == MT_PEER_CLAIM ? server->slow : server->quick, connection, NULL);
}

/* Backwards, since dropping moves the last one into the gap. */
static void
read_ready (struct mt_peer_server *server, const struct pollfd *fds)
{
  for (guint i = server->reading->len; i-- > 0;)
    {
      bool whole = false;

      if (fds[i].revents == 0)
        continue;
      if (!read_some (server, server->reading->pdata[i], &whole))
        drop (server, i);
      else if (whole)
        hand_over (server, i);
    }
}

/* A peer that vanished without a word, or sends byte by byte, gives its place back. */
static void
drop_late (struct mt_peer_server *server)
{
  int64_t now = mt_clock_now (server->clock);

  for (guint i = server->reading->len; i-- > 0;)
    {
      const struct connection *connection = server->reading->pdata[i];

      if (now - connection->since_us > (connection->in->len > 0 ? FRAME_US : IDLE_US))
        drop (server, i);
    }
}

static gpointer
run (gpointer data)
{
  struct mt_peer_server *server = data;
  struct pollfd fds[MAX_CONNECTIONS + 2];
  int64_t swept = mt_clock_now (server->clock);

  while (!g_atomic_int_get (&server->stopping))
    {
      guint n = server->reading->len;

      for (guint i = 0; i < n; i++)
        fds[i]
            = (struct pollfd){ ((struct connection *) server->reading->pdata[i])->fd, POLLIN, 0 };
      fds[n] = (struct pollfd){ server->listener, POLLIN, 0 };
      fds[n + 1] = (struct pollfd){ server->wake, POLLIN, 0 };
      if (poll (fds, n + 2, SWEEP_MS) > 0)
        {
          read_ready (server, fds);
          if (fds[n].revents != 0)
            accept_all (server);
          if (fds[n + 1].revents != 0)
            take_returned (server);
        }
      if (mt_clock_now (server->clock) - swept < SWEEP_MS * MT_MS)
        continue;
      swept = mt_clock_now (server->clock);
      drop_late (server);
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
  if (bind (fd, (struct sockaddr *) &addr, sizeof addr) == 0 && listen (fd, BACKLOG) == 0)
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
  server->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  server->reading = g_ptr_array_new ();
  server->returned = g_ptr_array_new ();
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
  server->quick = g_thread_pool_new (work, server, QUICK_THREADS, FALSE, NULL);
  server->slow = g_thread_pool_new (work, server, SLOW_THREADS, FALSE, NULL);
  server->thread = g_thread_new ("peer-server", run, server);
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
  eventfd_write (server->wake, 1);
  if (server->thread != NULL)
    {
      g_thread_join (server->thread);
      g_thread_pool_free (server->quick, FALSE, TRUE);
      g_thread_pool_free (server->slow, FALSE, TRUE);
    }
  take_returned (server);
  while (server->reading->len > 0)
    drop (server, server->reading->len - 1);
  g_ptr_array_unref (server->reading);
  g_ptr_array_unref (server->returned);
  close (server->listener);
  close (server->wake);
  g_mutex_clear (&server->lock);
  g_free (server->name);
  g_free (server);
}
