/* Wait estimate for a job that is submitted now.
 *
 * The load of a surge exceeds the capacity of all machines. If every job were accepted, most would
 * complete when their results are of no use any more, though their callers could have gone
 * elsewhere. Jobs that can complete while their results are useful are accepted; the others are
 * refused at once, with a time after which to retry. */
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
batch_capacity_cpu (const struct mt_scheduler *sched, int64_t now)
{
  struct mt_scheduler_load load;
  int64_t available;
  int64_t long_running;

  mt_scheduler_load (sched, now, &load);
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

static void
update_backlog (struct mt_scheduler *sched, int64_t now)
{
  sched->estimated_at = now;
  sched->timely_work = sched->total_work = 0;
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        {
          const struct mt_occurrence *occ = job->occurrences[k];
          double work = occ != NULL && !occ->ended ? mt_occurrence_remaining_work (occ) : 0;

          sched->total_work += work;
          if (work > 0 && mt_occurrence_can_meet_objective (occ, now))
            sched->timely_work += work;
        }
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

struct mt_wait_estimate
mt_scheduler_estimate_wait (struct mt_scheduler *sched,
                            const char *route_name,
                            int64_t chain_ms,
                            int64_t now)
{
  const struct mt_route *route = g_hash_table_lookup (sched->routes, route_name);
  struct mt_wait_estimate out = { 0 };
  double chain, allowed, excess_ms;

  if (route == NULL)
    return out;
  if (now - sched->estimated_at >= BACKLOG_MAX_AGE_MS)
    update_backlog (sched, now);
  if (sched->batch_cpu <= 0)
    return out;
  chain = expected_chain_ms (route, chain_ms);
  allowed = route->policy.stretch * chain + (double) route->policy.objective_ms;
  out.wait_ms = (int64_t) (sched->timely_work / sched->batch_cpu);
  if ((double) out.wait_ms + chain <= allowed)
    return out;
  out.wait_ms = (int64_t) (sched->total_work / sched->batch_cpu);
  excess_ms
      = (double) out.wait_ms / LATER_CAPACITY_FACTOR + chain - MAX_USEFUL_OBJECTIVES * allowed;
  out.retry_after_ms = excess_ms > 0 ? (int64_t) excess_ms + 1 : 0;
  return out;
}
