#include "medlartrack/membership.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A claim on the slots that are left over once every member has its certain part. */
struct claim
{
  size_t member;
  uint64_t rest; /* remainder of the proportional division */
  uint64_t rank; /* breaks ties, differently for each minion */
};

static uint64_t
rank_of (const char *minion, const char *member)
{
  return XXH3_64bits_withSeed (member, strlen (member), XXH3_64bits (minion, strlen (minion)));
}

static int
compare_claims (const void *a, const void *b)
{
  const struct claim *x = a;
  const struct claim *y = b;

  if (x->rest != y->rest)
    return x->rest > y->rest ? -1 : 1;
  if (x->rank != y->rank)
    return x->rank > y->rank ? -1 : 1;
  return x->member < y->member ? -1 : 1;
}

/* Fewer slots than members: each slot goes whole to one of them. Which ones differs from minion to
 * minion, so that each member has its part of the pool. */
static unsigned
divide_few (const struct claim *claims, size_t own, unsigned slots)
{
  for (unsigned i = 0; i < slots; i++)
    if (claims[i].member == own)
      return 1;
  return 0;
}

/* One for each member first, so that whoever gets its next request late in a surge need not wait
 * for a new division; the others in proportion to demand, by the largest remainder. */
static unsigned
divide_minion (const struct mt_share_member *members,
               size_t n,
               size_t own,
               const struct mt_share_minion *minion,
               uint64_t total,
               struct claim *claims)
{
  uint64_t free_slots = minion->slots > n ? minion->slots - n : 0;
  uint64_t given = 0;
  unsigned share;

  for (size_t i = 0; i < n; i++)
    {
      uint64_t part = free_slots * (members[i].demand + 1);

      claims[i].member = i;
      claims[i].rest = part % total;
      claims[i].rank = rank_of (minion->name, members[i].name);
      given += part / total;
    }
  qsort (claims, n, sizeof *claims, compare_claims);
  if (minion->slots < n)
    return divide_few (claims, own, minion->slots);
  share = 1 + (unsigned) (free_slots * (members[own].demand + 1) / total);
  for (uint64_t i = 0; i < free_slots - given; i++)
    if (claims[i].member == own)
      share++;
  return share;
}

/* A member with no slot in the whole pool could never show its demand by serving: it may probe the
 * one minion that ranks it highest. */
static void
grant_probe (const char *name,
             const struct mt_share_minion *minions,
             size_t n_minions,
             unsigned *shares)
{
  size_t best = 0;

  for (size_t i = 1; i < n_minions; i++)
    if (rank_of (minions[i].name, name) > rank_of (minions[best].name, name))
      best = i;
  if (n_minions > 0 && minions[best].slots > 0)
    shares[best] = 1;
}

void
mt_shares_divide (const struct mt_share_member *members,
                  size_t n_members,
                  size_t own,
                  const struct mt_share_minion *minions,
                  size_t n_minions,
                  unsigned *shares)
{
  struct claim *claims = g_new (struct claim, n_members);
  uint64_t total = 0;
  unsigned sum = 0;

  for (size_t i = 0; i < n_members; i++)
    total += members[i].demand + 1;
  for (size_t i = 0; i < n_minions; i++)
    {
      shares[i] = divide_minion (members, n_members, own, &minions[i], total, claims);
      sum += shares[i];
    }
  if (sum == 0)
    grant_probe (members[own].name, minions, n_minions, shares);
  g_free (claims);
}
