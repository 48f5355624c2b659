/* Numbered log events on top of GLib's structured logging. They are listed in event_list.h; a test
 * compares the list with docs/EVENTS.md. Any thread. */
#ifndef MEDLARTRACK_LOG_H
#define MEDLARTRACK_LOG_H

#include <glib.h>
#include <stdbool.h>

enum mt_event
{
#define MT_EVENT(id, name, level, text) MT_EVENT_##name = (id),
#include "medlartrack/event_list.h"
#undef MT_EVENT
};

struct mt_event_info
{
  int id; /* enum mt_event */
  const char *name;
  GLogLevelFlags level;
  const char *text;
};

/* Returns all events; the last entry has id 0. */
const struct mt_event_info *mt_event_catalogue (void);

enum mt_log_format
{
  MT_LOG_HUMAN,
  MT_LOG_JSON,
};

/* The lowest severity that is written. */
enum mt_log_level
{
  MT_LOG_DEBUG,
  MT_LOG_INFO,
  MT_LOG_WARNING,
  MT_LOG_ERROR,
};

/* Installs the log writer; to be called once, before threads start. Each event is written to
 * standard error as one line, which is valid whatever bytes its detail contains. */
void mt_log_setup (enum mt_log_format format, enum mt_log_level level, const char *process_name);

/* Logs one event. detail: printf format of a "key=value ..." text; NULL for none. */
void mt_log_event (enum mt_event event, const char *detail, ...) G_GNUC_PRINTF (2, 3);

#endif
