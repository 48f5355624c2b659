#include "dump.h"

#include <glib.h>
#include <stdlib.h>

char *
mt_dump_text (const struct mt_dump_section *sections, void *ctx)
{
  json_t *root = json_object ();
  char *text;
  char *copy;

  for (const struct mt_dump_section *s = sections; s->name != NULL; s++)
    {
      json_t *value = s->show (ctx);

      if (value != NULL)
        json_object_set_new (root, s->name, value);
    }
  text = json_dumps (root, JSON_INDENT (2));
  copy = g_strdup (text);
  free (text);
  json_decref (root);
  return copy;
}
