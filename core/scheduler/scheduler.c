#include "scheduler_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* A job that is older than this when it reaches the scheduler does not count as an arrival. */
#define MAX_ARRIVAL_AGE_MS 1000
/* Due occurrences are looked for at least this often while any is to come. */
#define MAX_DUE_CHECK_MS 1000

const char *const mt_job_state_names[] = {
  [MT_JOB_QUEUED] = "queued", [MT_JOB_ACTIVE] = "active",       [MT_JOB_COMPLETED] = "completed",
  [MT_JOB_FAILED] = "failed", [MT_JOB_CANCELLED] = "cancelled", [MT_JOB_UNKNOWN] = "unknown",
};

void
mt_scheduler_log_event (struct mt_scheduler *sched, const char *name, const char *format, ...)
{
  char detail[512];
  va_list args;

  if (sched->on_event == NULL)
    return;
  va_start (args, format);
  g_vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  sched->on_event (sched->event_ctx, name, detail);
}

void
mt_task_log_event (struct mt_scheduler *sched,
                   const struct mt_task *task,
                   const struct mt_worker *w,
                   const char *name,
                   const char *format,
                   ...)
{
  char detail[256];
  va_list args;

  va_start (args, format);
  g_vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  mt_scheduler_log_event (sched, name, "id=%s step=%u index=%u run=%u worker=%s %s",
                          task->occ->job->spec->id, task->step, task->index, task->run, w->id,
                          detail);
}

enum mt_job_state
mt_job_state_parse (struct mt_str name)
{
  for (int i = 0; i < MT_JOB_UNKNOWN; i++)
    if (mt_str_equal (name, mt_str_from (mt_job_state_names[i])))
      return (enum mt_job_state) i;
  return MT_JOB_UNKNOWN;
}

bool
mt_job_state_is_final (enum mt_job_state state)
{
  return state == MT_JOB_COMPLETED || state == MT_JOB_FAILED || state == MT_JOB_CANCELLED;
}

void
mt_scheduler_set_event_callback (struct mt_scheduler *sched,
                                 mt_scheduler_event_callback callback,
                                 void *ctx)
{
  sched->on_event = callback;
  sched->event_ctx = ctx;
}

static void
free_occurrence (struct mt_occurrence *occ)
{
  if (occ == NULL)
    return;
  for (unsigned i = 0; i < occ->n_tasks; i++)
    g_free (occ->tasks[i].checkpoint);
  g_free (occ->tasks);
  g_free (occ->parts);
  g_free (occ->step_first);
  g_free (occ->step_waiting);
  g_free (occ->step_unplaced);
  g_free (occ->step_done);
  g_free (occ->step_ms);
  g_free (occ);
}

static void
free_job (void *data)
{
  struct mt_job *job = data;

  for (unsigned i = 0; i < job->n_occurrences; i++)
    free_occurrence (job->occurrences[i]);
  g_free (job->occurrences);
  g_clear_pointer (&job->restored_parts, g_ptr_array_unref);
  mt_job_spec_destroy (job->spec);
  g_free (job);
}

static void
free_worker (void *data)
{
  struct mt_worker *w = data;

  mt_worker_clear_ends (w);
  mt_worker_clear_claim (w);
  mt_worker_forget_speed (w);
  g_clear_pointer (&w->superseded, g_ptr_array_unref);
  g_strfreev (w->labels);
  g_free (w->address);
  g_free (w->id);
  g_free (w);
}

static void
free_route (void *data)
{
  struct mt_route *route = data;

  g_free (route->name);
  g_free (route);
}

static void
free_orphan (void *data)
{
  struct mt_orphaned_run *orphan = data;

  g_free (orphan->task);
  g_free (orphan);
}

struct mt_scheduler *
mt_scheduler_create (const struct mt_scheduler_settings *settings)
{
  struct mt_scheduler *sched = g_new0 (struct mt_scheduler, 1);

  sched->settings = *settings;
  sched->token = settings->token;
  sched->settings.name = g_strdup (settings->name);
  sched->settings.max_lease_ms = MAX (settings->max_lease_ms, settings->lease_ms);
  if (sched->settings.record_tasks == 0)
    sched->settings.record_tasks = MT_RECORD_TASKS;
  if (sched->settings.share_policy == NULL)
    sched->settings.share_policy = mt_share_policy_find (MT_STR (MT_DEFAULT_SHARE_POLICY));
  sched->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  sched->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_route);
  sched->workers = g_hash_table_new (g_str_hash, g_str_equal);
  sched->step_tickets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, mt_step_tickets_free);
  sched->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, mt_account_free);
  sched->dirty = g_ptr_array_new ();
  sched->owned_workers = g_ptr_array_new_with_free_func (free_worker);
  return sched;
}

void
mt_scheduler_destroy (struct mt_scheduler *sched)
{
  if (sched == NULL)
    return;
  g_queue_clear (&sched->starts);
  g_queue_clear (&sched->stops);
  g_queue_clear (&sched->pace_changes);
  g_queue_clear (&sched->unsure);
  g_queue_clear_full (&sched->orphaned_runs, free_orphan);
  g_hash_table_unref (sched->jobs);
  g_hash_table_unref (sched->routes);
  g_hash_table_unref (sched->workers);
  g_hash_table_unref (sched->step_tickets);
  g_hash_table_unref (sched->accounts);
  g_ptr_array_unref (sched->dirty);
  g_ptr_array_unref (sched->owned_workers);
  g_free ((char *) sched->settings.name);
  g_free (sched);
}

static struct mt_route *
find_or_create_route (struct mt_scheduler *sched, const char *name)
{
  struct mt_route *route = g_hash_table_lookup (sched->routes, name);

  if (route != NULL)
    return route;
  route = g_new0 (struct mt_route, 1);
  route->name = g_strdup (name);
  route->index = g_hash_table_size (sched->routes);
  g_hash_table_insert (sched->routes, route->name, route);
  return route;
}

static void
mark_changed (struct mt_scheduler *sched, struct mt_job *job)
{
  job->dirty = true;
  job->version++;
  sched->changed = true;
  if (job->in_dirty_list)
    return;
  job->in_dirty_list = true;
  g_ptr_array_add (sched->dirty, job);
}

void
mt_job_mark_dirty (struct mt_scheduler *sched, struct mt_job *job)
{
  job->head_dirty = true;
  mark_changed (sched, job);
}

void
mt_task_mark_dirty (struct mt_scheduler *sched, struct mt_task *task)
{
  struct mt_occurrence *occ = task->occ;
  unsigned n;
  const struct mt_task *members = mt_task_get_members (task, &n);
  unsigned first = (unsigned) (members - occ->tasks);

  for (unsigned i = first / occ->job->part_tasks;
       occ->parts != NULL && i <= (first + n - 1) / occ->job->part_tasks; i++)
    occ->parts[i].dirty = true;
  if (occ->parts == NULL)
    occ->job->head_dirty = true;
  mark_changed (sched, occ->job);
}

void
mt_job_mark_begun (struct mt_job *job)
{
  if (job->begun)
    return;
  job->begun = true;
  job->head_dirty = true;
  if (job->spec->repeats == 0 && job->ended_at == 0)
    job->route->pending--;
}

/* ---- occurrences ---- */

struct mt_occurrence *
mt_job_get_occurrence (struct mt_job *job, unsigned number)
{
  const struct mt_job_spec *spec = job->spec;
  struct mt_occurrence *occ = job->occurrences[number];
  unsigned at = 0;

  if (occ != NULL)
    return occ;
  occ = g_new0 (struct mt_occurrence, 1);
  occ->job = job;
  occ->number = number;
  occ->n_tasks = mt_job_spec_tasks (spec);
  occ->tasks = g_new0 (struct mt_task, occ->n_tasks);
  occ->step_first = g_new0 (unsigned, spec->n_steps);
  occ->step_waiting = g_new0 (unsigned, spec->n_steps);
  occ->step_unplaced = g_new0 (unsigned, spec->n_steps);
  occ->step_done = g_new0 (unsigned, spec->n_steps);
  occ->step_ms = g_new0 (double, spec->n_steps);
  mt_occurrence_create_parts (occ);
  for (unsigned s = 0; s < spec->n_steps; s++)
    {
      occ->step_first[s] = at;
      occ->step_waiting[s] = spec->steps[s].count;
      for (unsigned i = 0; i < spec->steps[s].count; i++, at++)
        {
          occ->tasks[at].occ = occ;
          occ->tasks[at].step = (uint16_t) s;
          occ->tasks[at].index = (uint16_t) i;
        }
    }
  job->occurrences[number] = occ;
  return occ;
}

static void
open_occurrence (struct mt_job *job, unsigned number, int64_t since)
{
  struct mt_occurrence *occ = mt_job_get_occurrence (job, number);

  occ->due_at = since;
  mt_occurrence_set_objective (occ);
}

/* Makes sure that a cycle begins when the occurrence is due. The wall clock may jump meanwhile. */
static void
schedule_due_check (struct mt_scheduler *sched, int64_t in_ms, int64_t now)
{
  int64_t at = now + MIN (in_ms, MAX_DUE_CHECK_MS);

  if (sched->due_check_at == 0 || at < sched->due_check_at)
    sched->due_check_at = at;
}

/* Opens the occurrences whose scheduled time has come. The owner has to smooth out jumps of the
 * wall clock. */
void
mt_scheduler_open_due_occurrences (struct mt_scheduler *sched, int64_t now, int64_t wall)
{
  sched->due_check_at = 0;
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      struct mt_job *job = l->data;

      if (job->spec->repeats == 0)
        continue;
      for (unsigned k = 0; k < job->n_occurrences; k++)
        {
          int64_t due = job->spec->first_run_ms + (int64_t) k * job->spec->interval_ms;

          if (due > wall)
            {
              schedule_due_check (sched, due - wall, now);
              break;
            }
          if (job->occurrences[k] != NULL)
            continue;
          open_occurrence (job, k, now - (wall - due));
          sched->changed = true;
        }
    }
}

/* ---- jobs ---- */

bool
mt_scheduler_has_job (const struct mt_scheduler *sched, const char *id)
{
  return g_hash_table_contains (sched->jobs, id);
}

bool
mt_scheduler_submit (struct mt_scheduler *sched,
                     struct mt_job_spec *spec,
                     int64_t now,
                     int64_t wall)
{
  struct mt_job *job;
  int64_t age = CLAMP (wall - spec->accepted_ms, 0, 3600 * 1000);

  if (mt_scheduler_has_job (sched, spec->id))
    {
      mt_job_spec_destroy (spec);
      return false;
    }
  job = g_new0 (struct mt_job, 1);
  job->spec = spec;
  job->route = find_or_create_route (sched, spec->route);
  job->account = mt_scheduler_get_account (sched, spec->workspace);
  job->n_occurrences = spec->repeats > 0 ? spec->repeats : 1;
  job->occurrences = g_new0 (struct mt_occurrence *, job->n_occurrences);
  job->part_tasks = sched->settings.record_tasks;
  job->in_parts = mt_job_spec_all_tasks (spec) > job->part_tasks;
  job->submitted_at = now - age;
  job->link.data = job;
  g_hash_table_insert (sched->jobs, spec->id, job);
  if (!mt_route_has_policy (job->route))
    mt_scheduler_log_event (sched, "POLICY_UNKNOWN", "id=%s route=%s", spec->id, spec->route);
  g_queue_push_tail_link (&sched->open, &job->link);
  if (spec->repeats == 0)
    {
      open_occurrence (job, 0, job->submitted_at);
      job->route->pending++;
      if (age < MAX_ARRIVAL_AGE_MS)
        mt_route_record_arrival (job, now);
    }
  sched->changed = true;
  return true;
}

/* Stops every run of an ended job. The job's waiting tasks will never start. */
void
mt_job_stop_tasks (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_tasks; i++)
      mt_task_stop (sched, &job->occurrences[k]->tasks[i], now);
}

/* Objective, shortage and reruns are logged only for jobs with one occurrence: several occurrences
 * have no common figure. */
static void
log_job_end (struct mt_scheduler *sched, const struct mt_job *job, int64_t now)
{
  const struct mt_occurrence *occ = job->spec->repeats == 0 ? job->occurrences[0] : NULL;
  int64_t allowed = occ != NULL ? occ->objective_at - occ->due_at : 0;
  int64_t shortage_ms = occ != NULL ? occ->shortage_ms : 0;
  int64_t share_wait_ms = occ != NULL ? occ->share_wait_ms : 0;
  g_autofree char *slow = NULL;

  if (occ != NULL && occ->slow_starts > 0)
    slow = g_strdup_printf (" slow_starts=%u slow_worker=%s", occ->slow_starts,
                            occ->slow_worker->id);
  if (occ != NULL && occ->shortage_since != 0)
    shortage_ms += now - occ->shortage_since;
  if (occ != NULL && occ->share_wait_since != 0)
    share_wait_ms += now - occ->share_wait_since;
  mt_scheduler_log_event (
      sched, "JOB_ENDED",
      "id=%s route=%s state=%s age_ms=%" G_GINT64_FORMAT " objective_ms=%" G_GINT64_FORMAT
      " no_room_ms=%" G_GINT64_FORMAT " reruns=%u share_wait_ms=%" G_GINT64_FORMAT "%s",
      job->spec->id, job->route->name, mt_job_state_names[job->state], now - job->submitted_at,
      allowed, shortage_ms, occ != NULL ? occ->reruns : 0, share_wait_ms, slow != NULL ? slow : "");
}

void
mt_job_end (struct mt_scheduler *sched, struct mt_job *job, enum mt_job_state state, int64_t now)
{
  if (mt_job_state_is_final (job->state))
    return;
  if (!job->begun && job->spec->repeats == 0)
    job->route->pending--;
  job->state = state;
  job->ended_at = now;
  g_queue_unlink (&sched->open, &job->link);
  g_queue_push_tail_link (&sched->closed, &job->link);
  mt_job_mark_dirty (sched, job);
  mt_job_stop_tasks (sched, job, now);
  mt_job_forget_tickets (sched, job);
  log_job_end (sched, job, now);
}

void
mt_job_complete_if_done (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  unsigned ended = 0;

  for (unsigned k = 0; k < job->n_occurrences; k++)
    {
      struct mt_occurrence *occ = job->occurrences[k];

      if (occ == NULL || occ->n_done < occ->n_tasks)
        continue;
      occ->ended = true;
      ended++;
    }
  job->n_ended = ended;
  if (ended == job->n_occurrences)
    mt_job_end (sched, job, MT_JOB_COMPLETED, now);
}

/* ---- routes ---- */

bool
mt_route_has_policy (const struct mt_route *route)
{
  return route->policy.max_attempts > 0;
}

bool
mt_task_is_out_of_attempts (const struct mt_task *task)
{
  const struct mt_route *route = task->occ->job->route;

  return mt_route_has_policy (route) && !mt_task_step (task)->long_running
         && task->attempts >= route->policy.max_attempts;
}

static void
apply_policy (struct mt_scheduler *sched, struct mt_occurrence *occ, int64_t now)
{
  if (occ->ended)
    return;
  mt_occurrence_set_objective (occ);
  for (unsigned i = 0; i < occ->n_tasks; i++)
    if (occ->tasks[i].state != MT_TASK_DONE && mt_task_is_out_of_attempts (&occ->tasks[i]))
      {
        mt_job_end (sched, occ->job, MT_JOB_FAILED, now);
        return;
      }
}

void
mt_job_apply_policy (struct mt_scheduler *sched, struct mt_job *job, int64_t now)
{
  for (unsigned k = 0; k < job->n_occurrences && job->ended_at == 0; k++)
    if (job->occurrences[k] != NULL)
      apply_policy (sched, job->occurrences[k], now);
}

void
mt_scheduler_set_route (struct mt_scheduler *sched,
                        const char *name,
                        const struct mt_route_policy *policy,
                        int64_t now)
{
  struct mt_route *route = find_or_create_route (sched, name);
  struct mt_route_policy old = route->policy;
  GList *next;

  if (policy->version < old.version)
    return;
  route->policy = *policy;
  if (policy->max_attempts == old.max_attempts && policy->stretch == old.stretch
      && policy->objective_ms == old.objective_ms && policy->priority == old.priority
      && policy->needs_tickets == old.needs_tickets)
    return;
  for (GList *l = sched->open.head; l != NULL; l = next)
    {
      struct mt_job *job = l->data;

      next = l->next;
      if (job->route == route)
        mt_job_apply_policy (sched, job, now);
    }
  sched->changed = true;
}

bool
mt_scheduler_cancel (struct mt_scheduler *sched, const char *id, int64_t now)
{
  struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  if (job == NULL)
    return false;
  mt_job_end (sched, job, MT_JOB_CANCELLED, now);
  /* The cancellation itself is stored already. */
  if (job->state == MT_JOB_CANCELLED)
    job->durable_state = MT_JOB_CANCELLED;
  return true;
}

const char *
mt_scheduler_job_workspace (const struct mt_scheduler *sched, const char *id)
{
  const struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  if (job == NULL)
    return NULL;
  return job->spec->workspace != NULL ? job->spec->workspace : "";
}

enum mt_job_state
mt_scheduler_job_state (const struct mt_scheduler *sched, const char *id)
{
  const struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  if (job == NULL)
    return MT_JOB_UNKNOWN;
  if (job->durable_state != MT_JOB_QUEUED)
    return job->durable_state;
  return job->begun ? MT_JOB_ACTIVE : MT_JOB_QUEUED;
}

unsigned
mt_scheduler_pending_jobs (const struct mt_scheduler *sched, const char *name)
{
  const struct mt_route *route = g_hash_table_lookup (sched->routes, name);

  return route != NULL ? route->pending : 0;
}
