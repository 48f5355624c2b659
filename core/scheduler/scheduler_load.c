/* State of the workers, and current and upcoming load of the pool, as input for decisions outside
 * the scheduler. */
#include "scheduler_internal.h"

/* Time before a job's objective that is reserved for orders and for reports of ends. The remaining
 * time counts as no less than the minimum, so that a job that is nearly late does not ask for all
 * machines. */
#define DEMAND_MARGIN_MS 200
#define MIN_DEMAND_MS    400.0
/* How far ahead the upcoming load is estimated: about the time that a machine takes to move to the
 * pool. */
#define UPCOMING_MS 1000
/* A leader limited by its link asks for this multiple of the processors that it keeps busy: the
 * link may soon carry more. */
#define LINK_BOUND_FACTOR 1.3
/* Work that can't meet its objective any more is to be completed within this time. */
#define OVERDUE_WORK_MS 4000.0

int64_t
mt_task_remaining_ms (const struct mt_task *task, int64_t now)
{
  double expected = mt_step_expected_ms (task->occ->job->route, mt_task_step (task));
  int64_t known = task->progress_at - task->state_since;

  if (task->worker != NULL)
    expected *= mt_worker_run_factor (task->worker, task->occ->job->route, 1);
  if (task->state == MT_TASK_STOPPING)
    return 0;
  if (task->state == MT_TASK_RUNNING && task->percent > 0 && known > 0)
    expected = (double) known * 100.0 / task->percent;
  return MAX ((int64_t) expected - (now - task->state_since), 0);
}

/* Returns whether the task before it in the worker's queue is of the same step. */
static bool
follows_own_step (const GList *l)
{
  const struct mt_task *task = l->data;
  const struct mt_task *before = l->prev != NULL ? l->prev->data : NULL;

  return before != NULL && before->occ == task->occ && before->step == task->step;
}

/* Returns the number of rounds in which the worker's long-running tasks can be moved off: the most
 * that any step needs within its max_unavailable. */
static unsigned
drain_rounds (const struct mt_worker *w)
{
  unsigned rounds = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      const struct mt_step *step = mt_task_step (task);
      unsigned budget = MAX (step->max_unavailable, 1U);

      if (step->long_running && !follows_own_step (l))
        rounds = MAX (rounds,
                      (mt_worker_tasks_of_step (w, task->occ, task->step) + budget - 1) / budget);
    }
  return rounds;
}

int64_t
mt_worker_batch_remaining_ms (const struct mt_worker *w, int64_t now)
{
  int64_t longest = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (!mt_task_step (l->data)->long_running)
      longest = MAX (longest, mt_task_remaining_ms (l->data, now));
  return longest;
}

size_t
mt_scheduler_max_workers (const struct mt_scheduler *sched)
{
  return g_hash_table_size (sched->workers);
}

size_t
mt_scheduler_workers (const struct mt_scheduler *sched,
                      int64_t now,
                      struct mt_worker_view *out,
                      size_t max)
{
  GHashTableIter it;
  struct mt_worker *w;
  size_t n = 0;

  g_hash_table_iter_init (&it, sched->workers);
  while (n < max && g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      if (w->ended || (!w->listed && w->tasks.length == 0))
        continue;
      out[n] = (struct mt_worker_view){ .id = w->id,
                                        .started_at_ms = w->started_at,
                                        .tasks = w->tasks.length,
                                        .drain_rounds = drain_rounds (w),
                                        .batch_remaining_ms = mt_worker_batch_remaining_ms (w, now),
                                        .cordoned = w->cordon_until > 0,
                                        .leaving = w->leaving,
                                        .silent = w->silent_since != 0 || !w->confirmed,
                                        .resources = w->resources,
                                        .used = w->used };
      for (GList *l = w->tasks.head; l != NULL; l = l->next)
        out[n].long_running += mt_task_step (l->data)->long_running;
      n++;
    }
  return n;
}

/* Returns the processors as a number of processors of workers of normal speed. */
static int64_t
at_normal_speed (const struct mt_worker *w, int64_t cpu)
{
  return (int64_t) ((double) cpu * (1 - w->lost_capacity));
}

static void
add_worker_usage (struct mt_scheduler_load *load, const struct mt_worker *w, int64_t now)
{
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      const struct mt_step *step = mt_task_step (task);

      if (step->fill || task->occ->job->ended_at != 0)
        continue;
      if (step->long_running)
        {
          load->demand_cpu += step->need.cpu;
          load->long_running_cpu += step->need.cpu;
        }
      if (step->long_running || task->occ->objective_at > now)
        load->urgent_used_cpu += at_normal_speed (w, step->need.cpu);
    }
}

double
mt_occurrence_remaining_work (const struct mt_occurrence *occ)
{
  double work = 0;

  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      const struct mt_step *step = &occ->job->spec->steps[s];
      unsigned running = step->count - occ->step_waiting[s] - occ->step_done[s];

      if (!step->long_running && !step->fill)
        work += (occ->step_waiting[s] + 0.5 * running) * (double) step->need.cpu
                * mt_step_expected_ms (occ->job->route, step);
    }
  return work;
}

/* Returns the processors that the occurrence needs on average to meet its objective: with a long
 * objective, fewer than its tasks could use at once. */
static int64_t
occurrence_demand_cpu (const struct mt_occurrence *occ, int64_t now)
{
  double remaining_ms = MAX ((double) (occ->objective_at - now - DEMAND_MARGIN_MS), MIN_DEMAND_MS);

  return (int64_t) (mt_occurrence_remaining_work (occ) / remaining_ms);
}

/* Returns the time until the step's running tasks have ended. Adds the number of those that run for
 * longer than UPCOMING_MS to still_running. */
static double
step_remaining_ms (const struct mt_occurrence *occ,
                   unsigned s,
                   int64_t now,
                   unsigned *still_running)
{
  int64_t longest = 0;

  for (unsigned i = 0; i < occ->job->spec->steps[s].count; i++)
    {
      const struct mt_task *task = &occ->tasks[occ->step_first[s] + i];
      int64_t remaining_ms;

      if (task->state == MT_TASK_WAITING || task->state == MT_TASK_DONE)
        continue;
      remaining_ms = mt_task_remaining_ms (task, now);
      longest = MAX (longest, remaining_ms);
      *still_running += remaining_ms > UPCOMING_MS;
    }
  return (double) longest;
}

/* Returns the processors that the occurrence keeps busy UPCOMING_MS from now. A step that is nearly
 * done needs none by then, and a step that follows it needs all of its own. */
static int64_t
occurrence_upcoming_cpu (const struct mt_occurrence *occ, int64_t now)
{
  const struct mt_job_spec *spec = occ->job->spec;
  double ends[MT_MAX_CHAIN_STEPS] = { 0 };
  int64_t sum = 0;

  for (unsigned s = 0; s < spec->n_steps && s < MT_MAX_CHAIN_STEPS; s++)
    {
      const struct mt_step *step = &spec->steps[s];
      unsigned busy = occ->step_waiting[s];
      double begins = 0;
      double ends_at;

      for (unsigned a = 0; a < step->n_after; a++)
        if (step->after[a] < MT_MAX_CHAIN_STEPS)
          begins = MAX (begins, ends[step->after[a]]);
      if (!mt_occurrence_step_is_ready (occ, s))
        busy = begins <= UPCOMING_MS ? step->count : 0;
      ends_at = step_remaining_ms (occ, s, now, &busy);
      ends[s] = MAX (ends_at, begins);
      if (occ->step_waiting[s] > 0)
        ends[s] = begins + mt_step_expected_ms (occ->job->route, step);
      sum += step->fill ? 0 : (int64_t) busy * step->need.cpu;
    }
  return sum;
}

/* Returns whether a ready step waits for its workspace's quota: more machines don't help it. */
static bool
waits_for_quota (const struct mt_scheduler *sched, const struct mt_occurrence *occ, int64_t now)
{
  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    if (occ->step_waiting[s] > 0 && mt_occurrence_step_is_ready (occ, s)
        && !mt_account_allows (sched, occ->job->account, &occ->job->spec->steps[s], now))
      return true;
  return false;
}

static void
add_occurrence (const struct mt_scheduler *sched,
                struct mt_scheduler_load *load,
                const struct mt_occurrence *occ,
                int64_t now)
{
  bool timely = mt_occurrence_can_meet_objective (occ, now);

  if (waits_for_quota (sched, occ, now))
    return;
  if (timely)
    load->demand_cpu += occurrence_demand_cpu (occ, now);
  else
    load->overdue_cpu += (int64_t) (mt_occurrence_remaining_work (occ) / OVERDUE_WORK_MS);
  if (occ->objective_at > now || occ->job->spec->steps[0].long_running)
    load->upcoming_cpu += occurrence_upcoming_cpu (occ, now);
  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      const struct mt_step *step = &occ->job->spec->steps[s];

      /* Leaves out tasks that became ready after the last placing: they don't lack resources. If
       * they were counted, a pool under steady load would often seem to lack resources and would
       * keep machines that other pools need. */
      unsigned unplaced = MIN (occ->step_unplaced[s], occ->step_waiting[s]);

      if (step->fill)
        continue;
      load->waiting += unplaced;
      if (step->long_running)
        load->unplaceable += unplaced;
      if (timely || step->long_running)
        load->urgent += unplaced;
    }
}

/* Returns whether one of the occurrence's tasks has waited in vain for a worker of its own. */
static bool
waits_for_isolation (const struct mt_occurrence *occ, int64_t now)
{
  if (!occ->has_suspects)
    return false;
  for (unsigned i = 0; i < occ->n_tasks; i++)
    if (occ->tasks[i].state == MT_TASK_WAITING && occ->tasks[i].suspect
        && now - occ->tasks[i].state_since > MT_ISOLATION_WAIT_MS)
      return true;
  return false;
}

/* Counts the worker's long-running tasks that should be moved off but can't be. */
static unsigned
count_unplaceable (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  unsigned n = 0;

  if (!w->leaving && (!w->move_long_running || w->cordon_until <= now))
    return 0;
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    n += mt_task_step (l->data)->long_running && !mt_task_can_run_elsewhere (sched, l->data, now);
  return n;
}

/* Limits the pool's demand to LINK_BOUND_FACTOR of the processors in use: a leader whose link is
 * full can't use many more machines than it keeps busy. */
static void
limit_load_to_link (struct mt_scheduler_load *load)
{
  int64_t max_cpu = (int64_t) (LINK_BOUND_FACTOR * (double) load->used_cpu);

  load->demand_cpu = MIN (load->demand_cpu, max_cpu);
  load->arriving_cpu = MIN (load->arriving_cpu, max_cpu);
  load->overdue_cpu = MIN (load->overdue_cpu, MAX (max_cpu - load->demand_cpu, 0));
}

void
mt_scheduler_load (const struct mt_scheduler *sched, int64_t now, struct mt_scheduler_load *load)
{
  GHashTableIter it;
  struct mt_worker *w;
  unsigned n_isolations = 0;
  unsigned n_accepting = 0;

  *load = (struct mt_scheduler_load){ .jobs = sched->open.length,
                                      .arriving_cpu
                                      = (int64_t) mt_scheduler_arriving_cpu (sched, now) };
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          {
            add_occurrence (sched, load, job->occurrences[k], now);
            n_isolations += waits_for_isolation (job->occurrences[k], now);
          }
    }
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      load->running += w->tasks.length;
      if (w->ended || !w->listed)
        continue;
      load->workers++;
      load->silent += w->silent_since != 0;
      load->unplaceable += count_unplaceable (sched, w, now);
      if (!mt_worker_accepts_work (w, now))
        continue;
      n_accepting++;
      load->capacity_cpu += at_normal_speed (w, w->resources.cpu);
      load->used_cpu += at_normal_speed (w, w->used.cpu);
      add_worker_usage (load, w, now);
    }
  /* However small a suspect is, it takes a whole worker. */
  if (n_accepting > 0)
    load->overdue_cpu += n_isolations * load->capacity_cpu / n_accepting;
  if (mt_scheduler_is_link_bound (sched, now))
    limit_load_to_link (load);
}
