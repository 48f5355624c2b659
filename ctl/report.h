/* Shared by the commands: reads table files and the accepted tables, prints results and errors. */
#ifndef MT_REPORT_H
#define MT_REPORT_H

#include "commands.h"
#include "medlartrack/tables.h"

#include <jansson.h>

/* The tables as the platform stores them. */
struct mt_accepted
{
  struct mt_store_value value;
  struct mt_tables *tables; /* NULL if none are stored or the stored value can't be parsed */
  GError *parse_error;      /* set if a stored value can't be parsed */
};

/* Reads the accepted tables from the platform. Returns false with an error if it does not answer.
 */
bool mt_accepted_read (const struct mt_store *store, struct mt_accepted *accepted, GError **error);
void mt_accepted_clear (struct mt_accepted *accepted);

/* Prints the error to `err` and, as JSON, to `out`. Returns code. */
int mt_report_error (const struct mt_command_context *context, const GError *error, int code);
/* Prints root as one line of JSON and takes ownership of it. */
void mt_report_json (const struct mt_command_context *context, json_t *root);
/* Parses JSON text and frees it. Returns JSON null for NULL or invalid text. */
json_t *mt_report_parse_json (char *text);
json_t *mt_report_warnings (const struct mt_tables *tables);

/* Reads and checks a table file, "-" for standard input. On failure prints the error, sets *code
 * and returns NULL. */
struct mt_tables *
mt_report_load_tables (const struct mt_command_context *context, const char *path, int *code);

#endif
