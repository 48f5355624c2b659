/* Team quotas: idle resources are lent beyond a team's quota, and borrowed ones can be reclaimed by
 * preemption. */
#include "internal.h"

bool
mt_team_within_quota (const struct mt_team *team, struct mt_job_resources more)
{
  struct mt_job_resources owned = mt_job_resources_sub (team->in_use, team->borrowed);

  return mt_job_resources_fit (mt_job_resources_add (owned, more), team->quota);
}

void
mt_team_allocate (struct mt_job *job, struct mt_job_resources resources)
{
  struct mt_team *team = job->team;

  job->borrowed = !mt_team_within_quota (team, resources);
  team->in_use = mt_job_resources_add (team->in_use, resources);
  if (job->borrowed)
    team->borrowed = mt_job_resources_add (team->borrowed, resources);
  g_ptr_array_add (team->tasks, job);
}

void
mt_team_release (struct mt_job *job)
{
  struct mt_team *team = job->team;

  team->in_use = mt_job_resources_sub (team->in_use, job->allocated);
  if (job->borrowed)
    team->borrowed = mt_job_resources_sub (team->borrowed, job->allocated);
  job->borrowed = false;
  g_ptr_array_remove_fast (team->tasks, job);
}

static void
update_team_borrowed (struct mt_team *team)
{
  for (guint i = 0; i < team->tasks->len; i++)
    {
      struct mt_job *job = team->tasks->pdata[i];

      if (!job->borrowed || !mt_team_within_quota (team, job->allocated))
        continue;
      job->borrowed = false;
      team->borrowed = mt_job_resources_sub (team->borrowed, job->allocated);
    }
}

void
mt_teams_update_borrowed (struct mt_jobs *jobs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mt_team *team = value;

      if (team->borrowed.cpu_milli + team->borrowed.memory_mb + team->borrowed.accelerators > 0)
        update_team_borrowed (team);
    }
}
