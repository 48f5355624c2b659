/* Records of jobs in the store. A small job has one, named by its id. A large job's record has only
 * its state, and its tasks are in parts named ID.OCCURRENCE.PART: no value grows with the size of a
 * job, and a change writes only the parts that it concerns. */
#include "scheduler_internal.h"

#include <stdio.h>
#include <string.h>

bool
mt_scheduler_find_record (const struct mt_scheduler *sched,
                          const char *name,
                          struct mt_record_ref *out)
{
  const char *dot = strchr (name, '.');
  g_autofree char *id = g_strndup (name, dot != NULL ? (gsize) (dot - name) : strlen (name));
  unsigned number, part;
  struct mt_occurrence *occ;

  *out = (struct mt_record_ref){ .job = g_hash_table_lookup (sched->jobs, id) };
  if (out->job == NULL || dot == NULL)
    return out->job != NULL;
  if (!out->job->in_parts || sscanf (dot, ".%u.%u", &number, &part) != 2
      || number >= out->job->n_occurrences)
    return false;
  occ = mt_job_get_occurrence (out->job, number);
  if (part >= occ->n_parts)
    return false;
  out->occ = occ;
  out->first = part * occ->job->part_tasks;
  out->part = &occ->parts[part];
  return true;
}

void
mt_occurrence_create_parts (struct mt_occurrence *occ)
{
  unsigned tasks = occ->job->part_tasks;

  if (!occ->job->in_parts)
    return;
  occ->n_parts = (occ->n_tasks + tasks - 1) / tasks;
  occ->parts = g_new0 (struct mt_record_part, occ->n_parts);
}

unsigned
mt_record_part_tasks (const struct mt_record_ref *ref)
{
  return MIN (ref->job->part_tasks, ref->occ->n_tasks - ref->first);
}

int64_t
mt_scheduler_job_revision (const struct mt_scheduler *sched, const char *name)
{
  struct mt_record_ref ref;

  if (!mt_scheduler_find_record (sched, name, &ref))
    return 0;
  return ref.part != NULL ? ref.part->revision : ref.job->revision;
}

void
mt_scheduler_set_job_revision (struct mt_scheduler *sched, const char *name, int64_t revision)
{
  struct mt_record_ref ref;

  if (!mt_scheduler_find_record (sched, name, &ref))
    return;
  if (ref.part != NULL)
    ref.part->revision = revision;
  else
    ref.job->revision = revision;
}

char *
mt_scheduler_task_record (struct mt_scheduler *sched, const char *task, unsigned *offset)
{
  const struct mt_task *found = mt_scheduler_find_task (sched, task);
  const struct mt_job *job;
  unsigned at;

  if (found == NULL)
    return NULL;
  job = found->occ->job;
  at = (unsigned) (found - found->occ->tasks);
  *offset = job->in_parts ? at % job->part_tasks : at;
  if (!job->in_parts)
    return g_strdup (job->spec->id);
  return g_strdup_printf ("%s.%u.%u", job->spec->id, found->occ->number, at / job->part_tasks);
}

static void
add_head (struct mt_job *job, GPtrArray *out)
{
  job->head_dirty = job->head_due = false;
  job->head_in_cycle = true;
  job->records_in_cycle++;
  g_ptr_array_add (out, g_strdup (job->spec->id));
}

static void
add_part (struct mt_occurrence *occ, unsigned part, GPtrArray *out)
{
  occ->parts[part].dirty = false;
  occ->parts[part].in_cycle = true;
  occ->job->records_in_cycle++;
  g_ptr_array_add (out, g_strdup_printf ("%s.%u.%u", occ->job->spec->id, occ->number, part));
}

static void
add_dirty_parts (struct mt_job *job, GPtrArray *out)
{
  for (unsigned k = 0; job->in_parts && k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_parts; i++)
      if (job->occurrences[k]->parts[i].dirty)
        add_part (job->occurrences[k], i, out);
}

void
mt_job_collect_records (struct mt_job *job, GPtrArray *out)
{
  add_dirty_parts (job, out);
  /* Until all parts are stored, a record that has the rows of tasks is what a successor reads. */
  if (job->converts && job->records_in_cycle > 0)
    return;
  job->converts = false;
  if (!job->in_parts || job->head_dirty || job->revision == 0 || job->records_in_cycle == 0)
    add_head (job, out);
}

void
mt_job_collect_due_head (struct mt_job *job, GPtrArray *out)
{
  if (job->head_due)
    add_head (job, out);
}

bool
mt_job_note_stored (struct mt_scheduler *sched, const struct mt_record_ref *ref)
{
  struct mt_job *job = ref->job;
  bool *in_cycle = ref->part != NULL ? &ref->part->in_cycle : &job->head_in_cycle;

  if (!*in_cycle)
    return false;
  *in_cycle = false;
  if (--job->records_in_cycle > 0)
    return false;
  if (!job->converts)
    return true;
  job->converts = false;
  job->head_due = true;
  sched->changed = true;
  if (!job->in_dirty_list)
    g_ptr_array_add (sched->dirty, job);
  job->in_dirty_list = true;
  return false;
}

void
mt_job_mark_stored (struct mt_job *job)
{
  job->dirty = job->head_dirty = false;
  job->stored_version = job->version;
  for (unsigned k = 0; job->in_parts && k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_parts; i++)
      job->occurrences[k]->parts[i].dirty = false;
}

GPtrArray *
mt_scheduler_stored_parts (const struct mt_scheduler *sched, const char *id, size_t max)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  const struct mt_job *job = g_hash_table_lookup (sched->jobs, id);

  for (unsigned k = 0; job != NULL && job->in_parts && k < job->n_occurrences; k++)
    for (unsigned i = 0; job->occurrences[k] != NULL && i < job->occurrences[k]->n_parts; i++)
      if (job->occurrences[k]->parts[i].revision > 0 && out->len < max)
        g_ptr_array_add (out, g_strdup_printf ("%s.%u.%u", id, k, i));
  return out;
}
