#include "journal.h"

#include "loop.h"
#include "medlartrack/log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines of one event a second: a surge brings some 60 jobs a second to the pools of a daemon. More
 * would cost processor time that the surge needs. */
#define LINES_PER_EVENT 60
/* What a reader that stands still may leave lying here. */
#define MAX_HELD_BYTES (64 * 1024)
/* Kinds of events that are counted apart; event_list.h has fewer. */
#define MAX_EVENTS 128

struct bound
{
  unsigned lines; /* in this second */
  unsigned left_out;
  uint64_t told; /* so far, lines left out included */
};

struct mt_journal
{
  int fd;
  char *name;
  GString *held; /* not taken by the reader yet */
  int64_t second;
  struct bound bounds[MAX_EVENTS];
};

struct mt_journal *
mt_journal_create (int fd, const char *name)
{
  struct mt_journal *j = g_new0 (struct mt_journal, 1);

  j->fd = fd;
  j->name = g_strdup (name);
  j->held = g_string_new (NULL);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  return j;
}

void
mt_journal_destroy (struct mt_journal *j)
{
  if (j == NULL)
    return;
  g_string_free (j->held, TRUE);
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

/* A reader that stands still costs lines, never time. Part of a line that was not taken stays, so
 * that the next one begins on its own. */
static void
write_held (struct mt_journal *j)
{
  while (j->held->len > 0)
    {
      ssize_t n = write (j->fd, j->held->str, j->held->len);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return;
      g_string_erase (j->held, 0, n);
    }
}

/* A log holds what callers sent, which need not be UTF-8: bytes beyond ASCII are escaped one by
 * one, so that a line always is JSON. */
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

/* "key=value key=value"; a value reaches to the next " word=". */
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

  g_string_append_printf (j->held,
                          "{\"at\":%" G_GINT64_FORMAT ".%03d,\"daemon\":\"%s\",\"event\":%d,"
                          "\"name\":\"%s\"",
                          wall / 1000, (int) (wall % 1000), j->name, id, event);
  append_fields (j->held, fields);
  g_string_append (j->held, "}\n");
}

void
mt_journal_flush (struct mt_journal *j)
{
  const struct mt_event_info *catalogue = mt_event_catalogue ();

  j->second = mt_loop_now () / 1000;
  for (size_t i = 0; i < MAX_EVENTS; i++)
    {
      char fields[96];

      j->bounds[i].lines = 0;
      if (j->bounds[i].left_out == 0)
        continue;
      g_snprintf (fields, sizeof fields, "of=%s lines=%u",
                  i < MAX_EVENTS - 1 ? catalogue[i].name : "other", j->bounds[i].left_out);
      j->bounds[i].left_out = 0;
      append_line (j, MT_EVENT_LINES_LEFT_OUT, "LINES_LEFT_OUT", fields);
    }
  write_held (j);
}

void
mt_journal_log (struct mt_journal *j, const char *event, const char *format, ...)
{
  const struct mt_event_info *info;
  struct bound *bound = &j->bounds[find_event (event, &info)];
  char fields[768];
  va_list args;

  bound->told++;
  if (mt_loop_now () / 1000 != j->second)
    mt_journal_flush (j);
  if (bound->lines >= LINES_PER_EVENT || j->held->len > MAX_HELD_BYTES)
    {
      bound->left_out++;
      return;
    }
  bound->lines++;
  va_start (args, format);
  g_vsnprintf (fields, sizeof fields, format, args);
  va_end (args);
  append_line (j, info != NULL ? info->id : 0, event, fields);
  write_held (j);
}

void
mt_journal_append_metrics (const struct mt_journal *j, GString *out)
{
  const struct mt_event_info *catalogue = mt_event_catalogue ();

  g_string_append (out, "# HELP medlartrack_events_total Log events, by name.\n"
                        "# TYPE medlartrack_events_total counter\n");
  for (size_t i = 0; catalogue[i].id != 0 && i < MAX_EVENTS; i++)
    if (j->bounds[i].told > 0)
      g_string_append_printf (out, "medlartrack_events_total{event=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              catalogue[i].name, j->bounds[i].told);
}
