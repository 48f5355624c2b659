/* Shared between the modules that read, check and write tables. */
#ifndef MEDLARTRACK_TABLES_INTERNAL_H
#define MEDLARTRACK_TABLES_INTERNAL_H

#include "medlartrack/tables.h"

#include <jansson.h>

/* Reads the JSON into tables, whose owner is the caller. */
bool mt_tables_read (struct mt_tables *tables, struct mt_str json, GError **error);
/* Checks what one row alone can't tell: names, references, sums. */
bool mt_tables_check (const struct mt_tables *tables, GError **error);

#endif
