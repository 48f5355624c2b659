#include "front.h"

#include "medlartrack/log.h"

#include <string.h>
#include <xxhash.h>

#define MAX_TRIES     3
#define RETRY_AFTER_S "1"
#define ID_BYTES      33

struct mt_front
{
  struct mt_front_options options;
  char name[ID_BYTES]; /* random, so that ids of two daemons never meet */
  guint64 next_id;     /* atomic */
};

/* What the request needs of the tables, copied out of the view. */
struct plan
{
  struct mt_str pool;
  enum mt_repeat repeat;
  int64_t deadline_us;
  unsigned queue;
  uint64_t audience;
  struct mt_str id;
};

static struct mt_http_header *
start_answer (struct mt_http_request *request, int status, size_t n_headers)
{
  struct mt_http_answer *answer = &request->answer;

  answer->status = status;
  answer->headers = mt_arena_alloc (request->arena, n_headers * sizeof *answer->headers);
  answer->n_headers = answer->headers != NULL ? n_headers : 0;
  return answer->headers;
}

/* A typed answer of the daemon's own: it tells whether the request ran and when to come back. */
static void
answer_typed (struct mt_http_request *request, int status, const char *outcome, const char *reason)
{
  g_autofree char *body
      = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\",\"retry_after_s\":%s}\n", outcome,
                         reason, RETRY_AFTER_S);
  struct mt_http_header *headers = start_answer (request, status, 3);

  if (headers == NULL)
    return;
  headers[0] = (struct mt_http_header){ MT_STR ("Content-Type"), MT_STR ("application/json") };
  headers[1] = (struct mt_http_header){ MT_STR ("Medlartrack-Outcome"),
                                        mt_arena_dup (request->arena, mt_str_from (outcome)) };
  headers[2] = (struct mt_http_header){ MT_STR ("Retry-After"), MT_STR (RETRY_AFTER_S) };
  request->answer.body = mt_arena_dup (request->arena, mt_str_from (body));
}

static void
refuse_not_run (struct mt_front *front, struct mt_http_request *request, const char *reason)
{
  mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
  answer_typed (request, 503, "not-run", reason);
}

static void
answer_unknown (struct mt_front *front, struct mt_http_request *request, const char *why)
{
  mt_counters_add (front->options.counters, MT_COUNTER_UNKNOWN, 1);
  mt_log_event (MT_EVENT_REQUEST_UNKNOWN, "path=%.*s why=%s", MT_STR_ARG (request->path), why);
  answer_typed (request, 504, "unknown", "no whole answer came from the minion");
}

static uint64_t
hash_audience (const struct mt_http_request *request, struct mt_str header)
{
  struct mt_str value = mt_http_header_find (request->headers, request->n_headers, header);

  return value.len > 0 ? XXH3_64bits (value.data, value.len) : 0;
}

static bool
make_plan (struct mt_front *front, struct mt_http_request *request, struct plan *plan)
{
  const struct mt_tables *tables = mt_view_begin (front->options.views);
  const struct mt_route *route = NULL;
  uint64_t number = __atomic_add_fetch (&front->next_id, 1, __ATOMIC_RELAXED);
  g_autofree char *id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, front->name, number);

  if (tables != NULL)
    route = mt_tables_route (tables, request->method, request->path);
  if (route != NULL)
    {
      plan->pool = mt_arena_dup (request->arena, route->pool);
      plan->repeat = route->repeat;
      plan->queue = route->queue;
      plan->deadline_us = mt_clock_now (front->options.clock) + route->deadline_ms * MT_MS;
      plan->audience = hash_audience (request, route->audience_header);
    }
  mt_view_end ();
  plan->id = mt_arena_dup (request->arena, mt_str_from (id));
  return route != NULL && plan->pool.data != NULL && plan->id.data != NULL;
}

static bool
is_forwarded (struct mt_str name)
{
  static const char *const stopped[]
      = { "host",    "connection", "keep-alive", "transfer-encoding", "te",
          "trailer", "upgrade",    "expect",     "content-length",    "medlartrack-request-id" };

  for (size_t i = 0; i < G_N_ELEMENTS (stopped); i++)
    if (mt_str_equal_nocase (name, mt_str_from (stopped[i])))
      return false;
  return true;
}

static enum mt_http_outcome
call_minion (struct mt_front *front,
             struct mt_http_request *request,
             const struct plan *plan,
             const char *address,
             GError **error)
{
  struct mt_http_header *headers
      = mt_arena_alloc (request->arena, (request->n_headers + 1) * sizeof *headers);
  struct mt_http_call call = {
    .method = request->method.data,
    .path = request->path.data,
    .headers = headers,
    .body = request->body,
    .fresh = plan->repeat == MT_REPEAT_NEVER,
    .deadline_us = plan->deadline_us,
    .max_answer = front->options.answer_bytes,
  };

  if (headers == NULL)
    return MT_HTTP_NOT_SENT;
  for (size_t i = 0; i < request->n_headers; i++)
    if (is_forwarded (request->headers[i].name))
      headers[call.n_headers++] = request->headers[i];
  headers[call.n_headers].name = MT_STR ("Medlartrack-Request-Id");
  headers[call.n_headers++].value = plan->id;
  return mt_http_client_call (front->options.client, address, &call, request->arena,
                              &request->answer, error);
}

/* A minion that answers with another request's id has crossed two answers. */
static bool
answer_is_ours (const struct mt_http_answer *answer, struct mt_str id)
{
  struct mt_str echoed
      = mt_http_header_find (answer->headers, answer->n_headers, MT_STR ("Medlartrack-Request-Id"));

  return echoed.data == NULL || mt_str_equal (echoed, id);
}

static enum mt_dispatch_result
sort_result (enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  if (outcome == MT_HTTP_NOT_SENT)
    return MT_DISPATCH_NOT_SENT;
  if (outcome == MT_HTTP_UNKNOWN)
    return MT_DISPATCH_LOST;
  return answer->status >= 500 ? MT_DISPATCH_BAD : MT_DISPATCH_GOOD;
}

static const char *
describe_slot_failure (enum mt_slot_result result)
{
  switch (result)
    {
    case MT_SLOT_NO_POOL:
      return "the pool has no minion here";
    case MT_SLOT_QUEUE_FULL:
      return "the queue is full";
    case MT_SLOT_EXPIRED:
      return "the deadline passed in the queue";
    case MT_SLOT_GRANTED:
      break;
    }
  return "";
}

/* One try on one minion. True where the request has its final answer. */
static bool
try_once (struct mt_front *front, struct mt_http_request *request, struct plan *plan, bool last)
{
  struct mt_slot_request wanted = { .pool = plan->pool.data,
                                    .audience = plan->audience,
                                    .deadline_us = plan->deadline_us,
                                    .queue_limit = plan->queue };
  g_autoptr (GError) error = NULL;
  struct mt_slot *slot = NULL;
  enum mt_slot_result taken = mt_pools_take (front->options.pools, &wanted, &slot);
  enum mt_http_outcome outcome;

  if (taken != MT_SLOT_GRANTED)
    {
      refuse_not_run (front, request, describe_slot_failure (taken));
      return true;
    }
  outcome = call_minion (front, request, plan, mt_slot_address (slot), &error);
  if (outcome == MT_HTTP_WHOLE && !answer_is_ours (&request->answer, plan->id))
    outcome = MT_HTTP_UNKNOWN;
  mt_slot_give_back (slot, sort_result (outcome, &request->answer));
  if (outcome == MT_HTTP_WHOLE)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_WHOLE, 1);
      return true;
    }
  if (!last && (outcome == MT_HTTP_NOT_SENT || plan->repeat == MT_REPEAT_SAFE))
    return false;
  if (outcome == MT_HTTP_NOT_SENT)
    refuse_not_run (front, request, "no minion could be reached");
  else
    answer_unknown (front, request, error != NULL ? error->message : "crossed answer");
  return true;
}

struct mt_front *
mt_front_create (const struct mt_front_options *options)
{
  struct mt_front *front = g_new0 (struct mt_front, 1);

  front->options = *options;
  g_snprintf (front->name, sizeof front->name, "%08x%08x", g_random_int (), g_random_int ());
  return front;
}

void
mt_front_destroy (struct mt_front *front)
{
  g_free (front);
}

void
mt_front_handle (void *ctx, struct mt_http_request *request)
{
  struct mt_front *front = ctx;
  struct plan plan = { 0 };

  mt_counters_add (front->options.counters, MT_COUNTER_ASKED, 1);
  if (!make_plan (front, request, &plan))
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      answer_typed (request, 404, "not-run", "no route leads there");
      return;
    }
  for (int i = 1; !try_once (front, request, &plan, i == MAX_TRIES); i++)
    mt_counters_add (front->options.counters, MT_COUNTER_RETRIES, 1);
}
