#include "avoid_list.h"

#include "loop.h"

#include <glib.h>

struct mt_avoid_list
{
  GHashTable *until; /* address -> time until which it is avoided */
};

struct mt_avoid_list *
mt_avoid_list_create (void)
{
  struct mt_avoid_list *list = g_new0 (struct mt_avoid_list, 1);

  list->until = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return list;
}

void
mt_avoid_list_destroy (struct mt_avoid_list *list)
{
  if (list == NULL)
    return;
  g_hash_table_unref (list->until);
  g_free (list);
}

void
mt_avoid_list_add (struct mt_avoid_list *list, const char *address, int64_t ms)
{
  int64_t *until = g_new (int64_t, 1);

  *until = mt_loop_now () + ms;
  g_hash_table_replace (list->until, g_strdup (address), until);
}

bool
mt_avoid_list_has (const struct mt_avoid_list *list, const char *address)
{
  const int64_t *until = g_hash_table_lookup (list->until, address);

  return until != NULL && *until > mt_loop_now ();
}
