#include "instances.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct mt_instances
{
  json_t *root;     /* owns the names */
  GArray *rows;     /* struct mt_planner_instance, sorted by name */
  GHashTable *gone; /* names of the instances whose state is "gone" */
};

static int
compare_names (gconstpointer a, gconstpointer b)
{
  const struct mt_planner_instance *left = a;
  const struct mt_planner_instance *right = b;

  return strcmp (left->name, right->name);
}

static void
add_row (struct mt_instances *list, json_t *row)
{
  struct mt_planner_instance instance = { 0 };
  const char *state = NULL;
  json_int_t boot = 0;
  json_int_t epoch = 0;

  if (json_unpack (row, "{ss ss s?I s?I}", "name", &instance.name, "state", &state, "boot", &boot,
                   "epoch", &epoch)
      != 0)
    return;
  instance.down = strcmp (state, "down") == 0 || strcmp (state, "gone") == 0;
  instance.leaving = strcmp (state, "leaving") == 0;
  instance.boot = (uint64_t) boot;
  instance.epoch = (uint64_t) epoch;
  g_array_append_val (list->rows, instance);
  if (strcmp (state, "gone") == 0)
    g_hash_table_add (list->gone, (gpointer) instance.name);
}

struct mt_instances *
mt_instances_parse (struct mt_str json)
{
  struct mt_instances *list = g_new0 (struct mt_instances, 1);
  const json_t *rows;

  list->root = json.len > 0 ? json_loadb (json.data, json.len, 0, NULL) : NULL;
  list->rows = g_array_new (FALSE, TRUE, sizeof (struct mt_planner_instance));
  list->gone = g_hash_table_new (g_str_hash, g_str_equal);
  rows = json_object_get (list->root, "instances");
  for (size_t i = 0; i < json_array_size (rows); i++)
    add_row (list, json_array_get (rows, i));
  g_array_sort (list->rows, compare_names);
  return list;
}

void
mt_instances_destroy (struct mt_instances *list)
{
  if (list == NULL)
    return;
  g_hash_table_destroy (list->gone);
  g_array_free (list->rows, TRUE);
  json_decref (list->root);
  g_free (list);
}

const struct mt_planner_instance *
mt_instances_all (const struct mt_instances *list, size_t *n)
{
  *n = list->rows->len;
  return (const void *) list->rows->data;
}

const struct mt_planner_instance *
mt_instances_find (const struct mt_instances *list, const char *name)
{
  struct mt_planner_instance key = { .name = name };

  if (list->rows->len == 0)
    return NULL;
  return bsearch (&key, list->rows->data, list->rows->len, sizeof key, compare_names);
}

bool
mt_instances_is_gone (const struct mt_instances *list, const char *name)
{
  return g_hash_table_contains (list->gone, name);
}
