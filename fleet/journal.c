#include "journal.h"

#include "loop.h"
#include "medlartrack/log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines per event and second: a surge brings some 60 jobs a second to the pools of a daemon. More
 * lines would cost processor time that the surge needs. */
#define MAX_EVENT_LINES_PER_S 60
/* Bytes kept for a reader that has stopped reading; beyond that lines are dropped. */
#define MAX_PENDING_BYTES (64 * 1024)
/* Events that are counted separately; event_list.h has fewer. */
#define MAX_EVENTS 128

struct event_stats
{
  unsigned lines; /* written in the current second */
  unsigned dropped;
  uint64_t logged; /* total so far, dropped lines included */
};

struct mt_journal
{
  int fd;
  char *name;
  GString *pending; /* bytes not written to fd yet */
  int64_t second;
  struct event_stats stats[MAX_EVENTS];
};

struct mt_journal *
mt_journal_create (int fd, const char *name)
{
  struct mt_journal *j = g_new0 (struct mt_journal, 1);

  j->fd = fd;
  j->name = g_strdup (name);
  j->pending = g_string_new (NULL);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  return j;
}

void
mt_journal_destroy (struct mt_journal *j)
{
  if (j == NULL)
    return;
  g_string_free (j->pending, TRUE);
  g_free (j->name);
  g_free (j);
}

static size_t
find_event (const char *name, const struct mt_event_info **out)
{
  const struct mt_event_info *catalogue = mt_event_catalogue ();

  for (size_t i = 0; catalogue[i].id != 0 && i < MAX_EVENTS; i++)
    if (strcmp (catalogue[i].name, name) == 0)
      {
        *out = &catalogue[i];
        return i;
      }
  *out = NULL;
  return MAX_EVENTS - 1;
}

/* Writes pending bytes without blocking: a slow reader loses lines but delays nothing. The
 * unwritten rest of a line is kept, so that the next line starts on its own. */
static void
write_pending (struct mt_journal *j)
{
  while (j->pending->len > 0)
    {
      ssize_t n = write (j->fd, j->pending->str, j->pending->len);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return;
      g_string_erase (j->pending, 0, n);
    }
}

/* Log fields may hold bytes from callers that are not UTF-8: bytes beyond ASCII are escaped one by
 * one, so that a line is always valid JSON. */
static void
append_quoted (GString *out, const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char) text[i];

      if (c == '"' || c == '\\')
        g_string_append_printf (out, "\\%c", c);
      else if (c < 0x20 || c >= 0x7f)
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char) c);
    }
}

static bool
is_number (const char *text, size_t len)
{
  if (len == 0 || len > 15 || (text[0] == '0' && len > 1))
    return false;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isdigit (text[i]))
      return false;
  return true;
}

/* Appends "key=value key=value" as JSON members; a value ends before the next " word=". */
static void
append_fields (GString *out, const char *fields)
{
  while (*fields != '\0')
    {
      const char *equals = strchr (fields, '=');
      const char *end = equals != NULL ? strchr (equals, ' ') : NULL;

      if (equals == NULL)
        return;
      while (end != NULL)
        {
          const char *word = end + 1;

          while (g_ascii_isalnum (*word) || *word == '_')
            word++;
          if (*word == '=' && word > end + 1)
            break;
          end = strchr (end + 1, ' ');
        }
      if (end == NULL)
        end = equals + strlen (equals);
      g_string_append (out, ",\"");
      append_quoted (out, fields, (size_t) (equals - fields));
      g_string_append (out, "\":");
      if (is_number (equals + 1, (size_t) (end - equals - 1)))
        g_string_append_len (out, equals + 1, end - equals - 1);
      else
        {
          g_string_append_c (out, '"');
          append_quoted (out, equals + 1, (size_t) (end - equals - 1));
          g_string_append_c (out, '"');
        }
      fields = *end == ' ' ? end + 1 : end;
    }
}

static void
append_line (struct mt_journal *j, int id, const char *event, const char *fields)
{
  int64_t wall = mt_loop_wall_ms ();

  g_string_append_printf (j->pending,
                          "{\"at\":%" G_GINT64_FORMAT ".%03d,\"daemon\":\"%s\",\"event\":%d,"
                          "\"name\":\"%s\"",
                          wall / 1000, (int) (wall % 1000), j->name, id, event);
  append_fields (j->pending, fields);
  g_string_append (j->pending, "}\n");
}

void
mt_journal_flush (struct mt_journal *j)
{
  const struct mt_event_info *catalogue = mt_event_catalogue ();

  j->second = mt_loop_now () / 1000;
  for (size_t i = 0; i < MAX_EVENTS; i++)
    {
      char fields[96];

      j->stats[i].lines = 0;
      if (j->stats[i].dropped == 0)
        continue;
      g_snprintf (fields, sizeof fields, "of=%s lines=%u",
                  i < MAX_EVENTS - 1 ? catalogue[i].name : "other", j->stats[i].dropped);
      j->stats[i].dropped = 0;
      append_line (j, MT_EVENT_LINES_LEFT_OUT, "LINES_LEFT_OUT", fields);
    }
  write_pending (j);
}

void
mt_journal_log (struct mt_journal *j, const char *event, const char *format, ...)
{
  const struct mt_event_info *info;
  struct event_stats *event_stats = &j->stats[find_event (event, &info)];
  char fields[768];
  va_list args;

  event_stats->logged++;
  if (mt_loop_now () / 1000 != j->second)
    mt_journal_flush (j);
  if (event_stats->lines >= MAX_EVENT_LINES_PER_S || j->pending->len > MAX_PENDING_BYTES)
    {
      event_stats->dropped++;
      return;
    }
  event_stats->lines++;
  va_start (args, format);
  g_vsnprintf (fields, sizeof fields, format, args);
  va_end (args);
  append_line (j, info != NULL ? info->id : 0, event, fields);
  write_pending (j);
}

void
mt_journal_append_metrics (const struct mt_journal *j, GString *out)
{
  const struct mt_event_info *catalogue = mt_event_catalogue ();

  g_string_append (out, "# HELP medlartrack_events_total Log events, by name.\n"
                        "# TYPE medlartrack_events_total counter\n");
  for (size_t i = 0; catalogue[i].id != 0 && i < MAX_EVENTS; i++)
    if (j->stats[i].logged > 0)
      g_string_append_printf (out, "medlartrack_events_total{event=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              catalogue[i].name, j->stats[i].logged);
}
