/* Quarantine: a worker on which several different jobs fail in a row gets no jobs for a while, then
 * one at a time until one succeeds. Failures of a job that fails on every worker don't count
 * against the workers. */
#include "internal.h"

#include <string.h>

#define MAX_QUARANTINE_DOUBLINGS 6

static bool
has_name (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], name) == 0)
      return true;
  return false;
}

static void
quarantine (struct mt_jobs *jobs, struct mt_worker *worker)
{
  unsigned doublings = MIN (worker->quarantine_count, MAX_QUARANTINE_DOUBLINGS);

  worker->quarantined_until_us
      = mt_clock_now (jobs->clock) + (jobs->options.quarantine_us << doublings);
  worker->quarantine_count++;
  worker->probation = true;
  g_ptr_array_set_size (worker->failures, 0);
}

/* Removes a job's failures from its workers once it is known to fail everywhere: one such job,
 * retried on the same few workers, must not put them all in quarantine. */
static void
clear_job_failures (struct mt_job *job)
{
  for (guint i = 0; i < job->failed_on->len; i++)
    {
      struct mt_worker *worker = job->failed_on->pdata[i];

      for (guint j = worker->failures->len; j-- > 0;)
        if (strcmp (worker->failures->pdata[j], job->name) == 0)
          g_ptr_array_remove_index (worker->failures, j);
    }
}

void
mt_worker_record_failure (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job)
{
  if (!g_ptr_array_find (job->failed_on, worker, NULL))
    g_ptr_array_add (job->failed_on, worker);
  if (mt_job_failed_workers (job) >= jobs->options.poison_threshold)
    {
      clear_job_failures (job);
      return;
    }
  if (!has_name (worker->failures, job->name))
    g_ptr_array_add (worker->failures, g_strdup (job->name));
  if (worker->probation || worker->failures->len >= jobs->options.quarantine_threshold)
    quarantine (jobs, worker);
}

unsigned
mt_job_failed_workers (const struct mt_job *job)
{
  return job->failed_on->len + job->failed_before_replay;
}

bool
mt_job_is_isolated (const struct mt_jobs *jobs, const struct mt_job *job)
{
  return job->suspect
         && mt_clock_now (jobs->clock) - job->started_us < jobs->options.crash_window_us;
}

static bool
has_no_other_suspect (const struct mt_jobs *jobs,
                      const struct mt_worker *worker,
                      const struct mt_job *job)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    if (worker->tasks->pdata[i] != job && mt_job_is_isolated (jobs, worker->tasks->pdata[i]))
      return false;
  return true;
}

/* A job that ran for crash_window_us or longer is not taken as the cause of a crash, nor is one
 * that ran beside a suspect: the suspect is. */
void
mt_worker_record_crash (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job)
{
  int64_t lease_lost_us
      = worker->lease_lost_us != 0 ? worker->lease_lost_us : mt_clock_now (jobs->clock);

  if (!job->confirmed || lease_lost_us - job->started_us >= jobs->options.crash_window_us
      || !has_no_other_suspect (jobs, worker, job))
    return;
  job->suspect = true;
  if (!g_ptr_array_find (job->failed_on, worker, NULL))
    g_ptr_array_add (job->failed_on, worker);
}

void
mt_worker_record_success (struct mt_worker *worker)
{
  g_ptr_array_set_size (worker->failures, 0);
  worker->probation = false;
  worker->quarantine_count = 0;
}

bool
mt_worker_accepts_tasks (struct mt_jobs *jobs, struct mt_worker *worker)
{
  if (worker->draining || worker->lease_lost)
    return false;
  if (worker->quarantined_until_us != 0)
    {
      if (mt_clock_now (jobs->clock) < worker->quarantined_until_us)
        return false;
      worker->quarantined_until_us = 0;
    }
  for (guint i = 0; i < worker->tasks->len; i++)
    if (mt_job_is_isolated (jobs, worker->tasks->pdata[i]))
      return false;
  return !worker->probation || worker->tasks->len == 0;
}
