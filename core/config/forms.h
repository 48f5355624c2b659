/* What a text column may look like: one check and the remedy that its refusal names. */
#ifndef MEDLARTRACK_FORMS_H
#define MEDLARTRACK_FORMS_H

#include "medlartrack/str.h"

struct mt_form
{
  const char *name;
  const char *remedy;
  bool (*accepts) (struct mt_str text);
};

extern const struct mt_form mt_form_text;    /* printable, one line */
extern const struct mt_form mt_form_name;    /* fit for a key of the platform's service */
extern const struct mt_form mt_form_address; /* IP:PORT by number, port 1 to 65535 */
extern const struct mt_form mt_form_listen;  /* the same, port 0 chosen by the system */
extern const struct mt_form mt_form_method;  /* HTTP method or "*" */
extern const struct mt_form mt_form_header;  /* HTTP header name */
extern const struct mt_form mt_form_path;    /* path of a URL, without query */

#endif
