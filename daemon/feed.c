#include "feed.h"

#include "medlartrack/acceptance.h"
#include "medlartrack/log.h"
#include "platform.h"

#include <xxhash.h>

/* A longer watch would cost fewer calls, but a platform that vanished without a word is noticed
 * only when the watch is overdue, and a change has to be in force within 7 s. */
#define WATCH_US (5 * MT_SECOND)
/* Daemons that lost the platform together come back spread over the pause, so that its recovery is
 * no stampede. The pause doubles up to its end while the platform stays away. */
#define PAUSE_FIRST_US (200 * MT_MS)
#define PAUSE_LAST_US  (3200 * MT_MS)
/* While nothing is accepted yet there is no index to wait at and the watch answers at once: this
 * pause, from a half to one and a half of it, bounds the calls. */
#define PAUSE_EMPTY_US (1 * MT_SECOND)
/* Spreads the second reads of a repair, so that most daemons find the first one's work done. Counts
 * towards the time that `medlartrackctl apply` waits before it tells "accepted". */
#define REPAIR_JITTER_US (200 * MT_MS)

struct mt_feed
{
  struct mt_http_client *client;
  struct mt_platform *platform;
  const struct mt_store *store;
  struct mt_view_holder *views; /* touched only under lock and while not stopping */
  GMutex lock;
  GCond stopped;
  bool stopping; /* guarded by lock */
  gint refs;     /* atomic: the owner's and the thread's */
  /* The thread's own. */
  GRand *rand;
  int64_t pause_us;
  bool reachable;
  uint64_t seen_hash;    /* of the value that is in force here, 0 for none */
  uint64_t seen_version; /* its version */
  uint64_t told_index;   /* of the last value that was told as refused or forked */
  char *told_fork;
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
  g_free (feed->told_fork);
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

/* Waits up to that long; a stop ends it. */
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
draw_us (struct mt_feed *feed, int64_t most)
{
  return (int64_t) g_rand_double_range (feed->rand, 0, (double) most);
}

/* A copy of what is in force, since a reader of the view may not block; NULL for none. */
static struct mt_tables *
copy_held (struct mt_feed *feed)
{
  g_autofree char *text = NULL;
  const struct mt_tables *held;

  g_mutex_lock (&feed->lock);
  if (!feed->stopping)
    {
      held = mt_view_begin (feed->views);
      if (held != NULL)
        text = mt_tables_format (held, held->version, held->id.data);
      mt_view_end ();
    }
  g_mutex_unlock (&feed->lock);
  return text != NULL ? mt_tables_parse (mt_str_from (text), NULL) : NULL;
}

/* The store gave an older value, or none. Told only where it turns out to be so. */
static void
repair (struct mt_feed *feed)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *held = copy_held (feed);

  if (held == NULL)
    return;
  wait_us (feed, draw_us (feed, REPAIR_JITTER_US));
  if (!is_stopping (feed) && mt_acceptance_repair (feed->store, held, &error) == MT_REPAIR_DONE)
    mt_log_event (MT_EVENT_TABLES_REPAIRED, "version=%" G_GUINT64_FORMAT " id=%s", held->version,
                  held->id.data);
  mt_tables_destroy (held);
}

static enum mt_acceptance
judge (struct mt_feed *feed, const struct mt_tables *offered)
{
  enum mt_acceptance verdict = mt_acceptance_compare (mt_view_begin (feed->views), offered);

  mt_view_end ();
  return verdict;
}

static void
tell_fork (struct mt_feed *feed, const struct mt_tables *offered)
{
  if (g_strcmp0 (feed->told_fork, offered->id.data) == 0)
    return;
  g_free (feed->told_fork);
  feed->told_fork = g_strdup (offered->id.data);
  mt_log_event (MT_EVENT_TABLES_FORKED, "version=%" G_GUINT64_FORMAT " refused_id=%s",
                offered->version, offered->id.data);
}

/* Takes the tables over; the lock is held and the feed is not stopping. */
static enum mt_acceptance
offer (struct mt_feed *feed, struct mt_tables *tables)
{
  enum mt_acceptance verdict = judge (feed, tables);

  switch (verdict)
    {
    case MT_ACCEPTANCE_NEWER:
      mt_view_offer (feed->views, tables);
      return verdict;
    case MT_ACCEPTANCE_SAME:
      mt_view_confirm (feed->views);
      break;
    case MT_ACCEPTANCE_FORKED:
      tell_fork (feed, tables);
      break;
    case MT_ACCEPTANCE_OLDER:
      break;
    }
  mt_tables_destroy (tables);
  return verdict;
}

/* Most watches end with the value as it was: parsing the whole tables each time would be the
 * largest idle cost of a daemon. The hash, and not the store's index, tells: an index may come back
 * after a restore with another value. */
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
take_value (struct mt_feed *feed, const struct mt_store_value *value)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse ((struct mt_str){ value->data, value->len }, &error);
  enum mt_acceptance verdict = MT_ACCEPTANCE_SAME;
  uint64_t version;

  if (tables == NULL)
    {
      if (feed->told_index != value->index)
        mt_log_event (MT_EVENT_TABLES_REFUSED, "why=%s", error->message);
      feed->told_index = value->index;
      return;
    }
  version = tables->version;
  g_mutex_lock (&feed->lock);
  if (feed->stopping)
    mt_tables_destroy (tables);
  else
    verdict = offer (feed, tables);
  g_mutex_unlock (&feed->lock);
  if (verdict == MT_ACCEPTANCE_NEWER || verdict == MT_ACCEPTANCE_SAME)
    {
      feed->seen_hash = XXH3_64bits (value->data, value->len);
      feed->seen_version = version;
    }
  else if (verdict == MT_ACCEPTANCE_OLDER)
    repair (feed);
}

static void
note_reachable (struct mt_feed *feed, bool ok, const GError *error)
{
  if (ok != feed->reachable)
    mt_log_event (ok ? MT_EVENT_PLATFORM_BACK : MT_EVENT_PLATFORM_UNREACHABLE, "why=%s",
                  ok ? "" : error->message);
  feed->reachable = ok;
  if (ok)
    feed->pause_us = PAUSE_FIRST_US;
}

/* The store did not change, but the peers brought something newer than it: its value is wanted
 * after all, to see whether it has to be repaired. */
static bool
with_data (struct mt_feed *feed, struct mt_store_value *value)
{
  if (value->data != NULL)
    return true;
  mt_store_value_clear (value);
  return feed->store->ops->get (feed->store->ctx, MT_TABLES_KEY, value, NULL) && value->found;
}

/* One watch and what follows from it; index is that of the value last seen. */
static void
step (struct mt_feed *feed, uint64_t *index)
{
  g_autoptr (GError) error = NULL;
  struct mt_store_value value;
  bool ok;

  ok = feed->store->ops->watch (feed->store->ctx, MT_TABLES_KEY, *index, WATCH_US, &value, &error);
  if (is_stopping (feed))
    {
      mt_store_value_clear (&value);
      return;
    }
  note_reachable (feed, ok, error);
  if (!ok)
    {
      wait_us (feed, draw_us (feed, feed->pause_us));
      feed->pause_us = MIN (feed->pause_us * 2, PAUSE_LAST_US);
    }
  else if (!value.found)
    {
      repair (feed);
      wait_us (feed, PAUSE_EMPTY_US / 2 + draw_us (feed, PAUSE_EMPTY_US));
    }
  else if (!confirm_if_seen (feed, &value) && with_data (feed, &value))
    take_value (feed, &value);
  *index = value.index;
  mt_store_value_clear (&value);
}

static gpointer
run (gpointer data)
{
  struct mt_feed *feed = data;
  uint64_t index = 0;

  while (!is_stopping (feed))
    step (feed, &index);
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
  feed->pause_us = PAUSE_FIRST_US;
  feed->reachable = true;
  g_thread_unref (g_thread_new ("feed", run, feed));
  return feed;
}

/* Joining the thread would hold the daemon's stop up until the watch ends, seconds later. */
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
