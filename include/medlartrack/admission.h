/* Whether a submission can be stored in time behind those that wait, by how long the store's last
 * batches took. Without I/O; one thread. Times in milliseconds. */
#ifndef MEDLARTRACK_ADMISSION_H
#define MEDLARTRACK_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct mt_admission;

struct mt_admission_settings
{
  unsigned batch_size;      /* submissions of one write */
  unsigned parallel_writes; /* writes under way together */
  int64_t max_wait_ms;      /* what waits longer is told that its outcome is unknown */
};

struct mt_admission *mt_admission_create (const struct mt_admission_settings *settings);
void mt_admission_destroy (struct mt_admission *admission);

/* A batch was answered after so long. */
void mt_admission_record_batch (struct mt_admission *admission, int64_t took_ms);
/* The wait of one that comes behind `waiting` others. */
int64_t mt_admission_wait_ms (const struct mt_admission *admission, unsigned waiting);
/* False where it could not be stored within patience_ms: it is to be refused at once, since nothing
 * of it was sent and the caller can go elsewhere. */
bool mt_admission_admits (const struct mt_admission *admission, unsigned waiting);
/* When a refused caller should come back, in whole seconds: once those before it are stored, spread
 * over as long again by `draw` (0 to 1), or all that were refused would return together. */
unsigned
mt_admission_retry_after_s (const struct mt_admission *admission, unsigned waiting, double draw);

#endif
