/* Relief of overcommitted workers: if an estimate was too low, jobs use more than their worker has.
 * Before the worker fails, CPU use is reduced by throttling a job and memory use by checkpointing
 * one; least urgent and borrowed jobs come first. */
#include "internal.h"

/* Memory can't be throttled, so relief starts before the last tenth is used. */
#define MEMORY_RELIEF_PERCENT 90

static struct mt_job_resources
total_usage (const struct mt_worker *worker)
{
  struct mt_job_resources used = { 0, 0, 0 };

  for (guint i = 0; i < worker->tasks->len; i++)
    used = mt_job_resources_add (used, ((const struct mt_job *) worker->tasks->pdata[i])->used);
  return used;
}

/* The job with the highest rank is throttled or checkpointed first. */
static int
preemption_rank (const struct mt_job *job)
{
  return (job->aged ? 0 : 4) + (job->borrowed ? 2 : 0) + (int) job->urgency * 8;
}

static struct mt_job *
pick_victim (const struct mt_worker *worker, bool for_memory)
{
  struct mt_job *best = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct mt_job *job = worker->tasks->pdata[i];

      if (job->state != MT_JOB_RUNNING || (!for_memory && job->throttled))
        continue;
      if (for_memory ? job->used.memory_mb == 0 : job->used.cpu_milli <= job->allocated.cpu_milli)
        continue;
      if (best == NULL || preemption_rank (job) > preemption_rank (best))
        best = job;
    }
  return best;
}

static void
throttle (struct mt_job *job, GArray *actions)
{
  struct mt_job_action action
      = { MT_JOB_THROTTLE, job->name, job->worker->name, job->epoch, job->lease, job->allocated };

  job->throttled = true;
  g_array_append_val (actions, action);
}

static void
relieve_worker (struct mt_jobs *jobs, struct mt_worker *worker, GArray *actions)
{
  struct mt_job_resources used = total_usage (worker);
  uint64_t memory_limit = (uint64_t) worker->capacity.memory_mb * MEMORY_RELIEF_PERCENT / 100;
  struct mt_job *victim;

  /* One job at a time: the next usage report shows whether that was enough. */
  if (used.memory_mb > memory_limit && worker->tasks->len > 1)
    {
      victim = pick_victim (worker, true);
      if (victim != NULL)
        mt_jobs_request_end (jobs, victim, MT_JOB_CHECKPOINTING);
    }
  else if (used.cpu_milli > worker->capacity.cpu_milli)
    {
      victim = pick_victim (worker, false);
      if (victim != NULL)
        throttle (victim, actions);
    }
}

void
mt_jobs_relieve_overcommitted (struct mt_jobs *jobs, GArray *actions)
{
  for (guint i = 0; i < jobs->overcommitted->len; i++)
    relieve_worker (jobs, jobs->overcommitted->pdata[i], actions);
  g_ptr_array_set_size (jobs->overcommitted, 0);
}
