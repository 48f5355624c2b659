/* Frames over TCP between daemons, and from medlartrackctl to a daemon: a 4-byte big-endian length,
 * then a msgpack array [protocol, type, sender, body]. Frames longer than MT_PEER_MAX_FRAME_BYTES,
 * of another protocol version or malformed close the connection. */
#ifndef MT_PEER_H
#define MT_PEER_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

#define MT_PEER_PROTOCOL        1
#define MT_PEER_MAX_FRAME_BYTES (2 * 1024 * 1024)

/* Frame types. The numbers are part of the protocol and never reused. */
enum mt_peer_type
{
  MT_PEER_HEARTBEAT = 1, /* membership: member, versions, loads; answered by the receiver's own */
  MT_PEER_TABLES = 2,    /* requests the tables document in force */
  MT_PEER_ASSIGN = 3,    /* requests the assignment document in force */
  MT_PEER_CLAIM = 4,     /* requests claims from a shard's owner */
  MT_PEER_DUMP = 5,      /* requests the state dump, JSON text */
  MT_PEER_LEAVING = 6,   /* the sender is stopping gracefully */
  MT_PEER_MESH_CALL = 7, /* see mesh.h */
  MT_PEER_MESH_REPLY = 8,
  MT_PEER_TYPES = 16,
};

/* Answers one frame, in a thread of the server. Returns a reply, which the server frees with free;
 * NULL closes the connection. */
typedef char *(*mt_peer_handler) (void *ctx,
                                  struct mt_str sender,
                                  struct mt_str body,
                                  size_t *reply_len);

struct mt_peer_server;
/* Starts listening; calls are answered after mt_peer_server_start. name: sender of the frames of
 * this process. Errors: MT_ERROR_SETTINGS if the address is malformed, MT_ERROR_UNAVAILABLE if it
 * can't be listened on. */
struct mt_peer_server *
mt_peer_server_create (const char *address, const char *name, GError **error);
/* Sets the handler of a frame type. Call before mt_peer_server_start. */
void mt_peer_server_set_handler (struct mt_peer_server *server,
                                 enum mt_peer_type type,
                                 mt_peer_handler handler,
                                 void *ctx);
void mt_peer_server_start (struct mt_peer_server *server);
unsigned mt_peer_server_port (const struct mt_peer_server *server);
/* Waits for running and queued handlers, then closes all connections. server may be NULL. */
void mt_peer_server_destroy (struct mt_peer_server *server);

/* Bytes of frames so far, with their headers but without the overhead of TCP. */
struct mt_peer_traffic
{
  uint64_t received;
  uint64_t sent;
  uint64_t frames; /* calls answered, or replies received */
};

struct mt_peer_traffic mt_peer_server_traffic (const struct mt_peer_server *server);

/* Client for calls to peers, each of which blocks until the reply. Keeps connections. Any thread
 * may call. */
struct mt_peer_client;
struct mt_peer_client *mt_peer_client_create (const struct mt_clock *clock, const char *name);
/* Call when no call is in progress. client may be NULL. */
void mt_peer_client_destroy (struct mt_peer_client *client);
struct mt_peer_traffic mt_peer_client_traffic (const struct mt_peer_client *client);
/* Makes one call and sets *reply, to be freed with free. Errors: MT_ERROR_UNAVAILABLE: not
 * delivered; MT_ERROR_UNKNOWN: sent, but no complete reply was received; MT_ERROR_LIMIT: body too
 * long for a frame. */
bool mt_peer_client_call (struct mt_peer_client *client,
                          const char *address,
                          enum mt_peer_type type,
                          struct mt_str body,
                          int64_t deadline_us,
                          char **reply,
                          size_t *reply_len,
                          GError **error);

#endif
