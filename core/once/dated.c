#include "medlartrack/once.h"

#include <stdio.h>
#include <string.h>

#define DATE_PATTERN "ddddddddTddddddZ-"

bool
mt_once_key_date (struct mt_str key, int64_t *wall_us)
{
  const char *pattern = DATE_PATTERN;
  int parts[6];
  g_autoptr (GDateTime) date = NULL;
  char text[sizeof DATE_PATTERN];

  if (key.len < strlen (pattern))
    return false;
  for (size_t i = 0; pattern[i] != '\0'; i++)
    if (pattern[i] == 'd' ? !g_ascii_isdigit (key.data[i]) : key.data[i] != pattern[i])
      return false;
  memcpy (text, key.data, sizeof text - 1);
  text[sizeof text - 1] = '\0';
  if (sscanf (text, "%4d%2d%2dT%2d%2d%2dZ", &parts[0], &parts[1], &parts[2], &parts[3], &parts[4],
              &parts[5])
      != 6)
    return false;
  date = g_date_time_new_utc (parts[0], parts[1], parts[2], parts[3], parts[4], parts[5]);
  if (date == NULL)
    return false;
  *wall_us = g_date_time_to_unix (date) * MT_SECOND;
  return true;
}

/* A claim is trimmed retention_us + 4 clock skews after it was written, by its writer's clock, and
 * it is written no earlier than one skew before the key's date (a later date is refused here). So
 * as long as this daemon's clock, off by one skew at most, is before date + retention_us, the claim
 * is in the log. */
bool
mt_once_date_expired (int64_t date_us, int64_t wall_us, int64_t retention_us)
{
  return wall_us >= date_us + retention_us || date_us > wall_us + MT_ONCE_MAX_CLOCK_SKEW_US;
}
