/* Where a pool's jobs stand in the store, and how a submission is written there. Pure functions. */
#ifndef MT_FLEET_POOL_KEYS_H
#define MT_FLEET_POOL_KEYS_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"

/* Submissions and cancellings of a pool, in one prefix so that one watch brings both. */
char *mt_pool_queue_prefix (const char *pool);
char *mt_pool_job_key (const char *pool, const char *id);
char *mt_pool_cancel_key (const char *pool, const char *id);
char *mt_pool_progress_key (const char *pool, const char *id);
bool mt_pool_key_is_cancel (const char *pool, const char *key);
/* The part behind the last slash. */
const char *mt_pool_key_id (const char *key);

/* The state that a progress record tells; MT_JOB_UNKNOWN where it can't be read. */
enum mt_job_state mt_pool_record_state (struct mt_str record);

/* A submission as it is stored. */
struct mt_pool_submission
{
  char *route;
  char *workspace;     /* whose job it is; "" for nobody's */
  int64_t accepted_ms; /* Unix time */
  struct mt_str body;  /* as it came */
};

char *mt_pool_submission_pack (const struct mt_pool_submission *submission, size_t *len);
/* False for what can't be read. The body borrows from value; the rest is freed by
 * mt_pool_submission_clear, also after false. */
bool mt_pool_submission_unpack (struct mt_str value, struct mt_pool_submission *out);
void mt_pool_submission_clear (struct mt_pool_submission *submission);
/* A job is seen and cancelled by its own workspace only; one of nobody's by whoever has a key. */
bool mt_pool_job_is_visible (const char *owner, const char *workspace);

#endif
