#include "feed.h"

#include "medlartrack/acceptance.h"
#include "medlartrack/log.h"
#include "platform.h"

#include <xxhash.h>

/* A longer watch would cost fewer calls, but a platform that vanished without closing the
 * connection is noticed only when the watch is overdue, and a change has to be in force within 7 s.
 */
#define WATCH_TIMEOUT_US (5 * MT_SECOND)
/* Backoff between calls while the platform is unreachable. It doubles up to the maximum. Each wait
 * is a random part of it, so that daemons which lost the platform together don't all call at once
 * when it recovers. */
#define MIN_BACKOFF_US (200 * MT_MS)
#define MAX_BACKOFF_US (3200 * MT_MS)
/* Delay between watches before the first tables are accepted, jittered from a half to one and a
 * half of this. There is no index to wait at then and the watch returns at once, so the delay
 * bounds the number of calls. */
#define EMPTY_DELAY_US (1 * MT_SECOND)
/* Maximum random delay between the read that finds older tables in the store and
 * mt_acceptance_repair, which reads once more before it writes: most daemons then find the store
 * already repaired by the first one. Included in the time that `medlartrackctl apply` waits before
 * it reports "accepted". */
#define REPAIR_JITTER_US (200 * MT_MS)

struct mt_feed
{
  struct mt_http_client *client;
  struct mt_platform *platform;
  const struct mt_store *store;
  struct mt_view_holder *views; /* accessed only under lock and while not stopping */
  GMutex lock;
  GCond stopped;
  bool stopping; /* guarded by lock */
  gint refs;     /* atomic: one for the owner, one for the thread */
  /* Accessed by the thread only. */
  GRand *rand;
  int64_t backoff_us;
  bool reachable;
  uint64_t seen_hash;     /* of the stored value that is in force here; 0: none */
  uint64_t seen_version;  /* version of the tables in that value */
  uint64_t refused_index; /* of the last value that was logged as refused */
  char *logged_fork;
};

static void
feed_unref (struct mt_feed *feed)
{
  if (!g_atomic_int_dec_and_test (&feed->refs))
    return;
  mt_platform_destroy (feed->platform);
  mt_http_client_destroy (feed->client);
  g_mutex_clear (&feed->lock);
  g_cond_clear (&feed->stopped);
  g_rand_free (feed->rand);
  g_free (feed->logged_fork);
  g_free (feed);
}

static bool
is_stopping (struct mt_feed *feed)
{
  bool stopping;

  g_mutex_lock (&feed->lock);
  stopping = feed->stopping;
  g_mutex_unlock (&feed->lock);
  return stopping;
}

/* Sleeps for us; a stop ends the sleep. */
static void
wait_us (struct mt_feed *feed, int64_t us)
{
  gint64 until = g_get_monotonic_time () + us;

  g_mutex_lock (&feed->lock);
  while (!feed->stopping && g_cond_wait_until (&feed->stopped, &feed->lock, until))
    ;
  g_mutex_unlock (&feed->lock);
}

static int64_t
random_delay_us (struct mt_feed *feed, int64_t max_us)
{
  return (int64_t) g_rand_double_range (feed->rand, 0, (double) max_us);
}

/* Returns a copy of the tables in force, since a reader of the view must not block; NULL if there
 * are none. */
static struct mt_tables *
copy_tables (struct mt_feed *feed)
{
  g_autofree char *text = NULL;
  const struct mt_tables *tables;

  g_mutex_lock (&feed->lock);
  if (!feed->stopping)
    {
      tables = mt_view_begin (feed->views);
      if (tables != NULL)
        text = mt_tables_format (tables, tables->version, tables->id.data);
      mt_view_end ();
    }
  g_mutex_unlock (&feed->lock);
  return text != NULL ? mt_tables_parse (mt_str_from (text), NULL) : NULL;
}

/* Writes the tables in force to a store that returned older ones or none. Logged only if the store
 * was written. */
static void
repair_store (struct mt_feed *feed)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = copy_tables (feed);

  if (tables == NULL)
    return;
  wait_us (feed, random_delay_us (feed, REPAIR_JITTER_US));
  if (!is_stopping (feed) && mt_acceptance_repair (feed->store, tables, &error) == MT_REPAIR_DONE)
    mt_log_event (MT_EVENT_TABLES_REPAIRED, "version=%" G_GUINT64_FORMAT " id=%s", tables->version,
                  tables->id.data);
  mt_tables_destroy (tables);
}

static enum mt_acceptance
compare_with_tables_in_force (struct mt_feed *feed, const struct mt_tables *offered)
{
  enum mt_acceptance acceptance = mt_acceptance_compare (mt_view_begin (feed->views), offered);

  mt_view_end ();
  return acceptance;
}

static void
log_fork (struct mt_feed *feed, const struct mt_tables *offered)
{
  if (g_strcmp0 (feed->logged_fork, offered->id.data) == 0)
    return;
  g_free (feed->logged_fork);
  feed->logged_fork = g_strdup (offered->id.data);
  mt_log_event (MT_EVENT_TABLES_FORKED, "version=%" G_GUINT64_FORMAT " refused_id=%s",
                offered->version, offered->id.data);
}

/* Takes ownership of the tables, and puts them in force if they are newer. The lock is held and the
 * feed is not stopping. */
static enum mt_acceptance
offer_tables (struct mt_feed *feed, struct mt_tables *tables)
{
  enum mt_acceptance acceptance = compare_with_tables_in_force (feed, tables);

  switch (acceptance)
    {
    case MT_ACCEPTANCE_NEWER:
      mt_view_offer (feed->views, tables);
      return acceptance;
    case MT_ACCEPTANCE_SAME:
      mt_view_confirm (feed->views);
      break;
    case MT_ACCEPTANCE_FORKED:
      log_fork (feed, tables);
      break;
    case MT_ACCEPTANCE_OLDER:
      break;
    }
  mt_tables_destroy (tables);
  return acceptance;
}

/* Returns true if the value needs no processing: it is the one in force, which is then confirmed,
 * or the feed is stopping. Most watches end with an unchanged value: parsing the whole tables each
 * time would be the largest idle cost of a daemon. Values are compared by their hash, not by the
 * store's index: after a restore an index may recur with another value. */
static bool
confirm_if_seen (struct mt_feed *feed, const struct mt_store_value *value)
{
  bool seen = value->data == NULL
              || (feed->seen_hash != 0 && XXH3_64bits (value->data, value->len) == feed->seen_hash);

  g_mutex_lock (&feed->lock);
  if (feed->stopping)
    seen = true;
  else if (seen && mt_view_version (feed->views) == feed->seen_version)
    mt_view_confirm (feed->views);
  else
    seen = false;
  g_mutex_unlock (&feed->lock);
  return seen;
}

static void
process_value (struct mt_feed *feed, const struct mt_store_value *value)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse ((struct mt_str){ value->data, value->len }, &error);
  enum mt_acceptance acceptance = MT_ACCEPTANCE_SAME;
  uint64_t version;

  if (tables == NULL)
    {
      if (feed->refused_index != value->index)
        mt_log_event (MT_EVENT_TABLES_REFUSED, "why=%s", error->message);
      feed->refused_index = value->index;
      return;
    }
  version = tables->version;
  g_mutex_lock (&feed->lock);
  if (feed->stopping)
    mt_tables_destroy (tables);
  else
    acceptance = offer_tables (feed, tables);
  g_mutex_unlock (&feed->lock);
  if (acceptance == MT_ACCEPTANCE_NEWER || acceptance == MT_ACCEPTANCE_SAME)
    {
      feed->seen_hash = XXH3_64bits (value->data, value->len);
      feed->seen_version = version;
    }
  else if (acceptance == MT_ACCEPTANCE_OLDER)
    repair_store (feed);
}

static void
update_reachable (struct mt_feed *feed, bool ok, const GError *error)
{
  if (ok != feed->reachable)
    mt_log_event (ok ? MT_EVENT_PLATFORM_BACK : MT_EVENT_PLATFORM_UNREACHABLE, "why=%s",
                  ok ? "" : error->message);
  feed->reachable = ok;
  if (ok)
    feed->backoff_us = MIN_BACKOFF_US;
}

/* Reads the value if the watch returned none. That happens when the store did not change but a peer
 * delivered newer tables: the value then shows whether the store has to be repaired. */
static bool
ensure_data (struct mt_feed *feed, struct mt_store_value *value)
{
  if (value->data != NULL)
    return true;
  mt_store_value_clear (value);
  return feed->store->ops->get (feed->store->ctx, MT_TABLES_KEY, value, NULL) && value->found;
}

/* Makes one watch call and handles its result. *index is the index of the last value seen. */
static void
watch_once (struct mt_feed *feed, uint64_t *index)
{
  g_autoptr (GError) error = NULL;
  struct mt_store_value value;
  bool ok;

  ok = feed->store->ops->watch (feed->store->ctx, MT_TABLES_KEY, *index, WATCH_TIMEOUT_US, &value,
                                &error);
  if (is_stopping (feed))
    {
      mt_store_value_clear (&value);
      return;
    }
  update_reachable (feed, ok, error);
  if (!ok)
    {
      wait_us (feed, random_delay_us (feed, feed->backoff_us));
      feed->backoff_us = MIN (feed->backoff_us * 2, MAX_BACKOFF_US);
    }
  else if (!value.found)
    {
      repair_store (feed);
      wait_us (feed, EMPTY_DELAY_US / 2 + random_delay_us (feed, EMPTY_DELAY_US));
    }
  else if (!confirm_if_seen (feed, &value) && ensure_data (feed, &value))
    process_value (feed, &value);
  *index = value.index;
  mt_store_value_clear (&value);
}

static gpointer
run_feed (gpointer data)
{
  struct mt_feed *feed = data;
  uint64_t index = 0;

  while (!is_stopping (feed))
    watch_once (feed, &index);
  feed_unref (feed);
  return NULL;
}

struct mt_feed *
mt_feed_create (const struct mt_feed_options *options)
{
  struct mt_feed *feed = g_new0 (struct mt_feed, 1);

  feed->views = options->views;
  feed->store = options->store;
  if (feed->store == NULL)
    {
      feed->client = mt_http_client_create (options->clock);
      feed->platform = mt_platform_create (feed->client, options->clock, options->platform,
                                           options->call_timeout_us);
      feed->store = mt_platform_store (feed->platform);
    }
  g_mutex_init (&feed->lock);
  g_cond_init (&feed->stopped);
  feed->refs = 2;
  feed->rand = g_rand_new ();
  feed->backoff_us = MIN_BACKOFF_US;
  feed->reachable = true;
  g_thread_unref (g_thread_new ("feed", run_feed, feed));
  return feed;
}

/* The thread is not joined: that would delay the daemon's stop until the watch ends, seconds
 * later. */
void
mt_feed_destroy (struct mt_feed *feed)
{
  if (feed == NULL)
    return;
  g_mutex_lock (&feed->lock);
  feed->stopping = true;
  g_cond_broadcast (&feed->stopped);
  g_mutex_unlock (&feed->lock);
  feed_unref (feed);
}

uint64_t
mt_feed_calls (const struct mt_feed *feed)
{
  return feed->platform != NULL ? mt_platform_calls (feed->platform) : 0;
}
