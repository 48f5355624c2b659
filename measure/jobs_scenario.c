#include "jobs_scenario.h"

#include "medlartrack/jobs.h"

#include <malloc.h>
#include <math.h>
#include <string.h>
#include <time.h>

#define TICK_US                 (500 * MT_MS) /* interval of planning, as in the daemon */
#define DELIVERY_TICKS          1             /* delay from an action to its effect on the worker */
#define CHECKPOINT_TICKS        2             /* one second to save a checkpoint */
#define REPORT_TICKS            20            /* a running job reports its usage every 10 s */
#define WORKER_CPU_MILLI        16000
#define WORKER_MEMORY_MB        32768
#define TARGET_LOAD             0.85 /* share of the fleet's processors, by actual sizes */
#define URGENT_PERCENT          10
#define BACKGROUND_PERCENT      30
#define IMPOSSIBLE_PER_MILLE    2
#define BROKEN_WORKER_PER_MILLE 10  /* workers on which every job fails */
#define CANCEL_WAVE_TICKS       240 /* every two minutes CANCEL_WAVE_JOBS jobs are cancelled */
#define CANCEL_WAVE_JOBS        20
#define RUN_SPREAD              0.3 /* a job's size differs from its kind's by up to this share */
#define KINDS_PER_POOL          6
#define MEAN_RUN_S              60.0

/* The actual state of a job. The scheduler knows only what is declared and reported. */
struct sim_job
{
  char *name;
  unsigned pool;
  unsigned team;
  struct mt_job_resources size;
  double remaining_s; /* run time still needed */
  enum mt_urgency urgency;
  int64_t submitted_us;
  int64_t first_start_us; /* 0: not started yet */
  bool within_quota;      /* its team was within its quota at the job's submission */
  int worker;             /* -1: not running */
  uint64_t epoch;
  bool ended;
};

struct kind
{
  struct mt_job_resources size;
  double declared_factor;
};

struct pending_report
{
  int64_t at_us;
  struct mt_job_report report;
};

struct sim
{
  const struct mt_jobs_scenario *scenario;
  struct mt_clock_manual *manual;
  struct mt_jobs *jobs;
  GRand *rand;
  struct mt_job_resources quota; /* of each team */
  GHashTable *jobs_by_name;      /* name -> struct sim_job */
  GPtrArray *all_jobs;           /* of struct sim_job */
  GPtrArray *running;            /* of struct sim_job */
  GQueue pending_reports;        /* of struct pending_report, by time */
  struct kind *kinds;
  bool *broken; /* by worker: every job on it fails */
  char **worker_names;
  struct mt_job_resources *used; /* of each worker: actual use by its jobs */
  uint64_t cpu_over_ticks; /* ticks times workers whose jobs needed more processors than the worker
                              has */
  uint64_t memory_over_ticks;
  double arrivals_per_tick;
  uint64_t next_job;
  double used_cpu_s;
  double bound_cpu_s;
  double *backlog_cpu_s; /* of each pool, for the bound with divisible work */
  unsigned actions;
  unsigned failures;
  size_t record_bytes;
  unsigned batches;
  double plan_cpu_s;
  double max_plan_s;
  unsigned plans;
};

static int64_t
now_us (const struct sim *sim)
{
  return mt_clock_now (mt_clock_manual_clock (sim->manual));
}

static double
cpu_seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double) ts.tv_sec + (double) ts.tv_nsec / 1e9;
}

static void
free_job (gpointer data)
{
  struct sim_job *job = data;

  g_free (job->name);
  g_free (job);
}

static void
make_workers (struct sim *sim)
{
  const struct mt_jobs_scenario *s = sim->scenario;

  for (unsigned i = 0; i < s->workers; i++)
    {
      g_autofree char *rack = g_strdup_printf ("rack-%u", i / 4);
      g_autofree char *pool = g_strdup_printf ("pool-%u", i % s->pools);
      struct mt_worker_spec spec
          = { NULL, rack, pool, { WORKER_CPU_MILLI, WORKER_MEMORY_MB, i % 2 ? 2 : 0 }, 1 };

      sim->worker_names[i] = g_strdup_printf ("worker-%u", i);
      spec.name = sim->worker_names[i];
      sim->broken[i] = g_rand_int_range (sim->rand, 0, 1000) < BROKEN_WORKER_PER_MILLE;
      mt_jobs_set_worker (sim->jobs, &spec);
    }
}

static void
make_teams (struct sim *sim)
{
  const struct mt_jobs_scenario *s = sim->scenario;
  double share = (double) s->workers / s->teams;
  struct mt_job_resources quota
      = { (uint32_t) (share * WORKER_CPU_MILLI), (uint32_t) (share * WORKER_MEMORY_MB),
          (uint32_t) ceil (share) };

  for (unsigned i = 0; i < s->teams; i++)
    {
      g_autofree char *team = g_strdup_printf ("team-%u", i);

      mt_jobs_set_quota (sim->jobs, team, quota);
    }
  sim->quota = quota;
}

static void
make_kinds (struct sim *sim)
{
  unsigned n = sim->scenario->pools * KINDS_PER_POOL;

  sim->kinds = g_new0 (struct kind, n);
  for (unsigned i = 0; i < n; i++)
    {
      struct kind *k = &sim->kinds[i];

      k->size.cpu_milli = (uint32_t) g_rand_int_range (sim->rand, 500, 6000);
      k->size.memory_mb = (uint32_t) g_rand_int_range (sim->rand, 256, 10000);
      /* Declared sizes are from a fifth to five times the actual ones. */
      k->declared_factor = exp (g_rand_double_range (sim->rand, -log (5.0), log (5.0)));
    }
}

static struct sim *
create_sim (const struct mt_jobs_scenario *s, const struct mt_placement_policy *placement)
{
  struct sim *sim = g_new0 (struct sim, 1);
  struct mt_jobs_options options = mt_jobs_default_options ();
  double mean_cpu = 3.25;

  options.placement = placement;
  sim->scenario = s;
  sim->manual = mt_clock_manual_create (MT_SECOND);
  sim->jobs = mt_jobs_create (mt_clock_manual_clock (sim->manual), &options);
  sim->rand = g_rand_new_with_seed (s->seed);
  sim->jobs_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  sim->all_jobs = g_ptr_array_new_with_free_func (free_job);
  sim->running = g_ptr_array_new ();
  g_queue_init (&sim->pending_reports);
  sim->broken = g_new0 (bool, s->workers);
  sim->worker_names = g_new0 (char *, s->workers + 1);
  sim->used = g_new0 (struct mt_job_resources, s->workers);
  sim->backlog_cpu_s = g_new0 (double, s->pools);
  make_workers (sim);
  make_teams (sim);
  make_kinds (sim);
  sim->arrivals_per_tick = s->workers * (WORKER_CPU_MILLI / 1000.0) * TARGET_LOAD
                           / (mean_cpu * MEAN_RUN_S) * ((double) TICK_US / MT_SECOND);
  return sim;
}

static void
destroy_sim (struct sim *sim)
{
  mt_jobs_destroy (sim->jobs);
  mt_clock_manual_destroy (sim->manual);
  g_rand_free (sim->rand);
  g_hash_table_unref (sim->jobs_by_name);
  g_ptr_array_unref (sim->all_jobs);
  g_ptr_array_unref (sim->running);
  g_queue_clear_full (&sim->pending_reports, g_free);
  g_free (sim->broken);
  g_free (sim->used);
  g_strfreev (sim->worker_names);
  g_free (sim->backlog_cpu_s);
  g_free (sim->kinds);
  g_free (sim);
}

static enum mt_urgency
draw_urgency (struct sim *sim)
{
  int draw = g_rand_int_range (sim->rand, 0, 100);

  if (draw < URGENT_PERCENT)
    return MT_URGENCY_URGENT;
  return draw < URGENT_PERCENT + BACKGROUND_PERCENT ? MT_URGENCY_BACKGROUND : MT_URGENCY_NORMAL;
}

static struct mt_job_resources
declared_size (const struct kind *k)
{
  struct mt_job_resources size
      = { (uint32_t) CLAMP (k->size.cpu_milli * k->declared_factor, 100, WORKER_CPU_MILLI),
          (uint32_t) CLAMP (k->size.memory_mb * k->declared_factor, 64, WORKER_MEMORY_MB), 0 };

  return size;
}

static bool
is_within_quota (const struct sim *sim, const char *team, struct mt_job_resources more)
{
  struct mt_job_resources owned = mt_job_resources_sub (mt_jobs_team_allocated (sim->jobs, team),
                                                        mt_jobs_team_borrowed (sim->jobs, team));

  return mt_job_resources_fit (mt_job_resources_add (owned, more), sim->quota);
}

static void
submit_one (struct sim *sim)
{
  const struct mt_jobs_scenario *s = sim->scenario;
  struct sim_job *job = g_new0 (struct sim_job, 1);
  unsigned kind_number;
  const struct kind *k;
  g_autofree char *kind = NULL;
  g_autofree char *team = NULL;
  g_autofree char *pool = NULL;
  struct mt_job_spec spec = { 0 };
  double spread;

  job->pool = (unsigned) g_rand_int_range (sim->rand, 0, (gint32) s->pools);
  job->team = (unsigned) g_rand_int_range (sim->rand, 0, (gint32) s->teams);
  kind_number
      = job->pool * KINDS_PER_POOL + (unsigned) g_rand_int_range (sim->rand, 0, KINDS_PER_POOL);
  k = &sim->kinds[kind_number];
  job->name = g_strdup_printf ("job-%" G_GUINT64_FORMAT, sim->next_job++);
  spread = g_rand_double_range (sim->rand, 1.0 - RUN_SPREAD, 1.0 + RUN_SPREAD);
  job->size = (struct mt_job_resources){ (uint32_t) (k->size.cpu_milli * spread),
                                         (uint32_t) (k->size.memory_mb * spread), 0 };
  job->remaining_s = -log (1.0 - g_rand_double (sim->rand)) * MEAN_RUN_S + 1;
  job->urgency = draw_urgency (sim);
  job->submitted_us = now_us (sim);
  job->worker = -1;
  kind = g_strdup_printf ("kind-%u", kind_number);
  team = g_strdup_printf ("team-%u", job->team);
  pool = g_strdup_printf ("pool-%u", job->pool);
  spec = (struct mt_job_spec){
    job->name, kind, team, pool, declared_size (k), job->urgency, sim->next_job % 3 != 0
  };
  if (g_rand_int_range (sim->rand, 0, 1000) < IMPOSSIBLE_PER_MILLE)
    {
      spec.declared.accelerators = 100;
      spec.kind = "impossible";
      job->ended = true;
    }
  else
    sim->backlog_cpu_s[job->pool] += job->remaining_s * job->size.cpu_milli / 1000.0;
  job->within_quota = is_within_quota (sim, team, spec.declared);
  g_ptr_array_add (sim->all_jobs, job);
  g_hash_table_insert (sim->jobs_by_name, job->name, job);
  mt_jobs_submit (sim->jobs, &spec);
}

static void
submit_arrivals (struct sim *sim)
{
  double expected = sim->arrivals_per_tick;
  unsigned n = (unsigned) expected;

  if (g_rand_double (sim->rand) < expected - n)
    n++;
  for (unsigned i = 0; i < n; i++)
    submit_one (sim);
}

static void
cancel_random_jobs (struct sim *sim)
{
  for (unsigned i = 0; i < CANCEL_WAVE_JOBS && sim->all_jobs->len > 0; i++)
    {
      struct sim_job *job
          = sim->all_jobs->pdata[g_rand_int_range (sim->rand, 0, (gint32) sim->all_jobs->len)];

      mt_jobs_cancel (sim->jobs, job->name);
    }
}

static gint
compare_pending (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct pending_report *x = a;
  const struct pending_report *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
queue_report (struct sim *sim,
              const struct sim_job *job,
              int worker,
              uint64_t epoch,
              enum mt_job_report_kind kind,
              unsigned ticks)
{
  struct pending_report *d = g_new0 (struct pending_report, 1);

  d->at_us = now_us (sim) + (int64_t) ticks * TICK_US;
  d->report = (struct mt_job_report){ kind,  job->name, sim->worker_names[worker],
                                      epoch, job->size, now_us (sim) };
  g_queue_insert_sorted (&sim->pending_reports, d, compare_pending, NULL);
}

static void
deliver_reports (struct sim *sim)
{
  struct pending_report *d;

  while ((d = g_queue_peek_head (&sim->pending_reports)) != NULL && d->at_us <= now_us (sim))
    {
      g_queue_pop_head (&sim->pending_reports);
      mt_jobs_report (sim->jobs, &d->report);
      g_free (d);
    }
}

static void
stop_running (struct sim *sim, struct sim_job *job)
{
  g_ptr_array_remove_fast (sim->running, job);
  sim->used[job->worker] = mt_job_resources_sub (sim->used[job->worker], job->size);
  job->worker = -1;
}

static void
start_job (struct sim *sim, struct sim_job *job, const struct mt_job_action *a)
{
  int worker = atoi (strrchr (a->worker, '-') + 1);

  if (sim->broken[worker])
    {
      sim->failures++;
      queue_report (sim, job, worker, a->epoch, MT_REPORT_FAILED, DELIVERY_TICKS + 1);
      return;
    }
  job->worker = worker;
  job->epoch = a->epoch;
  if (job->first_start_us == 0)
    job->first_start_us = now_us (sim) + DELIVERY_TICKS * TICK_US;
  g_ptr_array_add (sim->running, job);
  sim->used[worker] = mt_job_resources_add (sim->used[worker], job->size);
  queue_report (sim, job, worker, a->epoch, MT_REPORT_RUNNING, DELIVERY_TICKS);
}

static void
perform_action (struct sim *sim, const struct mt_job_action *a)
{
  struct sim_job *job = g_hash_table_lookup (sim->jobs_by_name, a->job);
  int worker = job->worker;

  sim->actions++;
  if (a->kind == MT_JOB_START)
    {
      start_job (sim, job, a);
      return;
    }
  if (a->kind == MT_JOB_THROTTLE || worker < 0)
    return;
  stop_running (sim, job);
  if (a->kind == MT_JOB_CHECKPOINT)
    queue_report (sim, job, worker, a->epoch, MT_REPORT_CHECKPOINTED, CHECKPOINT_TICKS);
  else
    queue_report (sim, job, worker, a->epoch, MT_REPORT_STOPPED, DELIVERY_TICKS);
}

static void
run_plan (struct sim *sim)
{
  g_autoptr (GArray) actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  g_autoptr (GString) batch = g_string_new (NULL);
  double before = cpu_seconds ();
  double took;

  mt_jobs_plan (sim->jobs, actions);
  mt_jobs_take_changes (sim->jobs, batch);
  took = cpu_seconds () - before;
  sim->plan_cpu_s += took;
  sim->max_plan_s = MAX (sim->max_plan_s, took);
  sim->plans++;
  sim->record_bytes += batch->len;
  sim->batches += batch->len > 0;
  for (guint i = 0; i < actions->len; i++)
    perform_action (sim, &g_array_index (actions, struct mt_job_action, i));
}

static void
count_overcommitted (struct sim *sim)
{
  for (unsigned i = 0; i < sim->scenario->workers; i++)
    {
      sim->cpu_over_ticks += sim->used[i].cpu_milli > WORKER_CPU_MILLI;
      sim->memory_over_ticks += sim->used[i].memory_mb > WORKER_MEMORY_MB;
    }
}

static void
run_tasks (struct sim *sim, unsigned tick)
{
  double dt = (double) TICK_US / MT_SECOND;

  for (guint i = sim->running->len; i-- > 0;)
    {
      struct sim_job *job = sim->running->pdata[i];

      job->remaining_s -= dt;
      sim->used_cpu_s += dt * job->size.cpu_milli / 1000.0;
      if (job->remaining_s <= 0)
        {
          int worker = job->worker;

          stop_running (sim, job);
          job->ended = true;
          queue_report (sim, job, worker, job->epoch, MT_REPORT_DONE, 1);
        }
      else if ((tick + i) % REPORT_TICKS == 0)
        queue_report (sim, job, job->worker, job->epoch, MT_REPORT_RUNNING, 1);
    }
}

/* Advances the upper bound of utilisation by one tick. It assumes divisible work: each pool's
 * workers take as much of the pool's backlog as they can. */
static void
advance_bound (struct sim *sim)
{
  const struct mt_jobs_scenario *s = sim->scenario;
  double dt = (double) TICK_US / MT_SECOND;

  for (unsigned i = 0; i < s->pools; i++)
    {
      unsigned workers = s->workers / s->pools + (i < s->workers % s->pools);
      double capacity_cpu_s = workers * (WORKER_CPU_MILLI / 1000.0) * dt;
      double served = MIN (capacity_cpu_s, sim->backlog_cpu_s[i]);

      sim->backlog_cpu_s[i] -= served;
      sim->bound_cpu_s += served;
    }
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
get_quantile (GArray *sorted, double q)
{
  return sorted->len > 0 ? g_array_index (sorted, double, (guint) (q * (sorted->len - 1))) : 0.0;
}

/* Returns the quantiles of the delay from submission to first start, for the urgent jobs whose team
 * was within its quota at submission, or for those whose team was beyond it. */
static json_t *
describe_urgent (const struct sim *sim, bool within_quota)
{
  g_autoptr (GArray) delays = g_array_new (FALSE, FALSE, sizeof (double));
  unsigned waiting = 0;

  for (guint i = 0; i < sim->all_jobs->len; i++)
    {
      const struct sim_job *job = sim->all_jobs->pdata[i];
      double delay = (double) (job->first_start_us - job->submitted_us) / MT_SECOND;

      if (job->urgency != MT_URGENCY_URGENT || job->within_quota != within_quota)
        continue;
      if (job->first_start_us != 0)
        g_array_append_val (delays, delay);
      else if (mt_jobs_state (sim->jobs, job->name) == MT_JOB_WAITING)
        waiting++;
    }
  g_array_sort (delays, compare_doubles);
  return json_pack ("{si sf sf sf si}", "started", (int) delays->len, "p50_s",
                    get_quantile (delays, 0.5), "p99_s", get_quantile (delays, 0.99), "worst_s",
                    get_quantile (delays, 1.0), "still_waiting", (int) waiting);
}

static json_t *
describe_run (const struct sim *sim, size_t memory)
{
  const struct mt_jobs_scenario *s = sim->scenario;
  double capacity = s->workers * (WORKER_CPU_MILLI / 1000.0) * s->seconds;
  unsigned quarantined = 0;
  unsigned broken = 0;
  double rounds = (double) s->workers * s->seconds * MT_SECOND / TICK_US;
  json_t *out;

  for (unsigned i = 0; i < s->workers; i++)
    {
      quarantined += mt_jobs_is_quarantined (sim->jobs, sim->worker_names[i]);
      broken += sim->broken[i];
    }
  out = json_pack ("{si so so sf sf sf si si si si sI si}", "submitted", (int) sim->all_jobs->len,
                   "urgent_within_quota", describe_urgent (sim, true), "urgent_beyond_quota",
                   describe_urgent (sim, false), "utilisation", sim->used_cpu_s / capacity,
                   "cpu_over_share", (double) sim->cpu_over_ticks / rounds, "memory_over_share",
                   (double) sim->memory_over_ticks / rounds, "failures", (int) sim->failures,
                   "broken_workers", (int) broken, "quarantined", (int) quarantined, "actions",
                   (int) sim->actions, "record_bytes", (json_int_t) sim->record_bytes,
                   "record_writes", (int) sim->batches);
  if (s->cost)
    json_object_set_new (out, "cost",
                         json_pack ("{sf sf sf}", "core_share", sim->plan_cpu_s / s->seconds,
                                    "worst_plan_ms", sim->max_plan_s * 1e3, "book_mb",
                                    (double) memory / 1e6));
  return out;
}

static json_t *
run_policy (const struct mt_jobs_scenario *s,
            const struct mt_placement_policy *placement,
            double *bound)
{
  size_t before = mallinfo2 ().uordblks;
  struct sim *sim = create_sim (s, placement);
  unsigned ticks = (unsigned) (s->seconds * MT_SECOND / TICK_US);
  json_t *out;

  for (unsigned tick = 0; tick < ticks; tick++)
    {
      submit_arrivals (sim);
      advance_bound (sim);
      if (tick % CANCEL_WAVE_TICKS == CANCEL_WAVE_TICKS - 1)
        cancel_random_jobs (sim);
      deliver_reports (sim);
      run_plan (sim);
      mt_clock_manual_advance (sim->manual, TICK_US);
      run_tasks (sim, tick);
      count_overcommitted (sim);
    }
  *bound = sim->bound_cpu_s / (s->workers * (WORKER_CPU_MILLI / 1000.0) * s->seconds);
  out = describe_run (sim, mallinfo2 ().uordblks - before);
  destroy_sim (sim);
  return out;
}

json_t *
mt_jobs_scenario_run (const struct mt_jobs_scenario *scenario)
{
  json_t *policies = json_object ();
  double bound = 0;

  for (const struct mt_placement_policy *p = mt_placement_policies (); p->name != NULL; p++)
    json_object_set_new (policies, p->name, run_policy (scenario, p, &bound));
  return json_pack ("{ss sI si si so s{sf}}", "scenario", "jobs", "seed",
                    (json_int_t) scenario->seed, "workers", (int) scenario->workers, "teams",
                    (int) scenario->teams, "policies", policies, "bound", "utilisation", bound);
}
