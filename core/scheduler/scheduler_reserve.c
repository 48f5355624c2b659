/* Reservation of workers for a workspace below its share.
 *
 * A workspace whose tasks are larger than what single ends free would wait for good beside others
 * that place smaller tasks. The one that has waited longest gets workers kept free for it. */
#include "scheduler_place.h"

#include <string.h>

/* A workspace that has been below its share for this long with tasks waiting gets workers reserved:
 * most tasks run for 0.7 to 2.1 s, so that most resources there were have been freed since. */
#define RESERVE_AFTER_MS 1000
/* Longest reservation: more than the run time of most tasks. Workers with longer tasks are given up
 * for others. */
#define RESERVED_MS 3000

void
mt_scheduler_release_reservation (struct mt_scheduler *sched)
{
  if (sched->reserved_for == NULL)
    return;
  sched->reserved_for = NULL;
  for (guint i = 0; i < sched->owned_workers->len; i++)
    ((struct mt_worker *) sched->owned_workers->pdata[i])->reserved_for = NULL;
}

/* Returns the workspace that has waited longest for its share, if it has for RESERVE_AFTER_MS. */
static struct mt_account *
find_starving (const struct placement *placement, const GPtrArray *accounts)
{
  struct mt_account *longest = NULL;

  for (guint i = 0; i < accounts->len; i++)
    {
      struct mt_account *account = accounts->pdata[i];

      if (account->below_since != 0 && placement->now - account->below_since >= RESERVE_AFTER_MS
          && mt_account_is_within_limit (placement->sched, account, NULL, 0)
          && (longest == NULL || account->below_since < longest->below_since))
        longest = account;
    }
  return longest;
}

/* Returns the first waiting step that lacks nothing but resources; NULL if there is none. */
static const struct ready_step *
find_step_to_reserve (const struct placement *placement,
                      const struct mt_account *account,
                      GArray *ready_steps)
{
  for (guint i = account->first_ready; i != G_MAXUINT;)
    {
      const struct ready_step *ready = &g_array_index (ready_steps, struct ready_step, i);
      const struct mt_step *step = &ready->occ->job->spec->steps[ready->step];

      if (ready->occ->step_waiting[ready->step] > 0 && !step->fill && step->max_per_worker == 0
          && !ready->occ->has_suspects && !ready->occ->job->route->policy.needs_tickets
          && !mt_placement_is_over_quota (placement, ready))
        return ready;
      i = ready->next;
    }
  return NULL;
}

static unsigned
count_tasks_that_fit (const struct mt_resources *resources, const struct mt_resources *need)
{
  int64_t n = G_MAXINT;

  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    if (mt_resources_get (need, i) > 0)
      n = MIN (n, mt_resources_get (resources, i) / mt_resources_get (need, i));
  return (unsigned) MAX (n, 0);
}

/* Returns how many tasks of the step the worker can run once its present tasks have ended, without
 * the long-running ones. */
static unsigned
count_reservable_tasks (const struct mt_worker *w, const struct mt_step *step)
{
  struct mt_resources left = w->resources;

  if (step->label != NULL
      && (w->labels == NULL || !g_strv_contains ((const char *const *) w->labels, step->label)))
    return 0;
  for (const GList *l = w->tasks.head; l != NULL; l = l->next)
    if (mt_task_step (l->data)->long_running)
      for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
        *mt_resources_field (&left, i) -= mt_resources_get (&mt_task_step (l->data)->need, i);
  return count_tasks_that_fit (&left, &step->need);
}

static int
compare_used_cpu (const void *left, const void *right)
{
  const struct mt_worker *const *a = left;
  const struct mt_worker *const *b = right;

  if ((*a)->used.cpu != (*b)->used.cpu)
    return (*a)->used.cpu < (*b)->used.cpu ? -1 : 1;
  return strcmp ((*a)->id, (*b)->id);
}

/* Ends a reservation whose workspace has its share, or whose time is over: then the workspace
 * counts as waiting anew, since its task may lack something else than resources. */
void
mt_placement_check_reservation (const struct placement *placement, const GPtrArray *accounts)
{
  struct mt_scheduler *sched = placement->sched;
  struct mt_account *starving = find_starving (placement, accounts);

  if (starving != NULL && starving == sched->reserved_for)
    {
      if (placement->now < sched->reserved_until)
        {
          mt_placement_schedule_placing (placement, sched->reserved_until);
          return;
        }
      starving->below_since = placement->now;
    }
  mt_scheduler_release_reservation (sched);
}

/* To be called when tasks of workspaces that are not below their share were placed although others
 * are. The tasks of those are larger than what single ends free, and would wait for good. For the
 * workspace that has waited longest, as many workers as it is entitled to, those with the least
 * use, are kept free of other workspaces' new tasks until it has its share or RESERVED_MS have
 * passed. */
void
mt_placement_reserve_workers (struct placement *placement,
                              GArray *ready_steps,
                              const GPtrArray *accounts)
{
  struct mt_scheduler *sched = placement->sched;
  struct mt_account *starving = find_starving (placement, accounts);
  const struct ready_step *ready
      = starving != NULL ? find_step_to_reserve (placement, starving, ready_steps) : NULL;
  g_autoptr (GPtrArray) workers = NULL;
  const struct mt_step *step;
  unsigned wanted;
  unsigned n = 0;

  if (ready == NULL || sched->reserved_for != NULL)
    return;
  step = &ready->occ->job->spec->steps[ready->step];
  wanted = step->gang ? step->count : 1;
  while (!step->gang && wanted < ready->occ->step_waiting[ready->step]
         && mt_account_is_within_limit (sched, starving, step, wanted + 1))
    wanted++;
  workers = g_ptr_array_copy (placement->workers, NULL, NULL);
  g_ptr_array_sort (workers, compare_used_cpu);
  sched->reserved_for = starving;
  sched->reserved_until = placement->now + RESERVED_MS;
  for (guint i = 0; i < workers->len && n < wanted; i++)
    {
      struct mt_worker *w = workers->pdata[i];
      unsigned fitting = count_reservable_tasks (w, step);

      w->reserved_for = fitting > 0 ? starving : NULL;
      n += fitting;
    }
  if (n < (step->gang ? wanted : 1))
    mt_scheduler_release_reservation (sched);
  else
    mt_placement_schedule_placing (placement, sched->reserved_until);
}
