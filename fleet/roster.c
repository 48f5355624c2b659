#include "roster.h"

#include "watcher.h"

#include <string.h>

/* Workers that leave must get no new work within two seconds: a silent watch is noticed after this.
 */
#define WATCH_MS 1200
/* Workers write every second and a half, and each write is an event: gathered for so long, 50
 * workers cost 5 calls a second in place of 33. */
#define PAUSE_MS 200

struct listed
{
  char *pool;
  char *text;
  size_t len;
};

struct mt_roster
{
  struct mt_roster_options options;
  struct mt_watcher *watcher;
  GHashTable *listed; /* key to struct listed */
};

static void
free_listed (void *data)
{
  struct listed *l = data;

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
drop (struct mt_roster *r, const char *key)
{
  const struct listed *l = g_hash_table_lookup (r->listed, key);

  if (l == NULL)
    return;
  r->options.gone (r->options.ctx, l->pool, id_of (key));
  g_hash_table_remove (r->listed, key);
}

static void
tell (struct mt_roster *r, const char *key, const struct listed *l)
{
  struct mt_registry_entry entry;

  if (!r->options.words->ops->parse_worker (key, (struct mt_str){ l->text, l->len }, &entry))
    return;
  r->options.seen (r->options.ctx, &entry);
  mt_registry_entry_clear (&entry);
}

static void
on_item (void *ctx, const struct mt_kv_item *item)
{
  struct mt_roster *r = ctx;
  struct mt_registry_entry entry;
  struct listed *l;

  if (item->deleted || !r->options.words->ops->parse_worker (item->key, item->value, &entry))
    {
      drop (r, item->key);
      return;
    }
  l = g_hash_table_lookup (r->listed, item->key);
  if (l != NULL && strcmp (l->pool, entry.pool) != 0)
    drop (r, item->key);
  l = g_new0 (struct listed, 1);
  l->pool = g_strdup (entry.pool);
  l->text = g_memdup2 (item->value.data, item->value.len);
  l->len = item->value.len;
  g_hash_table_replace (r->listed, g_strdup (item->key), l);
  r->options.seen (r->options.ctx, &entry);
  mt_registry_entry_clear (&entry);
}

void
mt_roster_replay (struct mt_roster *r, const char *pool)
{
  GHashTableIter it;
  const char *key;
  struct listed *l;

  g_hash_table_iter_init (&it, r->listed);
  while (g_hash_table_iter_next (&it, (void **) &key, (void **) &l))
    if (strcmp (l->pool, pool) == 0)
      tell (r, key, l);
}

struct mt_roster *
mt_roster_create (struct event_base *base, const struct mt_roster_options *options)
{
  struct mt_roster *r = g_new0 (struct mt_roster, 1);
  struct mt_watcher_options watch = { .prefix = options->words->workers_prefix,
                                      .wait_ms = WATCH_MS,
                                      .pause_ms = PAUSE_MS,
                                      .on_item = on_item,
                                      .ctx = r };

  r->options = *options;
  r->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_listed);
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
  g_free (r);
}
