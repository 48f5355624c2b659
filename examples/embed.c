/* Example of a program that embeds the planner: it parses tables, plans with a custom policy and
 * prints the assignment. A real program writes the assignment document to its store by
 * compare-and-swap after each step, and passes real reports of its daemons; here one daemon is
 * simulated. */
#include <medlartrack/planner.h>

#include <stdio.h>
#include <stdlib.h>

static const char tables_text[]
    = "{\"version\":1,\"id\":\"example\",\"routes\":["
      "{\"route\":\"quotes\",\"path\":\"/quotes\",\"pool\":\"quotes\",\"repeat\":\"safe\"}],"
      "\"pools\":["
      "{\"pool\":\"quotes\",\"service\":\"quotations\",\"instances\":["
      "{\"name\":\"q1\",\"address\":\"10.0.0.1:80\",\"zone\":\"west\",\"rack\":\"r1\"},"
      "{\"name\":\"q2\",\"address\":\"10.0.0.2:80\",\"zone\":\"west\",\"rack\":\"r2\"}]},"
      "{\"pool\":\"office\",\"service\":\"office\",\"spare\":true,\"instances\":["
      "{\"name\":\"o1\",\"address\":\"10.0.0.3:80\",\"zone\":\"west\",\"rack\":\"r1\"},"
      "{\"name\":\"o2\",\"address\":\"10.0.0.4:80\",\"zone\":\"west\",\"rack\":\"r2\"}]}]}";

/* Wants one more instance for each pool whose demand exceeds its slots. */
static void
decide_eager (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances
        = pools[i].home + (pools[i].demand_slots > pools[i].home * pools[i].slots ? 1 : 0);
}

static const struct mt_capacity_policy eager = {
  .name = "eager",
  .description = "one more instance for each pool whose demand exceeds its slots",
  .decide = decide_eager,
  .moves = true,
};

/* Runs one step. Returns the next assignment, as a store would keep it, and frees the current one.
 */
static struct mt_assign *
run_step (struct mt_planner_input *input, struct mt_assign *current)
{
  struct mt_assign *next = mt_assign_next (current, "example");
  struct mt_planner_result *result = mt_planner_result_create ();

  mt_planner_step (input, next, result);
  for (guint i = 0; i < result->reports->len; i++)
    printf ("report: %s\n", (char *) result->reports->pdata[i]);
  mt_planner_result_destroy (result);
  mt_assign_destroy (current);
  return next;
}

int
main (void)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse (mt_str_from (tables_text), &error);
  struct mt_assign *assign = mt_assign_create ();
  struct mt_capacity_demand demand = { "quotes", 40 };
  struct mt_assign_member daemon = { .name = "daemon-a" };
  struct mt_planner_input input = { .tables = tables, .zone = "west" };

  if (tables == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_FAILURE;
    }
  input.capacity = mt_capacity_create (&eager);
  input.members = &daemon;
  input.n_members = 1;
  input.demands = &demand;
  input.n_demands = 1;
  for (input.now_s = 1; input.now_s <= 3; input.now_s++)
    {
      assign = run_step (&input, assign);
      daemon.version
          = assign->version; /* the daemon has applied it and has no requests in flight */
    }
  for (size_t i = 0; i < assign->n_records; i++)
    printf ("%s serves %s since version %" G_GUINT64_FORMAT "\n", assign->records[i].instance,
            assign->records[i].pool, assign->records[i].epoch);
  mt_capacity_destroy (input.capacity);
  mt_assign_destroy (assign);
  mt_tables_destroy (tables);
  return EXIT_SUCCESS;
}
