/* The scheduler: one pool's jobs and workers, and every decision on them. It keeps which task runs
 * where, places waiting tasks, judges workers by what they do, and says what has to be durable
 * before what is sent. Without I/O: the owner feeds it what was heard and carries out the orders it
 * takes from it. One thread. Times are milliseconds of a clock that counts suspension, but for
 * those that say "wall" (Unix time). */
#ifndef MEDLARTRACK_SCHEDULER_H
#define MEDLARTRACK_SCHEDULER_H

#include "medlartrack/job_spec.h"
#include "medlartrack/str.h"

#include <glib.h>
#include <stddef.h>

struct mt_scheduler;

struct mt_scheduler_settings
{
  const char *name;
  int64_t lease_ms;      /* lease given to a worker's tasks with each hold */
  int64_t max_lease_ms;  /* longest lease that a worker grants */
  double remote_factor;  /* run time away from the data, in multiples */
  int64_t retention_ms;  /* records outlive the end of their job by this */
  int64_t stop_grace_ms; /* a run goes on for so long after it was told to stop */
};

struct mt_route_policy
{
  int priority; /* 0 goes first */
  int max_attempts;
  double stretch;       /* objective: multiples of the longest chain, ... */
  int64_t objective_ms; /* ... and this much more */
};

/* ---- what the owner tells ---- */

struct mt_scheduler *mt_scheduler_create (const struct mt_scheduler_settings *settings);
void mt_scheduler_destroy (struct mt_scheduler *sched);

void mt_scheduler_set_route (struct mt_scheduler *sched,
                             const char *name,
                             const struct mt_route_policy *terms);

/* What one workspace may have running in all pools together, of which this is one of `pools`. */
struct mt_workspace_limits
{
  struct mt_resources quota; /* 0 for no limit */
  int64_t rate;              /* jobs a second that are its due; 0 for no limit */
  unsigned pools;
};

void mt_scheduler_set_workspace (struct mt_scheduler *sched,
                                 const char *name,
                                 const struct mt_workspace_limits *terms);

/* This pool's share of a workspace's quota, as the fleet's leader grants it. What is beyond an even
 * share is a lease of MT_GRANT_LEASE_MS from the last message. False where the message is older
 * than the last one; then nothing is taken. */
#define MT_GRANT_LEASE_MS 2000
struct mt_grant
{
  const char *workspace;
  struct mt_resources resources;
};

struct mt_grant_message
{
  int64_t token;                 /* of the leader that grants; a higher one wins */
  uint64_t sequence;             /* of that one's messages */
  bool all;                      /* every account is asked for */
  const struct mt_grant *grants; /* what has changed */
  size_t n_grants;
};

bool mt_scheduler_apply_grants (struct mt_scheduler *sched,
                                const struct mt_grant_message *message,
                                int64_t now);

/* What a pool has and lacks of a workspace's quota. */
struct mt_account_view
{
  const char *workspace;
  struct mt_resources used;            /* running, ordered, or being stopped */
  struct mt_resources waiting;         /* of tasks that could start */
  struct mt_resources largest_waiting; /* of these */
  struct mt_resources granted;         /* by the last message that named it */
  bool has_grant;                      /* one did */
};

/* Of workspaces with a limit. Those that have a grant and use nothing are left out,
 * unless the last message asked for all. Returns how many were written. */
size_t
mt_scheduler_accounts (const struct mt_scheduler *sched, struct mt_account_view *out, size_t max);

/* Takes spec over, also when the job is known already. False where it is known. */
bool mt_scheduler_submit (struct mt_scheduler *sched,
                          struct mt_job_spec *spec,
                          int64_t now,
                          int64_t wall);
/* The durable progress of a submitted job, as mt_scheduler_job_record wrote it, and the store's
 * revision of it. False where it can't be read; the job then starts from nothing known, which is
 * only safe where nothing of it can run. */
bool mt_scheduler_restore (
    struct mt_scheduler *sched, const char *id, const char *record, int64_t revision, int64_t now);
/* The cancelling is durable already. False where the job isn't known. */
bool mt_scheduler_cancel (struct mt_scheduler *sched, const char *id, int64_t now);
bool mt_scheduler_has_job (const struct mt_scheduler *sched, const char *id);

enum mt_job_state
{
  MT_JOB_QUEUED,
  MT_JOB_ACTIVE,
  MT_JOB_COMPLETED,
  MT_JOB_FAILED,
  MT_JOB_CANCELLED,
  MT_JOB_UNKNOWN,
};

extern const char *const mt_job_state_names[];
/* MT_JOB_UNKNOWN for what is no state's name. */
enum mt_job_state mt_job_state_parse (struct mt_str name);
/* Nothing of the job runs or will. */
bool mt_job_state_is_final (enum mt_job_state state);

/* Whose job it is, "" for nobody's; NULL where the job isn't known. */
const char *mt_scheduler_job_workspace (const struct mt_scheduler *sched, const char *id);
/* As far as it is durable. */
enum mt_job_state mt_scheduler_job_state (const struct mt_scheduler *sched, const char *id);
/* Accepted jobs of the route of which no task has started. */
unsigned mt_scheduler_pending_jobs (const struct mt_scheduler *sched, const char *name);

/* A worker as the registry shows it. */
struct mt_worker_entry
{
  const char *id;
  int64_t started_at_ms; /* 0 where the entry does not say; with the id it names one life */
  const char *address;
  const char *zone;
  const char *const *labels; /* NULL-terminated */
  struct mt_resources resources;
  bool leaving;
};

void mt_scheduler_update_worker (struct mt_scheduler *sched,
                                 const struct mt_worker_entry *entry,
                                 int64_t now);
/* Its entry is gone; it may run on. */
void mt_scheduler_worker_unlisted (struct mt_scheduler *sched, const char *id, int64_t now);
/* It is proved that this life has ended: nothing of it runs. */
void mt_scheduler_worker_ended (struct mt_scheduler *sched,
                                const char *id,
                                int64_t now,
                                const char *proof);
/* No new work goes there until `until`; with move_long_running, long-running tasks are moved off
 * within their budget. */
void mt_scheduler_cordon (struct mt_scheduler *sched,
                          const char *id,
                          int64_t until,
                          bool move_long_running);

/* It is to be emptied later, as far as is known until `until`: what is long-running goes elsewhere
 * first. */
void mt_scheduler_announce_drain (struct mt_scheduler *sched, const char *id, int64_t until);

/* Advice: only the workers named in tickets may run the step. */
void mt_scheduler_add_ticket (struct mt_scheduler *sched,
                              const char *step_name,
                              const char *worker,
                              const char *text,
                              int64_t until);
void mt_scheduler_tickets_answered (struct mt_scheduler *sched,
                                    const char *step_name,
                                    int64_t now,
                                    bool ok);
void mt_scheduler_require_tickets (struct mt_scheduler *sched, const char *name, bool wanted);

/* Room that the pool is about to have, in thousandths of a core, as far as is known until then. */
void mt_scheduler_expect_capacity (struct mt_scheduler *sched, int64_t cpu, int64_t until);

/* ---- what a caller can expect ---- */

struct mt_wait_estimate
{
  int64_t wait_ms;        /* behind what goes first */
  int64_t retry_after_ms; /* it can't be done while it is of use; it could, handed in so much later;
                           * 0: it can, or nothing is known that says otherwise */
};

/* Of a job of the route that is handed in now, whose longest chain is guessed at so much. */
struct mt_wait_estimate mt_scheduler_estimate_wait (struct mt_scheduler *sched,
                                                    const char *route,
                                                    int64_t chain_ms,
                                                    int64_t now);

/* ---- orders ---- */

enum mt_order_kind
{
  MT_ORDER_START,
  MT_ORDER_STOP,
  MT_ORDER_PACE,
  MT_ORDER_HOLD,
  MT_ORDER_REQUEST_TICKETS,
};

/* Borrows its strings from the scheduler; valid until the scheduler is fed again. */
struct mt_order
{
  enum mt_order_kind kind;
  const char *worker;
  const char *address;
  char task[80]; /* ID.OCCURRENCE.STEP.INDEX */
  unsigned run;
  const char *payload;
  const char *checkpoint; /* NULL for none */
  const char *ticket;     /* NULL for none */
  int64_t
      lease_end_ms; /* on the worker's clock, absolute; 0: not asked for, its clock isn't known */
  unsigned percent;
  int64_t acked_end; /* ends up to here are durable */
  int64_t wait_ms;
  int64_t link_delay_ms; /* it may lie in the owner's link for so long before it leaves */
  char **workers;        /* of an advice, NULL-terminated, owned by the order */
};

/* False where nothing is to be sent now. */
bool mt_scheduler_next_order (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* The same for holds alone, which change nothing but the end of leases. */
bool mt_scheduler_next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* What is sent now waits for so long before it leaves the owner's machine. To be told before orders
 * are taken. */
void mt_scheduler_set_link_delay (struct mt_scheduler *sched, int64_t wait_ms, int64_t now);
void mt_order_clear (struct mt_order *order);

enum mt_answer
{
  MT_ANSWER_OK,
  MT_ANSWER_FENCED,    /* a higher token was seen there: this scheduler is no longer in charge */
  MT_ANSWER_STALE_RUN, /* the run number is not higher than one ended there */
  MT_ANSWER_LEASE_EXPIRED, /* the lease was over on arrival */
  MT_ANSWER_NO_RESOURCES,
  MT_ANSWER_NO_TICKET,
  MT_ANSWER_UNHEALTHY,         /* refused, nothing done */
  MT_ANSWER_OTHER_INCARNATION, /* somebody else answers at this address: the one meant has ended */
  MT_ANSWER_MALFORMED,         /* it can't read the order */
  MT_ANSWER_NONE,              /* no answer: it may have been carried out, or may be yet */
};

struct mt_run_row
{
  const char *task;
  unsigned run;
  const char *checkpoint;
  unsigned percent;
  int64_t gauge; /* tail in ms of a serving task, processors in use of any other */
};

enum mt_end_kind
{
  MT_END_DONE,
  MT_END_FAILED,
  MT_END_STOPPED,
  MT_END_LEASE_EXPIRED,
  MT_END_GANG_BROKEN,     /* another member of its gang ended */
  MT_END_GANG_INCOMPLETE, /* the others of its gang did not come */
};

struct mt_end_row
{
  int64_t sequence;
  const char *task;
  unsigned run;
  enum mt_end_kind kind;
  const char *checkpoint;
};

struct mt_hold_report
{
  enum mt_answer answer;
  int64_t clock_ms;      /* the worker's; -1 where it didn't say */
  int64_t started_at_ms; /* 0 where it didn't say */
  const struct mt_run_row *running;
  size_t n_running;
  const struct mt_end_row *ended;
  size_t n_ended;
};

void mt_scheduler_hold_answered (struct mt_scheduler *sched,
                                 const char *worker,
                                 const struct mt_hold_report *report,
                                 int64_t sent,
                                 int64_t now);
/* For START, STOP and PACE. */
void mt_scheduler_order_answered (struct mt_scheduler *sched,
                                  enum mt_order_kind kind,
                                  const char *worker,
                                  const char *name,
                                  unsigned run,
                                  enum mt_answer answer,
                                  int64_t clock_ms,
                                  int64_t now);
/* A worker has answered with a higher token than ours. */
bool mt_scheduler_is_fenced (const struct mt_scheduler *sched);

/* ---- durability ---- */

/* Places what can be placed and collects what has changed; returns the ids of the jobs to write
 * (owned by the caller, freed with g_ptr_array_unref), NULL where nothing has changed. Until
 * mt_scheduler_cycle_done no other cycle begins. Orders that the changes allow come after that. */
GPtrArray *mt_scheduler_cycle_begin (struct mt_scheduler *sched, int64_t now, int64_t wall);
void mt_scheduler_cycle_done (struct mt_scheduler *sched, int64_t now);
/* Whether a cycle would have anything to do. */
bool mt_scheduler_needs_cycle (struct mt_scheduler *sched, int64_t now);
/* The job's progress as it is to be stored; NULL where the job is gone. */
char *mt_scheduler_job_record (const struct mt_scheduler *sched, const char *id);
int64_t mt_scheduler_job_revision (const struct mt_scheduler *sched, const char *id);
void mt_scheduler_set_job_revision (struct mt_scheduler *sched, const char *id, int64_t revision);
/* A job whose records may be removed; NULL for none. It stays until mt_scheduler_remove_job. */
const char *mt_scheduler_expired_job (const struct mt_scheduler *sched, int64_t now);
void mt_scheduler_remove_job (struct mt_scheduler *sched, const char *id);

/* ---- what others decide from ---- */

struct mt_worker_view
{
  const char *id;
  unsigned tasks;
  unsigned long_running;
  unsigned drain_rounds;      /* its long-running tasks go in so many steps, one after the other */
  int64_t batch_remaining_ms; /* until the last of its other tasks is expected to have ended */
  bool cordoned;
  bool leaving;
  bool silent;
  struct mt_resources resources;
  struct mt_resources used;
};

/* In no order; returns how many were written. */
size_t mt_scheduler_workers (const struct mt_scheduler *sched,
                             int64_t now,
                             struct mt_worker_view *out,
                             size_t max);

struct mt_scheduler_load
{
  unsigned jobs;    /* not ended */
  unsigned waiting; /* tasks that could start now */
  unsigned urgent;  /* of these, tasks of jobs that can still be in time */
  unsigned running;
  int64_t demand_cpu;   /* processors that keep long-running tasks, and those jobs in time */
  int64_t arriving_cpu; /* what the jobs of the last moments will keep busy if they go on coming */
  int64_t capacity_cpu; /* of workers that take work */
  int64_t long_running_cpu; /* of these, in use by long-running tasks */
  int64_t used_cpu;
  int64_t
      urgent_used_cpu;  /* of that, by long-running tasks and by jobs that can still be in time */
  int64_t upcoming_cpu; /* what jobs that can still be in time will keep busy shortly, without new
                           ones */
  int64_t
      overdue_cpu; /* processors that would do what can't be in time any more within some seconds */
  unsigned unplaceable; /* long-running tasks for which no worker that takes work may do, whether
                         * they wait or their worker is to be emptied */
  unsigned workers;
  unsigned silent;
};

/* No job is open. */
bool mt_scheduler_is_idle (const struct mt_scheduler *sched);
void
mt_scheduler_load (const struct mt_scheduler *sched, int64_t now, struct mt_scheduler_load *load);

/* ---- what happened, for the log ---- */

/* name: an event's name; detail: "key=value ..." */
typedef void (*mt_scheduler_event_callback) (void *ctx, const char *name, const char *detail);
void mt_scheduler_set_event_callback (struct mt_scheduler *sched,
                                      mt_scheduler_event_callback told,
                                      void *ctx);

#endif
