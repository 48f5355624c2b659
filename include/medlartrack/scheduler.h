/* The scheduler of one pool. It records which task runs where, places waiting tasks, rates
 * workers by their outcomes, and decides what must be durable before an order is sent. No I/O:
 * the owner passes in what it receives and carries out the orders it takes. Not thread-safe.
 * Times are milliseconds of a monotonic clock that counts suspension, except those named "wall"
 * (Unix time). */
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
  int64_t lease_ms;      /* lease that each hold grants to a worker's tasks */
  int64_t max_lease_ms;  /* longest lease that a worker accepts */
  double remote_factor;  /* multiple of the run time on a worker away from the data */
  int64_t retention_ms;  /* shortest time that a job's records are kept after its end */
  int64_t stop_grace_ms; /* how long a run may go on after it was told to stop */
};

struct mt_route_policy
{
  int priority; /* 0 is placed first */
  int max_attempts;
  double stretch;       /* the objective is this multiple of the longest chain ... */
  int64_t objective_ms; /* ... plus this */
};

/* ---- input from the owner ---- */

struct mt_scheduler *mt_scheduler_create (const struct mt_scheduler_settings *settings);
void mt_scheduler_destroy (struct mt_scheduler *sched);

void mt_scheduler_set_route (struct mt_scheduler *sched,
                             const char *name,
                             const struct mt_route_policy *policy);

/* Limits of one workspace in all pools together; this pool is one of `pools`. */
struct mt_workspace_limits
{
  struct mt_resources quota; /* 0: no limit */
  int64_t rate;              /* jobs per second; 0: no limit */
  unsigned pools;
};

void mt_scheduler_set_workspace (struct mt_scheduler *sched,
                                 const char *name,
                                 const struct mt_workspace_limits *limits);

/* This pool's shares of workspace quotas, granted by the fleet's leader. The part beyond an even
 * share is a lease of MT_GRANT_LEASE_MS from the last message. Returns false, and ignores the
 * message, if it is not newer than the last one. */
#define MT_GRANT_LEASE_MS 2000
struct mt_grant
{
  const char *workspace;
  struct mt_resources resources;
};

struct mt_grant_message
{
  int64_t token;                 /* of the granting leader; a higher token wins */
  uint64_t sequence;             /* of the leader's messages */
  bool all;                      /* requests a report on all accounts */
  const struct mt_grant *grants; /* changed grants only */
  size_t n_grants;
};

bool mt_scheduler_apply_grants (struct mt_scheduler *sched,
                                const struct mt_grant_message *message,
                                int64_t now);

/* A pool's usage of and demand for a workspace's quota. */
struct mt_account_view
{
  const char *workspace;
  struct mt_resources used;            /* running, ordered, or being stopped */
  struct mt_resources waiting;         /* needed by tasks that could start */
  struct mt_resources largest_waiting; /* largest need of one such task */
  struct mt_resources granted;         /* by the last message that named the workspace */
  bool has_grant;                      /* a message has named the workspace */
};

/* Fills `out` with the accounts of workspaces that have a limit. Unless the last grant message
 * asked for all, accounts with a grant and without usage or waiting tasks are left out. Returns the
 * number written. */
size_t
mt_scheduler_accounts (const struct mt_scheduler *sched, struct mt_account_view *out, size_t max);

/* Takes ownership of spec, even if the job is already known. Returns false if it is. */
bool mt_scheduler_submit (struct mt_scheduler *sched,
                          struct mt_job_spec *spec,
                          int64_t now,
                          int64_t wall);
/* Restores the durable progress of a submitted job from mt_scheduler_job_record's text and the
 * store's revision of it. Returns false if the record can't be read. The job then starts from the
 * beginning, which is safe only if none of its tasks can be running. */
bool mt_scheduler_restore (
    struct mt_scheduler *sched, const char *id, const char *record, int64_t revision, int64_t now);
/* The cancellation must be durable already. Returns false if the job isn't known. */
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
/* Returns MT_JOB_UNKNOWN if name is not the name of a state. */
enum mt_job_state mt_job_state_parse (struct mt_str name);
/* No task of the job runs or will run. */
bool mt_job_state_is_final (enum mt_job_state state);

/* The job's workspace, "" for none; NULL if the job isn't known. */
const char *mt_scheduler_job_workspace (const struct mt_scheduler *sched, const char *id);
/* The durable state. */
enum mt_job_state mt_scheduler_job_state (const struct mt_scheduler *sched, const char *id);
/* Accepted jobs of the route of which no task has started. */
unsigned mt_scheduler_pending_jobs (const struct mt_scheduler *sched, const char *name);

/* A worker's entry in the registry. */
struct mt_worker_entry
{
  const char *id;
  int64_t started_at_ms; /* identifies the incarnation together with the id; 0: unknown */
  const char *address;
  const char *zone;
  const char *const *labels; /* NULL-terminated */
  struct mt_resources resources;
  bool leaving;
};

void mt_scheduler_update_worker (struct mt_scheduler *sched,
                                 const struct mt_worker_entry *entry,
                                 int64_t now);
/* The worker's registry entry is gone; the worker may still run. */
void mt_scheduler_worker_unlisted (struct mt_scheduler *sched, const char *id, int64_t now);
/* The worker's current incarnation has provably ended: nothing of it runs. */
void mt_scheduler_worker_ended (struct mt_scheduler *sched,
                                const char *id,
                                int64_t now,
                                const char *proof);
/* Places no new work on the worker until `until`. With move_long_running, long-running tasks are
 * moved off it within their step's max_unavailable. */
void mt_scheduler_cordon (struct mt_scheduler *sched,
                          const char *id,
                          int64_t until,
                          bool move_long_running);

/* Announces, valid until `until`, that the worker will be drained later: long-running tasks are
 * placed elsewhere first. */
void mt_scheduler_announce_drain (struct mt_scheduler *sched, const char *id, int64_t until);

/* Tickets: on routes that require them, only workers with a ticket may run the step. */
void mt_scheduler_add_ticket (struct mt_scheduler *sched,
                              const char *step_name,
                              const char *worker,
                              const char *text,
                              int64_t until);
void mt_scheduler_tickets_answered (struct mt_scheduler *sched,
                                    const char *step_name,
                                    int64_t now,
                                    bool ok);
void mt_scheduler_require_tickets (struct mt_scheduler *sched, const char *name, bool required);

/* Capacity that the pool is about to have, in thousandths of a core; valid until `until`. */
void mt_scheduler_expect_capacity (struct mt_scheduler *sched, int64_t cpu, int64_t until);

/* ---- wait estimate ---- */

struct mt_wait_estimate
{
  int64_t wait_ms;        /* wait behind the work that goes first */
  int64_t retry_after_ms; /* 0: the job can complete while that is useful, or nothing indicates
                             otherwise; else it can't, but could if submitted this much later */
};

/* For a job of the route submitted now, whose longest chain is estimated at chain_ms. */
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

/* Borrows its strings from the scheduler; valid until the next call that changes the scheduler. */
struct mt_order
{
  enum mt_order_kind kind;
  const char *worker;
  const char *address;
  char task[80]; /* ID.OCCURRENCE.STEP.INDEX */
  unsigned run;
  const char *payload;
  const char *checkpoint; /* NULL: none */
  const char *ticket;     /* NULL: none */
  int64_t lease_end_ms;   /* absolute, on the worker's clock; 0: no lease requested, or the worker's
                             clock is unknown */
  unsigned percent;
  int64_t acked_end; /* ends up to this sequence number are durable */
  int64_t wait_ms;
  int64_t link_delay_ms; /* delay in the owner's link before the order leaves */
  char **workers;        /* of a ticket request: NULL-terminated, owned by the order */
};

/* Returns false if there is nothing to send now. */
bool mt_scheduler_next_order (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* As mt_scheduler_next_order, for holds only; these change nothing but lease ends. */
bool mt_scheduler_next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* Sets the delay of outgoing messages in the owner's link. To be called before orders are taken. */
void mt_scheduler_set_link_delay (struct mt_scheduler *sched, int64_t delay_ms, int64_t now);
void mt_order_clear (struct mt_order *order);

enum mt_answer
{
  MT_ANSWER_OK,
  MT_ANSWER_FENCED, /* the worker has seen a higher token: this scheduler is no longer the leader */
  MT_ANSWER_STALE_RUN,     /* the run number is not higher than that of a run ended there */
  MT_ANSWER_LEASE_EXPIRED, /* the lease had expired on arrival */
  MT_ANSWER_NO_RESOURCES,
  MT_ANSWER_NO_TICKET,
  MT_ANSWER_UNHEALTHY,         /* refused without effect */
  MT_ANSWER_OTHER_INCARNATION, /* another worker or incarnation answers at the address: the
                                  addressed one has ended */
  MT_ANSWER_MALFORMED,         /* the worker can't parse the order */
  MT_ANSWER_NONE,              /* no answer: the order may have been carried out, or may still be */
};

struct mt_run_row
{
  const char *task;
  unsigned run;
  const char *checkpoint;
  unsigned percent;
  int64_t gauge; /* serving task: tail latency in ms; any other: processors in use */
};

enum mt_end_kind
{
  MT_END_DONE,
  MT_END_FAILED,
  MT_END_STOPPED,
  MT_END_LEASE_EXPIRED,
  MT_END_GANG_BROKEN,     /* another member of the gang ended */
  MT_END_GANG_INCOMPLETE, /* the other members of the gang did not start */
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
  int64_t clock_ms;      /* the worker's clock; -1: not reported */
  int64_t started_at_ms; /* 0: not reported */
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
/* For MT_ORDER_START, MT_ORDER_STOP and MT_ORDER_PACE. */
void mt_scheduler_order_answered (struct mt_scheduler *sched,
                                  enum mt_order_kind kind,
                                  const char *worker,
                                  const char *name,
                                  unsigned run,
                                  enum mt_answer answer,
                                  int64_t clock_ms,
                                  int64_t now);
/* A worker has answered that it has seen a higher token than ours. */
bool mt_scheduler_is_fenced (const struct mt_scheduler *sched);

/* ---- durability ---- */

/* Begins a cycle: places waiting tasks and collects changed jobs. Returns the ids of the jobs to
 * store (caller frees with g_ptr_array_unref), or NULL if nothing has changed. No other cycle
 * begins until mt_scheduler_cycle_done, which releases the orders that depend on the changes. */
GPtrArray *mt_scheduler_cycle_begin (struct mt_scheduler *sched, int64_t now, int64_t wall);
void mt_scheduler_cycle_done (struct mt_scheduler *sched, int64_t now);
/* Whether a cycle would have anything to do. */
bool mt_scheduler_needs_cycle (struct mt_scheduler *sched, int64_t now);
/* The job's progress as text to be stored; NULL if the job isn't known. */
char *mt_scheduler_job_record (const struct mt_scheduler *sched, const char *id);
int64_t mt_scheduler_job_revision (const struct mt_scheduler *sched, const char *id);
void mt_scheduler_set_job_revision (struct mt_scheduler *sched, const char *id, int64_t revision);
/* A job whose records may be removed; NULL if none. It stays known until
 * mt_scheduler_remove_job. */
const char *mt_scheduler_expired_job (const struct mt_scheduler *sched, int64_t now);
void mt_scheduler_remove_job (struct mt_scheduler *sched, const char *id);

/* ---- state for other decisions ---- */

struct mt_worker_view
{
  const char *id;
  unsigned tasks;
  unsigned long_running;
  unsigned drain_rounds; /* rounds in which its long-running tasks can be moved off, one after the
                            other */
  int64_t batch_remaining_ms; /* until the last of its other tasks is expected to have ended */
  bool cordoned;
  bool leaving;
  bool silent;
  struct mt_resources resources;
  struct mt_resources used;
};

/* In no particular order. Returns the number written. */
size_t mt_scheduler_workers (const struct mt_scheduler *sched,
                             int64_t now,
                             struct mt_worker_view *out,
                             size_t max);

struct mt_scheduler_load
{
  unsigned jobs;    /* that have not ended */
  unsigned waiting; /* tasks that could start now but lack resources */
  unsigned urgent;  /* ... of these, long-running, or of jobs that can still meet their objective */
  unsigned running;
  int64_t demand_cpu;   /* processors to run long-running tasks and to keep those jobs within their
                           objective */
  int64_t arriving_cpu; /* processors that jobs will keep busy if they go on arriving as recently */
  int64_t capacity_cpu; /* processors of workers that accept work */
  int64_t long_running_cpu; /* ... used by long-running tasks */
  int64_t used_cpu;
  int64_t urgent_used_cpu; /* ... used by long-running tasks and by jobs whose objective has not
                              passed */
  int64_t upcoming_cpu; /* processors that jobs whose objective has not passed will soon keep busy,
                           without new jobs */
  int64_t overdue_cpu;  /* processors to complete the work past its objective within some seconds */
  unsigned unplaceable; /* long-running tasks that no worker accepting work can run: waiting, or on
                           a worker to be drained */
  unsigned workers;
  unsigned silent;
};

/* All jobs have ended. */
bool mt_scheduler_is_idle (const struct mt_scheduler *sched);
void
mt_scheduler_load (const struct mt_scheduler *sched, int64_t now, struct mt_scheduler_load *load);

/* ---- events for the log ---- */

/* name: event name; detail: "key=value ..." */
typedef void (*mt_scheduler_event_callback) (void *ctx, const char *name, const char *detail);
void mt_scheduler_set_event_callback (struct mt_scheduler *sched,
                                      mt_scheduler_event_callback callback,
                                      void *ctx);

#endif
