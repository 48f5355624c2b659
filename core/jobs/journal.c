#include "medlartrack/jobs_journal.h"

#include "medlartrack/error.h"

#include <stdio.h>
#include <string.h>

#define COMPACT_AFTER 512 /* batches in a generation */
#define SNAPSHOT_BYTES                                                                             \
  (900 * 1000)              /* the platform takes a megabyte; beyond it the log grows on           \
                             */
#define HEADER_BYTES 34     /* "writer serial\n", both 16 hex digits */
#define SEAL         "seal" /* a batch with this text ends its generation */

struct mt_jobs_journal
{
  const struct mt_store *store;
  char *prefix; /* ends with '/' */
  uint64_t writer;
  uint64_t serial; /* of this writer's batches, so that it knows its own after a lost answer */
  uint64_t generation;
  uint64_t next; /* first free number in the generation */
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
batch_key (const struct mt_jobs_journal *journal, uint64_t generation, uint64_t number)
{
  return g_strdup_printf ("%s%010" G_GUINT64_FORMAT "/%010" G_GUINT64_FORMAT, journal->prefix,
                          generation, number);
}

static bool
parse_key (const struct mt_jobs_journal *journal,
           const char *key,
           uint64_t *generation,
           uint64_t *number)
{
  char *end = NULL;

  if (!g_str_has_prefix (key, journal->prefix))
    return false;
  *generation = g_ascii_strtoull (key + strlen (journal->prefix), &end, 10);
  if (end == NULL || *end != '/')
    return false;
  *number = g_ascii_strtoull (end + 1, &end, 10);
  return *end == '\0';
}

/* The newest generation that begins with its first batch: a later one that does not was begun by a
 * planner that died before its snapshot, and holds nothing. */
static uint64_t
newest_generation (const struct mt_jobs_journal *journal, const GPtrArray *values)
{
  uint64_t newest = 0;

  for (guint i = 0; i < values->len; i++)
    {
      const struct mt_store_value *value = values->pdata[i];
      uint64_t generation;
      uint64_t number;

      if (parse_key (journal, value->key, &generation, &number) && number == 0)
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
                   "%s holds %zu bytes, no batch of jobs; remove the key", value->key, value->len);
      return false;
    }
  /* An empty batch opens a generation that had nothing to carry over. */
  if (is_seal (value) || value->len == HEADER_BYTES)
    return true;
  return mt_jobs_replay (jobs, body_of (value), error);
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  const struct mt_store_value *x = *(struct mt_store_value *const *) a;
  const struct mt_store_value *y = *(struct mt_store_value *const *) b;

  return strcmp (x->key, y->key);
}

/* A write whose answer was lost is settled by reading: the header tells whose batch it is. */
static enum mt_journal_result
settle (struct mt_jobs_journal *journal, const char *key, const GString *value, GError **error)
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
    g_set_error (error, MT_ERROR, MT_ERROR_UNKNOWN, "%s may still be written; load anew", key);
  mt_store_value_clear (&found);
  return result;
}

static enum mt_journal_result
write_batch (struct mt_jobs_journal *journal,
             uint64_t generation,
             uint64_t number,
             struct mt_str batch,
             GError **error)
{
  g_autofree char *key = batch_key (journal, generation, number);
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
      /* It may be one's own first try, repeated below us after its answer was lost. */
      return settle (journal, key, value, error);
    case MT_STORE_FAILED:
      return MT_JOURNAL_FAILED;
    case MT_STORE_UNKNOWN:
      return settle (journal, key, value, error);
    }
  return MT_JOURNAL_FAILED;
}

enum mt_journal_result
mt_jobs_journal_append (struct mt_jobs_journal *journal, struct mt_str batch, GError **error)
{
  enum mt_journal_result result
      = write_batch (journal, journal->generation, journal->next, batch, error);

  if (result == MT_JOURNAL_RECORDED)
    journal->next++;
  return result;
}

/* The next generation, from the book as it stands: its first batch is created once, so that of all
 * who saw the seal one wins and the others load what it wrote. */
static enum mt_journal_result
open_generation (struct mt_jobs_journal *journal, const GString *snapshot, GError **error)
{
  enum mt_journal_result result = write_batch (
      journal, journal->generation + 1, 0, (struct mt_str){ snapshot->str, snapshot->len }, error);

  if (result != MT_JOURNAL_RECORDED)
    return result;
  journal->generation++;
  journal->next = 1;
  return MT_JOURNAL_RECORDED;
}

static void
remove_generation (struct mt_jobs_journal *journal, uint64_t generation)
{
  g_autofree char *old
      = g_strdup_printf ("%s%010" G_GUINT64_FORMAT "/", journal->prefix, generation);

  /* What is left of it by a failure is never read: the newer generation is. */
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
      uint64_t number;

      if (!parse_key (journal, value->key, &generation, &number)
          || generation != journal->generation)
        continue;
      if (!replay_value (jobs, value, error))
        return false;
      *sealed = is_seal (value);
      journal->next = number + 1;
    }
  return true;
}

/* A seal at the end means that its writer died before the snapshot, or is only paused. Appending
 * after the seal would be lost when it wakes up and writes its snapshot: the generation is opened
 * here instead, and the late snapshot finds its place taken. */
static bool
finish_compaction (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GString) snapshot = g_string_new (NULL);

  mt_jobs_snapshot (jobs, snapshot);
  if (open_generation (journal, snapshot, error) == MT_JOURNAL_RECORDED)
    return true;
  if (error != NULL && *error == NULL)
    g_set_error (error, MT_ERROR, MT_ERROR_CONFLICT,
                 "another planner opened the next generation; load anew");
  return false;
}

bool
mt_jobs_journal_load (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GPtrArray) values = NULL;
  bool sealed = false;

  if (!journal->store->ops->list (journal->store->ctx, journal->prefix, &values, error))
    return false;
  g_ptr_array_sort (values, by_key);
  journal->generation = newest_generation (journal, values);
  journal->next = 0;
  if (!replay_generation (journal, values, jobs, &sealed, error))
    return false;
  return !sealed || finish_compaction (journal, jobs, error);
}

/* The seal comes first: after it no rival can append to the old generation what the snapshot, taken
 * before, would not hold. */
enum mt_journal_result
mt_jobs_journal_compact (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error)
{
  g_autoptr (GString) snapshot = g_string_new (NULL);
  uint64_t old = journal->generation;
  enum mt_journal_result result;

  if (journal->next < COMPACT_AFTER)
    return MT_JOURNAL_RECORDED;
  mt_jobs_snapshot (jobs, snapshot);
  if (snapshot->len > SNAPSHOT_BYTES)
    return MT_JOURNAL_RECORDED;
  result = write_batch (journal, journal->generation, journal->next, MT_STR (SEAL), error);
  if (result != MT_JOURNAL_RECORDED)
    return result;
  result = open_generation (journal, snapshot, error);
  if (result == MT_JOURNAL_RECORDED)
    remove_generation (journal, old);
  return result;
}
