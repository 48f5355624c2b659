/* Reads and writes JSON objects by a declarative list of fields: name, kind, place in a struct,
 * range, default. Tables and settings are both read this way, so that an unknown key, a wrong type
 * and a value out of range get the same kind of answer everywhere. */
#ifndef MEDLARTRACK_FIELDS_H
#define MEDLARTRACK_FIELDS_H

#include "forms.h"
#include "medlartrack/error.h"

#include <jansson.h>

enum mt_field_kind
{
  MT_FIELD_TEXT,   /* struct mt_str */
  MT_FIELD_COUNT,  /* unsigned */
  MT_FIELD_WEIGHT, /* double */
  MT_FIELD_FLAG,   /* bool */
  MT_FIELD_CHOICE, /* an enum (int) that counts up from 0 in the order of choices */
};

struct mt_field
{
  const char *name;
  enum mt_field_kind kind;
  size_t offset;
  bool required;
  double min, max;                   /* of counts and weights */
  double fallback;                   /* of counts, weights and choices */
  const char *text;                  /* fallback of texts */
  const char *const *choices;        /* ends with NULL */
  const struct mt_text_format *form; /* of texts; NULL for any printable line */
};

/* Where an object stands, for messages: "table pools, row \"x\"" or "settings". */
struct mt_field_location
{
  enum mt_error code;
  const char *where;
};

/* Fills the struct at row; texts are allocated under owner (talloc). Keys in nested are left to the
 * caller; any other key that no field names is refused. fields ends with a NULL name. */
bool mt_fields_read (const void *owner,
                     void *row,
                     const json_t *object,
                     const struct mt_field *fields,
                     const char *const *nested,
                     struct mt_field_location place,
                     GError **error);
json_t *mt_fields_write (const void *row, const struct mt_field *fields);

/* Sets an error that names place, key, the value found and the remedy; always false. */
bool mt_fields_refuse (GError **error,
                       struct mt_field_location place,
                       const char *key,
                       const json_t *found,
                       const char *remedy);

/* Parses a text that must be one JSON object without duplicate keys. */
json_t *mt_fields_load (struct mt_str json, struct mt_field_location place, GError **error);

#endif
