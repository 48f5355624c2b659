#include "http_server.h"

#include "address.h"
#include "http_check.h"
#include "http_connections.h"
#include "medlartrack/error.h"

#include <fcntl.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_REQUEST_HEADERS 64
#define CONNECTION_MEMORY_BYTES                                                                    \
  (32 * 1024) /* for request line and headers; longer ones are answered with 431 */
#define THREAD_STACK_BYTES (256 * 1024)

struct mt_http_server
{
  struct mt_http_server_options options;
  struct MHD_Daemon *mhd;
  struct mt_http_connections *connections;
  unsigned port;
  gint stopping; /* atomic */
};

struct incoming;

/* One open connection; used only by its thread. */
struct caller
{
  struct mt_http_connection *connection;
  struct incoming *incoming; /* request being received or handled; NULL if there is none */
};

/* One request being received or handled; used only by its connection's thread. */
struct incoming
{
  struct mt_http_request request;
  struct caller *caller;
  GString *body;
  bool body_too_long;
  bool rejected;
};

struct header_collector
{
  struct incoming *incoming;
  bool overflow;
  bool malformed;
  unsigned n_content_lengths;
  unsigned n_transfer_encodings;
};

static enum MHD_Result
collect_header (void *ctx,
                enum MHD_ValueKind kind,
                const char *name,
                size_t name_len,
                const char *value,
                size_t value_len)
{
  struct header_collector *collector = ctx;
  struct mt_http_request *request = &collector->incoming->request;
  struct mt_http_header *header;

  if (request->n_headers == MAX_REQUEST_HEADERS)
    {
      collector->overflow = true;
      return MHD_NO;
    }
  header = &request->headers[request->n_headers++];
  header->name = mt_arena_dup (request->arena, (struct mt_str){ name, name_len });
  header->value = mt_arena_dup (request->arena, (struct mt_str){ value, value_len });
  collector->overflow = header->name.data == NULL || header->value.data == NULL;
  if (collector->overflow)
    return MHD_NO;
  collector->malformed = collector->malformed || !mt_http_is_token (header->name)
                         || !mt_http_is_header_value (header->value);
  collector->n_content_lengths
      += mt_str_equal_nocase (header->name, MT_STR ("Content-Length")) ? 1 : 0;
  collector->n_transfer_encodings
      += mt_str_equal_nocase (header->name, MT_STR ("Transfer-Encoding")) ? 1 : 0;
  return MHD_YES;
}

/* Called before libmicrohttpd splits the URI. Copies the URI here, so that the query reaches the
 * minion unchanged. */
static void *
on_request_started (void *ctx, const char *uri, struct MHD_Connection *connection)
{
  struct mt_http_server *server = ctx;
  struct incoming *incoming = g_new0 (struct incoming, 1);

  incoming->request.arena = mt_arena_create (server->options.max_request_memory_bytes);
  incoming->request.path = mt_arena_dup (incoming->request.arena, mt_str_from (uri));
  incoming->caller
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
  incoming->caller->incoming = incoming;
  mt_http_connections_set_phase (server->connections, incoming->caller->connection,
                                 MT_HTTP_PHASE_RECEIVING);
  incoming->request.fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  incoming->body = g_string_new (NULL);
  return incoming;
}

static void
free_incoming (struct incoming *incoming)
{
  g_string_free (incoming->body, TRUE);
  mt_arena_destroy (incoming->request.arena);
  g_free (incoming);
}

static void
on_request_completed (void *ctx,
                      struct MHD_Connection *connection,
                      void **con_cls,
                      enum MHD_RequestTerminationCode code)
{
  struct mt_http_server *server = ctx;
  struct incoming *incoming = *con_cls;

  if (incoming == NULL)
    return;
  mt_http_connections_set_phase (server->connections, incoming->caller->connection,
                                 MT_HTTP_PHASE_IDLE);
  incoming->caller->incoming = NULL;
  free_incoming (incoming);
  *con_cls = NULL;
}

/* Never called: for an answer to HEAD libmicrohttpd uses only the length. */
static ssize_t
read_no_body (void *ctx, uint64_t pos, char *buf, size_t max)
{
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

static struct MHD_Response *
make_response (const struct mt_http_answer *answer)
{
  if (answer->content_length > 0)
    return MHD_create_response_from_callback (answer->content_length, 1, read_no_body, NULL, NULL);
  return MHD_create_response_from_buffer (answer->body.len, (void *) answer->body.data,
                                          MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
send_answer (struct mt_http_server *server,
             struct MHD_Connection *connection,
             const struct mt_http_answer *answer)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (answer->status == MT_HTTP_DROP)
    return MHD_NO;
  response = make_response (answer);
  for (size_t i = 0; i < answer->n_headers; i++)
    if (mt_http_is_token (answer->headers[i].name)
        && mt_http_is_header_value (answer->headers[i].value))
      MHD_add_response_header (response, answer->headers[i].name.data,
                               answer->headers[i].value.data);
  if (g_atomic_int_get (&server->stopping))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (connection, (unsigned) answer->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reject (struct mt_http_server *server,
        struct MHD_Connection *connection,
        struct incoming *incoming,
        int status,
        const char *reason)
{
  g_autofree char *body = g_strdup_printf ("{\"outcome\":\"not-run\",\"reason\":\"%s\"}\n", reason);
  struct mt_http_header headers[] = {
    { MT_STR ("Content-Type"), MT_STR ("application/json") },
    { MT_STR ("Medlartrack-Outcome"), MT_STR ("not-run") },
    { MT_STR ("Connection"), MT_STR ("close") },
  };
  struct mt_http_answer answer = { status, headers, G_N_ELEMENTS (headers), mt_str_from (body) };

  incoming->rejected = true;
  return send_answer (server, connection, &answer);
}

/* Guards against request smuggling: servers differ in how they read two lengths, or a length with
 * chunks, so a minion could take the rest of one caller's body for the next caller's request. */
static bool
has_ambiguous_length (const struct header_collector *collector)
{
  return collector->n_content_lengths + collector->n_transfer_encodings > 1;
}

/* Returns NULL if the request is acceptable; otherwise the reason, with the status to answer. */
static const char *
check_request (struct mt_http_server *server,
               const struct incoming *incoming,
               const struct header_collector *collector,
               int *status)
{
  const struct mt_http_request *request = &incoming->request;
  struct mt_str length
      = mt_http_header_find (request->headers, request->n_headers, MT_STR ("Content-Length"));
  unsigned long long bytes = 0;

  *status = 431;
  if (collector->overflow || request->path.data == NULL)
    return "too many headers; send 64 at most";
  *status = 400;
  if (collector->malformed || !mt_http_is_token (request->method)
      || !mt_http_is_request_target (request->path))
    return "malformed request line or header";
  if (has_ambiguous_length (collector) || (length.data != NULL && !mt_str_to_u64 (length, &bytes)))
    return "the length of the body is not clear; send one Content-Length or chunks";
  *status = 413;
  if (bytes > server->options.max_body_bytes)
    return "body too long; see limits.body_bytes";
  return NULL;
}

static enum MHD_Result
process_headers (struct mt_http_server *server,
                 struct MHD_Connection *connection,
                 struct incoming *incoming,
                 const char *method)
{
  struct mt_http_request *request = &incoming->request;
  struct header_collector collector = { .incoming = incoming };
  const char *reason;
  int status;

  request->method = mt_arena_dup (request->arena, mt_str_from (method));
  request->headers
      = mt_arena_alloc (request->arena, MAX_REQUEST_HEADERS * sizeof *request->headers);
  if (request->headers == NULL || request->method.data == NULL)
    return MHD_NO;
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, collect_header, &collector);
  reason = check_request (server, incoming, &collector, &status);
  return reason == NULL ? MHD_YES : reject (server, connection, incoming, status, reason);
}

static enum MHD_Result
on_request (void *ctx,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_size,
            void **con_cls)
{
  struct mt_http_server *server = ctx;
  struct incoming *incoming = *con_cls;

  if (incoming->rejected)
    {
      *upload_size = 0;
      return MHD_YES;
    }
  if (incoming->request.method.data == NULL)
    return process_headers (server, connection, incoming, method);
  if (*upload_size > 0)
    {
      if (incoming->body->len + *upload_size > server->options.max_body_bytes)
        incoming->body_too_long = true;
      else
        g_string_append_len (incoming->body, upload, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (incoming->body_too_long)
    return reject (server, connection, incoming, 413, "body too long; see limits.body_bytes");
  incoming->request.body = (struct mt_str){ incoming->body->str, incoming->body->len };
  mt_http_connections_set_phase (server->connections, incoming->caller->connection,
                                 MT_HTTP_PHASE_HANDLING);
  server->options.handle (server->options.ctx, &incoming->request);
  mt_http_connections_set_phase (server->connections, incoming->caller->connection,
                                 MT_HTTP_PHASE_SENDING);
  return send_answer (server, connection, &incoming->request.answer);
}

bool
mt_http_request_is_aborted (const struct mt_http_request *request)
{
  struct pollfd fd = { .fd = request->fd };

  return poll (&fd, 1, 0) > 0 && (fd.revents & (POLLERR | POLLHUP)) != 0;
}

static void
on_connection (void *ctx,
               struct MHD_Connection *connection,
               void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  struct mt_http_server *server = ctx;
  struct caller *caller = *socket_context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      caller = g_new0 (struct caller, 1);
      caller->connection = mt_http_connections_add (
          server->connections,
          MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
      *socket_context = caller;
      return;
    }
  mt_http_connections_remove (server->connections, caller->connection);
  /* libmicrohttpd reports completion only for requests whose headers were received completely. */
  if (caller->incoming != NULL)
    free_incoming (caller->incoming);
  g_free (caller);
}

struct mt_http_server *
mt_http_server_create (const struct mt_http_server_options *options, GError **error)
{
  struct mt_http_server *server;
  struct sockaddr_in addr;

  if (!mt_address_parse (options->address, &addr, error))
    return NULL;
  server = g_new0 (struct mt_http_server, 1);
  server->options = *options;
  server->connections
      = mt_http_connections_create (options->clock, 2 * options->idle_timeout_s * MT_SECOND);
  server->mhd = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) CONNECTION_MEMORY_BYTES,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t) THREAD_STACK_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      512U, MHD_OPTION_URI_LOG_CALLBACK, on_request_started, server, MHD_OPTION_NOTIFY_COMPLETED,
      on_request_completed, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (server->mhd == NULL)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SETTINGS,
                   "can't listen on %s; check that no other process uses the port",
                   options->address);
      mt_http_connections_destroy (server->connections);
      g_free (server);
      return NULL;
    }
  server->port = mt_address_bound_port (
      MHD_get_daemon_info (server->mhd, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd);
  return server;
}

unsigned
mt_http_server_port (const struct mt_http_server *server)
{
  return server->port;
}

/* Accepts the connections in the kernel's queue, which closing the listener would reset. */
static void
accept_queued (struct mt_http_server *server, MHD_socket listener)
{
  struct sockaddr_in addr;
  socklen_t len = sizeof addr;
  MHD_socket fd;

  fcntl (listener, F_SETFL, fcntl (listener, F_GETFL) | O_NONBLOCK);
  while ((fd = accept (listener, (struct sockaddr *) &addr, &len)) >= 0)
    {
      MHD_add_connection (server->mhd, fd, (struct sockaddr *) &addr, len);
      len = sizeof addr;
    }
}

void
mt_http_server_stop (struct mt_http_server *server, int64_t linger_us)
{
  MHD_socket fd;

  g_atomic_int_set (&server->stopping, 1);
  g_usleep ((gulong) linger_us);
  fd = MHD_quiesce_daemon (server->mhd);
  if (fd != MHD_INVALID_SOCKET)
    {
      accept_queued (server, fd);
      close (fd);
    }
  mt_http_connections_close_idle (server->connections);
  mt_http_connections_wait_idle (server->connections);
}

void
mt_http_server_destroy (struct mt_http_server *server)
{
  if (server == NULL)
    return;
  MHD_stop_daemon (server->mhd);
  mt_http_connections_destroy (server->connections);
  g_free (server);
}
