/* Text inside JSON that is written by hand, where a tree of values would cost a surge too much.
 * Pure, any thread. */
#ifndef MEDLARTRACK_JSON_TEXT_H
#define MEDLARTRACK_JSON_TEXT_H

#include <glib.h>

/* Appends text in quotes. It must be UTF-8, as all is that was read from JSON; NULL is "". */
void mt_json_append_string (GString *out, const char *text);

#endif
