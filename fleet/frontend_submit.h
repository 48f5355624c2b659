/* Private to frontend_submit.c, which admits and answers submissions, and frontend_submit_txn.c,
 * which stores them. All functions run on the loop's thread. */
#ifndef MT_FLEET_FRONTEND_SUBMIT_H
#define MT_FLEET_FRONTEND_SUBMIT_H

#include "frontend_internal.h"

struct submit
{
  struct mt_frontend *frontend;
  struct mt_exchange *exchange;
  char *pool;
  char *id;
  char *workspace; /* of the caller; "" for none */
  char *route;
  char *key; /* key in the store */
  char *value;
  size_t value_len;
  int64_t chain_ms; /* duration of the job's longest chain of steps */
  bool wants_estimate;
  struct mt_retry_request request;
  int64_t began;
  int64_t settle_by; /* time by which an unknown outcome is answered */
  bool waited;       /* it has waited for the store's return */
  bool refused_by_store;
  int64_t retry_ms;     /* of a refused job: delay after which it could be served; else 0 */
  bool outcome_unknown; /* a write of it had no answer, so it may be stored */
  bool older_estimate;  /* the leader did not answer the estimate's form with a workspace */
  enum mt_refusal cause;
  struct mt_submit_share share; /* of a refusal because of the workspace's share */
};

/* frontend_submit.c */

/* submit: a struct submit. */
void mt_submit_free (void *submit);
/* Answers the caller with an HTTP status, logs and counts the outcome, and frees the submission. */
void mt_submit_end (struct submit *s, unsigned status, const char *why);
/* Refuses a submission that no transaction holds any more, and frees it. One that may be stored is
 * answered as unknown. */
void mt_submit_refuse (struct submit *s, enum mt_refusal cause, const char *why);
/* Notifies the pool's leader of a stored submission, answers the caller and frees the submission.
 */
void mt_submit_accept (struct submit *s, const char *why);
/* Queues a submission for a transaction; may refuse another one that it displaces. */
void mt_submit_push (struct submit *s);
/* Returns whether the store is expected to answer. */
bool mt_submit_store_answers (const struct mt_frontend *frontend);
/* Returns the loop's time in ms until which a submission may wait for the store. */
int64_t mt_submit_wait_until (const struct submit *s);
/* Refuses a submission of which nothing was sent, since the daemon exits before the outcome of a
 * write would be known. */
void mt_submit_refuse_stopping (void *submit);
/* Holds a submission of which nothing is stored until the store is back, or refuses it. */
void mt_submit_wait_or_refuse (struct submit *s, const char *why);

/* frontend_submit_txn.c */

/* Sends queued submissions in transactions, as many as may be in flight. Refuses overdue ones;
 * holds or refuses all of them while the store does not answer. */
void mt_submit_send_queued (struct mt_frontend *frontend);

#endif
