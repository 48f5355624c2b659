/* A job's progress as JSON text: what the next leader needs to continue the job. "t" has a row for
 * each task that has been placed; "l" the workers of these rows that may hold the longest lease
 * that they grant, each with the time in ms for which that lease may last from the writing on.
 * Records without "l" are of an earlier version and don't tell. */
#include "scheduler_internal.h"

#include "medlartrack/json_text.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Columns of the rows of "t": occurrence, step, index, run, failed attempts, worker, the worker's
 * start time, checkpoint, runs lost with their worker, those of them lost shortly after they began,
 * whether the task is a suspect, whether its run has begun, the evidence of its losses in units of
 * 1 / EVIDENCE_UNIT, the last run whose failure a gang's member has reported. An empty worker means
 * that no run of the task can be active. */
enum column
{
  COLUMN_OCCURRENCE,
  COLUMN_STEP,
  COLUMN_INDEX,
  COLUMN_RUN,
  COLUMN_ATTEMPTS,
  COLUMN_WORKER,
  COLUMN_STARTED_AT,
  COLUMN_CHECKPOINT,
  COLUMN_LOSSES,
  COLUMN_CRASHES,
  COLUMN_SUSPECT,
  COLUMN_BEGUN,
  COLUMN_EVIDENCE,
  COLUMN_FAILED_RUN,
  COLUMNS,
};

#define EVIDENCE_UNIT 100

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
append_task (GString *out, const struct mt_scheduler *sched, const struct mt_task *task, bool first)
{
  const struct mt_worker *w = recorded_worker (sched, task);

  g_string_append_printf (out, "%s[%u,%u,%u,%u,%u,", first ? "" : ",", task->occ->number,
                          task->step, task->index, task->run, task->attempts);
  mt_json_append_string (out, w != NULL ? w->id : "");
  g_string_append_printf (out, ",%" G_GINT64_FORMAT ",", recorded_incarnation (sched, task));
  mt_json_append_string (out, task->checkpoint);
  if (task->losses > 0 || task->unlocated || task->failed_run > 0)
    g_string_append_printf (out, ",%u,%u,%d,%d,%d", task->losses, task->crashes, task->suspect,
                            task->unlocated ? task->loss.crashes > task->crashes
                                            : task->worker != NULL && mt_task_has_begun (task),
                            (int) (task->evidence.total * EVIDENCE_UNIT));
  if (task->failed_run > 0)
    g_string_append_printf (out, ",%u", task->failed_run);
  g_string_append_c (out, ']');
}

/* Appends the workers of the job's tasks that may hold a lease longer than a successor awaits. */
static void
append_leases (GString *out, const struct mt_scheduler *sched, const struct mt_job *job)
{
  g_autoptr (GPtrArray) named = g_ptr_array_new ();

  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      {
        struct mt_worker *w = recorded_worker (sched, &job->occurrences[k]->tasks[i]);
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

char *
mt_scheduler_job_record (const struct mt_scheduler *sched, const char *id)
{
  const struct mt_job *job = g_hash_table_lookup (sched->jobs, id);
  GString *out;
  bool first = true;

  if (job == NULL)
    return NULL;
  out = g_string_sized_new (256);
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

        if (task->state == MT_TASK_DONE || (task->run == 0 && task->attempts == 0))
          continue;
        append_task (out, sched, task, first);
        first = false;
      }
  g_string_append (out, "],\"l\":{");
  if (job->records_leases)
    append_leases (out, sched, job);
  g_string_append (out, "}}");
  return g_string_free (out, FALSE);
}

static struct mt_occurrence *
get_occurrence (struct mt_job *job, unsigned number)
{
  struct mt_occurrence *occ;

  if (number >= job->n_occurrences)
    return NULL;
  occ = mt_job_get_occurrence (job, number);
  if (occ->due_at == 0)
    occ->due_at = job->submitted_at;
  return occ;
}

/* Returns false if a mark names no task of the job. */
static bool
restore_done (struct mt_scheduler *sched, struct mt_job *job, json_t *done, int64_t now)
{
  const char *key;
  json_t *value;

  json_object_foreach (done, key, value)
  {
    unsigned number = 0, step = 0;
    const char *marks = json_string_value (value);
    struct mt_occurrence *occ;

    if (marks == NULL || sscanf (key, "%u.%u", &number, &step) != 2 || step >= job->spec->n_steps
        || strlen (marks) > job->spec->steps[step].count)
      return false;
    occ = get_occurrence (job, number);
    if (occ == NULL)
      return false;
    for (unsigned i = 0; marks[i] != '\0'; i++)
      if (marks[i] == 'd')
        mt_task_finish (sched, &occ->tasks[occ->step_first[step] + i], now);
  }
  return json_is_object (done);
}

static int64_t
get_column (const json_t *row, enum column column, int64_t max)
{
  return CLAMP (json_integer_value (json_array_get (row, column)), 0, max);
}

/* Returns whether the columns that every row has are of their types. */
static bool
is_valid_row (const json_t *row)
{
  for (unsigned i = COLUMN_OCCURRENCE; i <= COLUMN_CHECKPOINT; i++)
    {
      const json_t *value = json_array_get (row, i);

      if (i == COLUMN_WORKER || i == COLUMN_CHECKPOINT ? !json_is_string (value)
                                                       : !json_is_integer (value))
        return false;
    }
  return true;
}

/* Counts with the leases that the worker of an inherited task may hold. leases: "l" of the job's
 * record; NULL: none. */
static void
restore_lease (const struct mt_scheduler *sched,
               const struct mt_task *task,
               const json_t *leases,
               int64_t now)
{
  struct mt_worker *w = task->worker;
  int64_t recorded_ms = CLAMP (json_integer_value (json_object_get (leases, w->id)), 0,
                               MT_LATE_ORDER_MS + sched->settings.max_lease_ms);

  mt_worker_record_lease (w, MT_SUCCESSOR_WAIT_MS, "takeover", now);
  if (recorded_ms > 0)
    mt_worker_restore_longest_lease (w, recorded_ms, now);
  if (leases == NULL)
    mt_worker_record_longest_lease (sched, w, MT_SUCCESSOR_WAIT_MS - MT_MAX_WORKER_LEASE_MS,
                                    "takeover from an earlier version", now);
  else if (task->unlocated)
    mt_worker_record_longest_lease (sched, w, MT_SUCCESSOR_WAIT_MS - MT_MAX_WORKER_LEASE_MS,
                                    "takeover after a restart", now);
}

/* Returns false if the row names no task of the job. leases: as in the job's record. */
static bool
restore_task (
    struct mt_scheduler *sched, struct mt_job *job, json_t *row, const json_t *leases, int64_t now)
{
  unsigned number = (unsigned) get_column (row, COLUMN_OCCURRENCE, G_MAXUINT);
  unsigned step = (unsigned) get_column (row, COLUMN_STEP, G_MAXUINT);
  unsigned index = (unsigned) get_column (row, COLUMN_INDEX, G_MAXUINT);
  const char *worker = json_string_value (json_array_get (row, COLUMN_WORKER));
  int64_t started_at = get_column (row, COLUMN_STARTED_AT, G_MAXINT64);
  bool begun = get_column (row, COLUMN_BEGUN, 1) != 0;
  struct mt_occurrence *occ = is_valid_row (row) ? get_occurrence (job, number) : NULL;
  struct mt_task *task;
  struct mt_worker *w;

  if (occ == NULL || step >= job->spec->n_steps || index >= job->spec->steps[step].count)
    return false;
  task = &occ->tasks[occ->step_first[step] + index];
  if (task->state != MT_TASK_WAITING)
    return true;
  task->run = (uint32_t) get_column (row, COLUMN_RUN, G_MAXUINT32);
  task->attempts = (uint16_t) get_column (row, COLUMN_ATTEMPTS, G_MAXUINT16);
  task->failed_run = (uint32_t) get_column (row, COLUMN_FAILED_RUN, G_MAXUINT32);
  mt_task_set_checkpoint (task, json_string_value (json_array_get (row, COLUMN_CHECKPOINT)));
  task->losses = (uint8_t) get_column (row, COLUMN_LOSSES, G_MAXUINT8);
  task->crashes = (uint8_t) get_column (row, COLUMN_CRASHES, G_MAXUINT8);
  task->suspect = get_column (row, COLUMN_SUSPECT, 1) != 0;
  task->evidence.total = task->evidence.restored
      = (double) get_column (row, COLUMN_EVIDENCE, G_MAXINT32) / EVIDENCE_UNIT;
  occ->has_suspects |= task->suspect;
  /* A run that was placed has a number; placing increments it. */
  if (worker[0] == '\0' || task->run == 0)
    return true;
  w = mt_scheduler_get_worker (sched, worker);
  /* Records of an earlier incarnation, which a restart has not changed yet, may be read first: the
   * runs of the present one would otherwise count as ended, and run twice. The worker's own answers
   * go before what a record says. */
  if (w->started_at != 0 && started_at > w->started_at && w->answered_at == 0)
    mt_worker_begin_incarnation (sched, w, started_at, now);
  if (w->started_at == 0)
    mt_worker_set_incarnation (w, started_at, now);
  task->run--;
  mt_task_place (sched, task, w, now);
  task->state = MT_TASK_ORDERED;
  task->inherited = true;
  task->begun_under_predecessor = begun;
  task->placed_on = started_at;
  /* The worker has restarted, but it may have done so before it carried out the start. */
  if (started_at != 0 && w->started_at != started_at)
    {
      struct mt_task_loss loss = mt_task_assess_recorded_loss (sched, task, now);

      mt_task_begin_location (sched, task, &loss, now);
    }
  restore_lease (sched, task, leases, now);
  return true;
}

/* Has the job stored again if its record does not tell of a lease that a successor has to await. */
static void
update_recorded_leases (struct mt_scheduler *sched,
                        struct mt_job *job,
                        const json_t *leases,
                        int64_t now)
{
  job->records_leases = json_object_size (leases) > 0;
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      {
        const struct mt_worker *w = job->occurrences[k]->tasks[i].worker;

        /* json_integer_value() returns 0 for a worker that is not named. */
        if (w == NULL
            || mt_worker_longest_lease_ms (w, now)
                   <= json_integer_value (json_object_get (leases, w->id)))
          continue;
        job->records_leases = true;
        mt_job_mark_dirty (sched, job);
      }
}

/* Returns the leases that the record names; NULL if it is of a version that names none. */
static const json_t *
get_leases (const json_t *root)
{
  const json_t *leases = json_object_get (root, "l");

  return json_is_object (leases) ? leases : NULL;
}

/* Returns false if the record or a part of it can't be read. */
static bool
restore_progress (struct mt_scheduler *sched, struct mt_job *job, const json_t *root, int64_t now)
{
  const json_t *rows = json_object_get (root, "t");
  const json_t *leases = get_leases (root);
  bool ok = restore_done (sched, job, json_object_get (root, "d"), now);
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row) ok = restore_task (sched, job, row, leases, now) && ok;
  return ok && json_is_array (rows);
}

bool
mt_scheduler_restore (
    struct mt_scheduler *sched, const char *id, const char *record, int64_t revision, int64_t now)
{
  struct mt_job *job = g_hash_table_lookup (sched->jobs, id);
  json_t *root = json_loads (record, 0, NULL);
  const char *state_name = json_string_value (json_object_get (root, "s"));
  enum mt_job_state state
      = state_name != NULL ? mt_job_state_parse (mt_str_from (state_name)) : MT_JOB_UNKNOWN;

  if (job == NULL)
    {
      json_decref (root);
      return false;
    }
  job->revision = revision;
  if (json_integer_value (json_object_get (root, "b")) != 0)
    mt_job_mark_begun (job);
  job->is_unreadable = !restore_progress (sched, job, root, now) || state == MT_JOB_UNKNOWN;
  mt_job_mark_stored (job);
  if (mt_job_state_is_final (state))
    {
      mt_job_end (sched, job, state, now);
      job->durable_state = state;
      mt_job_mark_stored (job);
    }
  /* Whatever state the record has, a cancellation read from the queue may have ended the job before
   * its runs were known. Unless stopped here, they would run for ever: they are neither orphaned
   * nor part of an open job. */
  if (job->ended_at != 0)
    mt_job_stop_tasks (sched, job, now);
  else
    {
      mt_job_complete_if_done (sched, job, now);
      mt_job_apply_policy (sched, job, now);
      mt_job_give_up_lost (sched, job, now);
      update_recorded_leases (sched, job, get_leases (root), now);
    }
  json_decref (root);
  return !job->is_unreadable;
}
