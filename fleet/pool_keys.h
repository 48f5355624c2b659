/* Keys of a pool's jobs in the store, and the format of a stored submission. Pure functions. */
#ifndef MT_FLEET_POOL_KEYS_H
#define MT_FLEET_POOL_KEYS_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"

/* Common prefix of a pool's submissions and cancellations, so that one watch covers both. Free each
 * of these keys with g_free. */
char *mt_pool_queue_prefix (const char *pool);
char *mt_pool_job_key (const char *pool, const char *id);
char *mt_pool_cancel_key (const char *pool, const char *id);
char *mt_pool_progress_key (const char *pool, const char *id);
/* Key whose writes give the pool's leader higher fencing tokens; its value is empty. */
char *mt_pool_token_key (const char *pool);
bool mt_pool_key_is_cancel (const char *pool, const char *key);
/* Returns the part after the last slash, within key. */
const char *mt_pool_key_id (const char *key);

/* Returns the job's state in a progress record; MT_JOB_UNKNOWN if the record can't be read. */
enum mt_job_state mt_pool_record_state (struct mt_str record);

/* A stored submission. */
struct mt_pool_submission
{
  char *route;
  char *workspace;     /* the job's owner; "" for none */
  int64_t accepted_ms; /* Unix time */
  /* The route's policy as the job was accepted, for leaders whose configuration does not have it;
   * max_attempts 0: unknown. */
  struct mt_route_policy policy;
  struct mt_str body; /* as sent by the caller */
};

char *mt_pool_submission_pack (const struct mt_pool_submission *submission, size_t *len);
/* Returns false if value is not a valid submission. out->body points into value; free the rest with
 * mt_pool_submission_clear, also after false. */
bool mt_pool_submission_unpack (struct mt_str value, struct mt_pool_submission *out);
void mt_pool_submission_clear (struct mt_pool_submission *submission);
/* Returns whether a workspace may see and cancel a job: its owner may, and any workspace if it has
 * none. */
bool mt_pool_job_is_visible (const char *owner, const char *workspace);

#endif
