#include "forecast_store.h"

#include "journal.h"

#include <jansson.h>
#include <stdlib.h>

#define FORECAST_KEY "medlartrack/forecast"
/* Interval of writes. A successor lacks at most this much, which is about one surge. */
#define SAVE_INTERVAL_MS 5000
#define TXN_TIMEOUT_MS   800

/* Reference-counted: one reference for the owner and one for each call in flight. */
struct mt_forecast_store
{
  struct mt_forecast_store_options options;
  char *leader_key;
  bool destroyed;
  bool in_flight;
  bool read;
  int64_t now;     /* of the last tick */
  int64_t wall_ms; /* likewise */
  int64_t written_at;
  uint64_t sent_revision;
  uint64_t saved_revision;
};

static struct mt_forecast_store *
ref (struct mt_forecast_store *store)
{
  return g_rc_box_acquire (store);
}

static void
clear_store (void *data)
{
  g_free (((struct mt_forecast_store *) data)->leader_key);
}

static void
unref (struct mt_forecast_store *store)
{
  g_rc_box_release_full (store, clear_store);
}

static bool
load_text (struct mt_forecast_store *store, struct mt_str text, GError **error)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  int64_t saved_ms = json_integer_value (json_object_get (root, "saved_ms"));
  g_autofree char *forecast = NULL;
  char *dumped = json_dumps (json_object_get (root, "forecast"), JSON_COMPACT);

  forecast = g_strdup (dumped != NULL ? dumped : "");
  free (dumped);
  json_decref (root);
  return mt_forecast_load (store->options.forecast, mt_str_from (forecast),
                           MAX (store->wall_ms - saved_ms, 0), store->now, error);
}

/* A text that can't be read counts as read: the forecast starts empty and is written over it. */
static void
on_read (void *data, const struct mt_kv_reply *reply)
{
  struct mt_forecast_store *store = data;
  g_autoptr (GError) error = NULL;

  store->in_flight = false;
  if (!store->destroyed && (reply->status == MT_KV_OK || reply->status == MT_KV_MISSING))
    {
      store->read = true;
      if (reply->status == MT_KV_OK && reply->n_items > 0
          && !load_text (store, reply->items[0].value, &error) && store->options.journal != NULL)
        mt_journal_log (store->options.journal, "FORECAST_UNREADABLE", "why=%s", error->message);
    }
  unref (store);
}

/* What the store does not accept is not sent again before it has changed. */
static void
on_written (void *data, const struct mt_kv_reply *reply)
{
  struct mt_forecast_store *store = data;

  store->in_flight = false;
  if (!store->destroyed && (reply->status == MT_KV_OK || reply->status == MT_KV_REJECTED))
    store->saved_revision = store->sent_revision;
  unref (store);
}

static void
write_forecast (struct mt_forecast_store *store)
{
  struct mt_kv_expect expect = { store->leader_key, store->options.token };
  g_autofree char *forecast = mt_forecast_save (store->options.forecast, store->now);
  g_autofree char *text = g_strdup_printf ("{\"saved_ms\":%" G_GINT64_FORMAT ",\"forecast\":%s}",
                                           store->wall_ms, forecast);
  struct mt_kv_put put = { FORECAST_KEY, mt_str_from (text), 0 };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  store->in_flight = true;
  store->written_at = store->now;
  store->sent_revision = mt_forecast_revision (store->options.forecast);
  mt_kv_write (&store->options.kv, &txn, TXN_TIMEOUT_MS, on_written, ref (store));
}

void
mt_forecast_store_tick (struct mt_forecast_store *store, int64_t now, int64_t wall_ms)
{
  store->now = now;
  store->wall_ms = wall_ms;
  if (store->in_flight)
    return;
  if (!store->read)
    {
      store->in_flight = true;
      mt_kv_read (&store->options.kv, FORECAST_KEY, TXN_TIMEOUT_MS, on_read, ref (store));
    }
  else if (now - store->written_at >= SAVE_INTERVAL_MS
           && mt_forecast_revision (store->options.forecast) != store->saved_revision)
    write_forecast (store);
}

struct mt_forecast_store *
mt_forecast_store_create (const struct mt_forecast_store_options *options)
{
  struct mt_forecast_store *store = g_rc_box_new0 (struct mt_forecast_store);

  store->options = *options;
  store->leader_key = g_strdup (options->leader_key);
  return store;
}

void
mt_forecast_store_destroy (struct mt_forecast_store *store)
{
  if (store == NULL)
    return;
  store->destroyed = true;
  unref (store);
}
