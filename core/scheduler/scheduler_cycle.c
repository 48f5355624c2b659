/* Cycles. A cycle collects the changed jobs, has the owner store them, then releases the orders
 * that depend on the changes. So no order is sent of which the next leader would not know. */
#include "scheduler_internal.h"

/* Most ended jobs that are kept beyond retention_ms; each takes about 2 KB. */
#define MAX_CLOSED_JOBS 4000

bool
mt_scheduler_is_idle (const struct mt_scheduler *sched)
{
  return sched->open.length == 0;
}

bool
mt_scheduler_needs_cycle (struct mt_scheduler *sched, int64_t now)
{
  return !sched->in_cycle && (sched->changed || (sched->place_at != 0 && now >= sched->place_at));
}

static void
update_durable_ends (struct mt_scheduler *sched, bool cycle_begins)
{
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (cycle_begins)
      w->cycle_end = w->applied_end;
    else
      w->durable_end = MAX (w->durable_end, w->cycle_end);
}

static void
collect_dirty_jobs (struct mt_scheduler *sched, GPtrArray *out)
{
  for (guint i = 0; i < sched->dirty->len; i++)
    {
      struct mt_job *job = sched->dirty->pdata[i];

      job->in_dirty_list = false;
      if (!job->dirty)
        continue;
      job->dirty = false;
      job->in_cycle = true;
      job->cycle_state = job->state;
      g_ptr_array_add (sched->writing, job);
      g_ptr_array_add (out, g_strdup (job->spec->id));
    }
  g_ptr_array_set_size (sched->dirty, 0);
}

GPtrArray *
mt_scheduler_cycle_begin (struct mt_scheduler *sched, int64_t now, int64_t wall)
{
  GPtrArray *out;

  if (sched->in_cycle)
    return NULL;
  sched->changed = false;
  mt_scheduler_open_due_occurrences (sched, now, wall);
  mt_scheduler_place (sched, now);
  out = g_ptr_array_new_with_free_func (g_free);
  collect_dirty_jobs (sched, out);
  update_durable_ends (sched, true);
  if (out->len == 0)
    {
      update_durable_ends (sched, false);
      g_ptr_array_unref (out);
      return NULL;
    }
  sched->in_cycle = true;
  return out;
}

/* Queues the starts that the cycle has made durable, except to workers that are leaving or have
 * shrunk since. */
static void
release_starts (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      {
        struct mt_task *task = &job->occurrences[k]->tasks[i];

        if (task->state != MT_TASK_PLACED)
          continue;
        if (task->worker->leaving || mt_worker_is_overcommitted (task->worker))
          {
            mt_task_set_waiting (sched, task, now);
            continue;
          }
        task->state = MT_TASK_ORDERED;
        task->state_since = now;
        task->order_queued = true;
        g_queue_push_tail (&sched->starts, task);
      }
}

void
mt_scheduler_cycle_done (struct mt_scheduler *sched, int64_t now)
{
  for (guint i = 0; i < sched->writing->len; i++)
    {
      struct mt_job *job = sched->writing->pdata[i];

      job->in_cycle = false;
      if (job->cycle_state != MT_JOB_QUEUED && job->cycle_state != MT_JOB_ACTIVE)
        job->durable_state = job->cycle_state;
      release_starts (sched, job, now);
    }
  g_ptr_array_set_size (sched->writing, 0);
  update_durable_ends (sched, false);
  sched->in_cycle = false;
}

int64_t
mt_scheduler_job_revision (const struct mt_scheduler *sched, const char *id)
{
  const struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  return job != NULL ? job->revision : 0;
}

void
mt_scheduler_set_job_revision (struct mt_scheduler *sched, const char *id, int64_t revision)
{
  struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  if (job != NULL)
    job->revision = revision;
}

const char *
mt_scheduler_expired_job (const struct mt_scheduler *sched, int64_t now)
{
  const struct mt_job *job = g_queue_peek_head ((GQueue *) &sched->closed);

  if (job == NULL || job->dirty || job->in_cycle)
    return NULL;
  if (now - job->ended_at < 2 * sched->settings.retention_ms
      && sched->closed.length <= MAX_CLOSED_JOBS)
    return NULL;
  if (now - job->ended_at < sched->settings.retention_ms)
    return NULL;
  return job->spec->id;
}

void
mt_scheduler_remove_job (struct mt_scheduler *sched, const char *id)
{
  struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  if (job == NULL || job->ended_at == 0 || job->in_cycle)
    return;
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      mt_task_set_waiting (sched, &job->occurrences[k]->tasks[i], 0);
  g_queue_unlink (&sched->closed, &job->link);
  g_ptr_array_remove_fast (sched->dirty, job);
  g_hash_table_remove (sched->jobs, id);
}
