#include "proxied.h"

#include <string.h>

#define MAX_NAME_BYTES 200 /* as in the settings */
#define MAX_PROXIED    256

struct mt_proxied
{
  struct mt_view_holder *views;
  char *zone;
  GMutex lock;         /* guards all below */
  GHashTable *missing; /* names of daemons whose key is not known to be written */
};

struct mt_proxied *
mt_proxied_create (struct mt_view_holder *views, const char *zone)
{
  struct mt_proxied *proxied = g_new0 (struct mt_proxied, 1);

  proxied->views = views;
  proxied->zone = g_strdup (zone);
  proxied->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_mutex_init (&proxied->lock);
  return proxied;
}

void
mt_proxied_destroy (struct mt_proxied *proxied)
{
  if (proxied == NULL)
    return;
  g_hash_table_unref (proxied->missing);
  g_mutex_clear (&proxied->lock);
  g_free (proxied->zone);
  g_free (proxied);
}

static bool
is_daemon_name (struct mt_str name)
{
  for (size_t i = 0; i < name.len; i++)
    if (!g_ascii_isalnum (name.data[i]) && strchr ("._-", name.data[i]) == NULL)
      return false;
  return name.len > 0 && name.len <= MAX_NAME_BYTES;
}

bool
mt_proxied_add (struct mt_proxied *proxied, struct mt_str name)
{
  bool added;

  if (!is_daemon_name (name))
    return false;
  g_mutex_lock (&proxied->lock);
  added = g_hash_table_size (proxied->missing) < MAX_PROXIED;
  if (added)
    g_hash_table_add (proxied->missing, g_strndup (name.data, name.len));
  g_mutex_unlock (&proxied->lock);
  return added;
}

static GPtrArray *
copy_missing (struct mt_proxied *proxied)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer name;

  g_mutex_lock (&proxied->lock);
  g_hash_table_iter_init (&iter, proxied->missing);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_mutex_unlock (&proxied->lock);
  return names;
}

/* Called before a write: most daemons have written their own key, and a read costs the platform
 * less than a write. */
static bool
has_key (const struct mt_store *store, const char *key)
{
  struct mt_store_value value = { 0 };
  bool found = store->ops->get (store->ctx, key, &value, NULL) && value.found;

  mt_store_value_clear (&value);
  return found;
}

static bool
write_key (const struct mt_proxied *proxied, const struct mt_store *store, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s%s/%s/", MT_HOLDERS_PREFIX, proxied->zone, name);
  enum mt_store_write_result put;

  if (has_key (store, key))
    return true;
  put = store->ops->put (store->ctx, key, MT_STR ("{}"), 0, NULL);
  return put == MT_STORE_DONE || put == MT_STORE_CONFLICT;
}

void
mt_proxied_register (struct mt_proxied *proxied, const struct mt_store *store)
{
  g_autoptr (GPtrArray) names = copy_missing (proxied);

  for (guint i = 0; i < names->len; i++)
    {
      if (!write_key (proxied, store, names->pdata[i]))
        return;
      g_mutex_lock (&proxied->lock);
      g_hash_table_remove (proxied->missing, names->pdata[i]);
      g_mutex_unlock (&proxied->lock);
    }
}

void
mt_proxied_each_draining (struct mt_proxied *proxied,
                          void (*visit) (void *ctx, const char *instance, unsigned in_flight),
                          void *ctx)
{
  const struct mt_assign *assign;

  if (mt_proxied_count (proxied) == 0)
    return;
  mt_view_begin (proxied->views);
  assign = mt_view_assign (proxied->views);
  for (size_t i = 0; assign != NULL && i < assign->n_records; i++)
    if (assign->records[i].state == MT_ASSIGN_DRAINING)
      visit (ctx, assign->records[i].instance, 1);
  mt_view_end ();
}

unsigned
mt_proxied_count (struct mt_proxied *proxied)
{
  unsigned count;

  g_mutex_lock (&proxied->lock);
  count = g_hash_table_size (proxied->missing);
  g_mutex_unlock (&proxied->lock);
  return count;
}
