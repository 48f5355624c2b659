/* A job's progress as JSON text: what the next leader needs to continue the job. "t" has a row for
 * each task that has been placed; "l" the workers of these rows that may hold the longest lease
 * that they grant, each with the time in ms for which that lease may last from the writing on.
 * Records without "l" are of an earlier version and don't tell.
 *
 * The record of a large job has no "t", so that earlier versions take it for unreadable and start
 * nothing; "p" says that its tasks are in parts. A part's rows name workers by their index in "w",
 * and tasks by their offset in the part; "d" has a mark for each of its tasks. */
#ifndef MT_SCHEDULER_RECORD_H
#define MT_SCHEDULER_RECORD_H

#include "scheduler_internal.h"

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

/* Columns of a part's rows; those from the evidence's counts on are as above. */
enum part_column
{
  PART_COLUMN_OFFSET,
  PART_COLUMN_RUN,
  PART_COLUMN_ATTEMPTS,
  PART_COLUMN_WORKER, /* -1: none */
  PART_COLUMN_CHECKPOINT,
  PART_COLUMN_LOSSES,
};

#define EVIDENCE_UNIT 100

/* Returns whether a record has a row for the task. */
bool mt_task_has_row (const struct mt_task *task);

#endif
