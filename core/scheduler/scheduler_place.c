/* Order in which waiting tasks are placed, and the choice of their workers.
 *
 * Each route in turn receives five times its mean load for some seconds, more than its pool can
 * run, and a twentieth of the mean in between. In a surge not all jobs can meet their objectives,
 * so resources go to the jobs with the highest value per remaining work. Jobs that can't meet their
 * objectives any more run, oldest first, as soon as no timely job needs the resources. No accepted
 * job is dropped. */
#include "scheduler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a job's value that does not depend on its size. */
#define BASE_VALUE_SHARE 0.3
/* A job counts as timely while this share of its expected remaining time ends within its objective:
 * estimates are often too long. */
#define TIMELY_SHARE 0.8
/* A job that ends after its objective still has a little value, up to this many times the
 * objective. */
#define MAX_LATE_OBJECTIVES 3
/* Most tasks that run at a time on a worker that may be unhealthy. */
#define MAX_TRIAL_TASKS 2U
/* How long a task avoids the worker on which its last run ended badly, or which left. Within this
 * time other workers could have taken the task: in a surge tasks end every few ms. After it the
 * worker may be the only one with free resources, and the task would wait in vain. */
#define AVOID_MS 1000
/* Longest time that a task waits with its last attempt for a worker proved to be healthy. */
#define LAST_ATTEMPT_WAIT_MS 3000
/* How long a ticket must still be valid when the task is placed: its start is first stored, then
 * sent. */
#define TICKET_MARGIN_MS 200
/* Cost advantage of a fully used worker, in multiples of a task's run time. If work is spread, no
 * machine becomes empty and can move to the pool with the surge: packing improves the worst windows
 * of calm days by 0.05 to 0.1. */
#define PACKING_WEIGHT 0.3
/* Most unsent starts at a leader whose link is full: a slow link takes about 100 ms for them. */
#define MAX_UNSENT_STARTS 40U
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
/* A worker listed for less than this is new: it may soon be gone again. */
#define NEW_WORKER_MS 8000
/* Interval of attempts to place a suspect that waits for a worker for its isolation. */
#define SUSPECT_RETRY_MS 100

/* A workspace that has been below its share for this long with tasks waiting gets workers reserved:
 * most tasks run for 0.7 to 2.1 s, so that most resources there were have been freed since. */
#define RESERVE_AFTER_MS 1000
/* Longest reservation: more than the run time of most tasks. Workers with longer tasks are given up
 * for others. */
#define RESERVED_MS 3000

/* The waiting tasks of one step of an occurrence. */
struct ready_step
{
  struct mt_occurrence *occ;
  unsigned step;
  int class; /* lower is placed first */
  int priority;
  double rank; /* within class and priority, lower is placed first */
  bool failed; /* a task of it found no worker in this placing */
  guint next;  /* next step of the same workspace in this order, as index; G_MAXUINT: none */
};

enum
{
  CLASS_LONG_RUNNING,
  CLASS_TIMELY,
  CLASS_OVERDUE,
  CLASS_HOPELESS,
};

bool
mt_occurrence_step_is_ready (const struct mt_occurrence *occ, unsigned step)
{
  const struct mt_job_spec *spec = occ->job->spec;
  const struct mt_step *s = &spec->steps[step];

  for (unsigned a = 0; a < s->n_after; a++)
    if (occ->step_done[s->after[a]] < spec->steps[s->after[a]].count)
      return false;
  return true;
}

/* Half the caller's estimate, corrected by the error of the route's past estimates, plus half the
 * route's mean: single estimates are wrong by a factor in either direction. */
double
mt_step_expected_ms (const struct mt_route *route, const struct mt_step *step)
{
  double estimate_ms = (double) step->estimate_ms;

  if (route->mean_ms <= 0 || route->estimate_ms <= 0)
    return estimate_ms;
  return (estimate_ms * route->mean_ms / route->estimate_ms + route->mean_ms) / 2;
}

/* The objective depends on the real run times of the steps: ended steps contribute their measured
 * time, the others their expected time. By the caller's estimates alone, every second job that runs
 * longer than estimated would count as overdue and be placed later, though it can still meet its
 * objective. */
void
mt_occurrence_set_objective (struct mt_occurrence *occ)
{
  const struct mt_job_spec *spec = occ->job->spec;
  const struct mt_route_policy *policy = &occ->job->route->policy;
  double ends[MT_MAX_CHAIN_STEPS] = { 0 };
  double chain = 0;

  for (unsigned i = 0; i < spec->n_steps; i++)
    {
      const struct mt_step *step = &spec->steps[i];
      bool done = occ->step_done[i] == step->count && occ->step_ms[i] > 0;
      double ms = done ? occ->step_ms[i]
                       : MAX (occ->step_ms[i], mt_step_expected_ms (occ->job->route, step));
      double end = ms;

      for (unsigned a = 0; a < step->n_after; a++)
        if (step->after[a] < MT_MAX_CHAIN_STEPS)
          end = MAX (end, ends[step->after[a]] + ms);
      if (i < MT_MAX_CHAIN_STEPS)
        ends[i] = end;
      chain = MAX (chain, end);
    }
  occ->objective_at = occ->due_at + (int64_t) (policy->stretch * chain) + policy->objective_ms;
}

/* ---- order ---- */

struct remaining_work
{
  double chain_ms;   /* remaining time of the longest chain */
  double work;       /* work of waiting tasks in thousandths of a core * ms */
  double total_work; /* work of all tasks */
};

static struct remaining_work
estimate_remaining (const struct mt_occurrence *occ)
{
  const struct mt_job_spec *spec = occ->job->spec;
  double ends[MT_MAX_CHAIN_STEPS];
  struct remaining_work out = { 0 };

  for (unsigned i = 0; i < spec->n_steps; i++)
    {
      const struct mt_step *step = &spec->steps[i];
      double ms = mt_step_expected_ms (occ->job->route, step);
      double end = 0;
      double cpu = (double) step->need.cpu;

      for (unsigned a = 0; a < step->n_after; a++)
        if (step->after[a] < MT_MAX_CHAIN_STEPS)
          end = MAX (end, ends[step->after[a]]);
      if (occ->step_done[i] < step->count)
        end += ms;
      if (i < MT_MAX_CHAIN_STEPS)
        ends[i] = end;
      out.chain_ms = MAX (out.chain_ms, end);
      out.work += ms * cpu * occ->step_waiting[i];
      out.total_work += ms * cpu * step->count;
    }
  return out;
}

static bool
can_meet_objective (const struct mt_occurrence *occ,
                    const struct remaining_work *remaining,
                    int64_t now)
{
  return now + (int64_t) (TIMELY_SHARE * remaining->chain_ms) <= occ->objective_at;
}

bool
mt_occurrence_can_meet_objective (const struct mt_occurrence *occ, int64_t now)
{
  struct remaining_work remaining = estimate_remaining (occ);

  return can_meet_objective (occ, &remaining, now);
}

static void
classify (struct ready_step *ready, const struct remaining_work *remaining, int64_t now)
{
  struct mt_job *job = ready->occ->job;
  double mean = job->route->mean_work;
  int64_t allowed = ready->occ->objective_at - ready->occ->due_at;

  ready->priority = job->route->policy.priority;
  if (job->spec->steps[ready->step].long_running)
    {
      ready->class = CLASS_LONG_RUNNING;
      ready->rank = (double) ready->occ->due_at;
    }
  else if (can_meet_objective (ready->occ, remaining, now))
    {
      ready->class = CLASS_TIMELY;
      ready->rank
          = remaining->work
            / (BASE_VALUE_SHARE * mean + (1 - BASE_VALUE_SHARE) * remaining->total_work + 1);
    }
  else
    {
      bool hopeless = now + (int64_t) remaining->chain_ms
                      > ready->occ->due_at + MAX_LATE_OBJECTIVES * allowed;

      ready->class = hopeless ? CLASS_HOPELESS : CLASS_OVERDUE;
      ready->rank = (double) ready->occ->due_at;
    }
}

static int
compare_ready_steps (const void *left, const void *right)
{
  const struct ready_step *a = left;
  const struct ready_step *b = right;

  if (a->class != b->class)
    return a->class - b->class;
  if (a->priority != b->priority)
    return a->priority - b->priority;
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  return a->step < b->step ? -1 : a->step > b->step;
}

static void
add_ready_steps (GArray *out, struct mt_occurrence *occ, int64_t now)
{
  struct remaining_work remaining;
  bool estimated = false;

  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      struct ready_step ready = { .occ = occ, .step = s };

      if (occ->step_waiting[s] == 0 || !mt_occurrence_step_is_ready (occ, s))
        continue;
      if (!estimated)
        remaining = estimate_remaining (occ);
      estimated = true;
      classify (&ready, &remaining, now);
      g_array_append_val (out, ready);
    }
}

/* ---- place ---- */

/* Which tasks are placed, by the limits of their workspaces. Long-running tasks and suspects are
 * placed whatever the limits are. */
enum share_pass
{
  PASS_ALL,
  PASS_WITHIN_LIMIT, /* only tasks with which the workspace stays within its limit */
  PASS_BELOW_LIMIT,  /* as long as the workspace is below its limit: one task may exceed it */
};

/* A need that no worker met; equal or larger ones are skipped. */
struct unplaceable
{
  struct mt_resources need;
  bool is_set;
};

struct placement
{
  struct mt_scheduler *sched;
  int64_t now;
  GPtrArray *workers;
  double mean_slowness;
  enum share_pass pass;
  struct unplaceable unplaceable;          /* of all tasks ... */
  struct unplaceable reserved_unplaceable; /* ... except those for which workers are reserved */
  unsigned placed;
  unsigned max_placed; /* limit on placed */
};

static bool
can_place_on (const struct placement *placement,
              const struct mt_worker *w,
              const struct mt_task *task)
{
  if (!mt_worker_can_run (w, task) || !mt_task_may_share_worker (task, w, placement->now))
    return false;
  if (w->long_running_only_until > placement->now && !mt_task_step (task)->long_running)
    return false;
  if (w->failures >= 1 && w->failures > w->successes && w->tasks.length >= MAX_TRIAL_TASKS)
    return false;
  return task->avoided != w || placement->workers->len == 1
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
  return cost + long_running_cost (placement, w, step);
}

/* Returns whether the task has one attempt left and still waits for a worker proved healthy. */
static bool
is_last_attempt (const struct placement *placement, const struct mt_task *task)
{
  return !mt_task_step (task)->long_running && task->attempts > 0
         && task->attempts + 1 >= task->occ->job->route->policy.max_attempts
         && placement->now - task->state_since < LAST_ATTEMPT_WAIT_MS;
}

/* Returns whether the worker's ticket stays valid long enough for a start to arrive. */
static bool
has_valid_ticket (const struct mt_step_tickets *tickets, const struct mt_worker *w, int64_t now)
{
  const struct mt_ticket *ticket
      = tickets != NULL ? g_hash_table_lookup (tickets->tickets, w->id) : NULL;

  return ticket != NULL && ticket->until > now + TICKET_MARGIN_MS;
}

static bool
is_reserved_for_others (const struct placement *placement,
                        const struct mt_worker *w,
                        const struct mt_task *task)
{
  return w->reserved_for != NULL && !mt_task_step (task)->long_running
         && w->reserved_for != mt_job_account (placement->sched, task->occ->job);
}

static struct mt_worker *
choose_worker (const struct placement *placement, const struct mt_task *task)
{
  struct mt_route *route = task->occ->job->route;
  bool last = is_last_attempt (placement, task);
  const struct mt_step_tickets *tickets
      = route->needs_tickets ? mt_task_step_tickets (placement->sched, task) : NULL;
  struct mt_worker *best = NULL;
  double best_cost = 0;

  for (guint i = 0; i < placement->workers->len; i++)
    {
      struct mt_worker *w = placement->workers->pdata[i];
      double cost;

      if (is_reserved_for_others (placement, w, task))
        continue;
      if (!can_place_on (placement, w, task) || (last && (w->successes < 1 || w->failures > 0.5)))
        continue;
      if (route->needs_tickets && !has_valid_ticket (tickets, w, placement->now))
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

/* Requests tickets for a waiting step that needs them and has no valid ones. */
static void
request_tickets (struct mt_scheduler *sched, const struct mt_task *task, int64_t now)
{
  struct mt_step_tickets *tickets = mt_task_step_tickets (sched, task);

  if (tickets == NULL)
    {
      char name[80];

      mt_task_step_name (task, name, sizeof name);
      tickets = g_new0 (struct mt_step_tickets, 1);
      tickets->step_name = g_strdup (name);
      tickets->tickets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mt_ticket_free);
      g_hash_table_insert (sched->step_tickets, tickets->step_name, tickets);
    }
  if (!tickets->in_flight && tickets->retry_at <= now)
    tickets->request_pending = true;
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
static bool
is_unplaceable (const struct placement *placement, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  const struct unplaceable *unplaceable = has_reserved_workers (placement, task)
                                              ? &placement->reserved_unplaceable
                                              : &placement->unplaceable;

  return unplaceable->is_set && !step->fill && step->need.cpu >= unplaceable->need.cpu
         && step->need.mem >= unplaceable->need.mem && step->need.gpu >= unplaceable->need.gpu;
}

static void
record_unplaceable (struct placement *placement, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);
  struct unplaceable *unplaceable = has_reserved_workers (placement, task)
                                        ? &placement->reserved_unplaceable
                                        : &placement->unplaceable;

  /* Returns if anything but resources may have kept the task from being placed. */
  if (step->fill || step->label != NULL || step->max_per_worker > 0 || task->avoided != NULL
      || task->occ->job->route->needs_tickets || task->attempts > 0)
    return;
  unplaceable->is_set = true;
  unplaceable->need = step->need;
}

/* Makes sure that placing runs at that time. */
static void
schedule_placing (const struct placement *placement, int64_t at)
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
  schedule_placing (placement, placement->now + SUSPECT_RETRY_MS);
}

/* Returns false if no worker has resources for the step: its other tasks need not be tried. */
static bool
place_task (struct placement *placement, struct mt_task *task)
{
  struct mt_worker *w;

  if (task->state != MT_TASK_WAITING)
    return true;
  schedule_placing (placement, task->not_before);
  if (task->not_before > placement->now)
    return true;
  if (is_unplaceable (placement, task)
      || !mt_account_allows (placement->sched, task->occ->job->account, mt_task_step (task),
                             placement->now))
    return false;
  w = choose_worker (placement, task);
  if (w == NULL)
    {
      record_unplaceable (placement, task);
      if (task->avoided != NULL)
        schedule_placing (placement, task->state_since + AVOID_MS + 1);
      if (is_last_attempt (placement, task))
        schedule_placing (placement, task->state_since + LAST_ATTEMPT_WAIT_MS);
      if (task->suspect)
        retry_isolation (placement);
      if (task->occ->job->route->needs_tickets)
        request_tickets (placement->sched, task, placement->now);
      /* A suspect needs a worker without other jobs' unsettled runs; the other tasks of its step
       * may still be placed. */
      return task->suspect && !mt_task_step (task)->gang;
    }
  mt_task_place (placement->sched, task, w, placement->now);
  placement->placed++;
  return true;
}

static void
undo_placing (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  mt_task_set_waiting (sched, task, now);
  task->run--;
}

/* Places all members or none, under one run number higher than any before. */
static void
place_gang (struct placement *placement, struct mt_occurrence *occ, unsigned step)
{
  struct mt_task *tasks = &occ->tasks[occ->step_first[step]];
  unsigned n = occ->job->spec->steps[step].count;
  uint32_t run = 0;
  unsigned placed = 0;

  if (occ->step_waiting[step] < n)
    return;
  for (unsigned i = 0; i < n; i++)
    run = MAX (run, tasks[i].run);
  for (; placed < n; placed++)
    {
      tasks[placed].run = run;
      if (tasks[placed].not_before > placement->now || !place_task (placement, &tasks[placed]))
        break;
    }
  if (placed == n)
    {
      for (unsigned i = 1; i < n; i++)
        {
          g_free (tasks[i].checkpoint);
          tasks[i].checkpoint = g_strdup (tasks[0].checkpoint);
        }
      return;
    }
  while (placed-- > 0)
    undo_placing (placement->sched, &tasks[placed], placement->now);
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
    return G_MAXUINT;
  for (GList *l = sched->starts.tail; l != NULL && sched->starts.length > MAX_UNSENT_STARTS;
       l = before)
    {
      struct mt_task *task = l->data;

      before = l->prev;
      /* A start to be resent may have begun its run. */
      if (task->start_retries == 0)
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
        sum += w->slowness;
      }
  placement->mean_slowness = placement->workers->len > 0 ? sum / placement->workers->len : 1;
}

static void
update_mean_work (struct mt_occurrence *occ)
{
  struct mt_route *route = occ->job->route;
  struct remaining_work remaining = estimate_remaining (occ);

  route->mean_work
      += (route->mean_work == 0 ? 1.0 : 1.0 / 32) * (remaining.total_work - route->mean_work);
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

static bool
is_over_quota (const struct placement *placement, const struct ready_step *ready)
{
  return !mt_account_allows (placement->sched, ready->occ->job->account,
                             &ready->occ->job->spec->steps[ready->step], placement->now);
}

static void
collect_ready_steps (struct mt_scheduler *sched, GArray *ready_steps, int64_t now)
{
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      /* A placement made now is not in the record that is being written, and its start would be
       * released with the others once that record is stored. */
      job->left_out = job->in_cycle;
      for (unsigned k = 0; !job->left_out && k < job->n_occurrences; k++)
        {
          struct mt_occurrence *occ = job->occurrences[k];

          if (occ == NULL || occ->ended)
            continue;
          if (!occ->work_recorded)
            update_mean_work (occ);
          occ->work_recorded = true;
          add_ready_steps (ready_steps, occ, now);
        }
    }
  g_array_sort (ready_steps, compare_ready_steps);
}

/* Tasks that wait for the link or for a quota don't lack resources. */
static void
set_unplaced (const struct placement *placement, const struct ready_step *ready)
{
  ready->occ->step_unplaced[ready->step]
      = placement->placed < placement->max_placed && !is_over_quota (placement, ready)
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
release_reservation (struct mt_scheduler *sched)
{
  if (sched->reserved_for == NULL)
    return;
  sched->reserved_for = NULL;
  for (guint i = 0; i < sched->owned_workers->len; i++)
    ((struct mt_worker *) sched->owned_workers->pdata[i])->reserved_for = NULL;
}

/* Returns the workspace that has waited longest for its share, if it has for RESERVE_AFTER_MS. */
static struct mt_account *
find_starving (const struct placement *placement, const GPtrArray *accounts)
{
  struct mt_account *longest = NULL;

  for (guint i = 0; i < accounts->len; i++)
    {
      struct mt_account *account = accounts->pdata[i];

      if (account->below_since != 0 && placement->now - account->below_since >= RESERVE_AFTER_MS
          && mt_account_is_within_limit (placement->sched, account, NULL, 0)
          && (longest == NULL || account->below_since < longest->below_since))
        longest = account;
    }
  return longest;
}

/* Returns the first waiting step that lacks nothing but resources; NULL if there is none. */
static const struct ready_step *
find_step_to_reserve (const struct placement *placement,
                      const struct mt_account *account,
                      GArray *ready_steps)
{
  for (guint i = account->first_ready; i != G_MAXUINT;)
    {
      const struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);
      const struct mt_step *step = &ready->occ->job->spec->steps[ready->step];

      if (ready->occ->step_waiting[ready->step] > 0 && !step->fill && step->max_per_worker == 0
          && !ready->occ->has_suspects && !ready->occ->job->route->needs_tickets
          && !is_over_quota (placement, ready))
        return ready;
      i = ready->next;
    }
  return NULL;
}

static unsigned
count_tasks_that_fit (const struct mt_resources *resources, const struct mt_resources *need)
{
  int64_t n = G_MAXINT;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    if (mt_resources_get (need, i) > 0)
      n = MIN (n, mt_resources_get (resources, i) / mt_resources_get (need, i));
  return (unsigned) MAX (n, 0);
}

/* Returns how many tasks of the step the worker can run once its present tasks have ended, without
 * the long-running ones. */
static unsigned
count_reservable_tasks (const struct mt_worker *w, const struct mt_step *step)
{
  struct mt_resources left = w->resources;

  if (step->label != NULL
      && (w->labels == NULL || !g_strv_contains ((const char *const *) w->labels, step->label)))
    return 0;
  for (const GList *l = w->tasks.head; l != NULL; l = l->next)
    if (mt_task_step (l->data)->long_running)
      for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
        *mt_resources_field (&left, i) -= mt_resources_get (&mt_task_step (l->data)->need, i);
  return count_tasks_that_fit (&left, &step->need);
}

static int
compare_used_cpu (const void *left, const void *right)
{
  const struct mt_worker *const *a = left;
  const struct mt_worker *const *b = right;

  if ((*a)->used.cpu != (*b)->used.cpu)
    return (*a)->used.cpu < (*b)->used.cpu ? -1 : 1;
  return strcmp ((*a)->id, (*b)->id);
}

/* Ends a reservation whose workspace has its share, or whose time is over: then the workspace
 * counts as waiting anew, since its task may lack something else than resources. */
static void
check_reservation (const struct placement *placement, const GPtrArray *accounts)
{
  struct mt_scheduler *sched = placement->sched;
  struct mt_account *starving = find_starving (placement, accounts);

  if (starving != NULL && starving == sched->reserved_for)
    {
      if (placement->now < sched->reserved_until)
        {
          schedule_placing (placement, sched->reserved_until);
          return;
        }
      starving->below_since = placement->now;
    }
  release_reservation (sched);
}

/* To be called when tasks of workspaces that are not below their share were placed although others
 * are. The tasks of those are larger than what single ends free, and would wait for good. For the
 * workspace that has waited longest, as many workers as it is entitled to, those with the least
 * use, are kept free of other workspaces' new tasks until it has its share or RESERVED_MS have
 * passed. */
static void
reserve_workers (struct placement *placement, GArray *ready_steps, const GPtrArray *accounts)
{
  struct mt_scheduler *sched = placement->sched;
  struct mt_account *starving = find_starving (placement, accounts);
  const struct ready_step *ready
      = starving != NULL ? find_step_to_reserve (placement, starving, ready_steps) : NULL;
  g_autoptr (GPtrArray) workers = NULL;
  const struct mt_step *step;
  unsigned wanted;
  unsigned n = 0;

  if (ready == NULL || sched->reserved_for != NULL)
    return;
  step = &ready->occ->job->spec->steps[ready->step];
  wanted = step->gang ? step->count : 1;
  while (!step->gang && wanted < ready->occ->step_waiting[ready->step]
         && mt_account_is_within_limit (sched, starving, step, wanted + 1))
    wanted++;
  workers = g_ptr_array_copy (placement->workers, NULL, NULL);
  g_ptr_array_sort (workers, compare_used_cpu);
  sched->reserved_for = starving;
  sched->reserved_until = placement->now + RESERVED_MS;
  for (guint i = 0; i < workers->len && n < wanted; i++)
    {
      struct mt_worker *w = workers->pdata[i];
      unsigned fitting = count_reservable_tasks (w, step);

      w->reserved_for = fitting > 0 ? starving : NULL;
      n += fitting;
    }
  if (n < (step->gang ? wanted : 1))
    release_reservation (sched);
  else
    schedule_placing (placement, sched->reserved_until);
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
  check_reservation (placement, accounts);
  placed = placement->placed;
  place_steps (placement, ready_steps, PASS_ALL);
  if (placement->placed > placed)
    reserve_workers (placement, ready_steps, accounts);

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
  struct placement placement = { .sched = sched, .now = now, .workers = g_ptr_array_new () };

  if (sched->first_placed_at == 0)
    sched->first_placed_at = now;
  sched->place_at = 0;
  placement.max_placed = limit_placing_to_link (sched, now);

  find_workers (&placement);
  collect_ready_steps (sched, ready_steps, now);
  if (mt_shares_are_active (sched))
    place_by_share (&placement, ready_steps);
  else
    {
      release_reservation (sched);
      place_by_value (&placement, ready_steps);
    }
  update_shortages (sched, now);
  g_ptr_array_unref (placement.workers);
  sched->last_placed_at = now;
}
