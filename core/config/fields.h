/* Reads and writes JSON objects by a declarative list of fields: name, kind, offset in a struct,
 * range and default. Tables and settings both use it, so that unknown keys, wrong types and values
 * out of range are reported in the same way everywhere. */
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
  MT_FIELD_CHOICE, /* enum stored as int, from 0 in the order of choices */
};

struct mt_field
{
  const char *name;
  enum mt_field_kind kind;
  size_t offset;
  bool required;
  double min, max;                   /* range of counts and weights */
  double fallback;                   /* default of counts, weights and choices */
  const char *text;                  /* default of texts */
  const char *const *choices;        /* ends with NULL */
  const struct mt_text_format *form; /* of texts; NULL for mt_text_format_line */
};

/* Error code and location of an object for messages, for instance "table pools, row "x"" or
 * "settings". */
struct mt_field_location
{
  enum mt_error code;
  const char *where;
};

/* Fills the struct at row from object. Texts are allocated under owner (talloc). Keys in nested
 * (NULL-terminated, may be NULL) are left to the caller; any other key without a field is an error.
 * fields ends with an entry whose name is NULL. */
bool mt_fields_read (const void *owner,
                     void *row,
                     const json_t *object,
                     const struct mt_field *fields,
                     const char *const *nested,
                     struct mt_field_location location,
                     GError **error);
json_t *mt_fields_write (const void *row, const struct mt_field *fields);

/* Sets an error that names location, key, the value found and the remedy; always returns false. */
bool mt_fields_refuse (GError **error,
                       struct mt_field_location location,
                       const char *key,
                       const json_t *found,
                       const char *remedy);

/* Parses JSON text without duplicate keys; NULL with MT_ERROR_SYNTAX otherwise. The caller owns the
 * reference. */
json_t *mt_fields_load (struct mt_str json, struct mt_field_location location, GError **error);

#endif
