/* A queue that is fair between audiences: they are served in round-robin order, no matter how many
 * items each of them has queued. All operations take constant time except mt_fair_queue_count_ahead
 * and mt_fair_queue_pop_expired. The caller owns the items. Not thread-safe. */
#ifndef MEDLARTRACK_FAIR_QUEUE_H
#define MEDLARTRACK_FAIR_QUEUE_H

#include <glib.h>
#include <stdint.h>

struct mt_fair_queue;
struct mt_fair_flow;

struct mt_fair_item
{
  uint64_t audience;
  int64_t expires_us; /* not served from this time on */
  void *owner;        /* for the caller's use */
  /* Internal to the queue. */
  struct mt_fair_flow *flow;
  GList link;
};

/* Free the result with mt_fair_queue_destroy. */
struct mt_fair_queue *mt_fair_queue_create (void);
/* Frees the queue. Items that are still queued are dropped, not freed. */
void mt_fair_queue_destroy (struct mt_fair_queue *queue);

/* Queues the item behind the other items of its audience. */
void mt_fair_queue_push (struct mt_fair_queue *queue, struct mt_fair_item *item);
/* Removes and returns the next item in round-robin order; NULL if the queue is empty. */
struct mt_fair_item *mt_fair_queue_pop (struct mt_fair_queue *queue);
/* Removes a queued item. */
void mt_fair_queue_remove (struct mt_fair_queue *queue, struct mt_fair_item *item);
/* Returns the number of queued items. */
unsigned mt_fair_queue_length (const struct mt_fair_queue *queue);
/* Returns the number of items that would be served before a new item of this audience. */
unsigned mt_fair_queue_count_ahead (const struct mt_fair_queue *queue, uint64_t audience);
/* Removes and returns one item whose expires_us has passed; NULL if there is none. */
struct mt_fair_item *mt_fair_queue_pop_expired (struct mt_fair_queue *queue, int64_t now_us);

#endif
