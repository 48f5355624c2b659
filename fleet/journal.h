/* What the daemon decides, one JSON line each on standard output, bounded and never waited for. On
 * the loop's one thread. */
#ifndef MT_FLEET_JOURNAL_H
#define MT_FLEET_JOURNAL_H

#include <glib.h>

struct mt_journal;

/* name: of this daemon. */
struct mt_journal *mt_journal_create (int fd, const char *name);
void mt_journal_destroy (struct mt_journal *journal);
/* event: a name of the catalogue; format gives "key=value ..." fields. */
void mt_journal_log (struct mt_journal *journal, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Tells what was left out since the last call; once a second. */
void mt_journal_flush (struct mt_journal *journal);
/* A counter of each event told so far, in the text form of metrics; lines left out are counted. */
void mt_journal_append_metrics (const struct mt_journal *journal, GString *out);

#endif
