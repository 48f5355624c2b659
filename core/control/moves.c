#include "planner_internal.h"

#include <string.h>

/* Most drains that one step begins; the budgets limit them further. */
#define MOVES_PER_STEP 4

static double
find_demand_slots (const struct mt_planner_input *input, const char *pool)
{
  for (size_t i = 0; i < input->n_demands; i++)
    if (strcmp (input->demands[i].pool, pool) == 0)
      return input->demands[i].slots_wanted;
  return 0;
}

/* Counts the instances that are live in the pool or on their way to it: a move that isn't complete
 * must not be decided again. */
static unsigned
count_serving (const struct mt_plan *plan, const char *pool)
{
  unsigned count = 0;

  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      const struct mt_assign_record *record = &plan->next->records[i];

      if (mt_planner_instance_is_down (plan->input, record->instance))
        continue;
      if (record->state == MT_ASSIGN_SERVING && strcmp (record->pool, pool) == 0)
        count++;
      if (record->state == MT_ASSIGN_DRAINING && record->goal == MT_GOAL_MOVE
          && strcmp (record->target, pool) == 0)
        count++;
    }
  return count;
}

/* Returns whether a wave waits for an instance of the pool. A pool at its minimum could otherwise
 * never release one to it. */
static bool
wave_waits (const struct mt_plan *plan, const char *pool)
{
  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      const struct mt_assign_record *record = &plan->next->records[i];
      const struct mt_pool *home;

      if (record->wave_state != MT_WAVE_WAITING || strcmp (record->pool, pool) != 0)
        continue;
      home = mt_planner_find_pool (plan, record->home);
      if (home != NULL && home->wave.id.len > 0 && !home->wave.stopped)
        return true;
    }
  return false;
}

static void
describe_pool (const struct mt_plan *plan, const struct mt_pool *row, struct mt_capacity_pool *pool)
{
  *pool = (struct mt_capacity_pool){ .row = row, .slots = 1 };
  for (size_t i = 0; i < row->n_instances; i++)
    {
      const struct mt_instance *instance = &row->instances[i];

      if (!mt_str_equal (instance->zone, mt_str_from (plan->input->zone)) || instance->leaving)
        continue;
      pool->home++;
      pool->slots = instance->slots;
    }
  pool->min_serving = row->min_instances + (wave_waits (plan, row->name.data) ? 1 : 0);
  pool->serving = count_serving (plan, row->name.data);
  pool->demand_slots = find_demand_slots (plan->input, row->name.data);
  pool->can_release = mt_planner_may_drain (plan, row->name.data);
}

static void
describe_pools (const struct mt_plan *plan, GArray *pools)
{
  const struct mt_tables *tables = plan->input->tables;

  g_array_set_size (pools, (guint) tables->n_pools);
  for (size_t i = 0; i < tables->n_pools; i++)
    describe_pool (plan, &tables->pools[i],
                   &g_array_index (pools, struct mt_capacity_pool, (guint) i));
}

/* Picks an instance to move. One whose home is the target goes first, then one that is already away
 * from home, so that no further instance leaves its home. */
static struct mt_assign_record *
pick_instance (const struct mt_plan *plan, const char *pool, const char *target)
{
  struct mt_assign_record *best = NULL;

  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      struct mt_assign_record *record = &plan->next->records[i];

      if (record->state != MT_ASSIGN_SERVING || strcmp (record->pool, pool) != 0
          || mt_planner_instance_is_down (plan->input, record->instance))
        continue;
      if (strcmp (record->home, target) == 0)
        return record;
      if (best == NULL || (strcmp (best->home, pool) == 0 && strcmp (record->home, pool) != 0))
        best = record;
    }
  return best;
}

void
mt_planner_move_capacity (struct mt_plan *plan)
{
  g_autoptr (GArray) pools = g_array_new (FALSE, TRUE, sizeof (struct mt_capacity_pool));
  const struct mt_planner_input *input = plan->input;
  const struct mt_capacity_pool *from;
  const struct mt_capacity_pool *to;

  if (input->capacity == NULL)
    return;
  describe_pools (plan, pools);
  mt_capacity_observe (input->capacity, (void *) pools->data, pools->len, input->now_s);
  for (int i = 0; i < MOVES_PER_STEP; i++)
    {
      struct mt_assign_record *record;

      if (!mt_capacity_decide (input->capacity, (void *) pools->data, pools->len, input->now_s,
                               &from, &to))
        return;
      record = pick_instance (plan, from->row->name.data, to->row->name.data);
      if (record == NULL)
        return;
      mt_assign_drain (plan->next, record, MT_GOAL_MOVE, to->row->name.data, input->now_s);
      plan->result->changed = true;
      plan->result->moves++;
      describe_pools (plan, pools);
    }
}
