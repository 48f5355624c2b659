#include "daemon.h"

#include "claims.h"
#include "control.h"
#include "dump.h"
#include "feed.h"
#include "front.h"
#include "heartbeat.h"
#include "jobs_part.h"
#include "medlartrack/log.h"
#include "peers.h"
#include "platform.h"
#include "registry.h"

#include <stdlib.h>
#include <string.h>

#define REQUEST_MEMORY_BASE_BYTES (256 * 1024)

struct mt_daemon
{
  const struct mt_settings *settings;
  const struct mt_clock *clock;
  struct mt_counters counters;
  struct mt_http_client *client;
  struct mt_http_exchanges *exchanges;
  struct mt_platform *platform;
  struct mt_claims *claims;
  struct mt_view_holder *views;
  struct mt_proxied *proxied;
  struct mt_assign_source assign; /* source of the document for peers */
  struct mt_pools *pools;
  struct mt_peer_server *peer_server;
  struct mt_heartbeat *heartbeat;
  struct mt_peers *peers;
  struct mt_registry *registry;
  struct mt_feed *feed;
  struct mt_control *control;
  struct mt_jobs_part *jobs; /* NULL: this daemon places no jobs */
  struct mt_front *front;
  struct mt_http_server *server;
};

static size_t
request_memory (const struct mt_settings *settings)
{
  const struct mt_settings_limits *limits = &settings->limits;

  return (size_t) limits->answer_bytes * 2 + limits->body_bytes + REQUEST_MEMORY_BASE_BYTES;
}

static char *
serve_dump (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  g_autofree char *text = mt_daemon_dump (ctx);

  *reply_len = strlen (text);
  return strdup (text);
}

static void
create_peers (struct mt_daemon *daemon)
{
  struct mt_peers_options options = { .clock = daemon->clock };

  daemon->heartbeat = mt_heartbeat_create (daemon->pools, daemon->settings);
  options.settings = daemon->settings;
  options.server = daemon->peer_server;
  options.callbacks = mt_heartbeat_callbacks ();
  options.ctx = daemon->heartbeat;
  daemon->peers = mt_peers_create (&options);
  mt_peers_add_document (daemon->peers, mt_document_tables (), daemon->views);
  mt_heartbeat_set_proxied (daemon->heartbeat, daemon->proxied);
  daemon->assign = (struct mt_assign_source){ daemon->views, daemon->proxied };
  mt_peers_add_document (daemon->peers, mt_document_assign (), &daemon->assign);
  mt_peer_server_set_handler (daemon->peer_server, MT_PEER_DUMP, serve_dump, daemon);
  mt_view_add_after_listener (daemon->views, mt_peers_trigger_heartbeat, daemon->peers);
}

static void
each_member (void *ctx,
             const char *zone,
             void (*visit) (void *visit_ctx, const struct mt_member *member),
             void *visit_ctx)
{
  mt_peers_each_alive (ctx, zone, visit, visit_ctx);
}

static struct mt_control *
create_control (const struct mt_daemon *daemon)
{
  const struct mt_settings *settings = daemon->settings;
  struct mt_control_options options = {
    .clock = daemon->clock,
    .name = settings->name.data,
    .zone = settings->zone.data,
    .platform = settings->platform.data,
    .call_timeout_us = settings->limits.platform_ms * MT_MS,
    .views = daemon->views,
    .pools = daemon->pools,
    .each_member = each_member,
    .members = daemon->peers,
    .policy = &mt_capacity_policies[0],
    .proxied = daemon->proxied,
  };

  return mt_control_create (&options);
}

static struct mt_jobs_part *
create_jobs (const struct mt_daemon *daemon)
{
  struct mt_jobs_part_options options = {
    .clock = daemon->clock,
    .settings = daemon->settings,
    .store = mt_platform_store (daemon->platform),
    .client = daemon->client,
    .views = daemon->views,
    .control = daemon->control,
  };

  return mt_jobs_part_create (&options);
}

static void
create_parts (struct mt_daemon *daemon)
{
  const struct mt_settings *settings = daemon->settings;
  struct mt_front_options front = { .clock = daemon->clock };
  struct mt_feed_options feed = { .clock = daemon->clock };
  struct mt_claims_options claims = { .clock = daemon->clock };

  daemon->client = mt_http_client_create (daemon->clock);
  daemon->exchanges = mt_http_exchanges_create (
      daemon->client, daemon->clock, settings->limits.connections * 2, request_memory (settings));
  daemon->platform = mt_platform_create (daemon->client, daemon->clock, settings->platform.data,
                                         settings->limits.platform_ms * MT_MS);
  daemon->views = mt_view_holder_create (daemon->clock);
  daemon->proxied = mt_proxied_create (daemon->views, settings->zone.data);
  daemon->pools = mt_pools_create (daemon->clock, daemon->views, settings->zone.data);
  mt_view_add_listener (daemon->views, mt_pools_refresh, daemon->pools);
  create_peers (daemon);
  claims.breaker = mt_platform_breaker (daemon->platform);
  claims.peers = daemon->peers;
  claims.name = settings->name.data;
  daemon->claims = mt_claims_create (&claims);
  mt_peer_server_set_handler (daemon->peer_server, MT_PEER_CLAIM, mt_claims_serve, daemon->claims);
  feed.platform = settings->platform.data;
  feed.call_timeout_us = settings->limits.platform_ms * MT_MS;
  feed.views = daemon->views;
  daemon->control = create_control (daemon);
  daemon->jobs = create_jobs (daemon);
  mt_heartbeat_set_jobs (daemon->heartbeat, daemon->jobs);
  daemon->feed = mt_feed_create (&feed);
  front.views = daemon->views;
  front.pools = daemon->pools;
  front.exchanges = daemon->exchanges;
  front.claims = daemon->claims;
  front.counters = &daemon->counters;
  front.answer_bytes = settings->limits.answer_bytes;
  daemon->front = mt_front_create (&front);
}

/* Other daemons may call this one only once all its parts exist. */
static void
start_peers (struct mt_daemon *daemon)
{
  mt_peers_start (daemon->peers);
  mt_peer_server_start (daemon->peer_server);
  daemon->registry = mt_registry_create (mt_platform_store (daemon->platform), daemon->clock,
                                         daemon->peers, daemon->settings->name.data);
}

struct mt_daemon *
mt_daemon_create (const struct mt_settings *settings, GError **error)
{
  struct mt_daemon *daemon = g_new0 (struct mt_daemon, 1);
  struct mt_http_server_options server = {
    .address = settings->listen.data,
    .max_connections = settings->limits.connections,
    .idle_timeout_s = settings->limits.idle_s,
    .max_body_bytes = settings->limits.body_bytes,
    .max_request_memory_bytes = request_memory (settings),
    .handle = mt_front_handle,
  };

  daemon->settings = settings;
  daemon->clock = mt_clock_system ();
  daemon->peer_server
      = mt_peer_server_create (settings->peer_listen.data, settings->name.data, error);
  if (daemon->peer_server == NULL)
    {
      g_free (daemon);
      return NULL;
    }
  create_parts (daemon);
  server.clock = daemon->clock;
  server.ctx = daemon->front;
  daemon->server = mt_http_server_create (&server, error);
  if (daemon->server == NULL)
    {
      mt_daemon_destroy (daemon);
      return NULL;
    }
  start_peers (daemon);
  return daemon;
}

void
mt_daemon_destroy (struct mt_daemon *daemon)
{
  if (daemon->server != NULL)
    {
      mt_peers_leave (daemon->peers);
      mt_http_server_stop (daemon->server, daemon->settings->limits.stop_linger_ms * MT_MS);
    }
  mt_http_server_destroy (daemon->server);
  /* Abandoned exchanges still hold slots of the pools, so they are destroyed first. */
  mt_http_exchanges_destroy (daemon->exchanges);
  mt_registry_destroy (daemon->registry);
  mt_feed_destroy (daemon->feed);
  mt_jobs_part_stop (daemon->jobs);
  mt_control_destroy (daemon->control);
  mt_peer_server_destroy (daemon->peer_server);
  mt_claims_destroy (daemon->claims);
  mt_peers_destroy (daemon->peers);
  mt_jobs_part_destroy (daemon->jobs);
  mt_front_destroy (daemon->front);
  mt_pools_destroy (daemon->pools);
  mt_heartbeat_destroy (daemon->heartbeat);
  mt_proxied_destroy (daemon->proxied);
  mt_view_holder_destroy (daemon->views);
  mt_platform_destroy (daemon->platform);
  mt_http_client_destroy (daemon->client);
  g_free (daemon);
}

unsigned
mt_daemon_port (const struct mt_daemon *daemon)
{
  return mt_http_server_port (daemon->server);
}

unsigned
mt_daemon_peer_port (const struct mt_daemon *daemon)
{
  return mt_peer_server_port (daemon->peer_server);
}

static json_t *
show_name (void *ctx)
{
  return json_string (((struct mt_daemon *) ctx)->settings->name.data);
}

static json_t *
show_zone (void *ctx)
{
  return json_string (((struct mt_daemon *) ctx)->settings->zone.data);
}

static json_t *
show_address (void *ctx)
{
  return json_string (mt_peers_address (((struct mt_daemon *) ctx)->peers));
}

static json_t *
show_tables_version (void *ctx)
{
  return json_integer ((json_int_t) mt_view_version (((struct mt_daemon *) ctx)->views));
}

static json_t *
show_tables_age (void *ctx)
{
  int64_t age_us = mt_view_age_us (((struct mt_daemon *) ctx)->views);

  return json_integer (age_us < 0 ? -1 : (json_int_t) (age_us / MT_MS));
}

static json_t *
show_platform_calls (void *ctx)
{
  const struct mt_daemon *daemon = ctx;

  uint64_t calls = mt_platform_calls (daemon->platform) + mt_feed_calls (daemon->feed)
                   + mt_control_calls (daemon->control);

  return json_integer ((json_int_t) calls);
}

static json_t *
show_control (void *ctx)
{
  json_t *control = json_object ();

  mt_control_dump (((struct mt_daemon *) ctx)->control, control);
  return control;
}

static json_t *
show_store_calls (void *ctx)
{
  struct mt_breaker *breaker = mt_platform_breaker (((struct mt_daemon *) ctx)->platform);
  struct mt_breaker_counts counts = mt_breaker_counts (breaker);

  return json_pack ("{sI sI sI sI sI sb}", "reads", (json_int_t) counts.reads, "writes",
                    (json_int_t) counts.writes, "watches", (json_int_t) counts.watches, "refused",
                    (json_int_t) counts.refused, "opened", (json_int_t) counts.opened, "open",
                    (int) mt_breaker_is_open (breaker));
}

static json_t *
show_claims (void *ctx)
{
  json_t *claims = json_object ();

  mt_claims_dump (((struct mt_daemon *) ctx)->claims, claims);
  return claims;
}

static json_t *
show_peer_traffic (void *ctx)
{
  struct mt_peer_traffic traffic = mt_peers_traffic (((struct mt_daemon *) ctx)->peers);

  return json_pack ("{sI sI sI}", "received_bytes", (json_int_t) traffic.received, "sent_bytes",
                    (json_int_t) traffic.sent, "frames", (json_int_t) traffic.frames);
}

static json_t *
show_registered (void *ctx)
{
  return json_boolean (mt_registry_is_held (((struct mt_daemon *) ctx)->registry));
}

static json_t *
show_members (void *ctx)
{
  json_t *members = json_object ();

  mt_peers_dump (((struct mt_daemon *) ctx)->peers, members);
  return members;
}

static json_t *
show_pools (void *ctx)
{
  json_t *pools = json_object ();

  mt_pools_dump (((struct mt_daemon *) ctx)->pools, pools);
  return pools;
}

static json_t *
show_counters (void *ctx)
{
  json_t *counters = json_object ();

  mt_counters_dump (&((struct mt_daemon *) ctx)->counters, counters);
  return counters;
}

static json_t *
show_jobs (void *ctx)
{
  return mt_jobs_part_dump (((struct mt_daemon *) ctx)->jobs);
}

static const struct mt_dump_section sections[] = {
  { "name", "the daemon's name", show_name },
  { "zone", "the daemon's data centre", show_zone },
  { "address", "IP:PORT for other daemons and medlartrackctl", show_address },
  { "tables_version", "version in force here, 0 for none", show_tables_version },
  { "tables_age_ms", "time since that version was last known to be the newest, -1 for none",
    show_tables_age },
  { "platform_calls", "calls on the platform so far, a watch counted as one", show_platform_calls },
  { "store_calls", "calls on the platform's store behind the breaker, by kind", show_store_calls },
  { "claims", "claims of requests that may not be repeated", show_claims },
  { "peer_traffic", "frames with other daemons so far", show_peer_traffic },
  { "registered", "whether the daemon's lease in the platform's list is held", show_registered },
  { "members", "all known daemons, this one included", show_members },
  { "pools", "queue, slots and requests in flight of each pool", show_pools },
  { "jobs", "jobs of the data centre, while this daemon is its planner", show_jobs },
  { "counters", "request counters", show_counters },
  { "control", "assignment in force, planner, delayed changes and the daemons that delay them",
    show_control },
  { NULL },
};

char *
mt_daemon_dump (struct mt_daemon *daemon)
{
  return mt_dump_text (sections, daemon);
}
