#include "feed.h"

#include "medlartrack/log.h"

#define WATCH_US (5 * MT_SECOND)
#define PAUSE_US (200 * MT_MS)

struct mt_feed
{
  const struct mt_store *store;
  struct mt_view_holder *views;
  GThread *thread;
  gint stopping; /* atomic */
};

static void
take_value (struct mt_feed *feed, const struct mt_store_value *value)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse ((struct mt_str){ value->data, value->len }, &error);

  if (tables == NULL)
    mt_log_event (MT_EVENT_TABLES_REFUSED, "why=%s", error->message);
  else if (tables->version == mt_view_version (feed->views))
    {
      mt_view_confirm (feed->views);
      mt_tables_destroy (tables);
    }
  else
    mt_view_offer (feed->views, tables);
}

static gpointer
run (gpointer data)
{
  struct mt_feed *feed = data;
  uint64_t index = 0;
  bool reachable = true;

  while (!g_atomic_int_get (&feed->stopping))
    {
      struct mt_store_value value;
      g_autoptr (GError) error = NULL;
      bool ok = feed->store->ops->watch (feed->store->ctx, MT_TABLES_KEY, index, WATCH_US, &value,
                                         &error);

      if (ok != reachable)
        mt_log_event (ok ? MT_EVENT_PLATFORM_BACK : MT_EVENT_PLATFORM_UNREACHABLE, "why=%s",
                      ok ? "" : error->message);
      reachable = ok;
      if (ok && value.found)
        {
          index = value.index;
          take_value (feed, &value);
        }
      if (!ok || !value.found)
        g_usleep (PAUSE_US);
      mt_store_value_clear (&value);
    }
  return NULL;
}

struct mt_feed *
mt_feed_create (const struct mt_store *store, struct mt_view_holder *views)
{
  struct mt_feed *feed = g_new0 (struct mt_feed, 1);

  feed->store = store;
  feed->views = views;
  feed->thread = g_thread_new ("feed", run, feed);
  return feed;
}

void
mt_feed_destroy (struct mt_feed *feed)
{
  if (feed == NULL)
    return;
  g_atomic_int_set (&feed->stopping, 1);
  g_thread_join (feed->thread);
  g_free (feed);
}
