/* Speed of each worker by route.
 *
 * Designed for pools of 350 workers of which a third run at half speed and single ones ten times
 * slower, with tasks of 0.7 to 2.1 s of which 3% take seven times as long, and for routes that
 * become harder on all workers at once. A worker's run times are compared with those of the other
 * workers on the same route at the same time, so a load that is harder everywhere makes no worker
 * slow. The median of samples of different steps is used: neither single long tasks nor one hard
 * job can outvote the others. Runs during which the worker or the link was silent give no sample,
 * since their reported duration includes the silence. */
#include "scheduler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define UPDATE_INTERVAL_MS 250
/* Ended runs of this many steps are kept for each worker and route. */
#define MAX_ENDED_SAMPLES 12U
/* Samples with those of running tasks. */
#define MAX_SAMPLES 24U
/* Evidence of a worker's speed: with 3% of tasks seven times as long, four of six are long in one
 * of 80,000 cases. They are of more than one step, or one hard job would be evidence. */
#define MIN_TASKS 6U
#define MIN_STEPS 2U
/* Older samples are left out, and a slow worker that got no work because of its speed is tried
 * again. If the others are full it gets work before, so a recovery shows when it matters. */
#define MAX_SAMPLE_AGE_MS 30000
/* Fewer workers can't show whether one of them is slow or another one fast. */
#define MIN_WORKERS 3U
/* A deviation from the other workers counts if it is larger than this many standard errors of the
 * median: about one of 700 medians is by chance. */
#define MIN_DEVIATION_ERRORS 3.0
/* Standard error of the median of normally distributed samples: this multiple of their mean
 * deviation, divided by the square root of their number. */
#define MEDIAN_ERROR 1.57
/* Deviations below this factor are no reason to change the placing. */
#define MIN_FACTOR 1.15
/* A slow worker counts as slow until its factor is below this; with one limit for both, a worker
 * near it would be logged again and again. */
#define RECOVERED_FACTOR 1.3
/* A deviation counts once it has lasted for the route's mean run time, within these limits: when a
 * route becomes harder, the runs of some workers end, and show it, before those of the others. */
#define MIN_CONFIRM_MS 500.0
#define MAX_CONFIRM_MS 3000.0
/* Mean deviation of samples, in natural logarithms, before any was measured: run times differ by a
 * factor of three within a route. */
#define DEFAULT_SPREAD 0.4
/* Limits the effect of single long tasks on the spread. */
#define MAX_DEVIATION 1.0
/* Below it, and in the first moments, progress is too coarse to give a run time. */
#define MIN_PERCENT 10U
#define MIN_RUN_MS  200
/* Longest time from the end of a run to its report by an answering worker: holds wait for
 * MT_HOLD_WAIT_MS at most. */
#define MAX_REPORT_MS (MT_HOLD_WAIT_MS + MT_SILENT_MS)

/* Mean of the samples of one step of an occurrence. */
struct sample
{
  double sum; /* of the logarithms of the run times, relative to the estimates */
  unsigned n;
  uint64_t step; /* identifies the step */
  int64_t at;    /* of the last one */
};

struct mt_worker_speed
{
  struct mt_route *route;
  struct sample ended[MAX_ENDED_SAMPLES];
  unsigned n_ended;
  double median;      /* of the samples, as of the last update */
  unsigned n_samples; /* samples in it, each of one step; 0: not enough evidence */
  unsigned n_tasks;   /* tasks in the samples */
  int64_t sampled_at; /* of the latest of them */
  int64_t since;      /* start of the present significant deviation; 0: none */
  int64_t logged_at;  /* of the last event WORKER_SLOW; 0: none */
  double confidence;  /* 0 to 1 that the deviation is no accident */
  double factor;      /* run time relative to the other workers; 1: no evidence of a difference */
  bool slower;        /* direction of the deviation */
  bool slow;          /* as last logged */
};

static struct mt_worker_speed *
find_speed (const struct mt_worker *w, const struct mt_route *route)
{
  return w->speeds != NULL && route->index < w->speeds->len ? w->speeds->pdata[route->index] : NULL;
}

static struct mt_worker_speed *
get_speed (struct mt_worker *w, struct mt_route *route)
{
  struct mt_worker_speed *speed = find_speed (w, route);

  if (speed != NULL)
    return speed;
  if (w->speeds == NULL)
    w->speeds = g_ptr_array_new_with_free_func (g_free);
  if (route->index >= w->speeds->len)
    g_ptr_array_set_size (w->speeds, (int) route->index + 1);
  speed = g_new0 (struct mt_worker_speed, 1);
  speed->route = route;
  speed->factor = 1;
  w->speeds->pdata[route->index] = speed;
  return speed;
}

double
mt_worker_run_factor (const struct mt_worker *w, const struct mt_route *route, double unknown)
{
  const struct mt_worker_speed *speed = find_speed (w, route);

  return speed != NULL && speed->n_samples > 0 ? speed->factor : unknown;
}

void
mt_worker_forget_speed (struct mt_worker *w)
{
  g_clear_pointer (&w->speeds, g_ptr_array_unref);
  w->lost_capacity = 0;
}

/* ---- samples ---- */

static uint64_t
step_identity (const struct mt_task *task)
{
  return (uint64_t) GPOINTER_TO_SIZE (task->occ) + task->step;
}

/* Returns the logarithm of the run time relative to the square root of the caller's estimate:
 * estimates are wrong by a factor of two and more, and only half of a difference between them shows
 * in the run times. */
static double
relative_run_time (const struct mt_task *task, double run_ms)
{
  return log (run_ms) - 0.5 * log (MAX ((double) mt_task_step (task)->estimate_ms, 1));
}

/* Returns whether the run time of the task shows the speed of its worker. A run that continues from
 * a checkpoint has less to do; gangs, paced runs and runs away from their data depend on more than
 * the worker. */
static bool
shows_speed (const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return !step->long_running && !step->fill && !step->gang && task->pace == 100
         && (step->rack == NULL || mt_worker_has_label (task->worker, step->rack))
         && !(step->checkpointing && task->run > 1) && task->state == MT_TASK_RUNNING;
}

static void
add_sample (struct sample *samples, unsigned *n, unsigned max, const struct sample *added)
{
  unsigned oldest = 0;

  for (unsigned i = 0; i < *n; i++)
    {
      if (samples[i].step == added->step)
        {
          samples[i].sum += added->sum;
          samples[i].n += added->n;
          samples[i].at = MAX (samples[i].at, added->at);
          return;
        }
      if (samples[i].at < samples[oldest].at)
        oldest = i;
    }
  if (*n < max)
    samples[(*n)++] = *added;
  else
    samples[oldest] = *added;
}

/* Returns whether the end of the run may have been reported late. */
static bool
is_reported_late (const struct mt_scheduler *sched,
                  const struct mt_task *task,
                  const struct mt_worker *w,
                  int64_t now)
{
  return w->fell_silent_at >= task->state_since
         || now - MAX (w->listed_before_at, task->state_since) > MAX_REPORT_MS
         || mt_scheduler_is_link_late (sched, now);
}

void
mt_worker_record_run (struct mt_scheduler *sched,
                      struct mt_worker *w,
                      const struct mt_task *task,
                      double run_ms,
                      int64_t now)
{
  struct mt_worker_speed *speed;
  struct sample sample;

  if (!sched->settings.worker_speed || !shows_speed (task)
      || is_reported_late (sched, task, w, now))
    return;
  speed = get_speed (w, task->occ->job->route);
  sample = (struct sample){ relative_run_time (task, run_ms), 1, step_identity (task), now };
  add_sample (speed->ended, &speed->n_ended, MAX_ENDED_SAMPLES, &sample);
}

static void
remove_old_samples (struct mt_worker_speed *speed, int64_t now)
{
  unsigned n = 0;

  for (unsigned i = 0; i < speed->n_ended; i++)
    if (now - speed->ended[i].at <= MAX_SAMPLE_AGE_MS)
      speed->ended[n++] = speed->ended[i];
  speed->n_ended = n;
}

/* Adds the run times that follow from the progress of running tasks. */
static void
add_running (const struct mt_worker *w,
             const struct mt_route *route,
             struct sample *samples,
             unsigned *n,
             int64_t now)
{
  for (const GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      int64_t run_ms = task->progress_at - task->state_since;
      struct sample sample;

      if (task->occ->job->route != route || !shows_speed (task) || task->percent < MIN_PERCENT
          || task->percent >= 100 || run_ms < MIN_RUN_MS || now - task->progress_at > MAX_REPORT_MS)
        continue;
      sample = (struct sample){ relative_run_time (task, (double) run_ms * 100 / task->percent), 1,
                                step_identity (task), task->progress_at };
      add_sample (samples, n, MAX_SAMPLES, &sample);
    }
}

static int
compare_doubles (const void *left, const void *right)
{
  const double *a = left;
  const double *b = right;

  return (*a > *b) - (*a < *b);
}

/* Sorts the values and returns the median, the lower one of two. */
static double
take_median (double *values, unsigned n)
{
  qsort (values, n, sizeof *values, compare_doubles);
  return values[(n - 1) / 2];
}

/* Deviations of the samples from their worker's median, of all workers of a route. */
struct spread
{
  double sum;
  unsigned n;
};

static void
update_median (const struct mt_worker *w,
               struct mt_worker_speed *speed,
               struct spread *spread,
               int64_t now)
{
  struct sample samples[MAX_SAMPLES];
  double values[MAX_SAMPLES];

  remove_old_samples (speed, now);
  speed->n_samples = speed->n_ended;
  memcpy (samples, speed->ended, speed->n_ended * sizeof *samples);
  add_running (w, speed->route, samples, &speed->n_samples, now);
  speed->n_tasks = 0;
  for (unsigned i = 0; i < speed->n_samples; i++)
    speed->n_tasks += samples[i].n;
  if (speed->n_samples < MIN_STEPS || speed->n_tasks < MIN_TASKS)
    speed->n_samples = 0;
  if (speed->n_samples == 0)
    return;
  speed->sampled_at = 0;
  for (unsigned i = 0; i < speed->n_samples; i++)
    {
      values[i] = samples[i].sum / samples[i].n;
      speed->sampled_at = MAX (speed->sampled_at, samples[i].at);
    }
  speed->median = take_median (values, speed->n_samples);
  for (unsigned i = 0; i < speed->n_samples; i++)
    spread->sum += MIN (fabs (values[i] - speed->median), MAX_DEVIATION);
  spread->n += speed->n_samples - 1;
}

/* ---- factors ---- */

static void
log_slow (struct mt_scheduler *sched,
          const struct mt_worker *w,
          struct mt_worker_speed *speed,
          int64_t now)
{
  bool known = speed->n_samples > 0;

  mt_scheduler_log_event (
      sched, "WORKER_SLOW",
      "worker=%s route=%s state=%s speed=%d samples=%u steps=%u age_ms=%" G_GINT64_FORMAT
      " confidence=%d",
      w->id, speed->route->name,
      speed->slow ? "slow"
      : known     ? "normal"
                  : "unknown",
      (int) (1000 / speed->factor), speed->n_tasks, speed->n_samples, now - speed->sampled_at,
      (int) (1000 * speed->confidence));
  speed->logged_at = now;
}

static void
update_state (struct mt_scheduler *sched,
              const struct mt_worker *w,
              struct mt_worker_speed *speed,
              int64_t now)
{
  bool slow = speed->factor > (speed->slow ? RECOVERED_FACTOR : MT_SLOW_FACTOR);

  if (slow == speed->slow)
    return;
  speed->slow = slow;
  log_slow (sched, w, speed, now);
}

/* Sets the factor from the worker's median and that of the route's workers. */
static void
update_factor (struct mt_scheduler *sched,
               const struct mt_worker *w,
               struct mt_worker_speed *speed,
               double reference,
               double spread,
               int64_t now)
{
  double deviation = speed->median - reference;
  double error = MEDIAN_ERROR * spread / sqrt (MAX (speed->n_samples, 1U));
  double confirm_ms = CLAMP (speed->route->mean_ms, MIN_CONFIRM_MS, MAX_CONFIRM_MS);
  bool significant = speed->n_samples > 0 && fabs (deviation) > log (MIN_FACTOR)
                     && fabs (deviation) > MIN_DEVIATION_ERRORS * error;

  speed->confidence = speed->n_samples > 0
                          ? deviation * deviation / (deviation * deviation + error * error + 1e-9)
                          : 0;
  if (!significant)
    speed->since = 0;
  else if (speed->since == 0 || speed->slower != (deviation > 0))
    speed->since = now;
  speed->slower = deviation > 0;
  speed->factor
      = speed->since != 0 && (double) (now - speed->since) >= confirm_ms ? exp (deviation) : 1;
  update_state (sched, w, speed, now);
}

/* The median of the workers, the faster one of two, is the reference: up to half of them may be
 * slow. Silent workers keep their last estimates until these are too old. */
static void
update_route (struct mt_scheduler *sched, struct mt_route *route, GArray *medians, int64_t now)
{
  struct spread spread = { 0 };
  GHashTableIter it;
  struct mt_worker *w;
  double reference = 0;
  double mean_spread;

  g_array_set_size (medians, 0);
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      struct mt_worker_speed *speed
          = w->tasks.length > 0 ? get_speed (w, route) : find_speed (w, route);

      if (speed == NULL || w->ended)
        continue;
      update_median (w, speed, &spread, now);
      if (speed->n_samples > 0)
        g_array_append_val (medians, speed->median);
    }
  if (medians->len >= MIN_WORKERS)
    reference = take_median ((double *) (void *) medians->data, medians->len);
  mean_spread = spread.n > 0 ? spread.sum / spread.n : DEFAULT_SPREAD;
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    {
      struct mt_worker_speed *speed = find_speed (w, route);

      if (speed == NULL || w->ended)
        continue;
      if (medians->len < MIN_WORKERS)
        speed->n_samples = 0;
      update_factor (sched, w, speed, reference, mean_spread, now);
    }
}

/* Returns the share of its capacity that a worker lacks for its speed, the mean of the routes with
 * evidence. */
static double
lost_capacity (const struct mt_worker *w)
{
  double lost = 0;
  unsigned n = 0;

  for (guint i = 0; w->speeds != NULL && i < w->speeds->len; i++)
    {
      const struct mt_worker_speed *speed = w->speeds->pdata[i];

      if (speed == NULL || speed->n_samples == 0)
        continue;
      lost += 1 - 1 / MAX (speed->factor, 1);
      n++;
    }
  return n > 0 ? lost / n : 0;
}

void
mt_scheduler_update_speeds (struct mt_scheduler *sched, int64_t now)
{
  g_autoptr (GArray) medians = NULL;
  GHashTableIter it;
  struct mt_route *route;
  struct mt_worker *w;

  if (!sched->settings.worker_speed || now - sched->speeds_at < UPDATE_INTERVAL_MS)
    return;
  sched->speeds_at = now;
  medians = g_array_new (FALSE, FALSE, sizeof (double));
  g_hash_table_iter_init (&it, sched->routes);
  while (g_hash_table_iter_next (&it, NULL, (void **) &route))
    update_route (sched, route, medians, now);
  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    w->lost_capacity = lost_capacity (w);
}
