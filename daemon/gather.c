#include "gather.h"

#include <string.h>

struct mt_gather
{
  GStringChunk *names;
  GArray *members; /* struct mt_assign_member, loads owned */
  guint n_live;    /* number of live members, which come first; the others are only registered */
  GArray *demands; /* struct mt_capacity_demand */
};

static const char *
intern_name (struct mt_gather *gather, const char *text)
{
  return g_string_chunk_insert_const (gather->names, text);
}

static struct mt_member_load *
copy_loads (struct mt_gather *gather, const struct mt_member_load *loads, size_t n)
{
  struct mt_member_load *copy = g_new (struct mt_member_load, n);

  for (size_t i = 0; i < n; i++)
    copy[i] = (struct mt_member_load){ (char *) intern_name (gather, loads[i].minion),
                                       loads[i].in_flight };
  return copy;
}

static void
add_member (struct mt_gather *gather,
            const char *name,
            uint64_t version,
            const struct mt_member_load *loads,
            size_t n)
{
  struct mt_assign_member member = {
    .name = intern_name (gather, name),
    .version = version,
    .loads = copy_loads (gather, loads, n),
    .n_loads = n,
  };

  g_array_append_val (gather->members, member);
}

static void
add_demand (struct mt_gather *gather, const char *pool, double slots)
{
  struct mt_capacity_demand demand = { intern_name (gather, pool), slots };

  for (guint i = 0; i < gather->demands->len; i++)
    {
      struct mt_capacity_demand *known
          = &g_array_index (gather->demands, struct mt_capacity_demand, i);

      if (strcmp (known->pool, pool) != 0)
        continue;
      known->slots_wanted += slots;
      return;
    }
  g_array_append_val (gather->demands, demand);
}

static void
visit_member (void *ctx, const struct mt_member *member)
{
  struct mt_gather *gather = ctx;

  add_member (gather, member->name, member->loads_assign_version, member->loads, member->n_loads);
  gather->n_live = gather->members->len;
  for (size_t i = 0; i < member->n_demands; i++)
    add_demand (gather, member->demands[i].pool,
                member->demands[i].waiting + member->demands[i].in_flight);
}

struct mt_gather *
mt_gather_create (const struct mt_control_options *options)
{
  struct mt_gather *gather = g_new0 (struct mt_gather, 1);

  gather->names = g_string_chunk_new (1024);
  gather->members = g_array_new (FALSE, TRUE, sizeof (struct mt_assign_member));
  gather->demands = g_array_new (FALSE, TRUE, sizeof (struct mt_capacity_demand));
  options->each_member (options->members, options->zone, visit_member, gather);
  return gather;
}

void
mt_gather_destroy (struct mt_gather *gather)
{
  for (guint i = 0; i < gather->members->len; i++)
    g_free ((void *) g_array_index (gather->members, struct mt_assign_member, i).loads);
  g_array_free (gather->members, TRUE);
  g_array_free (gather->demands, TRUE);
  g_string_chunk_free (gather->names);
  g_free (gather);
}

void
mt_gather_add_registered (struct mt_gather *gather, const char *name)
{
  for (guint i = 0; i < gather->members->len; i++)
    if (strcmp (g_array_index (gather->members, struct mt_assign_member, i).name, name) == 0)
      return;
  add_member (gather, name, 0, NULL, 0);
}

void
mt_gather_mark_gone (struct mt_gather *gather, const struct mt_instances *list)
{
  /* Live members are skipped: the list lags behind, and a live member that is listed as gone has
   * replaced an instance of the same name. */
  for (guint i = gather->n_live; i < gather->members->len; i++)
    {
      struct mt_assign_member *member
          = &g_array_index (gather->members, struct mt_assign_member, i);

      member->gone = mt_instances_is_gone (list, member->name);
    }
}

const struct mt_assign_member *
mt_gather_members (const struct mt_gather *gather, size_t *n)
{
  *n = gather->members->len;
  return (const void *) gather->members->data;
}

const struct mt_capacity_demand *
mt_gather_demands (const struct mt_gather *gather, size_t *n)
{
  *n = gather->demands->len;
  return (const void *) gather->demands->data;
}
