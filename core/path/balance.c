#include "medlartrack/balance.h"

#include <string.h>

/* If this many random draws find no free slot, the pool is nearly full and a scan is cheaper. */
#define MAX_DRAWS 8

/* xorshift64 */
static uint64_t
next_random (struct mt_balance_state *state)
{
  state->random_state ^= state->random_state << 13;
  state->random_state ^= state->random_state >> 7;
  state->random_state ^= state->random_state << 17;
  return state->random_state;
}

static bool
has_free_slot (const struct mt_balance_load *loads, size_t i, size_t avoid)
{
  return i != avoid && loads[i].in_flight < loads[i].usable_slots;
}

/* Excludes what the other daemons have in flight: that number is as old as their last heartbeat,
 * many requests ago, and all daemons at once would choose the same minions that were idle then. */
static unsigned
effective_load (const struct mt_balance_load *load)
{
  return load->in_flight + load->penalty;
}

static size_t
pick_round_robin (struct mt_balance_state *state,
                  const struct mt_balance_load *loads,
                  size_t n,
                  size_t avoid)
{
  for (size_t step = 0; step < n; step++)
    {
      size_t i = (state->cursor + step) % n;

      if (!has_free_slot (loads, i, avoid))
        continue;
      state->cursor = i + 1;
      return i;
    }
  return MT_BALANCE_NONE;
}

/* The scan starts at a random minion: daemons that see equal loads would otherwise all choose the
 * first minion, which then refuses most of their requests. */
static size_t
pick_least_in_flight (struct mt_balance_state *state,
                      const struct mt_balance_load *loads,
                      size_t n,
                      size_t avoid)
{
  size_t best = MT_BALANCE_NONE;
  size_t start = n > 0 ? next_random (state) % n : 0;

  for (size_t step = 0; step < n; step++)
    {
      size_t i = (start + step) % n;

      if (!has_free_slot (loads, i, avoid))
        continue;
      if (best == MT_BALANCE_NONE || effective_load (&loads[i]) < effective_load (&loads[best]))
        best = i;
    }
  return best;
}

static size_t
draw_minion_with_free_slot (struct mt_balance_state *state,
                            const struct mt_balance_load *loads,
                            size_t n,
                            size_t avoid)
{
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      size_t candidate = next_random (state) % n;

      if (has_free_slot (loads, candidate, avoid))
        return candidate;
    }
  return MT_BALANCE_NONE;
}

static size_t
pick_two_choices (struct mt_balance_state *state,
                  const struct mt_balance_load *loads,
                  size_t n,
                  size_t avoid)
{
  size_t a = n > 0 ? draw_minion_with_free_slot (state, loads, n, avoid) : MT_BALANCE_NONE;
  size_t b;

  if (a == MT_BALANCE_NONE)
    return pick_least_in_flight (state, loads, n, avoid);
  b = draw_minion_with_free_slot (state, loads, n, avoid);
  if (b == MT_BALANCE_NONE || effective_load (&loads[a]) <= effective_load (&loads[b]))
    return a;
  return b;
}

const struct mt_balance mt_balance_round_robin = {
  .name = "round-robin",
  .description = "the next minion in turn that has a free slot",
  .pick = pick_round_robin,
};

const struct mt_balance mt_balance_least_in_flight = {
  .name = "least-in-flight",
  .description = "the minion with the fewest known requests in flight",
  .pick = pick_least_in_flight,
};

const struct mt_balance mt_balance_two_choices = {
  .name = "two-choices",
  .description = "of two minions drawn at random, the one with fewer known requests in flight",
  .pick = pick_two_choices,
};

const struct mt_balance *const mt_balance_policies[] = {
  &mt_balance_least_in_flight,
  &mt_balance_two_choices,
  &mt_balance_round_robin,
  NULL,
};

const struct mt_balance *
mt_balance_find (const char *name)
{
  for (size_t i = 0; mt_balance_policies[i] != NULL; i++)
    if (strcmp (mt_balance_policies[i]->name, name) == 0)
      return mt_balance_policies[i];
  return NULL;
}
