#include "nearest.h"

#include <glib.h>

#define MAX_COMPARED 64 /* bytes; longer names are cut to limit the cost of a comparison */

/* Returns the number of edits (insert, delete or replace one byte) from a to b. */
static unsigned
edit_distance (struct mt_str a, struct mt_str b)
{
  unsigned row[MAX_COMPARED + 1];
  size_t a_len = MIN (a.len, MAX_COMPARED);
  size_t b_len = MIN (b.len, MAX_COMPARED);

  for (size_t j = 0; j <= b_len; j++)
    row[j] = (unsigned) j;
  for (size_t i = 1; i <= a_len; i++)
    {
      unsigned diagonal = row[0];

      row[0] = (unsigned) i;
      for (size_t j = 1; j <= b_len; j++)
        {
          unsigned replaced = diagonal + (a.data[i - 1] != b.data[j - 1]);

          diagonal = row[j];
          row[j] = MIN (replaced, MIN (row[j], row[j - 1]) + 1);
        }
    }
  return row[b_len];
}

void
mt_suggestion_init (struct mt_suggestion *nearest, struct mt_str wanted)
{
  nearest->wanted = wanted;
  nearest->best = (struct mt_str){ NULL, 0 };
  /* A name that differs in more than half of its length is a different name, not a typing error. */
  nearest->distance = (unsigned) wanted.len / 2 + 1;
}

void
mt_suggestion_try (struct mt_suggestion *nearest, struct mt_str candidate)
{
  unsigned distance = edit_distance (nearest->wanted, candidate);

  if (distance >= nearest->distance)
    return;
  nearest->best = candidate;
  nearest->distance = distance;
}
