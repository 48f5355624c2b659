/* Scheduler state, shared only by the modules of core/jobs. */
#ifndef MEDLARTRACK_JOBS_INTERNAL_H
#define MEDLARTRACK_JOBS_INTERNAL_H

#include "medlartrack/jobs.h"

struct mt_worker;

/* Resource usage learned from the jobs of one kind. */
struct mt_job_kind
{
  char *name;
  struct mt_job_resources peak; /* slowly decaying maximum of the reported usage */
  unsigned samples;
  GHashTable *running_per_rack; /* rack name -> number of running jobs of this kind */
};

struct mt_team
{
  char *name;
  struct mt_job_resources quota;
  struct mt_job_resources in_use; /* including borrowed */
  struct mt_job_resources borrowed;
  GPtrArray *tasks; /* of struct mt_job that have resources allocated */
};

struct mt_job
{
  char *name;
  struct mt_job_kind *kind;
  struct mt_team *team;
  char *pool;
  struct mt_job_resources declared;
  enum mt_urgency urgency;
  bool may_run_twice;
  enum mt_job_state state;
  uint64_t epoch;
  int64_t waiting_since_us; /* time of submission; kept across restarts of the job */
  struct mt_worker *worker; /* while the job is running, checkpointing, stopping or fencing */
  struct mt_job_resources allocated; /* resources of the worker, while worker is set */
  bool borrowed;                     /* beyond its team's quota: may be preempted */
  bool aged; /* waited past its age limit: treated as urgent, never preempted */
  bool throttled;
  bool confirmed; /* the worker reported this epoch, or the wait for a report timed out */
  int64_t started_us;
  int64_t requested_us;          /* last request to stop, checkpoint or fence; 0: not sent yet */
  struct mt_job_resources used;  /* usage as last reported */
  uint64_t lease;                /* the worker's lease when the task was started */
  GPtrArray *failed_on;          /* distinct workers that it failed on, struct mt_worker */
  unsigned failed_before_replay; /* number of other such workers under earlier planners */
  bool suspect;                  /* may have crashed the worker that ran it last */
  char *reason;
  uint64_t checked_generation; /* mt_jobs.generation of the last check whether any worker fits */
  bool changed;                /* is in mt_jobs.changes */
};

struct mt_worker
{
  char *name;
  char *rack;
  char *pool;
  struct mt_job_resources capacity;
  struct mt_job_resources allocated;
  uint64_t lease;
  bool draining;
  bool lease_lost;
  int64_t lease_lost_us;        /* time of the loss; 0 while lease_lost is false */
  GPtrArray *tasks;             /* of struct mt_job that have resources of this worker */
  GPtrArray *failures;          /* names of distinct jobs that failed here in a row */
  int64_t quarantined_until_us; /* 0: not quarantined */
  bool probation;               /* after quarantine: one job at a time until one succeeds */
  unsigned quarantine_count;
  struct mt_job *reserved_for; /* only this waiting job may start here; NULL: any */
};

struct mt_pool_workers
{
  char *name;
  GPtrArray *workers; /* of struct mt_worker */
};

struct mt_jobs
{
  const struct mt_clock *clock;
  struct mt_jobs_options options;
  GHashTable *jobs;                 /* name -> struct mt_job */
  GHashTable *workers;              /* name -> struct mt_worker */
  GHashTable *teams;                /* name -> struct mt_team */
  GHashTable *kinds;                /* name -> struct mt_job_kind */
  GHashTable *pools;                /* name -> struct mt_pool_workers */
  GHashTable *tombstones;           /* names of jobs cancelled before submission */
  GQueue waiting[MT_URGENCY_COUNT]; /* of struct mt_job, oldest first */
  GPtrArray *end_requests;   /* of struct mt_job that is stopping, checkpointing or fencing */
  GQueue unconfirmed;        /* of struct mt_job started but not reported, oldest first */
  GPtrArray *changes;        /* of struct mt_job whose state is not recorded yet */
  GPtrArray *new_tombstones; /* names not recorded yet; owned by tombstones */
  GArray *orphans;           /* of struct mt_orphan to be stopped */
  GPtrArray *overcommitted;  /* of struct mt_worker whose reported usage exceeds an allocation */
  uint64_t generation;       /* grows when workers are added or change capacity or pool */
  uint64_t checked_at_generation; /* generation of the last check of the unschedulable jobs */
};

/* A running task that does not match the job's current worker and epoch. */
struct mt_orphan
{
  char *job;
  char *worker;
  uint64_t epoch;
};

/* book.c */
struct mt_job *mt_jobs_find (const struct mt_jobs *jobs, const char *name);
struct mt_worker *mt_jobs_find_worker (const struct mt_jobs *jobs, const char *name);
void mt_jobs_set_state (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Adds the job to the queue of its urgency, ordered by waiting time. */
void mt_jobs_enqueue (struct mt_jobs *jobs, struct mt_job *job);
void
mt_jobs_allocate (struct mt_job *job, struct mt_worker *worker, struct mt_job_resources resources);
void mt_jobs_release (struct mt_job *job);

/* Requests the job's end on its worker by a checkpoint, fence or stop according to state; the
 * request is repeated until it is confirmed. */
void mt_jobs_request_end (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Releases the job's resources and sets its state, once its task is known to have ended. */
void mt_jobs_finish (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Returns the job to its queue after its task has ended. */
void mt_jobs_requeue (struct mt_jobs *jobs, struct mt_job *job);

/* quota.c */
void mt_team_allocate (struct mt_job *job, struct mt_job_resources resources);
void mt_team_release (struct mt_job *job);
bool mt_team_within_quota (const struct mt_team *team, struct mt_job_resources more);
/* Clears the borrowed mark of tasks that now fit their team's quota. */
void mt_teams_update_borrowed (struct mt_jobs *jobs);

/* relief.c: throttles or checkpoints jobs of overcommitted workers. */
void mt_jobs_relieve_overcommitted (struct mt_jobs *jobs, GArray *actions);

/* learn.c: resource estimates for a job, updated from reported usage. */
struct mt_job_resources mt_job_kind_estimate (const struct mt_job_kind *kind,
                                              struct mt_job_resources declared);
/* The minimum that must fit on a worker: the estimate without headroom. */
struct mt_job_resources mt_job_kind_minimum (const struct mt_job_kind *kind,
                                             struct mt_job_resources declared);
void mt_job_kind_record_usage (struct mt_job_kind *kind, struct mt_job_resources usage);

/* quarantine.c */
void mt_worker_record_failure (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job);
void mt_worker_record_success (struct mt_worker *worker);
/* The worker restarted and lost its tasks: marks the job as suspect if it may have caused that. */
void mt_worker_record_crash (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job);
/* Known number of workers that the job failed on or crashed. */
unsigned mt_job_failed_workers (const struct mt_job *job);
/* True while a suspect has run for less than crash_window_us; its worker gets no other task
 * then. */
bool mt_job_is_isolated (const struct mt_jobs *jobs, const struct mt_job *job);
bool mt_worker_accepts_tasks (struct mt_jobs *jobs, struct mt_worker *worker);

#endif
