#include "ports.h"

void
mt_fleet_config_free (struct mt_fleet_config *config)
{
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->n_routes; i++)
    {
      g_free (config->routes[i].name);
      g_free (config->routes[i].host);
      g_free (config->routes[i].prefix);
      g_free (config->routes[i].pool);
    }
  for (size_t i = 0; i < config->n_pools; i++)
    g_free (config->pools[i].name);
  g_free (config->routes);
  g_free (config->pools);
  g_free (config);
}

void
mt_wave_free (struct mt_wave *wave)
{
  if (wave == NULL)
    return;
  g_strfreev (wave->machines);
  g_free (wave);
}

void
mt_machine_clear (struct mt_machine *machine)
{
  g_free (machine->id);
  g_free (machine->pool);
  g_free (machine->zone);
  g_free (machine->rack);
  g_free (machine->worker);
}
