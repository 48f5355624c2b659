#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MAX_CONNECTIONS 4096
#define IDLE_S          120
#define MAX_BODY_BYTES  (2UL * 1024 * 1024)

int
standin_serve (const char *address, void (*handle) (void *, struct mt_http_request *), void *ctx)
{
  struct mt_http_server_options options = {
    .address = address,
    .max_connections = MAX_CONNECTIONS,
    .idle_timeout_s = IDLE_S,
    .max_body_bytes = MAX_BODY_BYTES,
    .max_request_memory_bytes = 0,
    .clock = mt_clock_system (),
    .handle = handle,
    .ctx = ctx,
  };
  g_autoptr (GError) error = NULL;
  struct mt_http_server *server;
  sigset_t signals;
  int signal_number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  server = mt_http_server_create (&options, &error);
  if (server == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return 1;
    }
  printf ("port=%u\n", mt_http_server_port (server));
  fflush (stdout);
  sigwait (&signals, &signal_number);
  /* Requests may hang on purpose: exit without waiting for them. */
  _exit (0);
}

void
standin_answer_text (struct mt_http_request *request, int status, const char *text)
{
  request->answer.status = status;
  request->answer.body = mt_arena_dup (request->arena, mt_str_from (text));
}

void
standin_answer_json (struct mt_http_request *request, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  standin_answer_text (request, status, text);
  free (text);
  json_decref (body);
}

static const char *
find_query (const struct mt_http_request *request, const char *name)
{
  const char *param = strchr (request->path.data, '?');
  size_t len = strlen (name);

  while (param != NULL)
    {
      param++;
      if (strncmp (param, name, len) == 0
          && (param[len] == '=' || param[len] == '&' || param[len] == '\0'))
        return param + len;
      param = strchr (param, '&');
    }
  return NULL;
}

char *
standin_query (const struct mt_http_request *request, const char *name)
{
  const char *value = find_query (request, name);

  return value != NULL && *value == '=' ? g_strndup (value + 1, strcspn (value + 1, "&")) : NULL;
}

bool
standin_has_query (const struct mt_http_request *request, const char *name)
{
  return find_query (request, name) != NULL;
}

char *
standin_path (const struct mt_http_request *request)
{
  return g_strndup (request->path.data, strcspn (request->path.data, "?"));
}
