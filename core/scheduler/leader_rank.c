#include "medlartrack/leader_rank.h"

#include <glib.h>

/* A machine with this many times the cores of another one ranks before it; smaller differences
 * don't matter. In a surge a pool's leader needs a processor: with a quarter of the other machines'
 * cores it was half a second behind. */
#define MIN_CORES_RATIO 1.5

/* Delay per rank before a daemon takes a free leadership. */
#define RANK_DELAY_MS 120
/* Time after joining in which the other daemons appear: if all of them have lost their keys, they
 * rejoin within this time. */
#define JOIN_DELAY_MS 350

static guint
member_hash (const char *leadership, const char *member)
{
  g_autofree char *text = g_strconcat (leadership, "/", member, NULL);
  guint hash = g_str_hash (text);

  /* g_str_hash differs little for texts that differ only at their ends. */
  hash ^= hash >> 16;
  hash *= 0x7feb352dU;
  hash ^= hash >> 15;
  return hash * 0x846ca68bU;
}

static int
ranks_before (const char *leadership,
              const struct mt_leader_candidate *other,
              const struct mt_leader_candidate *self)
{
  if (other->cores > MIN_CORES_RATIO * self->cores)
    return 1;
  if (self->cores > MIN_CORES_RATIO * other->cores)
    return 0;
  if (other->leaderships != self->leaderships)
    return other->leaderships < self->leaderships;
  return member_hash (leadership, other->name) > member_hash (leadership, self->name);
}

unsigned
mt_leader_rank (const char *leadership,
                const struct mt_leader_candidate *members,
                size_t n,
                size_t self)
{
  unsigned before = 0;

  for (size_t i = 0; i < n; i++)
    before += i != self && ranks_before (leadership, &members[i], &members[self]);
  return before;
}

bool
mt_leader_may_acquire (const struct mt_leader_candidacy *candidacy, int64_t now)
{
  int64_t from = MAX (candidacy->free_since, candidacy->joined_at + JOIN_DELAY_MS);

  return candidacy->was_leader || now - from >= RANK_DELAY_MS * (int64_t) candidacy->rank;
}
