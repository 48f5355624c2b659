#include "planner_internal.h"

#include <string.h>

/* State of one wave. */
struct wave
{
  const struct mt_pool *pool;
  const char *rack; /* current rack: it is finished before the next one begins */
  unsigned waiting;
  unsigned under_way;
  unsigned down; /* waiting, but not live */
};

static bool
belongs_to_wave (const struct wave *wave, const struct mt_assign_record *record)
{
  return strcmp (record->home, wave->pool->name.data) == 0;
}

static const char *
rack_of (const struct mt_plan *plan, const char *instance)
{
  const struct mt_plan_row *row = mt_planner_find_row (plan, instance);

  return row != NULL ? row->instance->rack.data : "";
}

static bool
is_under_way (const struct mt_assign_record *record)
{
  return record->wave_state == MT_WAVE_WAITING
         && ((record->state == MT_ASSIGN_DRAINING && record->goal == MT_GOAL_REBOOT)
             || record->state == MT_ASSIGN_REBOOTING);
}

static void
count_instances (const struct mt_plan *plan, struct wave *wave)
{
  wave->waiting = 0;
  wave->under_way = 0;
  wave->down = 0;
  wave->rack = NULL;
  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      const struct mt_assign_record *record = &plan->next->records[i];

      if (!belongs_to_wave (wave, record) || record->wave_state != MT_WAVE_WAITING)
        continue;
      if (is_under_way (record))
        {
          wave->under_way++;
          wave->rack = rack_of (plan, record->instance);
        }
      else if (record->state == MT_ASSIGN_SERVING)
        {
          wave->waiting++;
          if (mt_planner_instance_is_down (plan->input, record->instance))
            wave->down++;
        }
    }
}

/* Returns whether the left rack's instances are rebooted before the right one's. One rack at a
 * time, the current one first, then by name: a rack that fails during the wave then affects as few
 * other services as possible. */
static bool
comes_before (const struct wave *wave, const char *left, const char *right)
{
  if (wave->rack != NULL && strcmp (left, wave->rack) == 0)
    return strcmp (right, wave->rack) != 0;
  if (wave->rack != NULL && strcmp (right, wave->rack) == 0)
    return false;
  return strcmp (left, right) < 0;
}

/* Returns whether the record's instance may be drained. *closed is the last pool without budget,
 * and saves counting all records again for the next candidate of that pool. */
static bool
has_budget (const struct mt_plan *plan,
            const struct mt_assign_record *record,
            const char **without_budget)
{
  if (*without_budget != NULL && strcmp (*without_budget, record->pool) == 0)
    return false;
  if (mt_planner_may_drain (plan, record->pool))
    return true;
  *without_budget = record->pool;
  return false;
}

static struct mt_assign_record *
pick_next (const struct mt_plan *plan, const struct wave *wave)
{
  struct mt_assign_record *best = NULL;
  const char *without_budget = NULL;

  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      struct mt_assign_record *record = &plan->next->records[i];

      if (record->wave_state != MT_WAVE_WAITING || record->state != MT_ASSIGN_SERVING
          || !belongs_to_wave (wave, record)
          || mt_planner_instance_is_down (plan->input, record->instance))
        continue;
      if (best != NULL
          && !comes_before (wave, rack_of (plan, record->instance), rack_of (plan, best->instance)))
        continue;
      if (has_budget (plan, record, &without_budget))
        best = record;
    }
  return best;
}

/* Skips the remaining instances, which are all down: waiting for them could last forever. */
static void
skip_down (struct mt_plan *plan, const struct wave *wave)
{
  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      struct mt_assign_record *record = &plan->next->records[i];

      if (!belongs_to_wave (wave, record) || record->wave_state != MT_WAVE_WAITING
          || record->state != MT_ASSIGN_SERVING)
        continue;
      record->wave_state = MT_WAVE_SKIPPED;
      plan->result->changed = true;
      mt_planner_report (plan,
                         "instance %s is down and was skipped by wave %s of pool %s; give the wave "
                         "a new id once it is back",
                         record->instance, wave->pool->wave.id.data, wave->pool->name.data);
    }
}

static void
run_wave (struct mt_plan *plan, const struct mt_pool *pool)
{
  struct wave wave = { .pool = pool };
  struct mt_assign_record *record;

  if (strcmp (mt_assign_wave_id (plan->next, pool->name.data), pool->wave.id.data) != 0)
    {
      mt_assign_begin_wave (plan->next, pool->name.data, pool->wave.id.data);
      plan->result->changed = true;
    }
  for (count_instances (plan, &wave); (record = pick_next (plan, &wave)) != NULL;
       count_instances (plan, &wave))
    {
      mt_assign_drain (plan->next, record, MT_GOAL_REBOOT, NULL, plan->input->now_s);
      plan->result->changed = true;
    }
  if (wave.waiting > 0 && wave.waiting == wave.down && wave.under_way == 0)
    skip_down (plan, &wave);
  else if (wave.waiting > 0 && wave.under_way == 0)
    mt_planner_report (
        plan,
        "wave %s of pool %s waits with %u instances remaining: instances that are out "
        "use up the budget; raise max_unavailable, lower min_instances, or "
        "write \"leaving\": true in the rows of lost instances",
        pool->wave.id.data, pool->name.data, wave.waiting);
}

void
mt_planner_run_waves (struct mt_plan *plan)
{
  for (size_t i = 0; i < plan->input->tables->n_pools; i++)
    {
      const struct mt_pool *pool = &plan->input->tables->pools[i];

      if (pool->wave.id.len > 0 && !pool->wave.stopped)
        run_wave (plan, pool);
    }
}
