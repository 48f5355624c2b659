#include "front.h"

#include "answer.h"
#include "medlartrack/error.h"
#include "medlartrack/log.h"

#include <string.h>
#include <xxhash.h>

#define MAX_TRIES         3
#define MAX_KEY_BYTES     256
#define ID_BYTES          64
#define RETRY_AFTER_S     1 /* least that a caller is told to wait */
#define MAX_RETRY_AFTER_S 30

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
  guint64 number;
};

enum try_result
{
  TRY_WHOLE,    /* the request has the minion's answer */
  TRY_NOT_SENT, /* no minion got it, or the one that did refused it */
  TRY_UNKNOWN,  /* a minion may have run it */
  TRY_REFUSED,  /* no slot; the reason is told */
  TRY_GONE,     /* the caller hung up */
};

/* The tries of one request so far. */
struct tries
{
  struct mt_str avoid; /* the minion that failed last */
  bool maybe_run;      /* a minion may have run it: "not run" can't be said any more */
  bool again;
  const char *reason;
};

/* When the queue now waiting will have been served. Callers that were refused together are spread
 * over as long again: told the same second, they would come back as the same surge. */
static unsigned
work_out_retry_after (struct mt_front *front, const struct plan *plan)
{
  int64_t backlog = mt_pools_backlog_us (front->options.pools, plan->pool.data);
  unsigned base = (unsigned) ((backlog + MT_SECOND - 1) / MT_SECOND);

  base = CLAMP (base, RETRY_AFTER_S, MAX_RETRY_AFTER_S / 2);
  return base + (unsigned) (plan->number % (base + 1));
}

static void
refuse_not_run (struct mt_front *front,
                struct mt_http_request *request,
                const struct plan *plan,
                const char *reason)
{
  struct mt_answer_typed typed = { 503, "not-run", reason, work_out_retry_after (front, plan) };

  mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
  mt_answer_typed (request, plan->id, &typed);
}

static void
answer_unknown (struct mt_front *front,
                struct mt_http_request *request,
                const struct plan *plan,
                const char *reason)
{
  struct mt_answer_typed typed = { 504, "unknown", reason, work_out_retry_after (front, plan) };

  mt_counters_add (front->options.counters, MT_COUNTER_UNKNOWN, 1);
  mt_log_event (MT_EVENT_REQUEST_UNKNOWN, "id=%.*s path=%.*s why=%s", MT_STR_ARG (plan->id),
                MT_STR_ARG (request->path), reason);
  mt_answer_typed (request, plan->id, &typed);
}

static uint64_t
hash_audience (const struct mt_http_request *request, struct mt_str header)
{
  struct mt_str value = mt_http_header_find (request->headers, request->n_headers, header);

  return value.len > 0 ? XXH3_64bits (value.data, value.len) : 0;
}

/* Its id is made first: every answer tells it. */
static bool
make_plan (struct mt_front *front, struct mt_http_request *request, struct plan *plan)
{
  const struct mt_tables *tables;
  const struct mt_route *route = NULL;
  g_autofree char *id = NULL;

  plan->number = __atomic_add_fetch (&front->next_id, 1, __ATOMIC_RELAXED);
  id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, front->name, plan->number);
  plan->id = mt_arena_dup (request->arena, mt_str_from (id));
  tables = mt_view_begin (front->options.views);
  if (tables != NULL)
    route = mt_tables_match_route (tables, request->method, request->path);
  if (route != NULL)
    {
      plan->pool = mt_arena_dup (request->arena, route->pool);
      plan->repeat = route->repeat;
      plan->queue = route->queue;
      plan->deadline_us = mt_clock_now (front->options.clock) + route->deadline_ms * MT_MS;
      plan->audience = hash_audience (request, route->audience_header);
    }
  mt_view_end ();
  return route != NULL;
}

static bool
is_forwarded (struct mt_str name)
{
  static const char *const stopped[]
      = { "host",    "connection", "keep-alive", "transfer-encoding", "te",
          "trailer", "upgrade",    "expect",     "content-length" };

  for (size_t i = 0; i < G_N_ELEMENTS (stopped); i++)
    if (mt_str_equal_nocase (name, mt_str_from (stopped[i])))
      return false;
  return !mt_answer_is_own_header (name);
}

/* What has to be done when an exchange has really ended, which may be after its caller was
 * answered: the slot is taken for as long as the minion works. */
struct attempt
{
  struct mt_slot *slot;
  struct mt_counters *counters;
};

static bool
has_header (const struct mt_http_answer *answer, struct mt_str name)
{
  return mt_http_header_find (answer->headers, answer->n_headers, name).data != NULL;
}

/* The minion's promise that it did not run the request. */
static bool
is_refusal (const struct mt_http_answer *answer)
{
  return answer->status == 503 && has_header (answer, MT_STR ("Medlartrack-Not-Run"));
}

static enum mt_dispatch_result
sort_result (enum mt_http_outcome outcome, const struct mt_http_answer *answer)
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
end_attempt (void *ctx, enum mt_http_outcome outcome, const struct mt_http_answer *answer)
{
  struct attempt *attempt = ctx;
  enum mt_dispatch_result result = sort_result (outcome, answer);

  if (outcome == MT_HTTP_WHOLE && has_header (answer, MT_STR ("Medlartrack-Leaving")))
    mt_slot_set_leaving (attempt->slot);
  if (result == MT_DISPATCH_REFUSED)
    mt_counters_add (attempt->counters, MT_COUNTER_MINION_REFUSALS, 1);
  mt_slot_release (attempt->slot, result);
  g_free (attempt);
}

/* A minion that knows them refuses work that an older record gave it. */
static void
add_record_headers (struct mt_http_request *request,
                    const struct plan *plan,
                    const struct mt_slot *slot,
                    struct mt_http_header *headers,
                    size_t *n)
{
  g_autofree char *epoch = g_strdup_printf ("%" G_GUINT64_FORMAT, mt_slot_epoch (slot));
  struct mt_str text = mt_arena_dup (request->arena, mt_str_from (epoch));

  headers[(*n)++] = (struct mt_http_header){ MT_STR ("Medlartrack-Pool"), plan->pool };
  if (text.data != NULL)
    headers[(*n)++] = (struct mt_http_header){ MT_STR ("Medlartrack-Epoch"), text };
}

static enum mt_http_outcome
call_minion (struct mt_front *front,
             struct mt_http_request *request,
             const struct plan *plan,
             struct mt_slot *slot,
             GError **error)
{
  struct mt_http_header *headers
      = mt_arena_alloc (request->arena, (request->n_headers + 2) * sizeof *headers);
  struct attempt *attempt = g_new0 (struct attempt, 1);
  struct mt_http_ended ended = { end_attempt, attempt };
  struct mt_http_call call = {
    .method = request->method.data,
    .path = request->path.data,
    .headers = headers,
    .body = request->body,
    .fresh = plan->repeat == MT_REPEAT_NEVER,
    .id = plan->id,
    .deadline_us = plan->deadline_us,
    .max_answer = front->options.answer_bytes,
    .connections = mt_slot_max_connections (slot),
  };

  attempt->slot = slot;
  attempt->counters = front->options.counters;
  if (headers == NULL)
    {
      end_attempt (attempt, MT_HTTP_NOT_SENT, &request->answer);
      return MT_HTTP_NOT_SENT;
    }
  for (size_t i = 0; i < request->n_headers; i++)
    if (is_forwarded (request->headers[i].name))
      headers[call.n_headers++] = request->headers[i];
  add_record_headers (request, plan, slot, headers, &call.n_headers);
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

static enum try_result
take_slot (struct mt_front *front,
           struct mt_http_request *request,
           const struct plan *plan,
           struct tries *tries,
           struct mt_slot **slot)
{
  struct mt_slot_request wanted = { .pool = plan->pool.data,
                                    .audience = plan->audience,
                                    .deadline_us = plan->deadline_us,
                                    .queue_limit = plan->queue,
                                    .avoid = tries->avoid.data,
                                    .is_retry = tries->again };
  enum mt_slot_result taken = mt_pools_acquire_slot (front->options.pools, &wanted, slot);

  if (taken != MT_SLOT_GRANTED)
    {
      if (!tries->again)
        tries->reason = describe_slot_failure (front, taken);
      return TRY_REFUSED;
    }
  if (!mt_slot_has_waited (*slot) || !mt_http_request_is_gone (request))
    return TRY_WHOLE;
  mt_slot_release (*slot, MT_DISPATCH_UNUSED);
  mt_counters_add (front->options.counters, MT_COUNTER_CALLERS_GONE, 1);
  return TRY_GONE;
}

static enum try_result
try_once (struct mt_front *front,
          struct mt_http_request *request,
          const struct plan *plan,
          struct tries *tries)
{
  g_autoptr (GError) error = NULL;
  struct mt_slot *slot = NULL;
  enum try_result result = take_slot (front, request, plan, tries, &slot);
  enum mt_http_outcome outcome;

  if (result != TRY_WHOLE)
    return result;
  tries->avoid = mt_arena_dup (request->arena, mt_str_from (mt_slot_minion (slot)));
  outcome = call_minion (front, request, plan, slot, &error);
  if (outcome == MT_HTTP_NOT_SENT)
    {
      tries->reason = "no minion could be reached";
      return TRY_NOT_SENT;
    }
  if (outcome == MT_HTTP_UNKNOWN)
    {
      tries->reason = g_error_matches (error, MT_ERROR, MT_ERROR_TIMEOUT)
                          ? "no answer by the deadline"
                          : "no whole answer came from the minion";
      return TRY_UNKNOWN;
    }
  if (!is_refusal (&request->answer))
    return TRY_WHOLE;
  tries->reason = "the minions' slots are full";
  return TRY_NOT_SENT;
}

/* Tries until there is an answer or nothing left to try. A request that a minion may have run is
 * only tried again where its route says that this does no harm. */
static enum try_result
try_in_turn (struct mt_front *front,
             struct mt_http_request *request,
             const struct plan *plan,
             struct tries *tries)
{
  enum try_result result = TRY_REFUSED;

  for (int i = 0; i < MAX_TRIES; i++)
    {
      tries->again = i > 0;
      result = try_once (front, request, plan, tries);
      tries->maybe_run = tries->maybe_run || result == TRY_UNKNOWN;
      if (result == TRY_WHOLE || result == TRY_REFUSED || result == TRY_GONE)
        return result;
      if (result == TRY_UNKNOWN && plan->repeat == MT_REPEAT_NEVER)
        return result;
      mt_counters_add (front->options.counters, MT_COUNTER_RETRIES, i + 1 < MAX_TRIES ? 1 : 0);
    }
  return result;
}

/* Gives the request its one answer. */
static void
settle (struct mt_front *front,
        struct mt_http_request *request,
        const struct plan *plan,
        const struct tries *tries,
        enum try_result result)
{
  if (result == TRY_WHOLE)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_WHOLE, 1);
      mt_answer_remove_own_headers (&request->answer);
    }
  else if (result == TRY_GONE)
    request->answer = (struct mt_http_answer){ .status = MT_HTTP_DROP };
  else if (tries->maybe_run)
    answer_unknown (front, request, plan, tries->reason);
  else
    refuse_not_run (front, request, plan, tries->reason);
}

/* The answer to a request whose key another attempt holds, or may hold. */
static void
answer_taken (struct mt_front *front,
              struct mt_http_request *request,
              const struct plan *plan,
              enum mt_claim_result result,
              int status)
{
  g_autofree char *done = g_strdup_printf ("it ran already and was answered %d", status);
  struct mt_answer_typed typed = { .status = 409, .outcome = "duplicate" };

  switch (result)
    {
    case MT_CLAIM_RUNNING:
      typed.reason = "the same request is running";
      typed.retry_after_s = work_out_retry_after (front, plan);
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
  mt_answer_typed (request, plan->id, &typed);
}

/* Claims the key of a request that may not be repeated. False where the request was answered. */
static bool
take_claim (struct mt_front *front,
            struct mt_http_request *request,
            const struct plan *plan,
            struct mt_claim *claim)
{
  struct mt_str key
      = mt_http_header_find (request->headers, request->n_headers, MT_STR ("Idempotency-Key"));
  struct mt_str path = { request->path.data, strcspn (request->path.data, "?") };
  enum mt_claim_result result;

  if (key.len == 0 || key.len > MAX_KEY_BYTES)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_typed (request, plan->id,
                       &(struct mt_answer_typed){
                           400, "not-run",
                           "this route needs an Idempotency-Key header of 1 to 256 bytes, "
                           "one for each request and the same when it is sent again",
                           0 });
      return false;
    }
  result = mt_claims_acquire (front->options.claims, path, key, plan->deadline_us, claim);
  if (result == MT_CLAIM_GRANTED)
    return true;
  if (result == MT_CLAIM_UNAVAILABLE)
    refuse_not_run (front, request, plan, "its key could not be claimed in time");
  else
    answer_taken (front, request, plan, result, claim->status);
  return false;
}

static void
end_claim (struct mt_front *front,
           const struct mt_http_request *request,
           const struct mt_claim *claim,
           const struct tries *tries,
           enum try_result result)
{
  enum mt_claim_end end = tries->maybe_run ? MT_CLAIM_END_LOST : MT_CLAIM_END_NOT_RUN;

  if (result == TRY_WHOLE)
    end = MT_CLAIM_END_DONE;
  mt_claims_end (front->options.claims, claim, end, request->answer.status);
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
  struct tries tries = { 0 };
  struct mt_claim claim;
  enum try_result result;
  bool routed = make_plan (front, request, &plan);

  mt_counters_add (front->options.counters, MT_COUNTER_ASKED, 1);
  if (plan.id.data == NULL || (routed && plan.pool.data == NULL))
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_out_of_memory (request, true);
      return;
    }
  if (!routed)
    {
      mt_counters_add (front->options.counters, MT_COUNTER_NOT_RUN, 1);
      mt_answer_typed (request, plan.id,
                       &(struct mt_answer_typed){ 404, "not-run", "no route leads there", 0 });
      return;
    }
  if (plan.repeat == MT_REPEAT_NEVER && !take_claim (front, request, &plan, &claim))
    return;
  result = try_in_turn (front, request, &plan, &tries);
  if (plan.repeat == MT_REPEAT_NEVER)
    end_claim (front, request, &claim, &tries, result);
  settle (front, request, &plan, &tries, result);
}
