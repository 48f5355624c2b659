#include "platform_instances.h"

#include <stdlib.h>
#include <string.h>

#define REBOOT_MS 200

struct instance
{
  char *state;
  json_int_t boot;      /* counts boots */
  json_int_t epoch;     /* of the newest reboot order */
  gint64 reboot_end_us; /* 0: no reboot in progress */
};

struct platform_instances
{
  GTree *by_name;
  json_int_t reboot_ms;
};

static void
free_instance (gpointer data)
{
  struct instance *instance = data;

  g_free (instance->state);
  g_free (instance);
}

static int
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

struct platform_instances *
platform_instances_create (void)
{
  struct platform_instances *instances = g_new0 (struct platform_instances, 1);

  instances->by_name = g_tree_new_full (compare, NULL, g_free, free_instance);
  instances->reboot_ms = REBOOT_MS;
  return instances;
}

static struct instance *
find_or_add (struct platform_instances *instances, const char *name)
{
  struct instance *instance = g_tree_lookup (instances->by_name, name);

  if (instance != NULL)
    return instance;
  instance = g_new0 (struct instance, 1);
  instance->state = g_strdup ("live");
  instance->boot = 1;
  g_tree_insert (instances->by_name, g_strdup (name), instance);
  return instance;
}

static void
set_state (struct instance *instance, const char *state)
{
  g_free (instance->state);
  instance->state = g_strdup (state);
}

static void
end_reboot (struct instance *instance, gint64 now_us)
{
  if (instance->reboot_end_us == 0 || now_us < instance->reboot_end_us)
    return;
  instance->reboot_end_us = 0;
  instance->boot++;
  set_state (instance, "live");
}

void
platform_instances_set (struct platform_instances *instances, const json_t *body, gint64 now_us)
{
  const json_t *reboot_ms = json_object_get (body, "reboot_ms");
  const char *name = json_string_value (json_object_get (body, "name"));
  const char *state = json_string_value (json_object_get (body, "state"));
  struct instance *instance;

  if (reboot_ms != NULL)
    instances->reboot_ms = json_integer_value (reboot_ms);
  if (name == NULL || state == NULL)
    return;
  instance = find_or_add (instances, name);
  end_reboot (instance, now_us);
  if (strcmp (state, "live") == 0 && strcmp (instance->state, "live") != 0)
    instance->boot++;
  set_state (instance, state);
}

bool
platform_instances_reboot (struct platform_instances *instances,
                           const char *name,
                           guint64 epoch,
                           gint64 now_us)
{
  struct instance *instance = find_or_add (instances, name);

  if ((json_int_t) epoch <= instance->epoch)
    return false;
  instance->epoch = (json_int_t) epoch;
  set_state (instance, "down");
  instance->reboot_end_us = now_us + instances->reboot_ms * 1000;
  return true;
}

struct rendering
{
  json_t *rows;
  gint64 now_us;
};

static gboolean
render (gpointer name, gpointer value, gpointer data)
{
  struct rendering *rendering = data;
  struct instance *instance = value;

  end_reboot (instance, rendering->now_us);
  json_array_append_new (rendering->rows,
                         json_pack ("{ss ss sI sI}", "name", name, "state", instance->state, "boot",
                                    instance->boot, "epoch", instance->epoch));
  return FALSE;
}

char *
platform_instances_text (struct platform_instances *instances, gint64 now_us)
{
  struct rendering rendering = { json_array (), now_us };
  json_t *root;
  char *text;
  char *copy;

  g_tree_foreach (instances->by_name, render, &rendering);
  root = json_pack ("{so}", "instances", rendering.rows);
  text = json_array_size (rendering.rows) > 0 ? json_dumps (root, JSON_COMPACT) : NULL;
  json_decref (root);
  copy = g_strdup (text);
  free (text);
  return copy;
}
