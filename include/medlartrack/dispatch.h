/* One pool as one daemon sees it: its minions' slots and the queue before them. Decides who runs
 * where and who is refused. Not thread-safe: the owner holds a lock around every call. */
#ifndef MEDLARTRACK_DISPATCH_H
#define MEDLARTRACK_DISPATCH_H

#include "medlartrack/clock.h"
#include "medlartrack/tables.h"

struct mt_dispatch;

/* A request that asks for a slot; the caller owns it and keeps it until done or refused. */
struct mt_ticket
{
  uint64_t audience; /* callers of one audience share one queue */
  int64_t deadline_us;
  const char *avoid; /* minion that just failed this request, or NULL */
  void *owner;
  /* Set once granted. */
  char *minion; /* name; owned by the dispatch until mt_dispatch_done */
  const char *address;
  int64_t granted_us;
};

enum mt_admit
{
  MT_ADMIT_RUN,    /* the ticket holds a slot */
  MT_ADMIT_WAIT,   /* queued; granted or expired through the callbacks */
  MT_ADMIT_REFUSE, /* not queued */
};

enum mt_dispatch_result
{
  MT_DISPATCH_GOOD,     /* a whole answer that isn't the minion's own failure */
  MT_DISPATCH_BAD,      /* a whole answer that is (5xx) */
  MT_DISPATCH_NOT_SENT, /* could not connect */
  MT_DISPATCH_LOST,     /* cut, late or crossed */
};

struct mt_dispatch_callbacks
{
  const char *name;
  const char *description;
  /* A waiting ticket got its slot, or was given up on; called inside the dispatch's own calls. */
  void (*granted) (struct mt_ticket *ticket);
  void (*expired) (struct mt_ticket *ticket);
};

struct mt_dispatch *mt_dispatch_create (const struct mt_clock *clock,
                                        const struct mt_dispatch_callbacks *callbacks);
/* Only once no ticket is left in it. */
void mt_dispatch_destroy (struct mt_dispatch *dispatch);

/* Takes the minions now in force; those gone finish what they run and get nothing new. */
void mt_dispatch_update (struct mt_dispatch *dispatch,
                         const struct mt_instance *const *instances,
                         size_t n);

enum mt_admit
mt_dispatch_ask (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit);
/* Gives the slot back and grants it to a waiter. */
void mt_dispatch_done (struct mt_dispatch *dispatch,
                       struct mt_ticket *ticket,
                       enum mt_dispatch_result result);
/* Takes a waiting ticket out, such as one whose caller hung up. */
void mt_dispatch_cancel (struct mt_dispatch *dispatch, struct mt_ticket *ticket);

unsigned mt_dispatch_waiting (const struct mt_dispatch *dispatch);
/* In flight on one minion by this daemon, or on all with NULL. */
unsigned mt_dispatch_in_flight (const struct mt_dispatch *dispatch, const char *name);

#endif
