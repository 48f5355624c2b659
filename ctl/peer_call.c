#include "peer_call.h"

#include "peer.h"

#define CALL_TIMEOUT_US (5 * MT_SECOND)

char *
mt_peer_call_dump (const char *address, GError **error)
{
  const struct mt_clock *clock = mt_clock_system ();
  struct mt_peer_client *client = mt_peer_client_create (clock, "medlartrackctl");
  char *text = NULL;
  size_t len;

  mt_peer_client_call (client, address, MT_PEER_DUMP, MT_STR (""),
                       mt_clock_now (clock) + CALL_TIMEOUT_US, &text, &len, error);
  mt_peer_client_destroy (client);
  return text;
}
