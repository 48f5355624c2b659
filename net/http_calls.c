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
/* First line, Host, Content-Type and Content-Length of a call; status line and headers of an
 * answer. */
#define CALL_HEAD_BYTES   100U
#define ANSWER_HEAD_BYTES 110U

struct lane;

struct connection
{
  struct lane *lane;
  struct evhttp_connection *evcon;
  struct pending *busy; /* NULL while idle */
  bool up;              /* has carried an answer: a failure now is after it was connected */
};

struct pending
{
  struct lane *lane;
  struct connection *connection; /* NULL while it waits */
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

/* One address under one lane number. */
struct lane
{
  struct mt_calls *calls;
  char *key;
  char *ip;
  uint16_t port;
  unsigned most;
  GPtrArray *connections; /* struct connection */
  GQueue waiting;         /* struct pending */
};

struct mt_calls
{
  struct event_base *base;
  struct mt_traffic *traffic;
  GHashTable *lanes;
  GPtrArray *doomed; /* connections to free once libevent has let go of them */
  struct event *reaper;
  uint64_t opened;
  bool closing;
};

static void start_next (struct lane *lane);

static void
free_pending (struct pending *p)
{
  for (struct mt_call_header *h = p->headers; h != NULL && h->name != NULL; h++)
    {
      g_free ((char *) h->name);
      g_free ((char *) h->value);
    }
  g_free (p->headers);
  event_free (p->timer);
  g_free (p->path);
  g_free (p->body);
  g_free (p);
}

static void
free_connection (void *data)
{
  struct connection *c = data;

  evhttp_connection_free (c->evcon);
  if (c->busy != NULL)
    free_pending (c->busy);
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

/* libevent still uses a connection while it calls back, so a failed one is freed from the loop. */
static void
reap (evutil_socket_t fd, short what, void *ctx)
{
  struct mt_calls *calls = ctx;

  g_ptr_array_set_size (calls->doomed, 0);
}

static void
doom (struct connection *c)
{
  struct mt_calls *calls = c->lane->calls;

  c->busy = NULL;
  g_ptr_array_remove_fast (c->lane->connections, c);
  g_ptr_array_add (calls->doomed, c);
  event_active (calls->reaper, 0, 0);
}

static void
finish (struct pending *p, const struct mt_call_answer *answer)
{
  mt_call_done done = p->done;
  void *ctx = p->ctx;
  struct lane *lane = p->lane;

  free_pending (p);
  start_next (lane);
  done (ctx, answer);
}

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  struct pending *p = ctx;
  struct mt_call_answer answer = { .sent = p->connection != NULL };

  if (p->connection != NULL)
    doom (p->connection);
  else
    g_queue_remove (&p->lane->waiting, p);
  finish (p, &answer);
}

static void
on_answer (struct evhttp_request *request, void *ctx)
{
  struct connection *c = ctx;
  struct pending *p = c->busy;
  struct mt_call_answer answer = { .sent = true };
  struct evbuffer *input;

  if (p == NULL)
    return; /* timed out before */
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      doom (c);
      finish (p, &answer);
      return;
    }
  input = evhttp_request_get_input_buffer (request);
  answer.status = evhttp_request_get_response_code (request);
  answer.body.len = evbuffer_get_length (input);
  answer.body.data = (const char *) evbuffer_pullup (input, -1);
  mt_traffic_add_received (c->lane->calls->traffic, p->kind, ANSWER_HEAD_BYTES + answer.body.len);
  c->busy = NULL;
  c->up = true;
  finish (p, &answer);
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
  lane->calls->opened++;
  return c;
}

static struct connection *
idle_connection (struct lane *lane)
{
  for (guint i = 0; i < lane->connections->len; i++)
    {
      struct connection *c = lane->connections->pdata[i];

      if (c->busy == NULL)
        return c;
    }
  return lane->connections->len < lane->most ? open_connection (lane) : NULL;
}

static size_t
call_bytes (const struct pending *p)
{
  size_t bytes = CALL_HEAD_BYTES + strlen (p->path) + p->body_len;

  for (const struct mt_call_header *h = p->headers; h != NULL && h->name != NULL; h++)
    bytes += strlen (h->name) + strlen (h->value);
  return bytes;
}

static void
send_on (struct connection *c, struct pending *p)
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
  for (const struct mt_call_header *h = p->headers; h != NULL && h->name != NULL; h++)
    evhttp_add_header (headers, h->name, h->value);
  if (p->body_len > 0)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), p->body, p->body_len);
    }
  c->busy = p;
  p->connection = c;
  mt_traffic_add_sent (c->lane->calls->traffic, p->kind, call_bytes (p));
  /* On failure libevent frees the request without calling back; the timer then ends the call. */
  evhttp_make_request (c->evcon, request, methods[p->method], p->path);
}

static void
start_next (struct lane *lane)
{
  while (!lane->calls->closing && !g_queue_is_empty (&lane->waiting))
    {
      struct connection *c = idle_connection (lane);

      if (c == NULL)
        return;
      send_on (c, g_queue_pop_head (&lane->waiting));
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
  lane->most = MAX (call->max_connections, 1U);
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
  struct pending *p = g_new0 (struct pending, 1);
  struct timeval limit = { call->timeout_ms / 1000, call->timeout_ms % 1000 * 1000 };

  p->lane = get_lane (calls, call);
  p->kind = call->kind;
  p->method = call->method;
  p->path = g_strdup (call->path);
  p->body = g_memdup2 (call->body.data, call->body.len);
  p->body_len = call->body.len;
  p->headers = copy_headers (call->headers);
  p->done = done;
  p->ctx = ctx;
  p->timer = event_new (calls->base, -1, 0, on_timeout, p);
  event_add (p->timer, &limit);
  g_queue_push_tail (&p->lane->waiting, p);
  start_next (p->lane);
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
        if (((struct connection *) lane->connections->pdata[i - 1])->busy == NULL)
          doom (lane->connections->pdata[i - 1]);
    }
}

uint64_t
mt_calls_connections_opened (const struct mt_calls *calls)
{
  return calls->opened;
}

struct mt_calls *
mt_calls_create (struct event_base *base, struct mt_traffic *traffic)
{
  struct mt_calls *calls = g_new0 (struct mt_calls, 1);

  calls->base = base;
  calls->traffic = traffic;
  calls->lanes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_lane);
  calls->doomed = g_ptr_array_new_with_free_func (free_connection);
  calls->reaper = event_new (base, -1, 0, reap, calls);
  return calls;
}

/* Ends one call; false where none is left. Its callback may make another, which ends here too. */
static bool
end_one (struct mt_calls *calls)
{
  GHashTableIter it;
  struct lane *lane;

  g_hash_table_iter_init (&it, calls->lanes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &lane))
    {
      struct connection *c = lane->connections->len > 0 ? lane->connections->pdata[0] : NULL;
      struct pending *p = c != NULL ? c->busy : g_queue_pop_head (&lane->waiting);
      struct mt_call_answer answer = { .sent = c != NULL };

      if (c != NULL)
        doom (c);
      if (p != NULL)
        finish (p, &answer);
      if (c != NULL || p != NULL)
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
  while (end_one (calls))
    continue;
  g_ptr_array_unref (calls->doomed);
  g_hash_table_unref (calls->lanes);
  event_free (calls->reaper);
  g_free (calls);
}
