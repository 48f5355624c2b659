/* Queries, counts and cancels jobs. */
#include "frontend_internal.h"

#include "journal.h"
#include "loop.h"
#include "pool_keys.h"

#include <string.h>

/* Time-out of the store for a state query; the caller may ask again at once. */
#define STORE_TIMEOUT_MS 700
#define STOPPING         "the daemon is stopping, nothing was sent"
/* A refused write of a cancellation is sent again after this time. */
#define CANCEL_RETRY_MS 80

struct query
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  char *pool;
  char *id; /* of the job; NULL for a query of the queue */
  char *route;
  char *workspace; /* of the caller */
  int64_t began;
  int64_t sent;         /* when its last call of the store was sent */
  bool outcome_unknown; /* an unanswered write of the cancellation may still be done */
  struct mt_timer *retry_timer;
  enum mt_job_state open_state; /* the job's state unless it was cancelled */
};

static struct query *
new_query (struct mt_frontend *frontend,
           struct mt_exchange *exchange,
           const struct mt_fleet_route *route,
           const char *id,
           const char *workspace)
{
  struct query *q = g_new0 (struct query, 1);

  *q = (struct query){ .frontend = frontend,
                       .exchange = exchange,
                       .pool = g_strdup (route->pool),
                       .id = g_strdup (id),
                       .route = g_strdup (route->name),
                       .workspace = g_strdup (workspace),
                       .began = mt_loop_now () };
  frontend->in_flight++;
  return q;
}

static void
free_query (struct query *q)
{
  q->frontend->in_flight--;
  mt_metrics_observe (q->frontend->options.metrics, MT_LATENCY_QUERY, mt_loop_now () - q->began);
  mt_timer_destroy (q->retry_timer);
  g_free (q->pool);
  g_free (q->id);
  g_free (q->route);
  g_free (q->workspace);
  g_free (q);
}

static void
end_failed (struct query *q, unsigned status, const char *why)
{
  mt_metrics_increment (q->frontend->options.metrics, MT_COUNT_QUERIES_UNANSWERED);
  mt_journal_log (q->frontend->options.journal, "CALL_FAILED",
                  "id=%s pool=%s status=%u why=%s took_ms=%" G_GINT64_FORMAT,
                  q->id != NULL ? q->id : "-", q->pool, status, why, mt_loop_now () - q->began);
  mt_frontend_answer (q->exchange, status, NULL, MT_FRONTEND_RETRY_AFTER_S);
  free_query (q);
}

static const char *
describe_failure (const struct mt_kv_reply *reply)
{
  return mt_kv_is_refusal (reply->status) ? "the store refused the call or was not reached"
                                          : "the store did not answer";
}

static void
end_state (struct query *q, enum mt_job_state state)
{
  g_autofree char *body = q->frontend->options.codec->ops->format_job_state (state);

  mt_frontend_answer (q->exchange, 200, body, 0);
  free_query (q);
}

static void
end_no_job (struct query *q)
{
  mt_frontend_answer (q->exchange, 410, NULL, 0);
  free_query (q);
}

static void
on_cancel_key (void *data, const struct mt_kv_reply *reply)
{
  struct query *q = data;

  if (reply->status == MT_KV_OK)
    end_state (q, MT_JOB_CANCELLED);
  else if (reply->status == MT_KV_MISSING)
    end_state (q, q->open_state);
  else
    end_failed (q, 503, describe_failure (reply));
}

static void
on_progress_key (void *data, const struct mt_kv_reply *reply)
{
  struct query *q = data;
  enum mt_job_state state = MT_JOB_QUEUED;
  g_autofree char *key = NULL;

  if (reply->status != MT_KV_OK && reply->status != MT_KV_MISSING)
    {
      end_failed (q, 503, describe_failure (reply));
      return;
    }
  if (reply->status == MT_KV_OK && reply->n_items > 0)
    state = mt_pool_record_state (reply->items[0].value);
  if (mt_job_state_is_final (state))
    {
      end_state (q, state);
      return;
    }
  q->open_state = state == MT_JOB_UNKNOWN ? MT_JOB_QUEUED : state;
  key = mt_pool_cancel_key (q->pool, q->id);
  mt_kv_read (&q->frontend->options.kv, key, STORE_TIMEOUT_MS, on_cancel_key, q);
}

/* Returns whether the reply has the job and the caller may see it: another workspace's job counts
 * as missing. */
static bool
has_visible_job (const struct query *q, const struct mt_kv_reply *reply)
{
  struct mt_pool_submission stored = { 0 };
  bool found = reply->status == MT_KV_OK && reply->n_items > 0;

  if (found && mt_pool_submission_unpack (reply->items[0].value, &stored))
    found = mt_pool_job_is_visible (stored.workspace, q->workspace);
  mt_pool_submission_clear (&stored);
  return found;
}

static void
on_job_key (void *data, const struct mt_kv_reply *reply)
{
  struct query *q = data;
  g_autofree char *key = NULL;

  if (reply->status == MT_KV_MISSING || (reply->status == MT_KV_OK && !has_visible_job (q, reply)))
    {
      end_no_job (q);
      return;
    }
  if (reply->status != MT_KV_OK)
    {
      end_failed (q, 503, describe_failure (reply));
      return;
    }
  key = mt_pool_progress_key (q->pool, q->id);
  mt_kv_read (&q->frontend->options.kv, key, STORE_TIMEOUT_MS, on_progress_key, q);
}

/* Reads the job's state from the store, if the pool has no leader or its leader does not know the
 * job: only the store shows that a job does not exist. */
static void
query_store (struct query *q)
{
  g_autofree char *key = mt_pool_job_key (q->pool, q->id);

  mt_metrics_increment (q->frontend->options.metrics, MT_COUNT_QUERIES_STORE);
  mt_kv_read (&q->frontend->options.kv, key, STORE_TIMEOUT_MS, on_job_key, q);
}

static void
on_leader_state (void *data, const struct mt_mesh_args *args)
{
  struct query *q = data;
  enum mt_job_state state
      = args != NULL && args->n == 1 ? mt_job_state_parse (args->at[0]) : MT_JOB_UNKNOWN;

  if (state == MT_JOB_UNKNOWN)
    {
      query_store (q);
      return;
    }
  mt_metrics_increment (q->frontend->options.metrics, MT_COUNT_QUERIES_LEADER);
  end_state (q, state);
}

static struct mt_pool *
loaded_pool (struct mt_frontend *frontend, const char *name)
{
  struct mt_pool *pool = frontend->options.local_pool (frontend->options.ctx, name);

  return pool != NULL && mt_pool_is_loaded (pool) ? pool : NULL;
}

void
mt_frontend_query_state (struct mt_frontend *frontend,
                         struct mt_exchange *exchange,
                         const struct mt_fleet_route *route,
                         const char *id,
                         const char *workspace)
{
  struct mt_pool *local_pool = loaded_pool (frontend, route->pool);
  struct query *q = new_query (frontend, exchange, route, id, workspace);
  struct mt_mesh_args args
      = { 3, { mt_str_from (q->pool), mt_str_from (q->id), mt_str_from (q->workspace) } };
  enum mt_job_state state = MT_JOB_UNKNOWN;

  mt_metrics_increment (frontend->options.metrics, MT_COUNT_QUERIES);
  /* Without a valid lease this leader may have been replaced, and must not report an obsolete
   * state. */
  if (local_pool != NULL && mt_cluster_lease_is_valid (frontend->options.cluster))
    state = mt_pool_state_for (local_pool, id, workspace);
  if (state != MT_JOB_UNKNOWN)
    end_state (q, state);
  else if (local_pool != NULL
           || !mt_frontend_send_leader (frontend, q->pool, MT_MESH_STATE, &args, on_leader_state,
                                        q))
    query_store (q);
}

static void
on_leader_pending (void *data, const struct mt_mesh_args *args)
{
  struct query *q = data;
  g_autofree char *body = NULL;
  unsigned long long jobs = 0;

  if (args == NULL || args->n != 1 || !mt_str_to_u64 (args->at[0], &jobs))
    {
      end_failed (q, 503, "the pool's leader did not answer");
      return;
    }
  body = q->frontend->options.codec->ops->format_pending ((unsigned) jobs);
  mt_frontend_answer (q->exchange, 200, body, 0);
  free_query (q);
}

void
mt_frontend_query_pending (struct mt_frontend *frontend,
                           struct mt_exchange *exchange,
                           const struct mt_fleet_route *route)
{
  struct mt_pool *local_pool = loaded_pool (frontend, route->pool);
  struct query *q = new_query (frontend, exchange, route, NULL, "");
  struct mt_mesh_args args = { 2, { mt_str_from (q->pool), mt_str_from (q->route) } };

  mt_metrics_increment (frontend->options.metrics, MT_COUNT_QUERIES);
  if (local_pool != NULL)
    {
      g_autofree char *body = frontend->options.codec->ops->format_pending (
          mt_scheduler_pending_jobs (mt_pool_scheduler (local_pool), route->name));

      mt_frontend_answer (exchange, 200, body, 0);
      free_query (q);
    }
  else if (!mt_frontend_send_leader (frontend, q->pool, MT_MESH_PENDING, &args, on_leader_pending,
                                     q))
    end_failed (q, 503, "the pool has no known leader");
}

/* ---- cancels ---- */

static void send_cancel (void *ctx);

static void
end_cancel (struct query *q)
{
  struct mt_frontend *frontend = q->frontend;
  struct mt_pool *local_pool = frontend->options.local_pool (frontend->options.ctx, q->pool);
  struct mt_mesh_args args = { 2, { mt_str_from (q->pool), mt_str_from (q->id) } };

  if (local_pool != NULL)
    mt_pool_handle_cancel (local_pool, q->id);
  else
    mt_frontend_notify_leader (frontend, q->pool, MT_MESH_CANCELLED, &args);
  mt_metrics_increment (frontend->options.metrics, MT_COUNT_CANCELS);
  mt_journal_log (frontend->options.journal, "CANCEL_ACCEPTED",
                  "id=%s pool=%s took_ms=%" G_GINT64_FORMAT, q->id, q->pool,
                  mt_loop_now () - q->began);
  mt_frontend_answer (q->exchange, 200, NULL, 0);
  free_query (q);
}

/* Returns whether the cancellation is not sent again. A first write is not begun if the daemon
 * exits before its outcome would be known; an unknown outcome is found out until then. */
static bool
deadline_passed (const struct query *q)
{
  const struct mt_frontend *frontend = q->frontend;
  int64_t now = mt_loop_now ();

  if (frontend->closing || now - q->began >= MT_FRONTEND_DEADLINE_MS)
    return true;
  return q->outcome_unknown ? now >= frontend->answer_by : !mt_frontend_may_write (frontend);
}

static void
end_unstored (struct query *q, const char *why)
{
  if (q->outcome_unknown)
    end_failed (q, 504, "the store did not answer");
  else
    end_failed (q, 503, why);
}

static void
record_store (const struct query *q, const struct mt_kv_reply *reply)
{
  mt_frontend_record_store (q->frontend, mt_loop_now () - q->sent, reply->status != MT_KV_UNKNOWN);
}

static void
on_cancel_stored (void *data, const struct mt_kv_reply *reply)
{
  struct query *q = data;

  record_store (q, reply);
  /* The key only says that the job is cancelled: whoever wrote it, the outcome is the same. */
  if (reply->status == MT_KV_OK || reply->status == MT_KV_CONFLICT)
    {
      end_cancel (q);
      return;
    }
  q->outcome_unknown |= reply->status == MT_KV_UNKNOWN;
  if (deadline_passed (q))
    {
      end_unstored (q, describe_failure (reply));
      return;
    }
  g_queue_push_tail (&q->frontend->cancels, q);
  mt_timer_set (q->retry_timer, CANCEL_RETRY_MS);
}

static void
send_cancel (void *ctx)
{
  struct query *q = ctx;
  g_autofree char *key = mt_pool_cancel_key (q->pool, q->id);
  struct mt_kv_expect expect = { key, 0 };
  struct mt_kv_put put = { .key = key, .value = MT_STR ("{}") };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  g_queue_remove (&q->frontend->cancels, q);
  q->sent = mt_loop_now ();
  mt_kv_write (&q->frontend->options.kv, &txn,
               mt_frontend_store_timeout_ms (q->frontend, MT_FRONTEND_TXN_TIMEOUT_MS),
               on_cancel_stored, q);
}

static void
on_cancel_job (void *data, const struct mt_kv_reply *reply)
{
  struct query *q = data;

  record_store (q, reply);
  if (reply->status == MT_KV_MISSING || (reply->status == MT_KV_OK && !has_visible_job (q, reply)))
    end_no_job (q);
  else if (!mt_frontend_may_write (q->frontend))
    end_failed (q, 503, STOPPING);
  else if (reply->status == MT_KV_OK)
    {
      q->retry_timer = mt_timer_create (q->frontend->base, send_cancel, q);
      send_cancel (q);
    }
  else
    end_failed (q, mt_kv_is_refusal (reply->status) ? 503 : 504, describe_failure (reply));
}

void
mt_frontend_cancel (struct mt_frontend *frontend,
                    struct mt_exchange *exchange,
                    const struct mt_fleet_route *route,
                    const char *id,
                    const char *workspace)
{
  struct query *q = new_query (frontend, exchange, route, id, workspace);
  g_autofree char *key = mt_pool_job_key (q->pool, q->id);

  if (!mt_frontend_may_write (frontend))
    {
      end_failed (q, 503, STOPPING);
      return;
    }
  q->sent = mt_loop_now ();
  mt_kv_read (&frontend->options.kv, key,
              mt_frontend_store_timeout_ms (frontend, MT_FRONTEND_TXN_TIMEOUT_MS), on_cancel_job,
              q);
}

void
mt_frontend_end_cancels (struct mt_frontend *frontend)
{
  struct query *q;

  while ((q = g_queue_pop_head (&frontend->cancels)) != NULL)
    end_unstored (q, STOPPING);
}
