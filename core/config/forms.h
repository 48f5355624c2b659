/* What a text column may look like: one check and the remedy that its refusal names. */
#ifndef MEDLARTRACK_FORMS_H
#define MEDLARTRACK_FORMS_H

#include "medlartrack/str.h"

struct mt_text_format
{
  const char *name;
  const char *remedy;
  bool (*accepts) (struct mt_str text);
};

extern const struct mt_text_format mt_text_format_line; /* printable, one line */
extern const struct mt_text_format
    mt_text_format_name; /* fit for a key of the platform's service */
extern const struct mt_text_format mt_text_format_address; /* IP:PORT by number, port 1 to 65535 */
extern const struct mt_text_format
    mt_text_format_listen; /* the same, port 0 chosen by the system */
extern const struct mt_text_format mt_text_format_method; /* HTTP method or "*" */
extern const struct mt_text_format mt_text_format_header; /* HTTP header name */
extern const struct mt_text_format mt_text_format_path;   /* path of a URL, without query */

#endif
