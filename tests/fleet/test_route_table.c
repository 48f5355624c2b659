#include "route_table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define HOSTS 4
#define PATHS 3
#define CASES 20000

static void
set (struct mt_route_table *table, const char *name, const char *host, const char *prefix)
{
  struct mt_fleet_route route = { .name = g_strdup (name),
                                  .host = g_strdup (host),
                                  .prefix = g_strdup (prefix),
                                  .pool = g_strdup ("p") };

  mt_route_table_set (table, &route);
}

static const char *
find (const struct mt_route_table *table, const char *host, const char *path)
{
  const struct mt_fleet_route *route = mt_route_table_find (table, host, path);

  return route != NULL ? route->name : "none";
}

static void
test_longest_prefix_of_the_host_is_found (void **state)
{
  struct mt_route_table *table = mt_route_table_create ();

  set (table, "a", "one.example", "/q/");
  set (table, "b", "one.example", "/q/long/");
  set (table, "c", "two.example", "/q/");
  set (table, "any", NULL, "/q/longer/than/all/");
  assert_string_equal (find (table, "one.example", "/q/x"), "a");
  assert_string_equal (find (table, "One.Example:8080", "/q/long/x"), "b");
  assert_string_equal (find (table, "two.example", "/q/long/x"), "c");
  assert_string_equal (find (table, "two.example", "/q/longer/than/all/x"), "any");
  assert_string_equal (find (table, NULL, "/q/longer/than/all/x"), "any");
  assert_string_equal (find (table, NULL, "/q/x"), "none");
  assert_string_equal (find (table, "one.example", "/"), "none");
  mt_route_table_destroy (table);
}

static void
test_route_is_replaced_and_removed_by_host_and_prefix (void **state)
{
  struct mt_route_table *table = mt_route_table_create ();

  set (table, "a", "one.example", "/q/");
  set (table, "b", "ONE.example", "/q/");
  assert_int_equal (mt_route_table_size (table), 1);
  assert_string_equal (find (table, "one.example", "/q/"), "b");
  assert_false (mt_route_table_remove (table, NULL, "/q/"));
  assert_true (mt_route_table_remove (table, "one.example", "/q/"));
  assert_string_equal (find (table, "one.example", "/q/"), "none");
  mt_route_table_destroy (table);
}

struct model
{
  bool present[HOSTS][PATHS * PATHS];
};

/* Compares with a search of all routes, while routes come and go. */
static void
test_table_agrees_with_a_search_of_all_routes (void **state)
{
  static const char *const hosts[HOSTS] = { NULL, "a", "b", "c" };
  static const char *const parts[PATHS] = { "", "x", "xy" };
  struct mt_route_table *table = mt_route_table_create ();
  g_autoptr (GRand) rand = g_rand_new_with_seed (53);
  struct model model = { 0 };

  for (unsigned n = 0; n < CASES; n++)
    {
      int h = g_rand_int_range (rand, 0, HOSTS);
      int p = g_rand_int_range (rand, 0, PATHS * PATHS);
      g_autofree char *prefix = g_strdup_printf ("/%s/%s", parts[p / PATHS], parts[p % PATHS]);
      g_autofree char *name = g_strdup_printf ("%d %d", h, p);
      const char *best = "none";
      g_autofree char *expected = NULL;
      size_t longest = 0;

      if (g_rand_boolean (rand))
        set (table, name, hosts[h], prefix);
      else
        mt_route_table_remove (table, hosts[h], prefix);
      model.present[h][p] = mt_route_table_get (table, hosts[h], prefix) != NULL;
      h = g_rand_int_range (rand, 0, HOSTS);
      for (int host = 0; host < HOSTS; host++)
        for (int q = 0; q < PATHS * PATHS; q++)
          {
            g_autofree char *text = g_strdup_printf ("/%s/%s", parts[q / PATHS], parts[q % PATHS]);

            if (!model.present[host][q] || (host != 0 && host != h)
                || !g_str_has_prefix (prefix, text) || strlen (text) + (host != 0) <= longest)
              continue;
            longest = strlen (text) + (host != 0);
            g_free (expected);
            expected = g_strdup_printf ("%d %d", host, q);
            best = expected;
          }
      assert_string_equal (find (table, hosts[h], prefix), best);
    }
  mt_route_table_destroy (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_prefix_of_the_host_is_found),
    cmocka_unit_test (test_route_is_replaced_and_removed_by_host_and_prefix),
    cmocka_unit_test (test_table_agrees_with_a_search_of_all_routes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
