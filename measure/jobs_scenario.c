#include "jobs_scenario.h"

#include "medlartrack/jobs.h"

#include <malloc.h>
#include <math.h>
#include <string.h>
#include <time.h>

#define TICK_US                 (500 * MT_MS) /* a round of the daemon's runner */
#define DELIVERY_TICKS          1             /* an action reaches its worker after this */
#define CHECKPOINT_TICKS        2             /* a second to save progress */
#define REPORT_TICKS            20            /* usage is measured every 10 s */
#define WORKER_CPU_MILLI        16000
#define WORKER_MEMORY_MB        32768
#define TARGET_LOAD             0.85 /* of the fleet's processors, by true sizes */
#define URGENT_PERCENT          10
#define BACKGROUND_PERCENT      30
#define IMPOSSIBLE_PER_MILLE    2
#define BROKEN_WORKER_PER_MILLE 10  /* workers that fail whatever they start */
#define CANCEL_WAVE_TICKS       240 /* every two minutes a wave of cancellations comes */
#define CANCEL_WAVE_JOBS        20
#define RUN_SPREAD              0.3 /* one run uses up to so much less or more than its kind */
#define KINDS_PER_POOL          6
#define MEAN_RUN_S              60.0

/* A job as it truly is; the book sees only what is declared and reported. */
struct truth
{
  char *name;
  unsigned pool;
  unsigned team;
  struct mt_job_resources size;
  double left_s; /* run time still needed */
  enum mt_urgency urgency;
  int64_t submitted_us;
  int64_t first_start_us; /* 0: not yet */
  bool within_quota;      /* its team was, when it came */
  int worker;             /* -1: not running */
  uint64_t epoch;
  bool ended;
};

struct kind
{
  struct mt_job_resources size;
  double declared_factor;
};

struct due
{
  int64_t at_us;
  struct mt_job_report report;
};

struct world
{
  const struct mt_jobs_scenario *scenario;
  struct mt_clock_manual *manual;
  struct mt_jobs *jobs;
  GRand *rand;
  struct mt_job_resources quota; /* of each team */
  GHashTable *by_name;           /* name -> struct truth */
  GPtrArray *all;
  GPtrArray *running; /* of struct truth */
  GQueue due;         /* of struct due, in order of time */
  struct kind *kinds;
  bool *broken; /* workers that fail everything */
  char **worker_names;
  struct mt_job_resources *used; /* of each worker, as its tasks truly use it */
  uint64_t cpu_over_ticks;       /* rounds of workers that wanted more processors than there are */
  uint64_t memory_over_ticks;
  double arrivals_per_tick;
  uint64_t next_job;
  double used_cpu_s;
  double bound_cpu_s;
  double *backlog_cpu_s; /* of each pool, for the fractional bound */
  unsigned actions;
  unsigned failures;
  size_t record_bytes;
  unsigned batches;
  double plan_cpu_s;
  double plan_worst_s;
  unsigned plans;
};

static int64_t
now_us (const struct world *w)
{
  return mt_clock_now (mt_clock_manual_clock (w->manual));
}

static double
cpu_seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double) ts.tv_sec + (double) ts.tv_nsec / 1e9;
}

static void
free_truth (gpointer data)
{
  struct truth *t = data;

  g_free (t->name);
  g_free (t);
}

static void
make_workers (struct world *w)
{
  const struct mt_jobs_scenario *s = w->scenario;

  for (unsigned i = 0; i < s->workers; i++)
    {
      g_autofree char *rack = g_strdup_printf ("rack-%u", i / 4);
      g_autofree char *pool = g_strdup_printf ("pool-%u", i % s->pools);
      struct mt_worker_spec spec
          = { NULL, rack, pool, { WORKER_CPU_MILLI, WORKER_MEMORY_MB, i % 2 ? 2 : 0 }, 1 };

      w->worker_names[i] = g_strdup_printf ("worker-%u", i);
      spec.name = w->worker_names[i];
      w->broken[i] = g_rand_int_range (w->rand, 0, 1000) < BROKEN_WORKER_PER_MILLE;
      mt_jobs_set_worker (w->jobs, &spec);
    }
}

static void
make_teams (struct world *w)
{
  const struct mt_jobs_scenario *s = w->scenario;
  double share = (double) s->workers / s->teams;
  struct mt_job_resources quota
      = { (uint32_t) (share * WORKER_CPU_MILLI), (uint32_t) (share * WORKER_MEMORY_MB),
          (uint32_t) ceil (share) };

  for (unsigned i = 0; i < s->teams; i++)
    {
      g_autofree char *team = g_strdup_printf ("team-%u", i);

      mt_jobs_set_quota (w->jobs, team, quota);
    }
  w->quota = quota;
}

static void
make_kinds (struct world *w)
{
  unsigned n = w->scenario->pools * KINDS_PER_POOL;

  w->kinds = g_new0 (struct kind, n);
  for (unsigned i = 0; i < n; i++)
    {
      struct kind *k = &w->kinds[i];

      k->size.cpu_milli = (uint32_t) g_rand_int_range (w->rand, 500, 6000);
      k->size.memory_mb = (uint32_t) g_rand_int_range (w->rand, 256, 10000);
      /* Declared sizes are far off: from a fifth to five times. */
      k->declared_factor = exp (g_rand_double_range (w->rand, -log (5.0), log (5.0)));
    }
}

static struct world *
create_world (const struct mt_jobs_scenario *s, const struct mt_placement_policy *placement)
{
  struct world *w = g_new0 (struct world, 1);
  struct mt_jobs_options options = mt_jobs_default_options ();
  double mean_cpu = 3.25;

  options.placement = placement;
  w->scenario = s;
  w->manual = mt_clock_manual_create (MT_SECOND);
  w->jobs = mt_jobs_create (mt_clock_manual_clock (w->manual), &options);
  w->rand = g_rand_new_with_seed (s->seed);
  w->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  w->all = g_ptr_array_new_with_free_func (free_truth);
  w->running = g_ptr_array_new ();
  g_queue_init (&w->due);
  w->broken = g_new0 (bool, s->workers);
  w->worker_names = g_new0 (char *, s->workers + 1);
  w->used = g_new0 (struct mt_job_resources, s->workers);
  w->backlog_cpu_s = g_new0 (double, s->pools);
  make_workers (w);
  make_teams (w);
  make_kinds (w);
  w->arrivals_per_tick = s->workers * (WORKER_CPU_MILLI / 1000.0) * TARGET_LOAD
                         / (mean_cpu * MEAN_RUN_S) * ((double) TICK_US / MT_SECOND);
  return w;
}

static void
destroy_world (struct world *w)
{
  mt_jobs_destroy (w->jobs);
  mt_clock_manual_destroy (w->manual);
  g_rand_free (w->rand);
  g_hash_table_unref (w->by_name);
  g_ptr_array_unref (w->all);
  g_ptr_array_unref (w->running);
  g_queue_clear_full (&w->due, g_free);
  g_free (w->broken);
  g_free (w->used);
  g_strfreev (w->worker_names);
  g_free (w->backlog_cpu_s);
  g_free (w->kinds);
  g_free (w);
}

static enum mt_urgency
draw_urgency (struct world *w)
{
  int draw = g_rand_int_range (w->rand, 0, 100);

  if (draw < URGENT_PERCENT)
    return MT_URGENCY_URGENT;
  return draw < URGENT_PERCENT + BACKGROUND_PERCENT ? MT_URGENCY_BACKGROUND : MT_URGENCY_NORMAL;
}

static struct mt_job_resources
declare (const struct kind *k)
{
  struct mt_job_resources size
      = { (uint32_t) CLAMP (k->size.cpu_milli * k->declared_factor, 100, WORKER_CPU_MILLI),
          (uint32_t) CLAMP (k->size.memory_mb * k->declared_factor, 64, WORKER_MEMORY_MB), 0 };

  return size;
}

static bool
is_within_quota (const struct world *w, const char *team, struct mt_job_resources more)
{
  struct mt_job_resources owned = mt_job_resources_sub (mt_jobs_team_allocated (w->jobs, team),
                                                        mt_jobs_team_borrowed (w->jobs, team));

  return mt_job_resources_fit (mt_job_resources_add (owned, more), w->quota);
}

static void
submit_one (struct world *w)
{
  const struct mt_jobs_scenario *s = w->scenario;
  struct truth *t = g_new0 (struct truth, 1);
  unsigned kind_number;
  const struct kind *k;
  g_autofree char *kind = NULL;
  g_autofree char *team = NULL;
  g_autofree char *pool = NULL;
  struct mt_job_spec spec = { 0 };
  double spread;

  t->pool = (unsigned) g_rand_int_range (w->rand, 0, (gint32) s->pools);
  t->team = (unsigned) g_rand_int_range (w->rand, 0, (gint32) s->teams);
  kind_number = t->pool * KINDS_PER_POOL + (unsigned) g_rand_int_range (w->rand, 0, KINDS_PER_POOL);
  k = &w->kinds[kind_number];
  t->name = g_strdup_printf ("job-%" G_GUINT64_FORMAT, w->next_job++);
  spread = g_rand_double_range (w->rand, 1.0 - RUN_SPREAD, 1.0 + RUN_SPREAD);
  t->size = (struct mt_job_resources){ (uint32_t) (k->size.cpu_milli * spread),
                                       (uint32_t) (k->size.memory_mb * spread), 0 };
  t->left_s = -log (1.0 - g_rand_double (w->rand)) * MEAN_RUN_S + 1;
  t->urgency = draw_urgency (w);
  t->submitted_us = now_us (w);
  t->worker = -1;
  kind = g_strdup_printf ("kind-%u", kind_number);
  team = g_strdup_printf ("team-%u", t->team);
  pool = g_strdup_printf ("pool-%u", t->pool);
  spec = (struct mt_job_spec){
    t->name, kind, team, pool, declare (k), t->urgency, w->next_job % 3 != 0
  };
  if (g_rand_int_range (w->rand, 0, 1000) < IMPOSSIBLE_PER_MILLE)
    {
      spec.declared.accelerators = 100;
      spec.kind = "impossible";
      t->ended = true;
    }
  else
    w->backlog_cpu_s[t->pool] += t->left_s * t->size.cpu_milli / 1000.0;
  t->within_quota = is_within_quota (w, team, spec.declared);
  g_ptr_array_add (w->all, t);
  g_hash_table_insert (w->by_name, t->name, t);
  mt_jobs_submit (w->jobs, &spec);
}

static void
arrive (struct world *w)
{
  double expected = w->arrivals_per_tick;
  unsigned n = (unsigned) expected;

  if (g_rand_double (w->rand) < expected - n)
    n++;
  for (unsigned i = 0; i < n; i++)
    submit_one (w);
}

static void
cancel_wave (struct world *w)
{
  for (unsigned i = 0; i < CANCEL_WAVE_JOBS && w->all->len > 0; i++)
    {
      struct truth *t = w->all->pdata[g_rand_int_range (w->rand, 0, (gint32) w->all->len)];

      mt_jobs_cancel (w->jobs, t->name);
    }
}

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct due *x = a;
  const struct due *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
report_later (struct world *w,
              const struct truth *t,
              int worker,
              uint64_t epoch,
              enum mt_job_report_kind kind,
              unsigned ticks)
{
  struct due *d = g_new0 (struct due, 1);

  d->at_us = now_us (w) + (int64_t) ticks * TICK_US;
  d->report = (struct mt_job_report){ kind,  t->name, w->worker_names[worker],
                                      epoch, t->size, now_us (w) };
  g_queue_insert_sorted (&w->due, d, compare_due, NULL);
}

static void
deliver_reports (struct world *w)
{
  struct due *d;

  while ((d = g_queue_peek_head (&w->due)) != NULL && d->at_us <= now_us (w))
    {
      g_queue_pop_head (&w->due);
      mt_jobs_report (w->jobs, &d->report);
      g_free (d);
    }
}

static void
stop_running (struct world *w, struct truth *t)
{
  g_ptr_array_remove_fast (w->running, t);
  w->used[t->worker] = mt_job_resources_sub (w->used[t->worker], t->size);
  t->worker = -1;
}

static void
carry_out_start (struct world *w, struct truth *t, const struct mt_job_action *a)
{
  int worker = atoi (strrchr (a->worker, '-') + 1);

  if (w->broken[worker])
    {
      w->failures++;
      report_later (w, t, worker, a->epoch, MT_REPORT_FAILED, DELIVERY_TICKS + 1);
      return;
    }
  t->worker = worker;
  t->epoch = a->epoch;
  if (t->first_start_us == 0)
    t->first_start_us = now_us (w) + DELIVERY_TICKS * TICK_US;
  g_ptr_array_add (w->running, t);
  w->used[worker] = mt_job_resources_add (w->used[worker], t->size);
  report_later (w, t, worker, a->epoch, MT_REPORT_RUNNING, DELIVERY_TICKS);
}

static void
carry_out (struct world *w, const struct mt_job_action *a)
{
  struct truth *t = g_hash_table_lookup (w->by_name, a->job);
  int worker = t->worker;

  w->actions++;
  if (a->kind == MT_JOB_START)
    {
      carry_out_start (w, t, a);
      return;
    }
  if (a->kind == MT_JOB_THROTTLE || worker < 0)
    return;
  stop_running (w, t);
  if (a->kind == MT_JOB_CHECKPOINT)
    report_later (w, t, worker, a->epoch, MT_REPORT_CHECKPOINTED, CHECKPOINT_TICKS);
  else
    report_later (w, t, worker, a->epoch, MT_REPORT_STOPPED, DELIVERY_TICKS);
}

static void
plan (struct world *w)
{
  g_autoptr (GArray) actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  g_autoptr (GString) batch = g_string_new (NULL);
  double before = cpu_seconds ();
  double took;

  mt_jobs_plan (w->jobs, actions);
  mt_jobs_take_changes (w->jobs, batch);
  took = cpu_seconds () - before;
  w->plan_cpu_s += took;
  w->plan_worst_s = MAX (w->plan_worst_s, took);
  w->plans++;
  w->record_bytes += batch->len;
  w->batches += batch->len > 0;
  for (guint i = 0; i < actions->len; i++)
    carry_out (w, &g_array_index (actions, struct mt_job_action, i));
}

static void
note_overcommitted (struct world *w)
{
  for (unsigned i = 0; i < w->scenario->workers; i++)
    {
      w->cpu_over_ticks += w->used[i].cpu_milli > WORKER_CPU_MILLI;
      w->memory_over_ticks += w->used[i].memory_mb > WORKER_MEMORY_MB;
    }
}

static void
run_tasks (struct world *w, unsigned tick)
{
  double dt = (double) TICK_US / MT_SECOND;

  for (guint i = w->running->len; i-- > 0;)
    {
      struct truth *t = w->running->pdata[i];

      t->left_s -= dt;
      w->used_cpu_s += dt * t->size.cpu_milli / 1000.0;
      if (t->left_s <= 0)
        {
          int worker = t->worker;

          stop_running (w, t);
          t->ended = true;
          report_later (w, t, worker, t->epoch, MT_REPORT_DONE, 1);
        }
      else if ((tick + i) % REPORT_TICKS == 0)
        report_later (w, t, t->worker, t->epoch, MT_REPORT_RUNNING, 1);
    }
}

/* The most that could be used if work were a fluid: each pool's workers take from its backlog. */
static void
advance_bound (struct world *w)
{
  const struct mt_jobs_scenario *s = w->scenario;
  double dt = (double) TICK_US / MT_SECOND;

  for (unsigned i = 0; i < s->pools; i++)
    {
      unsigned workers = s->workers / s->pools + (i < s->workers % s->pools);
      double most = workers * (WORKER_CPU_MILLI / 1000.0) * dt;
      double served = MIN (most, w->backlog_cpu_s[i]);

      w->backlog_cpu_s[i] -= served;
      w->bound_cpu_s += served;
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
quantile (GArray *sorted, double q)
{
  return sorted->len > 0 ? g_array_index (sorted, double, (guint) (q * (sorted->len - 1))) : 0.0;
}

/* Delays until the first start of urgent jobs whose team was within its quota, or beyond it. */
static json_t *
describe_urgent (const struct world *w, bool within_quota)
{
  g_autoptr (GArray) delays = g_array_new (FALSE, FALSE, sizeof (double));
  unsigned waiting = 0;

  for (guint i = 0; i < w->all->len; i++)
    {
      const struct truth *t = w->all->pdata[i];
      double delay = (double) (t->first_start_us - t->submitted_us) / MT_SECOND;

      if (t->urgency != MT_URGENCY_URGENT || t->within_quota != within_quota)
        continue;
      if (t->first_start_us != 0)
        g_array_append_val (delays, delay);
      else if (mt_jobs_state (w->jobs, t->name) == MT_JOB_WAITING)
        waiting++;
    }
  g_array_sort (delays, compare_doubles);
  return json_pack ("{si sf sf sf si}", "started", (int) delays->len, "p50_s",
                    quantile (delays, 0.5), "p99_s", quantile (delays, 0.99), "worst_s",
                    quantile (delays, 1.0), "still_waiting", (int) waiting);
}

static json_t *
describe (const struct world *w, size_t memory)
{
  const struct mt_jobs_scenario *s = w->scenario;
  double capacity = s->workers * (WORKER_CPU_MILLI / 1000.0) * s->seconds;
  unsigned quarantined = 0;
  unsigned broken = 0;
  double rounds = (double) s->workers * s->seconds * MT_SECOND / TICK_US;
  json_t *out;

  for (unsigned i = 0; i < s->workers; i++)
    {
      quarantined += mt_jobs_is_quarantined (w->jobs, w->worker_names[i]);
      broken += w->broken[i];
    }
  out = json_pack ("{si so so sf sf sf si si si si sI si}", "submitted", (int) w->all->len,
                   "urgent_within_quota", describe_urgent (w, true), "urgent_beyond_quota",
                   describe_urgent (w, false), "utilisation", w->used_cpu_s / capacity,
                   "cpu_over_share", (double) w->cpu_over_ticks / rounds, "memory_over_share",
                   (double) w->memory_over_ticks / rounds, "failures", (int) w->failures,
                   "broken_workers", (int) broken, "quarantined", (int) quarantined, "actions",
                   (int) w->actions, "record_bytes", (json_int_t) w->record_bytes, "record_writes",
                   (int) w->batches);
  if (s->cost)
    json_object_set_new (out, "cost",
                         json_pack ("{sf sf sf}", "core_share", w->plan_cpu_s / s->seconds,
                                    "worst_plan_ms", w->plan_worst_s * 1e3, "book_mb",
                                    (double) memory / 1e6));
  return out;
}

static json_t *
run_policy (const struct mt_jobs_scenario *s,
            const struct mt_placement_policy *placement,
            double *bound)
{
  size_t before = mallinfo2 ().uordblks;
  struct world *w = create_world (s, placement);
  unsigned ticks = (unsigned) (s->seconds * MT_SECOND / TICK_US);
  json_t *out;

  for (unsigned tick = 0; tick < ticks; tick++)
    {
      arrive (w);
      advance_bound (w);
      if (tick % CANCEL_WAVE_TICKS == CANCEL_WAVE_TICKS - 1)
        cancel_wave (w);
      deliver_reports (w);
      plan (w);
      mt_clock_manual_advance (w->manual, TICK_US);
      run_tasks (w, tick);
      note_overcommitted (w);
    }
  *bound = w->bound_cpu_s / (s->workers * (WORKER_CPU_MILLI / 1000.0) * s->seconds);
  out = describe (w, mallinfo2 ().uordblks - before);
  destroy_world (w);
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
