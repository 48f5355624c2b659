/* Workers for a scheduler, on a paused clock: they take orders, run tasks for as long as the test
 * says, and list ends, as the published protocol has it. Each order and each write takes effect at
 * once unless the test holds it back. */
#ifndef TESTS_WORK_WORLD_H
#define TESTS_WORK_WORLD_H

#include "medlartrack/scheduler.h"

#define WORLD_MAX_WORKERS 64
#define WORLD_MAX_RUNS    8192
/* Tasks of jobs whose id begins so never end by themselves. */
#define WORLD_LONG_RUNNING_ID 'L'
/* A worker that crashed is back after so long. */
#define WORLD_DOWN_MS 3000

struct world_run
{
  char task[80];
  unsigned run;
  int64_t began;
  int64_t ends; /* -1: never by itself */
  bool fails;
  bool still;    /* makes no progress */
  int64_t stops; /* when a stop has taken effect; 0 for none */
  unsigned pace;
};

struct world_end
{
  int64_t number;
  char task[80];
  unsigned run;
  enum mt_end_kind how;
  bool lapsed; /* the worker's lease was over after it: it proves nothing any more */
};

struct world_worker
{
  char id[16];
  bool silent;          /* orders get no answer and are not carried out */
  bool mute;            /* orders are carried out, and get no answer */
  bool loses;           /* orders are carried out, and get no answer; holds do */
  bool unlisted;        /* holds get no answer; orders do */
  unsigned drops;       /* so many starts to come are not carried out and get no answer */
  int64_t clock_lag_ms; /* its answers show its clock as it was so long ago */
  int64_t late_ms;      /* orders get no answer and are carried out so much later; 0: at once */
  int64_t crashes_at;   /* by what it runs; 0 */
  int64_t back_at;      /* it crashed, and is back then; 0 while it is up */
  bool replaced;        /* another worker answers at its address */
  bool sick;            /* all that it starts fails at once */
  bool stalls;          /* all that it starts stands still */
  double slow;          /* run times in multiples */
  bool gone;            /* not in the registry */
  bool leaving;         /* the registry says that it leaves */
  int64_t gauge;        /* what it says of each run */
  struct mt_resources room;
  struct mt_resources used;
  int64_t born;
  int64_t lease; /* on its clock, which is the world's */
  GArray *runs;  /* struct world_run */
  GArray *ends;  /* struct world_end not forgotten yet */
  int64_t last_end;
  bool holding; /* a hold waits here for an end, until hold_until */
  int64_t hold_until;
  int64_t hold_sent;
  unsigned starts;
  unsigned last_run; /* the number of the run it started last */
  GHashTable *past;  /* task to the highest run that ended or was stopped here */
  unsigned fence;    /* highest token seen */
};

/* An order that is carried out late, whoever leads then. */
struct world_late
{
  struct world_worker *worker;
  enum mt_order_kind kind;
  char task[80];
  unsigned run;
  int64_t lease_ms;
  unsigned token;
  int64_t born; /* of the life that it is meant for */
  int64_t at;
};

/* An order on its way through the leader's link. */
struct world_sent
{
  struct mt_order order; /* its worker's id is owned, other strings are left out */
  unsigned token;        /* of the leader that sent it */
  int64_t born;          /* of the life that it is meant for */
  int64_t leaves;
  int64_t given_up; /* when its answer is no longer waited for */
  bool unanswered;  /* it was given up before it left, or its leader is gone */
};

struct world
{
  struct mt_scheduler *sched;
  unsigned token; /* the leader's, counted up by each takeover */
  int64_t now;
  GArray *late;             /* struct world_late */
  double link_bytes_per_ms; /* what the leader's link carries; 0: all at once */
  int64_t link_free;        /* when all that was sent has left */
  GArray *sent;             /* struct world_sent */
  struct world_worker workers[WORLD_MAX_WORKERS];
  unsigned n_workers;
  bool store_down; /* cycles don't end */
  bool in_cycle;
  bool holds_only;    /* the leader isn't sure of its lease, in an outage of the store */
  bool silent_leader; /* ... or cut off: it sends nothing */
  int64_t run_ms;     /* of a task whose job says nothing else; -1: never ends */
  int64_t stop_ms;    /* from the order to the end of the run */
  unsigned started;
  unsigned twice;      /* starts of a task that runs elsewhere */
  unsigned redone;     /* starts of a task that a worker under a lease has done */
  int64_t task_cpu;    /* of each task, where overbooking is looked for; 0 */
  unsigned overbooked; /* starts that were sent though they bring a worker over its listed room */
  GHashTable
      *crashing;    /* tasks that take down each worker that starts them, to how often they did */
  int64_t crash_ms; /* ... so long after the start */
  GHashTable *crashes; /* tasks to how many workers have crashed under them */
  bool new_ids;        /* a machine that crashed is back as another worker, at the same address */
  GHashTable *records; /* job id to what was stored last */
};

struct world *world_create (void);
void world_destroy (struct world *world);
/* In the registry at once; 16 cores and 32 GB. */
struct world_worker *world_add_worker (struct world *world, const char *rack);
/* The registry says from now on that the worker has that much room. */
void world_resize (struct world *world, struct world_worker *w, int64_t cpu);
/* The registry says from now on that the worker leaves. */
void world_leave (struct world *world, struct world_worker *w);
/* One step of `count` tasks of `cpu` thousandths, each estimated at ms. */
struct mt_job_spec *world_job (const char *id, unsigned count, int64_t cpu, int64_t ms);
/* Two steps of so many tasks, the second after the first. */
struct mt_job_spec *
world_two_steps (const char *id, const unsigned counts[2], int64_t cpu, int64_t ms);
void world_submit (struct world *world, struct mt_job_spec *spec);
/* In steps of 5 ms. */
void world_run (struct world *world, int64_t ms);
/* Runs until the job has the state, within ms; false where it doesn't come. */
bool world_until (struct world *world, const char *id, enum mt_job_state state, int64_t ms);
/* The leader dies; its successor loads what is stored under a higher token. */
void world_take_over (struct world *world, GPtrArray *specs);
unsigned world_running (const struct world *world, const char *task);
/* The machine restarts: nothing of before is left, under the same id. */
void world_reboot (struct world *world, struct world_worker *w);
/* The worker is silent and runs nothing; back after WORLD_DOWN_MS. */
void world_crash (struct world *world, struct world_worker *w);
/* Each worker that starts the task crashes. */
void world_add_crashing (struct world *world, const char *task);
/* So many starts of it were carried out. */
unsigned world_crashes_by (const struct world *world, const char *task);
/* So many workers have crashed, or were rebooted, while they ran it. */
unsigned world_crashes_under (const struct world *world, const char *task);

#endif
