#include "medlartrack/job_spec.h"

#include <glib.h>

struct mt_job_spec *
mt_job_spec_create (const char *id, const char *route, unsigned n_steps)
{
  struct mt_job_spec *spec = g_new0 (struct mt_job_spec, 1);

  spec->id = g_strdup (id);
  spec->route = g_strdup (route);
  spec->n_steps = n_steps;
  spec->steps = g_new0 (struct mt_step, n_steps);
  return spec;
}

void
mt_job_spec_destroy (struct mt_job_spec *spec)
{
  if (spec == NULL)
    return;
  for (unsigned i = 0; i < spec->n_steps; i++)
    {
      g_free (spec->steps[i].after);
      g_free (spec->steps[i].label);
      g_free (spec->steps[i].rack);
      g_free (spec->steps[i].image);
    }
  g_free (spec->steps);
  g_free (spec->workspace);
  g_free (spec->payload);
  g_free (spec->route);
  g_free (spec->id);
  g_free (spec);
}

unsigned
mt_job_spec_tasks (const struct mt_job_spec *spec)
{
  unsigned n = 0;

  for (unsigned i = 0; i < spec->n_steps; i++)
    n += spec->steps[i].count;
  return n;
}

uint64_t
mt_job_spec_all_tasks (const struct mt_job_spec *spec)
{
  return (uint64_t) mt_job_spec_tasks (spec) * MAX (spec->repeats, 1U);
}

int64_t
mt_job_spec_chain_ms (const struct mt_job_spec *spec, double scale)
{
  double *ends = g_new0 (double, spec->n_steps + 1);
  double longest = 0;

  /* "after" names earlier steps only, so one pass in order is enough. */
  for (unsigned i = 0; i < spec->n_steps; i++)
    {
      const struct mt_step *step = &spec->steps[i];

      for (unsigned a = 0; a < step->n_after; a++)
        ends[i] = MAX (ends[i], ends[step->after[a]]);
      ends[i] += scale * (double) step->estimate_ms;
      longest = MAX (longest, ends[i]);
    }
  g_free (ends);
  return (int64_t) longest;
}
