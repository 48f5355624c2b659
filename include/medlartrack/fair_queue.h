/* A queue that is fair across audiences: they take turns, whatever each has waiting. Every
 * operation but mt_fair_queue_count_ahead and mt_fair_queue_pop_expired takes constant time. The
 * items are the caller's. Not thread-safe. */
#ifndef MEDLARTRACK_FAIR_QUEUE_H
#define MEDLARTRACK_FAIR_QUEUE_H

#include <glib.h>
#include <stdint.h>

struct mt_fair_queue;
struct mt_fair_flow;

struct mt_fair_item
{
  uint64_t audience;
  int64_t expires_us; /* not worth serving from then on */
  void *owner;
  /* The queue's own. */
  struct mt_fair_flow *flow;
  GList link;
};

struct mt_fair_queue *mt_fair_queue_create (void);
/* Items left in it are forgotten. */
void mt_fair_queue_destroy (struct mt_fair_queue *queue);

void mt_fair_queue_push (struct mt_fair_queue *queue, struct mt_fair_item *item);
/* The next in turn, or NULL. */
struct mt_fair_item *mt_fair_queue_pop (struct mt_fair_queue *queue);
void mt_fair_queue_remove (struct mt_fair_queue *queue, struct mt_fair_item *item);
unsigned mt_fair_queue_length (const struct mt_fair_queue *queue);
/* How many would be served before a newcomer of this audience. */
unsigned mt_fair_queue_count_ahead (const struct mt_fair_queue *queue, uint64_t audience);
/* Takes out one item whose time to give up has come, or NULL. */
struct mt_fair_item *mt_fair_queue_pop_expired (struct mt_fair_queue *queue, int64_t now_us);

#endif
