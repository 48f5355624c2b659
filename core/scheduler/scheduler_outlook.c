/* Wait estimate for a job that is submitted now.
 *
 * The load of a surge exceeds the capacity of all machines. If every job were accepted, most would
 * complete when their results are of no use any more, though their callers could have gone
 * elsewhere. Jobs that can complete while their results are useful are accepted; the others are
 * refused at once, with a time after which to retry.
 *
 * One of 20 workspaces may submit 7.5 times its usual load. Work beyond a workspace's fair share is
 * placed after that of the others, so it is not ahead of their jobs, and none of these is refused
 * for it. */
#include "scheduler_internal.h"

/* The backlog is recalculated after this time: under load hundreds of jobs ask each second. */
#define BACKLOG_MAX_AGE_MS 40
/* Share of the processors that is busy in a surge: wide tasks leave some of them unused. */
#define USABLE_SHARE 0.9
/* A job's result is useful up to this many times its objective. */
#define MAX_USEFUL_OBJECTIVES 3
/* After the surges, overdue work may get this many times the pool's present machines. Only jobs
 * that would be too late even with these are refused. */
#define LATER_CAPACITY_FACTOR 2

void
mt_scheduler_expect_capacity (struct mt_scheduler *sched, int64_t cpu, int64_t until)
{
  sched->expected_cpu = cpu;
  sched->expected_until = until;
}

/* Returns the processors for all but long-running tasks, in thousandths of a core; 0: unknown. A
 * full link limits them to the processors in use now, whatever resources are free. */
static double
batch_capacity_cpu (struct mt_scheduler *sched, int64_t now)
{
  struct mt_scheduler_load load;
  int64_t available;
  int64_t long_running;

  mt_scheduler_load (sched, now, &load);
  sched->pool_cpu = load.capacity_cpu;
  if (load.capacity_cpu == 0)
    return 0;
  available = load.capacity_cpu;
  long_running = load.long_running_cpu;
  if (now < sched->expected_until)
    available = MAX (available, sched->expected_cpu);
  if (mt_scheduler_is_link_bound (sched, now))
    available = MIN (available, load.used_cpu);
  return MAX (USABLE_SHARE * (double) available - (double) long_running, 1);
}

/* Returns the part of mt_occurrence_remaining_work that has a worker already. */
static double
running_work (const struct mt_occurrence *occ)
{
  double work = 0;

  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      const struct mt_step *step = &occ->job->spec->steps[s];
      unsigned running = step->count - occ->step_waiting[s] - occ->step_done[s];

      if (!step->long_running && !step->fill)
        work += 0.5 * running * (double) step->need.cpu
                * mt_step_expected_ms (occ->job->route, step);
    }
  return work;
}

static void
clear_backlog (struct mt_scheduler *sched)
{
  GHashTableIter it;
  struct mt_account *account;

  sched->timely_work = sched->total_work = sched->running_work = 0;
  g_hash_table_iter_init (&it, sched->accounts);
  while (g_hash_table_iter_next (&it, NULL, (void **) &account))
    account->timely_work = account->total_work = account->running_work = 0;
}

static void
add_to_backlog (struct mt_scheduler *sched, const struct mt_occurrence *occ, int64_t now)
{
  struct mt_account *account = occ->job->account;
  double work = mt_occurrence_remaining_work (occ);
  bool is_timely = work > 0 && mt_occurrence_can_meet_objective (occ, now);
  double running = running_work (occ);

  sched->total_work += work;
  sched->running_work += running;
  if (is_timely)
    sched->timely_work += work;
  if (account == NULL)
    return;
  account->total_work += work;
  account->running_work += running;
  if (is_timely)
    account->timely_work += work;
}

static void
update_backlog (struct mt_scheduler *sched, int64_t now)
{
  sched->estimated_at = now;
  clear_backlog (sched);
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          add_to_backlog (sched, job->occurrences[k], now);
    }
  sched->batch_cpu = batch_capacity_cpu (sched, now);
}

/* Returns the caller's estimate of the longest chain, corrected by the error of the route's past
 * estimates. */
static double
expected_chain_ms (const struct mt_route *route, int64_t chain_ms)
{
  if (route->mean_ms <= 0 || route->estimate_ms <= 0)
    return (double) chain_ms;
  return (double) chain_ms * route->mean_ms / route->estimate_ms;
}

/* Work ahead of a new job, in thousandths of a core * ms. */
struct work_ahead
{
  double timely; /* of jobs that can meet their objective */
  double total;
};

/* A workspace below its fair share waits until running tasks free resources, and then behind its
 * own work, which gets at least its fair share of the capacity. It never waits behind more than
 * everything. */
static struct work_ahead
work_ahead_of_workspace (const struct mt_scheduler *sched,
                         const struct mt_account *account,
                         double fair)
{
  double own_timely = account != NULL ? account->timely_work : 0;
  double own_total = account != NULL ? account->total_work : 0;
  double running = sched->running_work - (account != NULL ? account->running_work : 0);

  return (struct work_ahead){ MIN (sched->timely_work, own_timely / fair + running),
                              MIN (sched->total_work, own_total / fair + running) };
}

static struct mt_wait_estimate
estimate_behind (const struct mt_scheduler *sched,
                 const struct mt_route *route,
                 double chain,
                 const struct work_ahead *ahead)
{
  double allowed = route->policy.stretch * chain + (double) route->policy.objective_ms;
  struct mt_wait_estimate out = { .wait_ms = (int64_t) (ahead->timely / sched->batch_cpu) };
  double excess_ms;

  if ((double) out.wait_ms + chain <= allowed)
    return out;
  out.wait_ms = (int64_t) (ahead->total / sched->batch_cpu);
  excess_ms
      = (double) out.wait_ms / LATER_CAPACITY_FACTOR + chain - MAX_USEFUL_OBJECTIVES * allowed;
  out.retry_after_ms = excess_ms > 0 ? (int64_t) excess_ms + 1 : 0;
  return out;
}

struct mt_wait_estimate
mt_scheduler_estimate_wait_by_share (struct mt_scheduler *sched,
                                     const char *route_name,
                                     int64_t chain_ms,
                                     const char *workspace,
                                     const struct mt_share_view *share,
                                     int64_t now)
{
  const struct mt_route *route = g_hash_table_lookup (sched->routes, route_name);
  const struct mt_account *account
      = workspace != NULL ? g_hash_table_lookup (sched->accounts, workspace) : NULL;
  struct mt_wait_estimate out = { 0 };
  struct work_ahead everything, below;
  double chain;

  if (route == NULL || !mt_route_has_policy (route))
    return out;
  if (now - sched->estimated_at >= BACKLOG_MAX_AGE_MS)
    update_backlog (sched, now);
  if (sched->batch_cpu <= 0)
    return out;
  chain = expected_chain_ms (route, chain_ms);
  everything = (struct work_ahead){ sched->timely_work, sched->total_work };
  if (share->fair <= 0 || share->fair >= 1)
    return estimate_behind (sched, route, chain, &everything);
  below = work_ahead_of_workspace (sched, account, share->fair);
  if (!share->is_above)
    return estimate_behind (sched, route, chain, &below);
  out = estimate_behind (sched, route, chain, &everything);
  if (out.retry_after_ms == 0 || estimate_behind (sched, route, chain, &below).retry_after_ms > 0)
    return out;
  if (account != NULL && sched->pool_cpu > 0)
    out.share = (unsigned) (1000 * account->used.cpu / sched->pool_cpu);
  out.fair = MAX ((unsigned) (1000 * share->fair), 1U);
  return out;
}

struct mt_wait_estimate
mt_scheduler_estimate_wait (struct mt_scheduler *sched,
                            const char *route_name,
                            int64_t chain_ms,
                            const char *workspace,
                            int64_t now)
{
  struct mt_share_view share = { .fair = 1 };

  if (workspace != NULL && workspace[0] != '\0')
    share = (struct mt_share_view){ mt_scheduler_fair_share (sched, workspace, now),
                                    mt_scheduler_is_above_share (sched, workspace, now) };
  return mt_scheduler_estimate_wait_by_share (sched, route_name, chain_ms, workspace, &share, now);
}
