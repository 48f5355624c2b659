/* Formats of text fields: a check, and the remedy for the error message if it fails. */
#ifndef MEDLARTRACK_FORMS_H
#define MEDLARTRACK_FORMS_H

#include "medlartrack/str.h"

struct mt_text_format
{
  const char *name;
  const char *remedy;
  bool (*accepts) (struct mt_str text);
};

extern const struct mt_text_format mt_text_format_line;    /* one line without control characters */
extern const struct mt_text_format mt_text_format_name;    /* valid in a store key */
extern const struct mt_text_format mt_text_format_address; /* numeric IP:PORT, port 1 to 65535 */
extern const struct mt_text_format mt_text_format_listen;  /* numeric IP:PORT, port 0: any free */
extern const struct mt_text_format mt_text_format_method;  /* HTTP method or "*" */
extern const struct mt_text_format mt_text_format_header;  /* HTTP header name */
extern const struct mt_text_format mt_text_format_path;    /* path of a URL, without query */

#endif
