/* Any text of a caller, an operator or a worker is refused, or read into something that is whole:
 * a configuration whose workspaces all have a name, a job whose steps wait for earlier ones. */
#include "fuzz.h"

#include "adapter.h"

#include <string.h>

static void
read_config (const struct mt_codec *words, struct mt_str text)
{
  g_autoptr (GError) error = NULL;
  struct mt_fleet_config *config = words->ops->parse_config (text, &error);

  g_assert ((config == NULL) == (error != NULL));
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->n_routes; i++)
    g_assert (config->routes[i].name != NULL && config->routes[i].pool != NULL);
  for (unsigned i = 0; config->workspaces != NULL && i < mt_workspaces_count (config->workspaces);
       i++)
    {
      const struct mt_workspace *workspace = mt_workspaces_at (config->workspaces, i);

      g_assert (workspace->name[0] != '\0' && workspace->rate >= 0 && workspace->quota.cpu >= 0);
    }
  mt_fleet_config_free (config);
}

static void
read_job (const struct mt_codec *words, struct mt_str text)
{
  struct mt_job_spec *spec = words->ops->parse_job ("id", "route", text, NULL);

  if (spec == NULL)
    return;
  for (unsigned s = 0; s < spec->n_steps; s++)
    for (unsigned a = 0; a < spec->steps[s].n_after; a++)
      g_assert (spec->steps[s].after[a] < s);
  mt_job_spec_destroy (spec);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct mt_str text = { (const char *) data, size };
  struct mt_codec words = mt_adapter_codec ();
  struct mt_registry_entry entry;

  read_config (&words, text);
  read_job (&words, text);
  mt_wave_free (words.ops->parse_wave (text));
  if (words.ops->parse_worker ("servers/i-1", text, &entry))
    mt_registry_entry_clear (&entry);
  return 0;
}
