/* Tasks that take their workers down.
 *
 * A worker that crashes reports nothing: the only evidence is what it had been given shortly
 * before. A run that its worker outlived for a while has settled. The others are suspects, and run
 * again where no other job's task is started until they have settled: what was lost with the cause
 * of a crash is not lost with it again, and a second crash tells which job was the cause. */
#include "scheduler_internal.h"

/* A run that was seen for so long did not take its worker down. */
#define SETTLED_MS 500
/* Workers that fall silent within so long of each other were lost to one event, not to a task. */
#define TOGETHER_MS 1000
/* A task that was lost again though it had settled is kept apart for as long as it ran, up to this.
 */
#define SETTLED_MOST_MS 3000
/* A long-running task that was seen for so long is not lost twice in a row. */
#define LONG_RUNNING_SETTLED_MS 3000
/* A suspect waits so long for a worker on which no other job's run has to settle. */
#define ISOLATION_WAIT_MS 1000

int64_t
mt_task_seen_ms (const struct mt_task *task)
{
  return task->began != 0 ? MAX (task->worker->heard - task->began, 0) : 0;
}

static bool
has_settled (const struct mt_task *task)
{
  return mt_task_seen_ms (task) >= MAX (task->settled_ms, SETTLED_MS);
}

/* Its start was sent. */
static bool
may_have_begun (const struct mt_task *task)
{
  return task->inherited || task->repeats > 0 || task->state == MT_TASK_RUNNING
         || task->state == MT_TASK_STOPPING || (task->state == MT_TASK_ORDERED && !task->order_due);
}

static bool
is_lost_with_others (const struct mt_scheduler *sched, const struct mt_worker *w)
{
  GHashTableIter it;
  const struct mt_worker *other;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &other))
    if (other != w && other->fell_silent != 0
        && ABS (other->fell_silent - w->fell_silent) < TOGETHER_MS)
      return true;
  return false;
}

static void
count_loss (struct mt_task *task, bool with_others)
{
  bool settled = has_settled (task);

  if (mt_task_step (task)->long_running && mt_task_seen_ms (task) >= LONG_RUNNING_SETTLED_MS)
    task->losses = 0;
  task->losses += task->losses < G_MAXUINT8;
  if (settled && task->losses > 1)
    task->settled_ms = MIN (mt_task_seen_ms (task) + SETTLED_MS, SETTLED_MOST_MS);
  if (task->losses > 1 || (!settled && !with_others))
    task->suspect = true;
}

void
mt_worker_count_losses (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  bool with_others;

  /* It was to go: its end says nothing of what ran there. */
  if (w->leaving || w->cordon_until > now)
    return;
  if (w->silent_since == 0)
    w->fell_silent = now;
  with_others = is_lost_with_others (sched, w);
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (may_have_begun (l->data))
      count_loss (l->data, with_others);
}

/* ---- isolation ---- */

static bool
has_unsettled_of_others (const struct mt_worker *w, const struct mt_job *job)
{
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;

      if (task->occ->job != job && !has_settled (task))
        return true;
    }
  return false;
}

bool
mt_task_may_join (const struct mt_task *task, const struct mt_worker *w, int64_t now)
{
  const struct mt_job *job = task->occ->job;

  if (w->isolated_for != NULL && w->isolated_for != job)
    return false;
  return !task->suspect || now - task->since > ISOLATION_WAIT_MS
         || !has_unsettled_of_others (w, job);
}

void
mt_task_isolate (struct mt_task *task)
{
  if (!task->suspect)
    return;
  task->isolated = true;
  task->worker->isolated++;
  task->worker->isolated_for = task->occ->job;
}

void
mt_task_end_isolation (struct mt_task *task)
{
  struct mt_worker *w = task->worker;

  if (!task->isolated)
    return;
  task->isolated = false;
  if (--w->isolated == 0)
    w->isolated_for = NULL;
}

void
mt_worker_settle (struct mt_scheduler *sched, struct mt_worker *w)
{
  for (GList *l = w->tasks.head; l != NULL && w->isolated > 0; l = l->next)
    {
      struct mt_task *task = l->data;

      if (!task->isolated || task->state != MT_TASK_RUNNING || !has_settled (task))
        continue;
      mt_task_end_isolation (task);
      task->suspect = false;
      sched->changed = true;
      mt_task_tell (sched, task, w, "TASK_SETTLED", "seen_ms=%" G_GINT64_FORMAT " losses=%u",
                    mt_task_seen_ms (task), task->losses);
    }
}
