/* Divides a minion's slots among the daemons of one data centre, without a coordinator. Pure
 * functions; any thread. */
#ifndef MEDLARTRACK_SHARE_H
#define MEDLARTRACK_SHARE_H

#include <stdint.h>

/* daemons: number of live daemons. rank: this daemon's position, from 0, in the order of their
 * names. */
struct mt_share
{
  unsigned daemons;
  unsigned rank;
};

/* Returns the number of slots that this daemon owns. Daemons that agree on the membership never own
 * more than `slots` together, as long as there are no more daemons than slots; each owns at least
 * one. key identifies the minion, so that the remainder slots of different minions go to different
 * daemons. */
unsigned mt_share_own (struct mt_share share, unsigned slots, uint64_t key);

/* Returns the daemon's own slots plus half of the slots that the other daemons own and do not use.
 * others: number of requests that the other daemons have in flight. */
unsigned
mt_share_with_borrowed (struct mt_share share, unsigned slots, uint64_t key, unsigned others);

#endif
