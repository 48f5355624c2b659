/* Admits submissions: parses them, asks for a wait estimate, holds them while the store is away,
 * and accepts or refuses them. */
#include "frontend_submit.h"

#include "estimate_wire.h"
#include "journal.h"
#include "loop.h"
#include "pool_keys.h"

/* Time-out of a wait estimate: the pool's leader answers from memory in a few ms. After a time-out
 * no leader is asked for a while, because each submission would wait for it. */
#define ESTIMATE_TIMEOUT_MS 250
#define ESTIMATE_PAUSE_MS   1000

/* Reasons of refusals. */
#define TOO_MANY_TASKS "the job has more than 200000 tasks in all; submit it as several jobs"
#define TOO_MANY       "too many submissions wait to be stored, nothing was sent"
#define TOO_MANY_OF_WORKSPACE                                                                      \
  "its workspace has more than its share of the waiting submissions, nothing was sent"
/* Time for which a caller waits that does not say so, and the header in which it does. */
#define CALLER_WAIT_MS  3000
#define DEADLINE_HEADER "X-Medlartrack-Deadline-Ms"
/* Share of a caller's time after which it is answered; the rest is for the way there and back. */
#define ANSWER_SHARE (5.0 / 6)
/* Most tasks of a job, of all its occurrences: its pool's leader holds 320 bytes for each, and
 * other jobs have to fit beside it. */
#define MAX_JOB_TASKS 200000U
/* A job earns something until this many times its objective. */
#define USEFUL_OBJECTIVES 3

void
mt_submit_free (void *submit)
{
  struct submit *s = submit;

  g_free (s->pool);
  g_free (s->route);
  g_free (s->id);
  g_free (s->workspace);
  g_free (s->key);
  g_free (s->value);
  g_free (s);
}

/* Notifies the pool's leader at once; if the message is lost, the leader's watch brings the job
 * later. */
static void
notify_leader (struct mt_frontend *frontend, const struct submit *s)
{
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, s->pool);
  struct mt_str value = { s->value, s->value_len };
  struct mt_mesh_args args = { 3, { mt_str_from (s->pool), mt_str_from (s->key), value } };

  if (local_pool != NULL)
    mt_pool_handle_submission (local_pool, s->key, value, true);
  else
    mt_frontend_notify_leader (frontend, s->pool, MT_MESH_SUBMITTED, &args);
}

/* A refusal without a write in flight gets the time when it could be served; a caller whose outcome
 * is unknown retries soon to find it out. */
static unsigned
retry_after_s (const struct submit *s, unsigned status)
{
  const struct mt_frontend *frontend = s->frontend;

  if (s->retry_ms > 0)
    return mt_frontend_retry_after_s (s->retry_ms, g_random_double ());
  if (status == 503 && s->cause == MT_REFUSAL_STOP)
    return MT_FRONTEND_RETRY_AFTER_S;
  if (status == 503 && s->refused_by_store && frontend->store_wait != NULL)
    return mt_store_wait_retry_after_s (frontend->store_wait, &s->request);
  if (status == 503)
    return mt_submit_queue_retry_after_s (frontend->submits, s->workspace, s->cause,
                                          g_random_double ());
  return status == 504 ? MT_FRONTEND_RETRY_AFTER_S : 0;
}

/* Returns the log fields of the workspace and of a refusal, each with a blank before it; free the
 * text with g_free. */
static char *
describe_submit (const struct submit *s, unsigned status, unsigned retry_s)
{
  const struct mt_frontend *frontend = s->frontend;
  GString *out = g_string_new (NULL);

  if (s->workspace[0] != '\0')
    g_string_append_printf (out, " workspace=%s", s->workspace);
  if (status == 503 && s->cause != MT_REFUSAL_NONE)
    g_string_append_printf (out, " cause=%s", mt_refusal_names[s->cause]);
  if (status == 503 && s->cause == MT_REFUSAL_SHARE)
    g_string_append_printf (out, " share=%u fair=%u", s->share.share, s->share.fair);
  if (status != 200 && status != 504 && frontend->store_wait != NULL)
    g_string_append_printf (out, " retry_s=%u away_ms=%" G_GINT64_FORMAT, retry_s,
                            mt_store_wait_away_ms (frontend->store_wait));
  return g_string_free (out, FALSE);
}

void
mt_submit_end (struct submit *s, unsigned status, const char *why)
{
  static const struct
  {
    unsigned status;
    enum mt_counter counter;
    const char *event;
  } outcomes[] = {
    { 200, MT_COUNT_ACCEPTED, "JOB_ACCEPTED" },
    { 504, MT_COUNT_OUTCOME_UNKNOWN, "JOB_UNSETTLED" },
    { 0, MT_COUNT_REFUSED, "JOB_REFUSED" },
  };
  struct mt_frontend *frontend = s->frontend;
  size_t outcome = 0;
  int64_t took = mt_loop_now () - s->began;
  unsigned retry_s = retry_after_s (s, status);
  g_autofree char *detail = describe_submit (s, status, retry_s);

  while (outcomes[outcome].status != 0 && outcomes[outcome].status != status)
    outcome++;
  mt_metrics_increment (frontend->options.metrics, outcomes[outcome].counter);
  if (status == 503)
    mt_metrics_count_refusal (frontend->options.metrics, s->cause);
  mt_metrics_observe (frontend->options.metrics, MT_LATENCY_SUBMIT, took);
  if (s->waited && (status == 200 || status == 503))
    mt_metrics_increment (frontend->options.metrics,
                          status == 200 ? MT_COUNT_WAITED_STORED : MT_COUNT_WAITED_REFUSED);
  mt_journal_log (frontend->options.journal, outcomes[outcome].event,
                  "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT "%s", s->id, s->pool,
                  status, why, took, detail);
  mt_frontend_answer (s->exchange, status, NULL, retry_s);
  frontend->in_flight--;
  mt_submit_free (s);
}

/* Refuses a submission that no transaction holds any more. One that was in a transaction without
 * an answer may be stored all the same. */
void
mt_submit_refuse (struct submit *s, enum mt_refusal cause, const char *why)
{
  s->cause = cause;
  if (cause == MT_REFUSAL_SHARE && s->share.fair == 0)
    s->share = mt_submit_queue_share (s->frontend->submits, s->workspace);
  if (s->outcome_unknown)
    mt_submit_end (s, 504, "the store did not answer");
  else
    mt_submit_end (s, 503, why);
}

void
mt_submit_refuse_stopping (void *submit)
{
  mt_submit_refuse (submit, MT_REFUSAL_STOP, "the daemon is stopping, nothing was sent");
}

/* A submission that another workspace's displaces was never sent. */
void
mt_submit_push (struct submit *s)
{
  struct submit *displaced
      = mt_submit_queue_push (s->frontend->submits, s->workspace, s->value_len, s->began, s);

  if (displaced != NULL)
    mt_submit_refuse (displaced, MT_REFUSAL_SHARE, TOO_MANY_OF_WORKSPACE);
}

void
mt_submit_accept (struct submit *s, const char *why)
{
  notify_leader (s->frontend, s);
  mt_submit_end (s, 200, why);
}

bool
mt_submit_store_answers (const struct mt_frontend *frontend)
{
  return frontend->store_wait != NULL ? mt_store_wait_store_answers (frontend->store_wait)
                                      : frontend->options.store_answers (frontend->options.ctx);
}

int64_t
mt_submit_wait_until (const struct submit *s)
{
  return MIN (s->began + MT_FRONTEND_DEADLINE_MS, s->settle_by);
}

/* Holds a submission of which nothing is stored until the store is back, or refuses it. */
void
mt_submit_wait_or_refuse (struct submit *s, const char *why)
{
  if (!mt_frontend_may_write (s->frontend))
    {
      mt_submit_refuse_stopping (s);
      return;
    }
  s->refused_by_store = true;
  if (s->frontend->store_wait != NULL
      && mt_store_wait_add (s->frontend->store_wait, s, s->value_len, &s->request,
                            mt_submit_wait_until (s)))
    s->waited = true;
  else
    mt_submit_refuse (s, MT_REFUSAL_STORE, why);
}

static void
on_store_not_back (void *ctx, void *submit)
{
  mt_submit_refuse (submit, MT_REFUSAL_STORE, "the store is not expected back in time");
}

/* Submissions that arrived while the estimate was under way may have taken the workspace's share of
 * the places since its admission. */
static void
enqueue_submit (struct submit *s)
{
  struct mt_frontend *frontend = s->frontend;

  if (!mt_frontend_may_write (frontend))
    {
      mt_submit_refuse_stopping (s);
      return;
    }
  if (mt_submit_queue_check (frontend->submits, s->workspace) == MT_REFUSAL_SHARE)
    {
      mt_submit_refuse (s, MT_REFUSAL_SHARE, TOO_MANY_OF_WORKSPACE);
      return;
    }
  mt_submit_push (s);
  mt_submit_send_queued (frontend);
}

/* Nothing was written yet, so the job can be refused for certain. */
static void
apply_estimate (struct submit *s, const struct mt_wait_estimate *estimate)
{
  s->retry_ms = estimate->retry_after_ms;
  s->share = (struct mt_submit_share){ estimate->share, estimate->fair };
  if (s->retry_ms <= 0)
    enqueue_submit (s);
  else if (estimate->fair > 0)
    mt_submit_refuse (
        s, MT_REFUSAL_SHARE,
        "the job cannot complete in time, since its workspace has more than its share of "
        "the pool, nothing was sent");
  else
    mt_submit_refuse (s, MT_REFUSAL_WAIT, "the job cannot complete in time, nothing was sent");
}

static void request_estimate (struct submit *s);

/* Without an answer the pool's state is unknown, and the job is not refused for it. A leader that
 * doesn't know the form with a workspace replies with nothing; it is asked in the older form. */
static void
on_estimate (void *data, const struct mt_mesh_args *args)
{
  struct submit *s = data;
  struct mt_wait_estimate estimate = { 0 };

  if (args != NULL && args->n == 0 && s->workspace[0] != '\0' && !s->older_estimate)
    {
      s->older_estimate = true;
      request_estimate (s);
      return;
    }
  if (args == NULL)
    s->frontend->estimate_paused_until = mt_loop_now () + ESTIMATE_PAUSE_MS;
  else
    mt_estimate_reply_unpack (args, &estimate);
  apply_estimate (s, &estimate);
}

/* Asks the pool's leader for a wait estimate before anything is stored: a job that cannot be done
 * in time is refused at once. */
static void
request_estimate (struct submit *s)
{
  struct mt_frontend *frontend = s->frontend;
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, s->pool);
  const char *holder = mt_cluster_holder (frontend->options.cluster, s->pool);
  struct mt_wait_estimate estimate;
  struct mt_estimate_call call;

  if (local_pool != NULL && mt_pool_is_loaded (local_pool)
      && mt_cluster_lease_is_valid (frontend->options.cluster))
    {
      estimate = mt_scheduler_estimate_wait (mt_pool_scheduler (local_pool), s->route, s->chain_ms,
                                             s->workspace, mt_loop_now ());
      apply_estimate (s, &estimate);
    }
  else if (local_pool != NULL || holder == NULL || mt_loop_now () < frontend->estimate_paused_until)
    enqueue_submit (s);
  else
    {
      mt_estimate_call_pack (&call, s->pool, s->route, s->chain_ms,
                             s->older_estimate ? "" : s->workspace);
      mt_mesh_send (frontend->options.mesh, holder, MT_MESH_WAIT_ESTIMATE, &call.args,
                    ESTIMATE_TIMEOUT_MS, on_estimate, s);
    }
}

/* Returns whether a wait estimate makes sense: not for a job that is scheduled for later or has a
 * long-running step. */
static bool
can_estimate (const struct mt_job_spec *spec)
{
  for (unsigned i = 0; i < spec->n_steps; i++)
    if (spec->steps[i].long_running)
      return false;
  return spec->repeats == 0;
}

/* Stores the submission, or refuses it for want of time. */
static void
admit_submit (struct submit *s)
{
  enum mt_refusal cause = mt_submit_queue_check (s->frontend->submits, s->workspace);

  s->refused_by_store = false;
  if (!mt_frontend_may_write (s->frontend))
    mt_submit_refuse_stopping (s);
  else if (cause != MT_REFUSAL_NONE)
    mt_submit_refuse (s, cause, cause == MT_REFUSAL_SHARE ? TOO_MANY_OF_WORKSPACE : TOO_MANY);
  else if (s->wants_estimate)
    request_estimate (s);
  else
    enqueue_submit (s);
}

static void
on_store_back (void *ctx, void *submit)
{
  admit_submit (submit);
}

struct mt_store_wait *
mt_frontend_new_store_wait (struct mt_frontend *frontend)
{
  struct mt_store_wait_options options = { .journal = frontend->options.journal,
                                           .max_wait_ms = MT_FRONTEND_DEADLINE_MS,
                                           .store_answers = frontend->options.store_answers,
                                           .store_is_down = frontend->options.store_is_down,
                                           .release = on_store_back,
                                           .refuse = on_store_not_back,
                                           .ctx = frontend->options.ctx };

  return mt_store_wait_create (frontend->base, &options);
}

void
mt_frontend_drop_submit (void *submit)
{
  mt_submit_free (submit);
}

/* Returns the time for which the caller waits for its answer. */
static int64_t
caller_wait_ms (const struct mt_exchange *exchange)
{
  const char *text = mt_exchange_header (exchange, DEADLINE_HEADER);
  unsigned long long ms = 0;

  return text != NULL && mt_str_to_u64 (mt_str_from (text), &ms) && ms <= 3600 * 1000
             ? (int64_t) ms
             : CALLER_WAIT_MS;
}

/* Jobs that are scheduled for later or run until they are stopped have no objective. */
static struct mt_retry_request
make_request (const struct submit *s, const struct mt_fleet_route *route)
{
  struct mt_retry_request request
      = { .remaining_ms = caller_wait_ms (s->exchange), .priority = route->terms.priority };

  if (!s->wants_estimate)
    return request;
  request.objective_ms
      = (int64_t) (route->terms.stretch * (double) s->chain_ms) + route->terms.objective_ms;
  request.useful_ms = MAX (USEFUL_OBJECTIVES * request.objective_ms - s->chain_ms, 0);
  return request;
}

static void
refuse_body (struct mt_frontend *frontend,
             struct mt_exchange *exchange,
             const struct mt_fleet_route *route,
             const char *id,
             unsigned status,
             const char *why)
{
  mt_metrics_increment (frontend->options.metrics, MT_COUNT_REFUSED);
  mt_journal_log (frontend->options.journal, "JOB_REFUSED", "id=%s pool=%s status=%u why=%s", id,
                  route->pool, status, why);
  mt_exchange_answer (exchange, status, "text/plain", mt_str_from (why), 0);
}

void
mt_frontend_submit (struct mt_frontend *frontend,
                    struct mt_exchange *exchange,
                    const struct mt_fleet_route *route,
                    const char *id,
                    const char *workspace)
{
  g_autoptr (GError) error = NULL;
  struct mt_str body = mt_exchange_body (exchange);
  struct mt_pool_submission submission
      = { .route = route->name,
          .workspace = (char *) workspace,
          .accepted_ms = mt_loop_wall_ms (),
          .policy = mt_fleet_route_policy (route, frontend->config->version),
          .body = body };
  struct mt_job_spec *spec
      = frontend->options.codec->ops->parse_job (id, route->name, body, &error);
  struct submit *s;

  if (spec == NULL)
    {
      refuse_body (frontend, exchange, route, id, 400, error->message);
      return;
    }
  if (mt_job_spec_all_tasks (spec) > MAX_JOB_TASKS)
    {
      refuse_body (frontend, exchange, route, id, 413, TOO_MANY_TASKS);
      mt_job_spec_destroy (spec);
      return;
    }
  s = g_new0 (struct submit, 1);
  s->chain_ms = mt_job_spec_chain_ms (spec, 1.0);
  s->wants_estimate = can_estimate (spec);
  mt_job_spec_destroy (spec);
  s->frontend = frontend;
  s->exchange = exchange;
  s->route = g_strdup (route->name);
  s->request = make_request (s, route);
  s->pool = g_strdup (route->pool);
  s->id = g_strdup (id);
  s->workspace = g_strdup (workspace);
  s->key = mt_pool_job_key (route->pool, id);
  s->value = mt_pool_submission_pack (&submission, &s->value_len);
  s->began = mt_loop_now ();
  s->settle_by = s->began + (int64_t) (ANSWER_SHARE * (double) s->request.remaining_ms);
  s->settle_by = MIN (s->settle_by, frontend->answer_by);
  frontend->in_flight++;
  if (mt_submit_store_answers (frontend))
    admit_submit (s);
  else
    mt_submit_wait_or_refuse (s, "the store does not answer, nothing was sent");
}
