/* What arrives: a surge shows here before anything waits. */
#include "scheduler_internal.h"

#include <math.h>

/* Arrivals count over about this share of the time that a job takes, and no less than the time:
 * some 25 jobs at the height of a surge. */
#define ARRIVING_SHARE    0.5
#define ARRIVING_LEAST_MS 600.0

/* One large job is no surge: arrivals of long jobs are taken over a longer time. */
static double
arriving_over (const struct mt_route *route)
{
  return MAX (ARRIVING_LEAST_MS, ARRIVING_SHARE * route->chain_ms);
}

static double
route_arriving (const struct mt_route *route, int64_t now)
{
  return route->arriving * exp (-(double) (now - route->arriving_at) / arriving_over (route));
}

double
mt_scheduler_arriving_cpu (const struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_route *route;
  double sum = 0;

  g_hash_table_iter_init (&it, sched->routes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &route))
    sum += route_arriving (route, now);
  return sum;
}

/* A surge shows in what arrives well before it shows in what runs, and before anything waits. */
void
mt_route_record_arrival (const struct mt_job *job, int64_t now)
{
  struct mt_route *route = job->route;
  double chain = (double) mt_job_spec_chain_ms (job->spec, 1.0);
  double work = 0;

  for (unsigned i = 0; i < job->spec->n_steps; i++)
    {
      const struct mt_step *step = &job->spec->steps[i];

      if (!step->long_running && !step->fill)
        work += (double) step->count * (double) step->need.cpu * mt_step_expected_ms (route, step);
    }
  route->arriving = route_arriving (route, now);
  route->arriving_at = now;
  route->chain_ms += (route->chain_ms == 0 ? 1.0 : 1.0 / 32) * (chain - route->chain_ms);
  route->arriving += work / arriving_over (route);
}
