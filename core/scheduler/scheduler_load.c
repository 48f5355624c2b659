/* What others decide from: each worker as it stands, and what the pool needs now and shortly. */
#include "scheduler_internal.h"

/* Of the time to a job's objective this is kept back for orders and news of ends, and no less than
 * the least is counted: what is nearly late does not ask for all machines. */
#define DEMAND_MARGIN_MS 200
#define DEMAND_LEAST_MS  400.0
/* What is busy shortly is reckoned for so far ahead: about as long as a machine takes to come. */
#define SOON_MS 1000
/* A leader that its link holds up asks for so much more than it keeps at work: the link may have
 * more to spare the next moment. */
#define LINK_BOUND_MORE 1.3
/* Work that can't be in time any more is to be done within so long, once there is room for it. */
#define LATE_WORK_MS 4000.0

int64_t
mt_task_remaining_ms (const struct mt_task *task, int64_t now)
{
  double expected = mt_step_expected_ms (task->occ->job->route, mt_task_step (task));
  int64_t known = task->moved - task->since;

  if (task->state == MT_TASK_STOPPING)
    return 0;
  if (task->state == MT_TASK_RUNNING && task->percent > 0 && known > 0)
    expected = (double) known * 100.0 / task->percent;
  return MAX ((int64_t) expected - (now - task->since), 0);
}

/* As many rounds as its most numerous step needs within its budget. */
static unsigned
drain_rounds (const struct mt_worker *w)
{
  unsigned most = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      const struct mt_step *step = mt_task_step (task);
      unsigned budget = MAX (step->max_unavailable, 1U);

      if (step->long_running)
        most = MAX (most,
                    (mt_worker_tasks_of_step (w, task->occ, task->step) + budget - 1) / budget);
    }
  return most;
}

static int64_t
worker_free_ms (const struct mt_worker *w, int64_t now)
{
  int64_t most = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    if (!mt_task_step (l->data)->long_running)
      most = MAX (most, mt_task_remaining_ms (l->data, now));
  return most;
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
                                        .tasks = w->tasks.length,
                                        .drain_rounds = drain_rounds (w),
                                        .batch_remaining_ms = worker_free_ms (w, now),
                                        .cordoned = w->cordon_until > 0,
                                        .leaving = w->leaving,
                                        .silent = w->silent_since != 0 || !w->held,
                                        .resources = w->room,
                                        .used = w->used };
      for (GList *l = w->tasks.head; l != NULL; l = l->next)
        out[n].long_running += mt_task_step (l->data)->long_running;
      n++;
    }
  return n;
}

static void
add_used (struct mt_scheduler_load *load, const struct mt_worker *w, int64_t now)
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
      if (step->long_running || task->occ->objective_by > now)
        load->urgent_used_cpu += step->need.cpu;
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

/* What the job needs on average to be done by its objective. One with a long objective is content
 * with fewer processors than its tasks could use at once. */
static int64_t
demand_of (const struct mt_occurrence *occ, int64_t now)
{
  double left = MAX ((double) (occ->objective_by - now - DEMAND_MARGIN_MS), DEMAND_LEAST_MS);

  return (int64_t) (mt_occurrence_remaining_work (occ) / left);
}

/* When what runs of the step will have ended, from now; counts those that go on beyond SOON_MS. */
static double
step_left_ms (const struct mt_occurrence *occ, unsigned s, int64_t now, unsigned *going_on)
{
  int64_t most = 0;

  for (unsigned i = 0; i < occ->job->spec->steps[s].count; i++)
    {
      const struct mt_task *task = &occ->tasks[occ->step_first[s] + i];
      int64_t left;

      if (task->state == MT_TASK_WAITING || task->state == MT_TASK_DONE)
        continue;
      left = mt_task_remaining_ms (task, now);
      most = MAX (most, left);
      *going_on += left > SOON_MS;
    }
  return (double) most;
}

/* By then a step that is nearly done needs nothing, and the one after it all its width. */
static int64_t
soon_cpu (const struct mt_occurrence *occ, int64_t now)
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
        busy = begins <= SOON_MS ? step->count : 0;
      ends_at = step_left_ms (occ, s, now, &busy);
      ends[s] = MAX (ends_at, begins);
      if (occ->step_waiting[s] > 0)
        ends[s] = begins + mt_step_expected_ms (occ->job->route, step);
      sum += step->fill ? 0 : (int64_t) busy * step->need.cpu;
    }
  return sum;
}

/* Machines are of no use to a job that waits for its workspace's quota. */
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
add_waiting (const struct mt_scheduler *sched,
             struct mt_scheduler_load *load,
             const struct mt_occurrence *occ,
             int64_t now)
{
  bool timely = mt_occurrence_can_meet_objective (occ, now);

  if (waits_for_quota (sched, occ, now))
    return;
  if (timely)
    load->demand_cpu += demand_of (occ, now);
  else
    load->overdue_cpu += (int64_t) (mt_occurrence_remaining_work (occ) / LATE_WORK_MS);
  if (occ->objective_by > now || occ->job->spec->steps[0].long_running)
    load->upcoming_cpu += soon_cpu (occ, now);
  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      const struct mt_step *step = &occ->job->spec->steps[s];

      /* What came since the last placing does not lack room: were it counted, a pool under a steady
       * stream would look short at every other look, and keep machines that others lack. */
      unsigned left = MIN (occ->step_left[s], occ->step_waiting[s]);

      if (step->fill)
        continue;
      load->waiting += left;
      if (step->long_running)
        load->unplaceable += left;
      if (timely || step->long_running)
        load->urgent += left;
    }
}

/* Its long-running tasks that can't be moved off though they should be. */
static unsigned
count_stranded (const struct mt_scheduler *sched, const struct mt_worker *w, int64_t now)
{
  unsigned n = 0;

  if (!w->leaving && (!w->move_long_running || w->cordon_until <= now))
    return 0;
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    n += mt_task_step (l->data)->long_running && !mt_task_can_run_elsewhere (sched, l->data, now);
  return n;
}

/* A leader whose link is full has no use for more machines than it keeps at work. */
static void
bound_by_link (struct mt_scheduler_load *load)
{
  int64_t most = (int64_t) (LINK_BOUND_MORE * (double) load->used_cpu);

  load->demand_cpu = MIN (load->demand_cpu, most);
  load->arriving_cpu = MIN (load->arriving_cpu, most);
  load->overdue_cpu = MIN (load->overdue_cpu, MAX (most - load->demand_cpu, 0));
}

void
mt_scheduler_load (const struct mt_scheduler *sched, int64_t now, struct mt_scheduler_load *load)
{
  GHashTableIter it;
  struct mt_worker *w;

  *load = (struct mt_scheduler_load){ .jobs = sched->open.length,
                                      .arriving_cpu
                                      = (int64_t) mt_scheduler_arriving_cpu (sched, now) };
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          add_waiting (sched, load, job->occurrences[k], now);
    }
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      load->running += w->tasks.length;
      if (w->ended || !w->listed)
        continue;
      load->workers++;
      load->silent += w->silent_since != 0;
      load->unplaceable += count_stranded (sched, w, now);
      if (!mt_worker_accepts_work (w, now))
        continue;
      load->capacity_cpu += w->room.cpu;
      load->used_cpu += w->used.cpu;
      add_used (load, w, now);
    }
  if (mt_scheduler_is_link_bound (sched, now))
    bound_by_link (load);
}
