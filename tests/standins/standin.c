#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CONNECTIONS 4096
#define IDLE_S      120
#define BODY_BYTES  (2UL * 1024 * 1024)

int
standin_serve (const char *address, void (*handle) (void *, struct mt_http_request *), void *ctx)
{
  struct mt_http_server_options options = {
    .address = address,
    .max_connections = CONNECTIONS,
    .idle_timeout_s = IDLE_S,
    .max_body_bytes = BODY_BYTES,
    .max_request_memory_bytes = 0,
    .clock = mt_clock_system (),
    .handle = handle,
    .ctx = ctx,
  };
  g_autoptr (GError) error = NULL;
  struct mt_http_server *server;
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  server = mt_http_server_create (&options, &error);
  if (server == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return 1;
    }
  printf ("port=%u\n", mt_http_server_port (server));
  fflush (stdout);
  sigwait (&set, &number);
  /* Requests may hang on purpose: the process ends without waiting for them. */
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
  const char *at = strchr (request->path.data, '?');
  size_t len = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, len) == 0 && (at[len] == '=' || at[len] == '&' || at[len] == '\0'))
        return at + len;
      at = strchr (at, '&');
    }
  return NULL;
}

char *
standin_query (const struct mt_http_request *request, const char *name)
{
  const char *at = find_query (request, name);

  return at != NULL && *at == '=' ? g_strndup (at + 1, strcspn (at + 1, "&")) : NULL;
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
