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

/* Limits the memory that one answer can take. */
#define MAX_ANSWER_BYTES (48 * 1024 * 1024)
#define MAX_HEADER_BYTES (16 * 1024)
/* Estimates for the traffic counters: request line, Host, Content-Type and Content-Length of a
 * call; status line and headers of an answer. */
#define REQUEST_HEAD_BYTES 100U
#define ANSWER_HEAD_BYTES  110U
/* libevent's timers follow a clock with ticks of 4 ms and may run that much early: a hedged call,
 * sent after unresponsive_ms, was answered when the first one had waited for 29 of 30 ms. */
#define TIMER_TICK_MS 4
/* Idle connections that answered within this time are kept after a time-out. Time-outs are longer:
 * what answered so lately is not among the connections that failed with the timed-out one. */
#define PROVEN_MS 250
/* Least bytes that count as progress of an answer. */
#define MIN_PROGRESS_BYTES 4096U

struct lane;

/* What the lanes of one address share. */
struct server
{
  int64_t answered_at; /* when a call to the address was last answered */
  GPtrArray *lanes;    /* of struct lane */
};

struct connection
{
  struct lane *lane;
  struct evhttp_connection *evcon;
  struct pending_call *pending; /* NULL while idle */
  int64_t answered_at;          /* 0: never */
};

struct pending_call
{
  struct lane *lane;
  struct connection *connection; /* NULL while queued */
  struct event *timer;
  bool sent;            /* bytes of it were given to a connected socket */
  size_t received;      /* bytes of its answer */
  int64_t answer_began; /* when the first of them arrived */
  bool began_late;      /* the connection was unresponsive then */
  int64_t progress_ms;  /* as in struct mt_call */
  size_t progress;      /* bytes received at the last progress */
  void (*begun) (void *ctx);
  int64_t began;           /* when it was given to its connection */
  int64_t unresponsive_ms; /* as in struct mt_call */
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
  struct server *server;
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
  GHashTable *servers;
  GPtrArray *retired; /* closed connections, freed by the reaper */
  struct event *reaper;
  uint64_t connections_opened;
  bool closing;
};

static void send_waiting (struct lane *lane);
static void send_waiting_of_server (struct lane *lane);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

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

/* Notes that bytes of the call were written. Bytes dropped with a closed socket do not count. */
static void
on_output (struct evbuffer *output, const struct evbuffer_cb_info *info, void *ctx)
{
  struct connection *c = ctx;

  if (info->n_deleted > 0 && c->pending != NULL
      && bufferevent_getfd (evhttp_connection_get_bufferevent (c->evcon)) >= 0)
    c->pending->sent = true;
}

/* Returns whether other calls to the address were answered after this connection's call had waited
 * for too long until its answer began. */
static bool
is_unresponsive (const struct connection *c)
{
  const struct pending_call *pending = c->pending;

  if (pending == NULL || pending->unresponsive_ms == 0)
    return false;
  if (pending->received > 0)
    return pending->began_late;
  return c->lane->server->answered_at - pending->began > pending->unresponsive_ms - TIMER_TICK_MS;
}

static void
set_timer (struct pending_call *pending, int64_t after_ms)
{
  struct timeval limit = { after_ms / 1000, after_ms % 1000 * 1000 };

  event_add (pending->timer, &limit);
}

static void
note_received (struct connection *c, size_t bytes)
{
  struct pending_call *pending = c->pending;
  bool first = pending->received == 0;

  if (first)
    {
      pending->began_late = is_unresponsive (c);
      pending->answer_began = now_ms ();
    }
  pending->received += bytes;
  if (pending->progress_ms > 0
      && (first || pending->received - pending->progress >= MIN_PROGRESS_BYTES))
    {
      pending->progress = pending->received;
      set_timer (pending, pending->progress_ms);
    }
  if (first && pending->begun != NULL)
    pending->begun (pending->ctx);
}

static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *info, void *ctx)
{
  struct connection *c = ctx;

  if (c->pending != NULL && info->n_added > 0)
    note_received (c, info->n_added);
}

static void
free_connection (void *data)
{
  struct connection *c = data;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (c->evcon);

  /* libevent frees the buffers later than the connection. */
  evbuffer_remove_cb (bufferevent_get_output (bev), on_output, c);
  evbuffer_remove_cb (bufferevent_get_input (bev), on_input, c);
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

static void
free_server (void *data)
{
  struct server *server = data;

  g_ptr_array_unref (server->lanes);
  g_free (server);
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
close_idle (struct lane *lane, int64_t answered_before)
{
  for (guint i = lane->connections->len; i > 0; i--)
    {
      struct connection *c = lane->connections->pdata[i - 1];

      if (c->pending == NULL && c->answered_at < answered_before)
        retire_connection (c);
    }
}

/* A connection can fall silent without a reset, and others with it: a call sent on an idle one
 * would wait for its own time-out. */
static void
close_unproven (struct server *server)
{
  for (guint i = 0; i < server->lanes->len; i++)
    close_idle (server->lanes->pdata[i], now_ms () - PROVEN_MS);
}

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  struct pending_call *pending = ctx;
  struct mt_call_answer answer = { .sent = pending->sent, .received = pending->received };

  if (pending->connection != NULL)
    {
      retire_connection (pending->connection);
      close_unproven (pending->lane->server);
    }
  else
    g_queue_remove (&pending->lane->waiting, pending);
  complete_call (pending, &answer);
}

static void
on_answer (struct evhttp_request *request, void *ctx)
{
  struct connection *c = ctx;
  struct pending_call *pending = c->pending;
  struct mt_call_answer answer = { 0 };
  struct evbuffer *input;
  bool unresponsive;

  if (pending == NULL)
    return; /* already timed out */
  answer.sent = pending->sent;
  answer.received = pending->received;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      retire_connection (c);
      complete_call (pending, &answer);
      return;
    }
  unresponsive = is_unresponsive (c);
  c->answered_at = now_ms ();
  answer.transfer_ms = c->answered_at - pending->answer_began;
  c->lane->server->answered_at = c->answered_at;
  input = evhttp_request_get_input_buffer (request);
  answer.status = evhttp_request_get_response_code (request);
  answer.body.len = evbuffer_get_length (input);
  answer.body.data = (const char *) evbuffer_pullup (input, -1);
  mt_traffic_add_received (c->lane->calls->traffic, pending->kind,
                           ANSWER_HEAD_BYTES + answer.body.len);
  c->pending = NULL;
  if (unresponsive)
    retire_connection (c);
  send_waiting_of_server (c->lane);
  complete_call (pending, &answer);
}

static struct connection *
open_connection (struct lane *lane)
{
  struct connection *c = g_new0 (struct connection, 1);
  struct bufferevent *bev;

  c->lane = lane;
  c->evcon = evhttp_connection_base_new (lane->calls->base, NULL, lane->ip, lane->port);
  bev = evhttp_connection_get_bufferevent (c->evcon);
  evhttp_connection_set_max_body_size (c->evcon, MAX_ANSWER_BYTES);
  evhttp_connection_set_max_headers_size (c->evcon, MAX_HEADER_BYTES);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, c);
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, c);
  g_ptr_array_add (lane->connections, c);
  lane->calls->connections_opened++;
  return c;
}

/* Unresponsive connections do not count towards the limit, so that calls do not queue behind them.
 * At most as many more connections are opened. */
static unsigned
connection_limit (const struct lane *lane)
{
  unsigned unresponsive = 0;

  for (guint i = 0; i < lane->connections->len; i++)
    unresponsive += is_unresponsive (lane->connections->pdata[i]);
  return lane->max_connections + MIN (unresponsive, lane->max_connections);
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
  return lane->connections->len < connection_limit (lane) ? open_connection (lane) : NULL;
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
  pending->began = now_ms ();
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

/* An answer on one lane may show that connections of another are unresponsive. */
static void
send_waiting_of_server (struct lane *lane)
{
  for (guint i = 0; i < lane->server->lanes->len; i++)
    if (lane->server->lanes->pdata[i] != lane)
      send_waiting (lane->server->lanes->pdata[i]);
}

static struct server *
get_server (struct mt_calls *calls, const char *address)
{
  struct server *server = g_hash_table_lookup (calls->servers, address);

  if (server != NULL)
    return server;
  server = g_new0 (struct server, 1);
  server->lanes = g_ptr_array_new ();
  g_hash_table_insert (calls->servers, g_strdup (address), server);
  return server;
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
      lane->server = get_server (calls, call->address);
      g_ptr_array_add (lane->server->lanes, lane);
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

  pending->lane = get_lane (calls, call);
  pending->kind = call->kind;
  pending->unresponsive_ms = call->unresponsive_ms;
  pending->progress_ms = call->progress_ms;
  pending->begun = call->begun;
  pending->method = call->method;
  pending->path = g_strdup (call->path);
  pending->body = g_memdup2 (call->body.data, call->body.len);
  pending->body_len = call->body.len;
  pending->headers = copy_headers (call->headers);
  pending->done = done;
  pending->ctx = ctx;
  pending->timer = event_new (calls->base, -1, 0, on_timeout, pending);
  set_timer (pending, call->timeout_ms);
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
    if (g_str_has_prefix (lane->key, address) && lane->key[strlen (address)] == '/')
      close_idle (lane, INT64_MAX);
}

struct event_base *
mt_calls_base (const struct mt_calls *calls)
{
  return calls->base;
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
  calls->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_server);
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
      struct mt_call_answer answer = { .sent = pending != NULL && pending->sent };

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
  g_hash_table_unref (calls->servers);
  event_free (calls->reaper);
  g_free (calls);
}
