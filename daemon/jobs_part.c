#include "jobs_part.h"

struct mt_jobs_part
{
  struct mt_view_holder *views;
  struct mt_control *control;
  struct mt_workers *workers;
  struct mt_jobs_runner *runner;
};

static bool
is_planner (void *ctx)
{
  return mt_control_is_planner (((struct mt_jobs_part *) ctx)->control);
}

static char *
pool_of (void *ctx, const char *worker, bool *draining)
{
  const struct mt_jobs_part *part = ctx;
  const struct mt_assign_record *record = NULL;
  const struct mt_assign *assign;
  char *pool = NULL;

  mt_view_begin (part->views);
  assign = mt_view_assign (part->views);
  if (assign != NULL)
    record = mt_assign_find (assign, worker);
  if (record != NULL)
    {
      pool = g_strdup (record->pool);
      *draining = record->state != MT_ASSIGN_SERVING;
    }
  mt_view_end ();
  return pool;
}

static const struct mt_jobs_runner_callbacks callbacks = {
  .name = "assignments",
  .description = "the planner's lease and the assignment records in force",
  .is_planner = is_planner,
  .pool_of = pool_of,
};

struct mt_jobs_part *
mt_jobs_part_create (const struct mt_jobs_part_options *options)
{
  const struct mt_settings *settings = options->settings;
  struct mt_jobs_runner_options runner = { .clock = options->clock, .store = options->store };
  struct mt_jobs_part *part;

  if (settings->workers.len == 0)
    return NULL;
  part = g_new0 (struct mt_jobs_part, 1);
  part->views = options->views;
  part->control = options->control;
  part->workers = mt_workers_create (options->client, options->clock, settings->workers.data,
                                     settings->zone.data, settings->limits.platform_ms * MT_MS);
  runner.views = options->views;
  runner.workers = part->workers;
  runner.zone = settings->zone.data;
  runner.callbacks = &callbacks;
  runner.ctx = part;
  part->runner = mt_jobs_runner_create (&runner);
  return part;
}

void
mt_jobs_part_stop (struct mt_jobs_part *part)
{
  if (part != NULL)
    mt_jobs_runner_stop (part->runner);
}

void
mt_jobs_part_destroy (struct mt_jobs_part *part)
{
  if (part == NULL)
    return;
  mt_jobs_runner_destroy (part->runner);
  mt_workers_destroy (part->workers);
  g_free (part);
}

struct visitor
{
  const struct mt_jobs_part *part;
  void (*visit) (void *ctx, const char *instance, unsigned tasks);
  void *ctx;
};

static void
visit_busy (void *ctx, const char *worker, unsigned tasks)
{
  const struct visitor *visitor = ctx;
  bool draining = false;
  g_autofree char *pool = pool_of ((void *) visitor->part, worker, &draining);

  if (pool != NULL && draining)
    visitor->visit (visitor->ctx, worker, tasks);
}

void
mt_jobs_part_each_draining (struct mt_jobs_part *part,
                            void (*visit) (void *ctx, const char *instance, unsigned tasks),
                            void *ctx)
{
  struct visitor visitor = { part, visit, ctx };

  if (part != NULL)
    mt_jobs_runner_each_busy (part->runner, visit_busy, &visitor);
}

json_t *
mt_jobs_part_dump (struct mt_jobs_part *part)
{
  return part != NULL ? mt_jobs_runner_dump (part->runner) : NULL;
}
