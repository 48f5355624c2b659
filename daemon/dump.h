/* The state dump: one JSON object with a member for each section. Each part of the daemon has its
 * section in the table in daemon.c. Any thread may call. */
#ifndef MT_DUMP_H
#define MT_DUMP_H

#include <jansson.h>

struct mt_dump_section
{
  const char *name; /* of the member of the JSON object */
  const char *description;
  /* Returns the section's value; NULL omits the section. */
  json_t *(*show) (void *ctx);
};

/* sections ends with an entry whose name is NULL. Returns the text, to be freed with g_free. */
char *mt_dump_text (const struct mt_dump_section *sections, void *ctx);

#endif
