/* Runs one daemon's membership without callers or a platform: real sockets and threads, and
 * generated loads that change each second. Prints "port=N", then one line of figures for the
 * measured time. Exits on SIGTERM. Usage: bench_member NAME ZONE MINIONS POOLS WARM_S MEASURE_S
 * [PEER]... */
#include "peers.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

struct shape
{
  unsigned minions;
  unsigned pools;
  unsigned reports;
};

static void
report_generated_loads (void *ctx, struct mt_peers *peers)
{
  struct shape *shape = ctx;
  struct mt_member_load *loads = g_new0 (struct mt_member_load, shape->minions);
  struct mt_member_demand *demands = g_new0 (struct mt_member_demand, shape->pools);

  shape->reports++;
  for (unsigned i = 0; i < shape->minions; i++)
    loads[i] = (struct mt_member_load){ g_strdup_printf ("minion-west-%03u", i),
                                        1 + (unsigned) g_random_int_range (0, 3) };
  for (unsigned i = 0; i < shape->pools; i++)
    demands[i] = (struct mt_member_demand){ g_strdup_printf ("pool-%02u", i),
                                            (unsigned) g_random_int_range (0, 10),
                                            (unsigned) g_random_int_range (0, 100),
                                            90000 + shape->reports };
  mt_peers_set_loads (peers, loads, shape->minions, demands, shape->pools);
  for (unsigned i = 0; i < shape->minions; i++)
    g_free (loads[i].minion);
  for (unsigned i = 0; i < shape->pools; i++)
    g_free (demands[i].pool);
  g_free (loads);
  g_free (demands);
}

static void
ignore_change (void *ctx, struct mt_peers *peers)
{
}

static const struct mt_peers_callbacks callbacks
    = { "made-up", "reports generated loads", report_generated_loads, ignore_change };

static double
cpu_s (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double) (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double) (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static void
count_member (void *ctx, const struct mt_member *member)
{
  ++*(unsigned *) ctx;
}

static void
measure_membership (struct mt_peers *peers, const char *name, unsigned warm_s, unsigned measure_s)
{
  struct mt_peer_traffic before;
  struct mt_peer_traffic after;
  struct rusage usage;
  unsigned members = 0;
  double cpu;

  g_usleep (warm_s * G_USEC_PER_SEC);
  before = mt_peers_traffic (peers);
  cpu = cpu_s ();
  g_usleep (measure_s * G_USEC_PER_SEC);
  after = mt_peers_traffic (peers);
  cpu = cpu_s () - cpu;
  mt_peers_each_alive (peers, NULL, count_member, &members);
  getrusage (RUSAGE_SELF, &usage);
  printf ("figures %s members=%u in_Bps=%.0f out_Bps=%.0f frames_ps=%.2f cpu_percent=%.3f "
          "rss_mb=%.1f\n",
          name, members, (double) (after.received - before.received) / measure_s,
          (double) (after.sent - before.sent) / measure_s,
          (double) (after.frames - before.frames) / measure_s, cpu * 100 / measure_s,
          (double) usage.ru_maxrss / 1024);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  struct mt_settings settings = { .peer_listen = MT_STR ("127.0.0.1:0") };
  struct mt_peers_options options = { .clock = mt_clock_system (), .callbacks = &callbacks };
  struct shape shape = { 0 };
  struct mt_peers *peers;
  sigset_t signals;
  int signal_number;

  if (argc < 7)
    return 2;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  settings.name = mt_str_from (argv[1]);
  settings.zone = mt_str_from (argv[2]);
  shape.minions = (unsigned) atoi (argv[3]);
  shape.pools = (unsigned) atoi (argv[4]);
  settings.n_peers = (size_t) argc - 7;
  settings.peers = g_new0 (struct mt_str, settings.n_peers + 1);
  for (int i = 7; i < argc; i++)
    settings.peers[i - 7] = mt_str_from (argv[i]);
  options.settings = &settings;
  options.server = mt_peer_server_create ("127.0.0.1:0", argv[1], NULL);
  options.ctx = &shape;
  mt_log_setup (MT_LOG_HUMAN, MT_LOG_INFO, argv[1]);
  peers = mt_peers_create (&options);
  mt_peers_start (peers);
  mt_peer_server_start (options.server);
  printf ("port=%u\n", mt_peer_server_port (options.server));
  fflush (stdout);
  measure_membership (peers, argv[1], (unsigned) atoi (argv[5]), (unsigned) atoi (argv[6]));
  sigwait (&signals, &signal_number);
  mt_peer_server_destroy (options.server);
  mt_peers_destroy (peers);
  g_free (settings.peers);
  return 0;
}
