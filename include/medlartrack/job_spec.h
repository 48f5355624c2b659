/* A job as its caller describes it: steps of equal tasks, and when they run. Plain data, decoded by
 * the module that handles the caller's protocol. Its creator owns a spec until it submits it to the
 * scheduler, which takes ownership. Functions are pure; any thread. */
#ifndef MEDLARTRACK_JOB_SPEC_H
#define MEDLARTRACK_JOB_SPEC_H

#include <stdbool.h>
#include <stdint.h>

/* Processors in thousandths of a core, memory in MB, number of accelerators. */
struct mt_resources
{
  int64_t cpu;
  int64_t mem;
  int64_t gpu;
};

/* Number of kinds of resources, and access by kind (index from 0). */
#define MT_RESOURCE_KINDS 3
static inline int64_t *
mt_resources_field (struct mt_resources *resources, unsigned kind)
{
  return kind == 0 ? &resources->cpu : kind == 1 ? &resources->mem : &resources->gpu;
}

static inline int64_t
mt_resources_get (const struct mt_resources *resources, unsigned kind)
{
  return kind == 0 ? resources->cpu : kind == 1 ? resources->mem : resources->gpu;
}

struct mt_step
{
  unsigned count;           /* number of tasks */
  struct mt_resources need; /* of one task */
  int64_t estimate_ms;      /* the caller's estimate of one task's run time */

  unsigned n_after; /* number of steps that must have ended before this one starts */
  unsigned *after;  /* indices of these steps; each is below this step's index */

  char *label;              /* label that the worker must have; NULL: none */
  char *rack;               /* rack that holds the data; NULL: none */
  char *image;              /* tasks with the same image behave alike; NULL: none */
  unsigned max_per_worker;  /* most tasks of this step on a worker at a time; 0: no limit */
  unsigned max_unavailable; /* most tasks unavailable at a time because they are being moved;
                               long-running steps only */
  int64_t target_ms;        /* limit of a serving task's tail latency; 0: not a serving task */

  bool checkpointing; /* a stopped task continues from its last checkpoint */
  bool gang;          /* its tasks run all at the same time or not at all */
  bool same_rack;     /* its tasks are slow if they run in different racks */
  bool speculative;
  bool long_running; /* runs until the job is cancelled */
  bool fill;         /* best effort: runs on processors that other tasks leave unused */
};

struct mt_job_spec
{
  char *id;
  char *route;
  char *workspace; /* whose quota the job counts against; NULL or "": none */
  char *payload;   /* passed to the tasks unchanged */
  unsigned n_steps;
  struct mt_step *steps;
  unsigned repeats;     /* number of occurrences; 0: one, immediately */
  int64_t first_run_ms; /* Unix time of the first occurrence */
  int64_t interval_ms;  /* between occurrences */
  int64_t accepted_ms;  /* Unix time at which a daemon accepted the job */
};

/* Returns a spec with n_steps zeroed steps; free it with mt_job_spec_destroy. Copies the strings;
 * those set later are allocated with g_malloc and belong to the spec. */
struct mt_job_spec *mt_job_spec_create (const char *id, const char *route, unsigned n_steps);
void mt_job_spec_destroy (struct mt_job_spec *spec);
/* Returns the number of tasks in one occurrence. */
unsigned mt_job_spec_tasks (const struct mt_job_spec *spec);
/* Returns the number of tasks of all occurrences. */
uint64_t mt_job_spec_all_tasks (const struct mt_job_spec *spec);
/* Returns the duration in ms of the longest chain of steps, with each step's estimate multiplied by
 * scale. */
int64_t mt_job_spec_chain_ms (const struct mt_job_spec *spec, double scale);

#endif
