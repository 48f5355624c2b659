/* The daemon's jobs: connects the runner to the planner's lease, the assignment records and the
 * platform's workers. Any thread may call. */
#ifndef MT_JOBS_PART_H
#define MT_JOBS_PART_H

#include "control.h"
#include "jobs_runner.h"
#include "medlartrack/settings.h"

struct mt_jobs_part;

struct mt_jobs_part_options
{
  const struct mt_clock *clock;
  const struct mt_settings *settings; /* contain the workers' address */
  const struct mt_store *store;
  struct mt_http_client *client;
  struct mt_view_holder *views;
  struct mt_control *control;
};

/* Returns NULL if the settings name no workers: this daemon then places no jobs. */
struct mt_jobs_part *mt_jobs_part_create (const struct mt_jobs_part_options *options);
/* Stops planning. Call before the control, which the part queries, is destroyed. part may be
 * NULL. */
void mt_jobs_part_stop (struct mt_jobs_part *part);
/* Call mt_jobs_part_stop first. part may be NULL. */
void mt_jobs_part_destroy (struct mt_jobs_part *part);
/* Calls visit for each instance that no longer serves but must not be moved or rebooted yet,
 * because tasks run on its worker. Instances that serve are left out: their tasks would count
 * against the slots of requests. part may be NULL. */
void mt_jobs_part_each_draining (struct mt_jobs_part *part,
                                 void (*visit) (void *ctx, const char *instance, unsigned tasks),
                                 void *ctx);
/* Returns the state for operators; NULL if part is NULL. */
json_t *mt_jobs_part_dump (struct mt_jobs_part *part);

#endif
