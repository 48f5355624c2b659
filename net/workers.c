#include "workers.h"

#include "medlartrack/error.h"

#include <jansson.h>
#include <string.h>

#define MAX_ANSWER_BYTES (16UL * 1024 * 1024)
#define WAIT_SLACK_US    (2 * MT_SECOND)

struct mt_workers
{
  struct mt_http_client *client;
  const struct mt_clock *clock;
  char *address;
  char *zone;
  int64_t call_us;
};

static const char *const action_names[] = {
  [MT_JOB_START] = "start",       [MT_JOB_CHECKPOINT] = "checkpoint", [MT_JOB_STOP] = "stop",
  [MT_JOB_THROTTLE] = "throttle", [MT_JOB_FENCE] = "fence",
};

static const char *const report_names[] = {
  [MT_REPORT_RUNNING] = "running",
  [MT_REPORT_DONE] = "done",
  [MT_REPORT_FAILED] = "failed",
  [MT_REPORT_STOPPED] = "stopped",
  [MT_REPORT_CHECKPOINTED] = "checkpointed",
  [MT_REPORT_FENCED] = "fenced",
};

struct mt_workers *
mt_workers_create (struct mt_http_client *client,
                   const struct mt_clock *clock,
                   const char *address,
                   const char *zone,
                   int64_t call_us)
{
  struct mt_workers *workers = g_new0 (struct mt_workers, 1);

  workers->client = client;
  workers->clock = clock;
  workers->address = g_strdup (address);
  workers->zone = g_strdup (zone);
  workers->call_us = call_us;
  return workers;
}

void
mt_workers_destroy (struct mt_workers *workers)
{
  if (workers == NULL)
    return;
  g_free (workers->address);
  g_free (workers->zone);
  g_free (workers);
}

static void
clear_worker (gpointer data)
{
  struct mt_worker_update *worker = data;

  g_free (worker->name);
  g_free (worker->rack);
}

static void
clear_task (gpointer data)
{
  struct mt_task_update *task = data;

  g_free (task->job);
  g_free (task->worker);
}

static void
init_updates (struct mt_workers_updates *updates)
{
  updates->index = 0;
  updates->workers = g_array_new (FALSE, TRUE, sizeof (struct mt_worker_update));
  updates->tasks = g_array_new (FALSE, TRUE, sizeof (struct mt_task_update));
  g_array_set_clear_func (updates->workers, clear_worker);
  g_array_set_clear_func (updates->tasks, clear_task);
}

void
mt_workers_updates_clear (struct mt_workers_updates *updates)
{
  g_clear_pointer (&updates->workers, g_array_unref);
  g_clear_pointer (&updates->tasks, g_array_unref);
}

static json_t *
call_service (struct mt_workers *workers,
              const char *method,
              const char *path,
              struct mt_str body,
              int64_t timeout_us,
              GError **error)
{
  struct mt_http_call request = {
    .method = method,
    .path = path,
    .body = body,
    .new_connection = strcmp (method, "GET") != 0,
    .deadline_us = mt_clock_now (workers->clock) + timeout_us,
    .max_answer_bytes = MAX_ANSWER_BYTES,
  };
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;
  json_t *root = NULL;

  if (mt_http_client_call (workers->client, workers->address, &request, arena, &answer, error)
      == MT_HTTP_COMPLETE)
    {
      if (answer.status == 200)
        root = json_loadb (answer.body.data, answer.body.len, 0, NULL);
      if (root == NULL)
        g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                     "the platform's workers service answered %d without JSON; see its log",
                     answer.status);
    }
  mt_arena_destroy (arena);
  return root;
}

static uint32_t
parse_count (const json_t *object, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (object, key));

  return (uint32_t) CLAMP (value, 0, (json_int_t) UINT32_MAX);
}

static struct mt_job_resources
parse_resources (const json_t *object)
{
  struct mt_job_resources resources
      = { parse_count (object, "cpu_milli"), parse_count (object, "memory_mb"),
          parse_count (object, "accelerators") };

  return resources;
}

static char *
parse_string (const json_t *object, const char *key)
{
  return g_strdup (json_string_value (json_object_get (object, key)));
}

static bool
parse_worker (const json_t *object, GArray *out)
{
  struct mt_worker_update worker = {
    .name = parse_string (object, "name"),
    .rack = parse_string (object, "rack"),
    .resources = parse_resources (object),
    .lease = (uint64_t) json_integer_value (json_object_get (object, "lease")),
    .alive = json_is_true (json_object_get (object, "alive")),
  };

  g_array_append_val (out, worker);
  return worker.name != NULL && worker.rack != NULL;
}

static bool
parse_task (const json_t *object, GArray *out)
{
  const char *kind = json_string_value (json_object_get (object, "report"));
  struct mt_task_update task = {
    .job = parse_string (object, "job"),
    .worker = parse_string (object, "worker"),
    .epoch = (uint64_t) json_integer_value (json_object_get (object, "epoch")),
    .usage = parse_resources (object),
    .age_us = json_integer_value (json_object_get (object, "age_ms")) * MT_MS,
  };
  size_t i = 0;

  while (i < G_N_ELEMENTS (report_names) && (kind == NULL || strcmp (report_names[i], kind) != 0))
    i++;
  task.kind = (enum mt_job_report_kind) i;
  g_array_append_val (out, task);
  return i < G_N_ELEMENTS (report_names) && task.job != NULL && task.worker != NULL;
}

static bool
parse_updates (const json_t *root, struct mt_workers_updates *updates)
{
  const json_t *workers = json_object_get (root, "workers");
  const json_t *tasks = json_object_get (root, "reports");
  const json_t *index = json_object_get (root, "index");

  if (!json_is_integer (index))
    return false;
  updates->index = (uint64_t) json_integer_value (index);
  for (size_t i = 0; i < json_array_size (workers); i++)
    if (!parse_worker (json_array_get (workers, i), updates->workers))
      return false;
  for (size_t i = 0; i < json_array_size (tasks); i++)
    if (!parse_task (json_array_get (tasks, i), updates->tasks))
      return false;
  return true;
}

bool
mt_workers_poll (struct mt_workers *workers,
                 uint64_t index,
                 int64_t wait_us,
                 struct mt_workers_updates *updates,
                 GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/workers?zone=%s&since=%" G_GUINT64_FORMAT "&wait=%lldms",
                         workers->zone, index, (long long) (wait_us / MT_MS));
  json_t *root = call_service (workers, "GET", path, MT_STR (""), wait_us + WAIT_SLACK_US, error);
  bool ok;

  init_updates (updates);
  if (root == NULL)
    return false;
  ok = parse_updates (root, updates);
  json_decref (root);
  if (!ok)
    g_set_error (
        error, MT_ERROR, MT_ERROR_SYNTAX,
        "the update of the platform's workers is malformed; see docs/jobs.md for the format");
  return ok;
}

static json_t *
format_action (const struct mt_job_action *action)
{
  return json_pack (
      "{ss ss ss sI sI si si si}", "action", action_names[action->kind], "job", action->job,
      "worker", action->worker, "epoch", (json_int_t) action->epoch, "lease",
      (json_int_t) action->lease, "cpu_milli", (int) action->resources.cpu_milli, "memory_mb",
      (int) action->resources.memory_mb, "accelerators", (int) action->resources.accelerators);
}

bool
mt_workers_send_actions (struct mt_workers *workers, const GArray *actions, GError **error)
{
  json_t *list = json_array ();
  json_t *request;
  json_t *reply;
  char *text;

  for (guint i = 0; i < actions->len; i++)
    json_array_append_new (list, format_action (&g_array_index (actions, struct mt_job_action, i)));
  request = json_pack ("{ss so}", "zone", workers->zone, "actions", list);
  text = json_dumps (request, JSON_COMPACT);
  reply = call_service (workers, "POST", "/v1/tasks", mt_str_from (text), workers->call_us, error);
  free (text);
  json_decref (request);
  json_decref (reply);
  return reply != NULL;
}
