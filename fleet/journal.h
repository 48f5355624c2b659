/* Writes the daemon's events to a log, one JSON line each, without blocking; lines beyond a limit
 * are dropped and counted. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_JOURNAL_H
#define MT_FLEET_JOURNAL_H

#include <glib.h>

struct mt_journal;

/* fd: made non-blocking, not closed. name: this daemon's name. */
struct mt_journal *mt_journal_create (int fd, const char *name);
void mt_journal_destroy (struct mt_journal *journal);
/* event: name of an event in event_list.h. format: gives "key=value ..." fields. */
void mt_journal_log (struct mt_journal *journal, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Logs how many lines were dropped since the last call, and writes pending lines; to be called once
 * a second. */
void mt_journal_flush (struct mt_journal *journal);
/* Appends a counter of each event logged so far, dropped lines included, in the text format of
 * metrics. */
void mt_journal_append_metrics (const struct mt_journal *journal, GString *out);

#endif
