/* Measures calls from a peer client to a peer server on loopback: calls a second, and time and
 * processor time of a call. Both ends run in this process. Usage: bench_peer [CALLS [BYTES]] */
#include "peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define DEFAULT_CALLS 20000
#define DEFAULT_BYTES 1000

static char *
echo_body (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  char *reply = malloc (body.len + 1);

  memcpy (reply, body.data, body.len);
  *reply_len = body.len;
  return reply;
}

static double
cpu_s (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double) (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double) (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

int
main (int argc, char **argv)
{
  unsigned calls = argc > 1 ? (unsigned) atoi (argv[1]) : DEFAULT_CALLS;
  size_t bytes = argc > 2 ? (size_t) atoi (argv[2]) : DEFAULT_BYTES;
  const struct mt_clock *clock = mt_clock_system ();
  struct mt_peer_server *server = mt_peer_server_create ("127.0.0.1:0", "server", NULL);
  struct mt_peer_client *client = mt_peer_client_create (clock, "client");
  g_autofree char *body = g_strnfill (bytes, 'x');
  g_autofree char *address = NULL;
  int64_t started;
  double wall;
  double cpu;
  unsigned failed = 0;

  mt_peer_server_set_handler (server, MT_PEER_HEARTBEAT, echo_body, NULL);
  mt_peer_server_start (server);
  address = g_strdup_printf ("127.0.0.1:%u", mt_peer_server_port (server));
  started = mt_clock_now (clock);
  cpu = cpu_s ();
  for (unsigned i = 0; i < calls; i++)
    {
      char *reply = NULL;
      size_t len;

      if (!mt_peer_client_call (client, address, MT_PEER_HEARTBEAT, mt_str_from (body),
                                mt_clock_now (clock) + MT_SECOND, &reply, &len, NULL))
        failed++;
      free (reply);
    }
  wall = (double) (mt_clock_now (clock) - started) / MT_SECOND;
  printf ("%u calls of %zu bytes: %.0f a second, %.1f us each, cpu %.1f us each, %u failed\n",
          calls, bytes, calls / wall, wall * 1e6 / calls, (cpu_s () - cpu) * 1e6 / calls, failed);
  mt_peer_client_destroy (client);
  mt_peer_server_destroy (server);
  return failed > 0;
}
