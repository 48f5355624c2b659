#include "roster.h"

#include "journal.h"
#include "watcher.h"

#include <string.h>

/* Longest wait of the watch, after which a silent watch is noticed. Workers that leave must get no
 * new work within two seconds. */
#define WATCH_WAIT_MS 1200
/* Pause between watches that brought changes. Workers write every 1.5 s and each write is an event:
 * with the pause 50 workers cost 5 calls a second instead of 33. */
#define WATCH_PAUSE_MS 200

struct listed_worker
{
  char *pool;
  char *text;
  size_t len;
};

struct mt_roster
{
  struct mt_roster_options options;
  struct mt_watcher *watcher;
  GHashTable *listed;   /* key -> struct listed_worker */
  GHashTable *unusable; /* set of the keys whose present entries name no worker */
};

static void
free_listed_worker (void *data)
{
  struct listed_worker *l = data;

  g_free (l->pool);
  g_free (l->text);
  g_free (l);
}

static const char *
id_of (const char *key)
{
  const char *slash = strrchr (key, '/');

  return slash != NULL ? slash + 1 : key;
}

static void
remove_worker (struct mt_roster *r, const char *key)
{
  const struct listed_worker *l = g_hash_table_lookup (r->listed, key);

  if (l == NULL)
    return;
  r->options.on_gone (r->options.ctx, l->pool, id_of (key));
  g_hash_table_remove (r->listed, key);
}

static void
replay_worker (struct mt_roster *r, const char *key, const struct listed_worker *l)
{
  struct mt_registry_entry entry;
  const char *invalid;

  if (!r->options.codec->ops->parse_worker (key, (struct mt_str){ l->text, l->len }, &entry,
                                            &invalid))
    return;
  r->options.on_seen (r->options.ctx, &entry);
  mt_registry_entry_clear (&entry);
}

/* Logs an entry that names no worker, once until it names one or is gone. */
static void
log_unusable (struct mt_roster *r, const struct mt_kv_item *item, const char *invalid)
{
  if (!g_hash_table_add (r->unusable, g_strdup (item->key)) || r->options.journal == NULL)
    return;
  mt_journal_log (r->options.journal, "ENTRY_UNUSABLE", "bytes=%zu invalid=%s key=%.200s",
                  item->value.len, invalid, item->key);
}

static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct mt_roster *r = ctx;
  struct mt_registry_entry entry;
  struct listed_worker *l;
  const char *invalid = NULL;

  if (item->deleted
      || !r->options.codec->ops->parse_worker (item->key, item->value, &entry, &invalid))
    {
      remove_worker (r, item->key);
      if (invalid != NULL)
        log_unusable (r, item, invalid);
      else
        g_hash_table_remove (r->unusable, item->key);
      return;
    }
  g_hash_table_remove (r->unusable, item->key);
  l = g_hash_table_lookup (r->listed, item->key);
  if (l != NULL && strcmp (l->pool, entry.pool) != 0)
    remove_worker (r, item->key);
  l = g_new0 (struct listed_worker, 1);
  l->pool = g_strdup (entry.pool);
  l->text = g_memdup2 (item->value.data, item->value.len);
  l->len = item->value.len;
  g_hash_table_replace (r->listed, g_strdup (item->key), l);
  r->options.on_seen (r->options.ctx, &entry);
  mt_registry_entry_clear (&entry);
}

void
mt_roster_replay (struct mt_roster *r, const char *pool)
{
  GHashTableIter it;
  const char *key;
  struct listed_worker *l;

  g_hash_table_iter_init (&it, r->listed);
  while (g_hash_table_iter_next (&it, (void **) &key, (void **) &l))
    if (strcmp (l->pool, pool) == 0)
      replay_worker (r, key, l);
}

struct mt_roster *
mt_roster_create (struct event_base *base, const struct mt_roster_options *options)
{
  struct mt_roster *r = g_new0 (struct mt_roster, 1);
  struct mt_watcher_options watch = { .prefix = options->codec->workers_prefix,
                                      .wait_ms = WATCH_WAIT_MS,
                                      .pause_ms = WATCH_PAUSE_MS,
                                      .on_item = on_item,
                                      .ctx = r };

  r->options = *options;
  r->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_listed_worker);
  r->unusable = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->watcher = mt_watcher_create (base, options->kv, &watch);
  return r;
}

void
mt_roster_destroy (struct mt_roster *r)
{
  if (r == NULL)
    return;
  mt_watcher_destroy (r->watcher);
  g_hash_table_unref (r->listed);
  g_hash_table_unref (r->unusable);
  g_free (r);
}
