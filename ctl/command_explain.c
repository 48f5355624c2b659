/* Explains a job's outcome from the daemons' collected logs: prints the job's log lines in order of
 * time, and a summary of what happened to it. */
#include "commands.h"
#include "report.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The wait for a job's first start is named as a cause only if it was at least this long. A job
 * that waited less and missed its objective did so because of its run time. */
#define LONG_WAIT_MS 500
#define MAX_LINES    500000

struct job_history
{
  const char *id;
  GPtrArray *lines;  /* json_t, all events in order of time */
  json_t *job_lines; /* events of this job in order of time */
  const char *pool;
  const json_t *accepted;
  const json_t *refused;
  const json_t *outcome_unknown;
  const json_t *caller_refused;
  const json_t *started;
  const json_t *ended;
  unsigned lost;
  unsigned failed;
  unsigned stalled;
  unsigned unanswered;
  const json_t *last_loss;
  const json_t *given_up;
};

static const char *
text_of (const json_t *line, const char *name)
{
  const char *text = json_string_value (json_object_get (line, name));

  return text != NULL ? text : "";
}

static bool
is_event (const json_t *line, const char *name)
{
  return strcmp (text_of (line, "name"), name) == 0;
}

static int
compare_times (const void *left, const void *right)
{
  double a = json_number_value (json_object_get (*(json_t *const *) left, "at"));
  double b = json_number_value (json_object_get (*(json_t *const *) right, "at"));

  return a < b ? -1 : a > b;
}

static void
free_line (void *line)
{
  json_decref (line);
}

/* Reads all events, sorted by time. A line's JSON may follow a prefix that the log collector wrote;
 * lines without an event are skipped. */
static GPtrArray *
read_lines (FILE *in)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (free_line);
  char *text = NULL;
  size_t size = 0;

  while (lines->len < MAX_LINES && getline (&text, &size, in) > 0)
    {
      const char *begin = strchr (text, '{');
      json_t *line = begin != NULL ? json_loads (begin, JSON_DISABLE_EOF_CHECK, NULL) : NULL;

      if (json_is_object (line) && json_object_get (line, "event") != NULL)
        g_ptr_array_add (lines, line);
      else
        json_decref (line);
    }
  free (text);
  g_ptr_array_sort (lines, compare_times);
  return lines;
}

static void
add_line (struct job_history *job, json_t *line)
{
  static const struct
  {
    const char *name;
    size_t offset;
  } first_events[] = {
    { "JOB_ACCEPTED", offsetof (struct job_history, accepted) },
    { "JOB_REFUSED", offsetof (struct job_history, refused) },
    { "JOB_UNSETTLED", offsetof (struct job_history, outcome_unknown) },
    { "CALLER_REFUSED", offsetof (struct job_history, caller_refused) },
    { "JOB_BEGUN", offsetof (struct job_history, started) },
    { "JOB_ENDED", offsetof (struct job_history, ended) },
    { "TASK_GIVEN_UP", offsetof (struct job_history, given_up) },
  };

  json_array_append (job->job_lines, line);
  if (text_of (line, "pool")[0] != '\0')
    job->pool = text_of (line, "pool");
  for (size_t i = 0; i < G_N_ELEMENTS (first_events); i++)
    {
      const json_t **first = (const json_t **) (void *) ((char *) job + first_events[i].offset);

      if (*first == NULL && is_event (line, first_events[i].name))
        *first = line;
    }
  job->failed += is_event (line, "TASK_FAILED");
  job->stalled += is_event (line, "TASK_STILL");
  job->unanswered += is_event (line, "TASK_MISSED");
  if (!is_event (line, "TASK_LOST"))
    return;
  job->lost++;
  job->last_loss = line;
}

static long long
number_of (const json_t *line, const char *name)
{
  return (long long) json_integer_value (json_object_get (line, name));
}

/* Returns the POOL_LOAD event of the job's pool with the most waiting tasks between the job's
 * acceptance and its first start; NULL if there is none. */
static const json_t *
find_peak_load (const struct job_history *job)
{
  double from = json_number_value (json_object_get (job->accepted, "at"));
  double to = json_number_value (json_object_get (job->started, "at"));
  const json_t *peak = NULL;

  for (guint i = 0; i < job->lines->len; i++)
    {
      const json_t *line = job->lines->pdata[i];
      double at = json_number_value (json_object_get (line, "at"));

      if (!is_event (line, "POOL_LOAD") || strcmp (text_of (line, "pool"), job->pool) != 0
          || at < from - 1 || at > to + 1)
        continue;
      if (peak == NULL
          || json_integer_value (json_object_get (line, "waiting"))
                 > json_integer_value (json_object_get (peak, "waiting")))
        peak = line;
    }
  return peak;
}

static void
append_wait (const struct job_history *job, GString *out)
{
  json_int_t waited = json_integer_value (json_object_get (job->started, "waited_ms"));
  const json_t *load = find_peak_load (job);

  if (job->started == NULL || waited < LONG_WAIT_MS)
    return;
  g_string_append_printf (out, "; it waited %lld ms for its first start", (long long) waited);
  if (load != NULL)
    g_string_append_printf (
        out, " behind %lld waiting tasks of its pool, with %lld of %lld thousandths of a core used",
        (long long) json_integer_value (json_object_get (load, "waiting")),
        (long long) json_integer_value (json_object_get (load, "used_cpu")),
        (long long) json_integer_value (json_object_get (load, "room_cpu")));
}

/* Returns the SHARE_STATE event of the job's workspace in its pool with the most waiting tasks
 * between the job's acceptance and its end, or any later time if it has not ended; NULL if there is
 * none. */
static const json_t *
find_share_state (const struct job_history *job)
{
  double from = json_number_value (json_object_get (job->accepted, "at"));
  double to
      = job->ended != NULL ? json_number_value (json_object_get (job->ended, "at")) : G_MAXDOUBLE;
  const char *workspace = text_of (job->accepted, "workspace");
  const json_t *peak = NULL;

  for (guint i = 0; i < job->lines->len && workspace[0] != '\0'; i++)
    {
      const json_t *line = job->lines->pdata[i];
      double at = json_number_value (json_object_get (line, "at"));

      if (is_event (line, "SHARE_STATE") && at >= from && at <= to
          && strcmp (text_of (line, "workspace"), workspace) == 0
          && strcmp (text_of (line, "pool"), job->pool) == 0
          && (peak == NULL || number_of (line, "waiting") > number_of (peak, "waiting")))
        peak = line;
    }
  return peak;
}

static void
append_share_wait (const struct job_history *job, GString *out)
{
  long long waited = number_of (job->ended, "share_wait_ms");
  const json_t *share;

  if (job->ended != NULL && waited == 0)
    return;
  share = find_share_state (job);
  if (job->ended != NULL)
    g_string_append_printf (out, "; its tasks waited %lld ms behind the shares of other workspaces",
                            waited);
  else if (share != NULL)
    g_string_append (out, "; its workspace waited for its share");
  if (share != NULL)
    g_string_append_printf (out,
                            ", when workspace %s had %lld thousandths of the pool, a fair share of "
                            "%lld and %lld tasks waiting",
                            text_of (share, "workspace"), number_of (share, "share"),
                            number_of (share, "fair"), number_of (share, "waiting"));
}

/* Of a job that was refused because of its workspace's share. */
static void
append_refusal_share (const struct job_history *job, GString *out)
{
  if (strcmp (text_of (job->refused, "cause"), "share") != 0)
    return;
  g_string_append_printf (out, "; workspace %s had %lld thousandths, and its fair share was %lld",
                          text_of (job->refused, "workspace"), number_of (job->refused, "share"),
                          number_of (job->refused, "fair"));
}

static void
append_reruns (const struct job_history *job, GString *out)
{
  if (job->lost > 0)
    g_string_append_printf (out, "; %u of its tasks were lost with worker %s (%s) and run again",
                            job->lost, text_of (job->last_loss, "worker"),
                            text_of (job->last_loss, "why"));
  if (job->given_up != NULL)
    g_string_append_printf (
        out,
        "; given up, since the workers that started task %lld.%lld of it crashed, %lld in a row",
        (long long) json_integer_value (json_object_get (job->given_up, "step")),
        (long long) json_integer_value (json_object_get (job->given_up, "index")),
        (long long) json_integer_value (json_object_get (job->given_up, "losses")));
  if (job->stalled > 0)
    g_string_append_printf (out, "; %u of its runs made no progress and were restarted elsewhere",
                            job->stalled);
  if (job->unanswered > 0)
    g_string_append_printf (
        out, "; %u of its starts got no answer and were stopped, since they might still run",
        job->unanswered);
  if (job->failed > 0)
    g_string_append_printf (out, "; %u of its runs failed", job->failed);
}

static char *
describe_cause (const struct job_history *job)
{
  GString *out = g_string_new (NULL);

  if (job->accepted == NULL && job->outcome_unknown != NULL)
    g_string_append_printf (out, "its submission was answered with an unknown outcome: %s",
                            text_of (job->outcome_unknown, "why"));
  else if (job->accepted == NULL && job->refused != NULL)
    {
      g_string_append_printf (out, "refused, it never ran: %s", text_of (job->refused, "why"));
      append_refusal_share (job, out);
    }
  else if (job->accepted == NULL && job->caller_refused != NULL)
    g_string_append_printf (out, "its caller was refused, nothing was stored: %s",
                            text_of (job->caller_refused, "why"));
  else if (job->accepted == NULL)
    g_string_append (out, "no daemon's log records its acceptance");
  else if (job->ended == NULL)
    g_string_append (out, job->started != NULL ? "accepted and started, not ended"
                                               : "accepted, not started");
  else
    g_string_append_printf (
        out, "%s %lld ms after its acceptance", text_of (job->ended, "state"),
        (long long) json_integer_value (json_object_get (job->ended, "age_ms")));
  if (job->accepted != NULL)
    {
      append_wait (job, out);
      append_share_wait (job, out);
      append_reruns (job, out);
    }
  return g_string_free (out, FALSE);
}

int
mt_command_explain (const struct mt_command_context *context, const char *id)
{
  struct job_history job = { .id = id, .job_lines = json_array (), .pool = "" };
  g_autofree char *cause = NULL;
  json_t *report;
  bool found;

  job.lines = read_lines (context->in);
  for (guint i = 0; i < job.lines->len; i++)
    if (strcmp (text_of (job.lines->pdata[i], "id"), id) == 0)
      add_line (&job, job.lines->pdata[i]);
  found = json_array_size (job.job_lines) > 0;
  cause = describe_cause (&job);
  report = json_pack ("{ss ss so}", "id", id, "cause", cause, "lines", job.job_lines);
  json_dumpf (report, context->out, JSON_INDENT (1) | JSON_REAL_PRECISION (14));
  fputc ('\n', context->out);
  json_decref (report);
  g_ptr_array_unref (job.lines);
  if (!found)
    fprintf (
        context->err,
        "medlartrackctl: no log line mentions job \"%s\"; collect the logs of all daemons from "
        "before its submission\n",
        id);
  return found ? MT_EXIT_OK : MT_EXIT_REFUSED;
}
