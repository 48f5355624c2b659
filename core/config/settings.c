#include "medlartrack/settings.h"

#include "fields.h"

#include <talloc.h>

static const char *const log_choices[] = { "human", "json", NULL };

static const struct mt_field settings_fields[] = {
  { "name", MT_FIELD_TEXT, offsetof (struct mt_settings, name), .required = true },
  { "zone", MT_FIELD_TEXT, offsetof (struct mt_settings, zone), .required = true },
  { "listen", MT_FIELD_TEXT, offsetof (struct mt_settings, listen), .required = true },
  { "peer_listen", MT_FIELD_TEXT, offsetof (struct mt_settings, peer_listen), .required = true },
  { "platform", MT_FIELD_TEXT, offsetof (struct mt_settings, platform), .required = true },
  { "log", MT_FIELD_CHOICE, offsetof (struct mt_settings, log), .choices = log_choices },
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
read_peers (struct mt_settings *settings,
            const json_t *list,
            struct mt_field_place place,
            GError **error)
{
  if (list == NULL)
    return true;
  if (!json_is_array (list))
    return mt_fields_refuse (error, place, "peers", list, "write a list of \"IP:PORT\"");
  settings->n_peers = json_array_size (list);
  settings->peers = talloc_zero_array (settings, struct mt_str, settings->n_peers);
  for (size_t i = 0; i < settings->n_peers; i++)
    {
      const json_t *peer = json_array_get (list, i);

      if (!json_is_string (peer))
        return mt_fields_refuse (error, place, "peers", peer, "write \"IP:PORT\"");
      settings->peers[i].len = json_string_length (peer);
      settings->peers[i].data
          = talloc_strndup (settings, json_string_value (peer), settings->peers[i].len);
    }
  return true;
}

static bool
read_settings (struct mt_settings *settings, const json_t *root, GError **error)
{
  static const char *const nested[] = { "peers", "limits", NULL };
  struct mt_field_place place = { MT_ERROR_SETTINGS, "settings" };
  struct mt_field_place inner = { MT_ERROR_SETTINGS, "settings, limits" };
  json_t *limits = json_object_get (root, "limits");
  json_t *none = json_object ();
  bool ok = mt_fields_read (settings, settings, root, settings_fields, nested, place, error)
            && read_peers (settings, json_object_get (root, "peers"), place, error)
            && mt_fields_read (settings, &settings->limits, limits != NULL ? limits : none,
                               limit_fields, NULL, inner, error);

  json_decref (none);
  return ok;
}

struct mt_settings *
mt_settings_parse (struct mt_str json, GError **error)
{
  struct mt_field_place place = { MT_ERROR_SETTINGS, "settings" };
  json_t *root = mt_fields_load (json, place, error);
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
