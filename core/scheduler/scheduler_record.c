/* Formats the records of jobs, which scheduler_record.h describes. */
#include "scheduler_record.h"

#include "medlartrack/json_text.h"

#include <string.h>

static void
append_done (GString *out, const struct mt_occurrence *occ)
{
  const char *comma = "";

  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      if (occ->step_done[s] == 0)
        continue;
      g_string_append_printf (out, "%s\"%u.%u\":\"", comma, occ->number, s);
      for (unsigned i = 0; i < occ->job->spec->steps[s].count; i++)
        g_string_append_c (out,
                           occ->tasks[occ->step_first[s] + i].state == MT_TASK_DONE ? 'd' : '.');
      g_string_append_c (out, '"');
      comma = ",";
    }
}

/* Returns the worker where a run of the task may be active. */
static struct mt_worker *
recorded_worker (const struct mt_scheduler *sched, const struct mt_task *task)
{
  return task->worker != NULL ? task->worker : mt_task_superseded_on (sched, task);
}

/* Returns the incarnation that the task was placed on, unless a later one is known to have its run.
 * A successor counts the loss of an unlocated run, unless the present incarnation lists it. */
static int64_t
recorded_incarnation (const struct mt_scheduler *sched, const struct mt_task *task)
{
  const struct mt_worker *w = recorded_worker (sched, task);

  if (task->worker == NULL)
    return w != NULL ? w->started_at : 0;
  if (task->incarnation != 0)
    return task->incarnation;
  return task->placed_on != 0 ? task->placed_on : task->worker->started_at;
}

static void
append_checkpoint (GString *out, const struct mt_task *task)
{
  bool is_stored = task->checkpoint != NULL && strlen (task->checkpoint) <= MT_MAX_CHECKPOINT_BYTES;

  mt_json_append_string (out, is_stored ? task->checkpoint : NULL);
}

static bool
has_losses (const struct mt_task *task)
{
  return task->losses > 0 || task->unlocated || task->failed_run > 0;
}

static void
append_losses (GString *out, const struct mt_task *task)
{
  if (has_losses (task))
    g_string_append_printf (out, ",%u,%u,%d,%d,%d", task->losses, task->crashes, task->suspect,
                            task->unlocated ? task->loss.crashes > task->crashes
                                            : task->worker != NULL && mt_task_has_begun (task),
                            (int) (task->evidence.total * EVIDENCE_UNIT));
  if (task->failed_run > 0)
    g_string_append_printf (out, ",%u", task->failed_run);
}

bool
mt_task_has_row (const struct mt_task *task)
{
  return task->state != MT_TASK_DONE && (task->run > 0 || task->attempts > 0);
}

static void
append_task (GString *out, const struct mt_scheduler *sched, const struct mt_task *task, bool first)
{
  const struct mt_worker *w = recorded_worker (sched, task);

  g_string_append_printf (out, "%s[%u,%u,%u,%u,%u,", first ? "" : ",", task->occ->number,
                          task->step, task->index, task->run, task->attempts);
  mt_json_append_string (out, w != NULL ? w->id : "");
  g_string_append_printf (out, ",%" G_GINT64_FORMAT ",", recorded_incarnation (sched, task));
  append_checkpoint (out, task);
  append_losses (out, task);
  g_string_append_c (out, ']');
}

/* Appends the workers of n tasks that may hold a lease longer than a successor awaits and are not
 * in `named` yet. */
static void
append_leases (GString *out,
               const struct mt_scheduler *sched,
               const struct mt_task *tasks,
               unsigned n,
               GPtrArray *named)
{
  for (unsigned i = 0; i < n; i++)
    {
      struct mt_worker *w = recorded_worker (sched, &tasks[i]);
      int64_t ms = w != NULL ? mt_worker_longest_lease_ms (w, sched->cycle_at) : 0;

      if (ms == 0 || g_ptr_array_find (named, w, NULL))
        continue;
      if (named->len > 0)
        g_string_append_c (out, ',');
      mt_json_append_string (out, w->id);
      g_string_append_printf (out, ":%" G_GINT64_FORMAT, ms);
      g_ptr_array_add (named, w);
    }
}

static void
append_job_leases (GString *out, const struct mt_scheduler *sched, const struct mt_job *job)
{
  g_autoptr (GPtrArray) named = g_ptr_array_new ();

  for (unsigned k = 0; k < job->n_occurrences; k++)
    if (job->occurrences[k] != NULL)
      append_leases (out, sched, job->occurrences[k]->tasks, job->occurrences[k]->n_tasks, named);
}

/* ---- parts ---- */

/* An incarnation of a worker, in a part's list of them. */
struct named_worker
{
  const struct mt_worker *worker;
  int64_t started_at;
};

/* Returns the index of the task's worker in the list, to which it may be added; -1: none. */
static int
name_worker (GArray *list, const struct mt_scheduler *sched, const struct mt_task *task)
{
  struct named_worker named = { .worker = recorded_worker (sched, task) };

  if (named.worker == NULL)
    return -1;
  named.started_at = recorded_incarnation (sched, task);
  for (guint i = 0; i < list->len; i++)
    {
      const struct named_worker *other = &g_array_index (list, struct named_worker, i);

      if (other->worker == named.worker && other->started_at == named.started_at)
        return (int) i;
    }
  g_array_append_val (list, named);
  return (int) list->len - 1;
}

static void
append_part_row (GString *out, const struct mt_task *task, unsigned offset, int worker)
{
  /* Members of a gang are stored apart: each tells only what came with its own reports. */
  unsigned attempts = mt_task_step (task)->gang ? task->reported_attempts : task->attempts;

  g_string_append_printf (out, "%s[%u,%u,%u,%d", out->str[out->len - 1] == '[' ? "" : ",", offset,
                          task->run, attempts, worker);
  if (task->checkpoint != NULL || has_losses (task))
    {
      g_string_append_c (out, ',');
      append_checkpoint (out, task);
    }
  append_losses (out, task);
  g_string_append_c (out, ']');
}

static void
append_workers (GString *out, const GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      const struct named_worker *named = &g_array_index (workers, struct named_worker, i);

      g_string_append (out, i > 0 ? ",[" : "[");
      mt_json_append_string (out, named->worker->id);
      g_string_append_printf (out, ",%" G_GINT64_FORMAT "]", named->started_at);
    }
}

static char *
format_part (const struct mt_scheduler *sched, const struct mt_record_ref *ref)
{
  const struct mt_task *tasks = &ref->occ->tasks[ref->first];
  unsigned n = mt_record_part_tasks (ref);
  g_autoptr (GArray) workers = g_array_new (FALSE, FALSE, sizeof (struct named_worker));
  g_autoptr (GPtrArray) leased = g_ptr_array_new ();
  GString *out = g_string_sized_new (256);

  g_string_append (out, "{\"t\":[");
  for (unsigned i = 0; i < n; i++)
    if (mt_task_has_row (&tasks[i]))
      append_part_row (out, &tasks[i], i, name_worker (workers, sched, &tasks[i]));
  g_string_append (out, "],\"w\":[");
  append_workers (out, workers);
  g_string_append (out, "],\"d\":\"");
  for (unsigned i = 0; i < n; i++)
    g_string_append_c (out, tasks[i].state == MT_TASK_DONE ? 'd' : '.');
  g_string_append (out, "\",\"l\":{");
  if (ref->job->records_leases)
    append_leases (out, sched, tasks, n, leased);
  g_string_append (out, "}}");
  return g_string_free (out, FALSE);
}

static char *
format_head (const struct mt_job *job)
{
  return g_strdup_printf ("{\"s\":\"%s\",\"b\":%d,\"p\":1}", mt_job_state_names[job->state],
                          job->begun);
}

/* ---- records ---- */

static char *
format_whole (const struct mt_scheduler *sched, const struct mt_job *job)
{
  GString *out = g_string_sized_new (256);
  bool first = true;

  g_string_append_printf (out, "{\"s\":\"%s\",\"b\":%d,\"d\":{", mt_job_state_names[job->state],
                          job->begun);
  for (unsigned k = 0; k < job->n_occurrences; k++)
    {
      if (job->occurrences[k] == NULL || job->occurrences[k]->n_done == 0)
        continue;
      if (out->str[out->len - 1] == '"')
        g_string_append_c (out, ',');
      append_done (out, job->occurrences[k]);
    }
  g_string_append (out, "},\"t\":[");
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      {
        const struct mt_task *task = &job->occurrences[k]->tasks[i];

        if (!mt_task_has_row (task))
          continue;
        append_task (out, sched, task, first);
        first = false;
      }
  g_string_append (out, "],\"l\":{");
  if (job->records_leases)
    append_job_leases (out, sched, job);
  g_string_append (out, "}}");
  return g_string_free (out, FALSE);
}

char *
mt_scheduler_job_record (const struct mt_scheduler *sched, const char *name)
{
  struct mt_record_ref ref;

  if (!mt_scheduler_find_record (sched, name, &ref))
    return NULL;
  if (ref.part != NULL)
    return format_part (sched, &ref);
  return ref.job->in_parts ? format_head (ref.job) : format_whole (sched, ref.job);
}
