#include "jobs_runner.h"

#include "medlartrack/jobs_journal.h"
#include "medlartrack/log.h"

#include <string.h>

#define ROUND_US     (500 * MT_MS) /* at most two batches a second to the platform */
#define NEWS_WAIT_US (250 * MT_MS)
#define RETRY_US     (1 * MT_SECOND)
#define MAX_REASONS  20 /* shown in the dump */

struct mt_jobs_runner
{
  struct mt_jobs_runner_options options;
  GThread *thread;

  /* The thread's own. */
  struct mt_jobs_journal *journal;
  uint64_t news_index;
  uint64_t tables_version; /* that the book was last brought up to */
  GHashTable *declared;    /* names of the jobs that the tables declare here */
  GHashTable *removed;     /* names whose row is gone and whose job has not ended */

  GMutex lock; /* guards all below */
  GCond wake;
  bool stopping;
  struct mt_jobs *book; /* NULL while not the planner */
};

static bool
rest (struct mt_jobs_runner *runner, int64_t us)
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
set_book (struct mt_jobs_runner *runner, struct mt_jobs *book)
{
  struct mt_jobs *old;

  g_mutex_lock (&runner->lock);
  old = runner->book;
  runner->book = book;
  g_mutex_unlock (&runner->lock);
  mt_jobs_destroy (old);
}

static void
drop_book (struct mt_jobs_runner *runner, const char *why)
{
  if (runner->book == NULL)
    return;
  mt_log_event (MT_EVENT_JOBS_DROPPED, "why=%s", why);
  set_book (runner, NULL);
  g_clear_pointer (&runner->journal, mt_jobs_journal_destroy);
  runner->news_index = 0;
  runner->tables_version = 0;
  g_hash_table_remove_all (runner->declared);
  g_hash_table_remove_all (runner->removed);
}

static void
take_worker (struct mt_jobs *book, const struct mt_worker_update *news)
{
  struct mt_worker_spec spec = { news->name, news->rack, "", news->resources, news->lease };

  if (mt_jobs_worker_pool (book, news->name) != NULL)
    spec.pool = mt_jobs_worker_pool (book, news->name);
  mt_jobs_set_worker (book, &spec);
  mt_jobs_worker_restarted (book, news->name, news->lease);
  if (news->alive)
    mt_jobs_worker_lease_regained (book, news->name, news->lease);
  else
    mt_jobs_worker_lease_lost (book, news->name, news->lease);
}

static void
take_task (struct mt_jobs_runner *runner, struct mt_jobs *book, const struct mt_task_update *news)
{
  struct mt_job_report report
      = { news->kind,  news->job,   news->worker,
          news->epoch, news->usage, mt_clock_now (runner->options.clock) - news->age_us };

  mt_jobs_report (book, &report);
}

static void
take_workers (struct mt_jobs *book, const struct mt_workers_updates *news)
{
  for (guint i = 0; i < news->workers->len; i++)
    take_worker (book, &g_array_index (news->workers, struct mt_worker_update, i));
}

/* Which pool each worker serves now, by its instance's assignment. */
static void
assign_workers (struct mt_jobs_runner *runner, struct mt_jobs *book)
{
  g_autoptr (GPtrArray) names = mt_jobs_worker_names (book);

  for (guint i = 0; i < names->len; i++)
    {
      bool draining = false;
      g_autofree char *pool
          = runner->options.callbacks->pool_of (runner->options.ctx, names->pdata[i], &draining);

      mt_jobs_move_worker (book, names->pdata[i], pool != NULL ? pool : "");
      mt_jobs_drain_worker (book, names->pdata[i], draining);
    }
}

static void
declare_job (struct mt_jobs_runner *runner,
             struct mt_jobs *book,
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
    mt_jobs_cancel (book, row->job.data);
  else
    mt_jobs_submit (book, &spec);
}

static void
declare_pool (struct mt_jobs_runner *runner, struct mt_jobs *book, const struct mt_pool *pool)
{
  for (size_t i = 0; i < pool->n_teams; i++)
    {
      const struct mt_team_row *row = &pool->teams[i];
      struct mt_job_resources quota = { row->cpu_milli, row->memory_mb, row->accelerators };

      mt_jobs_set_quota (book, row->team.data, quota);
    }
  for (size_t i = 0; i < pool->n_jobs; i++)
    if (mt_str_equal (pool->jobs[i].zone, mt_str_from (runner->options.zone)))
      declare_job (runner, book, pool, &pool->jobs[i]);
}

/* A row that was removed cancels its job; the job is forgotten once it has ended. */
static void
end_removed (struct mt_jobs_runner *runner, struct mt_jobs *book)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, runner->removed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      mt_jobs_cancel (book, name);
      if (mt_jobs_remove (book, name))
        g_hash_table_iter_remove (&iter);
    }
}

/* All that was declared counts as removed until its row is met again. */
static void
suppose_removed (struct mt_jobs_runner *runner)
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
take_tables (struct mt_jobs_runner *runner, struct mt_jobs *book)
{
  const struct mt_tables *tables = mt_view_begin (runner->options.views);

  if (tables != NULL && tables->version != runner->tables_version)
    {
      suppose_removed (runner);
      for (size_t i = 0; i < tables->n_pools; i++)
        declare_pool (runner, book, &tables->pools[i]);
      runner->tables_version = tables->version;
    }
  mt_view_end ();
}

static bool
poll_news (struct mt_jobs_runner *runner,
           struct mt_workers_updates *news,
           int64_t wait_us,
           GError **error)
{
  if (!mt_workers_poll (runner->options.workers, runner->news_index, wait_us, news, error))
    return false;
  runner->news_index = news->index;
  return true;
}

/* A fresh book: the workers as they are, what the tables declare, then what is recorded. Reports
 * come last, since they speak of what the record knows. */
static bool
load_book (struct mt_jobs_runner *runner, GError **error)
{
  struct mt_jobs_options options = mt_jobs_default_options ();
  struct mt_jobs *book = mt_jobs_create (runner->options.clock, &options);
  uint64_t writer = (uint64_t) g_random_int () << 32 | g_random_int ();
  struct mt_workers_updates news;
  bool ok;

  runner->journal = mt_jobs_journal_create (runner->options.store, runner->options.zone, writer);
  ok = poll_news (runner, &news, 0, error);
  if (ok)
    {
      take_workers (book, &news);
      assign_workers (runner, book);
      take_tables (runner, book);
      ok = mt_jobs_journal_load (runner->journal, book, error);
    }
  for (guint i = 0; ok && i < news.tasks->len; i++)
    take_task (runner, book, &g_array_index (news.tasks, struct mt_task_update, i));
  mt_workers_updates_clear (&news);
  set_book (runner, book);
  if (ok)
    mt_log_event (MT_EVENT_JOBS_LOADED, "zone=%s", runner->options.zone);
  return ok;
}

static bool
take_news (struct mt_jobs_runner *runner, GError **error)
{
  struct mt_workers_updates news;
  bool ok = poll_news (runner, &news, NEWS_WAIT_US, error);

  if (ok)
    {
      g_mutex_lock (&runner->lock);
      take_workers (runner->book, &news);
      for (guint i = 0; i < news.tasks->len; i++)
        take_task (runner, runner->book, &g_array_index (news.tasks, struct mt_task_update, i));
      g_mutex_unlock (&runner->lock);
    }
  mt_workers_updates_clear (&news);
  return ok;
}

/* Records first, acts then: an action that is not recorded could not be fenced by a successor. */
static bool
carry_out (struct mt_jobs_runner *runner,
           const GArray *actions,
           const GString *batch,
           GError **error)
{
  g_autoptr (GError) lost = NULL;

  if (batch->len > 0
      && mt_jobs_journal_append (runner->journal, (struct mt_str){ batch->str, batch->len }, error)
             != MT_JOURNAL_RECORDED)
    return false;
  if (actions->len > 0 && !mt_workers_send_actions (runner->options.workers, actions, &lost))
    mt_log_event (MT_EVENT_JOBS_ACTIONS_LOST, "count=%u why=%s", actions->len, lost->message);
  return mt_jobs_journal_compact (runner->journal, runner->book, error) == MT_JOURNAL_RECORDED;
}

static bool
plan_round (struct mt_jobs_runner *runner, GError **error)
{
  g_autoptr (GArray) actions = g_array_new (FALSE, FALSE, sizeof (struct mt_job_action));
  g_autoptr (GString) batch = g_string_new (NULL);

  g_mutex_lock (&runner->lock);
  take_tables (runner, runner->book);
  end_removed (runner, runner->book);
  assign_workers (runner, runner->book);
  mt_jobs_plan (runner->book, actions);
  mt_jobs_take_changes (runner->book, batch);
  g_mutex_unlock (&runner->lock);
  return carry_out (runner, actions, batch, error);
}

/* Returns how long to rest. */
static int64_t
run_round (struct mt_jobs_runner *runner)
{
  g_autoptr (GError) error = NULL;
  int64_t begun = mt_clock_now (runner->options.clock);
  bool ok;

  if (!runner->options.callbacks->is_planner (runner->options.ctx))
    {
      drop_book (runner, "another daemon is the planner");
      return ROUND_US;
    }
  ok = runner->book != NULL || load_book (runner, &error);
  ok = ok && take_news (runner, &error) && plan_round (runner, &error);
  if (!ok)
    {
      drop_book (runner, error != NULL ? error->message : "another planner's batch came first");
      return RETRY_US;
    }
  return MAX (0, begun + ROUND_US - mt_clock_now (runner->options.clock));
}

static gpointer
run (gpointer data)
{
  struct mt_jobs_runner *runner = data;

  while (rest (runner, run_round (runner)))
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
  runner->thread = g_thread_new ("jobs", run, runner);
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
  mt_jobs_destroy (runner->book);
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
  if (runner->book != NULL)
    mt_jobs_foreach_busy_worker (runner->book, visit, ctx);
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
  planner = runner->book != NULL;
  if (planner)
    mt_jobs_foreach_job (runner->book, dump_job, &dump);
  g_mutex_unlock (&runner->lock);
  return json_pack ("{sb so so}", "planner", planner, "states", dump.states, "reasons",
                    dump.reasons);
}
