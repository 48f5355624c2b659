#include "scheduler_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A task that needs less is tiny, in thousandths of a core: workers fit thousands of them. */
#define TINY_CPU 100

const char *const mt_task_state_names[] = {
  [MT_TASK_WAITING] = "waiting", [MT_TASK_PLACED] = "placed",     [MT_TASK_ORDERED] = "ordered",
  [MT_TASK_RUNNING] = "running", [MT_TASK_STOPPING] = "stopping", [MT_TASK_DONE] = "done",
};

const struct mt_step *
mt_task_step (const struct mt_task *task)
{
  return &task->occ->job->spec->steps[task->step];
}

bool
mt_task_is_tiny (const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return !step->gang && !step->long_running && step->need.cpu < TINY_CPU;
}

struct mt_task *
mt_task_get_members (const struct mt_task *task, unsigned *n)
{
  struct mt_task *first = &task->occ->tasks[task->occ->step_first[task->step]];

  *n = mt_task_step (task)->gang ? mt_task_step (task)->count : 1;
  return mt_task_step (task)->gang ? first : first + task->index;
}

void
mt_task_name (const struct mt_task *task, char *out, size_t size)
{
  snprintf (out, size, "%s.%u.%u.%u", task->occ->job->spec->id, task->occ->number, task->step,
            task->index);
}

void
mt_task_step_name (const struct mt_task *task, char *out, size_t size)
{
  snprintf (out, size, "%s.%u.%u", task->occ->job->spec->id, task->occ->number, task->step);
}

/* Reads ".NUMBER" and advances *at past it. */
static bool
read_number (const char **at, unsigned *out)
{
  char *end = NULL;

  if (**at != '.' || !g_ascii_isdigit ((*at)[1]))
    return false;
  *out = (unsigned) strtoul (*at + 1, &end, 10);
  *at = end;
  return true;
}

struct mt_task *
mt_scheduler_find_task (struct mt_scheduler *sched, const char *name)
{
  const char *at = strchr (name, '.');
  unsigned number, step, index;
  struct mt_job *job;
  char id[64];

  if (at == NULL || (size_t) (at - name) >= sizeof id)
    return NULL;
  memcpy (id, name, (size_t) (at - name));
  id[at - name] = '\0';
  job = g_hash_table_lookup (sched->jobs, id);
  if (job == NULL || !read_number (&at, &number) || !read_number (&at, &step)
      || !read_number (&at, &index))
    return NULL;
  if (number >= job->n_occurrences || job->occurrences[number] == NULL || step >= job->spec->n_steps
      || index >= job->spec->steps[step].count)
    return NULL;
  return &job->occurrences[number]->tasks[job->occurrences[number]->step_first[step] + index];
}

static void
add_usage (struct mt_worker *w, const struct mt_step *step, int sign)
{
  w->used.cpu += step->fill ? 0 : sign * step->need.cpu;
  w->used.mem += sign * step->need.mem;
  w->used.gpu += sign * step->need.gpu;
}

void
mt_task_dequeue (struct mt_scheduler *sched, struct mt_task *task)
{
  if (!task->order_queued)
    return;
  g_queue_remove (&sched->starts, task);
  g_queue_remove (&sched->stops, task);
  task->order_queued = false;
}

static void
detach_from_worker (struct mt_scheduler *sched, struct mt_task *task)
{
  struct mt_worker *w = task->worker;

  mt_task_dequeue (sched, task);
  if (w == NULL)
    return;
  mt_task_end_isolation (task);
  mt_task_end_location (task);
  g_queue_unlink (&w->tasks, &task->link);
  task->occ->job->n_placed--;
  sched->tiny_tasks -= mt_task_is_tiny (task);
  add_usage (w, mt_task_step (task), -1);
  mt_account_add_usage (mt_job_account (sched, task->occ->job), mt_task_step (task), -1);
  task->worker = NULL;
  w->paced_at = 0;
}

void
mt_task_place (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now)
{
  task->occ->step_waiting[task->step]--;
  task->occ->reruns += task->run > 0;
  if (mt_worker_run_factor (w, task->occ->job->route, 1) > MT_SLOW_FACTOR)
    {
      task->occ->slow_starts++;
      task->occ->slow_worker = w;
    }
  task->state = MT_TASK_PLACED;
  task->state_since = now;
  task->acked_at = 0;
  task->begun_at = 0;
  task->progress_at = now;
  task->percent = 0;
  task->checkpoint_percent = 0;
  task->pace = 100;
  task->gauge = 0;
  task->start_retries = 0;
  task->predecessor_stop_by = 0;
  task->unconfirmed = task->stop_acked = task->order_in_flight = false;
  task->inherited = task->begun_under_predecessor = false;
  task->incarnation = 0;
  task->placed_on = w->started_at;
  task->run++;
  task->worker = w;
  task->link.data = task;
  g_queue_push_tail_link (&w->tasks, &task->link);
  task->occ->job->n_placed++;
  sched->tiny_tasks += mt_task_is_tiny (task);
  add_usage (w, mt_task_step (task), 1);
  mt_task_isolate (task);
  mt_account_add_usage (mt_job_account (sched, task->occ->job), mt_task_step (task), 1);
  task->occ->job->records_leases |= mt_worker_longest_lease_ms (w, now) > 0;
  mt_task_mark_dirty (sched, task);
}

void
mt_task_finish (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_DONE)
    return;
  detach_from_worker (sched, task);
  if (task->state == MT_TASK_WAITING)
    task->occ->step_waiting[task->step]--;
  task->state = MT_TASK_DONE;
  task->state_since = now;
  task->occ->step_done[task->step]++;
  task->occ->n_done++;
  g_clear_pointer (&task->checkpoint, g_free);
  mt_task_mark_dirty (sched, task);
}

/* To be called when the task's run has ended or never began: the task has to run again. */
void
mt_task_set_waiting (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_WAITING || task->state == MT_TASK_DONE)
    return;
  detach_from_worker (sched, task);
  task->state = MT_TASK_WAITING;
  task->state_since = now;
  task->occ->step_waiting[task->step]++;
  mt_task_mark_dirty (sched, task);
  if (!task->done_elsewhere)
    return;
  mt_task_finish (sched, task, now);
  mt_job_complete_if_done (sched, task->occ->job, now);
}

/* Stops a run that is or may be active. A task that was only placed, and is not being written, was
 * never sent: it is set waiting again. */
void
mt_task_stop (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state == MT_TASK_PLACED && !task->occ->job->in_cycle)
    {
      mt_task_set_waiting (sched, task, now);
      return;
    }
  if (task->state != MT_TASK_ORDERED && task->state != MT_TASK_RUNNING
      && task->state != MT_TASK_PLACED)
    return;
  mt_task_dequeue (sched, task);
  task->state = MT_TASK_STOPPING;
  task->state_since = now;
  task->acked_at = 0;
  task->stop_acked = false;
  task->order_queued = true;
  g_queue_push_tail (&sched->stops, task);
  mt_task_mark_dirty (sched, task);
}

bool
mt_task_set_checkpoint (struct mt_task *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0' || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return false;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
  return true;
}
