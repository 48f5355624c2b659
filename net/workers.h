/* Client of the platform's workers service: lists the workers, receives the reports of their tasks,
 * and sends them actions. One call of mt_workers_poll waits for updates of a whole data centre, and
 * one call of mt_workers_send_actions carries a whole plan, so that the number of calls depends on
 * rounds, not on tasks. docs/jobs.md describes the protocol. Calls block. Not thread-safe. */
#ifndef MT_WORKERS_H
#define MT_WORKERS_H

#include "http_client.h"
#include "medlartrack/jobs.h"

struct mt_worker_update
{
  char *name;
  char *rack;
  struct mt_job_resources resources;
  uint64_t lease; /* increases whenever the worker restarts */
  bool alive;     /* its lease has not expired */
};

struct mt_task_update
{
  enum mt_job_report_kind kind;
  char *job;
  char *worker;
  uint64_t epoch;
  struct mt_job_resources usage;
  int64_t age_us; /* time since the report was measured */
};

struct mt_workers_updates
{
  uint64_t index;  /* for the next call of mt_workers_poll */
  GArray *workers; /* of struct mt_worker_update */
  GArray *tasks;   /* of struct mt_task_update */
};

struct mt_workers;

/* address: IP:PORT of the service. call_us: time limit of each call except polls. client and clock
 * outlive the workers. */
struct mt_workers *mt_workers_create (struct mt_http_client *client,
                                      const struct mt_clock *clock,
                                      const char *address,
                                      const char *zone,
                                      int64_t call_us);
void mt_workers_destroy (struct mt_workers *workers);
/* Sets *updates to the changes since index (0: everything); waits up to wait_us for a change. The
 * updates are to be cleared on failure too. */
bool mt_workers_poll (struct mt_workers *workers,
                      uint64_t index,
                      int64_t wait_us,
                      struct mt_workers_updates *updates,
                      GError **error);
/* Frees the contents of the updates. */
void mt_workers_updates_clear (struct mt_workers_updates *updates);
/* actions: of struct mt_job_action. On failure some or all may not have reached their workers;
 * mt_jobs repeats the actions that are not confirmed. */
bool mt_workers_send_actions (struct mt_workers *workers, const GArray *actions, GError **error);

#endif
