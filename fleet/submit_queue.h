/* Submissions that wait for a transaction, shared between workspaces by their weights. Without
 * workspaces they are served in order of arrival. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_SUBMIT_QUEUE_H
#define MT_FLEET_SUBMIT_QUEUE_H

#include "metrics.h"

#include "medlartrack/admission.h"
#include "medlartrack/workspaces.h"

#include <stddef.h>
#include <stdint.h>

struct mt_submit_queue;

/* Shares of a workspace in thousandths. */
struct mt_submit_share
{
  unsigned share; /* its part of the waiting submissions */
  unsigned fair;  /* its part by weight */
};

/* admission: borrowed; gives the number of places. Free the result with mt_submit_queue_destroy. */
struct mt_submit_queue *mt_submit_queue_create (const struct mt_admission *admission);
/* Submissions that are still queued are dropped, not freed. */
void mt_submit_queue_destroy (struct mt_submit_queue *queue);
/* Sets the weights of the workspaces; NULL for none. */
void mt_submit_queue_set_workspaces (struct mt_submit_queue *queue,
                                     const struct mt_workspaces *workspaces);

/* Returns MT_REFUSAL_NONE if a submission of the workspace ("" for none) is admitted, else
 * MT_REFUSAL_BACKLOG or, where the workspace holds its share, MT_REFUSAL_SHARE. */
enum mt_refusal mt_submit_queue_check (struct mt_submit_queue *queue, const char *workspace);
/* Queues a submission of `bytes` that arrived at `since`. Returns a submission that it displaced,
 * which must be refused with MT_REFUSAL_SHARE; NULL if there is none. */
void *mt_submit_queue_push (struct mt_submit_queue *queue,
                            const char *workspace,
                            size_t bytes,
                            int64_t since,
                            void *submission);
/* Removes and returns the next submission; NULL if there is none. */
void *mt_submit_queue_pop (struct mt_submit_queue *queue);
/* Removes and returns a submission that arrived at `before` or earlier and still waits because
 * later ones of other workspaces were served; it must be refused with MT_REFUSAL_SHARE. NULL if
 * there is none. */
void *mt_submit_queue_pop_overdue (struct mt_submit_queue *queue, int64_t before);
unsigned mt_submit_queue_length (const struct mt_submit_queue *queue);

struct mt_submit_share mt_submit_queue_share (const struct mt_submit_queue *queue,
                                              const char *workspace);
/* Returns the delay, in whole seconds, after which a submission that was refused should be sent
 * again. For MT_REFUSAL_SHARE it follows from the workspace's own backlog. draw: random, 0 to 1. */
unsigned mt_submit_queue_retry_after_s (const struct mt_submit_queue *queue,
                                        const char *workspace,
                                        enum mt_refusal cause,
                                        double draw);

#endif
