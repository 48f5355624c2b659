#include "medlartrack/settings.h"

#include "settings_internal.h"

#include <talloc.h>

#define MAX_PEERS 64 /* a few are enough to find the others */

static const char *const log_choices[] = { "human", "json", NULL };
static const char *const log_level_choices[] = { "debug", "info", "warning", "error", NULL };

static const struct mt_field settings_fields[] = {
  { "name", MT_FIELD_TEXT, offsetof (struct mt_settings, name), .required = true,
    .form = &mt_text_format_name },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_settings, zone), .required = true,
    .form = &mt_text_format_name },
  { "listen", MT_FIELD_TEXT, offsetof (struct mt_settings, listen), .required = true,
    .form = &mt_text_format_listen },
  { "peer_listen", MT_FIELD_TEXT, offsetof (struct mt_settings, peer_listen), .required = true,
    .form = &mt_text_format_listen },
  { "platform", MT_FIELD_TEXT, offsetof (struct mt_settings, platform), .required = true,
    .form = &mt_text_format_address },
  { "workers", MT_FIELD_TEXT, offsetof (struct mt_settings, workers),
    .form = &mt_text_format_address },
  { "log", MT_FIELD_CHOICE, offsetof (struct mt_settings, log), .choices = log_choices },
  { "log_level", MT_FIELD_CHOICE, offsetof (struct mt_settings, log_level), .fallback = 1,
    .choices = log_level_choices },
  { NULL },
};

static const struct mt_field limit_fields[] = {
  { "connections", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, connections), .min = 1,
    .max = 20000, .fallback = 1024 },
  { "idle_s", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, idle_s), .min = 1, .max = 3600,
    .fallback = 30 },
  { "body_bytes", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, body_bytes), .min = 0,
    .max = 64e6, .fallback = 1e6 },
  { "answer_bytes", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, answer_bytes), .min = 1,
    .max = 64e6, .fallback = 4e6 },
  { "platform_ms", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, platform_ms), .min = 10,
    .max = 60000, .fallback = 1000 },
  { "stop_linger_ms", MT_FIELD_COUNT, offsetof (struct mt_settings_limits, stop_linger_ms),
    .min = 0, .max = 60000, .fallback = 500 },
  { NULL },
};

static bool
read_peer (struct mt_settings *settings,
           size_t index,
           const json_t *peer,
           struct mt_field_location location,
           GError **error)
{
  struct mt_str text = { json_string_value (peer), json_string_length (peer) };

  if (!json_is_string (peer) || !mt_text_format_address.accepts (text))
    return mt_fields_refuse (error, location, "peers", peer, mt_text_format_address.remedy);
  for (size_t i = 0; i < index; i++)
    if (mt_str_equal (settings->peers[i], text))
      return mt_fields_refuse (error, location, "peers", peer, "it is listed twice; remove one");
  settings->peers[index].data = talloc_strndup (settings, text.data, text.len);
  settings->peers[index].len = text.len;
  return true;
}

static bool
read_peers (struct mt_settings *settings,
            const json_t *list,
            struct mt_field_location location,
            GError **error)
{
  if (list == NULL)
    return true;
  if (!json_is_array (list) || json_array_size (list) > MAX_PEERS)
    return mt_fields_refuse (error, location, "peers", list,
                             "write a list of at most 64 texts \"IP:PORT\"");
  settings->n_peers = json_array_size (list);
  settings->peers = talloc_zero_array (settings, struct mt_str, settings->n_peers);
  for (size_t i = 0; i < settings->n_peers; i++)
    if (!read_peer (settings, i, json_array_get (list, i), location, error))
      return false;
  return true;
}

/* Callers and peers use different protocols, so one port can't serve both. */
static bool
check_listeners (const struct mt_settings *settings,
                 struct mt_field_location location,
                 GError **error)
{
  json_t *found;

  if (!mt_str_equal (settings->listen, settings->peer_listen)
      || g_str_has_suffix (settings->listen.data, ":0"))
    return true;
  found = json_stringn (settings->peer_listen.data, settings->peer_listen.len);
  mt_fields_refuse (error, location, "peer_listen", found,
                    "listen has the same address; write another port");
  json_decref (found);
  return false;
}

static bool
read_settings (struct mt_settings *settings, const json_t *root, GError **error)
{
  static const char *const nested[] = { "peers", "limits", NULL };
  struct mt_field_location location = { MT_ERROR_SETTINGS, "settings" };
  struct mt_field_location limits_location = { MT_ERROR_SETTINGS, "settings, limits" };
  json_t *limits = json_object_get (root, "limits");
  json_t *empty = json_object ();
  bool ok = mt_fields_read (settings, settings, root, settings_fields, nested, location, error)
            && read_peers (settings, json_object_get (root, "peers"), location, error)
            && mt_fields_read (settings, &settings->limits, limits != NULL ? limits : empty,
                               limit_fields, NULL, limits_location, error)
            && check_listeners (settings, location, error);

  json_decref (empty);
  return ok;
}

const struct mt_field *
mt_settings_fields (const char *section)
{
  return section != NULL ? limit_fields : settings_fields;
}

struct mt_settings *
mt_settings_parse (struct mt_str json, GError **error)
{
  struct mt_field_location location = { MT_ERROR_SETTINGS, "settings" };
  json_t *root = mt_fields_load (json, location, error);
  struct mt_settings *settings;
  bool ok;

  if (root == NULL)
    return NULL;
  settings = talloc_zero (NULL, struct mt_settings);
  ok = read_settings (settings, root, error);
  json_decref (root);
  if (ok)
    return settings;
  talloc_free (settings);
  return NULL;
}

void
mt_settings_destroy (struct mt_settings *settings)
{
  talloc_free (settings);
}
