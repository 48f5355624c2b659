/* Follows whether the store answers this daemon, and holds submissions that wait for its return.
 * Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_STORE_WAIT_H
#define MT_FLEET_STORE_WAIT_H

#include "medlartrack/retry_plan.h"

#include <stddef.h>

struct event_base;
struct mt_journal;
struct mt_store_wait;

struct mt_store_wait_options
{
  struct mt_journal *journal;
  int64_t max_wait_ms; /* longest wait of one submission */
  /* Returns whether the store is expected to answer. */
  bool (*store_answers) (void *ctx);
  /* Returns whether, as far as known, the store answers no daemon. */
  bool (*store_is_down) (void *ctx);
  /* Takes a submission back: the store answers again. */
  void (*release) (void *ctx, void *submission);
  /* Takes a submission back: the store is not expected to be back in time. */
  void (*refuse) (void *ctx, void *submission);
  void *ctx;
};

struct mt_store_wait *mt_store_wait_create (struct event_base *base,
                                            const struct mt_store_wait_options *options);
/* Passes all submissions that wait to `drop`. wait may be NULL. */
void mt_store_wait_clear (struct mt_store_wait *wait, void (*drop) (void *submission));
/* Passes submissions that still wait to `drop`. */
void mt_store_wait_destroy (struct mt_store_wait *wait, void (*drop) (void *submission));

/* To be called when a call of the store has failed. */
void mt_store_wait_record_failure (struct mt_store_wait *wait, enum mt_store_failure failure);
/* Returns whether the store is expected to answer now. */
bool mt_store_wait_store_answers (struct mt_store_wait *wait);
/* Holds a submission of this size until the store is back, at most until answer_by. Returns false
 * if the submission is to be refused at once instead. */
bool mt_store_wait_add (struct mt_store_wait *wait,
                        void *submission,
                        size_t bytes,
                        const struct mt_retry_request *request,
                        int64_t answer_by);
/* Returns the Retry-After value of a refused submission in seconds. */
unsigned mt_store_wait_retry_after_s (struct mt_store_wait *wait,
                                      const struct mt_retry_request *request);
/* Returns for how long the store has not answered; 0 if it answers. */
int64_t mt_store_wait_away_ms (const struct mt_store_wait *wait);

#endif
