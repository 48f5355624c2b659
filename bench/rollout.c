/* Measures the roll-out of table changes: the time from the platform's acceptance of a version
 * until it is in force on the last daemon, by event 4001 in the daemons' JSON logs. The script
 * bench/rollout starts the processes; all of them use this machine's clock. */
#include "medlartrack/error.h"
#include "medlartrack/log.h"
#include "medlartrack/tables.h"
#include "platform.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_US           (5 * MT_SECOND)
#define POLL_US           (2 * MT_MS)
#define CHANGE_TIMEOUT_US (10 * MT_SECOND) /* slower changes are counted, not timed */
/* The delay before a change varies, so that some changes arrive while daemons have not yet renewed
 * their watch. */
#define PHASES   8
#define PHASE_US (50 * MT_MS)

struct arguments
{
  const char *platform;
  unsigned changes;
  unsigned slow_ms;
  bool down; /* stop the platform as soon as it has accepted a change */
  char **logs;
  int n_logs;
};

struct bench
{
  struct arguments arguments;
  struct mt_http_client *client;
  const struct mt_store *store;
  FILE **logs;
  uint64_t *versions; /* for each log: version in force */
  gint64 *times_us;   /* for each log: wall-clock time at which that version came into force */
};

static void
set_fault (struct bench *bench, unsigned slow_ms, bool down)
{
  g_autofree char *body
      = g_strdup_printf ("{\"slow_ms\":%u,\"down\":%s}", slow_ms, down ? "true" : "false");
  struct mt_http_call call = {
    .method = "PUT",
    .path = "/fault",
    .body = mt_str_from (body),
    .new_connection = true,
    .deadline_us = mt_clock_now (mt_clock_system ()) + CALL_US,
    .max_answer_bytes = 1024,
  };
  struct mt_arena *arena = mt_arena_create (0);
  struct mt_http_answer answer;

  if (mt_http_client_call (bench->client, bench->arguments.platform, &call, arena, &answer, NULL)
      != MT_HTTP_COMPLETE)
    g_error ("the platform stand-in did not accept the fault");
  mt_arena_destroy (arena);
}

/* Writes the next version of the tables as `medlartrackctl apply` does, but without pauses. Sets
 * the times at which it was sent and accepted. Returns the version. */
static uint64_t
change_tables (struct bench *bench, gint64 *sent_us, gint64 *accepted_us)
{
  const struct mt_store *store = bench->store;
  g_autofree char *id = g_uuid_string_random ();
  g_autofree char *json
      = g_strdup_printf ("{\"routes\":[],\"pools\":[{\"pool\":\"%s\",\"service\":\"bench\"}]}", id);
  struct mt_tables *next = mt_tables_parse (mt_str_from (json), NULL);
  struct mt_tables *current = NULL;
  struct mt_store_value value;
  g_autofree char *text = NULL;
  uint64_t version;

  if (!store->ops->get (store->ctx, MT_TABLES_KEY, &value, NULL))
    g_error ("the platform does not answer");
  if (value.found)
    current = mt_tables_parse ((struct mt_str){ value.data, value.len }, NULL);
  version = (current != NULL ? current->version : 0) + 1;
  text = mt_tables_format_next (current, next, version, id);
  *sent_us = g_get_real_time ();
  if (store->ops->put (store->ctx, MT_TABLES_KEY, mt_str_from (text), value.index, NULL)
      != MT_STORE_DONE)
    g_error ("the change was not accepted");
  *accepted_us = g_get_real_time ();
  mt_store_value_clear (&value);
  mt_tables_destroy (current);
  mt_tables_destroy (next);
  return version;
}

static void
parse_log_line (struct bench *bench, int log, const char *text)
{
  json_t *line = json_loads (text, 0, NULL);
  const char *event = json_string_value (json_object_get (line, "event"));
  const char *detail = json_string_value (json_object_get (line, "detail"));
  const char *when = json_string_value (json_object_get (line, "time"));
  GDateTime *time;

  if (event != NULL && strtol (event, NULL, 10) == MT_EVENT_TABLES_IN_FORCE && when != NULL
      && detail != NULL
      && sscanf (detail, "version=%" G_GUINT64_FORMAT, &bench->versions[log]) == 1)
    {
      time = g_date_time_new_from_iso8601 (when, NULL);
      bench->times_us[log]
          = g_date_time_to_unix (time) * MT_SECOND + g_date_time_get_microsecond (time);
      g_date_time_unref (time);
    }
  json_decref (line);
}

static void
read_logs (struct bench *bench)
{
  char text[4096];

  for (int i = 0; i < bench->arguments.n_logs; i++)
    {
      clearerr (bench->logs[i]);
      while (fgets (text, sizeof text, bench->logs[i]) != NULL)
        parse_log_line (bench, i, text);
    }
}

/* Returns when the version came into force on the last daemon, or 0 after CHANGE_TIMEOUT_US. Sets
 * reached to the number of daemons that have it. */
static gint64
wait_for_all (struct bench *bench, uint64_t version, int *reached)
{
  gint64 until = g_get_monotonic_time () + CHANGE_TIMEOUT_US;

  while (g_get_monotonic_time () < until)
    {
      gint64 last = 0;
      int n = 0;

      read_logs (bench);
      for (int i = 0; i < bench->arguments.n_logs; i++)
        if (bench->versions[i] >= version)
          {
            last = MAX (last, bench->times_us[i]);
            n++;
          }
      *reached = n;
      if (n == bench->arguments.n_logs)
        return last;
      g_usleep (POLL_US);
    }
  return 0;
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
print_times (const char *name, GArray *times)
{
  if (times->len == 0)
    return;
  g_array_sort (times, compare_doubles);
  printf ("%s: median %.1f ms, worst %.1f ms\n", name,
          g_array_index (times, double, times->len / 2),
          g_array_index (times, double, times->len - 1));
}

static void
run_changes (struct bench *bench)
{
  const struct arguments *arguments = &bench->arguments;
  g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (double));
  g_autoptr (GArray) accepted = g_array_new (FALSE, FALSE, sizeof (double));
  unsigned timed_out = 0;
  unsigned unread = 0;

  for (unsigned i = 0; i < arguments->changes; i++)
    {
      gint64 sent_us = 0;
      gint64 accepted_us = 0;
      gint64 last_us;
      double from_sent;
      double from_accepted;
      uint64_t version;
      int reached = 0;

      set_fault (bench, arguments->slow_ms, false);
      g_usleep (i % PHASES * PHASE_US);
      version = change_tables (bench, &sent_us, &accepted_us);
      if (arguments->down)
        set_fault (bench, arguments->slow_ms, true);
      last_us = wait_for_all (bench, version, &reached);
      /* A change that no daemon read before the platform went down can't come into force before the
       * platform is back. */
      unread += last_us == 0 && reached == 0;
      timed_out += last_us == 0 && reached > 0;
      if (last_us == 0)
        continue;
      from_sent = (double) (last_us - sent_us) / MT_MS;
      from_accepted = (double) (last_us - accepted_us) / MT_MS;
      g_array_append_val (sent, from_sent);
      g_array_append_val (accepted, from_accepted);
    }
  printf ("%u changes, %d daemons, platform %s, each call %u ms late\n", arguments->changes,
          arguments->n_logs, arguments->down ? "down after acceptance" : "up", arguments->slow_ms);
  print_times ("from acceptance to the last daemon", accepted);
  print_times ("from sending to the last daemon", sent);
  printf ("read by some daemons and not in force on all within 10 s: %u\n", timed_out);
  printf ("read by no daemon before the platform went down, left out above: %u\n", unread);
}

static const struct argp_option options[] = {
  { "platform", 'p', "IP:PORT", 0, "The platform stand-in", 0 },
  { "changes", 'n', "N", 0, "Number of changes", 0 },
  { "slow-ms", 's', "MS", 0, "Delay of each answer of the platform", 0 },
  { "down", 'd', NULL, 0, "The platform goes down after each acceptance", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'p':
      arguments->platform = arg;
      return 0;
    case 'n':
      arguments->changes = (unsigned) strtoul (arg, NULL, 10);
      return 0;
    case 's':
      arguments->slow_ms = (unsigned) strtoul (arg, NULL, 10);
      return 0;
    case 'd':
      arguments->down = true;
      return 0;
    case ARGP_KEY_ARGS:
      arguments->logs = state->argv + state->next;
      arguments->n_logs = state->argc - state->next;
      return 0;
    case ARGP_KEY_END:
      if (arguments->platform == NULL || arguments->n_logs == 0 || arguments->changes == 0)
        argp_error (state, "--platform and the daemons' logs are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, "LOG...", "Measures the roll-out of table changes.",
          NULL,    NULL,         NULL };
  struct bench bench = { .arguments = { .changes = 30 } };
  struct mt_platform *platform;

  argp_parse (&argp, argc, argv, 0, NULL, &bench.arguments);
  bench.client = mt_http_client_create (mt_clock_system ());
  platform
      = mt_platform_create (bench.client, mt_clock_system (), bench.arguments.platform, CALL_US);
  bench.store = mt_platform_store (platform);
  bench.logs = g_new0 (FILE *, bench.arguments.n_logs);
  bench.versions = g_new0 (uint64_t, bench.arguments.n_logs);
  bench.times_us = g_new0 (gint64, bench.arguments.n_logs);
  for (int i = 0; i < bench.arguments.n_logs; i++)
    if ((bench.logs[i] = fopen (bench.arguments.logs[i], "re")) == NULL)
      g_error ("%s can't be read", bench.arguments.logs[i]);
  run_changes (&bench);
  for (int i = 0; i < bench.arguments.n_logs; i++)
    fclose (bench.logs[i]);
  g_free (bench.logs);
  g_free (bench.versions);
  g_free (bench.times_us);
  mt_platform_destroy (platform);
  mt_http_client_destroy (bench.client);
  return 0;
}
