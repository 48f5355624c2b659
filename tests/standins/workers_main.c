/* A stand-in for the platform's workers: they run tasks under leases, ignore actions of an older
 * lease or a fenced epoch, and report running tasks every 200 ms.
 *
 *   medlartrack-standin-workers ADDRESS ZONE COUNT TASK_MS
 *   PUT /fault: {"lapse": NAME} the worker's lease expires, its tasks go on; {"restart": NAME} the
 *       worker restarts without tasks, with a new lease; {"fail": NAME} each task that the worker
 *       starts fails; {"lose_posts": n} the next n posts are carried out and not answered
 *   GET /tasks -> {"on": {job: worker}, "starts": {job: n}, "most_copies": {job: n}, "running":
 *       {job: n}, "done": {job: n}}
 */
#include "standin.h"

#include <string.h>

#define WORKER_CPU_MILLI  16000
#define WORKER_MEMORY_MB  32768
#define WORKERS_PER_RACK  4
#define TICK_US           10000
#define USAGE_INTERVAL_US (200 * MT_MS)

struct task
{
  char *job;
  uint64_t epoch;
  int64_t ends_us;
  int64_t reported_us;
  json_int_t cpu_milli;
  json_int_t memory_mb;
};

struct worker
{
  char *name;
  char *rack;
  uint64_t lease;
  bool alive;
  bool fails;
  uint64_t changed;    /* index of the last change of its entry */
  GPtrArray *tasks;    /* of struct task */
  GHashTable *refused; /* job -> highest epoch that is not started any more */
  GHashTable *ended;   /* job -> epoch that was done on this worker under this lease */
};

struct fleet
{
  GMutex lock; /* guards all below */
  GCond changed;
  const char *zone;
  int64_t task_us;
  struct worker *workers;
  unsigned n_workers;
  uint64_t index;
  json_t *reports; /* list of {"seq": n, ...}, oldest first */
  GHashTable *starts;
  GHashTable *copies;      /* job -> tasks running now */
  GHashTable *most_copies; /* job -> highest number of tasks running at once */
  GHashTable *done;
  GHashTable *last_worker; /* job -> name of the worker that started it last */
  unsigned lose_posts;     /* number of next posts that are carried out and not answered */
};

static int64_t
now_us (void)
{
  return mt_clock_now (mt_clock_system ());
}

static int
add_count (GHashTable *table, const char *job, int by)
{
  int n = GPOINTER_TO_INT (g_hash_table_lookup (table, job)) + by;

  g_hash_table_insert (table, g_strdup (job), GINT_TO_POINTER (n));
  return n;
}

static void
free_task (gpointer data)
{
  struct task *task = data;

  g_free (task->job);
  g_free (task);
}

static void
report (struct fleet *fleet,
        const struct worker *worker,
        const char *kind,
        const char *job,
        uint64_t epoch,
        const struct task *task)
{
  json_array_append_new (fleet->reports,
                         json_pack ("{sI ss ss ss sI sI sI}", "seq", (json_int_t) ++fleet->index,
                                    "report", kind, "job", job, "worker", worker->name, "epoch",
                                    (json_int_t) epoch, "cpu_milli",
                                    task != NULL ? task->cpu_milli : 0, "memory_mb",
                                    task != NULL ? task->memory_mb : 0));
  g_cond_broadcast (&fleet->changed);
}

static struct task *
find_task (const struct worker *worker, const char *job, guint *at)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (strcmp (task->job, job) == 0)
        {
          *at = i;
          return task;
        }
    }
  return NULL;
}

static void
remove_task (struct fleet *fleet, struct worker *worker, guint at)
{
  add_count (fleet->copies, ((struct task *) worker->tasks->pdata[at])->job, -1);
  g_ptr_array_remove_index (worker->tasks, at);
}

static uint64_t
highest_refused_epoch (const struct worker *worker, const char *job)
{
  return (uint64_t) GPOINTER_TO_SIZE (g_hash_table_lookup (worker->refused, job));
}

static void
refuse_up_to (struct worker *worker, const char *job, uint64_t epoch)
{
  if (epoch > highest_refused_epoch (worker, job))
    g_hash_table_insert (worker->refused, g_strdup (job), GSIZE_TO_POINTER (epoch));
}

static void
start_task (struct fleet *fleet,
            struct worker *worker,
            const char *job,
            uint64_t epoch,
            const json_t *action)
{
  struct task *task;

  if (epoch <= highest_refused_epoch (worker, job))
    return;
  refuse_up_to (worker, job, epoch);
  if (worker->fails)
    {
      report (fleet, worker, "failed", job, epoch, NULL);
      return;
    }
  task = g_new0 (struct task, 1);
  task->job = g_strdup (job);
  task->epoch = epoch;
  task->ends_us = now_us () + fleet->task_us;
  task->cpu_milli = json_integer_value (json_object_get (action, "cpu_milli"));
  task->memory_mb = json_integer_value (json_object_get (action, "memory_mb"));
  g_ptr_array_add (worker->tasks, task);
  add_count (fleet->starts, job, 1);
  g_hash_table_insert (fleet->last_worker, g_strdup (job), worker->name);
  if (add_count (fleet->copies, job, 1)
      > GPOINTER_TO_INT (g_hash_table_lookup (fleet->most_copies, job)))
    add_count (fleet->most_copies, job, 1);
  report (fleet, worker, "running", job, epoch, task);
}

/* Handles a stop, a checkpoint or a fence. Reports "done" instead if the job's epoch is done. */
static void
end_task (
    struct fleet *fleet, struct worker *worker, const char *job, uint64_t epoch, const char *kind)
{
  uint64_t ended = (uint64_t) GPOINTER_TO_SIZE (g_hash_table_lookup (worker->ended, job));
  guint at = 0;
  const struct task *task = find_task (worker, job, &at);

  refuse_up_to (worker, job, epoch);
  if (ended == epoch)
    kind = "done";
  else if (task != NULL && task->epoch <= epoch)
    remove_task (fleet, worker, at);
  report (fleet, worker, kind, job, epoch, NULL);
}

static struct worker *
find_worker (struct fleet *fleet, const char *name)
{
  for (unsigned i = 0; name != NULL && i < fleet->n_workers; i++)
    if (strcmp (fleet->workers[i].name, name) == 0)
      return &fleet->workers[i];
  return NULL;
}

static void
apply_action (struct fleet *fleet, const json_t *action)
{
  struct worker *worker
      = find_worker (fleet, json_string_value (json_object_get (action, "worker")));
  const char *job = json_string_value (json_object_get (action, "job"));
  const char *action_kind = json_string_value (json_object_get (action, "action"));
  uint64_t epoch = (uint64_t) json_integer_value (json_object_get (action, "epoch"));
  uint64_t lease = (uint64_t) json_integer_value (json_object_get (action, "lease"));

  /* A worker whose lease has expired is unreachable. */
  if (worker == NULL || job == NULL || action_kind == NULL || !worker->alive
      || lease != worker->lease)
    return;
  if (strcmp (action_kind, "start") == 0)
    start_task (fleet, worker, job, epoch, action);
  else if (strcmp (action_kind, "checkpoint") == 0)
    end_task (fleet, worker, job, epoch, "checkpointed");
  else if (strcmp (action_kind, "stop") == 0)
    end_task (fleet, worker, job, epoch, "stopped");
  else if (strcmp (action_kind, "fence") == 0)
    end_task (fleet, worker, job, epoch, "fenced");
}

static void
handle_tasks (struct fleet *fleet, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  const json_t *actions = json_object_get (body, "actions");
  size_t n = json_array_size (actions);

  for (size_t i = 0; i < n; i++)
    apply_action (fleet, json_array_get (actions, i));
  json_decref (body);
  if (fleet->lose_posts > 0)
    {
      fleet->lose_posts--;
      request->answer.status = MT_HTTP_DROP;
      return;
    }
  standin_answer_json (request, 200, json_pack ("{si}", "accepted", (int) n));
}

static json_t *
describe_worker (const struct worker *worker)
{
  return json_pack ("{ss ss sI sb si si si}", "name", worker->name, "rack", worker->rack, "lease",
                    (json_int_t) worker->lease, "alive", worker->alive, "cpu_milli",
                    WORKER_CPU_MILLI, "memory_mb", WORKER_MEMORY_MB, "accelerators", 0);
}

static void
handle_poll (struct fleet *fleet, struct mt_http_request *request)
{
  g_autofree char *since_text = standin_query (request, "since");
  g_autofree char *wait = standin_query (request, "wait");
  uint64_t since = since_text != NULL ? g_ascii_strtoull (since_text, NULL, 10) : 0;
  int64_t until
      = g_get_monotonic_time () + (int64_t) (wait != NULL ? strtoll (wait, NULL, 10) : 0) * MT_MS;
  json_t *workers = json_array ();
  json_t *reports = json_array ();
  size_t i;
  json_t *entry;

  while (fleet->index <= since && g_cond_wait_until (&fleet->changed, &fleet->lock, until))
    ;
  for (unsigned k = 0; k < fleet->n_workers; k++)
    if (fleet->workers[k].changed > since)
      json_array_append_new (workers, describe_worker (&fleet->workers[k]));
  json_array_foreach (fleet->reports, i, entry)
  {
    if ((uint64_t) json_integer_value (json_object_get (entry, "seq")) > since)
      json_array_append (reports, entry);
  }
  standin_answer_json (request, 200,
                       json_pack ("{sI so so}", "index", (json_int_t) fleet->index, "workers",
                                  workers, "reports", reports));
}

static void
mark_changed (struct fleet *fleet, struct worker *worker)
{
  worker->changed = ++fleet->index;
  g_cond_broadcast (&fleet->changed);
}

static void
restart_worker (struct fleet *fleet, struct worker *worker)
{
  while (worker->tasks->len > 0)
    remove_task (fleet, worker, 0);
  g_hash_table_remove_all (worker->refused);
  g_hash_table_remove_all (worker->ended);
  worker->lease++;
  worker->alive = true;
  mark_changed (fleet, worker);
}

static void
handle_fault (struct fleet *fleet, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  struct worker *lapsed = find_worker (fleet, json_string_value (json_object_get (body, "lapse")));
  struct worker *restarted
      = find_worker (fleet, json_string_value (json_object_get (body, "restart")));
  struct worker *failing = find_worker (fleet, json_string_value (json_object_get (body, "fail")));

  if (lapsed != NULL)
    {
      lapsed->alive = false;
      mark_changed (fleet, lapsed);
    }
  if (restarted != NULL)
    restart_worker (fleet, restarted);
  if (failing != NULL)
    failing->fails = true;
  fleet->lose_posts = (unsigned) json_integer_value (json_object_get (body, "lose_posts"));
  json_decref (body);
  standin_answer_text (request, 200, "true");
}

static json_t *
describe_counts (GHashTable *table)
{
  json_t *out = json_object ();
  GHashTableIter iter;
  gpointer job;
  gpointer n;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &job, &n))
    json_object_set_new (out, job, json_integer (GPOINTER_TO_INT (n)));
  return out;
}

static json_t *
describe_last_workers (const struct fleet *fleet)
{
  json_t *out = json_object ();
  GHashTableIter iter;
  gpointer job;
  gpointer worker;

  g_hash_table_iter_init (&iter, fleet->last_worker);
  while (g_hash_table_iter_next (&iter, &job, &worker))
    json_object_set_new (out, job, json_string (worker));
  return out;
}

static void
handle (void *ctx, struct mt_http_request *request)
{
  struct fleet *fleet = ctx;
  g_autofree char *path = standin_path (request);

  g_mutex_lock (&fleet->lock);
  if (strcmp (path, "/v1/workers") == 0)
    handle_poll (fleet, request);
  else if (strcmp (path, "/v1/tasks") == 0)
    handle_tasks (fleet, request);
  else if (strcmp (path, "/fault") == 0)
    handle_fault (fleet, request);
  else if (strcmp (path, "/tasks") == 0)
    standin_answer_json (request, 200,
                         json_pack ("{so so so so so}", "on", describe_last_workers (fleet),
                                    "starts", describe_counts (fleet->starts), "most_copies",
                                    describe_counts (fleet->most_copies), "running",
                                    describe_counts (fleet->copies), "done",
                                    describe_counts (fleet->done)));
  else
    standin_answer_text (request, 404, "unknown path");
  g_mutex_unlock (&fleet->lock);
}

static void
advance_worker (struct fleet *fleet, struct worker *worker)
{
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      struct task *task = worker->tasks->pdata[i];
      int64_t now = now_us ();

      if (now >= task->ends_us)
        {
          g_hash_table_insert (worker->ended, g_strdup (task->job), GSIZE_TO_POINTER (task->epoch));
          add_count (fleet->done, task->job, 1);
          if (worker->alive)
            report (fleet, worker, "done", task->job, task->epoch, task);
          remove_task (fleet, worker, i);
        }
      else if (worker->alive && now - task->reported_us >= USAGE_INTERVAL_US)
        {
          task->reported_us = now;
          report (fleet, worker, "running", task->job, task->epoch, task);
        }
    }
}

static gpointer
run_tasks (gpointer data)
{
  struct fleet *fleet = data;

  for (;;)
    {
      g_usleep (TICK_US);
      g_mutex_lock (&fleet->lock);
      for (unsigned i = 0; i < fleet->n_workers; i++)
        advance_worker (fleet, &fleet->workers[i]);
      g_mutex_unlock (&fleet->lock);
    }
  return NULL;
}

static GHashTable *
create_counts (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
create_workers (struct fleet *fleet)
{
  fleet->workers = g_new0 (struct worker, fleet->n_workers);
  for (unsigned i = 0; i < fleet->n_workers; i++)
    {
      struct worker *worker = &fleet->workers[i];

      worker->name = g_strdup_printf ("worker-%u", i);
      worker->rack = g_strdup_printf ("rack-%u", i / WORKERS_PER_RACK);
      worker->lease = 1;
      worker->alive = true;
      worker->tasks = g_ptr_array_new_with_free_func (free_task);
      worker->refused = create_counts ();
      worker->ended = create_counts ();
      worker->changed = ++fleet->index;
    }
}

int
main (int argc, char **argv)
{
  struct fleet fleet = { 0 };

  if (argc != 5)
    return 2;
  g_mutex_init (&fleet.lock);
  g_cond_init (&fleet.changed);
  fleet.zone = argv[2];
  fleet.n_workers = (unsigned) g_ascii_strtoull (argv[3], NULL, 10);
  fleet.task_us = (int64_t) g_ascii_strtoull (argv[4], NULL, 10) * MT_MS;
  fleet.reports = json_array ();
  fleet.starts = create_counts ();
  fleet.copies = create_counts ();
  fleet.most_copies = create_counts ();
  fleet.done = create_counts ();
  fleet.last_worker = create_counts ();
  create_workers (&fleet);
  g_thread_new ("tasks", run_tasks, &fleet);
  return standin_serve (argv[1], handle, &fleet);
}
