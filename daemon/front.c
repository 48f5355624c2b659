#include "front.h"

#include "answer.h"
#include "medlartrack/error.h"
#include "medlartrack/log.h"

#include <string.h>
#include <xxhash.h>

#define MAX_ATTEMPTS      3
#define MAX_KEY_BYTES     256
#define ID_BYTES          64
#define MIN_RETRY_AFTER_S 1
#define MAX_RETRY_AFTER_S 30

struct mt_front
{
  struct mt_front_options options;
  char id_prefix[ID_BYTES]; /* random, so that the ids of two daemons differ */
  guint64 next_id;          /* atomic */
};

/* The request's route, copied from the tables in the view, and its id. */
struct routing
{
  struct mt_str pool;
  enum mt_repeat repeat;
  int64_t deadline_us;
  unsigned queue_limit;
  uint64_t audience;
  struct mt_str id;
  guint64 number;
};

enum attempt_result
{
  ATTEMPT_ANSWERED,    /* the request has the minion's complete answer */
  ATTEMPT_NOT_SENT,    /* no minion received the request, or the one that did refused it */
  ATTEMPT_UNKNOWN,     /* a minion may have run the request */
  ATTEMPT_REFUSED,     /* no slot was granted; attempts->reason is set */
  ATTEMPT_CALLER_GONE, /* the caller hung up */
};

/* Result of the attempts made for one request so far. */
struct attempts
{
  struct mt_str avoid; /* the minion that failed last */
  bool may_have_run;   /* a minion may have run the request: "not-run" is no longer certain */
  bool is_retry;
  const char *reason;
};

/* Returns the time in seconds until the current queue is served, plus up to the same time again,
 * spread by the request's number: callers that were refused together and retried in the same second
 * would form the same surge again. */
static unsigned
compute_retry_after_s (struct mt_front *front, const struct routing *routing)
{
  int64_t backlog = mt_pools_backlog_us (front->options.pools, routing->pool.data);
  unsigned base = (unsigned) ((backlog + MT_SECOND - 1) / MT_SECOND);

  base = CLAMP (base, MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S / 2);
  return base + (unsigned) (routing->number % (base + 1));
}

static void
refuse_not_run (struct mt_front *front,
                struct mt_http_request *request,
                const struct routing *routing,
                const char *reason)
{
  struct mt_answer_typed typed = { 503, "not-run", reason, compute_retry_after_s (front, routing) };

  mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
  mt_answer_typed (request, routing->id, &typed);
}

static void
answer_unknown (struct mt_front *front,
                struct mt_http_request *request,
                const struct routing *routing,
                const char *reason)
{
  struct mt_answer_typed typed = { 504, "unknown", reason, compute_retry_after_s (front, routing) };

  mt_counters_add (front->options.counters, MT_COUNTER_UNKNOWN, 1);
  mt_log_event (MT_EVENT_REQUEST_UNKNOWN, "id=%.*s path=%.*s why=%s", MT_STR_ARG (routing->id),
                MT_STR_ARG (request->path), reason);
  mt_answer_typed (request, routing->id, &typed);
}

static uint64_t
hash_audience (const struct mt_http_request *request, struct mt_str header)
{
  struct mt_str value = mt_http_header_find (request->headers, request->n_headers, header);

  return value.len > 0 ? XXH3_64bits (value.data, value.len) : 0;
}

/* Creates the request's id and looks up its route. Returns false if no route matches. The id comes
 * first, since every answer carries it. */
static bool
route_request (struct mt_front *front, struct mt_http_request *request, struct routing *routing)
{
  const struct mt_tables *tables;
  const struct mt_route *route = NULL;
  g_autofree char *id = NULL;

  routing->number = __atomic_add_fetch (&front->next_id, 1, __ATOMIC_RELAXED);
  id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, front->id_prefix, routing->number);
  routing->id = mt_arena_dup (request->arena, mt_str_from (id));
  tables = mt_view_begin (front->options.views);
  if (tables != NULL)
    route = mt_tables_match_route (tables, request->method, request->path);
  if (route != NULL)
    {
      routing->pool = mt_arena_dup (request->arena, route->pool);
      routing->repeat = route->repeat;
      routing->queue_limit = route->queue;
      routing->deadline_us = mt_clock_now (front->options.clock) + route->deadline_ms * MT_MS;
      routing->audience = hash_audience (request, route->audience_header);
    }
  mt_view_end ();
  return route != NULL;
}

static bool
is_forwarded (struct mt_str name)
{
  static const char *const hop_by_hop[]
      = { "host",    "connection", "keep-alive", "transfer-encoding", "te",
          "trailer", "upgrade",    "expect",     "content-length" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (mt_str_equal_nocase (name, mt_str_from (hop_by_hop[i])))
      return false;
  return !mt_answer_is_own_header (name);
}

/* State that is released when an exchange with a minion has ended, possibly after the caller was
 * answered: the slot stays taken for as long as the minion works. */
struct exchange
{
  struct mt_slot *slot;
  struct mt_counters *counters;
};

static bool
has_header (const struct mt_http_answer *answer, struct mt_str name)
{
  return mt_http_header_find (answer->headers, answer->n_headers, name).data != NULL;
}

/* Whether the minion guarantees that it did not run the request. */
static bool
is_refusal (const struct mt_http_answer *answer)
{
  return answer->status == 503 && has_header (answer, MT_STR ("Medlartrack-Not-Run"));
}

static enum mt_dispatch_result
classify_result (enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  if (outcome == MT_HTTP_NOT_SENT)
    return MT_DISPATCH_NOT_SENT;
  if (outcome == MT_HTTP_UNKNOWN)
    return MT_DISPATCH_LOST;
  if (is_refusal (answer))
    return MT_DISPATCH_REFUSED;
  return answer->status >= 500 ? MT_DISPATCH_SERVER_ERROR : MT_DISPATCH_SUCCESS;
}

static void
end_exchange (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  struct exchange *exchange = ctx;
  enum mt_dispatch_result result = classify_result (outcome, answer);

  if (outcome == MT_HTTP_COMPLETE && has_header (answer, MT_STR ("Medlartrack-Leaving")))
    mt_slot_set_leaving (exchange->slot);
  if (result == MT_DISPATCH_REFUSED)
    mt_counters_add (exchange->counters, MT_COUNTER_MINION_REFUSALS, 1);
  mt_slot_release (exchange->slot, result);
  g_free (exchange);
}

/* Adds the pool and epoch of the minion's assignment record: a minion that knows them refuses work
 * sent by an older record. */
static void
add_record_headers (struct mt_http_request *request,
                    const struct routing *routing,
                    const struct mt_slot *slot,
                    struct mt_http_header *headers,
                    size_t *n)
{
  g_autofree char *epoch = g_strdup_printf ("%" G_GUINT64_FORMAT, mt_slot_epoch (slot));
  struct mt_str text = mt_arena_dup (request->arena, mt_str_from (epoch));

  headers[(*n)++] = (struct mt_http_header){ MT_STR ("Medlartrack-Pool"), routing->pool };
  if (text.data != NULL)
    headers[(*n)++] = (struct mt_http_header){ MT_STR ("Medlartrack-Epoch"), text };
}

static enum mt_http_outcome
call_minion (struct mt_front *front,
             struct mt_http_request *request,
             const struct routing *routing,
             struct mt_slot *slot,
             GError **error)
{
  struct mt_http_header *headers
      = mt_arena_alloc (request->arena, (request->n_headers + 2) * sizeof *headers);
  struct exchange *exchange = g_new0 (struct exchange, 1);
  struct mt_http_completion ended = { end_exchange, exchange };
  struct mt_http_call call = {
    .method = request->method.data,
    .path = request->path.data,
    .headers = headers,
    .body = request->body,
    .new_connection = routing->repeat == MT_REPEAT_NEVER,
    .id = routing->id,
    .deadline_us = routing->deadline_us,
    .max_answer_bytes = front->options.answer_bytes,
    .max_connections = mt_slot_max_connections (slot),
  };

  exchange->slot = slot;
  exchange->counters = front->options.counters;
  if (headers == NULL)
    {
      end_exchange (exchange, MT_HTTP_NOT_SENT, &request->answer);
      return MT_HTTP_NOT_SENT;
    }
  for (size_t i = 0; i < request->n_headers; i++)
    if (is_forwarded (request->headers[i].name))
      headers[call.n_headers++] = request->headers[i];
  add_record_headers (request, routing, slot, headers, &call.n_headers);
  return mt_http_exchanges_call (front->options.exchanges, mt_slot_address (slot), &call, ended,
                                 request->arena, &request->answer, error);
}

static const char *
describe_slot_failure (struct mt_front *front, enum mt_slot_result result)
{
  struct mt_counters *counters = front->options.counters;

  switch (result)
    {
    case MT_SLOT_NO_POOL:
    case MT_SLOT_NO_MINION:
      return "the pool has no minion here that takes work";
    case MT_SLOT_QUEUE_FULL:
      mt_counters_add (counters, MT_COUNTER_REFUSED_QUEUE, 1);
      return "the queue is full";
    case MT_SLOT_TOO_LATE:
      mt_counters_add (counters, MT_COUNTER_REFUSED_LATE, 1);
      return "it could not be answered by its deadline";
    case MT_SLOT_RETRY_BUDGET:
      mt_counters_add (counters, MT_COUNTER_REFUSED_BUDGET, 1);
      return "a minion failed, and the retry budget is spent";
    case MT_SLOT_GRANTED:
      break;
    }
  return "";
}

static enum attempt_result
take_slot (struct mt_front *front,
           struct mt_http_request *request,
           const struct routing *routing,
           struct attempts *attempts,
           struct mt_slot **slot)
{
  struct mt_slot_request slot_request = { .pool = routing->pool.data,
                                          .audience = routing->audience,
                                          .deadline_us = routing->deadline_us,
                                          .queue_limit = routing->queue_limit,
                                          .avoid = attempts->avoid.data,
                                          .is_retry = attempts->is_retry };
  enum mt_slot_result slot_result
      = mt_pools_acquire_slot (front->options.pools, &slot_request, slot);

  if (slot_result != MT_SLOT_GRANTED)
    {
      if (!attempts->is_retry)
        attempts->reason = describe_slot_failure (front, slot_result);
      return ATTEMPT_REFUSED;
    }
  if (!mt_slot_has_waited (*slot) || !mt_http_request_is_aborted (request))
    return ATTEMPT_ANSWERED;
  mt_slot_release (*slot, MT_DISPATCH_UNUSED);
  mt_counters_add (front->options.counters, MT_COUNTER_CALLERS_GONE, 1);
  return ATTEMPT_CALLER_GONE;
}

static enum attempt_result
make_attempt (struct mt_front *front,
              struct mt_http_request *request,
              const struct routing *routing,
              struct attempts *attempts)
{
  g_autoptr (GError) error = NULL;
  struct mt_slot *slot = NULL;
  enum attempt_result result = take_slot (front, request, routing, attempts, &slot);
  enum mt_http_outcome outcome;

  if (result != ATTEMPT_ANSWERED)
    return result;
  attempts->avoid = mt_arena_dup (request->arena, mt_str_from (mt_slot_minion (slot)));
  outcome = call_minion (front, request, routing, slot, &error);
  if (outcome == MT_HTTP_NOT_SENT)
    {
      attempts->reason = "no minion could be reached";
      return ATTEMPT_NOT_SENT;
    }
  if (outcome == MT_HTTP_UNKNOWN)
    {
      attempts->reason = g_error_matches (error, MT_ERROR, MT_ERROR_TIMEOUT)
                             ? "no answer by the deadline"
                             : "no whole answer came from the minion";
      return ATTEMPT_UNKNOWN;
    }
  if (!is_refusal (&request->answer))
    return ATTEMPT_ANSWERED;
  attempts->reason = "the minions' slots are full";
  return ATTEMPT_NOT_SENT;
}

/* Makes attempts until there is an answer or no further attempt is allowed. A request that a minion
 * may have run is retried only if its route allows it to be repeated. */
static enum attempt_result
make_attempts (struct mt_front *front,
               struct mt_http_request *request,
               const struct routing *routing,
               struct attempts *attempts)
{
  enum attempt_result result = ATTEMPT_REFUSED;

  for (int i = 0; i < MAX_ATTEMPTS; i++)
    {
      attempts->is_retry = i > 0;
      result = make_attempt (front, request, routing, attempts);
      attempts->may_have_run = attempts->may_have_run || result == ATTEMPT_UNKNOWN;
      if (result == ATTEMPT_ANSWERED || result == ATTEMPT_REFUSED || result == ATTEMPT_CALLER_GONE)
        return result;
      if (result == ATTEMPT_UNKNOWN && routing->repeat == MT_REPEAT_NEVER)
        return result;
      mt_counters_add (front->options.counters, MT_COUNTER_RETRIES, i + 1 < MAX_ATTEMPTS ? 1 : 0);
    }
  return result;
}

/* Sets the request's answer, once all attempts are made. */
static void
set_answer (struct mt_front *front,
            struct mt_http_request *request,
            const struct routing *routing,
            const struct attempts *attempts,
            enum attempt_result result)
{
  if (result == ATTEMPT_ANSWERED)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_WHOLE, 1);
      mt_answer_remove_own_headers (&request->answer);
    }
  else if (result == ATTEMPT_CALLER_GONE)
    request->answer = (struct mt_http_answer){ .status = MT_HTTP_DROP };
  else if (attempts->may_have_run)
    answer_unknown (front, request, routing, attempts->reason);
  else
    refuse_not_run (front, request, routing, attempts->reason);
}

/* Answers a request whose key another attempt holds or may hold. */
static void
answer_duplicate (struct mt_front *front,
                  struct mt_http_request *request,
                  const struct routing *routing,
                  enum mt_claim_result result,
                  int status)
{
  g_autofree char *done = g_strdup_printf ("it ran already and was answered %d", status);
  struct mt_answer_typed typed = { .status = 409, .outcome = "duplicate" };

  switch (result)
    {
    case MT_CLAIM_RUNNING:
      typed.reason = "the same request is running";
      typed.retry_after_s = compute_retry_after_s (front, routing);
      break;
    case MT_CLAIM_DONE:
      typed.reason = done;
      break;
    case MT_CLAIM_LOST:
      typed = (struct mt_answer_typed){ 504, "unknown",
                                        "the same request may have run; it is not run again", 0 };
      break;
    default:
      typed = (struct mt_answer_typed){
        409, "unknown", "the key's date is too long ago or ahead to tell whether it ran", 0
      };
      break;
    }
  mt_counters_add (front->options.counters, MT_COUNTER_DUPLICATE, 1);
  mt_answer_typed (request, routing->id, &typed);
}

/* Claims the key of a request that may not be repeated. Returns false, with the request answered,
 * if the key was not granted. */
static bool
acquire_claim (struct mt_front *front,
               struct mt_http_request *request,
               const struct routing *routing,
               struct mt_claim *claim)
{
  struct mt_str key
      = mt_http_header_find (request->headers, request->n_headers, MT_STR ("Idempotency-Key"));
  struct mt_str path = { request->path.data, strcspn (request->path.data, "?") };
  enum mt_claim_result result;

  if (key.len == 0 || key.len > MAX_KEY_BYTES)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_typed (request, routing->id,
                       &(struct mt_answer_typed){
                           400, "not-run",
                           "this route needs an Idempotency-Key header of 1 to 256 bytes, "
                           "one for each request and the same when it is sent again",
                           0 });
      return false;
    }
  result = mt_claims_acquire (front->options.claims, path, key, routing->deadline_us, claim);
  if (result == MT_CLAIM_GRANTED)
    return true;
  if (result == MT_CLAIM_UNAVAILABLE)
    refuse_not_run (front, request, routing, "its key could not be claimed in time");
  else
    answer_duplicate (front, request, routing, result, claim->status);
  return false;
}

static void
end_claim (struct mt_front *front,
           const struct mt_http_request *request,
           const struct mt_claim *claim,
           const struct attempts *attempts,
           enum attempt_result result)
{
  enum mt_claim_end end = attempts->may_have_run ? MT_CLAIM_END_LOST : MT_CLAIM_END_NOT_RUN;

  if (result == ATTEMPT_ANSWERED)
    end = MT_CLAIM_END_DONE;
  mt_claims_end (front->options.claims, claim, end, request->answer.status);
}

struct mt_front *
mt_front_create (const struct mt_front_options *options)
{
  struct mt_front *front = g_new0 (struct mt_front, 1);

  front->options = *options;
  g_snprintf (front->id_prefix, sizeof front->id_prefix, "%08x%08x", g_random_int (),
              g_random_int ());
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
  struct routing routing = { 0 };
  struct attempts attempts = { 0 };
  struct mt_claim claim;
  enum attempt_result result;
  bool routed = route_request (front, request, &routing);

  mt_counters_add (front->options.counters, MT_COUNTER_ASKED, 1);
  if (routing.id.data == NULL || (routed && routing.pool.data == NULL))
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_out_of_memory (request, true);
      return;
    }
  if (!routed)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_typed (request, routing.id,
                       &(struct mt_answer_typed){ 404, "not-run", "no route leads there", 0 });
      return;
    }
  if (routing.repeat == MT_REPEAT_NEVER && !acquire_claim (front, request, &routing, &claim))
    return;
  result = make_attempts (front, request, &routing, &attempts);
  if (routing.repeat == MT_REPEAT_NEVER)
    end_claim (front, request, &claim, &attempts, result);
  set_answer (front, request, &routing, &attempts, result);
}
