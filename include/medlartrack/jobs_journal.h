/* Where a data centre's book of jobs lasts: batches of changes in the platform's service, each one
 * key medlartrack/jobs/ZONE/GENERATION/SEQ created by compare-and-swap where it does not exist. A
 * planner that lost its lease unawares loses the race for the next number and must drop its book,
 * so that of two planners only one gets its actions recorded. A generation starts with a snapshot.
 *
 * Calls block on the store. One thread at a time. */
#ifndef MEDLARTRACK_JOBS_JOURNAL_H
#define MEDLARTRACK_JOBS_JOURNAL_H

#include "medlartrack/jobs.h"
#include "medlartrack/store.h"

#define MT_JOBS_JOURNAL_PREFIX "medlartrack/jobs/"

struct mt_jobs_journal;

/* writer: random, unique to this run of the process. */
struct mt_jobs_journal *
mt_jobs_journal_create (const struct mt_store *store, const char *zone, uint64_t writer);
void mt_jobs_journal_destroy (struct mt_jobs_journal *journal);

/* Replays all that is recorded into a fresh book; one call of the store. */
bool mt_jobs_journal_load (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error);

enum mt_journal_result
{
  MT_JOURNAL_RECORDED,
  MT_JOURNAL_CONFLICT, /* another planner's batch came first: drop the book, load anew */
  MT_JOURNAL_FAILED,   /* not recorded, or not known: drop the book, load anew when it answers */
};

/* Records one batch; carry its actions out only after RECORDED. */
enum mt_journal_result
mt_jobs_journal_append (struct mt_jobs_journal *journal, struct mt_str batch, GError **error);
/* Starts a new generation from a snapshot once the old one has grown long; RECORDED also where
 * there was nothing to do. */
enum mt_journal_result
mt_jobs_journal_compact (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error);

#endif
