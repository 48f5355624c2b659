/* Runs of tasks that workers list although the tasks have been taken from them: starts that were
 * carried out late. Each is stopped. Until it is known to have ended, its task is not started: a
 * worker that is cut off right after goes on with the run until its lease ends. */
#include "scheduler_internal.h"

#include <string.h>

struct mt_superseded_run
{
  char *task;
  unsigned run;
  uint32_t listing; /* number of the worker's last listing that has it */
  int64_t seen_at;  /* when that listing came */
};

static void
free_run (void *data)
{
  struct mt_superseded_run *run = data;

  g_free (run->task);
  g_free (run);
}

static struct mt_superseded_run *
find_run (const struct mt_worker *w, const char *name, unsigned run, guint *index)
{
  for (guint i = 0; w->superseded != NULL && i < w->superseded->len; i++)
    {
      struct mt_superseded_run *superseded = w->superseded->pdata[i];

      *index = i;
      if (superseded->run == run && strcmp (superseded->task, name) == 0)
        return superseded;
    }
  return NULL;
}

static void
remove_run (struct mt_scheduler *sched, struct mt_worker *w, guint index)
{
  const struct mt_superseded_run *run = w->superseded->pdata[index];
  struct mt_task *task = mt_scheduler_find_task (sched, run->task);

  if (task != NULL && task->superseded_runs > 0)
    {
      task->superseded_runs--;
      mt_task_mark_dirty (sched, task);
    }
  g_ptr_array_remove_index_fast (w->superseded, index);
  sched->changed = true;
}

/* Takes the task from another worker if no start of it was sent there. */
static void
withdraw (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_PLACED)
    mt_task_stop (sched, task, now);
  else if (task->state == MT_TASK_ORDERED && task->order_queued && !mt_task_may_have_begun (task))
    mt_task_set_waiting (sched, task, now);
}

static struct mt_superseded_run *
add_run (struct mt_scheduler *sched,
         struct mt_worker *w,
         struct mt_task *task,
         const struct mt_run_row *row,
         int64_t now)
{
  struct mt_superseded_run *run = g_new0 (struct mt_superseded_run, 1);

  run->task = g_strdup (row->task);
  run->run = row->run;
  if (w->superseded == NULL)
    w->superseded = g_ptr_array_new_with_free_func (free_run);
  g_ptr_array_add (w->superseded, run);
  /* A former leader may have granted its lease. */
  mt_worker_record_lease (w, MT_SUCCESSOR_WAIT_MS, "superseded run", now);
  task->superseded_runs++;
  withdraw (sched, task, now);
  task->occ->job->records_leases |= mt_worker_longest_lease_ms (w, now) > 0;
  mt_task_mark_dirty (sched, task);
  return run;
}

void
mt_worker_note_superseded (struct mt_scheduler *sched,
                           struct mt_worker *w,
                           struct mt_task *task,
                           const struct mt_run_row *row,
                           int64_t now)
{
  guint index;
  struct mt_superseded_run *run = find_run (w, row->task, row->run, &index);

  if (task->state == MT_TASK_DONE)
    return;
  if (run == NULL)
    run = add_run (sched, w, task, row, now);
  run->listing = w->listing;
  run->seen_at = now;
}

void
mt_worker_end_superseded (struct mt_scheduler *sched,
                          struct mt_worker *w,
                          const char *name,
                          unsigned run)
{
  guint index;

  if (find_run (w, name, run, &index) != NULL)
    remove_run (sched, w, index);
}

void
mt_worker_end_unlisted_superseded (struct mt_scheduler *sched, struct mt_worker *w, int64_t sent)
{
  if (w->superseded == NULL)
    return;
  for (guint i = w->superseded->len; i > 0; i--)
    {
      const struct mt_superseded_run *run = w->superseded->pdata[i - 1];

      /* A listing that was requested before may overtake the one that has the run. */
      if (run->listing != w->listing && sent >= run->seen_at)
        remove_run (sched, w, i - 1);
    }
}

void
mt_worker_forget_superseded (struct mt_scheduler *sched, struct mt_worker *w)
{
  while (w->superseded != NULL && w->superseded->len > 0)
    remove_run (sched, w, w->superseded->len - 1);
}

struct mt_worker *
mt_task_superseded_on (const struct mt_scheduler *sched, const struct mt_task *task)
{
  struct mt_worker *last = NULL;
  GHashTableIter it;
  struct mt_worker *w;
  char name[96];
  guint i;

  if (task->superseded_runs == 0)
    return NULL;
  mt_task_name (task, name, sizeof name);
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    for (i = 0; w->superseded != NULL && i < w->superseded->len; i++)
      if (strcmp (((struct mt_superseded_run *) w->superseded->pdata[i])->task, name) == 0
          && (last == NULL || w->lease_end > last->lease_end))
        last = w;
  return last;
}
