/* Private to the front end's source files. */
#ifndef MT_FLEET_FRONTEND_INTERNAL_H
#define MT_FLEET_FRONTEND_INTERNAL_H

#include "frontend.h"
#include "store_wait.h"
#include "submit_queue.h"

#include "medlartrack/admission.h"

/* Deadline of a submission: after it the outcome is unknown, and a retry by the caller under the
 * same id finds it out. Callers give up after some 3 s. */
#define MT_FRONTEND_DEADLINE_MS    1200
#define MT_FRONTEND_TXN_TIMEOUT_MS 600
/* Time-out of a query to the pool's leader, which answers from memory; afterwards the store is
 * read. */
#define MT_FRONTEND_LEADER_TIMEOUT_MS 350
/* Retry-After value: the store refuses for seconds at a time, and a free leadership is claimed
 * within two. */
#define MT_FRONTEND_RETRY_AFTER_S 1

struct mt_frontend
{
  struct event_base *base;
  struct mt_frontend_options options;
  const struct mt_fleet_config *config;
  struct mt_admission *admission;
  struct mt_submit_queue *submits;  /* queued, not in a transaction yet */
  struct mt_store_wait *store_wait; /* NULL: submissions don't wait for the store */
  unsigned txns;                    /* in flight, except those in settling */
  unsigned settling;                /* transactions whose outcome is being found out */
  GQueue failed_txns;               /* to be sent again by their timers; counted in the above */
  unsigned in_flight;
  GQueue held; /* struct held_call, by arrival: calls that wait for a check of the configuration */
  GQueue cancels;    /* struct query, cancels that wait to be sent again by their timers */
  bool closing;      /* calls end with what is known, nothing is sent any more */
  int64_t answer_by; /* of a stop; INT64_MAX: none has begun */
  struct mt_timer *stop_timer;   /* runs once no write may be begun any more */
  double store_ms;               /* recent mean time of the store's answers; 0: none yet */
  int64_t estimate_paused_until; /* no estimate is requested before this time: a leader did not
                                    answer */
};

/* body: JSON, or NULL for an empty object. retry_after_s: 0 for no Retry-After header. */
void mt_frontend_answer (struct mt_exchange *exchange,
                         unsigned status,
                         const char *body,
                         unsigned retry_after_s);
/* Returns the time-out of a call to the store: long enough for a store that is slow for all
 * callers, since an answer that is not waited for leaves the outcome unknown. */
int64_t mt_frontend_store_timeout_ms (const struct mt_frontend *frontend, int64_t shortest_ms);
/* Records how long a call to the store took until its answer or, without one, its time-out. */
void mt_frontend_record_store (struct mt_frontend *frontend, int64_t took_ms, bool answered);
/* Returns whether the outcome of a write that is begun now will be known before the daemon exits.
 */
bool mt_frontend_may_write (const struct mt_frontend *frontend);
/* Sends a call to the pool's leader; returns false if the leader is not known. */
bool mt_frontend_send_leader (struct mt_frontend *frontend,
                              const char *pool,
                              enum mt_mesh_method method,
                              const struct mt_mesh_args *args,
                              mt_mesh_done done,
                              void *data);
/* Sends a message to the pool's leader without waiting for a reply. */
void mt_frontend_notify_leader (struct mt_frontend *frontend,
                                const char *pool,
                                enum mt_mesh_method method,
                                const struct mt_mesh_args *args);

/* Returns a Retry-After value in whole seconds: the wait plus a random part of up to the same
 * length, by draw (0 to 1), so that refused callers do not all return together. */
unsigned mt_frontend_retry_after_s (int64_t wait_ms, double draw);

/* workspace: of the caller; "" if the route asks for no key. */
/* frontend_submit.c */
struct mt_store_wait *mt_frontend_new_store_wait (struct mt_frontend *frontend);
/* Frees a submission that is not answered any more. */
void mt_frontend_drop_submit (void *submit);
void mt_frontend_submit (struct mt_frontend *frontend,
                         struct mt_exchange *exchange,
                         const struct mt_fleet_route *route,
                         const char *id,
                         const char *workspace);
/* frontend_submit_txn.c */
struct mt_admission *mt_frontend_new_admission (void);
/* Frees the queued submissions, and those of failed transactions. */
void mt_frontend_drop_submits (struct mt_frontend *frontend);
/* Refuses the submissions that wait to be sent; those that were sent before are kept. */
void mt_frontend_refuse_unsent (struct mt_frontend *frontend);
/* Ends the failed transactions, whose submissions are answered with what is known. */
void mt_frontend_end_failed_txns (struct mt_frontend *frontend);
/* frontend_ask.c */
/* Ends the cancels that wait to be sent again. */
void mt_frontend_end_cancels (struct mt_frontend *frontend);
void mt_frontend_query_state (struct mt_frontend *frontend,
                              struct mt_exchange *exchange,
                              const struct mt_fleet_route *route,
                              const char *id,
                              const char *workspace);
void mt_frontend_query_pending (struct mt_frontend *frontend,
                                struct mt_exchange *exchange,
                                const struct mt_fleet_route *route);
void mt_frontend_cancel (struct mt_frontend *frontend,
                         struct mt_exchange *exchange,
                         const struct mt_fleet_route *route,
                         const char *id,
                         const char *workspace);

#endif
