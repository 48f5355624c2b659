#include "frontend_internal.h"

#include "journal.h"
#include "loop.h"

#include <math.h>
#include <string.h>

/* Number of hexadecimal digits in a job's id. */
#define ID_CHARS              16
#define MAX_LOGGED_PATH_BYTES 80
/* Calls are checked against the store if the configuration is unconfirmed for longer: a change must
 * be in force after 2 s, of which the check takes up to 0.6 s while the store answers. */
#define CONFIG_STALE_MS 1300
/* The time-out of a call to the store is this multiple of the recent mean answer time, within
 * limits. */
#define STORE_TIMEOUT_FACTOR     3
#define LONGEST_STORE_TIMEOUT_MS 1500
/* Weight of the last call in that mean. */
#define STORE_MS_WEIGHT (1.0 / 4)
/* Rest of the time that finding out a write's outcome takes: the pause before it is sent again, and
 * the answer's way to the caller. */
#define WRITE_MARGIN_MS 200
/* Interval at which a stopping daemon refuses what it can't begin any more. */
#define STOP_CHECK_MS 100
/* For the way of the confirmation: its age counts from when it arrived. */
#define CONFIG_MARGIN_MS 200

void
mt_frontend_answer (struct mt_exchange *exchange,
                    unsigned status,
                    const char *body,
                    unsigned retry_after_s)
{
  mt_exchange_answer (exchange, status, "application/json",
                      mt_str_from (body != NULL ? body : "{}"), retry_after_s);
}

unsigned
mt_frontend_retry_after_s (int64_t wait_ms, double draw)
{
  return (unsigned) MAX (ceil ((double) wait_ms * (1 + draw) / 1000), 1);
}

bool
mt_frontend_send_leader (struct mt_frontend *frontend,
                         const char *pool,
                         enum mt_mesh_method method,
                         const struct mt_mesh_args *args,
                         mt_mesh_done done,
                         void *data)
{
  const char *holder = mt_cluster_holder (frontend->options.cluster, pool);

  if (holder == NULL)
    return false;
  mt_mesh_send (frontend->options.mesh, holder, method, args, MT_FRONTEND_LEADER_TIMEOUT_MS, done,
                data);
  return true;
}

static void
on_notified (void *ctx, const struct mt_mesh_args *args)
{
}

void
mt_frontend_notify_leader (struct mt_frontend *frontend,
                           const char *pool,
                           enum mt_mesh_method method,
                           const struct mt_mesh_args *args)
{
  mt_frontend_send_leader (frontend, pool, method, args, on_notified, frontend);
}

static bool
is_id (const char *text)
{
  size_t n = 0;

  while (g_ascii_isxdigit (text[n]))
    n++;
  return n == ID_CHARS && text[n] == '\0';
}

/* Returns whether the configuration has been unconfirmed for too long: it may still have a key that
 * was removed. */
static bool
keys_are_stale (const struct mt_frontend *frontend)
{
  int64_t max_age_ms = frontend->options.keys_stale_ms;

  return max_age_ms > 0 && frontend->options.config_age_ms (frontend->options.ctx) > max_age_ms;
}

/* What a call asks for, by the configuration in force. */
struct target
{
  const struct mt_fleet_route *route; /* NULL if no route has the path */
  const char *id;                     /* the path after the route's prefix */
  const char *workspace;              /* of the caller; "" if the route asks for no key */
};

enum verdict
{
  VERDICT_SERVE,
  VERDICT_UNKNOWN_PATH,
  VERDICT_UNKNOWN_KEY,
  VERDICT_UNCONFIRMED_KEY,
  VERDICT_UNCONFIRMED_CONFIG,
};

static enum verdict
find_target (const struct mt_frontend *frontend,
             const struct mt_exchange *exchange,
             struct target *out)
{
  const struct mt_workspaces *list = frontend->config->workspaces;
  const struct mt_workspace *workspace;

  *out = (struct target){ mt_route_table_find (frontend->config->routes,
                                               mt_exchange_header (exchange, "Host"),
                                               mt_exchange_path (exchange)),
                          "", "" };
  if (out->route == NULL)
    return VERDICT_UNKNOWN_PATH;
  out->id = mt_exchange_path (exchange) + strlen (out->route->prefix);
  if (out->id[0] != '\0' && !is_id (out->id))
    return VERDICT_UNKNOWN_PATH;
  if (list == NULL || out->route->allow_anonymous)
    return VERDICT_SERVE;
  workspace = mt_workspaces_by_key (
      list, mt_exchange_header (exchange, frontend->options.codec->key_header));
  if (workspace == NULL)
    return VERDICT_UNKNOWN_KEY;
  out->workspace = workspace->name;
  return keys_are_stale (frontend) ? VERDICT_UNCONFIRMED_KEY : VERDICT_SERVE;
}

static void
refuse_path (struct mt_frontend *frontend, struct mt_exchange *exchange, unsigned status)
{
  mt_metrics_increment (frontend->options.metrics, MT_COUNT_ROUTE_UNKNOWN);
  mt_journal_log (
      frontend->options.journal, "ROUTE_UNKNOWN",
      "status=%u version=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT " method=%s path=%.*s",
      status, frontend->config->version, frontend->options.config_age_ms (frontend->options.ctx),
      mt_exchange_method (exchange), MAX_LOGGED_PATH_BYTES, mt_exchange_path (exchange));
}

static void
refuse_caller (struct mt_frontend *frontend,
               struct mt_exchange *exchange,
               const struct target *target,
               unsigned status)
{
  const char *key = mt_exchange_header (exchange, frontend->options.codec->key_header);

  mt_metrics_increment (frontend->options.metrics, MT_COUNT_UNAUTHORIZED);
  mt_journal_log (frontend->options.journal, "CALLER_REFUSED",
                  "id=%s route=%s pool=%s status=%u version=%" G_GINT64_FORMAT " why=%s",
                  target->id[0] != '\0' ? target->id : "-", target->route->name,
                  target->route->pool, status, frontend->config->version,
                  status == 503 ? "keys cannot be confirmed"
                  : key == NULL ? "no key"
                                : "unknown key");
}

static void
refuse_unconfirmed (struct mt_frontend *frontend, struct mt_exchange *exchange)
{
  mt_metrics_increment (frontend->options.metrics, MT_COUNT_CONFIG_UNCONFIRMED);
  mt_journal_log (
      frontend->options.journal, "CONFIG_UNCONFIRMED",
      "status=503 version=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT " method=%s path=%.*s",
      frontend->config->version, frontend->options.config_age_ms (frontend->options.ctx),
      mt_exchange_method (exchange), MAX_LOGGED_PATH_BYTES, mt_exchange_path (exchange));
}

/* Refuses the call for good if the configuration is confirmed; otherwise the caller is asked to
 * come back, since a newer version may have its route or its key. */
static void
refuse (struct mt_frontend *frontend,
        struct mt_exchange *exchange,
        const struct target *target,
        enum verdict verdict,
        bool confirmed)
{
  bool final
      = confirmed && verdict != VERDICT_UNCONFIRMED_KEY && verdict != VERDICT_UNCONFIRMED_CONFIG;
  unsigned status = !final ? 503 : verdict == VERDICT_UNKNOWN_PATH ? 404 : 401;

  if (verdict == VERDICT_UNKNOWN_PATH)
    refuse_path (frontend, exchange, status);
  else if (verdict == VERDICT_UNCONFIRMED_CONFIG)
    refuse_unconfirmed (frontend, exchange);
  else
    refuse_caller (frontend, exchange, target, status);
  mt_frontend_answer (exchange, status, NULL, final ? 0 : MT_FRONTEND_RETRY_AFTER_S);
}

static void
dispatch (struct mt_frontend *frontend, struct mt_exchange *exchange, const struct target *target)
{
  const struct mt_fleet_route *route = target->route;
  const char *method = mt_exchange_method (exchange);

  if (strcmp (method, "GET") == 0 && target->id[0] == '\0')
    mt_frontend_query_pending (frontend, exchange, route);
  else if (strcmp (method, "POST") == 0 && target->id[0] != '\0')
    mt_frontend_submit (frontend, exchange, route, target->id, target->workspace);
  else if (strcmp (method, "GET") == 0)
    mt_frontend_query_state (frontend, exchange, route, target->id, target->workspace);
  else if (strcmp (method, "DELETE") == 0 && target->id[0] != '\0')
    mt_frontend_cancel (frontend, exchange, route, target->id, target->workspace);
  else
    mt_frontend_answer (exchange, 405, NULL, 0);
}

/* A call that waits until the configuration is confirmed. */
struct held_call
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  int64_t arrived_at;
  bool began; /* no other call was waiting when it arrived */
};

/* Returns whether the configuration in force may have been replaced for longer than a change may
 * take to be in force. Without the store there is no change either, and calls are served by the
 * last known configuration. */
static bool
config_may_be_outdated (const struct mt_frontend *frontend)
{
  return frontend->options.store_answers (frontend->options.ctx)
         && frontend->options.config_age_ms (frontend->options.ctx)
                > frontend->options.config_apply_ms - CONFIG_MARGIN_MS;
}

/* Calls that arrive this long after one that waits for a check wait with it: it may show a newer
 * version, and they must not be answered by an older one then. The rest of the time is for calls
 * that take longer on their way than others. A check takes some 20 ms, so that most hold no other
 * call. */
static int64_t
hold_others_after_ms (const struct mt_frontend *frontend)
{
  return frontend->options.config_rollback_ms * 2 / 5;
}

static bool
must_follow_held_call (const struct mt_frontend *frontend)
{
  const GList *head = frontend->held.head;
  const struct held_call *first = head != NULL ? head->data : NULL;

  return first != NULL && mt_loop_now () - first->arrived_at >= hold_others_after_ms (frontend);
}

/* Logs a check that may have held other calls, once for all that waited for it. */
static void
log_slow_check (const struct mt_frontend *frontend, const struct held_call *call, bool confirmed)
{
  int64_t waited_ms = mt_loop_now () - call->arrived_at;

  if (call->began && waited_ms >= hold_others_after_ms (frontend))
    mt_journal_log (frontend->options.journal, "CONFIG_CHECK_SLOW",
                    "version=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT
                    " calls=%u confirmed=%d",
                    frontend->config->version, waited_ms, frontend->held.length, confirmed);
}

static void
on_config_checked (void *data, bool confirmed)
{
  struct held_call *call = data;
  struct mt_frontend *frontend = call->frontend;
  struct mt_exchange *exchange = call->exchange;
  struct target target;
  enum verdict verdict = find_target (frontend, exchange, &target);

  log_slow_check (frontend, call, confirmed);
  g_queue_remove (&frontend->held, call);
  g_free (call);
  frontend->in_flight--;
  if (verdict == VERDICT_SERVE && !confirmed && config_may_be_outdated (frontend))
    verdict = VERDICT_UNCONFIRMED_CONFIG;
  if (frontend->closing)
    mt_frontend_answer (exchange, 503, NULL, MT_FRONTEND_RETRY_AFTER_S);
  else if (verdict == VERDICT_SERVE)
    dispatch (frontend, exchange, &target);
  else
    refuse (frontend, exchange, &target, verdict, confirmed);
}

static void
hold_until_confirmed (struct mt_frontend *frontend, struct mt_exchange *exchange)
{
  struct held_call *call = g_new0 (struct held_call, 1);

  *call = (struct held_call){ frontend, exchange, mt_loop_now (),
                              g_queue_is_empty (&frontend->held) };
  g_queue_push_tail (&frontend->held, call);
  frontend->in_flight++;
  mt_config_check_request (frontend->options.config_check, on_config_checked, call);
}

static bool
config_is_stale (const struct mt_frontend *frontend)
{
  return frontend->options.config_age_ms (frontend->options.ctx) > CONFIG_STALE_MS;
}

void
mt_frontend_handle (struct mt_frontend *frontend, struct mt_exchange *exchange)
{
  struct target target;
  enum verdict verdict;
  bool must_check;

  if (frontend->config == NULL)
    {
      mt_frontend_answer (exchange, 503, NULL, MT_FRONTEND_RETRY_AFTER_S);
      return;
    }
  verdict = find_target (frontend, exchange, &target);
  must_check = verdict != VERDICT_SERVE || config_is_stale (frontend);
  if (must_follow_held_call (frontend)
      || (must_check && frontend->options.store_answers (frontend->options.ctx)))
    hold_until_confirmed (frontend, exchange);
  else if (verdict == VERDICT_SERVE)
    dispatch (frontend, exchange, &target);
  else
    refuse (frontend, exchange, &target, verdict, false);
}

void
mt_frontend_set_config (struct mt_frontend *frontend, const struct mt_fleet_config *config)
{
  frontend->config = config;
  mt_submit_queue_set_workspaces (frontend->submits, config != NULL ? config->workspaces : NULL);
}

/* ---- stop ---- */

int64_t
mt_frontend_store_timeout_ms (const struct mt_frontend *frontend, int64_t shortest_ms)
{
  return CLAMP ((int64_t) (STORE_TIMEOUT_FACTOR * frontend->store_ms), shortest_ms,
                LONGEST_STORE_TIMEOUT_MS);
}

/* Without an answer, the call would have taken an unknown time longer. */
void
mt_frontend_record_store (struct mt_frontend *frontend, int64_t took_ms, bool answered)
{
  double sample = (double) (answered ? took_ms : took_ms * 2);

  frontend->store_ms += STORE_MS_WEIGHT * (sample - frontend->store_ms);
}

/* A write may have to be sent a second time to find out the outcome of the first. */
static int64_t
write_budget_ms (const struct mt_frontend *frontend)
{
  return 2 * mt_frontend_store_timeout_ms (frontend, MT_FRONTEND_TXN_TIMEOUT_MS) + WRITE_MARGIN_MS;
}

bool
mt_frontend_may_write (const struct mt_frontend *frontend)
{
  return !frontend->closing
         && (frontend->answer_by == INT64_MAX
             || mt_loop_now () + write_budget_ms (frontend) <= frontend->answer_by);
}

/* The budget follows the store's answer times and may have become smaller since the timer was set.
 */
static void
on_writes_end (void *ctx)
{
  struct mt_frontend *frontend = ctx;

  mt_timer_set (frontend->stop_timer, STOP_CHECK_MS);
  if (!mt_frontend_may_write (frontend))
    mt_frontend_refuse_unsent (frontend);
}

void
mt_frontend_stop (struct mt_frontend *frontend, int64_t answer_by)
{
  frontend->answer_by = answer_by;
  frontend->stop_timer = mt_timer_create (frontend->base, on_writes_end, frontend);
  on_writes_end (frontend);
}

void
mt_frontend_close (struct mt_frontend *frontend)
{
  frontend->closing = true;
  mt_frontend_refuse_unsent (frontend);
  mt_frontend_end_failed_txns (frontend);
  mt_frontend_end_cancels (frontend);
}

unsigned
mt_frontend_in_flight (const struct mt_frontend *frontend)
{
  return frontend->in_flight;
}

struct mt_frontend *
mt_frontend_create (struct event_base *base, const struct mt_frontend_options *options)
{
  struct mt_frontend *frontend = g_new0 (struct mt_frontend, 1);

  frontend->base = base;
  frontend->options = *options;
  frontend->admission = mt_frontend_new_admission ();
  g_queue_init (&frontend->held);
  g_queue_init (&frontend->cancels);
  frontend->answer_by = INT64_MAX;
  frontend->submits = mt_submit_queue_create (frontend->admission);
  if (options->store_wait)
    frontend->store_wait = mt_frontend_new_store_wait (frontend);
  return frontend;
}

void
mt_frontend_destroy (struct mt_frontend *frontend)
{
  if (frontend == NULL)
    return;
  mt_frontend_drop_submits (frontend);
  mt_timer_destroy (frontend->stop_timer);
  mt_submit_queue_destroy (frontend->submits);
  mt_store_wait_destroy (frontend->store_wait, mt_frontend_drop_submit);
  mt_admission_destroy (frontend->admission);
  g_free (frontend);
}
