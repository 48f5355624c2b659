#include "neighbours.h"

#include "estimate_wire.h"
#include "fleet_leader.h"
#include "loop.h"

static void
reply_text (struct mt_mesh_call *call, const char *text)
{
  struct mt_mesh_args args = { 1, { mt_str_from (text) } };

  mt_mesh_reply (call, &args);
}

/* Answers only if this daemon's lease is valid by its own clock. */
static void
reply_query (const struct mt_peer_service *n,
             struct mt_mesh_call *call,
             enum mt_mesh_method method,
             struct mt_pool *pool,
             const char *id_or_route,
             const char *workspace)
{
  char text[24];

  if (pool == NULL || !mt_pool_is_loaded (pool) || !mt_cluster_lease_is_valid (n->cluster))
    {
      mt_mesh_reply (call, NULL);
      return;
    }
  if (method == MT_MESH_STATE)
    {
      reply_text (call, mt_job_state_names[mt_pool_state_for (pool, id_or_route, workspace)]);
      return;
    }
  g_snprintf (text, sizeof text, "%u",
              mt_scheduler_pending_jobs (mt_pool_scheduler (pool), id_or_route));
  reply_text (call, text);
}

/* Gives no estimate unless this daemon's lease is valid: a leader that may have been replaced does
 * not know the state of its pool. */
static void
reply_estimate (const struct mt_peer_service *n,
                struct mt_mesh_call *call,
                struct mt_pool *pool,
                const struct mt_mesh_args *args)
{
  struct mt_estimate_query query = { 0 };
  struct mt_estimate_reply reply;
  struct mt_wait_estimate estimate;

  if (!mt_pool_is_loaded (pool) || !mt_cluster_lease_is_valid (n->cluster)
      || !mt_estimate_query_unpack (args, &query))
    {
      mt_mesh_reply (call, NULL);
      return;
    }
  estimate = mt_scheduler_estimate_wait (mt_pool_scheduler (pool), query.route, query.chain_ms,
                                         query.workspace, mt_loop_now ());
  mt_estimate_reply_pack (&reply, &estimate, args);
  mt_mesh_reply (call, &reply.args);
  mt_estimate_query_clear (&query);
}

static void
reply_report (struct mt_mesh_call *call, struct mt_pool *pool, const struct mt_mesh_args *args)
{
  struct mt_pool_directives directives
      = { args->at[1], args->at[2], args->at[3], args->at[4], args->at[5] };
  size_t len = 0;
  g_autofree char *bytes = mt_pool_apply_directives (pool, &directives, &len);
  struct mt_mesh_args reply = { 1, { { bytes, len } } };

  mt_mesh_reply (call, bytes != NULL ? &reply : NULL);
}

void
mt_peer_service_handle (void *ctx,
                        struct mt_mesh_call *call,
                        enum mt_mesh_method method,
                        const struct mt_mesh_args *args)
{
  const struct mt_peer_service *n = ctx;
  g_autofree char *name = args->n > 0 ? g_strndup (args->at[0].data, args->at[0].len) : NULL;
  g_autofree char *id_or_route = args->n > 1 ? g_strndup (args->at[1].data, args->at[1].len) : NULL;
  struct mt_pool *pool = name != NULL ? n->local_pool (n->ctx, name) : NULL;

  switch (method)
    {
    case MT_MESH_SUBMITTED:
      if (pool != NULL && args->n == 3)
        mt_pool_handle_submission (pool, id_or_route, args->at[2], true);
      mt_mesh_reply (call, NULL);
      return;
    case MT_MESH_CANCELLED:
      if (pool != NULL && args->n == 2)
        mt_pool_handle_cancel (pool, id_or_route);
      mt_mesh_reply (call, NULL);
      return;
    case MT_MESH_STATE:
      if (args->n == 3)
        {
          g_autofree char *workspace = g_strndup (args->at[2].data, args->at[2].len);

          reply_query (n, call, method, pool, id_or_route, workspace);
          return;
        }
      break;
    case MT_MESH_PENDING:
      if (args->n == 2)
        {
          reply_query (n, call, method, pool, id_or_route, "");
          return;
        }
      break;
    case MT_MESH_CORDON:
      if (pool != NULL && args->n == 6)
        {
          reply_report (call, pool, args);
          return;
        }
      break;
    case MT_MESH_WAIT_ESTIMATE:
      if (pool != NULL)
        {
          reply_estimate (n, call, pool, args);
          return;
        }
      break;
    case MT_MESH_CONFIG:
      mt_config_sync_serve (n->config_sync, call, args);
      return;
    case MT_MESH_STORE:
      mt_relay_serve (n->relay, call, args);
      return;
    default:
      break;
    }
  mt_mesh_reply (call, NULL);
}
