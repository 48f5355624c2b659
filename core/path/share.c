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

/* What the others report is as old as their last heartbeat. Taking all that looks unused would let
 * two daemons that meet a surge together fill the same slots; half leaves the next one room, and
 * the minion's own refusal ends a borrowing that went too far. */
unsigned
mt_share_with_borrowed (struct mt_share share, unsigned slots, uint64_t key, unsigned others)
{
  unsigned own = mt_share_own (share, slots, key);
  unsigned theirs = slots - own;

  return own + (theirs > others ? (theirs - others) / 2 : 0);
}
