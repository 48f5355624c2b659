/* Embeds the planner in a program of one's own: tables in, a policy of one's own, the assignment
 * document out. A real program writes the document to its store by compare-and-swap between two
 * steps, and gives real reports of its daemons; here one pretends to. */
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

/* Asks for one instance more wherever anything waits. */
static void
decide_eager (struct mt_capacity_pool *pools, size_t n)
{
  for (size_t i = 0; i < n; i++)
    pools[i].desired_instances
        = pools[i].home + (pools[i].demand_slots > pools[i].home * pools[i].slots ? 1 : 0);
}

static const struct mt_capacity_policy eager = {
  .name = "eager",
  .description = "one instance more wherever anything waits",
  .decide = decide_eager,
  .moves = true,
};

/* One step, and what a store would have kept of it. */
static struct mt_assign *
step (struct mt_planner_input *input, struct mt_assign *held)
{
  struct mt_assign *next = mt_assign_next (held, "example");
  struct mt_planner_result *result = mt_planner_result_create ();

  mt_planner_step (input, next, result);
  for (guint i = 0; i < result->reports->len; i++)
    printf ("report: %s\n", (char *) result->reports->pdata[i]);
  mt_planner_result_destroy (result);
  mt_assign_destroy (held);
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
      assign = step (&input, assign);
      daemon.version = assign->version; /* the daemon took it and has nothing in flight */
    }
  for (size_t i = 0; i < assign->n_records; i++)
    printf ("%s serves %s since version %" G_GUINT64_FORMAT "\n", assign->records[i].instance,
            assign->records[i].pool, assign->records[i].epoch);
  mt_capacity_destroy (input.capacity);
  mt_assign_destroy (assign);
  mt_tables_destroy (tables);
  return EXIT_SUCCESS;
}
