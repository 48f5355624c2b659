/* A queue that serves workspaces by weighted fair queueing, and limits each to its weighted share
 * of the places once these are full. The caller owns the items. Does no I/O. Not thread-safe. */
#ifndef MEDLARTRACK_WORKSPACE_QUEUE_H
#define MEDLARTRACK_WORKSPACE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

struct mt_workspace_queue;

/* max_items: number of places. Free the result with mt_workspace_queue_destroy. */
struct mt_workspace_queue *mt_workspace_queue_create (unsigned max_items);
/* Frees the queue. Items that are still queued are dropped, not freed. */
void mt_workspace_queue_destroy (struct mt_workspace_queue *queue);

/* Sets a workspace's weight; one without a weight has weight 1. */
void mt_workspace_queue_set_weight (struct mt_workspace_queue *queue,
                                    const char *workspace,
                                    double weight);
/* Returns whether the workspace may queue another item. */
bool mt_workspace_queue_admits (const struct mt_workspace_queue *queue, const char *workspace);
/* Queues an item; cost: what serving it takes, in any unit. */
void mt_workspace_queue_push (struct mt_workspace_queue *queue,
                              const char *workspace,
                              size_t cost,
                              void *item);
/* Removes and returns the next item; NULL if the queue is empty. */
void *mt_workspace_queue_pop (struct mt_workspace_queue *queue);
/* Number of queued items of all workspaces, and of one. */
unsigned mt_workspace_queue_length (const struct mt_workspace_queue *queue);
unsigned mt_workspace_queue_length_of (const struct mt_workspace_queue *queue,
                                       const char *workspace);

#endif
