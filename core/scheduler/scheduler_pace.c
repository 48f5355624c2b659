/* Pace of fill work on workers with serving tasks. Fill work is slowed before the tail latency of
 * the serving tasks has been above its target for long, and restored in steps. */
#include "scheduler_internal.h"

/* Shares of the target latency above which fill work is slowed, and below which it is restored. */
#define SLOW_DOWN_SHARE 0.9
#define RESTORE_SHARE   0.6
/* Paces in percent of full speed. Two steps bring fill work to a halt within two checks, which are
 * at most a second apart: half the shortest time for which serving tasks may be disturbed. */
#define PACE_FULL    100
#define PACE_REDUCED 40
#define PACE_HALT    0
/* Time until a change of pace shows in the gauge, which covers the last half second. */
#define PACE_EFFECT_MS 700
/* Fill work is restored this long after the last change of pace, if the latency is below
 * RESTORE_SHARE; a shorter time would make the pace oscillate. */
#define RESTORE_AFTER_MS 1500

/* Returns 1 if fill work on the worker is to be slowed, -1 if it may be restored, else 0. */
static int
target_pressure (const struct mt_worker *w)
{
  int worst = -1;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;
      const struct mt_step *step = mt_task_step (task);

      if (step->target_ms <= 0 || task->state != MT_TASK_RUNNING)
        continue;
      if ((double) task->gauge > SLOW_DOWN_SHARE * (double) step->target_ms)
        return 1;
      worst = MAX (worst, (double) task->gauge > RESTORE_SHARE * (double) step->target_ms ? 0 : -1);
    }
  return worst;
}

static uint8_t
next_pace (uint8_t pace, bool slow_down)
{
  if (slow_down)
    return pace > PACE_REDUCED ? PACE_REDUCED : PACE_HALT;
  return pace < PACE_REDUCED ? PACE_REDUCED : PACE_FULL;
}

static void
change_fill_pace (struct mt_scheduler *sched, struct mt_worker *w, bool slow_down, int64_t now)
{
  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      struct mt_task *task = l->data;
      uint8_t pace = next_pace (task->pace, slow_down);

      if (!mt_task_step (task)->fill || task->state != MT_TASK_RUNNING || pace == task->pace)
        continue;
      task->pace = pace;
      w->paced_at = now;
      g_queue_push_tail (&sched->pace_changes, task);
      mt_task_log_event (sched, task, w, "TASK_PACED", "percent=%u", pace);
    }
}

void
mt_worker_adjust_pace (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  int pressure = target_pressure (w);

  if (pressure > 0 && now - w->paced_at >= PACE_EFFECT_MS)
    change_fill_pace (sched, w, true, now);
  else if (pressure < 0 && now - w->paced_at >= RESTORE_AFTER_MS)
    change_fill_pace (sched, w, false, now);
}
