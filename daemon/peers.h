/* This daemon among the others: sends heartbeats, keeps the membership, spreads tables, and carries
 * calls between daemons. Any thread may call. */
#ifndef MT_PEERS_H
#define MT_PEERS_H

#include "documents.h"
#include "medlartrack/membership.h"
#include "medlartrack/settings.h"
#include "peer.h"

#include <jansson.h>

struct mt_peers;

/* Where the heartbeats' content comes from and what is told after each. Called in the heartbeat
 * thread, outside of the membership's lock. */
struct mt_peers_callbacks
{
  const char *name;
  const char *description;
  /* Calls mt_peers_set_loads with what this daemon carries. */
  void (*report) (void *ctx, struct mt_peers *peers);
  /* The membership may have changed: mt_peers_each_alive shows it. */
  void (*after_heartbeat) (void *ctx, struct mt_peers *peers);
};

struct mt_peers_options
{
  const struct mt_clock *clock;
  const struct mt_settings *settings; /* outlive the peers */
  struct mt_peer_server *server;      /* likewise; not started yet */
  const struct mt_peers_callbacks *callbacks;
  void *ctx;
};

struct mt_peers *mt_peers_create (const struct mt_peers_options *options);
/* Adds a document that is spread; before mt_peers_start. */
void mt_peers_add_document (struct mt_peers *peers, const struct mt_document *document, void *ctx);
/* Starts the heartbeats. The server may be started then. */
void mt_peers_start (struct mt_peers *peers);
/* Tells all that this daemon takes no new work. Heartbeats go on. */
void mt_peers_leave (struct mt_peers *peers);
/* Ends the threads; the server must be destroyed before, since its handlers call here. */
void mt_peers_destroy (struct mt_peers *peers);

/* A version changed: it is told at once instead of with the next heartbeat. ctx is the peers, so
 * that it can be a view listener. */
void mt_peers_trigger_heartbeat (void *ctx);
void mt_peers_set_loads (struct mt_peers *peers,
                         const struct mt_member_load *loads,
                         size_t n_loads,
                         const struct mt_member_demand *demands,
                         size_t n_demands);
/* Further addresses at which some daemon may be, such as the platform's list. */
void mt_peers_add_addresses (struct mt_peers *peers, const char *const *addresses, size_t n);
/* Frames between this daemon and the others so far, both ways. */
struct mt_peer_traffic mt_peers_traffic (const struct mt_peers *peers);
/* IP:PORT that others call; lives as long as the peers. */
const char *mt_peers_address (const struct mt_peers *peers);

/* Calls visit for each member that is alive now, this daemon included, under the membership's lock:
 * visit must not block or keep the pointer. zone NULL: all data centres. */
void mt_peers_each_alive (struct mt_peers *peers,
                          const char *zone,
                          void (*visit) (void *ctx, const struct mt_member *member),
                          void *ctx);
/* The same for each member that is known, the silent ones included. */
void mt_peers_each_known (struct mt_peers *peers,
                          void (*visit) (void *ctx, const struct mt_member *member),
                          void *ctx);
/* Of live members in this daemon's data centre, itself included; at least 1. */
unsigned mt_peers_count_in_zone (struct mt_peers *peers);
/* Whether the member is known and was heard of within the suspicion time. */
bool mt_peers_is_alive (struct mt_peers *peers, const char *name);
/* Calls a member by name; errors as mt_peer_client_call, MT_ERROR_UNAVAILABLE for an unknown one.
 */
bool mt_peers_call (struct mt_peers *peers,
                    const char *name,
                    enum mt_peer_type type,
                    struct mt_str body,
                    int64_t deadline_us,
                    char **reply,
                    size_t *reply_len,
                    GError **error);

/* Adds an object for each member, the silent ones included. */
void mt_peers_dump (struct mt_peers *peers, json_t *out);

#endif
