/* The state dump: one JSON object, put together from sections. Each part of the daemon adds its own
 * to the table in daemon.c; any thread may ask for the text. */
#ifndef MT_DUMP_H
#define MT_DUMP_H

#include <jansson.h>

struct mt_dump_section
{
  const char *name; /* of the member that it fills */
  const char *description;
  /* Its value; NULL leaves it out. */
  json_t *(*show) (void *ctx);
};

/* Ended by a section without a name. The text is g_freed by the caller. */
char *mt_dump_text (const struct mt_dump_section *sections, void *ctx);

#endif
