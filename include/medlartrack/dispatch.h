/* One pool as one daemon sees it: its minions' slots and the queue before them. Decides who runs
 * where and who is refused. Not thread-safe: the owner holds a lock around every call. */
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
  MT_REFUSAL_NO_MINION,    /* none takes work */
  MT_REFUSAL_QUEUE_FULL,   /* as many wait as the route allows */
  MT_REFUSAL_DEADLINE,     /* could not be answered by its deadline any more */
  MT_REFUSAL_RETRY_BUDGET, /* retries are too large a part of the load already */
};

/* A request that asks for a slot; the caller owns it and keeps it until done or refused. */
struct mt_ticket
{
  uint64_t audience; /* callers of one audience share one queue */
  int64_t deadline_us;
  const char *avoid; /* minion that just failed this request, or NULL */
  bool is_retry;     /* a retry: it needs a token of the retry budget */
  void *owner;
  /* Set once granted. */
  char *minion; /* name; owned by the dispatch until mt_dispatch_complete */
  const char *address;
  unsigned connections; /* this daemon's part of the minion's limit */
  int64_t granted_us;
  /* Set once refused or expired. */
  enum mt_refusal refusal;
  /* The dispatch's own. */
  struct mt_fair_item item;
};

enum mt_dispatch_admission
{
  MT_ADMISSION_GRANTED, /* the ticket holds a slot */
  MT_ADMISSION_QUEUED,  /* queued; granted or expired through the callbacks */
  MT_ADMISSION_REFUSED, /* not queued; the ticket's refusal tells why */
};

enum mt_dispatch_result
{
  MT_DISPATCH_SUCCESS,      /* a whole answer that isn't the minion's own failure */
  MT_DISPATCH_SERVER_ERROR, /* a whole answer that is (5xx) */
  MT_DISPATCH_NOT_SENT,     /* could not connect */
  MT_DISPATCH_LOST,         /* cut, late or crossed */
  MT_DISPATCH_REFUSED,      /* the minion says that it did not run it: its slots are full */
  MT_DISPATCH_UNUSED,       /* nothing was sent: says nothing of the minion */
};

struct mt_dispatch_callbacks
{
  const char *name;
  const char *description;
  /* A waiting ticket got its slot, or was given up on; called inside the dispatch's own calls. */
  void (*granted) (struct mt_ticket *ticket);
  void (*expired) (struct mt_ticket *ticket);
};

/* seed: of the random choices; daemons need different ones. */
struct mt_dispatch *mt_dispatch_create (const struct mt_clock *clock,
                                        const struct mt_dispatch_callbacks *callbacks,
                                        const struct mt_balance *policy,
                                        uint64_t seed);
/* Only once no ticket is left in it. */
void mt_dispatch_destroy (struct mt_dispatch *dispatch);

/* Takes the minions now in force; those gone finish what they run and get nothing new. */
void mt_dispatch_update (struct mt_dispatch *dispatch,
                         const struct mt_instance *const *instances,
                         size_t n);
/* Takes this daemon's place among the live daemons of its data centre, and what the others have in
 * flight on each minion (others may be NULL: nothing known). */
void mt_dispatch_set_share (struct mt_dispatch *dispatch,
                            struct mt_share share,
                            unsigned (*others) (void *ctx, const char *minion),
                            void *ctx);
/* The minion itself said that it leaves: no new work until mt_dispatch_rejoin, a new address, or
 * its absence from an update. */
void mt_dispatch_set_leaving (struct mt_dispatch *dispatch, const char *name);
bool mt_dispatch_is_leaving (const struct mt_dispatch *dispatch, const char *name);
void mt_dispatch_rejoin (struct mt_dispatch *dispatch, const char *name);

enum mt_dispatch_admission
mt_dispatch_submit (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit);
/* Gives the slot back and grants it to a waiter. */
void mt_dispatch_complete (struct mt_dispatch *dispatch,
                           struct mt_ticket *ticket,
                           enum mt_dispatch_result result);
/* Takes a waiting ticket out, such as one whose caller hung up. */
void mt_dispatch_cancel (struct mt_dispatch *dispatch, struct mt_ticket *ticket);
/* Does what the passing of time brings: gives up, probes, grants. Due at mt_dispatch_next_tick_us.
 */
void mt_dispatch_tick (struct mt_dispatch *dispatch);
/* When mt_dispatch_tick could next find something for this waiting ticket. */
int64_t mt_dispatch_next_tick_us (const struct mt_dispatch *dispatch,
                                  const struct mt_ticket *ticket);

unsigned mt_dispatch_queue_length (const struct mt_dispatch *dispatch);
/* In flight on one minion by this daemon, or on all with NULL. */
unsigned mt_dispatch_in_flight (const struct mt_dispatch *dispatch, const char *name);
/* Slots that this daemon may fill now, of one minion or of all with NULL. */
unsigned mt_dispatch_usable_slots (const struct mt_dispatch *dispatch, const char *name);
unsigned mt_dispatch_ejected_count (const struct mt_dispatch *dispatch);
/* How long the queue now waiting would take. */
int64_t mt_dispatch_backlog_us (const struct mt_dispatch *dispatch);
/* Moving mean of the time that a slot is taken; 0 before the first. */
int64_t mt_dispatch_service_us (const struct mt_dispatch *dispatch);
void mt_dispatch_each (const struct mt_dispatch *dispatch,
                       void (*visit) (void *ctx, const char *minion, unsigned in_flight),
                       void *ctx);

#endif
