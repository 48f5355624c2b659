#include "medlartrack/admission.h"

#include <glib.h>
#include <limits.h>
#include <math.h>

/* Weight of the last batch in batch_ms: a slower store shows after about three batches, while a
 * single slow answer causes no refusals. */
#define BATCH_WEIGHT (1.0 / 4)

struct mt_admission
{
  struct mt_admission_settings settings;
  double batch_ms; /* recent mean time to store a batch; 0: none stored yet */
};

struct mt_admission *
mt_admission_create (const struct mt_admission_settings *settings)
{
  struct mt_admission *admission = g_new0 (struct mt_admission, 1);

  admission->settings = *settings;
  return admission;
}

void
mt_admission_destroy (struct mt_admission *admission)
{
  g_free (admission);
}

void
mt_admission_record_batch (struct mt_admission *admission, int64_t took_ms)
{
  double weight = admission->batch_ms == 0 ? 1 : BATCH_WEIGHT;

  admission->batch_ms += weight * ((double) took_ms - admission->batch_ms);
}

int64_t
mt_admission_wait_ms (const struct mt_admission *admission, unsigned waiting)
{
  unsigned per_round = admission->settings.batch_size * admission->settings.parallel_writes;
  unsigned rounds = 1 + waiting / per_round;

  return (int64_t) (admission->batch_ms * rounds);
}

bool
mt_admission_admits (const struct mt_admission *admission, unsigned waiting)
{
  return waiting == 0
         || mt_admission_wait_ms (admission, waiting) <= admission->settings.max_wait_ms;
}

unsigned
mt_admission_places (const struct mt_admission *admission)
{
  unsigned per_round = admission->settings.batch_size * admission->settings.parallel_writes;
  double rounds = admission->batch_ms > 0
                      ? ceil (((double) admission->settings.max_wait_ms + 1) / admission->batch_ms)
                      : UINT_MAX;
  unsigned places;

  if (rounds * per_round >= UINT_MAX)
    return UINT_MAX;
  places = (unsigned) rounds * per_round;
  while (places >= per_round && !mt_admission_admits (admission, places - 1))
    places -= per_round;
  return MAX (places, 1U);
}

unsigned
mt_admission_retry_after_s (const struct mt_admission *admission, unsigned waiting, double draw)
{
  double wait_s = (double) mt_admission_wait_ms (admission, waiting) / 1000;

  return (unsigned) MAX (ceil (wait_s * (1 + draw)), 1);
}
