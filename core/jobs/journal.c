#include "medlartrack/jobs_journal.h"

#include "medlartrack/error.h"

#include <stdio.h>
#include <string.h>

#define COMPACT_AFTER_BATCHES 512 /* batches in a generation before it is compacted */
#define MAX_SNAPSHOT_BYTES                                                                         \
  (900 * 1000)              /* the platform's limit is 1 MB; above this the log is not compacted */
#define HEADER_BYTES 34     /* "writer serial\n", both 16 hex digits */
#define SEAL         "seal" /* body of the batch that ends a generation */

struct mt_jobs_journal
{
  const struct mt_store *store;
  char *prefix; /* ends with '/' */
  uint64_t writer;
  uint64_t serial; /* counts this writer's batches, to recognise its own after a lost answer */
  uint64_t generation;
  uint64_t next_seq; /* first free sequence number in the generation */
};

struct mt_jobs_journal *
mt_jobs_journal_create (const struct mt_store *store, const char *zone, uint64_t writer)
{
  struct mt_jobs_journal *journal = g_new0 (struct mt_jobs_journal, 1);

  journal->store = store;
  journal->prefix = g_strdup_printf ("%s%s/", MT_JOBS_JOURNAL_PREFIX, zone);
  journal->writer = writer;
  return journal;
}

void
mt_jobs_journal_destroy (struct mt_jobs_journal *journal)
{
  if (journal == NULL)
    return;
  g_free (journal->prefix);
  g_free (journal);
}

static char *
batch_key (const struct mt_jobs_journal *journal, uint64_t generation, uint64_t seq)
{
  return g_strdup_printf ("%s%010" G_GUINT64_FORMAT "/%010" G_GUINT64_FORMAT, journal->prefix,
                          generation, seq);
}

static bool
parse_key (const struct mt_jobs_journal *journal,
           const char *key,
           uint64_t *generation,
           uint64_t *seq)
{
  char *end = NULL;

  if (!g_str_has_prefix (key, journal->prefix))
    return false;
  *generation = g_ascii_strtoull (key + strlen (journal->prefix), &end, 10);
  if (end == NULL || *end != '/')
    return false;
  *seq = g_ascii_strtoull (end + 1, &end, 10);
  return *end == '\0';
}

/* Returns the newest generation that has its first batch. A later one without it was begun by a
 * planner that died before it wrote its snapshot, and is empty. */
static uint64_t
newest_generation (const struct mt_jobs_journal *journal, const GPtrArray *values)
{
  uint64_t newest = 0;

  for (guint i = 0; i < values->len; i++)
    {
      const struct mt_store_value *value = values->pdata[i];
      uint64_t generation;
      uint64_t seq;

      if (parse_key (journal, value->key, &generation, &seq) && seq == 0)
        newest = MAX (newest, generation);
    }
  return newest;
}

static struct mt_str
body_of (const struct mt_store_value *value)
{
  struct mt_str body = { value->data + HEADER_BYTES, value->len - HEADER_BYTES };

  return body;
}

static bool
is_seal (const struct mt_store_value *value)
{
  return mt_str_equal (body_of (value), MT_STR (SEAL));
}

static bool
replay_value (struct mt_jobs *jobs, const struct mt_store_value *value, GError **error)
{
  if (value->len < HEADER_BYTES)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "%s: %zu bytes are too short for a batch of jobs; remove the key", value->key,
                   value->len);
      return false;
    }
  /* The batch of a snapshot is empty if all jobs are as declared: there is nothing to replay. */
  if (is_seal (value) || value->len == HEADER_BYTES)
    return true;
  return mt_jobs_replay (jobs, body_of (value), error);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  const struct mt_store_value *x = *(struct mt_store_value *const *) a;
  const struct mt_store_value *y = *(struct mt_store_value *const *) b;

  return strcmp (x->key, y->key);
}

/* Resolves a write with an unknown result by reading the key: the header shows whose batch it
 * holds. */
static enum mt_journal_result
resolve_write (struct mt_jobs_journal *journal,
               const char *key,
               const GString *value,
               GError **error)
{
  struct mt_store_value found;
  enum mt_journal_result result = MT_JOURNAL_FAILED;

  g_clear_error (error);
  if (!journal->store->ops->get (journal->store->ctx, key, &found, error))
    return MT_JOURNAL_FAILED;
  if (found.found && found.len == value->len && memcmp (found.data, value->str, value->len) == 0)
    result = MT_JOURNAL_RECORDED;
  else if (found.found)
    result = MT_JOURNAL_CONFLICT;
  else
    g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN,
                 "the write of %s may still take effect; load the journal again", key);
  mt_store_value_clear (&found);
  return result;
}

static enum mt_journal_result
write_batch (struct mt_jobs_journal *journal,
             uint64_t generation,
             uint64_t seq,
             struct mt_str batch,
             GError **error)
{
  g_autofree char *key = batch_key (journal, generation, seq);
  g_autoptr (GString) value = g_string_new (NULL);

  g_string_printf (value, "%016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER "x\n",
                   journal->writer, ++journal->serial);
  g_string_append_len (value, batch.data, (gssize) batch.len);
  switch (journal->store->ops->put (journal->store->ctx, key,
                                    (struct mt_str){ value->str, value->len }, 0, error))
    {
    case MT_STORE_DONE:
      return MT_JOURNAL_RECORDED;
    case MT_STORE_CONFLICT:
      /* The conflict may be with this writer's own first attempt, retried by a lower layer after
       * its answer was lost. */
      return resolve_write (journal, key, value, error);
    case MT_STORE_FAILED:
      return MT_JOURNAL_FAILED;
    case MT_STORE_UNKNOWN:
      return resolve_write (journal, key, value, error);
    }
  return MT_JOURNAL_FAILED;
}

enum mt_journal_result
mt_jobs_journal_append (struct mt_jobs_journal *journal, struct mt_str batch, GError **error)
{
  enum mt_journal_result result
      = write_batch (journal, journal->generation, journal->next_seq, batch, error);

  if (result == MT_JOURNAL_RECORDED)
    journal->next_seq++;
  return result;
}

/* Opens the next generation with a snapshot of the current state. Its first batch is created only
 * if it does not exist, so one of all planners that saw the seal succeeds and the others load its
 * snapshot. */
static enum mt_journal_result
open_generation (struct mt_jobs_journal *journal, const GString *snapshot, GError **error)
{
  enum mt_journal_result result = write_batch (
      journal, journal->generation + 1, 0, (struct mt_str){ snapshot->str, snapshot->len }, error);

  if (result != MT_JOURNAL_RECORDED)
    return result;
  journal->generation++;
  journal->next_seq = 1;
  return MT_JOURNAL_RECORDED;
}

static void
remove_generation (struct mt_jobs_journal *journal, uint64_t generation)
{
  g_autofree char *old
      = g_strdup_printf ("%s%010" G_GUINT64_FORMAT "/", journal->prefix, generation);

  /* Keys left behind by a failure are never read, because the newer generation exists. */
  journal->store->ops->remove (journal->store->ctx, old, NULL);
}

static bool
replay_generation (struct mt_jobs_journal *journal,
                   const GPtrArray *values,
                   struct mt_jobs *jobs,
                   bool *sealed,
                   GError **error)
{
  for (guint i = 0; i < values->len && !*sealed; i++)
    {
      const struct mt_store_value *value = values->pdata[i];
      uint64_t generation;
      uint64_t seq;

      if (!parse_key (journal, value->key, &generation, &seq) || generation != journal->generation)
        continue;
      if (!replay_value (jobs, value, error))
        return false;
      *sealed = is_seal (value);
      journal->next_seq = seq + 1;
    }
  return true;
}

/* A seal at the end means that its writer died before it wrote the snapshot, or is only paused. A
 * batch appended after the seal would be lost when that writer resumes and writes its snapshot. So
 * the next generation is opened here, and the late snapshot fails with a conflict. */
static bool
finish_compaction (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GString) snapshot = g_string_new (NULL);

  mt_jobs_snapshot (jobs, snapshot);
  if (open_generation (journal, snapshot, error) == MT_JOURNAL_RECORDED)
    return true;
  if (error != NULL && *error == NULL)
    g_set_error (error, MT_ERROR, MT_ERROR_CONFLICT,
                 "another planner opened the next generation; load the journal again");
  return false;
}

bool
mt_jobs_journal_load (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GPtrArray) values = NULL;
  bool sealed = false;

  if (!journal->store->ops->list (journal->store->ctx, journal->prefix, &values, error))
    return false;
  g_ptr_array_sort (values, compare_keys);
  journal->generation = newest_generation (journal, values);
  journal->next_seq = 0;
  if (!replay_generation (journal, values, jobs, &sealed, error))
    return false;
  return !sealed || finish_compaction (journal, jobs, error);
}

/* Writes the seal before the snapshot: after the seal no other planner can append a batch to the
 * old generation that the snapshot, taken earlier, would miss. */
enum mt_journal_result
mt_jobs_journal_compact (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GString) snapshot = g_string_new (NULL);
  uint64_t old = journal->generation;
  enum mt_journal_result result;

  if (journal->next_seq < COMPACT_AFTER_BATCHES)
    return MT_JOURNAL_RECORDED;
  mt_jobs_snapshot (jobs, snapshot);
  if (snapshot->len > MAX_SNAPSHOT_BYTES)
    return MT_JOURNAL_RECORDED;
  result = write_batch (journal, journal->generation, journal->next_seq, MT_STR (SEAL), error);
  if (result != MT_JOURNAL_RECORDED)
    return result;
  result = open_generation (journal, snapshot, error);
  if (result == MT_JOURNAL_RECORDED)
    remove_generation (journal, old);
  return result;
}
