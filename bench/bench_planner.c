/* Measures one planner step for a number of instances in the data centre: processor time of the
 * step and of parsing and formatting the assignment document, the document's size, and resident
 * memory. Usage: bench_planner [INSTANCES [POOLS]] */
#include "medlartrack/clock.h"
#include "medlartrack/planner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUNDS  200
#define DAEMONS 7

static double
cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double) ts.tv_sec * 1e6 + (double) ts.tv_nsec / 1e3;
}

static struct mt_tables *
make_tables (unsigned instances, unsigned pools)
{
  g_autoptr (GString) out = g_string_new (
      "{\"version\":1,\"id\":\"bench\",\"routes\":[{\"route\":\"r\",\"path\":\"/\",\"pool\":"
      "\"pool-0\",\"repeat\":\"safe\"}],\"pools\":[");
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables;

  for (unsigned p = 0; p < pools; p++)
    {
      g_string_append_printf (out,
                              "%s{\"pool\":\"pool-%u\",\"service\":\"service-%u\",\"spare\":%s,"
                              "\"wave\":{\"id\":\"w\"},\"instances\":[",
                              p > 0 ? "," : "", p, p, p + 1 == pools ? "true" : "false");
      for (unsigned i = p; i < instances; i += pools)
        g_string_append_printf (out,
                                "%s{\"name\":\"worker-%05u\",\"address\":\"10.1.%u.%u:80\","
                                "\"zone\":\"z\",\"rack\":\"rack-%u\"}",
                                i > p ? "," : "", i, i / 250, i % 250 + 1, i / 4);
      g_string_append (out, "]}");
    }
  g_string_append (out, "]}");
  tables = mt_tables_parse (mt_str_from (out->str), &error);
  if (tables == NULL)
    g_error ("%s", error->message);
  return tables;
}

static long
resident_kb (void)
{
  g_autofree char *text = NULL;
  long pages = 0;

  if (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    pages = strtol (g_strstr_len (text, -1, " "), NULL, 10);
  return pages * 4;
}

static double
time_steps (struct mt_planner_input *input,
            struct mt_assign **current,
            struct mt_assign_member *members)
{
  double from = cpu_us ();

  for (int i = 0; i < ROUNDS; i++)
    {
      struct mt_assign *next = mt_assign_next (*current, "bench");
      struct mt_planner_result *result = mt_planner_result_create ();

      input->now_s++;
      mt_planner_step (input, next, result);
      mt_planner_result_destroy (result);
      mt_assign_destroy (*current);
      *current = next;
      for (int d = 0; d < DAEMONS; d++)
        members[d].version = next->version;
    }
  return (cpu_us () - from) / ROUNDS;
}

int
main (int argc, char **argv)
{
  unsigned instances = argc > 1 ? (unsigned) strtoul (argv[1], NULL, 10) : 50;
  unsigned pools = argc > 2 ? (unsigned) strtoul (argv[2], NULL, 10) : 5;
  struct mt_tables *tables = make_tables (instances, pools);
  struct mt_assign *current = mt_assign_create ();
  struct mt_assign_member members[DAEMONS] = { 0 };
  struct mt_planner_input input = { .tables = tables, .zone = "z", .now_s = 1 };
  g_autofree char *text = NULL;
  double step_us;
  double write_us;
  double read_us;

  for (int d = 0; d < DAEMONS; d++)
    members[d].name = "daemon";
  input.members = members;
  input.n_members = DAEMONS;
  input.capacity = mt_capacity_create (&mt_capacity_policies[0]);
  step_us = time_steps (&input, &current, members);
  write_us = cpu_us ();
  text = mt_assign_format (current);
  write_us = cpu_us () - write_us;
  read_us = cpu_us ();
  mt_assign_destroy (mt_assign_parse (mt_str_from (text), NULL));
  read_us = cpu_us () - read_us;
  printf ("instances %u pools %u: step %.0f us, write %.0f us, read %.0f us, document %zu bytes "
          "(%.1f each), resident %ld KB\n",
          instances, pools, step_us, write_us, read_us, strlen (text),
          (double) strlen (text) / instances, resident_kb ());
  mt_capacity_destroy (input.capacity);
  mt_assign_destroy (current);
  mt_tables_destroy (tables);
  return EXIT_SUCCESS;
}
