/* Rate of arriving work, which shows a surge before any task waits. */
#include "scheduler_internal.h"

#include <math.h>

/* Length of the averaging window, as a share of the route's mean chain length, and its minimum. At
 * the height of a surge about 25 jobs arrive within the window. */
#define ARRIVAL_WINDOW_SHARE  0.5
#define MIN_ARRIVAL_WINDOW_MS 600.0

/* Arrivals of long jobs are averaged over a longer window, so that one large job does not look like
 * a surge. */
static double
arrival_window_ms (const struct mt_route *route)
{
  return MAX (MIN_ARRIVAL_WINDOW_MS, ARRIVAL_WINDOW_SHARE * route->chain_ms);
}

static double
route_arriving_cpu (const struct mt_route *route, int64_t now)
{
  return route->arriving_cpu
         * exp (-(double) (now - route->arriving_at) / arrival_window_ms (route));
}

double
mt_scheduler_arriving_cpu (const struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_route *route;
  double sum = 0;

  g_hash_table_iter_init (&it, sched->routes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &route))
    if (route->arriving_cpu > 0)
      sum += route_arriving_cpu (route, now);
  return sum;
}

/* Adds the job's work to its route's rate of arriving work, which shows a surge well before running
 * or waiting work does. */
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
  route->arriving_cpu = route_arriving_cpu (route, now);
  route->arriving_at = now;
  route->chain_ms += (route->chain_ms == 0 ? 1.0 : 1.0 / 32) * (chain - route->chain_ms);
  route->arriving_cpu += work / arrival_window_ms (route);
}
