/* Calls between daemons, in the frames of peer.h. Concurrent calls to one daemon share a connection
 * and are answered in any order. All functions and callbacks run on the loop's thread. */
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

/* Methods: [arguments] -> [reply]. The numbers are part of the protocol and never reused. */
enum mt_mesh_method
{
  MT_MESH_SUBMITTED = 1, /* [pool, job's key, stored value]: the job is stored */
  MT_MESH_CANCELLED = 2, /* [pool, job id]: the cancellation is stored */
  MT_MESH_STATE = 3,     /* [pool, job id, workspace] -> [state's name] */
  MT_MESH_PENDING = 4,   /* [pool, route] -> [number] */
  MT_MESH_STORE = 5,     /* [method, path, body] -> [status, body]: a forwarded store call */
  MT_MESH_CORDON = 6,    /* [pool, workers to cordon, ended workers, workers due for maintenance,
                            planned CPU, grants] -> [the pool's load, workers and accounts] */
  MT_MESH_WAIT_ESTIMATE = 7, /* [pool, route, job's chain in ms] -> [ms until a retry; 0: now];
                                [..., workspace] -> [..., the workspace's share and fair share in
                                thousandths, 0 unless they are the cause] */
  MT_MESH_CONFIG = 8,        /* see config_wire.h */
};

struct mt_mesh_args
{
  size_t n;
  struct mt_str at[MT_MESH_MAX_ARGS];
};

/* A received call; valid until it is replied to. */
struct mt_mesh_call;

/* Returns the method's name in the traffic counters. */
const char *mt_mesh_method_name (enum mt_mesh_method method);

typedef void (*mt_mesh_handler) (void *ctx,
                                 struct mt_mesh_call *call,
                                 enum mt_mesh_method method,
                                 const struct mt_mesh_args *args);
/* args is NULL if there was no reply: the call was not delivered, or not answered in time. */
typedef void (*mt_mesh_done) (void *ctx, const struct mt_mesh_args *args);

/* Starts listening. address: IP:PORT. name: of this daemon in its frames. traffic: counters of what
 * is sent and received; NULL for none. Errors: MT_ERROR_SETTINGS if it can't listen on the
 * address. */
struct mt_mesh *mt_mesh_create (struct event_base *base,
                                struct mt_traffic *traffic,
                                const char *address,
                                const char *name,
                                mt_mesh_handler handler,
                                void *ctx,
                                GError **error);
/* Completes the pending calls without a reply, by their callbacks. To be called before what the
 * callbacks use is destroyed. */
void mt_mesh_cancel_calls (struct mt_mesh *mesh);
/* Cancels the pending calls first. */
void mt_mesh_destroy (struct mt_mesh *mesh);
unsigned mt_mesh_port (const struct mt_mesh *mesh);

/* Sends a call. done is called exactly once, never before the function has returned; NULL for a
 * notification without reply. */
void mt_mesh_send (struct mt_mesh *mesh,
                   const char *address,
                   enum mt_mesh_method method,
                   const struct mt_mesh_args *args,
                   int64_t timeout_ms,
                   mt_mesh_done done,
                   void *ctx);
/* During a done callback without a reply: returns whether no byte of the call was sent, so that the
 * other daemon can't have acted on it. */
bool mt_mesh_call_undelivered (const struct mt_mesh *mesh);
/* Replies to the call and frees it. args may be NULL or empty; a reply that is too long for a frame
 * is sent without its arguments. */
void mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args);

#endif
