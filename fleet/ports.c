#include "ports.h"

#include <string.h>

void
mt_fleet_config_free (struct mt_fleet_config *config)
{
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->n_pools; i++)
    g_free (config->pools[i].name);
  mt_route_table_destroy (config->routes);
  mt_workspaces_destroy (config->workspaces);
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

static bool
changes_key (const struct mt_kv_txn *txn, const struct mt_kv_expect *expect)
{
  for (size_t i = 0; i < txn->n_puts; i++)
    if (strcmp (txn->puts[i].key, expect->key) == 0)
      return true;
  for (size_t i = 0; i < txn->n_removes; i++)
    if (expect->revision != 0 && strcmp (txn->removes[i], expect->key) == 0)
      return true;
  return false;
}

bool
mt_kv_page_is_empty_part (const struct mt_kv_reply *reply)
{
  return reply->more && reply->n_items == 0;
}

bool
mt_kv_txn_excludes_repeat (const struct mt_kv_txn *txn)
{
  for (size_t i = 0; i < txn->n_expects; i++)
    if (changes_key (txn, &txn->expects[i]))
      return true;
  return false;
}
