#include "fleet.h"

#include <string.h>

#define MEAN_SHARE    0.25 /* of a pool's slots; five times this, in a surge, exceeds the pool */
#define SURGE_FACTOR  5.0
#define TROUGH_FACTOR 0.05
#define SURGE_MIN_S   4.0
#define SURGE_MAX_S   12.0
#define GAP_MIN_S     1.0
#define GAP_MAX_S     6.0
/* Growth: the load of one service exceeds its pool for minutes. Unlike a surge, it lasts long
 * enough to make moving instances worthwhile. */
#define GROWTH_FROM_S  1100.0
#define GROWTH_TO_S    1400.0
#define GROWTH_SHARE   1.15
#define GROWTH_SERVICE 1

struct surge
{
  unsigned service;
  double from_s;
  double to_s;
};

struct fleet_load
{
  double mean[FLEET_SERVICES];
  GArray *surges; /* of struct surge, by start time */
};

const struct fleet_deployment fleet_deployments[] = {
  { "kovacs", "3 data centres; moves cost most", 3, 10, 1 },
  { "skovlund", "4 data centres; idle instances cost most", 4, 1, 400 },
  { NULL },
};

const struct fleet_deployment *
fleet_deployment_find (const char *name)
{
  for (const struct fleet_deployment *d = fleet_deployments; d->name != NULL; d++)
    if (strcmp (d->name, name) == 0)
      return d;
  return NULL;
}

static void
add_instances (GString *out, const struct fleet_deployment *deployment, unsigned service)
{
  for (unsigned i = 0; i < FLEET_INSTANCES; i++)
    {
      unsigned number = service * FLEET_INSTANCES + i;
      unsigned zone = (service + i) % deployment->zones;

      g_string_append_printf (
          out,
          "%s{\"name\":\"i%02u\",\"address\":\"10.0.%u.%u:80\",\"zone\":\"z%u\","
          "\"rack\":\"z%u-r%u\",\"slots\":%u}",
          i > 0 ? "," : "", number, zone, number + 1, zone, zone, number / deployment->zones / 4,
          FLEET_SLOTS);
    }
}

struct mt_tables *
fleet_tables (const struct fleet_deployment *deployment, uint64_t version, const char *wave)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables;

  g_string_append_printf (out,
                          "{\"version\":%" G_GUINT64_FORMAT ",\"id\":\"measure\",\"routes\":[{"
                          "\"route\":\"r\",\"path\":\"/\",\"pool\":\"p0\",\"repeat\":\"safe\"}],"
                          "\"pools\":[",
                          version);
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      bool spare = s == FLEET_SERVICES - 1;

      g_string_append_printf (out,
                              "%s{\"pool\":\"p%u\",\"service\":\"s%u\",\"spare\":%s,"
                              "\"min_instances\":1,\"max_unavailable\":%u,\"move_weight\":%g,"
                              "\"buffer_weight\":%g,\"instances\":[",
                              s > 0 ? "," : "", s, s, spare ? "true" : "false", spare ? 2U : 1U,
                              deployment->move_weight, deployment->buffer_weight);
      add_instances (out, deployment, s);
      g_string_append_c (out, ']');
      if (wave != NULL)
        g_string_append_printf (out, ",\"wave\":{\"id\":\"%s\"}", wave);
      g_string_append_c (out, '}');
    }
  g_string_append (out, "]}");
  tables = mt_tables_parse (mt_str_from (out->str), &error);
  if (tables == NULL)
    g_error ("%s", error->message);
  return tables;
}

struct fleet_load *
fleet_load_create (uint32_t seed, const unsigned *service_instances, double seconds)
{
  struct fleet_load *load = g_new0 (struct fleet_load, 1);
  GRand *rand = g_rand_new_with_seed (seed);
  double at_s = 0;

  load->surges = g_array_new (FALSE, FALSE, sizeof (struct surge));
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    load->mean[s] = service_instances[s] * FLEET_SLOTS * MEAN_SHARE;
  for (unsigned turn = 0; at_s < seconds; turn++)
    {
      struct surge surge = { .service = turn % FLEET_SERVICES };

      surge.from_s = at_s + g_rand_double_range (rand, GAP_MIN_S, GAP_MAX_S);
      surge.to_s = surge.from_s + g_rand_double_range (rand, SURGE_MIN_S, SURGE_MAX_S);
      at_s = surge.to_s;
      g_array_append_val (load->surges, surge);
    }
  g_rand_free (rand);
  return load;
}

void
fleet_load_destroy (struct fleet_load *load)
{
  g_array_free (load->surges, TRUE);
  g_free (load);
}

double
fleet_load_at (const struct fleet_load *load, unsigned service, double at_s)
{
  double mean = load->mean[service];

  if (service == GROWTH_SERVICE && at_s >= GROWTH_FROM_S && at_s < GROWTH_TO_S)
    return mean / MEAN_SHARE * GROWTH_SHARE;
  for (guint i = 0; i < load->surges->len; i++)
    {
      const struct surge *surge = &g_array_index (load->surges, struct surge, i);

      if (surge->from_s > at_s)
        break;
      if (surge->service == service && at_s < surge->to_s)
        return mean * SURGE_FACTOR;
    }
  return mean * TROUGH_FACTOR;
}
