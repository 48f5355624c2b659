/* The scheduler of one pool. It records which task runs where, places waiting tasks, rates
 * workers by their outcomes, and decides what must be durable before an order is sent. Does no I/O:
 * the owner passes in what it receives, stores what has changed and sends the orders. Not
 * thread-safe. Times are milliseconds of a monotonic clock that counts suspension, except those
 * named "wall" (Unix time in ms). Strings passed in are copied. */
#ifndef MEDLARTRACK_SCHEDULER_H
#define MEDLARTRACK_SCHEDULER_H

#include "medlartrack/job_spec.h"
#include "medlartrack/str.h"

#include <glib.h>
#include <stddef.h>

struct mt_scheduler;

/* How the workspaces share a pool that can't run all waiting tasks. */
struct mt_share_policy;

/* Returns the policy of that name, "none", "floor" or "deficit"; NULL if there is none. Any
 * thread. */
const struct mt_share_policy *mt_share_policy_find (struct mt_str name);

/* Longest lease of a worker's tasks that any leader asks for, in ms. It must be well above the
 * duration of a takeover: 1.5 s until a dead leader's lease expires, then less than 1 s until its
 * successor has renewed the lease of every worker. A successor counts with it for workers that it
 * does not reach, whichever version its predecessor had: a version may raise it only after all
 * daemons count with the longer lease. A worker that has restarted may hold a longer one, up to the
 * setting max_lease_ms; the records of its tasks tell so. */
#define MT_MAX_WORKER_LEASE_MS 4500
/* How long what other daemons have told of a store outage is believed. A leader that has lost its
 * own lease renews its workers' leases for that long, even if the store is back and has a
 * successor; the answers may have been under way for MT_EVIDENCE_TRANSIT_MS. */
#define MT_OUTAGE_EVIDENCE_MS  2000
#define MT_EVIDENCE_TRANSIT_MS 200
/* Time after a takeover for which leases that the predecessor asked for may last. */
#define MT_SUCCESSOR_WAIT_MS                                                                       \
  (MT_OUTAGE_EVIDENCE_MS + MT_EVIDENCE_TRANSIT_MS + MT_MAX_WORKER_LEASE_MS)

struct mt_scheduler_settings
{
  const char *name;      /* of the pool */
  int64_t token;         /* fencing token of the first orders; see mt_scheduler_raise_token */
  int64_t lease_ms;      /* of the lease that each hold grants; at most MT_MAX_WORKER_LEASE_MS */
  int64_t max_lease_ms;  /* longest lease that a worker grants, whatever is requested */
  double remote_factor;  /* run time on a worker outside the step's rack, relative to one inside */
  int64_t retention_ms;  /* shortest time for which a job's records are kept after its end */
  int64_t stop_grace_ms; /* longest time that a run goes on after it was ordered to stop */
  const struct mt_share_policy *share_policy; /* NULL: the default, "floor" */
  bool worker_speed;     /* workers are compared by their run times; see scheduler_speed.c */
  unsigned record_tasks; /* most tasks in one record; 0: MT_RECORD_TASKS */
};

/* With as many tasks, whose ids and checkpoints are the longest that are stored, a record stays
 * below 1 MB. */
#define MT_RECORD_TASKS 128U

struct mt_route_policy
{
  int priority;     /* 0 is placed first */
  int max_attempts; /* failed runs of one task after which its job has failed */
  double stretch;   /* the objective is this multiple of the run time of the longest chain ... */
  int64_t objective_ms; /* ... plus this */
  bool needs_tickets;   /* tasks only start on workers that have a ticket for their step */
  int64_t version;      /* of the configuration that it is from; 0: unknown */
};

/* ---- input from the owner ---- */

/* Returns a scheduler without jobs and workers; free it with mt_scheduler_destroy. */
struct mt_scheduler *mt_scheduler_create (const struct mt_scheduler_settings *settings);
void mt_scheduler_destroy (struct mt_scheduler *sched);

/* Sets the policy of a route, unless one from a later configuration is known. Jobs of which a task
 * has failed as often as it allows end. Until a route has a policy, its jobs rank last, a task that
 * has failed does not start again, and no job ends for its failures. max_attempts must be
 * positive. */
void mt_scheduler_set_route (struct mt_scheduler *sched,
                             const char *name,
                             const struct mt_route_policy *policy,
                             int64_t now);

/* Limits of one workspace in all pools together. */
struct mt_workspace_limits
{
  struct mt_resources quota; /* 0: no limit */
  int64_t weight;            /* of its share of a full pool; 0 counts as 1 */
  unsigned pools;            /* number of pools that share the quota */
};

/* Sets the limits of a workspace. */
void mt_scheduler_set_workspace (struct mt_scheduler *sched,
                                 const char *name,
                                 const struct mt_workspace_limits *limits);

/* Duration of a grant beyond an even share of the quota, counted from the last message. */
#define MT_GRANT_LEASE_MS 2000
/* This pool's share of a workspace's quota, granted by the fleet's leader. */
struct mt_grant
{
  const char *workspace;
  struct mt_resources resources;
};

/* What a workspace uses in all other pools. */
struct mt_use_elsewhere
{
  const char *workspace;
  struct mt_resources resources;
};

struct mt_grant_message
{
  int64_t token;                 /* fencing token of the granting leader; a higher one wins */
  uint64_t sequence;             /* number of the message; grows with each message of the leader */
  bool all;                      /* asks for a report on all accounts */
  const struct mt_grant *grants; /* changed grants only */
  size_t n_grants;
  const struct mt_use_elsewhere *uses; /* changed figures, and those due for renewal */
  size_t n_uses;
};

/* Applies the grants of a message. Returns false without any change if the message is not newer
 * than the last one. */
bool mt_scheduler_apply_grants (struct mt_scheduler *sched,
                                const struct mt_grant_message *message,
                                int64_t now);

/* A pool's usage of and demand for a workspace's quota. */
struct mt_account_view
{
  const char *workspace;
  struct mt_resources used;            /* running, ordered, or being stopped */
  struct mt_resources waiting;         /* needed by tasks that are ready to start */
  struct mt_resources largest_waiting; /* largest need of one such task */
  struct mt_resources granted;         /* by the last message that named the workspace */
  bool has_grant;                      /* a message has named the workspace */
};

/* Returns an upper bound of the number of accounts that mt_scheduler_accounts returns. */
size_t mt_scheduler_max_accounts (const struct mt_scheduler *sched);
/* Fills out with up to max accounts of workspaces that have a limit and returns their number.
 * Unless the last grant message asked for all accounts, those with a grant and without usage or
 * waiting tasks are left out. If any workspace has a weight, those without a limit are included
 * while they have usage or waiting tasks. The names are valid until the scheduler is destroyed. */
size_t
mt_scheduler_accounts (const struct mt_scheduler *sched, struct mt_account_view *out, size_t max);

/* Returns the share of the pool's capacity, 0 to 1, that the workspace would get if it had more
 * work than that; 1 unless a workspace has a weight and the policy shares by weight. Other
 * workspaces count with their use now and their waiting tasks as of the last placing. */
double
mt_scheduler_fair_share (const struct mt_scheduler *sched, const char *workspace, int64_t now);
/* Returns whether the workspace uses more of this pool than its fair share, which is smaller the
 * more it uses in other pools. */
bool
mt_scheduler_is_above_share (const struct mt_scheduler *sched, const char *workspace, int64_t now);

/* Adds a job. Takes ownership of spec. Returns false, and frees spec, if a job of that id is known.
 * wall: time from which the job's age since spec->accepted_ms is computed. */
bool mt_scheduler_submit (struct mt_scheduler *sched,
                          struct mt_job_spec *spec,
                          int64_t now,
                          int64_t wall);
/* Restores the durable progress of a submitted job from a text of mt_scheduler_job_record and its
 * revision in the store. The records of a job come in any order. Returns false if the job isn't
 * known or the record can't be read. What the record does not show may run or be done: none of the
 * job's tasks is started, and the job stays open until it is cancelled. */
bool mt_scheduler_restore (struct mt_scheduler *sched,
                           const char *name,
                           const char *record,
                           int64_t revision,
                           int64_t now);
/* To be called once all records are restored, before the first cycle. */
void mt_scheduler_end_restore (struct mt_scheduler *sched, int64_t now);
/* Ends a job as cancelled; the cancellation must be durable already. Returns false if the job isn't
 * known. */
bool mt_scheduler_cancel (struct mt_scheduler *sched, const char *id, int64_t now);
/* Returns whether the job is known: submitted and not yet removed. */
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

/* Names of the states, by enum mt_job_state. */
extern const char *const mt_job_state_names[];
/* Returns the state of that name; MT_JOB_UNKNOWN if there is none. */
enum mt_job_state mt_job_state_parse (struct mt_str name);
/* Returns whether a job in this state has ended: none of its tasks will start any more. */
bool mt_job_state_is_final (enum mt_job_state state);

/* Returns the job's workspace, "" for none; NULL if the job isn't known. */
const char *mt_scheduler_job_workspace (const struct mt_scheduler *sched, const char *id);
/* Returns the job's durable state; MT_JOB_UNKNOWN if the job isn't known. */
enum mt_job_state mt_scheduler_job_state (const struct mt_scheduler *sched, const char *id);
/* Returns the number of accepted jobs of the route of which no task has started. */
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
  bool leaving; /* the worker is about to shut down */
};

/* Adds a worker or updates it from its registry entry. A higher start time under the same id claims
 * a new incarnation: the worker is asked, and gets no new work meanwhile. If it confirms that, the
 * tasks of the previous one run again elsewhere. */
void mt_scheduler_update_worker (struct mt_scheduler *sched,
                                 const struct mt_worker_entry *entry,
                                 int64_t now);
/* To be called when the worker's registry entry is gone; its tasks may still run. */
void mt_scheduler_worker_unlisted (struct mt_scheduler *sched, const char *id, int64_t now);
/* To be called when an incarnation of the worker has provably ended: none of its tasks runs.
 * started_at_ms: which one; 0: the present one. proof: reason for the log. */
void mt_scheduler_worker_ended (struct mt_scheduler *sched,
                                const char *id,
                                int64_t started_at_ms,
                                int64_t now,
                                const char *proof);
/* Places no new work on the worker before `until`. With move_long_running, its long-running tasks
 * are moved off within the max_unavailable of their steps. */
void mt_scheduler_cordon (struct mt_scheduler *sched,
                          const char *id,
                          int64_t until,
                          bool move_long_running);

/* Announces until `until` that the worker will be drained later: other workers are preferred for
 * long-running tasks. */
void mt_scheduler_announce_drain (struct mt_scheduler *sched, const char *id, int64_t until);

/* Adds a ticket that lets the worker run the step before `until`; text is sent with the start.
 * step_name: task of the MT_ORDER_REQUEST_TICKETS. */
void mt_scheduler_add_ticket (struct mt_scheduler *sched,
                              const char *step_name,
                              const char *worker,
                              const char *text,
                              int64_t until);
/* To be called when an MT_ORDER_REQUEST_TICKETS was answered, after its tickets were added, or has
 * failed. */
void mt_scheduler_tickets_answered (struct mt_scheduler *sched,
                                    const char *step_name,
                                    int64_t now,
                                    bool ok);

/* Announces the capacity that the pool is about to have, in thousandths of a core; valid until
 * `until`. */
void mt_scheduler_expect_capacity (struct mt_scheduler *sched, int64_t cpu, int64_t until);

/* ---- wait estimate ---- */

struct mt_wait_estimate
{
  int64_t wait_ms; /* expected wait behind work with precedence */
  /* 0: the job can complete while its result is useful, or nothing indicates otherwise; else the
   * delay after which a new submission could. */
  int64_t retry_after_ms;
  /* The workspace's share of the pool's cores and its fair share, in thousandths, if a job is
   * refused that would not be if the workspace used less than its fair share; else 0. */
  unsigned share;
  unsigned fair;
};

/* Estimates the wait of a job of the route that is submitted now by the workspace ("" or NULL:
 * none) and whose longest chain takes chain_ms by the caller's estimate. */
struct mt_wait_estimate mt_scheduler_estimate_wait (struct mt_scheduler *sched,
                                                    const char *route,
                                                    int64_t chain_ms,
                                                    const char *workspace,
                                                    int64_t now);

/* ---- orders ---- */

/* Provides a higher fencing token. It must be lower than that of any later leader: the revision of
 * a write of this leader whose precondition is its leadership. A restarted worker gets no order
 * before there is a token above those of its former incarnation's orders: it knows nothing of them,
 * and would carry out late ones. */
void mt_scheduler_raise_token (struct mt_scheduler *sched, int64_t token);
/* Returns whether a worker waits for a higher token. */
bool mt_scheduler_needs_token (const struct mt_scheduler *sched);

enum mt_order_kind
{
  MT_ORDER_START,
  MT_ORDER_STOP,
  MT_ORDER_PACE,
  MT_ORDER_HOLD,
  MT_ORDER_REQUEST_TICKETS,
};

/* An order to send to a worker. Its strings belong to the scheduler and are valid until the next
 * call that changes the scheduler. */
struct mt_order
{
  enum mt_order_kind kind;
  const char *worker;
  int64_t worker_started_at; /* incarnation of the worker known as the order is sent; 0: unknown */
  int64_t token;             /* fencing token to send with it */
  const char *address;
  char task[80]; /* ID.OCCURRENCE.STEP.INDEX; of a ticket request: ID.OCCURRENCE.STEP */
  unsigned run;
  const char *payload;
  const char *checkpoint; /* NULL: none */
  const char *ticket;     /* NULL: none */
  int64_t lease_end_ms;   /* absolute, on the worker's clock; 0: no lease requested, or the worker's
                             clock is unknown */
  unsigned percent;       /* of a pace order: percent of full speed */
  int64_t acked_end;      /* of a hold: ends up to this sequence number are durable */
  int64_t wait_ms;        /* of a hold: longest wait at the worker for a run to end */
  bool is_probe; /* of a hold: asks which incarnation answers, beside another that may be waiting */
  int64_t link_delay_ms; /* delay in the owner's link before the order leaves */
  char **workers;        /* of a ticket request: NULL-terminated, owned by the order */
};

/* Takes the next order to be sent; clear it with mt_order_clear. Returns false if there is none
 * now. */
bool mt_scheduler_next_order (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* Like mt_scheduler_next_order, for holds only, which start and stop nothing. */
bool mt_scheduler_next_hold (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* Sets the delay of outgoing messages in the owner's link; to be called before orders are taken. */
void mt_scheduler_set_link_delay (struct mt_scheduler *sched, int64_t delay_ms, int64_t now);
/* Frees what the order owns. */
void mt_order_clear (struct mt_order *order);

enum mt_answer
{
  MT_ANSWER_OK,
  MT_ANSWER_FENCED,        /* the worker has seen a higher token: this leader has been replaced */
  MT_ANSWER_STALE_RUN,     /* the run number is not above that of a run that ended there */
  MT_ANSWER_LEASE_EXPIRED, /* the lease had expired on arrival */
  MT_ANSWER_NO_RESOURCES,
  MT_ANSWER_NO_TICKET,
  MT_ANSWER_UNHEALTHY,         /* the worker is unhealthy; the order had no effect */
  MT_ANSWER_OTHER_INCARNATION, /* another worker or incarnation answers at the address: the
                                  addressed one has ended */
  MT_ANSWER_MALFORMED,         /* the worker can't parse the order */
  MT_ANSWER_NONE,              /* no answer: the order may have been carried out, or may still be */
};

/* An order that was sent, as its answer refers to it. The strings are read during the call only. */
struct mt_sent_order
{
  enum mt_order_kind kind;
  const char *worker;
  int64_t worker_started_at; /* as in struct mt_order */
  int64_t token;             /* ... */
  const char *task;          /* not of a hold */
  unsigned run;              /* not of a hold */
  bool is_probe;             /* as in struct mt_order */
  int64_t sent_at;
};

/* A worker's answer to an order other than a hold. */
struct mt_order_report
{
  enum mt_answer answer;
  int64_t clock_ms;      /* reading of the worker's clock in ms; -1: not reported */
  int64_t started_at_ms; /* of the incarnation that answers; 0: not reported */
};

/* A run in a worker's listing. */
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

/* The end of a run, as its worker reports it until a hold's acked_end covers it. */
struct mt_end_row
{
  int64_t sequence; /* grows with each end on the worker */
  const char *task;
  unsigned run;
  enum mt_end_kind kind;
  const char *checkpoint;
};

/* A worker's answer to a hold. */
struct mt_hold_report
{
  enum mt_answer answer;
  int64_t clock_ms;      /* reading of the worker's clock in ms; -1: not reported */
  int64_t started_at_ms; /* as in struct mt_worker_entry; 0: not reported */
  const struct mt_run_row *running;
  size_t n_running;
  const struct mt_end_row *ended;
  size_t n_ended;
  /* All runs and all ends that are not acknowledged are listed. If not, what is absent may run or
   * have ended. */
  bool is_whole;
};

/* Handles the answer to a hold. The report may be freed afterwards. */
void mt_scheduler_hold_answered (struct mt_scheduler *sched,
                                 const struct mt_sent_order *order,
                                 const struct mt_hold_report *report,
                                 int64_t now);
/* Handles the answer to an MT_ORDER_START, MT_ORDER_STOP or MT_ORDER_PACE. */
void mt_scheduler_order_answered (struct mt_scheduler *sched,
                                  const struct mt_sent_order *order,
                                  const struct mt_order_report *report,
                                  int64_t now);
/* Returns whether a worker has answered that it has seen a higher token. The owner then has to give
 * up the leadership; no more orders are returned. */
bool mt_scheduler_is_fenced (const struct mt_scheduler *sched);

/* ---- durability ---- */

/* Begins a cycle: places waiting tasks and collects changed jobs. Returns the names of the records
 * to store, to be freed with g_ptr_array_unref; NULL if there are none. A job's record has its id
 * as name; a large one has parts beside it. Jobs of earlier cycles that are not stored yet are left
 * out. */
GPtrArray *mt_scheduler_cycle_begin (struct mt_scheduler *sched, int64_t now, int64_t wall);
/* To be called once these n records are stored as of their cycle or later, in any order: releases
 * the starts of the jobs of which all are stored, and the ends that led to their changes become
 * durable. Names of records that are not being written are ignored. */
void mt_scheduler_jobs_stored (struct mt_scheduler *sched,
                               const char *const *names,
                               size_t n,
                               int64_t now);
/* Returns whether a cycle would have anything to do now. */
bool mt_scheduler_needs_cycle (struct mt_scheduler *sched, int64_t now);
/* Returns the name of the record that has the task's row, and its offset among the record's tasks;
 * free it with g_free. NULL if the task isn't known. */
char *mt_scheduler_task_record (struct mt_scheduler *sched, const char *task, unsigned *offset);
/* Returns the text of a record, to be stored; free it with g_free. NULL if the job isn't known. */
char *mt_scheduler_job_record (const struct mt_scheduler *sched, const char *name);
/* The revision that a record has in the store, which the owner sets after each write; 0 before the
 * first write, or if the job isn't known. */
int64_t mt_scheduler_job_revision (const struct mt_scheduler *sched, const char *name);
void mt_scheduler_set_job_revision (struct mt_scheduler *sched, const char *name, int64_t revision);
/* Returns the names of at most max stored parts of the job's record, which have to be removed
 * before the record itself. Free with g_ptr_array_unref. */
GPtrArray *mt_scheduler_stored_parts (const struct mt_scheduler *sched, const char *id, size_t max);
/* Returns the id of an ended job whose records may be removed from the store; NULL if there is
 * none. The job stays known until mt_scheduler_remove_job, to be called after the removal. */
const char *mt_scheduler_expired_job (const struct mt_scheduler *sched, int64_t now);
void mt_scheduler_remove_job (struct mt_scheduler *sched, const char *id);

/* ---- state for other decisions ---- */

/* State of a worker. An id from mt_scheduler_workers is valid until the scheduler is destroyed. */
struct mt_worker_view
{
  const char *id;
  int64_t started_at_ms; /* as in struct mt_worker_entry */
  unsigned tasks;
  unsigned long_running;
  unsigned drain_rounds;      /* consecutive rounds needed to move its long-running tasks off */
  int64_t batch_remaining_ms; /* expected time until the last of its other tasks has ended */
  bool cordoned;
  bool leaving;
  bool silent;
  struct mt_resources resources;
  struct mt_resources used;
};

/* Returns an upper bound of the number of workers that mt_scheduler_workers returns. */
size_t mt_scheduler_max_workers (const struct mt_scheduler *sched);
/* Fills out with up to max workers, in no particular order, and returns their number. */
size_t mt_scheduler_workers (const struct mt_scheduler *sched,
                             int64_t now,
                             struct mt_worker_view *out,
                             size_t max);

/* Load of a pool. Processors are counted in thousandths of a core. */
struct mt_scheduler_load
{
  unsigned jobs;      /* jobs that have not ended */
  unsigned waiting;   /* tasks that could start now but lack resources */
  unsigned urgent;    /* ... of these, long-running ones and those of jobs that can still meet their
                         objective */
  unsigned running;   /* tasks assigned to a worker */
  int64_t demand_cpu; /* processors for long-running tasks, and to keep jobs within their objective
                         that can still meet it */
  int64_t arriving_cpu; /* processors that arriving jobs keep busy at the recent rate of arrival */
  int64_t capacity_cpu; /* processors of workers that accept work */
  int64_t long_running_cpu; /* ... used by long-running tasks */
  int64_t used_cpu;         /* ... in use */
  int64_t urgent_used_cpu;  /* ... used by long-running tasks and by jobs whose objective has not
                               passed */
  int64_t upcoming_cpu;     /* processors busy in about a second, without new jobs and without jobs
                               whose     objective has passed */
  int64_t overdue_cpu;  /* processors to complete within some seconds the work of jobs that can't
                           meet  their objective */
  unsigned unplaceable; /* long-running tasks, waiting or on a worker to be drained, that no worker
                           accepting work can run */
  unsigned workers;
  unsigned silent; /* workers that don't answer */
};

/* Returns whether all jobs have ended. */
bool mt_scheduler_is_idle (const struct mt_scheduler *sched);
/* Fills load with the present load of the pool. */
void
mt_scheduler_load (const struct mt_scheduler *sched, int64_t now, struct mt_scheduler_load *load);

/* ---- events for the log ---- */

/* name: event name; detail: "key=value ...". Both are valid only during the call. */
typedef void (*mt_scheduler_event_callback) (void *ctx, const char *name, const char *detail);
/* Sets the function that is called for each event, from within the scheduler's functions; NULL for
 * none. */
void mt_scheduler_set_event_callback (struct mt_scheduler *sched,
                                      mt_scheduler_event_callback callback,
                                      void *ctx);

#endif
