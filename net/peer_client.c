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

#define MAX_KEPT_PER_ADDRESS 8
#define MAX_KEPT_US          (20 * MT_SECOND) /* less than the server's idle limit */
#define SWEEP_INTERVAL_US    (10 * MT_SECOND)
#define READ_CHUNK_BYTES     16384

struct kept_connection
{
  int fd;
  int64_t idle_since_us;
};

struct mt_peer_client
{
  const struct mt_clock *clock;
  char *name;
  struct mt_peer_traffic traffic; /* atomic */
  GMutex lock;
  /* The fields below are guarded by lock. */
  GHashTable *idle; /* address -> GQueue of struct kept_connection, newest first */
  int64_t last_sweep_us;
};

struct call
{
  const struct mt_peer_client *client;
  const char *address;
  int64_t deadline_us;
  int fd;
  size_t reply_bytes; /* bytes of the reply's frame, header included */
};

static void
free_kept (gpointer data)
{
  struct kept_connection *kept = data;

  close (kept->fd);
  g_free (kept);
}

static void
free_queue (gpointer data)
{
  g_queue_free_full (data, free_kept);
}

static bool
wait_for_events (const struct call *call, short events)
{
  for (;;)
    {
      struct pollfd poll_fd = { call->fd, events, 0 };
      int64_t remaining_us = call->deadline_us - mt_clock_now (call->client->clock);
      int rc;

      if (remaining_us <= 0)
        {
          errno = ETIMEDOUT;
          return false;
        }
      rc = poll (&poll_fd, 1, (int) MIN ((remaining_us + MT_MS - 1) / MT_MS, G_MAXINT));
      if (rc > 0)
        return true;
      if (rc < 0 && errno != EINTR)
        return false;
    }
}

/* Returns false if the peer has closed the connection or sent unsolicited data. */
static bool
is_usable (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static void
close_expired (struct mt_peer_client *client, int64_t now)
{
  GHashTableIter iter;
  gpointer queue;

  if (now - client->last_sweep_us < SWEEP_INTERVAL_US)
    return;
  client->last_sweep_us = now;
  g_hash_table_iter_init (&iter, client->idle);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    {
      struct kept_connection *oldest;

      while ((oldest = g_queue_peek_tail (queue)) != NULL
             && now - oldest->idle_since_us > MAX_KEPT_US)
        free_kept (g_queue_pop_tail (queue));
      if (oldest == NULL)
        g_hash_table_iter_remove (&iter);
    }
}

/* Connections may fall silent together, without a reset. */
static void
close_kept (struct mt_peer_client *client, const char *address)
{
  g_mutex_lock (&client->lock);
  g_hash_table_remove (client->idle, address);
  g_mutex_unlock (&client->lock);
}

static int
take_connection (struct mt_peer_client *client, const char *address)
{
  struct kept_connection *kept;
  GQueue *queue;
  int fd = -1;

  g_mutex_lock (&client->lock);
  close_expired (client, mt_clock_now (client->clock));
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
keep_connection (struct mt_peer_client *client, const char *address, int fd)
{
  struct kept_connection *kept = g_new (struct kept_connection, 1);
  GQueue *queue;

  kept->fd = fd;
  kept->idle_since_us = mt_clock_now (client->clock);
  g_mutex_lock (&client->lock);
  queue = g_hash_table_lookup (client->idle, address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle, g_strdup (address), queue);
    }
  g_queue_push_head (queue, kept);
  kept = g_queue_get_length (queue) > MAX_KEPT_PER_ADDRESS ? g_queue_pop_tail (queue) : NULL;
  g_mutex_unlock (&client->lock);
  if (kept != NULL)
    free_kept (kept);
}

static bool
connect_to_peer (struct call *call, GError **error)
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
      if (failure == EINPROGRESS && !wait_for_events (call, POLLOUT))
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
               "can't connect to %s: %s; check that the daemon runs and can be reached",
               call->address, g_strerror (failure));
  return false;
}

/* On failure the call was not delivered: the server handles complete frames only. */
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
      if (errno == EINTR || (errno == EAGAIN && wait_for_events (call, POLLOUT)))
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
      if (n < 0 && (errno == EINTR || (errno == EAGAIN && wait_for_events (call, POLLIN))))
        continue;
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
                   "incomplete reply from %s: %s; it may have acted on the call, see its dump",
                   call->address, n == 0 ? "it closed the connection" : g_strerror (errno));
      return false;
    }
  return true;
}

/* Sets the error for a reply that can't be used. It is MT_ERROR_UNKNOWN, since the call itself was
 * delivered. Takes ownership of cause, which may be NULL; returns false. */
static bool
reject_reply (const struct call *call, GError **error, GError *cause)
{
  g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "bad reply from %s: %s", call->address,
               cause != NULL ? cause->message : "unexpected reply type; update the older daemon");
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
  char header[MT_FRAME_HEADER_BYTES];
  size_t len;

  if (!receive_exactly (call, header, sizeof header, error))
    return false;
  if (!mt_frame_length (header, &len, &cause))
    return reject_reply (call, error, cause);
  payload = g_malloc (len);
  if (!receive_exactly (call, payload, len, error))
    return false;
  if (!mt_frame_decode ((struct mt_str){ payload, len }, &frame, &cause)
      || frame.type != (unsigned) type)
    return reject_reply (call, error, cause);
  *reply = malloc (frame.body.len + 1);
  memcpy (*reply, frame.body.data, frame.body.len);
  (*reply)[frame.body.len] = '\0';
  *reply_len = frame.body.len;
  call->reply_bytes = MT_FRAME_HEADER_BYTES + len;
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
                   "a call of %zu bytes exceeds the frame limit of %d; send less", body.len,
                   MT_PEER_MAX_FRAME_BYTES);
      return false;
    }
  call.fd = take_connection (client, address);
  if ((call.fd >= 0 || connect_to_peer (&call, error)) && send_frame (&call, bytes, len, error))
    ok = receive_reply (&call, type, reply, reply_len, error);
  /* After a failure the late reply may still arrive, so the connection is not reused. */
  if (ok)
    {
      mt_peer_traffic_add (&client->traffic, call.reply_bytes, len);
      keep_connection (client, address, call.fd);
    }
  else if (call.fd >= 0)
    close (call.fd);
  if (!ok && mt_clock_now (client->clock) >= deadline_us)
    close_kept (client, address);
  return ok;
}
