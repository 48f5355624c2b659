/* What a daemon does with a tables document that it is offered, by the platform or by a peer: an
 * accepted version never reverts. Pure decisions; the store is called, nothing waits. Any thread.
 */
#ifndef MEDLARTRACK_ACCEPTANCE_H
#define MEDLARTRACK_ACCEPTANCE_H

#include "medlartrack/store.h"
#include "medlartrack/tables.h"

enum mt_acceptance
{
  MT_ACCEPTANCE_NEWER,  /* newer than what is held: put it in force */
  MT_ACCEPTANCE_SAME,   /* what is held: it is current as of now */
  MT_ACCEPTANCE_OLDER,  /* a stale read, a late peer or a restored store: keep what is held */
  MT_ACCEPTANCE_FORKED, /* the version held with another id: keep what is held, tell the operators
                         */
};

/* held is NULL before the first tables. */
enum mt_acceptance mt_acceptance_compare (const struct mt_tables *held,
                                          const struct mt_tables *offered);

enum mt_repair
{
  MT_REPAIR_DONE,       /* the store holds the held document again */
  MT_REPAIR_NOT_NEEDED, /* the second read showed no older value: the first was stale */
  MT_REPAIR_CONFLICT,   /* another write came first; the watch will show it */
  MT_REPAIR_FAILED,     /* the store does not answer, or not surely; the watch will show it */
};

/* After a read that gave an older value or none: reads once more, and where that is older too,
 * writes the held document by compare-and-swap on the index of that second read. So no edit that
 * was made meanwhile is undone. */
enum mt_repair
mt_acceptance_repair (const struct mt_store *store, const struct mt_tables *held, GError **error);

#endif
