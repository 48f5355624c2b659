/* Durable journal of a data centre's job state: batches of changes in the platform's service, each
 * under one key medlartrack/jobs/ZONE/GENERATION/SEQ, which is created by compare-and-swap only if
 * it does not exist. A planner that has lost its lease without noticing finds the next sequence
 * number taken and must discard its state, so only one of two planners gets its actions recorded.
 * Each generation starts with a snapshot.
 *
 * Calls block on the store. Not thread-safe. */
#ifndef MEDLARTRACK_JOBS_JOURNAL_H
#define MEDLARTRACK_JOBS_JOURNAL_H

#include "medlartrack/jobs.h"
#include "medlartrack/store.h"

#define MT_JOBS_JOURNAL_PREFIX "medlartrack/jobs/"

struct mt_jobs_journal;

/* store must outlive the result; free it with mt_jobs_journal_destroy. writer: random number,
 * unique to this incarnation of the process. */
struct mt_jobs_journal *
mt_jobs_journal_create (const struct mt_store *store, const char *zone, uint64_t writer);
void mt_jobs_journal_destroy (struct mt_jobs_journal *journal);

/* Replays all recorded batches into a new struct mt_jobs, with one call of the store. Returns false
 * with an error if the store does not answer or a batch can't be read. */
bool mt_jobs_journal_load (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error);

enum mt_journal_result
{
  MT_JOURNAL_RECORDED,
  MT_JOURNAL_CONFLICT, /* another planner's batch came first: discard the state and load again */
  MT_JOURNAL_FAILED,   /* not recorded, or outcome unknown: discard the state and load again once
                          the store answers */
};

/* Records one batch; carry out its actions only after MT_JOURNAL_RECORDED. */
enum mt_journal_result
mt_jobs_journal_append (struct mt_jobs_journal *journal, struct mt_str batch, GError **error);
/* Starts a new generation with a snapshot if the current one has become long. Returns
 * MT_JOURNAL_RECORDED also if there was nothing to do. */
enum mt_journal_result
mt_jobs_journal_compact (struct mt_jobs_journal *journal, struct mt_jobs *jobs, GError **error);

#endif
