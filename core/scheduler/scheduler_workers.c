#include "scheduler_internal.h"

#include <math.h>
#include <string.h>

/* Evidence on a worker halves in this time. */
#define EVIDENCE_HALF_MS 6000.0
/* So many failures, with fewer ends well than that, are the worker's and not the tasks'. */
#define SICK_FAILS    2.0
#define SHUN_FIRST_MS 1500
#define SHUN_MOST_MS  12000

struct mt_worker *
mt_scheduler_worker (struct mt_scheduler *sched, const char *id)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w != NULL)
    return w;
  w = g_new0 (struct mt_worker, 1);
  w->id = g_strdup (id);
  w->slow = 1.0;
  g_hash_table_insert (sched->workers, w->id, w);
  g_ptr_array_add (sched->graveyard, w);
  return w;
}

static bool
has_label (const struct mt_worker *w, const char *label)
{
  for (char **l = w->labels; l != NULL && *l != NULL; l++)
    if (strcmp (*l, label) == 0)
      return true;
  return false;
}

/* The life is over: its runs, its ends and its clock are gone. */
static void
begin_life (struct mt_scheduler *sched, struct mt_worker *w, int64_t born, int64_t now)
{
  mt_worker_release_tasks (sched, w, true, now, "reborn");
  w->born = born;
  w->listed_since = now;
  w->ended = w->leaving = false;
  w->held = false;
  w->clock_at = 0;
  w->start_sent = 0;
  w->lapse_by = 0;
  w->seen_end = w->cycle_end = w->durable_end = 0;
  w->fails = w->dones = 0;
  w->slow = 1.0;
  w->shun_until = 0;
  w->silent_since = w->heard = 0;
  w->next_hold = 0;
}

/* What has not been sent at all goes elsewhere at once; what is to be repeated may have begun. */
static void
withdraw_start (struct mt_scheduler *sched, struct mt_task *task, int64_t now)
{
  if (task->state != MT_TASK_ORDERED || !task->order_due)
    return;
  if (task->repeats > 0)
    mt_task_stop (sched, task, now);
  else
    mt_task_set_waiting (sched, task, now);
}

/* A start that is sent to a worker that leaves is lost with it, and its caller waits for another.
 */
static void
leave (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  GList *next;

  w->leaving = true;
  w->leaving_since = now;
  mt_scheduler_log_event (sched, "WORKER_LEAVING", "worker=%s tasks=%u", w->id, w->tasks.length);
  for (GList *l = w->tasks.head; l != NULL; l = next)
    {
      next = l->next;
      withdraw_start (sched, l->data, now);
    }
}

/* The worker starts what it is sent, whether it has room or not. What was placed last goes first.
 */
static void
shrink (struct mt_scheduler *sched, struct mt_worker *w, int64_t now)
{
  GList *before;

  mt_scheduler_log_event (sched, "WORKER_SHRUNK",
                          "worker=%s cpu=%" G_GINT64_FORMAT " used_cpu=%" G_GINT64_FORMAT
                          " mem=%" G_GINT64_FORMAT " used_mem=%" G_GINT64_FORMAT,
                          w->id, w->room.cpu, w->used.cpu, w->room.mem, w->used.mem);
  for (GList *l = w->tasks.tail; l != NULL && mt_worker_is_overcommitted (w); l = before)
    {
      before = l->prev;
      withdraw_start (sched, l->data, now);
    }
}

bool
mt_worker_is_overcommitted (const struct mt_worker *w)
{
  return w->used.cpu > w->room.cpu || w->used.mem > w->room.mem || w->used.gpu > w->room.gpu;
}

void
mt_scheduler_update_worker (struct mt_scheduler *sched,
                            const struct mt_worker_entry *entry,
                            int64_t now)
{
  struct mt_worker *w = mt_scheduler_worker (sched, entry->id);
  bool resized;

  if (entry->started_at_ms != 0 && w->born != 0 && entry->started_at_ms > w->born)
    begin_life (sched, w, entry->started_at_ms, now);
  else if (entry->started_at_ms != 0 && w->born == 0)
    w->born = entry->started_at_ms;
  if (w->ended)
    return;
  if (!w->listed)
    {
      w->listed_since = now;
      mt_scheduler_log_event (sched, "WORKER_LISTED", "worker=%s zone=%s cpu=%" G_GINT64_FORMAT,
                              w->id, entry->zone, entry->resources.cpu);
    }
  if (entry->leaving && !w->leaving)
    leave (sched, w, now);
  w->listed = true;
  resized = memcmp (&w->room, &entry->resources, sizeof w->room) != 0;
  w->room = entry->resources;
  if (resized && mt_worker_is_overcommitted (w))
    shrink (sched, w, now);
  if (g_strcmp0 (w->address, entry->address) != 0)
    {
      g_free (w->address);
      w->address = g_strdup (entry->address);
    }
  if (w->zone == NULL)
    w->zone = g_strdup (entry->zone);
  if (w->labels == NULL)
    w->labels = g_strdupv ((char **) entry->labels);
  sched->changed = true;
}

void
mt_scheduler_worker_unlisted (struct mt_scheduler *sched, const char *id, int64_t now)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w == NULL || !w->listed)
    return;
  w->listed = false;
  w->listed_since = now;
  mt_scheduler_log_event (sched, "WORKER_UNLISTED", "worker=%s tasks=%u silent=%d", id,
                          w->tasks.length, w->silent_since != 0);
}

void
mt_scheduler_worker_ended (struct mt_scheduler *sched,
                           const char *id,
                           int64_t now,
                           const char *proof)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w == NULL || w->ended)
    return;
  mt_worker_release_tasks (sched, w, true, now, proof);
  w->ended = true;
  w->listed = false;
}

void
mt_scheduler_cordon (struct mt_scheduler *sched,
                     const char *id,
                     int64_t until,
                     bool move_long_running)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w == NULL)
    return;
  w->cordon_until = until;
  w->move_long_running = move_long_running;
}

void
mt_scheduler_announce_drain (struct mt_scheduler *sched, const char *id, int64_t until)
{
  struct mt_worker *w = g_hash_table_lookup (sched->workers, id);

  if (w != NULL)
    w->due_until = until;
}

static int64_t
age_of (int64_t at, int64_t now)
{
  return at != 0 ? now - at : -1;
}

static void
tell_lost (struct mt_scheduler *sched, const struct mt_worker *w, int64_t now, const char *why)
{
  mt_scheduler_log_event (sched, "WORKER_LOST",
                          "worker=%s address=%s why=%s tasks=%u heard_age_ms=%" G_GINT64_FORMAT
                          " start_age_ms=%" G_GINT64_FORMAT,
                          w->id, w->address != NULL ? w->address : "", why, w->tasks.length,
                          age_of (w->heard, now), age_of (w->start_sent, now));
}

/* Frees every task of a worker on which nothing can run any more. */
void
mt_worker_release_tasks (
    struct mt_scheduler *sched, struct mt_worker *w, bool life_over, int64_t now, const char *why)
{
  g_autoptr (GPtrArray) given_up = mt_worker_count_losses (sched, w, life_over, now);

  if (w->tasks.length > 0)
    tell_lost (sched, w, now, why);
  while (w->tasks.length > 0)
    {
      struct mt_task *task = g_queue_peek_head (&w->tasks);

      mt_task_log_event (sched, task, w, "TASK_LOST",
                         "why=%s state=%s seen_ms=%" G_GINT64_FORMAT " losses=%u suspect=%d", why,
                         mt_task_state_names[task->state], mt_task_observed_ms (task), task->losses,
                         task->suspect);
      task->shunned = w;
      mt_task_set_waiting (sched, task, now);
    }
  for (guint i = 0; i < given_up->len; i++)
    mt_task_give_up (sched, given_up->pdata[i], now);
}

bool
mt_worker_accepts_work (const struct mt_worker *w, int64_t now)
{
  return w->listed && w->held && !w->leaving && !w->ended && w->silent_since == 0
         && w->cordon_until <= now && w->shun_until <= now && w->strays == 0;
}

bool
mt_worker_fits (const struct mt_worker *w, const struct mt_step *step)
{
  if (!step->fill && w->used.cpu + step->need.cpu > w->room.cpu)
    return false;
  if (w->used.mem + step->need.mem > w->room.mem || w->used.gpu + step->need.gpu > w->room.gpu)
    return false;
  return step->label == NULL || has_label (w, step->label);
}

unsigned
mt_worker_tasks_of_step (const struct mt_worker *w, const struct mt_occurrence *occ, unsigned step)
{
  unsigned n = 0;

  for (GList *l = w->tasks.head; l != NULL; l = l->next)
    {
      const struct mt_task *task = l->data;

      n += task->occ == occ && task->step == step;
    }
  return n;
}

bool
mt_worker_can_run (const struct mt_worker *w, const struct mt_task *task)
{
  const struct mt_step *step = mt_task_step (task);

  return mt_worker_fits (w, step)
         && (step->max_per_worker == 0
             || mt_worker_tasks_of_step (w, task->occ, task->step) < step->max_per_worker);
}

bool
mt_task_can_run_elsewhere (const struct mt_scheduler *sched,
                           const struct mt_task *task,
                           int64_t now)
{
  GHashTableIter it;
  struct mt_worker *w;

  g_hash_table_iter_init (&it, sched->workers);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (w != task->worker && mt_worker_accepts_work (w, now) && mt_worker_can_run (w, task))
      return true;
  return false;
}

/* A worker that fails what others finish takes nothing for a while, longer each time; then one or
 * two tasks try it again. Evidence is of all jobs together: a hopeless job fails everywhere. */
void
mt_worker_record_outcome (struct mt_scheduler *sched, struct mt_worker *w, bool good, int64_t now)
{
  double kept = exp2 (-(double) (now - w->evidence_at) / EVIDENCE_HALF_MS);

  w->fails = w->fails * kept + (good ? 0 : 1);
  w->dones = w->dones * kept + (good ? 1 : 0);
  w->evidence_at = now;
  if (good)
    {
      w->shun_times = 0;
      return;
    }
  if (w->fails < SICK_FAILS || w->fails <= w->dones || w->shun_until > now)
    return;
  w->shun_until = now + MIN (SHUN_FIRST_MS << MIN (w->shun_times, 3U), SHUN_MOST_MS);
  w->shun_times++;
  mt_scheduler_log_event (sched, "WORKER_SHUNNED",
                          "worker=%s fails=%.1f dones=%.1f for_ms=%" G_GINT64_FORMAT, w->id,
                          w->fails, w->dones, w->shun_until - now);
}

/* ---- leases ---- */

/* As low as the worker's clock can stand now. */
static int64_t
least_clock (const struct mt_worker *w, int64_t now)
{
  return w->clock_ms + (now - w->clock_at) * (1000 - MT_CLOCK_DRIFT_PER_MILLE) / 1000;
}

/* An answer that was long on its way shows the clock as it stood then. Taken for now's, each lease
 * would be shorter by that way, and what runs would lapse behind a slow link: a reading counts only
 * where it is higher than what is known already. */
void
mt_worker_update_clock (struct mt_worker *w, int64_t clock_ms, int64_t now)
{
  if (clock_ms < 0 || (w->clock_at != 0 && clock_ms < least_clock (w, now)))
    return;
  w->clock_ms = clock_ms;
  w->clock_at = now;
}

/* On the worker's clock, taken as low as it can be, so that no lease is longer than meant. */
int64_t
mt_worker_lease_end (const struct mt_worker *w, int64_t now, int64_t hold_ms)
{
  return w->clock_at != 0 ? least_clock (w, now) + hold_ms : 0;
}

/* Counted from when it is sent, answered or not: an order without an answer may have arrived. */
void
mt_worker_record_lease (struct mt_worker *w, int64_t hold_ms, int64_t now)
{
  int64_t by = now + hold_ms * 1000 / (1000 - MT_CLOCK_DRIFT_PER_MILLE) + 100;

  w->lapse_by = MAX (w->lapse_by, by);
}
