#include "medlartrack/planner.h"

#include "planner_internal.h"

#include <stdlib.h>
#include <string.h>

/* A drain that takes no longer than this is normal and not reported to the operator. */
#define NORMAL_DRAIN_S 5

static void
clear_reboot (gpointer data)
{
  struct mt_planner_reboot *reboot = data;

  g_free (reboot->instance);
}

struct mt_planner_result *
mt_planner_result_create (void)
{
  struct mt_planner_result *result = g_new0 (struct mt_planner_result, 1);

  result->reboots = g_array_new (FALSE, TRUE, sizeof (struct mt_planner_reboot));
  g_array_set_clear_func (result->reboots, clear_reboot);
  result->reports = g_ptr_array_new_with_free_func (g_free);
  return result;
}

void
mt_planner_result_destroy (struct mt_planner_result *result)
{
  if (result == NULL)
    return;
  g_array_free (result->reboots, TRUE);
  g_ptr_array_free (result->reports, TRUE);
  g_free (result);
}

void
mt_planner_report (struct mt_plan *plan, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (plan->result->reports, g_strdup_vprintf (format, args));
  va_end (args);
}

static int
compare_names (const void *a, const void *b)
{
  const struct mt_planner_instance *left = a;
  const struct mt_planner_instance *right = b;

  return strcmp (left->name, right->name);
}

const struct mt_planner_instance *
mt_planner_find_instance (const struct mt_planner_input *input, const char *name)
{
  struct mt_planner_instance key = { .name = name };

  if (input->n_instances == 0)
    return NULL;
  return bsearch (&key, input->instances, input->n_instances, sizeof key, compare_names);
}

bool
mt_planner_instance_is_down (const struct mt_planner_input *input, const char *name)
{
  const struct mt_planner_instance *listed = mt_planner_find_instance (input, name);

  return listed != NULL && listed->down;
}

const struct mt_pool *
mt_planner_find_pool (const struct mt_plan *plan, const char *name)
{
  return g_hash_table_lookup (plan->pools, name);
}

const struct mt_plan_row *
mt_planner_find_row (const struct mt_plan *plan, const char *instance)
{
  return g_hash_table_lookup (plan->rows, instance);
}

unsigned
mt_planner_budget (const struct mt_tables *tables, struct mt_str service)
{
  unsigned budget = UINT_MAX;

  for (size_t i = 0; i < tables->n_pools; i++)
    if (mt_str_equal (tables->pools[i].service, service))
      budget = MIN (budget, tables->pools[i].max_unavailable);
  return budget;
}

static bool
is_unavailable (const struct mt_planner_input *input, const struct mt_assign_record *record)
{
  /* An instance that the operator took out is no longer part of the service. */
  if (record->state == MT_ASSIGN_OUT && (record->leave_causes & MT_LEAVE_TABLES) != 0)
    return false;
  return record->state != MT_ASSIGN_SERVING
         || mt_planner_instance_is_down (input, record->instance);
}

unsigned
mt_planner_unavailable (const struct mt_planner_input *input,
                        const struct mt_assign *assign,
                        struct mt_str service)
{
  unsigned count = 0;

  for (size_t i = 0; i < assign->n_records; i++)
    {
      const struct mt_assign_record *record = &assign->records[i];
      const struct mt_pool *pool;

      if (!is_unavailable (input, record))
        continue;
      pool = mt_tables_find_pool (input->tables, mt_str_from (record->pool));
      count += pool != NULL && mt_str_equal (pool->service, service);
    }
  return count;
}

unsigned
mt_planner_count_live (const struct mt_plan *plan, const char *pool)
{
  unsigned count = 0;

  for (size_t i = 0; i < plan->next->n_records; i++)
    {
      const struct mt_assign_record *record = &plan->next->records[i];

      if (record->state == MT_ASSIGN_SERVING && strcmp (record->pool, pool) == 0
          && !mt_planner_instance_is_down (plan->input, record->instance))
        count++;
    }
  return count;
}

/* Returns whether one more instance of the pool may be drained by plan. This is counted in the
 * document that the step writes, so that drains that other waves or moves began in the same step
 * count as well. The compare-and-swap on that document keeps competing planners from spending the
 * same budget. */
bool
mt_planner_may_drain (const struct mt_plan *plan, const char *pool_name)
{
  const struct mt_pool *pool = mt_planner_find_pool (plan, pool_name);

  if (pool == NULL)
    return true;
  return mt_planner_unavailable (plan->input, plan->next, pool->service)
             < mt_planner_budget (plan->input->tables, pool->service)
         && mt_planner_count_live (plan, pool_name) > pool->min_instances;
}

static void
index_tables (struct mt_plan *plan)
{
  const struct mt_tables *tables = plan->input->tables;
  struct mt_str zone = mt_str_from (plan->input->zone);

  plan->pools = g_hash_table_new (g_str_hash, g_str_equal);
  plan->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (size_t i = 0; i < tables->n_pools; i++)
    {
      const struct mt_pool *pool = &tables->pools[i];

      g_hash_table_insert (plan->pools, (gpointer) pool->name.data, (gpointer) pool);
      for (size_t j = 0; j < pool->n_instances; j++)
        {
          struct mt_plan_row row = { &pool->instances[j], pool };

          if (mt_str_equal (row.instance->zone, zone))
            g_hash_table_insert (plan->rows, (gpointer) row.instance->name.data,
                                 g_memdup2 (&row, sizeof row));
        }
    }
}

static void
add_new_instances (struct mt_plan *plan)
{
  const struct mt_tables *tables = plan->input->tables;

  for (size_t i = 0; i < tables->n_pools; i++)
    for (size_t j = 0; j < tables->pools[i].n_instances; j++)
      {
        const struct mt_instance *instance = &tables->pools[i].instances[j];

        if (!mt_str_equal (instance->zone, mt_str_from (plan->input->zone))
            || mt_assign_find (plan->next, instance->name.data) != NULL)
          continue;
        mt_assign_add (plan->next, instance->name.data, tables->pools[i].name.data,
                       plan->input->now_s);
        plan->result->changed = true;
      }
}

static void
check_leaving (struct mt_plan *plan,
               struct mt_assign_record *record,
               const struct mt_instance *instance)
{
  const struct mt_planner_instance *listed
      = mt_planner_find_instance (plan->input, record->instance);
  uint64_t boot = listed != NULL ? listed->boot : 0;

  if (instance == NULL || instance->leaving)
    plan->result->changed
        |= mt_assign_leave (plan->next, record, MT_LEAVE_TABLES, boot, plan->input->now_s);
  /* During the reboot that was ordered here, the platform reports the instance as leaving as
   * well. */
  if (listed != NULL && listed->leaving && record->state != MT_ASSIGN_REBOOTING)
    plan->result->changed
        |= mt_assign_leave (plan->next, record, MT_LEAVE_PLATFORM, boot, plan->input->now_s);
}

/* An instance that left returns only on newer evidence: the tables in force no longer have it
 * leave, and it has booted since. The list lags and may show it as live long after it left. */
static void
try_return (struct mt_plan *plan,
            struct mt_assign_record *record,
            const struct mt_instance *instance,
            const char *home)
{
  const struct mt_planner_instance *listed
      = mt_planner_find_instance (plan->input, record->instance);
  bool by_other_causes = (record->leave_causes & (MT_LEAVE_PLATFORM | MT_LEAVE_REFUSAL)) != 0;

  if (instance == NULL || instance->leaving)
    return;
  if (listed != NULL && (listed->down || listed->leaving))
    return;
  if (by_other_causes && (listed == NULL || listed->boot <= record->boot_when_left))
    return;
  mt_assign_serve (plan->next, record, home, plan->input->now_s);
  plan->result->changed = true;
}

/* The operator moved the row to another pool: a planned drain within the budget. */
static void
apply_home (struct mt_plan *plan, struct mt_assign_record *record, const char *home)
{
  if (strcmp (record->home, home) == 0)
    return;
  if (record->state == MT_ASSIGN_SERVING && strcmp (record->pool, home) != 0)
    {
      if (!mt_planner_may_drain (plan, record->pool))
        {
          mt_planner_report (
              plan,
              "instance %s waits to move to pool %s: the budget of pool %s is spent; "
              "raise its max_unavailable or lower its min_instances",
              record->instance, home, record->pool);
          return;
        }
      mt_assign_drain (plan->next, record, MT_GOAL_MOVE, home, plan->input->now_s);
      plan->result->moves++;
    }
  else if (record->state == MT_ASSIGN_DRAINING && record->goal == MT_GOAL_MOVE)
    return;
  mt_assign_set_home (plan->next, record, home);
  plan->result->changed = true;
}

static void
apply_tables (struct mt_plan *plan, struct mt_assign_record *record)
{
  const struct mt_plan_row *row = mt_planner_find_row (plan, record->instance);
  const struct mt_instance *instance = row != NULL ? row->instance : NULL;

  check_leaving (plan, record, instance);
  if (record->state == MT_ASSIGN_OUT && instance != NULL)
    try_return (plan, record, instance, row->pool->name.data);
  if (instance != NULL)
    apply_home (plan, record, row->pool->name.data);
}

static unsigned
drain_limit (const struct mt_plan *plan, const struct mt_assign_record *record)
{
  const struct mt_pool *home = mt_planner_find_pool (plan, record->home);

  return home != NULL && home->wave.drain_limit_s > 0 ? home->wave.drain_limit_s : DRAIN_LIMIT_S;
}

static bool
is_overdue (const struct mt_plan *plan, const struct mt_assign_record *record)
{
  return plan->input->now_s - record->since_s > (int64_t) drain_limit (plan, record);
}

static void
finish_drain (struct mt_plan *plan, struct mt_assign_record *record)
{
  int64_t now_s = plan->input->now_s;
  const char *target = record->target;

  switch (record->goal)
    {
    case MT_GOAL_REBOOT:
      mt_assign_reboot (plan->next, record, now_s);
      break;
    case MT_GOAL_LEAVE:
      mt_assign_out (plan->next, record, now_s);
      break;
    default:
      if (target == NULL || mt_planner_find_pool (plan, target) == NULL)
        target = record->home;
      mt_assign_serve (plan->next, record, target, now_s);
      break;
    }
  plan->result->changed = true;
}

/* Serving again in the pool that it drains from needs no confirmation: no daemon used the instance
 * for another pool. */
static void
abandon_drain (struct mt_plan *plan, struct mt_assign_record *record, const char *held_by)
{
  bool in_wave = record->goal == MT_GOAL_REBOOT;

  mt_planner_report (
      plan, "instance %s did not drain within %u s, held by daemon %s: it stays in service%s",
      record->instance, drain_limit (plan, record), held_by,
      in_wave ? " and the wave skips it; give the wave a new id to try it again" : "");
  /* A move that the operator asked for is retried: until then the pool that it serves is its home
   * again. */
  if (record->target != NULL && strcmp (record->target, record->home) == 0)
    mt_assign_set_home (plan->next, record, record->pool);
  mt_assign_serve (plan->next, record, record->pool, plan->input->now_s);
  if (in_wave)
    record->wave_state = MT_WAVE_SKIPPED;
  plan->result->changed = true;
}

static void
step_drain (struct mt_plan *plan, struct mt_assign_record *record)
{
  const char *held_by = NULL;

  /* The drain was decided in this step: no daemon can have confirmed it. */
  if (record->epoch == plan->next->version)
    return;
  if (mt_assign_drain_confirmed (record, plan->input->members, plan->input->n_members, &held_by))
    {
      finish_drain (plan, record);
      return;
    }
  if (is_overdue (plan, record) && record->goal != MT_GOAL_LEAVE)
    {
      abandon_drain (plan, record, held_by);
      return;
    }
  if (plan->input->now_s - record->since_s < NORMAL_DRAIN_S)
    return;
  mt_planner_report (plan, "instance %s drains out of pool %s, held by daemon %s", record->instance,
                     record->pool, held_by);
}

static void
order_reboot (struct mt_plan *plan, const struct mt_assign_record *record)
{
  struct mt_planner_reboot reboot = { g_strdup (record->instance), record->epoch };

  g_array_append_val (plan->result->reboots, reboot);
}

/* The order is repeated, by any planner, until the list shows that the reboot with this epoch was
 * carried out. Before that, an instance that does not come back gets no work: a delayed order could
 * still reach it. */
static void
step_reboot (struct mt_plan *plan, struct mt_assign_record *record)
{
  const struct mt_planner_instance *listed
      = mt_planner_find_instance (plan->input, record->instance);

  if (listed != NULL && !listed->down && listed->epoch >= record->epoch)
    {
      if (record->wave_state == MT_WAVE_WAITING)
        record->wave_state = MT_WAVE_DONE;
      plan->result->changed = true;
      if ((record->leave_causes & MT_LEAVE_TABLES) != 0)
        mt_assign_out (plan->next, record, plan->input->now_s);
      else
        mt_assign_serve (plan->next, record, record->pool, plan->input->now_s);
      return;
    }
  if (record->leave_causes & MT_LEAVE_TABLES)
    {
      mt_assign_out (plan->next, record, plan->input->now_s);
      plan->result->changed = true;
      return;
    }
  order_reboot (plan, record);
  if (!is_overdue (plan, record))
    return;
  if (record->wave_state == MT_WAVE_WAITING)
    {
      record->wave_state = MT_WAVE_SKIPPED;
      plan->result->changed = true;
    }
  mt_planner_report (plan,
                     "instance %s did not come back within %u s of its reboot and uses the budget "
                     "of pool %s; write \"leaving\": true in its row, or raise max_unavailable",
                     record->instance, drain_limit (plan, record), record->pool);
}

static void
step_record (struct mt_plan *plan, struct mt_assign_record *record)
{
  apply_tables (plan, record);
  if (record->state == MT_ASSIGN_DRAINING)
    step_drain (plan, record);
  else if (record->state == MT_ASSIGN_REBOOTING)
    step_reboot (plan, record);
}

static void
remove_gone (struct mt_plan *plan)
{
  for (size_t i = plan->next->n_records; i-- > 0;)
    {
      const struct mt_assign_record *record = &plan->next->records[i];

      if (record->state != MT_ASSIGN_OUT || mt_planner_find_row (plan, record->instance) != NULL)
        continue;
      mt_assign_remove (plan->next, record->instance);
      plan->result->changed = true;
    }
}

void
mt_planner_step (const struct mt_planner_input *input,
                 struct mt_assign *next,
                 struct mt_planner_result *result)
{
  struct mt_plan plan = { .input = input, .next = next, .result = result };

  /* A planner that resumes with old tables would undo what newer tables decided. */
  if (input->tables->version < next->tables_version)
    {
      mt_planner_report (&plan, "the planner's tables are older than those of the assignment "
                                "document; it waits for newer tables");
      return;
    }
  if (input->tables->version > next->tables_version)
    {
      next->tables_version = input->tables->version;
      result->changed = true;
    }
  index_tables (&plan);
  add_new_instances (&plan);
  for (size_t i = 0; i < next->n_records; i++)
    step_record (&plan, &next->records[i]);
  remove_gone (&plan);
  mt_planner_run_waves (&plan);
  mt_planner_move_capacity (&plan);
  g_hash_table_destroy (plan.pools);
  g_hash_table_destroy (plan.rows);
}
