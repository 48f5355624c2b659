#include "watcher.h"

#include "loop.h"

#include <string.h>

/* After a failed call; with a random part, so that many daemons don't come back together. */
#define AGAIN_MS      120
#define AGAIN_MOST_MS 320

struct mt_watcher
{
  struct mt_kv kv;
  struct mt_watcher_options options;
  char *prefix;
  struct mt_timer *timer;
  GHashTable *known; /* key to generation of the list that had it */
  unsigned generation;
  bool listed; /* watches go on from `after` */
  int64_t after;
  int64_t list_revision; /* of a list's first page: pages are no snapshot */
  char *page;
  int64_t failures;
  int64_t heard;
  bool in_flight;
  bool destroyed;
};

static void step (void *ctx);

static void
free_watcher (struct mt_watcher *w)
{
  mt_timer_destroy (w->timer);
  g_hash_table_unref (w->known);
  g_free (w->page);
  g_free (w->prefix);
  g_free (w);
}

static void
again (struct mt_watcher *w)
{
  int64_t pause = MIN (AGAIN_MS << MIN (w->failures, 3), AGAIN_MOST_MS);

  w->failures++;
  mt_timer_set (w->timer, pause / 2 + g_random_int_range (0, (gint32) pause));
}

static void
take_item (struct mt_watcher *w, const struct mt_kv_item *item)
{
  if (item->deleted)
    g_hash_table_remove (w->known, item->key);
  else
    g_hash_table_insert (w->known, g_strdup (item->key), GUINT_TO_POINTER (w->generation));
  w->options.on_item (w->options.ctx, item);
}

static gboolean
tell_gone (gpointer key, gpointer value, gpointer ctx)
{
  struct mt_watcher *w = ctx;
  struct mt_kv_item item = { .key = key, .deleted = true };

  if (GPOINTER_TO_UINT (value) == w->generation)
    return FALSE;
  w->options.on_item (w->options.ctx, &item);
  return TRUE;
}

static void
end_list (struct mt_watcher *w)
{
  g_hash_table_foreach_remove (w->known, tell_gone, w);
  w->listed = true;
  w->after = w->list_revision;
  if (w->options.on_listed != NULL)
    w->options.on_listed (w->options.ctx);
}

static bool
ended_meanwhile (struct mt_watcher *w)
{
  w->in_flight = false;
  if (!w->destroyed)
    return false;
  free_watcher (w);
  return true;
}

/* While callbacks run the watcher must not be freed under them. */
static void
take_items (struct mt_watcher *w, const struct mt_kv_reply *reply)
{
  w->in_flight = true;
  for (size_t i = 0; i < reply->n_items && !w->destroyed; i++)
    take_item (w, &reply->items[i]);
}

static void
on_page (void *data, const struct mt_kv_reply *reply)
{
  struct mt_watcher *w = data;

  if (ended_meanwhile (w))
    return;
  if (reply->status != MT_KV_OK)
    {
      again (w);
      return;
    }
  w->failures = 0;
  w->heard = mt_loop_now ();
  if (w->page == NULL)
    w->list_revision = reply->revision;
  take_items (w, reply);
  g_free (w->page);
  w->page
      = reply->more && reply->n_items > 0 ? g_strdup (reply->items[reply->n_items - 1].key) : NULL;
  if (w->page == NULL && !w->destroyed)
    end_list (w);
  if (!ended_meanwhile (w))
    step (w);
}

static void
on_events (void *data, const struct mt_kv_reply *reply)
{
  struct mt_watcher *w = data;
  bool brought = reply->n_items > 0;

  if (ended_meanwhile (w))
    return;
  if (reply->status == MT_KV_COMPACTED)
    {
      w->listed = false;
      step (w);
      return;
    }
  if (reply->status != MT_KV_OK)
    {
      again (w);
      return;
    }
  w->failures = 0;
  w->heard = mt_loop_now ();
  if (reply->revision > w->after)
    w->after = reply->revision;
  take_items (w, reply);
  if (ended_meanwhile (w))
    return;
  if (brought && w->options.pause_ms > 0)
    mt_timer_set (w->timer, w->options.pause_ms);
  else
    step (w);
}

static void
step (void *ctx)
{
  struct mt_watcher *w = ctx;

  w->in_flight = true;
  if (w->listed)
    {
      w->kv.ops->watch (w->kv.ctx, w->prefix, w->after, w->options.wait_ms, on_events, w);
      return;
    }
  if (w->page == NULL)
    w->generation++;
  w->kv.ops->range (w->kv.ctx, w->prefix, w->page, on_page, w);
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
  w->timer = mt_timer_create (base, step, w);
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

int64_t
mt_watcher_last_answer (const struct mt_watcher *w)
{
  return w->heard;
}
