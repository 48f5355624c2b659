/* For the test that compares docs/operators.md with the settings. */
#ifndef MEDLARTRACK_SETTINGS_INTERNAL_H
#define MEDLARTRACK_SETTINGS_INTERNAL_H

#include "fields.h"

/* Returns the top-level keys for NULL, the keys of "limits" for any other section. */
const struct mt_field *mt_settings_fields (const char *section);

#endif
