/* Cycles. A cycle collects the changed jobs and has the owner store them. As each job is stored,
 * the orders that depend on it are released, so no order is sent of which the next leader would not
 * know. Jobs are stored independently of each other: one transaction without an answer, for up to
 * its time-out of 0.8 s in a surge of 440 tasks a second, delays only its own jobs. */
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
  return sched->changed || (sched->place_at != 0 && now >= sched->place_at)
         || (sched->due_check_at != 0 && now >= sched->due_check_at);
}

/* ---- ends ---- */

void
mt_worker_update_durable_end (struct mt_worker *w)
{
  struct mt_pending_end *end;

  while ((end = g_queue_peek_head (&w->pending_ends)) != NULL
         && (end->job == NULL || end->job->stored_version >= end->version))
    {
      w->durable_end = end->sequence;
      g_free (g_queue_pop_head (&w->pending_ends));
    }
}

void
mt_worker_add_end (struct mt_worker *w, int64_t sequence, const struct mt_job *job)
{
  struct mt_pending_end *end = g_new0 (struct mt_pending_end, 1);

  *end = (struct mt_pending_end){ sequence, job, job != NULL ? job->version : 0 };
  w->applied_end = sequence;
  g_queue_push_tail (&w->pending_ends, end);
  mt_worker_update_durable_end (w);
}

void
mt_worker_clear_ends (struct mt_worker *w)
{
  g_queue_clear_full (&w->pending_ends, g_free);
}

/* Removes the job from the pending ends of all workers. An ended job is removed only when all of
 * its changes are stored. */
static void
forget_job_in_ends (struct mt_scheduler *sched, const struct mt_job *job)
{
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    for (GList *l = w->pending_ends.head; l != NULL; l = l->next)
      {
        struct mt_pending_end *end = l->data;

        if (end->job == job)
          end->job = NULL;
      }
}

/* ---- cycles ---- */

/* Jobs that are being written stay in the list. */
static void
collect_dirty_jobs (struct mt_scheduler *sched, GPtrArray *out)
{
  guint kept = 0;

  for (guint i = 0; i < sched->dirty->len; i++)
    {
      struct mt_job *job = sched->dirty->pdata[i];

      mt_job_collect_due_head (job, out);
      if (job->dirty && job->in_cycle)
        {
          sched->dirty->pdata[kept++] = job;
          continue;
        }
      job->in_dirty_list = false;
      if (!job->dirty)
        continue;
      job->dirty = false;
      job->in_cycle = true;
      job->cycle_state = job->state;
      job->writing_version = job->version;
      mt_job_collect_records (job, out);
    }
  g_ptr_array_set_size (sched->dirty, (int) kept);
}

GPtrArray *
mt_scheduler_cycle_begin (struct mt_scheduler *sched, int64_t now, int64_t wall)
{
  GPtrArray *out;

  sched->changed = false;
  sched->cycle_at = now;
  mt_scheduler_open_due_occurrences (sched, now, wall);
  mt_scheduler_place (sched, now);
  out = g_ptr_array_new_with_free_func (g_free);
  collect_dirty_jobs (sched, out);
  if (out->len > 0)
    return out;
  g_ptr_array_unref (out);
  return NULL;
}

/* Queues the starts that are durable now, except to workers that are leaving or have shrunk
 * since. */
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
mt_scheduler_jobs_stored (struct mt_scheduler *sched,
                          const char *const *names,
                          size_t n,
                          int64_t now)
{
  for (size_t i = 0; i < n; i++)
    {
      struct mt_record_ref ref;
      struct mt_job *job;

      if (!mt_scheduler_find_record (sched, names[i], &ref) || !mt_job_note_stored (sched, &ref))
        continue;
      job = ref.job;
      job->in_cycle = false;
      job->stored_version = job->writing_version;
      if (mt_job_state_is_final (job->cycle_state))
        job->durable_state = job->cycle_state;
      release_starts (sched, job, now);
      sched->changed |= job->dirty || job->left_out;
    }
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
  forget_job_in_ends (sched, job);
  g_queue_unlink (&sched->closed, &job->link);
  g_ptr_array_remove_fast (sched->dirty, job);
  g_hash_table_remove (sched->jobs, id);
}
