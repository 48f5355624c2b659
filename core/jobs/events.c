/* Applies cancellations, task reports and worker losses to the scheduler state. */
#include "internal.h"

#include <string.h>

static void
add_tombstone (struct mt_jobs *jobs, const char *name)
{
  char *copy;

  if (g_hash_table_contains (jobs->tombstones, name))
    return;
  copy = g_strdup (name);
  g_hash_table_add (jobs->tombstones, copy);
  g_ptr_array_add (jobs->new_tombstones, copy);
}

void
mt_jobs_cancel (struct mt_jobs *jobs, const char *name)
{
  struct mt_job *job = mt_jobs_find (jobs, name);

  if (job == NULL)
    {
      add_tombstone (jobs, name);
      return;
    }
  switch (job->state)
    {
    case MT_JOB_WAITING:
      g_queue_remove (&jobs->waiting[job->aged ? MT_URGENCY_URGENT : job->urgency], job);
      mt_jobs_set_state (jobs, job, MT_JOB_CANCELLED);
      break;
    case MT_JOB_UNSCHEDULABLE:
    case MT_JOB_POISON:
      mt_jobs_set_state (jobs, job, MT_JOB_CANCELLED);
      break;
    case MT_JOB_RUNNING:
    case MT_JOB_CHECKPOINTING:
    case MT_JOB_FENCING:
      mt_jobs_request_end (jobs, job, MT_JOB_STOPPING);
      break;
    default:
      break;
    }
}

static void
record_usage (struct mt_jobs *jobs, struct mt_job *job, const struct mt_job_report *report)
{
  struct mt_worker *worker = job->worker;

  /* Usage is reported with a delay. A measurement from before the task had time to grow would teach
   * sizes near zero, and the next jobs of the kind would overcommit their workers. */
  if (report->measured_us < job->started_us + jobs->options.usage_delay_us)
    return;
  job->used = report->usage;
  mt_job_kind_record_usage (job->kind, report->usage);
  if (!mt_job_resources_fit (report->usage, job->allocated)
      && !g_ptr_array_find (jobs->overcommitted, worker, NULL))
    g_ptr_array_add (jobs->overcommitted, worker);
}

static void
retry_or_end (struct mt_jobs *jobs, struct mt_job *job, const char *cause)
{
  unsigned workers = mt_job_failed_workers (job);

  if (job->state == MT_JOB_STOPPING || workers < jobs->options.poison_threshold)
    {
      mt_jobs_requeue (jobs, job);
      return;
    }
  job->reason = g_strdup_printf ("%s %u different workers", cause, workers);
  mt_jobs_finish (jobs, job, MT_JOB_POISON);
}

static void
record_failure (struct mt_jobs *jobs, struct mt_job *job)
{
  mt_worker_record_failure (jobs, job->worker, job);
  retry_or_end (jobs, job, "failed on");
}

static void
record_orphan (struct mt_jobs *jobs, const struct mt_job_report *report)
{
  struct mt_orphan orphan = { g_strdup (report->job), g_strdup (report->worker), report->epoch };

  g_array_append_val (jobs->orphans, orphan);
}

static void
record_running (struct mt_jobs *jobs, struct mt_job *job, const struct mt_job_report *report)
{
  if (!job->confirmed)
    g_queue_remove (&jobs->unconfirmed, job);
  job->confirmed = true;
  record_usage (jobs, job, report);
}

void
mt_jobs_report (struct mt_jobs *jobs, const struct mt_job_report *report)
{
  struct mt_job *job = mt_jobs_find (jobs, report->job);
  bool current = job != NULL && job->worker != NULL && job->epoch == report->epoch
                 && strcmp (job->worker->name, report->worker) == 0;

  if (!current)
    {
      if (report->kind == MT_REPORT_RUNNING)
        record_orphan (jobs, report);
      return;
    }
  switch (report->kind)
    {
    case MT_REPORT_RUNNING:
      record_running (jobs, job, report);
      break;
    case MT_REPORT_DONE:
      record_usage (jobs, job, report);
      mt_worker_record_success (job->worker);
      mt_jobs_finish (jobs, job, job->state == MT_JOB_STOPPING ? MT_JOB_CANCELLED : MT_JOB_DONE);
      break;
    case MT_REPORT_FAILED:
      record_failure (jobs, job);
      break;
    case MT_REPORT_STOPPED:
    case MT_REPORT_CHECKPOINTED:
    case MT_REPORT_FENCED:
      mt_jobs_requeue (jobs, job);
      break;
    }
}

static void
handle_lost_task (struct mt_jobs *jobs, struct mt_job *job)
{
  /* An expired lease does not prove that the task stopped. A job that may not run twice waits for
   * confirmation; otherwise an invoice run, say, would be started again while the first copy is
   * alive. */
  if (job->may_run_twice)
    mt_jobs_requeue (jobs, job);
  else if (job->state == MT_JOB_RUNNING || job->state == MT_JOB_CHECKPOINTING)
    mt_jobs_request_end (jobs, job, MT_JOB_FENCING);
}

void
mt_jobs_worker_lease_lost (struct mt_jobs *jobs, const char *name, uint64_t lease)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  if (worker == NULL || lease != worker->lease)
    return;
  worker->lease_lost = true;
  worker->lease_lost_us = mt_clock_now (jobs->clock);
  for (guint i = worker->tasks->len; i-- > 0;)
    handle_lost_task (jobs, worker->tasks->pdata[i]);
}

void
mt_jobs_worker_lease_regained (struct mt_jobs *jobs, const char *name, uint64_t lease)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  /* A job that is already being fenced stays so until the worker itself confirms the fence. */
  if (worker == NULL || lease != worker->lease)
    return;
  worker->lease_lost = false;
  worker->lease_lost_us = 0;
}

void
mt_jobs_worker_restarted (struct mt_jobs *jobs, const char *name, uint64_t lease)
{
  struct mt_worker *worker = mt_jobs_find_worker (jobs, name);

  if (worker == NULL || lease <= worker->lease)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    mt_worker_record_crash (jobs, worker, worker->tasks->pdata[i]);
  worker->lease = lease;
  worker->lease_lost = false;
  worker->lease_lost_us = 0;
  for (guint i = worker->tasks->len; i-- > 0;)
    retry_or_end (jobs, worker->tasks->pdata[i], "took down");
}
