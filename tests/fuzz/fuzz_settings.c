/* Any text is rejected with an error, or gives settings whose values are within their ranges. */
#include "fuzz.h"

#include "medlartrack/settings.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  struct mt_settings *settings
      = mt_settings_parse ((struct mt_str){ (const char *) data, size }, &error);

  g_assert ((settings == NULL) == (error != NULL));
  if (settings == NULL)
    {
      g_assert (g_utf8_validate (error->message, -1, NULL));
      return 0;
    }
  g_assert (settings->name.len > 0 && settings->zone.len > 0 && settings->platform.len > 0);
  g_assert (settings->limits.connections >= 1 && settings->limits.connections <= 20000);
  g_assert (settings->log_level >= MT_LOG_DEBUG && settings->log_level <= MT_LOG_ERROR);
  mt_settings_destroy (settings);
  return 0;
}
