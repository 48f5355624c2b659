#include "shares.h"

#include <string.h>

struct mt_shares
{
  char *self;
  struct mt_share share;
  GHashTable *others; /* minion -> in flight by the other daemons */
};

struct mt_shares *
mt_shares_create (const char *self)
{
  struct mt_shares *shares = g_new0 (struct mt_shares, 1);

  shares->self = g_strdup (self);
  shares->share.daemons = 1;
  shares->others = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return shares;
}

void
mt_shares_destroy (struct mt_shares *shares)
{
  if (shares == NULL)
    return;
  g_hash_table_destroy (shares->others);
  g_free (shares->self);
  g_free (shares);
}

void
mt_shares_add_member (void *ctx, const struct mt_member *member)
{
  struct mt_shares *shares = ctx;
  int order = strcmp (member->name, shares->self);

  if (order == 0)
    return;
  shares->share.daemons++;
  shares->share.rank += order < 0 ? 1 : 0;
  for (size_t i = 0; i < member->n_loads; i++)
    {
      const struct mt_member_load *load = &member->loads[i];
      unsigned sum = GPOINTER_TO_UINT (g_hash_table_lookup (shares->others, load->minion));

      g_hash_table_insert (shares->others, g_strdup (load->minion),
                           GUINT_TO_POINTER (sum + load->in_flight));
    }
}

unsigned
mt_shares_in_flight_elsewhere (void *ctx, const char *minion)
{
  const struct mt_shares *shares = ctx;

  return GPOINTER_TO_UINT (g_hash_table_lookup (shares->others, minion));
}

struct mt_share
mt_shares_own_share (const struct mt_shares *shares)
{
  return shares->share;
}
