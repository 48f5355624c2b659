/* Structures and functions private to the scheduler's own files. Used from the owner's thread
 * only. */
#ifndef MT_SCHEDULER_INTERNAL_H
#define MT_SCHEDULER_INTERNAL_H

#include "medlartrack/scheduler.h"

enum mt_task_state
{
  MT_TASK_WAITING,
  MT_TASK_PLACED,  /* worker chosen, not yet durable */
  MT_TASK_ORDERED, /* durable; the start may be carried out at any moment */
  MT_TASK_RUNNING,
  MT_TASK_STOPPING, /* still occupies resources */
  MT_TASK_DONE,
};

extern const char *const mt_task_state_names[];

struct mt_occurrence;
struct mt_worker;

/* Groups of workers whose losses the pool's rate is taken from. */
enum mt_loss_group
{
  MT_LOSS_WITHOUT_SUSPECT, /* no suspect is isolated on it */
  MT_LOSS_WITHOUT_START,   /* no start was sent to it lately */
  MT_LOSS_GROUPS,
};

/* Losses of workers that count in the pool's rate, by group. */
struct mt_counted_losses
{
  uint8_t n[MT_LOSS_GROUPS];
  int64_t last_at;
};

/* Number of time constants over which the rate is taken. */
#define MT_LOSS_WINDOWS 2
#define MT_IDLE_SLOTS   10
/* Rate at which workers are lost by themselves; all sums decay. */
struct mt_loss_rate
{
  double losses[MT_LOSS_WINDOWS][MT_LOSS_GROUPS];
  /* Time of the workers in the group, in which their loss would have counted. */
  double worker_ms[MT_LOSS_WINDOWS][MT_LOSS_GROUPS];
  double
      idle_ms[MT_IDLE_SLOTS]; /* of idle workers, to be added to the time of those without start */
  unsigned idle_losses[MT_IDLE_SLOTS]; /* ... of these workers, to be added likewise */
  unsigned idle_slot;                  /* the present one */
  int64_t updated_at;
};

/* How much likelier a task's losses in a row are if it crashes its workers than by the pool's rate
 * of losses, as a decimal logarithm. */
struct mt_loss_evidence
{
  double total;
  double restored; /* part of the total that a previous leader recorded */
  /* Of the n other losses: sum of the logarithms of their density, in 1 / ms, if the task crashes
   * its workers. */
  double density;
  uint8_t n;
  struct mt_counted_losses counted; /* those of its losses that are in the pool's rate */
};

/* What the loss of a worker means for one of its tasks. */
struct mt_task_loss
{
  uint8_t losses; /* the task's counts with this loss */
  uint8_t crashes;
  bool suspect;
  bool gives_up; /* the task's job is to be given up */
  struct mt_loss_evidence evidence;
  int64_t settle_ms;
  int64_t observed_ms; /* how long the lost run is known to have run */
  uint8_t state;       /* of the task as it was lost */
};

struct mt_task
{
  struct mt_occurrence *occ;
  uint16_t step;
  uint16_t index;
  uint8_t state;
  uint16_t attempts;          /* failed runs; of a gang, in all members alike */
  uint16_t reported_attempts; /* ... of a gang's member: as of its last report of a failed run */
  uint8_t losses;             /* consecutive runs lost with their worker */
  uint8_t crashes;            /* ... of these, losses shortly after the run began */
  uint8_t start_retries;      /* times the start of this run was resent */
  uint8_t percent;            /* progress, as last reported */
  uint8_t checkpoint_percent; /* least progress of this run at its last checkpoint */
  uint8_t pace;               /* speed of a fill task, in percent of full speed */
  bool order_queued;          /* a start or stop is queued */
  bool order_in_flight;       /* a start or stop was sent and has no answer yet */
  bool unconfirmed;           /* the last start sent got no answer */
  bool stop_acked;            /* the worker has acknowledged the stop */
  bool done_elsewhere;        /* an earlier run completed the task; this run only has to end */
  bool inherited; /* ordered by the previous leader and not listed by its worker since */
  bool begun_under_predecessor; /* the previous leader recorded that the run had begun */
  bool suspect;                 /* its last run may have crashed its worker */
  bool unlocated; /* the worker has restarted, and the run may be in either incarnation */
  bool isolated;  /* suspect whose run has not settled; no other job's task starts on its worker */
  uint8_t superseded_runs; /* runs that it was taken from and that may go on; it waits for them */
  uint32_t run;
  uint32_t failed_run; /* of a gang's member: the last run whose failure it reported; 0: none */
  uint32_t listing;    /* number of the worker's listing that last contained the run */
  int64_t
      state_since;   /* when the task entered its state, or its order was last answered or resent */
  int64_t begun_at;  /* when the run was first known to have begun; 0: not yet */
  int64_t settle_ms; /* observed run time after which the run has settled, if above SETTLED_MS */
  int64_t acked_at;  /* when the worker last acknowledged an order for this run; 0: never */
  int64_t progress_at;         /* when percent last changed */
  int64_t not_before;          /* the task is not placed before this time */
  int64_t predecessor_stop_by; /* time by which the previous leader's stops have taken effect */
  int64_t unavailable_since;   /* of a long-running task: start of its unavailability; 0: at work */
  int64_t gauge;               /* as last reported; see struct mt_run_row */
  struct mt_loss_evidence evidence;
  int64_t placed_on;        /* incarnation of the worker known as the task was placed; 0: none */
  int64_t incarnation;      /* ... that is known to have the run; 0: not known */
  struct mt_task_loss loss; /* while unlocated: takes effect if the run was lost */
  struct mt_worker *worker;
  struct mt_worker *avoided; /* worker where the last run ended badly; it may be lost */
  char *checkpoint;
  GList link; /* in the worker's task queue */
};

/* Longest checkpoint that is stored. After a takeover a task with a longer one starts anew. */
#define MT_MAX_CHECKPOINT_BYTES 512U

/* A value in the store with the rows of consecutive tasks of an occurrence. */
struct mt_record_part
{
  int64_t revision; /* 0: never written */
  bool dirty;       /* to be written in the job's next cycle */
  bool in_cycle;    /* is being written */
};

/* One scheduled occurrence of a job. */
struct mt_occurrence
{
  struct mt_job *job;
  unsigned number; /* index among the job's occurrences */
  struct mt_task *tasks;
  unsigned n_tasks;
  unsigned n_done;
  struct mt_record_part *parts; /* by task / part_tasks; NULL: the job's record has none */
  unsigned n_parts;
  unsigned *step_first;    /* index of each step's first task */
  unsigned *step_waiting;  /* waiting tasks of each step */
  unsigned *step_unplaced; /* ... of these, tasks for which the last placing found no resources */
  unsigned *step_done;
  double *step_ms; /* longest successful run of each step; 0: none yet */
  int64_t due_at;  /* when it was scheduled to start */
  int64_t objective_at;
  int64_t shortage_since;   /* start of the present lack of resources for ready tasks; 0: none lacks
                               any */
  int64_t shortage_ms;      /* total duration of earlier shortages */
  int64_t share_wait_since; /* start of the present wait behind other workspaces' shares; 0: none */
  int64_t share_wait_ms;    /* total duration of earlier such waits */
  unsigned reruns;          /* starts of tasks that had run before */
  unsigned slow_starts;     /* tasks placed on workers known to be slow */
  const struct mt_worker *slow_worker; /* the last of these workers; NULL: none */
  bool has_suspects;                   /* one of its tasks is or was a suspect */
  bool ended;
  bool work_recorded; /* its work is included in the route's mean_work */
};

/* A workspace's usage and limits in this pool. */
struct mt_account
{
  char *name;
  struct mt_workspace_limits limits;
  struct mt_resources used;      /* by tasks assigned to a worker */
  struct mt_resources granted;   /* this pool's share of the quota */
  bool has_grant;                /* a grant message has set granted */
  struct mt_resources elsewhere; /* used in other pools, as of elsewhere_at */
  int64_t elsewhere_at;          /* arrival of that figure; 0: none */

  /* As of the last placing. Shares are fractions of the pool's capacity, from 0 to 1. */
  struct mt_resources waiting; /* needs of ready tasks before the placing */
  unsigned unplaced;           /* ready tasks that lacked resources after it */
  double fair;                 /* fair share, at most what it uses and waits for */
  double limit;                /* share up to which the policy places its tasks first */
  double window_use;           /* mean of its share in the last seconds, all pools */
  int64_t window_at;           /* when window_use was last calculated; 0: never */
  int64_t below_since;         /* since when it waits below its fair share; 0: it does not */
  int64_t logged_at;           /* of the last event SHARE_STATE; 0: none */
  bool logged_below;           /* that event showed it below its share */
  guint first_ready; /* its waiting steps in order of value, as indices; G_MAXUINT: none */
  guint last_ready;
  double timely_work;  /* as in struct mt_scheduler, of this workspace's jobs */
  double total_work;   /* ... */
  double running_work; /* ... */
};

struct mt_job
{
  struct mt_job_spec *spec;
  struct mt_route *route;
  struct mt_account *account;         /* NULL: no workspace */
  struct mt_occurrence **occurrences; /* an entry is NULL until its occurrence is due */
  unsigned n_occurrences;
  unsigned n_ended;
  enum mt_job_state state;
  enum mt_job_state durable_state; /* the last stored state, which callers are shown */
  enum mt_job_state cycle_state;   /* the state that is being written */
  bool begun;
  bool is_unreadable;  /* its record: what it does not show may run or be done */
  bool dirty;          /* to be written in the next cycle */
  bool in_dirty_list;  /* in the scheduler's dirty list */
  bool in_cycle;       /* its record is being written */
  bool left_out;       /* the last placing left it out because its record was being written */
  bool records_leases; /* a record of it names a worker's longest lease */
  unsigned part_tasks; /* most tasks in a part of its record */
  bool in_parts;       /* its tasks are in parts of their own, its record has only its state */
  bool head_dirty;     /* the record itself has to be written, not only parts */
  bool head_in_cycle;  /* ... and is being written */
  bool converts;       /* its stored record has the rows of tasks, which go into parts first */
  bool head_due;       /* its parts are stored; the record that still has rows is next */
  unsigned n_placed;   /* tasks that have a worker */
  unsigned records_in_cycle;        /* record and parts that are being written */
  GPtrArray *restored_parts;        /* struct mt_restored_part; NULL: none */
  enum mt_job_state restored_state; /* that its record says */
  bool has_rows;                    /* its stored record has the rows of tasks */
  bool restoring;   /* some of its records are restored, mt_scheduler_end_restore() is due */
  uint64_t version; /* number of changes so far */
  uint64_t writing_version; /* version that is being written */
  uint64_t stored_version;  /* version that is stored */
  int64_t ended_at;
  int64_t submitted_at;
  int64_t revision;
  GList link; /* in the scheduler's open or closed queue */
};

struct mt_route
{
  char *name;
  struct mt_route_policy policy; /* max_attempts 0: not known yet */
  unsigned pending;              /* jobs that have not begun */
  double mean_ms;                /* mean run time of completed tasks; 0: none yet */
  double estimate_ms;            /* mean of the callers' estimates for the same tasks */
  double mean_work;              /* mean work of an occurrence, in thousandths of a core * ms */
  double chain_ms;               /* mean estimated run time of its jobs' longest chains */
  unsigned index;                /* of the route among those of the scheduler */
  double arriving_cpu; /* rate of arriving work in thousandths of a core, as of arriving_at */
  int64_t arriving_at;
};

struct mt_worker
{
  char *id;
  int64_t started_at;            /* identifies the present incarnation; 0: unknown */
  int64_t former_started_at;     /* ... the one before; 0: none known */
  int64_t incarnation_since;     /* when the present incarnation was first heard of */
  bool entry_is_former;          /* the registry entry is of a former incarnation */
  struct mt_worker_entry *claim; /* entry that names a new incarnation, which has not answered; owns
                                    its strings; NULL: none */
  int64_t claimed_at;            /* when that entry was seen */
  int64_t refuted_started_at;    /* incarnation of an entry that the worker's answers refuted */
  int64_t clock_restarted_at;    /* when an answer's clock was seen to have started anew, while no
                                    answer has named the incarnation since; 0: not */
  bool is_unsure;                /* is in the scheduler's queue of such workers */
  bool probe_in_flight;
  int64_t next_probe_at;
  int64_t moved_at;  /* when its address changed within the present incarnation; 0: never */
  int64_t token;     /* fencing token of its orders; 0: none was sent */
  bool token_in_use; /* an order other than a probe was sent with it */
  bool awaits_token; /* its orders wait for a higher token than that of its last ones */
  char *address;
  const char *zone; /* interned; NULL: unknown */
  char **labels;
  struct mt_resources resources;
  struct mt_resources used;
  GQueue tasks;

  bool listed;
  bool leaving;
  bool ended;
  bool confirmed; /* has answered a hold that carried its present token */
  bool hold_in_flight;
  uint32_t listing; /* number of its last listing of runs */
  int64_t listed_since;
  int64_t leaving_since;
  int64_t hold_sent_at;
  int64_t next_hold_at;
  int64_t answered_at;            /* time of the last answer; 0: none */
  int64_t start_sent_at;          /* when the last start was sent to it; 0: never */
  int64_t start_before_answer_at; /* ... as of its last answer */
  int64_t listing_at;             /* time of its last listing of runs; 0: none */
  int64_t listing_requested_at;   /* when that listing was requested */
  int64_t listed_before_at;       /* ... and of the listing before; 0: none */
  int64_t silent_since;           /* since when the worker has not answered; 0: it answers */
  int64_t fell_silent_at;         /* when it last became silent; 0: never */
  bool was_isolating;             /* a suspect was isolated on it at fell_silent_at */
  bool loss_counted;              /* the loss of the present incarnation counts in the loss rate */
  int64_t clock_ms;               /* last reading of the worker's clock ... */
  int64_t clock_at;               /* ... and our clock at that reading; 0: none */
  /* Times on our clock by which leases granted to it have expired: */
  int64_t lease_end;       /* all of them */
  int64_t asked_lease_end; /* those that are as long as asked for */
  /* ... and those that it may have granted for an order dated by another incarnation's clock; 0:
   * none */
  int64_t longest_lease_end;
  bool records_longest_lease;       /* records of its tasks' jobs may name it */
  int64_t lease_end_before_claim;   /* lease_end without the claim ... */
  int64_t longest_end_before_claim; /* ... and longest_lease_end */
  const char *lease_basis;          /* how lease_end was counted, for the log */
  int64_t unproven_at; /* when an order was last sent that an incarnation not heard of may have
                          carried out; 0: the present one has answered a later order */
  int64_t proven_at;   /* when the last order was sent that the present one has answered; 0: none */
  int64_t renewed_at;  /* when the last lease was sent whose order it has answered; 0: none */
  bool hold_renews;    /* the hold in flight, or the last one, grants a lease */
  int64_t cordon_until;
  int64_t drain_announced_until; /* when the announcement of a later drain expires */
  bool move_long_running;
  int64_t long_running_only_until; /* until then only long-running tasks are placed on it */

  int64_t applied_end; /* sequence number of the last end of a run that was applied */
  int64_t durable_end; /* highest end whose effects, and those of all earlier ones, are durable */
  GQueue pending_ends; /* struct mt_pending_end, applied and not durable yet, by sequence */

  double failures; /* recent failures, decayed */
  double successes;
  double slowness;      /* smoothed ratio of actual to expected run time */
  GPtrArray *speeds;    /* struct mt_worker_speed by index of the route; NULL: none yet */
  double lost_capacity; /* share of its processors that it lacks for its speed, 0 to 1 */
  int64_t outcome_at;
  int64_t avoid_until;
  unsigned avoid_count;
  unsigned orphaned_runs; /* orphaned runs in its last listing; not counted in used */
  GPtrArray *superseded;  /* struct mt_superseded_run, of its listings; NULL: none yet */
  unsigned lost_holds;    /* consecutive holds without an answer */
  bool answer_lost;       /* an order or hold got no answer since the last listing */
  bool is_fresh;          /* its present incarnation began under this leader, and is unconfirmed */
  unsigned unlocated_tasks;
  unsigned isolated_tasks;
  const struct mt_job *isolated_job; /* job of all isolated tasks on the worker */
  unsigned orders_in_flight;
  int64_t paced_at; /* last change of its fill tasks' pace; 0: none since a task left it */
  const struct mt_account *reserved_for; /* places no new tasks of others; NULL: not reserved */
};

/* What the advice service has answered for a step. */
struct mt_step_tickets
{
  char *step_name;
  const struct mt_job *job;
  const struct mt_step *step;
  bool queued; /* in the scheduler's ticket_requests */
  bool in_flight;
  int64_t retry_at;    /* earliest time of the next request */
  guint next_worker;   /* index where the next request begins to name workers */
  GArray *named;       /* workers named in the last request, with their incarnations */
  GHashTable *known;   /* set of workers that the service has answered for */
  GHashTable *tickets; /* worker to struct mt_ticket; those that may run the step */
  GList link;          /* in ticket_requests */
};

struct mt_ticket
{
  char *text;
  int64_t until; /* end of its validity */
};

/* An end whose effects are durable once the job is stored with this version or a later one. */
struct mt_pending_end
{
  int64_t sequence;
  const struct mt_job *job; /* NULL: no job depends on the end */
  uint64_t version;
};

/* A run that a worker lists and that belongs to no job. */
struct mt_orphaned_run
{
  struct mt_worker *worker;
  char *task;
  unsigned run;
};

/* The known circumstances of a worker's loss. */
struct mt_crash
{
  bool incarnation_ended; /* the worker crashed; otherwise its lease expired and it may run on */
  bool announced;         /* it announced that it would leave and then answered for a while */
  int64_t at;
  bool counts[MT_LOSS_GROUPS];   /* it counts in the pool's rate */
  bool with_others;              /* another worker became silent at about the same time */
  bool in_instability;           /* many others did: a rack, a link, workers that keep restarting */
  const struct mt_job *sole_job; /* job of all unsettled runs; NULL: no such run, or several jobs */
  bool attributed;               /* sole_job was isolated on the worker */
};

struct mt_scheduler
{
  struct mt_scheduler_settings settings;
  int64_t token;            /* highest fencing token that may be used */
  unsigned awaiting_token;  /* workers that wait for a higher one */
  GHashTable *jobs;         /* id to struct mt_job */
  GHashTable *routes;       /* name to struct mt_route */
  GHashTable *workers;      /* id to struct mt_worker */
  GHashTable *step_tickets; /* step name to struct mt_step_tickets */
  GQueue ticket_requests;   /* steps that need tickets, in the order in which they came to */
  unsigned ticket_requests_in_flight;
  GHashTable *accounts;      /* workspace to struct mt_account */
  struct mt_account unowned; /* tasks without a workspace share as one workspace of weight 1 */
  unsigned n_weighted;       /* accounts with a weight; 0: workspaces do not share by weight */
  struct mt_resources share_capacity;    /* of the pool, as of the last placing */
  const struct mt_account *reserved_for; /* whose task some workers are reserved for; NULL: none */
  int64_t reserved_until;
  int64_t grants_token; /* leader token of the last grant message ... */
  uint64_t grants_sequence;
  bool grants_all;          /* the last grant message asked for all accounts */
  int64_t grants_until;     /* when the last message's grants expire */
  unsigned tiny_tasks;      /* placed tasks for which mt_task_is_tiny() is true */
  int64_t first_placed_at;  /* time of the first placing; 0: none yet */
  GQueue open;              /* jobs that have not ended, in order of submission */
  GQueue closed;            /* ended jobs, in order of their end */
  GPtrArray *dirty;         /* jobs to be written; entries whose dirty flag is clear are skipped */
  GPtrArray *owned_workers; /* every worker ever known; freed with the scheduler */
  GQueue starts;            /* tasks whose start is queued */
  GQueue stops;             /* tasks whose stop is queued */
  GQueue pace_changes;
  GQueue unsure;        /* workers to be asked for their incarnation, and some that no longer are */
  GQueue orphaned_runs; /* orphaned runs to be stopped */
  int64_t long_running_only_until; /* until then a worker takes only long-running tasks */
  bool changed;                    /* a cycle may have something to place or write */
  int64_t place_at;     /* next time at which a waiting task may become placeable; 0: none */
  int64_t due_check_at; /* when due occurrences are next looked for; 0: none is scheduled */
  bool fenced;
  int64_t last_placed_at;
  struct mt_loss_rate loss_rate;
  int64_t last_check_at;
  int64_t cycle_at;         /* when the last cycle began */
  int64_t slow_move_at;     /* when a task was last moved off a slow worker */
  unsigned slow_scans_left; /* scans for such moves in the present check */
  int64_t speeds_at;        /* last update of the workers' speeds */
  int64_t link_delay_ms;    /* delay of outgoing messages in the owner's link */
  int64_t link_late_at;     /* when link_delay_ms was last too long for timely answers; 0: never */
  int64_t link_full_at;     /* when starts last waited for a full link; 0: never */
  int64_t order_lost_at; /* when an order to a worker that answers others was last lost; 0: never */
  int64_t expected_cpu;  /* announced, in thousandths of a core; valid until expected_until */
  int64_t expected_until;
  int64_t estimated_at; /* when the following fields and the accounts' work were calculated */
  double timely_work;   /* work of jobs that can meet their objective; thousandths of a core * ms */
  double total_work;    /* work of all jobs; thousandths of a core * ms */
  double running_work;  /* remaining work of tasks that have a worker; thousandths of a core * ms */
  int64_t pool_cpu;     /* all processors, in thousandths of a core */
  double batch_cpu;     /* for all but long-running tasks; thousandths of a core; 0: unknown */
  mt_scheduler_event_callback on_event;
  void *event_ctx;
};

/* A start that is still unconfirmed this long after its last retry is stopped, so that a run that
 * it may have begun ends. */
#define MT_UNCONFIRMED_START_MS 350
/* Longest time that a hold waits at the worker for a run to end. Leases are renewed at least this
 * often. */
#define MT_HOLD_WAIT_MS 1000
/* A worker that has not answered for this long takes no new work. */
#define MT_SILENT_MS 700
/* How long a suspect waits for a worker without unsettled runs of other jobs. */
#define MT_ISOLATION_WAIT_MS 1000
/* Longest time after which an order without an answer may still be carried out. */
#define MT_LATE_ORDER_MS 12000
/* A stop without an answer, or without effect, is resent after this time. A worker needs 200 ms to
 * stop a run. */
#define MT_STOP_RETRY_MS 300
/* Longest time until the end of a run shows in the worker's listing. */
#define MT_MAX_END_LISTING_MS 100
/* A worker whose slowness is above the mean by this factor is avoided. */
#define MT_SLOW_FACTOR 1.4
/* Steps considered when chain lengths are computed. Dependencies on later steps are ignored. */
#define MT_MAX_CHAIN_STEPS 64
/* How much slower than ours a worker's clock may run, in thousandths. */
#define MT_CLOCK_DRIFT_PER_MILLE 20

void mt_scheduler_log_event (struct mt_scheduler *sched, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Logs an event of the task's current or last run on the worker; its ids are put before the
 * formatted text. */
void mt_task_log_event (struct mt_scheduler *sched,
                        const struct mt_task *task,
                        const struct mt_worker *w,
                        const char *name,
                        const char *format,
                        ...) G_GNUC_PRINTF (5, 6);

/* scheduler.c */
/* Returns whether the route's policy is known. */
bool mt_route_has_policy (const struct mt_route *route);
/* Returns whether the task has failed as often as its route's policy allows. */
bool mt_task_is_out_of_attempts (const struct mt_task *task);
/* Applies the route's present policy to the job, which ends if a task is out of attempts. */
void mt_job_apply_policy (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
void mt_job_mark_dirty (struct mt_scheduler *sched, struct mt_job *job);
/* Returns whether the task needs next to nothing and may wait for others to end. */
bool mt_task_is_tiny (const struct mt_task *task);
/* Has the row of a task stored, and those of its gang. */
void mt_task_mark_dirty (struct mt_scheduler *sched, struct mt_task *task);
/* Records that a task of the job has started: the job no longer counts as pending. */
void mt_job_mark_begun (struct mt_job *job);
void mt_job_complete_if_done (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
void
mt_job_end (struct mt_scheduler *sched, struct mt_job *job, enum mt_job_state state, int64_t now);
void mt_job_stop_tasks (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
struct mt_occurrence *mt_job_get_occurrence (struct mt_job *job, unsigned number);
void mt_scheduler_open_due_occurrences (struct mt_scheduler *sched, int64_t now, int64_t wall);

/* scheduler_tasks.c: all changes of a task's state to waiting, placed, stopping or done */
const struct mt_step *mt_task_step (const struct mt_task *task);
/* Returns the n tasks that start and end together: the members of the task's gang, or it alone. */
struct mt_task *mt_task_get_members (const struct mt_task *task, unsigned *n);
struct mt_task *mt_scheduler_find_task (struct mt_scheduler *sched, const char *name);
void mt_task_name (const struct mt_task *task, char *out, size_t size);
/* ID.OCCURRENCE.STEP, as used in ticket requests. */
void mt_task_step_name (const struct mt_task *task, char *out, size_t size);
void
mt_task_place (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now);
void mt_task_set_waiting (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
void mt_task_finish (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
void mt_task_stop (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
/* Returns whether the checkpoint is a new one. */
bool mt_task_set_checkpoint (struct mt_task *task, const char *checkpoint);
void mt_task_dequeue (struct mt_scheduler *sched, struct mt_task *task);

/* wait estimate */
/* A workspace's share of the pool, as mt_scheduler_fair_share and mt_scheduler_is_above_share
 * return it. */
struct mt_share_view
{
  double fair;
  bool is_above;
};

/* mt_scheduler_estimate_wait with a given share of the workspace. */
struct mt_wait_estimate mt_scheduler_estimate_wait_by_share (struct mt_scheduler *sched,
                                                             const char *route,
                                                             int64_t chain_ms,
                                                             const char *workspace,
                                                             const struct mt_share_view *share,
                                                             int64_t now);

/* scheduler_accounts.c */
/* Returns the workspace's account, created if needed; NULL for no workspace (NULL or ""). */
struct mt_account *mt_scheduler_get_account (struct mt_scheduler *sched, const char *workspace);
void mt_account_free (void *data);
/* Adds the resources of one task of the step to the usage; sign -1 subtracts them. */
void mt_account_add_usage (struct mt_account *account, const struct mt_step *step, int sign);
/* Returns the most of the resource that the account may use in this pool now; INT64_MAX without a
 * quota. */
int64_t mt_account_limit (const struct mt_scheduler *sched,
                          const struct mt_account *account,
                          unsigned kind,
                          int64_t now);
/* Returns whether the quota allows one more task of the step in this pool. */
bool mt_account_allows (const struct mt_scheduler *sched,
                        const struct mt_account *account,
                        const struct mt_step *step,
                        int64_t now);

/* scheduler_shares.c */
#define MT_DEFAULT_SHARE_POLICY "floor"
struct mt_share_policy
{
  const char *name;
  const char *description;
  /* Sets limit of all accounts from their use and the needs of their waiting tasks; NULL: all tasks
   * are placed in order of value alone. */
  void (*set_limits) (struct mt_scheduler *sched, int64_t now);
  /* Returns the order of two workspaces whose tasks are placed one by one. */
  int (*compare) (const struct mt_account *a, const struct mt_account *b);
  /* All tasks below the limit are placed workspace by workspace; false: in order of value. */
  bool by_workspace;
};

/* Returns the account that the job's tasks count against, the unowned one without a workspace. */
struct mt_account *mt_job_account (struct mt_scheduler *sched, const struct mt_job *job);
/* Returns whether the policy changes the order of value at all. */
bool mt_shares_are_active (const struct mt_scheduler *sched);
/* Begins a placing: forgets the waiting tasks of the last one. */
void mt_shares_begin (struct mt_scheduler *sched, int64_t now);
void mt_shares_add_waiting (struct mt_account *account, const struct mt_step *step, unsigned n);
/* Sets the fair shares and the limits, once all waiting tasks were added. */
void mt_shares_set_limits (struct mt_scheduler *sched, int64_t now);
/* Returns the accounts that use or wait for something, in the policy's order; free with
 * g_ptr_array_unref. */
GPtrArray *mt_shares_order (struct mt_scheduler *sched);
/* Returns whether the account is below its limit, and stays within it with `n` more tasks of the
 * step; step NULL: whether it is below. */
bool mt_account_is_within_limit (const struct mt_scheduler *sched,
                                 const struct mt_account *account,
                                 const struct mt_step *step,
                                 unsigned n);
/* Ends a placing, with each account's unplaced set: logs which workspaces wait for their share. */
void mt_shares_end (struct mt_scheduler *sched, int64_t now);

/* scheduler_arrivals.c */
/* Counts the work of a job submitted now. */
void mt_route_record_arrival (const struct mt_job *job, int64_t now);
/* Returns the recent rate of arriving work in thousandths of a core. */
double mt_scheduler_arriving_cpu (const struct mt_scheduler *sched, int64_t now);

/* scheduler_workers.c */
/* Applies an entry of the present incarnation. */
void mt_worker_apply_entry (struct mt_scheduler *sched,
                            struct mt_worker *w,
                            const struct mt_worker_entry *entry,
                            int64_t now);
/* Returns the worker, created if needed. */
struct mt_worker *mt_scheduler_get_worker (struct mt_scheduler *sched, const char *id);
/* The worker's present incarnation has ended; as mt_scheduler_worker_ended. */
void
mt_worker_end (struct mt_scheduler *sched, struct mt_worker *w, int64_t now, const char *proof);
bool mt_worker_accepts_work (const struct mt_worker *w, int64_t now);
/* Returns whether the worker's tasks use more resources than it has, as after it has shrunk. */
bool mt_worker_is_overcommitted (const struct mt_worker *w);
bool mt_worker_fits (const struct mt_worker *w, const struct mt_step *step);
/* Returns whether the worker has the label; any worker has NULL. */
bool mt_worker_has_label (const struct mt_worker *w, const char *label);
unsigned
mt_worker_tasks_of_step (const struct mt_worker *w, const struct mt_occurrence *occ, unsigned step);
/* Returns whether resources, label and max_per_worker allow the task to run on the worker. */
bool mt_worker_can_run (const struct mt_worker *w, const struct mt_task *task);
/* Returns whether another worker that accepts work can run the task. */
bool mt_task_can_run_elsewhere (const struct mt_scheduler *sched,
                                const struct mt_task *task,
                                int64_t now);
/* Returns the worker's failures, each of which counts half after some seconds. */
double mt_worker_recent_failures (const struct mt_worker *w, int64_t now);
void mt_worker_record_outcome (struct mt_scheduler *sched,
                               struct mt_worker *w,
                               bool succeeded,
                               int64_t now);
/* Sets tasks of the worker waiting and gives up the jobs that the loss is attributed to. Requires
 * that none of the tasks can run there any more. */
void mt_worker_release (struct mt_scheduler *sched,
                        struct mt_worker *w,
                        const GPtrArray *tasks,
                        const struct mt_crash *crash,
                        int64_t now,
                        const char *why);
/* Does this with all tasks of the worker: its incarnation has ended, or its lease has expired. */
void mt_worker_release_tasks (struct mt_scheduler *sched,
                              struct mt_worker *w,
                              bool incarnation_ended,
                              int64_t now,
                              const char *why);
/* Returns whether the clock reading in the answer to an order can be of the known incarnation: the
 * clock starts anew with each. */
bool mt_worker_clock_is_continued (const struct mt_worker *w, int64_t clock_ms, int64_t sent_at);
void mt_worker_update_clock (struct mt_worker *w, int64_t clock_ms, int64_t now);
int64_t mt_worker_lease_end (const struct mt_worker *w, int64_t now, int64_t lease_ms);
/* basis: a string constant that tells in the log how the lease was counted. */
void mt_worker_record_lease (struct mt_worker *w, int64_t lease_ms, const char *basis, int64_t now);
/* Records an order that is sent to a worker that has not answered lately: it may have restarted
 * since, and hold the longest lease that it grants. */
void mt_worker_record_unproven_lease (const struct mt_scheduler *sched,
                                      struct mt_worker *w,
                                      int64_t now);
/* The known incarnation has answered an order sent at sent_at: it had carried out those before. */
void mt_worker_prove_leases (struct mt_worker *w, int64_t sent_at);
/* All leases on the worker are over, or none is known. */
void mt_worker_forget_leases (struct mt_worker *w);
/* Records that the worker may hold the longest lease that it grants to any order, beginning up to
 * wait_ms from now: the order may have been dated by another incarnation's clock. */
void mt_worker_record_longest_lease (const struct mt_scheduler *sched,
                                     struct mt_worker *w,
                                     int64_t wait_ms,
                                     const char *basis,
                                     int64_t now);
/* Records it as a former leader has: it lasts for lasts_ms at most. */
void mt_worker_restore_longest_lease (struct mt_worker *w, int64_t lasts_ms, int64_t now);
/* Returns how long from now on the worker may hold its longest lease, in ms; 0 if that is within
 * what a successor awaits anyway. */
int64_t mt_worker_longest_lease_ms (const struct mt_worker *w, int64_t now);
/* Stores the jobs of the worker's tasks, so that a successor knows of its longest lease. */
void mt_worker_store_longest_lease (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);
/* To be called at intervals: forgets a longest lease that is over. */
void mt_worker_expire_longest_lease (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);
/* Counts with the leases again that the worker may hold if its claim is wrong. */
void mt_worker_restore_leases_before_claim (struct mt_scheduler *sched,
                                            struct mt_worker *w,
                                            int64_t now);

/* scheduler_superseded.c */
/* Notes a run in the worker's present listing that its task has been taken from. */
void mt_worker_note_superseded (struct mt_scheduler *sched,
                                struct mt_worker *w,
                                struct mt_task *task,
                                const struct mt_run_row *row,
                                int64_t now);
/* The worker has listed the end of the run, if it is such a one. */
void mt_worker_end_superseded (struct mt_scheduler *sched,
                               struct mt_worker *w,
                               const char *name,
                               unsigned run);
/* The worker's present listing, requested at `sent`, is whole: the runs that it lacks have ended.
 */
void
mt_worker_end_unlisted_superseded (struct mt_scheduler *sched, struct mt_worker *w, int64_t sent);
/* All of them have ended, with the worker's incarnation or with its lease. */
void mt_worker_forget_superseded (struct mt_scheduler *sched, struct mt_worker *w);
/* Returns the worker where a superseded run of the task may go on longest; NULL: there is none. */
struct mt_worker *mt_task_superseded_on (const struct mt_scheduler *sched,
                                         const struct mt_task *task);

/* scheduler_incarnations.c */
/* Takes note of the incarnation that a report names; 0: none. Returns false if it is a former one:
 * the report says nothing about the present one. requested_at: when the report was requested; 0 for
 * a registry entry, which may be older than any answer. */
bool mt_worker_notice_incarnation (struct mt_scheduler *sched,
                                   struct mt_worker *w,
                                   int64_t started_at,
                                   int64_t requested_at,
                                   int64_t now);
/* Returns whether the order was sent to the present incarnation. */
bool mt_worker_is_addressed (const struct mt_worker *w, const struct mt_sent_order *order);
/* Takes note of an entry that names a new incarnation. */
void mt_worker_set_claim (struct mt_scheduler *sched,
                          struct mt_worker *w,
                          const struct mt_worker_entry *entry,
                          int64_t now);
void mt_worker_clear_claim (struct mt_worker *w);
/* Takes note that an answer to an order, which does not name its incarnation, was given by another
 * than the known one. */
void mt_worker_suspect_restart (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);
/* Returns whether another incarnation than the known one may answer: by its entry, or its clock. */
bool mt_worker_may_have_restarted (const struct mt_worker *w);
/* Returns whether the entry is of an incarnation that has neither answered nor been refuted. */
bool mt_worker_is_claimed_by (const struct mt_worker *w, const struct mt_worker_entry *entry);
/* Sets the first known incarnation. */
void mt_worker_set_incarnation (struct mt_worker *w, int64_t started_at, int64_t now);
/* Resets the worker for a new incarnation. Tasks that the former one is known to have run are lost;
 * those that may run in the new one stay unlocated until it lists them or not. */
void mt_worker_begin_incarnation (struct mt_scheduler *sched,
                                  struct mt_worker *w,
                                  int64_t started_at,
                                  int64_t now);
/* Returns whether the start may have been sent. */
bool mt_task_may_have_begun (const struct mt_task *task);
/* Makes the task unlocated: its run may be in the worker's present or in a former incarnation. */
void mt_task_begin_location (struct mt_scheduler *sched,
                             struct mt_task *task,
                             const struct mt_task_loss *loss,
                             int64_t now);
/* The incarnation is known to have the task's run. */
void mt_task_locate (struct mt_task *task, int64_t incarnation);
/* To be called when the task leaves its worker. */
void mt_task_end_location (struct mt_task *task);
/* The unlocated task's run was lost with a former incarnation. */
void mt_task_lose_unlocated (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
/* Returns the fencing token of an order to be sent to the worker now. */
int64_t mt_worker_use_token (struct mt_scheduler *sched, struct mt_worker *w, bool is_probe);
/* Returns whether the order's token is the present one: the incarnation that answers it carries out
 * no earlier order any more. */
bool mt_worker_is_fencing (const struct mt_worker *w, const struct mt_sent_order *order);

/* scheduler_tickets.c */
void mt_step_tickets_free (void *data);
/* Returns the tickets of the task's step; NULL if none were requested. */
struct mt_step_tickets *mt_task_step_tickets (const struct mt_scheduler *sched,
                                              const struct mt_task *task);
/* Returns the text of the worker's ticket, valid or not; NULL if it has none. */
const char *mt_step_tickets_text (const struct mt_step_tickets *tickets, const struct mt_worker *w);
/* Returns whether the worker has a ticket that stays valid long enough for a start to arrive.
 * tickets: NULL for none. */
bool mt_step_tickets_has_valid (const struct mt_step_tickets *tickets,
                                const struct mt_worker *w,
                                int64_t now);
/* Requests tickets for the waiting task's step, unless all workers are known. */
void
mt_scheduler_request_tickets (struct mt_scheduler *sched, const struct mt_task *task, int64_t now);
bool
mt_scheduler_next_ticket_request (struct mt_scheduler *sched, int64_t now, struct mt_order *order);
/* Forgets what is known of the worker, whose ticket was refused. tickets: NULL for none. */
void mt_step_tickets_forget (struct mt_step_tickets *tickets, const struct mt_worker *w);
/* Forgets what all steps know of the worker, which has restarted. */
void mt_worker_forget_tickets (struct mt_scheduler *sched, const struct mt_worker *w);
/* Forgets the tickets of the job's steps, which start nothing any more. */
void mt_job_forget_tickets (struct mt_scheduler *sched, const struct mt_job *job);

/* scheduler_loss_rate.c */
bool mt_worker_is_in_loss_group (const struct mt_worker *w, enum mt_loss_group group, int64_t now);
/* ... when it last answered: later starts may have been sent to a lost worker. */
bool mt_worker_was_in_loss_group (const struct mt_worker *w, enum mt_loss_group group);
/* workers: number in each group during the last ms, idle: number of idle ones without a start. */
void mt_loss_rate_add_time (struct mt_loss_rate *rate,
                            const unsigned workers[MT_LOSS_GROUPS],
                            unsigned idle,
                            int64_t ms,
                            int64_t now);
void
mt_loss_rate_add_loss (struct mt_loss_rate *rate, const bool counts[MT_LOSS_GROUPS], int64_t now);
/* Adds the loss of an idle worker that showed at once. */
void mt_loss_rate_add_idle_loss (struct mt_loss_rate *rate,
                                 const bool counts[MT_LOSS_GROUPS],
                                 int64_t now);
/* Takes losses out of the rate whose cause is known. */
void
mt_loss_rate_remove (struct mt_loss_rate *rate, const struct mt_counted_losses *own, int64_t now);
/* Returns whether losses may follow each other at regular intervals. */
bool mt_loss_rate_may_be_regular (const struct mt_loss_rate *rate, int64_t now);
/* Adds a loss. density_per_ms: how likely it is at that time of the run, per ms, if the task
 * crashes its workers; with_own: the rate includes the task's own losses. */
void mt_loss_evidence_add (struct mt_loss_evidence *evidence,
                           const struct mt_loss_rate *rate,
                           double density_per_ms,
                           bool with_own,
                           int64_t now);

/* scheduler_crashes.c */
/* Returns whether the task's run is known to have begun. */
bool mt_task_has_begun (const struct mt_task *task);
/* Returns how long the run is known to have run; 0 if it is not known to have begun. */
int64_t mt_task_observed_ms (const struct mt_task *task);
void mt_worker_record_silence (struct mt_worker *w, int64_t now);
/* Assesses the loss of a worker, before any of its tasks is released. */
struct mt_crash mt_worker_assess_crash (struct mt_scheduler *sched,
                                        struct mt_worker *w,
                                        bool incarnation_ended,
                                        int64_t now);
/* Returns how long the task, which was just lost, is not started again. */
int64_t mt_task_suspect_delay_ms (const struct mt_scheduler *sched,
                                  const struct mt_task *task,
                                  int64_t now);
/* Counts the loss in the pool's rate, once its tasks are assessed. is_idle: it had none. */
void mt_worker_count_loss (struct mt_scheduler *sched,
                           struct mt_worker *w,
                           const struct mt_crash *crash,
                           bool is_idle);
/* ... of a worker that has left the registry without tasks and unannounced. */
void mt_worker_count_idle_loss (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);
/* Returns what the loss of the worker means for its task. Of an unlocated task it is what the loss
 * of the former incarnation has meant. */
struct mt_task_loss mt_task_assess_loss (const struct mt_scheduler *sched,
                                         const struct mt_task *task,
                                         const struct mt_crash *crash);
/* ... of an inherited task whose worker has restarted since its start was recorded. */
struct mt_task_loss mt_task_assess_recorded_loss (const struct mt_scheduler *sched,
                                                  const struct mt_task *task,
                                                  int64_t now);
/* The task's worker survived a run of it: clears the evidence of earlier losses. */
void mt_task_clear_evidence (struct mt_task *task);
void mt_task_apply_loss (struct mt_task *task, const struct mt_task_loss *loss);
void mt_task_give_up (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
/* Gives up the job if one of its tasks has had too many losses by its stored record. */
void mt_job_give_up_lost (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
/* Returns false if the task, or one on the worker, must be isolated from other jobs. */
bool mt_task_may_share_worker (const struct mt_task *task, const struct mt_worker *w, int64_t now);
/* Isolates a task that was just placed, if it is a suspect. */
void mt_task_isolate (struct mt_task *task);
void mt_task_end_isolation (struct mt_task *task);
/* To be called when the worker has answered: clears suspicion of its tasks that have settled. */
void mt_worker_clear_settled (struct mt_scheduler *sched, struct mt_worker *w);

/* scheduler_cycle.c */
/* To be called after an end was applied, in the order of the ends. job: of the run; NULL if the
 * scheduler doesn't know it. */
void mt_worker_add_end (struct mt_worker *w, int64_t sequence, const struct mt_job *job);
/* Raises durable_end to the last end that is durable by now. */
void mt_worker_update_durable_end (struct mt_worker *w);
/* Forgets the pending ends of the worker. */
void mt_worker_clear_ends (struct mt_worker *w);
/* scheduler_parts.c */

/* A record of a job, or a part of one. */
struct mt_record_ref
{
  struct mt_job *job;
  struct mt_record_part *part; /* NULL: the record itself */
  struct mt_occurrence *occ;   /* of the part */
  unsigned first;              /* index of the part's first task */
};

/* Returns false if no job can have a record of that name. */
bool mt_scheduler_find_record (const struct mt_scheduler *sched,
                               const char *name,
                               struct mt_record_ref *out);
/* Creates the parts of an occurrence whose job's record has parts. */
void mt_occurrence_create_parts (struct mt_occurrence *occ);
/* Returns the number of tasks in a part. */
unsigned mt_record_part_tasks (const struct mt_record_ref *ref);
/* Adds the names of the job's changed records to out; they count as being written. */
void mt_job_collect_records (struct mt_job *job, GPtrArray *out);
/* Adds the job's record if only that is left to be written of a conversion to parts. */
void mt_job_collect_due_head (struct mt_job *job, GPtrArray *out);
/* Notes that a record is stored. Returns whether it was the last one of the job's cycle. */
bool mt_job_note_stored (struct mt_scheduler *sched, const struct mt_record_ref *ref);
/* To be called when the job's present state is known to be stored. */
void mt_job_mark_stored (struct mt_job *job);

/* scheduler_load.c */
/* Returns the remaining work in thousandths of a core * ms, without long-running and fill tasks. */
double mt_occurrence_remaining_work (const struct mt_occurrence *occ);
/* Returns the remaining run time of the task, by its progress if known, otherwise by the expected
 * run time. */
int64_t mt_task_remaining_ms (const struct mt_task *task, int64_t now);
/* Returns the expected time until the last of the worker's tasks has ended, without long-running
 * ones. */
int64_t mt_worker_batch_remaining_ms (const struct mt_worker *w, int64_t now);

/* scheduler_place.c */
void mt_scheduler_place (struct mt_scheduler *sched, int64_t now);

/* scheduler_ready.c */
bool mt_occurrence_step_is_ready (const struct mt_occurrence *occ, unsigned step);
/* Returns whether the occurrence can still complete within its objective. */
bool mt_occurrence_can_meet_objective (const struct mt_occurrence *occ, int64_t now);
/* Sets objective_at from the measured or expected run times of the steps. */
void mt_occurrence_set_objective (struct mt_occurrence *occ);
/* Returns the expected run time of one of the step's tasks. */
double mt_step_expected_ms (const struct mt_route *route, const struct mt_step *step);

/* scheduler_orders.c */
/* Returns whether the owner's link was late within the longest round trip of a hold: a worker's
 * silence is then no evidence against it. */
bool mt_scheduler_is_link_late (const struct mt_scheduler *sched, int64_t now);
/* Returns whether starts have recently waited for the link, so that it limits the pool's
 * throughput. */
bool mt_scheduler_is_link_bound (const struct mt_scheduler *sched, int64_t now);

/* scheduler_watch.c: stalled tasks, unanswered stops, moves, and lost workers */
void mt_scheduler_check_workers (struct mt_scheduler *sched, int64_t now);
/* scheduler_speed.c */
/* Counts a run that took, or by its progress would take, run_ms as a sample of the worker's speed,
 * unless its duration is not reliable.
 */
void mt_worker_record_run (struct mt_scheduler *sched,
                           struct mt_worker *w,
                           const struct mt_task *task,
                           double run_ms,
                           int64_t now);
/* Returns the run time of the route's tasks on the worker relative to that on the route's other
 * workers; `unknown` without evidence. */
double
mt_worker_run_factor (const struct mt_worker *w, const struct mt_route *route, double unknown);
/* Forgets all samples of the worker. */
void mt_worker_forget_speed (struct mt_worker *w);
/* Updates the factors of all workers and logs which of them are slow. */
void mt_scheduler_update_speeds (struct mt_scheduler *sched, int64_t now);

/* scheduler_pace.c */
void mt_worker_adjust_pace (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);

#endif
