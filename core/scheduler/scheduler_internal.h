/* The scheduler's structures, shared by its own files only. All on the owner's one thread. */
#ifndef MT_SCHEDULER_INTERNAL_H
#define MT_SCHEDULER_INTERNAL_H

#include "medlartrack/scheduler.h"

enum mt_task_state
{
  MT_TASK_WAITING,
  MT_TASK_PLACED,  /* decided, not yet durable */
  MT_TASK_ORDERED, /* durable; its start may be carried out at any moment */
  MT_TASK_RUNNING,
  MT_TASK_STOPPING, /* still occupies room */
  MT_TASK_DONE,
};

extern const char *const mt_task_state_names[];

struct mt_occurrence;
struct mt_worker;

struct mt_task
{
  struct mt_occurrence *occ;
  uint16_t step;
  uint16_t index;
  uint8_t state;
  uint8_t attempts; /* runs that ended failed */
  uint8_t losses;   /* runs that were lost with their worker, in a row ... */
  uint8_t crashes;  /* ... and of these, runs that had begun shortly before */
  uint8_t repeats;  /* times the start of this run was sent again */
  uint8_t percent;
  uint8_t pace;
  bool order_due;      /* a start or stop is to be sent */
  bool order_sent;     /* and is on its way */
  bool doubtful;       /* a start got no answer */
  bool stop_answered;  /* the worker knows that the run is to be stopped */
  bool done_elsewhere; /* an earlier run did it; this one only has to end */
  bool inherited;      /* started by a predecessor, whom our token keeps from sending more */
  bool begun_before;   /* ... and known to have begun under that one */
  bool suspect;        /* its last run may have taken its worker down */
  bool isolated;       /* a suspect whose run has not settled: it keeps other jobs off its worker */
  uint32_t run;
  uint32_t stamp;     /* the worker's hold that last listed it */
  int64_t since;      /* when it came to its state */
  int64_t began;      /* when its run was first known to be there; 0 for not yet */
  int64_t settled_ms; /* it has to be seen for so long to count as settled, if that is longer */
  int64_t answered;   /* when the worker last acknowledged an order on it; 0 for never */
  int64_t moved;      /* when its percent last changed */
  int64_t not_before;
  int64_t sure_from;  /* a stop that a predecessor has sent has taken effect by then */
  int64_t away_since; /* long-running: not at work since; 0 while at work */
  int64_t gauge;
  struct mt_worker *worker;
  struct mt_worker *shunned; /* where its last run ended badly; compared, never followed */
  char *checkpoint;
  GList link; /* in the worker's tasks */
};

/* One occurrence of a job. */
struct mt_occurrence
{
  struct mt_job *job;
  unsigned number; /* of the occurrence */
  struct mt_task *tasks;
  unsigned n_tasks;
  unsigned n_done;
  unsigned *step_first;   /* index of each step's first task */
  unsigned *step_waiting; /* tasks of each step that wait */
  unsigned *step_left;    /* ... of these, those that the last placing found no room for */
  unsigned *step_done;
  double *step_ms; /* longest run of each step that ended well; 0 until one has */
  int64_t since;   /* when it became due */
  int64_t objective_by;
  int64_t short_since; /* a task of it that could start has found no room since; 0 */
  int64_t short_ms;    /* ... in all before that */
  unsigned reruns;     /* starts of tasks that had run before */
  bool ended;
  bool counted; /* its work is in the route's mean */
};

/* A workspace's tasks in this pool. */
struct mt_account
{
  char *name;
  struct mt_workspace_limits terms;
  struct mt_resources used;    /* by tasks that have a worker */
  struct mt_resources granted; /* this pool's share of the quota */
  bool has_grant;              /* granted was set by a message */
  double burst;                /* jobs beyond its rate, as of burst_at; the rate wears it off */
  int64_t burst_at;
};

struct mt_job
{
  struct mt_job_spec *spec;
  struct mt_route *route;
  struct mt_account *account;         /* NULL where it is nobody's */
  struct mt_occurrence **occurrences; /* of each occurrence, NULL until it is due */
  unsigned n_occurrences;
  unsigned n_ended;
  enum mt_job_state state;
  enum mt_job_state durable; /* what callers are shown */
  enum mt_job_state cycle;   /* the state that is being written */
  bool excess;               /* handed in beyond its workspace's rate */
  bool begun;
  bool dirty;    /* to be written in the next cycle */
  bool listed;   /* among the scheduler's dirty ones */
  bool in_cycle; /* being written */
  int64_t ended_at;
  int64_t submitted;
  int64_t revision;
  GList link; /* in the scheduler's open jobs */
};

struct mt_route
{
  char *name;
  struct mt_route_policy terms;
  unsigned pending; /* jobs not begun */
  bool advice;
  double mean_ms;     /* of finished tasks; 0 until one has finished */
  double estimate_ms; /* mean of what the callers guessed for these */
  double mean_work;
  double chain_ms; /* mean of its jobs' longest chains */
  double arriving; /* thousandths of a core, as of arriving_at */
  int64_t arriving_at;
};

struct mt_worker
{
  char *id;
  int64_t born;
  char *address;
  char *zone;
  char **labels;
  struct mt_resources room;
  struct mt_resources used;
  GQueue tasks;

  bool listed;
  bool leaving;
  bool ended;
  bool held; /* has answered a hold under our token */
  bool hold_on_way;
  uint32_t stamp;
  int64_t listed_since;
  int64_t leaving_since;
  int64_t hold_sent;
  int64_t next_hold;
  int64_t heard;        /* last answer; 0 for none */
  int64_t start_sent;   /* when the last start was sent to it; 0 for none */
  int64_t listing_at;   /* last listing of what it runs; 0 for none */
  int64_t silent_since; /* 0 while it answers */
  int64_t fell_silent;  /* when it last did; 0 for never */
  bool fell_isolated;   /* a suspect was isolated there then */
  int64_t clock_ms;     /* the worker's clock ... */
  int64_t clock_at;     /* ... when we read it */
  int64_t lapse_by;     /* our clock: every lease given has run out by then */
  int64_t cordon_until;
  int64_t due_until; /* it is to be emptied later, as far as is known until then */
  bool move_long_running;

  int64_t seen_end;    /* highest end taken into the jobs */
  int64_t cycle_end;   /* ... as the running cycle began */
  int64_t durable_end; /* ... as it is stored */

  double fails; /* of late, decayed */
  double dones;
  double slow; /* run time in multiples of what was expected, smoothed */
  int64_t evidence_at;
  int64_t shun_until;
  unsigned shun_times;
  unsigned strays;     /* runs in its last listing that are nobody's: they take room uncounted */
  unsigned lost_holds; /* in a row */
  unsigned isolated;   /* isolated tasks on it */
  const struct mt_job *isolated_for; /* the job of all of them */
  unsigned order_load;               /* orders on their way */
  int64_t pace_at;
};

struct mt_step_tickets
{
  char *step_name;
  bool asked;
  bool on_way;
  int64_t again_at;
  GHashTable *tickets; /* worker id to struct mt_ticket */
};

struct mt_ticket
{
  char *text;
  int64_t until;
};

/* A run that a worker lists and no job knows. */
struct mt_stray
{
  struct mt_worker *worker;
  char *task;
  unsigned run;
};

struct mt_scheduler
{
  struct mt_scheduler_settings settings;
  GHashTable *jobs;     /* id to struct mt_job */
  GHashTable *routes;   /* name to struct mt_route */
  GHashTable *workers;  /* id to struct mt_worker */
  GHashTable *advices;  /* step name to struct mt_step_tickets */
  GHashTable *accounts; /* workspace to struct mt_account */
  int64_t grants_token; /* of the last message ... */
  uint64_t grants_number;
  bool grants_all;      /* it asked for every account */
  int64_t grants_until; /* what it said holds until then */
  int64_t created;      /* when it first placed; 0 */
  GQueue open;          /* jobs not ended, in order of submission */
  GQueue closed;        /* ended ones, in order of their end */
  GPtrArray *dirty;     /* jobs to be written, or that were */
  GPtrArray *writing;   /* jobs of the running cycle */
  GPtrArray *graveyard; /* workers that are gone but still pointed to; freed with the scheduler */
  GQueue starts;        /* tasks whose start is due */
  GQueue stops;         /* tasks whose stop is due */
  GQueue paces;
  GQueue strays; /* runs found on workers that are nobody's */
  bool in_cycle;
  bool changed;     /* something may be placed or written */
  int64_t place_at; /* something that waits may be placed from then on; 0 */
  bool fenced_off;
  int64_t last_plan;
  int64_t last_watch;
  int64_t link_ms;      /* what is sent waits for so long in the owner's link */
  int64_t link_late_at; /* when that was last too long for answers to come in time; 0 for never */
  int64_t link_full_at; /* when starts last waited for it; 0 for never */
  int64_t losses_at;    /* when an order to a worker that answers others had no answer */
  int64_t promised_cpu; /* room that the pool will have, as far as is known until then */
  int64_t promised_until;
  int64_t looked_at;  /* when the following was reckoned */
  double timely_work; /* still to be run of jobs that can be in time, in thousandths of a core ms */
  double all_work;
  double capacity; /* 0: not known */
  mt_scheduler_event_callback told;
  void *told_ctx;
};

/* A start that was repeated in vain may be in doubt for so long before it is stopped for
 * certainty. */
#define MT_UNCONFIRMED_START_MS 350
/* A hold waits so long for an end at the worker; it renews the lease as often. */
#define MT_HOLD_WAIT_MS 1000
/* A worker that does not answer for so long takes no new work. */
#define MT_SILENT_MS 700
/* A stop without an answer, or without effect, is sent again after this: a worker takes 200 ms. */
#define MT_STOP_RETRY_MS 300
/* A worker that runs slower than the others by this factor is avoided. */
#define MT_SLOW_FACTOR 1.4
/* Steps of which chains are reckoned; none after these counts as waited for. */
#define MT_MAX_CHAIN_STEPS 64
/* The worker's clock may run slow by this much (parts of a thousand). */
#define MT_CLOCK_DRIFT_PER_MILLE 20

void mt_scheduler_log_event (struct mt_scheduler *sched, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* The same of the run that a task has, or had last, on the worker: named before what the format
 * says. */
void mt_task_log_event (struct mt_scheduler *sched,
                        const struct mt_task *task,
                        const struct mt_worker *w,
                        const char *name,
                        const char *format,
                        ...) G_GNUC_PRINTF (5, 6);

/* scheduler.c */
void mt_ticket_free (void *data);
void mt_job_mark_dirty (struct mt_scheduler *sched, struct mt_job *job);
/* A task of it has started: it is no longer among those that wait. */
void mt_job_mark_begun (struct mt_job *job);
void mt_job_complete_if_done (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
void
mt_job_end (struct mt_scheduler *sched, struct mt_job *job, enum mt_job_state state, int64_t now);
void mt_job_stop_tasks (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
struct mt_occurrence *mt_job_get_occurrence (struct mt_job *job, unsigned number);
void mt_scheduler_open_due_occurrences (struct mt_scheduler *sched, int64_t now, int64_t wall);

/* scheduler_tasks.c: the one place where a task changes its state */
const struct mt_step *mt_task_step (const struct mt_task *task);
struct mt_task *mt_scheduler_find_task (struct mt_scheduler *sched, const char *name);
void mt_task_name (const struct mt_task *task, char *out, size_t size);
/* ID.OCCURRENCE.STEP: what advice is asked for. */
void mt_task_step_name (const struct mt_task *task, char *out, size_t size);
/* The advice on the task's step; NULL where none was asked for. */
struct mt_step_tickets *mt_task_step_tickets (const struct mt_scheduler *sched,
                                              const struct mt_task *task);
void
mt_task_place (struct mt_scheduler *sched, struct mt_task *task, struct mt_worker *w, int64_t now);
void mt_task_set_waiting (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
void mt_task_finish (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
void mt_task_stop (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
void mt_task_keep_checkpoint (struct mt_task *task, const char *checkpoint);
void mt_task_dequeue (struct mt_scheduler *sched, struct mt_task *task);

/* scheduler_accounts.c */
/* NULL for no workspace's. */
struct mt_account *mt_scheduler_account (struct mt_scheduler *sched, const char *workspace);
void mt_account_free (void *data);
/* A task of the step takes room, or gives it back (sign -1). */
void mt_account_add_usage (struct mt_account *account, const struct mt_step *step, int sign);
/* A job has come just now; true where it is beyond the workspace's rate. */
bool mt_account_record_job (struct mt_account *account, int64_t now);
/* One more task of the step may run in this pool. */
bool mt_account_allows (const struct mt_scheduler *sched,
                        const struct mt_account *account,
                        const struct mt_step *step,
                        int64_t now);

/* scheduler_arrivals.c */
/* A job has come just now. */
void mt_route_record_arrival (const struct mt_job *job, int64_t now);
/* Work that has come of late, in thousandths of a core. */
double mt_scheduler_arriving_cpu (const struct mt_scheduler *sched, int64_t now);

/* scheduler_workers.c */
struct mt_worker *mt_scheduler_worker (struct mt_scheduler *sched, const char *id);
bool mt_worker_accepts_work (const struct mt_worker *w, int64_t now);
/* It has shrunk below what it runs. */
bool mt_worker_is_overcommitted (const struct mt_worker *w);
bool mt_worker_fits (const struct mt_worker *w, const struct mt_step *step);
unsigned
mt_worker_tasks_of_step (const struct mt_worker *w, const struct mt_occurrence *occ, unsigned step);
/* Room, label, and no more tasks of the step there than may be. */
bool mt_worker_can_run (const struct mt_worker *w, const struct mt_task *task);
/* Some other worker that takes work has a place for it. */
bool mt_task_can_run_elsewhere (const struct mt_scheduler *sched,
                                const struct mt_task *task,
                                int64_t now);
void
mt_worker_record_outcome (struct mt_scheduler *sched, struct mt_worker *w, bool good, int64_t now);
/* Nothing runs there any more: its life is over, or its lease has lapsed. */
void mt_worker_release_tasks (
    struct mt_scheduler *sched, struct mt_worker *w, bool life_over, int64_t now, const char *why);
void mt_worker_update_clock (struct mt_worker *w, int64_t clock_ms, int64_t now);
int64_t mt_worker_lease_end (const struct mt_worker *w, int64_t now, int64_t hold_ms);
void mt_worker_record_lease (struct mt_worker *w, int64_t hold_ms, int64_t now);

/* scheduler_crashes.c */
/* Its run is known to have been there, ... */
bool mt_task_has_begun (const struct mt_task *task);
/* ... for so long. */
int64_t mt_task_observed_ms (const struct mt_task *task);
void mt_worker_record_silence (struct mt_worker *w, int64_t now);
/* The worker was lost with its tasks; before they are released. Returns those whose jobs are to be
 * given up (g_ptr_array_unref). */
GPtrArray *mt_worker_count_losses (struct mt_scheduler *sched,
                                   struct mt_worker *w,
                                   bool life_over,
                                   int64_t now);
void mt_task_give_up (struct mt_scheduler *sched, struct mt_task *task, int64_t now);
/* The same for a job whose losses a predecessor has counted. */
void mt_job_give_up_lost (struct mt_scheduler *sched, struct mt_job *job, int64_t now);
/* False where the task, or one that is there, is to be kept apart from other jobs. */
bool mt_task_may_share_worker (const struct mt_task *task, const struct mt_worker *w, int64_t now);
/* A task was placed; only a suspect is isolated. */
void mt_task_isolate (struct mt_task *task);
void mt_task_end_isolation (struct mt_task *task);
/* The worker was heard: suspects that have settled there are none any more. */
void mt_worker_clear_settled (struct mt_scheduler *sched, struct mt_worker *w);

/* scheduler_load.c */
/* What is still to run of it, in thousandths of a core times ms; long-running tasks left out. */
double mt_occurrence_remaining_work (const struct mt_occurrence *occ);
/* How much longer the task will run: by its progress where there is some, else by what such tasks
 * take. */
int64_t mt_task_remaining_ms (const struct mt_task *task, int64_t now);

/* scheduler_place.c */
void mt_scheduler_place (struct mt_scheduler *sched, int64_t now);
bool mt_occurrence_step_is_ready (const struct mt_occurrence *occ, unsigned step);
/* It can still be done within its objective. */
bool mt_occurrence_can_meet_objective (const struct mt_occurrence *occ, int64_t now);
/* Sets objective_by by what is known now of how long its steps take. */
void mt_occurrence_set_objective (struct mt_occurrence *occ);
double mt_step_expected_ms (const struct mt_route *route, const struct mt_step *step);

/* scheduler_orders.c */
/* The owner's own link was late within the time of a hold: silence then says nothing of a worker.
 */
bool mt_scheduler_is_link_late (const struct mt_scheduler *sched, int64_t now);
/* Starts have had to wait for it of late: it bounds what gets done. */
bool mt_scheduler_is_link_bound (const struct mt_scheduler *sched, int64_t now);

/* scheduler_watch.c: what is done about what stands still */
void mt_scheduler_watch (struct mt_scheduler *sched, int64_t now);
/* scheduler_pace.c */
void mt_worker_adjust_pace (struct mt_scheduler *sched, struct mt_worker *w, int64_t now);

#endif
