#include "http_front.h"

#include "address.h"
#include "medlartrack/error.h"
#include "traffic.h"

#include <event2/event.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

/* Digits of the seconds in Retry-After, and the terminating NUL. */
#define RETRY_HEADER_CHARS      16
#define CONNECTION_MEMORY_BYTES (16 * 1024)
/* Estimates for the traffic counters: first line and headers of a request and of an answer. */
#define REQUEST_HEAD_BYTES 200U
#define ANSWER_HEAD_BYTES  140U

struct mt_exchange
{
  struct mt_http_front *front;
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  GString *body;
  int64_t started_ms;
  bool body_too_long;
  bool handled;   /* the handler was called */
  bool suspended; /* waits for its answer */
  GList link;     /* in the front's queue of suspended exchanges */
  struct MHD_Response *response;
  unsigned status;
};

struct mt_http_front
{
  struct event_base *base;
  struct MHD_Daemon *daemon;
  struct event *readable_event;
  struct event *timer;
  mt_http_front_handler handle;
  void *ctx;
  size_t max_body_bytes;
  const char *kind;
  struct mt_traffic *traffic;
  GQueue suspended; /* of struct mt_exchange */
  unsigned in_flight;
  bool closing;
  bool destroyed; /* calls that still arrive are refused */
  bool running;
  bool rerun;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

const char *
mt_exchange_method (const struct mt_exchange *exchange)
{
  return exchange->method;
}

const char *
mt_exchange_path (const struct mt_exchange *exchange)
{
  return exchange->path;
}

const char *
mt_exchange_header (const struct mt_exchange *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
}

const char *
mt_exchange_query (const struct mt_exchange *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

struct mt_str
mt_exchange_body (const struct mt_exchange *exchange)
{
  return (struct mt_str){ exchange->body->str, exchange->body->len };
}

int64_t
mt_exchange_started_ms (const struct mt_exchange *exchange)
{
  return exchange->started_ms;
}

/* Lets libmicrohttpd process its connections. Its callbacks may answer exchanges, which requires
 * another pass. */
static void
run_daemon (struct mt_http_front *front)
{
  MHD_UNSIGNED_LONG_LONG wait = 0;
  struct timeval limit;

  if (front->running)
    {
      front->rerun = true;
      return;
    }
  front->running = true;
  do
    {
      front->rerun = false;
      MHD_run (front->daemon);
    }
  while (front->rerun);
  front->running = false;
  if (MHD_get_timeout (front->daemon, &wait) != MHD_YES)
    {
      event_del (front->timer);
      return;
    }
  limit = (struct timeval){ (time_t) (wait / 1000), (suseconds_t) (wait % 1000 * 1000) };
  event_add (front->timer, &limit);
}

static void
on_event (evutil_socket_t fd, short what, void *ctx)
{
  run_daemon (ctx);
}

static void
free_exchange (struct mt_exchange *exchange)
{
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  g_string_free (exchange->body, TRUE);
  g_free (exchange);
}

void
mt_exchange_answer (struct mt_exchange *exchange,
                    unsigned status,
                    const char *content_type,
                    struct mt_str body,
                    unsigned retry_after_s)
{
  char retry[RETRY_HEADER_CHARS];

  mt_traffic_add_sent (exchange->front->traffic, exchange->front->kind,
                       ANSWER_HEAD_BYTES + body.len);
  exchange->status = status;
  exchange->response
      = MHD_create_response_from_buffer (body.len, (void *) body.data, MHD_RESPMEM_MUST_COPY);
  if (content_type != NULL)
    MHD_add_response_header (exchange->response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  if (retry_after_s > 0)
    {
      g_snprintf (retry, sizeof retry, "%u", retry_after_s);
      MHD_add_response_header (exchange->response, MHD_HTTP_HEADER_RETRY_AFTER, retry);
    }
  if (status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (exchange->response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "ApiKey");
  if (exchange->front->closing)
    MHD_add_response_header (exchange->response, MHD_HTTP_HEADER_CONNECTION, "close");
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  g_queue_unlink (&exchange->front->suspended, &exchange->link);
  MHD_resume_connection (exchange->connection);
  /* Schedules a single run of libmicrohttpd for all answers given in this iteration of the loop. */
  event_active (exchange->front->readable_event, EV_TIMEOUT, 0);
}

static enum MHD_Result
queue_answer (struct mt_exchange *exchange)
{
  return MHD_queue_response (exchange->connection, exchange->status, exchange->response);
}

static enum MHD_Result
answer_too_long (struct mt_exchange *exchange)
{
  mt_exchange_answer (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                      MT_STR ("body too long\n"), 0);
  return queue_answer (exchange);
}

static void
refuse (struct mt_exchange *exchange)
{
  mt_exchange_answer (exchange, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, MT_STR (""), 1);
}

static enum MHD_Result
on_request (void *ctx,
            struct MHD_Connection *connection,
            const char *path,
            const char *method,
            const char *version,
            const char *data,
            size_t *data_len,
            void **state)
{
  struct mt_http_front *front = ctx;
  struct mt_exchange *exchange = *state;

  if (exchange == NULL)
    {
      exchange = g_new0 (struct mt_exchange, 1);
      exchange->front = front;
      exchange->connection = connection;
      exchange->body = g_string_sized_new (0);
      exchange->started_ms = now_ms ();
      front->in_flight++;
      *state = exchange;
      return MHD_YES;
    }
  exchange->path = path;
  exchange->method = method;
  if (*data_len > 0)
    {
      if (exchange->body->len + *data_len > front->max_body_bytes)
        exchange->body_too_long = true;
      else
        g_string_append_len (exchange->body, data, (gssize) *data_len);
      *data_len = 0;
      return MHD_YES;
    }
  if (exchange->body_too_long)
    return exchange->response != NULL ? MHD_YES : answer_too_long (exchange);
  if (!exchange->handled)
    {
      exchange->handled = true;
      mt_traffic_add_received (front->traffic, front->kind,
                               REQUEST_HEAD_BYTES + exchange->body->len);
      if (front->destroyed)
        refuse (exchange);
      else
        front->handle (front->ctx, exchange);
      if (exchange->response == NULL)
        {
          exchange->suspended = true;
          exchange->link.data = exchange;
          g_queue_push_tail_link (&front->suspended, &exchange->link);
          MHD_suspend_connection (connection);
          return MHD_YES;
        }
    }
  return exchange->response != NULL ? queue_answer (exchange) : MHD_YES;
}

static void
on_completed (void *ctx,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  struct mt_http_front *front = ctx;
  struct mt_exchange *exchange = *state;

  if (exchange == NULL)
    return;
  front->in_flight--;
  free_exchange (exchange);
  *state = NULL;
}

struct mt_http_front *
mt_http_front_create (struct event_base *base,
                      const struct mt_http_front_options *options,
                      GError **error)
{
  struct mt_http_front *front = g_new0 (struct mt_http_front, 1);
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;

  front->base = base;
  front->handle = options->handle;
  front->ctx = options->ctx;
  front->max_body_bytes = options->max_body_bytes;
  front->kind = options->kind;
  front->traffic = options->traffic;
  if (mt_address_parse (options->address, &address, error))
    front->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, front,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, front,
        MHD_OPTION_CONNECTION_LIMIT, options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        options->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t) CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
  if (front->daemon == NULL)
    {
      if (error != NULL && *error == NULL)
        g_set_error (error, MT_ERROR, MT_ERROR_SETTINGS,
                     "can't listen on %s; check that no other process uses the port",
                     options->address);
      g_free (front);
      return NULL;
    }
  info = MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  front->readable_event = event_new (base, info->epoll_fd, EV_READ | EV_PERSIST, on_event, front);
  front->timer = event_new (base, -1, 0, on_event, front);
  event_add (front->readable_event, NULL);
  run_daemon (front);
  return front;
}

unsigned
mt_http_front_port (const struct mt_http_front *front)
{
  return MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
mt_http_front_close_after_answers (struct mt_http_front *front)
{
  front->closing = true;
}

unsigned
mt_http_front_in_flight (const struct mt_http_front *front)
{
  return front->in_flight;
}

void
mt_http_front_destroy (struct mt_http_front *front)
{
  if (front == NULL)
    return;
  front->destroyed = true;
  while (!g_queue_is_empty (&front->suspended))
    mt_exchange_answer (g_queue_peek_head (&front->suspended), MHD_HTTP_GATEWAY_TIMEOUT, NULL,
                        MT_STR (""), 1);
  run_daemon (front);
  event_free (front->readable_event);
  event_free (front->timer);
  MHD_stop_daemon (front->daemon);
  g_free (front);
}
