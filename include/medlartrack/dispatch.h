/* Request dispatch for one pool, by one daemon: the slots of the pool's minions and the queue of
 * requests that wait for a slot. Decides which minion serves a request and which requests are
 * refused. Not thread-safe: the owner holds a lock around every call. */
#ifndef MEDLARTRACK_DISPATCH_H
#define MEDLARTRACK_DISPATCH_H

#include "medlartrack/balance.h"
#include "medlartrack/clock.h"
#include "medlartrack/fair_queue.h"
#include "medlartrack/share.h"
#include "medlartrack/tables.h"

struct mt_dispatch;

enum mt_refusal
{
  MT_REFUSAL_NONE,
  MT_REFUSAL_NO_MINION,    /* no minion accepts work */
  MT_REFUSAL_QUEUE_FULL,   /* the queue has reached the route's limit */
  MT_REFUSAL_DEADLINE,     /* cannot be answered before its deadline */
  MT_REFUSAL_RETRY_BUDGET, /* the retry budget is spent */
};

/* A request for a slot. The caller owns it and keeps it until it has been completed, refused,
 * expired or cancelled. */
struct mt_ticket
{
  uint64_t audience; /* requests of one audience share one FIFO queue */
  int64_t deadline_us;
  const char *avoid; /* minion that failed the previous attempt, or NULL */
  bool is_retry;     /* takes a token from the retry budget */
  void *owner;       /* for the caller's use */
  /* Set when a slot is granted. */
  char *minion; /* name; owned by the dispatch until mt_dispatch_complete */
  const char *address;
  unsigned connections; /* this daemon's share of the minion's connection limit */
  int64_t granted_us;
  /* Set when refused or expired. */
  enum mt_refusal refusal;
  /* Internal to the dispatch. */
  struct mt_fair_item item;
};

enum mt_dispatch_admission
{
  MT_ADMISSION_GRANTED, /* the ticket holds a slot */
  MT_ADMISSION_QUEUED,  /* queued; a callback follows: granted or expired */
  MT_ADMISSION_REFUSED, /* not queued; the ticket's refusal gives the reason */
};

enum mt_dispatch_result
{
  MT_DISPATCH_SUCCESS,      /* complete response other than 5xx */
  MT_DISPATCH_SERVER_ERROR, /* complete response with status 5xx */
  MT_DISPATCH_NOT_SENT,     /* could not connect */
  MT_DISPATCH_LOST,         /* response incomplete, late or for another request */
  MT_DISPATCH_REFUSED,      /* the minion did not run the request: its slots are full */
  MT_DISPATCH_UNUSED,       /* nothing was sent; does not affect the minion's health */
};

struct mt_dispatch_callbacks
{
  const char *name;
  const char *description;
  /* granted: a queued ticket has got a slot. expired: a queued ticket was dropped; its refusal
   * gives the reason. Both are called from within the functions below. */
  void (*granted) (struct mt_ticket *ticket);
  void (*expired) (struct mt_ticket *ticket);
};

/* clock and callbacks must outlive the result; free it with mt_dispatch_destroy. policy: NULL for
 * the default. seed: for random choices; must differ between daemons. */
struct mt_dispatch *mt_dispatch_create (const struct mt_clock *clock,
                                        const struct mt_dispatch_callbacks *callbacks,
                                        const struct mt_balance *policy,
                                        uint64_t seed);
/* Requires that no ticket is queued or holds a slot. */
void mt_dispatch_destroy (struct mt_dispatch *dispatch);

/* Replaces the set of minions. A removed minion finishes its requests in flight and gets no new
 * ones. */
void mt_dispatch_update (struct mt_dispatch *dispatch,
                         const struct mt_instance *const *instances,
                         size_t n);
/* Sets this daemon's rank among the live daemons of its data centre. others returns how many
 * requests the other daemons have in flight on a minion, and is called for each minion during the
 * call only; NULL: unknown, counted as 0. */
void mt_dispatch_set_share (struct mt_dispatch *dispatch,
                            struct mt_share share,
                            unsigned (*others) (void *ctx, const char *minion),
                            void *ctx);
/* Marks a minion that has announced its shutdown: it gets no new work until mt_dispatch_rejoin, a
 * new address, or its absence from an update. */
void mt_dispatch_set_leaving (struct mt_dispatch *dispatch, const char *name);
/* Returns whether the minion has announced its shutdown. */
bool mt_dispatch_is_leaving (const struct mt_dispatch *dispatch, const char *name);
/* Clears the mark of mt_dispatch_set_leaving. */
void mt_dispatch_rejoin (struct mt_dispatch *dispatch, const char *name);

/* Grants the ticket a slot, queues it, or refuses it. queue_limit: most tickets queued for the
 * pool. */
enum mt_dispatch_admission
mt_dispatch_submit (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit);
/* Releases the slot of a granted ticket, records the result for the minion's health and grants free
 * slots to queued tickets. */
void mt_dispatch_complete (struct mt_dispatch *dispatch,
                           struct mt_ticket *ticket,
                           enum mt_dispatch_result result);
/* Removes a queued ticket, for example when its caller has disconnected. */
void mt_dispatch_cancel (struct mt_dispatch *dispatch, struct mt_ticket *ticket);
/* Handles timeouts: expires queued tickets, starts probes, grants slots. To be called at
 * mt_dispatch_next_tick_us. */
void mt_dispatch_tick (struct mt_dispatch *dispatch);
/* Returns the earliest time at which mt_dispatch_tick can grant or expire this queued ticket. */
int64_t mt_dispatch_next_tick_us (const struct mt_dispatch *dispatch,
                                  const struct mt_ticket *ticket);

/* Returns the number of queued tickets. */
unsigned mt_dispatch_queue_length (const struct mt_dispatch *dispatch);
/* Returns the number of requests that this daemon has in flight on one minion, or on all minions if
 * name is NULL. */
unsigned mt_dispatch_in_flight (const struct mt_dispatch *dispatch, const char *name);
/* Returns the number of slots that this daemon may use now on one minion, or on all minions if name
 * is NULL. */
unsigned mt_dispatch_usable_slots (const struct mt_dispatch *dispatch, const char *name);
/* Returns the number of ejected minions. */
unsigned mt_dispatch_ejected_count (const struct mt_dispatch *dispatch);
/* Returns the estimated time until the current queue is served. */
int64_t mt_dispatch_backlog_us (const struct mt_dispatch *dispatch);
/* Returns the moving mean of the time that a request holds its slot; 0 before the first sample. */
int64_t mt_dispatch_service_us (const struct mt_dispatch *dispatch);
/* Calls visit for each minion with this daemon's requests in flight on it. */
void mt_dispatch_each (const struct mt_dispatch *dispatch,
                       void (*visit) (void *ctx, const char *minion, unsigned in_flight),
                       void *ctx);

#endif
