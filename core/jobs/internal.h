/* The book's inside, shared by the modules of core/jobs only. */
#ifndef MEDLARTRACK_JOBS_INTERNAL_H
#define MEDLARTRACK_JOBS_INTERNAL_H

#include "medlartrack/jobs.h"

struct mt_worker;

/* What jobs of one kind were seen to use. */
struct mt_job_kind
{
  char *name;
  struct mt_job_resources peak; /* slowly forgetting maximum */
  unsigned samples;
  GHashTable *per_rack; /* rack name -> running jobs of this kind there */
};

struct mt_team
{
  char *name;
  struct mt_job_resources quota;
  struct mt_job_resources held; /* borrowed included */
  struct mt_job_resources borrowed;
  GPtrArray *tasks; /* of struct mt_job that hold room */
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
  int64_t waiting_since_us;      /* first submission: a restart keeps the age */
  struct mt_worker *worker;      /* while it runs, yields, stops or is fenced there */
  struct mt_job_resources taken; /* of the worker, while it holds room there */
  bool borrowed;                 /* beyond its team's quota: may be taken back */
  bool aged;                     /* waited past its limit: counts as urgent, is not taken back */
  bool throttled;
  bool reported; /* the worker said that this epoch runs */
  int64_t started_us;
  int64_t asked_us;             /* a stop, checkpoint or fence was last asked for; 0: not yet */
  struct mt_job_resources used; /* as last reported */
  uint64_t lease;               /* of its worker when it started */
  GPtrArray *failed_on;         /* of struct mt_worker, distinct */
  unsigned failed_before;       /* so many more under earlier planners */
  bool suspect;                 /* may have taken down the worker that ran it last */
  char *reason;
  uint64_t never_at; /* the fleet's generation that MT_JOB_UNSCHEDULABLE was judged at */
  bool changed;      /* listed in the book's changes */
};

struct mt_worker
{
  char *name;
  char *rack;
  char *pool;
  struct mt_job_resources size;
  struct mt_job_resources taken;
  uint64_t lease;
  bool draining;
  bool lost;
  int64_t lost_us;              /* when it was */
  GPtrArray *tasks;             /* of struct mt_job that hold room here */
  GPtrArray *failures;          /* names of distinct jobs that failed in a row */
  int64_t quarantined_until_us; /* 0: not quarantined */
  bool probation;               /* back from quarantine: one job at a time until one succeeds */
  unsigned relapses;
  struct mt_job *held_for; /* a job that waits for room here: nobody else starts */
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
  GHashTable *tombstones;           /* names cancelled before they were submitted */
  GQueue waiting[MT_URGENCY_COUNT]; /* of struct mt_job, oldest first */
  GPtrArray *asking;                /* of struct mt_job that stops, yields or is fenced */
  GQueue unreported;                /* of struct mt_job started and not heard of, oldest first */
  GPtrArray *changes;               /* of struct mt_job whose state is not recorded yet */
  GPtrArray *new_tombstones;        /* names not recorded yet; owned by tombstones */
  GArray *strays;                   /* of struct mt_stray: copies that must end */
  GPtrArray *overcommitted;         /* of struct mt_worker, by their last reports */
  uint64_t generation;              /* grows when workers are added or change size or pool */
  uint64_t judged_at;               /* generation at which MT_JOB_UNSCHEDULABLE was last judged */
};

/* A copy that a worker reports though the book has gone on. */
struct mt_stray
{
  char *job;
  char *worker;
  uint64_t epoch;
};

/* book.c */
struct mt_job *mt_jobs_find (const struct mt_jobs *jobs, const char *name);
struct mt_worker *mt_jobs_find_worker (const struct mt_jobs *jobs, const char *name);
void mt_jobs_set_state (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Puts it in its queue by age, wherever it came from. */
void mt_jobs_enqueue (struct mt_jobs *jobs, struct mt_job *job);
void mt_jobs_allocate (struct mt_job *job, struct mt_worker *worker, struct mt_job_resources size);
void mt_jobs_release (struct mt_job *job);

/* Asks its worker to end it, one way or another; asked again until confirmed. */
void mt_jobs_request_end (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Nothing of it runs any more: gives its room back and takes the final state. */
void mt_jobs_finish (struct mt_jobs *jobs, struct mt_job *job, enum mt_job_state state);
/* Its copy has ended: waits for another start. */
void mt_jobs_requeue (struct mt_jobs *jobs, struct mt_job *job);

/* quota.c */
void mt_team_allocate (struct mt_job *job, struct mt_job_resources size);
void mt_team_release (struct mt_job *job);
bool mt_team_within_quota (const struct mt_team *team, struct mt_job_resources more);
/* Tasks borrowed earlier that fit the quota by now are no longer borrowed. */
void mt_teams_update_borrowed (struct mt_jobs *jobs);

/* relief.c: workers whose jobs use more than there is. */
void mt_jobs_relieve_overcommitted (struct mt_jobs *jobs, GArray *actions);

/* learn.c: what to reckon with for a job, and what a report teaches. */
struct mt_job_resources mt_job_kind_estimate (const struct mt_job_kind *kind,
                                              struct mt_job_resources declared);
/* The least that must fit: as estimated, without headroom. */
struct mt_job_resources mt_job_kind_minimum (const struct mt_job_kind *kind,
                                             struct mt_job_resources declared);
void mt_job_kind_record_usage (struct mt_job_kind *kind, struct mt_job_resources usage);

/* quarantine.c */
void mt_worker_record_failure (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job);
void mt_worker_record_success (struct mt_worker *worker);
/* The worker starts anew with nothing of before: what the job has to do with that. */
void mt_worker_record_crash (struct mt_jobs *jobs, struct mt_worker *worker, struct mt_job *job);
/* Workers that it failed on or took down, as far as is known. */
unsigned mt_job_failed_workers (const struct mt_job *job);
/* Until a suspect has run for a while its worker takes nothing else. */
bool mt_job_is_isolated (const struct mt_jobs *jobs, const struct mt_job *job);
bool mt_worker_accepts_tasks (struct mt_jobs *jobs, struct mt_worker *worker);

#endif
