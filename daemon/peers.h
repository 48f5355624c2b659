/* Communication with the other daemons: sends heartbeats, maintains the membership, replicates
 * documents, and calls members. Any thread may call. */
#ifndef MT_PEERS_H
#define MT_PEERS_H

#include "documents.h"
#include "medlartrack/membership.h"
#include "medlartrack/settings.h"
#include "peer.h"

#include <jansson.h>

struct mt_peers;

/* Callbacks before and after each heartbeat. Called in the heartbeat thread, without the
 * membership's lock. */
struct mt_peers_callbacks
{
  const char *name;
  const char *description;
  /* Called before a heartbeat; calls mt_peers_set_loads with this daemon's loads. */
  void (*report) (void *ctx, struct mt_peers *peers);
  /* Called after a heartbeat. The membership may have changed; mt_peers_each_alive shows it. */
  void (*after_heartbeat) (void *ctx, struct mt_peers *peers);
};

struct mt_peers_options
{
  const struct mt_clock *clock;
  const struct mt_settings *settings; /* outlive the peers */
  struct mt_peer_server *server;      /* outlives the peers; not started yet */
  const struct mt_peers_callbacks *callbacks;
  void *ctx;
};

struct mt_peers *mt_peers_create (const struct mt_peers_options *options);
/* Adds a document to replicate. Call before mt_peers_start. */
void mt_peers_add_document (struct mt_peers *peers, const struct mt_document *document, void *ctx);
/* Starts the heartbeats. The server may be started afterwards. */
void mt_peers_start (struct mt_peers *peers);
/* Notifies all members that this daemon accepts no new work. Heartbeats continue. */
void mt_peers_leave (struct mt_peers *peers);
/* Stops the threads. Destroy the server first, since its handlers use the peers. */
void mt_peers_destroy (struct mt_peers *peers);

/* Sends a heartbeat at once, instead of at the next interval, because a version changed. ctx is the
 * mt_peers: the function is a view listener. */
void mt_peers_trigger_heartbeat (void *ctx);
/* Sets the loads and demands that this daemon's heartbeats report. */
void mt_peers_set_loads (struct mt_peers *peers,
                         const struct mt_member_load *loads,
                         size_t n_loads,
                         const struct mt_member_demand *demands,
                         size_t n_demands);
/* Adds addresses at which daemons may be found, such as those in the platform's list. */
void mt_peers_add_addresses (struct mt_peers *peers, const char *const *addresses, size_t n);
/* Returns the traffic between this daemon and the others so far, in both directions. */
struct mt_peer_traffic mt_peers_traffic (const struct mt_peers *peers);
/* Returns the IP:PORT that other daemons call; valid as long as the peers. */
const char *mt_peers_address (const struct mt_peers *peers);

/* Calls visit for each member that is alive now, this daemon included, under the membership's lock:
 * visit must not block or keep the pointer. zone NULL: all data centres. */
void mt_peers_each_alive (struct mt_peers *peers,
                          const char *zone,
                          void (*visit) (void *ctx, const struct mt_member *member),
                          void *ctx);
/* Like mt_peers_each_alive, for each known member, including those that are not alive. */
void mt_peers_each_known (struct mt_peers *peers,
                          void (*visit) (void *ctx, const struct mt_member *member),
                          void *ctx);
/* Returns the number of live members in this daemon's data centre, itself included; at least 1. */
unsigned mt_peers_count_in_zone (struct mt_peers *peers);
/* Whether the member is known and sent a heartbeat within the suspicion time. */
bool mt_peers_is_alive (struct mt_peers *peers, const char *name);
/* Calls a member by name; blocks. Reply and errors as for mt_peer_client_call;
 * MT_ERROR_UNAVAILABLE also if the member is unknown. */
bool mt_peers_call (struct mt_peers *peers,
                    const char *name,
                    enum mt_peer_type type,
                    struct mt_str body,
                    int64_t deadline_us,
                    char **reply,
                    size_t *reply_len,
                    GError **error);

/* Adds an object for each known member, including those that are not alive. */
void mt_peers_dump (struct mt_peers *peers, json_t *out);

#endif
