#include "medlartrack/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

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

/* Set once by mt_log_setup before threads start, read-only from then on: GLib passes one pointer to
 * its writer for the whole process. */
struct writer
{
  enum mt_log_format format;
  char process[32];
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

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  const struct writer *w = data;
  const char *message = find_field (fields, n, "MESSAGE");
  const char *event = find_field (fields, n, "MT_EVENT");
  const char *detail = find_field (fields, n, "MT_DETAIL");
  char when[40];

  format_time (when, sizeof when);
  if (w->format == MT_LOG_JSON)
    {
      json_t *line
          = json_pack ("{ss ss ss ss ss ss}", "time", when, "level", level_name (level), "process",
                       w->process, "event", event, "message", message, "detail", detail);
      char *text = line != NULL ? json_dumps (line, JSON_COMPACT) : NULL;

      fprintf (stderr, "%s\n", text != NULL ? text : "{}");
      free (text);
      json_decref (line);
    }
  else
    fprintf (stderr, "%s %s %s [%s] %s%s%s\n", when, w->process, level_name (level),
             event[0] != '\0' ? event : "-", message, detail[0] != '\0' ? ": " : "", detail);
  return G_LOG_WRITER_HANDLED;
}

void
mt_log_setup (enum mt_log_format format, const char *process_name)
{
  struct writer *w = g_new0 (struct writer, 1);

  w->format = format;
  g_strlcpy (w->process, process_name, sizeof w->process);
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
