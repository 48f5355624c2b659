/* Any heartbeat body is rejected with an error and changes nothing, or is merged. In both cases
 * another daemon can parse the next heartbeats and responses of this one. */
#include "fuzz.h"

#include "medlartrack/membership.h"

#include <stdlib.h>

static struct mt_membership *
create_member (const struct mt_clock *clock, const char *name)
{
  struct mt_membership_options options = { .clock = clock, .name = name, .incarnation = 5 };

  options.zone = "west";
  options.address = "127.0.0.1:1";
  return mt_membership_create (&options);
}

/* Both daemons exchange heartbeats in both directions, and each parses what the other sends. */
static void
check_exchange (struct mt_membership *receiver, struct mt_membership *sender)
{
  size_t request_len;
  size_t answer_len;
  char *request = mt_membership_make_request (sender, &request_len);
  char *answer = mt_membership_handle_request (receiver, (struct mt_str){ request, request_len },
                                               &answer_len, NULL);

  g_assert (answer != NULL);
  free (request);
  free (answer);
  request = mt_membership_make_request (receiver, &request_len);
  answer = mt_membership_handle_request (sender, (struct mt_str){ request, request_len },
                                         &answer_len, NULL);
  g_assert (answer != NULL);
  g_assert (
      mt_membership_handle_response (receiver, (struct mt_str){ answer, answer_len }, NULL, NULL));
  free (request);
  free (answer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct mt_clock_manual *manual = mt_clock_manual_create (MT_SECOND);
  struct mt_membership *own = create_member (mt_clock_manual_clock (manual), "own");
  struct mt_membership *other = create_member (mt_clock_manual_clock (manual), "other");
  g_autoptr (GError) error = NULL;
  size_t len;
  char *answer = mt_membership_handle_request (own, (struct mt_str){ (const char *) data, size },
                                               &len, &error);

  g_assert ((answer == NULL) == (error != NULL));
  if (answer == NULL)
    g_assert (mt_membership_count (own) == 1);
  free (answer);
  mt_membership_heartbeat (own);
  check_exchange (other, own);
  mt_membership_destroy (own);
  mt_membership_destroy (other);
  mt_clock_manual_destroy (manual);
  return 0;
}
