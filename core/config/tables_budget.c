#include "medlartrack/error.h"
#include "tables_internal.h"

GHashTable *
mt_tables_count_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

void
mt_tables_count_add (GHashTable *counts, const struct mt_pool *pool)
{
  for (size_t i = 0; i < pool->n_instances; i++)
    {
      const struct mt_instance *instance = &pool->instances[i];
      struct mt_zone_count *count = g_hash_table_lookup (counts, instance->zone.data);

      if (count == NULL)
        {
          count = g_new0 (struct mt_zone_count, 1);
          g_hash_table_insert (counts, (gpointer) instance->zone.data, count);
        }
      if (instance->leaving)
        count->leaving++;
      else
        count->staying++;
    }
}

struct mt_zone_count
mt_tables_count_get (GHashTable *counts, const char *zone)
{
  const struct mt_zone_count *count = g_hash_table_lookup (counts, zone);

  return count != NULL ? *count : (struct mt_zone_count){ 0, 0 };
}

static const struct mt_pool *
find_spare (const struct mt_tables *tables)
{
  for (size_t i = 0; i < tables->n_pools; i++)
    if (tables->pools[i].spare)
      return &tables->pools[i];
  return NULL;
}

/* Refuses a number in a column of the pools table. zone: data centre where it exceeds the limit. */
static bool
refuse_number (GError **error,
               const struct mt_pool *pool,
               const char *column,
               unsigned found,
               const char *zone,
               unsigned limit,
               const char *limit_source,
               const char *remedy)
{
  g_autofree char *value = g_strdup_printf ("%u", found);
  g_autofree char *bound
      = g_strdup_printf ("%u (%s in data centre \"%s\")", limit, limit_source, zone);
  struct mt_refusal refusal = { "pools", pool->name, column, value, bound, remedy };

  return mt_tables_refuse (error, &refusal);
}

bool
mt_tables_check_spare (const struct mt_tables *tables, GError **error)
{
  const struct mt_pool *spare = find_spare (tables);

  for (size_t i = 0; i < tables->n_pools; i++)
    if (tables->pools[i].spare && &tables->pools[i] != spare)
      {
        g_autofree char *remedy = g_strdup_printf (
            "row \"%s\" is the spare already; set one of them to false", spare->name.data);
        struct mt_refusal refusal
            = { "pools", tables->pools[i].name, "spare", "true", "1 spare pool", remedy };

        return mt_tables_refuse (error, &refusal);
      }
  return true;
}

static bool
check_pool_range (const struct mt_pool *pool, GError **error)
{
  g_autoptr (GHashTable) counts = mt_tables_count_new ();
  GHashTableIter iter;
  gpointer zone;
  gpointer value;

  if (pool->max_instances == 0)
    return true;
  if (pool->min_instances > pool->max_instances)
    return refuse_number (error, pool, "min_instances", pool->min_instances, "every",
                          pool->max_instances, "max_instances",
                          "lower min_instances or raise max_instances");
  mt_tables_count_add (counts, pool);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &zone, &value))
    {
      const struct mt_zone_count *count = value;

      if (count->staying > pool->max_instances)
        return refuse_number (error, pool, "instances", count->staying, zone, pool->max_instances,
                              "max_instances",
                              "raise max_instances or give instances to another pool");
    }
  return true;
}

bool
mt_tables_check_ranges (const struct mt_tables *tables, GError **error)
{
  for (size_t i = 0; i < tables->n_pools; i++)
    if (!check_pool_range (&tables->pools[i], error))
      return false;
  return true;
}

/* An instance marked as leaving gets no new work within seconds, so all instances marked in one
 * edit are down at the same time and must fit into the budget together. */
static bool
check_pool_leaving (const struct mt_pool *pool, GHashTable *service_counts, GError **error)
{
  g_autoptr (GHashTable) counts = mt_tables_count_new ();
  GHashTableIter iter;
  gpointer zone;
  gpointer value;

  mt_tables_count_add (counts, pool);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &zone, &value))
    {
      const struct mt_zone_count *count = value;
      struct mt_zone_count service = mt_tables_count_get (service_counts, zone);

      if (count->leaving == 0)
        continue;
      if (service.leaving > pool->max_unavailable)
        return refuse_number (error, pool, "instances.leaving", service.leaving, zone,
                              pool->max_unavailable, "max_unavailable of the service",
                              "let fewer leave in one edit, or raise max_unavailable");
      if (count->staying < pool->min_instances)
        return refuse_number (error, pool, "min_instances", pool->min_instances, zone,
                              count->staying, "instances that are not leaving",
                              "keep more of them, or lower min_instances");
    }
  return true;
}

/* Returns a hash table from service to the counts over all of its pools. */
static GHashTable *
count_instances_by_service (const struct mt_tables *tables)
{
  GHashTable *services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) g_hash_table_unref);

  for (size_t i = 0; i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];
      GHashTable *counts = g_hash_table_lookup (services, pool->service.data);

      if (counts == NULL)
        {
          counts = mt_tables_count_new ();
          g_hash_table_insert (services, (gpointer) pool->service.data, counts);
        }
      mt_tables_count_add (counts, pool);
    }
  return services;
}

/* All pools of a service must have the same budget: with different values it would be unclear which
 * one applies. */
static bool
check_one_budget (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) first = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];
      const struct mt_pool *other = g_hash_table_lookup (first, pool->service.data);
      g_autofree char *value = g_strdup_printf ("%u", pool->max_unavailable);
      g_autofree char *limit = NULL;
      struct mt_refusal refusal = { "pools", pool->name, "max_unavailable", value };

      if (other == NULL)
        g_hash_table_insert (first, (gpointer) pool->service.data, (gpointer) pool);
      if (other == NULL || other->max_unavailable == pool->max_unavailable)
        continue;
      limit = g_strdup_printf ("%u (row \"%s\", same service)", other->max_unavailable,
                               other->name.data);
      refusal.limit = limit;
      refusal.remedy = "a service has one budget; write the same number in both rows";
      return mt_tables_refuse (error, &refusal);
    }
  return true;
}

bool
mt_tables_check_leaving (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) services = count_instances_by_service (tables);

  if (!check_one_budget (tables, error))
    return false;
  for (size_t i = 0; i < tables->n_pools; i++)
    if (!check_pool_leaving (&tables->pools[i],
                             g_hash_table_lookup (services, tables->pools[i].service.data), error))
      return false;
  return true;
}

/* Number of instances that the spare pool can lend in a data centre and keep its own
 * min_instances. */
static unsigned
lendable_instances (const struct mt_pool *spare, GHashTable *spare_counts, const char *zone)
{
  struct mt_zone_count count = mt_tables_count_get (spare_counts, zone);

  if (spare == NULL || count.staying <= spare->min_instances)
    return 0;
  return count.staying - spare->min_instances;
}

static bool
check_pool_drain (const struct mt_pool *pool,
                  const struct mt_pool *spare,
                  GHashTable *spare_counts,
                  GError **error)
{
  bool drains = pool->wave.id.len > 0 && !pool->wave.stopped;
  g_autoptr (GHashTable) counts = mt_tables_count_new ();
  GHashTableIter iter;
  gpointer zone;
  gpointer value;

  mt_tables_count_add (counts, pool);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &zone, &value))
    {
      unsigned own = ((const struct mt_zone_count *) value)->staying;
      unsigned reachable
          = own + (pool != spare ? lendable_instances (spare, spare_counts, zone) : 0);

      if (pool->min_instances > reachable)
        return refuse_number (error, pool, "min_instances", pool->min_instances, zone, reachable,
                              "its own instances and what the spare pool can lend",
                              "lower min_instances or add instances");
      if (drains && pool->min_instances >= reachable)
        return refuse_number (error, pool, "min_instances", pool->min_instances, zone,
                              reachable - (reachable > 0),
                              "instances left while the wave drains one",
                              "no drain could begin: lower min_instances, add an instance, or "
                              "remove the wave");
    }
  return true;
}

bool
mt_tables_check_drains (const struct mt_tables *tables, GError **error)
{
  const struct mt_pool *spare = find_spare (tables);
  g_autoptr (GHashTable) spare_counts = mt_tables_count_new ();

  if (spare != NULL)
    mt_tables_count_add (spare_counts, spare);
  for (size_t i = 0; i < tables->n_pools; i++)
    if (!check_pool_drain (&tables->pools[i], spare, spare_counts, error))
      return false;
  return true;
}

/* Two pools may each rely on the same spare instances, so the total of min_instances is checked
 * against all instances. */
static bool
check_min_instances_sum (const struct mt_tables *tables, GHashTable *fleet, GError **error)
{
  g_autoptr (GHashTable) totals = mt_tables_count_new ();

  for (size_t i = 0; i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];
      g_autoptr (GHashTable) counts = mt_tables_count_new ();
      GHashTableIter iter;
      gpointer zone;

      mt_tables_count_add (counts, pool);
      g_hash_table_iter_init (&iter, counts);
      while (g_hash_table_iter_next (&iter, &zone, NULL))
        {
          struct mt_zone_count *total = g_hash_table_lookup (totals, zone);
          unsigned available = mt_tables_count_get (fleet, zone).staying;

          if (total == NULL)
            g_hash_table_insert (totals, zone, total = g_new0 (struct mt_zone_count, 1));
          total->staying += pool->min_instances;
          if (total->staying > available)
            return refuse_number (error, pool, "min_instances", total->staying, zone, available,
                                  "instances of all pools; found is the sum up to this row",
                                  "lower min_instances of some pool or add instances");
        }
    }
  return true;
}

bool
mt_tables_check_fleet (const struct mt_tables *tables, GError **error)
{
  g_autoptr (GHashTable) fleet = mt_tables_count_new ();

  for (size_t i = 0; i < tables->n_pools; i++)
    mt_tables_count_add (fleet, &tables->pools[i]);
  return check_min_instances_sum (tables, fleet, error);
}

/* Returns the number of instances that are not leaving by "data centre/rack". */
static GHashTable *
count_instances_by_rack (const struct mt_pool *pool)
{
  GHashTable *racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < pool->n_instances; i++)
    {
      const struct mt_instance *instance = &pool->instances[i];
      char *key = g_strdup_printf ("%s/%s", instance->zone.data, instance->rack.data);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (racks, key));

      g_hash_table_replace (racks, key, GUINT_TO_POINTER (n + !instance->leaving));
    }
  return racks;
}

/* A wave drains rack by rack. A rack with more instances than the budget is drained in parts: that
 * is slower but breaks no limit, so it gives a warning and no error. */
static void
warn_about_large_racks (const struct mt_pool *pool, GPtrArray *warnings)
{
  g_autoptr (GHashTable) racks = count_instances_by_rack (pool);
  GHashTableIter iter;
  gpointer rack;
  gpointer n;

  g_hash_table_iter_init (&iter, racks);
  while (g_hash_table_iter_next (&iter, &rack, &n))
    {
      if (GPOINTER_TO_UINT (n) <= pool->max_unavailable)
        continue;
      g_ptr_array_add (
          warnings,
          g_strdup_printf ("table pools, row \"%s\", column max_unavailable: found \"%u\", rack %s "
                           "has %u instances; the wave drains that rack in parts; raise "
                           "max_unavailable to drain it at once",
                           pool->name.data, pool->max_unavailable, (const char *) rack,
                           GPOINTER_TO_UINT (n)));
      return;
    }
}

GPtrArray *
mt_tables_warnings (const struct mt_tables *tables)
{
  GPtrArray *warnings = g_ptr_array_new_with_free_func (g_free);

  for (size_t i = 0; i < tables->n_pools; i++)
    if (tables->pools[i].wave.id.len > 0 && !tables->pools[i].wave.stopped)
      warn_about_large_racks (&tables->pools[i], warnings);
  return warnings;
}
