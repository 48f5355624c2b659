#include "http_client.h"

#include "http_check.h"

#include "medlartrack/error.h"

#include <ne_auth.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdlib.h>
#include <string.h>

#define MAX_IDLE_CONNECTIONS 64 /* kept connections per address if the call sets no limit */
#define IDLE_TIMEOUT_US      (10 * MT_SECOND)
#define MAX_OVERRUN_US       (1 * MT_SECOND) /* past the deadline; then reading the answer stops */
#define CONNECT_TIMEOUT_S    2 /* within a data centre a live machine answers sooner */
#define READ_CHUNK_BYTES     16384
#define MAX_HEADERS          64
#define ID_HEADER            "Medlartrack-Request-Id"

/* A connection without a current exchange. */
struct idle_connection
{
  ne_session *session;
  int timeout_s; /* its read timeout, in whole seconds */
  int64_t idle_since_us;
};

struct peer
{
  GQueue idle;     /* of struct idle_connection, most recently used first */
  unsigned n_open; /* connections, those in use included */
};

struct mt_http_client
{
  const struct mt_clock *clock;
  GMutex lock;
  GHashTable *peers; /* guarded by lock: address -> struct peer */
};

struct connection
{
  ne_session *session;
  int timeout_s;
  bool used; /* has carried a request before */
};

static void
free_idle (gpointer data)
{
  struct idle_connection *idle = data;

  ne_session_destroy (idle->session);
  g_free (idle);
}

static void
free_peer (gpointer data)
{
  struct peer *peer = data;

  g_queue_clear_full (&peer->idle, free_idle);
  g_free (peer);
}

/* The caller holds the lock. */
static struct peer *
get_peer (struct mt_http_client *client, const char *address)
{
  struct peer *peer = g_hash_table_lookup (client->peers, address);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      g_queue_init (&peer->idle);
      g_hash_table_insert (client->peers, g_strdup (address), peer);
    }
  return peer;
}

static ne_session *
open_session (const char *address, int timeout_s, bool new_connection)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, (gsize) (colon - address));
  ne_session *session = ne_session_create ("http", host, (unsigned) atoi (colon + 1));

  /* neon retries a request by itself, a POST too, if it finds a kept connection closed. Without
   * persistence no connection carries a second request, so that never happens. */
  if (new_connection)
    ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  ne_set_connect_timeout (session, MIN (timeout_s, CONNECT_TIMEOUT_S));
  ne_set_read_timeout (session, timeout_s);
  return session;
}

/* Removes the idle connections that are too old and, if there is a limit, as many more as a new
 * connection needs. The caller holds the lock, and frees them after releasing it. */
static void
evict_idle (struct mt_http_client *client, struct peer *peer, unsigned limit, GQueue *evicted)
{
  int64_t now = mt_clock_now (client->clock);
  const struct idle_connection *oldest;

  while (
      (oldest = g_queue_peek_tail (&peer->idle)) != NULL
      && (oldest->idle_since_us + IDLE_TIMEOUT_US <= now || (limit > 0 && peer->n_open >= limit)))
    {
      g_queue_push_tail (evicted, g_queue_pop_tail (&peer->idle));
      peer->n_open--;
    }
}

/* neon's timeouts are whole seconds, rounded up here; mt_http_exchanges keeps exact deadlines. */
static int
compute_timeout_s (const struct mt_http_client *client, const struct mt_http_call *call)
{
  int64_t remaining_us = call->deadline_us - mt_clock_now (client->clock);

  return remaining_us <= 0 ? 1 : (int) ((remaining_us + MT_SECOND - 1) / MT_SECOND);
}

/* Removes and returns an idle connection whose timeout suits the call; NULL if there is none. neon
 * sets a connection's timeout when opening it. A shorter one would end the call before its
 * deadline, and a much longer one would let it wait far past its deadline. */
static struct idle_connection *
pop_compatible (struct peer *peer, int timeout_s)
{
  for (GList *l = peer->idle.head; l != NULL; l = l->next)
    {
      struct idle_connection *idle = l->data;

      if (idle->timeout_s < timeout_s || idle->timeout_s > 2 * timeout_s)
        continue;
      g_queue_delete_link (&peer->idle, l);
      return idle;
    }
  return NULL;
}

static struct idle_connection *
acquire_idle (struct mt_http_client *client,
              const char *address,
              const struct mt_http_call *call,
              int timeout_s,
              GQueue *evicted)
{
  struct idle_connection *idle = NULL;
  struct peer *peer;

  g_mutex_lock (&client->lock);
  peer = get_peer (client, address);
  evict_idle (client, peer, 0, evicted);
  if (!call->new_connection)
    idle = pop_compatible (peer, timeout_s);
  if (idle == NULL)
    {
      evict_idle (client, peer, call->max_connections, evicted);
      peer->n_open++;
    }
  g_mutex_unlock (&client->lock);
  return idle;
}

static struct connection
acquire_connection (struct mt_http_client *client,
                    const char *address,
                    const struct mt_http_call *call)
{
  int timeout_s = compute_timeout_s (client, call);
  struct connection connection = { .used = true };
  GQueue evicted = G_QUEUE_INIT;
  struct idle_connection *idle = acquire_idle (client, address, call, timeout_s, &evicted);

  g_queue_clear_full (&evicted, free_idle);
  if (idle == NULL)
    return (struct connection){ open_session (address, timeout_s, call->new_connection), timeout_s,
                                false };
  connection.session = idle->session;
  connection.timeout_s = idle->timeout_s;
  g_free (idle);
  return connection;
}

static void
release_connection (struct mt_http_client *client,
                    const char *address,
                    const struct mt_http_call *call,
                    struct connection connection,
                    bool keep)
{
  unsigned limit = call->max_connections > 0 ? call->max_connections : MAX_IDLE_CONNECTIONS;
  struct idle_connection *idle = NULL;
  struct peer *peer;

  g_mutex_lock (&client->lock);
  peer = get_peer (client, address);
  if (keep && peer->n_open <= limit)
    {
      idle = g_new (struct idle_connection, 1);
      *idle = (struct idle_connection){ connection.session, connection.timeout_s,
                                        mt_clock_now (client->clock) };
      g_queue_push_head (&peer->idle, idle);
    }
  else
    peer->n_open--;
  g_mutex_unlock (&client->lock);
  if (idle == NULL)
    ne_session_destroy (connection.session);
}

/* Connections may fall silent together, without a reset: after a time-out the idle ones are closed,
 * too. */
static void
close_idle (struct mt_http_client *client, const char *address)
{
  GQueue evicted = G_QUEUE_INIT;
  struct idle_connection *idle;
  struct peer *peer;

  g_mutex_lock (&client->lock);
  peer = get_peer (client, address);
  while ((idle = g_queue_pop_head (&peer->idle)) != NULL)
    {
      g_queue_push_tail (&evicted, idle);
      peer->n_open--;
    }
  g_mutex_unlock (&client->lock);
  g_queue_clear_full (&evicted, free_idle);
}

static bool
is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "connection",    "keep-alive", "transfer-encoding",  "te",
          "trailer",       "upgrade",    "proxy-authenticate", "proxy-authorization",
          "content-length" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static bool
read_headers (ne_request *request, struct mt_arena *arena, struct mt_http_answer *answer)
{
  const char *name;
  const char *value;
  void *cursor = NULL;

  answer->headers = mt_arena_alloc (arena, MAX_HEADERS * sizeof *answer->headers);
  if (answer->headers == NULL)
    return false;
  while ((cursor = ne_response_header_iterate (request, cursor, &name, &value)) != NULL)
    {
      struct mt_http_header *header = &answer->headers[answer->n_headers];

      if (is_hop_by_hop (name))
        continue;
      if (answer->n_headers == MAX_HEADERS || !mt_http_is_token (mt_str_from (name))
          || !mt_http_is_header_value (mt_str_from (value)))
        return false;
      header->name = mt_arena_dup (arena, mt_str_from (name));
      header->value = mt_arena_dup (arena, mt_str_from (value));
      if (header->name.data == NULL || header->value.data == NULL)
        return false;
      answer->n_headers++;
    }
  return true;
}

/* Returns true if the end of the body is known: without a length or chunks a truncated answer looks
 * complete. */
static bool
answer_is_delimited (ne_request *request, const char *method, int status)
{
  return strcmp (method, "HEAD") == 0 || status == 204 || status == 304
         || ne_get_response_header (request, "Content-Length") != NULL
         || ne_get_response_header (request, "Transfer-Encoding") != NULL;
}

/* Checks the deadline too, since the read timeout restarts with each byte: otherwise a minion that
 * sends byte by byte would hold the connection and its slot for ever. */
static bool
read_body (struct mt_http_client *client,
           ne_request *request,
           const struct mt_http_call *call,
           GString *body,
           GError **error)
{
  char chunk[READ_CHUNK_BYTES];
  ssize_t n;

  while ((n = ne_read_response_block (request, chunk, sizeof chunk)) > 0)
    {
      if (body->len + (size_t) n > call->max_answer_bytes)
        {
          g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                       "the answer is longer than %zu bytes; raise limits.answer_bytes",
                       call->max_answer_bytes);
          return false;
        }
      if (mt_clock_now (client->clock) > call->deadline_us + MAX_OVERRUN_US)
        {
          g_set_error (error, MT_ERROR, MT_ERROR_TIMEOUT,
                       "the answer was still arriving after its deadline; see the minion's log");
          return false;
        }
      g_string_append_len (body, chunk, n);
    }
  if (n < 0)
    g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
                 "the answer is incomplete; see the minion's log");
  return n == 0;
}

static uint64_t
parse_content_length (ne_request *request)
{
  const char *text = ne_get_response_header (request, "Content-Length");
  unsigned long long bytes = 0;

  return text != NULL && mt_str_to_u64 (mt_str_from (text), &bytes) ? bytes : 0;
}

static bool
read_answer (struct mt_http_client *client,
             ne_request *request,
             const struct mt_http_call *call,
             struct mt_arena *arena,
             struct mt_http_answer *answer,
             GError **error)
{
  g_autoptr (GString) body = g_string_new (NULL);

  answer->status = ne_get_status (request)->code;
  if (!answer_is_delimited (request, call->method, answer->status))
    {
      g_set_error (
          error, MT_ERROR, MT_ERROR_UNKNOWN,
          "the answer has no length; have the minion send Content-Length or a chunked body");
      return false;
    }
  if (strcmp (call->method, "HEAD") == 0)
    answer->content_length = parse_content_length (request);
  if (!read_body (client, request, call, body, error))
    return false;
  answer->body = mt_arena_dup (arena, (struct mt_str){ body->str, body->len });
  if (answer->body.data != NULL && read_headers (request, arena, answer))
    return true;
  g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
               "the answer's headers are malformed or too many; see the minion's log");
  return false;
}

static void
on_status (void *ctx, ne_session_status status, const ne_session_status_info *info)
{
  bool *connected = ctx;

  if (status == ne_status_connected)
    *connected = true;
}

/* Only on a new connection does a failure to connect prove that nothing was sent: on one used
 * before, neon may have written the request, then found the connection closed and failed to
 * reconnect. */
static enum mt_http_outcome
begin_request (struct connection connection, ne_request *request, GError **error)
{
  ne_session *session = connection.session;
  bool connected = false;
  int rc;

  ne_set_notifier (session, on_status, &connected);
  rc = ne_begin_request (request);
  ne_set_notifier (session, NULL, NULL);
  if (rc == NE_OK)
    return MT_HTTP_COMPLETE;
  if (!connected && !connection.used)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                   "%s; check that a process listens on the address", ne_get_error (session));
      return MT_HTTP_NOT_SENT;
    }
  g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "%s", ne_get_error (session));
  return MT_HTTP_UNKNOWN;
}

static enum mt_http_outcome
run_exchange (struct mt_http_client *client,
              struct connection connection,
              ne_request *request,
              const struct mt_http_call *call,
              struct mt_arena *arena,
              struct mt_http_answer *answer,
              GError **error)
{
  enum mt_http_outcome outcome = begin_request (connection, request, error);

  if (outcome != MT_HTTP_COMPLETE)
    return outcome;
  if (!read_answer (client, request, call, arena, answer, error))
    return MT_HTTP_UNKNOWN;
  if (ne_end_request (request) != NE_OK)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "%s", ne_get_error (connection.session));
      return MT_HTTP_UNKNOWN;
    }
  return MT_HTTP_COMPLETE;
}

static struct mt_str
get_echoed_id (const struct mt_http_answer *answer)
{
  return mt_http_header_find (answer->headers, answer->n_headers, MT_STR (ID_HEADER));
}

static enum mt_http_outcome
check_request_id (const struct mt_http_call *call,
                  const struct mt_http_answer *answer,
                  GError **error)
{
  struct mt_str id = get_echoed_id (answer);

  if (call->id.len == 0 || id.data == NULL || mt_str_equal (id, call->id))
    return MT_HTTP_COMPLETE;
  g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
               "the answer carries the id of another request; see the minion's log");
  return MT_HTTP_UNKNOWN;
}

/* A connection whose exchange failed is not reused: it may still receive the late answer, which
 * would be taken for the answer to the next request. Nor is one whose minion echoes no id: the copy
 * of a duplicated answer would be taken for the answer to the next request. */
static bool
is_reusable (const struct mt_http_call *call,
             const struct mt_http_answer *answer,
             enum mt_http_outcome outcome)
{
  return outcome == MT_HTTP_COMPLETE && !call->new_connection
         && (call->id.len == 0 || get_echoed_id (answer).data != NULL);
}

struct mt_http_client *
mt_http_client_create (const struct mt_clock *clock)
{
  struct mt_http_client *client = g_new0 (struct mt_http_client, 1);

  ne_sock_init ();
  client->clock = clock;
  g_mutex_init (&client->lock);
  client->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_peer);
  return client;
}

void
mt_http_client_destroy (struct mt_http_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->peers);
  g_mutex_clear (&client->lock);
  g_free (client);
}

enum mt_http_outcome
mt_http_client_call (struct mt_http_client *client,
                     const char *address,
                     const struct mt_http_call *call,
                     struct mt_arena *arena,
                     struct mt_http_answer *answer,
                     GError **error)
{
  struct connection connection = acquire_connection (client, address, call);
  ne_request *request = ne_request_create (connection.session, call->method, call->path);
  enum mt_http_outcome outcome;

  *answer = (struct mt_http_answer){ 0 };
  for (size_t i = 0; i < call->n_headers; i++)
    ne_add_request_header (request, call->headers[i].name.data, call->headers[i].value.data);
  if (call->id.len > 0)
    ne_add_request_header (request, ID_HEADER, call->id.data);
  if (call->body.len > 0)
    ne_set_request_body_buffer (request, call->body.data, call->body.len);
  outcome = run_exchange (client, connection, request, call, arena, answer, error);
  if (outcome == MT_HTTP_COMPLETE)
    outcome = check_request_id (call, answer, error);
  ne_request_destroy (request);
  release_connection (client, address, call, connection, is_reusable (call, answer, outcome));
  if (outcome == MT_HTTP_UNKNOWN && mt_clock_now (client->clock) >= call->deadline_us)
    close_idle (client, address);
  return outcome;
}

struct mt_str
mt_http_header_find (const struct mt_http_header *headers, size_t n, struct mt_str name)
{
  for (size_t i = 0; i < n; i++)
    if (mt_str_equal_nocase (headers[i].name, name))
      return headers[i].value;
  return (struct mt_str){ NULL, 0 };
}
