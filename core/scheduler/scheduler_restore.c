/* Restores jobs from their records, which scheduler_record.h describes. */
#include "scheduler_record.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* A part of a record that waits for mt_scheduler_end_restore(). */
struct mt_restored_part
{
  char *name;
  char *text;
  int64_t revision;
};

/* A row as read. */
struct task_row
{
  uint32_t run;
  uint16_t attempts;
  const char *worker; /* "" or NULL: none */
  int64_t started_at;
  const char *checkpoint; /* NULL: none */
  uint8_t losses;
  uint8_t crashes;
  bool suspect;
  bool begun;
  double evidence;
  uint32_t failed_run;
};

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
get_column (const json_t *row, unsigned column, int64_t max)
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

/* Reads the columns from the losses on, which start at `first`. */
static void
read_losses (const json_t *row, unsigned first, struct task_row *out)
{
  const unsigned at = first - COLUMN_LOSSES;

  out->losses = (uint8_t) get_column (row, at + COLUMN_LOSSES, G_MAXUINT8);
  out->crashes = (uint8_t) get_column (row, at + COLUMN_CRASHES, G_MAXUINT8);
  out->suspect = get_column (row, at + COLUMN_SUSPECT, 1) != 0;
  out->begun = get_column (row, at + COLUMN_BEGUN, 1) != 0;
  out->evidence = (double) get_column (row, at + COLUMN_EVIDENCE, G_MAXINT32) / EVIDENCE_UNIT;
  out->failed_run = (uint32_t) get_column (row, at + COLUMN_FAILED_RUN, G_MAXUINT32);
}

static void
restore_task (struct mt_scheduler *sched,
              struct mt_task *task,
              const struct task_row *row,
              const json_t *leases,
              int64_t now)
{
  struct mt_worker *w;

  if (task->state != MT_TASK_WAITING || mt_task_has_row (task))
    return;
  task->run = row->run;
  task->attempts = row->attempts;
  task->reported_attempts = row->failed_run > 0 ? row->attempts : 0;
  task->failed_run = row->failed_run;
  mt_task_set_checkpoint (task, row->checkpoint);
  task->losses = row->losses;
  task->crashes = row->crashes;
  task->suspect = row->suspect;
  task->evidence.total = task->evidence.restored = row->evidence;
  task->occ->has_suspects |= task->suspect;
  /* A run that was placed has a number; placing increments it. */
  if (row->worker == NULL || row->worker[0] == '\0' || task->run == 0)
    return;
  w = mt_scheduler_get_worker (sched, row->worker);
  /* Records of an earlier incarnation, which a restart has not changed yet, may be read first: the
   * runs of the present one would otherwise count as ended, and run twice. The worker's own answers
   * go before what a record says. */
  if (w->started_at != 0 && row->started_at > w->started_at && w->answered_at == 0)
    mt_worker_begin_incarnation (sched, w, row->started_at, now);
  if (w->started_at == 0)
    mt_worker_set_incarnation (w, row->started_at, now);
  task->run--;
  mt_task_place (sched, task, w, now);
  task->state = MT_TASK_ORDERED;
  task->inherited = true;
  task->begun_under_predecessor = row->begun;
  task->placed_on = row->started_at;
  /* The worker has restarted, but it may have done so before it carried out the start. */
  if (row->started_at != 0 && w->started_at != row->started_at)
    {
      struct mt_task_loss loss = mt_task_assess_recorded_loss (sched, task, now);

      mt_task_begin_location (sched, task, &loss, now);
    }
  restore_lease (sched, task, leases, now);
}

/* Returns false if the row names no task of the job. leases: as in the job's record. */
static bool
restore_row (
    struct mt_scheduler *sched, struct mt_job *job, json_t *row, const json_t *leases, int64_t now)
{
  unsigned number = (unsigned) get_column (row, COLUMN_OCCURRENCE, G_MAXUINT);
  unsigned step = (unsigned) get_column (row, COLUMN_STEP, G_MAXUINT);
  unsigned index = (unsigned) get_column (row, COLUMN_INDEX, G_MAXUINT);
  struct mt_occurrence *occ = is_valid_row (row) ? get_occurrence (job, number) : NULL;
  struct task_row read
      = { .run = (uint32_t) get_column (row, COLUMN_RUN, G_MAXUINT32),
          .attempts = (uint16_t) get_column (row, COLUMN_ATTEMPTS, G_MAXUINT16),
          .worker = json_string_value (json_array_get (row, COLUMN_WORKER)),
          .started_at = get_column (row, COLUMN_STARTED_AT, G_MAXINT64),
          .checkpoint = json_string_value (json_array_get (row, COLUMN_CHECKPOINT)) };

  if (occ == NULL || step >= job->spec->n_steps || index >= job->spec->steps[step].count)
    return false;
  read_losses (row, COLUMN_LOSSES, &read);
  restore_task (sched, &occ->tasks[occ->step_first[step] + index], &read, leases, now);
  return true;
}

/* Returns false if the row names no task of the part, or a worker that the part does not list. */
static bool
restore_part_row (struct mt_scheduler *sched,
                  const struct mt_record_ref *ref,
                  const json_t *row,
                  const json_t *root,
                  int64_t now)
{
  int64_t offset = get_column (row, PART_COLUMN_OFFSET, G_MAXINT64);
  const json_t *worker_index = json_array_get (row, PART_COLUMN_WORKER);
  int64_t at = json_integer_value (worker_index);
  const json_t *worker = at >= 0 ? json_array_get (json_object_get (root, "w"), (size_t) at) : NULL;
  struct task_row read
      = { .run = (uint32_t) get_column (row, PART_COLUMN_RUN, G_MAXUINT32),
          .attempts = (uint16_t) get_column (row, PART_COLUMN_ATTEMPTS, G_MAXUINT16),
          .worker = json_string_value (json_array_get (worker, 0)),
          .started_at = CLAMP (json_integer_value (json_array_get (worker, 1)), 0, G_MAXINT64),
          .checkpoint = json_string_value (json_array_get (row, PART_COLUMN_CHECKPOINT)) };

  if (!json_is_integer (json_array_get (row, PART_COLUMN_OFFSET))
      || !json_is_integer (json_array_get (row, PART_COLUMN_RUN)) || !json_is_integer (worker_index)
      || (at >= 0 && read.worker == NULL) || offset >= mt_record_part_tasks (ref))
    return false;
  read_losses (row, PART_COLUMN_LOSSES, &read);
  restore_task (sched, &ref->occ->tasks[ref->first + (unsigned) offset], &read,
                json_object_get (root, "l"), now);
  return true;
}

/* Has the n tasks stored again of which the record does not tell a lease that a successor has to
 * await. */
static void
update_recorded_leases (struct mt_scheduler *sched,
                        struct mt_task *tasks,
                        unsigned n,
                        const json_t *leases,
                        int64_t now)
{
  for (unsigned i = 0; i < n; i++)
    {
      const struct mt_worker *w = tasks[i].worker;

      /* json_integer_value() returns 0 for a worker that is not named. */
      if (w == NULL
          || mt_worker_longest_lease_ms (w, now)
                 <= json_integer_value (json_object_get (leases, w->id)))
        continue;
      tasks[i].occ->job->records_leases = true;
      mt_task_mark_dirty (sched, &tasks[i]);
    }
}

static void
update_job_leases (struct mt_scheduler *sched,
                   struct mt_job *job,
                   const json_t *leases,
                   int64_t now)
{
  job->records_leases |= json_object_size (leases) > 0;
  for (unsigned k = 0; k < job->n_occurrences; k++)
    if (job->occurrences[k] != NULL)
      update_recorded_leases (sched, job->occurrences[k]->tasks, job->occurrences[k]->n_tasks,
                              leases, now);
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

  json_array_foreach (rows, i, row) ok = restore_row (sched, job, row, leases, now) && ok;
  return ok && json_is_array (rows);
}

/* Has all tasks stored in parts whose rows are in the job's record, and all parts that an earlier
 * conversion has left. */
static void
begin_conversion (struct mt_scheduler *sched, struct mt_job *job)
{
  job->converts = true;
  for (unsigned k = 0; k < job->n_occurrences; k++)
    {
      struct mt_occurrence *occ = job->occurrences[k];

      for (unsigned i = 0; occ != NULL && i < occ->n_tasks; i++)
        if (mt_task_has_row (&occ->tasks[i]) || occ->tasks[i].state == MT_TASK_DONE
            || occ->parts[i / job->part_tasks].revision > 0)
          mt_task_mark_dirty (sched, &occ->tasks[i]);
    }
}

/* Ends the restoring of a job whose tasks are as its records say. leases: of the job's record;
 * NULL: they are not known. */
static void
complete_restore (struct mt_scheduler *sched, struct mt_job *job, const json_t *leases, int64_t now)
{
  enum mt_job_state state = job->restored_state;

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
    {
      mt_job_stop_tasks (sched, job, now);
      return;
    }
  mt_job_complete_if_done (sched, job, now);
  mt_job_apply_policy (sched, job, now);
  mt_job_give_up_lost (sched, job, now);
  update_job_leases (sched, job, leases, now);
}

static void
free_restored_part (void *data)
{
  struct mt_restored_part *part = data;

  g_free (part->name);
  g_free (part->text);
  g_free (part);
}

/* The job's record, which says whether its parts are valid, may be read later. */
static void
keep_part (struct mt_record_ref *ref, const char *name, const char *text, int64_t revision)
{
  struct mt_restored_part *part = g_new0 (struct mt_restored_part, 1);

  *part = (struct mt_restored_part){ g_strdup (name), g_strdup (text), revision };
  if (ref->job->restored_parts == NULL)
    ref->job->restored_parts = g_ptr_array_new_with_free_func (free_restored_part);
  g_ptr_array_add (ref->job->restored_parts, part);
  ref->part->revision = revision;
  ref->job->restoring = true;
}

static enum mt_job_state
parse_state (const json_t *root)
{
  const char *name = json_string_value (json_object_get (root, "s"));

  return name != NULL ? mt_job_state_parse (mt_str_from (name)) : MT_JOB_UNKNOWN;
}

bool
mt_scheduler_restore (
    struct mt_scheduler *sched, const char *name, const char *record, int64_t revision, int64_t now)
{
  struct mt_record_ref ref;
  struct mt_job *job;
  json_t *root;

  if (!mt_scheduler_find_record (sched, name, &ref))
    return false;
  if (ref.part != NULL)
    {
      keep_part (&ref, name, record, revision);
      return true;
    }
  job = ref.job;
  job->revision = revision;
  root = json_loads (record, 0, NULL);
  if (json_integer_value (json_object_get (root, "b")) != 0)
    mt_job_mark_begun (job);
  job->restored_state = parse_state (root);
  job->is_unreadable = job->restored_state == MT_JOB_UNKNOWN;
  job->has_rows = !job->in_parts || json_object_get (root, "p") == NULL;
  if (job->has_rows && !restore_progress (sched, job, root, now))
    job->is_unreadable = true;
  job->restoring = job->in_parts;
  if (!job->in_parts)
    complete_restore (sched, job, get_leases (root), now);
  json_decref (root);
  return !job->is_unreadable;
}

/* Returns false if the part can't be read. */
static bool
restore_part (struct mt_scheduler *sched, const struct mt_restored_part *restored, int64_t now)
{
  struct mt_record_ref ref;
  json_t *root = json_loads (restored->text, 0, NULL);
  const json_t *rows = json_object_get (root, "t");
  const char *marks = json_string_value (json_object_get (root, "d"));
  bool ok = mt_scheduler_find_record (sched, restored->name, &ref) && json_is_array (rows)
            && marks != NULL && json_is_object (json_object_get (root, "l"));
  unsigned n = ok ? mt_record_part_tasks (&ref) : 0;
  size_t i;
  json_t *row;

  ok = ok && strlen (marks) == n;
  if (ok && ref.occ->due_at == 0)
    ref.occ->due_at = ref.job->submitted_at;
  for (i = 0; ok && i < n; i++)
    if (marks[i] == 'd')
      mt_task_finish (sched, &ref.occ->tasks[ref.first + i], now);
  if (ok)
    json_array_foreach (rows, i, row) ok = restore_part_row (sched, &ref, row, root, now) && ok;
  json_decref (root);
  return ok;
}

/* Of a gang's members, whose rows are in several parts, some may be stored later than others. A
 * failed attempt is stored with the member that reported it, and counts for all; a run that one
 * member has done is done for all. */
static void
reconcile_gang (struct mt_scheduler *sched, struct mt_task *members, unsigned n, int64_t now)
{
  uint16_t attempts = 0;
  bool is_done = false;

  for (unsigned i = 0; i < n; i++)
    {
      is_done |= members[i].state == MT_TASK_DONE;
      attempts = MAX (attempts, members[i].reported_attempts);
    }
  for (unsigned i = 0; i < n; i++)
    {
      members[i].attempts = attempts;
      if (is_done && members[i].worker != NULL)
        {
          members[i].done_elsewhere = true;
          mt_task_stop (sched, &members[i], now);
        }
      else if (is_done)
        mt_task_finish (sched, &members[i], now);
    }
}

static void
reconcile_gangs (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned s = 0; job->occurrences[k] != NULL && s < job->spec->n_steps; s++)
      if (job->spec->steps[s].gang)
        reconcile_gang (sched, &job->occurrences[k]->tasks[job->occurrences[k]->step_first[s]],
                        job->spec->steps[s].count, now);
}

/* A record that still has rows is of a conversion that had not ended, or of an earlier version that
 * led the pool for a while and had no part of the job. Its rows go before those of parts, whose
 * tasks may have started all the same. */
static void
restore_parts (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  const GPtrArray *parts = job->restored_parts;

  for (guint i = 0; parts != NULL && i < parts->len; i++)
    {
      const struct mt_restored_part *part = parts->pdata[i];

      if (restore_part (sched, part, now))
        continue;
      job->is_unreadable = true;
      mt_scheduler_log_event (sched, "RECORD_UNREADABLE", "key=%s", part->name);
    }
  reconcile_gangs (sched, job, now);
  complete_restore (sched, job, NULL, now);
  if (job->has_rows && !job->is_unreadable)
    begin_conversion (sched, job);
  g_clear_pointer (&job->restored_parts, g_ptr_array_unref);
}

void
mt_scheduler_end_restore (struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_job *job;

  g_hash_table_iter_init (&it, sched->jobs);
  while (g_hash_table_iter_next (&it, NULL, (void **) &job))
    if (job->restoring)
      {
        job->restoring = false;
        restore_parts (sched, job, now);
      }
}
