#include "settings.h"

#include "fields.h"
#include "medlartrack/scheduler.h"

#include <stddef.h>
#include <talloc.h>

#define FIELD(member) offsetof (struct mt_fleet_settings, member)
#define BOUND(member) offsetof (struct mt_fleet_bounds, member)

static bool
accepts_share_policy (struct mt_str text)
{
  return mt_share_policy_find (text) != NULL;
}

static const struct mt_text_format share_policy_format
    = { "share policy", "write none, floor or deficit", accepts_share_policy };

/* In the order of mt_forecast_method_at. */
static const char *const forecast_methods[] = { "none", "onset", "cycle", "successor", NULL };

static const struct mt_field top_fields[] = {
  { "name", MT_FIELD_TEXT, FIELD (name), .required = true, .form = &mt_text_format_name },
  { "zone", MT_FIELD_TEXT, FIELD (zone), .required = true, .form = &mt_text_format_name },
  { "listen", MT_FIELD_TEXT, FIELD (listen), .required = true, .form = &mt_text_format_listen },
  { "ready_listen", MT_FIELD_TEXT, FIELD (ready_listen), .required = true,
    .form = &mt_text_format_listen },
  { "ip", MT_FIELD_TEXT, FIELD (ip), .required = true },
  { "peer_port", MT_FIELD_COUNT, FIELD (peer_port), .required = true, .max = 65535 },
  { "metrics_port", MT_FIELD_COUNT, FIELD (metrics_port), .max = 65535 },
  { "store", MT_FIELD_TEXT, FIELD (store), .required = true, .form = &mt_text_format_address },
  { "machines", MT_FIELD_TEXT, FIELD (machines), .form = &mt_text_format_address },
  { "advisor", MT_FIELD_TEXT, FIELD (advisor), .form = &mt_text_format_address },
  { "cores", MT_FIELD_WEIGHT, FIELD (cores), .min = 0.01, .max = 1024, .fallback = 1 },
  { "link_mbps", MT_FIELD_WEIGHT, FIELD (link_mbps), .max = 1e6 },
  { "connections", MT_FIELD_COUNT, FIELD (connections), .min = 1, .max = 20000, .fallback = 2000 },
  { "idle_s", MT_FIELD_COUNT, FIELD (idle_s), .min = 1, .max = 3600, .fallback = 30 },
  { "store_wait", MT_FIELD_FLAG, FIELD (store_wait) },
  { "body_bytes", MT_FIELD_COUNT, FIELD (body_bytes), .min = 1, .max = 64e6, .fallback = 262144 },
  { "second_tries", MT_FIELD_FLAG, FIELD (second_tries) },
  { "worker_speed", MT_FIELD_FLAG, FIELD (worker_speed) },
  { "share_policy", MT_FIELD_TEXT, FIELD (share_policy), .text = "floor",
    .form = &share_policy_format },
  { "forecast", MT_FIELD_CHOICE, FIELD (forecast), .choices = forecast_methods },
  { "idle_cost", MT_FIELD_WEIGHT, FIELD (idle_cost), .max = 1, .fallback = 0.1 },
  { NULL },
};

static const struct mt_field bound_fields[] = {
  { "max_hold_ms", MT_FIELD_COUNT, BOUND (max_hold_ms), .min = 500, .max = 600000,
    .fallback = 6000 },
  { "remote_factor", MT_FIELD_WEIGHT, BOUND (remote_factor), .min = 1, .max = 100, .fallback = 2 },
  { "status_s", MT_FIELD_WEIGHT, BOUND (status_s), .min = 1, .max = 86400, .fallback = 120 },
  { "grace_s", MT_FIELD_WEIGHT, BOUND (grace_s), .min = 0.1, .max = 3600, .fallback = 6 },
  { "move_s", MT_FIELD_WEIGHT, BOUND (move_s), .max = 3600, .fallback = 1.5 },
  { "upkeep_s", MT_FIELD_WEIGHT, BOUND (upkeep_s), .max = 3600, .fallback = 2 },
  { "stop_grace_ms", MT_FIELD_COUNT, BOUND (stop_grace_ms), .max = 600000, .fallback = 1000 },
  { "apply_ms", MT_FIELD_COUNT, BOUND (apply_ms), .min = 500, .max = 3600000, .fallback = 2000 },
  { "rollback_ms", MT_FIELD_COUNT, BOUND (rollback_ms), .max = 60000, .fallback = 250 },
  { "keys_stale_ms", MT_FIELD_COUNT, BOUND (keys_stale_ms), .max = 3600000 },
  { NULL },
};

bool
mt_fleet_settings_detect (struct mt_str json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  bool meant = json_object_get (root, "store") != NULL;

  json_decref (root);
  return meant;
}

struct mt_fleet_settings *
mt_fleet_settings_parse (struct mt_str json, GError **error)
{
  static const char *const nested[] = { "bounds", NULL };
  struct mt_field_location place = { MT_ERROR_SETTINGS, "settings" };
  struct mt_field_location inner = { MT_ERROR_SETTINGS, "settings, bounds" };
  json_t *root = mt_fields_load (json, place, error);
  struct mt_fleet_settings *s;
  json_t *bounds;
  json_t *none;
  bool ok;

  if (root == NULL)
    return NULL;
  s = talloc_zero (NULL, struct mt_fleet_settings);
  none = json_object ();
  bounds = json_object_get (root, "bounds");
  ok = mt_fields_read (s, s, root, top_fields, nested, place, error)
       && mt_fields_read (s, &s->bounds, bounds != NULL ? bounds : none, bound_fields, NULL, inner,
                          error);
  json_decref (none);
  json_decref (root);
  if (ok)
    return s;
  talloc_free (s);
  return NULL;
}

void
mt_fleet_settings_destroy (struct mt_fleet_settings *settings)
{
  talloc_free (settings);
}
