/* Durable records of the scheduler state: one entry [name, state, epoch, worker or nil, lease] for
 * each job whose state changed, with a sixth field, the number of workers that it failed on or
 * crashed, if there are any. A planner that takes over replays the entries over the declared
 * jobs. */
#include "internal.h"

#include "medlartrack/error.h"

#include <msgpack.h>
#include <string.h>

#define RECORD_VERSION             1
#define ENTRY_FIELDS               5
#define ENTRY_FIELDS_WITH_FAILURES 6
#define MAX_RECORDED_NAME          200

struct entry
{
  char name[MAX_RECORDED_NAME + 1];
  char worker[MAX_RECORDED_NAME + 1]; /* empty for none */
  enum mt_job_state state;
  uint64_t epoch;
  uint64_t lease;
  uint64_t failed_workers;
};

static int
append_bytes (void *ctx, const char *data, size_t len)
{
  g_string_append_len (ctx, data, (gssize) len);
  return 0;
}

static void
pack_text (msgpack_packer *pk, const char *text)
{
  size_t len = strlen (text);

  msgpack_pack_str (pk, len);
  msgpack_pack_str_body (pk, text, len);
}

static void
pack_tombstone (msgpack_packer *pk, const char *name)
{
  msgpack_pack_array (pk, ENTRY_FIELDS);
  pack_text (pk, name);
  msgpack_pack_int (pk, (int) MT_JOB_CANCELLED);
  msgpack_pack_uint64 (pk, 0);
  msgpack_pack_nil (pk);
  msgpack_pack_uint64 (pk, 0);
}

static void
pack_entry (msgpack_packer *pk, const struct mt_job *job)
{
  unsigned failed_workers = mt_job_failed_workers (job);

  msgpack_pack_array (pk, failed_workers > 0 ? ENTRY_FIELDS_WITH_FAILURES : ENTRY_FIELDS);
  pack_text (pk, job->name);
  msgpack_pack_int (pk, (int) job->state);
  msgpack_pack_uint64 (pk, job->epoch);
  if (job->worker != NULL)
    pack_text (pk, job->worker->name);
  else
    msgpack_pack_nil (pk);
  msgpack_pack_uint64 (pk, job->lease);
  if (failed_workers > 0)
    msgpack_pack_uint64 (pk, failed_workers);
}

static bool
read_text (const msgpack_object *object, char *out)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size > MAX_RECORDED_NAME)
    return false;
  memcpy (out, object->via.str.ptr, object->via.str.size);
  out[object->via.str.size] = '\0';
  return true;
}

static bool
read_number (const msgpack_object *object, uint64_t *out)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *out = object->via.u64;
  return true;
}

static bool
read_entry (const msgpack_object *object, struct entry *entry)
{
  const msgpack_object *fields;
  uint64_t state;

  *entry = (struct entry){ 0 };
  if (object->type != MSGPACK_OBJECT_ARRAY
      || (object->via.array.size != ENTRY_FIELDS
          && object->via.array.size != ENTRY_FIELDS_WITH_FAILURES))
    return false;
  fields = object->via.array.ptr;
  if (object->via.array.size == ENTRY_FIELDS_WITH_FAILURES
      && !read_number (&fields[5], &entry->failed_workers))
    return false;
  if (!read_text (&fields[0], entry->name) || !read_number (&fields[1], &state)
      || state > MT_JOB_POISON || !read_number (&fields[2], &entry->epoch)
      || !read_number (&fields[4], &entry->lease))
    return false;
  entry->state = (enum mt_job_state) state;
  return fields[3].type == MSGPACK_OBJECT_NIL || read_text (&fields[3], entry->worker);
}

static bool
occupies_worker (enum mt_job_state state)
{
  return state == MT_JOB_RUNNING || state == MT_JOB_CHECKPOINTING || state == MT_JOB_FENCING
         || state == MT_JOB_STOPPING;
}

/* A worker that is in a record but unknown to the platform may still run its task, so it counts as
 * lost until the platform reports it. */
static struct mt_worker *
get_or_create_worker (struct mt_jobs *jobs, const struct entry *entry)
{
  struct mt_worker_spec spec = { entry->worker, "", "", { 0, 0, 0 }, entry->lease };
  struct mt_worker *worker = mt_jobs_find_worker (jobs, entry->worker);

  if (worker != NULL)
    return worker;
  mt_jobs_set_worker (jobs, &spec);
  worker = mt_jobs_find_worker (jobs, entry->worker);
  worker->lease_lost = true;
  return worker;
}

static void
dequeue (struct mt_jobs *jobs, struct mt_job *job)
{
  if (job->state == MT_JOB_WAITING)
    g_queue_remove (&jobs->waiting[job->aged ? MT_URGENCY_URGENT : job->urgency], job);
}

static void
restore_on_worker (struct mt_jobs *jobs, struct mt_job *job, const struct entry *entry)
{
  struct mt_worker *worker = get_or_create_worker (jobs, entry);

  mt_jobs_allocate (job, worker, mt_job_kind_estimate (job->kind, job->declared));
  job->lease = entry->lease;
  job->started_us = mt_clock_now (jobs->clock);
  /* The former planner may have died between recording the start and sending it. The job counts as
   * unconfirmed until the worker reports the epoch, and is fenced after start_timeout_us. */
  job->confirmed = false;
  g_queue_push_tail (&jobs->unconfirmed, job);
  if (entry->state != MT_JOB_RUNNING)
    mt_jobs_request_end (jobs, job, entry->state);
  /* The worker has restarted since: no task of the recorded lease is running. */
  if (worker->lease > entry->lease)
    mt_jobs_requeue (jobs, job);
  else if (worker->lease_lost && job->state == MT_JOB_RUNNING)
    mt_jobs_request_end (jobs, job, MT_JOB_FENCING);
}

static void
restore (struct mt_jobs *jobs, struct mt_job *job, const struct entry *entry)
{
  dequeue (jobs, job);
  if (job->worker != NULL)
    {
      g_ptr_array_remove_fast (jobs->end_requests, job);
      g_queue_remove (&jobs->unconfirmed, job);
      mt_jobs_release (job);
    }
  job->epoch = MAX (job->epoch, entry->epoch);
  job->state = entry->state;
  job->failed_before_replay = (unsigned) MIN (entry->failed_workers, G_MAXUINT / 2);
  job->suspect = job->failed_before_replay > 0;
  g_ptr_array_set_size (job->failed_on, 0);
  if (occupies_worker (entry->state))
    restore_on_worker (jobs, job, entry);
  else if (entry->state == MT_JOB_WAITING)
    mt_jobs_enqueue (jobs, job);
}

static bool
apply_entry (struct mt_jobs *jobs, const msgpack_object *object)
{
  struct entry entry;
  struct mt_job *job;

  if (!read_entry (object, &entry))
    return false;
  job = g_hash_table_lookup (jobs->jobs, entry.name);
  if (job != NULL)
    restore (jobs, job, &entry);
  else if (entry.state == MT_JOB_CANCELLED || entry.state == MT_JOB_STOPPING)
    g_hash_table_add (jobs->tombstones, g_strdup (entry.name));
  return true;
}

void
mt_jobs_take_changes (struct mt_jobs *jobs, GString *out)
{
  msgpack_packer pk;

  if (jobs->changes->len + jobs->new_tombstones->len == 0)
    return;
  msgpack_packer_init (&pk, out, append_bytes);
  msgpack_pack_array (&pk, 2);
  msgpack_pack_int (&pk, RECORD_VERSION);
  msgpack_pack_array (&pk, jobs->changes->len + jobs->new_tombstones->len);
  for (guint i = 0; i < jobs->changes->len; i++)
    {
      struct mt_job *job = jobs->changes->pdata[i];

      pack_entry (&pk, job);
      job->changed = false;
    }
  for (guint i = 0; i < jobs->new_tombstones->len; i++)
    pack_tombstone (&pk, jobs->new_tombstones->pdata[i]);
  g_ptr_array_set_size (jobs->changes, 0);
  g_ptr_array_set_size (jobs->new_tombstones, 0);
}

static bool
differs_from_declared (const struct mt_job *job)
{
  return job->state != MT_JOB_WAITING || job->epoch > 0;
}

static unsigned
count_differing (const struct mt_jobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += differs_from_declared (value);
  return n;
}

void
mt_jobs_snapshot (const struct mt_jobs *jobs, GString *out)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, append_bytes);
  msgpack_pack_array (&pk, 2);
  msgpack_pack_int (&pk, RECORD_VERSION);
  msgpack_pack_array (&pk, count_differing (jobs) + g_hash_table_size (jobs->tombstones));
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mt_job *job = value;

      if (differs_from_declared (job))
        pack_entry (&pk, job);
    }
  g_hash_table_iter_init (&iter, jobs->tombstones);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    pack_tombstone (&pk, name);
}

bool
mt_jobs_replay (struct mt_jobs *jobs, struct mt_str batch, GError **error)
{
  msgpack_unpacked unpacked;
  const msgpack_object *top;
  size_t at = 0;
  bool ok = false;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, batch.data, batch.len, &at) != MSGPACK_UNPACK_SUCCESS)
    goto done;
  top = &unpacked.data;
  if (top->type != MSGPACK_OBJECT_ARRAY || top->via.array.size != 2
      || top->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || top->via.array.ptr[0].via.u64 != RECORD_VERSION
      || top->via.array.ptr[1].type != MSGPACK_OBJECT_ARRAY)
    goto done;
  ok = true;
  for (uint32_t i = 0; ok && i < top->via.array.ptr[1].via.array.size; i++)
    ok = apply_entry (jobs, &top->via.array.ptr[1].via.array.ptr[i]);
done:
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    g_set_error (
        error, MT_ERROR, MT_ERROR_SYNTAX,
        "a recorded batch of jobs can't be read (%zu bytes); remove the batch by hand after "
        "stopping its jobs",
        batch.len);
  return ok;
}
