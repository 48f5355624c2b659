#include "address.h"
#include "frame.h"
#include "medlartrack/error.h"
#include "peer.h"
#include "peer_traffic.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEPT_PER_ADDRESS 8
#define KEPT_US          (20 * MT_SECOND) /* below the server's idle limit */
#define SWEEP_US         (10 * MT_SECOND)
#define READ_CHUNK       16384

struct kept
{
  int fd;
  int64_t since_us;
};

struct mt_peer_client
{
  const struct mt_clock *clock;
  char *name;
  struct mt_peer_traffic traffic; /* atomic */
  GMutex lock;
  /* Guarded by lock. */
  GHashTable *idle; /* address -> GQueue of struct kept, newest first */
  int64_t swept_us;
};

struct call
{
  const struct mt_peer_client *client;
  const char *address;
  int64_t deadline_us;
  int fd;
  size_t received; /* bytes of the reply's frame */
};

static void
free_kept (gpointer data)
{
  struct kept *kept = data;

  close (kept->fd);
  g_free (kept);
}

static void
free_queue (gpointer data)
{
  g_queue_free_full (data, free_kept);
}

static bool
wait_for (const struct call *call, short events)
{
  for (;;)
    {
      struct pollfd poller = { call->fd, events, 0 };
      int64_t left = call->deadline_us - mt_clock_now (call->client->clock);
      int rc;

      if (left <= 0)
        {
          errno = ETIMEDOUT;
          return false;
        }
      rc = poll (&poller, 1, (int) MIN ((left + MT_MS - 1) / MT_MS, G_MAXINT));
      if (rc > 0)
        return true;
      if (rc < 0 && errno != EINTR)
        return false;
    }
}

/* A kept connection that the peer has closed, or on which it sent unasked, is of no more use. */
static bool
is_usable (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static void
sweep (struct mt_peer_client *client, int64_t now)
{
  GHashTableIter iter;
  gpointer queue;

  if (now - client->swept_us < SWEEP_US)
    return;
  client->swept_us = now;
  g_hash_table_iter_init (&iter, client->idle);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    {
      struct kept *oldest;

      while ((oldest = g_queue_peek_tail (queue)) != NULL && now - oldest->since_us > KEPT_US)
        free_kept (g_queue_pop_tail (queue));
      if (oldest == NULL)
        g_hash_table_iter_remove (&iter);
    }
}

static int
take_kept (struct mt_peer_client *client, const char *address)
{
  struct kept *kept;
  GQueue *queue;
  int fd = -1;

  g_mutex_lock (&client->lock);
  sweep (client, mt_clock_now (client->clock));
  queue = g_hash_table_lookup (client->idle, address);
  while (fd < 0 && queue != NULL && (kept = g_queue_pop_head (queue)) != NULL)
    {
      if (is_usable (kept->fd))
        {
          fd = kept->fd;
          g_free (kept);
        }
      else
        free_kept (kept);
    }
  g_mutex_unlock (&client->lock);
  return fd;
}

static void
keep (struct mt_peer_client *client, const char *address, int fd)
{
  struct kept *kept = g_new (struct kept, 1);
  GQueue *queue;

  kept->fd = fd;
  kept->since_us = mt_clock_now (client->clock);
  g_mutex_lock (&client->lock);
  queue = g_hash_table_lookup (client->idle, address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle, g_strdup (address), queue);
    }
  g_queue_push_head (queue, kept);
  kept = g_queue_get_length (queue) > KEPT_PER_ADDRESS ? g_queue_pop_tail (queue) : NULL;
  g_mutex_unlock (&client->lock);
  if (kept != NULL)
    free_kept (kept);
}

static bool
open_socket (struct call *call, GError **error)
{
  static const int on = 1;
  struct sockaddr_in addr;
  socklen_t len = sizeof errno;
  int failure = 0;

  if (!mt_address_parse (call->address, &addr, error))
    return false;
  call->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (call->fd < 0)
    failure = errno;
  else if (connect (call->fd, (struct sockaddr *) &addr, sizeof addr) != 0)
    {
      failure = errno;
      if (failure == EINPROGRESS && !wait_for (call, POLLOUT))
        failure = errno;
      else if (failure == EINPROGRESS)
        getsockopt (call->fd, SOL_SOCKET, SO_ERROR, &failure, &len);
    }
  if (failure == 0)
    {
      setsockopt (call->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      return true;
    }
  g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
               "can't connect to %s: %s; check that the daemon runs and the network is not cut",
               call->address, g_strerror (failure));
  return false;
}

/* The server acts on whole frames only: while the last byte has not left, nothing was delivered. */
static bool
send_frame (const struct call *call, const char *bytes, size_t len, GError **error)
{
  while (len > 0)
    {
      ssize_t n = send (call->fd, bytes, len, MSG_NOSIGNAL);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t) n;
          continue;
        }
      if (errno == EINTR || (errno == EAGAIN && wait_for (call, POLLOUT)))
        continue;
      g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                   "could not send to %s: %s; check the daemon and the network", call->address,
                   g_strerror (errno));
      return false;
    }
  return true;
}

static bool
receive_exactly (const struct call *call, char *out, size_t len, GError **error)
{
  while (len > 0)
    {
      ssize_t n = recv (call->fd, out, len, 0);

      if (n > 0)
        {
          out += n;
          len -= (size_t) n;
          continue;
        }
      if (n < 0 && (errno == EINTR || (errno == EAGAIN && wait_for (call, POLLIN))))
        continue;
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
                   "no whole reply from %s: %s; it may have acted on the call, see its dump",
                   call->address, n == 0 ? "it closed the connection" : g_strerror (errno));
      return false;
    }
  return true;
}

/* Whatever is wrong with the reply, the call itself was delivered. */
static bool
refuse_reply (const struct call *call, GError **error, GError *cause)
{
  g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "bad reply from %s: %s", call->address,
               cause != NULL ? cause->message : "it is of another type; update the older daemon");
  g_clear_error (&cause);
  return false;
}

static bool
receive_reply (
    struct call *call, enum mt_peer_type type, char **reply, size_t *reply_len, GError **error)
{
  g_autofree char *payload = NULL;
  struct mt_frame frame;
  GError *cause = NULL;
  char head[MT_FRAME_HEADER_BYTES];
  size_t len;

  if (!receive_exactly (call, head, sizeof head, error))
    return false;
  if (!mt_frame_length (head, &len, &cause))
    return refuse_reply (call, error, cause);
  payload = g_malloc (len);
  if (!receive_exactly (call, payload, len, error))
    return false;
  if (!mt_frame_decode ((struct mt_str){ payload, len }, &frame, &cause)
      || frame.type != (unsigned) type)
    return refuse_reply (call, error, cause);
  *reply = malloc (frame.body.len + 1);
  memcpy (*reply, frame.body.data, frame.body.len);
  (*reply)[frame.body.len] = '\0';
  *reply_len = frame.body.len;
  call->received = MT_FRAME_HEADER_BYTES + len;
  return true;
}

struct mt_peer_client *
mt_peer_client_create (const struct mt_clock *clock, const char *name)
{
  struct mt_peer_client *client = g_new0 (struct mt_peer_client, 1);

  client->clock = clock;
  client->name = g_strdup (name);
  g_mutex_init (&client->lock);
  client->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_queue);
  return client;
}

void
mt_peer_client_destroy (struct mt_peer_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->idle);
  g_mutex_clear (&client->lock);
  g_free (client->name);
  g_free (client);
}

struct mt_peer_traffic
mt_peer_client_traffic (const struct mt_peer_client *client)
{
  return mt_peer_traffic_read (&client->traffic);
}

bool
mt_peer_client_call (struct mt_peer_client *client,
                     const char *address,
                     enum mt_peer_type type,
                     struct mt_str body,
                     int64_t deadline_us,
                     char **reply,
                     size_t *reply_len,
                     GError **error)
{
  struct call call = { client, address, deadline_us, -1, 0 };
  g_autofree char *bytes = NULL;
  size_t len;
  bool ok = false;

  bytes = mt_frame_encode (type, mt_str_from (client->name), body, &len);
  if (bytes == NULL)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "a call of %zu bytes passes the frame limit of %d; send less", body.len,
                   MT_PEER_MAX_FRAME_BYTES);
      return false;
    }
  call.fd = take_kept (client, address);
  if ((call.fd >= 0 || open_socket (&call, error)) && send_frame (&call, bytes, len, error))
    ok = receive_reply (&call, type, reply, reply_len, error);
  /* After a failure the late reply could still come: the connection is never used again. */
  if (ok)
    {
      mt_peer_traffic_add (&client->traffic, call.received, len);
      keep (client, address, call.fd);
    }
  else if (call.fd >= 0)
    close (call.fd);
  return ok;
}
