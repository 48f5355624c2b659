#include "estimate_wire.h"

#include <string.h>

/* Number of arguments without and with a workspace. */
#define OLDER_ARGS 3
#define ARGS       4
/* Shares are at most some thousandths; a greater number is malformed. */
#define MAX_SHARE 1000000

void
mt_estimate_call_pack (struct mt_estimate_call *out,
                       const char *pool,
                       const char *route,
                       int64_t chain_ms,
                       const char *workspace)
{
  g_snprintf (out->chain, sizeof out->chain, "%" G_GINT64_FORMAT, chain_ms);
  out->args = (struct mt_mesh_args){ workspace[0] != '\0' ? ARGS : OLDER_ARGS,
                                     { mt_str_from (pool), mt_str_from (route),
                                       mt_str_from (out->chain), mt_str_from (workspace) } };
}

bool
mt_estimate_query_unpack (const struct mt_mesh_args *args, struct mt_estimate_query *out)
{
  unsigned long long chain_ms = 0;

  *out = (struct mt_estimate_query){ 0 };
  if ((args->n != OLDER_ARGS && args->n != ARGS) || !mt_str_to_u64 (args->at[2], &chain_ms)
      || chain_ms > INT64_MAX)
    return false;
  out->chain_ms = (int64_t) chain_ms;
  out->route = g_strndup (args->at[1].data, args->at[1].len);
  out->workspace = args->n == ARGS ? g_strndup (args->at[3].data, args->at[3].len) : g_strdup ("");
  return true;
}

void
mt_estimate_query_clear (struct mt_estimate_query *query)
{
  g_free (query->route);
  g_free (query->workspace);
  *query = (struct mt_estimate_query){ 0 };
}

void
mt_estimate_reply_pack (struct mt_estimate_reply *out,
                        const struct mt_wait_estimate *estimate,
                        const struct mt_mesh_args *call)
{
  const int64_t values[] = { estimate->retry_after_ms, estimate->share, estimate->fair };

  out->args = (struct mt_mesh_args){ .n = call->n == ARGS ? G_N_ELEMENTS (values) : 1 };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      g_snprintf (out->texts[i], sizeof out->texts[i], "%" G_GINT64_FORMAT, values[i]);
      out->args.at[i] = mt_str_from (out->texts[i]);
    }
}

static unsigned
read_share (struct mt_str text)
{
  unsigned long long value = 0;

  return mt_str_to_u64 (text, &value) && value <= MAX_SHARE ? (unsigned) value : 0;
}

void
mt_estimate_reply_unpack (const struct mt_mesh_args *args, struct mt_wait_estimate *out)
{
  unsigned long long retry_ms = 0;

  *out = (struct mt_wait_estimate){ 0 };
  if (args->n == 0 || !mt_str_to_u64 (args->at[0], &retry_ms) || retry_ms > INT64_MAX)
    return;
  out->retry_after_ms = (int64_t) retry_ms;
  if (args->n < 3)
    return;
  out->share = read_share (args->at[1]);
  out->fair = read_share (args->at[2]);
}
