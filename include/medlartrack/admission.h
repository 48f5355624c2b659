/* Admission control: estimates from the duration of the store's last batches whether a submission
 * can be stored in time behind the waiting ones. Does no I/O. Not thread-safe. Times are
 * milliseconds. */
#ifndef MEDLARTRACK_ADMISSION_H
#define MEDLARTRACK_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct mt_admission;

struct mt_admission_settings
{
  unsigned batch_size;      /* submissions in one write */
  unsigned parallel_writes; /* concurrent writes */
  int64_t max_wait_ms;      /* a submission that waits longer gets an unknown outcome */
};

/* Free the result with mt_admission_destroy. */
struct mt_admission *mt_admission_create (const struct mt_admission_settings *settings);
void mt_admission_destroy (struct mt_admission *admission);

/* Records that a batch was stored after took_ms. */
void mt_admission_record_batch (struct mt_admission *admission, int64_t took_ms);
/* Returns the expected wait of a submission behind `waiting` others. */
int64_t mt_admission_wait_ms (const struct mt_admission *admission, unsigned waiting);
/* Returns false if the submission could not be stored within max_wait_ms. It is then to be refused
 * at once: nothing of it was sent, and the caller can go elsewhere. */
bool mt_admission_admits (const struct mt_admission *admission, unsigned waiting);
/* Returns the number of submissions that may wait: mt_admission_admits returns true for any smaller
 * number and false for this and any greater one. UINT_MAX until a batch was stored. */
unsigned mt_admission_places (const struct mt_admission *admission);
/* Returns the delay, in whole seconds, after which a refused caller should retry: the time to store
 * the submissions before it, plus up to as long again by draw (random, 0 to 1), so that refused
 * callers don't all return together. */
unsigned
mt_admission_retry_after_s (const struct mt_admission *admission, unsigned waiting, double draw);

#endif
