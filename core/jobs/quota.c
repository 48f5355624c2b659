/* Quotas by team: idle room is lent beyond the quota, and what is borrowed can be taken back. */
#include "internal.h"

bool
mt_team_within_quota (const struct mt_team *team, struct mt_job_resources more)
{
  struct mt_job_resources owned = mt_job_resources_sub (team->held, team->borrowed);

  return mt_job_resources_fit (mt_job_resources_add (owned, more), team->quota);
}

void
mt_team_allocate (struct mt_job *job, struct mt_job_resources size)
{
  struct mt_team *team = job->team;

  job->borrowed = !mt_team_within_quota (team, size);
  team->held = mt_job_resources_add (team->held, size);
  if (job->borrowed)
    team->borrowed = mt_job_resources_add (team->borrowed, size);
  g_ptr_array_add (team->tasks, job);
}

void
mt_team_release (struct mt_job *job)
{
  struct mt_team *team = job->team;

  team->held = mt_job_resources_sub (team->held, job->taken);
  if (job->borrowed)
    team->borrowed = mt_job_resources_sub (team->borrowed, job->taken);
  job->borrowed = false;
  g_ptr_array_remove_fast (team->tasks, job);
}

static void
settle_team (struct mt_team *team)
{
  for (guint i = 0; i < team->tasks->len; i++)
    {
      struct mt_job *job = team->tasks->pdata[i];

      if (!job->borrowed || !mt_team_within_quota (team, job->taken))
        continue;
      job->borrowed = false;
      team->borrowed = mt_job_resources_sub (team->borrowed, job->taken);
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
        settle_team (team);
    }
}
