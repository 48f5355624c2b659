#include "config_sync.h"

#include "config_delta.h"
#include "config_follower.h"
#include "config_publisher.h"
#include "journal.h"
#include "loop.h"
#include "watcher.h"

#include <string.h>

/* Longest wait of the watch on the configuration. A change must be in force within 2 s even if a
 * watch gets no answer, which is noticed after this time. */
#define WATCH_WAIT_MS 1000
/* A daemon that follows others reads the store itself once none has confirmed the configuration for
 * this time: longer than the time-out of one that is followed and the call to the next one. */
#define FOLLOWING_FAILED_MS 1600
/* The same at the start, as long as it knows nobody to follow. */
#define START_MS 600
#define TICK_MS  100

struct mt_config_sync
{
  struct event_base *base;
  struct mt_config_sync_options options;
  struct mt_fleet_config *config;
  struct mt_config_check *check;
  struct mt_config_publisher *publisher; /* NULL on a thin link */
  struct mt_config_follower *follower;
  struct mt_watcher *watcher; /* NULL while another daemon is followed */
  struct mt_timer *tick;
  int64_t started_at;
  int64_t watched_at; /* the last answer to a watcher that is gone */
};

/* ---- the version in force ---- */

static int64_t
get_version (const struct mt_config_sync *sync)
{
  return sync->config != NULL ? sync->config->version : 0;
}

static int64_t
confirmed_at (const struct mt_config_sync *sync)
{
  int64_t at = MAX (sync->watched_at, mt_config_check_confirmed_at (sync->check));

  if (sync->watcher != NULL)
    at = MAX (at, mt_watcher_last_answer (sync->watcher));
  return MAX (at, mt_config_follower_confirmed_at (sync->follower));
}

int64_t
mt_config_sync_age_ms (const struct mt_config_sync *sync)
{
  return mt_loop_now () - confirmed_at (sync);
}

/* Logs and reports the version that has just come into force. */
static void
report_change (
    struct mt_config_sync *sync, const char *from, size_t bytes, int64_t age_ms, int64_t began)
{
  sync->options.on_changed (sync->options.ctx, sync->config);
  mt_journal_log (sync->options.journal, "CONFIG_IN_FORCE",
                  "version=%" G_GINT64_FORMAT " routes=%zu age_ms=%" G_GINT64_FORMAT
                  " from=%s bytes=%zu apply_ms=%" G_GINT64_FORMAT,
                  sync->config->version, mt_route_table_size (sync->config->routes), age_ms, from,
                  bytes, mt_loop_now () - began);
}

/* Applies a version read from the store. Versions that are not newer than the current one are
 * ignored: a late answer may carry an older version. */
static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct mt_config_sync *sync = ctx;
  g_autoptr (GError) error = NULL;
  struct mt_fleet_config *before = sync->config;
  int64_t began = mt_loop_now ();
  int64_t age_ms = before != NULL ? mt_config_sync_age_ms (sync) : -1;
  struct mt_fleet_config *config;

  if (item->deleted || strcmp (item->key, sync->options.codec->config_key) != 0)
    return;
  config = sync->options.codec->ops->parse_config (item->value, &error);
  if (config == NULL)
    {
      mt_journal_log (sync->options.journal, "CONFIG_REFUSED", "why=%s", error->message);
      return;
    }
  if (before != NULL && config->version <= before->version)
    {
      mt_fleet_config_free (config);
      return;
    }
  sync->config = config;
  report_change (sync, "store", item->value.len, age_ms, began);
  if (sync->publisher != NULL)
    mt_config_publisher_set (sync->publisher, before, config);
  mt_fleet_config_free (before);
}

static bool
apply_changes (void *ctx, struct mt_str changes)
{
  struct mt_config_sync *sync = ctx;
  g_autoptr (GError) error = NULL;
  int64_t began = mt_loop_now ();
  int64_t age_ms = sync->config != NULL ? mt_config_sync_age_ms (sync) : -1;
  int64_t before = get_version (sync);
  struct mt_fleet_config *config = mt_config_delta_apply (sync->config, changes, &error);

  if (config == NULL)
    {
      mt_journal_log (sync->options.journal, "CONFIG_REFUSED", "why=%s", error->message);
      return false;
    }
  sync->config = config;
  report_change (sync, "daemon", changes.len, age_ms, began);
  if (sync->publisher != NULL)
    mt_config_publisher_set (sync->publisher, NULL, config);
  return config->version > before;
}

/* ---- the way to it ---- */

static int64_t
get_revision (void *ctx)
{
  const struct mt_config_sync *sync = ctx;
  int64_t revision = sync->watcher != NULL ? mt_watcher_revision (sync->watcher) : 0;

  return MAX (revision, mt_config_follower_revision (sync->follower));
}

static void
on_current (void *ctx)
{
  struct mt_config_sync *sync = ctx;

  if (sync->publisher != NULL)
    mt_config_publisher_confirmed (sync->publisher);
}

static void
start_watcher (struct mt_config_sync *sync)
{
  struct mt_watcher_options options = { .prefix = sync->options.codec->config_key,
                                        .wait_ms = WATCH_WAIT_MS,
                                        .journal = sync->options.journal,
                                        .on_item = on_item,
                                        .on_current = on_current,
                                        .after_revision = get_revision (sync),
                                        .ctx = sync };

  sync->watcher = mt_watcher_create (sync->base, sync->options.kv, &options);
}

static void
stop_watcher (struct mt_config_sync *sync)
{
  sync->watched_at = MAX (sync->watched_at, mt_watcher_last_answer (sync->watcher));
  g_clear_pointer (&sync->watcher, mt_watcher_destroy);
}

static bool
wants_to_follow (void *ctx)
{
  const struct mt_config_sync *sync = ctx;

  return sync->publisher == NULL || !sync->options.kv.ops->is_direct (sync->options.kv.ctx);
}

static bool
is_following (const struct mt_config_sync *sync)
{
  int64_t now = mt_loop_now ();
  int64_t followed_at = mt_config_follower_confirmed_at (sync->follower);

  if (followed_at > 0)
    return now - followed_at < FOLLOWING_FAILED_MS;
  /* The first answer may still come. */
  return sync->publisher == NULL
         && now - sync->started_at
                < (mt_config_follower_has_source (sync->follower) ? FOLLOWING_FAILED_MS : START_MS);
}

/* Reads the store while no other daemon is followed. */
static void
on_tick (void *ctx)
{
  struct mt_config_sync *sync = ctx;
  bool follows = wants_to_follow (sync) && is_following (sync);

  mt_timer_set (sync->tick, TICK_MS);
  if (follows && sync->watcher != NULL)
    stop_watcher (sync);
  else if (!follows && sync->watcher == NULL)
    {
      mt_journal_log (sync->options.journal, "CONFIG_SOURCE",
                      "source=store version=%" G_GINT64_FORMAT, get_version (sync));
      start_watcher (sync);
    }
}

static int64_t
version_in_force (void *ctx)
{
  return get_version (ctx);
}

static int64_t
age_ms_of (void *ctx)
{
  return mt_config_sync_age_ms (ctx);
}

static bool
ask_peer (void *ctx, mt_config_checked done, void *data)
{
  struct mt_config_sync *sync = ctx;

  return wants_to_follow (sync) && mt_config_follower_check (sync->follower, done, data);
}

static void
start_following (struct mt_config_sync *sync)
{
  struct mt_config_follower_options options = { .name = sync->options.name,
                                                .cluster = sync->options.cluster,
                                                .mesh = sync->options.mesh,
                                                .journal = sync->options.journal,
                                                .wanted = wants_to_follow,
                                                .version = version_in_force,
                                                .apply = apply_changes,
                                                .ctx = sync };

  sync->follower = mt_config_follower_create (sync->base, &options);
}

static void
start_publishing (struct mt_config_sync *sync)
{
  struct mt_config_publisher_options options
      = { .check = sync->check, .age_ms = age_ms_of, .revision = get_revision, .ctx = sync };

  sync->publisher = mt_config_publisher_create (sync->base, &options);
}

const struct mt_fleet_config *
mt_config_sync_config (const struct mt_config_sync *sync)
{
  return sync->config;
}

struct mt_config_check *
mt_config_sync_check (struct mt_config_sync *sync)
{
  return sync->check;
}

void
mt_config_sync_serve (struct mt_config_sync *sync,
                      struct mt_mesh_call *call,
                      const struct mt_mesh_args *args)
{
  if (sync->publisher != NULL)
    mt_config_publisher_serve (sync->publisher, call, args);
  else
    mt_mesh_reply (call, NULL);
}

struct mt_config_sync *
mt_config_sync_create (struct event_base *base, const struct mt_config_sync_options *options)
{
  struct mt_config_sync *sync = g_new0 (struct mt_config_sync, 1);
  struct mt_config_check_options check = { .kv = options->kv,
                                           .key = options->codec->config_key,
                                           .ask_peer = ask_peer,
                                           .revision = get_revision,
                                           .on_item = on_item,
                                           .on_confirmed = on_current,
                                           .ctx = sync };

  sync->base = base;
  sync->options = *options;
  sync->started_at = mt_loop_now ();
  sync->check = mt_config_check_create (&check);
  start_following (sync);
  if (options->link_mbps == 0 || options->link_mbps >= MT_WIDE_LINK_MBPS)
    {
      start_publishing (sync);
      start_watcher (sync);
    }
  sync->tick = mt_timer_create (base, on_tick, sync);
  mt_timer_set (sync->tick, TICK_MS);
  return sync;
}

void
mt_config_sync_destroy (struct mt_config_sync *sync)
{
  if (sync == NULL)
    return;
  mt_config_publisher_destroy (sync->publisher);
  mt_config_follower_destroy (sync->follower);
  mt_watcher_destroy (sync->watcher);
  mt_timer_destroy (sync->tick);
  mt_config_check_destroy (sync->check);
  mt_fleet_config_free (sync->config);
  g_free (sync);
}
