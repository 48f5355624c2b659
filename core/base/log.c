#include "medlartrack/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define MAX_NAME_CHARS 64
#define MAX_UTF8_BYTES 4

static const struct mt_event_info catalogue[] = {
#define MT_EVENT(id, name, level, text) { (id), #name, (level), (text) },
#include "medlartrack/event_list.h"
#undef MT_EVENT
  { 0, NULL, 0, NULL },
};

const struct mt_event_info *
mt_event_catalogue (void)
{
  return catalogue;
}

/* Set once by mt_log_setup before threads start, then read-only: GLib passes one pointer to its
 * writer for the whole process. */
struct writer
{
  enum mt_log_format format;
  enum mt_log_level level;
  char process[MAX_NAME_CHARS * MAX_UTF8_BYTES + 1];
};

struct line
{
  char time_text[40];
  GLogLevelFlags level;
  const char *event;
  const char *message;
  const char *detail;
};

static const GLogLevelFlags min_severity[] = {
  [MT_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
  [MT_LOG_INFO] = G_LOG_LEVEL_INFO,
  [MT_LOG_WARNING] = G_LOG_LEVEL_WARNING,
  [MT_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
};

static const char *
find_field (const GLogField *fields, gsize n, const char *key)
{
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return "";
}

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return "info";
  return "debug";
}

static void
format_time (char *out, size_t size)
{
  struct timespec ts;
  struct tm tm;
  size_t n;

  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  n = strftime (out, size, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out + n, size - n, ".%03ldZ", ts.tv_nsec / 1000000);
}

/* Returns a copy that is valid UTF-8 without control characters: a detail can quote text from
 * others, and a line break in it would forge another event. Invalid and truncated sequences become
 * U+FFFD. */
static char *
sanitize_text (const char *text)
{
  char *clean = g_utf8_make_valid (text, -1);

  for (char *c = clean; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  return clean;
}

static char *
format_json (const struct writer *w, const struct line *line)
{
  json_t *root = json_pack ("{ss ss ss ss ss ss}", "time", line->time_text, "level",
                            level_name (line->level), "process", w->process, "event", line->event,
                            "message", line->message, "detail", line->detail);
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = g_strdup_printf ("%s\n", text);

  free (text);
  json_decref (root);
  return copy;
}

static char *
format_human (const struct writer *w, const struct line *line)
{
  return g_strdup_printf ("%s %s %s [%s] %s%s%s\n", line->time_text, w->process,
                          level_name (line->level), line->event[0] != '\0' ? line->event : "-",
                          line->message, line->detail[0] != '\0' ? ": " : "", line->detail);
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  const struct writer *w = data;
  g_autofree char *message = sanitize_text (find_field (fields, n, "MESSAGE"));
  g_autofree char *event = sanitize_text (find_field (fields, n, "MT_EVENT"));
  g_autofree char *detail = sanitize_text (find_field (fields, n, "MT_DETAIL"));
  struct line line = { .level = level, .event = event, .message = message, .detail = detail };
  g_autofree char *text = NULL;

  /* GLib's flag values grow as severity falls. */
  if ((level & G_LOG_LEVEL_MASK) > min_severity[w->level])
    return G_LOG_WRITER_HANDLED;
  format_time (line.time_text, sizeof line.time_text);
  text = w->format == MT_LOG_JSON ? format_json (w, &line) : format_human (w, &line);
  fputs (text, stderr);
  return G_LOG_WRITER_HANDLED;
}

void
mt_log_setup (enum mt_log_format format, enum mt_log_level level, const char *process_name)
{
  struct writer *w = g_new0 (struct writer, 1);
  g_autofree char *name = sanitize_text (process_name);

  w->format = format;
  w->level = level;
  g_utf8_strncpy (w->process, name, MAX_NAME_CHARS);
  g_log_set_writer_func (write_line, w, g_free);
}

void
mt_log_event (enum mt_event event, const char *detail, ...)
{
  const struct mt_event_info *info = catalogue;
  char text[1024] = "";
  char id[16];

  while (info->id != 0 && info->id != (int) event)
    info++;
  if (detail != NULL)
    {
      va_list args;

      va_start (args, detail);
      g_vsnprintf (text, sizeof text, detail, args);
      va_end (args);
    }
  snprintf (id, sizeof id, "%d", info->id);
  g_log_structured (G_LOG_DOMAIN, info->level, "MT_EVENT", id, "MT_DETAIL", text, "MESSAGE", "%s",
                    info->text);
}
