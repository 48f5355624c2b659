#include "workers.h"

#include "medlartrack/error.h"

#include <jansson.h>
#include <string.h>

#define ANSWER_BYTES  (16UL * 1024 * 1024)
#define WAIT_SLACK_US (2 * MT_SECOND)

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
start_news (struct mt_workers_updates *news)
{
  news->index = 0;
  news->workers = g_array_new (FALSE, TRUE, sizeof (struct mt_worker_update));
  news->tasks = g_array_new (FALSE, TRUE, sizeof (struct mt_task_update));
  g_array_set_clear_func (news->workers, clear_worker);
  g_array_set_clear_func (news->tasks, clear_task);
}

void
mt_workers_updates_clear (struct mt_workers_updates *news)
{
  g_clear_pointer (&news->workers, g_array_unref);
  g_clear_pointer (&news->tasks, g_array_unref);
}

static json_t *
call (struct mt_workers *workers,
      const char *method,
      const char *path,
      struct mt_str body,
      int64_t budget_us,
      GError **error)
{
  struct mt_http_call request = {
    .method = method,
    .path = path,
    .body = body,
    .new_connection = strcmp (method, "GET") != 0,
    .deadline_us = mt_clock_now (workers->clock) + budget_us,
    .max_answer_bytes = ANSWER_BYTES,
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
                     "the platform's workers answered %d, no JSON object; see its log",
                     answer.status);
    }
  mt_arena_destroy (arena);
  return root;
}

static uint32_t
read_count (const json_t *object, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (object, key));

  return (uint32_t) CLAMP (value, 0, (json_int_t) UINT32_MAX);
}

static struct mt_job_resources
read_size (const json_t *object)
{
  struct mt_job_resources size
      = { read_count (object, "cpu_milli"), read_count (object, "memory_mb"),
          read_count (object, "accelerators") };

  return size;
}

static char *
read_name (const json_t *object, const char *key)
{
  return g_strdup (json_string_value (json_object_get (object, key)));
}

static bool
read_worker (const json_t *object, GArray *out)
{
  struct mt_worker_update worker = {
    .name = read_name (object, "name"),
    .rack = read_name (object, "rack"),
    .resources = read_size (object),
    .lease = (uint64_t) json_integer_value (json_object_get (object, "lease")),
    .alive = json_is_true (json_object_get (object, "alive")),
  };

  g_array_append_val (out, worker);
  return worker.name != NULL && worker.rack != NULL;
}

static bool
read_task (const json_t *object, GArray *out)
{
  const char *kind = json_string_value (json_object_get (object, "report"));
  struct mt_task_update task = {
    .job = read_name (object, "job"),
    .worker = read_name (object, "worker"),
    .epoch = (uint64_t) json_integer_value (json_object_get (object, "epoch")),
    .usage = read_size (object),
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
read_news (const json_t *root, struct mt_workers_updates *news)
{
  const json_t *workers = json_object_get (root, "workers");
  const json_t *tasks = json_object_get (root, "reports");
  const json_t *index = json_object_get (root, "index");

  if (!json_is_integer (index))
    return false;
  news->index = (uint64_t) json_integer_value (index);
  for (size_t i = 0; i < json_array_size (workers); i++)
    if (!read_worker (json_array_get (workers, i), news->workers))
      return false;
  for (size_t i = 0; i < json_array_size (tasks); i++)
    if (!read_task (json_array_get (tasks, i), news->tasks))
      return false;
  return true;
}

bool
mt_workers_poll (struct mt_workers *workers,
                 uint64_t index,
                 int64_t wait_us,
                 struct mt_workers_updates *news,
                 GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/workers?zone=%s&since=%" G_GUINT64_FORMAT "&wait=%lldms",
                         workers->zone, index, (long long) (wait_us / MT_MS));
  json_t *root = call (workers, "GET", path, MT_STR (""), wait_us + WAIT_SLACK_US, error);
  bool ok;

  start_news (news);
  if (root == NULL)
    return false;
  ok = read_news (root, news);
  json_decref (root);
  if (!ok)
    g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                 "the news of the platform's workers can't be read; see docs/jobs.md for its form");
  return ok;
}

static json_t *
write_action (const struct mt_job_action *action)
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
    json_array_append_new (list, write_action (&g_array_index (actions, struct mt_job_action, i)));
  request = json_pack ("{ss so}", "zone", workers->zone, "actions", list);
  text = json_dumps (request, JSON_COMPACT);
  reply = call (workers, "POST", "/v1/tasks", mt_str_from (text), workers->call_us, error);
  free (text);
  json_decref (request);
  json_decref (reply);
  return reply != NULL;
}
