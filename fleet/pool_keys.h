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

/* A stored submission: its route, when it was accepted (Unix time), and the body as it came. */
char *mt_pool_value (const char *route, int64_t accepted_ms, struct mt_str body, size_t *len);
/* body borrows from value. */
bool
mt_pool_read_value (struct mt_str value, char **route, int64_t *accepted_ms, struct mt_str *body);

#endif
