#include "jobs_runner.h"

#include "medlartrack/jobs_journal.h"
#include "medlartrack/log.h"

#include <string.h>

#define ROUND_INTERVAL_US (500 * MT_MS) /* limits the platform's load to two batches a second */
#define POLL_TIMEOUT_US   (250 * MT_MS)
#define RETRY_DELAY_US    (1 * MT_SECOND)
#define MAX_REASONS       20 /* shown in the dump */

struct mt_jobs_runner
{
  struct mt_jobs_runner_options options;
  GThread *thread;

  /* Accessed by the thread only. */
  struct mt_jobs_journal *journal;
  uint64_t poll_index;
  uint64_t tables_version; /* of the tables last applied to the state */
  GHashTable *declared;    /* names of the jobs that the tables declare here */
  GHashTable *removed;     /* names of jobs whose row was removed and that have not ended */

  GMutex lock; /* guards all below */
  GCond wake;
  bool stopping;
  struct mt_jobs *state; /* NULL while not the planner */
};

static bool
sleep_unless_stopping (struct mt_jobs_runner *runner, int64_t us)
{
  int64_t until = g_get_monotonic_time () + us;
  bool stopping;

  g_mutex_lock (&runner->lock);
  while (!runner->stopping && g_cond_wait_until (&runner->wake, &runner->lock, until))
    ;
  stopping = runner->stopping;
  g_mutex_unlock (&runner->lock);
  return !stopping;
}

static void
set_state (struct mt_jobs_runner *runner, struct mt_jobs *state)
{
  struct mt_jobs *old;

  g_mutex_lock (&runner->lock);
  old = runner->state;
  runner->state = state;
  g_mutex_unlock (&runner->lock);
  mt_jobs_destroy (old);
}

static void
drop_state (struct mt_jobs_runner *runner, const char *why)
{
  if (runner->state == NULL)
    return;
  mt_log_event (MT_EVENT_JOBS_DROPPED, "why=%s", why);
  set_state (runner, NULL);
  g_clear_pointer (&runner->journal, mt_jobs_journal_destroy);
  runner->poll_index = 0;
  runner->tables_version = 0;
  g_hash_table_remove_all (runner->declared);
  g_hash_table_remove_all (runner->removed);
}

static void
update_worker (struct mt_jobs *state, const struct mt_worker_update *update)
{
  struct mt_worker_spec spec = { update->name, update->rack, "", update->resources, update->lease };

  if (mt_jobs_worker_pool (state, update->name) != NULL)
    spec.pool = mt_jobs_worker_pool (state, update->name);
  mt_jobs_set_worker (state, &spec);
  mt_jobs_worker_restarted (state, update->name, update->lease);
  if (update->alive)
    mt_jobs_worker_lease_regained (state, update->name, update->lease);
  else
    mt_jobs_worker_lease_lost (state, update->name, update->lease);
}

static void
report_task (struct mt_jobs_runner *runner,
             struct mt_jobs *state,
             const struct mt_task_update *update)
{
  struct mt_job_report report
      = { update->kind,  update->job,   update->worker,
          update->epoch, update->usage, mt_clock_now (runner->options.clock) - update->age_us };

  mt_jobs_report (state, &report);
}

static void
update_workers (struct mt_jobs *state, const struct mt_workers_updates *updates)
{
  for (guint i = 0; i < updates->workers->len; i++)
    update_worker (state, &g_array_index (updates->workers, struct mt_worker_update, i));
}

/* Sets the pool that each worker serves now, by its instance's assignment. */
static void
assign_workers (struct mt_jobs_runner *runner, struct mt_jobs *state)
{
  g_autoptr (GPtrArray) names = mt_jobs_worker_names (state);

  for (guint i = 0; i < names->len; i++)
    {
      bool draining = false;
      g_autofree char *pool
          = runner->options.callbacks->pool_of (runner->options.ctx, names->pdata[i], &draining);

      mt_jobs_move_worker (state, names->pdata[i], pool != NULL ? pool : "");
      mt_jobs_drain_worker (state, names->pdata[i], draining);
    }
}

static void
declare_job (struct mt_jobs_runner *runner,
             struct mt_jobs *state,
             const struct mt_pool *pool,
             const struct mt_job_row *row)
{
  struct mt_job_spec spec = {
    .name = row->job.data,
    .kind = row->kind.len > 0 ? row->kind.data : pool->name.data,
    .team = row->team.data,
    .pool = pool->name.data,
    .declared = { row->cpu_milli, row->memory_mb, row->accelerators },
    .urgency = (enum mt_urgency) row->urgency,
    .may_run_twice = row->may_run_twice,
  };

  g_hash_table_add (runner->declared, g_strdup (row->job.data));
  g_hash_table_remove (runner->removed, row->job.data);
  if (row->cancelled)
    mt_jobs_cancel (state, row->job.data);
  else
    mt_jobs_submit (state, &spec);
}

static void
declare_pool (struct mt_jobs_runner *runner, struct mt_jobs *state, const struct mt_pool *pool)
{
  for (size_t i = 0; i < pool->n_teams; i++)
    {
      const struct mt_team_row *row = &pool->teams[i];
      struct mt_job_resources quota = { row->cpu_milli, row->memory_mb, row->accelerators };

      mt_jobs_set_quota (state, row->team.data, quota);
    }
  for (size_t i = 0; i < pool->n_jobs; i++)
    if (mt_str_equal (pool->jobs[i].zone, mt_str_from (runner->options.zone)))
      declare_job (runner, state, pool, &pool->jobs[i]);
}

/* Cancels the jobs whose row was removed, and removes them from the state once they have ended. */
static void
cancel_removed (struct mt_jobs_runner *runner, struct mt_jobs *state)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, runner->removed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      mt_jobs_cancel (state, name);
      if (mt_jobs_remove (state, name))
        g_hash_table_iter_remove (&iter);
    }
}

/* Moves all declared jobs to `removed`; declare_job moves those back that still have a row. */
static void
assume_removed (struct mt_jobs_runner *runner)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, runner->declared);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      g_hash_table_iter_steal (&iter);
      g_hash_table_add (runner->removed, name);
    }
}

static void
apply_tables (struct mt_jobs_runner *runner, struct mt_jobs *state)
{
  const struct mt_tables *tables = mt_view_begin (runner->options.views);

  if (tables != NULL && tables->version != runner->tables_version)
    {
      assume_removed (runner);
      for (size_t i = 0; i < tables->n_pools; i++)
        declare_pool (runner, state, &tables->pools[i]);
      runner->tables_version = tables->version;
    }
  mt_view_end ();
}

static bool
poll_workers (struct mt_jobs_runner *runner,
              struct mt_workers_updates *updates,
              int64_t wait_us,
              GError **error)
{
  if (!mt_workers_poll (runner->options.workers, runner->poll_index, wait_us, updates, error))
    return false;
  runner->poll_index = updates->index;
  return true;
}

/* Builds the state from the polled workers, then the jobs that the tables declare, then the
 * journal's records. The workers' reports come last, since they refer to recorded tasks. */
static bool
load_state (struct mt_jobs_runner *runner, GError **error)
{
  struct mt_jobs_options options = mt_jobs_default_options ();
  struct mt_jobs *state = mt_jobs_create (runner->options.clock, &options);
  uint64_t writer = (uint64_t) g_random_int () << 32 | g_random_int ();
  struct mt_workers_updates updates;
  bool ok;

  runner->journal = mt_jobs_journal_create (runner->options.store, runner->options.zone, writer);
  ok = poll_workers (runner, &updates, 0, error);
  if (ok)
    {
      update_workers (state, &updates);
      assign_workers (runner, state);
      apply_tables (runner, state);
      ok = mt_jobs_journal_load (runner->journal, state, error);
    }
  for (guint i = 0; ok && i < updates.tasks->len; i++)
    report_task (runner, state, &g_array_index (updates.tasks, struct mt_task_update, i));
  mt_workers_updates_clear (&updates);
  set_state (runner, state);
  if (ok)
    mt_log_event (MT_EVENT_JOBS_LOADED, "zone=%s", runner->options.zone);
  return ok;
}

static bool
apply_updates (struct mt_jobs_runner *runner, GError **error)
{
  struct mt_workers_updates updates;
  bool ok = poll_workers (runner, &updates, POLL_TIMEOUT_US, error);

  if (ok)
    {
      g_mutex_lock (&runner->lock);
      update_workers (runner->state, &updates);
      for (guint i = 0; i < updates.tasks->len; i++)
        report_task (runner, runner->state,
                     &g_array_index (updates.tasks, struct mt_task_update, i));
      g_mutex_unlock (&runner->lock);
    }
  mt_workers_updates_clear (&updates);
  return ok;
}

/* Records the plan before it is executed: a successor could not fence an action that was not
 * recorded. */
static bool
execute_plan (struct mt_jobs_runner *runner,
              const GArray *actions,
              const GString *batch,
              GError **error)
{
  g_autoptr (GError) act_error = NULL;

  if (batch->len > 0
      && mt_jobs_journal_append (runner->journal, (struct mt_str){ batch->str, batch->len }, error)
             != MT_JOURNAL_RECORDED)
    return false;
  if (actions->len > 0 && !mt_workers_send_actions (runner->options.workers, actions, &act_error))
    mt_log_event (MT_EVENT_JOBS_ACTIONS_LOST, "count=%u why=%s", actions->len, act_error->message);
  return mt_jobs_journal_compact (runner->journal, runner->state, error) == MT_JOURNAL_RECORDED;
}

static bool
plan_round (struct mt_jobs_runner *runner, GError **error)
{
  g_autoptr (GArray) actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  g_autoptr (GString) batch = g_string_new (NULL);

  g_mutex_lock (&runner->lock);
  apply_tables (runner, runner->state);
  cancel_removed (runner, runner->state);
  assign_workers (runner, runner->state);
  mt_jobs_plan (runner->state, actions);
  mt_jobs_take_changes (runner->state, batch);
  g_mutex_unlock (&runner->lock);
  return execute_plan (runner, actions, batch, error);
}

/* Runs one round. Returns the time to sleep before the next, in us. */
static int64_t
run_round (struct mt_jobs_runner *runner)
{
  g_autoptr (GError) error = NULL;
  int64_t started_us = mt_clock_now (runner->options.clock);
  bool ok;

  if (!runner->options.callbacks->is_planner (runner->options.ctx))
    {
      drop_state (runner, "another daemon is the planner");
      return ROUND_INTERVAL_US;
    }
  ok = runner->state != NULL || load_state (runner, &error);
  ok = ok && apply_updates (runner, &error) && plan_round (runner, &error);
  if (!ok)
    {
      drop_state (runner,
                  error != NULL ? error->message : "another planner recorded a batch first");
      return RETRY_DELAY_US;
    }
  return MAX (0, started_us + ROUND_INTERVAL_US - mt_clock_now (runner->options.clock));
}

static gpointer
run_thread (gpointer data)
{
  struct mt_jobs_runner *runner = data;

  while (sleep_unless_stopping (runner, run_round (runner)))
    ;
  return NULL;
}

struct mt_jobs_runner *
mt_jobs_runner_create (const struct mt_jobs_runner_options *options)
{
  struct mt_jobs_runner *runner = g_new0 (struct mt_jobs_runner, 1);

  runner->options = *options;
  runner->declared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  runner->removed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_mutex_init (&runner->lock);
  g_cond_init (&runner->wake);
  runner->thread = g_thread_new ("jobs", run_thread, runner);
  return runner;
}

void
mt_jobs_runner_stop (struct mt_jobs_runner *runner)
{
  g_mutex_lock (&runner->lock);
  runner->stopping = true;
  g_cond_signal (&runner->wake);
  g_mutex_unlock (&runner->lock);
  g_thread_join (runner->thread);
}

void
mt_jobs_runner_destroy (struct mt_jobs_runner *runner)
{
  if (runner == NULL)
    return;
  mt_jobs_destroy (runner->state);
  mt_jobs_journal_destroy (runner->journal);
  g_hash_table_unref (runner->declared);
  g_hash_table_unref (runner->removed);
  g_cond_clear (&runner->wake);
  g_mutex_clear (&runner->lock);
  g_free (runner);
}

void
mt_jobs_runner_each_busy (struct mt_jobs_runner *runner,
                          void (*visit) (void *ctx, const char *worker, unsigned tasks),
                          void *ctx)
{
  g_mutex_lock (&runner->lock);
  if (runner->state != NULL)
    mt_jobs_foreach_busy_worker (runner->state, visit, ctx);
  g_mutex_unlock (&runner->lock);
}

struct dump
{
  json_t *states;
  json_t *reasons;
};

static void
dump_job (void *ctx, const char *name, enum mt_job_state state, const char *reason)
{
  struct dump *dump = ctx;
  const char *key = mt_job_state_name (state);
  json_int_t n = json_integer_value (json_object_get (dump->states, key));

  json_object_set_new (dump->states, key, json_integer (n + 1));
  if (reason != NULL && json_object_size (dump->reasons) < MAX_REASONS)
    json_object_set_new (dump->reasons, name, json_string (reason));
}

json_t *
mt_jobs_runner_dump (struct mt_jobs_runner *runner)
{
  struct dump dump = { json_object (), json_object () };
  bool planner;

  g_mutex_lock (&runner->lock);
  planner = runner->state != NULL;
  if (planner)
    mt_jobs_foreach_job (runner->state, dump_job, &dump);
  g_mutex_unlock (&runner->lock);
  return json_pack ("{sb so so}", "planner", planner, "states", dump.states, "reasons",
                    dump.reasons);
}
