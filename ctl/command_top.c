/* Prints the main counters of daemons, read from their metrics addresses. */
#include "commands.h"

#include "http_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US  (2 * MT_SECOND)
#define MAX_ANSWER_BYTES (256 * 1024)

static const char *const metric_names[] = {
  "config_version",       "leaderships",         "jobs_open",
  "tasks_waiting",        "tasks_running",       "workers",
  "workers_silent",       "jobs_accepted_total", "jobs_refused_total",
  "jobs_unsettled_total", "store_calls",         NULL,
};

/* Finds the line "medlartrack_NAME VALUE" and parses its value. */
static bool
find_value (const char *text, const char *name, json_int_t *out)
{
  g_autofree char *mark = g_strdup_printf ("\nmedlartrack_%s ", name);
  const char *at = strstr (text, mark);

  if (at == NULL)
    return false;
  *out = strtoll (at + strlen (mark), NULL, 10);
  return true;
}

static json_t *
fetch_counters (struct mt_http_client *client, const char *address)
{
  struct mt_http_call call = { .method = "GET",
                               .path = "/metrics",
                               .new_connection = true,
                               .deadline_us = mt_clock_now (mt_clock_system ()) + CALL_TIMEOUT_US,
                               .max_answer_bytes = MAX_ANSWER_BYTES };
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer = { 0 };
  json_t *row = json_pack ("{ss}", "daemon", address);

  if (mt_http_client_call (client, address, &call, arena, &answer, NULL) != MT_HTTP_COMPLETE)
    json_object_set_new (row, "error", json_string ("no answer; check that it runs"));
  else
    {
      g_autofree char *text = g_strndup (answer.body.data, answer.body.len);
      json_int_t value;

      for (const char *const *name = metric_names; *name != NULL; name++)
        if (find_value (text, *name, &value))
          json_object_set_new (row, *name, json_integer (value));
    }
  mt_arena_destroy (arena);
  return row;
}

int
mt_command_top (const struct mt_command_context *context, const char *addresses)
{
  g_auto (GStrv) list = g_strsplit (addresses, ",", 0);
  struct mt_http_client *client = mt_http_client_create (mt_clock_system ());
  json_t *rows = json_array ();
  int code = MT_EXIT_OK;

  for (char **address = list; *address != NULL; address++)
    {
      json_t *row = fetch_counters (client, *address);

      if (json_object_get (row, "error") != NULL)
        code = MT_EXIT_UNAVAILABLE;
      json_array_append_new (rows, row);
    }
  json_dumpf (rows, context->out, JSON_INDENT (1));
  fputc ('\n', context->out);
  json_decref (rows);
  mt_http_client_destroy (client);
  return code;
}
