/* A queue that serves workspaces by weighted fair queueing, and limits each to its weighted share
 * of the places once these are full. The caller owns the items. Does no I/O. Not thread-safe. */
#ifndef MEDLARTRACK_WORKSPACE_QUEUE_H
#define MEDLARTRACK_WORKSPACE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

struct mt_workspace_queue;

/* max_items: number of places; at least one is always free to an empty queue. Free the result with
 * mt_workspace_queue_destroy. */
struct mt_workspace_queue *mt_workspace_queue_create (unsigned max_items);
/* Frees the queue. Items that are still queued are dropped, not freed. */
void mt_workspace_queue_destroy (struct mt_workspace_queue *queue);

/* Sets a workspace's weight; one without a weight has weight 1. */
void mt_workspace_queue_set_weight (struct mt_workspace_queue *queue,
                                    const char *workspace,
                                    double weight);
/* Changes the number of places. Items that are queued already stay. */
void mt_workspace_queue_set_max_items (struct mt_workspace_queue *queue, unsigned max_items);
/* Returns whether the workspace may queue another item: a place is free, or it holds less than its
 * share and mt_workspace_queue_evict frees one. */
bool mt_workspace_queue_admits (const struct mt_workspace_queue *queue, const char *workspace);
/* Frees a place for an item of the workspace: if all are taken and the workspace holds less than
 * its share, removes and returns the newest item of the workspace that exceeds its share most.
 * Returns NULL if there is nothing to remove. */
void *mt_workspace_queue_evict (struct mt_workspace_queue *queue, const char *workspace);
/* Queues an item behind the workspace's other items, whether or not it is admitted. cost: what
 * serving it takes, in any unit. */
void mt_workspace_queue_push (struct mt_workspace_queue *queue,
                              const char *workspace,
                              size_t cost,
                              void *item);
/* Removes and returns the next item; NULL if the queue is empty. */
void *mt_workspace_queue_pop (struct mt_workspace_queue *queue);
/* Removes and returns the oldest item of a workspace if a later item of another workspace was
 * served before it and is_due returns true for it; NULL if there is none. */
void *mt_workspace_queue_pop_overtaken (struct mt_workspace_queue *queue,
                                        bool (*is_due) (const void *item, void *ctx),
                                        void *ctx);
/* Number of queued items of all workspaces, and of one. */
unsigned mt_workspace_queue_length (const struct mt_workspace_queue *queue);
unsigned mt_workspace_queue_length_of (const struct mt_workspace_queue *queue,
                                       const char *workspace);
/* Returns the number of items that would be served before a new item of the workspace, as far as
 * items have the same cost. */
unsigned mt_workspace_queue_count_ahead (const struct mt_workspace_queue *queue,
                                         const char *workspace);
/* Returns the workspace's part, 0 to 1, of the weights of all workspaces with queued items, its own
 * included; 1 if it is the only one. */
double mt_workspace_queue_share (const struct mt_workspace_queue *queue, const char *workspace);

#endif
