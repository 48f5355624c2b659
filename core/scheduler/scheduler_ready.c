/* Order in which waiting steps are placed: their objectives, classes and ranks.
 *
 * Each route in turn receives five times its mean load for some seconds, more than its pool can
 * run, and a twentieth of the mean in between. In a surge not all jobs can meet their objectives,
 * so resources go to the jobs with the highest value per remaining work. Jobs that can't meet their
 * objectives any more run, oldest first, as soon as no timely job needs the resources. No accepted
 * job is dropped. */
#include "scheduler_place.h"

/* Share of a job's value that does not depend on its size. */
#define BASE_VALUE_SHARE 0.3
/* A job counts as timely while this share of its expected remaining time ends within its objective:
 * estimates are often too long. */
#define TIMELY_SHARE 0.8
/* A job that ends after its objective still has a little value, up to this many times the
 * objective. */
#define MAX_LATE_OBJECTIVES 3

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

static void
update_mean_work (struct mt_occurrence *occ)
{
  struct mt_route *route = occ->job->route;
  struct remaining_work remaining = estimate_remaining (occ);

  route->mean_work
      += (route->mean_work == 0 ? 1.0 : 1.0 / 32) * (remaining.total_work - route->mean_work);
}

void
mt_scheduler_collect_ready_steps (struct mt_scheduler *sched, GArray *ready_steps, int64_t now)
{
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      /* A placement made now is not in the record that is being written, and its start would be
       * released with the others once that record is stored. */
      job->left_out = job->in_cycle;
      if (job->is_unreadable)
        continue;
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
