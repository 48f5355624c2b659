#include "medlartrack/leader_rank.h"

#include <glib.h>

/* A pool's leader needs a processor in a surge: on a quarter of the others' cores it was half a
 * second behind. A little more of one is not worth an order. */
#define CLEARLY_MORE 1.5

/* A free leadership is taken by the first in rank; the next one steps in so much later each. */
#define RANK_MS 120
/* After joining, time for the others to show up: all that lost their keys join within this. */
#define SETTLE_MS 350

static guint
weight (const char *leadership, const char *member)
{
  g_autofree char *text = g_strconcat (leadership, "/", member, NULL);
  guint hash = g_str_hash (text);

  /* g_str_hash differs little for texts that differ at their ends. */
  hash ^= hash >> 16;
  hash *= 0x7feb352dU;
  hash ^= hash >> 15;
  return hash * 0x846ca68bU;
}

static int
comes_first (const char *leadership,
             const struct mt_leader_candidate *other,
             const struct mt_leader_candidate *self)
{
  if (other->cores > CLEARLY_MORE * self->cores)
    return 1;
  if (self->cores > CLEARLY_MORE * other->cores)
    return 0;
  if (other->leaderships != self->leaderships)
    return other->leaderships < self->leaderships;
  return weight (leadership, other->name) > weight (leadership, self->name);
}

unsigned
mt_leader_rank (const char *leadership,
                const struct mt_leader_candidate *members,
                size_t n,
                size_t self)
{
  unsigned before = 0;

  for (size_t i = 0; i < n; i++)
    before += i != self && comes_first (leadership, &members[i], &members[self]);
  return before;
}

bool
mt_leader_may_acquire (const struct mt_leader_candidacy *turn, int64_t now)
{
  int64_t from = MAX (turn->free_since, turn->joined_at + SETTLE_MS);

  return turn->was_leader || now - from >= RANK_MS * (int64_t) turn->rank;
}
