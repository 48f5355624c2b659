/* How the daemons of one data centre share a minion's slots without a coordinator. Pure functions.
 */
#ifndef MEDLARTRACK_SHARE_H
#define MEDLARTRACK_SHARE_H

#include <stdint.h>

/* Of so many live daemons this one is number `rank` (from 0) in the order of their names. */
struct mt_share
{
  unsigned daemons;
  unsigned rank;
};

/* The slots that are this daemon's own. Daemons that agree on the membership never own more than
 * `slots` together, as long as there are no more daemons than slots; each owns at least one. key
 * tells minions apart, so that the odd slots of different minions go to different daemons. */
unsigned mt_share_own (struct mt_share share, unsigned slots, uint64_t key);

/* With half of what the others own and don't use. */
unsigned
mt_share_with_borrowed (struct mt_share share, unsigned slots, uint64_t key, unsigned others);

#endif
