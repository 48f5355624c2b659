#include "config_delta.h"
#include "medlartrack/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <zlib.h>

#include <cmocka.h>

/* What 10 Mbit/s carry in a second. */
#define LINK_BYTES_PER_S 1250000U
#define STEPS            200
#define MAX_ROUTES       40
#define DAMAGED          4000
#define MAX_TEXT         65536U

static struct mt_fleet_config *
create_config (int64_t version)
{
  struct mt_fleet_config *config = g_new0 (struct mt_fleet_config, 1);

  config->version = version;
  config->routes = mt_route_table_create ();
  return config;
}

static void
set_route (struct mt_fleet_config *config, unsigned i, int64_t objective_ms)
{
  struct mt_fleet_route route = { .name = g_strdup_printf ("r-%08x", i * 2654435761U),
                                  .host = i % 7 > 0 ? g_strdup_printf ("h%u.example", i % 7) : NULL,
                                  .prefix = g_strdup_printf ("/%08x/", i * 2246822519U),
                                  .pool = g_strdup_printf ("p%u", i % 5),
                                  .terms = { (int) (i % 3), 4, 1.6, objective_ms },
                                  .requires_advice = i % 4 == 0,
                                  .allow_anonymous = i % 2 == 0 };

  mt_route_table_set (config->routes, &route);
}

static void
remove_route (struct mt_fleet_config *config, unsigned i)
{
  g_autofree char *host = i % 7 > 0 ? g_strdup_printf ("h%u.example", i % 7) : NULL;
  g_autofree char *prefix = g_strdup_printf ("/%08x/", i * 2246822519U);

  mt_route_table_remove (config->routes, host, prefix);
}

static void
set_pools (struct mt_fleet_config *config, unsigned n)
{
  config->pools = g_new0 (struct mt_fleet_pool, n);
  config->n_pools = n;
  for (unsigned i = 0; i < n; i++)
    config->pools[i] = (struct mt_fleet_pool){ g_strdup_printf ("p%u", i), i == n - 1 };
}

static void
set_workspaces (struct mt_fleet_config *config, unsigned n)
{
  config->workspaces = mt_workspaces_create ();
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("w%u", i);
      g_autofree char *key = g_strdup_printf ("key-%u", i);
      struct mt_resources quota = { .cpu = 1000 * i };

      assert_true (mt_workspaces_add (config->workspaces, name, &quota, i, NULL));
      assert_true (mt_workspaces_add_key (config->workspaces, key, NULL));
    }
}

static struct mt_str
bytes_str (GBytes *bytes)
{
  struct mt_str text;

  text.data = g_bytes_get_data (bytes, &text.len);
  return text;
}

static struct mt_fleet_config *
copy_config (const struct mt_fleet_config *config)
{
  g_autoptr (GBytes) bytes = mt_config_delta_encode (NULL, config);
  struct mt_fleet_config *copy = mt_config_delta_apply (NULL, bytes_str (bytes), NULL);

  assert_non_null (copy);
  return copy;
}

static void
assert_route_present (void *ctx, const struct mt_fleet_route *route)
{
  const struct mt_fleet_config *other = ctx;
  const struct mt_fleet_route *found
      = mt_route_table_get (other->routes, route->host, route->prefix);

  assert_non_null (found);
  assert_true (mt_fleet_route_equal (found, route));
}

static void
assert_configs_equal (struct mt_fleet_config *a, struct mt_fleet_config *b)
{
  unsigned n = a->workspaces != NULL ? mt_workspaces_count (a->workspaces) : 0;

  assert_int_equal (a->version, b->version);
  assert_int_equal (mt_route_table_size (a->routes), mt_route_table_size (b->routes));
  mt_route_table_for_each (a->routes, assert_route_present, b);
  assert_int_equal (a->n_pools, b->n_pools);
  for (size_t i = 0; i < a->n_pools; i++)
    {
      assert_string_equal (a->pools[i].name, b->pools[i].name);
      assert_int_equal (a->pools[i].standby, b->pools[i].standby);
    }
  assert_int_equal (a->workspaces != NULL, b->workspaces != NULL);
  for (unsigned i = 0; i < n; i++)
    {
      const struct mt_workspace *left = mt_workspaces_at (a->workspaces, i);
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      assert_string_equal (mt_workspaces_by_key (b->workspaces, key)->name, left->name);
      assert_int_equal (mt_workspaces_at (b->workspaces, i)->quota.cpu, left->quota.cpu);
      assert_int_equal (mt_workspaces_at (b->workspaces, i)->weight, left->weight);
    }
}

/* Random changes of all parts, each applied to the result of the one before it. */
static void
test_applied_changes_give_the_configuration_they_were_taken_from (void **state)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (53);
  struct mt_fleet_config *now = create_config (1);
  struct mt_fleet_config *follower = copy_config (now);

  for (int64_t version = 2; version < STEPS; version++)
    {
      struct mt_fleet_config *next = copy_config (now);
      g_autoptr (GBytes) delta = NULL;

      next->version = version;
      for (int n = g_rand_int_range (rand, 0, MAX_ROUTES); n > 0; n--)
        {
          unsigned i = (unsigned) g_rand_int_range (rand, 0, MAX_ROUTES);

          if (g_rand_boolean (rand))
            set_route (next, i, g_rand_int_range (rand, 0, 3));
          else
            remove_route (next, i);
        }
      if (g_rand_int_range (rand, 0, 4) == 0)
        {
          for (size_t i = 0; i < next->n_pools; i++)
            g_free (next->pools[i].name);
          g_free (next->pools);
          set_pools (next, (unsigned) g_rand_int_range (rand, 1, 4));
          mt_workspaces_destroy (g_steal_pointer (&next->workspaces));
          if (g_rand_boolean (rand))
            set_workspaces (next, (unsigned) g_rand_int_range (rand, 0, 4));
        }
      delta = mt_config_delta_encode (now, next);
      follower = mt_config_delta_apply (follower, bytes_str (delta), NULL);
      assert_non_null (follower);
      assert_configs_equal (follower, next);
      mt_fleet_config_free (now);
      now = next;
    }
  mt_fleet_config_free (now);
  mt_fleet_config_free (follower);
}

static void
test_changes_of_another_version_are_refused (void **state)
{
  struct mt_fleet_config *one = create_config (1);
  struct mt_fleet_config *two = create_config (2);
  struct mt_fleet_config *three = create_config (3);
  g_autoptr (GBytes) delta = mt_config_delta_encode (two, three);
  g_autoptr (GError) error = NULL;

  assert_null (mt_config_delta_apply (one, bytes_str (delta), &error));
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_CONFLICT));
  assert_int_equal (one->version, 1);
  g_clear_error (&error);
  assert_null (mt_config_delta_apply (NULL, bytes_str (delta), &error));
  assert_true (g_error_matches (error, MT_ERROR, MT_ERROR_CONFLICT));
  mt_fleet_config_free (one);
  mt_fleet_config_free (two);
  mt_fleet_config_free (three);
}

/* Guards against a crash, or a half applied version, by a message that was damaged or cut. */
static void
test_damaged_changes_are_refused_as_a_whole (void **state)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (54);
  struct mt_fleet_config *config = create_config (5);
  struct mt_fleet_config *base = create_config (4);
  g_autoptr (GBytes) delta = NULL;
  struct mt_str whole;

  for (unsigned i = 0; i < MAX_ROUTES; i++)
    set_route (config, i, 1);
  set_pools (config, 3);
  set_workspaces (config, 3);
  delta = mt_config_delta_encode (base, config);
  whole = bytes_str (delta);
  for (unsigned n = 0; n < DAMAGED; n++)
    {
      g_autofree char *copy = g_memdup2 (whole.data, whole.len);
      size_t len = (size_t) g_rand_int_range (rand, 0, (gint32) whole.len);
      struct mt_fleet_config *result;

      copy[g_rand_int_range (rand, 0, (gint32) whole.len)]
          ^= (char) g_rand_int_range (rand, 1, 256);
      result = mt_config_delta_apply (base, (struct mt_str){ copy, whole.len }, NULL);
      assert_null (result);
      assert_null (mt_config_delta_apply (base, (struct mt_str){ whole.data, len }, NULL));
      assert_int_equal (base->version, 4);
      assert_int_equal (mt_route_table_size (base->routes), 0);
    }
  mt_fleet_config_free (config);
  mt_fleet_config_free (base);
}

/* Guards against a crash by blocks that pass the checksum and are malformed. */
static void
test_malformed_blocks_do_no_harm (void **state)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (55);
  struct mt_fleet_config *config = create_config (5);
  g_autoptr (GBytes) delta = NULL;
  g_autofree guint8 *text = g_malloc (MAX_TEXT);
  g_autofree guint8 *packed = g_malloc (MAX_TEXT);
  uLongf len = MAX_TEXT;

  for (unsigned i = 0; i < MAX_ROUTES; i++)
    set_route (config, i, 1);
  set_pools (config, 3);
  set_workspaces (config, 3);
  delta = mt_config_delta_encode (NULL, config);
  assert_int_equal (
      uncompress (text, &len, (const Bytef *) bytes_str (delta).data, g_bytes_get_size (delta)),
      Z_OK);
  for (unsigned n = 0; n < DAMAGED; n++)
    {
      size_t at = (size_t) g_rand_int_range (rand, 0, (gint32) len);
      guint8 was = text[at];
      uLongf packed_len = MAX_TEXT;
      struct mt_fleet_config *result;

      text[at] = (guint8) g_rand_int_range (rand, 0, 256);
      assert_int_equal (compress (packed, &packed_len, text, len), Z_OK);
      text[at] = was;
      result = mt_config_delta_apply (NULL, (struct mt_str){ (const char *) packed, packed_len },
                                      NULL);
      if (result != NULL)
        assert_true (mt_route_table_size (result->routes) <= MAX_ROUTES);
      mt_fleet_config_free (result);
    }
  mt_fleet_config_free (config);
}

/* Guards against changes that take as long as the whole configuration: 1,400 routes beside 20,000
 * take less than a tenth of a second on 10 Mbit/s, and all of them less than the second that is
 * left of the two after reading. */
static void
test_size_follows_from_what_has_changed (void **state)
{
  struct mt_fleet_config *before = create_config (1);
  struct mt_fleet_config *after;
  g_autoptr (GBytes) whole = NULL;
  g_autoptr (GBytes) delta = NULL;
  g_autoptr (GBytes) nothing = NULL;

  for (unsigned i = 0; i < 18600; i++)
    set_route (before, i, 600);
  after = copy_config (before);
  after->version = 2;
  nothing = mt_config_delta_encode (before, after);
  for (unsigned i = 18600; i < 20000; i++)
    set_route (after, i, 600);
  delta = mt_config_delta_encode (before, after);
  whole = mt_config_delta_encode (NULL, after);
  assert_true (g_bytes_get_size (nothing) < 100);
  assert_true (g_bytes_get_size (delta) < LINK_BYTES_PER_S / 10);
  assert_true (g_bytes_get_size (whole) < LINK_BYTES_PER_S);
  mt_fleet_config_free (before);
  mt_fleet_config_free (after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_applied_changes_give_the_configuration_they_were_taken_from),
    cmocka_unit_test (test_changes_of_another_version_are_refused),
    cmocka_unit_test (test_damaged_changes_are_refused_as_a_whole),
    cmocka_unit_test (test_malformed_blocks_do_no_harm),
    cmocka_unit_test (test_size_follows_from_what_has_changed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
