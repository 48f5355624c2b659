#include "watcher.h"

#include "journal.h"
#include "loop.h"

#include <string.h>

/* Delay after a failed call, doubled up to the maximum; with a random part, so that daemons do not
 * all retry together. */
#define MIN_RETRY_MS    120
#define MAX_RETRY_MS    320
#define POLL_TIMEOUT_MS 1000

struct mt_watcher
{
  struct mt_kv kv;
  struct mt_watcher_options options;
  char *prefix;
  struct mt_timer *timer;
  GHashTable *known; /* key -> generation of the list that last had it */
  unsigned generation;
  bool listed; /* the list is complete; watches continue from after_revision */
  int64_t after_revision;
  int64_t list_revision; /* of the list's first page: pages are not one snapshot */
  char *page_after;
  int64_t failures;
  int64_t sent_at; /* the last call */
  int64_t last_answer_at;
  bool in_flight;
  bool destroyed;
};

static void start_call (void *ctx);

static void
free_watcher (struct mt_watcher *w)
{
  mt_timer_destroy (w->timer);
  g_hash_table_unref (w->known);
  g_free (w->page_after);
  g_free (w->prefix);
  g_free (w);
}

static void
schedule_retry (struct mt_watcher *w, const struct mt_kv_reply *reply)
{
  int64_t pause = MIN (MIN_RETRY_MS << MIN (w->failures, 3), MAX_RETRY_MS);

  w->failures++;
  if (w->options.journal != NULL)
    mt_journal_log (w->options.journal, "WATCH_FAILED",
                    "prefix=%s call=%s took_ms=%" G_GINT64_FORMAT " failures=%" G_GINT64_FORMAT
                    " direct=%d received=%zu",
                    w->prefix, w->listed ? "watch" : "list", mt_loop_now () - w->sent_at,
                    w->failures, w->kv.ops->is_direct (w->kv.ctx), reply->received);
  mt_timer_set (w->timer, pause / 2 + g_random_int_range (0, (gint32) pause));
}

static void
deliver_item (struct mt_watcher *w, const struct mt_kv_item *item)
{
  if (item->deleted)
    g_hash_table_remove (w->known, item->key);
  else
    g_hash_table_insert (w->known, g_strdup (item->key), GUINT_TO_POINTER (w->generation));
  w->options.on_item (w->options.ctx, item);
}

static gboolean
deliver_deletion (gpointer key, gpointer value, gpointer ctx)
{
  struct mt_watcher *w = ctx;
  struct mt_kv_item item = { .key = key, .deleted = true };

  if (GPOINTER_TO_UINT (value) == w->generation)
    return FALSE;
  w->options.on_item (w->options.ctx, &item);
  return TRUE;
}

static void
finish_list (struct mt_watcher *w)
{
  g_hash_table_foreach_remove (w->known, deliver_deletion, w);
  w->listed = true;
  w->after_revision = w->list_revision;
  if (w->options.on_listed != NULL)
    w->options.on_listed (w->options.ctx);
}

static bool
free_if_destroyed (struct mt_watcher *w)
{
  w->in_flight = false;
  if (!w->destroyed)
    return false;
  free_watcher (w);
  return true;
}

/* Keeps in_flight set, so that a callback that destroys the watcher does not free it. */
static void
deliver_items (struct mt_watcher *w, const struct mt_kv_reply *reply)
{
  w->in_flight = true;
  for (size_t i = 0; i < reply->n_items && !w->destroyed; i++)
    deliver_item (w, &reply->items[i]);
}

static void
report_current (struct mt_watcher *w)
{
  if (w->options.on_current != NULL && !w->destroyed)
    w->options.on_current (w->options.ctx);
}

static void
on_page (void *data, const struct mt_kv_reply *reply)
{
  struct mt_watcher *w = data;

  if (free_if_destroyed (w))
    return;
  if (reply->status != MT_KV_OK || mt_kv_page_is_empty_part (reply))
    {
      schedule_retry (w, reply);
      return;
    }
  w->failures = 0;
  if (w->page_after == NULL)
    w->list_revision = reply->revision;
  deliver_items (w, reply);
  w->last_answer_at = mt_loop_now () - reply->transfer_ms;
  g_free (w->page_after);
  w->page_after = reply->more ? g_strdup (reply->items[reply->n_items - 1].key) : NULL;
  if (w->page_after == NULL && !w->destroyed)
    {
      finish_list (w);
      report_current (w);
    }
  if (!free_if_destroyed (w))
    start_call (w);
}

/* Further changes were made while the answer was transferred. The next watch would bring each of
 * them, a list only the last one of each key. */
static void
continue_after_transfer (struct mt_watcher *w, const struct mt_kv_reply *reply)
{
  if (reply->n_items > 0 && reply->transfer_ms > w->options.wait_ms)
    w->listed = false;
}

static void
on_events (void *data, const struct mt_kv_reply *reply)
{
  struct mt_watcher *w = data;
  bool had_items = reply->n_items > 0;

  if (free_if_destroyed (w))
    return;
  if (reply->status == MT_KV_COMPACTED)
    {
      w->listed = false;
      start_call (w);
      return;
    }
  if (reply->status != MT_KV_OK)
    {
      schedule_retry (w, reply);
      return;
    }
  w->failures = 0;
  if (reply->revision > w->after_revision)
    w->after_revision = reply->revision;
  deliver_items (w, reply);
  continue_after_transfer (w, reply);
  w->last_answer_at = mt_loop_now () - reply->transfer_ms;
  report_current (w);
  if (free_if_destroyed (w))
    return;
  if (had_items && w->options.pause_ms > 0)
    mt_timer_set (w->timer, w->options.pause_ms / 2
                                + g_random_int_range (0, (gint32) w->options.pause_ms + 1));
  else
    start_call (w);
}

static void
start_call (void *ctx)
{
  struct mt_watcher *w = ctx;

  w->in_flight = true;
  w->sent_at = mt_loop_now ();
  if (w->listed)
    {
      /* A connection that waits may die unnoticed, so that it is first found out how to reach the
       * store. */
      if (w->failures > 0)
        mt_kv_poll (&w->kv, w->prefix, w->after_revision, POLL_TIMEOUT_MS, on_events, w);
      else
        w->kv.ops->watch (w->kv.ctx, w->prefix, w->after_revision, w->options.wait_ms, on_events,
                          w);
      return;
    }
  if (w->page_after == NULL)
    w->generation++;
  w->kv.ops->range (w->kv.ctx, w->prefix, w->page_after, on_page, w);
}

struct mt_watcher *
mt_watcher_create (struct event_base *base,
                   struct mt_kv kv,
                   const struct mt_watcher_options *options)
{
  struct mt_watcher *w = g_new0 (struct mt_watcher, 1);

  w->kv = kv;
  w->options = *options;
  w->prefix = g_strdup (options->prefix);
  w->after_revision = options->after_revision;
  w->listed = options->after_revision > 0;
  w->timer = mt_timer_create (base, start_call, w);
  w->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mt_timer_set (w->timer, 0);
  return w;
}

void
mt_watcher_destroy (struct mt_watcher *w)
{
  if (w == NULL)
    return;
  mt_timer_clear (w->timer);
  w->destroyed = true;
  if (!w->in_flight)
    free_watcher (w);
}

void
mt_watcher_set_pause (struct mt_watcher *w, int64_t pause_ms)
{
  w->options.pause_ms = pause_ms;
}

int64_t
mt_watcher_last_answer (const struct mt_watcher *w)
{
  return w->last_answer_at;
}

int64_t
mt_watcher_revision (const struct mt_watcher *w)
{
  return w->after_revision;
}
