/* Places the pools' jobs on workers, fences what may not run twice, and sees to it that every job
 * that can run ends.
 *
 * A mt_jobs is one planner's book. It has no I/O: the owner feeds it workers, teams, submissions,
 * cancellations and reports, calls mt_jobs_plan, makes the changes durable (mt_jobs_take_changes)
 * and only then carries the actions out. A planner that takes over replays the changes. Not
 * thread-safe: the owner holds a lock around every call. Names are copied. */
#ifndef MEDLARTRACK_JOBS_H
#define MEDLARTRACK_JOBS_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

/* What a job takes or a worker has. */
struct mt_job_resources
{
  uint32_t cpu_milli; /* thousandths of a processor */
  uint32_t memory_mb;
  uint32_t accelerators;
};

bool mt_job_resources_fit (struct mt_job_resources need, struct mt_job_resources room);
struct mt_job_resources mt_job_resources_add (struct mt_job_resources a, struct mt_job_resources b);
/* Stops at zero. */
struct mt_job_resources mt_job_resources_sub (struct mt_job_resources a, struct mt_job_resources b);

enum mt_urgency
{
  MT_URGENCY_URGENT,
  MT_URGENCY_NORMAL,
  MT_URGENCY_BACKGROUND,
  MT_URGENCY_COUNT,
};

struct mt_job_spec
{
  const char *name; /* unique */
  const char *kind; /* jobs of one kind teach each other their sizes */
  const char *team;
  const char *pool;
  struct mt_job_resources declared; /* as declared, often far off */
  enum mt_urgency urgency;
  bool may_run_twice;
};

struct mt_worker_spec
{
  const char *name;
  const char *rack;
  const char *pool; /* whose jobs it runs now */
  struct mt_job_resources capacity;
  uint64_t lease; /* grows each time the worker starts anew */
};

/* How to choose among the workers that have room. */
struct mt_placement_policy
{
  const char *name;
  const char *description;
  /* Lower is better. room is what is free before the job takes need of it; beside counts running
   * jobs of the same kind in the worker's rack. */
  double (*cost) (struct mt_job_resources size,
                  struct mt_job_resources room,
                  struct mt_job_resources need,
                  unsigned beside);
};

/* Ended by an entry without a name; the first is the default. */
const struct mt_placement_policy *mt_placement_policies (void);

/* Bounds that the operator may set; mt_jobs_default_options has working ones. */
struct mt_jobs_options
{
  int64_t age_limit_us[MT_URGENCY_COUNT]; /* waited so long, a job counts as urgent and aged */
  int64_t start_timeout_us; /* no report after a start: the start is fenced and tried elsewhere */
  int64_t request_retry_us; /* a stop, checkpoint or fence not yet confirmed is asked again */
  int64_t usage_delay_us;   /* usage older than the task's start plus this says nothing of it */
  int64_t quarantine_us;    /* first quarantine; doubles with each relapse */
  unsigned quarantine_threshold; /* distinct jobs that fail in a row on one worker */
  unsigned poison_threshold;     /* distinct workers that one job fails on, or takes down */
  int64_t crash_window_us; /* a worker lost so soon after a start may have been taken down by it */
  unsigned max_starts;     /* per plan */
  const struct mt_placement_policy *placement;
};

struct mt_jobs_options mt_jobs_default_options (void);

enum mt_job_state
{
  MT_JOB_UNKNOWN, /* no such job */
  MT_JOB_WAITING,
  MT_JOB_RUNNING,       /* started on a worker under its epoch */
  MT_JOB_CHECKPOINTING, /* asked to save its progress and yield */
  MT_JOB_FENCING,       /* its worker is lost: waits for the proof that the old epoch can't run */
  MT_JOB_STOPPING,      /* cancelled, its end not yet confirmed */
  MT_JOB_DONE,
  MT_JOB_CANCELLED,
  MT_JOB_UNSCHEDULABLE, /* can't run on any worker of its pool; the reason says why */
  MT_JOB_POISON,        /* failed on several workers, or took them down; not tried again */
};

const char *mt_job_state_name (enum mt_job_state state);

enum mt_job_action_kind
{
  MT_JOB_START,
  MT_JOB_CHECKPOINT, /* save progress, then end */
  MT_JOB_STOP,
  MT_JOB_THROTTLE,
  MT_JOB_FENCE, /* refuse this and older epochs of the job for ever, and confirm */
};

/* For the platform to carry out on a worker. Names live until the next call on the book. */
struct mt_job_action
{
  enum mt_job_action_kind kind;
  const char *job;
  const char *worker;
  uint64_t epoch; /* grows with each start of the job; a worker refuses older ones */
  uint64_t lease; /* of the worker; one that started anew since refuses the action */
  struct mt_job_resources resources; /* of a start: what the task may take */
};

enum mt_job_report_kind
{
  MT_REPORT_RUNNING, /* with usage */
  MT_REPORT_DONE,
  MT_REPORT_FAILED,
  MT_REPORT_STOPPED,      /* ended on request; progress is not kept */
  MT_REPORT_CHECKPOINTED, /* ended on request; progress is kept */
  MT_REPORT_FENCED,       /* the worker will never run this or an older epoch of the job */
};

struct mt_job_report
{
  enum mt_job_report_kind kind;
  const char *job;
  const char *worker;
  uint64_t epoch;
  struct mt_job_resources usage; /* with RUNNING and DONE; all zero where not known */
  int64_t measured_us;           /* when the usage was measured, on the book's clock */
};

struct mt_jobs;

struct mt_jobs *mt_jobs_create (const struct mt_clock *clock,
                                const struct mt_jobs_options *options);
void mt_jobs_destroy (struct mt_jobs *jobs);

/* Adds a worker or takes its new pool or size; jobs of its former pool are checkpointed away. */
void mt_jobs_set_worker (struct mt_jobs *jobs, const struct mt_worker_spec *spec);
/* Another pool, nothing else. */
void mt_jobs_move_worker (struct mt_jobs *jobs, const char *name, const char *pool);
/* Its pool, or NULL for a worker that is not known; lives until it is moved. */
const char *mt_jobs_worker_pool (const struct mt_jobs *jobs, const char *name);
/* The names of all workers, borrowed from the book. */
GPtrArray *mt_jobs_worker_names (const struct mt_jobs *jobs);
/* A draining worker gets nothing new and its jobs are checkpointed away. */
void mt_jobs_drain_worker (struct mt_jobs *jobs, const char *name, bool draining);
/* Its lease lapsed: it may still run what it ran. Of an older lease: ignored. */
void mt_jobs_worker_lease_lost (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* Its lease is held again, by the same start of it: its tasks may have gone on running. */
void mt_jobs_worker_lease_regained (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* It started anew under a newer lease: nothing that it ran before runs now. */
void mt_jobs_worker_restarted (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* Calls visit for each worker on which something runs by the book. */
void mt_jobs_foreach_busy_worker (const struct mt_jobs *jobs,
                                  void (*visit) (void *ctx, const char *worker, unsigned tasks),
                                  void *ctx);
/* 0 where nothing runs there by the book. */
unsigned mt_jobs_worker_task_count (const struct mt_jobs *jobs, const char *name);

void mt_jobs_set_quota (struct mt_jobs *jobs, const char *name, struct mt_job_resources quota);

/* False where the name is known already or was cancelled before: both are idempotent. */
bool mt_jobs_submit (struct mt_jobs *jobs, const struct mt_job_spec *spec);
/* Also of a job that is not submitted yet; never undone by a late report. */
void mt_jobs_cancel (struct mt_jobs *jobs, const char *name);
void mt_jobs_report (struct mt_jobs *jobs, const struct mt_job_report *report);
/* Drops an ended job, or a cancellation, once its row has left the tables; false, and nothing done,
 * where the job has not ended. */
bool mt_jobs_remove (struct mt_jobs *jobs, const char *name);

/* Decides what to do now; appends struct mt_job_action to actions. Cancellations come first. */
void mt_jobs_plan (struct mt_jobs *jobs, GArray *actions);

enum mt_job_state mt_jobs_state (const struct mt_jobs *jobs, const char *name);
/* Why a job is MT_JOB_UNSCHEDULABLE or MT_JOB_POISON; NULL otherwise. */
const char *mt_jobs_reason (const struct mt_jobs *jobs, const char *name);
/* Calls visit for each job; the texts live until the next call on the book. */
void mt_jobs_foreach_job (
    const struct mt_jobs *jobs,
    void (*visit) (void *ctx, const char *name, enum mt_job_state state, const char *reason),
    void *ctx);
bool mt_jobs_is_quarantined (const struct mt_jobs *jobs, const char *name);
/* What the jobs of a team hold now, and how much of it is borrowed beyond its quota. */
struct mt_job_resources mt_jobs_team_allocated (const struct mt_jobs *jobs, const char *name);
struct mt_job_resources mt_jobs_team_borrowed (const struct mt_jobs *jobs, const char *name);
/* What is taken of a worker by the book. */
struct mt_job_resources mt_jobs_worker_allocated (const struct mt_jobs *jobs, const char *name);

/* The changes of state since the last call, as one msgpack batch to make durable; empty where there
 * are none. */
void mt_jobs_take_changes (struct mt_jobs *jobs, GString *out);
/* All that is not as declared, as one such batch. */
void mt_jobs_snapshot (const struct mt_jobs *jobs, GString *out);
/* Brings a fresh book, with its workers and submissions already in, up to a recorded batch. */
bool mt_jobs_replay (struct mt_jobs *jobs, struct mt_str batch, GError **error);

#endif
