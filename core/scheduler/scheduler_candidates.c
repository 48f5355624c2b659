/* Choice of the worker for a waiting task.
 *
 * In a surge thousands of tasks wait while every worker is full, so a need that found no worker is
 * remembered and equal or larger ones are rejected without trying every worker. Work is packed, so
 * that machines become empty and can move to the pool with the surge. Workers that may be unhealthy
 * get few tasks, and suspects few neighbours. */
#include "scheduler_place.h"

#include <string.h>
#include <xxhash.h>

/* Most tasks that run at a time on a worker that may be unhealthy. */
#define MAX_TRIAL_TASKS 2U
/* One failure puts a worker on trial until it counts half: without further outcomes, as on a worker
 * with long-running tasks, it would stay on trial for ever. */
#define MIN_TRIAL_FAILURES 0.5
/* The end of a trial changes nothing else: tasks that wait for it are tried again after this. */
#define TRIAL_RETRY_MS 500
/* Cost advantage of a fully used worker, in multiples of a task's run time. If work is spread, no
 * machine becomes empty and can move to the pool with the surge: packing improves the worst windows
 * of calm days by 0.05 to 0.1. */
#define PACKING_WEIGHT 0.3
/* Cost of placing a long-running task on a worker with an announced drain: the task would be moved
 * once more, and its step's max_unavailable used twice. Any other worker is preferred, unless it is
 * slow or has fill work that would disturb the task. */
#define DRAIN_COST 1.0
/* Work is packed only onto workers with at least this many recent successes, and spread over the
 * others: one of these may be unhealthy and would fail many tasks before this shows. */
#define MIN_PACKING_SUCCESSES 0.5

/* Costs of a suspect's worker in multiples of a task's run time: for each task there, which a crash
 * would end, and for a new worker. */
#define SUSPECT_COST    0.5
#define NEW_WORKER_COST 2.0
/* Cost of a zone other than the one that the job prefers. A job whose tasks are spread over all
 * zones is late if any zone is cut off; one that runs in a single zone is late for that zone alone.
 */
#define OTHER_ZONE_COST 0.35
/* A worker listed for less than this is new: it may soon be gone again. */
#define NEW_WORKER_MS 8000

/* Returns whether the task's last run ended badly on the worker, or on one that was lost at its
 * address: a machine that keeps crashing returns as another worker each time. */
static bool
is_avoided (const struct mt_task *task, const struct mt_worker *w)
{
  if (task->avoided == NULL || task->avoided == w)
    return task->avoided == w;
  return task->suspect && task->avoided->address != NULL
         && g_strcmp0 (task->avoided->address, w->address) == 0;
}

/* Returns whether the worker may be unhealthy and runs as many tasks as are tried on such a one.
 * The members of a gang may find no other workers, and start only together. */
static bool
is_on_trial (const struct placement *placement,
             const struct mt_worker *w,
             const struct mt_task *task)
{
  if (mt_task_step (task)->gang && placement->now - task->state_since > AVOID_MS)
    return false;
  if (w->failures <= w->successes || w->tasks.length < MAX_TRIAL_TASKS
      || mt_worker_recent_failures (w, placement->now) < MIN_TRIAL_FAILURES)
    return false;
  mt_placement_schedule_placing (placement, placement->now + TRIAL_RETRY_MS);
  return true;
}

static bool
can_place_on (const struct placement *placement,
              const struct mt_worker *w,
              const struct mt_task *task)
{
  if (!mt_worker_can_run (w, task) || !mt_task_may_share_worker (task, w, placement->now))
    return false;
  if (w->long_running_only_until > placement->now && !mt_task_step (task)->long_running)
    return false;
  if (is_on_trial (placement, w, task))
    return false;
  return !is_avoided (task, w) || placement->workers->len == 1
         || placement->now - task->state_since > AVOID_MS;
}

static double
long_running_cost (const struct placement *placement,
                   const struct mt_worker *w,
                   const struct mt_step *step)
{
  double cost = w->drain_announced_until > placement->now ? DRAIN_COST : 0;

  if (!step->long_running)
    return 0;
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_step *other = mt_task_step (l->data);

      /* Fill work slows serving tasks on the same worker. */
      if (step->fill && other->target_ms > 0)
        cost += 2;
      if (step->target_ms > 0 && other->fill)
        cost += 2;
      /* Grouping long-running tasks leaves other workers free for maintenance and for moves. */
      if (other->long_running && !other->fill && !step->fill)
        cost -= 0.1;
    }
  return cost;
}

/* If a suspect crashes its worker, all tasks there are lost. A new worker may be one that keeps
 * restarting: its loss would be counted against the suspect. */
static double
suspect_cost (const struct placement *placement, const struct mt_worker *w)
{
  bool is_new = placement->now - w->listed_since < NEW_WORKER_MS;

  return SUSPECT_COST * (double) w->tasks.length + (is_new ? NEW_WORKER_COST : 0);
}

/* Sets the zone that most of the job's tasks should run in: one that is equally likely for each job
 * and stays the same while the zones do. */
static void
update_preferred_zone (struct placement *placement, const struct mt_job *job)
{
  uint64_t highest = 0;

  if (placement->job == job)
    return;
  placement->job = job;
  placement->preferred_zone = NULL;
  for (guint i = 0; i < placement->zones->len; i++)
    {
      const char *zone = placement->zones->pdata[i];
      uint64_t hash = XXH3_64bits_withSeed (job->spec->id, strlen (job->spec->id),
                                            zone != NULL ? XXH3_64bits (zone, strlen (zone)) : 0);

      if (placement->preferred_zone != NULL && hash <= highest)
        continue;
      highest = hash;
      placement->preferred_zone = zone;
    }
}

static double
placing_cost (const struct placement *placement,
              const struct mt_worker *w,
              const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  double slowness = w->slowness / MAX (placement->mean_slowness, 0.1);
  double load = w->resources.cpu > 0 ? (double) w->used.cpu / (double) w->resources.cpu : 0;
  double cost
      = mt_worker_run_factor (w, task->occ->job->route, slowness > MT_SLOW_FACTOR ? slowness : 1);

  if (step->rack != NULL
      && (w->labels == NULL || !g_strv_contains ((const char *const *) w->labels, step->rack)))
    cost *= placement->sched->settings.remote_factor;
  if (task->suspect)
    cost += suspect_cost (placement, w);
  else
    cost += (w->successes >= MIN_PACKING_SUCCESSES ? -PACKING_WEIGHT : PACKING_WEIGHT) * load;
  if (!step->long_running && w->zone != placement->preferred_zone)
    cost += OTHER_ZONE_COST;
  return cost + long_running_cost (placement, w, step);
}

/* Returns whether the task has one attempt left and still waits for a worker proved healthy. */
bool
mt_placement_is_last_attempt (const struct placement *placement, const struct mt_task *task)
{
  return !mt_task_step (task)->long_running && task->attempts > 0
         && task->attempts + 1 >= task->occ->job->route->policy.max_attempts
         && placement->now - task->state_since < LAST_ATTEMPT_WAIT_MS;
}

static bool
is_reserved_for_others (const struct placement *placement,
                        const struct mt_worker *w,
                        const struct mt_task *task)
{
  return w->reserved_for != NULL && !mt_task_step (task)->long_running
         && w->reserved_for != mt_job_account (placement->sched, task->occ->job);
}

struct mt_worker *
mt_placement_choose_worker (struct placement *placement, const struct mt_task *task)
{
  struct mt_route *route = task->occ->job->route;
  bool last = mt_placement_is_last_attempt (placement, task);
  const struct mt_step_tickets *tickets
      = route->policy.needs_tickets ? mt_task_step_tickets (placement->sched, task) : NULL;
  struct mt_worker *best = NULL;
  double best_cost = 0;

  update_preferred_zone (placement, task->occ->job);
  for (guint i = 0; i < placement->workers->len; i++)
    {
      struct mt_worker *w = placement->workers->pdata[i];
      double cost;

      if (is_reserved_for_others (placement, w, task))
        continue;
      if (!can_place_on (placement, w, task) || (last && (w->successes < 1 || w->failures > 0.5)))
        continue;
      if (route->policy.needs_tickets && !mt_step_tickets_has_valid (tickets, w, placement->now))
        continue;
      cost = placing_cost (placement, w, task);
      if (best == NULL || cost < best_cost)
        {
          best = w;
          best_cost = cost;
        }
    }
  return best;
}

/* Returns whether the task can use workers that the others can't. */
static bool
has_reserved_workers (const struct placement *placement, const struct mt_task *task)
{
  return placement->sched->reserved_for != NULL
         && (mt_task_step (task)->long_running
             || placement->sched->reserved_for
                    == mt_job_account (placement->sched, task->occ->job));
}

/* Returns whether a need no larger than the step's has found no worker in this placing. In a surge
 * this rejects thousands of waiting tasks by a few comparisons each, not trying every worker. */
bool
mt_placement_is_unplaceable (const struct placement *placement, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  const struct unplaceable *unplaceable = has_reserved_workers (placement, task)
                                              ? &placement->reserved_unplaceable
                                              : &placement->unplaceable;

  return unplaceable->is_set && !step->fill && !step->gang
         && step->need.cpu >= unplaceable->need.cpu && step->need.mem >= unplaceable->need.mem
         && step->need.gpu >= unplaceable->need.gpu;
}

void
mt_placement_record_unplaceable (struct placement *placement, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  struct unplaceable *unplaceable = has_reserved_workers (placement, task)
                                        ? &placement->reserved_unplaceable
                                        : &placement->unplaceable;

  /* Returns if anything but resources may have kept the task from being placed. */
  if (step->fill || step->gang || step->label != NULL || step->max_per_worker > 0
      || task->avoided != NULL || task->occ->job->route->policy.needs_tickets || task->attempts > 0)
    return;
  unplaceable->is_set = true;
  unplaceable->need = step->need;
}
