#include "http_client.h"

#include "medlartrack/error.h"

#include <ne_auth.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdlib.h>
#include <string.h>

#define MAX_IDLE_PER_ADDRESS 64
#define READ_CHUNK           16384
#define MAX_HEADERS          64

struct mt_http_client
{
  const struct mt_clock *clock;
  GMutex lock;
  GHashTable *idle; /* guarded by lock: address -> GQueue of idle ne_session */
};

static void
free_idle (gpointer data)
{
  g_queue_free_full (data, (GDestroyNotify) ne_session_destroy);
}

static ne_session *
open_session (const char *address, bool fresh)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, (gsize) (colon - address));
  ne_session *session = ne_session_create ("http", host, (unsigned) atoi (colon + 1));

  /* neon repeats a request by itself when a kept connection turns out closed, a POST too. With
   * persistence off no connection carries a second request, so there is nothing to repeat on. */
  if (fresh)
    ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  return session;
}

static ne_session *
take_session (struct mt_http_client *client, const char *address, bool fresh)
{
  ne_session *session = NULL;
  GQueue *queue;

  if (fresh)
    return open_session (address, true);
  g_mutex_lock (&client->lock);
  queue = g_hash_table_lookup (client->idle, address);
  if (queue != NULL)
    session = g_queue_pop_head (queue);
  g_mutex_unlock (&client->lock);
  return session != NULL ? session : open_session (address, false);
}

static void
keep_session (struct mt_http_client *client, const char *address, ne_session *session)
{
  GQueue *queue;

  g_mutex_lock (&client->lock);
  queue = g_hash_table_lookup (client->idle, address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle, g_strdup (address), queue);
    }
  if (g_queue_get_length (queue) < MAX_IDLE_PER_ADDRESS)
    {
      g_queue_push_head (queue, session);
      session = NULL;
    }
  g_mutex_unlock (&client->lock);
  if (session != NULL)
    ne_session_destroy (session);
}

static void
set_timeouts (struct mt_http_client *client, ne_session *session, int64_t deadline_us)
{
  int64_t left = deadline_us - mt_clock_now (client->clock);
  int seconds = left <= 0 ? 1 : (int) ((left + MT_SECOND - 1) / MT_SECOND);

  ne_set_connect_timeout (session, seconds);
  ne_set_read_timeout (session, seconds);
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
      if (answer->n_headers == MAX_HEADERS)
        return false;
      header->name = mt_arena_dup (arena, mt_str_from (name));
      header->value = mt_arena_dup (arena, mt_str_from (value));
      if (header->name.data == NULL || header->value.data == NULL)
        return false;
      answer->n_headers++;
    }
  return true;
}

/* Without a length or a final chunk a cut answer looks like a whole one. */
static bool
answer_is_delimited (ne_request *request, const char *method, int status)
{
  return strcmp (method, "HEAD") == 0 || status == 204 || status == 304
         || ne_get_response_header (request, "Content-Length") != NULL
         || ne_get_response_header (request, "Transfer-Encoding") != NULL;
}

static bool
read_body (ne_request *request, size_t max, GString *body, GError **error)
{
  char chunk[READ_CHUNK];
  ssize_t n;

  while ((n = ne_read_response_block (request, chunk, sizeof chunk)) > 0)
    {
      if (body->len + (size_t) n > max)
        {
          g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                       "answer is longer than %zu bytes; raise limits.answer_bytes", max);
          return false;
        }
      g_string_append_len (body, chunk, n);
    }
  if (n < 0)
    g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "the answer was cut; see the minion's log");
  return n == 0;
}

static bool
read_answer (ne_request *request,
             const struct mt_http_call *call,
             struct mt_arena *arena,
             struct mt_http_answer *answer,
             GError **error)
{
  g_autoptr (GString) body = g_string_new (NULL);

  answer->status = ne_get_status (request)->code;
  if (!answer_is_delimited (request, call->method, answer->status))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
                   "the answer has no length; have the minion send Content-Length or chunks");
      return false;
    }
  if (!read_body (request, call->max_answer, body, error))
    return false;
  answer->body = mt_arena_dup (arena, (struct mt_str){ body->str, body->len });
  if (answer->body.data != NULL && read_headers (request, arena, answer))
    return true;
  g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
               "the answer passes the memory of a request; raise limits.request_memory");
  return false;
}

static enum mt_http_outcome
exchange (ne_session *session,
          ne_request *request,
          const struct mt_http_call *call,
          struct mt_arena *arena,
          struct mt_http_answer *answer,
          GError **error)
{
  int rc = ne_begin_request (request);

  if (rc == NE_CONNECT || rc == NE_LOOKUP)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE, "%s; check that the address listens",
                   ne_get_error (session));
      return MT_HTTP_NOT_SENT;
    }
  if (rc != NE_OK)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "%s", ne_get_error (session));
      return MT_HTTP_UNKNOWN;
    }
  if (!read_answer (request, call, arena, answer, error))
    return MT_HTTP_UNKNOWN;
  if (ne_end_request (request) != NE_OK)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "%s", ne_get_error (session));
      return MT_HTTP_UNKNOWN;
    }
  return MT_HTTP_WHOLE;
}

struct mt_http_client *
mt_http_client_create (const struct mt_clock *clock)
{
  struct mt_http_client *client = g_new0 (struct mt_http_client, 1);

  ne_sock_init ();
  client->clock = clock;
  g_mutex_init (&client->lock);
  client->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_idle);
  return client;
}

void
mt_http_client_destroy (struct mt_http_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->idle);
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
  ne_session *session = take_session (client, address, call->fresh);
  ne_request *request = ne_request_create (session, call->method, call->path);
  enum mt_http_outcome outcome;

  *answer = (struct mt_http_answer){ 0 };
  set_timeouts (client, session, call->deadline_us);
  for (size_t i = 0; i < call->n_headers; i++)
    ne_add_request_header (request, call->headers[i].name.data, call->headers[i].value.data);
  if (call->body.len > 0)
    ne_set_request_body_buffer (request, call->body.data, call->body.len);
  outcome = exchange (session, request, call, arena, answer, error);
  ne_request_destroy (request);
  /* A connection whose exchange went wrong may still receive the late answer: it is never used
   * again, so that the next request can't meet it. */
  if (outcome == MT_HTTP_WHOLE && !call->fresh)
    keep_session (client, address, session);
  else
    ne_session_destroy (session);
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
