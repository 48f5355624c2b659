/* The platform's workers: which there are, what their tasks report, and what they are asked to do.
 * One call of mt_workers_poll waits for news of a whole data centre, one call of
 * mt_workers_send_actions carries a whole plan, so that calls follow rounds and not tasks.
 * docs/jobs.md has the protocol. Calls block; one thread at a time. */
#ifndef MT_WORKERS_H
#define MT_WORKERS_H

#include "http_client.h"
#include "medlartrack/jobs.h"

struct mt_worker_update
{
  char *name;
  char *rack;
  struct mt_job_resources resources;
  uint64_t lease; /* grows each time the worker starts anew */
  bool alive;     /* its lease has not lapsed */
};

struct mt_task_update
{
  enum mt_job_report_kind kind;
  char *job;
  char *worker;
  uint64_t epoch;
  struct mt_job_resources usage;
  int64_t age_us; /* since it was measured */
};

struct mt_workers_updates
{
  uint64_t index;  /* to pass on to the next poll */
  GArray *workers; /* of struct mt_worker_update */
  GArray *tasks;   /* of struct mt_task_update */
};

struct mt_workers;

struct mt_workers *mt_workers_create (struct mt_http_client *client,
                                      const struct mt_clock *clock,
                                      const char *address,
                                      const char *zone,
                                      int64_t call_us);
void mt_workers_destroy (struct mt_workers *workers);
/* What changed since index (0: everything), waiting up to wait_us for something to change. */
bool mt_workers_poll (struct mt_workers *workers,
                      uint64_t index,
                      int64_t wait_us,
                      struct mt_workers_updates *news,
                      GError **error);
void mt_workers_updates_clear (struct mt_workers_updates *news);
/* actions: of struct mt_job_action. False: some or all may not have reached their workers; the book
 * asks again for what nobody confirms. */
bool mt_workers_send_actions (struct mt_workers *workers, const GArray *actions, GError **error);

#endif
