/* For several numbers of daemons, prints the bytes that one daemon sends and receives a second for
 * membership (messages only, without frame and TCP headers), and how many seconds an update takes
 * to reach all daemons. Manual clock, fixed order. Usage: bench_gossip */
#include "medlartrack/membership.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_DAEMONS 64
#define ROUNDS      60
#define ZONES       6

struct fleet
{
  struct mt_clock_manual *clock;
  struct mt_membership *nodes[MAX_DAEMONS];
  unsigned n;
  unsigned fan_out;
  size_t bytes;
};

static void
exchange_heartbeat (struct fleet *fleet, unsigned from, unsigned to)
{
  size_t request_len;
  size_t len;
  char *request = mt_membership_make_request (fleet->nodes[from], &request_len);
  char *answer = mt_membership_handle_request (fleet->nodes[to],
                                               (struct mt_str){ request, request_len }, &len, NULL);

  mt_membership_handle_response (fleet->nodes[from], (struct mt_str){ answer, len }, NULL, NULL);
  fleet->bytes += request_len + len;
  free (request);
  free (answer);
}

static void
set_loads (struct mt_membership *node, unsigned minions, unsigned seed)
{
  struct mt_member_load *loads = g_new0 (struct mt_member_load, minions);
  struct mt_member_demand demands[44];

  for (unsigned i = 0; i < minions; i++)
    loads[i]
        = (struct mt_member_load){ g_strdup_printf ("minion-west-%03u", i), 1 + (seed + i) % 3 };
  for (unsigned i = 0; i < G_N_ELEMENTS (demands); i++)
    demands[i] = (struct mt_member_demand){ g_strdup_printf ("pool-%02u", i), seed % 5,
                                            40 + seed % 50, 90000 + seed };
  mt_membership_set_loads (node, loads, minions, demands, minions > 50 ? 44 : 5);
  for (unsigned i = 0; i < minions; i++)
    g_free (loads[i].minion);
  for (unsigned i = 0; i < G_N_ELEMENTS (demands); i++)
    g_free (demands[i].pool);
  g_free (loads);
}

static void
run_round (struct fleet *fleet, unsigned minions, unsigned round)
{
  mt_clock_manual_advance (fleet->clock, MT_SECOND);
  for (unsigned i = 0; i < fleet->n; i++)
    {
      set_loads (fleet->nodes[i], minions, round * 7 + i);
      mt_membership_heartbeat (fleet->nodes[i]);
    }
  for (unsigned i = 0; i < fleet->n; i++)
    {
      char *addresses[MAX_DAEMONS];
      size_t n = mt_membership_pick_peers (fleet->nodes[i], addresses, fleet->fan_out);

      for (size_t k = 0; k < n; k++)
        {
          exchange_heartbeat (fleet, i, (unsigned) atoi (addresses[k]));
          g_free (addresses[k]);
        }
    }
}

static struct fleet
create_fleet (unsigned n, unsigned zones, unsigned fan_out)
{
  struct fleet fleet = { mt_clock_manual_create (MT_SECOND), { NULL }, n, fan_out, 0 };

  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%02u", i);
      g_autofree char *zone = g_strdup_printf ("zone-%u", i % zones);
      g_autofree char *address = g_strdup_printf ("%u", i);
      struct mt_membership_options options = { .clock = mt_clock_manual_clock (fleet.clock),
                                               .name = name,
                                               .zone = zone,
                                               .address = address,
                                               .incarnation = 1764720000000000 + i };

      fleet.nodes[i] = mt_membership_create (&options);
    }
  for (unsigned i = 1; i < n; i++)
    exchange_heartbeat (&fleet, i, 0);
  return fleet;
}

static unsigned
count_spread_rounds (struct fleet *fleet, unsigned minions)
{
  unsigned rounds = 0;
  unsigned informed = 0;

  mt_membership_set_versions (fleet->nodes[0], 99, 0);
  while (informed < fleet->n)
    {
      rounds++;
      run_round (fleet, minions, rounds);
      informed = 0;
      for (unsigned i = 0; i < fleet->n; i++)
        {
          const struct mt_member *member = mt_membership_find (fleet->nodes[i], "entry-00");

          informed += member != NULL && member->tables_version == 99;
        }
    }
  return rounds;
}

static void
measure_fleet (unsigned n, unsigned zones, unsigned minions, unsigned fan_out)
{
  struct fleet fleet = create_fleet (n, zones, fan_out);

  for (unsigned i = 0; i < 20; i++)
    run_round (&fleet, minions, i);
  fleet.bytes = 0;
  for (unsigned i = 0; i < ROUNDS; i++)
    run_round (&fleet, minions, i);
  /* Each byte is counted twice, for the daemon that sends it and the one that receives it. */
  printf ("%7u %5u %7u %7u %15.2f %6u\n", n, zones, minions, fan_out,
          2.0 * (double) fleet.bytes / n / ROUNDS / 1000, count_spread_rounds (&fleet, minions));
  for (unsigned i = 0; i < n; i++)
    mt_membership_destroy (fleet.nodes[i]);
  mt_clock_manual_destroy (fleet.clock);
}

int
main (void)
{
  static const unsigned sizes[] = { 2, 7, 8, 32, 42, 64 };
  static const unsigned fan_outs[] = { 1, 2, 3, 63 };

  printf ("daemons zones minions fan-out KB/s in and out  spread (s)\n");
  for (unsigned f = 0; f < G_N_ELEMENTS (fan_outs); f++)
    for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
      {
        measure_fleet (sizes[i], 1, 50, fan_outs[f]);
        measure_fleet (sizes[i], MIN (ZONES, sizes[i]), 450, fan_outs[f]);
      }
  return 0;
}
