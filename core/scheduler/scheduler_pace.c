/* Fill work beside serving work: it gives way before the tail of those who serve has been over its
 * target for long, and comes back by steps. */
#include "scheduler_internal.h"

/* Share of the target at which fill work begins to give way, and below which it comes back. */
#define TIGHT 0.9
#define LOOSE 0.6
/* Paces, in percent of full speed. Two steps down reach a halt in two looks, a second apart at
 * most, half the shortest bound that is given for harm. */
#define FULL 100
#define HALF 40
#define HALT 0
/* The gauge tells of the last half second, so a change shows after it. */
#define SETTLE_MS 700
/* Fill work comes back after so long under the target: sooner, it would swing. */
#define RETURN_MS 1500

static int
tightness (const struct mt_worker *w)
{
  int worst = -1;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      const struct mt_step *step = mt_task_step (task);

      if (step->target_ms <= 0 || task->state != MT_TASK_RUNNING)
        continue;
      if ((double) task->gauge > TIGHT * (double) step->target_ms)
        return 1;
      worst = MAX (worst, (double) task->gauge > LOOSE * (double) step->target_ms ? 0 : -1);
    }
  return worst;
}

static uint8_t
next_pace (uint8_t pace, bool down)
{
  if (down)
    return pace > HALF ? HALF : HALT;
  return pace < HALF ? HALF : FULL;
}

static void
pace_fills (struct mt_scheduler *sched, struct mt_worker *w, bool down, int64_t now)
{
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;
      uint8_t pace = next_pace (task->pace, down);

      if (!mt_task_step (task)->fill || task->state != MT_TASK_RUNNING || pace == task->pace)
        continue;
      task->pace = pace;
      w->pace_at = now;
      g_queue_push_tail (&sched->paces, task);
      mt_task_log_event (sched, task, w, "TASK_PACED", "percent=%u", pace);
    }
}

void
mt_worker_adjust_pace (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  int tight = tightness (w);

  if (tight > 0 && now - w->pace_at >= SETTLE_MS)
    pace_fills (sched, w, true, now);
  else if (tight < 0 && now - w->pace_at >= RETURN_MS)
    pace_fills (sched, w, false, now);
}
