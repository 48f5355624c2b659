/* Placing of waiting tasks by value or by share.
 *
 * In a surge a pool's jobs need more than it can run. Without shares, resources go to the jobs with
 * the highest value per remaining work. With shares, each workspace first gets its share, then
 * whatever is left is used. No accepted job is dropped. */
#include "scheduler_place.h"

/* Most unsent starts at a leader whose link is full: a slow link takes about 100 ms for them. */
#define MAX_UNSENT_STARTS 40U
/* Most unsent starts for each worker, and in all at least. Tasks of other jobs that become ready
 * are placed behind them, and a large job alone has many more. */
#define UNSENT_STARTS_PER_WORKER 32U
#define MIN_UNSENT_STARTS        512U
/* Most tiny tasks in all for each worker, which lists all of its tasks in each answer to a hold.
 * Gangs and long-running tasks are not limited, as they have to run all at once. */
#define TINY_TASKS_PER_WORKER 64U
/* Most of them that one placing starts for each worker: thousands that start together end together,
 * and each end is listed, stored and acknowledged. */
#define TINY_STARTS_PER_WORKER 4U
/* Tasks that a job may have beside them, so that it does not wait for those of another. */
#define MIN_TASKS_PER_JOB 16U
/* Interval of placing while unsent starts limit it. */
#define UNSENT_RETRY_MS 20
/* Interval of attempts to place a suspect that waits for a worker for its isolation. */
#define SUSPECT_RETRY_MS 100

/* Makes sure that placing runs at that time. */
void
mt_placement_schedule_placing (const struct placement *placement, int64_t at)
{
  struct mt_scheduler *sched = placement->sched;

  if (at > placement->now && (sched->place_at == 0 || at < sched->place_at))
    sched->place_at = at;
}

/* Schedules another attempt to place a suspect, and holds to all workers: those that answer by then
 * can be used. */
static void
retry_isolation (const struct placement *placement)
{
  for (guint i = 0; i < placement->workers->len; i++)
    {
      struct mt_worker *w = placement->workers->pdata[i];

      w->next_hold_at = MIN (w->next_hold_at, placement->now);
    }
  mt_placement_schedule_placing (placement, placement->now + SUSPECT_RETRY_MS);
}

/* Returns whether only the route's policy, which is not known yet, tells if the task may start
 * again. */
static bool
awaits_policy (const struct mt_task *task)
{
  return task->attempts > 0 && !mt_route_has_policy (task->occ->job->route);
}

/* Returns whether the task waits for an event, not for a time. */
static bool
is_held_back (const struct mt_task *task)
{
  return awaits_policy (task) || task->superseded_runs > 0;
}

/* Returns false if no worker has resources for the step: its other tasks need not be tried. */
static bool
place_task (struct placement *placement, struct mt_task *task)
{
  struct mt_worker *w;
  bool is_unplaceable;

  if (task->state != MT_TASK_WAITING || is_held_back (task))
    return true;
  mt_placement_schedule_placing (placement, task->not_before);
  if (task->not_before > placement->now)
    return true;
  if (!mt_account_allows (placement->sched, task->occ->job->account, mt_task_step (task),
                          placement->now))
    return false;
  is_unplaceable = mt_placement_is_unplaceable (placement, task);
  w = is_unplaceable ? NULL : mt_placement_choose_worker (placement, task);
  /* Also while no worker has resources: with a ticket the task takes the next that become free. */
  if (w == NULL && task->occ->job->route->policy.needs_tickets)
    mt_scheduler_request_tickets (placement->sched, task, placement->now);
  if (is_unplaceable)
    return false;
  if (w == NULL)
    {
      mt_placement_record_unplaceable (placement, task);
      if (task->avoided != NULL || mt_task_step (task)->gang)
        mt_placement_schedule_placing (placement, task->state_since + AVOID_MS + 1);
      if (mt_placement_is_last_attempt (placement, task))
        mt_placement_schedule_placing (placement, task->state_since + LAST_ATTEMPT_WAIT_MS);
      if (task->suspect)
        retry_isolation (placement);
      /* A suspect needs a worker without other jobs' unsettled runs; the other tasks of its step
       * may still be placed. */
      return task->suspect && !mt_task_step (task)->gang;
    }
  mt_task_place (placement->sched, task, w, placement->now);
  placement->placed++;
  placement->tiny_placed += mt_task_is_tiny (task);
  return true;
}

/* What the placing of a gang's members changes beside the members. */
struct gang_placing
{
  bool changed;
  bool dirty;
  uint64_t version;
  unsigned reruns;
  unsigned slow_starts;
};

static struct gang_placing
begin_gang_placing (const struct mt_scheduler *sched, const struct mt_occurrence *occ)
{
  return (struct gang_placing){ sched->changed, occ->job->dirty, occ->job->version, occ->reruns,
                                occ->slow_starts };
}

/* Undoes the placing of the first n members: the gang has waited since it came to wait, and nothing
 * has changed that would have to be stored. */
static void
undo_gang_placing (struct placement *placement,
                   struct mt_task *members,
                   const GArray *waiting_since,
                   unsigned n,
                   const struct gang_placing *before)
{
  struct mt_occurrence *occ = members[0].occ;

  for (unsigned i = 0; i < n; i++)
    {
      mt_task_set_waiting (placement->sched, &members[i], placement->now);
      members[i].run--;
      members[i].state_since = g_array_index (waiting_since, int64_t, i);
    }
  placement->placed -= n;
  placement->sched->changed = before->changed;
  occ->job->dirty = before->dirty;
  occ->job->version = before->version;
  occ->reruns = before->reruns;
  occ->slow_starts = before->slow_starts;
}

/* Places all members or none, under one run number higher than any before. */
static void
place_gang (struct placement *placement, struct mt_occurrence *occ, unsigned step)
{
  struct mt_task *tasks = &occ->tasks[occ->step_first[step]];
  unsigned n = occ->job->spec->steps[step].count;
  struct gang_placing before = begin_gang_placing (placement->sched, occ);
  g_autoptr (GArray) waiting_since = NULL;
  int64_t not_before = 0;
  uint32_t run = 0;
  unsigned placed = 0;

  if (occ->step_waiting[step] < n)
    return;
  waiting_since = g_array_sized_new (FALSE, FALSE, sizeof (int64_t), n);
  for (unsigned i = 0; i < n; i++)
    {
      if (is_held_back (&tasks[i]))
        return;
      run = MAX (run, tasks[i].run);
      g_array_append_val (waiting_since, tasks[i].state_since);
      not_before = MAX (not_before, tasks[i].not_before);
    }
  mt_placement_schedule_placing (placement, not_before);
  if (not_before > placement->now)
    return;
  for (; placed < n; placed++)
    {
      tasks[placed].run = run;
      if (!place_task (placement, &tasks[placed]))
        break;
    }
  if (placed < n)
    {
      undo_gang_placing (placement, tasks, waiting_since, placed, &before);
      return;
    }
  for (unsigned i = 1; i < n; i++)
    {
      g_free (tasks[i].checkpoint);
      tasks[i].checkpoint = g_strdup (tasks[0].checkpoint);
    }
}

/* Returns the number of starts that wait to be sent to workers that answer. */
static unsigned
count_unsent_starts (const struct mt_scheduler *sched)
{
  unsigned n = 0;

  for (const GList *l = sched->starts.head; l != NULL; l = l->next)
    n += ((const struct mt_task *) l->data)->worker->silent_since == 0;
  return n;
}

/* Returns the number of tasks that may be placed now. Behind a full link it is limited to
 * MAX_UNSENT_STARTS waiting starts, and excess starts are withdrawn: a start that waits for the
 * link occupies its worker's resources, so the tasks of a surge would reserve a hundred idle
 * machines. */
static unsigned
limit_placing_to_link (struct mt_scheduler *sched, int64_t now)
{
  GList *before;

  if (!mt_scheduler_is_link_bound (sched, now))
    {
      unsigned limit
          = MAX (MIN_UNSENT_STARTS, UNSENT_STARTS_PER_WORKER * g_hash_table_size (sched->workers));

      return limit - MIN (count_unsent_starts (sched), limit);
    }
  for (GList *l = sched->starts.tail; l != NULL && sched->starts.length > MAX_UNSENT_STARTS;
       l = before)
    {
      struct mt_task *task = l->data;

      before = l->prev;
      /* A start to be resent may have begun its run. A gang, some of whose starts may have been
       * sent, would wait for those that are withdrawn until it ends. */
      if (task->start_retries == 0 && !mt_task_step (task)->gang)
        mt_task_set_waiting (sched, task, now);
    }
  return MAX_UNSENT_STARTS - MIN (sched->starts.length, MAX_UNSENT_STARTS);
}

/* Returns whether this pass places n such tasks more. */
static bool
is_admitted (const struct placement *placement, const struct mt_task *task, unsigned n)
{
  const struct mt_step *step = mt_task_step (task);

  if (placement->pass == PASS_ALL || step->long_running || task->suspect)
    return true;
  return mt_account_is_within_limit (placement->sched,
                                     mt_job_account (placement->sched, task->occ->job),
                                     placement->pass == PASS_WITHIN_LIMIT ? step : NULL, n);
}

/* Returns whether the pool has as many tiny tasks as its workers should list, or as many were
 * placed now as should start together. */
static bool
is_crowded (const struct placement *placement, const struct mt_job *job)
{
  const struct mt_scheduler *sched = placement->sched;
  unsigned workers = g_hash_table_size (sched->workers);

  return job->n_placed >= MIN_TASKS_PER_JOB
         && (sched->tiny_tasks >= TINY_TASKS_PER_WORKER * workers
             || placement->tiny_placed >= TINY_STARTS_PER_WORKER * workers);
}

/* Returns false if a task found no worker: later passes need not try the step. */
static bool
place_ready_step (struct placement *placement, const struct ready_step *ready)
{
  const struct mt_step *step = &ready->occ->job->spec->steps[ready->step];
  struct mt_task *tasks = &ready->occ->tasks[ready->occ->step_first[ready->step]];

  if (step->gang)
    {
      if (!is_admitted (placement, &tasks[0], step->count))
        return true;
      place_gang (placement, ready->occ, ready->step);
      return ready->occ->step_waiting[ready->step] == 0;
    }
  for (unsigned i = 0; i < step->count && placement->placed < placement->max_placed; i++)
    {
      if (tasks[i].state != MT_TASK_WAITING)
        continue;
      if (mt_task_is_tiny (&tasks[i]) && is_crowded (placement, tasks[i].occ->job))
        return true;
      if (is_admitted (placement, &tasks[i], 1))
        {
          if (!place_task (placement, &tasks[i]))
            return false;
        }
      else if (!ready->occ->has_suspects)
        return true;
    }
  return true;
}

static void
find_workers (struct placement *placement)
{
  GHashTableIter it;
  struct mt_worker *w;
  double sum = 0;

  g_hash_table_iter_init (&it, placement->sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (mt_worker_accepts_work (w, placement->now))
      {
        g_ptr_array_add (placement->workers, w);
        if (!g_ptr_array_find (placement->zones, w->zone, NULL))
          g_ptr_array_add (placement->zones, (void *) w->zone);
        sum += w->slowness;
      }
  placement->mean_slowness = placement->workers->len > 0 ? sum / placement->workers->len : 1;
}

/* Records how long the occurrence lacked resources while its workspace was not below its share:
 * others' shares went first. */
static void
update_share_wait (struct mt_scheduler *sched,
                   struct mt_occurrence *occ,
                   bool has_shortage,
                   int64_t now)
{
  bool waits = has_shortage && mt_shares_are_active (sched)
               && !mt_account_is_within_limit (sched, mt_job_account (sched, occ->job), NULL, 0);

  if (waits && occ->share_wait_since == 0)
    occ->share_wait_since = now;
  if (waits || occ->share_wait_since == 0)
    return;
  occ->share_wait_ms += now - occ->share_wait_since;
  occ->share_wait_since = 0;
}

static void
update_occurrence_shortage (struct mt_scheduler *sched, struct mt_occurrence *occ, int64_t now)
{
  bool has_shortage = false;

  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    has_shortage |= MIN (occ->step_unplaced[s], occ->step_waiting[s]) > 0;
  update_share_wait (sched, occ, has_shortage, now);
  if (has_shortage && occ->shortage_since == 0)
    occ->shortage_since = now;
  if (has_shortage || occ->shortage_since == 0)
    return;
  occ->shortage_ms += now - occ->shortage_since;
  occ->shortage_since = 0;
}

/* Records how long jobs lacked resources. It shows whether a late job is due to a lack of resources
 * or to repeated runs. */
static void
update_shortages (struct mt_scheduler *sched, int64_t now)
{
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          update_occurrence_shortage (sched, job->occurrences[k], now);
    }
}

bool
mt_placement_is_over_quota (const struct placement *placement, const struct ready_step *ready)
{
  return !mt_account_allows (placement->sched, ready->occ->job->account,
                             &ready->occ->job->spec->steps[ready->step], placement->now);
}

/* Tasks that wait for the link, for a quota or for others to end don't lack resources. */
static void
set_unplaced (const struct placement *placement, const struct ready_step *ready)
{
  const struct mt_job *job = ready->occ->job;
  const struct mt_task *first = &ready->occ->tasks[ready->occ->step_first[ready->step]];
  bool waits_for_others = mt_task_is_tiny (first) && is_crowded (placement, job);

  ready->occ->step_unplaced[ready->step] = placement->placed < placement->max_placed
                                                   && !waits_for_others
                                                   && !mt_placement_is_over_quota (placement, ready)
                                               ? ready->occ->step_waiting[ready->step]
                                               : 0;
}

static void
place_if_possible (struct placement *placement, struct ready_step *ready)
{
  if (placement->workers->len > 0 && placement->placed < placement->max_placed && !ready->failed)
    ready->failed = !place_ready_step (placement, ready);
}

static void
place_by_value (struct placement *placement, GArray *ready_steps)
{
  for (guint i = 0; i < ready_steps->len; i++)
    {
      struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);

      place_if_possible (placement, ready);
      set_unplaced (placement, ready);
    }
}

/* ---- place by share ---- */

/* Adds each step's needs to its workspace, and links the steps of each workspace in order. */
static void
group_by_workspace (struct mt_scheduler *sched, GArray *ready_steps)
{
  for (guint i = 0; i < ready_steps->len; i++)
    {
      struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);
      struct mt_account *account = mt_job_account (sched, ready->occ->job);

      ready->next = G_MAXUINT;
      if (account->first_ready == G_MAXUINT)
        account->first_ready = i;
      else
        g_array_index (ready_steps, struct ready_step, account->last_ready).next = i;
      account->last_ready = i;
      mt_shares_add_waiting (account, &ready->occ->job->spec->steps[ready->step],
                             ready->occ->step_waiting[ready->step]);
    }
}

static void
place_steps (struct placement *placement, GArray *ready_steps, enum share_pass pass)
{
  placement->pass = pass;
  for (guint i = 0; i < ready_steps->len; i++)
    place_if_possible (placement, &g_array_index (ready_steps, struct ready_step, i));
}

static void
place_workspaces (struct placement *placement,
                  GArray *ready_steps,
                  const GPtrArray *accounts,
                  enum share_pass pass)
{
  placement->pass = pass;
  for (guint a = 0; a < accounts->len; a++)
    {
      const struct mt_account *account = accounts->pdata[a];

      for (guint i = account->first_ready; i != G_MAXUINT;)
        {
          struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);

          place_if_possible (placement, ready);
          i = ready->next;
        }
    }
}

/* Long-running steps are the first in order. */
static void
place_long_running (struct placement *placement, GArray *ready_steps)
{
  for (guint i = 0; i < ready_steps->len; i++)
    {
      struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);

      if (ready->class != CLASS_LONG_RUNNING)
        return;
      place_if_possible (placement, ready);
    }
}

static void
place_by_share (struct placement *placement, GArray *ready_steps)
{
  struct mt_scheduler *sched = placement->sched;
  g_autoptr (GPtrArray) accounts = NULL;
  unsigned placed;

  mt_shares_begin (sched, placement->now);
  group_by_workspace (sched, ready_steps);
  mt_shares_set_limits (sched, placement->now);
  accounts = mt_shares_order (sched);

  place_long_running (placement, ready_steps);
  if (sched->settings.share_policy->by_workspace)
    place_workspaces (placement, ready_steps, accounts, PASS_WITHIN_LIMIT);
  else
    place_steps (placement, ready_steps, PASS_WITHIN_LIMIT);
  place_workspaces (placement, ready_steps, accounts, PASS_BELOW_LIMIT);
  mt_placement_check_reservation (placement, accounts);
  placed = placement->placed;
  place_steps (placement, ready_steps, PASS_ALL);
  if (placement->placed > placed)
    mt_placement_reserve_workers (placement, ready_steps, accounts);

  for (guint i = 0; i < ready_steps->len; i++)
    {
      const struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);

      set_unplaced (placement, ready);
      mt_job_account (sched, ready->occ->job)->unplaced += ready->occ->step_unplaced[ready->step];
    }
  mt_shares_end (sched, placement->now);
}

void
mt_scheduler_place (struct mt_scheduler *sched, int64_t now)
{
  g_autoptr (GArray) ready_steps = g_array_new (FALSE, FALSE, sizeof (struct ready_step));
  struct placement placement
      = { .sched = sched, .now = now, .workers = g_ptr_array_new (), .zones = g_ptr_array_new () };

  if (sched->first_placed_at == 0)
    sched->first_placed_at = now;
  sched->place_at = 0;
  placement.max_placed = limit_placing_to_link (sched, now);

  find_workers (&placement);
  mt_scheduler_collect_ready_steps (sched, ready_steps, now);
  if (mt_shares_are_active (sched))
    place_by_share (&placement, ready_steps);
  else
    {
      mt_scheduler_release_reservation (sched);
      place_by_value (&placement, ready_steps);
    }
  update_shortages (sched, now);
  if (placement.placed >= placement.max_placed
      || placement.tiny_placed >= TINY_STARTS_PER_WORKER * g_hash_table_size (sched->workers))
    mt_placement_schedule_placing (&placement, now + UNSENT_RETRY_MS);
  g_ptr_array_unref (placement.workers);
  g_ptr_array_unref (placement.zones);
  sched->last_placed_at = now;
}
