/* The front end's parts share these; nobody else does. */
#ifndef MT_FLEET_FRONTEND_INTERNAL_H
#define MT_FLEET_FRONTEND_INTERNAL_H

#include "frontend.h"

#include "medlartrack/admission.h"

/* The store's answer to a submission is waited for so long in all; then its outcome is unknown, and
 * the caller's retry under the same id settles it. A caller gives up after some 3 s. */
#define MT_FRONTEND_SETTLE_MS 1200
#define MT_FRONTEND_TXN_MS    600
/* The pool's leader answers from memory; if it doesn't, the store knows. */
#define MT_FRONTEND_LEADER_MS 350
/* When to come back: the store refuses for seconds at a time, a free leadership is taken within
 * two. */
#define MT_FRONTEND_RETRY_AFTER_S 1

struct mt_frontend
{
  struct event_base *base;
  struct mt_frontend_options options;
  const struct mt_fleet_config *config;
  GQueue submits; /* not in a transaction yet */
  struct mt_admission *admission;
  unsigned txns;
  unsigned busy;
  int64_t no_outlook_until; /* a leader that was asked for one did not answer */
};

/* body NULL: an empty object. */
void mt_frontend_answer (struct mt_exchange *exchange,
                         unsigned status,
                         const char *body,
                         unsigned retry_after_s);
/* To whoever leads the pool elsewhere; false where nobody is known to. */
bool mt_frontend_send_leader (struct mt_frontend *frontend,
                              const char *pool,
                              enum mt_mesh_method method,
                              const struct mt_mesh_args *args,
                              mt_mesh_done done,
                              void *data);
/* A note that wants no reply. */
void mt_frontend_notify_leader (struct mt_frontend *frontend,
                                const char *pool,
                                enum mt_mesh_method method,
                                const struct mt_mesh_args *args);

/* Whole seconds after which to come back, at least the wait and spread over as long again by draw
 * (0 to 1): all that were refused would return together. */
unsigned mt_frontend_retry_after_s (int64_t wait_ms, double draw);

/* workspace: the caller's; "" where the route asks for no key. */
/* frontend_submit.c */
struct mt_admission *mt_frontend_new_admission (void);
void mt_frontend_submit (struct mt_frontend *frontend,
                         struct mt_exchange *exchange,
                         const struct mt_fleet_route *route,
                         const char *id,
                         const char *workspace);
/* frontend_ask.c */
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
