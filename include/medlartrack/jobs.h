/* Scheduler for the pools' jobs in one data centre: places them on workers, fences jobs that may
 * not run twice, and ensures that every job that can run ends.
 *
 * A struct mt_jobs is the state of one planner. It does no I/O: the owner passes in workers, teams,
 * submissions, cancellations and reports, calls mt_jobs_plan, makes the changes durable
 * (mt_jobs_take_changes) and only then carries out the actions. A planner that takes over replays
 * the recorded changes. Not thread-safe: the owner holds a lock around every call. Names are
 * copied. */
#ifndef MEDLARTRACK_JOBS_H
#define MEDLARTRACK_JOBS_H

#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <glib.h>

/* Resources that a job uses or a worker has. */
struct mt_job_resources
{
  uint32_t cpu_milli; /* thousandths of a processor */
  uint32_t memory_mb;
  uint32_t accelerators;
};

/* Returns whether need is within available, for each resource. */
bool mt_job_resources_fit (struct mt_job_resources need, struct mt_job_resources available);
/* Adds each resource. */
struct mt_job_resources mt_job_resources_add (struct mt_job_resources a, struct mt_job_resources b);
/* Subtracts each resource; a negative difference becomes 0. */
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
  const char *name; /* unique among all jobs */
  const char *kind; /* resource usage is learned per kind */
  const char *team;
  const char *pool;
  struct mt_job_resources declared; /* by the submitter; often far from the real usage */
  enum mt_urgency urgency;
  bool may_run_twice; /* if false, a job whose worker is lost waits for proof of its task's end */
};

struct mt_worker_spec
{
  const char *name;
  const char *rack;
  const char *pool; /* pool whose jobs the worker runs now */
  struct mt_job_resources capacity;
  uint64_t lease; /* incarnation of the worker: grows with each restart */
};

/* Policy that chooses among the workers with enough free resources. */
struct mt_placement_policy
{
  const char *name;
  const char *description;
  /* Lower is better. available: free resources of the worker before the job is placed; need:
   * resources that the job would use; same_rack: running jobs of the same kind in the worker's
   * rack. */
  double (*cost) (struct mt_job_resources capacity,
                  struct mt_job_resources available,
                  struct mt_job_resources need,
                  unsigned same_rack);
};

/* Returns an array that ends with an entry whose name is NULL; the first entry is the default. */
const struct mt_placement_policy *mt_placement_policies (void);

/* Scheduler options. mt_jobs_default_options returns usable values for all of them. */
struct mt_jobs_options
{
  int64_t age_limit_us[MT_URGENCY_COUNT]; /* waiting time after which a job is urgent */
  int64_t start_timeout_us;               /* an unreported start is fenced after this time */
  int64_t request_retry_us; /* interval for repeating unconfirmed stops, checkpoints and fences */
  int64_t usage_delay_us;   /* usage measured earlier than this after the task's start is ignored */
  int64_t quarantine_us; /* length of a worker's first quarantine; doubles with each repetition */
  unsigned quarantine_threshold; /* jobs failing in a row on one worker that put it in quarantine */
  unsigned poison_threshold;     /* workers that a job fails on or crashes before it is given up */
  int64_t crash_window_us;       /* a job started this recently may have crashed its worker */
  unsigned max_starts;           /* per call of mt_jobs_plan */
  const struct mt_placement_policy *placement;
};

struct mt_jobs_options mt_jobs_default_options (void);

enum mt_job_state
{
  MT_JOB_UNKNOWN, /* no job of this name */
  MT_JOB_WAITING,
  MT_JOB_RUNNING,       /* started on a worker with the job's current epoch */
  MT_JOB_CHECKPOINTING, /* asked to save its progress and end */
  MT_JOB_FENCING,       /* worker lost; waits for proof that the old epoch can't run any more */
  MT_JOB_STOPPING,      /* cancelled; the end of its task is not confirmed yet */
  MT_JOB_DONE,
  MT_JOB_CANCELLED,
  MT_JOB_UNSCHEDULABLE, /* needs more than any worker of its pool has; see mt_jobs_reason */
  MT_JOB_POISON,        /* failed on or crashed several workers; not started again */
};

/* Returns a static text. */
const char *mt_job_state_name (enum mt_job_state state);

enum mt_job_action_kind
{
  MT_JOB_START,
  MT_JOB_CHECKPOINT, /* save progress, then end */
  MT_JOB_STOP,
  MT_JOB_THROTTLE,
  MT_JOB_FENCE, /* refuse this and older epochs of the job from now on, and confirm that */
};

/* An action for the platform to carry out on a worker. The names are valid until the next call on
 * the struct mt_jobs. */
struct mt_job_action
{
  enum mt_job_action_kind kind;
  const char *job;
  const char *worker;
  uint64_t epoch; /* grows with each start of the job; workers refuse older epochs */
  uint64_t lease; /* the worker's lease; a worker restarted since then refuses the action */
  struct mt_job_resources resources; /* of a start: resources that the task may use */
};

enum mt_job_report_kind
{
  MT_REPORT_RUNNING, /* carries usage */
  MT_REPORT_DONE,
  MT_REPORT_FAILED,
  MT_REPORT_STOPPED,      /* ended on request; progress is lost */
  MT_REPORT_CHECKPOINTED, /* ended on request; progress is saved */
  MT_REPORT_FENCED,       /* the worker will never run this or an older epoch of the job */
};

struct mt_job_report
{
  enum mt_job_report_kind kind;
  const char *job;
  const char *worker;
  uint64_t epoch;
  struct mt_job_resources usage; /* with RUNNING and DONE; all zero if unknown */
  int64_t measured_us; /* time of the usage measurement, on the clock of the struct mt_jobs */
};

struct mt_jobs;

/* clock must outlive the result; options are copied. Free it with mt_jobs_destroy. */
struct mt_jobs *mt_jobs_create (const struct mt_clock *clock,
                                const struct mt_jobs_options *options);
void mt_jobs_destroy (struct mt_jobs *jobs);

/* Adds a worker, or updates its pool and capacity. If the pool changes, running jobs are
 * checkpointed and leave the worker. */
void mt_jobs_set_worker (struct mt_jobs *jobs, const struct mt_worker_spec *spec);
/* Changes only the worker's pool. */
void mt_jobs_move_worker (struct mt_jobs *jobs, const char *name, const char *pool);
/* Returns the worker's pool, valid until it changes; NULL if the worker is unknown. */
const char *mt_jobs_worker_pool (const struct mt_jobs *jobs, const char *name);
/* Returns the names of all workers. The caller frees the array; the names belong to jobs. */
GPtrArray *mt_jobs_worker_names (const struct mt_jobs *jobs);
/* Sets whether the worker is draining: it then gets no new jobs, and its running jobs are
 * checkpointed and leave it. */
void mt_jobs_drain_worker (struct mt_jobs *jobs, const char *name, bool draining);
/* To be called when the worker's lease has expired; its tasks may still be running. Ignored if the
 * lease is not the current one. */
void mt_jobs_worker_lease_lost (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* To be called when the worker holds the same lease again without a restart; its tasks may have
 * continued to run. */
void mt_jobs_worker_lease_regained (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* To be called when the worker has restarted with a newer lease: none of its earlier tasks is
 * running any more. */
void mt_jobs_worker_restarted (struct mt_jobs *jobs, const char *name, uint64_t lease);
/* Calls visit for each worker that has tasks according to the scheduler state. */
void mt_jobs_foreach_busy_worker (const struct mt_jobs *jobs,
                                  void (*visit) (void *ctx, const char *worker, unsigned tasks),
                                  void *ctx);
/* Returns the number of tasks on a worker according to the scheduler state. */
unsigned mt_jobs_worker_task_count (const struct mt_jobs *jobs, const char *name);

/* Sets the quota of a team. */
void mt_jobs_set_quota (struct mt_jobs *jobs, const char *name, struct mt_job_resources quota);

/* Adds a job. Returns false without any change if a job of that name exists or was cancelled
 * before. */
bool mt_jobs_submit (struct mt_jobs *jobs, const struct mt_job_spec *spec);
/* Cancels a job, also one that is not submitted yet. Repeated cancellations have no effect, and a
 * late report never reverts a cancellation. */
void mt_jobs_cancel (struct mt_jobs *jobs, const char *name);
/* Handles a worker's report on a task. */
void mt_jobs_report (struct mt_jobs *jobs, const struct mt_job_report *report);
/* Removes an ended job, or a cancellation recorded in advance, once its row has left the tables.
 * Returns false without any change if the job has not ended. */
bool mt_jobs_remove (struct mt_jobs *jobs, const char *name);

/* Runs one planning round; appends struct mt_job_action entries to actions, stops of cancelled jobs
 * first. */
void mt_jobs_plan (struct mt_jobs *jobs, GArray *actions);

/* Returns MT_JOB_UNKNOWN if there is no job of that name. */
enum mt_job_state mt_jobs_state (const struct mt_jobs *jobs, const char *name);
/* Returns the reason for MT_JOB_UNSCHEDULABLE or MT_JOB_POISON; NULL in other states. */
const char *mt_jobs_reason (const struct mt_jobs *jobs, const char *name);
/* Calls visit for each job; the strings are valid until the next call on jobs. */
void mt_jobs_foreach_job (
    const struct mt_jobs *jobs,
    void (*visit) (void *ctx, const char *name, enum mt_job_state state, const char *reason),
    void *ctx);
/* Returns whether the worker is in quarantine. */
bool mt_jobs_is_quarantined (const struct mt_jobs *jobs, const char *name);
/* Return the resources allocated to a team's jobs, and those of them borrowed beyond its quota. */
struct mt_job_resources mt_jobs_team_allocated (const struct mt_jobs *jobs, const char *name);
struct mt_job_resources mt_jobs_team_borrowed (const struct mt_jobs *jobs, const char *name);
/* Returns the resources of a worker that are allocated to jobs. */
struct mt_job_resources mt_jobs_worker_allocated (const struct mt_jobs *jobs, const char *name);

/* Appends the state changes since the last call as one msgpack batch to be made durable; appends
 * nothing if there are none. */
void mt_jobs_take_changes (struct mt_jobs *jobs, GString *out);
/* Appends the state of all jobs that differs from their declaration, as one such batch. */
void mt_jobs_snapshot (const struct mt_jobs *jobs, GString *out);
/* Applies a recorded batch to a new struct mt_jobs that already has its workers and submissions.
 * Returns false with MT_ERROR_SYNTAX if the batch can't be read. */
bool mt_jobs_replay (struct mt_jobs *jobs, struct mt_str batch, GError **error);

#endif
