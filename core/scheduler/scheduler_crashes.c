/* Tasks that take their workers down.
 *
 * A worker that crashes reports nothing: the only evidence is what it had been given shortly
 * before. A run that its worker outlived for a while has settled. The others are suspects, and run
 * again where no other job's task is started until they have settled: what was lost with the cause
 * of a crash is not lost with it again, and a second crash tells which job was the cause. That job
 * is given up: each start of it costs a worker, and all that runs there, for seconds. */
#include "scheduler_internal.h"

/* A run that was seen for so long did not take its worker down. */
#define SETTLED_MS 500
/* Workers that fall silent within so long of each other may have been lost to one event. */
#define TOGETHER_MS 1000
/* So many of them, and this part of the pool, are unrest that no task makes. */
#define UNREST_LEAST 3U
#define UNREST_PART  8
/* A task that was lost again though it had settled is kept apart for as long as it ran, up to this.
 */
#define SETTLED_MOST_MS 3000
/* A long-running task that was seen for so long is not lost twice in a row. */
#define LONG_RUNNING_SETTLED_MS 3000
/* A job is given up only once so many workers have crashed under one of its tasks, shortly after
 * the start. */
#define LEAST_CRASHES 2
/* To give up a long-running job stops all that is at work of it. */
#define LEAST_CRASHES_LONG_RUNNING 3
/* So many losses in a row are no accident, even if each time something else may have been the
 * cause. */
#define MANY_LOSSES 4
/* A task that was lost so often in a row is given up even if it is not known to have begun. */
#define MOST_LOSSES 5
/* A suspect is started on a worker that has answered within this time: one that is down already
 * would count as a second crash. */
#define ALIVE_MS 300
/* A suspect waits so long for a worker on which no other job's run has to settle. */
#define ISOLATION_WAIT_MS 1000

int64_t
mt_task_observed_ms (const struct mt_task *task)
{
  return task->began != 0 ? MAX (task->worker->heard - task->began, 0) : 0;
}

bool
mt_task_has_begun (const struct mt_task *task)
{
  return task->began != 0 || task->begun_before;
}

static bool
has_settled (const struct mt_task *task)
{
  return mt_task_observed_ms (task) >= MAX (task->settled_ms, SETTLED_MS);
}

/* Its start was sent. */
static bool
may_have_begun (const struct mt_task *task)
{
  return task->inherited || task->repeats > 0 || task->state == MT_TASK_RUNNING
         || task->state == MT_TASK_STOPPING || (task->state == MT_TASK_ORDERED && !task->order_due);
}

struct others
{
  unsigned lost; /* fell silent at that moment, and not by what was isolated on them */
  unsigned listed;
};

static struct others
count_others (const struct mt_scheduler *sched, const struct mt_worker *w)
{
  GHashTableIter it;
  const struct mt_worker *other;
  struct others out = { 0 };

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &other))
    {
      out.listed += other->listed;
      out.lost += other != w && other->fell_silent != 0 && !other->fell_isolated
                  && ABS (other->fell_silent - w->fell_silent) < TOGETHER_MS;
    }
  return out;
}

void
mt_worker_record_silence (struct mt_worker *w, int64_t now)
{
  /* A life that has not answered yet may wait behind what was sent to the one before it, at the
   * same address. */
  if (w->heard == 0)
    return;
  w->fell_silent = now;
  w->fell_isolated = w->isolated > 0;
}

/* The job of all runs that have not settled; NULL where they are of several, or there are none. */
static const struct mt_job *
sole_unsettled_job (const struct mt_worker *w)
{
  const struct mt_job *job = NULL;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;

      if (!may_have_begun (task) || has_settled (task))
        continue;
      if (job != NULL && job != task->occ->job)
        return NULL;
      job = task->occ->job;
    }
  return job;
}

static unsigned
least_crashes (const struct mt_task *task)
{
  return mt_task_step (task)->long_running ? LEAST_CRASHES_LONG_RUNNING : LEAST_CRASHES;
}

static bool
is_lost_too_often (const struct mt_task *task)
{
  return task->losses >= MOST_LOSSES
         || (task->losses >= MANY_LOSSES && task->crashes >= LEAST_CRASHES);
}

/* What is known of how a worker was lost. */
struct crash
{
  bool life_over;   /* it has crashed; else its lease has lapsed, and it may run on */
  bool with_others; /* another one was lost at that moment */
  bool in_unrest;   /* many were: a rack, a link, or workers that are down and up by turns */
  const struct mt_job *sole; /* the job of all runs that had not settled */
  bool attributed;           /* ... and it was isolated there */
};

static bool
is_cause (const struct crash *crash, const struct mt_task *task)
{
  return crash->attributed && !crash->in_unrest && crash->sole == task->occ->job && task->suspect
         && !has_settled (task);
}

static struct crash
examine (const struct mt_scheduler *sched, const struct mt_worker *w, bool life_over)
{
  struct others others = count_others (sched, w);
  struct crash crash
      = { .life_over = life_over,
          .with_others = others.lost > 0,
          .in_unrest = others.lost >= MAX (UNREST_LEAST, others.listed / UNREST_PART),
          .sole = sole_unsettled_job (w) };

  crash.attributed = crash.sole != NULL && crash.sole == w->isolated_for;
  return crash;
}

/* True where its job is to be given up. */
static bool
count_loss (struct mt_task *task, const struct crash *crash)
{
  bool settled = has_settled (task);
  bool cause = is_cause (crash, task);
  bool is_fresh = mt_task_has_begun (task) && mt_task_observed_ms (task) < SETTLED_MS;

  task->losses += task->losses < G_MAXUINT8;
  task->crashes += crash->life_over && is_fresh && task->crashes < G_MAXUINT8;
  if (settled && task->losses > 1)
    task->settled_ms = MIN (mt_task_observed_ms (task) + SETTLED_MS, SETTLED_MOST_MS);
  if (task->losses > 1 || (!settled && !crash->with_others))
    task->suspect = true;
  return (cause && task->crashes >= least_crashes (task)) || is_lost_too_often (task);
}

/* A worker that has gone as it said tells nothing of what ran there; but a suspect may have been
 * started there once more. */
static bool
has_gone_as_said (const struct mt_worker *w)
{
  return w->leaving && w->heard - w->leaving_since > SETTLED_MS;
}

/* It may have begun once more; nothing else is known of it. */
static bool
count_only (struct mt_task *task)
{
  task->losses += task->losses < G_MAXUINT8;
  return is_lost_too_often (task);
}

/* True where its job is to be given up. */
static bool
note_loss (struct mt_task *task, const struct crash *crash, bool planned)
{
  if (!may_have_begun (task))
    return false;
  if (mt_task_step (task)->long_running && mt_task_observed_ms (task) >= LONG_RUNNING_SETTLED_MS)
    task->losses = task->crashes = 0;
  if (planned)
    return task->suspect && count_only (task);
  /* Where the cause is known the others were only there. */
  if (crash->attributed && crash->sole != task->occ->job)
    return count_only (task);
  return count_loss (task, crash);
}

GPtrArray *
mt_worker_count_losses (struct mt_scheduler *sched,
                        struct mt_worker *w,
                        bool life_over,
                        int64_t now)
{
  GPtrArray *given_up = g_ptr_array_new ();
  bool planned = has_gone_as_said (w);
  struct crash crash;

  if (!planned && w->silent_since == 0)
    mt_worker_record_silence (w, now);
  crash = examine (sched, w, life_over);
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      if (note_loss (l->data, &crash, planned))
        g_ptr_array_add (given_up, l->data);
    }
  return given_up;
}

void
mt_task_give_up (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  struct mt_job *job = task->occ->job;

  if (job->ended_at != 0)
    return;
  mt_scheduler_log_event (sched, "TASK_GIVEN_UP",
                          "id=%s step=%u index=%u run=%u losses=%u crashes=%u", job->spec->id,
                          task->step, task->index, task->run, task->losses, task->crashes);
  mt_job_end (sched, job, MT_JOB_FAILED, now);
}

void
mt_job_give_up_lost (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      if (is_lost_too_often (&job->occurrences[k]->tasks[i]))
        mt_task_give_up (sched, &job->occurrences[k]->tasks[i], now);
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
mt_task_may_share_worker (const struct mt_task *task, const struct mt_worker *w, int64_t now)
{
  const struct mt_job *job = task->occ->job;

  if (w->isolated_for != NULL && w->isolated_for != job)
    return false;
  if (!task->suspect)
    return true;
  return now - w->heard <= ALIVE_MS
         && (now - task->since > ISOLATION_WAIT_MS || !has_unsettled_of_others (w, job));
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
mt_worker_clear_settled (struct mt_scheduler *sched, struct mt_worker *w)
{
  for (GList *l = w->tasks.head; l != NULL && w->isolated > 0; l = l->next)
    {
      struct mt_task *task = l->data;

      if (!task->isolated || task->state != MT_TASK_RUNNING || !has_settled (task))
        continue;
      mt_task_end_isolation (task);
      task->suspect = false;
      sched->changed = true;
      mt_task_log_event (sched, task, w, "TASK_SETTLED", "seen_ms=%" G_GINT64_FORMAT " losses=%u",
                         mt_task_observed_ms (task), task->losses);
    }
}
