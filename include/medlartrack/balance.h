/* Load-balancing policies that choose the minion for a request. They change nothing but the state
 * passed in; any thread. */
#ifndef MEDLARTRACK_BALANCE_H
#define MEDLARTRACK_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MT_BALANCE_NONE SIZE_MAX

struct mt_balance_load
{
  unsigned usable_slots;     /* slots that this daemon may use; 0: the minion gets no requests */
  unsigned in_flight;        /* requests of this daemon */
  unsigned others_in_flight; /* requests of the other daemons, as last reported */
  unsigned penalty;          /* recent failures, counted as this many requests in flight */
};

/* Random state and round-robin position. Each user of a policy has its own. */
struct mt_balance_state
{
  uint64_t random_state; /* not 0 */
  size_t cursor;
};

struct mt_balance
{
  const char *name;
  const char *description;
  /* Returns the index of a minion with a free slot other than `avoid`, or MT_BALANCE_NONE. */
  size_t (*pick) (struct mt_balance_state *state,
                  const struct mt_balance_load *loads,
                  size_t n,
                  size_t avoid);
};

extern const struct mt_balance mt_balance_round_robin;
extern const struct mt_balance mt_balance_least_in_flight;
extern const struct mt_balance mt_balance_two_choices;

/* All policies, NULL-terminated; the first is the default. */
extern const struct mt_balance *const mt_balance_policies[];
/* Returns the policy of this name, or NULL. */
const struct mt_balance *mt_balance_find (const char *name);

#endif
