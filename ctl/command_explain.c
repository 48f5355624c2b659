/* What became of a job, from the daemons' collected logs: its own lines in order, and the cause. */
#include "commands.h"
#include "report.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A first start later than this is a late job's cause; sooner it is the run time's. */
#define LONG_WAIT_MS 500
#define MAX_LINES    500000

struct story
{
  const char *id;
  GPtrArray *lines; /* json_t, of all events */
  json_t *own;      /* the job's lines, in order */
  const char *pool;
  const json_t *accepted;
  const json_t *refused;
  const json_t *unsettled;
  const json_t *caller;
  const json_t *begun;
  const json_t *ended;
  unsigned lost;
  unsigned failed;
  unsigned still;
  unsigned missed;
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
compare (const void *left, const void *right)
{
  double a = json_number_value (json_object_get (*(json_t *const *) left, "at"));
  double b = json_number_value (json_object_get (*(json_t *const *) right, "at"));

  return a < b ? -1 : a > b;
}

static void
drop_line (void *line)
{
  json_decref (line);
}

/* Collectors put words of their own before a line; what is no event is passed over. */
static GPtrArray *
read_lines (FILE *in)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (drop_line);
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
  g_ptr_array_sort (lines, compare);
  return lines;
}

static void
take (struct story *story, json_t *line)
{
  static const struct
  {
    const char *name;
    size_t offset;
  } marks[] = {
    { "JOB_ACCEPTED", offsetof (struct story, accepted) },
    { "JOB_REFUSED", offsetof (struct story, refused) },
    { "JOB_UNSETTLED", offsetof (struct story, unsettled) },
    { "CALLER_REFUSED", offsetof (struct story, caller) },
    { "JOB_BEGUN", offsetof (struct story, begun) },
    { "JOB_ENDED", offsetof (struct story, ended) },
    { "TASK_GIVEN_UP", offsetof (struct story, given_up) },
  };

  json_array_append (story->own, line);
  if (text_of (line, "pool")[0] != '\0')
    story->pool = text_of (line, "pool");
  for (size_t i = 0; i < G_N_ELEMENTS (marks); i++)
    {
      const json_t **mark = (const json_t **) (void *) ((char *) story + marks[i].offset);

      if (*mark == NULL && is_event (line, marks[i].name))
        *mark = line;
    }
  story->failed += is_event (line, "TASK_FAILED");
  story->still += is_event (line, "TASK_STILL");
  story->missed += is_event (line, "TASK_MISSED");
  if (!is_event (line, "TASK_LOST"))
    return;
  story->lost++;
  story->last_loss = line;
}

/* The fullest moment of the job's pool from its acceptance to its first start. */
static const json_t *
fullest (const struct story *story)
{
  double from = json_number_value (json_object_get (story->accepted, "at"));
  double to = json_number_value (json_object_get (story->begun, "at"));
  const json_t *most = NULL;

  for (guint i = 0; i < story->lines->len; i++)
    {
      const json_t *line = story->lines->pdata[i];
      double at = json_number_value (json_object_get (line, "at"));

      if (!is_event (line, "POOL_LOAD") || strcmp (text_of (line, "pool"), story->pool) != 0
          || at < from - 1 || at > to + 1)
        continue;
      if (most == NULL
          || json_integer_value (json_object_get (line, "waiting"))
                 > json_integer_value (json_object_get (most, "waiting")))
        most = line;
    }
  return most;
}

static void
add_wait (const struct story *story, GString *out)
{
  json_int_t waited = json_integer_value (json_object_get (story->begun, "waited_ms"));
  const json_t *load = fullest (story);

  if (story->begun == NULL || waited < LONG_WAIT_MS)
    return;
  g_string_append_printf (out, "; it waited %lld ms for its first start", (long long) waited);
  if (load != NULL)
    g_string_append_printf (
        out, " behind %lld waiting tasks of its pool, with %lld of %lld thousandths of a core used",
        (long long) json_integer_value (json_object_get (load, "waiting")),
        (long long) json_integer_value (json_object_get (load, "used_cpu")),
        (long long) json_integer_value (json_object_get (load, "room_cpu")));
}

static void
add_reruns (const struct story *story, GString *out)
{
  if (story->lost > 0)
    g_string_append_printf (out, "; %u of its tasks were lost with worker %s (%s) and run again",
                            story->lost, text_of (story->last_loss, "worker"),
                            text_of (story->last_loss, "why"));
  if (story->given_up != NULL)
    g_string_append_printf (
        out,
        "; given up, since the workers that started task %lld.%lld of it crashed, %lld in a row",
        (long long) json_integer_value (json_object_get (story->given_up, "step")),
        (long long) json_integer_value (json_object_get (story->given_up, "index")),
        (long long) json_integer_value (json_object_get (story->given_up, "losses")));
  if (story->still > 0)
    g_string_append_printf (out, "; %u of its runs stood still and were begun elsewhere",
                            story->still);
  if (story->missed > 0)
    g_string_append_printf (out, "; %u of its starts got no answer and were stopped for certainty",
                            story->missed);
  if (story->failed > 0)
    g_string_append_printf (out, "; %u of its runs failed", story->failed);
}

static char *
judge (const struct story *story)
{
  GString *out = g_string_new (NULL);

  if (story->accepted == NULL && story->unsettled != NULL)
    g_string_append_printf (out, "its caller was told that the outcome is not known: %s",
                            text_of (story->unsettled, "why"));
  else if (story->accepted == NULL && story->refused != NULL)
    g_string_append_printf (out, "refused, it never ran: %s", text_of (story->refused, "why"));
  else if (story->accepted == NULL && story->caller != NULL)
    g_string_append_printf (out, "its caller was refused, nothing was stored: %s",
                            text_of (story->caller, "why"));
  else if (story->accepted == NULL)
    g_string_append (out, "no daemon's log tells of its acceptance");
  else if (story->ended == NULL)
    g_string_append (out, story->begun != NULL ? "accepted and begun, not ended"
                                               : "accepted, not begun");
  else
    g_string_append_printf (
        out, "%s %lld ms after its acceptance", text_of (story->ended, "state"),
        (long long) json_integer_value (json_object_get (story->ended, "age_ms")));
  if (story->accepted != NULL)
    {
      add_wait (story, out);
      add_reruns (story, out);
    }
  return g_string_free (out, FALSE);
}

int
mt_command_explain (const struct mt_command_context *context, const char *id)
{
  struct story story = { .id = id, .own = json_array (), .pool = "" };
  g_autofree char *cause = NULL;
  json_t *report;
  bool found;

  story.lines = read_lines (context->in);
  for (guint i = 0; i < story.lines->len; i++)
    if (strcmp (text_of (story.lines->pdata[i], "id"), id) == 0)
      take (&story, story.lines->pdata[i]);
  found = json_array_size (story.own) > 0;
  cause = judge (&story);
  report = json_pack ("{ss ss so}", "id", id, "cause", cause, "lines", story.own);
  json_dumpf (report, context->out, JSON_INDENT (1) | JSON_REAL_PRECISION (14));
  fputc ('\n', context->out);
  json_decref (report);
  g_ptr_array_unref (story.lines);
  if (!found)
    fprintf (context->err,
             "medlartrackctl: no line tells of \"%s\"; collect the logs of all "
             "daemons from before its submission\n",
             id);
  return found ? MT_EXIT_OK : MT_EXIT_REFUSED;
}
