/* Admission control: whether a submission can be stored in time behind the waiting ones, estimated
 * from how long the store's last batches took. No I/O; not thread-safe. Times in milliseconds. */
#ifndef MEDLARTRACK_ADMISSION_H
#define MEDLARTRACK_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct mt_admission;

struct mt_admission_settings
{
  unsigned batch_size;      /* submissions in one write */
  unsigned parallel_writes; /* concurrent writes */
  int64_t max_wait_ms;      /* a submission that waits longer is reported with an unknown outcome */
};

struct mt_admission *mt_admission_create (const struct mt_admission_settings *settings);
void mt_admission_destroy (struct mt_admission *admission);

/* Records that a batch was stored after took_ms. */
void mt_admission_record_batch (struct mt_admission *admission, int64_t took_ms);
/* Expected wait of a submission behind `waiting` others. */
int64_t mt_admission_wait_ms (const struct mt_admission *admission, unsigned waiting);
/* False if the submission could not be stored within max_wait_ms. It is to be refused at once:
 * nothing of it was sent, and the caller can go elsewhere. */
bool mt_admission_admits (const struct mt_admission *admission, unsigned waiting);
/* When a refused caller should come back, in whole seconds: once the submissions before it are
 * stored, plus up to as long again by `draw` (0 to 1), so that refused callers don't all return
 * together. */
unsigned
mt_admission_retry_after_s (const struct mt_admission *admission, unsigned waiting, double draw);

#endif
