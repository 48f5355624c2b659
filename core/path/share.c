#include "medlartrack/share.h"

unsigned
mt_share_own (struct mt_share share, unsigned slots, uint64_t key)
{
  unsigned daemons = share.daemons > 0 ? share.daemons : 1;
  unsigned own = slots / daemons;

  if ((share.rank + key % daemons) % daemons < slots % daemons)
    own++;
  return own > 0 || slots == 0 ? own : 1;
}

/* The other daemons' numbers are as old as their last heartbeat. If each daemon took all slots that
 * look unused, two daemons that see a load peak at once would fill the same slots. Taking half
 * leaves capacity for the next daemon, and a refusal by the minion ends excessive borrowing. */
unsigned
mt_share_with_borrowed (struct mt_share share, unsigned slots, uint64_t key, unsigned others)
{
  unsigned own = mt_share_own (share, slots, key);
  unsigned theirs = slots - own;

  return own + (theirs > others ? (theirs - others) / 2 : 0);
}
