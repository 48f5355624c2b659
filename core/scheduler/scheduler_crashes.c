/* Detection of tasks that crash their workers.
 *
 * A crashed worker reports nothing: the only evidence is which runs it had begun shortly before. A
 * run has settled once its worker has survived it for a while. When a worker crashes, the tasks of
 * its unsettled runs become suspects. A suspect runs again in isolation: no other job's task is
 * started on its worker until it has settled. So the tasks that were lost together with the cause
 * of a crash are not lost with it again, and a second crash shows which job caused it. That job is
 * given up: each start of it costs a worker, and all runs there, for seconds. */
#include "scheduler_internal.h"

#include <string.h>
#include <xxhash.h>

/* A run that was observed for this long did not crash its worker. */
#define SETTLED_MS 500
/* Workers that become silent within this time of each other may have been lost to one event. */
#define COINCIDENCE_MS 1000
/* If at least this many other workers, and at least one in eight, become silent within
 * COINCIDENCE_MS, the cause is a general instability and not a task. */
#define MIN_INSTABILITY_LOSSES 3U
#define INSTABILITY_DIVISOR    8
/* A task that was lost again although it had settled is next isolated for as long as it had run, up
 * to this time. */
#define MAX_SETTLED_MS 3000
/* A long-running task observed for this long resets its count of consecutive losses. */
#define LONG_RUNNING_SETTLED_MS 3000
/* A job is given up only once this many workers have crashed under one of its tasks, shortly after
 * the task began. */
#define MIN_CRASHES 2
/* Giving up a long-running job stops all of its tasks, so it takes more crashes. */
#define MIN_CRASHES_LONG_RUNNING 3
/* From this many consecutive losses of a task, MIN_CRASHES of them crashes, each may have had
 * another cause. */
#define SUSPICIOUS_LOSSES 4
/* With this many consecutive losses a task need not be known to have begun. */
#define MAX_LOSSES 5
/* A job is given up only on this much evidence, see struct mt_loss_evidence: of the tasks that
 * crash no worker, one in as many as that is given up. */
#define MIN_EVIDENCE 5.3
/* ... if the task shared its workers with other suspects. */
#define MIN_SHARED_EVIDENCE 8.0
/* ... after MAX_LOSSES: another start may cost another worker. */
#define MIN_LAST_EVIDENCE 4.0
/* Where losses may be regular, suspects are started again after a time between 0 and this, which
 * differs from run to run. */
#define MAX_SUSPECT_DELAY_MS 1000
/* Time between answers of a worker whose isolated suspect has just begun. */
#define ISOLATED_ANSWER_MS 100
/* A suspect's worker that did not answer its start was lost at most this long before. */
#define UNANSWERED_START_MS 300
/* A suspect is started only on a worker that has answered within this time: a worker that was
 * already down would count as a second crash of the suspect. */
#define MAX_ANSWER_AGE_MS 300

int64_t
mt_task_observed_ms (const struct mt_task *task)
{
  return task->begun_at != 0 ? MAX (task->worker->answered_at - task->begun_at, 0) : 0;
}

bool
mt_task_has_begun (const struct mt_task *task)
{
  return task->begun_at != 0 || task->begun_under_predecessor;
}

static bool
has_settled (const struct mt_task *task)
{
  return mt_task_observed_ms (task) >= MAX (task->settle_ms, SETTLED_MS);
}

struct other_workers
{
  unsigned silent_together; /* became silent within COINCIDENCE_MS, without an isolated suspect */
  unsigned listed;          /* including the lost worker */
};

static struct other_workers
count_other_workers (const struct mt_scheduler *sched, const struct mt_worker *w)
{
  GHashTableIter it;
  const struct mt_worker *other;
  struct other_workers out = { 0 };

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &other))
    {
      out.listed += other->listed;
      out.silent_together += other != w && other->fell_silent_at != 0 && !other->was_isolating
                             && ABS (other->fell_silent_at - w->fell_silent_at) < COINCIDENCE_MS;
    }
  return out;
}

void
mt_worker_record_silence (struct mt_worker *w, int64_t now)
{
  /* An incarnation that has not answered yet may only be delayed by orders sent to its predecessor
   * at the same address. */
  if (w->answered_at == 0)
    return;
  w->fell_silent_at = now;
  w->was_isolating = w->isolated_tasks > 0;
}

/* Returns the job of the worker's unsettled runs; NULL if there are none, or if they belong to
 * several jobs. */
static const struct mt_job *
sole_unsettled_job (const struct mt_worker *w)
{
  const struct mt_job *job = NULL;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;

      if (!mt_task_may_have_begun (task) || has_settled (task))
        continue;
      if (job != NULL && job != task->occ->job)
        return NULL;
      job = task->occ->job;
    }
  return job;
}

static unsigned
min_crashes (const struct mt_task *task)
{
  return mt_task_step (task)->long_running ? MIN_CRASHES_LONG_RUNNING : MIN_CRASHES;
}

/* Returns whether the losses are no coincidence, whatever else may have caused each of them. */
static bool
is_lost_too_often (const struct mt_task *task, unsigned losses, unsigned crashes, double evidence)
{
  if (losses >= MAX_LOSSES)
    return evidence >= MIN_LAST_EVIDENCE;
  return losses >= SUSPICIOUS_LOSSES && crashes >= min_crashes (task)
         && evidence >= MIN_SHARED_EVIDENCE;
}

/* Returns the density, per ms, of the time at which a task that crashes its workers does so, for a
 * run that was last observed at that time. Half of these tasks crash them before they settle, most
 * of them at once, the others at any time of their run. */
static double
crash_density (const struct mt_task *task, int64_t observed_ms)
{
  double answer_ms = !task->isolated             ? MT_HOLD_WAIT_MS
                     : !mt_task_has_begun (task) ? UNANSWERED_START_MS
                                                 : ISOLATED_ANSWER_MS;
  double at = (double) observed_ms;
  double run_ms = mt_task_step (task)->long_running
                      ? LONG_RUNNING_SETTLED_MS
                      : mt_step_expected_ms (task->occ->job->route, mt_task_step (task));
  double early = 0.5 / (1 / answer_ms - 1 / (SETTLED_MS + answer_ms));

  if (at < SETTLED_MS)
    return early / ((at + answer_ms) * (at + answer_ms));
  return 0.5 / (MAX (run_ms, at) + answer_ms);
}

static void
add_evidence (const struct mt_scheduler *sched,
              const struct mt_task *task,
              int64_t now,
              struct mt_task_loss *loss)
{
  /* Giving up a long-running job stops all of its tasks: its losses count as chance, too. */
  mt_loss_evidence_add (&loss->evidence, &sched->loss_rate, crash_density (task, loss->observed_ms),
                        mt_task_step (task)->long_running, now);
}

int64_t
mt_task_suspect_delay_ms (const struct mt_scheduler *sched, const struct mt_task *task, int64_t now)
{
  if (!task->suspect || !mt_loss_rate_may_be_regular (&sched->loss_rate, now))
    return 0;
  return (int64_t) (XXH3_64bits_withSeed (task->occ->job->spec->id,
                                          strlen (task->occ->job->spec->id),
                                          task->run + 1000U * task->index)
                    % MAX_SUSPECT_DELAY_MS);
}

/* Clears the counts of losses in a row. */
static void
clear_losses (struct mt_task_loss *loss)
{
  loss->losses = loss->crashes = 0;
  loss->evidence = (struct mt_loss_evidence){ 0 };
}

static bool
is_cause (const struct mt_crash *crash, const struct mt_task *task)
{
  return crash->attributed && !crash->in_instability && crash->sole_job == task->occ->job
         && task->suspect && !has_settled (task);
}

/* Returns whether the worker announced that it would leave and then answered for a while. Its loss
 * is then no evidence against its tasks. */
static bool
has_left_as_announced (const struct mt_worker *w)
{
  return w->leaving && w->answered_at - w->leaving_since > SETTLED_MS;
}

/* Returns whether the worker's loss was not planned and has not been counted yet. */
static bool
is_loss_countable (const struct mt_worker *w, int64_t now)
{
  return !w->loss_counted && !w->leaving && w->cordon_until <= now;
}

void
mt_worker_count_loss (struct mt_scheduler *sched,
                      struct mt_worker *w,
                      const struct mt_crash *crash,
                      bool is_idle)
{
  if (w->loss_counted)
    return;
  if (is_idle)
    mt_loss_rate_add_idle_loss (&sched->loss_rate, crash->counts, crash->at);
  else
    mt_loss_rate_add_loss (&sched->loss_rate, crash->counts, crash->at);
  w->loss_counted = true;
}

void
mt_worker_count_idle_loss (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  static const bool counts[MT_LOSS_GROUPS] = { true, true };

  if (w->tasks.length > 0 || !is_loss_countable (w, now))
    return;
  mt_loss_rate_add_loss (&sched->loss_rate, counts, now);
  w->loss_counted = true;
}

struct mt_crash
mt_worker_assess_crash (struct mt_scheduler *sched,
                        struct mt_worker *w,
                        bool incarnation_ended,
                        int64_t now)
{
  struct mt_crash crash = { .incarnation_ended = incarnation_ended,
                            .at = now,
                            .announced = has_left_as_announced (w),
                            .sole_job = sole_unsettled_job (w) };
  struct other_workers others;

  if (!crash.announced && w->silent_since == 0)
    mt_worker_record_silence (w, now);
  others = count_other_workers (sched, w);
  crash.with_others = others.silent_together > 0;
  crash.in_instability
      = others.silent_together >= MAX (MIN_INSTABILITY_LOSSES, others.listed / INSTABILITY_DIVISOR);
  crash.attributed = crash.sole_job != NULL && crash.sole_job == w->isolated_job;
  for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
    crash.counts[g]
        = !crash.announced && is_loss_countable (w, now) && mt_worker_was_in_loss_group (w, g);
  return crash;
}

static void
count_crash_loss (const struct mt_scheduler *sched,
                  const struct mt_task *task,
                  const struct mt_crash *crash,
                  struct mt_task_loss *loss)
{
  bool settled = has_settled (task);
  bool is_fresh = mt_task_has_begun (task) && loss->observed_ms < SETTLED_MS;

  loss->losses += loss->losses < G_MAXUINT8;
  loss->crashes += crash->incarnation_ended && is_fresh && loss->crashes < G_MAXUINT8;
  if (settled && loss->losses > 1)
    loss->settle_ms = MIN (loss->observed_ms + SETTLED_MS, MAX_SETTLED_MS);
  if (loss->losses > 1 || (!settled && !crash->with_others))
    loss->suspect = true;
  add_evidence (sched, task, crash->at, loss);
  loss->gives_up = (is_cause (crash, task) && loss->crashes >= min_crashes (task)
                    && loss->evidence.total >= MIN_EVIDENCE)
                   || is_lost_too_often (task, loss->losses, loss->crashes, loss->evidence.total);
}

/* Counts a loss of which is only known that the task may have begun. */
static void
count_unexamined_loss (const struct mt_scheduler *sched,
                       const struct mt_task *task,
                       int64_t now,
                       struct mt_task_loss *loss)
{
  loss->losses += loss->losses < G_MAXUINT8;
  add_evidence (sched, task, now, loss);
  loss->gives_up = is_lost_too_often (task, loss->losses, loss->crashes, loss->evidence.total);
}

struct mt_task_loss
mt_task_assess_loss (const struct mt_scheduler *sched,
                     const struct mt_task *task,
                     const struct mt_crash *crash)
{
  struct mt_task_loss loss = { .losses = task->losses,
                               .crashes = task->crashes,
                               .suspect = task->suspect,
                               .settle_ms = task->settle_ms,
                               .evidence = task->evidence,
                               .observed_ms = mt_task_observed_ms (task),
                               .state = task->state };

  if (task->unlocated)
    return task->loss;
  if (!mt_task_may_have_begun (task))
    return loss;
  if (mt_task_step (task)->long_running && loss.observed_ms >= LONG_RUNNING_SETTLED_MS)
    clear_losses (&loss);
  if (crash->announced)
    {
      if (task->suspect)
        count_unexamined_loss (sched, task, crash->at, &loss);
      return loss;
    }
  /* The crash is attributed to another job: this task was only on the same worker. */
  if (crash->attributed && crash->sole_job != task->occ->job)
    count_unexamined_loss (sched, task, crash->at, &loss);
  else
    count_crash_loss (sched, task, crash, &loss);
  for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
    loss.evidence.counted.n[g] += crash->counts[g] && loss.evidence.counted.n[g] < G_MAXUINT8;
  loss.evidence.counted.last_at = crash->at;
  return loss;
}

struct mt_task_loss
mt_task_assess_recorded_loss (const struct mt_scheduler *sched,
                              const struct mt_task *task,
                              int64_t now)
{
  struct mt_task_loss loss = { .losses = task->losses,
                               .crashes = task->crashes,
                               .suspect = true,
                               .settle_ms = task->settle_ms,
                               .evidence = task->evidence,
                               .state = task->state };

  loss.crashes += mt_task_has_begun (task) && loss.crashes < G_MAXUINT8;
  count_unexamined_loss (sched, task, now, &loss);
  return loss;
}

void
mt_task_apply_loss (struct mt_task *task, const struct mt_task_loss *loss)
{
  task->losses = loss->losses;
  task->crashes = loss->crashes;
  task->suspect = loss->suspect;
  task->settle_ms = loss->settle_ms;
  task->evidence = loss->evidence;
  task->occ->has_suspects |= loss->suspect;
}

void
mt_task_clear_evidence (struct mt_task *task)
{
  task->evidence = (struct mt_loss_evidence){ 0 };
}

void
mt_task_give_up (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  struct mt_job *job = task->occ->job;

  if (job->ended_at != 0)
    return;
  mt_scheduler_log_event (sched, "TASK_GIVEN_UP",
                          "id=%s step=%u index=%u run=%u losses=%u crashes=%u evidence=%.1f",
                          job->spec->id, task->step, task->index, task->run, task->losses,
                          task->crashes, task->evidence.total);
  mt_loss_rate_remove (&sched->loss_rate, &task->evidence.counted, now);
  mt_job_end (sched, job, MT_JOB_FAILED, now);
}

void
mt_job_give_up_lost (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      {
        struct mt_task *task = &job->occurrences[k]->tasks[i];

        if (is_lost_too_often (task, task->losses, task->crashes, task->evidence.total))
          mt_task_give_up (sched, task, now);
      }
}

/* ---- isolation ---- */

static bool
has_unsettled_other_jobs (const struct mt_worker *w, const struct mt_job *job)
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

  if (w->isolated_job != NULL && w->isolated_job != job)
    return false;
  if (!task->suspect)
    return true;
  return now - w->answered_at <= MAX_ANSWER_AGE_MS
         && (now - task->state_since > MT_ISOLATION_WAIT_MS || !has_unsettled_other_jobs (w, job));
}

void
mt_task_isolate (struct mt_task *task)
{
  if (!task->suspect)
    return;
  task->isolated = true;
  task->worker->isolated_tasks++;
  task->worker->isolated_job = task->occ->job;
}

void
mt_task_end_isolation (struct mt_task *task)
{
  struct mt_worker *w = task->worker;

  if (!task->isolated)
    return;
  task->isolated = false;
  if (--w->isolated_tasks == 0)
    w->isolated_job = NULL;
}

void
mt_worker_clear_settled (struct mt_scheduler *sched, struct mt_worker *w)
{
  for (GList *l = w->tasks.head; l != NULL && w->isolated_tasks > 0; l = l->next)
    {
      struct mt_task *task = l->data;

      if (!task->isolated || task->state != MT_TASK_RUNNING || !has_settled (task))
        continue;
      mt_task_end_isolation (task);
      task->suspect = false;
      sched->changed = true;
      mt_task_log_event (sched, task, w, "TASK_SETTLED", "seen_ms=%" G_GINT64_FORMAT " losses=%u",
                         mt_task_observed_ms (task), task->losses);
      /* The run has lasted for as long as any that was lost, so another task caused those losses.
       * Without this, a long-running task on workers that others crash again and again would be
       * given up in the end, and all tasks of its job stopped. Other tasks may crash their worker
       * at the end of their run. */
      if (mt_task_step (task)->long_running)
        {
          task->losses = task->crashes = 0;
          mt_task_clear_evidence (task);
        }
    }
}
