/* What a caller asks of a job: steps of equal tasks, and when they run. Plain data, decoded by
 * whoever speaks the caller's protocol. A spec belongs to whoever created it; the scheduler takes
 * it over at submission. */
#ifndef MEDLARTRACK_JOB_SPEC_H
#define MEDLARTRACK_JOB_SPEC_H

#include <stdbool.h>
#include <stdint.h>

/* Processors in thousandths of a core, memory in MB, accelerators by number. */
struct mt_resources
{
  int64_t cpu;
  int64_t mem;
  int64_t gpu;
};

/* Its figures by number, for what is done with each alike. */
#define MT_RESOURCE_KINDS 3
static inline int64_t *
mt_resources_field (struct mt_resources *room, unsigned part)
{
  return part == 0 ? &room->cpu : part == 1 ? &room->mem : &room->gpu;
}

static inline int64_t
mt_resources_get (const struct mt_resources *room, unsigned part)
{
  return part == 0 ? room->cpu : part == 1 ? room->mem : room->gpu;
}

struct mt_step
{
  unsigned count; /* tasks */
  struct mt_resources need;
  int64_t estimate_ms; /* the caller's guess at one task's run time */

  unsigned n_after; /* steps that must have ended first */
  unsigned *after;

  char *label;              /* the worker must have it; NULL for none */
  char *rack;               /* where the data lies; NULL for none */
  char *image;              /* tasks of one image behave alike; NULL for none */
  unsigned max_per_worker;  /* of this step, at one time; 0 for no limit */
  unsigned max_unavailable; /* that may be away by our doing; long-running steps only */
  int64_t target_ms;        /* bound on a serving task's tail latency; 0 where it serves nobody */

  bool checkpointing;
  bool gang;      /* its tasks work only together */
  bool same_rack; /* its tasks are slow across racks */
  bool speculative;
  bool long_running; /* runs until the job is cancelled */
  bool fill;         /* lives on processors that others leave unused */
};

struct mt_job_spec
{
  char *id;
  char *route;
  char *workspace; /* whose quota it counts against; NULL or "" for nobody's */
  char *payload;   /* handed to the tasks as it came */
  unsigned n_steps;
  struct mt_step *steps;
  unsigned repeats;     /* 0: once, now */
  int64_t first_run_ms; /* Unix time */
  int64_t interval_ms;
  int64_t accepted_ms; /* Unix time */
};

struct mt_job_spec *mt_job_spec_create (const char *id, const char *route, unsigned n_steps);
void mt_job_spec_destroy (struct mt_job_spec *spec);
/* Tasks of one occurrence. */
unsigned mt_job_spec_tasks (const struct mt_job_spec *spec);
/* Longest chain of steps by their estimates, in ms; scale multiplies each step's estimate. */
int64_t mt_job_spec_chain_ms (const struct mt_job_spec *spec, double scale);

#endif
