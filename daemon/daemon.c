#include "daemon.h"

#include "feed.h"
#include "front.h"
#include "medlartrack/log.h"
#include "platform.h"

#define REQUEST_MEMORY_BASE (256 * 1024)

struct mt_daemon
{
  const struct mt_settings *settings;
  const struct mt_clock *clock;
  struct mt_counters counters;
  struct mt_http_client *client;
  struct mt_http_exchanges *exchanges;
  struct mt_platform *platform;
  struct mt_view_holder *views;
  struct mt_pools *pools;
  struct mt_feed *feed;
  struct mt_front *front;
  struct mt_http_server *server;
};

static size_t
request_memory (const struct mt_settings *settings)
{
  const struct mt_settings_limits *limits = &settings->limits;

  return (size_t) limits->answer_bytes * 2 + limits->body_bytes + REQUEST_MEMORY_BASE;
}

static void
create_parts (struct mt_daemon *daemon)
{
  const struct mt_settings *settings = daemon->settings;
  struct mt_front_options front = { .clock = daemon->clock };
  struct mt_feed_options feed = { .clock = daemon->clock };

  daemon->client = mt_http_client_create (daemon->clock);
  daemon->exchanges = mt_http_exchanges_create (
      daemon->client, daemon->clock, settings->limits.connections * 2, request_memory (settings));
  daemon->platform = mt_platform_create (daemon->client, daemon->clock, settings->platform.data,
                                         settings->limits.platform_ms * MT_MS);
  daemon->views = mt_view_holder_create (daemon->clock);
  daemon->pools = mt_pools_create (daemon->clock, daemon->views, settings->zone.data);
  mt_view_listen (daemon->views, mt_pools_refresh, daemon->pools);
  feed.platform = settings->platform.data;
  feed.call_us = settings->limits.platform_ms * MT_MS;
  feed.views = daemon->views;
  daemon->feed = mt_feed_create (&feed);
  front.views = daemon->views;
  front.pools = daemon->pools;
  front.exchanges = daemon->exchanges;
  front.counters = &daemon->counters;
  front.answer_bytes = settings->limits.answer_bytes;
  daemon->front = mt_front_create (&front);
}

struct mt_daemon *
mt_daemon_create (const struct mt_settings *settings, GError **error)
{
  struct mt_daemon *daemon = g_new0 (struct mt_daemon, 1);
  struct mt_http_server_options server = {
    .address = settings->listen.data,
    .connections = settings->limits.connections,
    .idle_s = settings->limits.idle_s,
    .body_bytes = settings->limits.body_bytes,
    .request_memory = request_memory (settings),
    .handle = mt_front_handle,
  };

  daemon->settings = settings;
  daemon->clock = mt_clock_system ();
  create_parts (daemon);
  server.clock = daemon->clock;
  server.ctx = daemon->front;
  daemon->server = mt_http_server_create (&server, error);
  if (daemon->server != NULL)
    return daemon;
  mt_daemon_destroy (daemon);
  return NULL;
}

void
mt_daemon_destroy (struct mt_daemon *daemon)
{
  if (daemon->server != NULL)
    mt_http_server_stop (daemon->server, daemon->settings->limits.stop_linger_ms * MT_MS);
  mt_http_server_destroy (daemon->server);
  /* Exchanges that were given up on still hold slots of the pools. */
  mt_http_exchanges_destroy (daemon->exchanges);
  mt_feed_destroy (daemon->feed);
  mt_front_destroy (daemon->front);
  mt_pools_destroy (daemon->pools);
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

char *
mt_daemon_dump (struct mt_daemon *daemon)
{
  json_t *pools = json_object ();
  json_t *counters = json_object ();
  json_t *root;
  char *text;
  char *copy;

  mt_pools_dump (daemon->pools, pools);
  mt_counters_dump (&daemon->counters, counters);
  root = json_pack (
      "{ss ss sI sI sI so so}", "name", daemon->settings->name.data, "zone",
      daemon->settings->zone.data, "tables_version", (json_int_t) mt_view_version (daemon->views),
      "tables_age_ms", (json_int_t) (mt_view_age_us (daemon->views) / MT_MS), "platform_calls",
      (json_int_t) (mt_platform_calls (daemon->platform) + mt_feed_calls (daemon->feed)), "pools",
      pools, "counters", counters);
  text = json_dumps (root, JSON_INDENT (2));
  copy = g_strdup (text);
  free (text);
  json_decref (root);
  return copy;
}
