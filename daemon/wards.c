#include "wards.h"

#include <string.h>

#define MAX_NAME  200 /* bytes, as in the settings */
#define MAX_WARDS 256

struct mt_wards
{
  struct mt_view_holder *views;
  char *zone;
  GMutex lock;         /* guards all below */
  GHashTable *missing; /* names whose key is not known to be written */
};

struct mt_wards *
mt_wards_create (struct mt_view_holder *views, const char *zone)
{
  struct mt_wards *wards = g_new0 (struct mt_wards, 1);

  wards->views = views;
  wards->zone = g_strdup (zone);
  wards->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_mutex_init (&wards->lock);
  return wards;
}

void
mt_wards_destroy (struct mt_wards *wards)
{
  if (wards == NULL)
    return;
  g_hash_table_unref (wards->missing);
  g_mutex_clear (&wards->lock);
  g_free (wards->zone);
  g_free (wards);
}

static bool
is_name (struct mt_str name)
{
  for (size_t i = 0; i < name.len; i++)
    if (!g_ascii_isalnum (name.data[i]) && strchr ("._-", name.data[i]) == NULL)
      return false;
  return name.len > 0 && name.len <= MAX_NAME;
}

bool
mt_wards_note (struct mt_wards *wards, struct mt_str name)
{
  bool noted;

  if (!is_name (name))
    return false;
  g_mutex_lock (&wards->lock);
  noted = g_hash_table_size (wards->missing) < MAX_WARDS;
  if (noted)
    g_hash_table_add (wards->missing, g_strndup (name.data, name.len));
  g_mutex_unlock (&wards->lock);
  return noted;
}

static GPtrArray *
copy_missing (struct mt_wards *wards)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer name;

  g_mutex_lock (&wards->lock);
  g_hash_table_iter_init (&iter, wards->missing);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_mutex_unlock (&wards->lock);
  return names;
}

/* Most daemons have written their own: a read costs the platform less than a write. */
static bool
has_key (const struct mt_store *store, const char *key)
{
  struct mt_store_value value = { 0 };
  bool found = store->ops->get (store->ctx, key, &value, NULL) && value.found;

  mt_store_value_clear (&value);
  return found;
}

static bool
write_key (const struct mt_wards *wards, const struct mt_store *store, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s%s/%s/", MT_HOLDERS_PREFIX, wards->zone, name);
  enum mt_store_put put;

  if (has_key (store, key))
    return true;
  put = store->ops->put (store->ctx, key, MT_STR ("{}"), 0, NULL);
  return put == MT_STORE_DONE || put == MT_STORE_CONFLICT;
}

void
mt_wards_register (struct mt_wards *wards, const struct mt_store *store)
{
  g_autoptr (GPtrArray) names = copy_missing (wards);

  for (guint i = 0; i < names->len; i++)
    {
      if (!write_key (wards, store, names->pdata[i]))
        return;
      g_mutex_lock (&wards->lock);
      g_hash_table_remove (wards->missing, names->pdata[i]);
      g_mutex_unlock (&wards->lock);
    }
}

void
mt_wards_each_held (struct mt_wards *wards,
                    void (*visit) (void *ctx, const char *instance, unsigned in_flight),
                    void *ctx)
{
  const struct mt_assign *assign;

  if (mt_wards_count (wards) == 0)
    return;
  mt_view_begin (wards->views);
  assign = mt_view_assign (wards->views);
  for (size_t i = 0; assign != NULL && i < assign->n_records; i++)
    if (assign->records[i].state == MT_ASSIGN_DRAINING)
      visit (ctx, assign->records[i].instance, 1);
  mt_view_end ();
}

unsigned
mt_wards_count (struct mt_wards *wards)
{
  unsigned count;

  g_mutex_lock (&wards->lock);
  count = g_hash_table_size (wards->missing);
  g_mutex_unlock (&wards->lock);
  return count;
}
