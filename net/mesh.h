/* Calls between daemons on the loop's one thread, in the frames of peer.h: many calls at a time on
 * one kept connection a pair, answered in any order. All functions and callbacks on the loop's
 * thread. */
#ifndef MT_MESH_H
#define MT_MESH_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define MT_MESH_MAX_ARGS 6

struct event_base;
struct mt_mesh;
struct mt_traffic;

/* What a call is about. Numbers are part of the protocol: never reused. */
enum mt_mesh_method
{
  MT_MESH_SUBMITTED = 1, /* [pool, job's key, stored value]: it is durable */
  MT_MESH_CANCELLED = 2, /* [pool, job id]: it is durable */
  MT_MESH_STATE = 3,     /* [pool, job id, who asks] -> [state's name] */
  MT_MESH_PENDING = 4,   /* [pool, route] -> [number] */
  MT_MESH_STORE = 5,     /* [method, path, body] -> [status, body]: a store call for a neighbour */
  MT_MESH_CORDON = 6, /* [pool, workers to empty, ended ones, due ones, room, shares of quotas] ->
                       * [the pool's load, workers and accounts] */
  MT_MESH_WAIT_ESTIMATE
  = 7, /* [pool, route, chain in ms] -> [ms after which to come back; 0: now] */
};

struct mt_mesh_args
{
  size_t n;
  struct mt_str at[MT_MESH_MAX_ARGS];
};

/* A call that was received; lives until it is replied to. */
struct mt_mesh_call;

/* As the traffic counts it. */
const char *mt_mesh_method_name (enum mt_mesh_method method);

typedef void (*mt_mesh_handler) (void *ctx,
                                 struct mt_mesh_call *call,
                                 enum mt_mesh_method method,
                                 const struct mt_mesh_args *args);
/* args is NULL where no reply came: not delivered, or not answered in time. */
typedef void (*mt_mesh_done) (void *ctx, const struct mt_mesh_args *args);

/* traffic: counts what is sent and received; NULL for nobody. */
struct mt_mesh *mt_mesh_create (struct event_base *base,
                                struct mt_traffic *traffic,
                                const char *address,
                                const char *name,
                                mt_mesh_handler handler,
                                void *ctx,
                                GError **error);
/* Calls under way end without a reply, by their callbacks. */
void mt_mesh_destroy (struct mt_mesh *mesh);
unsigned mt_mesh_port (const struct mt_mesh *mesh);

/* done is called later, exactly once, never from within; NULL for a note that wants no reply. */
void mt_mesh_send (struct mt_mesh *mesh,
                   const char *address,
                   enum mt_mesh_method method,
                   const struct mt_mesh_args *args,
                   int64_t timeout_ms,
                   mt_mesh_done done,
                   void *ctx);
/* Ends the call; n may be 0. */
void mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args);

#endif
