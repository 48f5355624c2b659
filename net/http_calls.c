#include "http_calls.h"

#include "traffic.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_ANSWER_BYTES (4 * 1024 * 1024)
#define MAX_HEADER_BYTES (16 * 1024)
/* Estimates for the traffic counters: request line, Host, Content-Type and Content-Length of a
 * call; status line and headers of an answer. */
#define REQUEST_HEAD_BYTES 100U
#define ANSWER_HEAD_BYTES  110U

struct lane;

struct connection
{
  struct lane *lane;
  struct evhttp_connection *evcon;
  struct pending_call *pending; /* NULL while idle */
  bool connected;               /* has carried an answer; a later failure is not a failed connect */
};

struct pending_call
{
  struct lane *lane;
  struct connection *connection; /* NULL while queued */
  struct event *timer;
  const char *kind;
  enum mt_call_method method;
  char *path;
  char *body;
  size_t body_len;
  struct mt_call_header *headers;
  mt_call_done done;
  void *ctx;
};

/* Connections and queue of one address and lane number. */
struct lane
{
  struct mt_calls *calls;
  char *key;
  char *ip;
  uint16_t port;
  unsigned max_connections;
  GPtrArray *connections; /* of struct connection */
  GQueue waiting;         /* of struct pending_call, not sent yet */
};

struct mt_calls
{
  struct event_base *base;
  struct mt_traffic *traffic;
  GHashTable *lanes;
  GPtrArray *retired; /* closed connections, freed by the reaper */
  struct event *reaper;
  uint64_t connections_opened;
  bool closing;
};

static void send_waiting (struct lane *lane);

static void
free_pending (struct pending_call *pending)
{
  for (struct mt_call_header *h = pending->headers; h != NULL && h->name != NULL; h++)
    {
      g_free ((char *) h->name);
      g_free ((char *) h->value);
    }
  g_free (pending->headers);
  event_free (pending->timer);
  g_free (pending->path);
  g_free (pending->body);
  g_free (pending);
}

static void
free_connection (void *data)
{
  struct connection *c = data;

  evhttp_connection_free (c->evcon);
  if (c->pending != NULL)
    free_pending (c->pending);
  g_free (c);
}

static void
free_lane (void *data)
{
  struct lane *lane = data;

  g_queue_clear_full (&lane->waiting, (GDestroyNotify) free_pending);
  g_ptr_array_unref (lane->connections);
  g_free (lane->ip);
  g_free (lane->key);
  g_free (lane);
}

/* libevent still uses a connection during its callback, so a failed one is freed by a separate
 * event. */
static void
free_retired (evutil_socket_t fd, short what, void *ctx)
{
  struct mt_calls *calls = ctx;

  g_ptr_array_set_size (calls->retired, 0);
}

static void
retire_connection (struct connection *c)
{
  struct mt_calls *calls = c->lane->calls;

  c->pending = NULL;
  g_ptr_array_remove_fast (c->lane->connections, c);
  g_ptr_array_add (calls->retired, c);
  event_active (calls->reaper, 0, 0);
}

static void
complete_call (struct pending_call *pending, const struct mt_call_answer *answer)
{
  mt_call_done done = pending->done;
  void *ctx = pending->ctx;
  struct lane *lane = pending->lane;

  free_pending (pending);
  send_waiting (lane);
  done (ctx, answer);
}

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  struct pending_call *pending = ctx;
  struct mt_call_answer answer = { .sent = pending->connection != NULL };

  if (pending->connection != NULL)
    retire_connection (pending->connection);
  else
    g_queue_remove (&pending->lane->waiting, pending);
  complete_call (pending, &answer);
}

static void
on_answer (struct evhttp_request *request, void *ctx)
{
  struct connection *c = ctx;
  struct pending_call *pending = c->pending;
  struct mt_call_answer answer = { .sent = true };
  struct evbuffer *input;

  if (pending == NULL)
    return; /* already timed out */
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      retire_connection (c);
      complete_call (pending, &answer);
      return;
    }
  input = evhttp_request_get_input_buffer (request);
  answer.status = evhttp_request_get_response_code (request);
  answer.body.len = evbuffer_get_length (input);
  answer.body.data = (const char *) evbuffer_pullup (input, -1);
  mt_traffic_add_received (c->lane->calls->traffic, pending->kind,
                           ANSWER_HEAD_BYTES + answer.body.len);
  c->pending = NULL;
  c->connected = true;
  complete_call (pending, &answer);
}

static struct connection *
open_connection (struct lane *lane)
{
  struct connection *c = g_new0 (struct connection, 1);

  c->lane = lane;
  c->evcon = evhttp_connection_base_new (lane->calls->base, NULL, lane->ip, lane->port);
  evhttp_connection_set_max_body_size (c->evcon, MAX_ANSWER_BYTES);
  evhttp_connection_set_max_headers_size (c->evcon, MAX_HEADER_BYTES);
  g_ptr_array_add (lane->connections, c);
  lane->calls->connections_opened++;
  return c;
}

static struct connection *
get_connection (struct lane *lane)
{
  for (guint i = 0; i < lane->connections->len; i++)
    {
      struct connection *c = lane->connections->pdata[i];

      if (c->pending == NULL)
        return c;
    }
  return lane->connections->len < lane->max_connections ? open_connection (lane) : NULL;
}

static size_t
get_request_bytes (const struct pending_call *pending)
{
  size_t bytes = REQUEST_HEAD_BYTES + strlen (pending->path) + pending->body_len;

  for (const struct mt_call_header *h = pending->headers; h != NULL && h->name != NULL; h++)
    bytes += strlen (h->name) + strlen (h->value);
  return bytes;
}

static void
send_on_connection (struct connection *c, struct pending_call *pending)
{
  static const enum evhttp_cmd_type methods[] = {
    [MT_CALL_GET] = EVHTTP_REQ_GET,
    [MT_CALL_POST] = EVHTTP_REQ_POST,
    [MT_CALL_DELETE] = EVHTTP_REQ_DELETE,
  };
  struct evhttp_request *request = evhttp_request_new (on_answer, c);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char host[64];

  g_snprintf (host, sizeof host, "%s:%u", c->lane->ip, c->lane->port);
  evhttp_add_header (headers, "Host", host);
  for (const struct mt_call_header *h = pending->headers; h != NULL && h->name != NULL; h++)
    evhttp_add_header (headers, h->name, h->value);
  if (pending->body_len > 0)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), pending->body, pending->body_len);
    }
  c->pending = pending;
  pending->connection = c;
  mt_traffic_add_sent (c->lane->calls->traffic, pending->kind, get_request_bytes (pending));
  /* On failure libevent frees the request without a callback; the timer then completes the call. */
  evhttp_make_request (c->evcon, request, methods[pending->method], pending->path);
}

static void
send_waiting (struct lane *lane)
{
  while (!lane->calls->closing && !g_queue_is_empty (&lane->waiting))
    {
      struct connection *c = get_connection (lane);

      if (c == NULL)
        return;
      send_on_connection (c, g_queue_pop_head (&lane->waiting));
    }
}

static struct lane *
get_lane (struct mt_calls *calls, const struct mt_call *call)
{
  char key[96];
  const char *colon = strrchr (call->address, ':');
  struct lane *lane;

  g_snprintf (key, sizeof key, "%s/%u", call->address, call->lane);
  lane = g_hash_table_lookup (calls->lanes, key);
  if (lane == NULL)
    {
      lane = g_new0 (struct lane, 1);
      lane->calls = calls;
      lane->key = g_strdup (key);
      lane->ip = colon != NULL ? g_strndup (call->address, (gsize) (colon - call->address))
                               : g_strdup (call->address);
      lane->port = colon != NULL ? (uint16_t) atoi (colon + 1) : 0;
      lane->connections = g_ptr_array_new_with_free_func (NULL);
      g_hash_table_insert (calls->lanes, lane->key, lane);
    }
  lane->max_connections = MAX (call->max_connections, 1U);
  return lane;
}

static struct mt_call_header *
copy_headers (const struct mt_call_header *headers)
{
  size_t n = 0;
  struct mt_call_header *copy;

  if (headers == NULL)
    return NULL;
  while (headers[n].name != NULL)
    n++;
  copy = g_new0 (struct mt_call_header, n + 1);
  for (size_t i = 0; i < n; i++)
    copy[i] = (struct mt_call_header){ g_strdup (headers[i].name), g_strdup (headers[i].value) };
  return copy;
}

void
mt_calls_send (struct mt_calls *calls, const struct mt_call *call, mt_call_done done, void *ctx)
{
  struct pending_call *pending = g_new0 (struct pending_call, 1);
  struct timeval limit = { call->timeout_ms / 1000, call->timeout_ms % 1000 * 1000 };

  pending->lane = get_lane (calls, call);
  pending->kind = call->kind;
  pending->method = call->method;
  pending->path = g_strdup (call->path);
  pending->body = g_memdup2 (call->body.data, call->body.len);
  pending->body_len = call->body.len;
  pending->headers = copy_headers (call->headers);
  pending->done = done;
  pending->ctx = ctx;
  pending->timer = event_new (calls->base, -1, 0, on_timeout, pending);
  event_add (pending->timer, &limit);
  g_queue_push_tail (&pending->lane->waiting, pending);
  send_waiting (pending->lane);
}

void
mt_calls_close_idle (struct mt_calls *calls, const char *address)
{
  GHashTableIter it;
  struct lane *lane;

  g_hash_table_iter_init (&it, calls->lanes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &lane))
    {
      if (!g_str_has_prefix (lane->key, address) || lane->key[strlen (address)] != '/')
        continue;
      for (guint i = lane->connections->len; i > 0; i--)
        if (((struct connection *) lane->connections->pdata[i - 1])->pending == NULL)
          retire_connection (lane->connections->pdata[i - 1]);
    }
}

uint64_t
mt_calls_connections_opened (const struct mt_calls *calls)
{
  return calls->connections_opened;
}

struct mt_calls *
mt_calls_create (struct event_base *base, struct mt_traffic *traffic)
{
  struct mt_calls *calls = g_new0 (struct mt_calls, 1);

  calls->base = base;
  calls->traffic = traffic;
  calls->lanes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_lane);
  calls->retired = g_ptr_array_new_with_free_func (free_connection);
  calls->reaper = event_new (base, -1, 0, free_retired, calls);
  return calls;
}

/* Completes one call without an answer; returns false if none is left. A callback may start another
 * call, which a later iteration completes. */
static bool
complete_one_call (struct mt_calls *calls)
{
  GHashTableIter it;
  struct lane *lane;

  g_hash_table_iter_init (&it, calls->lanes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &lane))
    {
      struct connection *c = lane->connections->len > 0 ? lane->connections->pdata[0] : NULL;
      struct pending_call *pending = c != NULL ? c->pending : g_queue_pop_head (&lane->waiting);
      struct mt_call_answer answer = { .sent = c != NULL };

      if (c != NULL)
        retire_connection (c);
      if (pending != NULL)
        complete_call (pending, &answer);
      if (c != NULL || pending != NULL)
        return true;
    }
  return false;
}

void
mt_calls_destroy (struct mt_calls *calls)
{
  if (calls == NULL)
    return;
  calls->closing = true;
  while (complete_one_call (calls))
    continue;
  g_ptr_array_unref (calls->retired);
  g_hash_table_unref (calls->lanes);
  event_free (calls->reaper);
  g_free (calls);
}
