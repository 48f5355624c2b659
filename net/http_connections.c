#include "http_connections.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#define CHECKS_PER_LIMIT 4 /* checks for slow callers in each limit_us */

struct mt_http_connection
{
  int fd;
  enum mt_http_phase phase;
  int64_t phase_since_us;
  GList link;
};

struct mt_http_connections
{
  const struct mt_clock *clock;
  int64_t limit_us;
  GThread *watchdog;
  GMutex lock; /* guards the fields below and the connections' */
  GCond changed;
  GQueue open;
  unsigned in_flight; /* not idle */
  bool closing_idle;
  bool stopping;
};

static bool
is_overdue (const struct mt_http_connections *connections,
            const struct mt_http_connection *connection,
            int64_t now_us)
{
  return connection->phase != MT_HTTP_PHASE_HANDLING
         && now_us - connection->phase_since_us > connections->limit_us;
}

/* Shuts down connections that are idle, receiving or sending for longer than limit_us.
 * libmicrohttpd's own timeout restarts with each byte: a caller that sends single bytes at
 * intervals would hold its connection open, and block a graceful stop, for ever. */
static gpointer
run_watchdog (gpointer data)
{
  struct mt_http_connections *connections = data;

  g_mutex_lock (&connections->lock);
  while (!connections->stopping)
    {
      int64_t now = mt_clock_now (connections->clock);

      for (const GList *l = connections->open.head; l != NULL; l = l->next)
        {
          const struct mt_http_connection *connection = l->data;

          if (is_overdue (connections, connection, now))
            shutdown (connection->fd, SHUT_RDWR);
        }
      g_cond_wait_until (&connections->changed, &connections->lock,
                         g_get_monotonic_time () + connections->limit_us / CHECKS_PER_LIMIT);
    }
  g_mutex_unlock (&connections->lock);
  return NULL;
}

struct mt_http_connections *
mt_http_connections_create (const struct mt_clock *clock, int64_t limit_us)
{
  struct mt_http_connections *connections = g_new0 (struct mt_http_connections, 1);

  connections->clock = clock;
  connections->limit_us = limit_us;
  g_mutex_init (&connections->lock);
  g_cond_init (&connections->changed);
  g_queue_init (&connections->open);
  connections->watchdog = g_thread_new ("callers", run_watchdog, connections);
  return connections;
}

void
mt_http_connections_destroy (struct mt_http_connections *connections)
{
  g_mutex_lock (&connections->lock);
  connections->stopping = true;
  g_cond_broadcast (&connections->changed);
  g_mutex_unlock (&connections->lock);
  g_thread_join (connections->watchdog);
  g_mutex_clear (&connections->lock);
  g_cond_clear (&connections->changed);
  g_free (connections);
}

struct mt_http_connection *
mt_http_connections_add (struct mt_http_connections *connections, int fd)
{
  struct mt_http_connection *connection = g_new0 (struct mt_http_connection, 1);

  connection->fd = fd;
  connection->phase_since_us = mt_clock_now (connections->clock);
  connection->link.data = connection;
  g_mutex_lock (&connections->lock);
  g_queue_push_tail_link (&connections->open, &connection->link);
  g_mutex_unlock (&connections->lock);
  return connection;
}

/* The caller holds the lock. */
static void
change_phase (struct mt_http_connections *connections,
              struct mt_http_connection *connection,
              enum mt_http_phase phase)
{
  bool was_in_flight = connection->phase != MT_HTTP_PHASE_IDLE;
  bool is_in_flight = phase != MT_HTTP_PHASE_IDLE;

  /* The time limit for receiving a request counts from the end of the last answer, so that a slow
   * request line is limited like slow headers. */
  if (phase != MT_HTTP_PHASE_RECEIVING)
    connection->phase_since_us = mt_clock_now (connections->clock);
  connection->phase = phase;
  connections->in_flight += (is_in_flight ? 1U : 0U) - (was_in_flight ? 1U : 0U);
  if (connections->in_flight == 0 && connections->closing_idle)
    g_cond_broadcast (&connections->changed);
}

void
mt_http_connections_remove (struct mt_http_connections *connections,
                            struct mt_http_connection *connection)
{
  g_mutex_lock (&connections->lock);
  change_phase (connections, connection, MT_HTTP_PHASE_IDLE);
  g_queue_unlink (&connections->open, &connection->link);
  g_mutex_unlock (&connections->lock);
  g_free (connection);
}

/* Shuts down only the receiving side: a request that has already arrived is still answered. */
static void
close_if_idle (const struct mt_http_connection *connection)
{
  if (connection->phase == MT_HTTP_PHASE_IDLE)
    shutdown (connection->fd, SHUT_RD);
}

void
mt_http_connections_set_phase (struct mt_http_connections *connections,
                               struct mt_http_connection *connection,
                               enum mt_http_phase phase)
{
  g_mutex_lock (&connections->lock);
  change_phase (connections, connection, phase);
  if (connections->closing_idle)
    close_if_idle (connection);
  g_mutex_unlock (&connections->lock);
}

void
mt_http_connections_close_idle (struct mt_http_connections *connections)
{
  g_mutex_lock (&connections->lock);
  connections->closing_idle = true;
  for (const GList *l = connections->open.head; l != NULL; l = l->next)
    close_if_idle (l->data);
  g_mutex_unlock (&connections->lock);
}

void
mt_http_connections_wait_idle (struct mt_http_connections *connections)
{
  g_mutex_lock (&connections->lock);
  while (connections->in_flight > 0)
    g_cond_wait (&connections->changed, &connections->lock);
  g_mutex_unlock (&connections->lock);
}
