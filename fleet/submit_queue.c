#include "submit_queue.h"

#include "medlartrack/workspace_queue.h"

struct mt_submit_queue
{
  const struct mt_admission *admission;
  struct mt_workspace_queue *waiting; /* struct waiting */
};

struct waiting
{
  void *submission;
  int64_t since;
};

struct mt_submit_queue *
mt_submit_queue_create (const struct mt_admission *admission)
{
  struct mt_submit_queue *queue = g_new0 (struct mt_submit_queue, 1);

  queue->admission = admission;
  queue->waiting = mt_workspace_queue_create (mt_admission_places (admission));
  return queue;
}

void
mt_submit_queue_destroy (struct mt_submit_queue *queue)
{
  if (queue == NULL)
    return;
  while (mt_submit_queue_pop (queue) != NULL)
    ;
  mt_workspace_queue_destroy (queue->waiting);
  g_free (queue);
}

void
mt_submit_queue_set_workspaces (struct mt_submit_queue *queue,
                                const struct mt_workspaces *workspaces)
{
  unsigned n = workspaces != NULL ? mt_workspaces_count (workspaces) : 0;

  for (unsigned i = 0; i < n; i++)
    {
      const struct mt_workspace *workspace = mt_workspaces_at (workspaces, i);

      mt_workspace_queue_set_weight (queue->waiting, workspace->name,
                                     (double) MAX (workspace->weight, 1));
    }
}

/* ---- places ---- */

static void
update_places (struct mt_submit_queue *queue)
{
  mt_workspace_queue_set_max_items (queue->waiting, mt_admission_places (queue->admission));
}

/* Returns whether one more submission would exceed the share of a workspace that is not the only
 * one. */
static bool
holds_its_share (const struct mt_submit_queue *queue, const char *workspace)
{
  unsigned own = mt_workspace_queue_length_of (queue->waiting, workspace);
  unsigned all = mt_workspace_queue_length (queue->waiting);

  return own > 0 && own < all
         && own + 1 > all * mt_workspace_queue_share (queue->waiting, workspace);
}

enum mt_refusal
mt_submit_queue_check (struct mt_submit_queue *queue, const char *workspace)
{
  update_places (queue);
  if (mt_workspace_queue_admits (queue->waiting, workspace))
    return MT_REFUSAL_NONE;
  return holds_its_share (queue, workspace) ? MT_REFUSAL_SHARE : MT_REFUSAL_BACKLOG;
}

static void *
take_submission (struct waiting *waiting)
{
  void *submission = waiting != NULL ? waiting->submission : NULL;

  g_free (waiting);
  return submission;
}

void *
mt_submit_queue_push (struct mt_submit_queue *queue,
                      const char *workspace,
                      size_t bytes,
                      int64_t since,
                      void *submission)
{
  struct waiting *waiting = g_new0 (struct waiting, 1);
  struct waiting *displaced;

  update_places (queue);
  displaced = mt_workspace_queue_evict (queue->waiting, workspace);
  waiting->submission = submission;
  waiting->since = since;
  mt_workspace_queue_push (queue->waiting, workspace, bytes, waiting);
  return take_submission (displaced);
}

void *
mt_submit_queue_pop (struct mt_submit_queue *queue)
{
  return take_submission (mt_workspace_queue_pop (queue->waiting));
}

static bool
has_waited_since (const void *item, void *ctx)
{
  return ((const struct waiting *) item)->since <= *(const int64_t *) ctx;
}

void *
mt_submit_queue_pop_overdue (struct mt_submit_queue *queue, int64_t before)
{
  return take_submission (
      mt_workspace_queue_pop_overtaken (queue->waiting, has_waited_since, &before));
}

unsigned
mt_submit_queue_length (const struct mt_submit_queue *queue)
{
  return mt_workspace_queue_length (queue->waiting);
}

/* ---- refusals ---- */

struct mt_submit_share
mt_submit_queue_share (const struct mt_submit_queue *queue, const char *workspace)
{
  unsigned own = mt_workspace_queue_length_of (queue->waiting, workspace);
  unsigned all = MAX (mt_workspace_queue_length (queue->waiting), 1U);

  return (struct mt_submit_share){
    .share = (unsigned) (1000.0 * own / all),
    .fair = (unsigned) (1000 * mt_workspace_queue_share (queue->waiting, workspace)),
  };
}

unsigned
mt_submit_queue_retry_after_s (const struct mt_submit_queue *queue,
                               const char *workspace,
                               enum mt_refusal cause,
                               double draw)
{
  unsigned ahead = cause == MT_REFUSAL_SHARE
                       ? mt_workspace_queue_count_ahead (queue->waiting, workspace)
                       : mt_submit_queue_length (queue);

  return mt_admission_retry_after_s (queue->admission, ahead, draw);
}
