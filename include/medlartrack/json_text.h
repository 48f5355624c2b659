/* Strings in JSON text that is written directly, where building a tree of values would cost too
 * much under load. Pure functions; any thread. */
#ifndef MEDLARTRACK_JSON_TEXT_H
#define MEDLARTRACK_JSON_TEXT_H

#include <glib.h>

/* Appends text as a quoted JSON string; NULL counts as "". text must be valid UTF-8, as all text
 * read from JSON is. */
void mt_json_append_string (GString *out, const char *text);

#endif
