#include "fleet.h"

#include "adapter.h"
#include "cluster.h"
#include "config_sync.h"
#include "fleet_leader.h"
#include "frontend.h"
#include "http_calls.h"
#include "http_front.h"
#include "journal.h"
#include "loop.h"
#include "medlartrack/forecast.h"
#include "medlartrack/uplink.h"
#include "mesh.h"
#include "metrics.h"
#include "neighbours.h"
#include "pool.h"
#include "relay.h"
#include "roster.h"
#include "traffic.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A daemon whose configuration the store has not confirmed for this long is not ready. */
#define STORE_SILENT_MS 2500
/* Interval of housekeeping; the loss and the return of the store are logged at most this late. */
#define HOUSEKEEPING_MS 500
/* ... of a stopping daemon, which exits at most this late. */
#define HOUSEKEEPING_STOP_MS 100
/* Interval of the POOL_LOAD events. */
#define LOAD_LOG_INTERVAL_MS 1000
/* A stopping daemon goes on serving for this long after it reports that it is not ready: two
 * readiness checks a second apart plus their time on the network. */
#define LINGER_MS 2600
/* A stopping daemon exits this long before the end of the grace period, so that answers in flight
 * arrive before it is killed. */
#define GRACE_MARGIN_MS 500

static const char *const fleet_leadership = "fleet";

struct mt_fleet
{
  const struct mt_fleet_settings *settings;    /* currently in use */
  struct mt_fleet_settings *reloaded_settings; /* owned; NULL before the first reload */
  char *settings_path;
  struct event_base *base;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  struct mt_traffic *traffic;
  struct mt_uplink uplink;
  struct mt_calls *calls;
  struct mt_adapter *platform;
  struct mt_codec codec;
  struct mt_cluster *cluster;
  struct mt_mesh *mesh;
  struct mt_relay *relay;
  struct mt_peer_service peer_service;
  struct mt_frontend *frontend;
  struct mt_http_front *front;
  struct mt_http_front *ready;  /* readiness checks */
  struct mt_http_front *scrape; /* metrics; NULL if they have no port */
  struct mt_roster *roster;
  struct mt_config_sync *config_sync;
  const struct mt_fleet_config *config; /* in force; NULL before the first */
  GHashTable *pools;                    /* name -> struct mt_pool, the pools led by this daemon */
  struct mt_fleet_leader *leader;       /* NULL unless this daemon holds the fleet's leadership */
  struct mt_timer *housekeeping;
  struct event *signals[4];
  bool store_lost; /* at the last housekeeping */
  int64_t loads_logged_at;
  bool stopping;
  bool has_left;
  int64_t stop_began;
};

/* ---- pools ---- */

static struct mt_pool *
local_pool (void *ctx, const char *name)
{
  struct mt_fleet *f = ctx;

  return g_hash_table_lookup (f->pools, name);
}

static void
on_worker (void *ctx, const struct mt_registry_entry *entry)
{
  struct mt_pool *pool = local_pool (ctx, entry->pool);

  if (pool == NULL)
    return;
  mt_scheduler_update_worker (mt_pool_scheduler (pool), &entry->worker, mt_loop_now ());
  mt_pool_wake (pool);
}

static void
on_worker_gone (void *ctx, const char *name, const char *id)
{
  struct mt_pool *pool = local_pool (ctx, name);

  if (pool != NULL)
    mt_scheduler_worker_unlisted (mt_pool_scheduler (pool), id, mt_loop_now ());
}

static void
set_route (void *ctx, const struct mt_fleet_route *route)
{
  struct mt_fleet *f = ctx;
  struct mt_pool *pool = local_pool (f, route->pool);
  struct mt_route_policy policy = mt_fleet_route_policy (route, f->config->version);

  if (pool != NULL)
    mt_scheduler_set_route (mt_pool_scheduler (pool), route->name, &policy, mt_loop_now ());
}

static void
set_workspaces (const struct mt_fleet_config *config, struct mt_scheduler *sched)
{
  struct mt_workspace_limits limits = { 0 };

  for (size_t i = 0; i < config->n_pools; i++)
    limits.pools += !config->pools[i].standby;
  for (unsigned i = 0; config->workspaces != NULL && i < mt_workspaces_count (config->workspaces);
       i++)
    {
      const struct mt_workspace *workspace = mt_workspaces_at (config->workspaces, i);

      limits.quota = workspace->quota;
      limits.weight = workspace->weight;
      mt_scheduler_set_workspace (sched, workspace->name, &limits);
    }
}

/* Applies the configuration to a pool that this daemon has come to lead. */
static void
configure_pool (struct mt_fleet *f, struct mt_pool *pool)
{
  if (f->config == NULL)
    return;
  mt_route_table_for_each (f->config->routes, set_route, f);
  set_workspaces (f->config, mt_pool_scheduler (pool));
}

static struct mt_scheduler_settings
scheduler_settings (const struct mt_fleet *f)
{
  const struct mt_fleet_bounds *b = &f->settings->bounds;

  return (struct mt_scheduler_settings){ .lease_ms = MIN (MT_MAX_WORKER_LEASE_MS, b->max_hold_ms),
                                         .max_lease_ms = b->max_hold_ms,
                                         .remote_factor = b->remote_factor,
                                         .retention_ms = (int64_t) (1000 * b->status_s),
                                         .stop_grace_ms = b->stop_grace_ms,
                                         .share_policy
                                         = mt_share_policy_find (f->settings->share_policy),
                                         .worker_speed = f->settings->worker_speed };
}

static bool
store_is_down (void *ctx)
{
  return mt_relay_sees_outage (((struct mt_fleet *) ctx)->relay);
}

static int64_t
link_wait_ms (void *ctx)
{
  struct mt_fleet *f = ctx;

  return mt_uplink_wait_ms (&f->uplink, mt_traffic_total (f->traffic).bytes_out, mt_loop_now ());
}

static void
create_fleet_leader (struct mt_fleet *f, int64_t token)
{
  const struct mt_fleet_bounds *b = &f->settings->bounds;
  struct mt_fleet_leader_options options
      = { .leadership = fleet_leadership,
          .token = token,
          .kv = mt_adapter_kv (f->platform),
          .machines = mt_adapter_machines (f->platform),
          .codec = &f->codec,
          .cluster = f->cluster,
          .mesh = f->mesh,
          .journal = f->journal,
          .move_ms = (int64_t) (1000 * b->move_s),
          .maintenance_ms = (int64_t) (1000 * b->upkeep_s),
          .stop_grace_ms = b->stop_grace_ms,
          .forecast = mt_forecast_method_at ((size_t) f->settings->forecast),
          .idle_cost = f->settings->idle_cost,
          .local_pool = local_pool,
          .ctx = f };

  if (f->settings->machines.len == 0)
    return;
  f->leader = mt_fleet_leader_create (f->base, &options);
  if (f->config != NULL)
    mt_fleet_leader_set_config (f->leader, f->config);
}

static void
on_leadership_gained (void *ctx, const char *leadership, int64_t token)
{
  struct mt_fleet *f = ctx;
  struct mt_roster_options roster_options = { .kv = mt_adapter_kv (f->platform),
                                              .codec = &f->codec,
                                              .journal = f->journal,
                                              .on_seen = on_worker,
                                              .on_gone = on_worker_gone,
                                              .ctx = f };
  struct mt_pool_options options = { .name = leadership,
                                     .token = token,
                                     .kv = roster_options.kv,
                                     .workers = mt_adapter_workers (f->platform),
                                     .codec = &f->codec,
                                     .cluster = f->cluster,
                                     .sched = scheduler_settings (f),
                                     .store_is_down = store_is_down,
                                     .link_wait_ms = link_wait_ms,
                                     .ctx = f,
                                     .journal = f->journal };
  struct mt_pool *pool;

  mt_journal_log (f->journal, "LEADERSHIP_GAINED", "leadership=%s token=%" G_GINT64_FORMAT,
                  leadership, token);
  if (strcmp (leadership, fleet_leadership) == 0)
    {
      create_fleet_leader (f, token);
      return;
    }
  pool = mt_pool_create (f->base, &options);
  g_hash_table_insert (f->pools, g_strdup (leadership), pool);
  configure_pool (f, pool);
  if (f->roster == NULL)
    f->roster = mt_roster_create (f->base, &roster_options);
  else
    mt_roster_replay (f->roster, leadership);
}

static void
on_leadership_lost (void *ctx, const char *leadership, const char *why)
{
  struct mt_fleet *f = ctx;

  mt_journal_log (f->journal, "LEADERSHIP_LOST", "leadership=%s why=%s", leadership, why);
  mt_metrics_increment (f->metrics, MT_COUNT_LEADERSHIPS_LOST);
  if (strcmp (leadership, fleet_leadership) == 0)
    g_clear_pointer (&f->leader, mt_fleet_leader_destroy);
  else
    g_hash_table_remove (f->pools, leadership);
}

/* ---- configuration ---- */

static int64_t
config_age_ms (void *ctx)
{
  return mt_config_sync_age_ms (((struct mt_fleet *) ctx)->config_sync);
}

static void
on_config (void *ctx, const struct mt_fleet_config *config)
{
  struct mt_fleet *f = ctx;
  g_autoptr (GPtrArray) leaderships = g_ptr_array_new ();
  GHashTableIter it;
  struct mt_pool *pool;

  f->config = config;
  mt_frontend_set_config (f->frontend, config);
  for (size_t i = 0; i < config->n_pools; i++)
    if (!config->pools[i].standby)
      g_ptr_array_add (leaderships, config->pools[i].name);
  g_ptr_array_add (leaderships, (char *) fleet_leadership);
  g_ptr_array_add (leaderships, NULL);
  mt_cluster_set_leaderships (f->cluster, (const char *const *) leaderships->pdata);
  if (g_hash_table_size (f->pools) > 0)
    mt_route_table_for_each (config->routes, set_route, f);
  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &pool))
    set_workspaces (config, mt_pool_scheduler (pool));
  if (f->leader != NULL)
    mt_fleet_leader_set_config (f->leader, config);
  mt_metrics_set (f->metrics, MT_GAUGE_CONFIG, config->version);
}

/* ---- callers, readiness, metrics ---- */

static void
on_request (void *ctx, struct mt_exchange *exchange)
{
  mt_frontend_handle (((struct mt_fleet *) ctx)->frontend, exchange);
}

static bool
store_answered_recently (const struct mt_fleet *f)
{
  return mt_config_sync_age_ms (f->config_sync) < STORE_SILENT_MS;
}

static void
on_ready (void *ctx, struct mt_exchange *exchange)
{
  struct mt_fleet *f = ctx;
  bool ready = f->config != NULL && !f->stopping && store_answered_recently (f)
               && mt_adapter_store_available (f->platform);

  mt_exchange_answer (exchange, ready ? 200 : 503, "text/plain",
                      ready ? MT_STR ("ready\n") : MT_STR ("not ready\n"), 0);
}

static void
log_loads (struct mt_fleet *f)
{
  GHashTableIter it;
  const char *name;
  struct mt_pool *pool;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, (void **) &name, (void **) &pool))
    {
      struct mt_scheduler_load load;

      mt_scheduler_load (mt_pool_scheduler (pool), mt_loop_now (), &load);
      if (load.jobs > 0)
        mt_journal_log (f->journal, "POOL_LOAD",
                        "pool=%s jobs=%u waiting=%u urgent=%u running=%u workers=%u silent=%u "
                        "used_cpu=%" G_GINT64_FORMAT " room_cpu=%" G_GINT64_FORMAT
                        " demand_cpu=%" G_GINT64_FORMAT " arriving_cpu=%" G_GINT64_FORMAT,
                        name, load.jobs, load.waiting, load.urgent, load.running, load.workers,
                        load.silent, load.used_cpu, load.capacity_cpu, load.demand_cpu,
                        load.arriving_cpu);
    }
}

static void
set_pool_machines (void *ctx, const char *pool, const struct mt_controller_counts *counts)
{
  mt_metrics_set_pool_machines (ctx, pool, counts->planned, counts->present);
}

static void
update_gauges (struct mt_fleet *f)
{
  struct mt_scheduler_load sum = { 0 };
  struct mt_hedge_counts hedges = mt_adapter_hedge_counts (f->platform);
  GHashTableIter it;
  struct mt_pool *pool;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &pool))
    {
      struct mt_scheduler_load load;

      mt_scheduler_load (mt_pool_scheduler (pool), mt_loop_now (), &load);
      sum.jobs += load.jobs;
      sum.waiting += load.waiting;
      sum.running += load.running;
      sum.workers += load.workers;
      sum.silent += load.silent;
    }
  mt_metrics_clear_pools (f->metrics);
  if (f->leader != NULL)
    mt_fleet_leader_for_each_pool (f->leader, set_pool_machines, f->metrics);
  mt_metrics_set (f->metrics, MT_GAUGE_CONFIG_AGE, f->config != NULL ? config_age_ms (f) : -1);
  mt_metrics_set (f->metrics, MT_GAUGE_LEADERSHIPS, g_hash_table_size (f->pools));
  mt_metrics_set (f->metrics, MT_GAUGE_JOBS, sum.jobs);
  mt_metrics_set (f->metrics, MT_GAUGE_TASKS_WAITING, sum.waiting);
  mt_metrics_set (f->metrics, MT_GAUGE_TASKS_RUNNING, sum.running);
  mt_metrics_set (f->metrics, MT_GAUGE_WORKERS, sum.workers);
  mt_metrics_set (f->metrics, MT_GAUGE_WORKERS_SILENT, sum.silent);
  mt_metrics_set (f->metrics, MT_GAUGE_STORE_CALLS, (int64_t) mt_adapter_store_calls (f->platform));
  mt_metrics_set (f->metrics, MT_GAUGE_STORE_HEDGES, (int64_t) hedges.sent);
  mt_metrics_set (f->metrics, MT_GAUGE_STORE_HEDGES_FIRST, (int64_t) hedges.answered_first);
  mt_metrics_set (f->metrics, MT_GAUGE_STORE_HEDGES_DENIED, (int64_t) hedges.denied);
  mt_metrics_set (f->metrics, MT_GAUGE_CONNECTIONS_OPENED,
                  (int64_t) mt_calls_connections_opened (f->calls));
}

static void
on_scrape (void *ctx, struct mt_exchange *exchange)
{
  struct mt_fleet *f = ctx;
  g_autofree char *text = NULL;

  update_gauges (f);
  text = mt_metrics_text (f->metrics, f->traffic, f->journal);
  mt_exchange_answer (exchange, 200, "text/plain; version=0.0.4", mt_str_from (text), 0);
}

/* ---- stop ---- */

static void
on_cluster_left (void *ctx)
{
  ((struct mt_fleet *) ctx)->has_left = true;
}

/* Returns the time after which a stopping daemon exits, whatever is in flight. */
static int64_t
grace_ms (const struct mt_fleet *f)
{
  return (int64_t) (1000 * f->settings->bounds.grace_s) - GRACE_MARGIN_MS;
}

static void
begin_stop (struct mt_fleet *f)
{
  if (f->stopping)
    return;
  f->stopping = true;
  f->stop_began = mt_loop_now ();
  mt_journal_log (f->journal, "FLEET_STOPPING", "requests=%u", mt_frontend_in_flight (f->frontend));
  mt_http_front_close_after_answers (f->front);
  mt_frontend_stop (f->frontend, f->stop_began + grace_ms (f) - HOUSEKEEPING_STOP_MS);
  mt_relay_stop (f->relay, f->stop_began + MIN (LINGER_MS, grace_ms (f)));
  mt_cluster_leave (f->cluster, on_cluster_left, f);
}

static bool
may_exit (const struct mt_fleet *f)
{
  int64_t since = mt_loop_now () - f->stop_began;

  if (!f->stopping)
    return false;
  return since >= grace_ms (f)
         || (since >= LINGER_MS && f->has_left && mt_frontend_in_flight (f->frontend) == 0);
}

static void
on_housekeeping (void *ctx)
{
  struct mt_fleet *f = ctx;
  bool lost = !store_answered_recently (f);

  mt_timer_set (f->housekeeping, f->stopping ? HOUSEKEEPING_STOP_MS : HOUSEKEEPING_MS);
  if (lost != f->store_lost)
    mt_journal_log (f->journal, lost ? "STORE_LOST" : "STORE_BACK", "reached_directly=%d",
                    mt_adapter_reaches_store (f->platform));
  f->store_lost = lost;
  if (mt_loop_now () - f->loads_logged_at >= LOAD_LOG_INTERVAL_MS)
    {
      f->loads_logged_at = mt_loop_now ();
      log_loads (f);
    }
  mt_journal_flush (f->journal);
  if (may_exit (f))
    event_base_loopbreak (f->base);
}

static struct mt_adapter_settings
adapter_settings (const struct mt_fleet_settings *s)
{
  return (struct mt_adapter_settings){ .daemon = s->name.data,
                                       .store = s->store.data,
                                       .machines = s->machines.data,
                                       .advisor = s->advisor.data,
                                       .hedge = s->second_tries };
}

/* Reloads the settings that can change at run time: the platform's addresses and the bounds. New
 * bounds apply to a pool that this daemon leads only after its leadership is next acquired. */
static void
reload_settings (struct mt_fleet *f)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize len = 0;
  struct mt_fleet_settings *settings = NULL;
  struct mt_adapter_settings addresses;

  if (g_file_get_contents (f->settings_path, &text, &len, &error))
    settings = mt_fleet_settings_parse ((struct mt_str){ text, len }, &error);
  if (settings == NULL)
    {
      mt_journal_log (f->journal, "FLEET_SETTINGS", "taken=no why=%s", error->message);
      return;
    }
  addresses = adapter_settings (settings);
  mt_adapter_set_addresses (f->platform, &addresses);
  if (f->reloaded_settings != NULL)
    mt_fleet_settings_destroy (f->reloaded_settings);
  f->reloaded_settings = settings;
  f->settings = settings;
  mt_journal_log (f->journal, "FLEET_SETTINGS", "taken=yes path=%s", f->settings_path);
}

static void
on_signal (evutil_socket_t number, short what, void *ctx)
{
  struct mt_fleet *f = ctx;

  if (number == SIGHUP)
    reload_settings (f);
  else if (number == SIGUSR1)
    {
      g_autofree char *text = NULL;

      update_gauges (f);
      text = mt_metrics_text (f->metrics, f->traffic, f->journal);
      fprintf (stderr, "%s", text);
    }
  else
    begin_stop (f);
}

/* ---- creation and destruction ---- */

static void
create_cluster (struct mt_fleet *f, const char *address)
{
  struct mt_cluster_options options = { .name = f->settings->name.data,
                                        .address = address,
                                        .zone = f->settings->zone.data,
                                        .cores = f->settings->cores,
                                        .link_mbps = f->settings->link_mbps,
                                        .gained = on_leadership_gained,
                                        .lost = on_leadership_lost,
                                        .ctx = f };

  f->cluster = mt_cluster_create (f->base, mt_adapter_kv (f->platform), &options);
}

static bool
store_answers (void *ctx)
{
  return mt_adapter_store_available (((struct mt_fleet *) ctx)->platform);
}

static void
create_config_sync (struct mt_fleet *f)
{
  struct mt_config_sync_options options = { .name = f->settings->name.data,
                                            .kv = mt_adapter_kv (f->platform),
                                            .codec = &f->codec,
                                            .cluster = f->cluster,
                                            .mesh = f->mesh,
                                            .journal = f->journal,
                                            .link_mbps = f->settings->link_mbps,
                                            .on_changed = on_config,
                                            .ctx = f };

  f->config_sync = mt_config_sync_create (f->base, &options);
}

static void
create_frontend (struct mt_fleet *f)
{
  struct mt_frontend_options options = { .kv = mt_adapter_kv (f->platform),
                                         .codec = &f->codec,
                                         .cluster = f->cluster,
                                         .mesh = f->mesh,
                                         .journal = f->journal,
                                         .metrics = f->metrics,
                                         .local_pool = local_pool,
                                         .store_answers = store_answers,
                                         .store_is_down = store_is_down,
                                         .store_wait = f->settings->store_wait,
                                         .config_check = mt_config_sync_check (f->config_sync),
                                         .config_age_ms = config_age_ms,
                                         .config_apply_ms = f->settings->bounds.apply_ms,
                                         .config_rollback_ms = f->settings->bounds.rollback_ms,
                                         .keys_stale_ms = f->settings->bounds.keys_stale_ms,
                                         .ctx = f };

  f->frontend = mt_frontend_create (f->base, &options);
}

static struct mt_http_front *
create_http_front (struct mt_fleet *f,
                   const char *address,
                   const char *kind,
                   mt_http_front_handler handle,
                   GError **error)
{
  struct mt_http_front_options options = { .address = address,
                                           .max_connections = f->settings->connections,
                                           .idle_timeout_s = f->settings->idle_s,
                                           .max_body_bytes = f->settings->body_bytes,
                                           .kind = kind,
                                           .traffic = f->traffic,
                                           .handle = handle,
                                           .ctx = f };

  return mt_http_front_create (f->base, &options, error);
}

static bool
listen_all (struct mt_fleet *f, GError **error)
{
  const struct mt_fleet_settings *s = f->settings;
  g_autofree char *scrape = g_strdup_printf ("%s:%u", s->ip.data, s->metrics_port);

  f->front = create_http_front (f, s->listen.data, "callers", on_request, error);
  if (f->front == NULL)
    return false;
  f->ready = create_http_front (f, s->ready_listen.data, "readiness", on_ready, error);
  if (f->ready == NULL)
    return false;
  if (s->metrics_port == 0)
    return true;
  f->scrape = create_http_front (f, scrape, "metrics", on_scrape, error);
  return f->scrape != NULL;
}

static void
watch_signals (struct mt_fleet *f)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP, SIGUSR1 };

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      f->signals[i] = evsignal_new (f->base, numbers[i], on_signal, f);
      event_add (f->signals[i], NULL);
    }
}

static void
destroy_pool (void *pool)
{
  mt_pool_destroy (pool);
}

struct mt_fleet *
mt_fleet_create (const struct mt_fleet_settings *s, const char *path, GError **error)
{
  struct mt_fleet *f = g_new0 (struct mt_fleet, 1);
  g_autofree char *peer = g_strdup_printf ("%s:%u", s->ip.data, s->peer_port);
  struct mt_adapter_settings platform = adapter_settings (s);

  f->settings = s;
  f->settings_path = g_strdup (path);
  f->base = mt_loop_create ();
  f->journal = mt_journal_create (STDOUT_FILENO, s->name.data);
  f->metrics = mt_metrics_create ();
  f->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_pool);
  f->traffic = mt_traffic_create ();
  f->uplink = mt_uplink_make (s->link_mbps, mt_loop_now ());
  f->calls = mt_calls_create (f->base, f->traffic);
  f->platform = mt_adapter_create (f->calls, &platform);
  f->codec = mt_adapter_codec ();
  f->mesh = mt_mesh_create (f->base, f->traffic, peer, s->name.data, mt_peer_service_handle,
                            &f->peer_service, error);
  if (f->mesh == NULL)
    return NULL;
  g_free (peer);
  peer = g_strdup_printf ("%s:%u", s->ip.data, mt_mesh_port (f->mesh));
  create_cluster (f, peer);
  f->relay = mt_relay_create (f->platform, f->mesh, f->cluster);
  create_config_sync (f);
  f->peer_service = (struct mt_peer_service){ f->cluster, f->relay, f->config_sync, local_pool, f };
  create_frontend (f);
  if (!listen_all (f, error))
    return NULL;
  f->housekeeping = mt_timer_create (f->base, on_housekeeping, f);
  watch_signals (f);
  return f;
}

void
mt_fleet_run (struct mt_fleet *f)
{
  mt_journal_log (
      f->journal, "FLEET_STARTED", "zone=%s port=%u ready_port=%u peer_port=%u metrics_port=%u",
      f->settings->zone.data, mt_http_front_port (f->front), mt_http_front_port (f->ready),
      mt_mesh_port (f->mesh), f->scrape != NULL ? mt_http_front_port (f->scrape) : 0);
  mt_timer_set (f->housekeeping, HOUSEKEEPING_MS);
  event_base_dispatch (f->base);
  mt_journal_log (f->journal, "FLEET_STOPPED", "requests=%u", mt_frontend_in_flight (f->frontend));
  mt_journal_flush (f->journal);
}

/* Ends the calls first, because their callbacks use other parts; then destroys each part before the
 * parts that it uses. */
void
mt_fleet_destroy (struct mt_fleet *f)
{
  if (f == NULL)
    return;
  g_clear_pointer (&f->leader, mt_fleet_leader_destroy);
  g_hash_table_remove_all (f->pools);
  mt_frontend_close (f->frontend);
  /* Callbacks of mesh calls may call the store, and those of store calls may notify leaders. */
  mt_mesh_cancel_calls (f->mesh);
  mt_calls_destroy (f->calls);
  mt_config_sync_destroy (f->config_sync);
  mt_mesh_destroy (f->mesh);
  mt_roster_destroy (f->roster);
  mt_http_front_destroy (f->front);
  mt_http_front_destroy (f->ready);
  mt_http_front_destroy (f->scrape);
  mt_frontend_destroy (f->frontend);
  mt_relay_destroy (f->relay);
  mt_cluster_destroy (f->cluster);
  mt_adapter_destroy (f->platform);
  g_hash_table_unref (f->pools);
  mt_timer_destroy (f->housekeeping);
  for (size_t i = 0; i < G_N_ELEMENTS (f->signals); i++)
    event_free (f->signals[i]);
  mt_fleet_settings_destroy (f->reloaded_settings);
  mt_traffic_destroy (f->traffic);
  mt_metrics_destroy (f->metrics);
  mt_journal_destroy (f->journal);
  event_base_free (f->base);
  g_free (f->settings_path);
  g_free (f);
}
