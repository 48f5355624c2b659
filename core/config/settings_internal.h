/* For the test that holds docs/operators.md to the keys. */
#ifndef MEDLARTRACK_SETTINGS_INTERNAL_H
#define MEDLARTRACK_SETTINGS_INTERNAL_H

#include "fields.h"

/* The keys of the settings, or with "limits" of that section. */
const struct mt_field *mt_settings_fields (const char *section);

#endif
