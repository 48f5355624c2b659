/* Decides whether a daemon accepts a tables document offered by the platform or by a peer: accepted
 * versions never go back. mt_acceptance_repair calls the store; nothing else blocks. Any thread. */
#ifndef MEDLARTRACK_ACCEPTANCE_H
#define MEDLARTRACK_ACCEPTANCE_H

#include "medlartrack/store.h"
#include "medlartrack/tables.h"

enum mt_acceptance
{
  MT_ACCEPTANCE_NEWER,  /* newer than the held document: accept it */
  MT_ACCEPTANCE_SAME,   /* equal to the held document, which is still current */
  MT_ACCEPTANCE_OLDER,  /* stale read, outdated peer or restored store: keep the held one */
  MT_ACCEPTANCE_FORKED, /* same version, other id: keep the held one, notify the operators */
};

/* Compares an offered document with the held one, which is in force; held may be NULL. */
enum mt_acceptance mt_acceptance_compare (const struct mt_tables *held,
                                          const struct mt_tables *offered);

enum mt_repair
{
  MT_REPAIR_DONE,       /* the held document was written back to the store */
  MT_REPAIR_NOT_NEEDED, /* the second read gave no older value: the first one was stale */
  MT_REPAIR_CONFLICT,   /* another write came first; the watch will deliver it */
  MT_REPAIR_FAILED,     /* no answer, or outcome unknown; the watch will deliver the value */
};

/* Repairs the store after a read returned an older document or none. Reads once more, and if that
 * value is older too, writes the held document by compare-and-swap on the index of the second read,
 * so that no edit made in the meantime is lost. Blocks on the store. */
enum mt_repair
mt_acceptance_repair (const struct mt_store *store, const struct mt_tables *held, GError **error);

#endif
