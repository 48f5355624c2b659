#include "fields.h"

#include "nearest.h"

#include <string.h>
#include <talloc.h>

#define MAX_TEXT_BYTES  200
#define MAX_SHOWN_BYTES 80

bool
mt_fields_refuse (GError **error,
                  struct mt_field_location location,
                  const char *key,
                  const json_t *found,
                  const char *remedy)
{
  char *text = found != NULL ? json_dumps (found, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  g_autofree char *shown = g_strndup (text != NULL ? text : "nothing", MAX_SHOWN_BYTES);
  /* The value and the location may have been cut within a UTF-8 character; jansson, for one, can't
   * print such a message. */
  g_autofree char *valid = g_utf8_make_valid (shown, -1);
  g_autofree char *where = g_utf8_make_valid (location.where, -1);

  free (text);
  g_set_error (error, MT_ERROR, (gint) location.code, "%s, %s: found %s; %s", where, key, valid,
               remedy);
  return false;
}

static bool
read_text (const void *owner,
           const json_t *value,
           const struct mt_field *field,
           struct mt_field_location location,
           struct mt_str *out,
           GError **error)
{
  const struct mt_text_format *form = field->form != NULL ? field->form : &mt_text_format_line;
  size_t len = json_string_length (value);

  if (value == NULL)
    {
      *out = mt_str_from (field->text != NULL ? field->text : "");
      return true;
    }
  if (!json_is_string (value) || len == 0 || len > MAX_TEXT_BYTES)
    return mt_fields_refuse (error, location, field->name, value, "write a text of 1 to 200 bytes");
  if (strlen (json_string_value (value)) != len)
    return mt_fields_refuse (error, location, field->name, value, "remove the NUL byte");
  if (!form->accepts ((struct mt_str){ json_string_value (value), len }))
    return mt_fields_refuse (error, location, field->name, value, form->remedy);
  out->data = talloc_strndup (owner, json_string_value (value), len);
  out->len = len;
  return true;
}

static bool
read_number (const json_t *value,
             const struct mt_field *field,
             struct mt_field_location location,
             double *out,
             GError **error)
{
  bool whole = field->kind == MT_FIELD_COUNT;
  bool valid_type = whole ? json_is_integer (value) : json_is_number (value);
  g_autofree char *remedy = NULL;

  *out = value != NULL ? json_number_value (value) : field->fallback;
  if (value == NULL || (valid_type && *out >= field->min && *out <= field->max))
    return true;
  remedy = g_strdup_printf ("write a %s from %.10g to %.10g", whole ? "whole number" : "number",
                            field->min, field->max);
  return mt_fields_refuse (error, location, field->name, value, remedy);
}

static bool
read_choice (const json_t *value,
             const struct mt_field *field,
             struct mt_field_location location,
             int *out,
             GError **error)
{
  g_autofree char *all = NULL;
  g_autofree char *remedy = NULL;

  *out = (int) field->fallback;
  if (value == NULL)
    return true;
  for (int i = 0; json_is_string (value) && field->choices[i] != NULL; i++)
    if (strcmp (field->choices[i], json_string_value (value)) == 0)
      {
        *out = i;
        return true;
      }
  all = g_strjoinv ("\", \"", (gchar **) field->choices);
  remedy = g_strdup_printf ("write one of \"%s\"", all);
  return mt_fields_refuse (error, location, field->name, value, remedy);
}

static bool
read_field (const void *owner,
            void *row,
            const json_t *value,
            const struct mt_field *field,
            struct mt_field_location location,
            GError **error)
{
  void *at = (char *) row + field->offset;
  double number;

  if (value == NULL && field->required)
    return mt_fields_refuse (error, location, field->name, NULL, "it is required");
  switch (field->kind)
    {
    case MT_FIELD_TEXT:
      return read_text (owner, value, field, location, at, error);
    case MT_FIELD_COUNT:
      if (!read_number (value, field, location, &number, error))
        return false;
      *(unsigned *) at = (unsigned) number;
      return true;
    case MT_FIELD_WEIGHT:
      return read_number (value, field, location, at, error);
    case MT_FIELD_FLAG:
      if (value != NULL && !json_is_boolean (value))
        return mt_fields_refuse (error, location, field->name, value, "write true or false");
      *(bool *) at = json_is_true (value);
      return true;
    case MT_FIELD_CHOICE:
      return read_choice (value, field, location, at, error);
    }
  return false;
}

static bool
is_known (const struct mt_field *fields, const char *const *nested, const char *name)
{
  for (; fields->name != NULL; fields++)
    if (strcmp (fields->name, name) == 0)
      return true;
  return nested != NULL && g_strv_contains (nested, name);
}

static bool
refuse_unknown_key (GError **error,
                    struct mt_field_location location,
                    const struct mt_field *fields,
                    const char *const *nested,
                    const char *name,
                    const json_t *found)
{
  struct mt_suggestion nearest;
  g_autofree char *remedy = NULL;

  mt_suggestion_init (&nearest, mt_str_from (name));
  for (; fields->name != NULL; fields++)
    mt_suggestion_try (&nearest, mt_str_from (fields->name));
  for (; nested != NULL && *nested != NULL; nested++)
    mt_suggestion_try (&nearest, mt_str_from (*nested));
  if (nearest.best.data != NULL)
    remedy = g_strdup_printf ("no such key; did you mean \"%s\"?", nearest.best.data);
  return mt_fields_refuse (error, location, name, found,
                           remedy != NULL ? remedy : "no such key; remove it");
}

bool
mt_fields_read (const void *owner,
                void *row,
                const json_t *object,
                const struct mt_field *fields,
                const char *const *nested,
                struct mt_field_location location,
                GError **error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    return mt_fields_refuse (error, location, "(whole)", object, "write an object");
  json_object_foreach ((json_t *) object, name, value)
  {
    if (!is_known (fields, nested, name))
      return refuse_unknown_key (error, location, fields, nested, name, value);
  }
  for (const struct mt_field *f = fields; f->name != NULL; f++)
    if (!read_field (owner, row, json_object_get (object, f->name), f, location, error))
      return false;
  return true;
}

static json_t *
write_field (const void *at, const struct mt_field *field)
{
  const struct mt_str *text = at;

  switch (field->kind)
    {
    case MT_FIELD_TEXT:
      return json_stringn (text->data, text->len);
    case MT_FIELD_COUNT:
      return json_integer (*(const unsigned *) at);
    case MT_FIELD_WEIGHT:
      return json_real (*(const double *) at);
    case MT_FIELD_FLAG:
      return json_boolean (*(const bool *) at);
    case MT_FIELD_CHOICE:
      return json_string (field->choices[*(const int *) at]);
    }
  return json_null ();
}

json_t *
mt_fields_write (const void *row, const struct mt_field *fields)
{
  json_t *out = json_object ();

  for (const struct mt_field *f = fields; f->name != NULL; f++)
    {
      const struct mt_str *text = (const void *) ((const char *) row + f->offset);

      /* An empty text is left out: reading it back would fail, while an absent one is read as
       * empty. */
      if (f->kind == MT_FIELD_TEXT && text->len == 0)
        continue;
      json_object_set_new (out, f->name, write_field (text, f));
    }
  return out;
}

json_t *
mt_fields_load (struct mt_str json, struct mt_field_location location, GError **error)
{
  json_error_t at;
  json_t *root = json_loadb (json.data, json.len, JSON_REJECT_DUPLICATES, &at);

  g_autofree char *text = NULL;

  if (root != NULL)
    return root;
  /* jansson quotes the text near the error, cut at any byte. */
  text = g_utf8_make_valid (at.text, -1);
  g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX, "%s, line %d, column %d: %s; fix the JSON there",
               location.where, at.line, at.column, text);
  return NULL;
}
