/* What the commands share: reading files and the accepted tables, telling results and errors. */
#ifndef MT_REPORT_H
#define MT_REPORT_H

#include "commands.h"
#include "medlartrack/tables.h"

#include <jansson.h>

/* What the platform holds. */
struct mt_accepted
{
  struct mt_store_value value;
  struct mt_tables *tables; /* NULL where there are none, or they can't be read */
  GError *why_unreadable;   /* set where a value is there that can't be read */
};

/* False where the platform does not answer. */
bool mt_accepted_read (const struct mt_store *store, struct mt_accepted *accepted, GError **error);
void mt_accepted_clear (struct mt_accepted *accepted);

/* Tells the error on both streams; returns the code. error may be NULL. */
int mt_report_error (const struct mt_command_context *context, const GError *error, int code);
/* Prints one line of JSON; takes root over. */
void mt_report_json (const struct mt_command_context *context, json_t *root);
/* JSON text, which is freed, as a value; null for NULL. */
json_t *mt_report_parse (char *text);
json_t *mt_report_warnings (const struct mt_tables *tables);

/* Reads and checks a file, "-" for standard input. On failure it has told why and set the code. */
struct mt_tables *
mt_report_load (const struct mt_command_context *context, const char *path, int *code);

#endif
