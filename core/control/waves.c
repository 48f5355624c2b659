#include "planner_internal.h"

#include <string.h>

/* One wave, seen from its pool's row in the tables. */
struct wave
{
  const struct mt_pool *pool;
  const char *rack; /* worked on now: it is finished before the next is begun */
  unsigned waiting;
  unsigned under_way;
  unsigned down; /* waiting, but not live */
};

static bool
is_member (const struct wave *wave, const struct mt_assign_record *record)
{
  return strcmp (record->home, wave->pool->name.data) == 0;
}

static const char *
rack_of (const struct mt_plan *plan, const char *instance)
{
  const struct mt_plan_row *row = mt_planner_row (plan, instance);

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
survey (const struct mt_plan *plan, struct wave *wave)
{
  wave->waiting = 0;
  wave->under_way = 0;
  wave->down = 0;
  wave->rack = NULL;
  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      const struct mt_assign_record *record = &plan->next->records[i];

      if (!is_member (wave, record) || record->wave_state != MT_WAVE_WAITING)
        continue;
      if (is_under_way (record))
        {
          wave->under_way++;
          wave->rack = rack_of (plan, record->instance);
        }
      else if (record->state == MT_ASSIGN_SERVING)
        {
          wave->waiting++;
          if (mt_planner_is_down (plan->input, record->instance))
            wave->down++;
        }
    }
}

/* Rack by rack: the rack at work first, then by name, so that a rack that fails within the wave
 * takes as few other services along as can be. */
static bool
comes_before (const struct wave *wave, const char *left, const char *right)
{
  if (wave->rack != NULL && strcmp (left, wave->rack) == 0)
    return strcmp (right, wave->rack) != 0;
  if (wave->rack != NULL && strcmp (right, wave->rack) == 0)
    return false;
  return strcmp (left, right) < 0;
}

/* Asked once for each pool in a row of candidates: the answer counts all records. */
static bool
may_take (const struct mt_plan *plan, const struct mt_assign_record *record, const char **closed)
{
  if (*closed != NULL && strcmp (*closed, record->pool) == 0)
    return false;
  if (mt_planner_may_drain (plan, record->pool))
    return true;
  *closed = record->pool;
  return false;
}

static struct mt_assign_record *
pick (const struct mt_plan *plan, const struct wave *wave)
{
  struct mt_assign_record *best = NULL;
  const char *closed = NULL;

  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      struct mt_assign_record *record = &plan->next->records[i];

      if (record->wave_state != MT_WAVE_WAITING || record->state != MT_ASSIGN_SERVING
          || !is_member (wave, record) || mt_planner_is_down (plan->input, record->instance))
        continue;
      if (best != NULL
          && !comes_before (wave, rack_of (plan, record->instance), rack_of (plan, best->instance)))
        continue;
      if (may_take (plan, record, &closed))
        best = record;
    }
  return best;
}

/* Nothing is left but instances that are down: waiting for them could last for ever. */
static void
skip_down (struct mt_plan *plan, const struct wave *wave)
{
  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      struct mt_assign_record *record = &plan->next->records[i];

      if (!is_member (wave, record) || record->wave_state != MT_WAVE_WAITING
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
  for (survey (plan, &wave); (record = pick (plan, &wave)) != NULL; survey (plan, &wave))
    {
      mt_assign_drain (plan->next, record, MT_GOAL_REBOOT, NULL, plan->input->now_s);
      plan->result->changed = true;
    }
  if (wave.waiting > 0 && wave.waiting == wave.down && wave.under_way == 0)
    skip_down (plan, &wave);
  else if (wave.waiting > 0 && wave.under_way == 0)
    mt_planner_report (plan,
                       "wave %s of pool %s waits with %u instances to go: the budget is spent by "
                       "instances that are out; raise max_unavailable, lower min_instances, or "
                       "write \"leaving\": true in the rows of those that are lost",
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
