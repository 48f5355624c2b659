/* Any body of a heartbeat is refused with a reason and changes nothing, or is merged; whatever it
 * brought, what this daemon tells next can be read by another. */
#include "fuzz.h"

#include "medlartrack/membership.h"

#include <stdlib.h>

static struct mt_membership *
start (const struct mt_clock *clock, const char *name)
{
  struct mt_membership_options options = { .clock = clock, .name = name, .incarnation = 5 };

  options.zone = "west";
  options.address = "127.0.0.1:1";
  return mt_membership_create (&options);
}

static void
check_told (struct mt_membership *told, struct mt_membership *teller)
{
  size_t ask_len;
  size_t answer_len;
  char *ask = mt_membership_make_request (teller, &ask_len);
  char *answer
      = mt_membership_handle_request (told, (struct mt_str){ ask, ask_len }, &answer_len, NULL);

  g_assert (answer != NULL);
  free (ask);
  free (answer);
  ask = mt_membership_make_request (told, &ask_len);
  answer
      = mt_membership_handle_request (teller, (struct mt_str){ ask, ask_len }, &answer_len, NULL);
  g_assert (answer != NULL);
  g_assert (
      mt_membership_handle_response (told, (struct mt_str){ answer, answer_len }, NULL, NULL));
  free (ask);
  free (answer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct mt_clock_manual *manual = mt_clock_manual_create (MT_SECOND);
  struct mt_membership *own = start (mt_clock_manual_clock (manual), "own");
  struct mt_membership *other = start (mt_clock_manual_clock (manual), "other");
  g_autoptr (GError) error = NULL;
  size_t len;
  char *answer = mt_membership_handle_request (own, (struct mt_str){ (const char *) data, size },
                                               &len, &error);

  g_assert ((answer == NULL) == (error != NULL));
  if (answer == NULL)
    g_assert (mt_membership_count (own) == 1);
  free (answer);
  mt_membership_heartbeat (own);
  check_told (other, own);
  mt_membership_destroy (own);
  mt_membership_destroy (other);
  mt_clock_manual_destroy (manual);
  return 0;
}
