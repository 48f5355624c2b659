/* Arguments and reply of MT_MESH_WAIT_ESTIMATE. Callers and leaders of the older form have no
 * workspace: the call has three arguments and the reply one. */
#ifndef MT_FLEET_ESTIMATE_WIRE_H
#define MT_FLEET_ESTIMATE_WIRE_H

#include "mesh.h"

#include "medlartrack/scheduler.h"

#define MT_ESTIMATE_TEXT_BYTES 24

/* A packed call; the arguments point into it and to the caller's strings. */
struct mt_estimate_call
{
  char chain[MT_ESTIMATE_TEXT_BYTES];
  struct mt_mesh_args args;
};

/* workspace: "" packs the older form. */
void mt_estimate_call_pack (struct mt_estimate_call *out,
                            const char *pool,
                            const char *route,
                            int64_t chain_ms,
                            const char *workspace);

/* A received call; free its strings with mt_estimate_query_clear. */
struct mt_estimate_query
{
  char *route;
  char *workspace; /* "" in the older form */
  int64_t chain_ms;
};

/* Returns false if the arguments are no such call; out is cleared then. */
bool mt_estimate_query_unpack (const struct mt_mesh_args *args, struct mt_estimate_query *out);
void mt_estimate_query_clear (struct mt_estimate_query *query);

/* A packed reply; the arguments point into it. */
struct mt_estimate_reply
{
  char texts[3][MT_ESTIMATE_TEXT_BYTES];
  struct mt_mesh_args args;
};

/* call: the arguments that are replied to; those of the older form get a reply of that form. */
void mt_estimate_reply_pack (struct mt_estimate_reply *out,
                             const struct mt_wait_estimate *estimate,
                             const struct mt_mesh_args *call);
/* Sets all but wait_ms; what the reply doesn't have is 0. An empty reply gives no estimate. */
void mt_estimate_reply_unpack (const struct mt_mesh_args *args, struct mt_wait_estimate *out);

#endif
