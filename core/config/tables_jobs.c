/* Checks across the rows of jobs and teams. */
#include "tables_internal.h"

static bool
refuse_row (GError **error,
            const struct mt_pool *pool,
            const char *column,
            struct mt_str found,
            const char *remedy)
{
  struct mt_refusal refusal = { "pools", pool->name, column, found.data, NULL, remedy };

  return mt_tables_refuse (error, &refusal);
}

bool
mt_tables_check_teams (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_teams; k++)
      if (!g_hash_table_add (seen, (gpointer) tables->pools[i].teams[k].team.data))
        return refuse_row (error, &tables->pools[i], "teams.team", tables->pools[i].teams[k].team,
                           "the team has two quotas; keep one row");
  return true;
}

static bool
check_job (const struct mt_pool *pool,
           const struct mt_job_row *job,
           GHashTable *names,
           GHashTable *teams,
           GError **error)
{
  if (!g_hash_table_add (names, (gpointer) job->job.data))
    return refuse_row (error, pool, "jobs.job", job->job, "the name is used twice; rename one job");
  if (!g_hash_table_contains (teams, job->team.data))
    return refuse_row (error, pool, "jobs.team", job->team,
                       "no pool has a quota for this team; add one or correct the name");
  return true;
}

bool
mt_tables_check_jobs (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) teams = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_teams; k++)
      g_hash_table_add (teams, (gpointer) tables->pools[i].teams[k].team.data);
  for (size_t i = 0; i < tables->n_pools; i++)
    for (size_t k = 0; k < tables->pools[i].n_jobs; k++)
      if (!check_job (&tables->pools[i], &tables->pools[i].jobs[k], names, teams, error))
        return false;
  return true;
}
