#include "harness.h"

#include "http_client.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#define WAIT_TIMEOUT_US    (60 * MT_SECOND)
#define POLL_INTERVAL_US   (5 * MT_MS)
#define REQUEST_TIMEOUT_US (60 * MT_SECOND)
#define MAX_ANSWER_BYTES   (16UL * 1024 * 1024)

extern char **environ;

struct harness
{
  char *build;
  char *folder; /* logs and settings */
  GPtrArray *processes;
  struct mt_http_client *client;
};

struct async_request
{
  struct harness *harness;
  struct process process;
  char *method;
  char *path;
  char *key;
  char *body;
  struct reply reply;
  GThread *thread;
};

bool
harness_wait (bool (*condition) (void *ctx), void *ctx)
{
  gint64 timeout_at_us = g_get_monotonic_time () + WAIT_TIMEOUT_US;

  while (!condition (ctx))
    {
      if (g_get_monotonic_time () > timeout_at_us)
        return false;
      g_usleep (POLL_INTERVAL_US);
    }
  return true;
}

static void
free_process (gpointer data)
{
  struct process *process = data;

  harness_kill (process);
  unlink (process->log_path);
  g_free (process->log_path);
  g_free (process);
}

struct harness *
harness_create (const char *build)
{
  struct harness *harness = g_new0 (struct harness, 1);

  harness->build = g_strdup (build);
  harness->folder = g_dir_make_tmp ("medlartrack-test-XXXXXX", NULL);
  harness->processes = g_ptr_array_new_with_free_func (free_process);
  harness->client = mt_http_client_create (mt_clock_system ());
  return harness;
}

void
harness_destroy (struct harness *harness)
{
  g_ptr_array_unref (harness->processes);
  mt_http_client_destroy (harness->client);
  rmdir (harness->folder);
  g_free (harness->folder);
  g_free (harness->build);
  g_free (harness);
}

static bool
has_port (void *ctx)
{
  struct process *process = ctx;
  g_autofree char *text = NULL;
  const char *position;
  char *end;

  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    return false;
  position = strstr (text, "port=");
  if (position == NULL)
    position = strstr (text, "port\":");
  if (position == NULL)
    return false;
  process->port = (unsigned) strtoul (strpbrk (position, "=:") + 1, &end, 10);
  return *end != '\0' && process->port != 0;
}

static pid_t
spawn (const char *log_path, char *const *argv)
{
  posix_spawn_file_actions_t actions;
  pid_t pid = 0;

  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log_path,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&pid, argv[0], &actions, NULL, argv, environ) != 0)
    pid = 0;
  posix_spawn_file_actions_destroy (&actions);
  return pid;
}

struct process *
harness_start (struct harness *harness, const char *program, const char *const *args)
{
  struct process *process = g_new0 (struct process, 1);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autofree char *path = g_build_filename (harness->build, program, NULL);

  g_ptr_array_add (argv, path);
  for (; *args != NULL; args++)
    g_ptr_array_add (argv, (gpointer) *args);
  g_ptr_array_add (argv, NULL);
  process->log_path = g_strdup_printf ("%s/%u.log", harness->folder, harness->processes->len);
  g_ptr_array_add (harness->processes, process);
  process->pid = spawn (process->log_path, (char *const *) argv->pdata);
  assert_true (process->pid > 0);
  if (!harness_wait (has_port, process))
    fail_msg ("%s printed no port", program);
  return process;
}

char *
harness_write_file (struct harness *harness, const char *name, const char *text)
{
  char *path = g_build_filename (harness->folder, name, NULL);

  assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

struct process *
harness_start_platform (struct harness *harness)
{
  static const char *const args[] = { NULL };

  return harness_start (harness, "tests/standins/medlartrack-standin-platform", args);
}

struct process *
harness_start_minion (struct harness *harness, const char *name, unsigned work_ms)
{
  g_autofree char *work = g_strdup_printf ("%u", work_ms);
  const char *args[] = { "127.0.0.1:0", name, work, NULL };

  return harness_start (harness, "tests/standins/medlartrack-standin-minion", args);
}

struct process *
harness_start_daemon_with_settings (struct harness *harness,
                                    const char *name,
                                    const struct process *platform,
                                    const char *settings)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.json", harness->folder, name);
  g_autofree char *text
      = g_strdup_printf ("{\"name\":\"%s\",\"zone\":\"west\",\"listen\":\"127.0.0.1:0\","
                         "\"peer_listen\":\"127.0.0.1:0\",\"platform\":\"127.0.0.1:%u\",%s}",
                         name, platform->port, settings);
  const char *args[] = { "--settings", path, NULL };
  struct process *process;

  assert_true (g_file_set_contents (path, text, -1, NULL));
  process = harness_start (harness, "daemon/medlartrackd", args);
  unlink (path);
  return process;
}

struct process *
harness_start_daemon (struct harness *harness,
                      const char *name,
                      const struct process *platform,
                      const char *limits)
{
  g_autofree char *settings = g_strdup_printf ("\"limits\":%s", limits != NULL ? limits : "{}");

  return harness_start_daemon_with_settings (harness, name, platform, settings);
}

void
harness_put_tables (struct harness *harness, const struct process *platform, const char *text)
{
  assert_int_equal (
      harness_status (harness, platform, "PUT", "/v1/kv/medlartrack/tables", NULL, text), 200);
}

bool
harness_has_logged (const struct process *process, int event)
{
  g_autofree char *text = NULL;
  g_autofree char *marker = g_strdup_printf ("[%d]", event);

  return g_file_get_contents (process->log_path, &text, NULL, NULL)
         && strstr (text, marker) != NULL;
}

void
harness_signal (const struct process *process, int number)
{
  if (process->pid > 0)
    kill (process->pid, number);
}

static int
end_process (struct process *process, int number)
{
  int status = 0;

  if (process->pid <= 0)
    return 0;
  kill (process->pid, number);
  while (waitpid (process->pid, &status, 0) < 0 && errno == EINTR)
    ;
  process->pid = 0;
  return status;
}

int
harness_stop (struct process *process)
{
  return end_process (process, SIGTERM);
}

void
harness_kill (struct process *process)
{
  end_process (process, SIGKILL);
}

struct reply
harness_send (struct harness *harness,
              const struct process *process,
              const char *method,
              const char *path,
              const char *key,
              const char *body)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", process->port);
  struct mt_str text = mt_str_from (key != NULL ? key : "");
  struct mt_http_header headers[]
      = { { MT_STR ("Idempotency-Key"), text }, { MT_STR ("Api-Key"), text } };
  struct mt_http_call call
      = { .method = method,
          .path = path,
          .headers = headers,
          .n_headers = key != NULL ? G_N_ELEMENTS (headers) : 0,
          .body = mt_str_from (body != NULL ? body : ""),
          .new_connection = true,
          .deadline_us = mt_clock_now (mt_clock_system ()) + REQUEST_TIMEOUT_US,
          .max_answer_bytes = MAX_ANSWER_BYTES };
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer = { 0 };
  struct reply reply = { 0 };
  struct mt_str outcome;
  struct mt_str retry_after;
  unsigned long long seconds = 0;

  if (mt_http_client_call (harness->client, address, &call, arena, &answer, NULL)
      == MT_HTTP_COMPLETE)
    {
      reply.status = answer.status;
      reply.body = g_strndup (answer.body.data, answer.body.len);
      outcome
          = mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Medlartrack-Outcome"));
      reply.outcome = outcome.data != NULL ? g_strndup (outcome.data, outcome.len) : NULL;
      retry_after = mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Retry-After"));
      if (retry_after.data != NULL && mt_str_to_u64 (retry_after, &seconds))
        reply.retry_after_s = (unsigned) seconds;
    }
  mt_arena_destroy (arena);
  return reply;
}

void
reply_clear (struct reply *reply)
{
  g_free (reply->body);
  g_free (reply->outcome);
  *reply = (struct reply){ 0 };
}

int
harness_status (struct harness *harness,
                const struct process *process,
                const char *method,
                const char *path,
                const char *key,
                const char *body)
{
  struct reply reply = harness_send (harness, process, method, path, key, body);
  int status = reply.status;

  reply_clear (&reply);
  return status;
}

static gpointer
run_async_request (gpointer data)
{
  struct async_request *request = data;

  request->reply = harness_send (request->harness, &request->process, request->method,
                                 request->path, request->key, request->body);
  return NULL;
}

struct async_request *
harness_send_async (struct harness *harness,
                    const struct process *process,
                    const char *method,
                    const char *path,
                    const char *key,
                    const char *body)
{
  struct async_request *request = g_new0 (struct async_request, 1);

  request->harness = harness;
  request->process = *process;
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  request->key = g_strdup (key);
  request->body = g_strdup (body);
  request->thread = g_thread_new ("async_request", run_async_request, request);
  return request;
}

struct reply
harness_join (struct async_request *request)
{
  struct reply reply;

  g_thread_join (request->thread);
  reply = request->reply;
  g_free (request->method);
  g_free (request->path);
  g_free (request->key);
  g_free (request->body);
  g_free (request);
  return reply;
}

int
harness_count_runs (struct harness *harness, const struct process *minion, const char *key)
{
  struct reply reply = harness_send (harness, minion, "GET", "/runs", NULL, NULL);
  json_t *root = json_loads (reply.body != NULL ? reply.body : "", 0, NULL);
  int runs = (int) json_integer_value (json_object_get (json_object_get (root, "keys"), key));

  json_decref (root);
  reply_clear (&reply);
  return runs;
}

struct served_daemon
{
  struct harness *harness;
  const struct process *daemon;
};

static bool
is_serving (void *ctx)
{
  struct served_daemon *served_daemon = ctx;

  return harness_status (served_daemon->harness, served_daemon->daemon, "GET", "/safe", NULL, NULL)
         == 200;
}

void
harness_apply_tables (struct harness *harness,
                      const struct process *platform,
                      const struct process *minion,
                      struct process *const *daemons,
                      unsigned n_daemons)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":1,\"id\":\"t\",\"routes\":["
      "{\"route\":\"safe\",\"method\":\"GET\",\"path\":\"/"
      "safe\",\"pool\":\"p\",\"repeat\":\"safe\"},"
      "{\"route\":\"once\",\"method\":\"POST\",\"path\":\"/once\",\"pool\":\"p\","
      "\"repeat\":\"never\"}],"
      "\"pools\":[{\"pool\":\"p\",\"service\":\"s\",\"instances\":[{\"name\":\"m\","
      "\"address\":\"127.0.0.1:%u\",\"zone\":\"west\",\"rack\":\"r\"}]}]}",
      minion->port);

  assert_int_equal (
      harness_status (harness, platform, "PUT", "/v1/kv/medlartrack/tables?cas=0", NULL, text),
      200);
  for (unsigned i = 0; i < n_daemons; i++)
    assert_true (harness_wait (is_serving, &(struct served_daemon){ harness, daemons[i] }));
}
